#pragma once

namespace trefoil {

/// Bounds retries to a share of the traffic, so that a failing pool is not met with more load than
/// a healthy one. Not thread-safe.
class retry_budget
{
public:
    /// Retries for each request in the long run.
    static constexpr double retriesPerRequest = 0.1;

    /// Notes a request, which earns a part of a retry.
    void noteRequest();
    /// Takes one retry. Returns false when the budget is spent.
    bool takeRetry();

private:
    // Starts with a few, so that the first failures after a start can be retried.
    double m_level = 3;
};

} // namespace trefoil
