// Guards against connections that are accepted but not served when many arrive at once, and against
// a listener that outlives its child.

#include "connection_acceptor.h"

#include <atomic>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <gtest/gtest.h>
#include <http/byte_stream.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp timeFromNow(duration time) { return boot_clock::now() + time; }

/// Returns a local address on which nothing listens.
endpoint freeAddress()
{
    const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return {.host = "127.0.0.1", .port = socket.address().port()};
}

result<byte_stream> connectSoon(const endpoint &address)
{
    for (int i = 0; i < 100; ++i) {
        result<byte_stream> stream = byte_stream::connect(address, 1s);
        if (stream)
            return stream;
        std::this_thread::sleep_for(10ms);
    }
    return byte_stream::connect(address, 1s);
}

} // namespace

TEST(ConnectionAcceptor, ServesAllConnectionsOfABurstWithFewThreads)
{
    const endpoint address = freeAddress();
    const endpoint other = freeAddress();
    std::atomic<int> open = 0;
    std::atomic<int> most = 0;
    const auto answer = [&](const Poco::Net::StreamSocket &socket) {
        most = std::max(most.load(), ++open);
        byte_stream(socket).write("x", timeFromNow(1s));
        std::this_thread::sleep_for(5ms);
        --open;
    };
    const child_spec child =
        connectionAcceptor("acceptor",
                           {{.address = address, .maxConnections = 4, .serve = answer},
                            {.address = other, .maxConnections = 1, .serve = answer}});
    const std::jthread runner([&](const std::stop_token &stop) { EXPECT_TRUE(child.body(stop)); });
    ASSERT_TRUE(connectSoon(other));
    std::vector<byte_stream> callers;
    for (int i = 0; i < 40; ++i) {
        result<byte_stream> caller = connectSoon(address);
        ASSERT_TRUE(caller);
        callers.push_back(std::move(*caller));
    }
    for (byte_stream &caller : callers)
        EXPECT_EQ(caller.readMore(timeFromNow(3s)), read_outcome::Bytes);
    EXPECT_LE(most, 5);
}

TEST(ConnectionAcceptor, StopsListeningWhenItsChildIsStopped)
{
    const endpoint address = freeAddress();
    const child_spec child = connectionAcceptor(
        "acceptor", {{.address = address, .serve = [](const Poco::Net::StreamSocket &) {}}});
    {
        const std::jthread runner(
            [&](const std::stop_token &stop) { EXPECT_TRUE(child.body(stop)); });
        ASSERT_TRUE(connectSoon(address));
    }
    EXPECT_FALSE(byte_stream::connect(address, 200ms));
}

TEST(ConnectionAcceptor, FailsForAnAddressInUse)
{
    const Poco::Net::ServerSocket used(Poco::Net::SocketAddress("127.0.0.1", 0));
    const child_spec child =
        connectionAcceptor("acceptor",
                           {{.address = {.host = "127.0.0.1", .port = used.address().port()},
                             .serve = [](const Poco::Net::StreamSocket &) {}}});
    const result<void> outcome = child.body(std::stop_token());
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().code, "listen");
}

} // namespace trefoil
