// What instances tell each other about the teams' limits.

#include <dispatch/team_limits.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace trefoil {

namespace {

/// How long after its first report an instance is sent the levels, and how long an instance runs
/// until it knows them by itself.
constexpr duration newInstanceTime = std::chrono::seconds(3);
/// Instances that start within this time of each other were started together.
constexpr duration sameStartTime = std::chrono::seconds(1);
/// Least demand that is reported, as a fraction of a request of average size.
constexpr double minReportedDemand = 0.05;
/// Least time between charges for what other instances are expected to admit, which look at all of
/// them. A large fleet reports several times in it.
constexpr duration minChargeInterval = std::chrono::milliseconds(20);
/// Least time after which a demand that another instance reported is compared with a newer one.
constexpr duration previousDemandTime = std::chrono::seconds(1);
/// Rounds @p rate to a sixteenth, which is exact in binary and short as text.
double rounded(double rate)
{
    constexpr double steps = 16;
    return std::round(rate * steps) / steps;
}

double valueOf(const admitted_totals &values, std::string_view name)
{
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

} // namespace

team_limits::peer_state &team_limits::addPeer(timestamp now, std::string_view name, bool isListed)
{
    const auto added =
        m_peers.try_emplace(std::string(name), peer_state {.seenAt = now, .isListed = isListed});
    peer_state &peer = added.first->second;
    if (!added.second)
        return peer;
    if (m_freeIndexes.empty()) {
        m_freeIndexes.push_back(m_indexCount);
        m_indexCount += 1;
    }
    peer.index = m_freeIndexes.back();
    m_freeIndexes.pop_back();
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        it->second.peers.resize(m_indexCount);
        it->second.peers[peer.index] = {};
    }
    return peer;
}

void team_limits::setPeers(timestamp now, const std::vector<std::string> &peers)
{
    m_arePeersKnown = true;
    const std::set<std::string_view> listed(peers.begin(), peers.end());
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        it->second.isListed = listed.contains(it->first);
        const bool isGone = !it->second.isListed && hasEnded(now, it->second);
        if (isGone)
            m_freeIndexes.push_back(it->second.index);
        it = isGone ? m_peers.erase(it) : std::next(it);
    }
    for (const std::string &name : peers)
        addPeer(now, name, true);
}

void team_limits::reconcile(timestamp now, bucket &teamBucket, peer_usage &usage, double total,
                            bool isNew)
{
    const double admitted = total - usage.total;
    const double expected = std::exchange(usage.expected, 0);
    // The totals of an instance that is heard for the first time may be of long ago.
    const double charged = usage.isKnown || isNew ? admitted : std::min(admitted, expected);
    usage.isKnown = true;
    usage.total = total;
    teamBucket.account.notCharged += admitted - charged;
    teamBucket.account.chargedForPeers += charged - expected;
    spend(now, teamBucket, charged - expected);
    teamBucket.level = std::min(teamBucket.level, teamBucket.burst);
}

void team_limits::chargeLateness(timestamp now, bucket &teamBucket, const peer_state &peer)
{
    peer_usage &usage = teamBucket.peers[peer.index];
    if (peer.lateness.last() < minLateness || usage.demandRate <= 0)
        return;
    const team_demand demand = demandOf(now, teamBucket);
    const double rate = admissionRate(now, teamBucket, available(now, teamBucket));
    const duration counted = std::max<duration>(m_options.window, maxDemandAge);
    const double late = toSeconds(std::min(peer.lateness.last(), counted))
        * expectedRate(demand, teamBucket, usage.demandRate, rate);
    usage.expected += late;
    spend(now, teamBucket, late);
    teamBucket.account.chargedForPeers += late;
}

void team_limits::applyReport(timestamp now, const limit_report &report)
{
    peer_state &state = addPeer(now, report.peer, false);
    if (std::pair(report.incarnation, report.sequence)
        <= std::pair(state.incarnation, state.sequence))
        return;
    if (state.incarnation != report.incarnation)
        state.lateness = {};
    if (report.uptime)
        state.lateness.record(now, *report.uptime);
    const bool isRestarted = state.isHeard && state.incarnation != report.incarnation;
    const bool isNew = report.uptime && *report.uptime <= now - m_startedAt + sameStartTime;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        bucket &teamBucket = it->second;
        peer_usage &usage = teamBucket.peers[state.index];
        // The totals of a restarted instance begin at zero, also those that it doesn't name yet.
        if (isRestarted)
            usage.total = 0;
        const double total = valueOf(report.admitted, it->first);
        const double demandRate = valueOf(report.demandRates, it->first);
        // In a large fleet, most instances report nothing new of most teams.
        const bool isIdle = usage.isKnown && usage.total == total && usage.expected == 0
            && usage.demandRate == 0 && demandRate == 0;
        if (isIdle)
            continue;
        // Charges what was expected of the instance until now.
        if (now - teamBucket.filledAt >= minChargeInterval)
            refill(now, teamBucket);
        reconcile(now, teamBucket, usage, total, isNew);
        if (now - usage.previousAt >= previousDemandTime) {
            usage.previousDemandRate = usage.demandRate;
            usage.previousAt = now;
        }
        usage.demandRate = demandRate;
        chargeLateness(now, teamBucket, state);
    }
    if (!state.isHeard || isRestarted)
        state.firstHeardAt = now;
    state.isHeard = true;
    state.incarnation = report.incarnation;
    state.sequence = report.sequence;
    state.seenAt = now;
    state.isLeaving = report.isLeaving;
    state.period = report.period;
}

void team_limits::adoptLevels(timestamp now, const admitted_totals &levels)
{
    if (m_hasAdoptedLevels || levels.empty())
        return;
    m_hasAdoptedLevels = true;
    for (auto it = levels.begin(); it != levels.end(); ++it) {
        const auto found = m_buckets.find(it->first);
        if (found == m_buckets.end())
            continue;
        bucket &teamBucket = found->second;
        refill(now, teamBucket);
        teamBucket.level = std::min(teamBucket.burst, it->second);
        const double inWindow = teamBucket.rate * toSeconds(m_options.window) + teamBucket.burst;
        teamBucket.spent.fill(now, inWindow - teamBucket.level);
    }
}

admitted_totals team_limits::takeDemandRates(timestamp now)
{
    admitted_totals rates;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        refill(now, it->second);
        bucket &teamBucket = it->second;
        teamBucket.reportedDemand =
            teamBucket.demand >= std::min(1.0, teamBucket.size * minReportedDemand)
            ? rounded(teamBucket.demand / toSeconds(m_options.demandTime))
            : 0;
        if (teamBucket.reportedDemand > 0)
            rates[it->first] = teamBucket.reportedDemand;
    }
    return rates;
}

admitted_totals team_limits::takeLevels(timestamp now)
{
    admitted_totals all;
    std::size_t silent = 0;
    bool isNeeded = false;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        const peer_state &peer = it->second;
        silent += isSilent(now, peer) ? 1 : 0;
        isNeeded = isNeeded || (peer.isHeard && now - peer.firstHeardAt < newInstanceTime);
    }
    // An instance that is leaving or cut off hears too little of the others.
    const bool isKnown =
        2 * silent <= m_peers.size() && (m_hasAdoptedLevels || now - m_startedAt > newInstanceTime);
    if (!isKnown || !isNeeded)
        return all;
    for (auto it = m_buckets.begin(); it != m_buckets.end(); ++it) {
        refill(now, it->second);
        all[it->first] = available(now, it->second);
    }
    return all;
}

} // namespace trefoil
