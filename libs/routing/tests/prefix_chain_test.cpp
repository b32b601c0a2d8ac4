#include <routing/cache_estimate.h>
#include <routing/prefix_chain.h>

#include <random>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

prefix_chain chainOf(std::string_view team, std::string_view model, const std::string &text)
{
    prefix_chain_builder builder(team, model);
    builder.add(text);
    return builder.finish();
}

} // namespace

TEST(PrefixChain, SharesExactlyTheBlocksOfTheCommonPrefix)
{
    const std::string shared(40000, 'a');
    const prefix_chain first = chainOf("reef", "m", shared + std::string(20000, 'b'));
    const prefix_chain second = chainOf("reef", "m", shared + std::string(20000, 'c'));
    ASSERT_EQ(first.blocks.size(), 3u);
    EXPECT_EQ(first.blocks[0], second.blocks[0]);
    EXPECT_EQ(first.blocks[1], second.blocks[1]);
    EXPECT_NE(first.blocks[2], second.blocks[2]);
    EXPECT_DOUBLE_EQ(first.tokens, 15000);
}

/// Blocks cached for one team, model, weights version or incarnation must never count for another.
TEST(PrefixChain, NoHitAcrossTeamsModelsVersionsOrIncarnations)
{
    const timestamp now {std::chrono::seconds(100)};
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        const std::string text(16000 * (1 + random() % 5), static_cast<char>('a' + random() % 3));
        const prefix_chain own = chainOf("reef", "m", text);
        cache_estimate cacheEstimate("v1", 7);
        cacheEstimate.recordSent(now, own.blocks);
        EXPECT_EQ(cacheEstimate.cachedPrefixLength(now, own.blocks), own.blocks.size());
        EXPECT_EQ(cacheEstimate.cachedPrefixLength(now, chainOf("dune", "m", text).blocks), 0u);
        EXPECT_EQ(cacheEstimate.cachedPrefixLength(now, chainOf("reef", "n", text).blocks), 0u);
        cache_estimate changed = cacheEstimate;
        changed.setIdentity("v2", 7);
        EXPECT_EQ(changed.cachedPrefixLength(now, own.blocks), 0u) << "other weights version";
        changed.setIdentity("v1", 7);
        EXPECT_EQ(changed.cachedPrefixLength(now, own.blocks), 0u) << "cleared blocks stay cleared";
        cache_estimate restarted = cacheEstimate;
        restarted.setIdentity("v1", 8);
        EXPECT_EQ(restarted.cachedPrefixLength(now, own.blocks), 0u) << "restarted engine";
    }
}

TEST(CacheEstimate, ExpiresAfterAdaptiveRetention)
{
    timestamp now {std::chrono::seconds(100)};
    const prefix_chain chain = chainOf("reef", "m", std::string(32000, 'a'));
    cache_estimate cacheEstimate("v1", 1);
    cacheEstimate.recordSent(now, chain.blocks);
    EXPECT_EQ(cacheEstimate.cachedPrefixLength(now + std::chrono::seconds(10), chain.blocks), 2u);
    EXPECT_EQ(cacheEstimate.cachedPrefixLength(now + std::chrono::seconds(30), chain.blocks), 0u);
    const duration before = cacheEstimate.retention();
    cacheEstimate.recordCacheHits(now, chain.blocks, 0, 2);
    EXPECT_LT(cacheEstimate.retention(), before);
}

TEST(CacheEstimate, EventGapDropsBlocksUnusedForHalfTheRetention)
{
    const timestamp start {std::chrono::seconds(100)};
    const prefix_chain chain = chainOf("reef", "m", std::string(32000, 'a'));
    const std::vector<digest128> none;
    cache_estimate cacheEstimate("v1", 1);
    const duration halfRetention = cacheEstimate.retention() / 2;
    const duration shortDelay = std::chrono::milliseconds(10);

    cacheEstimate.applyCacheEvents(start, 1, chain.blocks, none);
    cacheEstimate.applyCacheEvents(start + halfRetention + shortDelay, 2, none, none);
    EXPECT_EQ(cacheEstimate.cachedPrefixLength(start + halfRetention + shortDelay, chain.blocks),
              2u)
        << "no gap";

    cache_estimate recentlyUsed = cacheEstimate;
    recentlyUsed.recordSent(start + shortDelay * 2, chain.blocks);
    recentlyUsed.applyCacheEvents(start + halfRetention + shortDelay, 9, none, none);
    EXPECT_EQ(recentlyUsed.cachedPrefixLength(start + halfRetention + shortDelay, chain.blocks), 2u)
        << "used recently";

    cacheEstimate.applyCacheEvents(start + halfRetention + shortDelay, 9, none, none);
    EXPECT_EQ(cacheEstimate.cachedPrefixLength(start + halfRetention + shortDelay, chain.blocks),
              0u)
        << "a gap, not used recently";
}

TEST(CacheEstimate, EvictionRemovesBlock)
{
    timestamp now {std::chrono::seconds(100)};
    const prefix_chain chain = chainOf("reef", "m", std::string(48000, 'a'));
    const std::vector<digest128> none;
    cache_estimate cacheEstimate("v1", 1);
    cacheEstimate.recordSent(now, chain.blocks);
    now += std::chrono::seconds(3);
    const std::vector<digest128> evicted {chain.blocks[1]};
    cacheEstimate.applyCacheEvents(now, 1, none, evicted);
    EXPECT_EQ(cacheEstimate.cachedPrefixLength(now, chain.blocks), 1u);
}

} // namespace trefoil
