#pragma once

#include <core/clock.h>

namespace trefoil {

/// Facts about an attempt that waits for its server, on which the limits of its silence depend.
struct silence_facts
{
    /// Whether the answer is an event stream.
    bool isStream = false;
    /// Whether complete events have arrived.
    bool hasEvents = false;
    /// Whether the request may be sent to another server.
    bool canRetry = false;
    /// Expected time to the first event.
    duration expected {};
    /// Expected time to the first event if the server has none of the prompt in its cache.
    duration expectedUncached {};
    /// Silence after which the caller of a stream disconnects.
    duration callerPatience = std::chrono::seconds(2);
};

/// Limits of a server's silence, counted from the last progress: the sending of the request or the
/// last complete event.
struct silence_limits
{
    /// The server becomes suspect and is probed.
    duration suspectAfter {};
    /// The attempt ends; duration::max() to wait until the request's deadline.
    duration abandonAfter = duration::max();
    /// The attempt ends if the server is known to be unreachable; duration::max() for never.
    duration abandonUnreachableAfter = duration::max();
};

/// Returns how long a server may be silent. Thread-safe.
///
/// Handles engines that compute a long prompt for more than a second (they must not be taken for
/// silent ones: the prompt would be computed again elsewhere), servers that have become unreachable
/// with many requests in progress, and streams whose server sends bytes but no complete event. A
/// stream ends once its caller has lost patience; a non-repeatable request waits for its answer.
silence_limits silenceLimits(const silence_facts &facts);

} // namespace trefoil
