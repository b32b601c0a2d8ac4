#include <limits/received_grants.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Time constant of the demand average: a few lifetimes of a grant, so that prefetching stops when
/// the team pauses.
constexpr double demandAveragingSeconds = 3;

} // namespace

void received_grants::add(std::uint64_t epoch, std::uint64_t grant, double amount, timestamp expiry)
{
    m_grants.push_back(
        {.epoch = epoch, .id = grant, .remaining = amount, .expiry = expiry, .lastUse = expiry});
}

double received_grants::available(timestamp now) const
{
    double sum = 0;
    for (const received_grant &each : m_grants)
        sum += now < each.expiry ? each.remaining : 0;
    return sum;
}

std::optional<std::vector<grant_share>> received_grants::spend(timestamp now, double amount)
{
    if (available(now) < amount)
        return std::nullopt;
    std::vector<grant_share> shares;
    double missing = amount;
    for (received_grant &each : m_grants) {
        if (now >= each.expiry || each.remaining <= 0 || missing <= 0)
            continue;
        const double part = std::min(each.remaining, missing);
        each.remaining -= part;
        missing -= part;
        ++each.runningRequests;
        shares.push_back({.epoch = each.epoch, .grant = each.id, .amount = part});
    }
    return shares;
}

received_grants::received_grant *received_grants::find(const grant_share &share)
{
    for (received_grant &each : m_grants) {
        if (each.epoch == share.epoch && each.id == share.grant)
            return &each;
    }
    return nullptr;
}

void received_grants::finish(timestamp now, const std::vector<grant_share> &shares, double unused)
{
    double remaining = unused;
    for (const grant_share &share : shares) {
        received_grant *grant = find(share);
        if (!grant)
            continue;
        --grant->runningRequests;
        const double part = std::clamp(remaining, 0.0, share.amount);
        remaining -= part;
        // Until the grant expires its tokens can be spent again here; after that they go back to
        // the owner.
        double &target = now < grant->expiry ? grant->remaining : grant->returnedLate;
        target += part;
    }
}

std::vector<grant_settlement> received_grants::takeSettled(timestamp now)
{
    std::vector<grant_settlement> settled;
    for (auto it = m_grants.begin(); it != m_grants.end();) {
        const bool isSettled = now >= it->expiry && it->runningRequests == 0;
        if (!isSettled) {
            ++it;
            continue;
        }
        settled.push_back(
            {.epoch = it->epoch, .grant = it->id, .unused = it->remaining + it->returnedLate});
        it = m_grants.erase(it);
    }
    return settled;
}

void received_grants::recordDemand(timestamp now, double amount)
{
    m_demand = demand(now) + amount / demandAveragingSeconds;
    m_demandAt = now;
}

double received_grants::demand(timestamp now) const
{
    return m_demand * std::exp(-toSeconds(now - m_demandAt) / demandAveragingSeconds);
}

} // namespace trefoil
