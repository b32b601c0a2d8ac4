#include <http/sse_framer.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(SseFramer, ReturnsCompleteEventsOnly)
{
    sse_framer framer;
    EXPECT_EQ(framer.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(framer.lastEventId(), "1");
    EXPECT_EQ(framer.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(framer.lastEventId(), "2");
}

TEST(SseFramer, DiscardsAnIncompleteEventBeforeAnotherServerResumes)
{
    sse_framer framer;
    framer.feed("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: cut");
    EXPECT_EQ(framer.lastEventId(), "7");
    framer.discardIncomplete();
    EXPECT_EQ(framer.feed("id: 8\r\ndata: b\r\n\r\n"), "id: 8\r\ndata: b\r\n\r\n");
    EXPECT_EQ(framer.lastEventId(), "8");
    EXPECT_EQ(framer.takeIncomplete(), "");
}

} // namespace trefoil
