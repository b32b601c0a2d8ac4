#include "backend_client.h"

#include <thread>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <core/json.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

constexpr duration connectTimeout = std::chrono::seconds(1);

/// How long a server is probed after a broken connection to tell a crash from a connection loss. A
/// process exits within milliseconds, on a busy machine within tens of milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(200);

/// Pause between probes, well below the time that a process takes to exit.
constexpr duration probeInterval = std::chrono::milliseconds(5);

/// How often to check whether the caller has disconnected.
constexpr duration callerCheckPeriod = std::chrono::milliseconds(100);

/// How long to wait for the end of a response body after its last event.
constexpr duration endOfBodyTimeout = std::chrono::milliseconds(50);

constexpr duration stateTimeout = std::chrono::milliseconds(800);
constexpr duration orderTimeout = std::chrono::seconds(2);
constexpr duration cancelTimeout = std::chrono::milliseconds(500);

constexpr std::size_t maxIdleSessionsPerServer = 32;

/// Probes the server at @p address and returns whether its process has exited. A refused connection
/// proves the exit, a response proves that the process is alive. An accepted connection proves
/// neither: the kernel closes the sockets of an exiting process one by one, often the request's
/// connection before the listener. A server that keeps resetting connections until the timeout
/// counts as alive, since it may be at its connection limit.
bool hasProcessExited(const endpoint &address)
{
    const timestamp deadline = boot_clock::now() + probeTimeout;
    for (timestamp now = boot_clock::now(); now < deadline; now = boot_clock::now()) {
        const result<http_response> response = sendHttpRequestOnNewConnection(
            address, {.method = "OPTIONS", .path = "*"}, deadline - now);
        if (response || response.error().code == http_errors::unreachable)
            return false;
        if (response.error().code == http_errors::refused)
            return true;
        std::this_thread::sleep_for(probeInterval);
    }
    return false;
}

std::vector<digest128> parseDigests(const Json::Value &list)
{
    std::vector<digest128> digests;
    if (!list.isArray())
        return digests;
    for (const Json::Value &item : list) {
        digest128 digest;
        if (item.isString() && fromHex(item.asString(), digest))
            digests.push_back(digest);
    }
    return digests;
}

std::vector<std::pair<std::string, std::string>> authorizationHeaders(const std::string &credential)
{
    if (credential.empty())
        return {};
    return {{"Authorization", "Bearer " + credential}};
}

} // namespace

backend_exchange::backend_exchange(backend_client &client, endpoint address, session_ptr session)
    : m_client(client), m_address(std::move(address)), m_session(std::move(session))
{ }

backend_exchange::~backend_exchange()
{
    if (m_isReusable && m_response.getKeepAlive())
        m_client.returnSession(m_address, std::move(m_session));
}

tl::unexpected<error> backend_exchange::classifyBrokenConnection(const std::string &message) const
{
    const bool isCrash = hasProcessExited(m_address);
    return failure(isCrash ? backend_errors::crashed : backend_errors::connectionLost, message);
}

result<void> backend_exchange::start(const backend_request &request)
{
    bool connected = m_session->connected();
    try {
        Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        head.setKeepAlive(true);
        std::size_t size = 0;
        for (const std::string_view segment : request.body)
            size += segment.size();
        head.setContentType(request.contentType);
        head.setContentLength64(static_cast<Poco::Int64>(size));
        for (const std::pair<std::string, std::string> &header : request.headers)
            head.set(header.first, header.second);
        std::ostream &out = m_session->sendRequest(head);
        connected = true;
        for (const std::string_view segment : request.body)
            out.write(segment.data(), static_cast<std::streamsize>(segment.size()));
        out.flush();
        const timestamp deadline = boot_clock::now() + request.timeout;
        while (!m_session->socket().poll(toTimespan(callerCheckPeriod),
                                         Poco::Net::Socket::SELECT_READ)) {
            if (request.isCallerGone && request.isCallerGone())
                return failure(backend_errors::callerGone, "the caller disconnected");
            if (boot_clock::now() >= deadline)
                return failure(backend_errors::timeout, "the response timed out");
        }
        m_bodyStream = &m_session->receiveResponse(m_response);
        return {};
    } catch (const Poco::TimeoutException &exception) {
        return failure(connected ? backend_errors::timeout : backend_errors::notSent,
                       exception.displayText());
    } catch (const Poco::Exception &exception) {
        if (!connected)
            return failure(backend_errors::notSent, exception.displayText());
        return classifyBrokenConnection(exception.displayText());
    }
}

result<std::size_t> backend_exchange::read(std::span<char> buffer)
{
    try {
        const std::size_t count = readAvailable(*m_bodyStream, buffer);
        const bool isBroken = count == 0 && m_session->networkException() != nullptr;
        return isBroken ? classifyBrokenConnection("the connection was lost")
                        : result<std::size_t>(count);
    } catch (const Poco::TimeoutException &exception) {
        return failure(backend_errors::timeout, exception.displayText());
    } catch (const Poco::Exception &exception) {
        return classifyBrokenConnection(exception.displayText());
    }
}

void backend_exchange::finish()
{
    try {
        m_session->socket().setReceiveTimeout(toTimespan(endOfBodyTimeout));
        m_isReusable = m_bodyStream->get() == std::char_traits<char>::eof();
    } catch (const Poco::Exception &) {
        m_isReusable = false;
    }
}

backend_client::session_ptr backend_client::takeIdleSession(const endpoint &address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<session_ptr> &idle = m_idle[toString(address)];
    while (!idle.empty()) {
        session_ptr session = std::move(idle.back());
        idle.pop_back();
        if (isReusable(*session))
            return session;
    }
    return nullptr;
}

void backend_client::returnSession(const endpoint &address, session_ptr session)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<session_ptr> &idle = m_idle[toString(address)];
    if (idle.size() < maxIdleSessionsPerServer)
        idle.push_back(std::move(session));
}

std::unique_ptr<backend_exchange> backend_client::open(const endpoint &address, bool mayReuse,
                                                       duration timeout)
{
    session_ptr session = mayReuse ? takeIdleSession(address) : nullptr;
    if (!session) {
        session = std::make_unique<Poco::Net::HTTPClientSession>(address.host, address.port);
        session->setKeepAlive(true);
    }
    setTimeouts(*session, connectTimeout, timeout);
    return std::make_unique<backend_exchange>(*this, address, std::move(session));
}

result<server_state_report> backend_client::readState(const server_poll &poll)
{
    session_ptr session = takeIdleSession(poll.address);
    if (!session) {
        session =
            std::make_unique<Poco::Net::HTTPClientSession>(poll.address.host, poll.address.port);
        session->setKeepAlive(true);
    }
    setTimeouts(*session, stateTimeout, stateTimeout);
    const result<http_response> response =
        sendHttpRequest(*session,
                        {.path = "/state?from=" + std::to_string(poll.fromSequence),
                         .headers = authorizationHeaders(poll.credential)});
    if (!response)
        return tl::unexpected(response.error());
    returnSession(poll.address, std::move(session));
    const result<Json::Value> value = parseJson(response->body, "an engine's state");
    if (!value || !value->isObject())
        return failure("bad-state",
                       "backend server \"" + poll.server + "\" returned a malformed state");
    server_state_report report;
    report.version = textOr(*value, "version");
    report.load = {.incarnation = integerOr(*value, "incarnation"),
                   .running = static_cast<int>(integerOr(*value, "running")),
                   .queued = static_cast<int>(integerOr(*value, "queued")),
                   .queuedTokens = numberOr(*value, "queued_tokens"),
                   .prefillRate = numberOr(*value, "prefill_rate")};
    report.nextSequence = integerOr(*value, "next_sequence");
    for (const Json::Value &entry : (*value)["events"])
        report.events.push_back({.sequence = integerOr(entry, "sequence"),
                                 .stored = parseDigests(entry["stored"]),
                                 .evicted = parseDigests(entry["evicted"])});
    return report;
}

result<void> backend_client::sendLoadOrder(const server_order &order)
{
    Json::Value body(Json::objectValue);
    body["version"] = order.order.version;
    body["epoch"] = Json::UInt64(order.order.epoch);
    const result<http_response> response =
        sendHttpRequestOnNewConnection(order.address,
                                       {.method = "POST",
                                        .path = "/orders/load",
                                        .body = writeJson(body),
                                        .headers = authorizationHeaders(order.credential)},
                                       orderTimeout);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status == HTTPResponse::HTTP_CONFLICT)
        return failure("stale-epoch",
                       "backend server \"" + order.order.server
                           + "\" rejected an outdated fencing token");
    if (response->status >= 300)
        return failure("refused",
                       "backend server \"" + order.order.server
                           + "\" rejected a load order with status "
                           + std::to_string(response->status));
    return {};
}

void backend_client::cancel(const endpoint &address, const std::string &credential,
                            const std::string &attempt)
{
    Json::Value body(Json::objectValue);
    body["attempt"] = attempt;
    static_cast<void>(sendHttpRequestOnNewConnection(address,
                                                     {.method = "POST",
                                                      .path = "/cancel",
                                                      .body = writeJson(body),
                                                      .headers = authorizationHeaders(credential)},
                                                     cancelTimeout));
}

} // namespace trefoil
