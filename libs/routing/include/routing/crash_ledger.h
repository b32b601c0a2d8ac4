#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// Crashes of backend servers by the request that ran on them. A request that was in flight on two
/// servers when they crashed is refused from then on, whoever sends it again. Not thread-safe.
class crash_ledger
{
public:
    /// Crashes after which a request is refused.
    static constexpr std::size_t crashesToRefuse = 2;

    /// Notes that a server crashed while the request with digest @p body ran on it. @p event
    /// identifies the crash, so that hearing of it twice counts once.
    void note(timestamp now, digest128 body, const std::string &event);
    /// Returns whether the request with digest @p body is refused at @p now.
    bool isRefused(timestamp now, digest128 body) const;
    /// Returns the number of requests remembered.
    std::size_t size() const { return m_suspects.size(); }

private:
    struct suspect
    {
        std::set<std::string> events;
        timestamp lastCrash;
    };

    std::map<digest128, suspect> m_suspects;
};

} // namespace trefoil
