#pragma once

#include <atomic>
#include <optional>

#include <core/clock.h>

namespace trefoil {

/// Options of a connection_reserve.
struct connection_reserve_options
{
    /// Largest number of connections that are served at the same time.
    int maxConnections = 0;
    /// Share of maxConnections that is kept free for new connections.
    double reservedShare = 0.15;
    /// A connection that carried a request more recently is not closed.
    duration minIdleTime = std::chrono::seconds(1);
};

/// Decides which idle connections are closed, so that new ones needn't wait for their idle timeout:
/// as many as the open and waiting connections exceed what is not reserved. Thread-safe.
class connection_reserve
{
public:
    /// Precondition: maxConnections is positive.
    explicit connection_reserve(const connection_reserve_options &options) : m_options(options) { }

    /// Records how many connections are served and how many wait to be.
    void update(int open, int waiting);
    /// Records how many connections wait to be served at @p now, and returns for how long at least
    /// one has been waiting. Precondition: called by one thread, with times that do not decrease.
    duration recordWaiting(timestamp now, int waiting);
    /// Returns whether a connection that has been idle for @p idleTime may be kept. One that may
    /// not has to be closed by the caller, and is counted as such.
    bool mayKeep(duration idleTime);

private:
    connection_reserve_options m_options;
    /// Number of idle connections to close.
    std::atomic<int> m_surplus = 0;
    /// Since when connections have been waiting, unless none waits.
    std::optional<timestamp> m_waitingSince;
};

} // namespace trefoil
