#include <limits/token_account.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace trefoil {

namespace {

/// A reservation not settled by then is forgotten and its unused tokens are lost: longer than any
/// stream is let run.
constexpr duration maxUnsettled = std::chrono::minutes(15);

} // namespace

token_account::token_account(token_limit limit, timestamp now, double level)
    : m_limit(limit), m_level(std::min(level, limit.burst)), m_filledAt(now)
{
    assert(limit.rate > 0);
    assert(limit.burst > 0);
}

void token_account::refill(timestamp until)
{
    if (until > m_filledAt)
        m_level += m_limit.rate * toSeconds(until - m_filledAt);
    m_filledAt = std::max(m_filledAt, until);
    m_level = std::min(m_level, capacity());
    noteHeadroom();
}

void token_account::noteHeadroom()
{
    if (m_segments.empty())
        return;
    double &least = m_segments.back().leastHeadroom;
    least = std::min(least, capacity() - m_level);
}

void token_account::advance(timestamp now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto first = m_expiries.begin();
        refill(first->first);
        const std::uint64_t id = first->second;
        const open_grant item = m_grants.at(id);
        release(id, item);
        // From its expiry on an unsettled grant is an ordinary reservation.
        appendSegment(id, item.amount, item.expiry);
    }
    refill(now);
    forgetOld(now);
}

void token_account::release(std::uint64_t id, const open_grant &item)
{
    m_held -= item.amount;
    m_grants.erase(id);
    const auto range = m_expiries.equal_range(item.expiry);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second == id) {
            m_expiries.erase(it);
            break;
        }
    }
}

void token_account::appendSegment(std::uint64_t id, double amount, timestamp now)
{
    m_segments.push_back({.id = id,
                          .amount = amount,
                          .leastHeadroom = std::numeric_limits<double>::infinity(),
                          .takenAt = now});
    noteHeadroom();
}

void token_account::forgetOld(timestamp now)
{
    while (!m_segments.empty() && now - m_segments.front().takenAt > maxUnsettled)
        m_segments.pop_front();
}

std::optional<std::uint64_t> token_account::reserve(timestamp now, double amount)
{
    advance(now);
    if (amount > m_level)
        return std::nullopt;
    m_level -= amount;
    const std::uint64_t id = m_nextId++;
    appendSegment(id, amount, now);
    return id;
}

std::optional<std::uint64_t> token_account::grant(timestamp now, double amount, timestamp expiry)
{
    assert(expiry > now);
    advance(now);
    if (amount > m_level || amount > grantRoom(now))
        return std::nullopt;
    // Both shrink by the same amount, so the headroom stays as it is.
    m_level -= amount;
    m_held += amount;
    const std::uint64_t id = m_nextId++;
    m_grants[id] = {.amount = amount, .expiry = expiry};
    m_expiries.emplace(expiry, id);
    return id;
}

void token_account::settle(timestamp now, std::uint64_t id, double unused)
{
    advance(now);
    const auto grant = m_grants.find(id);
    if (grant != m_grants.end()) {
        const open_grant item = grant->second;
        release(id, item);
        m_level += std::clamp(unused, 0.0, item.amount);
        noteHeadroom();
        return;
    }
    const auto at = std::find_if(m_segments.begin(), m_segments.end(),
                                 [&](const segment &each) { return each.id == id; });
    if (at == m_segments.end())
        return;
    double returned = std::clamp(unused, 0.0, at->amount);
    for (auto it = at; it != m_segments.end(); ++it)
        returned = std::min(returned, it->leastHeadroom);
    returned = std::max(returned, 0.0);
    for (auto it = at; it != m_segments.end(); ++it)
        it->leastHeadroom -= returned;
    m_level += returned;
    // The segment before now also covers the time of this one.
    if (at != m_segments.begin()) {
        const auto before = std::prev(at);
        before->leastHeadroom = std::min(before->leastHeadroom, at->leastHeadroom);
    }
    m_segments.erase(at);
}

void token_account::setLimit(timestamp now, token_limit limit)
{
    assert(limit.rate > 0);
    assert(limit.burst > 0);
    advance(now);
    m_limit = limit;
    m_level = std::min(m_level, capacity());
    noteHeadroom();
}

void token_account::holdUnknown(timestamp now, bool quiet, timestamp expiry)
{
    advance(now);
    const double share = quiet ? maxGrantedShare : maxGrantedShareAfterChange;
    const double amount = m_limit.burst * share;
    m_unknownHold = m_nextId++;
    m_held += amount;
    m_grants[m_unknownHold] = {.amount = amount, .expiry = expiry};
    m_expiries.emplace(expiry, m_unknownHold);
    m_level = std::min(m_level, capacity());
    noteHeadroom();
}

double token_account::grantRoom(timestamp now)
{
    advance(now);
    const bool changed = m_grants.contains(m_unknownHold);
    const double share = changed ? maxGrantedShareAfterChange : maxGrantedShare;
    return std::max(0.0, m_limit.burst * share - m_held);
}

double token_account::level(timestamp now)
{
    advance(now);
    return m_level;
}

std::optional<duration> token_account::waitFor(timestamp now, double amount)
{
    advance(now);
    if (amount > m_limit.burst)
        return std::nullopt;
    const double missing = std::max(0.0, amount - m_level);
    duration wait = fromSeconds(missing / m_limit.rate);
    // Tokens that do not fit beside the grants have to wait for grants to expire too.
    double held = m_held;
    for (auto it = m_expiries.begin(); it != m_expiries.end(); ++it) {
        if (amount <= m_limit.burst - held)
            break;
        held -= m_grants.at(it->second).amount;
        wait = std::max(wait, it->first - now);
    }
    return wait;
}

} // namespace trefoil
