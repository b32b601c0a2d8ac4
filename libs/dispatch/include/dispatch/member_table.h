#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <dispatch/report_silence.h>

namespace trefoil {

/// An instance as it lists itself for the others.
struct member_entry
{
    std::string name;
    std::string zone;
    endpoint callers;
    endpoint peers;
    /// Start of its process in milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// How much it can carry against others, in cores; 0 where that isn't known.
    double capacity = 0;
};

/// Returns the capacity of an instance with @p cores of a processor and a link of @p linkMbps, by
/// the scarcer of the two. Thread-safe.
double capacityOf(double cores, double linkMbps);

/// Where a report goes.
struct report_target
{
    endpoint to;
    /// Whether the receiver passes the report on to the instances of its zone.
    bool isPassedOn = false;

    bool operator==(const report_target &) const = default;
};

/// Options of a member table.
struct member_table_options
{
    std::string self;
    std::string zone;
    /// A member not heard for longer is taken for dead.
    report_silence silence;
    /// A holder of a duty not heard for longer may be succeeded: three reports, and the growth of
    /// the above. Short, because the successor asks the store whether it is right.
    duration holderSilence = std::chrono::milliseconds(650);
    /// Callers spread over all zones where their own has fewer live instances.
    std::size_t leastInZone = 2;
    /// Callers are sent to instances with at least this share of the largest one's capacity.
    double largeShare = 0.5;
    /// Mean delay of their threads from which these count as overloaded, and all instances are
    /// named: a tenth of the usual aim for a first event.
    duration mostDelay = std::chrono::milliseconds(40);
    /// How long all are named after that.
    duration spreadTime = std::chrono::seconds(10);
    /// Instances named in an answer.
    std::size_t mostNamed = 64;
    /// A fleet of more others than this is large: a report goes to one instance of each other zone,
    /// which passes it on there, and instances without callers report less often. A full mesh of 81
    /// instances carried 0.5 GB a minute between zones.
    std::size_t mostDirect = 24;
};

/// Instances that list themselves in the store, and which of them are alive by their reports. Not
/// thread-safe.
///
/// Answers for callers: fleets where a few instances are far larger than the others. A small one
/// with a link of ten megabits adds tens of milliseconds to a long prompt, and the fewer instances
/// place requests, the better each knows the load. They spread over all when the large ones are
/// overloaded.
class member_table
{
public:
    explicit member_table(const member_table_options &options) : m_options(options) { }

    /// Replaces the listed instances, this one included. A new one counts as alive until its first
    /// report is overdue.
    void setListed(timestamp now, const std::vector<member_entry> &entries);
    /// Notes a report of @p name, which announces the next one after @p period. Returns false for
    /// one that is older than what is known.
    bool noteReport(timestamp now, std::string_view name, std::uint64_t incarnation,
                    std::uint64_t sequence, bool isLeaving, std::uint64_t dutyEpoch,
                    duration period = {});
    /// Notes for how long threads of @p name, this instance or another, wait for its processor.
    void noteDelay(std::string_view name, duration delay);

    /// Returns whether @p name, another instance, is alive and not leaving.
    bool isAlive(timestamp now, std::string_view name) const;
    /// Returns where @p name takes reports and calls of others, or an empty endpoint for one that
    /// isn't listed.
    endpoint peersOf(std::string_view name) const;
    /// Returns the number of other instances that are listed.
    std::size_t otherCount() const { return m_members.size() - (listsSelf() ? 1 : 0); }
    /// Returns whether the fleet is large; see member_table_options.
    bool isLarge() const { return otherCount() > m_options.mostDirect; }
    /// Returns the other instances that are listed.
    std::vector<member_entry> others() const;
    /// Returns where the report with @p sequence goes. Another zone's receiver changes with each
    /// report, so that a lost instance or link costs few of them.
    std::vector<report_target> reportTargets(timestamp now, std::uint64_t sequence) const;
    /// Returns whom a report of @p from that is to be passed on goes to: the zone's others.
    std::vector<endpoint> passOnTargets(std::string_view from) const;
    /// Returns the number of other instances that are alive.
    std::size_t liveOthers(timestamp now) const;
    /// Returns how many live instances stand before this one in the order of names.
    int rank(timestamp now) const;
    /// Returns whether this instance is listed, without which its rank isn't known.
    bool listsSelf() const;
    /// Returns whether a live instance says that it holds a duty.
    bool hearsHolder(timestamp now) const;
    /// Returns whether @p name is alive and holds a duty with @p epoch.
    bool holdsDuty(timestamp now, std::string_view name, std::uint64_t epoch) const;

    /// Returns whether the last report of @p name said that it holds a duty with @p epoch.
    bool heardDuty(std::string_view name, std::uint64_t epoch) const;

    /// Returns the instances that a caller in @p zone is to use. @p isSelfUsable tells whether this
    /// one takes callers.
    std::vector<endpoint> entry(timestamp now, std::string_view zone, bool isSelfUsable);

private:
    struct member_state
    {
        member_entry entry;
        timestamp heardAt;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        bool isLeaving = false;
        std::uint64_t dutyEpoch = 0;
        duration delay {};
        /// Time until its next report, as it said.
        duration period {};
    };

    std::vector<const member_state *> largeOnes(timestamp now,
                                                std::vector<const member_state *> usable);

    member_table_options m_options;
    std::map<std::string, member_state, std::less<>> m_members;
    /// All instances are named until then.
    timestamp m_spreadUntil;
};

} // namespace trefoil
