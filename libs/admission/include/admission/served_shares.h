#pragma once

#include <cstdint>
#include <unordered_map>

#include <core/clock.h>

namespace trefoil {

/// Number of requests of one kind, and of those admitted. Older requests count exponentially less.
struct served_count
{
    double asked = 0;
    double admitted = 0;
    timestamp at;

    /// Returns the count as it weighs at @p now.
    served_count agedTo(timestamp now) const;
    /// Returns the share of the requests that was admitted, as if some more requests had been
    /// admitted at the share @p assumed, so that a kind with few requests is not judged by chance.
    double share(double assumed) const;
};

/// Share of the requests that was admitted lately, by kind. Kinds are named by hashes. Not
/// thread-safe.
class served_shares
{
public:
    /// Records a request of @p kind.
    void recordAsked(timestamp now, std::uint64_t kind);
    /// Records that a request of @p kind was admitted. Ignored if the kind has been forgotten.
    void recordAdmitted(timestamp now, std::uint64_t kind);
    /// Returns the share of @p kind; @p assumed if no request is known.
    double share(timestamp now, std::uint64_t kind, double assumed) const;

private:
    std::unordered_map<std::uint64_t, served_count> m_kinds;
};

} // namespace trefoil
