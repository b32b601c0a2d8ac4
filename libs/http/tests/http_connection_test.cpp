#include <http/http_connection.h>

#include <functional>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp fromNow(duration time) { return boot_clock::now() + time; }

/// Server that accepts one connection and answers each request on it.
class single_server
{
public:
    using responder = std::function<void(byte_stream &stream, int request)>;

    /// With @p received, which must outlive this object, it keeps the last request there.
    explicit single_server(responder respond, std::string *received = nullptr)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)), m_respond(std::move(respond)),
          m_received(received), m_thread([this] { serve(); })
    { }

    endpoint address() const { return {.host = "127.0.0.1", .port = m_socket.address().port()}; }

private:
    void serve()
    {
        if (!m_socket.poll(Poco::Timespan(2, 0), Poco::Net::Socket::SELECT_READ))
            return;
        byte_stream stream(m_socket.acceptConnection());
        for (int request = 0;; ++request) {
            while (stream.buffer().find("\r\n\r\n") == std::string::npos) {
                if (stream.readMore(fromNow(2s)) != read_outcome::Bytes)
                    return;
            }
            if (m_received != nullptr)
                *m_received = stream.buffer();
            stream.buffer().clear();
            m_respond(stream, request);
        }
    }

    Poco::Net::ServerSocket m_socket;
    responder m_respond;
    std::string *m_received;
    std::jthread m_thread;
};

single_server::responder respondWith(const std::string &text, bool closes = true)
{
    return [text, closes](byte_stream &stream, int) {
        stream.write(text, fromNow(1s));
        if (closes)
            stream.close();
    };
}

/// Writes @p first, then @p next without end, with @p pause between the pieces.
single_server::responder respondWithoutEnd(const std::string &first, const std::string &next,
                                           duration pause)
{
    return [=](byte_stream &stream, int) {
        const timestamp end = fromNow(6s);
        bool isOpen = stream.write(first, end);
        while (isOpen && boot_clock::now() < end) {
            isOpen = stream.write(next, end) && !stream.isClosedByRemote();
            std::this_thread::sleep_for(pause);
        }
    };
}

const std::string head = "HTTP/1.1 200 OK\r\n";
/// More than the buffers of a connection hold.
constexpr std::size_t unbufferedBytes = 32 << 20;

} // namespace

TEST(HttpConnection, ReturnsWholeResponsesOfEachFraming)
{
    for (const char *text :
         {"Content-Length: 4\r\n\r\nbody",
          "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "\r\nbody"}) {
        single_server server(respondWith("HTTP/1.1 100 Continue\r\n\r\n" + head + text));
        const result<http_response> response = sendHttpRequestOnNewConnection(
            server.address(), {.method = "POST", .path = "/a", .body = "x"}, {});
        ASSERT_TRUE(response) << response.error().message;
        EXPECT_EQ(response->status, 200);
        EXPECT_EQ(response->body, "body");
    }
}

// A part of a response without a length was taken for all of it after its server had stopped
// reading the request.
TEST(HttpConnection, ResponseThatEndsBeforeTheRequestIsWrittenIsNotComplete)
{
    single_server server([](byte_stream &stream, int) {
        stream.write(head + "\r\npart", fromNow(1s));
        stream.close();
        std::this_thread::sleep_for(100ms);
        stream.abort();
    });
    const result<http_response> response = sendHttpRequestOnNewConnection(
        server.address(),
        {.method = "POST", .path = "/a", .body = std::string(unbufferedBytes, 'x')}, {});
    ASSERT_FALSE(response) << response->body;
    EXPECT_EQ(response.error().code, http_errors::broken);
}

// The time that a read had left to wait was added to the time for its response to arrive.
TEST(HttpConnection, ResponseThatTricklesEndsWithItsArrivalTime)
{
    single_server server(respondWithoutEnd(head + "\r\n", "x", 20ms));
    const timestamp start = boot_clock::now();
    const result<http_response> response = sendHttpRequestOnNewConnection(
        server.address(), {.path = "/"}, {.total = 5s, .pause = 1s, .arrival = 300ms});
    EXPECT_FALSE(response);
    EXPECT_LT(boot_clock::now() - start, 1s);
}

TEST(HttpConnection, WaitThatIsAbandonedEndsBeforeTheResponseBegins)
{
    single_server server([](byte_stream &, int) { std::this_thread::sleep_for(3s); });
    response_wait wait;
    wait.begin();
    const std::jthread abandoning([&wait] {
        std::this_thread::sleep_for(100ms);
        wait.abandon();
    });
    const timestamp start = boot_clock::now();
    EXPECT_FALSE(sendHttpRequestOnNewConnection(server.address(), {.path = "/"},
                                                {.total = 3s, .wait = &wait}));
    EXPECT_LT(boot_clock::now() - start, 1s);
    EXPECT_FALSE(wait.hasBegun());
}

TEST(HttpConnection, ResponseThatHasBegunIsNotAbandoned)
{
    response_wait wait;
    single_server server([&wait](byte_stream &stream, int) {
        stream.write(head, fromNow(1s));
        while (!wait.hasBegun())
            std::this_thread::sleep_for(10ms);
        wait.abandon();
        std::this_thread::sleep_for(500ms);
        stream.write("Content-Length: 4\r\n\r\nbody", fromNow(1s));
    });
    wait.begin();
    const result<http_response> response = sendHttpRequestOnNewConnection(
        server.address(), {.path = "/"}, {.total = 3s, .wait = &wait});
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response->body, "body");
}

// A pause inside the answer to a long poll could last as long as the poll.
TEST(HttpConnection, PauseInsideAResponseIsBoundedApartFromTheWaitForIt)
{
    single_server server([](byte_stream &stream, int) {
        std::this_thread::sleep_for(400ms);
        stream.write(head + "Content-Length: 4\r\n\r\nbo", fromNow(1s));
        std::this_thread::sleep_for(3s);
    });
    const timestamp start = boot_clock::now();
    EXPECT_FALSE(sendHttpRequestOnNewConnection(server.address(), {.path = "/"},
                                                {.total = 3s, .idle = 2s, .pause = 200ms}));
    EXPECT_GE(boot_clock::now() - start, 600ms);
    EXPECT_LT(boot_clock::now() - start, 1500ms);
}

TEST(HttpConnection, KeepsTheConnectionAfterAResponseWithALength)
{
    single_server server([](byte_stream &stream, int request) {
        stream.write(head + "Content-Length: 1\r\nX-Number: " + std::to_string(request) + "\r\n\r\n"
                         + std::to_string(request),
                     fromNow(1s));
    });
    http_connection connection(server.address());
    for (const char *body : {"0", "1", "2"}) {
        const result<http_response> response = connection.send({.path = "/"}, {});
        ASSERT_TRUE(response);
        EXPECT_EQ(response->body, body);
        EXPECT_EQ(response->headers.value("x-number"), body);
        EXPECT_TRUE(connection.isReusable());
    }
}

// What a server had left unread of a body was taken for the beginning of the next request.
TEST(HttpConnection, ConnectionIsNotKeptAfterARefusalThatMayLeaveTheBodyUnread)
{
    single_server server([](byte_stream &stream, int request) {
        stream.write(request == 0 ? "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
                                  : "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                     fromNow(1s));
    });
    http_connection connection(server.address());
    ASSERT_TRUE(connection.send({.method = "PUT", .path = "/", .body = "x"}, {}));
    EXPECT_TRUE(connection.isReusable());
    ASSERT_TRUE(connection.send({.method = "PUT", .path = "/", .body = "x"}, {}));
    EXPECT_FALSE(connection.isReusable());
}

// A long poll was woken five times a second to see whether it had to give up bytes that it did not
// hold.
TEST(HttpConnection, WaitThatHoldsNothingIsOneWait)
{
    single_server server([](byte_stream &stream, int) {
        std::this_thread::sleep_for(900ms);
        stream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", fromNow(1s));
    });
    byte_budget budget({.totalBytes = 1 << 20});
    rusage before {};
    rusage after {};
    getrusage(RUSAGE_THREAD, &before);
    ASSERT_TRUE(sendHttpRequestOnNewConnection(server.address(), {.path = "/"},
                                               {.total = 2s, .budget = &budget}));
    getrusage(RUSAGE_THREAD, &after);
    // One for the connection, one for the response and one to spare.
    EXPECT_LE(after.ru_nvcsw - before.ru_nvcsw, 3);
}

TEST(HttpConnection, HostOfTheCallerGoesBeforeTheAddress)
{
    std::string received;
    single_server server(
        [](byte_stream &stream, int) {
            stream.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", fromNow(1s));
        },
        &received);
    ASSERT_TRUE(sendHttpRequestOnNewConnection(
        server.address(), {.path = "/", .headers = {{"host", "shop.example"}}}, {}));
    EXPECT_NE(received.find("host: shop.example"), std::string::npos);
    EXPECT_EQ(received.find("Host: "), std::string::npos);
}

// A chunked response that was cut was taken for a whole one.
TEST(HttpConnection, CutResponseIsNoResponse)
{
    for (const char *text :
         {"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"}) {
        single_server server(respondWith(text));
        const result<http_response> response =
            sendHttpRequestOnNewConnection(server.address(), {.path = "/"}, {});
        ASSERT_FALSE(response) << text;
        EXPECT_EQ(response.error().code, http_errors::broken);
    }
}

// Each read had a time limit, but not the whole response, which was kept up to 16 MB.
TEST(HttpConnection, BytesWithoutEndAreBoundedInSizeAndTime)
{
    const std::string block(16 * 1024, 'x');
    struct endless_case
    {
        const char *name;
        std::string first;
        std::string next;
    };
    const std::vector<endless_case> cases {
        {"no HTTP", "", block},
        {"empty lines", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "x"},
        {"head", head, "X-Filler: 1\r\n"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"body until the connection closes", head + "\r\n", block},
        {"body with a length", head + "Content-Length: 99999999999\r\n\r\n", block},
        {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
        {"chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", block},
        {"trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 1\r\n"},
    };
    for (const endless_case &each : cases) {
        for (const duration pause : {duration::zero(), duration(50ms)}) {
            single_server server(respondWithoutEnd(each.first, each.next, pause));
            byte_budget budget({.totalBytes = 1 << 20});
            const timestamp start = boot_clock::now();
            const result<http_response> response = sendHttpRequestOnNewConnection(
                server.address(), {.path = "/"},
                {.total = 400ms, .maxBodyBytes = 128 * 1024, .budget = &budget});
            EXPECT_LT(boot_clock::now() - start, 800ms) << each.name;
            ASSERT_FALSE(response) << each.name;
            EXPECT_EQ(response.error().code, http_errors::broken) << each.name;
            EXPECT_EQ(budget.heldBytes(), 0u) << each.name;
        }
    }
}

TEST(HttpConnection, ResponseOverTheSharedBudgetFails)
{
    single_server server(respondWithoutEnd(head + "\r\n", std::string(16 * 1024, 'x'), 0ms));
    byte_budget budget({.totalBytes = 100'000, .freeBytes = 1000});
    const result<http_response> response = sendHttpRequestOnNewConnection(
        server.address(), {.path = "/"}, {.maxBodyBytes = 1 << 30, .budget = &budget});
    EXPECT_FALSE(response);
}

// A server wrote without end and without reading while a long request was written to it.
TEST(HttpConnection, BytesThatArriveWhileTheRequestIsWrittenAreBounded)
{
    single_server server([](byte_stream &stream, int) {
        const std::string block(64 * 1024, 'x');
        const timestamp end = fromNow(6s);
        // Unlike byte_stream::write() this never reads.
        while (boot_clock::now() < end
               && ::send(stream.descriptor(), block.data(), block.size(), MSG_NOSIGNAL) != 0) {
            if (stream.isClosedByRemote())
                return;
        }
    });
    http_connection connection(server.address());
    const timestamp start = boot_clock::now();
    const result<http_response> response = connection.send(
        {.method = "POST", .path = "/", .body = std::string(32u << 20, 'y')}, {.total = 5s});
    EXPECT_FALSE(response);
    EXPECT_LT(boot_clock::now() - start, 2s);
}

} // namespace trefoil
