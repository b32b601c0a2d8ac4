#include <rpc/rpc.h>

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace trefoil {

namespace {

constexpr const char *methodName = "deliver";
constexpr const char *parameterName = "message";

/// Server connector without a transport: the HTTP listener passes in request text and takes the
/// response text.
class text_server_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *target) override
    {
        *static_cast<std::string *>(target) = response;
        return true;
    }
};

/// Client connector that sends the request text over an rpc_transport.
class transport_client_connector : public jsonrpc::IClientConnector
{
public:
    explicit transport_client_connector(const rpc_transport &transport) : m_transport(transport) { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, result))
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            "the peer did not answer");
    }

private:
    const rpc_transport &m_transport;
};

} // namespace

/// The connector is a base class, so that it is constructed before the AbstractServer that takes a
/// reference to it.
class rpc_server::implementation : private text_server_connector,
                                   public jsonrpc::AbstractServer<rpc_server::implementation>
{
public:
    explicit implementation(rpc_handler handler)
        : jsonrpc::AbstractServer<implementation>(static_cast<text_server_connector &>(*this)),
          m_handler(std::move(handler))
    {
        const jsonrpc::Procedure procedure(methodName, jsonrpc::PARAMS_BY_NAME,
                                           jsonrpc::JSON_OBJECT, parameterName,
                                           jsonrpc::JSON_OBJECT, NULL);
        bindAndAddMethod(procedure, &implementation::deliver);
    }

    std::string answer(const std::string &request)
    {
        std::string response;
        OnRequest(request, &response);
        return response;
    }

private:
    void deliver(const Json::Value &parameters, Json::Value &answer)
    {
        answer = m_handler(parameters[parameterName]);
    }

    rpc_handler m_handler;
};

rpc_server::rpc_server(rpc_handler handler)
    : m_implementation(new implementation(std::move(handler)))
{ }

rpc_server::~rpc_server() = default;

std::string rpc_server::answer(const std::string &request)
{
    return m_implementation->answer(request);
}

bool rpcCall(const rpc_transport &transport, const Json::Value &message, Json::Value &answer,
             std::string &errorMessage)
{
    transport_client_connector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::Value parameters(Json::objectValue);
    parameters[parameterName] = message;
    try {
        answer = client.CallMethod(methodName, parameters);
        return true;
    } catch (const jsonrpc::JsonRpcException &exception) {
        errorMessage = exception.what();
        return false;
    }
}

} // namespace trefoil
