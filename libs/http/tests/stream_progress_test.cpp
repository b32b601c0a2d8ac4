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

} // namespace trefoil
