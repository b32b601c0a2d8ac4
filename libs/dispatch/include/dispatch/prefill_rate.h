#pragma once

#include <cstddef>
#include <deque>

namespace trefoil {

/// Options of a prefill rate estimate.
struct prefill_rate_options
{
    /// Rate in prompt tokens per millisecond that is assumed before the first measurements.
    double initialTokensPerMs = 90;
    /// Prompts with fewer tokens to compute say more about fixed costs than about the rate.
    double minTokens = 2000;
    /// Weight of the initial rate in measurements.
    std::size_t initialWeight = 3;
    /// Number of measurements that are kept.
    std::size_t maxSamples = 31;
};

/// Estimates how fast the engines of a service compute prompts, from the times to the first event.
/// The median ignores the prompts whose cached share was estimated wrongly. Not thread-safe.
///
/// Handles deployments whose engines are slower or faster than the initial rate: a rate that is too
/// high makes the router take an engine that computes a long prompt for a silent one.
class prefill_rate
{
public:
    explicit prefill_rate(const prefill_rate_options &options);

    /// Records that an engine computed @p tokens prompt tokens, including those queued ahead, in
    /// @p milliseconds. Returns whether the measurement was used: those of short prompts and those
    /// without a positive time are ignored.
    bool record(double tokens, double milliseconds);
    /// Records a rate in tokens per millisecond that another instance measured. Ignored unless
    /// positive.
    void recordRate(double tokensPerMs);
    /// Returns the estimated rate in prompt tokens per millisecond.
    double tokensPerMs() const { return m_tokensPerMs; }

private:
    prefill_rate_options m_options;
    std::deque<double> m_samples;
    double m_tokensPerMs;
};

} // namespace trefoil
