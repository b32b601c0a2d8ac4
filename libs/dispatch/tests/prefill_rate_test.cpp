// Guards against engines being judged by the speed of others: with engines that compute 38 tokens
// in a millisecond instead of the assumed 90, prompts of 46,000 tokens were taken for lost after
// 1.4 s and computed again on a second engine.

#include <dispatch/prefill_rate.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr double slowTokensPerMs = 37.9;

} // namespace

TEST(PrefillRate, FollowsTheEnginesAfterAFewPrompts)
{
    prefill_rate rate({.initialTokensPerMs = 90});
    for (const double tokens : {13300.0, 4200.0, 39900.0, 21000.0})
        rate.record(tokens, tokens / slowTokensPerMs);
    EXPECT_NEAR(rate.tokensPerMs(), slowTokensPerMs, 0.1);
}

TEST(PrefillRate, IgnoresPromptsWhoseCachedShareWasWrong)
{
    prefill_rate rate({.initialTokensPerMs = 90});
    for (int i = 0; i < 30; ++i) {
        // A third of the prompts is found in a cache, so they seem to be computed at once.
        const double speedUp = i % 3 == 0 ? 8 : 1;
        rate.record(13300, 13300 / (slowTokensPerMs * speedUp));
    }
    EXPECT_NEAR(rate.tokensPerMs(), slowTokensPerMs, 0.1);
}

TEST(PrefillRate, IgnoresShortPromptsAndTimesBelowTheFixedCosts)
{
    prefill_rate rate({.initialTokensPerMs = 90});
    for (int i = 0; i < 30; ++i) {
        rate.record(300, 60);
        rate.record(13300, -5);
        rate.record(13300, 0);
    }
    EXPECT_EQ(rate.tokensPerMs(), 90);
}

} // namespace trefoil
