#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <rollout/outcome_statistics.h>

namespace trefoil {

/// Stage of a rollout.
enum class rollout_stage { Moving, Done, RolledBack };

/// State of a pool's rollout, as stored in the platform.
struct rollout_record
{
    std::string from;
    std::string to;
    rollout_stage stage = rollout_stage::Moving;
    /// Share of the traffic that is sent to the new version.
    double share = 0;
    /// Reason of the rollback.
    std::string reason;

    bool operator==(const rollout_record &) const = default;
};

/// Returns the JSON text that is stored in the platform. Thread-safe.
std::string toText(const rollout_record &record);

/// Parses the output of toText(). Returns nothing if the text is malformed. Thread-safe.
std::optional<rollout_record> rolloutRecordFromText(std::string_view text);

/// Returns the name of a stage as printed by the status command. Thread-safe.
std::string_view toString(rollout_stage stage);

/// Backend server of the pool, as last reported.
struct rollout_server
{
    std::string name;
    /// Version that the server runs; empty while it loads one.
    std::string version;
    /// Whether its last poll was answered.
    bool reachable = true;
};

/// Order to a backend server to load a version. A server that checks the epoch refuses orders with
/// a lower one than it has seen.
struct load_order
{
    std::string server;
    std::string version;
    std::uint64_t epoch = 0;
};

/// Options of a rollout_controller.
struct rollout_options
{
    std::string from;
    std::string to;
    /// Start of the rollout, and the time by which it must be complete.
    timestamp start;
    timestamp deadline;
    /// Traffic share of the first step. Limits the traffic to a version that is bad from the start.
    double initialShare = 0.01;
    /// Requests to the new version that are required before the next step.
    std::uint64_t requestsPerStep = 60;
    /// Maximum number of backend servers that load weights at a time. More than three slow each
    /// other down.
    int maxConcurrentLoads = 3;
    /// Time after which an unconfirmed load may be ordered again.
    duration loadTimeout = std::chrono::seconds(15);
};

/// Controls the rollout of one pool. A state machine without I/O, run only on the instance that
/// holds the lease of the pool. Not thread-safe.
///
///     rollout_controller controller(options, record);
///     controller.setServers(servers);
///     for (const load_order &order : controller.tick(now, epoch, outcomes))
///         send(order);
///     if (controller.record() != written) write(controller.record());
class rollout_controller
{
public:
    /// Continues from @p record, which a previous controller wrote, if it names the same versions.
    /// Precondition: options.from and options.to differ.
    rollout_controller(rollout_options options, std::optional<rollout_record> record);

    /// Sets the backend servers of the pool and the version that each of them runs.
    void setServers(std::vector<rollout_server> servers);
    /// Rolls back a bad version, else updates the traffic share, and returns the orders that are
    /// due. @p epoch is the epoch of the rollout lease; the orders carry it.
    std::vector<load_order> tick(timestamp now, std::uint64_t epoch,
                                 const outcome_statistics &outcomes);
    /// Handles an order that was refused or got no answer.
    void onOrderFailed(std::string_view server);
    /// Returns the state to be stored in the platform.
    const rollout_record &record() const { return m_record; }

private:
    double scheduledShare(timestamp now) const;
    void updateShare(timestamp now, const outcome_statistics &outcomes);
    std::vector<load_order> dueOrders(timestamp now, std::uint64_t epoch);
    std::size_t targetServersOnNewVersion() const;

    rollout_options m_options;
    rollout_record m_record;
    std::vector<rollout_server> m_servers;
    /// Time of the last load order to each server that has not finished loading.
    std::map<std::string, timestamp, std::less<>> m_loading;
    /// Requests to the new version up to the last change of the traffic share.
    std::uint64_t m_requestsAtStep = 0;
    std::optional<timestamp> m_fullShareSince;
};

/// Returns whether a request goes to the new version at traffic share @p share. @p digest holds 64
/// bits of the digest of its body. The result is the same on every instance, so that repeated
/// prompts stay on one version. Thread-safe.
bool takesNewVersion(std::uint64_t digest, double share);

} // namespace trefoil
