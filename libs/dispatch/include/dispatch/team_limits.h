#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/clock.h>
#include <dispatch/report_lateness.h>
#include <dispatch/report_timeout.h>
#include <dispatch/unheard_admissions.h>
#include <dispatch/windowed_sum.h>

namespace trefoil {

/// Units by team, such as the total admitted since an instance started. Reports carry running
/// totals, so that a lost report is made up for by the next.
using admitted_totals = std::map<std::string, double, std::less<>>;

/// Limit of one team, across all instances.
struct team_limit
{
    /// Units per second.
    double rate = 0;
    /// Units at once.
    double burst = 0;
    /// Units by which all instances together may exceed the limit because they learn late of each
    /// other's admissions.
    double tolerance = 0;
};

/// Options of team_limits.
struct team_limit_options
{
    /// An instance that does not report for longer is assumed to spend its share of each limit.
    report_timeout reportTimeout;
    /// Window in which a team may use its rate times the window plus its burst, in any order; zero
    /// if a spent burst must be refilled at the rate. With a window, what the limit still allows in
    /// it is added to the rate gradually.
    duration window {};
    /// Time constant of the demand average: a few report periods.
    duration demandTime = std::chrono::milliseconds(1500);
    /// Fraction of each limit that is divided equally among all instances; the rest is divided by
    /// demand. Lets an instance admit requests before the others know of its demand.
    double equalShare = 0.1;
    /// Time in which instances use up a positive level of the bucket, and in which they make up for
    /// a negative one: longer than reports take to arrive.
    duration levelTime = std::chrono::milliseconds(400);
    duration debtTime = std::chrono::seconds(1);
    /// Whether an instance always keeps to its share. For limits of few requests, which instances
    /// would exceed if each let one request through.
    bool isStrict = false;
    std::uint32_t randomSeed = 1;
};

/// What another instance reports about the limits.
struct limit_report
{
    std::string_view peer;
    /// Start time of the peer's process; totals begin at 0 with each.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    /// See team_limits::totals() and team_limits::takeDemandRates().
    const admitted_totals &admitted;
    const admitted_totals &demandRates;
    /// Announced time until the next report, zero if it is unknown.
    duration period {};
    /// Time since the peer's process started, if it is known.
    std::optional<duration> uptime;
};

/// Rate limits of teams across all instances; server_statements uses it for servers' limits. Each
/// instance keeps a replica of each team's token bucket and takes from it what it admits, what the
/// others are expected to admit, and the difference to that once they report. What an instance
/// itself admits is bounded by its share of the rate and of the level, so that instances that learn
/// late of each other's admissions exceed a limit by little more than its tolerance. While reports
/// are late, what it admitted in the time that they take is bounded by its share of what was
/// available then, was refilled since and is tolerated. Not thread-safe.
///
/// Handles a team that sends several times its usual load, in fleets of any size, beside lost and
/// late reports, cut links and restarts: admission stops at the limit, before the requests take a
/// backend server's memory.
class team_limits
{
public:
    /// @p now is the start of the instance.
    explicit team_limits(const team_limit_options &options, timestamp now = {})
        : m_options(options), m_random(options.randomSeed), m_startedAt(now)
    { }

    /// Sets the limit of @p team. A changed limit keeps the level, capped at the new burst.
    void setLimit(timestamp now, std::string_view team, const team_limit &limit);
    /// Removes the limits of teams that are not in @p keep.
    template <typename Teams>
    void keepOnly(const Teams &keep)
    {
        std::erase_if(m_buckets, [&keep](const auto &each) { return !keep.contains(each.first); });
    }

    /// Removes the limit of @p team.
    void removeLimit(std::string_view team);

    /// Tries to admit @p units of @p team. Returns nothing if they were admitted, otherwise the
    /// time after which to retry. A team without a limit is always admitted.
    std::optional<duration> admit(timestamp now, std::string_view team, double units);
    /// Refunds the units of a request that never ran and was admitted at @p admittedAt. Without
    /// that time, they are taken for admitted just now.
    void refund(std::string_view team, double units, std::optional<timestamp> admittedAt = {});

    /// Sets the names of all other listed instances, whether or not they have reported. One that is
    /// no longer listed but reports still counts. Before the first call, this instance keeps to a
    /// small share.
    void setPeers(timestamp now, const std::vector<std::string> &peers);
    /// Applies what another instance reports. Ignores reports older than the last one.
    void applyReport(timestamp now, const limit_report &report);
    /// Replaces the levels by those that an instance reports which has run for longer than this
    /// one, capped at the burst. Only the first call has an effect.
    void adoptLevels(timestamp now, const admitted_totals &levels);

    /// State of a team's limit, for the log of an admission decision.
    struct limit_state
    {
        double rate = 0;
        double level = 0;
        /// Share of the limit that this instance may use.
        double share = 1;
        /// Units that this instance may admit at once.
        double allowance = 0;
        /// Units that this instance admitted and that others can't have heard of, and the bound on
        /// them. Both are 0 while there is no bound.
        double unheard = 0;
        double unheardBound = 0;
        /// Other instances that reported recently.
        int heardPeers = 0;
        /// Other known instances.
        int knownPeers = 0;
    };
    /// Returns the state of @p team's limit.
    limit_state limitState(timestamp now, std::string_view team);

    /// What this instance decided and learned about a team since the last account. All in units.
    struct limit_account
    {
        double admitted = 0;
        double refused = 0;
        /// Part of refused: due to the bound on what others can't have heard of.
        double refusedUnheard = 0;
        double refunded = 0;
        /// Taken from the bucket for what other instances reported or are expected to report.
        double chargedForPeers = 0;
        /// Taken from the bucket for instances that don't report.
        double chargedForSilent = 0;
        /// Reported by other instances, but not taken from the bucket.
        double notCharged = 0;
    };
    /// Returns the accounts of the teams that have used up more than half of their burst or were
    /// refused since the last call, and resets all accounts.
    std::map<std::string, limit_account, std::less<>> takeAccounts(timestamp now);

    /// Units of all teams.
    struct limit_units
    {
        double admitted = 0;
        double refused = 0;
        /// Part of refused: due to the bound on what others can't have heard of.
        double refusedUnheard = 0;
        double refunded = 0;
    };
    /// Returns the units of all accounts that takeAccounts() has reset since the last call.
    limit_units takeUnits() { return std::exchange(m_units, {}); }

    /// Returns what this instance has admitted since it started.
    const admitted_totals &totals() const { return m_totals; }
    /// Returns the demand on this instance by team, in units per second, for a report that is sent
    /// now. This instance's shares follow from the demand that it has reported.
    admitted_totals takeDemandRates(timestamp now);
    /// Returns the bucket level of each team at @p now for a report, if an instance that has just
    /// started may need it and this instance knows it.
    admitted_totals takeLevels(timestamp now);

private:
    /// Reports that are less late are taken for punctual.
    static constexpr duration minLateness = std::chrono::milliseconds(100);
    /// How long an instance remembers the demand on itself.
    static constexpr duration maxDemandAge = std::chrono::seconds(3);

    /// What is known of one team on another instance.
    struct peer_usage
    {
        /// Whether the instance has reported since the team's limit is known.
        bool isKnown = false;
        /// Total up to which the bucket was charged.
        double total = 0;
        double demandRate = 0;
        /// Demand known a second or two ago, and when it was replaced.
        double previousDemandRate = 0;
        timestamp previousAt;
        /// Units taken from the bucket in advance for the time since the last report.
        double expected = 0;
    };
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double tolerance = 0;
        double level = 0;
        timestamp filledAt;
        /// Units that this instance may admit; negative after a request that was larger.
        double allowance = 0;
        /// Units spent in the window, by all instances.
        windowed_sum spent;
        /// Units requested recently, with exponential decay over demandTime.
        double demand = 0;
        /// Values of demand some seconds back, the oldest first.
        std::deque<std::pair<timestamp, double>> demandHistory;
        unheard_admissions unheard;
        /// Demand in units per second as last reported.
        double reportedDemand = 0;
        /// Average units of a request.
        double size = 0;
        /// By peer_state::index.
        std::vector<peer_usage> peers;
        limit_account account;
    };
    struct peer_state
    {
        std::size_t index = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        /// When the instance was listed or last heard.
        timestamp seenAt;
        /// When the first report of this incarnation was heard.
        timestamp firstHeardAt;
        bool isHeard = false;
        bool isListed = true;
        bool isLeaving = false;
        /// Announced time until the next report.
        duration period {};
        report_lateness lateness;
    };

    /// Demand of a team in units per second, as instances know it of each other.
    struct team_demand
    {
        /// Demand on this instance by which its share is computed: as the others know it.
        double own = 0;
        /// Demand on this instance at present.
        double current = 0;
        double all = 0;
        /// Time since the oldest report was written that the demand of another instance is known
        /// from.
        duration age {};
        /// Whether the reports of an instance with demand are late.
        bool isLate = false;
        /// Factor by which the demand on this instance has certainly grown in that time. The others
        /// are expected to see the same.
        double growth = 1;
        /// Instances with demand, including this one.
        int requesters = 1;
        /// All instances, and those that report, including this one.
        double instances = 1;
        double heard = 1;
    };

    bool isSilent(timestamp now, const peer_state &peer) const
    {
        return !peer.isHeard
            || now - peer.seenAt > m_options.reportTimeout.timeout(m_peers.size(), peer.period);
    }
    /// Returns whether nothing more is expected of an instance that doesn't report.
    bool hasEnded(timestamp now, const peer_state &peer) const;
    peer_state &addPeer(timestamp now, std::string_view name, bool isListed);
    void refill(timestamp now, bucket &teamBucket);
    void chargePeers(timestamp now, bucket &teamBucket, const team_demand &demand, double elapsed);
    /// Charges the total that an instance reported instead of what was expected of it.
    /// @p isNew: all of the total was spent since this instance started.
    void reconcile(timestamp now, bucket &teamBucket, peer_usage &usage, double total, bool isNew);
    void spend(timestamp now, bucket &teamBucket, double units);
    /// Charges what an instance is expected to have admitted since it wrote a report that arrived
    /// late.
    void chargeLateness(timestamp now, bucket &teamBucket, const peer_state &peer);
    team_demand demandOf(timestamp now, const bucket &teamBucket) const;
    /// Returns the factor by which the demand on this instance has certainly grown in @p age.
    double growthOf(timestamp now, const bucket &teamBucket, duration age) const;
    /// What an instance admitted that others can't have heard of.
    struct unheard_units
    {
        double units = 0;
        /// What it may be at most, so that all instances together keep to the limit.
        double bound = 0;
    };
    /// Returns what this instance admitted in the time that reports take at present, and the bound
    /// on it. Nothing while reports are punctual or the team isn't certain to exceed its limit, and
    /// for strict limits, which instances don't exceed their share of.
    std::optional<unheard_units> unheardUnits(timestamp now, const team_demand &demand,
                                              bucket &teamBucket) const;
    /// Returns by how much the report after the last one of @p peer, or that one, is late.
    static duration latenessOf(timestamp now, const peer_state &peer);
    /// Adds the present demand to the history that growthOf() looks at.
    void keepDemand(timestamp now, const team_demand &demand, bucket &teamBucket) const;
    /// Returns what an instance with @p demandRate is expected to admit in a second.
    double expectedRate(const team_demand &demand, const bucket &teamBucket, double demandRate,
                        double rate) const;
    /// Returns the share of a limit that falls to an instance with @p demandRate: in proportion to
    /// it while the team exceeds its rate, otherwise the demand and a part of what is left.
    double shareOf(const team_demand &demand, const bucket &teamBucket, double demandRate) const;
    /// Returns whether the team keeps to its rate, as far as this instance knows.
    bool isCalm(timestamp now, const team_demand &demand, bucket &teamBucket) const;
    /// Decides on a request, and takes it from the allowance.
    bool takeAllowance(timestamp now, const team_demand &demand, bucket &teamBucket, double units);
    /// Returns what all instances may still admit at @p now, in the window too.
    double available(timestamp now, bucket &teamBucket) const;
    /// Returns the units per second at which the bucket fills.
    double refillRate(timestamp now, bucket &teamBucket) const;
    /// Returns the units per second that all instances may admit when @p level is available.
    double admissionRate(timestamp now, bucket &teamBucket, double level) const;
    /// Returns the units that this instance may admit at once when @p level is available.
    double maxAllowance(timestamp now, const team_demand &demand, bucket &teamBucket,
                        double level) const;

    team_limit_options m_options;
    std::minstd_rand m_random;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, peer_state, std::less<>> m_peers;
    /// Number of indexes in use, and those that are free again.
    std::size_t m_indexCount = 0;
    std::vector<std::size_t> m_freeIndexes;
    admitted_totals m_totals;
    limit_units m_units;
    timestamp m_startedAt;
    bool m_hasAdoptedLevels = false;
    bool m_arePeersKnown = false;
};

} // namespace trefoil
