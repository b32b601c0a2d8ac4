#include <dispatch/peer_load_table.h>

#include <map>
#include <random>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr duration lifetime = 1500ms;
const timestamp start = timestamp {} + 1h;

server_load loadOf(int running)
{
    return {.running = running, .pendingTokens = running * 100.0, .memoryTokens = running * 0.1};
}

} // namespace

TEST(PeerLoadTable, ReportReplacesTheEarlierOneOfItsInstance)
{
    peer_load_table table(lifetime);
    const peer_load_table::slot a = table.addServer("a");
    const peer_load_table::slot b = table.addServer("b");
    table.setLoad(start, "edge-1", {{"a", loadOf(3)}, {"b", loadOf(1)}});
    table.setLoad(start, "edge-2", {{"a", loadOf(2)}, {"unknown", loadOf(9)}});
    EXPECT_EQ(table.loadOn(a).running, 5);
    table.setLoad(start, "edge-1", {{"b", loadOf(4)}});
    EXPECT_EQ(table.loadOn(a).running, 2);
    EXPECT_EQ(table.loadOn(b).running, 4);
    table.setLoad(start, "edge-2", {});
    EXPECT_EQ(table.loadOn(a), server_load {});
}

TEST(PeerLoadTable, LoadOfASilentInstanceExpires)
{
    peer_load_table table(lifetime);
    const peer_load_table::slot a = table.addServer("a");
    table.setLoad(start, "edge-1", {{"a", loadOf(3)}});
    table.setLoad(start + 1s, "edge-2", {{"a", loadOf(2)}});
    table.removeExpired(start + lifetime);
    EXPECT_EQ(table.loadOn(a).running, 5);
    table.removeExpired(start + lifetime + 1ms);
    EXPECT_EQ(table.loadOn(a).running, 2);
}

// The load on a removed server was subtracted from the server that got its slot.
TEST(PeerLoadTable, SlotOfARemovedServerIsReusedWithoutItsLoad)
{
    peer_load_table table(lifetime);
    const peer_load_table::slot a = table.addServer("a");
    table.setLoad(start, "edge-1", {{"a", loadOf(3)}});
    table.removeServer("a");
    const peer_load_table::slot b = table.addServer("b");
    EXPECT_EQ(a, b);
    EXPECT_EQ(table.loadOn(b), server_load {});
    table.setLoad(start, "edge-2", {{"b", loadOf(2)}});
    table.setLoad(start, "edge-1", {{"a", loadOf(7)}});
    EXPECT_EQ(table.loadOn(b).running, 2);
}

// Compares with sums over all reports, as instances and servers come and go.
TEST(PeerLoadTable, SumsAreThoseOfAllValidReports)
{
    struct reported
    {
        timestamp at;
        server_loads loads;
    };
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::minstd_rand random(seed);
        peer_load_table table(lifetime);
        std::map<std::string, peer_load_table::slot> servers;
        std::map<std::string, reported> reports;
        timestamp now = start;
        for (int step = 0; step < 500; ++step) {
            now += std::chrono::milliseconds(random() % 200);
            const std::string server = "s" + std::to_string(random() % 8);
            if (random() % 10 == 0) {
                const auto known = servers.find(server);
                if (known == servers.end()) {
                    servers[server] = table.addServer(server);
                } else {
                    table.removeServer(server);
                    servers.erase(known);
                    for (auto it = reports.begin(); it != reports.end(); ++it)
                        it->second.loads.erase(server);
                }
            }
            server_loads loads;
            for (int i = 0; i < 3; ++i)
                loads["s" + std::to_string(random() % 8)] = loadOf(static_cast<int>(random() % 5));
            const std::string peer = "edge-" + std::to_string(random() % 12);
            table.setLoad(now, peer, loads);
            std::erase_if(loads, [&](const auto &each) { return !servers.contains(each.first); });
            reports[peer] = {.at = now, .loads = loads};
            for (auto it = servers.begin(); it != servers.end(); ++it) {
                server_load expected;
                for (auto each = reports.begin(); each != reports.end(); ++each) {
                    const auto found = each->second.loads.find(it->first);
                    if (found == each->second.loads.end() || now - each->second.at > lifetime)
                        continue;
                    expected.running += found->second.running;
                    expected.pendingTokens += found->second.pendingTokens;
                    expected.memoryTokens += found->second.memoryTokens;
                }
                const server_load &sum = table.loadOn(it->second);
                ASSERT_EQ(sum.running, expected.running) << seed << " " << step;
                ASSERT_EQ(sum.pendingTokens, expected.pendingTokens);
                ASSERT_NEAR(sum.memoryTokens, expected.memoryTokens, 1e-6);
            }
        }
    }
}

} // namespace trefoil
