#include <dispatch/team_limits.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace trefoil {

namespace {

/// An instance may save up the larger of this many seconds of its share of the rate and this many
/// requests of average size, so that uneven arrivals can still use all of a small share.
constexpr double allowanceSeconds = 0.1;
constexpr double allowanceRequests = 2;
/// Fraction of this instance's demand that every instance is assumed to see. Less than 1, because
/// arrivals at one instance are uneven.
constexpr double surgeShare = 0.5;
/// Weight of the newest request in the average size.
constexpr double sizeWeight = 0.1;
/// Minimum share of the rate used to compute a refused caller's wait.
constexpr double minShare = 0.01;

/// Rounds @p rate to a sixteenth, which is exact in binary and short as text.
double rounded(double rate)
{
    constexpr double steps = 16;
    return std::round(rate * steps) / steps;
}

} // namespace

void team_limits::setLimit(timestamp now, std::string_view team, double rate, double burst)
{
    if (m_options.window > duration::zero()) {
        const double asRate = burst * m_options.burstRateShare;
        rate += asRate / toSeconds(m_options.window);
        burst -= asRate;
    }
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end()) {
        // A new instance doesn't know what others have spent and starts with its share of the
        // burst.
        const double share = burst / static_cast<double>(m_peers.size() + 1);
        m_buckets.emplace(
            std::string(team),
            bucket {
                .rate = rate, .burst = burst, .level = share, .filledAt = now, .allowance = share});
        return;
    }
    refill(now, team, found->second);
    found->second.rate = rate;
    found->second.burst = burst;
    found->second.level = std::min(found->second.level, burst);
}

double team_limits::silentPeerRate(const bucket &teamBucket) const
{
    return teamBucket.rate / static_cast<double>(m_peers.size() + 1);
}

void team_limits::refill(timestamp now, std::string_view team, bucket &teamBucket)
{
    const double elapsed = toSeconds(now - teamBucket.filledAt);
    if (elapsed <= 0)
        return;
    teamBucket.filledAt = now;
    double spentElsewhere = 0;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        peer_state &peer = it->second;
        if (isSilent(now, peer)) {
            const double charged = silentPeerRate(teamBucket) * elapsed;
            teamBucket.account.chargedForSilent += charged;
            spentElsewhere += charged;
            continue;
        }
        const auto usage = peer.teams.find(team);
        if (usage == peer.teams.end())
            continue;
        const double expected = usage->second.rate * elapsed;
        usage->second.expected += expected;
        teamBucket.account.chargedForPeers += expected;
        spentElsewhere += expected;
    }
    teamBucket.level =
        std::min(teamBucket.burst, teamBucket.level + teamBucket.rate * elapsed - spentElsewhere);
    teamBucket.demand *= std::exp(-elapsed / toSeconds(m_options.demandTime));
    const double ownRate = teamBucket.rate * demandOf(team, teamBucket).share();
    // Kept small, because all instances may spend their saved allowances at once.
    const double maxAllowance = std::max(
        {teamBucket.allowance, ownRate * allowanceSeconds, teamBucket.size * allowanceRequests});
    teamBucket.allowance = std::min(teamBucket.allowance + ownRate * elapsed, maxAllowance);
}

team_limits::team_demand team_limits::demandOf(std::string_view team,
                                               const bucket &teamBucket) const
{
    team_demand demand {.own = teamBucket.demand / toSeconds(m_options.demandTime)};
    demand.all = demand.own;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        const auto usage = it->second.teams.find(team);
        if (usage == it->second.teams.end() || usage->second.demandRate <= 0)
            continue;
        demand.all += usage->second.demandRate;
        demand.requesters += 1;
    }
    return demand;
}

double team_limits::sharingThreshold(const team_demand &demand, const bucket &teamBucket) const
{
    // The figures of other instances are up to a report period old, so a rise in demand on this
    // instance is assumed to affect all instances.
    const double excess =
        std::max(demand.all, demand.own * demand.requesters * surgeShare) - teamBucket.rate;
    const double overshoot = std::max(0.0, excess) * toSeconds(m_options.reportLag);
    return std::clamp(overshoot, teamBucket.burst * m_options.minSharedLevel,
                      teamBucket.burst * m_options.maxSharedLevel);
}

std::optional<duration> team_limits::admit(timestamp now, std::string_view team, double units)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return std::nullopt;
    bucket &teamBucket = found->second;
    refill(now, team, teamBucket);
    teamBucket.demand += units;
    teamBucket.size += (units - teamBucket.size) * (teamBucket.size > 0 ? sizeWeight : 1);
    if (teamBucket.level <= 0) {
        teamBucket.account.refused += units;
        return fromSeconds((units - teamBucket.level) / teamBucket.rate);
    }
    const team_demand demand = demandOf(team, teamBucket);
    const bool isShared = teamBucket.level < sharingThreshold(demand, teamBucket);
    if (isShared && teamBucket.allowance <= 0) {
        teamBucket.account.refused += units;
        return fromSeconds((units - teamBucket.allowance)
                           / (teamBucket.rate * std::max(minShare, demand.share())));
    }
    teamBucket.level -= units;
    // Units admitted above the threshold don't count against the instance's share.
    if (isShared)
        teamBucket.allowance -= units;
    teamBucket.account.admitted += units;
    const auto total = m_totals.try_emplace(std::string(team), 0).first;
    total->second += units;
    return std::nullopt;
}

void team_limits::refund(std::string_view team, double units)
{
    const auto found = m_buckets.find(team);
    const auto total = m_totals.find(team);
    if (found == m_buckets.end() || total == m_totals.end())
        return;
    found->second.level = std::min(found->second.burst, found->second.level + units);
    found->second.account.refunded += units;
    total->second -= units;
}

void team_limits::setPeers(timestamp now, const std::vector<std::string> &peers)
{
    std::erase_if(m_peers, [&peers](const auto &each) {
        return std::find(peers.begin(), peers.end(), each.first) == peers.end();
    });
    // An instance that never reported counts as silent from the start.
    for (const std::string &name : peers)
        m_peers.try_emplace(
            name,
            peer_state {.heardAt = now - 2 * m_options.reportTimeout.timeout(m_peers.size())});
}

void team_limits::applyReport(timestamp now, std::string_view peer, std::uint64_t incarnation,
                              const admitted_totals &admitted, const admitted_totals &demandRates,
                              duration period)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    peer_state &state = found->second;
    // While the peer was silent, its equal share was deducted. The new totals cover that time and
    // must not be deducted again.
    const bool wasSilent = isSilent(now, state);
    const double age = toSeconds(now - state.heardAt);
    const bool isKnown = state.incarnation == incarnation;
    for (auto it = admitted.begin(); it != admitted.end(); ++it) {
        const auto teamBucket = m_buckets.find(it->first);
        if (teamBucket == m_buckets.end())
            continue;
        peer_usage &usage = state.teams[it->first];
        const double delta = it->second - (isKnown ? usage.total : 0);
        // Shortcut: in a large fleet, most instances report no change for most teams.
        if (isKnown && !wasSilent && delta == 0 && usage.rate == 0)
            continue;
        refill(now, it->first, teamBucket->second);
        if (!wasSilent && (isKnown || state.incarnation != 0)) {
            teamBucket->second.level += usage.expected - delta;
            teamBucket->second.account.chargedForPeers += delta - usage.expected;
        } else {
            teamBucket->second.account.notCharged += delta;
        }
        teamBucket->second.level = std::min(teamBucket->second.level, teamBucket->second.burst);
        usage.rate = isKnown && age > 0 ? std::max(0.0, delta / age) : 0;
        usage.total = it->second;
        usage.expected = 0;
    }
    for (auto it = state.teams.begin(); it != state.teams.end(); ++it)
        it->second.demandRate = 0;
    for (auto it = demandRates.begin(); it != demandRates.end(); ++it)
        state.teams[it->first].demandRate = it->second;
    state.incarnation = incarnation;
    state.heardAt = now;
    state.period = period;
}

void team_limits::adoptLevels(timestamp now, const admitted_totals &levels)
{
    for (auto it = levels.begin(); it != levels.end(); ++it) {
        const auto teamBucket = m_buckets.find(it->first);
        if (teamBucket == m_buckets.end())
            continue;
        refill(now, it->first, teamBucket->second);
        teamBucket->second.level = std::min(teamBucket->second.burst, it->second);
    }
}

team_limits::limit_state team_limits::limitState(timestamp now, std::string_view team) const
{
    limit_state state;
    const auto found = m_buckets.find(team);
    if (found != m_buckets.end()) {
        state.rate = found->second.rate;
        state.level = found->second.level;
        state.share = demandOf(team, found->second).share();
    }
    state.knownPeers = static_cast<int>(m_peers.size());
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it)
        state.heardPeers += isSilent(now, it->second) ? 0 : 1;
    return state;
}

std::map<std::string, team_limits::limit_account, std::less<>>
team_limits::takeAccounts(timestamp now)
{
    std::map<std::string, limit_account, std::less<>> accounts;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        refill(now, it->first, it->second);
        const limit_account account = std::exchange(it->second.account, {});
        if (account.refused > 0 || it->second.level < it->second.burst / 2)
            accounts.emplace(it->first, account);
    }
    return accounts;
}

admitted_totals team_limits::demandRates(timestamp now)
{
    admitted_totals rates;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        refill(now, it->first, it->second);
        if (it->second.demand >= 1)
            rates[it->first] = rounded(it->second.demand / toSeconds(m_options.demandTime));
    }
    return rates;
}

admitted_totals team_limits::levels(timestamp now)
{
    admitted_totals all;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        refill(now, it->first, it->second);
        all[it->first] = it->second.level;
    }
    return all;
}

} // namespace trefoil
