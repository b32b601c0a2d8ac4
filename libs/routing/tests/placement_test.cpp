#include <routing/placement.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

prefix_chain chainOf(const std::string &text)
{
    prefix_chain_builder builder("reef", "m");
    builder.add(text);
    return builder.finish();
}

std::vector<placement_server> threeServers()
{
    return {{.name = "w1", .zone = "a", .version = "v1"},
            {.name = "w2", .zone = "b", .version = "v1"},
            {.name = "w3", .zone = "c", .version = "v2"}};
}

const timestamp now {std::chrono::seconds(100)};

} // namespace

TEST(Placement, PrefersServerWithCachedPrefix)
{
    placement pool({.randomSeed = 1});
    pool.setServers(threeServers());
    const prefix_chain chain = chainOf(std::string(64000, 'a'));
    const std::string first = pool.choose(now, {.chain = &chain})->server;
    pool.recordSent(now, first, chain, 0);
    pool.recordFirstToken(now, first, chain, 0, 0);
    const std::optional<placement_choice> again =
        pool.choose(now + std::chrono::seconds(1), {.chain = &chain});
    EXPECT_EQ(again->server, first);
    EXPECT_EQ(again->estimatedCachedBlocks, 4u);
}

TEST(Placement, AvoidsCachedServerWhenQueueOutweighsRecomputation)
{
    placement pool({.randomSeed = 1});
    pool.setServers(threeServers());
    const prefix_chain chain = chainOf(std::string(64000, 'a'));
    const std::string first = pool.choose(now, {.chain = &chain})->server;
    pool.recordSent(now, first, chain, 0);
    pool.recordFirstToken(now, first, chain, 0, 0);
    pool.applyLoadReport(now, first, {.incarnation = 0, .queuedTokens = 100000});
    EXPECT_NE(pool.choose(now, {.chain = &chain})->server, first);
}

TEST(Placement, SkipsLeavingExcludedAndOtherVersionServers)
{
    placement pool({.randomSeed = 1});
    std::vector<placement_server> servers = threeServers();
    servers[0].leaving = true;
    pool.setServers(servers);
    const prefix_chain chain = chainOf("short");
    for (int i = 0; i < 50; ++i)
        EXPECT_NE(pool.choose(now, {.chain = &chain})->server, "w1");
    EXPECT_EQ(pool.choose(now, {.chain = &chain, .excluded = {"w2"}})->server, "w3");
    EXPECT_EQ(pool.choose(now, {.chain = &chain, .version = "v1"})->server, "w2");
    EXPECT_FALSE(
        pool.choose(now, {.chain = &chain, .excluded = {"w2"}, .version = "v1"}).has_value());
}

TEST(Placement, ChoosesDownServersOnlyAsLastResort)
{
    placement pool({.randomSeed = 1});
    pool.setServers(threeServers());
    pool.setDown("w1", now + std::chrono::seconds(5));
    pool.setDown("w2", now + std::chrono::seconds(5));
    const prefix_chain chain = chainOf("short");
    EXPECT_EQ(pool.choose(now, {.chain = &chain})->server, "w3");
    EXPECT_TRUE(pool.choose(now, {.chain = &chain, .excluded = {"w3"}}).has_value());
}

TEST(Placement, NewIncarnationClearsCacheEstimate)
{
    placement pool({.randomSeed = 1});
    pool.setServers({{.name = "w1", .zone = "a", .version = "v1"}});
    const prefix_chain chain = chainOf(std::string(64000, 'a'));
    pool.applyLoadReport(now, "w1", {.incarnation = 1});
    pool.recordSent(now, "w1", chain, 0);
    EXPECT_EQ(pool.choose(now, {.chain = &chain})->estimatedCachedBlocks, 4u);
    pool.applyLoadReport(now, "w1", {.incarnation = 2});
    EXPECT_EQ(pool.choose(now, {.chain = &chain})->estimatedCachedBlocks, 0u);
}

} // namespace trefoil
