#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include <core/clock.h>

namespace trefoil {

/// A team's voted limit.
struct token_limit
{
    /// Tokens a second.
    double rate = 0;
    /// Tokens that may be admitted at once after a rest.
    double burst = 0;

    bool operator==(const token_limit &) const = default;
};

/// The one bucket of a team. It is exact: however the tokens are taken, granted away and given
/// back, the tokens used in any window of length t are at most burst + rate * t, each counted at
/// the time when its request was admitted.
///
/// How: level <= burst - held at all times, where held is what was granted away and may still be
/// spent. So whatever is outstanding at the start of a window fits into the burst of that window.
/// Tokens given back are returned as if they had never been taken, less what the bucket would have
/// spilled meanwhile.
///
///     token_account account({ .rate = 1000, .burst = 8000 }, now, 8000);
///     if (std::optional<std::uint64_t> id = account.reserve(now, 500))
///         account.settle(later, *id, 120); // 120 of the 500 were not used
///
/// Not thread-safe. Times passed in must not decrease. Operations cost O(log n) plus the number of
/// reservations not settled yet.
class token_account
{
public:
    /// Starts with @p level tokens at @p now.
    token_account(token_limit limit, timestamp now, double level);

    /// @name Taking
    /// @{

    /// Takes @p amount for a request admitted here. Returns its identifier, or nothing when the
    /// bucket holds less.
    std::optional<std::uint64_t> reserve(timestamp now, double amount);
    /// Takes @p amount to be spent elsewhere until @p expiry. Returns its identifier, or nothing
    /// when the bucket holds less or too much is granted away already.
    std::optional<std::uint64_t> grant(timestamp now, double amount, timestamp expiry);
    /// Gives back @p unused tokens of a reservation or grant. None of a grant may be spent after.
    /// An unknown identifier, settled or forgotten before, is ignored.
    void settle(timestamp now, std::uint64_t id, double unused);

    /// @}
    /// @name Changing
    /// @{

    /// Replaces the limit. A lower burst takes effect at once.
    void setLimit(timestamp now, token_limit limit);
    /// Counts as granted away until @p expiry what owners before may have granted. @p quiet tells
    /// that the owner directly before had been the owner for longer than a grant lives, so that
    /// only its grants can be left.
    void holdUnknown(timestamp now, bool quiet, timestamp expiry);

    /// @}
    /// @name Asking
    /// @{

    /// Returns the tokens to be had at @p now.
    double level(timestamp now);
    /// Returns how much may be granted at @p now, whatever the level is.
    double grantRoom(timestamp now);
    /// Returns how long until @p amount could be had if nobody takes any meanwhile; nothing when
    /// it exceeds the burst and never will.
    std::optional<duration> waitFor(timestamp now, double amount);
    /// Returns the limit in force.
    const token_limit &limit() const { return m_limit; }

    /// @}

private:
    /// A taken amount that may still be given back, with the least headroom (burst - held - level)
    /// since it was taken and before the next segment began.
    struct segment
    {
        std::uint64_t id = 0;
        double amount = 0;
        double leastHeadroom = 0;
        timestamp takenAt;
    };
    struct open_grant
    {
        double amount = 0;
        timestamp expiry;
    };

    void advance(timestamp now);
    void refill(timestamp until);
    void noteHeadroom();
    void release(std::uint64_t id, const open_grant &item);
    void appendSegment(std::uint64_t id, double amount, timestamp now);
    void forgetOld(timestamp now);
    double capacity() const { return m_limit.burst - m_held; }

    token_limit m_limit;
    double m_level;
    double m_held = 0;
    std::uint64_t m_unknownHold = 0; // identifier among the grants; 0 for none
    timestamp m_filledAt;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, open_grant> m_grants;
    std::multimap<timestamp, std::uint64_t> m_expiries;
    std::deque<segment> m_segments;
};

/// Shares of the burst that may be granted away at a time. An owner in its normal state grants up
/// to the first. A new owner, which does not know what the one before it granted, counts that much
/// as granted and may itself add up to the second. One that takes over sooner than a grant lives
/// counts the second and grants nothing until it has expired. So at any time no more than the
/// second is outstanding, however fast owners change.
constexpr double maxGrantedShare = 0.5;
constexpr double maxGrantedShareAfterChange = 0.75;

} // namespace trefoil
