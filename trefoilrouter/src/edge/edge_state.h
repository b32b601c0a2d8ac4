#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <adapter/platform_settings.h>
#include <admission/admission_control.h>
#include <admission/usual_deadlines.h>
#include <core/clock.h>
#include <delivery/windowed_retry_budget.h>
#include <dispatch/configuration_contact.h>
#include <dispatch/load_balancer.h>
#include <dispatch/member_table.h>
#include <dispatch/peer_report.h>
#include <dispatch/release_shares.h>
#include <dispatch/serving_tables.h>
#include <dispatch/team_limits.h>
#include <http/byte_budget.h>
#include <http/stream_progress.h>
#include <platform/outage_detector.h>
#include <routing/crash_attribution.h>
#include <routing/crash_tracker.h>
#include <telemetry/metrics.h>

namespace trefoil {

/// State that routing decisions read and update. It does no I/O; edge_state::with() serialises
/// access from all threads.
struct routing_state
{
    explicit routing_state(const platform_settings &settings);

    load_balancer balancer;
    team_limits limits;
    member_table members;
    /// Whether the active configuration may be taken for the one in force.
    configuration_contact configurationContact;
    release_shares releases;
    crash_tracker crashes;
    /// Finds prompt parts that crash servers.
    crash_attribution partCrashes;
    /// Newest crashes seen by this instance, for its reports.
    std::deque<std::pair<timestamp, crash_record>> localCrashes;
    /// Retry budgets by service.
    std::map<std::string, windowed_retry_budget, std::less<>> retryBudgets;
    windowed_retry_budget_options retryBudgetOptions;
    /// How the event ids of streams follow each other, by service.
    std::map<std::string, event_id_steps, std::less<>> eventIdSteps;
    /// Divides the extra retries of the fleet among @p instances.
    void divideExtraRetries(const platform_settings &settings, std::size_t instances);
    /// Servers that load weights on another leader's orders, by id, with the time when that leader
    /// last reported the load.
    std::map<std::string, timestamp, std::less<>> loadsByOtherLeaders;
    /// Mean time for which this instance's threads wait for the processor, or the time for which
    /// callers' connections have been waiting for a thread if that is longer.
    duration schedulingDelay {};
    /// When the platform's store last answered this instance.
    timestamp storeAnsweredAt;
    /// Store outages, from the answers that any instance got.
    outage_detector storeOutage;
    /// Request outcomes per release under rollout, counted here and reported to the other
    /// instances.
    std::map<std::string, release_outcomes, std::less<>> localOutcomes;
    /// Admission of requests under contract `pressure`, by service.
    std::map<std::string, admission_control, std::less<>> admissions;
    usual_deadlines usualDeadlines;
    /// Requests that wait at this instance for a server.
    int waitingRequests = 0;
};

/// State of one instance that all of its threads share. All methods are thread-safe.
class edge_state
{
public:
    explicit edge_state(const platform_settings &settings);

    /// Returns the settings that the process started with.
    const platform_settings &settings() const { return m_settings; }
    /// Returns the start of the process in milliseconds since 1970.
    std::uint64_t incarnation() const { return m_incarnation; }
    /// Returns when the process started, by a clock that is never set.
    timestamp startedAt() const { return m_startedAt; }

    /// Returns the active configuration, or nullptr before the first one was published.
    std::shared_ptr<const serving_tables> tables() const;
    /// Activates @p tables unless an equal or newer version is active. Returns whether it did.
    bool publish(std::shared_ptr<const serving_tables> tables);
    /// Returns how long ago the active configuration was published.
    duration tablesAge(timestamp now) const;

    /// Calls @p use with the routing state under its lock and returns its result. @p use must not
    /// block.
    template <typename Use>
    auto with(Use &&use)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return use(m_routing);
    }

    /// Returns whether the instance is shutting down and directs new callers to other instances.
    bool isLeaving() const { return m_isLeaving; }
    /// Starts the shutdown.
    void startLeaving()
    {
        m_leavingSince = boot_clock::now();
        m_isLeaving = true;
    }
    /// Returns whether too little of the shutdown time is left to finish a new request.
    bool isTooLateToServe() const
    {
        return m_isLeaving && boot_clock::now() - m_leavingSince.load() > m_serveTimeAfterStop;
    }
    /// Returns whether idle connections must be closed.
    bool isClosing() const { return m_isClosing; }
    /// Closes idle connections: all callers have had time to switch to another instance.
    void closeIdleConnections() { m_isClosing = true; }
    /// Records that the store answered this instance.
    void recordStoreAnswer(timestamp now)
    {
        with([now](routing_state &routing) {
            routing.storeAnsweredAt = now;
            routing.storeOutage.recordContact(now);
        });
    }
    /// Returns whether the store answers.
    bool isStoreReachable() const { return m_isStoreReachable; }
    /// Records whether the store answers.
    void setStoreReachable(bool reachable) { m_isStoreReachable = reachable; }
    /// Returns whether it is known which zones are evacuated. Until then an instance that has just
    /// started could send requests to one.
    bool areEvacuationsKnown() const { return m_areEvacuationsKnown; }
    /// Records that the evacuated zones are known.
    void setEvacuationsKnown() { m_areEvacuationsKnown = true; }
    /// Returns whether the instance knows the configuration and the evacuated zones and is not
    /// shutting down.
    bool isReady() const;

    /// Records that a caller's request was read.
    void recordRequest() { m_lastRequestAt = boot_clock::now(); }
    /// Returns when the last caller's request was read.
    timestamp lastRequestAt() const { return m_lastRequestAt; }
    /// Records for how long callers' connections have been waiting for a thread, without a pause.
    void recordConnectionWait(duration wait) { m_connectionWait = wait; }
    /// Returns the time that was last passed to recordConnectionWait().
    duration connectionWait() const { return m_connectionWait; }
    /// Number of requests in progress.
    std::atomic<int> &openRequests() { return m_openRequests; }
    /// Returns the bound of what all readers of bytes from outside hold together.
    byte_budget &readBudget() { return m_readBudget; }
    /// Returns the metrics of the process.
    metric_registry &metrics() { return m_metrics; }

private:
    platform_settings m_settings;
    std::uint64_t m_incarnation;
    timestamp m_startedAt = boot_clock::now();
    mutable std::mutex m_tablesMutex;
    std::shared_ptr<const serving_tables> m_tables;
    timestamp m_publishedAt;
    std::mutex m_mutex;
    routing_state m_routing;
    /// Requests that arrive later than this after the stop signal are refused: they may take longer
    /// than what is left of the grace period.
    duration m_serveTimeAfterStop;
    std::atomic<timestamp> m_leavingSince {timestamp {}};
    std::atomic<timestamp> m_lastRequestAt {timestamp {}};
    std::atomic<duration> m_connectionWait {duration::zero()};
    std::atomic<bool> m_isLeaving = false;
    std::atomic<bool> m_isClosing = false;
    std::atomic<bool> m_isStoreReachable = false;
    std::atomic<bool> m_areEvacuationsKnown;
    std::atomic<int> m_openRequests = 0;
    byte_budget m_readBudget;
    metric_registry m_metrics;
};

} // namespace trefoil
