#include <dispatch/duty_lease.h>

#include <core/json.h>

namespace trefoil {

namespace {

/// Time between a candidate's reads while it waits for a lease to end.
constexpr duration readEvery = std::chrono::milliseconds(400);
/// Time between reads after a write without a known outcome: the lease is running out.
constexpr duration retryEvery = std::chrono::milliseconds(100);
/// Margin between the end of a lease and a take-over, for clocks that run at different rates.
constexpr duration clockMargin = std::chrono::milliseconds(200);

} // namespace

std::string toText(const duty_record &record)
{
    Json::Value value(Json::objectValue);
    value["holder"] = record.holder;
    value["epoch"] = Json::UInt64(record.epoch);
    value["renewal"] = Json::UInt64(record.renewal);
    value["released"] = record.isReleased;
    value["settled"] = record.isSettled;
    value["named_at_ms"] = Json::Value(Json::objectValue);
    for (auto it = record.namedAtMs.begin(); it != record.namedAtMs.end(); ++it)
        value["named_at_ms"][it->first] = Json::UInt64(it->second);
    return writeJson(value);
}

std::optional<duty_record> dutyFromText(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "duty record");
    if (!value || !value->isObject() || !(*value)["holder"].isString())
        return std::nullopt;
    duty_record record {.holder = textOr(*value, "holder"),
                        .epoch = integerOr(*value, "epoch"),
                        .renewal = integerOr(*value, "renewal"),
                        .isReleased = flagOr(*value, "released"),
                        .isSettled = flagOr(*value, "settled")};
    const Json::Value &named = (*value)["named_at_ms"];
    if (named.isObject()) {
        for (auto it = named.begin(); it != named.end(); ++it) {
            if (it->isUInt64())
                record.namedAtMs[it.name()] = it->asUInt64();
        }
    }
    return record;
}

duty_step duty_lease::next(timestamp now, int rank, bool isHolderAlive, bool mayHold)
{
    if (isOwn()) {
        if (m_mustRead)
            return now - m_readAt >= retryEvery ? duty_step::Read : duty_step::None;
        if (!mayHold)
            return m_record.isReleased ? duty_step::None : duty_step::Write;
        if (now < m_writeStartedAt + m_options.renewEvery)
            return duty_step::None;
        // A lease that lapsed may have been taken over: look before writing.
        return now < m_heldUntil ? duty_step::Write : duty_step::Read;
    }
    if (!mayHold || isHolderAlive) {
        m_lacksHolderSince.reset();
        return duty_step::None;
    }
    // Those of low rank look first: in a large fleet the others hear of a holder before their turn.
    if (!m_lacksHolderSince)
        m_lacksHolderSince = now;
    if (now - *m_lacksHolderSince < m_options.lookDelay * rank)
        return duty_step::None;
    // A holder never waits for itself, and nobody waits for one that gave the duty up.
    const bool isFree = m_record.isReleased || m_record.holder.empty() || m_isOwnFormer;
    const duration patience = isFree ? duration::zero() : m_options.life + clockMargin;
    const duration turn = m_isOwnFormer ? duration::zero() : m_options.rankDelay * rank;
    const bool isOver = m_isKnown && m_readAt - m_unchangedSince >= patience
        && now - m_unchangedSince >= patience + turn;
    if (isOver && now - m_readAt < readEvery)
        return duty_step::Write;
    return !m_isKnown || now - m_readAt >= readEvery ? duty_step::Read : duty_step::None;
}

void duty_lease::onRead(timestamp now, const std::optional<duty_record> &record,
                        std::uint64_t revision)
{
    const duty_record seen = record.value_or(duty_record {});
    m_readAt = now;
    m_mustRead = false;
    const bool isStillOwn = seen.holder == m_options.self && seen.epoch == m_record.epoch;
    if (isOwn() && isStillOwn && now < m_heldUntil) {
        m_record = seen;
        m_revision = revision;
        return;
    }
    m_isOwnFormer = seen.holder == m_options.self;
    if (!m_isKnown || revision != m_revision)
        m_unchangedSince = now;
    m_isHeld = false;
    m_record = seen;
    m_revision = revision;
    m_isKnown = true;
}

duty_record duty_lease::startWrite(timestamp now, bool release)
{
    m_writeStartedAt = now;
    m_writing = m_record;
    m_writing.renewal += 1;
    m_writing.isReleased = release;
    m_writing.isSettled = isOwn() && now >= m_settledFrom;
    if (!isOwn()) {
        m_writing.holder = m_options.self;
        m_writing.epoch = m_record.epoch + 1;
    }
    return m_writing;
}

void duty_lease::onWritten(timestamp now, std::optional<std::uint64_t> revision, bool knowsOrders)
{
    if (!revision) {
        // It may have been written or not, or somebody else was first: look before the next one.
        m_mustRead = true;
        m_isKnown = m_isKnown && isOwn();
        return;
    }
    const bool isTakeOver = !isOwn();
    const duty_record before = m_record;
    m_record = m_writing;
    m_revision = *revision;
    m_isHeld = true;
    m_isKnown = true;
    m_heldUntil = m_writeStartedAt + m_options.life;
    if (!isTakeOver)
        return;
    if (before.holder.empty() || (m_isOwnFormer && before.isSettled)) {
        m_settledFrom = now;
        m_actsFrom = now;
        return;
    }
    // An own record that isn't settled says nothing of when the holder before it acted last.
    timestamp endOfOther = now;
    if (!m_isOwnFormer)
        endOfOther = before.isReleased ? m_unchangedSince : m_unchangedSince + m_options.life;
    m_settledFrom = endOfOther + m_options.quietTime;
    m_actsFrom = knowsOrders && !m_isOwnFormer ? now : m_settledFrom;
}

bool duty_lease::holds(timestamp now) const
{
    return isOwn() && !m_record.isReleased && now < m_heldUntil;
}

bool duty_lease::mayAct(timestamp now) const { return holds(now) && now >= m_actsFrom; }

} // namespace trefoil
