#include <delivery/windowed_retry_budget.h>

namespace trefoil {

void windowed_retry_budget::prune(timestamp now)
{
    while (!m_requests.empty() && now - m_requests.front() > m_options.length)
        m_requests.pop_front();
    while (!m_retries.empty() && now - m_retries.front() > m_options.length)
        m_retries.pop_front();
}

void windowed_retry_budget::recordRequest(timestamp now)
{
    prune(now);
    m_requests.push_back(now);
}

bool windowed_retry_budget::takeRetry(timestamp now)
{
    prune(now);
    const double maxRetries = m_options.extraRetries
        + m_options.retriesPerRequest * static_cast<double>(m_requests.size());
    if (static_cast<double>(m_retries.size()) + 1 > maxRetries)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace trefoil
