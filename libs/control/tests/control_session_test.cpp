#include "../benchmarks/control_world.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using std::chrono::seconds;

std::string routes(int rate)
{
    return "teams:\n  - {name: reef, rate: " + std::to_string(rate)
        + ", burst: 8000}\nroutes:\n  - {name: a, path: /a, pool: p, teams: [reef]}\n";
}

constexpr const char *pools = "pools:\n  - name: p\n    kind: service\n    servers:\n"
                              "      - {name: s, zone: a, address: \"10.0.0.1:1\"}\n";

/// Whole session of six nodes in virtual time, written down line by line.
class session
{
public:
    explicit session(std::uint64_t seed) : world(6, seed)
    {
        world.onDecision = [this](const std::string &node, const request_decision &decision) {
            if (const refuse_decision *refusal = std::get_if<refuse_decision>(&decision.action))
                line(node + " refuses " + std::to_string(decision.id) + ": " + refusal->code
                     + (refusal->mayHaveRun ? " unknown" : " not-run"));
            else if (const send_decision *go = std::get_if<send_decision>(&decision.action))
                line(node + " sends " + std::to_string(decision.id) + " to " + go->server);
        };
    }

    void line(const std::string &text)
    {
        const std::int64_t ms = toMilliseconds(world.now.time_since_epoch()) - 1000000;
        m_log << ms / 1000 << "." << ms % 1000 / 100 << " " << text << "\n";
    }

    /// Writes what each node believes: its rate in force, the owner of reef's limit, who is alive.
    void state()
    {
        for (const std::string &name : world.names()) {
            if (world.frozen.contains(name))
                continue;
            const Json::Value report = world.node(name).status(world.now);
            std::string alive;
            for (const Json::Value &each : report["members"])
                alive +=
                    each["state"].asString() == "alive" ? each["name"].asString().substr(3) : "";
            const route_table &table = world.inForce(name).routes;
            line(name + " rate "
                 + std::to_string(table.teams.empty() ? 0 : table.teams.front().rate) + " owner "
                 + report["limit_owners"]["reef"].asString() + " alive " + alive
                 + (report["attached"].asBool() ? "" : " cut off"));
        }
    }

    void request(const std::string &node, std::uint64_t id, double tokens)
    {
        world.node(node).begin(world.now,
                               {.id = id,
                                .team = "reef",
                                .route = "a",
                                .pool = "p",
                                .tokens = tokens,
                                .body = digestOf(std::to_string(id))});
    }

    /// Compares with the golden file, or writes it where TREFOIL_WRITE_GOLDEN is set.
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

    control_world world;

private:
    std::ostringstream m_log;
};

std::string ownerOf(session &all, const std::string &seenBy)
{
    return all.world.node(seenBy).status(all.world.now)["limit_owners"]["reef"].asString();
}

} // namespace

TEST(ControlSession, ConfigurationThroughOutagesAndRestarts)
{
    session all(1);
    all.world.platformCut.insert("n1005");
    all.world.apply(config_names::routes, routes(1000));
    all.world.apply(config_names::pools, pools);
    all.world.run(seconds(8));
    all.line("n1005 never reaches the platform; everything is up");
    all.state();
    all.line("rate 2000 is applied");
    all.world.apply(config_names::routes, routes(2000));
    all.world.run(seconds(5));
    all.state();
    all.line("a table with a fault is applied");
    all.world.apply(config_names::routes, "teams: [{name: reef, rate: none}]\n");
    all.world.run(seconds(5));
    all.state();
    all.line("the platform goes out; n1002 and n1005 restart");
    all.world.platformOut = true;
    all.world.kill("n1002");
    all.world.kill("n1005");
    all.world.run(seconds(1));
    all.world.start("n1002");
    all.world.start("n1005");
    all.world.run(seconds(3));
    all.state();
    all.line("the platform is back; rate 3000 is applied");
    all.world.platformOut = false;
    all.world.apply(config_names::routes, routes(3000));
    all.world.run(seconds(8));
    all.state();
    all.expectGolden("configuration");
}

TEST(ControlSession, AnOwnerCrashesAndAZoneIsCut)
{
    session all(2);
    all.world.apply(config_names::routes, routes(1000));
    all.world.apply(config_names::pools, pools);
    all.world.run(seconds(10));
    all.state();
    const std::string owner = ownerOf(all, "n1000");
    const std::string other = owner == "n1000" ? "n1001" : "n1000";
    all.request(other, 1, 500);
    all.world.run(seconds(1));
    all.line(owner + ", the owner, crashes");
    all.world.kill(owner);
    all.request(other, 2, 500);
    all.world.run(seconds(2));
    all.request(other, 3, 500);
    all.request(other, 4, 9000);
    all.world.run(seconds(10));
    all.state();
    all.line("two instances are cut off from all others and from the platform");
    std::vector<std::string> names = all.world.names();
    const std::set<std::string> cut(names.begin(), names.begin() + 2);
    all.world.platformCut = cut;
    all.world.link = [cut](const std::string &from, const std::string &to) {
        return cut.contains(from) == cut.contains(to);
    };
    all.world.run(seconds(15));
    all.state();
    all.line("they are back");
    all.world.platformCut.clear();
    all.world.link = [](const std::string &, const std::string &) { return true; };
    all.world.run(seconds(60));
    all.state();
    all.expectGolden("owner_and_zone");
}

/// Random pairs of faults while the configuration changes: no node's configuration ever goes back,
/// and when the faults end all nodes have the newest.
TEST(ControlSession, ConfigurationNeverRevertsUnderRandomPairsOfFaults)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        std::mt19937_64 random(seed);
        control_world world(6, seed);
        world.apply(config_names::routes, routes(1));
        world.apply(config_names::pools, pools);
        world.run(seconds(5));
        std::map<std::string, std::uint64_t> highest;
        int rate = 1;
        for (int round = 0; round < 12; ++round) {
            const std::string one = world.nameOf(static_cast<int>(random() % 6));
            const std::string two = world.nameOf(static_cast<int>(random() % 6));
            world.frozen.clear();
            world.platformCut = {one};
            world.platformOut = random() % 4 == 0;
            if (random() % 2 == 0)
                world.frozen.insert(two);
            world.link = [one, two](const std::string &from, const std::string &to) {
                return !(from == one && to == two);
            };
            if (!world.platformOut)
                world.apply(config_names::routes, routes(++rate));
            for (int i = 0; i < 30; ++i) {
                world.run(std::chrono::milliseconds(100));
                for (const std::string &name : world.names()) {
                    const std::uint64_t version = world.inForce(name).routesVersion;
                    ASSERT_GE(version, highest[name]) << name << " seed " << seed;
                    highest[name] = version;
                }
            }
        }
        world.frozen.clear();
        world.platformCut.clear();
        world.platformOut = false;
        world.link = [](const std::string &, const std::string &) { return true; };
        world.run(seconds(10));
        for (const std::string &name : world.names())
            EXPECT_EQ(world.inForce(name).routes.teams.front().rate, rate) << name << " " << seed;
    }
}

} // namespace trefoil
