#include <control/rollout_desk.h>

#include <algorithm>
#include <utility>

#include <core/digest.h>

namespace trefoil {

namespace {

/// A move that a driver finds past its start is taken to have begun this long before.
constexpr duration leastMove = std::chrono::seconds(10);

} // namespace

std::string rolloutKey(const std::string &pool)
{
    return "rollouts/" + std::to_string(hash64(pool) % rolloutShards);
}

std::vector<std::string> rolloutKeys()
{
    std::vector<std::string> keys;
    for (int i = 0; i < rolloutShards; ++i)
        keys.push_back("rollouts/" + std::to_string(i));
    return keys;
}

void rollout_desk::setConfiguration(std::shared_ptr<const configuration_view> view)
{
    m_view = std::move(view);
    std::erase_if(m_drivers, [&](const auto &each) {
        const pool *table = m_view->pools.findPool(each.first);
        return !table || !table->rollout || table->rollout->from != each.second.driver.record().from
            || table->rollout->to != each.second.driver.record().to;
    });
}

bool rollout_desk::onRecord(const std::string &pool, std::uint64_t version,
                            const rollout_record &record)
{
    const auto found = m_records.find(pool);
    if (found != m_records.end() && version <= found->second.first)
        return false;
    m_records[pool] = {version, record};
    return true;
}

void rollout_desk::onWritten(const std::string &pool, write_outcome outcome, std::uint64_t version)
{
    const auto found = m_drivers.find(pool);
    if (found == m_drivers.end())
        return;
    found->second.writing = false;
    if (outcome == write_outcome::Done)
        m_records[pool] = {version, found->second.driver.record()};
    else if (outcome != write_outcome::Refused)
        m_drivers.erase(found); // somebody else wrote, or perhaps we did: start from the record
}

void rollout_desk::noteServer(const std::string &server, const std::string &version, bool reachable)
{
    m_servers[server] = {.name = server, .version = version, .reachable = reachable};
}

void rollout_desk::onOrderFailed(const std::string &pool, const std::string &server)
{
    const auto found = m_drivers.find(pool);
    if (found != m_drivers.end())
        found->second.driver.onOrderFailed(server);
}

std::vector<rollout_worker> rollout_desk::workersOf(const pool &table) const
{
    std::vector<rollout_worker> workers;
    for (const backend_server &each : table.servers) {
        if (each.leaving)
            continue;
        const auto seen = m_servers.find(each.name);
        // A worker never heard of is left alone until it reports.
        if (seen != m_servers.end())
            workers.push_back(seen->second);
        else
            workers.push_back({.name = each.name, .version = each.version, .reachable = false});
    }
    return workers;
}

void rollout_desk::tick(timestamp now, std::int64_t wallSeconds, traffic_desk &traffic)
{
    if (!m_view || !m_loaded)
        return;
    for (const pool &table : m_view->pools.pools) {
        if (!table.rollout)
            continue;
        if (m_rights.holds(now, rolloutKey(table.name)))
            drive(now, wallSeconds, table, traffic);
        else
            m_drivers.erase(table.name);
    }
}

void rollout_desk::drive(timestamp now, std::int64_t wallSeconds, const pool &table,
                         traffic_desk &traffic)
{
    const std::string key = rolloutKey(table.name);
    const std::uint64_t epoch = m_rights.record(key).value_or(lease_record {}).epoch;
    const auto known = m_records.find(table.name);
    std::optional<rollout_record> record;
    if (known != m_records.end())
        record = known->second.second;
    auto found = m_drivers.find(table.name);
    if (found == m_drivers.end()) {
        const std::int64_t left = table.rollout->deadline - wallSeconds;
        const timestamp deadline = now + std::max<duration>(std::chrono::seconds(left), leastMove);
        rollout_driver driver({.from = table.rollout->from,
                               .to = table.rollout->to,
                               .start = now,
                               .deadline = deadline},
                              record);
        found = m_drivers.emplace(table.name, driven {.driver = std::move(driver)}).first;
    }
    driven &item = found->second;
    item.driver.setWorkers(workersOf(table));
    const std::vector<load_order> orders =
        item.driver.tick(now, epoch, traffic.evidenceOf(table.name));
    for (const load_order &order : orders) {
        const auto server =
            std::find_if(table.servers.begin(), table.servers.end(),
                         [&](const backend_server &s) { return s.name == order.worker; });
        m_orders.push_back({.pool = table.name,
                            .order = order,
                            .address = server->address,
                            .credential = table.credential,
                            .right = key});
    }
    // The share counts only once the platform holds it: a driver that lost its right can't move it.
    const bool changed = !record || *record != item.driver.record();
    if (changed && !item.writing) {
        item.writing = true;
        m_writes.push_back({.pool = table.name,
                            .record = item.driver.record(),
                            .expected = known == m_records.end() ? 0 : known->second.first});
    }
}

std::vector<rollout_write> rollout_desk::takeWrites() { return std::exchange(m_writes, {}); }

std::vector<server_order> rollout_desk::takeOrders() { return std::exchange(m_orders, {}); }

} // namespace trefoil
