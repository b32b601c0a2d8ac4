#include <http/sse_framer.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(SseFramer, ReturnsCompleteEventsOnly)
{
    sse_framer framer;
    EXPECT_EQ(framer.feed("id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_TRUE(framer.isInsideEvent());
    EXPECT_EQ(framer.feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_FALSE(framer.isInsideEvent());
}

TEST(SseFramer, EndsLinesWithEachLineEndOfTheFormatSplitAnywhere)
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\rid: 3\ndata: c\n\n\n"
                             "id: 4\r\ndata: d\n\r\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        sse_framer framer;
        const std::string first = framer.feed(std::string_view(text).substr(0, split));
        EXPECT_EQ(first + framer.feed(std::string_view(text).substr(split)), text) << split;
        EXPECT_FALSE(framer.isInsideEvent()) << split;
    }
    EXPECT_EQ(countEvents(text), 4);
    EXPECT_TRUE(containsData("id: 1\rdata: a\r\r"));
    EXPECT_FALSE(containsData(": data: a\n\n"));
}

TEST(SseFramer, CarriageReturnAloneEndsAnEventAtOnce)
{
    sse_framer framer;
    EXPECT_EQ(framer.feed("data: a\r\r"), "data: a\r\r");
    EXPECT_EQ(framer.feed("\ndata: b\r\r"), "\ndata: b\r\r");
    EXPECT_FALSE(framer.isInsideEvent());
}

// An event whose last line end was cut in half was joined with the next one.
TEST(SseFramer, HalfOfTheLastLineEndDoesNotEndAnEvent)
{
    sse_framer framer;
    EXPECT_EQ(framer.feed("data: a\r\n\r"), "");
    EXPECT_TRUE(framer.isInsideEvent());
    EXPECT_EQ(framer.feed("\n"), "data: a\r\n\r\n");
    EXPECT_EQ(framer.feed("data: b\r\n\r"), "");
    EXPECT_EQ(framer.feed("data: c"), "data: b\r\n\r");
}

} // namespace trefoil
