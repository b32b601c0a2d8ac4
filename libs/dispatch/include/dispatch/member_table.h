#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <dispatch/report_timeout.h>
#include <dispatch/store_reader_role.h>

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

/// The last sign of life of an instance that has nothing else to report.
struct heartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// Announced time until the next report.
    duration period {};
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
    /// Callers are sent to instances with at least this share of the largest instance's capacity,
    /// and reports to be forwarded as well.
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
    /// Instances of a zone in a large fleet that collect the heartbeats of the others. Two, so that
    /// the loss of one stays unnoticed.
    std::size_t collectorsPerZone = 2;
    /// Time for which an instance that reached the store counts as in contact with it: the duration
    /// of a read that waits for changes, its timeout and a report period.
    duration storeContactTime = std::chrono::milliseconds(5500);
};

/// Instances that list themselves in the store, with their liveness as judged by their reports. Not
/// thread-safe.
///
/// Handles fleets in which a few instances are far larger than the others: callers are sent to the
/// large ones. A small instance with a link of 10 Mbit/s adds tens of milliseconds to a long
/// prompt, and the fewer instances place requests, the more accurate is each one's view of the
/// load. When the large instances are overloaded, callers are sent to all.
///
/// In fleets of hundreds, nearly all instances have no callers and nothing to report but that they
/// are alive. They tell that to the collectors of their zone, whose reports list them for all
/// others. Otherwise each of 295 instances received 200 reports a second.
class member_table
{
public:
    explicit member_table(const member_table_options &options) : m_options(options) { }

    /// Replaces the listed instances, including this one. A new instance counts as alive until its
    /// first report is overdue.
    void setListed(timestamp now, const std::vector<member_entry> &entries);
    /// Records a report of @p name, which announces its next report after @p period. @p leaderEpoch
    /// is 0 unless @p name is the leader. Returns false if @p name isn't listed or the report is
    /// not newer than the last one.
    bool recordReport(timestamp now, std::string_view name, std::uint64_t incarnation,
                      std::uint64_t sequence, bool isLeaving, std::uint64_t leaderEpoch,
                      duration period = {});
    /// Records the scheduling delay of @p name, which may be this instance: the time that its
    /// threads wait for a processor.
    void recordSchedulingDelay(std::string_view name, duration delay);

    /// Returns whether the other instance @p name is alive and not leaving.
    bool isAlive(timestamp now, std::string_view name) const;
    /// Returns the address for reports and calls of other instances to @p name, or an empty
    /// endpoint if @p name isn't listed.
    endpoint peerAddress(std::string_view name) const;
    /// Returns the number of listed instances other than this one.
    std::size_t otherCount() const { return m_members.size() - (isSelfListed() ? 1 : 0); }
    /// Returns whether the fleet is large; see member_table_options.
    bool isLarge() const { return otherCount() > m_options.maxDirectPeers; }
    /// Returns the listed instances other than this one.
    std::vector<member_entry> others() const;
    /// Returns the destinations of the report with @p sequence. The receiver in another zone
    /// changes with each report, so that the loss of an instance or link affects few reports.
    std::vector<report_target> reportTargets(timestamp now, std::uint64_t sequence) const;
    /// Returns the destinations of a report of @p from that this instance forwards: the other
    /// instances of its zone.
    std::vector<endpoint> forwardTargets(std::string_view from) const;
    /// Returns the addresses of the instances that collect the heartbeats of this zone, or nothing
    /// if this instance is one of them.
    std::vector<endpoint> heartbeatTargets(timestamp now) const;
    /// Records that @p name reported to this instance directly, so that takeHeartbeats() lists it.
    void recordHeartbeat(std::string_view name);
    /// Returns the last heartbeats of the instances for which recordHeartbeat() was called since
    /// the last call.
    std::vector<heartbeat> takeHeartbeats();

    /// Records that @p name last reached the store at @p at.
    void recordStoreContact(std::string_view name, timestamp at);
    /// Returns this instance's position among the readers of the store. A new instance counts as in
    /// contact until its reports tell otherwise.
    store_reader_position storeReaderPosition(timestamp now) const;
    /// Returns the addresses of the other live instances to fetch copies of the store's objects
    /// from, those that read the store first, and those of this zone before all others.
    std::vector<endpoint> copySources(timestamp now) const;
    /// Returns whether @p name is listed in this instance's zone.
    bool isInOwnZone(std::string_view name) const;

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
    /// says whether this instance accepts callers.
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
        /// Announced time until the next report.
        duration period {};
        timestamp storeContactAt;
        /// Whether takeHeartbeats() lists the instance next time.
        bool hasNewHeartbeat = false;
    };

    /// Returns the instances of another @p zone that may forward reports there: the large ones
    /// among those that are alive.
    std::vector<const member_state *>
    forwarders(timestamp now, const std::vector<const member_state *> &zone) const;
    /// Returns the live instances of this zone, the largest first.
    std::vector<const member_state *> zoneBySize(timestamp now) const;
    std::vector<const member_state *> preferLarge(timestamp now,
                                                  std::vector<const member_state *> usable);

    member_table_options m_options;
    std::map<std::string, member_state, std::less<>> m_members;
    /// Time until which callers are sent to all instances.
    timestamp m_spreadUntil;
};

} // namespace trefoil
