#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// A part of a request's reservation taken from one grant.
struct grant_share
{
    /// Epoch of the owner that issued the grant, and the grant's number with that owner.
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double amount = 0;
};

/// Tokens of a finished grant to be given back to its owner.
struct grant_settlement
{
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double unused = 0;
};

/// What an instance was granted of one team's tokens, and its demand for them. Only unexpired
/// grants are spent. Not thread-safe.
class grant_wallet
{
public:
    /// Adds a grant that may be spent before @p expiry.
    void add(std::uint64_t epoch, std::uint64_t grant, double amount, timestamp expiry);
    /// Returns the tokens that could be spent at @p now.
    double available(timestamp now) const;
    /// Spends @p amount for one request. Returns the shares, or nothing when fewer are available.
    std::optional<std::vector<grant_share>> spend(timestamp now, double amount);
    /// Gives back @p unused tokens of a request admitted with @p shares, which has ended.
    void finish(timestamp now, const std::vector<grant_share> &shares, double unused);
    /// Returns the grants that nobody spends from any more, and forgets them.
    std::vector<grant_settlement> takeSettled(timestamp now);

    /// Returns whether no grant is open.
    bool isEmpty() const { return m_grants.empty(); }

    /// Notes that a request wanted @p amount.
    void noteDemand(timestamp now, double amount);
    /// Returns the recent demand in tokens a second.
    double demand(timestamp now) const;

private:
    struct open_grant
    {
        std::uint64_t epoch = 0;
        std::uint64_t id = 0;
        double left = 0;
        timestamp expiry;
        /// Requests admitted from it and not finished.
        int running = 0;
        /// Tokens given back by finished requests after the expiry.
        double returned = 0;
        timestamp lastUse;
    };

    open_grant *find(const grant_share &share);

    std::deque<open_grant> m_grants;
    double m_demand = 0; // exponentially weighted, tokens a second
    timestamp m_demandAt;
};

} // namespace trefoil
