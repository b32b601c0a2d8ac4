#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <adapter/store_client.h>
#include <core/supervisor.h>
#include <http/response_wait.h>
#include <platform/catch_up.h>
#include <platform/object_mirror.h>
#include <platform/watch_pacer.h>

#include "edge/edge_state.h"

namespace trefoil {

/// Keeps local copies of the store's objects. One thread per kind watches the store. A copy that
/// falls behind another instance's is read anew, or fetched from that instance if the store doesn't
/// answer. Changes are decoded and applied to the instance's state. Thread-safe.
class store_watch
{
public:
    /// Precondition: @p state and @p store outlive this object.
    store_watch(edge_state &state, store_client &store);

    /// Returns the children that watch the store, one per kind.
    std::vector<child_spec> children();
    /// Returns the revision of the newest change in each copy, by kind.
    std::map<std::string, std::uint64_t, std::less<>> newestChanges();
    /// Returns the kinds for which this instance has lost the store: their last read failed.
    std::vector<std::string> lostKinds();
    /// Returns the number of outdated states in a restored store that are known, by kind.
    std::map<std::string, std::uint64_t, std::less<>> outdatedCounts();
    /// Another instance, from which copies can be fetched.
    struct copy_source
    {
        endpoint address;
        /// Capacity in cores, 0 if unknown.
        double capacity = 0;
    };

    /// Records the newest changes that another instance has seen, and its outdatedCounts(). A copy
    /// that stays behind them catches up.
    void recordPeerChanges(timestamp now, const copy_source &peer,
                           const std::map<std::string, std::uint64_t, std::less<>> &newest,
                           const std::map<std::string, std::uint64_t, std::less<>> &outdated);
    /// A copy to fetch from another instance.
    struct stale_copy
    {
        std::string kind;
        /// Address of the instance.
        endpoint peer;
        /// Since when the copy is known to be behind.
        timestamp since;
    };

    /// Gives up reads that wait at the store although this instance must read the newest state now
    /// or another one has something newer, and returns the copies to fetch instead. Each is
    /// returned again only after its fetchCopy().
    std::vector<stale_copy> catchUp(timestamp now);
    /// Fetches the copy that @p stale names. May block.
    void fetchCopy(const stale_copy &stale);
    /// Drops objects that expired during an outage and were not written again in time.
    void removeExpired(timestamp now);
    /// Returns whether the instance list is known and has no entry @p name.
    bool lacksInstance(const std::string &name);
    /// Returns the copy of @p kind for another instance, as JSON.
    std::string encodeCopy(const std::string &kind);

private:
    struct watched_kind
    {
        watch_pacer pacer;
        object_mirror mirror;
        /// Number of instances that read the newest state from the store, see
        /// member_table::readerRank().
        int freshReaders = 0;
        /// Whether this instance is one of them, as of its last read.
        bool isReader = false;
        /// How long after an outage expired objects may be written again; zero for kinds whose
        /// objects do not expire.
        duration reregistrationTime {};
        bool isReachable = true;
        /// When the store last answered a read of this kind.
        timestamp answeredAt;
        /// What to do while another instance has newer changes, and the largest such instance.
        catch_up catchUp;
        copy_source newerPeer;
        bool isFetching = false;
        /// The read in progress, or the last one.
        std::unique_ptr<response_wait> wait;
        timestamp readStartedAt;
        bool isReading = false;
        /// Newest change that any other instance knows, and since when this copy lacks it.
        std::uint64_t newestElsewhere = 0;
        std::optional<timestamp> lacksNewestSince;
        /// Largest number of outdated states for which another instance's copy was requested.
        std::uint64_t adoptedOutdated = 0;
    };

    /// A server's entry in the store, with what it was decoded to.
    struct decoded_server
    {
        std::string value;
        result<registered_server> server;
    };

    int readerRank(const std::string &kind);
    int otherInstances();
    result<void> watch(const std::string &kind, const std::stop_token &stop);
    /// A read of the store that has begun.
    struct begun_read
    {
        watch_read read;
        timestamp startedAt;
        /// Store version after which changes are read.
        std::uint64_t from = 0;
        /// Lives as long as the watched kind.
        response_wait *wait = nullptr;
    };

    /// Makes one read and returns the pause before the next one.
    duration readOnce(const std::string &kind);
    begun_read beginRead(const std::string &kind, int rank);
    /// Logs that this instance began or ceased to read the newest state of @p kind.
    void recordReader(const std::string &kind, bool isReader, int rank);
    /// Records that the read did not bring an answer. Returns the pause before the next one.
    duration endFailedRead(const std::string &kind, const begun_read &begun, const error &reason);
    /// Precondition: the store stated @p answer at @p statedAt or later.
    duration applyAnswer(const std::string &kind, timestamp statedAt, const watch_read &read,
                         const object_changes &answer, int otherInstances);
    /// Gives up reads of states that may be stale if this instance has become a reader of the
    /// newest one since they began.
    void takeOverReaders();
    /// Updates since when the configuration is older than that of another instance.
    void updateConfigurationContact(timestamp now);
    void recordReachability(const std::string &kind, bool reachable, const std::string &reason);
    /// Applies another instance's copy, as JSON. Returns whether anything changed, or nothing if it
    /// is malformed.
    std::optional<bool> applyFetchedCopy(const std::string &kind, const std::string &text);
    void apply(const std::string &kind);
    void applyConfiguration(const std::map<std::string, object, std::less<>> &objects);
    void applyServers(const std::map<std::string, object, std::less<>> &objects);
    /// Returns the decoded @p value of the server @p id.
    const result<registered_server> &decodeIfChanged(const std::string &id,
                                                     const std::string &value);
    void applyWeights(const std::map<std::string, object, std::less<>> &objects);
    void applyRollouts(const std::map<std::string, object, std::less<>> &objects);
    void applyEvacuations(const std::map<std::string, object, std::less<>> &objects);
    /// Logs evacuated zones that no server or instance is in.
    void logUnknownZones();
    void applyInstances(const std::map<std::string, object, std::less<>> &objects);

    edge_state &m_state;
    store_client &m_store;
    std::mutex m_mutex;
    std::map<std::string, watched_kind, std::less<>> m_kinds;
    /// Serialises updateConfigurationContact(): what was found last must also be set last.
    std::mutex m_contactMutex;
    /// Serialises apply(), so that an older copy can't overwrite a newer one.
    std::mutex m_applyMutex;
    std::map<std::string, std::string, std::less<>> m_serverConditions;
    /// Entries at the last change of the servers, by id. Most of them stay as they are.
    std::map<std::string, decoded_server, std::less<>> m_decodedServers;
    /// Servers that the load balancer has.
    std::vector<registered_server> m_appliedServers;
    bool m_hasAppliedWeights = false;
};

} // namespace trefoil
