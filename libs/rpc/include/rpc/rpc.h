#pragma once

#include <functional>
#include <memory>
#include <string>

#include <json/value.h>

namespace trefoil {

/// Answers the one method that peers call.
using rpc_handler = std::function<Json::Value(const Json::Value &message)>;

/// Carries request text to a peer and fills in its response. Returns false where no response came.
using rpc_transport = std::function<bool(const std::string &request, std::string &response)>;

/// Server side of the peers' JSON-RPC.
///
///     rpc_server server([](const Json::Value &message) { return answerTo(message); });
///     std::string response = server.answer(requestText);
///
/// Thread-safe as far as the handler is.
class rpc_server
{
public:
    /// Precondition: @p handler is callable and does not throw.
    explicit rpc_server(rpc_handler handler);
    ~rpc_server();
    rpc_server(const rpc_server &) = delete;
    rpc_server &operator=(const rpc_server &) = delete;

    /// Returns the response text to @p request; a malformed request gets a JSON-RPC error.
    std::string answer(const std::string &request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Calls a peer with @p message over @p transport. Returns false, with @p problem saying why, when
/// no valid answer came; else fills in @p answer. Thread-safe.
bool rpcCall(const rpc_transport &transport, const Json::Value &message, Json::Value &answer,
             std::string &problem);

} // namespace trefoil
