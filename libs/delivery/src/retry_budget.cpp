#include <delivery/retry_budget.h>

#include <algorithm>

namespace trefoil {

namespace {

/// Maximum saved retries. The crash of one server interrupts about this many requests at once.
constexpr double maxSavedRetries = 20;

} // namespace

void retry_budget::recordRequest()
{
    m_availableRetries = std::min(maxSavedRetries, m_availableRetries + retriesPerRequest);
}

bool retry_budget::takeRetry()
{
    if (m_availableRetries < 1)
        return false;
    m_availableRetries -= 1;
    return true;
}

} // namespace trefoil
