#include <dispatch/long_prompts.h>

#include <deque>
#include <string>
#include <vector>

#include <dispatch/load_balancer.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

std::vector<served_route> routesWith(duration shorter, duration longer, duration pause = 500ms)
{
    return {{.name = "questions",
             .targetLatency = shorter,
             .targetPause = pause,
             .targets = {{.service = "llm"}}},
            {.name = "ratings", .targetLatency = longer, .targets = {{.service = "llm"}}}};
}

constexpr prefill_load busy {
    .running = 6, .pendingTokens = 9000, .ownTokens = 6000, .tokensPerMs = 36.1};

/// Places 160 requests of two kinds on eight engines beside the load of another instance. Returns a
/// digit for each chosen engine.
std::string recordedChoices(const serving_tables &tables)
{
    std::vector<registered_server> servers;
    for (int i = 0; i < 8; ++i)
        servers.push_back({.id = "llm" + std::to_string(i),
                           .service = "llm",
                           .zone = "z" + std::to_string(i % 3),
                           .slots = 64,
                           .weights = {{"m", 1}},
                           .startedAtMs = 1});
    load_balancer balancer({.zone = "z1", .randomSeed = 5, .prefill = {.initialTokensPerMs = 20}});
    balancer.setTables(tables);
    balancer.setServers(servers);
    timestamp now = timestamp {} + 1h;
    std::deque<std::uint64_t> open;
    std::string chosen;
    for (int i = 0; i < 160; ++i) {
        now += std::chrono::milliseconds(5 + i * 7 % 20);
        const bool isLong = i % 3 == 0;
        const std::vector<prompt_part> prompt = isLong
            ? std::vector<prompt_part> {{"team" + std::to_string(i % 7), 3000},
                                        {"own", 2000.0 + i * 997 % 9000}}
            : std::vector<prompt_part> {{"own", 826}};
        const request_profile request {.service = "llm",
                                       .model = "m",
                                       .prompt = prompt,
                                       .outputTokens = 20,
                                       .targetLatency = isLong ? 800ms : 500ms};
        const server_placement placed = *balancer.choose(now, request);
        chosen += placed.server.back();
        open.push_back(balancer.begin(now, placed, request));
        if (open.size() > 12) {
            balancer.onFirstEvent(now, open[open.size() - 6]);
            balancer.onLoadReported(now, placed.server, i % 9, i % 2);
            balancer.end(now, open.front(),
                         i % 31 == 0 ? attempt_outcome::Lost : attempt_outcome::Done);
            open.pop_front();
        }
        if (i % 10 == 0)
            balancer.setPeerLoad(now, "peer",
                                 {{"llm" + std::to_string(i / 10 % 8),
                                   {.running = 3, .pendingTokens = 8000, .memoryTokens = 20000}}});
    }
    return chosen;
}

serving_tables engineTables()
{
    serving_tables tables;
    tables.services["llm"] = {.name = "llm",
                              .engine = engine_traits {.slots = 64,
                                                       .memoryTokens = 128000,
                                                       .bytesPerToken = 35136,
                                                       .linkMbps = 550000,
                                                       .models = {"m"}}};
    tables.services["store"] = {
        .name = "store",
        .cacheStore = cache_store {.address = {.host = "10.0.9.9", .port = 9}, .zone = "z1"}};
    return tables;
}

} // namespace

TEST(LongPrompts, AreInEffectOnlyForServicesWhoseTargetsDiffer)
{
    long_prompts prompts;
    EXPECT_FALSE(prompts.isEnabled("llm"));
    prompts.setRoutes(routesWith(500ms, 740ms));
    EXPECT_FALSE(prompts.isEnabled("llm"));
    EXPECT_EQ(prompts.costMs("llm", 740ms, busy), 0);
    prompts.setRoutes(routesWith(500ms, 750ms));
    EXPECT_TRUE(prompts.isEnabled("llm"));
    EXPECT_FALSE(prompts.isEnabled("other"));
    EXPECT_EQ(prompts.costMs("other", 750ms, busy), 0);
    prompts.setRoutes({});
    EXPECT_FALSE(prompts.isEnabled("llm"));
}

// Targets of routes to different services must not enable each other's.
TEST(LongPrompts, RoutesOfOtherServicesDoNotCount)
{
    std::vector<served_route> routes = routesWith(500ms, 800ms);
    routes[1].targets[0].service = "plain";
    long_prompts prompts;
    prompts.setRoutes(routes);
    EXPECT_FALSE(prompts.isEnabled("llm"));
    EXPECT_FALSE(prompts.isEnabled("plain"));
    routes[1].targets.push_back({.service = "llm"});
    prompts.setRoutes(routes);
    EXPECT_TRUE(prompts.isEnabled("llm"));
    EXPECT_FALSE(prompts.isEnabled("plain"));
}

TEST(LongPrompts, LongPromptCostsMoreWhereMoreRequestsRun)
{
    long_prompts prompts;
    prompts.setRoutes(routesWith(500ms, 800ms));
    prefill_load load = busy;
    const double cost = prompts.costMs("llm", 800ms, load);
    EXPECT_GT(cost, 0);
    load.running *= 2;
    EXPECT_NEAR(prompts.costMs("llm", 800ms, load), cost * 2, 1e-9);
    load.ownTokens *= 2;
    EXPECT_NEAR(prompts.costMs("llm", 800ms, load), cost * 4, 1e-9);
    load.running = 0;
    EXPECT_EQ(prompts.costMs("llm", 800ms, load), 0);
}

TEST(LongPrompts, ShortRequestAvoidsPendingPrefill)
{
    long_prompts prompts;
    prompts.setRoutes(routesWith(500ms, 800ms));
    prefill_load load = busy;
    EXPECT_GT(prompts.costMs("llm", 500ms, load), 0);
    load.pendingTokens = 0;
    EXPECT_EQ(prompts.costMs("llm", 500ms, load), 0);
}

// The pauses that were late arose on engines that other work made 2.5 times slower.
TEST(LongPrompts, SlowServerCostsMoreThanInProportion)
{
    long_prompts prompts;
    prompts.setRoutes(routesWith(500ms, 800ms));
    prefill_load slow = busy;
    slow.tokensPerMs /= 2.5;
    for (const duration target : {500ms, 800ms})
        EXPECT_GT(prompts.costMs("llm", target, slow),
                  2.5 * 2.5 * prompts.costMs("llm", target, busy));
    // Beyond the allowed pause a delay counts as it is.
    prefill_load slower = busy;
    slower.tokensPerMs /= 10;
    EXPECT_NEAR(prompts.costMs("llm", 500ms, slower), 9000 / 3.61, 1e-6);
}

TEST(LongPrompts, TargetStandsForAnAllowedPauseThatIsNotStated)
{
    long_prompts stated;
    stated.setRoutes(routesWith(500ms, 800ms, 500ms));
    long_prompts unstated;
    unstated.setRoutes(routesWith(500ms, 800ms, 0ms));
    EXPECT_EQ(stated.costMs("llm", 800ms, busy), unstated.costMs("llm", 800ms, busy));
}

// The sequence was recorded before long prompts were considered: services whose routes have equal
// targets, or almost, must be served as before.
TEST(LongPrompts, ChoicesAreAsBeforeUnlessTheTargetsDiffer)
{
    const std::string recorded =
        "14775632445062247560214474414447717747711117776111147717744017714474414445211141"
        "61771447141444771704711111477441114711774731771777041444771174171771447111444361";
    serving_tables tables = engineTables();
    EXPECT_EQ(recordedChoices(tables), recorded);
    tables.routes = routesWith(800ms, 800ms);
    EXPECT_EQ(recordedChoices(tables), recorded);
    tables.routes = routesWith(600ms, 800ms);
    EXPECT_EQ(recordedChoices(tables), recorded);
    tables.routes = routesWith(500ms, 800ms);
    EXPECT_NE(recordedChoices(tables), recorded);
}

TEST(LongPrompts, PlacementTellsWhetherTheCostMovedIt)
{
    serving_tables tables = engineTables();
    tables.routes = routesWith(500ms, 800ms);
    load_balancer balancer(
        {.zone = "z1", .randomSeed = 1, .prefill = {.initialTokensPerMs = 20}, .nonHomeCostMs = 0});
    balancer.setTables(tables);
    std::vector<registered_server> servers;
    for (const char *id : {"busy", "idle"})
        servers.push_back({.id = id,
                           .service = "llm",
                           .zone = std::string_view(id) == "busy" ? "z1" : "z2",
                           .slots = 64,
                           .weights = {{"m", 1}},
                           .startedAtMs = 1});
    balancer.setServers(servers);
    const std::vector<prompt_part> prompt {{"own", 20000}};
    const request_profile request {
        .service = "llm", .model = "m", .prompt = prompt, .targetLatency = 800ms};
    const timestamp now = timestamp {} + 1h;
    // The other zone costs 30 ms.
    const server_placement alone = *balancer.choose(now, request);
    EXPECT_EQ(alone.server, "busy");
    EXPECT_FALSE(alone.isMovedByLongPrompts);
    EXPECT_EQ(alone.longPromptMs, 0);
    balancer.setPeerLoad(now, "peer", {{"busy", {.running = 20}}});
    const server_placement moved = *balancer.choose(now, request);
    EXPECT_EQ(moved.server, "idle");
    EXPECT_TRUE(moved.isMovedByLongPrompts);
}

} // namespace trefoil
