#include <platform/call_budget.h>

#include <algorithm>
#include <cassert>

namespace trefoil {

namespace {

constexpr double burstSeconds = 2;

} // namespace

call_budget::call_budget(double callsPerSecond)
    : m_rate(callsPerSecond), m_available(callsPerSecond * burstSeconds)
{
    assert(callsPerSecond > 0);
}

bool call_budget::take(timestamp now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const double refill = toSeconds(now - m_refilledAt) * m_rate;
    m_available = std::min(m_rate * burstSeconds, m_available + std::max(refill, 0.0));
    m_refilledAt = now;
    if (m_available < 1) {
        ++m_refused;
        return false;
    }
    m_available -= 1;
    ++m_allowed;
    return true;
}

std::uint64_t call_budget::allowed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_allowed;
}

std::uint64_t call_budget::refused() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_refused;
}

} // namespace trefoil
