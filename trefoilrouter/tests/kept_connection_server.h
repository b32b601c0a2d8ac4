#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <http/byte_stream.h>
#include <http/chunked.h>
#include <http/message.h>

namespace trefoil {

/// A request as a kept_connection_server received it.
struct scripted_request
{
    std::string method;
    std::string path;
    std::string body;
    std::string attempt;
    /// Number of its connection, and its number on the connection, each from 0.
    int connection = 0;
    int number = 0;
};

/// Backend server that keeps its connections and answers as a test tells it to.
class kept_connection_server
{
public:
    using script = std::function<void(byte_stream &stream, const scripted_request &request)>;

    explicit kept_connection_server(script answer)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0)), m_answer(std::move(answer)),
          m_acceptor([this](const std::stop_token &stop) { accept(stop); })
    { }

    endpoint address() const { return {.host = "127.0.0.1", .port = m_socket.address().port()}; }
    int connections() const { return m_connections.load(); }

private:
    void accept(const std::stop_token &stop)
    {
        std::vector<std::jthread> threads;
        while (!stop.stop_requested()) {
            if (!m_socket.poll(Poco::Timespan(0, 2000), Poco::Net::Socket::SELECT_READ))
                continue;
            const int connection = m_connections.fetch_add(1);
            threads.emplace_back(
                [this, connection, socket = m_socket.acceptConnection()](
                    const std::stop_token &end) { serve(end, connection, byte_stream(socket)); });
        }
    }

    void serve(const std::stop_token &stop, int connection, byte_stream stream)
    {
        const auto waitForBytes = [&] {
            read_outcome outcome = read_outcome::TimedOut;
            while (outcome == read_outcome::TimedOut && !stop.stop_requested())
                outcome = stream.readMore(boot_clock::now() + std::chrono::milliseconds(20));
            return outcome == read_outcome::Bytes;
        };
        for (int number = 0;;) {
            std::string text;
            while (takeHead(stream.buffer(), 1 << 16, text) != head_state::Complete) {
                if (!waitForBytes())
                    return;
            }
            const result<request_head> head = parseRequestHead(text);
            ASSERT_TRUE(head) << text;
            const std::size_t length =
                parseDecimal(head->headers.value("Content-Length")).value_or(0);
            while (stream.buffer().size() < length) {
                if (!waitForBytes())
                    return;
            }
            const std::string body = stream.buffer().substr(0, length);
            stream.buffer().erase(0, length);
            m_answer(stream,
                     {.method = head->method,
                      .path = head->target,
                      .body = body,
                      .attempt = std::string(head->headers.value("X-Attempt")),
                      .connection = connection,
                      .number = number++});
        }
    }

    Poco::Net::ServerSocket m_socket;
    script m_answer;
    std::atomic<int> m_connections = 0;
    std::jthread m_acceptor;
};

enum class answer_kind { Plain, Stream };

/// Returns an answer with @p body that names @p attempt, or none if it is empty.
inline std::string encodeAnswer(std::string_view attempt, std::string_view body,
                                answer_kind kind = answer_kind::Plain)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    if (!attempt.empty())
        appendField(text, "X-Attempt", attempt);
    if (kind == answer_kind::Plain) {
        appendField(text, "Content-Length", std::to_string(body.size()));
        return text.append("\r\n").append(body);
    }
    text += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    appendChunk(text, "data: ");
    appendChunk(text, body);
    appendChunk(text, "\n\n");
    return text.append(lastChunk);
}

inline void write(byte_stream &stream, std::string_view text)
{
    stream.write(text, boot_clock::now() + std::chrono::seconds(1));
}

/// Returns a server that sends each answer once more before the next one on the connection. @p
/// bodyFor returns the body of the answer to a request.
inline kept_connection_server::script
answerTwice(std::function<std::string(const scripted_request &request)> bodyFor,
            answer_kind kind = answer_kind::Plain)
{
    return [bodyFor = std::move(bodyFor), kind, last = std::make_shared<std::string>()](
               byte_stream &stream, const scripted_request &request) {
        const std::string answer = encodeAnswer(request.attempt, bodyFor(request), kind);
        write(stream, request.number == 0 ? answer : *last + answer);
        *last = answer;
    };
}

} // namespace trefoil
