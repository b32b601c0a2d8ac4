#include <dispatch/cold_servers.h>
#include <dispatch/load_balancer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr double coldRate = 12;
constexpr double overage = 1.5;
constexpr double slack = 5;
constexpr std::uint64_t bornMs = 1'700'000'000'000;
const std::map<std::string, cold_rule, std::less<>> rules {
    {"llm", {.startTime = 30s, .requestsPerSecond = coldRate}}};

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds); }

/// The platform's bound for the requests of a second.
constexpr double allowedInSecond(double rate) { return rate * overage + slack; }

registered_server makeServer(int i, std::uint64_t startedAtMs = bornMs)
{
    return {.id = "s" + std::to_string(i),
            .service = "llm",
            .address = {.host = "10.0.0." + std::to_string(i + 1), .port = 80},
            .zone = "z" + std::to_string(i % 3 + 1),
            .release = "v1",
            .slots = 64,
            .startedAtMs = startedAtMs};
}

struct fleet_options
{
    std::size_t instances = 87;
    int servers = 60;
    double rate = coldRate;
    /// Requests per second of all callers together.
    double load = 600;
    /// Returns how many instances have callers at a time.
    std::function<std::size_t(double)> active = [](double) { return std::size_t {6}; };
    /// Returns whether a report is lost.
    std::function<bool(double, std::size_t, std::size_t)> isLost =
        [](double, std::size_t, std::size_t) { return false; };
    /// Time that reports wait at the link of an instance.
    std::function<double(double, std::size_t)> linkDelay = [](double, std::size_t) { return 0.0; };
    unsigned seed = 1;
};

/// Instances that report to each other as in production and send each request to a cold server if
/// one admits it. Requests that none admits go to warm servers. Starts at 0 s with warm servers.
class simulated_fleet
{
public:
    explicit simulated_fleet(fleet_options options)
        : m_options(std::move(options)), m_random(m_options.seed), m_arrivals(m_options.servers)
    {
        for (int i = 0; i < m_options.servers; ++i)
            m_servers.push_back(makeServer(i));
        for (std::size_t i = 0; i < m_options.instances; ++i) {
            m_members.push_back({.name = "i" + std::to_string(100 + i), .cold = newInstance()});
            m_members.back().reportedAt = -1.5 * uniform();
        }
        for (member &each : m_members) {
            listPeers(each);
            each.cold.setServers(at(m_now), bornMs + 3'600'000, m_servers);
        }
    }

    void runUntil(double end)
    {
        constexpr double step = 0.005;
        for (; m_now < end; m_now += step) {
            deliverReports();
            sendReports();
            m_due += m_options.load * step;
            for (; m_due >= 1; m_due -= 1)
                sendRequest();
        }
    }

    /// Restarts the servers that @p isRestarted selects; instances learn of it within a moment.
    void restartServers(const std::function<bool(int)> &isRestarted)
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (isRestarted(static_cast<int>(i)))
                m_servers[i].startedAtMs += 1'000'000;
        }
        for (member &each : m_members)
            each.cold.setServers(at(m_now), bornMs + 3'600'000, m_servers);
    }

    void restartInstance(std::size_t index)
    {
        member &restarted = m_members[index];
        restarted.cold = newInstance();
        restarted.incarnation += 1;
        restarted.sequence = 0;
        listPeers(restarted);
        restarted.cold.setServers(at(m_now), bornMs + 3'600'000, m_servers);
    }

    void stateCold(int server, duration left)
    {
        m_servers[static_cast<std::size_t>(server)].coldLeft = left;
        m_servers[static_cast<std::size_t>(server)].heartbeat += 1;
        for (member &each : m_members)
            each.cold.setServers(at(m_now), bornMs + 3'600'000, m_servers);
    }

    /// Returns the most requests that one server got in any second after @p from.
    std::size_t mostInASecond(double from = 0) const
    {
        std::size_t most = 0;
        for (std::vector<double> arrivals : m_arrivals) {
            std::sort(arrivals.begin(), arrivals.end());
            std::size_t first = 0;
            for (std::size_t i = 0; i < arrivals.size(); ++i) {
                while (arrivals[i] - arrivals[first] >= 1)
                    first += 1;
                if (arrivals[first] >= from)
                    most = std::max(most, i - first + 1);
            }
        }
        return most;
    }

    /// Returns the requests that @p server got from @p from until @p end.
    std::size_t arrivalsAt(int server, double from, double end) const
    {
        const std::vector<double> &all = m_arrivals[static_cast<std::size_t>(server)];
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&](double each) { return each >= from && each < end; }));
    }

    std::size_t warmRequests() const { return m_warmRequests; }
    double now() const { return m_now; }

private:
    struct member
    {
        std::string name;
        cold_servers cold;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        double reportedAt = 0;
        double requestedAt = -100;
    };
    struct sent_report
    {
        double arrivesAt = 0;
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        double period = 0;
        std::shared_ptr<const service_rates> rates;

        bool operator>(const sent_report &other) const { return arrivesAt > other.arrivesAt; }
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    cold_servers newInstance()
    {
        cold_servers cold({.overage = overage,
                           .slack = slack,
                           .randomSeed = static_cast<std::uint32_t>(m_random())});
        cold.setRules({{"llm", {.startTime = 30s, .requestsPerSecond = m_options.rate}}});
        return cold;
    }

    void listPeers(member &of)
    {
        std::vector<std::string> peers;
        for (const member &each : m_members) {
            if (each.name != of.name)
                peers.push_back(each.name);
        }
        of.cold.setPeers(at(m_now), peers);
    }

    void sendReports()
    {
        const double busyPeriod = 0.2 + 0.003 * static_cast<double>(m_members.size() - 1);
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            member &from = m_members[i];
            const bool isBusy = m_now - from.requestedAt < 3 || m_members.size() <= 24;
            const double period = isBusy ? busyPeriod : std::max(busyPeriod, 1.5);
            if (m_now - from.reportedAt < period)
                continue;
            from.reportedAt = m_now;
            from.sequence += 1;
            const auto rates =
                std::make_shared<const service_rates>(from.cold.takeDemandRates(at(m_now)));
            for (std::size_t to = 0; to < m_members.size(); ++to) {
                if (to == i || m_options.isLost(m_now, i, to))
                    continue;
                m_reports.push({.arrivesAt = m_now + 0.04 * uniform()
                                    + m_options.linkDelay(m_now, i)
                                    + m_options.linkDelay(m_now, to),
                                .from = i,
                                .to = to,
                                .incarnation = from.incarnation,
                                .sequence = from.sequence,
                                .period = period,
                                .rates = rates});
            }
        }
    }

    void deliverReports()
    {
        while (!m_reports.empty() && m_reports.top().arrivesAt <= m_now) {
            const sent_report &report = m_reports.top();
            m_members[report.to].cold.applyReport(at(m_now),
                                                  {.peer = m_members[report.from].name,
                                                   .incarnation = report.incarnation,
                                                   .sequence = report.sequence,
                                                   .period = fromSeconds(report.period),
                                                   .demandRates = *report.rates});
            m_reports.pop();
        }
    }

    void sendRequest()
    {
        const std::size_t active = std::min(m_options.active(m_now), m_members.size());
        member &instance = m_members[m_random() % active];
        instance.requestedAt = m_now;
        instance.cold.recordDemand(at(m_now), "llm");
        std::vector<std::string> admitted;
        for (const std::string &server : instance.cold.coldServersOf(at(m_now), "llm")) {
            if (!instance.cold.admit(at(m_now), server))
                admitted.push_back(server);
        }
        if (admitted.empty()) {
            m_warmRequests += 1;
            return;
        }
        const std::size_t chosen = m_random() % admitted.size();
        for (std::size_t i = 0; i < admitted.size(); ++i) {
            if (i != chosen)
                instance.cold.refund(admitted[i]);
        }
        // A connection may have to be opened first.
        const double transit = uniform() < 0.1 ? 0.05 * uniform() : 0.004 * uniform();
        m_arrivals[static_cast<std::size_t>(std::stoi(admitted[chosen].substr(1)))].push_back(
            m_now + transit);
    }

    fleet_options m_options;
    std::mt19937_64 m_random;
    std::vector<registered_server> m_servers;
    std::vector<member> m_members;
    std::priority_queue<sent_report, std::vector<sent_report>, std::greater<>> m_reports;
    std::vector<std::vector<double>> m_arrivals;
    std::size_t m_warmRequests = 0;
    double m_now = 0;
    double m_due = 0;
};

bool isInZoneOne(int server) { return server % 3 == 0; }

} // namespace

TEST(ColdServersFleet, ZoneThatRestartsAtOnceStaysInTheAllowanceAndIsWarmedUp)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        simulated_fleet fleet({.seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        fleet.runUntil(45);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
        // Each cold server gets at least half of its rate, and the warm ones the rest.
        for (int server = 0; server < 60; server += 3)
            EXPECT_GE(fleet.arrivalsAt(server, 12, 38), 0.5 * coldRate * 26) << seed << server;
        EXPECT_GE(fleet.warmRequests(), 35 * 600 - 30 * 20 * coldRate * 1.1);
    }
}

// Where each of many instances lets one request through, a server gets 81 in a second.
TEST(ColdServersFleet, CallersAtAllInstancesStayInTheAllowance)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        simulated_fleet fleet({.active = [](double) { return std::size_t {81}; }, .seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        fleet.runUntil(40);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
        for (int server = 0; server < 60; server += 3)
            EXPECT_GE(fleet.arrivalsAt(server, 12, 38), 0.25 * coldRate * 26) << seed << server;
    }
}

TEST(ColdServersFleet, CallersThatMoveStayInTheAllowance)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        // To all instances in the moment after the restart, and back.
        simulated_fleet fleet({.active =
                                   [](double now) {
                                       const bool isSpread = (now > 10.2 && now < 18) || now > 26;
                                       return isSpread ? std::size_t {81} : std::size_t {6};
                                   },
                               .seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        fleet.runUntil(40);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
    }
}

TEST(ColdServersFleet, LateAndLostReportsStayInTheAllowance)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        std::minstd_rand random(seed);
        simulated_fleet fleet(
            {.active = [](double now) { return now > 14 ? std::size_t {30} : std::size_t {6}; },
             .isLost = [&random](double, std::size_t, std::size_t) { return random() % 4 == 0; },
             .linkDelay = [](double now, std::size_t i) { return now > 9 && i < 3 ? 1.5 : 0.0; },
             .seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        fleet.runUntil(40);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
    }
}

TEST(ColdServersFleet, InstancesOutOfContactStayInTheAllowance)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        // A third of the instances, with two of the six that have callers, hears only itself.
        const auto isCutOff = [](std::size_t i) { return i % 3 == 0; };
        simulated_fleet fleet(
            {.active = [](double now) { return now > 25 ? std::size_t {81} : std::size_t {6}; },
             .isLost =
                 [isCutOff](double now, std::size_t from, std::size_t to) {
                     return now > 11 && isCutOff(from) != isCutOff(to);
                 },
             .seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        fleet.runUntil(40);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
        EXPECT_GE(fleet.arrivalsAt(0, 12, 38), 0.25 * coldRate * 26) << seed;
    }
}

TEST(ColdServersFleet, InstancesThatStartBesideStayInTheAllowance)
{
    for (const unsigned seed : {1u, 2u, 3u}) {
        simulated_fleet fleet({.seed = seed});
        fleet.runUntil(10);
        fleet.restartServers(isInZoneOne);
        for (std::size_t i = 0; i < 12; ++i) {
            fleet.runUntil(12 + static_cast<double>(i));
            fleet.restartInstance(i % 7);
        }
        // All of them at once.
        fleet.runUntil(26);
        for (std::size_t i = 0; i < 87; ++i)
            fleet.restartInstance(i);
        fleet.runUntil(40);
        EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate)) << seed;
    }
}

TEST(ColdServersFleet, ServerThatBecomesColdAgainGetsNoMoreThanItsAllowance)
{
    simulated_fleet fleet({});
    fleet.runUntil(10);
    fleet.stateCold(4, 12s);
    fleet.runUntil(30);
    EXPECT_LE(fleet.mostInASecond(), allowedInSecond(coldRate));
    EXPECT_GE(fleet.arrivalsAt(4, 11, 22), 0.5 * coldRate * 10);
    EXPECT_EQ(fleet.arrivalsAt(4, 22.2, 30), 0u);
}

TEST(ColdServersFleet, FleetsAndRatesOfAllSizesStayInTheAllowance)
{
    for (const std::size_t instances : {1, 2, 6, 8, 24, 87}) {
        for (const double rate : {0.3, 1.0, 4.0, 40.0}) {
            simulated_fleet fleet({.instances = instances,
                                   .servers = 6,
                                   .rate = rate,
                                   .load = 120,
                                   .active = [](double) { return std::size_t {40}; }});
            fleet.runUntil(8);
            fleet.restartServers([](int) { return true; });
            fleet.runUntil(36);
            EXPECT_LE(static_cast<double>(fleet.mostInASecond()), allowedInSecond(rate))
                << instances << " " << rate;
            EXPECT_GT(fleet.arrivalsAt(0, 8, 36), 0u) << instances << " " << rate;
        }
    }
}

TEST(ColdServers, InvalidAndMissingRulesLimitNothing)
{
    cold_servers cold({});
    cold.setPeers(at(0), {});
    const std::vector<registered_server> servers {makeServer(0)};
    for (const double rate : {0.0, -3.0}) {
        cold.setRules({{"llm", {.startTime = 30s, .requestsPerSecond = rate}}});
        cold.setServers(at(1), bornMs, servers);
        EXPECT_FALSE(cold.isCold(at(1), "s0"));
        for (int i = 0; i < 100; ++i)
            EXPECT_FALSE(cold.admit(at(1), "s0"));
    }
    EXPECT_FALSE(cold.admit(at(1), "unknown"));
}

TEST(ColdServers, ServerIsAssumedColdFromItsStartUnlessItsEntrySaysLess)
{
    cold_servers cold({.maxStatementAge = 6s});
    cold.setRules(rules);
    std::vector<registered_server> servers {makeServer(0), makeServer(1), makeServer(2),
                                            makeServer(3)};
    servers[1].coldLeft = 4s;
    servers[2].coldLeft = 0s;
    servers[3].startedAtMs = 0;
    // Started 20 s ago by a clock that may differ by 6 s.
    cold.setServers(at(100), bornMs + 20'000, servers);
    EXPECT_TRUE(cold.isCold(at(115.9), "s0"));
    EXPECT_FALSE(cold.isCold(at(116.1), "s0"));
    EXPECT_TRUE(cold.isCold(at(103.9), "s1"));
    EXPECT_FALSE(cold.isCold(at(104.1), "s1"));
    EXPECT_FALSE(cold.isCold(at(100), "s2"));
    EXPECT_TRUE(cold.isCold(at(129), "s3"));
    // The clock of the server is ahead.
    cold_servers other({});
    other.setRules(rules);
    other.setServers(at(100), bornMs - 50'000, servers);
    EXPECT_TRUE(other.isCold(at(129), "s0"));
    EXPECT_FALSE(other.isCold(at(131), "s0"));
}

TEST(ColdServers, ServerThatRestartsIsColdFromThatMoment)
{
    cold_servers cold({});
    cold.setRules(rules);
    std::vector<registered_server> servers {makeServer(0)};
    cold.setServers(at(100), bornMs + 3'600'000, servers);
    EXPECT_FALSE(cold.isCold(at(100), "s0"));
    // By its clock, which may be wrong, the first one restarted long ago.
    servers[0].startedAtMs += 1000;
    servers.push_back(makeServer(1, bornMs + 3'600'000));
    cold.setServers(at(200), bornMs + 3'600'000, servers);
    for (const char *server : {"s0", "s1"}) {
        EXPECT_TRUE(cold.isCold(at(229), server));
        EXPECT_FALSE(cold.isCold(at(231), server));
    }
}

// Entries that expire in an outage of the store made the whole service cold when they came back.
TEST(ColdServers, ServerThatIsListedAgainAfterAnOutageIsNotColdForIt)
{
    cold_servers cold({});
    cold.setRules(rules);
    const std::vector<registered_server> servers {makeServer(0)};
    cold.setServers(at(100), bornMs + 3'600'000, servers);
    cold.setServers(at(200), bornMs + 3'700'000, {});
    cold.setServers(at(210), bornMs + 3'710'000, servers);
    EXPECT_FALSE(cold.isCold(at(210), "s0"));
}

// The entry that was written before the zone was evacuated says 0 and may arrive late.
TEST(ColdServers, ZoneThatReturnsIsColdUnlessANewerStatementSaysOtherwise)
{
    cold_servers cold({.maxStatementAge = 6s});
    cold.setRules(rules);
    std::vector<registered_server> servers {makeServer(0), makeServer(1)};
    for (registered_server &each : servers)
        each.coldLeft = 0s;
    cold.setServers(at(100), bornMs + 3'600'000, servers);
    cold.onZoneReturned(at(200), "z1");
    EXPECT_TRUE(cold.isCold(at(229), "s0"));
    EXPECT_FALSE(cold.isCold(at(201), "s1"));
    servers[0].heartbeat += 1;
    cold.setServers(at(202), bornMs + 3'600'000, servers);
    EXPECT_TRUE(cold.isCold(at(203), "s0"));
    // The same entry again is no news.
    cold.setServers(at(208), bornMs + 3'600'000, servers);
    EXPECT_TRUE(cold.isCold(at(208), "s0"));
    servers[0].heartbeat += 1;
    cold.setServers(at(209), bornMs + 3'600'000, servers);
    EXPECT_FALSE(cold.isCold(at(209), "s0"));
}

TEST(ColdServers, AnswerStatesHowLongAServerStaysCold)
{
    cold_servers cold({});
    cold.setRules(rules);
    std::vector<registered_server> servers {makeServer(0)};
    servers[0].coldLeft = 0s;
    cold.setServers(at(100), bornMs + 3'600'000, servers);
    cold.recordStatement(at(110), at(109.9), "s0", 8s);
    EXPECT_TRUE(cold.isCold(at(117), "s0"));
    // An entry from before, and the answer to an earlier request, arrive late.
    servers[0].heartbeat += 1;
    cold.setServers(at(111), bornMs + 3'600'000, servers);
    cold.recordStatement(at(111), at(109), "s0", 0s);
    EXPECT_TRUE(cold.isCold(at(117), "s0"));
    cold.recordStatement(at(113), at(112.9), "s0", 0s);
    EXPECT_FALSE(cold.isCold(at(113), "s0"));
}

TEST(ColdServers, ServerThatIsColdForEverCountsAsColdForAnHour)
{
    cold_servers cold({});
    cold.setRules(rules);
    std::vector<registered_server> servers {makeServer(0), makeServer(1)};
    servers[0].coldLeft = std::chrono::hours(10'000);
    servers[1].coldLeft = 0s;
    cold.setServers(at(100), bornMs + 3'600'000, servers);
    cold.recordStatement(at(100), at(99), "s1", std::chrono::hours(10'000));
    for (const char *server : {"s0", "s1"}) {
        EXPECT_TRUE(cold.isCold(at(100 + 3599), server));
        EXPECT_FALSE(cold.isCold(at(100 + 3601), server));
    }
}

TEST(ColdServers, RefusesWithTheTimeUntilTheAllowanceHasARequest)
{
    cold_servers cold({});
    cold.setRules({{"llm", {.startTime = 30s, .requestsPerSecond = 2}}});
    cold.setPeers(at(0), {});
    const std::vector<registered_server> servers {makeServer(0)};
    cold.setServers(at(100), bornMs, servers);
    std::optional<duration> wait;
    for (int i = 0; i < 3 && !wait; ++i)
        wait = cold.admit(at(100), "s0");
    ASSERT_TRUE(wait);
    EXPECT_GT(toSeconds(*wait), 0);
    EXPECT_LE(toSeconds(*wait), 0.5);
    EXPECT_FALSE(cold.admit(at(100) + *wait + 1ms, "s0"));
    cold.refund("s0");
    EXPECT_FALSE(cold.admit(at(100) + *wait + 2ms, "s0"));
}

// Cold servers are idle and the cheapest, so all requests beyond the allowance have to go to the
// warm ones and none may be refused.
TEST(ColdServers, BalancerKeepsToTheAllowanceAndUsesWarmServers)
{
    load_balancer balancer({.zone = "z1", .randomSeed = 1, .limitsColdServers = true});
    serving_tables tables;
    tables.services["llm"] = {.name = "llm", .coldStartTime = 30s, .coldRequestsPerSecond = 12};
    balancer.setTables(tables);
    std::vector<registered_server> servers;
    for (int i = 0; i < 6; ++i)
        servers.push_back(makeServer(i));
    servers[0].coldLeft = 30s;
    balancer.setServers(servers);
    balancer.coldServers().setServers(at(100), bornMs + 3'600'000, servers);
    balancer.coldServers().setPeers(at(100), {});
    int cold = 0;
    for (int i = 0; i < 1000; ++i) {
        const timestamp now = at(100 + i * 0.01);
        if (i % 20 == 0)
            balancer.coldServers().takeDemandRates(now);
        const std::optional<server_placement> placed = balancer.choose(now, {.service = "llm"});
        ASSERT_TRUE(placed);
        cold += placed->server == "s0" ? 1 : 0;
        balancer.end(now, balancer.begin(now, *placed, {.service = "llm"}), attempt_outcome::Done);
    }
    EXPECT_LE(cold, 10 * 12 + 1);
    EXPECT_GE(cold, 10 * 6);
}

TEST(ColdServers, WithoutTheContractNoServerIsLimited)
{
    load_balancer balancer({.zone = "z1", .randomSeed = 1});
    serving_tables tables;
    tables.services["llm"] = {.name = "llm", .coldStartTime = 30s, .coldRequestsPerSecond = 1};
    balancer.setTables(tables);
    const std::vector<registered_server> servers {makeServer(0)};
    balancer.setServers(servers);
    balancer.coldServers().setServers(at(100), bornMs, servers);
    for (int i = 0; i < 100; ++i)
        EXPECT_TRUE(balancer.choose(at(100), {.service = "llm"}));
    EXPECT_TRUE(balancer.coldServers().takeDemandRates(at(101)).empty());
}

} // namespace trefoil
