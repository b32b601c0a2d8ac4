#pragma once

#include <deque>

#include <core/clock.h>

namespace trefoil {

/// Options of a retry window.
struct retry_window_options
{
    duration length = std::chrono::seconds(10);
    /// Retries for each request of the window, and beside them.
    double retriesPerRequest = 0.1;
    double extra = 3;
};

/// Bounds retries in each span of time to a share of the requests in that span. Unlike a budget
/// that is saved up, it allows as many retries as the bound does when they come all at once, as
/// when a pool loads weights or loses a server. Not thread-safe. Times must not decrease.
class retry_window
{
public:
    explicit retry_window(const retry_window_options &options) : m_options(options) { }

    /// Replaces the retries allowed beside the share: the part of an instance in a fleet whose size
    /// changes.
    void setExtra(double extra) { m_options.extra = extra; }

    /// Notes a request.
    void noteRequest(timestamp now);
    /// Takes one retry. Returns false when the bound is reached.
    bool takeRetry(timestamp now);

private:
    void prune(timestamp now);

    retry_window_options m_options;
    std::deque<timestamp> m_requests;
    std::deque<timestamp> m_retries;
};

} // namespace trefoil
