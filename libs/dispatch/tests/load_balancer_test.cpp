#include <dispatch/load_balancer.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

serving_tables engineTables()
{
    serving_tables tables;
    tables.services["llm"] = {.name = "llm",
                              .engine = engine_traits {.slots = 64,
                                                       .memoryTokens = 128000,
                                                       .bytesPerToken = 35136,
                                                       .linkMbps = 550000,
                                                       .models = {"m"}}};
    tables.services["plain"] = {.name = "plain"};
    tables.services["store"] = {
        .name = "store",
        .cacheStore = cache_store {.address = {.host = "10.0.9.9", .port = 9}, .zone = "z1"}};
    return tables;
}

std::vector<registered_server> makeServers(const char *service, int count, bool isModel)
{
    std::vector<registered_server> servers;
    for (int i = 0; i < count; ++i) {
        registered_server server {
            .id = std::string(service) + std::to_string(i),
            .service = service,
            .address = {.host = "10.0.0." + std::to_string(i + 1), .port = 80},
            .zone = i % 3 == 0 ? "z1"
                : i % 3 == 1   ? "z2"
                               : "z3",
            .release = "v1",
            .slots = 6,
            .startedAtMs = 1};
        if (isModel)
            server.weights["m"] = 1;
        servers.push_back(std::move(server));
    }
    return servers;
}

load_balancer makeBalancer(const std::vector<registered_server> &servers)
{
    load_balancer balancer({.zone = "z1", .randomSeed = 1});
    balancer.setTables(engineTables());
    balancer.setServers(servers);
    return balancer;
}

const std::vector<prompt_part> prompt {{"terms", 2500}, {"group", 3800}, {"own", 2900}};

request_profile sharedPromptRequest()
{
    return {.service = "llm", .model = "m", .prompt = prompt, .outputTokens = 13};
}

} // namespace

TEST(LoadBalancer, SharedPromptStaysOnItsHomeServerUntilQueueingCostsMoreThanACopy)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 18, true));
    timestamp now {};
    const std::string home = balancer.choose(now, sharedPromptRequest())->server;
    EXPECT_EQ(balancer.choose(now, sharedPromptRequest())->server, home);
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        const server_placement placed = *balancer.choose(now, sharedPromptRequest());
        used.insert(placed.server);
        balancer.begin(now, placed, sharedPromptRequest());
    }
    // Once requests queue at the home server, other engines copy the part from one that holds it.
    EXPECT_GT(used.size(), 3u);
    EXPECT_TRUE(used.contains(home));
}

TEST(LoadBalancer, PartPlacedByAnotherInstanceIsCopiedNotRecomputed)
{
    const std::vector<registered_server> servers = makeServers("llm", 2, true);
    load_balancer other = makeBalancer(servers);
    load_balancer balancer = makeBalancer(servers);
    timestamp now {};
    const server_placement first = *other.choose(now, sharedPromptRequest());
    const std::uint64_t ticket = other.begin(now, first, sharedPromptRequest());
    other.onFirstEvent(now, ticket);
    balancer.addCachePlacements(now, other.takeCachePlacements());
    const std::vector<std::string> tried {first.server};
    request_profile again = sharedPromptRequest();
    again.tried = tried;
    const server_placement second = *balancer.choose(now, again);
    EXPECT_EQ(second.missingTokens, 2900);
    EXPECT_TRUE(second.cacheSource.has_value());
    EXPECT_FALSE(second.cacheSink);
}

// A request that was abandoned before its first event has cached nothing, neither on its engine nor
// in the store. When it was taken for cached, the next requests asked the store in vain, computed
// the part again and did not store it.
TEST(LoadBalancer, PartOfAnAbandonedRequestIsNotTakenForCached)
{
    const std::vector<registered_server> servers = makeServers("llm", 2, true);
    load_balancer balancer = makeBalancer(servers);
    load_balancer other = makeBalancer(servers);
    timestamp now {};
    const server_placement first = *balancer.choose(now, sharedPromptRequest());
    ASSERT_TRUE(first.cacheSink);
    const std::uint64_t ticket = balancer.begin(now, first, sharedPromptRequest());
    balancer.end(now + std::chrono::seconds(1), ticket, attempt_outcome::Lost);
    other.addCachePlacements(now, balancer.takeCachePlacements());
    for (load_balancer *each : {&balancer, &other}) {
        const server_placement next = *each->choose(now, sharedPromptRequest());
        EXPECT_EQ(next.missingTokens, 9200);
        EXPECT_TRUE(next.cacheSink);
    }
}

TEST(LoadBalancer, StoreHoldsAPartFromTheFirstEventOn)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    timestamp now {};
    const server_placement first = *balancer.choose(now, sharedPromptRequest());
    const std::uint64_t ticket = balancer.begin(now, first, sharedPromptRequest());
    const std::vector<std::string> tried {first.server};
    request_profile again = sharedPromptRequest();
    again.tried = tried;
    EXPECT_TRUE(balancer.choose(now, again)->cacheSink);
    balancer.onFirstEvent(now, ticket);
    EXPECT_FALSE(balancer.choose(now, again)->cacheSink);
}

// Engines that compute 38 tokens in a millisecond, where 90 are assumed at first.
TEST(LoadBalancer, ExpectationsFollowTheMeasuredPrefillRate)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 1, true));
    timestamp now {};
    for (int i = 0; i < 20; ++i) {
        const std::vector<prompt_part> unshared {{"own" + std::to_string(i), 13300}};
        const request_profile request {.service = "llm", .model = "m", .prompt = unshared};
        const server_placement placed = *balancer.choose(now, request);
        const std::uint64_t ticket = balancer.begin(now, placed, request);
        now += std::chrono::milliseconds(40 + 350);
        balancer.onFirstEvent(now, ticket);
        balancer.end(now, ticket, attempt_outcome::Done);
        now += std::chrono::seconds(1);
    }
    const std::vector<prompt_part> longPrompt {{"last", 39900}};
    const request_profile longRequest {.service = "llm", .model = "m", .prompt = longPrompt};
    EXPECT_NEAR(balancer.choose(now, longRequest)->uncachedMs, 40 + 39900 / 38.0, 150);
    // An instance without requests of its own learns the rate from the others' reports.
    load_balancer other = makeBalancer(makeServers("llm", 1, true));
    const std::map<std::string, double, std::less<>> rates = balancer.takePrefillRates();
    for (int report = 0; report < 4; ++report)
        other.addPrefillRates(rates);
    EXPECT_NEAR(other.choose(now, longRequest)->uncachedMs, 40 + 39900 / 38.0, 150);
    EXPECT_TRUE(balancer.takePrefillRates().empty());
}

// One store in each of three zones, and more prompt prefixes than one store or the engines of one
// zone can hold: every instance must assign a prefix to the same store.
TEST(LoadBalancer, EachPrefixIsAssignedOneStoreAndAHomeServerInItsZone)
{
    serving_tables tables = engineTables();
    tables.services.erase("store");
    std::map<std::string, std::string> zoneByStore;
    for (int i = 1; i <= 3; ++i) {
        const std::string zone = "z" + std::to_string(i);
        const endpoint address {.host = "10.0.9." + std::to_string(i), .port = 9};
        tables.services["store" + zone] = {
            .name = "store" + zone,
            .cacheStore = cache_store {.address = address, .zone = zone, .linkMbps = 310000}};
        zoneByStore[toString(address)] = zone;
    }
    const std::vector<registered_server> servers = makeServers("llm", 18, true);
    std::map<std::string, int> prefixesByStore;
    for (int prefix = 0; prefix < 90; ++prefix) {
        const std::vector<prompt_part> parts {
            {"terms", 2500}, {"group" + std::to_string(prefix), 3800}, {"own", 2900}};
        request_profile request = sharedPromptRequest();
        request.prompt = parts;
        std::set<std::string> stores;
        for (const char *zone : {"z1", "z2", "z3"}) {
            load_balancer balancer({.zone = zone, .randomSeed = 7});
            balancer.setTables(tables);
            balancer.setServers(servers);
            const server_placement placed = *balancer.choose({}, request);
            ASSERT_TRUE(placed.cacheSink);
            stores.insert(toString(*placed.cacheSink));
            EXPECT_EQ(placed.zone, zoneByStore[toString(*placed.cacheSink)]);
        }
        ASSERT_EQ(stores.size(), 1u) << "all instances use the same store";
        prefixesByStore[*stores.begin()] += 1;
    }
    ASSERT_EQ(prefixesByStore.size(), 3u);
    for (auto it = prefixesByStore.begin(); it != prefixesByStore.end(); ++it)
        EXPECT_GT(it->second, 15) << it->first;
}

// While a store's link is busy with copies, the store must stay the copy source. Copying from an
// engine that had used the part within the last 12 s instead doubled the recomputed tokens under
// full load, because engines evict parts sooner.
TEST(LoadBalancer, BusyStoreRemainsTheCopySourceAndItsWaitIsAddedToTheEstimate)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    timestamp now {};
    const server_placement first = *balancer.choose(now, sharedPromptRequest());
    balancer.onFirstEvent(now, balancer.begin(now, first, sharedPromptRequest()));
    const std::string other = first.server == "llm0" ? "llm1" : "llm0";
    now += std::chrono::seconds(2);
    const std::vector<std::string> tried {first.server};
    request_profile again = sharedPromptRequest();
    again.tried = tried;
    const std::optional<server_placement> idleLink = balancer.choose(now, again);
    ASSERT_TRUE(idleLink && idleLink->cacheSource);
    EXPECT_EQ(toString(*idleLink->cacheSource), "10.0.9.9:9");
    const cache_placement busy {.server = other, .store = "10.0.9.9:9", .storeTransferMs = 400};
    balancer.addCachePlacements(now, std::span(&busy, 1));
    const std::optional<server_placement> busyLink = balancer.choose(now, again);
    ASSERT_TRUE(busyLink && busyLink->cacheSource);
    EXPECT_EQ(toString(*busyLink->cacheSource), "10.0.9.9:9");
    EXPECT_NEAR(busyLink->expectedMs, idleLink->expectedMs + 400, 1);
    now += std::chrono::milliseconds(300);
    EXPECT_NEAR(balancer.choose(now, again)->expectedMs, idleLink->expectedMs + 100, 1);
    // An engine that has just used the part is preferred, because copying from it is faster.
    balancer.begin(now, first, sharedPromptRequest());
    EXPECT_EQ(*balancer.choose(now, again)->cacheSource, first.address);
}

TEST(LoadBalancer, CacheSaltDiffersByWeightsAndCacheGroup)
{
    EXPECT_NE(cacheSaltOf("m", 1, ""), cacheSaltOf("m", 2, ""));
    serving_tables tables;
    for (const char *name : {"reef", "cove", "dune"})
        tables.teams[name] = {.name = name, .isIsolated = std::string_view(name) != "dune"};
    tables.assignCacheGroups();
    const auto saltOf = [&tables](const char *team) {
        return cacheSaltOf("m", 1, tables.teams[team].cacheGroup);
    };
    EXPECT_EQ(saltOf("dune"), cacheSaltOf("m", 1, tables.sharedCacheGroup));
    EXPECT_NE(saltOf("dune"), saltOf("reef"));
    EXPECT_NE(saltOf("reef"), saltOf("cove"));
    EXPECT_NE(cacheSaltOf("m", 1, ""), saltOf("reef"));
    load_balancer balancer = makeBalancer(makeServers("llm", 1, true));
    timestamp now {};
    const server_placement before = *balancer.choose(now, sharedPromptRequest());
    balancer.begin(now, before, sharedPromptRequest());
    EXPECT_EQ(balancer.choose(now, sharedPromptRequest())->missingTokens, 2900);
    balancer.onWeightsObserved(now, "llm0", "m", 2);
    const server_placement after = *balancer.choose(now, sharedPromptRequest());
    EXPECT_NE(before.cacheSalt, after.cacheSalt);
    EXPECT_EQ(after.weights, 2u);
    EXPECT_EQ(after.missingTokens, 9200);
}

TEST(LoadBalancer, WeightsReportedByAnotherInstanceAreUsedButNotReportedAgain)
{
    load_balancer observer = makeBalancer(makeServers("llm", 2, true));
    load_balancer receiver = makeBalancer(makeServers("llm", 2, true));
    const timestamp now = timestamp {} + std::chrono::seconds(10);
    observer.onWeightsObserved(now, "llm1", "m", 2);
    receiver.onWeightsReported("llm1", "m", 2);
    const timestamp since = now - std::chrono::seconds(3);
    ASSERT_EQ(observer.serversWithNewWeights(since).size(), 1u);
    EXPECT_TRUE(receiver.serversWithNewWeights(since).empty());
    EXPECT_EQ(receiver.servers()[1].weights.at("m"), 2u);
    EXPECT_TRUE(observer.serversWithNewWeights(now + std::chrono::seconds(4)).empty());
}

TEST(LoadBalancer, NoRequestIsPlacedOnStaleWeightsPastTheLimit)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    timestamp now {};
    balancer.onWeightsObserved(now, "llm0", "m", 2);
    balancer.addTargetWeights("m", 2, now);
    balancer.addTargetWeights("m", 3, now + std::chrono::seconds(8));
    now += std::chrono::seconds(12);
    for (int i = 0; i < 20; ++i) {
        const std::optional<server_placement> placed = balancer.choose(now, sharedPromptRequest());
        ASSERT_TRUE(placed);
        EXPECT_EQ(placed->server, "llm0");
        balancer.begin(now, *placed, sharedPromptRequest());
    }
    EXPECT_FALSE(balancer.choose(now + std::chrono::seconds(8), sharedPromptRequest()));
}

// A queue at a server with older weights was longer than the time left for starting on them. Its
// requests started on weights that had been replaced for too long.
TEST(LoadBalancer, NoRequestIsPlacedWhereItsExpectedWaitEndsPastTheLimitOfTheWeights)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    const timestamp setAt = timestamp {} + 1s;
    balancer.addTargetWeights("m", 2, setAt);
    double expectedMs = 0;
    while (expectedMs < 1600) {
        const server_placement placed = *balancer.choose(setAt, sharedPromptRequest());
        expectedMs = placed.expectedMs;
        balancer.begin(setAt, placed, sharedPromptRequest());
    }
    const timestamp soon = setAt + 8s;
    const timestamp late = setAt + 10s;
    EXPECT_TRUE(balancer.choose(soon, sharedPromptRequest()));
    EXPECT_FALSE(balancer.choose(late, sharedPromptRequest()));
    balancer.onWeightsObserved(late, "llm1", "m", 2);
    for (int i = 0; i < 20; ++i) {
        const std::optional<server_placement> placed = balancer.choose(late, sharedPromptRequest());
        ASSERT_TRUE(placed);
        EXPECT_EQ(placed->server, "llm1");
        balancer.begin(late, *placed, sharedPromptRequest());
    }
}

// The time that a request may wait was reserved, also at servers that would start it at once.
TEST(LoadBalancer, RequestThatStartsAtOnceIsPlacedOnOlderWeightsUntilShortlyBeforeTheirLimit)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    const timestamp setAt = timestamp {} + 1s;
    balancer.addTargetWeights("m", 2, setAt);
    const std::optional<server_placement> placed =
        balancer.choose(setAt + 11s, sharedPromptRequest());
    ASSERT_TRUE(placed);
    EXPECT_LT(placed->expectedMs, 200);
    EXPECT_FALSE(balancer.choose(setAt + 11600ms, sharedPromptRequest()));
}

TEST(LoadBalancer, LatestStartIsBeforeTheLimitThatTheFirstNewerVersionSets)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 1, true));
    const timestamp setAt = timestamp {} + 1s;
    balancer.addTargetWeights("m", 2, setAt);
    balancer.addTargetWeights("m", 3, setAt + 8s);
    EXPECT_EQ(balancer.weightsLimit("m", 1), setAt + 12s);
    EXPECT_EQ(balancer.latestStart("m", 1), setAt + 11600ms);
    EXPECT_EQ(balancer.latestStart("m", 2), setAt + 19600ms);
    EXPECT_FALSE(balancer.latestStart("m", 3));
}

TEST(LoadBalancer, NewWeightsDoNotAttractAllRequestsToTheFirstUpdatedServer)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 18, true));
    timestamp now {};
    balancer.onWeightsObserved(now, "llm0", "m", 2);
    balancer.addTargetWeights("m", 2, now);
    now += std::chrono::seconds(3);
    int onNew = 0;
    for (int i = 0; i < 60; ++i) {
        const std::vector<prompt_part> own {
            {"terms", 2500}, {"g" + std::to_string(i), 3800}, {"own", 2900}};
        request_profile request = sharedPromptRequest();
        request.prompt = own;
        const server_placement placed = *balancer.choose(now, request);
        onNew += placed.server == "llm0" ? 1 : 0;
        balancer.begin(now, placed, request);
    }
    EXPECT_GT(onNew, 0);
    EXPECT_LT(onNew, 20);
}

TEST(LoadBalancer, InstancesThatExchangeReportsSpreadOverIdleServers)
{
    const std::vector<registered_server> servers = makeServers("plain", 6, false);
    std::vector<load_balancer> balancers;
    for (int i = 0; i < 8; ++i)
        balancers.push_back(makeBalancer(servers));
    std::map<std::string, int> counts;
    const timestamp now {};
    for (int round = 0; round < 6; ++round) {
        for (std::size_t i = 0; i < balancers.size(); ++i) {
            const request_profile request {.service = "plain"};
            const server_placement placed = *balancers[i].choose(now, request);
            balancers[i].begin(now, placed, request);
            ++counts[placed.server];
        }
        for (std::size_t from = 0; from < balancers.size(); ++from) {
            for (std::size_t to = 0; to < balancers.size(); ++to) {
                if (from != to)
                    balancers[to].setPeerLoad(now, "i" + std::to_string(from),
                                              balancers[from].ownLoad());
            }
        }
    }
    for (auto it = counts.begin(); it != counts.end(); ++it)
        EXPECT_LE(it->second, 2 * 48 / 6) << it->first;
    EXPECT_EQ(counts.size(), 6u);
}

TEST(LoadBalancer, ServerThatLosesRequestsIsSuspectForALimitedTime)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    timestamp now {};
    const request_profile request {.service = "plain"};
    server_placement bad = *balancer.choose(now, request);
    for (int i = 0; i < 2; ++i)
        balancer.end(now, balancer.begin(now, bad, request), attempt_outcome::Lost);
    EXPECT_TRUE(balancer.isSuspect(now, bad.server));
    for (int i = 0; i < 30; ++i)
        EXPECT_NE(balancer.choose(now, request)->server, bad.server);
    EXPECT_FALSE(balancer.isSuspect(now + std::chrono::seconds(1), bad.server));
}

TEST(LoadBalancer, UnreachableServerGetsNoRequestsUntilAProbeSucceeds)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    timestamp now {};
    const request_profile request {.service = "plain"};
    const server_placement unreachable = *balancer.choose(now, request);
    balancer.end(now, balancer.begin(now, unreachable, request), attempt_outcome::Unreachable);
    for (int i = 0; i < 200; ++i) {
        const server_placement placed = *balancer.choose(now, request);
        EXPECT_NE(placed.server, unreachable.server);
        balancer.begin(now, placed, request);
    }
    EXPECT_EQ(balancer.unreachableServers(), std::vector<std::string> {unreachable.server});
    // Reachability is tested by periodic probes, not by callers' requests.
    EXPECT_TRUE(balancer.serversToProbe(now).empty());
    now += std::chrono::milliseconds(600);
    ASSERT_EQ(balancer.serversToProbe(now).size(), 1u);
    EXPECT_TRUE(balancer.serversToProbe(now).empty());
    balancer.onProbeResult(unreachable.server, true);
    EXPECT_EQ(balancer.choose(now + std::chrono::seconds(1), request)->server, unreachable.server);
}

TEST(LoadBalancer, RequestedProbeIsRateLimited)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    const timestamp now = timestamp {} + std::chrono::seconds(10);
    balancer.requestProbe(now, "plain1");
    ASSERT_EQ(balancer.serversToProbe(now).size(), 1u);
    balancer.onProbeResult("plain1", true);
    balancer.requestProbe(now + std::chrono::milliseconds(300), "plain1");
    EXPECT_TRUE(balancer.serversToProbe(now + std::chrono::milliseconds(900)).empty());
}

// Guards against overlapping probes: with 35 unreachable servers probed twice a second, each probe
// took a third of a second.
TEST(LoadBalancer, ServerIsNotProbedAgainBeforeTheLastProbeHasEnded)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    timestamp now = timestamp {} + std::chrono::seconds(10);
    balancer.requestProbe(now, "plain1");
    ASSERT_EQ(balancer.serversToProbe(now).size(), 1u);
    EXPECT_TRUE(balancer.serversToProbe(now + std::chrono::seconds(3)).empty());
    balancer.onProbeResult("plain1", false);
    EXPECT_EQ(balancer.serversToProbe(now + std::chrono::seconds(3)).size(), 1u);
}

TEST(LoadBalancer, ServersAreStillUsedIfAllFail)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    timestamp now {};
    const request_profile request {.service = "plain"};
    for (int i = 0; i < 30; ++i)
        balancer.end(now, balancer.begin(now, *balancer.choose(now, request), request),
                     attempt_outcome::Lost);
    EXPECT_TRUE(balancer.choose(now, request));
}

// Guards against placement that learns only from about ten slow requests that a machine has become
// slower, although the server states it.
TEST(LoadBalancer, ServersThatStateASlowPaceGetFewerRequests)
{
    for (const char *service : {"llm", "plain"}) {
        const bool isModel = std::string_view(service) == "llm";
        load_balancer balancer = makeBalancer(makeServers(service, 3, isModel));
        timestamp now {};
        const std::string slow = std::string(service) + "1";
        for (int i = 0; i < 20; ++i) {
            now += 100ms;
            balancer.onPaceReported(now, slow, 250);
        }
        const std::vector<prompt_part> own {{"own", 9000}};
        const request_profile request {.service = service,
                                       .model = isModel ? "m" : "",
                                       .prompt = isModel ? std::span(own)
                                                         : std::span<const prompt_part> {}};
        int onSlow = 0;
        for (int i = 0; i < 30; ++i) {
            const server_placement placed = *balancer.choose(now, request);
            balancer.begin(now, placed, request);
            onSlow += placed.server == slow ? 1 : 0;
        }
        EXPECT_LT(onSlow, 8) << service;
        EXPECT_GT(onSlow, 0) << service;
    }
}

// A server whose requests take as long as it states must not be taken for slower than that, and one
// whose statement is wrong must be judged by its measured times.
TEST(LoadBalancer, StatedPaceIsNotCountedOnTopOfTheMeasuredSlowness)
{
    for (const double real : {2.5, 1.0}) {
        load_balancer balancer = makeBalancer(makeServers("llm", 1, true));
        timestamp now {};
        const std::vector<prompt_part> own {{"own", 9000}};
        const request_profile request {.service = "llm", .model = "m", .prompt = own};
        const double usualMs = 40 + 9000 / 90.0;
        for (int i = 0; i < 60; ++i) {
            const std::uint64_t ticket =
                balancer.begin(now, *balancer.choose(now, request), request);
            now += fromSeconds(usualMs * real / 1000);
            balancer.onPaceReported(now, "llm0", 250);
            balancer.onFirstEvent(now, ticket);
            balancer.end(now, ticket, attempt_outcome::Done);
        }
        EXPECT_NEAR(balancer.choose(now, request)->expectedMs, usualMs * real, usualMs * 0.1);
        now += 5s;
        EXPECT_NEAR(balancer.choose(now, request)->expectedMs, usualMs * real, usualMs * 0.1);
    }
}

TEST(LoadBalancer, EngineWithFullMemoryIsAvoided)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 2, true));
    timestamp now {};
    const std::vector<prompt_part> large {{"own", 60000}};
    const request_profile request {
        .service = "llm", .model = "m", .prompt = large, .outputTokens = 10};
    std::map<std::string, int> counts;
    for (int i = 0; i < 2; ++i) {
        const server_placement placed = *balancer.choose(now, request);
        ++counts[placed.server];
        balancer.begin(now, placed, request);
    }
    EXPECT_EQ(counts.size(), 2u);
    // The memory of both engines is nearly full: a third request would queue, which its expected
    // time must include.
    EXPECT_GT(balancer.choose(now, request)->expectedMs, 1000);
}

TEST(LoadBalancer, LeavingLoadingTriedAndExcludedServersAreNotChosen)
{
    std::vector<registered_server> servers = makeServers("plain", 4, false);
    servers[0].isLeaving = true;
    load_balancer balancer = makeBalancer(servers);
    timestamp now {};
    balancer.markLoading("plain1", now + std::chrono::seconds(1));
    const std::vector<std::string> tried {"plain2"};
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(balancer.choose(now, {.service = "plain", .tried = tried})->server, "plain3");
    const std::vector<std::string> excluded {"v1"};
    EXPECT_FALSE(balancer.choose(now, {.service = "plain", .excludedReleases = excluded}));
}

TEST(LoadBalancer, ChoiceAmongManyServersThatHoldAPartIsFast)
{
    load_balancer balancer = makeBalancer(makeServers("llm", 140, true));
    timestamp now = timestamp {} + std::chrono::seconds(1);
    for (int i = 0; i < 400; ++i) {
        balancer.begin(now, *balancer.choose(now, sharedPromptRequest()), sharedPromptRequest());
        now += std::chrono::milliseconds(2);
    }
    // Processor time, since other processes may take turns on the core.
    const std::clock_t start = std::clock();
    constexpr int choices = 200;
    for (int i = 0; i < choices; ++i)
        balancer.choose(now, sharedPromptRequest());
    const double seconds = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    // A small instance has an eighth of a core and makes ten choices a second; they may take at
    // most a hundredth of a core.
    EXPECT_LT(seconds / choices, 0.001);
}

TEST(LoadBalancer, RestartedServerLosesItsTrackedState)
{
    std::vector<registered_server> servers = makeServers("llm", 1, true);
    load_balancer balancer = makeBalancer(servers);
    timestamp now {};
    balancer.begin(now, *balancer.choose(now, sharedPromptRequest()), sharedPromptRequest());
    servers[0].startedAtMs = 2;
    balancer.setServers(servers);
    EXPECT_EQ(balancer.totalLoad(now, "llm0").running, 0);
    EXPECT_TRUE(balancer.choose(now, sharedPromptRequest())->cacheSource.has_value());
}

namespace {

/// Sends one call after the other for @p time. A call takes @p callTimes of its server. Returns the
/// calls by server.
std::map<std::string, int> sendCalls(load_balancer &balancer, timestamp &now, duration time,
                                     const std::map<std::string, duration> &callTimes)
{
    std::map<std::string, int> calls;
    const request_profile request {.service = "plain"};
    for (const timestamp end = now + time; now < end;) {
        const server_placement placed = *balancer.choose(now, request);
        const std::uint64_t ticket = balancer.begin(now, placed, request);
        now += callTimes.at(placed.server);
        balancer.end(now, ticket, attempt_outcome::Done);
        ++calls[placed.server];
        now += 20ms;
    }
    return calls;
}

} // namespace

// A server that was added got no calls beside fast ones, since its calls were assumed to be slow.
TEST(LoadBalancer, ServerAddedToAFastPoolGetsCalls)
{
    const std::vector<registered_server> servers = makeServers("plain", 3, false);
    load_balancer balancer = makeBalancer({servers[1], servers[2]});
    timestamp now = boot_clock::now();
    const std::map<std::string, duration> times {{"plain0", 9ms}, {"plain1", 9ms}, {"plain2", 9ms}};
    sendCalls(balancer, now, 3s, times);
    balancer.setServers(servers);
    // It is the only one in the zone of the instance.
    EXPECT_GT(sendCalls(balancer, now, 3s, times)["plain0"], 50);
}

// A server that had been slow got no calls any more, which could have shown that it is fast again.
TEST(LoadBalancer, ServerThatWasSlowForAMomentGetsCallsAgain)
{
    load_balancer balancer = makeBalancer(makeServers("plain", 3, false));
    timestamp now = boot_clock::now();
    std::map<std::string, duration> times {{"plain0", 9ms}, {"plain1", 9ms}, {"plain2", 9ms}};
    sendCalls(balancer, now, 1s, times);
    times["plain0"] = 3s;
    EXPECT_LE(sendCalls(balancer, now, 4s, times)["plain0"], 2);
    times["plain0"] = 9ms;
    sendCalls(balancer, now, 15s, times);
    EXPECT_GT(sendCalls(balancer, now, 3s, times)["plain0"], 50);
}

} // namespace trefoil
