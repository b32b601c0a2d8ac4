#include "edge/caller_session.h"
#include "edge/page_listener.h"

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "edge/caller_response.h"

namespace trefoil {

namespace {

using namespace std::chrono_literals;

endpoint unusedAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {.host = "127.0.0.1", .port = socket.address().port()};
}

platform_settings makeSettings()
{
    platform_settings settings;
    settings.name = "edge-1";
    settings.zone = "z1";
    return settings;
}

const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n";

/// Sends a request and returns whether an answer began within @p limit.
bool isAnswered(byte_stream &caller, duration limit)
{
    caller.buffer().clear();
    return caller.write(request, boot_clock::now() + 1s)
        && caller.readMore(boot_clock::now() + limit) == read_outcome::Bytes;
}

} // namespace

// Idle connections held all threads until their timeout, and the requests of new ones were not
// read.
TEST(CallerSession, IdleConnectionsMakeRoomForNewOnes)
{
    constexpr int maxConnections = 4;
    const endpoint address = unusedAddress();
    edge_state state(makeSettings());
    server_connection_pool connections;
    const child_body listener = callerListener(state, connections, address, maxConnections);
    const std::jthread thread(
        [&listener](const std::stop_token &stop) { static_cast<void>(listener(stop)); });
    std::this_thread::sleep_for(200ms);
    std::vector<byte_stream> kept;
    for (int i = 0; i < maxConnections; ++i) {
        kept.push_back(*byte_stream::connect(address, 1s));
        ASSERT_TRUE(isAnswered(kept.back(), 1s));
    }
    std::this_thread::sleep_for(500ms);
    byte_stream late = *byte_stream::connect(address, 1s);
    // Idle connections look once a second whether they are in the way.
    EXPECT_TRUE(isAnswered(late, 2500ms));
}

// Many callers that each send a long body took an instance over its memory limit.
TEST(CallerSession, LongBodiesOfManyCallersAreBoundedTogether)
{
    constexpr std::size_t bodyBytes = 3u << 20;
    const endpoint address = unusedAddress();
    platform_settings settings = makeSettings();
    settings.memoryBytes = 64u << 20;
    edge_state state(settings);
    server_connection_pool connections;
    const child_body listener = callerListener(state, connections, address, 40);
    const std::jthread thread(
        [&listener](const std::stop_token &stop) { static_cast<void>(listener(stop)); });
    std::this_thread::sleep_for(200ms);
    const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n"
                             "Content-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
    std::vector<byte_stream> callers;
    constexpr int callerCount = 20;
    for (int i = 0; i < callerCount; ++i) {
        callers.push_back(*byte_stream::connect(address, 1s));
        // Without its last byte the body is never complete.
        callers.back().write(head + std::string(bodyBytes - 1, 'x'), boot_clock::now() + 1s);
    }
    std::this_thread::sleep_for(500ms);
    EXPECT_LE(state.readBudget().heldBytes(), settings.memoryBytes / 6);
    int refused = 0;
    for (byte_stream &caller : callers) {
        caller.readMore(boot_clock::now() + 100ms);
        refused += caller.buffer().starts_with("HTTP/1.1 503 ") ? 1 : 0;
        EXPECT_TRUE(caller.buffer().empty()
                    || caller.buffer().find("Retry-After: ") != std::string::npos);
    }
    EXPECT_GE(refused, callerCount - 4);
    // A usual request is read all the same.
    byte_stream usual = *byte_stream::connect(address, 1s);
    EXPECT_TRUE(isAnswered(usual, 1s));
}

// A caller that doesn't know interim answers took one for the answer to its request.
TEST(CallerSession, CallerOfHttp10GetsNoInterimAnswer)
{
    const endpoint address = unusedAddress();
    edge_state state(makeSettings());
    server_connection_pool connections;
    const child_body listener = callerListener(state, connections, address, 4);
    const std::jthread thread(
        [&listener](const std::stop_token &stop) { static_cast<void>(listener(stop)); });
    std::this_thread::sleep_for(200ms);
    const auto beginOfAnswer = [&address](const std::string &version) {
        byte_stream caller = *byte_stream::connect(address, 1s);
        caller.write("POST /a HTTP/" + version
                         + "\r\nHost: x\r\nX-Request-Id: r1\r\nExpect: 100-continue\r\n"
                           "Content-Length: 2\r\n\r\n",
                     boot_clock::now() + 1s);
        caller.readMore(boot_clock::now() + 200ms);
        caller.write("ab", boot_clock::now() + 1s);
        while (caller.buffer().empty()
               && caller.readMore(boot_clock::now() + 1s) == read_outcome::Bytes) {
        }
        return caller.buffer().substr(0, 13);
    };
    EXPECT_EQ(beginOfAnswer("1.1"), "HTTP/1.1 100 ");
    EXPECT_EQ(beginOfAnswer("1.0"), "HTTP/1.1 503 ");
}

// A body that trickles in had no limit on its time as a whole, and a page's request none at all.
TEST(PageListener, RequestsAreBoundedInSizeAndTime)
{
    const endpoint address = unusedAddress();
    const child_body listener =
        makePageListener({.address = address, .threads = 4, .makePage = [](const Poco::URI &uri) {
                              return page {.body = uri.getPath() + "\n"};
                          }});
    const std::jthread thread(
        [&listener](const std::stop_token &stop) { static_cast<void>(listener(stop)); });
    std::this_thread::sleep_for(200ms);
    const auto answerTo = [&address](const std::string &text, const std::string &repeated) {
        byte_stream stream = *byte_stream::connect(address, 1s);
        stream.write(text, boot_clock::now() + 1s);
        const timestamp end = boot_clock::now() + 4s;
        read_outcome outcome = read_outcome::TimedOut;
        while (boot_clock::now() < end && outcome == read_outcome::TimedOut) {
            if (!repeated.empty() && !stream.write(repeated, end))
                break;
            outcome = stream.readMore(boot_clock::now() + 50ms);
        }
        EXPECT_LT(boot_clock::now(), end) << text;
        return stream.buffer();
    };
    EXPECT_TRUE(
        answerTo("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "").starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(answerTo("no HTTP\r\n\r\n", "").starts_with("HTTP/1.1 400 "));
    EXPECT_TRUE(
        answerTo("GET / HTTP/1.1\r\nX: ", std::string(8192, 'x')).starts_with("HTTP/1.1 431 "));
    EXPECT_EQ(answerTo("GET / HTTP/1.1\r\nX: ", "x"), "");
}

// A request that came late in a short grace period was passed on, and cut at its end.
TEST(CallerSession, RequestLateInTheGracePeriodIsRefusedAtOnce)
{
    platform_settings shortGrace = makeSettings();
    shortGrace.stopGrace = 600ms;
    edge_state state(shortGrace);
    EXPECT_FALSE(state.isTooLateToServe());
    state.startLeaving();
    EXPECT_FALSE(state.isTooLateToServe());
    std::this_thread::sleep_for(300ms);
    EXPECT_TRUE(state.isTooLateToServe());
}

// A stream without chunks ends with its connection. When the instance ended first, the kernel
// closed the connection in order, and the part looked whole.
TEST(CallerSession, StreamWithoutChunksIsResetIfTheInstanceEnds)
{
    Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
    byte_stream caller =
        *byte_stream::connect({.host = "127.0.0.1", .port = server.address().port()}, 1s);
    byte_stream router(server.acceptConnection());
    const request_head head = *parseRequestHead("GET /a HTTP/1.0\r\nHost: x");
    caller_response response(router, head, false);
    ASSERT_TRUE(response.sendEvents({.status = 200}, "id: 1\n\n", false, boot_clock::now() + 1s));
    linger set {};
    socklen_t size = sizeof(set);
    ASSERT_EQ(::getsockopt(router.descriptor(), SOL_SOCKET, SO_LINGER, &set, &size), 0);
    EXPECT_EQ(set.l_onoff, 1);
    EXPECT_EQ(set.l_linger, 0);
    // A stream that is complete is closed in order.
    ASSERT_TRUE(response.sendEvents({.status = 200}, "id: 2\n\n", true, boot_clock::now() + 1s));
    router.close();
    while (caller.readMore(boot_clock::now() + 1s) == read_outcome::Bytes) {
    }
    EXPECT_TRUE(caller.buffer().ends_with("id: 2\n\n"));
    EXPECT_EQ(caller.readMore(boot_clock::now() + 1s), read_outcome::End);
}

} // namespace trefoil
