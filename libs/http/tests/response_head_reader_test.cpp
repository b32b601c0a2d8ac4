#include <http/response_head_reader.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(ResponseHeadReader, ReturnsTheFinalHeadAfterInterimOnesSplitAnywhere)
{
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                             "HTTP/1.1 201 Created\r\nC: d\r\n\r\n";
    for (std::size_t split = 0; split < text.size(); ++split) {
        response_head_reader reader(1000);
        std::string buffer = text.substr(0, split);
        const result<std::optional<response_head>> early = reader.feed(buffer);
        ASSERT_TRUE(early && !*early) << split;
        buffer += text.substr(split) + "body";
        const result<std::optional<response_head>> head = reader.feed(buffer);
        ASSERT_TRUE(head && *head) << split;
        EXPECT_EQ((*head)->status, 201);
        EXPECT_EQ((*head)->headers.value("c"), "d");
        EXPECT_FALSE((*head)->headers.has("a"));
        EXPECT_EQ(buffer, "body");
    }
}

TEST(ResponseHeadReader, LimitsTheHeadAndTheInterimOnesTogether)
{
    constexpr std::size_t maxBytes = 200;
    response_head_reader withoutEnd(maxBytes);
    std::string buffer = "HTTP/1.1 200 OK\r\nX: " + std::string(maxBytes, 'x');
    EXPECT_FALSE(withoutEnd.feed(buffer));
    response_head_reader interim(maxBytes);
    std::size_t fed = 0;
    result<std::optional<response_head>> head = std::optional<response_head>();
    while (head && fed <= 2 * maxBytes) {
        buffer = "HTTP/1.1 103 Early Hints\r\n\r\n";
        fed += buffer.size();
        head = interim.feed(buffer);
        EXPECT_FALSE(head && *head);
    }
    EXPECT_FALSE(head);
}

TEST(ResponseHeadReader, MalformedHeadIsAnError)
{
    for (const char *text : {"\r\n\r\n", "no HTTP\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n"}) {
        response_head_reader reader(1000);
        std::string buffer = text;
        EXPECT_FALSE(reader.feed(buffer)) << text;
    }
}

} // namespace trefoil
