#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <lease/lease_keeper.h>
#include <limits/grant_wallet.h>
#include <limits/token_account.h>

namespace trefoil {

/// Asks a shard's owner for tokens, and gives back tokens of ended grants.
struct grant_ask
{
    std::string from;
    std::string team;
    /// Tokens that the request at the head of the queue lacks; granted whole or not at all.
    double needed = 0;
    /// Tokens that the requests behind it need.
    double queued = 0;
    /// Tokens wanted beyond that for the demand expected soon.
    double extra = 0;
    std::vector<grant_settlement> settled;
};

/// Owner's answer to a grant_ask.
struct grant_answer
{
    enum class outcome { Granted, Short, NotOwner, TooLarge } kind = outcome::NotOwner;
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double amount = 0;
    /// How long the grant may be spent, counted by the asker from when it sent the ask.
    duration life {};
    /// With Short: when to try again.
    duration retryAfter {};
};

/// A request to the owner of a shard. The driver reports its answer or failure under the same id.
struct grant_call
{
    std::uint64_t id = 0;
    std::string to;
    grant_ask ask;
};

/// Decision on one request's admission. TooLarge means above the team's burst; OwnerOnly means too
/// large to be granted to another instance than the owner of the team's shard.
struct admission
{
    enum class outcome {
        Admitted,
        OverLimit,
        TooLarge,
        OwnerOnly,
        NoOwner,
        UnknownTeam
    } kind = outcome::Admitted;
    /// What the requester gave as its number.
    std::uint64_t request = 0;
    /// With OverLimit and NoOwner: when to try again.
    duration retryAfter {};
};

/// Options of a limit node.
struct limit_options
{
    std::string self;
    /// Number of limit shards, the same on all instances. Teams hash into them.
    int shards = 32;
    /// How long a grant may be spent.
    duration grantLife = std::chrono::seconds(2);
    /// Demand for which tokens are asked in advance.
    duration prefetch = std::chrono::milliseconds(200);
    /// Longest time that a request is kept waiting for tokens before it is refused.
    duration maxWait = std::chrono::milliseconds(500);
    /// The same while the team's shard changes its owner, and shortly after, when the new owner's
    /// bucket fills from empty: a takeover from a crashed process ends before.
    duration maxOwnerWait = std::chrono::milliseconds(1500);
};

/// Returns the key of the lease of @p team's shard. Thread-safe.
std::string shardKey(std::string_view team, int shards);

/// Returns the keys of all shards. Thread-safe.
std::vector<std::string> shardKeys(int shards);

/// Admission of requests on one instance: a pure state machine over the lease keeper that holds
/// the shards' rights.
///
///     limit_node limits(options, leaseKeeper);
///     limits.setTeams(now, { { "reef", { .rate = 1000, .burst = 8000 } } });
///     limits.request(now, 7, "reef", 500);
///     for (const admission &done : limits.takeDecisions())
///         ... // done.request == 7
///     limits.finish(later, 7, 380);
///
/// Not thread-safe.
class limit_node
{
public:
    /// Precondition: @p rights outlives this object and covers shardKeys(options.shards).
    limit_node(limit_options options, const right_holder &rights);

    /// @name Configuration
    /// @{

    /// Replaces the teams' limits.
    void setTeams(timestamp now, const std::map<std::string, token_limit, std::less<>> &teams);
    /// Takes a change of a shard's right.
    void onLease(timestamp now, const lease_event &event);

    /// @}
    /// @name Requests
    /// @{

    /// Asks for @p tokens of @p team on behalf of request number @p request. The decision comes
    /// from takeDecisions(), possibly at once. Precondition: the number is not in use.
    void request(timestamp now, std::uint64_t request, std::string_view team, double tokens);
    /// Reports that an admitted request ended after using @p used tokens. Unknown numbers are
    /// ignored.
    void finish(timestamp now, std::uint64_t request, double used);
    /// Returns the decisions made since the last call.
    std::vector<admission> takeDecisions();

    /// @}
    /// @name Peers
    /// @{

    /// Retries waiting requests and returns the calls to make.
    std::vector<grant_call> tick(timestamp now);
    /// Answers another instance.
    grant_answer onAsk(timestamp now, const grant_ask &ask);
    /// Takes the answer to call @p id.
    void onAnswer(timestamp now, std::uint64_t id, const grant_answer &answer);
    /// Notes that call @p id failed.
    void onFailure(timestamp now, std::uint64_t id);

    /// @}

    /// Returns the name of the instance that keeps @p team's limit, or "" where none is known.
    std::string ownerOf(std::string_view team) const;

private:
    struct waiting
    {
        std::uint64_t request = 0;
        double tokens = 0;
        timestamp since;
    };
    struct team_state
    {
        token_limit limit;
        std::string shard;
        /// Present on the shard's owner, valid for the epoch.
        std::optional<token_account> account;
        std::uint64_t epoch = 0;
        grant_wallet wallet;
        std::vector<waiting> queue;
        /// Open call for grants, if any.
        std::uint64_t openCall = 0;
        timestamp nextAsk;
        /// Until when the change of an owner counts as under way.
        timestamp changingUntil;
        std::vector<grant_settlement> settled;
    };
    /// Where an admitted request's tokens came from.
    struct admitted
    {
        std::string team;
        double tokens = 0;
        std::uint64_t reservation = 0; // of the account, with its epoch
        std::uint64_t epoch = 0;
        std::vector<grant_share> shares;
    };
    struct open_call
    {
        std::string team;
        timestamp sentAt;
        std::vector<grant_settlement> settled;
    };

    std::optional<open_call> takeCall(std::uint64_t id);
    void openAccount(timestamp now, team_state &state, const lease_event &event);
    bool tryAdmit(timestamp now, const std::string &team, team_state &state, const waiting &item);
    /// Answers the head of the queue where it can't be admitted in time.
    std::optional<admission> refusal(timestamp now, team_state &state, const waiting &item);
    void serveQueue(timestamp now, const std::string &team, team_state &state);
    std::optional<grant_call> askFor(timestamp now, const std::string &team, team_state &state);
    bool owns(timestamp now, const team_state &state) const;
    /// Returns how long @p item may go on waiting; not positive when it may not.
    duration patienceLeft(timestamp now, const team_state &state, const waiting &item) const;
    static void noteOwnerChange(timestamp now, team_state &state);
    bool isIdle(timestamp now, const team_state &state) const;

    limit_options m_options;
    const right_holder &m_rights;
    std::map<std::string, team_state, std::less<>> m_teams;
    std::map<std::uint64_t, admitted> m_admitted;
    std::map<std::uint64_t, open_call> m_calls;
    std::uint64_t m_nextCall = 1;
    std::vector<admission> m_decisions;
    /// Shards owned now, with the event that gave them, for teams added later.
    std::map<std::string, lease_event, std::less<>> m_owned;
    /// Teams with anything to do in tick(), so that its cost follows the traffic.
    std::set<std::string, std::less<>> m_active;
};

} // namespace trefoil
