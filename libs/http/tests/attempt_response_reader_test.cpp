#include <http/attempt_response_reader.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr std::size_t maxHeadBytes = 1000;

const std::string own = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 4\r\n\r\nbody";
const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

attempt_response_reader readerOn(bool isKeptConnection)
{
    return attempt_response_reader(
        {.attemptId = "a1", .isKeptConnection = isKeptConnection, .maxHeadBytes = maxHeadBytes});
}

/// Returns the error code of feeding @p text, "" if it is no error.
std::string errorOf(attempt_response_reader reader, std::string text)
{
    const result<std::optional<response_head>> head = reader.feed(text);
    return head ? "" : head.error().code;
}

} // namespace

TEST(AttemptResponseReader, SkipsLateResponsesOfEachFramingSplitAnywhere)
{
    const std::string late =
        "HTTP/1.1 200 OK\r\nX-Attempt: a0\r\nContent-Length: 4\r\n\r\nlate"
        "HTTP/1.1 200 OK\r\nX-Attempt: a0\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nlate\r\n0\r\n\r\n"
        "HTTP/1.1 204 No Content\r\nX-Attempt: a0\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Attempt: a0\r\nX-Attempt: a1\r\nContent-Length: 0\r\n\r\n";
    const std::string text = late + own;
    for (std::size_t split = 0; split < text.size() - 4; ++split) {
        attempt_response_reader reader = readerOn(true);
        std::string buffer = text.substr(0, split);
        const result<std::optional<response_head>> early = reader.feed(buffer);
        ASSERT_TRUE(early && !*early) << split;
        buffer += text.substr(split);
        const result<std::optional<response_head>> head = reader.feed(buffer);
        ASSERT_TRUE(head && *head) << split;
        EXPECT_TRUE(reader.isNamed());
        EXPECT_EQ(reader.skippedResponses(), 4);
        EXPECT_EQ(buffer, "body");
    }
}

TEST(AttemptResponseReader, TakesAResponseWithoutNameOnlyOnANewConnection)
{
    attempt_response_reader reader = readerOn(false);
    std::string buffer = unnamed;
    const result<std::optional<response_head>> head = reader.feed(buffer);
    ASSERT_TRUE(head && *head);
    EXPECT_FALSE(reader.isNamed());
    EXPECT_EQ(errorOf(readerOn(true), unnamed), attempt_errors::foreignResponse);
}

TEST(AttemptResponseReader, ResponseThatNamesAnotherAttemptOnANewConnectionIsAnError)
{
    for (const char *fields : {"X-Attempt: a0\r\n", "X-Attempt: \r\n", "X-Attempt: A1\r\n",
                               "X-Attempt: a1\r\nX-Attempt: a0\r\n"})
        EXPECT_EQ(
            errorOf(readerOn(false),
                    std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") + fields + "\r\n"),
            attempt_errors::foreignResponse)
            << fields;
}

TEST(AttemptResponseReader, LateResponseWhoseEndCanNotBeToldIsAnError)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt: a0\r\n";
    EXPECT_EQ(errorOf(readerOn(true), head + "\r\nlate" + own), attempt_errors::foreignResponse);
    EXPECT_EQ(errorOf(readerOn(true), head + "Transfer-Encoding: chunked\r\n\r\nx\r\n" + own),
              "bad-response");
}

TEST(AttemptResponseReader, HoldsNothingOfALateResponse)
{
    constexpr std::size_t pieceBytes = 64 << 10;
    for (const char *framing :
         {"Content-Length: 1000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n"}) {
        attempt_response_reader reader = readerOn(true);
        std::string buffer = std::string("HTTP/1.1 200 OK\r\nX-Attempt: a0\r\n") + framing;
        for (int i = 0; i < 100; ++i) {
            buffer.append(pieceBytes, 'x');
            const result<std::optional<response_head>> head = reader.feed(buffer);
            ASSERT_TRUE(head && !*head);
            EXPECT_EQ(buffer, "");
        }
    }
}

TEST(AttemptResponseReader, TakesTheFirstResponseOfARequestThatNamesNoAttempt)
{
    attempt_response_reader reader({.isKeptConnection = true, .maxHeadBytes = maxHeadBytes});
    std::string buffer = unnamed;
    const result<std::optional<response_head>> head = reader.feed(buffer);
    ASSERT_TRUE(head && *head);
    EXPECT_FALSE(reader.isNamed());
}

} // namespace trefoil
