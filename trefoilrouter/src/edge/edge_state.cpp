#include "edge/edge_state.h"

#include <algorithm>

#include <core/digest.h>

namespace trefoil {

namespace {

/// Part of the allowed retries that instances use: the rest covers arrivals that fall into another
/// window than the requests that earned them.
constexpr double budgetUse = 0.85;
/// Instances that share the extra retries at the least: the list may be short for a moment.
constexpr std::size_t leastSharers = 8;

double extraRetriesOf(const platform_settings &settings, std::size_t instances)
{
    return settings.extraRetries * budgetUse
        / static_cast<double>(std::max(instances, leastSharers));
}

/// A placed request may wait this long at its server before it begins, under a burst.
constexpr duration longestServerWait = std::chrono::milliseconds(1500);

windowed_retry_budget_options budgetOptionsOf(const platform_settings &settings)
{
    return {.length = settings.retryWindow,
            .retriesPerRequest = settings.retriesPerRequest * budgetUse,
            .extraRetries = extraRetriesOf(settings, leastSharers)};
}

} // namespace

edge_beliefs::edge_beliefs(const platform_settings &settings)
    : board({.zone = settings.zone,
             .randomSeed = hash64(settings.name),
             .olderWeightsLimit = settings.weightsDeadline - longestServerWait}),
      limits({.window = settings.limitWindow}),
      members({.self = settings.name, .zone = settings.zone}),
      releases({.trialShare = settings.exposeShare / 2}), budgetOptions(budgetOptionsOf(settings))
{ }

void edge_beliefs::shareRetries(const platform_settings &settings, std::size_t instances)
{
    budgetOptions.extraRetries = extraRetriesOf(settings, instances);
    for (auto it = budgets.begin(); it != budgets.end(); ++it)
        it->second.setExtraRetries(budgetOptions.extraRetries);
}

edge_state::edge_state(const platform_settings &settings)
    : m_settings(settings), m_incarnation(wallMilliseconds()), m_beliefs(settings)
{ }

std::shared_ptr<const serving_tables> edge_state::tables() const
{
    const std::lock_guard<std::mutex> lock(m_tablesMutex);
    return m_tables;
}

bool edge_state::publish(std::shared_ptr<const serving_tables> tables)
{
    const std::lock_guard<std::mutex> lock(m_tablesMutex);
    if (m_tables && m_tables->version >= tables->version)
        return false;
    m_tables = std::move(tables);
    m_publishedAt = boot_clock::now();
    return true;
}

duration edge_state::tablesAge(timestamp now) const
{
    const std::lock_guard<std::mutex> lock(m_tablesMutex);
    return now - m_publishedAt;
}

bool edge_state::isReady() const { return !m_isLeaving && tables() != nullptr; }

} // namespace trefoil
