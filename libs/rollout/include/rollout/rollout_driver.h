#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <rollout/evidence.h>

namespace trefoil {

/// Stage of a rollout.
enum class rollout_stage { Moving, Done, TakenBack };

/// State of a pool's rollout, as the platform's object says.
struct rollout_record
{
    std::string from;
    std::string to;
    rollout_stage stage = rollout_stage::Moving;
    /// Share of the traffic that goes to the new version.
    double share = 0;
    /// Why it was taken back.
    std::string reason;

    bool operator==(const rollout_record &) const = default;
};

/// Returns the text that the platform holds. Thread-safe.
std::string toText(const rollout_record &record);

/// Reads what toText() wrote; nothing where it is malformed. Thread-safe.
std::optional<rollout_record> rolloutRecordFromText(std::string_view text);

/// Name of a stage as status prints it. Thread-safe.
std::string_view toString(rollout_stage stage);

/// A worker of the pool as the driver needs it.
struct rollout_worker
{
    std::string name;
    /// Version that it runs, as it reports; empty while it loads.
    std::string version;
    bool reachable = true;
};

/// Order to a worker to load a version. Orders with an older epoch are refused by the workers that
/// check it.
struct load_order
{
    std::string worker;
    std::string version;
    std::uint64_t epoch = 0;
};

/// Options of a driver.
struct rollout_options
{
    std::string from;
    std::string to;
    /// When the move started and when it must be done.
    timestamp start;
    timestamp deadline;
    /// Share of the first step: what a version that is bad at once may get.
    double firstShare = 0.01;
    /// Requests on the new version that a step needs before the next.
    std::uint64_t requestsPerStep = 60;
    /// Workers that load weights at a time: more than three slow each other down.
    int maxLoads = 3;
    /// A load not confirmed by then may be ordered again.
    duration loadTimeout = std::chrono::seconds(15);
};

/// Drives the move of one pool: a pure state machine. It is run only by the instance that holds the
/// right on the pool. Not thread-safe.
///
///     rollout_driver driver(options, record);
///     driver.setWorkers(workers);
///     for (const load_order &order : driver.tick(now, epoch, evidence))
///         send(order);
///     if (driver.record() != written) write(driver.record());
class rollout_driver
{
public:
    /// Goes on from @p record where a driver before it has left off.
    rollout_driver(rollout_options options, std::optional<rollout_record> record);

    /// Tells which version each worker runs.
    void setWorkers(std::vector<rollout_worker> workers);
    /// Steps the share, judges the evidence and returns the orders that are due.
    std::vector<load_order> tick(timestamp now, std::uint64_t epoch, const evidence &outcomes);
    /// Notes that an order was refused or got no answer.
    void onOrderFailed(std::string_view worker);
    /// Returns the state to be kept in the platform.
    const rollout_record &record() const { return m_record; }

private:
    double plannedShare(timestamp now) const;
    void step(timestamp now, const evidence &outcomes);
    std::vector<load_order> orders(timestamp now, std::uint64_t epoch);
    std::size_t wantedOnNew() const;

    rollout_options m_options;
    rollout_record m_record;
    std::vector<rollout_worker> m_workers;
    std::map<std::string, timestamp, std::less<>> m_loading;
    std::uint64_t m_requestsAtStep = 0;
    std::optional<timestamp> m_fullSince;
};

/// Returns whether the request with digest @p bits goes to the new version at @p share: the same
/// answer on every instance, so that a prompt's repeats stay on one version. Thread-safe.
bool takesNewVersion(std::uint64_t bits, double share);

} // namespace trefoil
