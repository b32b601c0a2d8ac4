#include <http/message.h>

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Message, ParsesARequestHead)
{
    const result<request_head> head =
        parseRequestHead("POST /a/b?x=1 HTTP/1.1\r\nHost: shop.example\r\nX-Two: a\r\nx-two: b");
    ASSERT_TRUE(head);
    EXPECT_EQ(head->method, "POST");
    EXPECT_EQ(head->target, "/a/b?x=1");
    EXPECT_EQ(head->headers.value("HOST"), "shop.example");
    EXPECT_EQ(head->headers.count("X-Two"), 2u);
}

TEST(Message, RejectsAmbiguousRequestHeads)
{
    const std::vector<std::string> rejected {
        "GET / HTTP/1.1\r\nHost: a\r\nHost: b",
        "GET / HTTP/1.1",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One : 1",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\r\n folded",
        "GET / HTTP/1.1\r\nHost: a\nX-One: 1",
        "GET / HTTP/1.1\r\nHost: a\r\nX-One: 1\rX: 2",
        "GET / HTTP/1.1\r\nHost: a\r\nNoColon",
        "GET / HTTP/2\r\nHost: a",
        "GET  / HTTP/1.1\r\nHost: a",
        "GET http://other/ HTTP/1.1\r\nHost: a",
        "G(T / HTTP/1.1\r\nHost: a",
        std::string("GET / HTTP/1.1\r\nHost: a\r\nX: ") + '\0',
    };
    for (const std::string &text : rejected)
        EXPECT_FALSE(parseRequestHead(text)) << text;
}

TEST(Message, RejectsAmbiguousOrMalformedFraming)
{
    const std::vector<std::string> rejected {
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length: +3",
        "Content-Length: 3, 3",
        "Content-Length: 0x3",
        "Content-Length: ",
        "Content-Length: 99999999999999999999",
    };
    for (const std::string &fields : rejected) {
        const result<request_head> head =
            parseRequestHead("POST / HTTP/1.1\r\nHost: a\r\n" + fields);
        ASSERT_TRUE(head) << fields;
        EXPECT_FALSE(framingOf(*head)) << fields;
    }
}

TEST(Message, DeterminesTheFramingOfAResponse)
{
    const result<response_head> plain = parseResponseHead("HTTP/1.1 200 OK\r\nX: y");
    ASSERT_TRUE(plain);
    EXPECT_EQ(framingOf(*plain, "GET")->end, body_end::Close);
    EXPECT_EQ(framingOf(*plain, "HEAD")->end, body_end::None);
    const result<response_head> empty = parseResponseHead("HTTP/1.1 204 No Content");
    ASSERT_TRUE(empty);
    EXPECT_EQ(framingOf(*empty, "GET")->end, body_end::None);
    const result<response_head> sized =
        parseResponseHead("HTTP/1.1 500 Oops\r\nContent-Length: 12");
    ASSERT_TRUE(sized);
    EXPECT_EQ(framingOf(*sized, "GET")->length, 12u);
}

TEST(Message, RejectsMalformedResponseHeads)
{
    for (const char *text : {"", "garbage", "HTTP/1.1 OK", "HTTP/1.1 2000", "HTTP/1.1 099 no",
                             "HTTP/1.1 200 OK\r\nbroken line"})
        EXPECT_FALSE(parseResponseHead(text)) << text;
}

// A head that was cut lent its status and fields to the one behind it.
TEST(Message, HeadsOfTwoResponsesAreNotTakenForOne)
{
    const std::string first = "HTTP/1.1 200 OK\r\nA: b\r\nC: d";
    const std::string second = "HTTP/1.0 500\r\nE: f";
    for (std::size_t size = 1; size <= first.size(); ++size)
        EXPECT_FALSE(parseResponseHead(first.substr(0, size) + second)) << size;
    for (const char *value : {"HTTP/1.1", "1.1 HTTP/1.1 20", "HTTP/1.1 2x0", "HTTP/1.1  200"})
        EXPECT_TRUE(parseResponseHead("HTTP/1.1 200 OK\r\nVia: " + std::string(value))) << value;
}

TEST(Message, RecognisesConnectionSpecificFields)
{
    const result<request_head> head =
        parseRequestHead("GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Mine\r\nX-Mine: 1");
    ASSERT_TRUE(head);
    EXPECT_FALSE(isKeepAlive(head->headers, false));
    EXPECT_TRUE(isHopByHop("x-mine", head->headers));
    EXPECT_TRUE(isHopByHop("Transfer-Encoding", head->headers));
    EXPECT_FALSE(isHopByHop("Host", head->headers));
}

} // namespace trefoil
