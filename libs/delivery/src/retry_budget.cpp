#include <delivery/retry_budget.h>

#include <algorithm>

namespace trefoil {

namespace {

/// Retries saved up at most: a crash of one server cuts about this many requests at once.
constexpr double maxLevel = 20;

} // namespace

void retry_budget::noteRequest() { m_level = std::min(maxLevel, m_level + retriesPerRequest); }

bool retry_budget::takeRetry()
{
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

} // namespace trefoil
