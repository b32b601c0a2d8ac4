#include "../benchmarks/control_simulation.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using std::chrono::seconds;

std::string routesWithRate(int rate)
{
    return "teams:\n  - {name: reef, rate: " + std::to_string(rate)
        + ", burst: 8000}\nroutes:\n  - {name: a, path: /a, pool: p, teams: [reef]}\n";
}

constexpr const char *poolsTable = "pools:\n  - name: p\n    kind: service\n    servers:\n"
                                   "      - {name: s, zone: a, address: \"10.0.0.1:1\"}\n";

/// Session of six simulated nodes in virtual time, recorded as a log that is compared with a golden
/// file.
class simulated_session
{
public:
    explicit simulated_session(std::uint64_t seed) : simulation(6, seed)
    {
        simulation.onDecision = [this](const std::string &node, const request_decision &decision) {
            if (const refuse_decision *refusal = std::get_if<refuse_decision>(&decision.action))
                logLine(node + " refuses " + std::to_string(decision.id) + ": " + refusal->code
                        + (refusal->mayHaveRun ? " unknown" : " not-run"));
            else if (const send_decision *sent = std::get_if<send_decision>(&decision.action))
                logLine(node + " sends " + std::to_string(decision.id) + " to " + sent->server);
        };
    }

    void logLine(const std::string &text)
    {
        const std::int64_t ms = toMilliseconds(simulation.now.time_since_epoch()) - 1000000;
        m_log << ms / 1000 << "." << ms % 1000 / 100 << " " << text << "\n";
    }

    /// Logs the state of each node as it sees it: the active token rate of team "reef", the owner
    /// of its limit and the members that are alive.
    void logStates()
    {
        for (const std::string &name : simulation.names()) {
            if (simulation.pausedNodes.contains(name))
                continue;
            const Json::Value report = simulation.node(name).status(simulation.now);
            std::string alive;
            for (const Json::Value &each : report["members"])
                alive +=
                    each["state"].asString() == "alive" ? each["name"].asString().substr(3) : "";
            const route_table &table = simulation.activeConfiguration(name).routes;
            logLine(name + " rate "
                    + std::to_string(table.teams.empty() ? 0 : table.teams.front().rate) + " owner "
                    + report["limit_owners"]["reef"].asString() + " alive " + alive
                    + (report["attached"].asBool() ? "" : " cut off"));
        }
    }

    void sendRequest(const std::string &node, std::uint64_t id, double tokens)
    {
        simulation.node(node).begin(simulation.now,
                                    {.id = id,
                                     .team = "reef",
                                     .route = "a",
                                     .pool = "p",
                                     .tokens = tokens,
                                     .body = digestOf(std::to_string(id))});
    }

    /// Compares the log with the golden file. Overwrites the file first if TREFOIL_WRITE_GOLDEN is
    /// set.
    void expectGolden(const std::string &name)
    {
        const std::string path =
            std::string(TREFOIL_SOURCE_DIR) + "/libs/control/tests/golden/" + name + ".txt";
        if (std::getenv("TREFOIL_WRITE_GOLDEN"))
            std::ofstream(path) << m_log.str();
        std::ostringstream golden;
        golden << std::ifstream(path).rdbuf();
        EXPECT_EQ(m_log.str(), golden.str()) << name;
    }

    control_simulation simulation;

private:
    std::ostringstream m_log;
};

std::string limitOwnerSeenBy(simulated_session &session, const std::string &node)
{
    return session.simulation.node(node)
        .status(session.simulation.now)["limit_owners"]["reef"]
        .asString();
}

} // namespace

TEST(ControlSession, ConfigurationPropagatesThroughOutagesAndRestarts)
{
    simulated_session session(1);
    session.simulation.nodesWithoutPlatform.insert("n1005");
    session.simulation.apply(config_names::routes, routesWithRate(1000));
    session.simulation.apply(config_names::pools, poolsTable);
    session.simulation.run(seconds(8));
    session.logLine("n1005 never reaches the platform; everything is up");
    session.logStates();
    session.logLine("rate 2000 is applied");
    session.simulation.apply(config_names::routes, routesWithRate(2000));
    session.simulation.run(seconds(5));
    session.logStates();
    session.logLine("a table with a fault is applied");
    session.simulation.apply(config_names::routes, "teams: [{name: reef, rate: none}]\n");
    session.simulation.run(seconds(5));
    session.logStates();
    session.logLine("the platform goes out; n1002 and n1005 restart");
    session.simulation.isPlatformDown = true;
    session.simulation.kill("n1002");
    session.simulation.kill("n1005");
    session.simulation.run(seconds(1));
    session.simulation.start("n1002");
    session.simulation.start("n1005");
    session.simulation.run(seconds(3));
    session.logStates();
    session.logLine("the platform is back; rate 3000 is applied");
    session.simulation.isPlatformDown = false;
    session.simulation.apply(config_names::routes, routesWithRate(3000));
    session.simulation.run(seconds(8));
    session.logStates();
    session.expectGolden("configuration");
}

TEST(ControlSession, LimitOwnershipMovesAfterCrashAndNetworkPartition)
{
    simulated_session session(2);
    session.simulation.apply(config_names::routes, routesWithRate(1000));
    session.simulation.apply(config_names::pools, poolsTable);
    session.simulation.run(seconds(10));
    session.logStates();
    const std::string owner = limitOwnerSeenBy(session, "n1000");
    const std::string otherNode = owner == "n1000" ? "n1001" : "n1000";
    session.sendRequest(otherNode, 1, 500);
    session.simulation.run(seconds(1));
    session.logLine(owner + ", the owner, crashes");
    session.simulation.kill(owner);
    session.sendRequest(otherNode, 2, 500);
    session.simulation.run(seconds(2));
    session.sendRequest(otherNode, 3, 500);
    session.sendRequest(otherNode, 4, 9000);
    session.simulation.run(seconds(10));
    session.logStates();
    session.logLine("two instances are cut off from all others and from the platform");
    std::vector<std::string> names = session.simulation.names();
    const std::set<std::string> isolatedNodes(names.begin(), names.begin() + 2);
    session.simulation.nodesWithoutPlatform = isolatedNodes;
    session.simulation.isReachable = [isolatedNodes](const std::string &from,
                                                     const std::string &to) {
        return isolatedNodes.contains(from) == isolatedNodes.contains(to);
    };
    session.simulation.run(seconds(15));
    session.logStates();
    session.logLine("they are back");
    session.simulation.nodesWithoutPlatform.clear();
    session.simulation.isReachable = [](const std::string &, const std::string &) { return true; };
    session.simulation.run(seconds(60));
    session.logStates();
    session.expectGolden("owner_and_zone");
}

/// Guards against nodes that activate an older configuration. Two faults at random nodes and
/// platform outages overlap with configuration changes: no node's version may decrease, and after
/// the faults all nodes must reach the newest version.
TEST(ControlSession, ConfigurationNeverRevertsUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        std::mt19937_64 random(seed);
        control_simulation simulation(6, seed);
        simulation.apply(config_names::routes, routesWithRate(1));
        simulation.apply(config_names::pools, poolsTable);
        simulation.run(seconds(5));
        std::map<std::string, std::uint64_t> highestVersion;
        int rate = 1;
        for (int round = 0; round < 12; ++round) {
            const std::string firstNode = simulation.nameOf(static_cast<int>(random() % 6));
            const std::string secondNode = simulation.nameOf(static_cast<int>(random() % 6));
            simulation.pausedNodes.clear();
            simulation.nodesWithoutPlatform = {firstNode};
            simulation.isPlatformDown = random() % 4 == 0;
            if (random() % 2 == 0)
                simulation.pausedNodes.insert(secondNode);
            simulation.isReachable = [firstNode, secondNode](const std::string &from,
                                                             const std::string &to) {
                return !(from == firstNode && to == secondNode);
            };
            if (!simulation.isPlatformDown)
                simulation.apply(config_names::routes, routesWithRate(++rate));
            for (int i = 0; i < 30; ++i) {
                simulation.run(std::chrono::milliseconds(100));
                for (const std::string &name : simulation.names()) {
                    const std::uint64_t version =
                        simulation.activeConfiguration(name).routesVersion;
                    ASSERT_GE(version, highestVersion[name]) << name << " seed " << seed;
                    highestVersion[name] = version;
                }
            }
        }
        simulation.pausedNodes.clear();
        simulation.nodesWithoutPlatform.clear();
        simulation.isPlatformDown = false;
        simulation.isReachable = [](const std::string &, const std::string &) { return true; };
        simulation.run(seconds(10));
        for (const std::string &name : simulation.names())
            EXPECT_EQ(simulation.activeConfiguration(name).routes.teams.front().rate, rate)
                << name << " " << seed;
    }
}

} // namespace trefoil
