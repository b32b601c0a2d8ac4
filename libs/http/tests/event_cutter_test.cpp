#include <http/event_cutter.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(EventCutter, PassesWholeEventsOnly)
{
    event_cutter cutter;
    EXPECT_EQ(cutter.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(cutter.lastId(), "1");
    EXPECT_EQ(cutter.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(cutter.lastId(), "2");
}

TEST(EventCutter, AnEventThatBrokeOffIsForgottenBeforeAnotherServerGoesOn)
{
    event_cutter cutter;
    cutter.feed("id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: torn");
    EXPECT_EQ(cutter.lastId(), "7");
    cutter.drop();
    EXPECT_EQ(cutter.feed("id: 8\r\ndata: b\r\n\r\n"), "id: 8\r\ndata: b\r\n\r\n");
    EXPECT_EQ(cutter.lastId(), "8");
    EXPECT_EQ(cutter.takeRest(), "");
}

} // namespace trefoil
