#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// Availability zones that the operator has evacuated: their servers get no requests, whatever the
/// load on the others. Not thread-safe.
///
/// Handles a zone that is taken out of service under load, while the remaining servers are too few,
/// and that returns later with servers that have become cold.
class zone_evacuations
{
public:
    /// What a new set of zones changed.
    struct changes
    {
        std::vector<std::string> started;
        std::vector<std::string> ended;
    };

    /// Replaces the set of evacuated zones.
    changes setZones(timestamp now, std::span<const std::string> zones);

    /// Returns whether @p zone is evacuated.
    bool isEvacuated(std::string_view zone) const
    {
        return !m_since.empty() && m_since.contains(zone);
    }
    /// Returns since when each evacuated zone is known to be evacuated.
    const std::map<std::string, timestamp, std::less<>> &zones() const { return m_since; }
    /// Returns the evacuated zones that are not in @p known and that no earlier call has returned
    /// during the same evacuation.
    std::vector<std::string> takeUnknown(const std::set<std::string, std::less<>> &known);

private:
    std::map<std::string, timestamp, std::less<>> m_since;
    /// Unknown zones that takeUnknown() has returned.
    std::set<std::string, std::less<>> m_reported;
};

} // namespace trefoil
