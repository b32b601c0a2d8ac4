#include "standin_server.h"

#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/URI.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr std::size_t maxBodyBytes = 64 << 20;

/// Delay of an answer that is sent again on the idle connection.
constexpr duration idleRepeatDelay = std::chrono::milliseconds(20);
/// Pause inside an answer that is sent again in parts.
constexpr duration partDelay = std::chrono::milliseconds(20);

Poco::Net::StreamSocket &connectionOf(Poco::Net::HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

std::string encodeAnswer(const Poco::Net::HTTPServerResponse &response, std::string_view body)
{
    std::ostringstream text;
    response.write(text);
    if (response.getChunkedTransferEncoding())
        text << std::hex << body.size() << "\r\n" << body << "\r\n0\r\n\r\n";
    else
        text << body;
    return text.str();
}

class function_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit function_handler(const request_handler &handler) : m_handler(handler) { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        try {
            if (request.has("X-Attempt"))
                response.set("X-Attempt", request.get("X-Attempt"));
            if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_OPTIONS)
                sendJson(response, 200, "{}"); // liveness probe
            else
                m_handler(request, response);
        } catch (const std::exception &) {
            response.setKeepAlive(false); // the peer closed the connection
        }
    }

private:
    const request_handler &m_handler;
};

class function_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit function_handler_factory(request_handler handler) : m_handler(std::move(handler)) { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new function_handler(m_handler); // owned and deleted by the server
    }

private:
    request_handler m_handler;
};

} // namespace

repeat_moment parseRepeatMoment(std::string_view name)
{
    return name == "next" ? repeat_moment::NextAnswer
        : name == "parts" ? repeat_moment::NextAnswerInParts
        : name == "idle"  ? repeat_moment::Idle
                          : repeat_moment::Never;
}

void answer_repeater::setMoment(repeat_moment moment)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->moment = moment;
    m_state->due.clear();
}

void answer_repeater::sendDue(Poco::Net::HTTPServerRequest &request)
{
    send(*m_state, connectionOf(request).impl());
}

void answer_repeater::arrange(Poco::Net::HTTPServerRequest &request,
                              const Poco::Net::HTTPServerResponse &response, std::string_view body)
{
    const Poco::Net::StreamSocket &connection = connectionOf(request);
    const void *key = connection.impl();
    {
        const std::lock_guard<std::mutex> lock(m_state->mutex);
        if (m_state->moment == repeat_moment::Never)
            return;
        m_state->due.insert_or_assign(
            key, due_answer {.connection = connection, .text = encodeAnswer(response, body)});
        if (m_state->moment != repeat_moment::Idle)
            return;
    }
    std::thread([shared = m_state, key] {
        std::this_thread::sleep_for(idleRepeatDelay);
        send(*shared, key);
    }).detach();
}

std::uint64_t answer_repeater::count() const
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->count;
}

void answer_repeater::send(state &shared, const void *connection)
{
    // The lock is held while writing, so that the next answer doesn't begin in the middle.
    const std::lock_guard<std::mutex> lock(shared.mutex);
    const auto found = shared.due.find(connection);
    if (found == shared.due.end())
        return;
    due_answer due = std::move(found->second);
    shared.due.erase(found);
    const bool isInParts = shared.moment == repeat_moment::NextAnswerInParts;
    const std::size_t partBytes = isInParts ? due.text.size() / 2 : due.text.size();
    try {
        due.connection.sendBytes(due.text.data(), static_cast<int>(partBytes));
        if (isInParts) {
            std::this_thread::sleep_for(partDelay);
            due.connection.sendBytes(due.text.data() + partBytes,
                                     static_cast<int>(due.text.size() - partBytes));
        }
        ++shared.count;
    } catch (const Poco::Exception &) {
        // The peer has closed the connection.
    }
}

int runHttpServer(const endpoint &address, int threads, request_handler handler)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const child_body listener =
        makeHttpListener({.address = address,
                          .threads = threads,
                          .factory = new function_handler_factory(std::move(handler))});
    std::jthread server([&](const std::stop_token &stop) {
        const result<void> end = listener(stop);
        if (!end) {
            std::cerr << "standin: " << end.error().message << "\n";
            std::_Exit(1);
        }
    });
    int signal = 0;
    sigwait(&signals, &signal);
    // Stand-ins need no graceful shutdown.
    std::_Exit(0);
}

void sendJson(Poco::Net::HTTPServerResponse &response, int status, const std::string &body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentType("application/json");
    response.sendBuffer(body.data(), body.size());
}

std::string readRequestBody(Poco::Net::HTTPServerRequest &request)
{
    std::string body;
    readBody(request.stream(), maxBodyBytes, timestamp::max(), body);
    return body;
}

std::string queryParameter(const Poco::Net::HTTPServerRequest &request, const std::string &name)
{
    return queryValue(Poco::URI(request.getURI()), name);
}

} // namespace trefoil
