#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// A request that is refused and the crashes that speak against it, as instances tell each other.
struct refused_request
{
    digest128 request;
    std::map<std::string, timestamp, std::less<>> crashes;
};

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
    /// Takes over what another instance knows of a request.
    void adopt(timestamp now, const refused_request &refused);
    /// Returns the refused requests with the newest crashes, at most @p maxCount, for other
    /// instances and for instances that start.
    std::vector<refused_request> refusedRequests(timestamp now, std::size_t maxCount) const;
    /// Returns whether the request with @p requestDigest is refused at @p now.
    bool isRefused(timestamp now, digest128 requestDigest) const;
    /// Returns the number of requests recorded, including expired ones not yet removed.
    std::size_t size() const { return m_records.size(); }

private:
    struct crash_record
    {
        /// Times of the crashes by their ids.
        std::map<std::string, timestamp, std::less<>> crashes;
        timestamp lastCrash;
    };

    static bool isRefused(timestamp now, const crash_record &record);
    void expire(timestamp now);
    void add(digest128 requestDigest, const std::string &crashId, timestamp at);

    std::map<digest128, crash_record> m_records;
};

} // namespace trefoil
