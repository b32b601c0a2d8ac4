#include <dispatch/leader_lease.h>

#include <algorithm>

#include <core/json.h>

namespace trefoil {

namespace {

/// Time between a candidate's reads while it waits for a lease to end.
constexpr duration readInterval = std::chrono::milliseconds(400);
/// Time between reads after a write with an unknown outcome. Short, because the lease is expiring.
constexpr duration retryInterval = std::chrono::milliseconds(100);
/// Margin between the end of a lease and a takeover, for clocks with different rates.
constexpr duration clockMargin = std::chrono::milliseconds(200);
/// Bits for the epochs of one era of the store.
constexpr unsigned eraEpochBits = 20;

} // namespace

std::string toText(const leader_record &record)
{
    Json::Value value(Json::objectValue);
    value["holder"] = record.holder;
    value["epoch"] = Json::UInt64(record.epoch);
    value["renewal"] = Json::UInt64(record.renewal);
    value["released"] = record.isReleased;
    value["settled"] = record.isSettled;
    value["named_at_ms"] = Json::Value(Json::objectValue);
    for (auto it = record.targetSetAtMs.begin(); it != record.targetSetAtMs.end(); ++it)
        value["named_at_ms"][it->first] = Json::UInt64(it->second);
    return writeJson(value);
}

std::optional<leader_record> parseLeaderRecord(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "leader record");
    if (!value || !value->isObject() || !(*value)["holder"].isString())
        return std::nullopt;
    leader_record record {.holder = textOr(*value, "holder"),
                          .epoch = integerOr(*value, "epoch"),
                          .renewal = integerOr(*value, "renewal"),
                          .isReleased = flagOr(*value, "released"),
                          .isSettled = flagOr(*value, "settled")};
    const Json::Value &named = (*value)["named_at_ms"];
    if (named.isObject()) {
        for (auto it = named.begin(); it != named.end(); ++it) {
            if (it->isUInt64())
                record.targetSetAtMs[it.name()] = it->asUInt64();
        }
    }
    return record;
}

void leader_lease::observe(std::uint64_t storeEra, std::uint64_t reportedEpoch)
{
    m_eraEpoch = std::max(m_eraEpoch, storeEra << eraEpochBits);
    m_highestEpoch = std::max(m_highestEpoch, reportedEpoch);
}

store_call leader_lease::next(timestamp now, int rank, bool isLeaderAlive, bool mayLead)
{
    if (isOwn()) {
        if (m_mustRead)
            return now - m_readAt >= retryInterval ? store_call::Read : store_call::None;
        if (!mayLead)
            return m_record.isReleased ? store_call::None : store_call::Write;
        if (now < m_writeStartedAt + m_options.renewInterval)
            return store_call::None;
        // An expired lease may have been taken over: read before writing.
        return now < m_heldUntil ? store_call::Write : store_call::Read;
    }
    if (!mayLead || isLeaderAlive) {
        m_noLeaderSince.reset();
        return store_call::None;
    }
    // Instances of low rank read first; in a large fleet the others hear of a leader before their
    // own delay ends.
    if (!m_noLeaderSince)
        m_noLeaderSince = now;
    if (now - *m_noLeaderSince < m_options.firstReadDelay * rank)
        return store_call::None;
    // No wait if the lease was released or never held, or if the record names this instance.
    const bool isFree =
        !m_isRestored && (m_record.isReleased || m_record.holder.empty() || m_isOwnEarlierRecord);
    const duration leaseWait = isFree ? duration::zero() : m_options.leaseDuration + clockMargin;
    const bool isNext = m_isOwnEarlierRecord && !m_isRestored;
    const duration rankWait = isNext ? duration::zero() : m_options.rankDelay * rank;
    const bool isOver = m_isKnown && m_readAt - m_unchangedSince >= leaseWait
        && now - m_unchangedSince >= leaseWait + rankWait;
    if (isOver && now - m_readAt < readInterval)
        return store_call::Write;
    return !m_isKnown || now - m_readAt >= readInterval ? store_call::Read : store_call::None;
}

void leader_lease::onRead(timestamp now, const std::optional<leader_record> &record,
                          std::uint64_t revision)
{
    const leader_record seen = record.value_or(leader_record {});
    m_readAt = now;
    m_mustRead = false;
    const bool isStillOwn =
        seen.holder == m_options.self && seen.epoch == m_record.epoch && !m_record.isReleased;
    if (isOwn() && isStillOwn && now < m_heldUntil) {
        m_record = seen;
        m_revision = revision;
        return;
    }
    m_isOwnEarlierRecord = seen.holder == m_options.self;
    m_highestEpoch = std::max(m_highestEpoch, m_record.epoch);
    m_isRestored = seen.epoch < m_highestEpoch || (record && seen.epoch < m_eraEpoch);
    if (!m_isKnown || revision != m_revision)
        m_unchangedSince = now;
    m_isHeld = false;
    m_record = seen;
    m_revision = revision;
    m_isKnown = true;
}

leader_record leader_lease::startWrite(timestamp now, bool release)
{
    m_writeStartedAt = now;
    m_writing = m_record;
    m_writing.renewal += 1;
    m_writing.isReleased = release;
    m_writing.isSettled = isOwn() && now >= m_settledFrom;
    if (!isOwn()) {
        m_writing.holder = m_options.self;
        m_writing.epoch = std::max({m_record.epoch, m_highestEpoch, m_eraEpoch}) + 1;
    }
    return m_writing;
}

void leader_lease::onWritten(timestamp now, std::optional<std::uint64_t> revision, bool knowsOrders)
{
    if (!revision) {
        // The write may or may not have reached the store, or lost against another one: read before
        // the next write.
        m_mustRead = true;
        m_isKnown = m_isKnown && isOwn();
        return;
    }
    const bool isTakeover = !isOwn();
    const leader_record before = m_record;
    m_record = m_writing;
    m_revision = *revision;
    m_isHeld = true;
    m_isKnown = true;
    m_heldUntil = m_writeStartedAt + m_options.leaseDuration;
    if (!isTakeover)
        return;
    if (!m_isRestored && (before.holder.empty() || (m_isOwnEarlierRecord && before.isSettled))) {
        m_settledFrom = now;
        m_actsFrom = now;
        return;
    }
    // An earlier record of this instance that isn't settled doesn't tell when the previous leader
    // last acted.
    timestamp previousLeaseEnd = now;
    const bool isReleased = before.isReleased && !m_isRestored;
    if (!m_isOwnEarlierRecord || m_isRestored)
        previousLeaseEnd =
            isReleased ? m_unchangedSince : m_unchangedSince + m_options.leaseDuration;
    m_settledFrom = previousLeaseEnd + m_options.quietTime;
    m_actsFrom = knowsOrders && !m_isOwnEarlierRecord && !m_isRestored ? now : m_settledFrom;
}

bool leader_lease::holds(timestamp now) const
{
    return isOwn() && !m_record.isReleased && now < m_heldUntil;
}

bool leader_lease::mayAct(timestamp now) const { return holds(now) && now >= m_actsFrom; }

duration leader_lease::actingTimeLeft(timestamp now) const
{
    return mayAct(now) ? m_heldUntil - now : duration::zero();
}

} // namespace trefoil
