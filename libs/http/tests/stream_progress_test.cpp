#include <http/stream_progress.h>

#include <array>
#include <string>

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

// An id that an event without data takes back left nothing to go on after, so that the next server
// wrote the stream from its begin.
TEST(StreamProgress, IdThatIsTakenBackCantBeContinuedAfter)
{
    stream_progress progress;
    progress.record("id:\n\n");
    EXPECT_TRUE(progress.canContinue());
    progress.record("id: 7\ndata: a\n\n");
    EXPECT_TRUE(progress.canContinue());
    progress.record("id:\n\n");
    EXPECT_FALSE(progress.canContinue());
    progress.record("id: 8\ndata: b\n\n");
    EXPECT_TRUE(progress.canContinue());
}

TEST(StreamProgress, EventsAreInOrderUpToOneWhoseIdGoesBack)
{
    struct order_case
    {
        std::string_view recorded;
        std::string_view inOrder;
        std::string_view rest;
    };
    const std::array<order_case, 10> cases {{
        {"", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", ""},
        {"id: 4\ndata: a\n\n", "id: 5\ndata: b\n\n: ping\n\n", "id: 5\ndata: b\n\n"},
        {"id: 4\ndata: a\n\n", "", "id: 4\ndata: a\n\nid: 5\ndata: b\n\n"},
        {"id: 4\ndata: a\n\n", "", "data: a\nid: 0\n\n"},
        {"id: 9\r\ndata: a\r\n\r\n", "id: 10\r\ndata: b\r\n\r\n", "id: 9\r\ndata: c\r\n\r\n"},
        {"id: 4\ndata: a\n\n", "id: 4\n\nid: 20\ndata: b\n\n", "id: 19\n\n"},
        {"id: 4\ndata: a\n\n", "data: b\n\nid: 5\ndata: c\n\n", ""},
        {"id: b\ndata: a\n\n", "id: a\ndata: b\n\nid: 3\ndata: b\n\n", "id: 2\ndata: c\n\n"},
        {"id: 4\ndata: a\n\n", "id: x\ndata: b\n\nid: 3\ndata: b\n\n", ""},
        {"id: 4\rdata: a\r\r", "\nid: 5\rdata: b\r\r", "id: 1\rdata: c\r\r"},
    }};
    for (const order_case &each : cases) {
        stream_progress progress;
        progress.record(each.recorded);
        const std::string events = std::string(each.inOrder).append(each.rest);
        EXPECT_EQ(progress.inOrder(events), each.inOrder) << events;
        progress.record(each.inOrder);
        EXPECT_EQ(progress.inOrder(each.rest), "") << events;
    }
}

// A server that went on after another event than it was asked to was passed on.
TEST(StreamProgress, RunMayLeaveEventsOutOnlyWhereIdsAreKnownToJump)
{
    const auto goesOn = [](std::string_view callerHas, std::string_view first, int next) {
        stream_progress progress;
        progress.beginRun(callerHas);
        progress.record(first);
        progress.beginRun(callerHas);
        const std::string event = "id: " + std::to_string(next) + "\ndata: x\n\n";
        return progress.inOrder(event) == event;
    };
    const std::string consecutive = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    const std::string jumping = consecutive + "id: 7\ndata: c\n\n";
    EXPECT_TRUE(goesOn("", consecutive, 3));
    EXPECT_FALSE(goesOn("", consecutive, 4));
    EXPECT_FALSE(goesOn("", consecutive, 2));
    EXPECT_TRUE(goesOn("", jumping, 9));
    EXPECT_FALSE(goesOn("", jumping, 7));
    EXPECT_TRUE(goesOn("", "id: 1\ndata: a\n\n", 3));
    EXPECT_FALSE(goesOn("", "id: 1\ndata: a\n\n", 1));
    EXPECT_TRUE(goesOn("4", "", 6));
    EXPECT_FALSE(goesOn("4", "", 4));
    EXPECT_FALSE(goesOn("4", "", 0));
    EXPECT_FALSE(goesOn("4", "id: 5\ndata: a\n\n", 7));
    EXPECT_TRUE(goesOn("x", "", 0));
}

} // namespace trefoil
