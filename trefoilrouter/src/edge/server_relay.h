#pragma once

#include <functional>
#include <string_view>

#include <Poco/URI.h>
#include <http/byte_stream.h>

#include "edge/edge_state.h"

namespace trefoil {

/// Opens a connection to the backend server at @p target through the instance whose address for
/// calls of other instances is @p relay. Errors: those of byte_stream::connect(), with
/// connect_errors::unreachable if the relay doesn't reach the server; nothing was sent to the
/// server then. Thread-safe.
result<byte_stream> connectThrough(const endpoint &relay, const endpoint &target, duration timeout);

/// Path of the request for a relayed connection; its query names the server's address. After the
/// head of an answer with status 200 the connection carries what either side sends.
inline constexpr const char *relayPath = "/relay";
inline constexpr const char *relayServerParameter = "server";

/// Relayed connections that an instance bears at the same time, each with a thread.
inline constexpr int maxRelayedConnections = 256;

/// Records the outcome of a direct connection to @p server, decided on at @p startedAt, see
/// server_reach. Thread-safe.
void recordConnection(edge_state &state, timestamp startedAt, std::string_view server,
                      bool isConnected);

/// Serves a request of another instance for a connection to the backend server at @p target, a host
/// and port: passes bytes on in both directions until either side ends or the instance closes its
/// idle connections. The requests on it count as open while bytes flow. Thread-safe.
///
/// A connection that the server resets is reset to the other instance too, and the other way round:
/// a cut answer must not look complete, and a server must learn that its caller has left.
void relayConnection(edge_state &state, byte_stream caller, std::string_view target);

/// Returns the function that takes over requests for relayed connections of other instances.
/// Precondition: @p state outlives it.
std::function<bool(const Poco::URI &, byte_stream &)> relayRequests(edge_state &state);

} // namespace trefoil
