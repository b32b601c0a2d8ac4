#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include <adapter/store_client.h>
#include <core/supervisor.h>
#include <dispatch/store_reader_role.h>
#include <platform/object_mirror.h>

#include "edge/edge_state.h"
#include "edge/object_applier.h"

namespace trefoil {

/// Keeps local copies of the store's objects. In a small fleet each instance watches the store with
/// one thread per kind. In a large fleet a few instances of each zone do, see store_reader_role;
/// the others learn from reports that they are behind and fetch the changes from an instance that
/// has them. Changes are decoded and applied to the instance's state. Thread-safe.
class store_watch
{
public:
    /// Precondition: @p state and @p store outlive this object.
    store_watch(edge_state &state, store_client &store);

    /// Returns the child that keeps the copies up to date.
    child_spec child();
    /// Calls @p onChange after each change that this instance read from the store. Precondition:
    /// the child isn't running yet.
    void setOnChange(std::function<void()> onChange) { m_onChange = std::move(onChange); }
    /// Returns the revision of the newest change in each copy, by kind.
    std::map<std::string, std::uint64_t, std::less<>> newestChanges();
    /// Records the newest changes that another instance has seen. A copy that stays behind them is
    /// fetched from it, or from an instance of the same zone if one reports them too.
    void recordPeerChanges(timestamp now, const endpoint &peer, bool isInOwnZone,
                           const std::map<std::string, std::uint64_t, std::less<>> &newest);
    /// Drops objects that expired during an outage and were not written again in time.
    void removeExpired(timestamp now);
    /// Returns whether the instance list is known and has no entry @p name.
    bool lacksInstance(const std::string &name);
    /// Returns the changes of @p kind since version @p since for another instance, as JSON.
    std::string encodeCopy(const std::string &kind, std::uint64_t since);

private:
    struct watched_kind
    {
        object_mirror mirror;
        duration waitTime;
        /// How long after an outage expired objects may be written again; zero for kinds whose
        /// objects do not expire.
        duration reregistrationTime {};
        bool isReachable = true;
        /// Whether a thread watches the store for this kind.
        bool isWatched = false;
        /// Whether the store has discarded the changes since the copy.
        bool needsSnapshot = false;
        /// Calls that failed in a row.
        int failures = 0;
        /// Since when another instance is known to have newer changes.
        std::optional<timestamp> behindSince;
        /// Address of that instance.
        endpoint newerPeer;
    };

    duration nextRetryPause(const std::string &kind);
    result<void> run(const std::stop_token &stop);
    bool decideRole(timestamp now, timestamp startedAt);
    bool readInstances();
    void startWatch(const std::string &kind, std::map<std::string, std::jthread> &watches);
    void watch(const std::string &kind, const std::stop_token &stop);
    void watchOnce(const std::string &kind, bool &needsSnapshot);
    void recordReachability(const std::string &kind, bool reachable, const std::string &reason);
    /// Asks other instances for the copies that this one doesn't have yet. Returns whether any is
    /// still missing.
    bool fetchFirstCopies(timestamp now);
    void fetchStaleCopies(timestamp now);
    bool fetchCopy(const std::string &kind, const endpoint &peer);
    /// Returns when the next copy is to be fetched, at most @p latest. Precondition: m_mutex is
    /// held.
    timestamp nextFetch(timestamp latest) const;
    /// Returns for how long a copy may be behind before it is fetched.
    duration timeBehind() const;
    void apply(const std::string &kind);

    edge_state &m_state;
    store_client &m_store;
    object_applier m_applier;
    std::function<void()> m_onChange;
    store_reader_role m_role;
    std::atomic<bool> m_isReader = false;
    duration m_fetchDelay;
    std::mutex m_mutex;
    /// Signalled when a copy is found to be behind.
    std::condition_variable_any m_behind;
    bool m_isNewlyBehind = false;
    std::map<std::string, watched_kind, std::less<>> m_kinds;
};

} // namespace trefoil
