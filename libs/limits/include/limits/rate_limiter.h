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
#include <lease/lease_manager.h>
#include <limits/received_grants.h>
#include <limits/token_bucket.h>

namespace trefoil {

/// Asks a shard's owner for tokens and returns the unused tokens of expired grants.
struct grant_request
{
    std::string from;
    std::string team;
    /// Tokens missing for the request at the head of the queue; granted in full or not at all.
    double needed = 0;
    /// Tokens that the other queued requests need.
    double queued = 0;
    /// Tokens to prefetch for the expected demand.
    double extra = 0;
    std::vector<grant_settlement> settled;
};

/// Owner's answer to a grant_request.
struct grant_answer
{
    enum class outcome { Granted, Insufficient, NotOwner, TooLarge } kind = outcome::NotOwner;
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double amount = 0;
    /// Lifetime of the grant, which the requesting instance counts from sending its request.
    duration lifetime {};
    /// With Insufficient: time to wait before the next request.
    duration retryAfter {};
};

/// Call to the owner of a shard. The embedding program sends it and reports the answer or failure
/// with the same id.
struct grant_call
{
    std::uint64_t id = 0;
    std::string to;
    grant_request request;
};

/// Decision on the admission of a request. TooLarge: it needs more tokens than the team's burst.
/// OwnerOnly: it needs more tokens than may be granted, so that only the owner of the team's shard
/// can admit it.
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
    /// Request number as passed to rate_limiter::request().
    std::uint64_t request = 0;
    /// With OverLimit and NoOwner: time to wait before the next attempt.
    duration retryAfter {};
};

/// Options of a rate_limiter.
struct rate_limiter_options
{
    /// Name of this instance.
    std::string self;
    /// Number of limit shards; must be the same on all instances. Each team is assigned to one by
    /// the hash of its name.
    int shards = 32;
    /// Time for which a grant may be spent.
    duration grantLifetime = std::chrono::seconds(2);
    /// Time span of expected demand for which tokens are requested in advance.
    duration prefetch = std::chrono::milliseconds(200);
    /// Maximum time that a request waits for tokens before it is refused.
    duration maxWait = std::chrono::milliseconds(500);
    /// Like maxWait, during and shortly after a change of the shard's owner, when the new owner's
    /// bucket fills from empty. Longer than a takeover from a crashed process.
    duration maxOwnerChangeWait = std::chrono::milliseconds(1500);
};

/// Returns the key of the lease of @p team's shard. Thread-safe.
std::string shardKey(std::string_view team, int shards);

/// Returns the keys of all shards. Thread-safe.
std::vector<std::string> shardKeys(int shards);

/// Admits requests on one instance within the teams' token limits. A state machine without I/O; a
/// lease_view tells which instance owns each shard.
///
///     rate_limiter limiter(options, leaseManager);
///     limiter.setTeams(now, { { "reef", { .rate = 1000, .burst = 8000 } } });
///     limiter.request(now, 7, "reef", 500);
///     for (const admission &done : limiter.takeDecisions())
///         ... // done.request == 7
///     limiter.finish(later, 7, 380);
///
/// Not thread-safe.
class rate_limiter
{
public:
    /// Precondition: @p leases outlives this object and covers shardKeys(options.shards).
    rate_limiter(rate_limiter_options options, const lease_view &leases);

    /// @name Configuration
    /// @{

    /// Replaces the teams' limits.
    void setTeams(timestamp now, const std::map<std::string, token_limit, std::less<>> &teams);
    /// Handles a change of a shard's lease.
    void onLease(timestamp now, const lease_event &event);

    /// @}
    /// @name Requests
    /// @{

    /// Requests @p tokens of @p team for request number @p request. takeDecisions() returns the
    /// decision, possibly right after this call. Precondition: the number is not in use.
    void request(timestamp now, std::uint64_t request, std::string_view team, double tokens);
    /// Reports that an admitted request ended after using @p used tokens. Unknown numbers are
    /// ignored.
    void finish(timestamp now, std::uint64_t request, double used);
    /// Returns the decisions made since the last call.
    std::vector<admission> takeDecisions();

    /// @}
    /// @name Peers
    /// @{

    /// Retries queued requests and returns the calls to send.
    std::vector<grant_call> tick(timestamp now);
    /// Handles a request from another instance.
    grant_answer onRequest(timestamp now, const grant_request &request);
    /// Handles the answer to call @p id.
    void onAnswer(timestamp now, std::uint64_t id, const grant_answer &answer);
    /// Handles the failure of call @p id.
    void onFailure(timestamp now, std::uint64_t id);

    /// @}

    /// Returns the name of the instance that owns @p team's shard, or "" if none is known.
    std::string ownerOf(std::string_view team) const;

private:
    struct queued_request
    {
        std::uint64_t request = 0;
        double tokens = 0;
        timestamp queuedAt;
    };
    struct team_state
    {
        token_limit limit;
        std::string shard;
        /// Present on the shard's owner while it holds the lease of this epoch.
        std::optional<token_bucket> bucket;
        std::uint64_t epoch = 0;
        received_grants receivedGrants;
        std::vector<queued_request> queue;
        /// Id of the grant call in flight, 0 for none.
        std::uint64_t pendingCall = 0;
        timestamp nextCallAt;
        /// Time until which the shard is treated as changing its owner.
        timestamp ownerChangeUntil;
        std::vector<grant_settlement> settled;
    };
    /// Source of an admitted request's tokens: a reservation in this instance's bucket or shares
    /// of grants.
    struct admitted_request
    {
        std::string team;
        double tokens = 0;
        /// Identifier of the reservation, in the bucket of @c epoch.
        std::uint64_t reservation = 0;
        std::uint64_t epoch = 0;
        std::vector<grant_share> shares;
    };
    struct pending_call
    {
        std::string team;
        timestamp sentAt;
        std::vector<grant_settlement> settled;
    };

    std::optional<pending_call> removeCall(std::uint64_t id);
    void openBucket(timestamp now, team_state &state, const lease_event &event);
    bool tryAdmit(timestamp now, const std::string &team, team_state &state,
                  const queued_request &item);
    /// Returns a refusal if the request at the head of the queue can't be admitted in time.
    std::optional<admission> refusalFor(timestamp now, team_state &state,
                                        const queued_request &item);
    void serveQueue(timestamp now, const std::string &team, team_state &state);
    std::optional<grant_call> nextGrantCall(timestamp now, const std::string &team,
                                            team_state &state);
    bool owns(timestamp now, const team_state &state) const;
    /// Returns the remaining time that @p item may wait; zero or negative if it has run out.
    duration remainingWait(timestamp now, const team_state &state,
                           const queued_request &item) const;
    static void markOwnerChange(timestamp now, team_state &state);
    bool isIdle(timestamp now, const team_state &state) const;

    rate_limiter_options m_options;
    const lease_view &m_leases;
    std::map<std::string, team_state, std::less<>> m_teams;
    std::map<std::uint64_t, admitted_request> m_admitted;
    std::map<std::uint64_t, pending_call> m_calls;
    std::uint64_t m_nextCall = 1;
    std::vector<admission> m_decisions;
    /// Shards owned now, with the event of their acquisition, to open buckets of teams added later.
    std::map<std::string, lease_event, std::less<>> m_owned;
    /// Teams with pending work, so that the cost of tick() depends on the active teams only.
    std::set<std::string, std::less<>> m_active;
};

} // namespace trefoil
