#include <http/event_cutter.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(EventCutter, ReturnsCompleteEventsOnly)
{
    event_cutter cutter;
    EXPECT_EQ(cutter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.lastEventId(), "1");
    EXPECT_EQ(cutter.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(cutter.lastEventId(), "2");
}

TEST(EventCutter, DiscardsAnIncompleteEventBeforeAnotherServerResumes)
{
    event_cutter cutter;
    cutter.feed("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: cut");
    EXPECT_EQ(cutter.lastEventId(), "7");
    cutter.discardIncomplete();
    EXPECT_EQ(cutter.feed("id: 8\r\ndata: b\r\n\r\n"), "id: 8\r\ndata: b\r\n\r\n");
    EXPECT_EQ(cutter.lastEventId(), "8");
    EXPECT_EQ(cutter.takeIncomplete(), "");
}

} // namespace trefoil
