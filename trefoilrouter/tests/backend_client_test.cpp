#include "backend_client.h"

#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>

#include "kept_connection_server.h"

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

std::string pathOf(const scripted_request &request) { return request.path; }

/// Returns the body of the answer to @p request, or the code of the error.
std::string ask(backend_client &client, const endpoint &address, const backend_request &request)
{
    const std::unique_ptr<backend_exchange> exchange = client.open(address);
    if (const result<void> started = exchange->start(request); !started)
        return started.error().code;
    std::string body;
    while (true) {
        const result<std::string> more = exchange->read();
        if (!more)
            return more.error().code;
        if (more->empty())
            break;
        body += *more;
    }
    exchange->finish();
    return body;
}

backend_request get(std::string path)
{
    return {.method = "GET", .path = std::move(path), .timeout = 2s};
}

std::string startErrorCode(const disconnecting_server &server)
{
    metric_registry metrics;
    backend_client client(metrics);
    const std::unique_ptr<backend_exchange> exchange = client.open(server.address());
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

// A server that sent its answers twice made the next callers on the connection get the answers to
// earlier questions.
TEST(BackendClient, AnswerSentTwiceIsNotTheNextRequestsAnswer)
{
    for (const answer_kind kind : {answer_kind::Plain, answer_kind::Stream}) {
        const kept_connection_server server(answerTwice(pathOf, kind));
        metric_registry metrics;
        backend_client client(metrics);
        for (int i = 0; i < 8; ++i) {
            const std::string path = "/question-" + std::to_string(i);
            const std::string expected =
                kind == answer_kind::Plain ? path : "data: " + path + "\n\n";
            EXPECT_EQ(ask(client, server.address(), get(path)), expected);
        }
        EXPECT_EQ(server.connections(), 1);
        EXPECT_EQ(metrics.counterOf("trefoil_foreign_answers_total", "reason=\"late\"").value(),
                  7u);
    }
}

// A state that was sent twice became the state of the next poll: event numbers went back.
TEST(BackendClient, StateSentTwiceIsNotTheNextPollsState)
{
    const kept_connection_server server(answerTwice(
        [](const scripted_request &request) {
            return "{\"next_sequence\":" + std::to_string(request.number + 1) + "}";
        },
        answer_kind::Plain));
    metric_registry metrics;
    backend_client client(metrics);
    for (std::uint64_t i = 1; i <= 8; ++i) {
        const result<server_state_report> report =
            client.readState({.server = "engine-1", .address = server.address()});
        ASSERT_TRUE(report) << report.error().message;
        EXPECT_EQ(report->nextSequence, i);
    }
    EXPECT_EQ(server.connections(), 1);
}

// Whatever made the server answer another request on this connection, its answer is another
// caller's.
TEST(BackendClient, AnswerToAnotherAttemptOnANewConnectionIsNotPassedOn)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &) {
        write(stream, encodeAnswer(newAttemptId(), "another caller's"));
    });
    metric_registry metrics;
    backend_client client(metrics);
    EXPECT_EQ(ask(client, server.address(), get("/a")), backend_errors::foreignAnswer);
    EXPECT_FALSE(client.readState({.server = "engine-1", .address = server.address()}));
    EXPECT_EQ(metrics.counterOf("trefoil_foreign_answers_total", "reason=\"refused\"").value(), 2u);
}

// On a connection that is kept, an answer that names no attempt may be a late one.
TEST(BackendClient, ConnectionsOfAServerThatNamesNoAttemptAreNotKept)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &request) {
        write(stream, encodeAnswer("", request.path == "/state?from=0" ? "{}" : request.path));
    });
    metric_registry metrics;
    backend_client client(metrics);
    EXPECT_EQ(ask(client, server.address(), get("/a")), "/a");
    EXPECT_EQ(ask(client, server.address(), get("/b")), "/b");
    EXPECT_EQ(server.connections(), 2);
    for (int i = 0; i < 2; ++i)
        EXPECT_TRUE(client.readState({.server = "engine-1", .address = server.address()}));
    EXPECT_EQ(server.connections(), 4);
}

TEST(BackendClient, AnswerThatNamesNoAttemptOnAKeptConnectionIsNotPassedOn)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &request) {
        write(stream, encodeAnswer(request.number == 0 ? request.attempt : "", request.path));
    });
    metric_registry metrics;
    backend_client client(metrics);
    EXPECT_EQ(ask(client, server.address(), get("/a")), "/a");
    EXPECT_EQ(ask(client, server.address(), get("/b")), backend_errors::foreignAnswer);
    EXPECT_EQ(ask(client, server.address(), get("/c")), "/c");
    EXPECT_EQ(server.connections(), 2);
}

// A server that answers before it has read the body takes the rest of it for the next request on
// the connection.
TEST(BackendClient, ConnectionWithABodyThatMayBeUnreadIsNotKept)
{
    std::string status;
    const kept_connection_server server([&](byte_stream &stream, const scripted_request &request) {
        std::string answer = encodeAnswer(request.attempt, "a");
        write(stream, answer.replace(answer.find("200"), 3, status));
    });
    metric_registry metrics;
    backend_client client(metrics);
    const std::string_view body = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
    int connections = 0;
    for (const char *each : {"400", "401", "404", "413", "429", "500", "503"}) {
        status = each;
        EXPECT_EQ(ask(client, server.address(), {.path = "/a", .body = {&body, 1}}), "a");
        EXPECT_EQ(server.connections(), ++connections) << each;
    }
    status = "200";
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(ask(client, server.address(), {.path = "/a", .body = {&body, 1}}), "a");
    EXPECT_EQ(server.connections(), ++connections);
    status = "404";
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(ask(client, server.address(), get("/a")), "a");
    EXPECT_EQ(server.connections(), connections);
}

// Where a late answer to HEAD ends can't be told: its length is that of a body that doesn't come.
TEST(BackendClient, NoOtherRequestUsesTheConnectionOfAHead)
{
    std::mutex mutex;
    std::vector<std::string> seen;
    const kept_connection_server server([&](byte_stream &stream, const scripted_request &request) {
        {
            const std::lock_guard<std::mutex> lock(mutex);
            seen.push_back(request.method + " on " + std::to_string(request.connection));
        }
        const std::string answer = encodeAnswer(request.attempt, "body");
        const std::size_t size = answer.size() - (request.method == "HEAD" ? 4 : 0);
        write(stream, std::string_view(answer).substr(0, size));
    });
    metric_registry metrics;
    backend_client client(metrics);
    EXPECT_EQ(ask(client, server.address(), get("/a")), "body");
    EXPECT_EQ(ask(client, server.address(), {.method = "HEAD", .path = "/a"}), "");
    EXPECT_EQ(ask(client, server.address(), {.method = "HEAD", .path = "/a"}), "");
    EXPECT_EQ(ask(client, server.address(), get("/a")), "body");
    const std::lock_guard<std::mutex> lock(mutex);
    EXPECT_EQ(seen, (std::vector<std::string> {"GET on 0", "HEAD on 1", "HEAD on 2", "GET on 0"}));
}

// A body that ends with its connection was passed on with the second answer that the server wrote
// behind it.
TEST(BackendClient, SecondAnswerBehindABodyWithoutFramingIsNoPartOfIt)
{
    for (const bool isStream : {false, true}) {
        const kept_connection_server server(
            [&](byte_stream &stream, const scripted_request &request) {
                std::string text = "HTTP/1.1 200 OK\r\n";
                appendField(text, "X-Attempt", request.attempt);
                if (isStream)
                    appendField(text, "Content-Type", "text/event-stream");
                text += isStream ? "\r\nid: 0\ndata: own\n\n" : "\r\nown";
                write(stream, text + text);
                stream.close();
            });
        metric_registry metrics;
        backend_client client(metrics);
        EXPECT_EQ(ask(client, server.address(), get("/a")), backend_errors::connectionLost);
    }
}

TEST(BackendClient, AttemptEndsInTimeBehindALateAnswerWithoutEnd)
{
    const kept_connection_server server([](byte_stream &stream, const scripted_request &request) {
        const std::string answer = encodeAnswer(request.attempt, "a", answer_kind::Stream);
        if (request.number == 0) {
            write(stream, answer);
            return;
        }
        const std::string piece = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
        write(stream, encodeAnswer(newAttemptId(), "a", answer_kind::Stream));
        write(stream, "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (stream.write(piece, boot_clock::now() + 200ms) && !stream.isClosedByRemote())
            ;
    });
    metric_registry metrics;
    backend_client client(metrics);
    EXPECT_EQ(ask(client, server.address(), get("/a")), "data: a\n\n");
    const timestamp start = boot_clock::now();
    EXPECT_EQ(ask(client, server.address(), {.method = "GET", .path = "/b", .timeout = 300ms}),
              backend_errors::timeout);
    EXPECT_LT(boot_clock::now() - start, 2s);
}

} // namespace trefoil
