#pragma once

#include <optional>

#include <core/supervisor.h>
#include <http/byte_stream.h>

#include "edge/edge_state.h"
#include "edge/request_runner.h"
#include "edge/server_connections.h"

namespace trefoil {

/// One connection of a caller: reads requests strictly and within bounds, and serves them one after
/// the other. Used by one thread.
class caller_session
{
public:
    /// Precondition: @p state and @p connections outlive this object.
    caller_session(edge_state &state, server_connections &connections, byte_stream caller);

    /// Serves until the connection ends.
    void run();

private:
    /// Reads the next request. Returns nothing where the connection ends; what is wrong was
    /// answered.
    std::optional<caller_request> readRequest();
    bool waitForRequest();
    bool readHead(const caller_bounds &bounds, std::string &head);
    bool readBody(const caller_bounds &bounds, const body_framing &framing,
                  caller_request &request);
    void refuse(int status, std::string_view sentence);
    caller_bounds bounds() const;

    edge_state &m_state;
    server_connections &m_connections;
    byte_stream m_caller;
};

/// Returns a child that takes callers on @p place until it is stopped, a thread for each
/// connection. When the instance leaves it goes on taking connections; each answer then ends its
/// connection. Precondition: @p state and @p connections outlive it.
child_body callerListener(edge_state &state, server_connections &connections,
                          const endpoint &place);

} // namespace trefoil
