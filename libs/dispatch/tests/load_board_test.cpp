#include <dispatch/load_board.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

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

std::vector<registered_server> serversOf(const char *service, int count, bool isModel)
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

load_board boardOf(const std::vector<registered_server> &servers)
{
    load_board board({.zone = "z1", .randomSeed = 1});
    board.setTables(engineTables());
    board.setServers(servers);
    return board;
}

const std::vector<prompt_part> prompt {{"terms", 2500}, {"group", 3800}, {"own", 2900}};

work_item promptWork()
{
    return {.service = "llm", .model = "m", .prompt = prompt, .outputTokens = 13};
}

} // namespace

TEST(LoadBoard, ASharedPromptGoesToOneHomeUntilItsQueueCostsMoreThanACopy)
{
    load_board board = boardOf(serversOf("llm", 18, true));
    timestamp now {};
    const std::string home = board.choose(now, promptWork())->server;
    EXPECT_EQ(board.choose(now, promptWork())->server, home);
    std::set<std::string> used;
    for (int i = 0; i < 40; ++i) {
        const work_placement placed = *board.choose(now, promptWork());
        used.insert(placed.server);
        board.begin(now, placed, promptWork());
    }
    // The hot part is copied to other engines, each of which reads it from one that has it.
    EXPECT_GT(used.size(), 3u);
    EXPECT_TRUE(used.contains(home));
}

TEST(LoadBoard, APartThatAnotherInstancePlacedIsCopiedNotComputed)
{
    const std::vector<registered_server> servers = serversOf("llm", 2, true);
    load_board other = boardOf(servers);
    load_board board = boardOf(servers);
    timestamp now {};
    const work_placement first = *other.choose(now, promptWork());
    other.begin(now, first, promptWork());
    board.notePlacedParts(now, other.takePlacedParts());
    const std::vector<std::string> tried {first.server};
    work_item again = promptWork();
    again.tried = tried;
    const work_placement second = *board.choose(now, again);
    EXPECT_EQ(second.missingTokens, 2900);
    EXPECT_TRUE(second.cacheSource.has_value());
    EXPECT_FALSE(second.cacheSink);
}

// Load: a store in each of three zones, more subjects than one of them or one zone's engines hold.
TEST(LoadBoard, EachSubjectHasOneStoreAndItsHomeStandsInTheStoresZone)
{
    serving_tables tables = engineTables();
    tables.services.erase("store");
    std::map<std::string, std::string> zoneOfStore;
    for (int i = 1; i <= 3; ++i) {
        const std::string zone = "z" + std::to_string(i);
        const endpoint address {.host = "10.0.9." + std::to_string(i), .port = 9};
        tables.services["store" + zone] = {
            .name = "store" + zone,
            .cacheStore = cache_store {.address = address, .zone = zone, .linkMbps = 310000}};
        zoneOfStore[toString(address)] = zone;
    }
    const std::vector<registered_server> servers = serversOf("llm", 18, true);
    std::map<std::string, int> subjectsOfStore;
    for (int subject = 0; subject < 90; ++subject) {
        const std::vector<prompt_part> parts {
            {"terms", 2500}, {"group" + std::to_string(subject), 3800}, {"own", 2900}};
        work_item work = promptWork();
        work.prompt = parts;
        std::set<std::string> stores;
        for (const char *zone : {"z1", "z2", "z3"}) {
            load_board board({.zone = zone, .randomSeed = 7});
            board.setTables(tables);
            board.setServers(servers);
            const work_placement placed = *board.choose({}, work);
            ASSERT_TRUE(placed.cacheSink);
            stores.insert(toString(*placed.cacheSink));
            EXPECT_EQ(placed.zone, zoneOfStore[toString(*placed.cacheSink)]);
        }
        ASSERT_EQ(stores.size(), 1u) << "all instances use the same store";
        subjectsOfStore[*stores.begin()] += 1;
    }
    ASSERT_EQ(subjectsOfStore.size(), 3u);
    for (auto it = subjectsOfStore.begin(); it != subjectsOfStore.end(); ++it)
        EXPECT_GT(it->second, 15) << it->first;
}

// Load: copies that keep the store's link busy. Passing it over for an engine that had used the
// part within twelve seconds doubled what was read again on scale days: engines drop parts sooner.
TEST(LoadBoard, AStoreWhoseLinkIsTakenStaysTheSourceAndItsWaitIsExpected)
{
    load_board board = boardOf(serversOf("llm", 2, true));
    timestamp now {};
    const work_placement first = *board.choose(now, promptWork());
    board.begin(now, first, promptWork());
    const std::string other = first.server == "llm0" ? "llm1" : "llm0";
    now += std::chrono::seconds(2);
    const std::vector<std::string> tried {first.server};
    work_item again = promptWork();
    again.tried = tried;
    const std::optional<work_placement> calm = board.choose(now, again);
    ASSERT_TRUE(calm && calm->cacheSource);
    EXPECT_EQ(toString(*calm->cacheSource), "10.0.9.9:9");
    const placed_parts busy {.server = other, .store = "10.0.9.9:9", .storeMs = 400};
    board.notePlacedParts(now, std::span(&busy, 1));
    const std::optional<work_placement> pressed = board.choose(now, again);
    ASSERT_TRUE(pressed && pressed->cacheSource);
    EXPECT_EQ(toString(*pressed->cacheSource), "10.0.9.9:9");
    EXPECT_NEAR(pressed->expectedMs, calm->expectedMs + 400, 1);
    now += std::chrono::milliseconds(300);
    EXPECT_NEAR(board.choose(now, again)->expectedMs, calm->expectedMs + 100, 1);
    // An engine that has just used the part is the quicker one.
    board.begin(now, first, promptWork());
    EXPECT_EQ(*board.choose(now, again)->cacheSource, first.address);
}

TEST(LoadBoard, CacheOfOlderWeightsOrBehindAWallIsNeverNamed)
{
    EXPECT_NE(cacheNameOf("m", 1, ""), cacheNameOf("m", 2, ""));
    EXPECT_NE(cacheNameOf("m", 1, ""), cacheNameOf("m", 1, "reef"));
    EXPECT_NE(cacheNameOf("m", 1, "reef"), cacheNameOf("m", 1, "cove"));
    load_board board = boardOf(serversOf("llm", 1, true));
    timestamp now {};
    const work_placement before = *board.choose(now, promptWork());
    board.begin(now, before, promptWork());
    EXPECT_EQ(board.choose(now, promptWork())->missingTokens, 2900);
    board.noteSeenWeights(now, "llm0", "m", 2);
    const work_placement after = *board.choose(now, promptWork());
    EXPECT_NE(before.cacheName, after.cacheName);
    EXPECT_EQ(after.weights, 2u);
    EXPECT_EQ(after.missingTokens, 9200);
}

TEST(LoadBoard, WeightsAreToldByThoseWhoSawThemAndTakenByAll)
{
    load_board seeing = boardOf(serversOf("llm", 2, true));
    load_board told = boardOf(serversOf("llm", 2, true));
    const timestamp now = timestamp {} + std::chrono::seconds(10);
    seeing.noteSeenWeights(now, "llm1", "m", 2);
    told.noteToldWeights("llm1", "m", 2);
    const timestamp since = now - std::chrono::seconds(3);
    ASSERT_EQ(seeing.serversWithNewWeights(since).size(), 1u);
    EXPECT_TRUE(told.serversWithNewWeights(since).empty());
    EXPECT_EQ(told.servers()[1].weights.at("m"), 2u);
    EXPECT_TRUE(seeing.serversWithNewWeights(now + std::chrono::seconds(4)).empty());
}

TEST(LoadBoard, NothingStartsOnOldWeightsPastTheLimitHoweverManyWereNamedSince)
{
    load_board board = boardOf(serversOf("llm", 2, true));
    timestamp now {};
    board.noteSeenWeights(now, "llm0", "m", 2);
    board.noteNamedWeights("m", 2, now);
    board.noteNamedWeights("m", 3, now + std::chrono::seconds(8));
    now += std::chrono::seconds(12);
    for (int i = 0; i < 20; ++i) {
        const std::optional<work_placement> placed = board.choose(now, promptWork());
        ASSERT_TRUE(placed);
        EXPECT_EQ(placed->server, "llm0");
        board.begin(now, *placed, promptWork());
    }
    EXPECT_FALSE(board.choose(now + std::chrono::seconds(8), promptWork()));
}

TEST(LoadBoard, NewWeightsDontDrawAllRequestsToTheFewServersThatHaveThem)
{
    load_board board = boardOf(serversOf("llm", 18, true));
    timestamp now {};
    board.noteSeenWeights(now, "llm0", "m", 2);
    board.noteNamedWeights("m", 2, now);
    now += std::chrono::seconds(3);
    int onNew = 0;
    for (int i = 0; i < 60; ++i) {
        const std::vector<prompt_part> own {
            {"terms", 2500}, {"g" + std::to_string(i), 3800}, {"own", 2900}};
        work_item work = promptWork();
        work.prompt = own;
        const work_placement placed = *board.choose(now, work);
        onNew += placed.server == "llm0" ? 1 : 0;
        board.begin(now, placed, work);
    }
    EXPECT_GT(onNew, 0);
    EXPECT_LT(onNew, 20);
}

TEST(LoadBoard, InstancesThatHearEachOtherDontMeetOnOneIdleServer)
{
    const std::vector<registered_server> servers = serversOf("plain", 6, false);
    std::vector<load_board> boards;
    for (int i = 0; i < 8; ++i)
        boards.push_back(boardOf(servers));
    std::map<std::string, int> counts;
    const timestamp now {};
    for (int round = 0; round < 6; ++round) {
        for (std::size_t i = 0; i < boards.size(); ++i) {
            const work_item work {.service = "plain"};
            const work_placement placed = *boards[i].choose(now, work);
            boards[i].begin(now, placed, work);
            ++counts[placed.server];
        }
        for (std::size_t from = 0; from < boards.size(); ++from) {
            for (std::size_t to = 0; to < boards.size(); ++to) {
                if (from != to)
                    boards[to].takePeerLoad(now, "i" + std::to_string(from),
                                            boards[from].ownLoad());
            }
        }
    }
    for (auto it = counts.begin(); it != counts.end(); ++it)
        EXPECT_LE(it->second, 2 * 48 / 6) << it->first;
    EXPECT_EQ(counts.size(), 6u);
}

TEST(LoadBoard, AServerThatLosesRequestsIsLeftAloneAndTriedAgain)
{
    load_board board = boardOf(serversOf("plain", 3, false));
    timestamp now {};
    const work_item work {.service = "plain"};
    work_placement bad = *board.choose(now, work);
    for (int i = 0; i < 2; ++i)
        board.end(now, board.begin(now, bad, work), work_outcome::Lost);
    EXPECT_TRUE(board.isSuspect(now, bad.server));
    for (int i = 0; i < 30; ++i)
        EXPECT_NE(board.choose(now, work)->server, bad.server);
    EXPECT_FALSE(board.isSuspect(now + std::chrono::seconds(1), bad.server));
}

TEST(LoadBoard, DarkServersGetNoRequestsHoweverLongTheQueuesElsewhere)
{
    load_board board = boardOf(serversOf("plain", 3, false));
    timestamp now {};
    const work_item work {.service = "plain"};
    const work_placement dark = *board.choose(now, work);
    board.end(now, board.begin(now, dark, work), work_outcome::Unreachable);
    for (int i = 0; i < 200; ++i) {
        const work_placement placed = *board.choose(now, work);
        EXPECT_NE(placed.server, dark.server);
        board.begin(now, placed, work);
    }
    EXPECT_EQ(board.unreachableServers(), std::vector<std::string> {dark.server});
    // A connection is tried now and then, not by a caller's request.
    EXPECT_TRUE(board.serversToProbe(now).empty());
    now += std::chrono::milliseconds(600);
    ASSERT_EQ(board.serversToProbe(now).size(), 1u);
    EXPECT_TRUE(board.serversToProbe(now).empty());
    board.noteProbe(dark.server, true);
    EXPECT_EQ(board.choose(now + std::chrono::seconds(1), work)->server, dark.server);
}

TEST(LoadBoard, WhatAnotherInstanceCantReachIsTriedFromHere)
{
    load_board board = boardOf(serversOf("plain", 3, false));
    const timestamp now = timestamp {} + std::chrono::seconds(10);
    board.noteDoubt(now, "plain1");
    ASSERT_EQ(board.serversToProbe(now).size(), 1u);
    board.noteProbe("plain1", true);
    board.noteDoubt(now + std::chrono::milliseconds(300), "plain1");
    EXPECT_TRUE(board.serversToProbe(now + std::chrono::milliseconds(900)).empty());
}

// Load: 35 dark servers, tried twice a second while each try takes a third of a second.
TEST(LoadBoard, AServerIsNotTriedAgainBeforeTheLastTryHasEnded)
{
    load_board board = boardOf(serversOf("plain", 3, false));
    timestamp now = timestamp {} + std::chrono::seconds(10);
    board.noteDoubt(now, "plain1");
    ASSERT_EQ(board.serversToProbe(now).size(), 1u);
    EXPECT_TRUE(board.serversToProbe(now + std::chrono::seconds(3)).empty());
    board.noteProbe("plain1", false);
    EXPECT_EQ(board.serversToProbe(now + std::chrono::seconds(3)).size(), 1u);
}

TEST(LoadBoard, ServersThatAllFailAreStillUsed)
{
    load_board board = boardOf(serversOf("plain", 3, false));
    timestamp now {};
    const work_item work {.service = "plain"};
    for (int i = 0; i < 30; ++i)
        board.end(now, board.begin(now, *board.choose(now, work), work), work_outcome::Lost);
    EXPECT_TRUE(board.choose(now, work));
}

TEST(LoadBoard, AFullEngineIsPassedOver)
{
    load_board board = boardOf(serversOf("llm", 2, true));
    timestamp now {};
    const std::vector<prompt_part> large {{"own", 60000}};
    const work_item work {.service = "llm", .model = "m", .prompt = large, .outputTokens = 10};
    std::map<std::string, int> counts;
    for (int i = 0; i < 2; ++i) {
        const work_placement placed = *board.choose(now, work);
        ++counts[placed.server];
        board.begin(now, placed, work);
    }
    EXPECT_EQ(counts.size(), 2u);
    // Both memories are nearly taken: a third one would wait, and its expected time says so.
    EXPECT_GT(board.choose(now, work)->expectedMs, 1000);
}

TEST(LoadBoard, LeavingLoadingAndTriedServersGetNothing)
{
    std::vector<registered_server> servers = serversOf("plain", 4, false);
    servers[0].isLeaving = true;
    load_board board = boardOf(servers);
    timestamp now {};
    board.noteLoading("plain1", now + std::chrono::seconds(1));
    const std::vector<std::string> tried {"plain2"};
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(board.choose(now, {.service = "plain", .tried = tried})->server, "plain3");
    const std::vector<std::string> barred {"v1"};
    EXPECT_FALSE(board.choose(now, {.service = "plain", .barredReleases = barred}));
}

TEST(LoadBoard, AChoiceAmongManyServersThatHoldAPartIsQuick)
{
    load_board board = boardOf(serversOf("llm", 140, true));
    timestamp now = timestamp {} + std::chrono::seconds(1);
    for (int i = 0; i < 400; ++i) {
        board.begin(now, *board.choose(now, promptWork()), promptWork());
        now += std::chrono::milliseconds(2);
    }
    const timestamp start = boot_clock::now();
    constexpr int choices = 200;
    for (int i = 0; i < choices; ++i)
        board.choose(now, promptWork());
    // A small instance has an eighth of a core and makes ten choices a second: a hundredth of it.
    EXPECT_LT(toSeconds(boot_clock::now() - start) / choices, 0.001);
}

TEST(LoadBoard, ARestartedServerStartsWithoutBelief)
{
    std::vector<registered_server> servers = serversOf("llm", 1, true);
    load_board board = boardOf(servers);
    timestamp now {};
    board.begin(now, *board.choose(now, promptWork()), promptWork());
    servers[0].startedAtMs = 2;
    board.setServers(servers);
    EXPECT_EQ(board.totalLoad(now, "llm0").running, 0);
    EXPECT_TRUE(board.choose(now, promptWork())->cacheSource.has_value());
}

} // namespace trefoil
