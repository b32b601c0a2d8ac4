#include "backend_client.h"

#include <thread>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <core/json.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

constexpr duration connectTimeout = std::chrono::seconds(1);

/// How long a server is looked at to tell that it crashed from a cut connection: a process ends
/// within milliseconds, on a busy machine within tens of them.
constexpr duration probeTimeout = std::chrono::milliseconds(200);

/// Between two such looks: well below the time that a process takes to end.
constexpr duration probePause = std::chrono::milliseconds(5);

/// Between two looks at whether the caller is still there.
constexpr duration callerCheckPeriod = std::chrono::milliseconds(100);

/// Wait for the end of an answer whose last event has come.
constexpr duration endOfAnswerTimeout = std::chrono::milliseconds(50);

constexpr duration stateTimeout = std::chrono::milliseconds(800);
constexpr duration orderTimeout = std::chrono::seconds(2);
constexpr duration cancelTimeout = std::chrono::milliseconds(500);

constexpr std::size_t maxIdleSessions = 32;

/// Returns whether the process at @p place has ended, told by new connections: nothing listens, or
/// soon nothing does. A dying process loses its sockets one by one, often the one of the request
/// some time before the listener, so that a connection that is accepted proves nothing; an answer
/// does. One that goes on resetting connections lives: it may be at its limit of them.
bool hasEnded(const endpoint &place)
{
    const timestamp deadline = boot_clock::now() + probeTimeout;
    for (timestamp now = boot_clock::now(); now < deadline; now = boot_clock::now()) {
        const result<http_answer> answer =
            httpCallOnce(place, {.method = "OPTIONS", .path = "*"}, deadline - now);
        if (answer || answer.error().code == http_errors::unreachable)
            return false;
        if (answer.error().code == http_errors::refused)
            return true;
        std::this_thread::sleep_for(probePause);
    }
    return false;
}

std::vector<digest128> digestsOf(const Json::Value &list)
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

std::vector<std::pair<std::string, std::string>> authorization(const std::string &credential)
{
    if (credential.empty())
        return {};
    return {{"Authorization", "Bearer " + credential}};
}

} // namespace

backend_exchange::backend_exchange(backend_client &client, endpoint place, session_ptr session)
    : m_client(client), m_place(std::move(place)), m_session(std::move(session))
{ }

backend_exchange::~backend_exchange()
{
    if (m_finished && m_response.getKeepAlive())
        m_client.keep(m_place, std::move(m_session));
}

tl::unexpected<error> backend_exchange::brokenBy(const std::string &message) const
{
    const bool isCrash = hasEnded(m_place);
    return failure(isCrash ? backend_errors::crashed : backend_errors::cut, message);
}

result<void> backend_exchange::start(const backend_request &request)
{
    bool connected = m_session->connected();
    try {
        Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
        head.setKeepAlive(true);
        std::size_t size = 0;
        for (const std::string_view piece : request.body)
            size += piece.size();
        head.setContentType(request.contentType);
        head.setContentLength64(static_cast<Poco::Int64>(size));
        for (const std::pair<std::string, std::string> &header : request.headers)
            head.set(header.first, header.second);
        std::ostream &out = m_session->sendRequest(head);
        connected = true;
        for (const std::string_view piece : request.body)
            out.write(piece.data(), static_cast<std::streamsize>(piece.size()));
        out.flush();
        const timestamp deadline = boot_clock::now() + request.timeout;
        while (!m_session->socket().poll(toTimespan(callerCheckPeriod),
                                         Poco::Net::Socket::SELECT_READ)) {
            if (request.callerIsGone && request.callerIsGone())
                return failure(backend_errors::callerGone, "the caller went away");
            if (boot_clock::now() >= deadline)
                return failure(backend_errors::timeout, "no answer came in time");
        }
        m_body = &m_session->receiveResponse(m_response);
        return {};
    } catch (const Poco::TimeoutException &problem) {
        return failure(connected ? backend_errors::timeout : backend_errors::notSent,
                       problem.displayText());
    } catch (const Poco::Exception &problem) {
        if (!connected)
            return failure(backend_errors::notSent, problem.displayText());
        return brokenBy(problem.displayText());
    }
}

result<std::size_t> backend_exchange::read(std::span<char> room)
{
    try {
        const std::size_t count = readSome(*m_body, room);
        const bool isBroken = count == 0 && m_session->networkException() != nullptr;
        return isBroken ? brokenBy("the connection broke") : result<std::size_t>(count);
    } catch (const Poco::TimeoutException &problem) {
        return failure(backend_errors::timeout, problem.displayText());
    } catch (const Poco::Exception &problem) {
        return brokenBy(problem.displayText());
    }
}

void backend_exchange::finish()
{
    try {
        m_session->socket().setReceiveTimeout(toTimespan(endOfAnswerTimeout));
        m_finished = m_body->get() == std::char_traits<char>::eof();
    } catch (const Poco::Exception &) {
        m_finished = false;
    }
}

backend_client::session_ptr backend_client::takeIdle(const endpoint &place)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<session_ptr> &idle = m_idle[toString(place)];
    while (!idle.empty()) {
        session_ptr session = std::move(idle.back());
        idle.pop_back();
        if (isReusable(*session))
            return session;
    }
    return nullptr;
}

void backend_client::keep(const endpoint &place, session_ptr session)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<session_ptr> &idle = m_idle[toString(place)];
    if (idle.size() < maxIdleSessions)
        idle.push_back(std::move(session));
}

std::unique_ptr<backend_exchange> backend_client::open(const endpoint &place, bool mayReuse,
                                                       duration timeout)
{
    session_ptr session = mayReuse ? takeIdle(place) : nullptr;
    if (!session) {
        session = std::make_unique<Poco::Net::HTTPClientSession>(place.host, place.port);
        session->setKeepAlive(true);
    }
    setTimeouts(*session, connectTimeout, timeout);
    return std::make_unique<backend_exchange>(*this, place, std::move(session));
}

result<server_state_report> backend_client::readState(const server_poll &poll)
{
    session_ptr session = takeIdle(poll.address);
    if (!session) {
        session =
            std::make_unique<Poco::Net::HTTPClientSession>(poll.address.host, poll.address.port);
        session->setKeepAlive(true);
    }
    setTimeouts(*session, stateTimeout, stateTimeout);
    const result<http_answer> answer =
        httpCall(*session,
                 {.path = "/state?from=" + std::to_string(poll.fromSequence),
                  .headers = authorization(poll.credential)});
    if (!answer)
        return tl::unexpected(answer.error());
    keep(poll.address, std::move(session));
    const result<Json::Value> value = parseJson(answer->body, "an engine's state");
    if (!value || !value->isObject())
        return failure("bad-state", "engine \"" + poll.server + "\" sent a malformed state");
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
                                 .stored = digestsOf(entry["stored"]),
                                 .evicted = digestsOf(entry["evicted"])});
    return report;
}

result<void> backend_client::orderLoad(const server_order &order)
{
    Json::Value body(Json::objectValue);
    body["version"] = order.order.version;
    body["epoch"] = Json::UInt64(order.order.epoch);
    const result<http_answer> answer = httpCallOnce(order.address,
                                                    {.method = "POST",
                                                     .path = "/orders/load",
                                                     .body = writeJson(body),
                                                     .headers = authorization(order.credential)},
                                                    orderTimeout);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status == HTTPResponse::HTTP_CONFLICT)
        return failure("stale-epoch",
                       "backend server \"" + order.order.server
                           + "\" refused an old fencing number");
    if (answer->status >= 300)
        return failure("refused",
                       "backend server \"" + order.order.server + "\" refused an order with status "
                           + std::to_string(answer->status));
    return {};
}

void backend_client::cancel(const endpoint &place, const std::string &credential,
                            const std::string &attempt)
{
    Json::Value body(Json::objectValue);
    body["attempt"] = attempt;
    static_cast<void>(httpCallOnce(place,
                                   {.method = "POST",
                                    .path = "/cancel",
                                    .body = writeJson(body),
                                    .headers = authorization(credential)},
                                   cancelTimeout));
}

} // namespace trefoil
