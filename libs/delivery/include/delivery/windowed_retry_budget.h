#pragma once

#include <deque>

#include <core/clock.h>

namespace trefoil {

/// Options of a windowed_retry_budget.
struct windowed_retry_budget_options
{
    /// Length of the sliding window.
    duration length = std::chrono::seconds(10);
    /// Retries allowed per request in the window.
    double retriesPerRequest = 0.1;
    /// Retries allowed per window in addition to those.
    double extraRetries = 3;
};

/// Limits the retries in a sliding window to a share of the requests in that window. Unlike
/// retry_budget, it allows all of them at once, for example when a pool loads weights or loses a
/// server. Not thread-safe. Times must not decrease.
class windowed_retry_budget
{
public:
    explicit windowed_retry_budget(const windowed_retry_budget_options &options)
        : m_options(options)
    { }

    /// Replaces the additional retries per window. An instance's share of them changes with the
    /// size of the fleet.
    void setExtraRetries(double extraRetries) { m_options.extraRetries = extraRetries; }

    /// Counts a request.
    void recordRequest(timestamp now);
    /// Takes one retry from the budget. Returns false if the limit is reached.
    bool takeRetry(timestamp now);

private:
    void prune(timestamp now);

    windowed_retry_budget_options m_options;
    std::deque<timestamp> m_requests;
    std::deque<timestamp> m_retries;
};

} // namespace trefoil
