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
#include <rollout/evidence.h>
#include <rollout/rollout_controller.h>
#include <routing/crash_ledger.h>
#include <routing/placement.h>

namespace trefoil {

/// A caller's request, checked by a traffic thread and ready to be admitted and placed.
struct traffic_begin
{
    std::uint64_t id = 0;
    /// Empty on an open route.
    std::string team;
    std::string route;
    std::string pool;
    bool idempotent = true;
    /// Tokens to reserve: the prompt and the most that the answer may have. 0 on plain services.
    double tokens = 0;
    prefix_chain chain;
    /// Digest of the body, to recognise a request that crashes servers.
    digest128 body;
    /// Caller's idempotency key; empty where it gave none.
    std::string idempotencyKey;
};

/// How an attempt failed.
enum class attempt_failure {
    /// No byte left: the connection was refused or could not be made.
    NotSent,
    /// The server's process is gone: the connection broke and a new one is refused.
    Crashed,
    /// The answer stopped before its end.
    Cut,
    /// The answer was complete but empty.
    Empty,
    Timeout,
    /// The server answered with a status of 500 or above.
    ServerError,
    /// The server said that it is too busy: it did not run the request.
    Busy
};

/// Reports from the traffic thread that serves request @c id. @{
struct traffic_failed
{
    std::uint64_t id = 0;
    attempt_failure kind = attempt_failure::Cut;
};
struct traffic_first_token
{
    std::uint64_t id = 0;
    /// Prompt tokens that had been cached; negative where the server did not say.
    double cachedTokens = -1;
};
struct traffic_end
{
    std::uint64_t id = 0;
    double usedTokens = 0;
    /// Whether an answer was had from the server, of whatever status below 500.
    bool answered = false;
    /// For a claimed request: what to give to its repeats.
    int status = 0;
    std::string contentType;
    std::string answer;
};
/// @}

/// Decisions for the traffic thread. @{
struct traffic_go
{
    std::string server;
    endpoint address;
    std::string version;
    /// Names the attempt; unique among all of this instance.
    std::uint64_t attempt = 0;
    std::size_t believedBlocks = 0;
};
struct traffic_refuse
{
    int status = 503;
    /// Machine-readable, for example "over-limit".
    std::string code;
    std::string message;
    /// Whether the request may have run on a backend server.
    bool mayHaveRun = false;
    duration retryAfter {};
    /// Name of the instance that can serve the request instead; may be empty.
    std::string elsewhere;
};
struct traffic_replay
{
    claim_record recorded;
};
struct traffic_decision
{
    std::uint64_t id = 0;
    std::variant<traffic_go, traffic_refuse, traffic_replay> what;
    /// Until when the admission may be acted on; a traffic thread paused past it asks anew.
    timestamp validUntil;
};
/// @}

/// A call to the platform on behalf of a request's claim.
struct claim_call
{
    enum class operation { Create, Read, Answer } kind = operation::Create;
    std::uint64_t id = 0;
    std::string name;
    std::string text;
    std::uint64_t expected = 0;
};

/// A crash to be told to the other instances.
struct crash_notice
{
    digest128 body;
    std::string event;
};

/// All requests of one instance from their admission to their end: a pure state machine. It decides
/// on admission, claims, placement, retries and refusals. Not thread-safe.
class traffic_desk
{
public:
    /// Precondition: @p limits outlives this object. @p instance and @p incarnation make claims
    /// unique.
    traffic_desk(rate_limiter &limits, std::string instance, std::string zone,
                 std::uint64_t incarnation, std::uint64_t randomSeed);

    /// @name Configuration and fleet
    /// @{

    /// Takes the configuration in force.
    void setConfiguration(timestamp now, std::shared_ptr<const configuration_view> view);
    /// Takes the state of a pool's rollout.
    void setRollout(const std::string &pool, const rollout_record &record);
    /// Replaces the version that @p server runs, as it reported itself; empty while it loads.
    void noteServerVersion(timestamp now, const std::string &server, const std::string &version);
    /// Takes a server's load.
    void noteLoad(timestamp now, const std::string &server, const load_report &report);
    /// Takes a server's cache events.
    void noteEvents(timestamp now, const std::string &server, std::uint64_t incarnation,
                    std::uint64_t sequence, std::span<const digest128> stored,
                    std::span<const digest128> evicted);
    /// Notes a crash that another instance saw.
    void noteCrash(timestamp now, const crash_notice &notice);
    /// Adds outcomes that another instance counted.
    void addEvidence(const std::string &pool, const std::string &version, const std::string &route,
                     const outcome_counts &counts);

    /// @}
    /// @name Requests
    /// @{

    /// Takes a new request; its decision comes from takeDecisions(). Precondition: its number is
    /// not in use.
    void begin(timestamp now, traffic_begin request);
    /// Takes a failed attempt: the next decision is another attempt or a refusal. Unknown numbers
    /// are ignored, here and below.
    void onFailed(timestamp now, const traffic_failed &report);
    /// Takes the first token of the current attempt: its prompt is computed.
    void onFirstToken(timestamp now, const traffic_first_token &report);
    /// Takes the end of a request: its tokens are settled and its answer recorded for repeats.
    void onEnd(timestamp now, const traffic_end &report);
    /// Takes the outcome of a claim_call that creates or reads.
    void onClaimCreated(timestamp now, std::uint64_t id, const result<std::uint64_t> &outcome);
    void onClaimRead(timestamp now, std::uint64_t id, const result<object> &outcome);
    /// Acts on the decisions of the limit node. Call after anything that may have made some.
    void serveAdmissions(timestamp now);

    /// @}
    /// @name Results
    /// @{

    /// Returns the decisions made since the last call; so do the next two for their kinds.
    std::vector<traffic_decision> takeDecisions();
    std::vector<claim_call> takeClaimCalls();
    std::vector<crash_notice> takeCrashes();
    /// Outcomes of this instance by pool, version and route; counts only grow.
    struct evidence_key
    {
        std::string pool;
        std::string version;
        std::string route;

        // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
        auto operator<=>(const evidence_key &) const = default; // NOLINT(modernize-use-nullptr)
    };
    const std::map<evidence_key, outcome_counts> &ownOutcomes() const { return m_outcomes; }
    /// Evidence on @p pool from all instances.
    const evidence &evidenceOf(const std::string &pool) { return m_evidence[pool]; }
    /// Share of @p pool's traffic that goes to its rollout's new version here and now.
    double shareOf(const std::string &pool);
    /// Number of requests not ended.
    std::size_t open() const { return m_requests.size(); }

    /// @}

private:
    enum class stage { Admission, Claim, Sent };
    struct request_state
    {
        traffic_begin begin;
        stage at = stage::Admission;
        std::optional<claim> once;
        std::uint64_t claimVersion = 0;
        int attempts = 0;
        std::vector<std::string> failedServers;
        std::optional<placement_choice> choice;
        timestamp sentAt;
        bool firstToken = false;
        bool mayHaveRun = false;
    };

    void afterAdmission(timestamp now, request_state &state);
    void stepClaim(timestamp now, request_state &state);
    void place(timestamp now, request_state &state);
    void refuse(timestamp now, request_state &state, traffic_refuse refusal);
    void refuseAdmission(timestamp now, request_state &state, const admission &decision);
    std::optional<traffic_refuse> refuseRetry(timestamp now, const request_state &state,
                                              attempt_failure kind);
    void noteOutcome(const request_state &state, bool failed, bool slow);
    std::string wantedVersion(const request_state &state);
    request_state *find(std::uint64_t id);
    void updateServers(const std::string &pool);

    rate_limiter &m_limits;
    std::string m_instance;
    std::string m_zone;
    std::uint64_t m_incarnation;
    std::uint64_t m_randomSeed;
    std::uint64_t m_nextAttempt = 1;
    std::shared_ptr<const configuration_view> m_view;
    std::map<std::string, placement, std::less<>> m_pools;
    std::map<std::string, retry_budget, std::less<>> m_budgets;
    std::map<std::string, std::string, std::less<>> m_reportedVersions;
    std::map<std::string, rollout_record, std::less<>> m_rollouts;
    std::map<std::string, evidence> m_evidence;
    std::map<evidence_key, outcome_counts> m_outcomes;
    crash_ledger m_crashes;
    std::map<std::uint64_t, request_state> m_requests;
    std::vector<traffic_decision> m_decisions;
    std::vector<claim_call> m_claimCalls;
    std::vector<crash_notice> m_crashNotices;
};

} // namespace trefoil
