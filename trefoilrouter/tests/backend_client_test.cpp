#include "backend_client.h"

#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

/// Backend server that breaks off each connection without an answer to what it was sent, until its
/// listener closes or for good.
class breaking_server
{
public:
    /// @p answersProbes tells whether it answers OPTIONS, as a living server does; its listener
    /// stays open for @p openFor after the first connection that it broke.
    breaking_server(bool answersProbes, duration openFor)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)), m_answersProbes(answersProbes),
          m_openFor(openFor), m_thread([this](const std::stop_token &stop) { serve(stop); })
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
            if (m_answersProbes && request.starts_with("OPTIONS")) {
                const std::string_view answer = "HTTP/1.1 405 X\r\nContent-Length: 0\r\n\r\n";
                connection.sendBytes(answer.data(), static_cast<int>(answer.size()));
            }
            connection.close();
            if (!closesAt)
                closesAt = boot_clock::now() + m_openFor;
        }
        m_socket.close();
    }

    Poco::Net::ServerSocket m_socket;
    endpoint m_address {.host = "127.0.0.1", .port = m_socket.address().port()};
    bool m_answersProbes;
    duration m_openFor;
    std::jthread m_thread;
};

std::string failureOf(const breaking_server &server)
{
    backend_client client;
    const std::unique_ptr<backend_exchange> exchange = client.open(server.address(), false, 2s);
    const std::string_view body = "{}";
    const result<void> outcome = exchange->start({.path = "/v1", .body = {&body, 1}});
    return outcome ? "" : outcome.error().code;
}

} // namespace

// Load: a request that ends the servers which run it, on a busy machine. The kernel closes the
// sockets of a dying process one by one, the request's connection some time before the listener.
TEST(BackendClient, DyingServerWhoseListenerStillAcceptsHasCrashed)
{
    const breaking_server server(false, 40ms);
    EXPECT_EQ(failureOf(server), backend_errors::crashed);
}

TEST(BackendClient, ServerThatAnswersOthersHasCutTheConnection)
{
    const breaking_server server(true, 5s);
    const timestamp start = boot_clock::now();
    EXPECT_EQ(failureOf(server), backend_errors::cut);
    EXPECT_LT(boot_clock::now() - start, 150ms) << "a living server is recognised at once";
}

// A server at its limit of connections resets each new one: that is no crash.
TEST(BackendClient, ServerThatResetsEveryConnectionHasNotCrashed)
{
    const breaking_server server(false, 5s);
    EXPECT_EQ(failureOf(server), backend_errors::cut);
}

} // namespace trefoil
