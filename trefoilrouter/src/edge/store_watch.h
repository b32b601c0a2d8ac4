#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <adapter/store_client.h>
#include <core/supervisor.h>
#include <platform/object_mirror.h>

#include "edge/edge_state.h"

namespace trefoil {

/// Copies of the store's objects that the instance follows: one thread a kind watches the store; a
/// copy that falls behind is brought up to date from another instance. What changes is decoded and
/// becomes belief. Thread-safe.
class store_watch
{
public:
    /// Precondition: @p state and @p store outlive this object.
    store_watch(edge_state &state, store_client &store);

    /// Returns the children that watch, one a kind.
    std::vector<child_spec> children();
    /// Returns the newest change seen by kind, of the copies that are followed.
    std::map<std::string, std::uint64_t, std::less<>> newestChanges();
    /// Notes what another instance has seen; a copy that stays behind for long is fetched from it.
    void notePeer(timestamp now, const endpoint &peer,
                  const std::map<std::string, std::uint64_t, std::less<>> &newest);
    /// Fetches the copies that are overdue, from other instances. May block.
    void fetchOverdue(timestamp now);
    /// Drops objects whose time to come back after an outage is over.
    void dropLapsed(timestamp now);
    /// Returns whether the list of instances is known and lacks @p name.
    bool lacksInstance(const std::string &name);
    /// Returns the copy of @p kind for another instance, as JSON.
    std::string copyOf(const std::string &kind);

private:
    struct watched_kind
    {
        object_mirror mirror;
        duration patience;
        /// Instances, in the order of their names, that read the newest state.
        int freshWatchers = 0;
        /// How long after an outage objects may come back; zero where they don't lapse.
        duration returnTime {};
        bool isReachable = true;
        /// Calls that failed since the last one that did not.
        int failures = 0;
        /// Since when another instance is known to be ahead, and which.
        std::optional<timestamp> behindSince;
        endpoint ahead;
    };

    /// The instance's place in the fleet.
    struct fleet_view
    {
        int rank = 0;
        int others = 0;
    };

    fleet_view viewFleet();
    duration nextRetryPause(const std::string &kind);
    result<void> watch(const std::string &kind, const std::stop_token &stop);
    void follow(const std::string &kind, bool &needsSnapshot);
    void noteReachable(const std::string &kind, bool reachable, const std::string &reason);
    void takeFetched(const std::string &kind, const std::string &text);
    void apply(const std::string &kind);
    void applyConfiguration(const std::map<std::string, object, std::less<>> &objects);
    void applyServers(const std::map<std::string, object, std::less<>> &objects);
    void applyWeights(const std::map<std::string, object, std::less<>> &objects);
    void applyRollouts(const std::map<std::string, object, std::less<>> &objects);
    void applyInstances(const std::map<std::string, object, std::less<>> &objects);

    edge_state &m_state;
    store_client &m_store;
    std::mutex m_mutex;
    std::map<std::string, watched_kind, std::less<>> m_kinds;
    /// Serialises the appliers, so that an older copy can't overwrite a newer one.
    std::mutex m_applyMutex;
    std::map<std::string, std::string, std::less<>> m_knownServers;
    bool m_hasWeights = false;
};

} // namespace trefoil
