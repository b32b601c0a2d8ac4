#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

namespace trefoil {

/// Handles the only method, "deliver": takes its message and returns the result.
using rpc_handler = std::function<Json::Value(const Json::Value &message)>;

/// Sends request text to a peer and fills in the response text. Returns false if no response came.
using rpc_transport = std::function<bool(const std::string &request, std::string &response)>;

/// Server side of JSON-RPC between instances, without a transport.
///
///     rpc_server server([](const Json::Value &message) { return handle(message); });
///     std::string response = server.answer(requestText);
///
/// Thread-safe if the handler is.
class rpc_server
{
public:
    /// Precondition: @p handler is callable and does not throw.
    explicit rpc_server(rpc_handler handler);
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    /// Returns the response text for @p request; a JSON-RPC error if @p request is malformed.
    std::string answer(const std::string &request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Calls a peer with @p message over @p transport and fills in @p answer. Returns false and
/// describes the failure in @p errorMessage if no valid answer to this call came: what the
/// transport receives from then on may belong to this call, so it should be closed. Thread-safe.
bool rpcCall(const rpc_transport &transport, const Json::Value &message, Json::Value &answer,
             std::string &errorMessage);

} // namespace trefoil
