#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <dispatch/report_timeout.h>

namespace trefoil {

/// Description of an instance that it publishes for the others.
struct member_entry
{
    std::string name;
    std::string zone;
    /// Address for callers.
    endpoint callers;
    /// Address for reports and calls of other instances.
    endpoint peers;
    /// Start time of the process in milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// Capacity in cores, see capacityOf(); 0 if unknown.
    double capacity = 0;
};

/// Returns the capacity, in cores, of an instance with @p cores processor cores and a link of
/// @p linkMbps megabits per second, limited by the scarcer of the two. A link of 0 is ignored.
/// Thread-safe.
double capacityOf(double cores, double linkMbps);

/// Destination of a report.
struct report_target
{
    endpoint to;
    /// Whether the receiver forwards the report to the other instances of its zone.
    bool isForwarded = false;

    bool operator==(const report_target &) const = default;
};

/// Options of a member table.
struct member_table_options
{
    /// Name of this instance.
    std::string self;
    /// Availability zone of this instance.
    std::string zone;
    /// A member that does not report for longer is considered dead.
    report_timeout reportTimeout;
    /// Another instance may take over from a leader that does not report for this time plus
    /// report_timeout::growth(): about three report periods. Short, because the successor checks
    /// with the store first.
    duration leaderTimeout = std::chrono::milliseconds(650);
    /// Callers are sent to all zones if their own zone has fewer live instances than this.
    std::size_t minInZone = 2;
    /// Callers and the reports that an instance forwards in its zone are sent to instances with at
    /// least this share of the largest instance's capacity.
    double minCapacityShare = 0.5;
    /// Mean scheduling delay above which the large instances count as overloaded and callers are
    /// sent to all instances: a tenth of the usual target latency of a first event.
    duration maxDelay = std::chrono::milliseconds(40);
    /// Time for which callers are sent to all instances after an overload.
    duration spreadTime = std::chrono::seconds(10);
    /// Maximum number of addresses returned to a caller.
    std::size_t maxCallerAddresses = 64;
    /// A fleet with more other instances than this is large: a report goes to one instance of each
    /// other zone, which forwards it there, and instances without callers report less often. A full
    /// mesh of 81 instances sent 0.5 GB per minute between zones.
    std::size_t maxDirectPeers = 24;
};

/// Instances that list themselves in the store, with their liveness as judged by their reports. Not
/// thread-safe.
///
/// Handles fleets in which a few instances are far larger than the others: callers are sent to the
/// large ones. A small instance with a link of 10 Mbit/s adds tens of milliseconds to a long
/// prompt, and the fewer instances place requests, the more accurate is each one's view of the
/// load. When the large instances are overloaded, callers are sent to all. Reports are forwarded by
/// the large ones for the same reason: a small one fans each out to 30 others over a link that is
/// full of prompts, and reports arrived seconds late.
class member_table
{
public:
    explicit member_table(const member_table_options &options) : m_options(options) { }

    /// Replaces the listed instances, including this one. A new instance counts as alive until its
    /// first report is overdue.
    void setListed(timestamp now, const std::vector<member_entry> &entries);
    /// Returns the highest epoch that a leader has reported, 0 if none has.
    std::uint64_t highestLeaderEpoch() const { return m_highestLeaderEpoch; }
    /// Records a report of @p name, which announces its next report after @p period. @p leaderEpoch
    /// is 0 unless @p name is the leader. Returns false if @p name isn't listed or the report is
    /// not newer than the last one.
    bool recordReport(timestamp now, std::string_view name, std::uint64_t incarnation,
                      std::uint64_t sequence, bool isLeaving, std::uint64_t leaderEpoch,
                      duration period = {});
    /// Records the scheduling delay of @p name, which may be this instance: the time that its
    /// threads wait for a processor, or its callers' connections for a thread.
    void recordSchedulingDelay(std::string_view name, duration delay);

    /// Records whether @p name, which may be this instance, is cut off from the backend servers.
    void recordCutOff(std::string_view name, bool isCutOff);
    /// Returns whether any listed instance is cut off from the backend servers.
    bool isAnyCutOff() const;
    /// Returns the addresses for calls of the other instances that may relay connections to backend
    /// servers: the live ones that are not cut off, with at least minCapacityShare of the largest
    /// capacity of these. All live ones if no capacity is known.
    std::vector<endpoint> relays(timestamp now) const;

    /// Records for which kinds of objects @p name has lost the store: nothing if its build doesn't
    /// tell, which chooses readers by name instead of by readerRank().
    void recordLostKinds(std::string_view name,
                         const std::optional<std::vector<std::string>> &lostKinds);
    /// Returns how many instances come before this one in the order in which they read the newest
    /// state of the objects of @p kind from the store. Those at the front read it for all.
    ///
    /// The order takes the zones in turn and the largest instances of each first, so that no zone's
    /// loss of the store takes all readers. Passed over are dead instances, instances of builds
    /// that don't tell, since they would not know that they are chosen, and those that have lost
    /// the store. If this one has lost it too, @p hasLostStore, the last are counted: only those at
    /// the front try whether it has returned. An instance that was not heard yet counts.
    int readerRank(timestamp now, std::string_view kind, bool hasLostStore) const;

    /// Returns whether the other instance @p name is alive and not leaving.
    bool isAlive(timestamp now, std::string_view name) const;
    /// Returns the address for reports and calls of other instances to @p name, or an empty
    /// endpoint if @p name isn't listed.
    endpoint peerAddress(std::string_view name) const;
    /// Returns the capacity of @p name in cores, 0 if it is unknown or @p name isn't listed.
    double capacity(std::string_view name) const;
    /// Returns the number of listed instances other than this one.
    std::size_t otherCount() const { return m_members.size() - (isSelfListed() ? 1 : 0); }
    /// Returns whether the fleet is large; see member_table_options.
    bool isLarge() const { return otherCount() > m_options.maxDirectPeers; }
    /// Returns the listed instances other than this one.
    std::vector<member_entry> others() const;
    /// Returns the destinations of the report with @p sequence. The receiver in another zone is a
    /// live instance of large capacity and changes with each report, so that the loss of an
    /// instance or link doesn't affect all reports.
    std::vector<report_target> reportTargets(timestamp now, std::uint64_t sequence) const;
    /// Returns the destinations of a report of @p from that this instance forwards: the other
    /// instances of its zone.
    std::vector<endpoint> forwardTargets(std::string_view from) const;
    /// Returns the number of other instances that are alive.
    std::size_t liveOtherCount(timestamp now) const;
    /// Returns the number of live instances whose names sort before that of this instance.
    int rank(timestamp now) const;
    /// Returns whether this instance is listed; rank() is meaningful only then.
    bool isSelfListed() const;
    /// Returns whether any instance reported recently that it is the leader.
    bool isAnyLeaderHeard(timestamp now) const;
    /// Returns whether @p name reported recently that it is the leader of @p epoch.
    bool isLeaderHeard(timestamp now, std::string_view name, std::uint64_t epoch) const;
    /// Returns whether the last report of @p name, however old, said that it is the leader of
    /// @p epoch.
    bool reportedLeadership(std::string_view name, std::uint64_t epoch) const;

    /// Returns the addresses of the instances that a caller in @p zone should use. @p isSelfUsable
    /// says whether this instance accepts callers. Instances that are cut off from the backend
    /// servers are left out unless all are.
    std::vector<endpoint> callerAddresses(timestamp now, std::string_view zone, bool isSelfUsable);

private:
    struct member_state
    {
        member_entry entry;
        timestamp heardAt;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool isLeaving = false;
        std::uint64_t leaderEpoch = 0;
        duration delay {};
        bool isCutOff = false;
        /// Announced time until the next report.
        duration period {};
        /// Place among the listed instances in the order in which readers of the store are chosen.
        int readerPlace = 0;
        bool isHeard = false;
        /// See recordLostKinds().
        std::optional<std::vector<std::string>> lostKinds;
    };

    /// Orders the listed instances for readerRank().
    void assignReaderPlaces();
    /// Returns whether the other instance @p member may read objects of @p kind for all.
    bool isUsableReader(timestamp now, const member_state &member, std::string_view kind,
                        bool hasLostStore) const;

    /// Returns those of @p inZone, other instances, that may forward a report or relay a
    /// connection: the live ones with at least minCapacityShare of the largest capacity of these.
    /// All live ones if no capacity is known.
    std::vector<const member_state *>
    forwardersOf(timestamp now, const std::vector<const member_state *> &inZone) const;
    std::vector<const member_state *> preferLarge(timestamp now,
                                                  std::vector<const member_state *> usable);

    member_table_options m_options;
    std::uint64_t m_highestLeaderEpoch = 0;
    std::map<std::string, member_state, std::less<>> m_members;
    /// Time until which callers are sent to all instances.
    timestamp m_spreadUntil;
};

} // namespace trefoil
