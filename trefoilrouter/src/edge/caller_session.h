#pragma once

#include <optional>

#include <core/supervisor.h>
#include <http/byte_stream.h>
#include <http/connection_reserve.h>

#include "edge/edge_state.h"
#include "edge/request_runner.h"
#include "edge/server_connection_pool.h"

namespace trefoil {

/// A connection from a caller: parses requests strictly, enforces size and time limits and serves
/// the requests one after the other. Not thread-safe.
class caller_session
{
public:
    /// Precondition: @p state, @p connections and @p reserve outlive this object.
    caller_session(edge_state &state, server_connection_pool &connections,
                   connection_reserve &reserve, byte_stream caller);

    /// Serves requests until the connection ends.
    void run();

private:
    /// Reads the next request, whose bytes @p held counts. Returns nothing when the connection
    /// ends; a malformed request was answered with an error first.
    std::optional<caller_request> readRequest(byte_budget::share &held);
    bool waitForRequest();
    bool readHead(const caller_bounds &bounds, std::string &head);
    bool readBody(const caller_bounds &bounds, const body_framing &framing, caller_request &request,
                  byte_budget::share &held);
    void reject(int status, std::string_view message,
                std::optional<duration> retryAfter = std::nullopt);
    caller_bounds bounds() const;

    edge_state &m_state;
    server_connection_pool &m_connections;
    connection_reserve &m_reserve;
    byte_stream m_caller;
};

/// Concurrent connections: more than all callers of a small deployment open together. The thread of
/// each takes about 40 KB.
inline constexpr int defaultMaxConnections = 700;

/// Returns a child that accepts callers on @p address until it is stopped, with one thread per
/// connection. Idle connections are closed to make room for new ones. While the instance shuts down
/// it still accepts connections, and each answer closes its connection. Precondition: @p state and
/// @p connections outlive it.
child_body callerListener(edge_state &state, server_connection_pool &connections,
                          const endpoint &address, int maxConnections = defaultMaxConnections);

} // namespace trefoil
