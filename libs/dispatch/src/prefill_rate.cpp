#include <dispatch/prefill_rate.h>

#include <algorithm>
#include <vector>

namespace trefoil {

prefill_rate::prefill_rate(const prefill_rate_options &options)
    : m_options(options), m_samples(options.initialWeight, options.initialTokensPerMs),
      m_tokensPerMs(options.initialTokensPerMs)
{ }

bool prefill_rate::record(double tokens, double milliseconds)
{
    if (tokens < m_options.minTokens || milliseconds <= 0)
        return false;
    recordRate(tokens / milliseconds);
    return true;
}

void prefill_rate::recordRate(double tokensPerMs)
{
    if (!(tokensPerMs > 0))
        return;
    m_samples.push_back(tokensPerMs);
    if (m_samples.size() > m_options.maxSamples)
        m_samples.pop_front();
    std::vector<double> sorted(m_samples.begin(), m_samples.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_tokensPerMs = *middle;
}

} // namespace trefoil
