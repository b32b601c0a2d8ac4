#include "edge/edge_state.h"

#include <algorithm>

#include <core/digest.h>

namespace trefoil {

namespace {

/// Fraction of the allowed retries that instances use. The rest covers retries that arrive in a
/// later window than the requests that earned them.
constexpr double usableRetryFraction = 0.85;
/// Minimum number of instances among which the extra retries are divided: the instance list may be
/// incomplete for a moment.
constexpr std::size_t minRetrySharers = 8;

double extraRetriesPerInstance(const platform_settings &settings, std::size_t instances)
{
    return settings.extraRetries * usableRetryFraction
        / static_cast<double>(std::max(instances, minRetrySharers));
}

/// Divisor of the memory limit that bounds what all readers hold.
constexpr std::size_t readShareOfMemory = 6;

/// Part of the grace period of a stop in which requests are still taken.
constexpr double serveShareOfGrace = 0.35;

windowed_retry_budget_options retryBudgetOptionsOf(const platform_settings &settings)
{
    return {.length = settings.retryWindow,
            .retriesPerRequest = settings.retriesPerRequest * usableRetryFraction,
            .extraRetries = extraRetriesPerInstance(settings, minRetrySharers)};
}

} // namespace

routing_state::routing_state(const platform_settings &settings)
    : balancer({.zone = settings.zone,
                .randomSeed = hash64(settings.name),
                .weightsDeadline = settings.weightsDeadline,
                .avoidsFullServers = settings.hasContract(contracts::admissionControl),
                .limitsColdServers = settings.hasContract(contracts::zoneEvacuation),
                .cold = {.overage = settings.coldOverage,
                         .slack = settings.coldSlack,
                         .maxStatementAge = settings.maxSkew,
                         .randomSeed = static_cast<std::uint32_t>(hash64(settings.name))}}),
      limits({.window = settings.limitWindow,
              .randomSeed = static_cast<std::uint32_t>(hash64(settings.name))},
             boot_clock::now()),
      members({.self = settings.name, .zone = settings.zone}),
      configurationContact(
          {.maxSilence = settings.contactTime, .applyTime = settings.configurationDeadline}),
      releases({.canaryShare = settings.maxBadReleaseShare / 2}),
      retryBudgetOptions(retryBudgetOptionsOf(settings))
{ }

void routing_state::divideExtraRetries(const platform_settings &settings, std::size_t instances)
{
    retryBudgetOptions.extraRetries = extraRetriesPerInstance(settings, instances);
    for (auto it = retryBudgets.begin(); it != retryBudgets.end(); ++it)
        it->second.setExtraRetries(retryBudgetOptions.extraRetries);
}

edge_state::edge_state(const platform_settings &settings)
    : m_settings(settings), m_incarnation(wallMilliseconds()), m_routing(settings),
      m_serveTimeAfterStop(fromSeconds(toSeconds(settings.stopGrace) * serveShareOfGrace)),
      m_areEvacuationsKnown(!settings.hasContract(contracts::zoneEvacuation)),
      m_readBudget({.totalBytes = settings.memoryBytes / readShareOfMemory})
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

bool edge_state::isReady() const
{
    return !m_isLeaving && tables() != nullptr && areEvacuationsKnown();
}

} // namespace trefoil
