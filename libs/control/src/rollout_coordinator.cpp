#include <control/rollout_coordinator.h>

#include <algorithm>
#include <utility>

#include <core/digest.h>

namespace trefoil {

namespace {

/// Minimum time that a new controller has until its deadline, even if the configured deadline is
/// nearer or has passed.
constexpr duration minTimeToDeadline = std::chrono::seconds(10);

} // namespace

std::string rolloutLeaseKey(const std::string &pool)
{
    return "rollouts/" + std::to_string(hash64(pool) % rolloutLeaseCount);
}

std::vector<std::string> rolloutLeaseKeys()
{
    std::vector<std::string> keys;
    for (int i = 0; i < rolloutLeaseCount; ++i)
        keys.push_back("rollouts/" + std::to_string(i));
    return keys;
}

void rollout_coordinator::setConfiguration(
    std::shared_ptr<const configuration_snapshot> configuration)
{
    m_configuration = std::move(configuration);
    std::erase_if(m_controllers, [&](const auto &each) {
        const pool *poolConfig = m_configuration->pools.findPool(each.first);
        return !poolConfig || !poolConfig->rollout
            || poolConfig->rollout->from != each.second.controller.record().from
            || poolConfig->rollout->to != each.second.controller.record().to;
    });
}

bool rollout_coordinator::onRecord(const std::string &pool, std::uint64_t version,
                                   const rollout_record &record)
{
    const auto found = m_records.find(pool);
    if (found != m_records.end() && version <= found->second.first)
        return false;
    m_records[pool] = {version, record};
    return true;
}

void rollout_coordinator::onWritten(const std::string &pool, write_outcome outcome,
                                    std::uint64_t version)
{
    const auto found = m_controllers.find(pool);
    if (found == m_controllers.end())
        return;
    found->second.writeInFlight = false;
    if (outcome == write_outcome::Done)
        m_records[pool] = {version, found->second.controller.record()};
    // After a conflict another instance wrote the record, and after an unknown outcome this write
    // may have succeeded: a new controller starts from the stored record.
    else if (outcome != write_outcome::Refused)
        m_controllers.erase(found);
}

void rollout_coordinator::onServerState(const std::string &server, const std::string &version,
                                        bool reachable)
{
    m_servers[server] = {.name = server, .version = version, .reachable = reachable};
}

void rollout_coordinator::onOrderFailed(const std::string &pool, const std::string &server)
{
    const auto found = m_controllers.find(pool);
    if (found != m_controllers.end())
        found->second.controller.onOrderFailed(server);
}

std::vector<rollout_server> rollout_coordinator::serversFor(const pool &poolConfig) const
{
    std::vector<rollout_server> servers;
    for (const backend_server &each : poolConfig.servers) {
        if (each.leaving)
            continue;
        const auto reported = m_servers.find(each.name);
        // A server counts as unreachable until its first report.
        if (reported != m_servers.end())
            servers.push_back(reported->second);
        else
            servers.push_back({.name = each.name, .version = each.version, .reachable = false});
    }
    return servers;
}

void rollout_coordinator::tick(timestamp now, std::int64_t wallSeconds,
                               request_coordinator &requests)
{
    if (!m_configuration || !m_loaded)
        return;
    for (const pool &poolConfig : m_configuration->pools.pools) {
        if (!poolConfig.rollout)
            continue;
        if (m_leases.holds(now, rolloutLeaseKey(poolConfig.name)))
            stepController(now, wallSeconds, poolConfig, requests);
        else
            m_controllers.erase(poolConfig.name);
    }
}

void rollout_coordinator::stepController(timestamp now, std::int64_t wallSeconds,
                                         const pool &poolConfig, request_coordinator &requests)
{
    const std::string key = rolloutLeaseKey(poolConfig.name);
    const std::uint64_t epoch = m_leases.record(key).value_or(lease_record {}).epoch;
    const auto known = m_records.find(poolConfig.name);
    std::optional<rollout_record> record;
    if (known != m_records.end())
        record = known->second.second;
    auto found = m_controllers.find(poolConfig.name);
    if (found == m_controllers.end()) {
        const std::int64_t remaining = poolConfig.rollout->deadline - wallSeconds;
        const timestamp deadline =
            now + std::max<duration>(std::chrono::seconds(remaining), minTimeToDeadline);
        rollout_controller controller({.from = poolConfig.rollout->from,
                                       .to = poolConfig.rollout->to,
                                       .start = now,
                                       .deadline = deadline},
                                      record);
        found =
            m_controllers
                .emplace(poolConfig.name, controller_state {.controller = std::move(controller)})
                .first;
    }
    controller_state &state = found->second;
    state.controller.setServers(serversFor(poolConfig));
    const std::vector<load_order> orders =
        state.controller.tick(now, epoch, requests.evidenceFor(poolConfig.name));
    for (const load_order &order : orders) {
        const auto server =
            std::find_if(poolConfig.servers.begin(), poolConfig.servers.end(),
                         [&](const backend_server &s) { return s.name == order.server; });
        m_orders.push_back({.pool = poolConfig.name,
                            .order = order,
                            .address = server->address,
                            .credential = poolConfig.credential,
                            .leaseKey = key});
    }
    // The traffic share takes effect only once the record is stored: the conditional write fails
    // for a controller that lost its lease.
    const bool changed = !record || *record != state.controller.record();
    if (changed && !state.writeInFlight) {
        state.writeInFlight = true;
        m_writes.push_back({.pool = poolConfig.name,
                            .record = state.controller.record(),
                            .expected = known == m_records.end() ? 0 : known->second.first});
    }
}

std::vector<rollout_write> rollout_coordinator::takeWrites() { return std::exchange(m_writes, {}); }

std::vector<server_order> rollout_coordinator::takeOrders() { return std::exchange(m_orders, {}); }

} // namespace trefoil
