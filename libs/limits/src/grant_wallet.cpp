#include <limits/grant_wallet.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Time over which demand is averaged: a few grant lives, so that a pause ends prefetching.
constexpr double demandSeconds = 3;

} // namespace

void grant_wallet::add(std::uint64_t epoch, std::uint64_t grant, double amount, timestamp expiry)
{
    m_grants.push_back(
        {.epoch = epoch, .id = grant, .left = amount, .expiry = expiry, .lastUse = expiry});
}

double grant_wallet::available(timestamp now) const
{
    double sum = 0;
    for (const open_grant &each : m_grants)
        sum += now < each.expiry ? each.left : 0;
    return sum;
}

std::optional<std::vector<grant_share>> grant_wallet::spend(timestamp now, double amount)
{
    if (available(now) < amount)
        return std::nullopt;
    std::vector<grant_share> shares;
    double missing = amount;
    for (open_grant &each : m_grants) {
        if (now >= each.expiry || each.left <= 0 || missing <= 0)
            continue;
        const double part = std::min(each.left, missing);
        each.left -= part;
        missing -= part;
        ++each.running;
        shares.push_back({.epoch = each.epoch, .grant = each.id, .amount = part});
    }
    return shares;
}

grant_wallet::open_grant *grant_wallet::find(const grant_share &share)
{
    for (open_grant &each : m_grants) {
        if (each.epoch == share.epoch && each.id == share.grant)
            return &each;
    }
    return nullptr;
}

void grant_wallet::finish(timestamp now, const std::vector<grant_share> &shares, double unused)
{
    double rest = unused;
    for (const grant_share &share : shares) {
        open_grant *grant = find(share);
        if (!grant)
            continue;
        --grant->running;
        const double part = std::clamp(rest, 0.0, share.amount);
        rest -= part;
        // Before the expiry the tokens may be spent again here; after it only the owner may say.
        double &target = now < grant->expiry ? grant->left : grant->returned;
        target += part;
    }
}

std::vector<grant_settlement> grant_wallet::takeSettled(timestamp now)
{
    std::vector<grant_settlement> settled;
    for (auto it = m_grants.begin(); it != m_grants.end();) {
        const bool done = now >= it->expiry && it->running == 0;
        if (!done) {
            ++it;
            continue;
        }
        settled.push_back({.epoch = it->epoch, .grant = it->id, .unused = it->left + it->returned});
        it = m_grants.erase(it);
    }
    return settled;
}

void grant_wallet::noteDemand(timestamp now, double amount)
{
    m_demand = demand(now) + amount / demandSeconds;
    m_demandAt = now;
}

double grant_wallet::demand(timestamp now) const
{
    return m_demand * std::exp(-toSeconds(now - m_demandAt) / demandSeconds);
}

} // namespace trefoil
