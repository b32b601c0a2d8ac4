#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <control/configuration_store.h>
#include <control/request_coordinator.h>
#include <core/clock.h>
#include <lease/lease_manager.h>
#include <rollout/rollout_controller.h>

namespace trefoil {

/// A conditional write of a pool's rollout record to the platform.
struct rollout_write
{
    std::string pool;
    rollout_record record;
    /// Version that the stored record must have; 0 if there is none yet.
    std::uint64_t expected = 0;
};

/// An order to a backend server to load another version.
struct server_order
{
    std::string pool;
    load_order order;
    endpoint address;
    std::string credential;
    /// Key of the lease that authorizes the order. The sender checks it again directly before
    /// sending.
    std::string leaseKey;
};

/// Number of leases over which the rollouts of all pools are hashed.
constexpr int rolloutLeaseCount = 4;

/// Returns the key of the lease for the rollout of @p pool. Thread-safe.
std::string rolloutLeaseKey(const std::string &pool);

/// Returns the keys of all rollout leases. Thread-safe.
std::vector<std::string> rolloutLeaseKeys();

/// Runs the rollout controllers of the pools whose rollout leases this instance holds. A pure state
/// machine. Not thread-safe.
class rollout_coordinator
{
public:
    /// Precondition: @p leases outlives this object.
    explicit rollout_coordinator(const lease_view &leases) : m_leases(leases) { }

    /// Sets the active configuration. Controllers whose rollout was removed or changed are
    /// discarded.
    void setConfiguration(std::shared_ptr<const configuration_snapshot> configuration);
    /// Takes the record of @p pool at object version @p version, from the platform or a peer.
    /// Returns whether it is newer than the known one; others are ignored.
    bool onRecord(const std::string &pool, std::uint64_t version, const rollout_record &record);
    /// Must be called once all stored records were passed to onRecord(). tick() does nothing
    /// before.
    void onRecordsLoaded() { m_loaded = true; }
    /// Handles the outcome of a rollout_write. @p version: new object version of the record.
    void onWritten(const std::string &pool, write_outcome outcome, std::uint64_t version);
    /// Records the version that @p server runs and whether its last poll was answered.
    void onServerState(const std::string &server, const std::string &version, bool reachable);
    /// Handles the failure of an order to @p server.
    void onOrderFailed(const std::string &pool, const std::string &server);

    /// Advances the controllers of the pools whose leases are held at @p now. @p wallSeconds is the
    /// wall-clock time in seconds since the epoch, in which deadlines are configured.
    void tick(timestamp now, std::int64_t wallSeconds, request_coordinator &requests);
    /// Returns the writes due since the last call.
    std::vector<rollout_write> takeWrites();
    /// Returns the orders due since the last call.
    std::vector<server_order> takeOrders();
    /// Returns the known object version and record of each pool.
    const std::map<std::string, std::pair<std::uint64_t, rollout_record>> &records() const
    {
        return m_records;
    }

private:
    struct controller_state
    {
        rollout_controller controller;
        bool writeInFlight = false;
    };

    void stepController(timestamp now, std::int64_t wallSeconds, const pool &poolConfig,
                        request_coordinator &requests);
    std::vector<rollout_server> serversFor(const pool &poolConfig) const;

    const lease_view &m_leases;
    std::shared_ptr<const configuration_snapshot> m_configuration;
    bool m_loaded = false;
    std::map<std::string, std::pair<std::uint64_t, rollout_record>> m_records;
    std::map<std::string, controller_state> m_controllers;
    std::map<std::string, rollout_server, std::less<>> m_servers;
    std::vector<rollout_write> m_writes;
    std::vector<server_order> m_orders;
};

} // namespace trefoil
