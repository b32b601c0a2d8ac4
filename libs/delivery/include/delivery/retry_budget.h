#pragma once

namespace trefoil {

/// Limits retries to a share of the requests, so that retries don't overload a failing pool. Unused
/// retries are saved up to a limit. Not thread-safe.
class retry_budget
{
public:
    /// Average number of retries allowed per request.
    static constexpr double retriesPerRequest = 0.1;

    /// Counts a request, which adds retriesPerRequest to the budget.
    void recordRequest();
    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    bool takeRetry();

private:
    // Not 0, so that the first failures after a start can be retried.
    double m_availableRetries = 3;
};

} // namespace trefoil
