#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <dispatch/serving_tables.h>

namespace trefoil {

/// Options of long_prompts.
struct long_prompts_options
{
    /// Routes of a service whose target latency is at least this multiple of the shortest one carry
    /// long prompts.
    double minTargetRatio = 1.5;
    /// Prompt tokens that an engine may prefill between two events of a stream: chunks of 1,024
    /// tokens beside each of the 7 tokens of an event.
    double tokensPerEvent = 7 * 1024;
    /// Exponent of the share of its allowed pause that a stream's pause reaches. A lower one makes
    /// long prompts avoid servers where pauses do no harm yet; see docs/design/long-prompts.md.
    double pauseExponent = 3;
    /// Part of the requests on a server for which the delay by a long prompt counts: most have
    /// slack. If all counted, long prompts would leave their cached parts and be late themselves.
    double delayedShare = 0.25;
};

/// What a server has to prefill, and how fast.
struct prefill_load
{
    /// Requests that run or wait at the server.
    int running = 0;
    /// Tokens that these requests have yet to prefill.
    double pendingTokens = 0;
    /// Tokens of the request to place that the server would prefill.
    double ownTokens = 0;
    /// Prefill rate of the server now.
    double tokensPerMs = 0;
};

/// Costs that long prompts and short requests on the same engine have for each other. In effect
/// only for services that have routes whose target latencies differ by minTargetRatio or more; the
/// routes with the longer targets carry long prompts. Not thread-safe.
///
/// Handles engines that prefill long prompts between the events of short answers: when other work
/// slowed them down, 14% of the short requests had a pause beyond their target at usual load,
/// although their first event was early.
class long_prompts
{
public:
    long_prompts() = default;
    explicit long_prompts(const long_prompts_options &options) : m_options(options) { }

    /// Replaces the routes.
    void setRoutes(std::span<const served_route> routes);
    /// Returns whether the costs are in effect for @p service.
    bool isEnabled(std::string_view service) const { return m_services.contains(service); }
    /// Returns the cost in milliseconds, beyond its own expected time, of placing a request of a
    /// route with the target latency @p target on a server with @p load. That of a long prompt is
    /// the time that it delays the requests there; that of another request is the time that
    /// pending prefill delays its events. Each counts by how much of the allowed pause between
    /// events it uses up. 0 if not enabled. Precondition: the prefill rate is positive.
    double costMs(std::string_view service, duration target, const prefill_load &load) const;

private:
    struct service_targets
    {
        /// Shortest target latency of the routes.
        duration shortest {};
        /// Shortest pause between events that the other routes than those with long prompts allow.
        duration pause {};
    };

    bool isLong(duration target, duration shortest) const;

    long_prompts_options m_options;
    std::map<std::string, service_targets, std::less<>> m_services;
};

} // namespace trefoil
