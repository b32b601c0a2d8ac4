#include <limits/token_bucket.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace trefoil {

namespace {

/// An older unsettled reservation is dropped and its unused tokens are lost. Exceeds the longest
/// time that a stream may run.
constexpr duration maxReservationAge = std::chrono::minutes(15);

} // namespace

token_bucket::token_bucket(token_limit limit, timestamp now, double level)
    : m_limit(limit), m_level(std::min(level, limit.burst)), m_refilledAt(now)
{
    assert(limit.rate > 0);
    assert(limit.burst > 0);
}

void token_bucket::refill(timestamp until)
{
    if (until > m_refilledAt)
        m_level += m_limit.rate * toSeconds(until - m_refilledAt);
    m_refilledAt = std::max(m_refilledAt, until);
    m_level = std::min(m_level, capacity());
    updateMinHeadroom();
}

void token_bucket::updateMinHeadroom()
{
    if (m_reservations.empty())
        return;
    double &headroom = m_reservations.back().minHeadroom;
    headroom = std::min(headroom, capacity() - m_level);
}

void token_bucket::advance(timestamp now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= now) {
        const auto first = m_expiries.begin();
        refill(first->first);
        const std::uint64_t id = first->second;
        const open_grant grant = m_grants.at(id);
        removeGrant(id, grant);
        // After its expiry an unsettled grant is handled like a reservation.
        addReservation(id, grant.amount, grant.expiry);
    }
    refill(now);
    dropOldReservations(now);
}

void token_bucket::removeGrant(std::uint64_t id, const open_grant &grant)
{
    m_granted -= grant.amount;
    m_grants.erase(id);
    const auto range = m_expiries.equal_range(grant.expiry);
    for (auto it = range.first; it != range.second; ++it) {
        if (it->second == id) {
            m_expiries.erase(it);
            break;
        }
    }
}

void token_bucket::addReservation(std::uint64_t id, double amount, timestamp now)
{
    m_reservations.push_back({.id = id,
                              .amount = amount,
                              .minHeadroom = std::numeric_limits<double>::infinity(),
                              .takenAt = now});
    updateMinHeadroom();
}

void token_bucket::dropOldReservations(timestamp now)
{
    while (!m_reservations.empty() && now - m_reservations.front().takenAt > maxReservationAge)
        m_reservations.pop_front();
}

std::optional<std::uint64_t> token_bucket::reserve(timestamp now, double amount)
{
    advance(now);
    if (amount > m_level)
        return std::nullopt;
    m_level -= amount;
    const std::uint64_t id = m_nextId++;
    addReservation(id, amount, now);
    return id;
}

std::optional<std::uint64_t> token_bucket::grant(timestamp now, double amount, timestamp expiry)
{
    assert(expiry > now);
    advance(now);
    if (amount > m_level || amount > grantableTokens(now))
        return std::nullopt;
    // Level and capacity shrink by the same amount, so the headroom does not change.
    m_level -= amount;
    m_granted += amount;
    const std::uint64_t id = m_nextId++;
    m_grants[id] = {.amount = amount, .expiry = expiry};
    m_expiries.emplace(expiry, id);
    return id;
}

void token_bucket::settle(timestamp now, std::uint64_t id, double unused)
{
    advance(now);
    const auto found = m_grants.find(id);
    if (found != m_grants.end()) {
        const open_grant grant = found->second;
        removeGrant(id, grant);
        m_level += std::clamp(unused, 0.0, grant.amount);
        updateMinHeadroom();
        return;
    }
    const auto at = std::find_if(m_reservations.begin(), m_reservations.end(),
                                 [&](const reservation &each) { return each.id == id; });
    if (at == m_reservations.end())
        return;
    double returned = std::clamp(unused, 0.0, at->amount);
    for (auto it = at; it != m_reservations.end(); ++it)
        returned = std::min(returned, it->minHeadroom);
    returned = std::max(returned, 0.0);
    for (auto it = at; it != m_reservations.end(); ++it)
        it->minHeadroom -= returned;
    m_level += returned;
    // The previous reservation's interval is extended by the interval of the removed one.
    if (at != m_reservations.begin()) {
        const auto previous = std::prev(at);
        previous->minHeadroom = std::min(previous->minHeadroom, at->minHeadroom);
    }
    m_reservations.erase(at);
}

void token_bucket::setLimit(timestamp now, token_limit limit)
{
    assert(limit.rate > 0);
    assert(limit.burst > 0);
    advance(now);
    m_limit = limit;
    m_level = std::min(m_level, capacity());
    updateMinHeadroom();
}

void token_bucket::reserveForPriorGrants(timestamp now, bool previousOwnerStable, timestamp expiry)
{
    advance(now);
    const double share = previousOwnerStable ? maxGrantedShare : maxGrantedShareAfterChange;
    const double amount = m_limit.burst * share;
    m_priorGrantsId = m_nextId++;
    m_granted += amount;
    m_grants[m_priorGrantsId] = {.amount = amount, .expiry = expiry};
    m_expiries.emplace(expiry, m_priorGrantsId);
    m_level = std::min(m_level, capacity());
    updateMinHeadroom();
}

double token_bucket::grantableTokens(timestamp now)
{
    advance(now);
    const bool hasPriorGrants = m_grants.contains(m_priorGrantsId);
    const double share = hasPriorGrants ? maxGrantedShareAfterChange : maxGrantedShare;
    return std::max(0.0, m_limit.burst * share - m_granted);
}

double token_bucket::level(timestamp now)
{
    advance(now);
    return m_level;
}

std::optional<duration> token_bucket::timeUntilAvailable(timestamp now, double amount)
{
    advance(now);
    if (amount > m_limit.burst)
        return std::nullopt;
    const double missing = std::max(0.0, amount - m_level);
    duration wait = fromSeconds(missing / m_limit.rate);
    // If the amount does not fit into the capacity left by the grants, grants must expire first.
    double granted = m_granted;
    for (auto it = m_expiries.begin(); it != m_expiries.end(); ++it) {
        if (amount <= m_limit.burst - granted)
            break;
        granted -= m_grants.at(it->second).amount;
        wait = std::max(wait, it->first - now);
    }
    return wait;
}

} // namespace trefoil
