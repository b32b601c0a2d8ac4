#include "peer_rpc.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <rpc/rpc.h>

#include "http_util.h"

namespace trefoil {

namespace {

/// A live peer responds immediately; a short timeout keeps failure detection fast.
constexpr duration peerTimeout = std::chrono::milliseconds(400);

/// Maximum number of idle connections to one peer.
constexpr std::size_t maxIdleConnections = 2;

/// A message contains at most one object of 1 MiB, which grows when escaped as JSON.
constexpr std::size_t maxMessageBytes = 8 << 20;
/// Time for a message to arrive: its sender has given up by then.
constexpr duration messageTimeout = peerTimeout * 2;

class peer_rpc_handler : public Poco::Net::HTTPRequestHandler
{
public:
    peer_rpc_handler(control_thread &control, const std::string &secret)
        : m_control(control), m_secret(secret)
    { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        std::string body;
        if (request.get(peerSecretHeader, "") != m_secret) {
            refuse(Poco::Net::HTTPResponse::HTTP_FORBIDDEN, response);
            return;
        }
        if (!readBody(request.stream(), maxMessageBytes, boot_clock::now() + messageTimeout,
                      body)) {
            refuse(Poco::Net::HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE, response);
            return;
        }
        // A cheap object; creating one for each request avoids a lock.
        rpc_server server([this](const Json::Value &message) { return handleMessage(message); });
        const std::string text = server.answer(body);
        response.setContentType("application/json");
        response.sendBuffer(text.data(), text.size());
    }

private:
    /// Closes the connection with the response, since the rest of the message would be taken for
    /// the next request.
    static void refuse(Poco::Net::HTTPResponse::HTTPStatus status,
                       Poco::Net::HTTPServerResponse &response)
    {
        response.setStatusAndReason(status);
        response.setKeepAlive(false);
        response.setContentLength(0);
        response.send();
    }

    Json::Value handleMessage(const Json::Value &message)
    {
        Json::Value empty(Json::objectValue);
        const result<peer_request> request = peerRequestFromJson(message);
        if (!request)
            return empty;
        const std::optional<peer_answer> answer = m_control.handlePeerRequest(*request);
        return answer ? toJson(*answer) : empty;
    }

    control_thread &m_control;
    const std::string &m_secret;
};

class peer_rpc_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    peer_rpc_handler_factory(control_thread &control, std::string secret)
        : m_control(control), m_secret(std::move(secret))
    { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new peer_rpc_handler(m_control, m_secret); // owned by the HTTP server
    }

private:
    control_thread &m_control;
    std::string m_secret;
};

} // namespace

http_connection peer_client::takeConnection(const std::string &to, const endpoint &address)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<http_connection> &idle = m_idle[to];
        while (!idle.empty()) {
            http_connection connection = std::move(idle.back());
            idle.pop_back();
            // A connection closed by the peer is not reused: only a new one tells whether the
            // peer's process has exited.
            if (connection.isReusable())
                return connection;
        }
    }
    return http_connection(address);
}

result<peer_answer> peer_client::call(const std::string &to, const peer_request &request)
{
    endpoint address;
    if (!parseEndpoint(to, address))
        return failure(http_errors::unreachable, "\"" + to + "\" is not an address and port");
    http_connection connection = takeConnection(to, address);
    error transportError;
    const rpc_transport transport = [&](const std::string &text, std::string &response) {
        const result<http_response> httpResponse =
            connection.send({.method = "POST",
                             .path = "/rpc",
                             .body = text,
                             .headers = {{peerSecretHeader, m_secret}}},
                            {.total = peerTimeout * 2,
                             .connect = peerTimeout,
                             .idle = peerTimeout,
                             .maxBodyBytes = maxMessageBytes});
        if (!httpResponse) {
            transportError = httpResponse.error();
            return false;
        }
        response = httpResponse->body;
        return true;
    };
    Json::Value value;
    std::string rpcError;
    if (!rpcCall(transport, toJson(request), value, rpcError)) {
        if (transportError.code.empty())
            transportError = {.code = "rpc", .message = rpcError};
        return tl::unexpected(transportError);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<http_connection> &idle = m_idle[to];
    if (idle.size() < maxIdleConnections)
        idle.push_back(std::move(connection));
    return peerAnswerFromJson(value);
}

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makePeersHandlerFactory(control_thread &control, std::string secret)
{
    return new peer_rpc_handler_factory(control, std::move(secret));
}

} // namespace trefoil
