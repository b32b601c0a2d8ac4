#include <platform/watch_pacer.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr timestamp start = timestamp {} + 100s;
/// Duration of a call that the store answers at once.
constexpr duration callTime = 5ms;

/// A store that answers polls when they end and is silent on connections opened before a moment.
struct silent_network
{
    timestamp silentFrom;
    timestamp connectedAt;

    /// Returns when a read ends that starts at @p now, and whether it was answered.
    std::pair<timestamp, bool> end(timestamp now, const watch_read &read) const
    {
        const timestamp answeredAt = now + read.waitTime + callTime;
        if (connectedAt < silentFrom && answeredAt >= silentFrom)
            return {now + read.waitTime + read.answerTime, false};
        return {answeredAt, true};
    }
};

} // namespace

TEST(WatchPacer, SilentConnectionIsReplacedWithinMaxSilenceWhenItStartsAtAnyMoment)
{
    const watch_pacer_options options {.maxSilence = 2100ms};
    for (const int others : {0, 7, 300}) {
        for (duration offset = 0ms; offset < 2500ms; offset += 20ms) {
            watch_pacer pacer(options);
            pacer.nextRead(start, read_freshness::Newest);
            pacer.onAnswered(start, false, others);
            // A change wakes the poll; the connection falls silent some time after it.
            pacer.nextRead(start, read_freshness::Newest);
            timestamp now = start + pacer.onAnswered(start, true, others);
            silent_network network {.silentFrom = start + offset, .connectedAt = start - 1ms};
            bool isReplaced = false;
            for (int i = 0; i < 10 && !isReplaced; ++i) {
                const watch_read read = pacer.nextRead(now, read_freshness::Newest);
                const auto [endedAt, isAnswered] = network.end(now, read);
                now = endedAt
                    + (isAnswered ? pacer.onAnswered(endedAt, false, others)
                                  : pacer.onFailed(endedAt));
                isReplaced = !isAnswered;
            }
            ASSERT_TRUE(isReplaced);
            EXPECT_LE(now - network.silentFrom, options.maxSilence);
        }
    }
}

TEST(WatchPacer, QuickFailuresAreSpacedAndSlowOnesRepeatedAtOnce)
{
    watch_pacer pacer({});
    EXPECT_TRUE(pacer.nextRead(start, read_freshness::Newest).isSnapshot);
    EXPECT_EQ(pacer.onFailed(start + 10ms), 240ms);
    pacer.nextRead(start + 250ms, read_freshness::Newest);
    EXPECT_EQ(pacer.onFailed(start + 260ms), 490ms);
    pacer.nextRead(start + 1s, read_freshness::Newest);
    EXPECT_EQ(pacer.onFailed(start + 1s), 1000ms);
    pacer.nextRead(start + 2s, read_freshness::Newest);
    EXPECT_EQ(pacer.onFailed(start + 4s), 0ms);
    EXPECT_TRUE(pacer.nextRead(start + 4s, read_freshness::Newest).isSnapshot);
    pacer.onAnswered(start + 4s, true, 7);
    EXPECT_FALSE(pacer.nextRead(start + 4s, read_freshness::Newest).isSnapshot);
    pacer.onHistoryGone();
    EXPECT_TRUE(pacer.nextRead(start + 5s, read_freshness::Newest).isSnapshot);
}

// A store dropped its connections and its history just after a change, and told of it only at the
// end of the next poll, 2.2 s later: configurations came into force too late.
TEST(WatchPacer, ReadAfterALostConnectionHardlyWaits)
{
    for (const read_freshness freshness : {read_freshness::Newest, read_freshness::MayBeStale}) {
        watch_pacer pacer({.maxSilence = 2800ms});
        pacer.nextRead(start, freshness);
        pacer.onAnswered(start, true, 90);
        pacer.nextRead(start, freshness);
        pacer.onFailed(start + 1s);
        EXPECT_LE(pacer.nextRead(start + 1s, freshness).waitTime, 100ms);
        pacer.onAnswered(start + 1100ms, false, 90);
        EXPECT_GE(pacer.nextRead(start + 1100ms, freshness).waitTime, 2s);
    }
}

TEST(WatchPacer, StaleReadsWaitLonger)
{
    watch_pacer pacer({.maxSilence = 2100ms});
    pacer.nextRead(start, read_freshness::Newest);
    pacer.onAnswered(start, false, 0);
    EXPECT_EQ(pacer.nextRead(start, read_freshness::Newest).waitTime, 1500ms);
    EXPECT_EQ(pacer.nextRead(start, read_freshness::MayBeStale).waitTime, 5700ms);
}

} // namespace trefoil
