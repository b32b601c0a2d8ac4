#include "backend_client.h"

#include <set>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

/// Backend server that closes each connection without responding to the request. Its listener
/// closes some time after the first of these connections.
class disconnecting_server
{
public:
    /// @p respondsToProbes: whether the server responds to OPTIONS, as a live server does.
    /// @p listenerLifetime: how long it keeps listening after the first closed connection.
    disconnecting_server(bool respondsToProbes, duration listenerLifetime)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)), m_respondsToProbes(respondsToProbes),
          m_listenerLifetime(listenerLifetime),
          m_thread([this](const std::stop_token &stop) { serve(stop); })
    { }

    endpoint address() const { return m_address; }

private:
    void serve(const std::stop_token &stop)
    {
        std::optional<timestamp> closesAt;
        while (!stop.stop_requested() && !(closesAt && boot_clock::now() >= *closesAt)) {
            if (!m_socket.poll(Poco::Timespan(0, 2000), Poco::Net::Socket::SELECT_READ))
                continue;
            Poco::Net::StreamSocket connection = m_socket.acceptConnection();
            char bytes[4096];
            const int count = connection.receiveBytes(bytes, sizeof bytes);
            const std::string_view request(bytes, static_cast<std::size_t>(std::max(count, 0)));
            if (m_respondsToProbes && request.starts_with("OPTIONS")) {
                const std::string_view response = "HTTP/1.1 405 X\r\nContent-Length: 0\r\n\r\n";
                connection.sendBytes(response.data(), static_cast<int>(response.size()));
            }
            connection.close();
            if (!closesAt)
                closesAt = boot_clock::now() + m_listenerLifetime;
        }
        m_socket.close();
    }

    Poco::Net::ServerSocket m_socket;
    endpoint m_address {.host = "127.0.0.1", .port = m_socket.address().port()};
    bool m_respondsToProbes;
    duration m_listenerLifetime;
    std::jthread m_thread;
};

std::string startErrorCode(const disconnecting_server &server)
{
    backend_client client;
    const std::unique_ptr<backend_exchange> exchange = client.open(server.address(), false);
    const std::string_view body = "{}";
    const result<void> outcome =
        exchange->start({.path = "/v1", .body = {&body, 1}, .timeout = 2s});
    return outcome ? "" : outcome.error().code;
}

} // namespace

// Attempts were numbered by each instance, so that one instance's cancellation named the attempts
// of the others.
TEST(BackendClient, AttemptIdsAreNeverUsedTwice)
{
    constexpr std::size_t count = 10000;
    std::set<std::string> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.insert(newAttemptId());
    EXPECT_EQ(ids.size(), count);
    EXPECT_EQ(ids.begin()->size(), 32u);
}

// Guards against taking a crash for a connection loss. The kernel closes the sockets of an exiting
// process one by one; on a busy machine the listener may outlive the request's connection for a
// while.
TEST(BackendClient, ReportsCrashWhenListenerClosesAfterConnection)
{
    const disconnecting_server server(false, 40ms);
    EXPECT_EQ(startErrorCode(server), backend_errors::crashed);
}

TEST(BackendClient, ReportsConnectionLossWhenServerRespondsToProbe)
{
    const disconnecting_server server(true, 5s);
    const timestamp start = boot_clock::now();
    EXPECT_EQ(startErrorCode(server), backend_errors::connectionLost);
    EXPECT_LT(boot_clock::now() - start, 150ms)
        << "a response to the probe ends the probing immediately";
}

// A server at its connection limit resets each new connection, which must not count as a crash.
TEST(BackendClient, ReportsConnectionLossWhenServerKeepsResettingConnections)
{
    const disconnecting_server server(false, 5s);
    EXPECT_EQ(startErrorCode(server), backend_errors::connectionLost);
}

} // namespace trefoil
