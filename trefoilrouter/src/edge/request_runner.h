#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <adapter/headers.h>
#include <core/digest.h>
#include <dispatch/request_terms.h>
#include <dispatch/silence_policy.h>
#include <http/byte_stream.h>
#include <http/message.h>
#include <http/response_body.h>
#include <http/sse_framer.h>
#include <http/stream_progress.h>
#include <rollout/response_timing.h>

#include "edge/caller_response.h"
#include "edge/edge_state.h"
#include "edge/request_admission.h"
#include "edge/server_connection_pool.h"

namespace trefoil {

/// A caller's complete request.
struct caller_request
{
    request_head head;
    std::string body;
    /// When the head was complete; the caller's timeout counts from here.
    timestamp receivedAt;
};

/// Serves one request of a caller: routes it, checks API key and rate limit, places it on a backend
/// server and forwards the answer as it arrives. Retries on another server only if the request did
/// not run or may be repeated. Not thread-safe.
class request_runner
{
public:
    /// Precondition: all arguments outlive this object. With @p closesConnection the connection to
    /// the caller ends after the answer.
    request_runner(edge_state &state, server_connection_pool &connections, byte_stream &caller,
                   const caller_request &request, bool closesConnection);

    /// Serves the request. Returns whether the connection may carry another request.
    bool run();

private:
    /// Lowest status of an answer that is no success, and of one that is the server's failure.
    static constexpr int firstRedirect = 300;
    static constexpr int firstServerFailure = 500;

    /// How an attempt at a backend server ended.
    enum class attempt_end {
        /// The complete answer was written to the caller.
        Delivered,
        /// The server stated that it did not run the request, or it received nothing.
        NotRun,
        /// The server answered a repeatable request with an error, which m_answer holds.
        Failed,
        /// The server ran a request that is not repeatable and answered with a status that states
        /// "not run" to the caller.
        Withheld,
        /// The connection to the server broke, stayed silent too long or carried no valid answer.
        Broken,
        /// The caller closed its connection before the answer.
        CallerLeft,
        TimedOut,
        /// Writing to the caller failed.
        CallerBroken,
        /// The terms of the attempt changed before the request was sent.
        Outdated
    };

    /// State of one attempt at a backend server.
    struct attempt
    {
        server_placement placed;
        std::uint64_t ticket = 0;
        std::optional<byte_stream> stream;
        /// Name of the connection in the pool.
        std::string connectionName;
        response_head head;
        server_answer_fields fields;
        body_framing framing;
        /// Whether the whole request was written. A server may answer and close before that.
        bool isRequestWritten = false;
        bool wasSent = false;
        /// Whether the connection carried other requests before.
        bool isReused = false;
        bool hasEvents = false;
        /// Whether the head of an answer that is no event stream has arrived.
        bool isAnswered = false;
        /// Whether the attempt was given up since it is expected to crash the server, or since the
        /// server's weights would be too old for it.
        bool isWithdrawn = false;
        /// Whether the request's retry on another server was taken from the budget already.
        bool isRetryTaken = false;
        /// Whether it was logged that the attempt goes on because no other server takes the
        /// request.
        bool isKeptLogged = false;
        /// Why the router ended the attempt while its connection was open, for the log.
        const char *abandonedFor = "";
        /// Whether the attempt is included in m_runs: the server may have started the request.
        bool isCounted = false;
        timestamp sentAt;
        /// Set when the request is sent.
        std::optional<response_timer> timer;
        /// Whether it was recorded that the response is slow or on time.
        bool isSpeedRecorded = false;
        /// End of the time in which the rest of an answer is read that is not passed on.
        timestamp readUntil = timestamp::max();
        /// When the request was sent, the last complete event or the last part of a buffered body
        /// arrived.
        timestamp progressAt;
    };

    struct refusal
    {
        int status = 0;
        const char *reason = "";
        std::optional<duration> retryAfter;
    };

    std::optional<refusal> admit();
    /// Returns the refusal of a request that the configuration doesn't allow: @p status, which is
    /// final for the caller, or "try again" while a newer configuration may be in force.
    refusal configurationRefusal(int status, const char *reason) const;
    std::optional<refusal> checkLimit(timestamp now);
    std::optional<refusal> checkPrompt(timestamp now);
    void chooseService();
    std::optional<refusal> serve();
    /// Waits a little for room at brittle servers. Returns false if the caller has left.
    bool waitForRoom();
    std::optional<refusal> finalRefusal(attempt_end end) const;
    std::optional<refusal> unplacedRefusal(const std::optional<server_placement> &best) const;
    /// Ends the request without a further attempt: with the failure that a server answered, if the
    /// caller has received nothing yet, else with @p refused.
    std::optional<refusal> giveUp(const std::optional<refusal> &refused);
    std::optional<server_placement> choosePlacement(timestamp now);
    /// Returns the server of least cost that may take the request and was not tried.
    std::optional<server_placement> findServer(timestamp now, routing_state &routing);
    /// Returns the terms of an attempt that starts at @p now.
    attempt_terms termsInForce(timestamp now) const;
    request_admission::subject admissionSubject() const;
    /// Returns the urgency that servers and the admission are told; 0 is the most urgent.
    int rank() const;
    bool mustRefuse(timestamp now, const server_placement &placed) const;
    /// Returns whether the request would probably time out in the queue of @p placed.
    bool isTooSlow(timestamp now, const server_placement &placed) const;
    bool mayRetryElsewhere(attempt_end end, const attempt &last);

    attempt_end runAttempt(attempt &current);
    attempt_end send(attempt &current);
    /// Takes or opens a connection to the server of @p current, through another instance if this
    /// one is cut off from the servers and another takes it.
    result<server_connection_pool::pooled_connection> connect(timestamp now, attempt &current);
    /// Takes a connection called @p name from the pool or opens one with @p open.
    result<server_connection_pool::pooled_connection>
    acquire(std::string_view name, const std::function<result<byte_stream>()> &open);
    /// Returns whether a connection may carry other requests beside this one. A late answer can be
    /// read only by the method of its own request, which it doesn't tell: one to HEAD has no body.
    bool mayShareConnection() const { return m_request.head.method != "HEAD"; }
    /// Returns whether the attempt must not be sent since a zone that it uses has been evacuated.
    bool usesEvacuatedZone(const attempt &current);
    attempt_end readHead(attempt &current);
    attempt_end handleRejection(attempt &current);
    /// Drops the answer of @p current, whose status states "not run" although the server doesn't.
    attempt_end withhold(attempt &current);
    /// Reads the rest of an answer that is not passed on, so that its connection can be used again.
    /// Gives up after a short time.
    void discardBody(attempt &current);
    /// Reads until @p body is whole.
    attempt_end readBody(attempt &current, response_body &body);
    /// Waits for more of @p body, unless it is whole. Returns Delivered if there may be more to
    /// decode.
    attempt_end awaitBody(attempt &current, response_body &body);
    attempt_end forwardBuffered(attempt &current);
    attempt_end forwardStream(attempt &current);
    /// Records what the server stated about itself in the head of its answer.
    void recordStatement(const attempt &current);
    void countRun(attempt &current);
    /// Records that the server began to answer: its first event, or a complete answer.
    void recordStart(attempt &current);
    /// Returns the time from which the request must not start on the weights of @p placed, or
    /// nothing if these are not outdated.
    std::optional<timestamp> weightsLimit(const server_placement &placed) const;
    void recordEvents(attempt &current, std::string_view events);
    silence_limits silenceLimitsOf(const attempt &current, bool canRetry) const;
    /// Returns whether the attempt ends because its server has been silent for too long. If another
    /// server takes the request, it ends sooner and its retry has been taken from the budget.
    bool mustAbandon(timestamp now, attempt &current);
    /// Takes a retry from the budget for @p current, whose server is silent. Returns why that isn't
    /// possible, or "".
    std::string_view takeRetry(timestamp now, attempt &current);
    windowed_retry_budget &retryBudget(routing_state &routing) const;
    /// Returns the time by which the request must have started at @p placed, or nothing if the
    /// weights there are not outdated. It is before weightsLimit().
    std::optional<timestamp> latestStart(const server_placement &placed) const;
    /// Returns whether the attempt may end because its server hasn't started the request.
    bool mayWithdraw(const attempt &current) const;
    /// Returns why the attempt must end although its server may still answer, or "".
    /// @p startBy is the time at which a request that hasn't started is withdrawn, if any.
    const char *withdrawalCause(timestamp now, const attempt &current,
                                std::optional<timestamp> startBy);
    read_outcome waitForBytes(attempt &current);
    /// Maps a read outcome other than Bytes to the end of the attempt.
    static attempt_end attemptEndOf(read_outcome outcome);
    void returnConnection(attempt &current);
    void finish(attempt &current, attempt_end end);
    void recordCrash(const attempt &current);
    /// Returns whether a server other than that of @p current accepts connections, or no other is
    /// listed. If none does, the server of @p current needn't have crashed: this instance may be
    /// cut off.
    bool reachesOtherServer(const attempt &current);
    /// Records whether the response is slow, as soon as that is known.
    void recordSpeed(timestamp now, attempt &current);
    void recordReleaseEnd(const attempt &current, attempt_end end);
    void recordReleaseOutcome(const attempt &current, const outcome_counts &counts);
    response_limits responseLimits(const server_placement &placed) const;

    void writeRefusal(const refusal &refused);
    /// Ends a request whose caller has left.
    void endAbandoned();
    /// Gives back what the request was charged against its team's limit.
    void refundLimit();
    bool writeAnswer();
    request_profile requestProfile() const;
    /// Returns whether the route allows a further run after @p current.
    bool mayRunAgain(const attempt &current) const;
    bool mayRepeat() const { return m_admitted.route->mayRepeat(); }
    void logUnplaced(timestamp now, const std::optional<server_placement> &best) const;
    void logPlaced(const attempt &current) const;
    void logNotAllowed(timestamp now, int status, std::string_view reason) const;
    void logKept(const attempt &current, std::string_view obstacle) const;
    /// Logs and counts that the stream of @p current started @p lateBy after the limit of the
    /// server's weights.
    void logLateStart(const attempt &current, duration lateBy) const;
    void logAttemptEnd(const attempt &current, attempt_end end) const;
    /// Logs that an answer of another request, which @p current holds, is skipped.
    void logSkipped(const attempt &current) const;
    /// Logs that the first of @p events isn't passed on, since it doesn't follow the last one.
    void logOutOfOrder(const attempt &current, std::string_view events) const;
    void logBrokenOff(const attempt &current, const response_body &body, const char *reason) const;
    void logEnd(std::string_view outcome, int status) const;

    edge_state &m_state;
    server_connection_pool &m_connections;
    const caller_request &m_request;
    /// What is held of the answer of the last attempt, and of m_answer.
    std::optional<byte_budget::share> m_held;
    caller_response m_response;

    request_admission m_admission;
    /// Whether m_admission decided about the last choice of a server.
    bool m_isAdmissionDecided = false;
    admitted_terms m_admitted;
    /// Terms of the current attempt.
    attempt_terms m_terms;
    caller_fields m_fields;
    double m_limitCost = 0;
    /// When the team's limit was charged with the cost.
    timestamp m_limitChargedAt;
    timestamp m_deadline;
    digest128 m_bodyDigest;
    /// Hashes of the prompt's parts but the last, which belongs to this request alone.
    std::vector<std::uint64_t> m_sharedParts;
    std::vector<std::string> m_triedServers;
    std::vector<std::string> m_excludedReleases;
    /// Whether the last choice found only servers that are brittle and full.
    bool m_isHeldBack = false;
    /// How long all servers that may take the request are at their limits, if they are.
    std::optional<duration> m_limitedFor;
    /// Whether any server was sent the request.
    bool m_wasSent = false;
    /// Attempts in which a server may have started the request.
    int m_runs = 0;
    /// How far the caller has received a stream.
    stream_progress m_progress;
    /// Complete answer of a server. An error is forwarded only if no other server answers the
    /// request.
    std::optional<std::pair<response_head, std::string>> m_answer;
    int m_status = 0;
};

} // namespace trefoil
