#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <rollout/outcome_statistics.h>
#include <rollout/response_timing.h>
#include <rollout/rollout_controller.h>

namespace trefoil {

/// An operator's request to move a service's traffic to another release.
struct rollout_request
{
    std::string service;
    std::string release;
    /// Time from the request to its deadline.
    duration rampTime {};
    /// Stage that was reported for this request before, if any.
    std::optional<rollout_stage> reported;
};

/// A release that was found to be bad.
struct bad_release
{
    std::string service;
    std::string release;
    /// When the first instance found it to be bad.
    timestamp foundAt;
};

/// Options of release_shares.
struct release_share_options
{
    /// Share of requests that the new release gets until all traffic moves: half of what a bad
    /// release may get in total, since a fault may show late.
    double canaryShare = 0.05;
    /// Fractions of rollout_request::rampTime after which all traffic moves and after which the
    /// move counts as done.
    double moveAt = 0.86;
    double doneAt = 0.95;
    /// Minimum number of requests to the new release of which it is known whether they were slow,
    /// before it gets all traffic. Requests without an answer are no evidence that it is sound.
    std::uint64_t minTimedRequests = 20;
};

/// Splits a service's requests between the old and the new release while traffic moves. Each
/// instance advances the stages by its own clock, from when it first saw the rollout request, and
/// rolls the release back when it has counted enough failures or another instance has. A release
/// that was found to be bad gets no requests, also while a later one is rolled out, until the
/// operator requests it again. Not thread-safe.
class release_shares
{
public:
    explicit release_shares(const release_share_options &options) : m_options(options) { }

    /// Sets the operator's request for a service, or removes it.
    void setRequest(timestamp now, std::string_view service,
                    const std::optional<rollout_request> &request);
    /// Counts what this instance has learnt of a request that it sent.
    void recordOutcome(std::string_view service, std::string_view release, std::string_view route,
                       const outcome_counts &counts);
    /// Adds the times of a successful response to the baseline of @p route, unless @p release is
    /// the one that is being tested.
    void recordTimes(std::string_view service, std::string_view release, std::string_view route,
                     const response_times &times);
    /// Returns the limits above which a response on @p route is slow, or nothing if too few
    /// responses were seen.
    std::optional<response_limits> limits(std::string_view service, std::string_view route) const;
    /// Adds the outcomes that another instance has counted since its last report.
    void add(std::string_view service, std::string_view release, std::string_view route,
             const outcome_counts &counts);
    /// Takes over that another instance has found a release to be bad. Returns whether that is
    /// news.
    bool addBadRelease(const bad_release &found);
    /// Evaluates the outcomes and advances the stages. Returns the services whose stage changed.
    std::vector<std::string> step(timestamp now);

    /// Returns whether a server of @p service that runs @p release may take a request at @p now.
    /// @p bits are random bits of the request that decide which release it goes to.
    bool allows(timestamp now, std::string_view service, std::string_view release,
                std::uint64_t bits) const;
    /// Returns the operator's request for @p service, or nothing if there is none.
    std::optional<rollout_request> request(std::string_view service) const;
    /// Returns the stage of the request for @p service, or nothing if there is no request.
    std::optional<rollout_stage> stage(std::string_view service) const;
    /// Returns the outcomes of @p release of @p service on all routes, from all instances.
    outcome_counts outcomes(std::string_view service, std::string_view release) const;
    /// Returns the release that the requested one is compared with, or "" if none was seen.
    std::string baseline(std::string_view service) const;
    /// Returns why the requested release of @p service was found to be bad; empty if it was not.
    bad_version_verdict verdict(std::string_view service) const;
    /// Returns the releases that were found to be bad, for the other instances.
    std::vector<bad_release> badReleases() const;
    /// Returns the operator's requests for all services.
    std::vector<rollout_request> requests() const;

private:
    struct service_state
    {
        std::optional<rollout_request> request;
        timestamp seenAt;
        rollout_stage stage = rollout_stage::Moving;
        outcome_statistics outcomes;
        bad_version_verdict verdict;
        /// Whether the release was on the way to being found bad at the last step.
        bool isSuspect = false;
        /// Releases that were found to be bad, with the time.
        std::map<std::string, timestamp, std::less<>> badReleases;
        /// When a bad release was last requested again.
        timestamp requestedAgainAt;
        /// Last seen other release, which the new release is compared with.
        std::string baseline;
        /// Times of responses of releases that are not being tested, by route.
        std::map<std::string, response_baseline, std::less<>> times;
    };

    static void rollBack(service_state &state, timestamp foundAt);
    double share(timestamp now, const service_state &state) const;

    release_share_options m_options;
    std::map<std::string, service_state, std::less<>> m_services;
};

} // namespace trefoil
