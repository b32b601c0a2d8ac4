#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <dispatch/report_silence.h>

namespace trefoil {

/// Units of each team since an instance started. Totals only grow, so that a lost report is made up
/// for by the next.
using admitted_totals = std::map<std::string, double, std::less<>>;

/// Options of the limits.
struct team_limit_options
{
    /// An instance not heard for longer is taken to spend an equal share of each limit.
    report_silence silence;
    /// Below what all could overspend until the next report, within these parts of the burst, an
    /// instance admits no more than its part of the rate, by what callers ask of it: else all would
    /// spend the same rest.
    double sharedLevel = 0.5;
    double leastSharedLevel = 0.03;
    /// Time until others hear of what was admitted: a report's period and its way.
    duration reportLag = std::chrono::milliseconds(500);
    /// Span in which a team may use the rate times the span and its burst, however often; zero for
    /// a burst that has to be saved up again. A part of the burst is then given as rate, the rest
    /// at once, which never comes to more in any such span.
    duration window {};
    /// Part of the burst that is given as rate: what is left covers uneven arrivals of a second.
    double burstAsRate = 0.75;
    /// Time over which the asking is averaged: a few reports.
    duration askedTime = std::chrono::milliseconds(800);
};

/// Limits of teams over all instances. Each instance keeps a copy of the one bucket of each team
/// and takes from it what it admits, what the others report, and what they are expected to have
/// admitted since their last report. So a team is cut at its limit on all instances within the
/// delay of the reports, and an instance that hears nobody keeps to its share. Not thread-safe.
///
/// Answers the load of one team that sends several times its usual: admission stops at the limit,
/// before the requests take a backend server's memory.
class team_limits
{
public:
    explicit team_limits(const team_limit_options &options) : m_options(options) { }

    /// Sets the limit of @p team: @p rate units a second and @p burst units at once. A changed
    /// limit keeps the level, cut at the new burst.
    void setLimit(timestamp now, std::string_view team, double rate, double burst);
    /// Removes the limits of teams that @p keep does not contain.
    template <typename Teams>
    void keepOnly(const Teams &keep)
    {
        std::erase_if(m_buckets, [&keep](const auto &each) { return !keep.contains(each.first); });
    }

    /// Admits @p units of @p team. Returns nothing when admitted, else the time after which the
    /// bucket has room. A team without a limit is admitted.
    std::optional<duration> admit(timestamp now, std::string_view team, double units);
    /// Gives back units of a request that never ran.
    void giveBack(std::string_view team, double units);

    /// Names the other instances that are known to exist, heard or not.
    void setPeers(timestamp now, const std::vector<std::string> &peers);
    /// Takes the totals of @p peer, which announces its next report after @p period.
    /// @p incarnation tells a restart, after which totals start at 0.
    void takeReport(timestamp now, std::string_view peer, std::uint64_t incarnation,
                    const admitted_totals &admitted, const admitted_totals &askedRates,
                    duration period = {});
    /// Lowers levels to those that an instance reports which has counted for longer than this one.
    void adoptLevels(timestamp now, const admitted_totals &levels);

    /// State of a team's limit that decided about a request.
    struct team_view
    {
        double rate = 0;
        double level = 0;
        /// Part of the rate that falls to this instance while the level is low.
        double part = 1;
        /// Other instances heard lately, and all that are known.
        int heard = 0;
        int known = 0;
    };
    /// Returns the state of @p team's limit.
    team_view view(timestamp now, std::string_view team) const;

    /// Returns what this instance has admitted since it started.
    const admitted_totals &totals() const { return m_totals; }
    /// Returns the units a second that callers ask of this instance.
    admitted_totals askedRates(timestamp now);
    /// Returns the level of each bucket at @p now.
    admitted_totals levels(timestamp now);

private:
    struct bucket
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        timestamp filledAt;
        /// What may be admitted here while the level is low.
        double allowance = 0;
        /// Units asked lately, fading over askedTime.
        double asked = 0;
        /// Usual units of a request.
        double size = 0;
    };
    struct peer_usage
    {
        double total = 0;
        /// Units a second between the last two reports.
        double rate = 0;
        double askedRate = 0;
        /// Already taken from the bucket for the time since the last report.
        double expected = 0;
    };
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        timestamp heardAt;
        /// Time until its next report, as it said.
        duration period {};
        std::map<std::string, peer_usage, std::less<>> teams;
    };

    /// What callers ask of a team, in units a second: here and of all instances, by their reports.
    struct asked_view
    {
        double own = 0;
        double all = 0;
        /// Instances that are asked, this one included.
        int askers = 1;
        /// Part of the rate that is this instance's.
        double part() const { return all > 0 ? own / all : 1; }
    };

    bool isSilent(timestamp now, const peer_state &peer) const
    {
        return now - peer.heardAt > m_options.silence.longest(m_peers.size(), peer.period);
    }
    void bring(timestamp now, std::string_view team, bucket &account);
    double shareOfSilent(const bucket &account) const;
    asked_view askedOf(std::string_view team, const bucket &account) const;
    /// Returns the level below which the instances keep to their parts.
    double sharedBelow(const asked_view &asked, const bucket &account) const;

    team_limit_options m_options;
    std::map<std::string, bucket, std::less<>> m_buckets;
    std::map<std::string, peer_state, std::less<>> m_peers;
    admitted_totals m_totals;
};

} // namespace trefoil
