#include "peer_link.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <rpc/rpc.h>

namespace trefoil {

namespace {

/// A peer answers at once or not at all; the failure detector needs to know soon.
constexpr duration peerTimeout = std::chrono::milliseconds(400);

/// Connections kept to one peer.
constexpr std::size_t maxIdleSessions = 2;

/// A message between peers holds at most one object of a megabyte, escaped.
constexpr std::size_t maxMessageBytes = 8 << 20;

class rpc_handler_http : public Poco::Net::HTTPRequestHandler
{
public:
    rpc_handler_http(control_thread &control, const std::string &secret)
        : m_control(control), m_secret(secret)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        if (request.get(peerSecretHeader, "") != m_secret) {
            response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_FORBIDDEN);
            response.setContentLength(0);
            response.send();
            return;
        }
        if (!readBody(request.stream(), maxMessageBytes, body)) {
            response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE);
            response.setContentLength(0);
            response.send();
            return;
        }
        // The server object is cheap, and one for each request needs no lock.
        rpc_server server([this](const Json::Value &message) { return answer(message); });
        const std::string text = server.answer(body);
        response.setContentType("application/json");
        response.sendBuffer(text.data(), text.size());
    }

private:
    Json::Value answer(const Json::Value &message)
    {
        Json::Value none(Json::objectValue);
        const result<peer_request> request = peerRequestFromJson(message);
        if (!request)
            return none;
        const std::optional<peer_answer> answer = m_control.askPeerRequest(*request);
        return answer ? toJson(*answer) : none;
    }

    control_thread &m_control;
    const std::string &m_secret;
};

class rpc_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    rpc_factory(control_thread &control, std::string secret)
        : m_control(control), m_secret(std::move(secret))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new rpc_handler_http(m_control, m_secret); // the server deletes it
    }

private:
    control_thread &m_control;
    std::string m_secret;
};

} // namespace

peer_client::session_ptr peer_client::takeSession(const std::string &to, const endpoint &place)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<session_ptr> &idle = m_idle[to];
        while (!idle.empty()) {
            session_ptr session = std::move(idle.back());
            idle.pop_back();
            // Only a new connection tells whether the peer's process is gone.
            if (isReusable(*session))
                return session;
        }
    }
    session_ptr session = std::make_unique<Poco::Net::HTTPClientSession>(place.host, place.port);
    session->setKeepAlive(true);
    setTimeouts(*session, peerTimeout, peerTimeout);
    return session;
}

result<peer_answer> peer_client::call(const std::string &to, const peer_request &request)
{
    endpoint place;
    if (!parseEndpoint(to, place))
        return failure(http_errors::unreachable, "\"" + to + "\" is not an address and port");
    session_ptr session = takeSession(to, place);
    error problem;
    const rpc_transport transport = [&](const std::string &text, std::string &response) {
        const result<http_answer> answer = httpCall(*session,
                                                    {.method = "POST",
                                                     .path = "/rpc",
                                                     .body = text,
                                                     .headers = {{peerSecretHeader, m_secret}}});
        if (!answer) {
            problem = answer.error();
            return false;
        }
        response = answer->body;
        return true;
    };
    Json::Value value;
    std::string why;
    if (!rpcCall(transport, toJson(request), value, why)) {
        if (problem.code.empty())
            problem = {.code = "rpc", .message = why};
        return tl::unexpected(problem);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<session_ptr> &idle = m_idle[to];
    if (idle.size() < maxIdleSessions)
        idle.push_back(std::move(session));
    return peerAnswerFromJson(value);
}

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> peersFactory(control_thread &control,
                                                                   std::string secret)
{
    return new rpc_factory(control, std::move(secret));
}

} // namespace trefoil
