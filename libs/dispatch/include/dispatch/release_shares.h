#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <rollout/evidence.h>
#include <rollout/rollout_controller.h>

namespace trefoil {

/// A move of a service's traffic to another release that the operator asks for.
struct rollout_request
{
    std::string service;
    std::string release;
    /// Time from the request to its deadline.
    duration time {};
    /// Stage that was reported before, where there is one.
    std::optional<rollout_stage> reported;
};

/// Options of the shares.
struct release_share_options
{
    /// Share of the new release until shortly before its deadline: half of what a bad release may
    /// get of all requests, since a fault may show late.
    double trialShare = 0.05;
    /// Part of the time after which all traffic moves, and after which the move counts as done.
    double moveAt = 0.86;
    double doneAt = 0.95;
    /// Requests on the new release without which it isn't trusted with all traffic.
    std::uint64_t leastRequests = 20;
};

/// Which release of a service a request goes to while traffic moves. Each instance steps by its own
/// clock from when it saw the request; evidence against the release stops it on any instance that
/// has it. Not thread-safe.
class release_shares
{
public:
    explicit release_shares(const release_share_options &options) : m_options(options) { }

    /// Takes the operator's request for a service, or that there is none.
    void setRequest(timestamp now, std::string_view service,
                    const std::optional<rollout_request> &request);
    /// Notes the outcome of a request; @p bits of the request decide its share.
    void note(std::string_view service, std::string_view release, std::string_view route,
              bool failed, bool slow);
    /// Adds outcomes that another instance counted since its last report.
    void add(std::string_view service, std::string_view release, std::string_view route,
             const outcome_counts &counts);
    /// Judges the evidence and steps the stages. Returns the services whose stage changed.
    std::vector<std::string> step(timestamp now);

    /// Returns whether a server of @p service with @p release may take the request with random
    /// @p bits now.
    bool allows(timestamp now, std::string_view service, std::string_view release,
                std::uint64_t bits) const;
    /// Returns the request and the stage of @p service, or nothing where none is known.
    std::optional<rollout_request> request(std::string_view service) const;
    std::optional<rollout_stage> stage(std::string_view service) const;
    /// Returns all requests.
    std::vector<rollout_request> requests() const;

private:
    struct service_state
    {
        std::optional<rollout_request> request;
        timestamp seenAt;
        rollout_stage stage = rollout_stage::Moving;
        evidence outcomes;
        /// Another release that served requests: what the new one is compared with.
        std::string baseline;
    };

    double share(timestamp now, const service_state &state) const;

    release_share_options m_options;
    std::map<std::string, service_state, std::less<>> m_services;
};

} // namespace trefoil
