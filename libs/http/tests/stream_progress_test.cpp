#include <http/stream_progress.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(StreamProgress, AnotherServerGoesOnAfterTheLastEventWithData)
{
    stream_progress progress;
    EXPECT_TRUE(progress.canContinue());
    progress.record("id: 7\r\ndata: a\r\n\r\n");
    EXPECT_EQ(progress.lastEventId(), "7");
    progress.record(": ping\n\n");
    EXPECT_EQ(progress.lastEventId(), "7");
    EXPECT_TRUE(progress.canContinue());
    progress.record("id: 8\rdata: b\r\r");
    EXPECT_EQ(progress.lastEventId(), "8");
    EXPECT_TRUE(progress.canContinue());
}

// A server that went on after an earlier id would have written the last event once more.
TEST(StreamProgress, EventWithoutIdCantBeContinuedAfter)
{
    stream_progress progress;
    progress.record("id: 7\ndata: a\n\ndata: b\n\n");
    EXPECT_FALSE(progress.canContinue());
    progress.record("id: 8\ndata: c\n\n");
    EXPECT_TRUE(progress.canContinue());
    progress.record("id:\ndata: d\n\n");
    EXPECT_FALSE(progress.canContinue());
}

} // namespace trefoil
