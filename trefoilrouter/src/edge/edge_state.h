#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <adapter/platform_settings.h>
#include <core/clock.h>
#include <delivery/retry_window.h>
#include <dispatch/load_board.h>
#include <dispatch/member_table.h>
#include <dispatch/peer_report.h>
#include <dispatch/release_shares.h>
#include <dispatch/serving_tables.h>
#include <dispatch/team_limits.h>
#include <platform/outage_clock.h>
#include <routing/crash_ledger.h>
#include <telemetry/metrics.h>

namespace trefoil {

/// What the instance believes and decides with: pure state machines, driven by all threads one at a
/// time.
struct edge_beliefs
{
    explicit edge_beliefs(const platform_settings &settings);

    load_board board;
    team_limits limits;
    member_table members;
    release_shares releases;
    crash_ledger crashes;
    /// Crashes seen here, told to the others until they are old.
    std::vector<std::pair<timestamp, crash_note>> ownCrashes;
    /// Retries by service.
    std::map<std::string, retry_window, std::less<>> budgets;
    retry_window_options budgetOptions;
    /// Shares the extra retries between @p instances.
    void shareRetries(const platform_settings &settings, std::size_t instances);
    /// Servers that another holder of the duty loads, with the time of its last report of it.
    std::map<std::string, timestamp, std::less<>> orderedElsewhere;
    /// Mean time for which this instance's threads wait for its processor.
    duration ownDelay {};
    /// When the platform's store was heard here, and by any instance.
    timestamp ownStoreHeardAt;
    outage_clock storeOutage;
    /// Outcomes on releases that are moved to, told to the others.
    std::map<std::string, release_outcomes, std::less<>> ownOutcomes;
};

/// State of one instance on the platform that its threads share. All methods are thread-safe.
class edge_state
{
public:
    explicit edge_state(const platform_settings &settings);

    /// Returns the settings that the process started with.
    const platform_settings &settings() const { return m_settings; }
    /// Returns the start of the process in milliseconds since 1970.
    std::uint64_t incarnation() const { return m_incarnation; }

    /// Returns the configuration in force, or nullptr before the first.
    std::shared_ptr<const serving_tables> tables() const;
    /// Puts @p tables in force unless an equal or newer version is. Returns whether it did.
    bool publish(std::shared_ptr<const serving_tables> tables);
    /// Returns how long ago the configuration in force was published.
    duration tablesAge(timestamp now) const;

    /// Calls @p use with the beliefs, alone. Don't block in it.
    template <typename Use>
    auto with(Use &&use)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return use(m_beliefs);
    }

    /// Returns whether the instance stops and takes no new callers.
    bool isLeaving() const { return m_isLeaving; }
    /// Starts leaving.
    void leave()
    {
        m_leftAt = boot_clock::now();
        m_isLeaving = true;
    }
    /// Returns whether so much of the time to stop is over that a new request might be cut.
    bool isTooLateToServe() const
    {
        return m_isLeaving && boot_clock::now() - m_leftAt.load() > lateLeaveTime;
    }
    /// Returns whether idle connections are to be closed.
    bool isClosing() const { return m_isClosing; }
    /// Closes idle connections: all callers have had time to go elsewhere.
    void close() { m_isClosing = true; }
    /// Notes that the store answered this instance.
    void noteStoreHeard(timestamp now)
    {
        with([now](edge_beliefs &beliefs) {
            beliefs.ownStoreHeardAt = now;
            beliefs.storeOutage.recordContact(now);
        });
    }
    /// Returns whether the store answered lately.
    bool isStoreReachable() const { return m_isStoreReachable; }
    /// Notes whether the store answers.
    void setStoreReachable(bool reachable) { m_isStoreReachable = reachable; }
    /// Returns whether callers can be served.
    bool isReady() const;

    /// Notes that a caller's request was read.
    void noteRequest() { m_lastRequestAt = boot_clock::now(); }
    /// Returns when the last one was.
    timestamp lastRequestAt() const { return m_lastRequestAt; }
    /// Counts requests that are being served.
    std::atomic<int> &openRequests() { return m_openRequests; }
    /// Returns the metrics of the process.
    metric_registry &metrics() { return m_metrics; }

private:
    platform_settings m_settings;
    std::uint64_t m_incarnation;
    mutable std::mutex m_tablesMutex;
    std::shared_ptr<const serving_tables> m_tables;
    timestamp m_publishedAt;
    std::mutex m_mutex;
    edge_beliefs m_beliefs;
    /// Callers that come later after the stop signal are sent elsewhere at once: a request may last
    /// longer than what is left of the usual eight seconds.
    static constexpr duration lateLeaveTime = std::chrono::milliseconds(2800);

    std::atomic<timestamp> m_leftAt {timestamp {}};
    std::atomic<timestamp> m_lastRequestAt {timestamp {}};
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isClosing = false;
    std::atomic<bool> m_isStoreReachable = false;
    std::atomic<int> m_openRequests = 0;
    metric_registry m_metrics;
};

} // namespace trefoil
