#include <dispatch/team_limits.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr duration window = std::chrono::seconds(8);
constexpr double rate = 250000;
constexpr double burst = 250000;
/// What the limit allows in a window, and what the platform tolerates beyond it, for a team with
/// @p scale times the rate and burst.
constexpr double limitInWindowOf(double scale) { return (rate * 8 + burst) * scale; }
constexpr double allowedInWindowOf(double scale) { return limitInWindowOf(scale) * 1.1 + 110000; }
constexpr double limitInWindow = limitInWindowOf(1);
constexpr double allowedInWindow = allowedInWindowOf(1);
constexpr double requestUnits = 9200;
constexpr duration step = std::chrono::milliseconds(2);

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds); }

struct fleet_options
{
    std::size_t instances = 8;
    /// Returns the demand at a time, as a multiple of what the limit allows in the long run.
    std::function<double(double)> load;
    /// Returns how many instances have callers at a time.
    std::function<std::size_t(double)> active;
    /// Returns whether a report from one instance to another is lost.
    std::function<bool(double, std::size_t, std::size_t)> isLost =
        [](double, std::size_t, std::size_t) { return false; };
    /// Factor on the rate and the burst of the team.
    double scale = 1;
    /// Longest time that a report travels.
    double maxTransit = 0.04;
    /// Time that reports wait at the link of an instance, which is in heavy use.
    std::function<double(double, std::size_t)> linkDelay = [](double, std::size_t) { return 0.0; };
    unsigned seed = 1;
};

/// Instances that report to each other as in production: every 200 ms and 3 ms more for each other
/// instance, or every 1.5 s without callers in a large fleet. One team sends requests of uneven
/// size to random instances. Starts at -10 s.
class simulated_fleet
{
public:
    explicit simulated_fleet(fleet_options options)
        : m_options(std::move(options)), m_random(m_options.seed)
    {
        for (std::size_t i = 0; i < m_options.instances; ++i) {
            m_members.push_back({.name = "i" + std::to_string(100 + i), .limits = newLimits()});
            m_listed.insert(i);
        }
        for (member &each : m_members)
            listPeers(each);
        for (member &each : m_members) {
            applyLimit(each);
            each.reportedAt = at(m_now - 1.5 * uniform());
        }
    }

    void runUntil(double end)
    {
        for (; m_now < end; m_now += toSeconds(step)) {
            deliverReports();
            sendReports();
            sendRequests();
        }
    }

    /// Takes an instance off the list that the others know, or lists it again.
    void setListed(std::size_t index, bool isListed)
    {
        if (isListed)
            m_listed.insert(index);
        else
            m_listed.erase(index);
        for (member &each : m_members)
            listPeers(each);
    }

    /// Replaces an instance by one that knows nothing of before.
    void restart(std::size_t index)
    {
        member &restarted = m_members[index];
        restarted.limits = newLimits();
        restarted.incarnation += 1;
        restarted.startedAt = m_now;
        listPeers(restarted);
        applyLimit(restarted);
    }

    /// Kills all instances. They are back after @p downTime, know nothing of before, and learn of
    /// each other a little later.
    void restartAll(double downTime)
    {
        std::vector<double> starts;
        for (std::size_t i = 0; i < m_members.size(); ++i)
            starts.push_back(m_now + downTime + 0.2 * uniform());
        m_upAt = starts;
        m_reports = {};
        const double listedAt = m_now + downTime + 0.5;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            member &restarted = m_members[i];
            restarted.incarnation += 1;
            restarted.startedAt = starts[i];
            const double now = std::exchange(m_now, starts[i]);
            restarted.limits = newLimits();
            applyLimit(restarted);
            m_now = now;
        }
        runUntil(listedAt);
        for (member &each : m_members)
            listPeers(each);
    }

    /// Returns the most units that were admitted in any window.
    double maxInWindow() const
    {
        std::deque<std::pair<double, double>> inside;
        double sum = 0;
        double most = 0;
        for (const std::pair<double, double> &each : m_admitted) {
            inside.push_back(each);
            sum += each.second;
            while (each.first - inside.front().first > toSeconds(window)) {
                sum -= inside.front().second;
                inside.pop_front();
            }
            most = std::max(most, sum);
        }
        return most;
    }
    double admittedBetween(double from, double to) const
    {
        return sumBetween(m_admitted, from, to);
    }
    double offeredBetween(double from, double to) const { return sumBetween(m_offered, from, to); }

private:
    struct member
    {
        std::string name;
        team_limits limits;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        timestamp reportedAt;
        double requestedAt = -100;
        double startedAt = -10;
    };
    struct report
    {
        timestamp arrivesAt;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        double senderStartedAt = 0;
        admitted_totals admitted;
        admitted_totals demandRates;
        admitted_totals levels;
        duration period {};
        duration uptime {};
        bool operator<(const report &other) const { return arrivesAt > other.arrivesAt; }
    };

    static double sumBetween(const std::deque<std::pair<double, double>> &units, double from,
                             double to)
    {
        double sum = 0;
        for (const std::pair<double, double> &each : units)
            sum += each.first >= from && each.first < to ? each.second : 0;
        return sum;
    }
    bool isUp(std::size_t index) const { return m_upAt.empty() || m_now >= m_upAt[index]; }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    team_limits newLimits()
    {
        return team_limits({.window = window, .randomSeed = static_cast<std::uint32_t>(m_random())},
                           at(m_now));
    }
    void applyLimit(member &each)
    {
        const double scale = m_options.scale;
        // Half of what the platform tolerates.
        const double tolerance = (allowedInWindowOf(scale) - limitInWindowOf(scale)) / 2;
        each.limits.setLimit(
            at(m_now), "team",
            {.rate = rate * scale, .burst = burst * scale, .tolerance = tolerance});
    }
    void listPeers(member &each)
    {
        std::vector<std::string> peers;
        for (const std::size_t index : m_listed) {
            if (m_members[index].name != each.name)
                peers.push_back(m_members[index].name);
        }
        each.limits.setPeers(at(m_now), peers);
    }
    duration reportInterval(const member &each) const
    {
        const duration interval = std::chrono::milliseconds(200 + 3 * (m_members.size() - 1));
        const bool isBusy = m_now - each.requestedAt < 3;
        const bool isLarge = m_members.size() > 25;
        return isLarge && !isBusy ? std::max<duration>(interval, std::chrono::milliseconds(1500))
                                  : interval;
    }
    void sendReports()
    {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            member &sender = m_members[i];
            const duration period = reportInterval(sender);
            if (at(m_now) - sender.reportedAt < period)
                continue;
            if (!isUp(i))
                continue;
            sender.reportedAt = at(m_now);
            sender.sequence += 1;
            report sent {.from = i,
                         .incarnation = sender.incarnation,
                         .sequence = sender.sequence,
                         .senderStartedAt = sender.startedAt,
                         .admitted = sender.limits.totals(),
                         .demandRates = sender.limits.takeDemandRates(at(m_now)),
                         .period = period,
                         .uptime = fromSeconds(m_now - sender.startedAt)};
            sent.levels = sender.limits.takeLevels(at(m_now));
            for (std::size_t to = 0; to < m_members.size(); ++to) {
                const double transit = 0.001 + m_options.maxTransit * uniform()
                    + m_options.linkDelay(m_now, i) + m_options.linkDelay(m_now, to);
                if (to == i || m_options.isLost(m_now, i, to))
                    continue;
                sent.to = to;
                sent.arrivesAt = at(m_now + transit);
                m_reports.push(sent);
            }
        }
    }
    void deliverReports()
    {
        while (!m_reports.empty() && m_reports.top().arrivesAt <= at(m_now)) {
            const report arrived = m_reports.top();
            m_reports.pop();
            if (!isUp(arrived.to))
                continue;
            member &receiver = m_members[arrived.to];
            receiver.limits.applyReport(at(m_now),
                                        {.peer = m_members[arrived.from].name,
                                         .incarnation = arrived.incarnation,
                                         .sequence = arrived.sequence,
                                         .admitted = arrived.admitted,
                                         .demandRates = arrived.demandRates,
                                         .period = arrived.period,
                                         .uptime = arrived.uptime});
            if (arrived.senderStartedAt < receiver.startedAt)
                receiver.limits.adoptLevels(at(m_now), arrived.levels);
        }
    }
    void sendRequests()
    {
        std::exponential_distribution<double> pauses(1);
        std::lognormal_distribution<double> sizes(-0.32, 0.8);
        const double unitsPerSecond =
            m_options.load(m_now) * limitInWindowOf(m_options.scale) / toSeconds(window);
        for (; m_nextRequest <= m_now;
             m_nextRequest += pauses(m_random) * requestUnits / unitsPerSecond) {
            const double units = std::round(requestUnits * sizes(m_random));
            member &receiver = m_members[static_cast<std::size_t>(
                uniform() * static_cast<double>(m_options.active(m_now)))];
            if (!isUp(static_cast<std::size_t>(&receiver - m_members.data())))
                continue;
            receiver.requestedAt = m_now;
            m_offered.emplace_back(m_now, units);
            if (!receiver.limits.admit(at(m_now), "team", units))
                m_admitted.emplace_back(m_now, units);
        }
    }

    fleet_options m_options;
    std::mt19937 m_random;
    double m_now = -10;
    double m_nextRequest = -10;
    std::vector<member> m_members;
    std::set<std::size_t> m_listed;
    /// When each instance is back from the last restart of all.
    std::vector<double> m_upAt;
    std::priority_queue<report> m_reports;
    std::deque<std::pair<double, double>> m_admitted;
    std::deque<std::pair<double, double>> m_offered;
};

/// Returns the load of a team that keeps to two thirds of its limit until @p start.
std::function<double(double)> jumpAt(double start, double load)
{
    return [start, load](double now) { return now < start ? 0.66 : load; };
}
std::function<std::size_t(double)> always(std::size_t count)
{
    return [count](double) { return count; };
}

constexpr std::array<unsigned, 4> seeds {1, 2, 3, 4};

/// In a fleet of 81 instances, the reports of the six with callers are late or lost for 2.5 s in
/// turn: longer than an instance may be silent before it is assumed to spend its share.
fleet_options fleetWithLateReports(double load, unsigned seed)
{
    return {.instances = 81,
            .load = jumpAt(0, load),
            .active = always(6),
            .isLost =
                [](double now, std::size_t from, std::size_t to) {
                    const double phase = now + static_cast<double>((from * 7 + to * 3) % 10) / 3;
                    return from < 6 && std::fmod(phase + 100, 3.3) < 2.5;
                },
            .seed = seed};
}

} // namespace

TEST(TeamLimitsFleet, UnitsReportedAfterASilenceAreCharged)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet(fleetWithLateReports(1.6, seed));
        fleet.runUntil(24);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
    }
}

TEST(TeamLimitsFleet, JumpInDemandStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        for (const std::size_t instances : {std::size_t {8}, std::size_t {81}}) {
            simulated_fleet fleet({.instances = instances,
                                   .load = jumpAt(4, 9),
                                   .active = always(std::min<std::size_t>(instances, 8)),
                                   .seed = seed});
            fleet.runUntil(24);
            EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed << " " << instances;
            EXPECT_GE(fleet.admittedBetween(12, 24), 0.9 * limitInWindow * 12 / 8) << seed;
        }
    }
}

// All instances together see the jump of a large team long before its reports add up.
TEST(TeamLimitsFleet, JumpOfALargeTeamStaysInTheLimitOfTheWindow)
{
    constexpr double scale = 10;
    for (const unsigned seed : seeds) {
        for (const std::size_t active : {std::size_t {6}, std::size_t {81}}) {
            for (const double transit : {0.04, 0.6}) {
                simulated_fleet fleet({.instances = 81,
                                       .load = jumpAt(2, 4.6),
                                       .active = always(active),
                                       .scale = scale,
                                       .maxTransit = transit,
                                       .seed = seed});
                fleet.runUntil(14);
                EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(scale))
                    << seed << " " << active << " " << transit;
            }
        }
    }
}

namespace {

/// During a jump, the links of three of the six instances with callers carry reports late.
simulated_fleet fleetWithSlowLinks(double delay, unsigned seed)
{
    return simulated_fleet(
        {.instances = 81,
         .load = jumpAt(2, 4.6),
         .active = always(6),
         .scale = 10,
         .linkDelay = [delay](double now,
                              std::size_t index) { return now > 2 && index < 3 ? delay : 0.0; },
         .seed = seed});
}

} // namespace

// Instances admitted what others had used up already, as told by reports that were late.
TEST(TeamLimitsFleet, JumpBesideSlowLinksStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        for (const double delay : {0.3, 0.6}) {
            simulated_fleet fleet = fleetWithSlowLinks(delay, seed);
            fleet.runUntil(14);
            EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(10)) << seed << " " << delay;
        }
    }
}

TEST(TeamLimitsFleet, JumpBesideVerySlowLinksStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet = fleetWithSlowLinks(1, seed);
        fleet.runUntil(14);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(10)) << seed;
    }
}

// Lateness is measured against the most punctual report of the last minute, so that of links that
// are always slow isn't seen.
TEST(TeamLimitsFleet, JumpBesideLinksThatAreSlowFromTheStartStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet(
            {.instances = 81,
             .load = jumpAt(2, 4.6),
             .active = always(6),
             .scale = 10,
             .linkDelay = [](double, std::size_t index) { return index < 3 ? 1.0 : 0.0; },
             .seed = seed});
        fleet.runUntil(14);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(10)) << seed;
    }
}

// An instance gets so few requests of a small team that a jump was not certain within a second.
TEST(TeamLimitsFleet, JumpOfASmallTeamBesideVerySlowLinksStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet(
            {.instances = 81,
             .load = jumpAt(2, 4.6),
             .active = always(6),
             .linkDelay = [](double now,
                             std::size_t index) { return now > 2 && index < 3 ? 1.0 : 0.0; },
             .seed = seed});
        fleet.runUntil(14);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
    }
}

// A process that starts knows of no admissions and takes late reports for punctual ones. Restarts
// one with slow links and one without.
TEST(TeamLimitsFleet, InstanceThatRestartsBesideSlowLinksStaysInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        for (const std::size_t restarted : {std::size_t {0}, std::size_t {4}}) {
            for (const double delay : {0.3, 0.6, 1.0}) {
                simulated_fleet fleet = fleetWithSlowLinks(delay, seed);
                for (const double time : {4.0, 7.0}) {
                    fleet.runUntil(time);
                    fleet.restart(restarted);
                }
                fleet.runUntil(16);
                EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(10))
                    << seed << " " << restarted << " " << delay;
            }
        }
    }
}

TEST(TeamLimitsFleet, CallersThatMoveToAllInstancesStayInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet({.instances = 81,
                               .load = jumpAt(3, 5),
                               .active = [](double now) { return now < 4 ? 6 : 81; },
                               .seed = seed});
        fleet.runUntil(24);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
        EXPECT_GE(fleet.admittedBetween(12, 24), 0.9 * limitInWindow * 12 / 8) << seed;
    }
}

// An instance that stops leaves the list at once and serves its callers for some seconds more.
TEST(TeamLimitsFleet, UnitsOfUnlistedInstancesAreCharged)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet({.load = jumpAt(0, 5), .active = always(8), .seed = seed});
        for (std::size_t i = 0; i < 8; ++i) {
            fleet.runUntil(2.0 + 1.5 * static_cast<double>(i));
            fleet.setListed(i, false);
            if (i >= 4)
                fleet.setListed(i - 4, true);
        }
        fleet.runUntil(24);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
    }
}

TEST(TeamLimitsFleet, InstancesThatRestartInTurnStayInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet({.load = jumpAt(0, 5), .active = always(8), .seed = seed});
        for (std::size_t i = 0; i < 24; ++i) {
            fleet.runUntil(2.0 + 0.5 * static_cast<double>(i));
            fleet.restart(i % 8);
        }
        fleet.runUntil(24);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
    }
}

// Instances that were started together did not charge what the others had admitted before their
// first reports.
TEST(TeamLimitsFleet, RestartsOfAllInstancesStayInTheLimitOfTheWindow)
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        for (const double firstKill : {3.5, 5.0, 6.0}) {
            simulated_fleet fleet({.load = jumpAt(3, 7.5), .active = always(8), .seed = seed});
            for (const double killedAt : {firstKill, firstKill + 3.5}) {
                fleet.runUntil(killedAt);
                fleet.restartAll(1);
            }
            fleet.runUntil(20);
            EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed << " " << firstKill;
        }
    }
}

TEST(TeamLimitsFleet, RestartsOfAllInstancesOfALargeFleetStayInTheLimitOfTheWindow)
{
    for (const unsigned seed : {1u, 2u}) {
        for (const std::size_t active : {std::size_t {6}, std::size_t {81}}) {
            for (const double scale : {1.0, 10.0}) {
                simulated_fleet fleet({.instances = 81,
                                       .load = jumpAt(3, 7.5),
                                       .active = always(active),
                                       .scale = scale,
                                       .seed = seed});
                for (const double killedAt : {5.0, 8.5}) {
                    fleet.runUntil(killedAt);
                    fleet.restartAll(1);
                }
                fleet.runUntil(18);
                EXPECT_LE(fleet.maxInWindow(), allowedInWindowOf(scale))
                    << seed << " " << active << " " << scale;
            }
        }
    }
}

TEST(TeamLimitsFleet, CutOffInstancesStayInTheLimitOfTheWindow)
{
    for (const unsigned seed : seeds) {
        simulated_fleet fleet({.load = jumpAt(0, 5),
                               .active = always(8),
                               .isLost =
                                   [](double now, std::size_t from, std::size_t to) {
                                       const bool isCut =
                                           (now >= 4 && now < 8) || (now >= 11 && now < 15);
                                       return isCut && (from < 3 || to < 3);
                                   },
                               .seed = seed});
        fleet.runUntil(24);
        EXPECT_LE(fleet.maxInWindow(), allowedInWindow) << seed;
    }
}

TEST(TeamLimitsFleet, DemandBelowTheLimitIsNotRefused)
{
    for (const unsigned seed : seeds) {
        simulated_fleet small({.load = jumpAt(0, 0.66), .active = always(8), .seed = seed});
        simulated_fleet large(
            {.instances = 81, .load = jumpAt(0, 0.66), .active = always(6), .seed = seed});
        simulated_fleet spread(
            {.instances = 81, .load = jumpAt(0, 0.66), .active = always(81), .seed = seed});
        simulated_fleet late(fleetWithLateReports(0.66, seed));
        const std::vector<std::pair<const char *, simulated_fleet *>> fleets {
            {"small", &small}, {"large", &large}, {"spread", &spread}, {"late", &late}};
        for (const std::pair<const char *, simulated_fleet *> &each : fleets) {
            each.second->runUntil(24);
            EXPECT_GE(each.second->admittedBetween(0, 24),
                      0.99 * each.second->offeredBetween(0, 24))
                << each.first << " " << seed;
        }
    }
}

namespace {

/// A team at 60% of its rate, whose callers move from six instances to all 81 at 4 s and back at
/// 12 s.
fleet_options fleetWithMovingCallers(double scale, unsigned seed)
{
    return {.instances = 81,
            .load = [](double) { return 0.6 * rate * toSeconds(window) / limitInWindow; },
            .active = [](double now) { return now >= 4 && now < 12 ? 81 : 6; },
            .scale = scale,
            .seed = seed};
}

} // namespace

// Guards against refusals of an instance that has no part in a team's demand yet, or whose demand
// the others haven't heard of: a bound on what others can't have heard of can take callers that
// move for a jump in demand, and refuse 1 to 3% of a team that is below its limit.
TEST(TeamLimitsFleet, DemandBelowTheLimitIsNotRefusedWhenCallersMove)
{
    for (const unsigned seed : seeds) {
        for (const double scale : {1.0, 10.0}) {
            simulated_fleet fleet(fleetWithMovingCallers(scale, seed));
            fleet.runUntil(24);
            EXPECT_EQ(fleet.offeredBetween(0, 24) - fleet.admittedBetween(0, 24), 0)
                << seed << " " << scale;
        }
    }
}

// The same with reports that arrive up to 600 ms late. The bound is the requirement: a team below
// its limit is not refused.
TEST(TeamLimitsFleet, DemandBelowTheLimitIsNotRefusedWhenCallersMoveBesideLateReports)
{
    for (const unsigned seed : seeds) {
        for (const double scale : {1.0, 10.0}) {
            fleet_options options = fleetWithMovingCallers(scale, seed);
            options.maxTransit = 0.6;
            simulated_fleet fleet(options);
            fleet.runUntil(24);
            EXPECT_EQ(fleet.offeredBetween(0, 24) - fleet.admittedBetween(0, 24), 0)
                << seed << " " << scale;
        }
    }
}

} // namespace trefoil
