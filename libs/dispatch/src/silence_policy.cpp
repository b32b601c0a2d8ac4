#include <dispatch/silence_policy.h>

#include <algorithm>

namespace trefoil {

namespace {

/// Multiples of the expected time after which a silent server is suspect, and is abandoned.
constexpr int suspectFactor = 4;
constexpr int abandonFactor = 6;
constexpr duration minSuspectTime = std::chrono::milliseconds(700);
/// Minimum silence before a repeatable request is retried on another server.
constexpr duration minRetrySilence = std::chrono::milliseconds(250);
/// Minimum silence before a stream is resumed on another server.
constexpr duration minResumeSilence = std::chrono::milliseconds(1400);
/// Share of the caller's patience after which a stream is resumed elsewhere. The rest is for the
/// other server.
constexpr double resumeShare = 0.6;
/// A stream without progress ends this long after its caller should have disconnected.
constexpr duration patienceMargin = std::chrono::milliseconds(500);

duration scaled(duration time, double factor) { return fromSeconds(toSeconds(time) * factor); }

} // namespace

silence_limits silenceLimits(const silence_facts &facts)
{
    silence_limits limits {.suspectAfter =
                               std::max<duration>(minSuspectTime, facts.expected * suspectFactor)};
    if (!facts.hasEvents)
        limits.suspectAfter = std::max(limits.suspectAfter, facts.expectedUncached);
    if (!facts.isStream) {
        if (facts.canRetry) {
            limits.abandonAfter =
                std::max<duration>(minRetrySilence, facts.expected * abandonFactor);
            limits.abandonUnreachableAfter = minRetrySilence;
        }
        return limits;
    }
    const duration resumeAfter =
        std::max(minResumeSilence, scaled(facts.callerPatience, resumeShare));
    limits.abandonAfter = facts.callerPatience + patienceMargin;
    limits.abandonUnreachableAfter = resumeAfter;
    if (facts.canRetry) {
        limits.abandonAfter = resumeAfter;
        if (!facts.hasEvents)
            limits.abandonAfter = std::max<duration>(resumeAfter, facts.expected * 2);
        limits.abandonUnreachableAfter = minRetrySilence;
    }
    return limits;
}

} // namespace trefoil
