#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// Detects requests that crash backend servers. A request that was in flight during two crashes is
/// refused, whoever sends it again, until its record expires. Not thread-safe.
class crash_tracker
{
public:
    /// Number of crashes after which a request is refused.
    static constexpr std::size_t crashLimit = 2;

    /// Records that a server crashed while the request with @p requestDigest ran on it. @p crashId
    /// identifies the crash: a crash reported twice counts once.
    void recordCrash(timestamp now, digest128 requestDigest, const std::string &crashId);
    /// Returns whether the request with @p requestDigest is refused at @p now.
    bool isRefused(timestamp now, digest128 requestDigest) const;
    /// Returns the number of requests recorded, including expired ones not yet removed.
    std::size_t size() const { return m_records.size(); }

private:
    struct crash_record
    {
        std::set<std::string> crashIds;
        timestamp lastCrash;
    };

    std::map<digest128, crash_record> m_records;
};

} // namespace trefoil
