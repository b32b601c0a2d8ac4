#include "edge/caller_session.h"

#include <algorithm>
#include <thread>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

constexpr int backlog = 512;
constexpr int threadStackBytes = 256 * 1024;
/// Interval at which an idle connection checks whether the instance closes its connections.
constexpr duration closingCheckInterval = std::chrono::seconds(1);
/// Interval at which the listener looks for connections that wait for a thread.
constexpr duration reserveUpdateInterval = std::chrono::milliseconds(50);
/// Time to write an answer that the router itself produced.
constexpr duration ownAnswerTimeout = std::chrono::seconds(1);
/// Longest pause while a body is received.
constexpr duration maxBodyPause = std::chrono::seconds(3);
/// Time for a whole body: the longest takes a few seconds on the slowest links.
constexpr duration maxBodyTime = std::chrono::seconds(30);
/// Retry-After time of a request that would exceed what is held for all requests.
constexpr duration heldBytesRetryAfter = std::chrono::milliseconds(500);

class caller_connection : public Poco::Net::TCPServerConnection
{
public:
    caller_connection(const Poco::Net::StreamSocket &socket, edge_state &state,
                      server_connection_pool &connections, connection_reserve &reserve)
        : TCPServerConnection(socket), m_state(state), m_connections(connections),
          m_reserve(reserve)
    { }

    void run() override
    {
        try {
            caller_session(m_state, m_connections, m_reserve, byte_stream(socket())).run();
        } catch (const std::exception &problem) {
            writeEvent(event_line("proxy", "session_failed").add("reason", problem.what()));
        }
    }

private:
    edge_state &m_state;
    server_connection_pool &m_connections;
    connection_reserve &m_reserve;
};

class caller_connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    caller_connection_factory(edge_state &state, server_connection_pool &connections,
                              connection_reserve &reserve)
        : m_state(state), m_connections(connections), m_reserve(reserve)
    { }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        // The server deletes it.
        return new caller_connection(socket, m_state, m_connections, m_reserve);
    }

private:
    edge_state &m_state;
    server_connection_pool &m_connections;
    connection_reserve &m_reserve;
};

} // namespace

caller_session::caller_session(edge_state &state, server_connection_pool &connections,
                               connection_reserve &reserve, byte_stream caller)
    : m_state(state), m_connections(connections), m_reserve(reserve), m_caller(std::move(caller))
{ }

caller_bounds caller_session::bounds() const
{
    const std::shared_ptr<const serving_tables> tables = m_state.tables();
    return tables ? tables->bounds : caller_bounds {};
}

void caller_session::run()
{
    while (true) {
        byte_budget::share held(m_state.readBudget());
        const std::optional<caller_request> request = readRequest(held);
        if (!request)
            return;
        m_state.recordRequest();
        m_state.openRequests() += 1;
        const bool closesConnection =
            m_state.isLeaving() || !isKeepAlive(request->head.headers, request->head.isHttp10);
        const bool keepsOpen =
            request_runner(m_state, m_connections, m_caller, *request, closesConnection).run();
        m_state.openRequests() -= 1;
        if (!keepsOpen) {
            m_caller.close();
            return;
        }
    }
}

bool caller_session::waitForRequest()
{
    const timestamp start = boot_clock::now();
    const timestamp end = start + bounds().idleTimeout;
    while (m_caller.buffer().empty()) {
        const timestamp now = boot_clock::now();
        if (now >= end || m_state.isClosing())
            return false;
        const read_outcome outcome = m_caller.readMore(std::min(end, now + closingCheckInterval));
        if (outcome == read_outcome::Bytes)
            return true;
        if (outcome != read_outcome::TimedOut || !m_reserve.mayKeep(boot_clock::now() - start))
            return false;
    }
    return true;
}

bool caller_session::readHead(const caller_bounds &bounds, std::string &head)
{
    const timestamp deadline = boot_clock::now() + bounds.headerTimeout;
    std::string &buffer = m_caller.buffer();
    while (true) {
        // Empty lines before a request are allowed.
        while (buffer.starts_with("\r\n"))
            buffer.erase(0, 2);
        const head_state state = takeHead(buffer, bounds.headerBytes, head);
        if (state == head_state::Complete)
            return true;
        if (state == head_state::TooLong) {
            reject(HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large");
            return false;
        }
        const read_outcome outcome = m_caller.readMore(deadline);
        if (outcome == read_outcome::TimedOut)
            reject(HTTPResponse::HTTP_REQUEST_TIMEOUT, "the head came too slowly");
        if (outcome != read_outcome::Bytes)
            return false;
    }
}

bool caller_session::readBody(const caller_bounds &bounds, const body_framing &framing,
                              caller_request &request, byte_budget::share &held)
{
    std::string &buffer = m_caller.buffer();
    chunked_decoder chunks;
    if (framing.end == body_end::Length && framing.length > bounds.bodyBytes) {
        reject(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        return false;
    }
    if (framing.end == body_end::Length)
        request.body.reserve(framing.length);
    timestamp progressAt = boot_clock::now();
    const timestamp deadline = progressAt + maxBodyTime;
    while (framing.end != body_end::None) {
        if (framing.end == body_end::Length) {
            const std::size_t size =
                std::min<std::uint64_t>(framing.length - request.body.size(), buffer.size());
            request.body.append(buffer, 0, size);
            buffer.erase(0, size);
            if (request.body.size() == framing.length)
                return true;
        }
        if (framing.end == body_end::Chunked) {
            const chunked_state state = chunks.feed(buffer, request.body);
            if (state == chunked_state::Done)
                return true;
            if (state == chunked_state::Malformed) {
                reject(HTTPResponse::HTTP_BAD_REQUEST, "the body is malformed");
                return false;
            }
            if (request.body.size() > bounds.bodyBytes) {
                reject(HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, "the body is too large");
                return false;
            }
        }
        if (!held.hold(request.body.size() + buffer.size())) {
            reject(HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "too many bytes of requests are held",
                   heldBytesRetryAfter);
            return false;
        }
        const timestamp now = boot_clock::now();
        const timestamp end = std::min(deadline, progressAt + maxBodyPause);
        const bool holdsBytes = held.heldBytes() > 0;
        const read_outcome outcome =
            m_caller.readMore(holdsBytes ? std::min(end, now + byte_budget::checkInterval) : end);
        if (outcome == read_outcome::Bytes)
            progressAt = now;
        else if (outcome == read_outcome::TimedOut && now < end)
            continue;
        if (outcome == read_outcome::TimedOut)
            reject(HTTPResponse::HTTP_REQUEST_TIMEOUT, "the body came too slowly");
        if (outcome != read_outcome::Bytes)
            return false;
    }
    return true;
}

std::optional<caller_request> caller_session::readRequest(byte_budget::share &held)
{
    if (!waitForRequest())
        return std::nullopt;
    const caller_bounds bounds = this->bounds();
    std::string text;
    if (!readHead(bounds, text))
        return std::nullopt;
    caller_request request {.receivedAt = boot_clock::now()};
    result<request_head> head = parseRequestHead(text);
    if (!head) {
        reject(HTTPResponse::HTTP_BAD_REQUEST, head.error().message);
        return std::nullopt;
    }
    request.head = std::move(*head);
    const result<body_framing> framing = framingOf(request.head);
    if (!framing) {
        reject(HTTPResponse::HTTP_BAD_REQUEST, framing.error().message);
        return std::nullopt;
    }
    if (request.head.headers.has("Expect")) {
        if (!request.head.headers.hasToken("Expect", "100-continue")) {
            reject(HTTPResponse::HTTP_EXPECTATION_FAILED, "the expectation is not known");
            return std::nullopt;
        }
        // Version 1.0 has no interim answers: this would be taken for the answer.
        if (m_caller.buffer().empty() && !request.head.isHttp10)
            m_caller.write("HTTP/1.1 100 Continue\r\n\r\n", boot_clock::now() + ownAnswerTimeout);
    }
    if (!readBody(bounds, *framing, request, held))
        return std::nullopt;
    held.keep();
    return request;
}

void caller_session::reject(int status, std::string_view message,
                            std::optional<duration> retryAfter)
{
    writeEvent(event_line("proxy", "malformed").add("status", status).add("reason", message));
    m_caller.write(encodeLocalAnswer(status, "", message, retryAfter, true),
                   boot_clock::now() + ownAnswerTimeout);
    m_caller.close();
}

child_body callerListener(edge_state &state, server_connection_pool &connections,
                          const endpoint &address, int maxConnections)
{
    return makeListenerChild(
        address, [&state, &connections, address, maxConnections](const std::stop_token &stop) {
            connection_reserve reserve({.maxConnections = maxConnections});
            Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
            params->setMaxThreads(maxConnections);
            params->setMaxQueued(backlog);
            Poco::ThreadPool threads(2, maxConnections, 60, threadStackBytes);
            Poco::Net::TCPServer server(new caller_connection_factory(state, connections, reserve),
                                        threads, listenOn(address, backlog), params);
            server.start();
            bool isLogged = false;
            while (!stop.stop_requested()) {
                const int open = server.currentConnections();
                const int waiting = server.queuedConnections();
                reserve.update(open, waiting);
                const duration wait = reserve.recordWaiting(boot_clock::now(), waiting);
                state.recordConnectionWait(wait);
                const bool isOverloaded = wait > duration::zero();
                if (isOverloaded && !isLogged) {
                    state.metrics().counterOf("trefoil_connection_waits_total").add();
                    writeEvent(event_line("callers", "connections_wait")
                                   .add("open", open)
                                   .add("waiting", waiting));
                }
                isLogged = isOverloaded;
                std::this_thread::sleep_for(reserveUpdateInterval);
            }
            server.stop();
        });
}

} // namespace trefoil
