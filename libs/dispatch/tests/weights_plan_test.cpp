#include <dispatch/weights_plan.h>

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr const char *model = "m";
constexpr duration stepTime = std::chrono::milliseconds(50);

/// A pool of simulated servers that execute orders in a fixed time or lose them.
struct simulated_pool
{
    explicit simulated_pool(int count)
    {
        for (int i = 0; i < count; ++i)
            servers.push_back({.id = "s" + std::to_string(i),
                               .service = "llm",
                               .weights = {{model, 1}},
                               .startedAtMs = 1});
    }

    registered_server &find(const std::string &id)
    {
        return *std::find_if(servers.begin(), servers.end(),
                             [&id](const registered_server &each) { return each.id == id; });
    }

    /// Runs the plan until @p end. Returns the maximum number of servers that loaded concurrently.
    std::size_t run(timestamp &now, timestamp end, weights_plan &plan)
    {
        std::size_t maxLoads = 0;
        for (; now < end; now += stepTime) {
            for (auto it = loads.begin(); it != loads.end();) {
                if (it->second.first > now) {
                    ++it;
                    continue;
                }
                find(it->first).weights[model] = it->second.second;
                it = loads.erase(it);
            }
            const weights_plan::actions due = plan.next(now, 1,
                                                        {.servers = servers,
                                                         .targetWeights = {{model, targetVersion}},
                                                         .blockedUntil = blocked,
                                                         .unreachable = unreachable});
            for (const registered_server &each : due.serversToPoll) {
                if (mute.contains(each.id)) {
                    ++muteServersAmongSound;
                    plan.onState(now, each.id, nullptr);
                    continue;
                }
                const order_state state {.acceptedOrders = orders[each.id],
                                         .isBusy = loads.contains(each.id),
                                         .weights = find(each.id).weights};
                plan.onState(now, each.id, &state);
            }
            for (const registered_server &each : due.failingServersToPoll) {
                const order_state state {.acceptedOrders = orders[each.id],
                                         .isBusy = loads.contains(each.id),
                                         .weights = find(each.id).weights};
                plan.onState(now, each.id, mute.contains(each.id) ? nullptr : &state);
            }
            for (const weights_order &each : due.orders)
                plan.onAnswer(now, each.server, answer(now, each));
            maxLoads = std::max(maxLoads, loads.size());
        }
        return maxLoads;
    }

    order_answer answer(timestamp now, const weights_order &order)
    {
        ++sentOrders;
        if (ordersToLose.contains(order.server)) {
            ordersToLose.erase(order.server);
            return order_answer::Unknown;
        }
        if (loads.contains(order.server) || order.expectedOrders != orders[order.server])
            return order_answer::Conflict;
        orders[order.server] += 1;
        loads[order.server] = {now + std::chrono::milliseconds(1500), order.version};
        return order_answer::Accepted;
    }

    bool allRun(std::uint64_t version) const
    {
        return std::all_of(servers.begin(), servers.end(),
                           [version](const registered_server &each) {
                               return each.weights.find(model)->second == version;
                           });
    }

    std::vector<registered_server> servers;
    std::map<std::string, std::uint64_t> orders;
    std::map<std::string, std::pair<timestamp, std::uint64_t>> loads;
    std::set<std::string> ordersToLose;
    /// Servers that don't answer calls, and how often these were among the calls to the others.
    std::set<std::string, std::less<>> mute;
    int muteServersAmongSound = 0;
    std::map<std::string, timestamp, std::less<>> blocked;
    std::set<std::string, std::less<>> unreachable;
    std::uint64_t targetVersion = 1;
    int sentOrders = 0;
};

} // namespace

TEST(WeightsPlan, RollsOutNewWeightsInTimeAndKeepsMostServersInService)
{
    simulated_pool pool(18);
    weights_plan plan({});
    timestamp now {};
    pool.run(now, now + std::chrono::seconds(1), plan);
    EXPECT_EQ(pool.sentOrders, 0);
    pool.targetVersion = 2;
    const std::size_t maxLoads = pool.run(now, now + std::chrono::seconds(10), plan);
    EXPECT_TRUE(pool.allRun(2));
    EXPECT_LE(maxLoads, 7u);
    EXPECT_EQ(pool.sentOrders, 18);
}

TEST(WeightsPlan, SupersededVersionIsSkippedAndDoesNotBlockNewOrders)
{
    simulated_pool pool(18);
    weights_plan plan({});
    timestamp now {};
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::seconds(2), plan);
    pool.targetVersion = 3;
    pool.run(now, now + std::chrono::seconds(9), plan);
    EXPECT_TRUE(pool.allRun(3));
    EXPECT_LE(pool.sentOrders, 18 + 14);
}

TEST(WeightsPlan, LostOrdersAreDetectedAndRepeated)
{
    simulated_pool pool(6);
    pool.ordersToLose = {"s0", "s3", "s5"};
    weights_plan plan({});
    timestamp now {};
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::seconds(10), plan);
    EXPECT_TRUE(pool.allRun(2));
}

// Each call to a server that sends bytes without end takes its whole timeout. All calls took turns
// on the same threads, and the sound servers kept their old weights.
TEST(WeightsPlan, ServersWhoseCallsFailDoNotHoldUpTheOthers)
{
    simulated_pool pool(20);
    pool.mute = {"s0", "s1", "s2"};
    weights_plan plan({});
    timestamp now {};
    pool.run(now, now + std::chrono::seconds(2), plan);
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::seconds(10), plan);
    EXPECT_EQ(pool.muteServersAmongSound, 3);
    EXPECT_EQ(pool.sentOrders, 17);
    for (const registered_server &server : pool.servers)
        EXPECT_EQ(server.weights.at(model), pool.mute.contains(server.id) ? 1u : 2u);
    pool.mute.clear();
    pool.run(now, now + std::chrono::seconds(5), plan);
    EXPECT_TRUE(pool.allRun(2));
}

// A quarter of the pool is unreachable when the target weights change. Orders and polls to
// unreachable servers each blocked a thread until their timeout and counted as concurrent loads.
TEST(WeightsPlan, UnreachableServersGetNoOrdersUntilReachable)
{
    simulated_pool pool(20);
    pool.unreachable = {"s0", "s1", "s2", "s3", "s4"};
    weights_plan plan({});
    timestamp now {};
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::seconds(8), plan);
    EXPECT_EQ(pool.sentOrders, 15);
    for (const registered_server &server : pool.servers)
        EXPECT_EQ(server.weights.at(model), pool.unreachable.contains(server.id) ? 1u : 2u);
    pool.unreachable.clear();
    pool.run(now, now + std::chrono::seconds(5), plan);
    EXPECT_TRUE(pool.allRun(2));
}

TEST(WeightsPlan, RestartedServerIsPolledAndOrderedAgain)
{
    simulated_pool pool(3);
    weights_plan plan({});
    timestamp now {};
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::seconds(4), plan);
    pool.find("s1").startedAtMs = 2;
    pool.find("s1").weights[model] = 1;
    pool.orders["s1"] = 0;
    pool.run(now, now + std::chrono::seconds(4), plan);
    EXPECT_TRUE(pool.allRun(2));
}

TEST(WeightsPlan, BlockedServersGetNoOrdersUntilTheBlockEnds)
{
    simulated_pool pool(4);
    weights_plan plan({});
    timestamp now {};
    pool.blocked = {{"s2", now + std::chrono::seconds(3)}};
    pool.targetVersion = 2;
    pool.run(now, now + std::chrono::milliseconds(2900), plan);
    EXPECT_EQ(pool.orders["s2"], 0u);
    pool.run(now, now + std::chrono::seconds(3), plan);
    EXPECT_TRUE(pool.allRun(2));
}

TEST(WeightsPlan, ServersWithTheOldestWeightsAreOrderedFirst)
{
    simulated_pool pool(12);
    pool.targetVersion = 3;
    for (int i = 0; i < 12; ++i)
        pool.servers[static_cast<std::size_t>(i)].weights[model] = i < 8 ? 2 : 1;
    weights_plan plan({.maxLoadingShare = 0.25, .minConcurrentLoads = 3});
    timestamp now {};
    pool.run(now, now + std::chrono::milliseconds(200), plan);
    for (auto it = pool.loads.begin(); it != pool.loads.end(); ++it)
        EXPECT_EQ(pool.find(it->first).weights[model], 1u) << it->first;
    EXPECT_EQ(pool.loads.size(), 3u);
}

} // namespace trefoil
