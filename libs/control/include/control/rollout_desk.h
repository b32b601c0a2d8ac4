#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <control/configuration_store.h>
#include <control/traffic_desk.h>
#include <core/clock.h>
#include <lease/lease_manager.h>
#include <rollout/rollout_controller.h>

namespace trefoil {

/// A rollout record to be written to the platform.
struct rollout_write
{
    std::string pool;
    rollout_record record;
    std::uint64_t expected = 0;
};

/// An order to a backend server.
struct server_order
{
    std::string pool;
    load_order order;
    endpoint address;
    std::string credential;
    /// Right under which it is given; checked again directly before it is sent.
    std::string right;
};

/// Number of rights that pools' rollouts hash into.
constexpr int rolloutShards = 4;

/// Returns the key of the right on @p pool's rollout. Thread-safe.
std::string rolloutKey(const std::string &pool);

/// Returns the keys of all rollout rights. Thread-safe.
std::vector<std::string> rolloutKeys();

/// Runs the drivers of the rollouts whose rights this instance holds: a pure state machine. Not
/// thread-safe.
class rollout_desk
{
public:
    /// Precondition: @p rights outlives this object.
    explicit rollout_desk(const lease_view &rights) : m_rights(rights) { }

    /// Takes the configuration in force.
    void setConfiguration(std::shared_ptr<const configuration_view> view);
    /// Takes a pool's record at object version @p version, from the platform or a peer. Older ones
    /// are ignored. Returns whether it was new.
    bool onRecord(const std::string &pool, std::uint64_t version, const rollout_record &record);
    /// Notes that the platform has no record of any pool that onRecord() did not name.
    void onRecordsLoaded() { m_loaded = true; }
    /// Takes the outcome of a write.
    void onWritten(const std::string &pool, write_outcome outcome, std::uint64_t version);
    /// Notes the version that a server runs.
    void noteServer(const std::string &server, const std::string &version, bool reachable);
    /// Notes that an order failed.
    void onOrderFailed(const std::string &pool, const std::string &server);

    /// Steps the drivers. @p wallSeconds is the wall clock, which deadlines are given in.
    void tick(timestamp now, std::int64_t wallSeconds, traffic_desk &traffic);
    /// Returns the writes due since the last call.
    std::vector<rollout_write> takeWrites();
    /// Returns the orders due since the last call.
    std::vector<server_order> takeOrders();
    /// Returns the known record of each pool.
    const std::map<std::string, std::pair<std::uint64_t, rollout_record>> &records() const
    {
        return m_records;
    }

private:
    struct driven
    {
        rollout_controller driver;
        bool writing = false;
    };

    void drive(timestamp now, std::int64_t wallSeconds, const pool &table, traffic_desk &traffic);
    std::vector<rollout_worker> workersOf(const pool &table) const;

    const lease_view &m_rights;
    std::shared_ptr<const configuration_view> m_view;
    bool m_loaded = false;
    std::map<std::string, std::pair<std::uint64_t, rollout_record>> m_records;
    std::map<std::string, driven> m_drivers;
    std::map<std::string, rollout_worker, std::less<>> m_servers;
    std::vector<rollout_write> m_writes;
    std::vector<server_order> m_orders;
};

} // namespace trefoil
