#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <dispatch/report_timeout.h>

namespace trefoil {

/// Units by team, such as the total admitted since an instance started. Reports carry running
/// totals, so that a lost report is made up for by the next.
using admitted_totals = std::map<std::string, double, std::less<>>;

/// Options of team_limits.
struct team_limit_options
{
    /// An instance that does not report for longer is assumed to spend an equal share of each
    /// limit.
    report_timeout reportTimeout;
    /// Bounds, as fractions of the burst, of the level below which an instance admits only its
    /// share of the rate, in proportion to the demand that it sees. Between the bounds, that level
    /// is what all instances together could overspend until the next report; otherwise each of them
    /// would spend the same remainder.
    double maxSharedLevel = 0.5;
    double minSharedLevel = 0.03;
    /// Time until other instances learn what was admitted: a report period plus transit time.
    duration reportLag = std::chrono::milliseconds(500);
    /// Window in which a team may always use the rate times the window plus its burst; zero if a
    /// spent burst must be refilled at the rate. With a window, a fraction of the burst is added to
    /// the rate and the rest is admitted at once, which never exceeds that total in any window.
    duration window {};
    /// Fraction of the burst that is added to the rate. The rest covers uneven arrivals within a
    /// second.
    double burstRateShare = 0.75;
    /// Time constant of the demand average: a few report periods.
    duration demandTime = std::chrono::milliseconds(800);
};

/// Rate limits of teams across all instances. Each instance keeps a replica of each team's token
/// bucket and takes from it what it admits, what the others report, and what the others are
/// expected to have admitted since their last report. So a team is limited on all instances within
/// the report delay, and an instance that receives no reports keeps to its share. Not thread-safe.
///
/// Handles a team that sends several times its usual load: admission stops at the limit, before the
/// requests take a backend server's memory.
class team_limits
{
public:
    explicit team_limits(const team_limit_options &options) : m_options(options) { }

    /// Sets the limit of @p team to @p rate units per second and @p burst units at once. A changed
    /// limit keeps the level, capped at the new burst.
    void setLimit(timestamp now, std::string_view team, double rate, double burst);
    /// Removes the limits of teams that are not in @p keep.
    template <typename Teams>
    void keepOnly(const Teams &keep)
    {
        std::erase_if(m_buckets, [&keep](const auto &each) { return !keep.contains(each.first); });
    }

    /// Tries to admit @p units of @p team. Returns nothing if they were admitted, otherwise the
    /// time after which to retry. A team without a limit is always admitted.
    std::optional<duration> admit(timestamp now, std::string_view team, double units);
    /// Refunds the units of a request that never ran.
    void refund(std::string_view team, double units);

    /// Sets the names of all other known instances, whether or not they have reported.
    void setPeers(timestamp now, const std::vector<std::string> &peers);
    /// Applies the totals and demand rates that @p peer reports, which announces its next report
    /// after @p period. A changed @p incarnation means that the peer restarted with totals of 0.
    void applyReport(timestamp now, std::string_view peer, std::uint64_t incarnation,
                     const admitted_totals &admitted, const admitted_totals &demandRates,
                     duration period = {});
    /// Replaces the levels by those that an instance reports which has run for longer than this
    /// one, capped at the burst.
    void adoptLevels(timestamp now, const admitted_totals &levels);

    /// State of a team's limit, for the log of an admission decision.
    struct limit_state
    {
        double rate = 0;
        double level = 0;
        /// Share of the rate that this instance may admit while the level is low.
        double share = 1;
        /// Other instances that reported recently.
        int heardPeers = 0;
        /// Other known instances.
        int knownPeers = 0;
    };
    /// Returns the state of @p team's limit.
    limit_state limitState(timestamp now, std::string_view team) const;

    /// What this instance decided and learned about a team since the last account. All in units.
    struct limit_account
    {
        double admitted = 0;
        double refused = 0;
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

    /// Returns what this instance has admitted since it started.
    const admitted_totals &totals() const { return m_totals; }
    /// Returns the demand on this instance by team, in units per second.
    admitted_totals demandRates(timestamp now);
    /// Returns the bucket level of each team at @p now.
    admitted_totals levels(timestamp now);

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        timestamp filledAt;
        /// Units that this instance may admit while the level is low.
        double allowance = 0;
        /// Units requested recently, with exponential decay over demandTime.
        double demand = 0;
        /// Average units of a request.
        double size = 0;
        limit_account account;
    };
    struct peer_usage
    {
        double total = 0;
        /// Units per second admitted between the last two reports.
        double rate = 0;
        double demandRate = 0;
        /// Units taken from the bucket in advance for the time since the last report.
        double expected = 0;
    };
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        timestamp heardAt;
        /// Announced time until the next report.
        duration period {};
        std::map<std::string, peer_usage, std::less<>> teams;
    };

    /// Demand of a team in units per second, on this instance and on all instances.
    struct team_demand
    {
        double own = 0;
        double all = 0;
        /// Instances with demand, including this one.
        int requesters = 1;
        /// Returns the share of the rate that falls to this instance.
        double share() const { return all > 0 ? own / all : 1; }
    };

    bool isSilent(timestamp now, const peer_state &peer) const
    {
        return now - peer.heardAt > m_options.reportTimeout.timeout(m_peers.size(), peer.period);
    }
    void refill(timestamp now, std::string_view team, bucket &teamBucket);
    double silentPeerRate(const bucket &teamBucket) const;
    team_demand demandOf(std::string_view team, const bucket &teamBucket) const;
    /// Returns the level below which each instance admits only its share of the rate.
    double sharingThreshold(const team_demand &demand, const bucket &teamBucket) const;

    team_limit_options m_options;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, peer_state, std::less<>> m_peers;
    admitted_totals m_totals;
};

} // namespace trefoil
