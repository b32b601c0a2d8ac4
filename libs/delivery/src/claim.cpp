#include <delivery/claim.h>
#include <delivery/not_run_status.h>

#include <core/digest.h>
#include <core/json.h>

namespace trefoil {

namespace {

/// Maximum reads of a claim whose creation has an unknown outcome.
constexpr int maxClaimReads = 3;

// Error codes of the platform, repeated here because this library does not depend on its client.
constexpr const char *conflictCode = "conflict";
constexpr const char *unknownCode = "unknown-outcome";

} // namespace

std::string toText(const claim_record &record)
{
    Json::Value value(Json::objectValue);
    value["claimant"] = record.claimant;
    value["body"] = record.body;
    if (record.answered) {
        value["status"] = record.status;
        value["content_type"] = record.contentType;
        value["answer"] = record.answer;
    }
    if (record.released)
        value["released"] = true;
    return writeJson(value);
}

std::optional<claim_record> claimFromText(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "a claim");
    if (!value || !value->isObject() || textOr(*value, "claimant").empty())
        return std::nullopt;
    claim_record record;
    record.claimant = textOr(*value, "claimant");
    record.body = textOr(*value, "body");
    record.answered = (*value)["status"].isInt();
    record.status = record.answered ? (*value)["status"].asInt() : 0;
    record.contentType = textOr(*value, "content_type");
    record.answer = textOr(*value, "answer");
    record.released = flagOr(*value, "released");
    return record;
}

std::string claimObjectName(std::string_view team, std::string_view key)
{
    return "claims/" + std::string(team) + "/" + toHex(digestOf(key, digestOf(team)));
}

claim::claim(std::string claimant, std::string bodyDigest)
{
    m_ownRecord.claimant = std::move(claimant);
    m_ownRecord.body = std::move(bodyDigest);
}

std::string claim::text() const { return toText(m_ownRecord); }

void claim::onCreated(const result<std::uint64_t> &outcome)
{
    if (outcome)
        m_step = claim_step::Send;
    else if (outcome.error().code == conflictCode || outcome.error().code == unknownCode)
        m_step = claim_step::Read;
    else
        m_step = claim_step::RefuseNotRun;
}

std::string claim::releasedText() const
{
    claim_record record = m_ownRecord;
    record.released = true;
    return toText(record);
}

void claim::onRead(const result<std::string> &outcome, std::uint64_t version)
{
    if (!outcome) {
        // Not found, or no answer. The creation may still take effect; the request was not sent.
        ++m_reads;
        m_step = m_reads < maxClaimReads ? claim_step::Read : claim_step::RefuseNotRun;
        return;
    }
    const std::optional<claim_record> found = claimFromText(*outcome);
    if (!found) {
        m_step = claim_step::RefuseUnknown;
        return;
    }
    if (found->claimant == m_ownRecord.claimant) {
        m_step = claim_step::Send; // the creation succeeded, but its answer was lost
    } else if (found->released) {
        m_expectedVersion = version;
        m_step = claim_step::Create;
    } else if (found->body != m_ownRecord.body) {
        m_step = claim_step::RefuseMismatch;
    } else if (found->answered && !statesNotRun(found->status)) {
        m_step = claim_step::Replay;
    } else {
        m_step = claim_step::RefuseUnknown;
    }
    m_storedRecord = *found;
}

} // namespace trefoil
