#include "edge/caller_session.h"

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>

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

} // namespace trefoil
