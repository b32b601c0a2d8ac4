#include <dispatch/load_balancer.h>
#include <dispatch/zone_evacuations.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

const std::array<std::string, 1> zoneOne {"z1"};
const std::array<std::string, 3> allZones {"z1", "z2", "z3"};
const std::vector<prompt_part> prompt {{"terms", 2500}, {"group", 3800}, {"own", 2900}};

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds); }

request_profile promptRequest()
{
    return {.service = "llm", .model = "m", .prompt = prompt, .outputTokens = 13};
}

/// Engines in three zones, @p perZone in each, and a KV cache store in each zone of @p stores. The
/// instance itself is in z1.
struct test_pool
{
    explicit test_pool(int perZone, std::vector<std::string> stores = {"z1"})
    {
        serving_tables tables;
        tables.services["llm"] = {.name = "llm",
                                  .engine = engine_traits {.slots = 4,
                                                           .memoryTokens = 40000,
                                                           .bytesPerToken = 35136,
                                                           .linkMbps = 550000,
                                                           .models = {"m"}}};
        for (const std::string &zone : stores)
            tables.services["store-" + zone] = {
                .name = "store-" + zone,
                .cacheStore = cache_store {
                    .address = {.host = "10.9.0." + zone.substr(1), .port = 9}, .zone = zone}};
        std::vector<registered_server> servers;
        for (int i = 0; i < 3 * perZone; ++i)
            servers.push_back({.id = "s" + std::to_string(i),
                               .service = "llm",
                               .address = {.host = "10.0.0." + std::to_string(i + 1), .port = 80},
                               .zone = "z" + std::to_string(i % 3 + 1),
                               .release = "v1",
                               .slots = 4,
                               .weights = {{"m", 1}},
                               .startedAtMs = 1});
        balancer.setTables(tables);
        balancer.setServers(servers);
    }

    load_balancer balancer {{.zone = "z1", .randomSeed = 1}};
};

} // namespace

TEST(ZoneEvacuations, TellsWhichEvacuationsStartedAndEnded)
{
    zone_evacuations evacuations;
    EXPECT_EQ(evacuations.setZones(at(1), zoneOne).started, std::vector<std::string> {"z1"});
    const std::array<std::string, 2> both {"z1", "z2"};
    const zone_evacuations::changes second = evacuations.setZones(at(2), both);
    EXPECT_EQ(second.started, std::vector<std::string> {"z2"});
    EXPECT_TRUE(second.ended.empty());
    EXPECT_EQ(evacuations.zones().at("z1"), at(1));
    EXPECT_EQ(evacuations.setZones(at(3), {}).ended, (std::vector<std::string> {"z1", "z2"}));
    EXPECT_FALSE(evacuations.isEvacuated("z1"));
}

// Each change of the kind logged the same unknown zone again.
TEST(ZoneEvacuations, UnknownZoneIsToldOnceAndBindsNoOther)
{
    zone_evacuations evacuations;
    const std::array<std::string, 2> zones {"z1", "zz"};
    evacuations.setZones(at(1), zones);
    EXPECT_EQ(evacuations.takeUnknown({"z1", "z2"}), std::vector<std::string> {"zz"});
    evacuations.setZones(at(2), zones);
    EXPECT_TRUE(evacuations.takeUnknown({"z1", "z2"}).empty());
    EXPECT_TRUE(evacuations.isEvacuated("z1"));
    EXPECT_FALSE(evacuations.isEvacuated("z2"));
    evacuations.setZones(at(3), zoneOne);
    evacuations.setZones(at(4), zones);
    EXPECT_EQ(evacuations.takeUnknown({"z1", "z2"}), std::vector<std::string> {"zz"});
}

// Under overload the expected wait elsewhere exceeds any cost, so a zone that is only expensive
// would be used again.
TEST(ZoneEvacuations, EvacuatedZoneGetsNoRequestWhileTheRestIsTooSmall)
{
    test_pool pool(2);
    pool.balancer.setEvacuatedZones(at(1), zoneOne);
    for (int i = 0; i < 200; ++i) {
        const std::optional<server_placement> placed = pool.balancer.choose(at(2), promptRequest());
        ASSERT_TRUE(placed);
        EXPECT_NE(placed->zone, "z1");
        pool.balancer.begin(at(2), *placed, promptRequest());
    }
    // What request_runner refuses as overload.
    EXPECT_GT(pool.balancer.choose(at(2), promptRequest())->expectedMs, 5000);
}

TEST(ZoneEvacuations, EvacuatedZoneIsNotUsedIfNoOtherServerIsReachable)
{
    test_pool pool(1);
    pool.balancer.setEvacuatedZones(at(1), zoneOne);
    for (const char *server : {"s1", "s2"})
        pool.balancer.onProbeResult(server, false);
    for (int i = 0; i < 20; ++i)
        EXPECT_NE(pool.balancer.choose(at(2), promptRequest())->zone, "z1");
    pool.balancer.setEvacuatedZones(at(3), allZones);
    EXPECT_FALSE(pool.balancer.choose(at(3), promptRequest()));
}

TEST(ZoneEvacuations, NothingIsCopiedFromOrToAnEvacuatedZone)
{
    for (const std::vector<std::string> &stores :
         {std::vector<std::string> {"z1"}, std::vector<std::string> {"z1", "z2", "z3"}}) {
        test_pool pool(2, stores);
        // The prompt's parts are cached on engines of all zones and in the stores.
        for (int i = 0; i < 24; ++i) {
            const server_placement placed = *pool.balancer.choose(at(1), promptRequest());
            const std::uint64_t ticket = pool.balancer.begin(at(1), placed, promptRequest());
            pool.balancer.onFirstEvent(at(1), ticket);
        }
        pool.balancer.setEvacuatedZones(at(1.5), zoneOne);
        for (int i = 0; i < 50; ++i) {
            const std::vector<prompt_part> parts {
                {"terms", 2500}, {"group" + std::to_string(i % 8), 3800}, {"own", 2900}};
            request_profile request = promptRequest();
            request.prompt = parts;
            const server_placement placed = *pool.balancer.choose(at(2), request);
            EXPECT_FALSE(pool.balancer.usesEvacuatedZone(placed));
            for (const std::string &zone : placed.copyZones)
                EXPECT_NE(zone, "z1");
            // Stores and engines of z1.
            for (const std::optional<endpoint> &copy : {placed.cacheSource, placed.cacheSink}) {
                if (copy) {
                    EXPECT_NE(copy->host, "10.9.0.1");
                    EXPECT_NE(copy->host, "10.0.0.1");
                    EXPECT_NE(copy->host, "10.0.0.4");
                }
            }
            pool.balancer.begin(at(2), placed, request);
        }
    }
}

// The placement was made before the evacuation was known.
TEST(ZoneEvacuations, PlacementThatUsesTheZoneIsRecognisedBeforeItIsSent)
{
    test_pool pool(2);
    std::optional<server_placement> inZone;
    std::optional<server_placement> withCopy;
    for (int i = 0; i < 40 && !(inZone && withCopy); ++i) {
        const server_placement placed = *pool.balancer.choose(at(1), promptRequest());
        if (placed.zone == "z1")
            inZone = placed;
        else if (!placed.copyZones.empty())
            withCopy = placed;
        const std::uint64_t ticket = pool.balancer.begin(at(1), placed, promptRequest());
        pool.balancer.onFirstEvent(at(1), ticket);
    }
    ASSERT_TRUE(inZone && withCopy);
    EXPECT_FALSE(pool.balancer.usesEvacuatedZone(*inZone));
    pool.balancer.setEvacuatedZones(at(2), zoneOne);
    EXPECT_TRUE(pool.balancer.usesEvacuatedZone(*inZone));
    EXPECT_TRUE(pool.balancer.usesEvacuatedZone(*withCopy));
    pool.balancer.setEvacuatedZones(at(3), {});
    EXPECT_FALSE(pool.balancer.usesEvacuatedZone(*inZone));
}

TEST(ZoneEvacuations, ZoneIsUsedAgainAtOnceAfterTheRemoval)
{
    test_pool pool(1);
    pool.balancer.setEvacuatedZones(at(1), zoneOne);
    EXPECT_NE(pool.balancer.choose(at(2), promptRequest())->zone, "z1");
    EXPECT_EQ(pool.balancer.setEvacuatedZones(at(3), {}).ended, std::vector<std::string> {"z1"});
    std::vector<std::string> zones;
    for (int i = 0; i < 12; ++i) {
        const server_placement placed = *pool.balancer.choose(at(3), promptRequest());
        zones.push_back(placed.zone);
        pool.balancer.begin(at(3), placed, promptRequest());
    }
    EXPECT_NE(std::find(zones.begin(), zones.end(), "z1"), zones.end());
}

// With the home server in the instance's own zone only, all servers were strange to each prompt
// while that zone was evacuated.
TEST(ZoneEvacuations, PromptsKeepAHomeServerWhileTheOwnZoneIsEvacuated)
{
    test_pool pool(4);
    pool.balancer.setEvacuatedZones(at(1), zoneOne);
    const std::string home = pool.balancer.choose(at(2), promptRequest())->server;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(pool.balancer.choose(at(2), promptRequest())->server, home);
}

} // namespace trefoil
