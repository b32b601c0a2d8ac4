#include "edge/page_listener.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <http/byte_stream.h>
#include <http/message.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

constexpr std::size_t maxHeadBytes = 16 * 1024;
/// Time for a request to arrive: its sender waits a second for the answer.
constexpr duration requestTimeout = std::chrono::seconds(2);
constexpr duration responseTimeout = std::chrono::seconds(5);
constexpr int maxQueuedConnections = 256;
constexpr int threadStackBytes = 256 * 1024;

class page_connection : public Poco::Net::TCPServerConnection
{
public:
    page_connection(const Poco::Net::StreamSocket &socket, const page_listener_options &options)
        : TCPServerConnection(socket), m_options(options)
    { }

    void run() override
    {
        try {
            byte_stream stream(socket());
            const std::optional<page> answer = respond(stream);
            if (!answer)
                return;
            std::string text = "HTTP/1.1 " + std::to_string(answer->status) + " "
                + HTTPResponse::getReasonForStatus(
                                   static_cast<HTTPResponse::HTTPStatus>(answer->status))
                + "\r\n";
            appendField(text, "Content-Type", answer->type);
            appendField(text, "Content-Length", std::to_string(answer->body.size()));
            appendField(text, "Connection", "Close");
            stream.write(text + "\r\n" + answer->body, boot_clock::now() + responseTimeout);
            stream.close();
        } catch (const std::exception &problem) {
            writeEvent(event_line("listener", "request_failed").add("reason", problem.what()));
        }
    }

private:
    /// Returns the answer to the next request, or nothing if none arrives or the connection was
    /// taken over.
    std::optional<page> respond(byte_stream &stream) const
    {
        const timestamp deadline = boot_clock::now() + requestTimeout;
        std::string text;
        head_state state = takeHead(stream.buffer(), maxHeadBytes, text);
        while (state == head_state::Incomplete) {
            if (stream.readMore(deadline) != read_outcome::Bytes)
                return std::nullopt;
            state = takeHead(stream.buffer(), maxHeadBytes, text);
        }
        if (state == head_state::TooLong)
            return page {.status = HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
                         .body = "the head is too large\n"};
        const result<request_head> head = parseRequestHead(text);
        if (!head)
            return page {.status = HTTPResponse::HTTP_BAD_REQUEST,
                         .body = head.error().message + "\n"};
        const Poco::URI uri(head->target);
        if (m_options.takeConnection && m_options.takeConnection(uri, stream))
            return std::nullopt;
        return m_options.makePage(uri);
    }

    const page_listener_options &m_options;
};

class page_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit page_connection_factory(const page_listener_options &options) : m_options(options) { }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new page_connection(socket, m_options); // the server deletes it
    }

private:
    const page_listener_options &m_options;
};

} // namespace

child_body makePageListener(page_listener_options options)
{
    const endpoint address = options.address;
    return makeListenerChild(address, [options = std::move(options)](const std::stop_token &stop) {
        Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
        params->setMaxThreads(options.threads);
        params->setMaxQueued(maxQueuedConnections);
        Poco::ThreadPool threads(2, options.threads, 60, threadStackBytes);
        Poco::Net::TCPServer server(new page_connection_factory(options), threads,
                                    listenOn(options.address, maxQueuedConnections), params);
        server.start();
        waitForStop(stop);
        server.stop();
        threads.joinAll();
    });
}

} // namespace trefoil
