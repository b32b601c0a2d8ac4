#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <control/peer_codec.h>

#include "control_thread.h"
#include "http_util.h"

namespace trefoil {

/// JSON-RPC client for calls to other instances, over persistent HTTP connections. Thread-safe.
class peer_client
{
public:
    /// @p secret authenticates each call; empty disables authentication.
    explicit peer_client(std::string secret) : m_secret(std::move(secret)) { }

    /// Calls the peer at @p to ("address:port"). Errors: those of http_errors, "bad-message",
    /// "rpc".
    result<peer_answer> call(const std::string &to, const peer_request &request);

private:
    http_connection takeConnection(const std::string &to, const endpoint &address);

    std::string m_secret;
    std::mutex m_mutex;
    std::map<std::string, std::vector<http_connection>> m_idle;
};

/// Creates the handler factory of the peers' listener. Precondition: @p control outlives it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makePeersHandlerFactory(control_thread &control, std::string secret);

/// Header that carries the secret shared by all instances.
inline constexpr const char *peerSecretHeader = "X-Trefoil-Peer";

} // namespace trefoil
