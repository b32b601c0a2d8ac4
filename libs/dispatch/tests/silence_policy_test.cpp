// Guards against both wrong reactions to a silent server: sending a long prompt to a second engine
// while the first still computes it, and holding the caller of a dead stream until its deadline.

#include <dispatch/silence_policy.h>

#include <gtest/gtest.h>

namespace trefoil {

using namespace std::chrono_literals;

// 46,000 tokens at 38 tokens per millisecond take 1.3 s when the expected copy is not there.
TEST(SilencePolicy, EngineThatComputesALongPromptIsNeitherSuspectNorAbandoned)
{
    const silence_limits limits = silenceLimits({.isStream = true,
                                                 .canRetry = true,
                                                 .expected = 200ms,
                                                 .expectedUncached = 1300ms,
                                                 .callerPatience = 4s});
    EXPECT_GE(limits.suspectAfter, 1300ms);
    EXPECT_GT(limits.abandonAfter, 1300ms);
    // The second server can still send its first event before the caller disconnects.
    EXPECT_LE(limits.abandonAfter + 1300ms, 4s);
}

TEST(SilencePolicy, ShortPromptIsRetriedBeforeItsCallerDisconnects)
{
    const silence_limits limits = silenceLimits({.isStream = true,
                                                 .canRetry = true,
                                                 .expected = 50ms,
                                                 .expectedUncached = 60ms,
                                                 .callerPatience = 2s});
    EXPECT_EQ(limits.suspectAfter, 700ms);
    EXPECT_LE(limits.abandonAfter, 1500ms);
}

// A quarter of the engines was unreachable for 19 s: requests in progress there waited 1.4 s each
// although a probe had failed long before.
TEST(SilencePolicy, RequestsLeaveAnUnreachableServerEarly)
{
    const silence_limits stream = silenceLimits(
        {.isStream = true, .canRetry = true, .expectedUncached = 1300ms, .callerPatience = 4s});
    EXPECT_LE(stream.abandonUnreachableAfter, 250ms);
    const silence_limits call = silenceLimits({.canRetry = true, .expected = 500ms});
    EXPECT_LE(call.abandonUnreachableAfter, 250ms);
}

// The last attempt that a route allows waited up to 14 s for a server that had become unreachable.
TEST(SilencePolicy, LastAttemptOfAStreamEndsOnceItsCallerLostPatience)
{
    for (const bool hasEvents : {false, true}) {
        const silence_limits limits = silenceLimits(
            {.isStream = true, .hasEvents = hasEvents, .expected = 45ms, .callerPatience = 2400ms});
        EXPECT_GT(limits.abandonAfter, 2400ms);
        EXPECT_LE(limits.abandonAfter, 3s);
        EXPECT_LT(limits.abandonUnreachableAfter, 2400ms);
    }
}

// An answer to a request that must not run twice is worth waiting for until the deadline.
TEST(SilencePolicy, NonRepeatableRequestIsNeverAbandoned)
{
    const silence_limits limits = silenceLimits({.expected = 60ms});
    EXPECT_EQ(limits.abandonAfter, duration::max());
    EXPECT_EQ(limits.abandonUnreachableAfter, duration::max());
}

} // namespace trefoil
