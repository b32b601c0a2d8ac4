#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <control/peer_codec.h>

#include "control_thread.h"
#include "http_util.h"

namespace trefoil {

/// Calls to other instances: JSON-RPC over HTTP, on kept connections. Thread-safe.
class peer_client
{
public:
    /// @p secret goes with each call; empty for none.
    explicit peer_client(std::string secret) : m_secret(std::move(secret)) { }

    /// Calls the peer at "address:port". Errors: those of http_errors, "bad-message", "rpc".
    result<peer_answer> call(const std::string &to, const peer_request &request);

private:
    using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;

    session_ptr takeSession(const std::string &to, const endpoint &place);

    std::string m_secret;
    std::mutex m_mutex;
    std::map<std::string, std::vector<session_ptr>> m_idle;
};

/// Returns the handler factory of the peers' listener. Precondition: @p control outlives it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> peersFactory(control_thread &control,
                                                                   std::string secret);

/// Name of the header that carries the peers' secret.
inline constexpr const char *peerSecretHeader = "X-Trefoil-Peer";

} // namespace trefoil
