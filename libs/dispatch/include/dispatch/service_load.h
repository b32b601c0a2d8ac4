#pragma once

#include <cstddef>

#include <core/clock.h>

namespace trefoil {

/// Load that all instances together put on the servers of a service that may take requests.
struct service_load
{
    /// When the load was summed.
    timestamp at;
    int servers = 0;
    /// Servers that may take requests again in a moment: they rejected one or load weights.
    int pausedServers = 0;
    int slots = 0;
    int running = 0;
    /// Prompt tokens to compute for requests that have had no first event yet.
    double pendingTokens = 0;
    /// Prompt tokens that one engine computes per millisecond; 0 for a service without a model.
    double tokensPerMs = 0;
    /// Engine memory that running requests take and may take, in tokens.
    double memoryTokens = 0;
    double usableMemoryTokens = 0;
    /// Average duration of a call in milliseconds; 0 for a service with a model.
    double callMs = 0;
    /// Number of other instances whose reports are included.
    std::size_t reportingPeers = 0;
    /// Number of those that put load on any server.
    std::size_t busyPeers = 0;
};

} // namespace trefoil
