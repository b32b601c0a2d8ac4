#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include <core/clock.h>

namespace trefoil {

/// Configured token limit of a team.
struct token_limit
{
    /// Tokens per second.
    double rate = 0;
    /// Capacity of the bucket: tokens that may be admitted at once after an idle period.
    double burst = 0;

    bool operator==(const token_limit &) const = default;
};

/// Token bucket of a team, kept by the owner of the team's shard. The limit is exact: for any
/// sequence of reservations, grants and returns, the tokens used in any window of length t are at
/// most burst + rate * t. Tokens count as used when their request was admitted.
///
/// Invariant: level <= burst - granted, where granted is the sum of the grants that other instances
/// may still spend. The tokens outstanding at the start of a window therefore fit into the burst of
/// that window. Returned tokens are added back as if they had never been taken, less the tokens
/// that would have overflowed the bucket in the meantime.
///
///     token_bucket bucket({ .rate = 1000, .burst = 8000 }, now, 8000);
///     if (std::optional<std::uint64_t> id = bucket.reserve(now, 500))
///         bucket.settle(later, *id, 120); // 120 of the 500 were not used
///
/// Not thread-safe. Times passed in must not decrease. Operations cost O(log n) plus the number of
/// unsettled reservations.
class token_bucket
{
public:
    /// Starts with @p level tokens at @p now.
    token_bucket(token_limit limit, timestamp now, double level);

    /// @name Reservations and grants
    /// @{

    /// Takes @p amount for a request admitted here. Returns the identifier of the reservation, or
    /// nothing when the bucket holds less.
    std::optional<std::uint64_t> reserve(timestamp now, double amount);
    /// Takes @p amount for another instance to spend until @p expiry. Returns the identifier of the
    /// grant, or nothing when the bucket holds less or @p amount exceeds grantableTokens().
    std::optional<std::uint64_t> grant(timestamp now, double amount, timestamp expiry);
    /// Returns @p unused tokens of a reservation or grant to the bucket. After this call the grant
    /// must not be spent any more. Unknown identifiers, including those of settled and dropped
    /// reservations, are ignored.
    void settle(timestamp now, std::uint64_t id, double unused);

    /// @}
    /// @name Changes of limit and owner
    /// @{

    /// Replaces the limit. A lower burst takes effect at once.
    void setLimit(timestamp now, token_limit limit);
    /// Reserves until @p expiry the tokens that previous owners may have granted.
    /// @p previousOwnerStable says that the last owner kept the shard for longer than the lifetime
    /// of a grant, so that only grants of that owner can be outstanding.
    void reserveForPriorGrants(timestamp now, bool previousOwnerStable, timestamp expiry);

    /// @}
    /// @name Queries
    /// @{

    /// Returns the tokens available at @p now.
    double level(timestamp now);
    /// Returns how many tokens may be granted at @p now, regardless of the level.
    double grantableTokens(timestamp now);
    /// Returns the time until @p amount is available if no tokens are taken in the meantime, or
    /// nothing when it exceeds the burst.
    std::optional<duration> timeUntilAvailable(timestamp now, double amount);
    /// Returns the current limit.
    const token_limit &limit() const { return m_limit; }

    /// @}

private:
    /// Tokens that were taken and may still be returned, with the minimum headroom
    /// (burst - granted - level) between this reservation and the next one.
    struct reservation
    {
        std::uint64_t id = 0;
        double amount = 0;
        double minHeadroom = 0;
        timestamp takenAt;
    };
    struct open_grant
    {
        double amount = 0;
        timestamp expiry;
    };

    void advance(timestamp now);
    void refill(timestamp until);
    void updateMinHeadroom();
    void removeGrant(std::uint64_t id, const open_grant &grant);
    void addReservation(std::uint64_t id, double amount, timestamp now);
    void dropOldReservations(timestamp now);
    double capacity() const { return m_limit.burst - m_granted; }

    token_limit m_limit;
    double m_level;
    double m_granted = 0;
    std::uint64_t m_priorGrantsId = 0; // key in m_grants, 0 for none
    timestamp m_refilledAt;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, open_grant> m_grants;
    std::multimap<timestamp, std::uint64_t> m_expiries;
    std::deque<reservation> m_reservations;
};

/// Limits on the outstanding grants as shares of the burst. In normal operation an owner grants up
/// to maxGrantedShare. A new owner does not know which grants the previous owner issued: it counts
/// maxGrantedShare as granted and issues grants up to a total of maxGrantedShareAfterChange. If the
/// previous owner had the shard for less than the lifetime of a grant, the new owner counts
/// maxGrantedShareAfterChange as granted and grants nothing until that has expired. Outstanding
/// grants therefore never exceed maxGrantedShareAfterChange, however fast owners change.
constexpr double maxGrantedShare = 0.5;
constexpr double maxGrantedShareAfterChange = 0.75;

} // namespace trefoil
