#include <delivery/retry_window.h>

namespace trefoil {

void retry_window::prune(timestamp now)
{
    while (!m_requests.empty() && now - m_requests.front() > m_options.length)
        m_requests.pop_front();
    while (!m_retries.empty() && now - m_retries.front() > m_options.length)
        m_retries.pop_front();
}

void retry_window::noteRequest(timestamp now)
{
    prune(now);
    m_requests.push_back(now);
}

bool retry_window::takeRetry(timestamp now)
{
    prune(now);
    const double most =
        m_options.extra + m_options.retriesPerRequest * static_cast<double>(m_requests.size());
    if (static_cast<double>(m_retries.size()) + 1 > most)
        return false;
    m_retries.push_back(now);
    return true;
}

} // namespace trefoil
