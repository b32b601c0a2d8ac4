#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// A request that a server had not begun to answer when it crashed.
struct crash_suspect
{
    /// Identifies the crash: equal for all requests that it ended.
    std::string crash;
    timestamp at;
    /// Identifies the request.
    std::uint64_t request = 0;
    /// Hashes of the parts of its prompt that other requests may share.
    std::vector<std::uint64_t> parts;
};

/// A blocked part and the crashes that speak against it, as instances tell each other.
struct blocked_part
{
    std::uint64_t part = 0;
    std::map<std::string, timestamp, std::less<>> crashes;
};

/// Options of crash_attribution.
struct crash_attribution_options
{
    /// Log-likelihood ratio from which a part is blocked. A part that is not at fault reaches it
    /// by chance once in e^10 (22,000) times.
    double threshold = 10;
    /// Servers that crash within this time of each other may have a common cause: they count as
    /// one crash.
    duration commonCauseTime = std::chrono::milliseconds(50);
    /// How long evidence counts. A part is tried again after that.
    duration lifetime = std::chrono::minutes(10);
    /// Time between requests that test whether a part is at fault when another one explains the
    /// same crashes.
    duration probeInterval = std::chrono::seconds(1);
};

/// Finds the prompt parts that crash each server that begins to answer a request with them, and
/// blocks requests with such a part. The requests differ in all other parts, other requests are in
/// flight on the same servers, and sound requests share the other parts.
///
/// Only requests that a server had not begun to answer are suspects. A part that appears among the
/// suspects of several crashes is blocked if that can't be chance, given its share of the requests
/// that were answered. A request with a part that begins to be answered clears the part. Where two
/// blocked parts were in the same crashes, a request with only one of them is let through now and
/// then: if it is answered, its part is cleared. Not thread-safe.
class crash_attribution
{
public:
    crash_attribution() : crash_attribution(crash_attribution_options {}) { }
    explicit crash_attribution(const crash_attribution_options &options) : m_options(options) { }

    /// Records that a server began at @p at to answer a request with @p parts.
    void recordStart(timestamp at, std::span<const std::uint64_t> parts);
    /// Records a suspect of a crash, seen here or by another instance.
    void recordSuspect(timestamp now, const crash_suspect &suspect);
    /// Blocks a part that another instance has blocked, unless a request with it was answered later
    /// than its last crash.
    void adopt(timestamp now, const blocked_part &blocked);
    /// Records that another instance saw a request with @p part answered at @p at.
    void clear(timestamp at, std::uint64_t part);

    /// Returns the part for which a request with @p parts must not be sent to a server at @p now,
    /// if any. A request that is let through to test a part counts as the test of that part.
    std::optional<std::uint64_t> blockingPart(timestamp now, std::span<const std::uint64_t> parts);

    /// Returns whether a request with @p parts that is waiting for its answer is expected to crash
    /// its server: it has a blocked part, and no other one explains the same crashes.
    bool isExpectedToCrash(std::span<const std::uint64_t> parts) const;

    /// Returns the blocked parts, for other instances and for instances that start.
    std::vector<blocked_part> blockedParts() const;
    /// Returns the parts that were among the suspects of a crash and began to be answered later,
    /// with the time of the last such start seen here.
    std::map<std::uint64_t, timestamp> clearedParts() const;

private:
    struct crash
    {
        timestamp at;
        /// Parts of each suspect, by request.
        std::map<std::uint64_t, std::vector<std::uint64_t>> suspects;
    };
    struct part_history
    {
        /// Answered requests in the current and in the previous count period.
        std::uint64_t starts = 0;
        std::uint64_t previousStarts = 0;
        timestamp lastStart;
    };

    void rotateCounts(timestamp now);
    void expire(timestamp now);
    timestamp lastStartOf(std::uint64_t part) const;
    double shareOfStarts(std::uint64_t part) const;
    double likelihoodRatio(std::uint64_t part) const;
    /// Returns the crashes that speak against @p part.
    std::map<std::string, timestamp, std::less<>> crashesWith(std::uint64_t part) const;
    bool isExplainedByAnother(std::uint64_t part, std::span<const std::uint64_t> parts) const;

    crash_attribution_options m_options;
    std::map<std::string, crash, std::less<>> m_crashes;
    std::map<std::uint64_t, part_history> m_parts;
    std::uint64_t m_starts = 0;
    std::uint64_t m_previousStarts = 0;
    timestamp m_countsSince;
    /// Blocked parts with their crashes.
    std::map<std::uint64_t, std::map<std::string, timestamp, std::less<>>> m_blocked;
    /// When a request was last let through to test a part.
    std::map<std::uint64_t, timestamp> m_probes;
};

} // namespace trefoil
