#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <configuration/tables.h>
#include <control/configuration_store.h>
#include <core/clock.h>
#include <core/digest.h>
#include <delivery/claim.h>
#include <delivery/retry_budget.h>
#include <limits/rate_limiter.h>
#include <rollout/outcome_statistics.h>
#include <rollout/rollout_controller.h>
#include <routing/crash_tracker.h>
#include <routing/placement.h>

namespace trefoil {

/// A caller's request after validation by the request thread, ready for admission and placement.
struct incoming_request
{
    std::uint64_t id = 0;
    /// Empty if the route requires no team.
    std::string team;
    std::string route;
    std::string pool;
    bool idempotent = true;
    /// Tokens to reserve: the prompt plus the maximum length of the answer. 0 for plain services.
    double tokens = 0;
    prefix_chain chain;
    /// Digest of the body. Identifies requests that crash backend servers.
    digest128 body;
    /// Caller's idempotency key; empty if the caller sent none.
    std::string idempotencyKey;
};

/// Reason why an attempt failed.
enum class attempt_failure {
    /// Nothing was sent: the connection was refused or could not be established.
    NotSent,
    /// The server process ended: the connection broke and a new one is refused.
    Crashed,
    /// The answer ended before it was complete.
    Truncated,
    /// The answer was complete but empty.
    Empty,
    Timeout,
    /// The server answered with a status of 500 or above.
    ServerError,
    /// The server ran a request that is not idempotent, or doesn't state that it did not, and
    /// answered with a status that states "not run" to the caller.
    Withheld,
    /// The server rejected the request as overloaded and did not run it.
    Busy
};

/// Returns whether the request certainly did not run in an attempt that failed for reason @p kind.
/// Thread-safe.
bool indicatesNotRun(attempt_failure kind);

/// Reports from the thread that serves request @c id. @{
struct attempt_failure_report
{
    std::uint64_t id = 0;
    attempt_failure kind = attempt_failure::Truncated;
};
struct first_token_report
{
    std::uint64_t id = 0;
    /// Prompt tokens that were served from the cache; negative if the server did not report them.
    double cachedTokens = -1;
};
struct request_end_report
{
    std::uint64_t id = 0;
    double usedTokens = 0;
    /// Whether a backend server answered with a status below 500.
    bool answered = false;
    /// Status, content type and body to record for retries with the same idempotency key. @{
    int status = 0;
    std::string contentType;
    std::string answer;
    /// @}
};
/// @}

/// Decisions for the thread that serves the request. @{

/// Send the request to a backend server.
struct send_decision
{
    std::string server;
    endpoint address;
    std::string version;
    /// Leading prompt blocks that the server is expected to have cached.
    std::size_t estimatedCachedBlocks = 0;
};
/// Refuse the request with an error.
struct refuse_decision
{
    int status = 503;
    /// Machine-readable, for example "over-limit".
    std::string code;
    std::string message;
    /// Whether the request may have run on a backend server.
    bool mayHaveRun = false;
    duration retryAfter {};
    /// Name of the instance to which the caller should turn instead; empty if there is none.
    std::string redirectTo;
};
/// Repeat the answer recorded for the idempotency key.
struct replay_decision
{
    claim_record recorded;
};
struct request_decision
{
    std::uint64_t id = 0;
    std::variant<send_decision, refuse_decision, replay_decision> action;
    /// Time until which the decision may be acted on. A thread that was paused for longer must ask
    /// for a new one.
    timestamp validUntil;
};
/// @}

/// A platform call for the idempotency claim of request @c id.
struct claim_call
{
    enum class operation { Create, Read, Update } kind = operation::Create;
    std::uint64_t id = 0;
    std::string name;
    std::string text;
    /// Version that the stored claim must have for a write.
    std::uint64_t expected = 0;
};

/// A backend server crash to be announced to the other instances.
struct crash_notice
{
    /// Digest of the request body that the server was running.
    digest128 body;
    /// Unique identifier of the crash.
    std::string event;
};

/// Coordinates all requests of one instance from admission to completion: decides on admission,
/// idempotency claims, placement, retries and refusals. A pure state machine. Not thread-safe.
class request_coordinator
{
public:
    /// @p instance and @p incarnation make the identifiers of claims unique. Precondition: @p
    /// limits outlives this object.
    request_coordinator(rate_limiter &limits, std::string instance, std::string zone,
                        std::uint64_t incarnation, std::uint64_t randomSeed);

    /// @name Configuration and fleet
    /// @{

    /// Sets the active configuration.
    void setConfiguration(timestamp now,
                          std::shared_ptr<const configuration_snapshot> configuration);
    /// Sets the state of the rollout of @p pool.
    void setRollout(const std::string &pool, const rollout_record &record);
    /// Sets the version that @p server reported; empty while it loads one.
    void setServerVersion(timestamp now, const std::string &server, const std::string &version);
    /// Sets the load that @p server reported.
    void setServerLoad(timestamp now, const std::string &server, const load_report &report);
    /// Applies a cache event of @p server with the given sequence number.
    void onCacheEvents(timestamp now, const std::string &server, std::uint64_t incarnation,
                       std::uint64_t sequence, std::span<const digest128> stored,
                       std::span<const digest128> evicted);
    /// Records a crash that another instance observed.
    void onRemoteCrash(timestamp now, const crash_notice &notice);
    /// Adds outcomes that another instance counted since its last report.
    void addRemoteOutcomes(const std::string &pool, const std::string &version,
                           const std::string &route, const outcome_counts &counts);

    /// @}
    /// @name Requests
    /// @{

    /// Starts a request; takeDecisions() returns its decision. Precondition: its identifier is not
    /// in use.
    void begin(timestamp now, incoming_request request);
    /// Handles a failed attempt: the next decision is another attempt or a refusal. Unknown
    /// identifiers are ignored, here and below.
    void onFailed(timestamp now, const attempt_failure_report &report);
    /// Handles the first token of the current attempt: its prompt was processed.
    void onFirstToken(timestamp now, const first_token_report &report);
    /// Completes a request: settles its token reservation and records its answer for retries.
    void onEnd(timestamp now, const request_end_report &report);
    /// Handles the outcome of a claim_call that creates or reads a claim.
    void onClaimCreated(timestamp now, std::uint64_t id, const result<std::uint64_t> &outcome);
    void onClaimRead(timestamp now, std::uint64_t id, const result<object> &outcome);
    /// Processes the pending admission decisions of the rate limiter. Must be called after every
    /// call that may have produced one.
    void processAdmissions(timestamp now);

    /// @}
    /// @name Results
    /// @{

    /// Return the decisions, claim calls and crash notices produced since the last call. @{
    std::vector<request_decision> takeDecisions();
    std::vector<claim_call> takeClaimCalls();
    std::vector<crash_notice> takeCrashNotices();
    /// @}

    /// Key of the outcome counts.
    struct outcome_key
    {
        std::string pool;
        std::string version;
        std::string route;

        // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
        auto operator<=>(const outcome_key &) const = default; // NOLINT(modernize-use-nullptr)
    };
    /// Returns the outcomes counted by this instance. Counts never decrease.
    const std::map<outcome_key, outcome_counts> &localOutcomes() const { return m_outcomes; }
    /// Returns the outcomes of @p pool from all instances.
    const outcome_statistics &evidenceFor(const std::string &pool) { return m_evidence[pool]; }
    /// Returns the share of the traffic of @p pool, from 0 to 1, that this instance currently sends
    /// to the new version of its rollout.
    double newVersionShare(const std::string &pool);
    /// Returns the number of requests in progress.
    std::size_t openRequests() const { return m_requests.size(); }

    /// @}

private:
    enum class request_stage { Admission, Claim, Sent };
    struct request_state
    {
        incoming_request request;
        request_stage stage = request_stage::Admission;
        std::optional<claim> idempotencyClaim;
        std::uint64_t claimVersion = 0;
        int attempts = 0;
        std::vector<std::string> failedServers;
        std::optional<placement_choice> choice;
        timestamp sentAt;
        bool hasFirstToken = false;
        bool mayHaveRun = false;
    };

    void onAdmitted(timestamp now, request_state &state);
    void advanceClaim(timestamp now, request_state &state);
    void place(timestamp now, request_state &state);
    void refuse(timestamp now, request_state &state, refuse_decision refusal);
    void refuseAdmission(timestamp now, request_state &state, const admission &decision);
    std::optional<refuse_decision> checkRetry(timestamp now, const request_state &state,
                                              attempt_failure kind);
    void recordOutcome(const request_state &state, bool failed, bool slow);
    std::string targetVersion(const request_state &state);
    request_state *find(std::uint64_t id);
    void updateServers(const std::string &pool);

    rate_limiter &m_limits;
    std::string m_instance;
    std::string m_zone;
    std::uint64_t m_incarnation;
    std::uint64_t m_randomSeed;
    std::uint64_t m_attemptCount = 0; // of all requests
    std::shared_ptr<const configuration_snapshot> m_configuration;
    std::map<std::string, placement, std::less<>> m_pools;
    std::map<std::string, retry_budget, std::less<>> m_budgets;
    std::map<std::string, std::string, std::less<>> m_reportedVersions;
    std::map<std::string, rollout_record, std::less<>> m_rollouts;
    std::map<std::string, outcome_statistics> m_evidence;
    std::map<outcome_key, outcome_counts> m_outcomes;
    crash_tracker m_crashes;
    std::map<std::uint64_t, request_state> m_requests;
    std::vector<request_decision> m_decisions;
    std::vector<claim_call> m_claimCalls;
    std::vector<crash_notice> m_crashNotices;
};

} // namespace trefoil
