#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// Part of a request's tokens that was taken from one grant.
struct grant_share
{
    /// Epoch of the owner that issued the grant, and the owner's identifier of the grant.
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double amount = 0;
};

/// Unused tokens of an expired grant, to be returned to the owner that issued it.
struct grant_settlement
{
    std::uint64_t epoch = 0;
    std::uint64_t grant = 0;
    double unused = 0;
};

/// Token grants that an instance received for one team, and the team's recent demand on this
/// instance. Expired grants are never spent. Not thread-safe.
class received_grants
{
public:
    /// Adds a grant that may be spent before @p expiry.
    void add(std::uint64_t epoch, std::uint64_t grant, double amount, timestamp expiry);
    /// Returns the tokens that can be spent at @p now.
    double available(timestamp now) const;
    /// Spends @p amount for one request. Returns the shares taken from each grant, or nothing when
    /// fewer tokens are available.
    std::optional<std::vector<grant_share>> spend(timestamp now, double amount);
    /// Returns @p unused tokens of an ended request that was admitted with @p shares.
    void finish(timestamp now, const std::vector<grant_share> &shares, double unused);
    /// Removes the expired grants without running requests and returns their settlements.
    std::vector<grant_settlement> takeSettled(timestamp now);

    /// Returns whether no grants are held, neither valid nor expired ones.
    bool isEmpty() const { return m_grants.empty(); }

    /// Records a request for @p amount tokens.
    void recordDemand(timestamp now, double amount);
    /// Returns the recent demand in tokens per second.
    double demand(timestamp now) const;

private:
    struct received_grant
    {
        std::uint64_t epoch = 0;
        std::uint64_t id = 0;
        double remaining = 0;
        timestamp expiry;
        /// Requests that spent from this grant and have not ended.
        int runningRequests = 0;
        /// Tokens that ended requests returned after the expiry.
        double returnedLate = 0;
        timestamp lastUse;
    };

    received_grant *find(const grant_share &share);

    std::deque<received_grant> m_grants;
    double m_demand = 0; // tokens per second, exponentially weighted average
    timestamp m_demandAt;
};

} // namespace trefoil
