#include <dispatch/team_limits.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include <dispatch/demand_growth.h>

namespace trefoil {

namespace {

/// Weight of the newest request in the average size.
constexpr double sizeWeight = 0.1;
/// Requests of average size that an instance may admit at once while the team keeps to its limit.
constexpr double calmRequests = 4;
/// Multiple of the tolerance that all instances together may then admit at once. More than one,
/// because few instances see a surge of requests at the same time.
constexpr double calmTolerances = 4;
/// Fraction of the burst above which a team that keeps to its rate is not refused.
constexpr double minFreeLevel = 0.25;
/// Windows in which what a limit still allows is added to the rate. The fewer, the more of its
/// limit gets a team that always asks for more, and the less evenly.
constexpr double windowRefillTime = 0.75;
/// How long the units of an instance that is no longer listed or heard are charged, without a
/// window.
constexpr duration unlistedTime = std::chrono::seconds(8);
/// Fraction of the burst that an instance takes for the level until another tells it.
constexpr double newInstanceLevel = 0.5;
/// Instances that a fleet is assumed to have until their list is known: as many as the largest one
/// that is planned for. Each instance of a fleet that starts at once assumes this.
constexpr double unknownFleetSize = 300;
/// Interval at which an instance remembers the demand on itself.
constexpr duration demandInterval = std::chrono::milliseconds(100);
/// Fraction of the others' demand that may be known late. What instances with so little of it admit
/// unheard is covered by the tolerance, which is a tenth of the limit too. Instances that just
/// became idle report later than they announced, and have little demand.
constexpr double maxLateDemand = 0.1;
/// Least rate in units per second used to compute a refused caller's wait.
constexpr double minRate = 1;

} // namespace

void team_limits::setLimit(timestamp now, std::string_view team, const team_limit &limit)
{
    const double windowTime = toSeconds(m_options.window);
    const double inWindow = limit.rate * windowTime + limit.burst;
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end()) {
        // An instance that has just started doesn't know what the others have spent. It begins with
        // its share of the burst and assumes that the rate was used until now.
        const double instances =
            m_arePeersKnown ? static_cast<double>(m_peers.size() + 1) : unknownFleetSize;
        const double share = limit.burst / instances;
        bucket added {.rate = limit.rate,
                      .burst = limit.burst,
                      .tolerance = limit.tolerance,
                      .level = std::max(share, limit.burst * newInstanceLevel),
                      .filledAt = now,
                      .allowance = share,
                      .spent = windowed_sum(m_options.window),
                      .peers = std::vector<peer_usage>(m_indexCount)};
        added.spent.fill(now, limit.rate * windowTime);
        m_buckets.emplace(std::string(team), std::move(added));
        return;
    }
    bucket &changed = found->second;
    refill(now, changed);
    // What was spent under a higher limit isn't held against a lower one.
    const double previous = changed.rate * windowTime + changed.burst;
    if (inWindow < previous)
        changed.spent.scale(inWindow / previous);
    changed.rate = limit.rate;
    changed.burst = limit.burst;
    changed.tolerance = limit.tolerance;
    changed.level = std::min(changed.level, limit.burst);
}

void team_limits::removeLimit(std::string_view team)
{
    const auto found = m_buckets.find(team);
    if (found != m_buckets.end())
        m_buckets.erase(found);
}

bool team_limits::hasEnded(timestamp now, const peer_state &peer) const
{
    if (peer.isLeaving)
        return isSilent(now, peer);
    const duration kept = std::max<duration>(m_options.window, unlistedTime);
    return !peer.isListed && now - peer.seenAt > kept;
}

team_limits::team_demand team_limits::demandOf(timestamp now, const bucket &teamBucket) const
{
    const double current = teamBucket.demand / toSeconds(m_options.demandTime);
    team_demand demand {.own = teamBucket.reportedDemand > 0 ? teamBucket.reportedDemand : current,
                        .current = std::max(current, teamBucket.reportedDemand)};
    demand.all = demand.own;
    if (!m_arePeersKnown) {
        demand.instances = unknownFleetSize;
        demand.all *= unknownFleetSize;
    }
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        if (hasEnded(now, it->second))
            continue;
        demand.instances += 1;
        demand.heard += isSilent(now, it->second) ? 0 : 1;
        // The demand on an instance that was never heard is assumed to equal that on this one.
        const double rate =
            it->second.isHeard ? teamBucket.peers[it->second.index].demandRate : demand.own;
        demand.all += rate;
        demand.requesters += rate > 0 ? 1 : 0;
        if (rate <= 0 || !it->second.isHeard)
            continue;
        demand.age =
            std::max<duration>(demand.age, now - it->second.seenAt + it->second.lateness.last());
        demand.isLate = demand.isLate || latenessOf(now, it->second) >= minLateness;
    }
    demand.age = std::min(demand.age, maxDemandAge);
    demand.growth = growthOf(now, teamBucket, demand.age);
    demand.all *= demand.growth;
    demand.own *= demand.growth;
    return demand;
}

double team_limits::growthOf(timestamp now, const bucket &teamBucket, duration age) const
{
    const std::deque<std::pair<timestamp, double>> &history = teamBucket.demandHistory;
    const auto after =
        std::upper_bound(history.begin(), history.end(), now - age,
                         [](timestamp time, const auto &each) { return time < each.first; });
    if (after == history.begin() || teamBucket.size <= 0)
        return 1;
    const std::pair<timestamp, double> &known = *std::prev(after);
    const double decay =
        std::exp(-toSeconds(now - age - known.first) / toSeconds(m_options.demandTime));
    return certainGrowth(known.second * decay, teamBucket.demand, teamBucket.size);
}

duration team_limits::latenessOf(timestamp now, const peer_state &peer)
{
    return std::max<duration>(peer.lateness.last(), now - peer.seenAt - peer.period);
}

std::optional<team_limits::unheard_units>
team_limits::unheardUnits(timestamp now, const team_demand &demand, bucket &teamBucket) const
{
    if (!demand.isLate || m_options.isStrict || teamBucket.size <= 0)
        return std::nullopt;
    const double time = toSeconds(m_options.demandTime);
    const duration age = std::min<duration>(demand.age, unheard_admissions::maxTime);
    const team_knowledge then = teamBucket.unheard.knownAt(now - age);
    const double demandThen = then.ownDemand + then.othersDemand;
    demand_estimate estimate(demandThen * time / then.requesters, teamBucket.size);
    estimate.setOwn(then.ownDemand * time, demand.current * time);
    double others = 0;
    double late = 0;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        const peer_state &peer = it->second;
        const peer_usage &usage = teamBucket.peers[peer.index];
        if (!peer.isHeard || hasEnded(now, peer))
            continue;
        others += usage.demandRate;
        late += latenessOf(now, peer) >= minLateness ? usage.demandRate : 0;
        if (now - peer.seenAt + peer.lateness.last() > age / 2)
            estimate.addLate(usage.demandRate * time);
        else
            estimate.addKnown(usage.previousDemandRate * time, usage.demandRate * time);
    }
    const double refill = refillRate(now, teamBucket);
    if (late < maxLateDemand * others || estimate.certain() <= refill * time)
        return std::nullopt;
    // The others know the demand on this instance as it was then.
    team_demand known = demand;
    known.all = demandThen;
    const double usable =
        teamBucket.tolerance + std::max(0.0, then.available) + refill * toSeconds(age);
    return unheard_units {.units = teamBucket.unheard.since(now - age),
                          .bound = shareOf(known, teamBucket, then.ownDemand) * usable};
}

void team_limits::keepDemand(timestamp now, const team_demand &demand, bucket &teamBucket) const
{
    teamBucket.unheard.keep(now,
                            {.ownDemand = demand.current,
                             .othersDemand = (demand.all - demand.own) / demand.growth,
                             .requesters = demand.requesters,
                             .available = available(now, teamBucket)});
    std::deque<std::pair<timestamp, double>> &history = teamBucket.demandHistory;
    if (!history.empty() && now - history.back().first < demandInterval)
        return;
    history.emplace_back(now, teamBucket.demand);
    while (now - history.front().first > maxDemandAge + demandInterval)
        history.pop_front();
}

double team_limits::expectedRate(const team_demand &demand, const bucket &teamBucket,
                                 double demandRate, double rate) const
{
    const double grown = demandRate * demand.growth;
    return std::min(shareOf(demand, teamBucket, grown) * rate, grown);
}

double team_limits::shareOf(const team_demand &demand, const bucket &teamBucket,
                            double demandRate) const
{
    const double equal = 1 / demand.instances;
    if (demand.all <= 0)
        return equal;
    double part = demandRate / demand.all;
    if (demand.all < teamBucket.rate) {
        const double sharers = demandRate > 0 ? demand.requesters : demand.instances;
        part = (demandRate + (teamBucket.rate - demand.all) / sharers) / teamBucket.rate;
    }
    return m_options.equalShare * equal + (1 - m_options.equalShare) * part;
}

double team_limits::available(timestamp now, bucket &teamBucket) const
{
    if (m_options.window == duration::zero())
        return teamBucket.level;
    const double inWindow = teamBucket.rate * toSeconds(m_options.window) + teamBucket.burst;
    return std::min(teamBucket.level, inWindow - teamBucket.spent.sum(now));
}

double team_limits::refillRate(timestamp now, bucket &teamBucket) const
{
    if (m_options.window == duration::zero())
        return teamBucket.rate;
    const double windowTime = toSeconds(m_options.window);
    const double unspent =
        teamBucket.rate * windowTime + teamBucket.burst - teamBucket.spent.sum(now);
    return teamBucket.rate
        + std::max(0.0, unspent - std::max(0.0, teamBucket.level))
        / (windowTime * windowRefillTime);
}

double team_limits::admissionRate(timestamp now, bucket &teamBucket, double level) const
{
    const duration time = level > 0 ? m_options.levelTime : m_options.debtTime;
    return std::max(0.0, refillRate(now, teamBucket) + level / toSeconds(time));
}

bool team_limits::isCalm(timestamp now, const team_demand &demand, bucket &teamBucket) const
{
    if (m_options.isStrict)
        return false;
    const double level = std::max(0.0, available(now, teamBucket));
    const double current = (demand.all - demand.own) / demand.growth + demand.current;
    const double expected = demand.growth > 1 ? std::max(demand.all, current) : current;
    return expected <= teamBucket.rate + level / toSeconds(m_options.levelTime);
}

double team_limits::maxAllowance(timestamp now, const team_demand &demand, bucket &teamBucket,
                                 double level) const
{
    const double share = shareOf(demand, teamBucket, demand.own);
    // An instance that knows of all admissions needs no tolerance, and silent ones may be using
    // theirs.
    const double tolerance = teamBucket.tolerance * (1 - share) * demand.heard / demand.instances;
    const double shared = share * std::max(0.0, level + tolerance);
    if (!isCalm(now, demand, teamBucket) || level <= 0)
        return shared;
    return std::max(shared,
                    std::min(teamBucket.size * calmRequests,
                             calmTolerances * teamBucket.tolerance / demand.requesters));
}

void team_limits::spend(timestamp now, bucket &teamBucket, double units)
{
    teamBucket.level -= units;
    teamBucket.spent.add(now, units);
}

void team_limits::chargePeers(timestamp now, bucket &teamBucket, const team_demand &demand,
                              double elapsed)
{
    const double rate = admissionRate(now, teamBucket, available(now, teamBucket));
    const double silentRate = std::max(rate, refillRate(now, teamBucket));
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        const peer_state &peer = it->second;
        peer_usage &usage = teamBucket.peers[peer.index];
        const bool isPeerSilent = isSilent(now, peer);
        if (hasEnded(now, peer) || (!isPeerSilent && usage.demandRate <= 0))
            continue;
        const double silentDemand = peer.isHeard ? usage.demandRate * demand.growth : demand.own;
        const double expected = elapsed
            * (isPeerSilent ? shareOf(demand, teamBucket, silentDemand) * silentRate
                            : expectedRate(demand, teamBucket, usage.demandRate, rate));
        usage.expected += expected;
        spend(now, teamBucket, expected);
        (isPeerSilent ? teamBucket.account.chargedForSilent : teamBucket.account.chargedForPeers) +=
            expected;
    }
}

void team_limits::refill(timestamp now, bucket &teamBucket)
{
    const double elapsed = toSeconds(now - teamBucket.filledAt);
    if (elapsed <= 0)
        return;
    teamBucket.filledAt = now;
    const team_demand demand = demandOf(now, teamBucket);
    teamBucket.level += refillRate(now, teamBucket) * elapsed;
    chargePeers(now, teamBucket, demand, elapsed);
    teamBucket.level = std::min(teamBucket.level, teamBucket.burst);
    teamBucket.demand *= std::exp(-elapsed / toSeconds(m_options.demandTime));
    keepDemand(now, demand, teamBucket);
    const double level = available(now, teamBucket);
    teamBucket.allowance = std::min(teamBucket.allowance
                                        + admissionRate(now, teamBucket, level)
                                            * shareOf(demand, teamBucket, demand.own) * elapsed,
                                    maxAllowance(now, demand, teamBucket, level));
}

bool team_limits::takeAllowance(timestamp now, const team_demand &demand, bucket &teamBucket,
                                double units)
{
    double &allowance = teamBucket.allowance;
    const bool isTeamCalm = isCalm(now, demand, teamBucket);
    // While much of the burst is left, a team that keeps to its rate may send it in any pattern.
    const bool isFree = isTeamCalm && available(now, teamBucket) > teamBucket.burst * minFreeLevel;
    if (allowance <= 0 && !isFree)
        return false;
    if (isTeamCalm) {
        // One large request doesn't hold up the next ones for long.
        allowance = std::max(allowance - units, std::min(allowance, -teamBucket.size));
        return true;
    }
    if (allowance >= teamBucket.size) {
        allowance -= units;
        return true;
    }
    // Rounds to a whole request at random and independently of its size. If all instances of a
    // large fleet rounded up, they would together exceed the limit by many requests.
    const bool isTaken =
        std::uniform_real_distribution<double>(0, teamBucket.size)(m_random) < allowance;
    allowance = isTaken ? teamBucket.size - units : 0;
    return isTaken;
}

std::optional<duration> team_limits::admit(timestamp now, std::string_view team, double units)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end() || found->second.rate <= 0)
        return std::nullopt;
    bucket &teamBucket = found->second;
    refill(now, teamBucket);
    teamBucket.demand += units;
    teamBucket.size += (units - teamBucket.size) * (teamBucket.size > 0 ? sizeWeight : 1);
    const team_demand demand = demandOf(now, teamBucket);
    teamBucket.allowance = std::min(
        teamBucket.allowance, maxAllowance(now, demand, teamBucket, available(now, teamBucket)));
    const double rate =
        std::max(minRate, refillRate(now, teamBucket) * shareOf(demand, teamBucket, demand.own));
    const std::optional<unheard_units> unheard = unheardUnits(now, demand, teamBucket);
    if (unheard && unheard->units >= unheard->bound) {
        teamBucket.account.refused += units;
        teamBucket.account.refusedUnheard += units;
        return fromSeconds(units / rate);
    }
    if (!takeAllowance(now, demand, teamBucket, units)) {
        teamBucket.account.refused += units;
        return fromSeconds((units - teamBucket.allowance) / rate);
    }
    spend(now, teamBucket, units);
    teamBucket.unheard.add(now, units);
    teamBucket.account.admitted += units;
    const auto total = m_totals.try_emplace(std::string(team), 0).first;
    total->second += units;
    return std::nullopt;
}

void team_limits::refund(std::string_view team, double units, std::optional<timestamp> admittedAt)
{
    const auto found = m_buckets.find(team);
    const auto total = m_totals.find(team);
    if (found == m_buckets.end() || total == m_totals.end())
        return;
    bucket &teamBucket = found->second;
    const timestamp at = std::min(admittedAt.value_or(teamBucket.filledAt), teamBucket.filledAt);
    spend(at, teamBucket, -units);
    teamBucket.unheard.add(at, -units);
    teamBucket.level = std::min(teamBucket.level, teamBucket.burst);
    teamBucket.allowance += units;
    teamBucket.account.refunded += units;
    total->second -= units;
}

team_limits::limit_state team_limits::limitState(timestamp now, std::string_view team)
{
    limit_state state;
    const auto found = m_buckets.find(team);
    if (found != m_buckets.end()) {
        const team_demand demand = demandOf(now, found->second);
        state.rate = found->second.rate;
        state.level = found->second.level;
        state.share = shareOf(demand, found->second, demand.own);
        state.allowance = found->second.allowance;
        const std::optional<unheard_units> unheard = unheardUnits(now, demand, found->second);
        if (unheard) {
            state.unheard = unheard->units;
            state.unheardBound = unheard->bound;
        }
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
        refill(now, it->second);
        const limit_account account = std::exchange(it->second.account, {});
        m_units.admitted += account.admitted;
        m_units.refused += account.refused;
        m_units.refusedUnheard += account.refusedUnheard;
        m_units.refunded += account.refunded;
        if (account.refused > 0 || it->second.level < it->second.burst / 2)
            accounts.emplace(it->first, account);
    }
    return accounts;
}

} // namespace trefoil
