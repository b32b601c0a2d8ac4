// Sends a request to a backend server and passes its answer on.

#include <algorithm>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/headers.h>
#include <delivery/not_run_status.h>
#include <http/response_head_reader.h>
#include <telemetry/event_log.h>

#include "edge/request_runner.h"
#include "edge/server_relay.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Connect timeout for a backend server: thirty times the network latency between zones.
constexpr duration connectTimeout = std::chrono::milliseconds(300);
/// Other instances through which a connection to one server is tried.
constexpr std::size_t maxRelays = 2;
/// Longest idle time of a connection that may carry a non-repeatable request: after a reset it
/// would be unknown whether the request ran.
constexpr duration maxIdleNonRepeatable = std::chrono::milliseconds(800);
/// Longest idle time of a connection for repeatable requests.
constexpr duration maxIdleRepeatable = std::chrono::seconds(4);
/// How long an idle connection is kept to a server that doesn't announce its timeout: half of the
/// shortest usual timeout.
constexpr duration defaultIdleTimeout = std::chrono::seconds(4);
/// Interval at which a request that waits for its server checks whether to go on waiting.
constexpr duration silenceCheckInterval = std::chrono::milliseconds(200);
/// Limit on the head of an answer.
constexpr std::size_t maxHeadBytes = 16 * 1024;
/// Limit on one event of a stream.
constexpr std::size_t maxEventBytes = 1u << 20;
/// Limits on the body of an answer that is not passed on, after which its connection is closed
/// instead.
constexpr std::size_t maxUnusedBytes = 64 * 1024;
constexpr duration maxUnusedTime = std::chrono::milliseconds(200);
/// A longer body is not copied to be written together with its head.
constexpr std::size_t maxCopiedBytes = 64 * 1024;
/// Time without requests for a server that rejected one. An engine is full or loads weights, which
/// takes more than a second; another server is full for about the time of one request.
constexpr duration engineRejectionPause = std::chrono::milliseconds(900);
constexpr duration plainRejectionPause = std::chrono::milliseconds(40);

} // namespace

request_runner::attempt_end request_runner::runAttempt(attempt &current)
{
    const timestamp now = boot_clock::now();
    current.ticket = m_state.with([&](routing_state &routing) {
        return routing.balancer.begin(now, current.placed, requestProfile());
    });
    logPlaced(current);
    m_held.emplace(m_state.readBudget());
    attempt_end end = send(current);
    if (end != attempt_end::Delivered)
        return end;
    end = readHead(current);
    if (end != attempt_end::Delivered)
        return end;
    // It may be an answer to an earlier request that the server has written once more.
    if (current.isReused && current.fields.requestId.empty()) {
        countRun(current);
        return attempt_end::Broken;
    }
    const bool isEventStream =
        current.head.headers.value("Content-Type").starts_with("text/event-stream");
    current.isAnswered = !isEventStream;
    m_state.with([&](routing_state &routing) {
        if (current.fields.weights)
            routing.balancer.onWeightsObserved(boot_clock::now(), current.placed.server,
                                               m_fields.model, *current.fields.weights);
        if (current.fields.running)
            routing.balancer.onLoadReported(boot_clock::now(), current.placed.server,
                                            *current.fields.running, current.fields.waiting);
        if (current.fields.pace && !current.fields.isMisdirected)
            routing.balancer.onPaceReported(boot_clock::now(), current.placed.server,
                                            *current.fields.pace);
    });
    if (current.fields.pace)
        m_state.metrics().counterOf("trefoil_server_paces_total").add();
    recordStatement(current);
    if (current.fields.wasNotRun)
        return handleRejection(current);
    countRun(current);
    if (statesNotRun(current.head.status) && !mayRepeat())
        return withhold(current);
    const bool isSuccess =
        current.head.status >= HTTPResponse::HTTP_OK && current.head.status < firstRedirect;
    const bool isForThisRequest = current.fields.requestId == m_fields.requestId;
    if (isSuccess && (!current.fields.isSigned || !isForThisRequest))
        return attempt_end::Broken;
    if (isSuccess && isEventStream && current.framing.end != body_end::None)
        return forwardStream(current);
    return forwardBuffered(current);
}

result<server_connection_pool::pooled_connection> request_runner::connect(timestamp now,
                                                                          attempt &current)
{
    const server_placement &placed = current.placed;
    std::vector<endpoint> relays;
    if (placed.isRelayed)
        relays = m_state.with(
            [now](const routing_state &routing) { return routing.members.relays(now); });
    // The connections to one server go through the same instance, so that they can be used again.
    const std::size_t first = relays.empty() ? 0 : hash64(placed.server) % relays.size();
    for (std::size_t i = 0; i < std::min(relays.size(), maxRelays); ++i) {
        const endpoint &relay = relays[(first + i) % relays.size()];
        current.connectionName = toString(relay) + "/" + placed.server;
        result<server_connection_pool::pooled_connection> acquired =
            acquire(current.connectionName,
                    [&] { return connectThrough(relay, placed.address, connectTimeout); });
        if (acquired) {
            m_state.metrics().counterOf("trefoil_relayed_requests_total").add();
            return acquired;
        }
    }
    current.connectionName = placed.server;
    result<server_connection_pool::pooled_connection> acquired = acquire(placed.server, [&] {
        return byte_stream::connect(placed.address,
                                    std::min<duration>(connectTimeout, m_deadline - now));
    });
    if (!acquired || !acquired->isReused)
        recordConnection(m_state, now, placed.server, acquired.has_value());
    return acquired;
}

result<server_connection_pool::pooled_connection>
request_runner::acquire(std::string_view name, const std::function<result<byte_stream>()> &open)
{
    if (!mayShareConnection())
        return server_connection_pool::open(open);
    return m_connections.acquire(name, mayRepeat() ? maxIdleRepeatable : maxIdleNonRepeatable,
                                 open);
}

request_runner::attempt_end request_runner::send(attempt &current)
{
    const server_placement &placed = current.placed;
    const timestamp now = boot_clock::now();
    result<server_connection_pool::pooled_connection> acquired = connect(now, current);
    if (!acquired)
        return attempt_end::NotRun;
    current.stream = std::move(acquired->stream);
    current.isReused = acquired->isReused;
    const std::string_view lastEvent = m_progress.lastEventId().empty()
        ? std::string_view(m_fields.lastEventId)
        : m_progress.lastEventId();
    const std::string head = encodeServerRequest(
        m_request.head, m_request.body.size(),
        {.server = placed.server,
         .team = m_admitted.team == nullptr ? std::string_view {} : m_admitted.team->name,
         .timeLeft = m_deadline - boot_clock::now(),
         .priority = m_admission.sentRank(rank()),
         .weights = placed.weights,
         .cacheSalt = placed.cacheSalt,
         .cacheSource = placed.cacheSource,
         .cacheSink = placed.cacheSink,
         .lastEventId = lastEvent});
    const response_limits limits = responseLimits(placed);
    // Nothing that may wait comes between this and the request. The connection may have taken long
    // to open, or the process may have been paused, since the server was chosen.
    const timestamp readyAt = boot_clock::now();
    const std::optional<timestamp> startBy = latestStart(placed);
    const bool isTooLate = startBy && readyAt >= *startBy;
    if (termsInForce(readyAt) != m_terms || usesEvacuatedZone(current) || isTooLate) {
        if (current.isReused)
            m_connections.release(current.connectionName, std::move(*current.stream),
                                  defaultIdleTimeout);
        current.stream.reset();
        return attempt_end::Outdated;
    }
    if (m_response.connection().isClosedByRemote())
        return attempt_end::CallerLeft;
    current.wasSent = true;
    m_wasSent = true;
    current.sentAt = boot_clock::now();
    current.progressAt = current.sentAt;
    current.timer.emplace(current.sentAt, limits);
    // A server may answer, and close, before it has read the body; its answer is then in the
    // buffer.
    const byte_stream &caller = m_response.connection();
    const bool isWritten = m_request.body.size() <= maxCopiedBytes
        ? current.stream->write(head + m_request.body, m_deadline, &caller)
        : current.stream->write(head, m_deadline, &caller)
            && current.stream->write(m_request.body, m_deadline, &caller);
    if (!isWritten && caller.isClosedByRemote())
        return attempt_end::CallerLeft;
    if (!isWritten && current.stream->buffer().empty()) {
        countRun(current);
        return attempt_end::Broken;
    }
    current.isRequestWritten = isWritten;
    return attempt_end::Delivered;
}

bool request_runner::usesEvacuatedZone(const attempt &current)
{
    const bool isEvacuated = m_state.with([&current](const routing_state &routing) {
        return routing.balancer.usesEvacuatedZone(current.placed);
    });
    if (isEvacuated) {
        m_state.metrics().counterOf("trefoil_evacuated_placements_total").add();
        writeEvent(event_line("zones", "placement_evacuated")
                       .add("request", m_fields.requestId)
                       .add("server", current.placed.server)
                       .add("zone", current.placed.zone));
    }
    return isEvacuated;
}

void request_runner::countRun(attempt &current)
{
    m_runs += current.isCounted ? 0 : 1;
    current.isCounted = true;
}

bool request_runner::mayRunAgain(const attempt &current) const
{
    const int runs = m_runs + (current.isCounted ? 0 : 1);
    return mayRepeat() && runs < m_admitted.route->maxAttempts;
}

silence_limits request_runner::silenceLimitsOf(const attempt &current, bool canRetry) const
{
    return silenceLimits({.isStream = m_admitted.route->repeats == repeat_rule::Stream,
                          .hasEvents = current.hasEvents,
                          .canRetry = canRetry,
                          .expected = fromSeconds(current.placed.expectedMs / 1000),
                          .expectedUncached = fromSeconds(current.placed.uncachedMs / 1000),
                          .callerPatience = m_admitted.route->callerPatience});
}

bool request_runner::mustAbandon(timestamp now, attempt &current)
{
    const duration silence = now - current.progressAt;
    const bool isUnreachable =
        !current.placed.isRelayed && m_state.with([&current](const routing_state &routing) {
            return routing.balancer.isUnreachable(current.placed.server);
        });
    const auto isOver = [&](bool canRetry) {
        const silence_limits limits = silenceLimitsOf(current, canRetry);
        return silence >= limits.abandonAfter
            || (isUnreachable && silence >= limits.abandonUnreachableAfter);
    };
    bool isAbandoned = isOver(false);
    if (!isAbandoned && mayRunAgain(current) && isOver(true)) {
        const std::string_view obstacle = takeRetry(now, current);
        isAbandoned = obstacle.empty();
        if (!isAbandoned && !std::exchange(current.isKeptLogged, true))
            logKept(current, obstacle);
    }
    if (isAbandoned)
        current.abandonedFor = isUnreachable ? "unreachable" : "silent";
    return isAbandoned;
}

std::string_view request_runner::takeRetry(timestamp now, attempt &current)
{
    if (!m_progress.canContinue())
        return "not_resumable";
    m_triedServers.push_back(current.placed.server);
    const std::string_view obstacle = m_state.with([&](routing_state &routing) -> std::string_view {
        const std::optional<server_placement> other = findServer(now, routing);
        if (!other)
            return "no_server";
        routing.balancer.cancel(*other);
        if (!other->fits || isTooSlow(now, *other)
            || (!other->isRelayed && routing.balancer.isUnreachable(other->server)))
            return "no_server";
        return retryBudget(routing).takeRetry(now) ? "" : "retry_budget";
    });
    m_triedServers.pop_back();
    current.isRetryTaken = obstacle.empty();
    return obstacle;
}

std::optional<timestamp> request_runner::latestStart(const server_placement &placed) const
{
    if (placed.weights == 0)
        return std::nullopt;
    return m_state.with([&](const routing_state &routing) {
        return routing.balancer.latestStart(m_fields.model, placed.weights);
    });
}

bool request_runner::mayWithdraw(const attempt &current) const
{
    // A request that is not repeatable and has no stream may have started unnoticed.
    return !current.hasEvents && !current.isAnswered
        && m_admitted.route->repeats != repeat_rule::Unsafe;
}

const char *request_runner::withdrawalCause(timestamp now, const attempt &current,
                                            std::optional<timestamp> startBy)
{
    const bool isExpectedToCrash =
        !current.hasEvents && m_state.with([this](routing_state &routing) {
            return routing.partCrashes.isExpectedToCrash(m_sharedParts);
        });
    if (isExpectedToCrash)
        return "expected_crash";
    return startBy && now >= *startBy ? "outdated_weights" : "";
}

read_outcome request_runner::waitForBytes(attempt &current)
{
    while (true) {
        const timestamp now = boot_clock::now();
        // A server that never stops sending must not hold the request past its deadline.
        if (now >= m_deadline || now >= current.readUntil)
            return read_outcome::TimedOut;
        if (m_held->wasRevoked()) {
            current.abandonedFor = "memory";
            return read_outcome::Broken;
        }
        const duration silence = now - current.progressAt;
        const silence_limits limits = silenceLimitsOf(current, mayRunAgain(current));
        if (silence >= limits.suspectAfter)
            m_state.with([&](routing_state &routing) {
                routing.balancer.onServerSilent(now, current.ticket);
            });
        const timestamp end = std::min(m_deadline, current.readUntil);
        timestamp next = std::min(end, now + silenceCheckInterval);
        const std::optional<timestamp> startBy =
            mayWithdraw(current) ? latestStart(current.placed) : std::nullopt;
        const char *cause = withdrawalCause(now, current, startBy);
        if (*cause != 0) {
            current.isWithdrawn = true;
            current.abandonedFor = cause;
            m_state.metrics()
                .counterOf("trefoil_attempts_withdrawn_total",
                           "cause=\"" + std::string(cause) + "\"")
                .add();
            return read_outcome::Broken;
        }
        recordSpeed(now, current);
        if (mustAbandon(now, current))
            return read_outcome::Broken;
        if (limits.abandonAfter != duration::max() && silence < limits.abandonAfter)
            next = std::min(next, current.progressAt + limits.abandonAfter);
        if (startBy)
            next = std::min(next, *startBy);
        const read_outcome outcome = current.stream->readMore(next, &m_response.connection());
        if (outcome != read_outcome::TimedOut || next >= end)
            return outcome;
    }
}

request_runner::attempt_end request_runner::attemptEndOf(read_outcome outcome)
{
    if (outcome == read_outcome::WatchedClosed)
        return attempt_end::CallerLeft;
    return outcome == read_outcome::TimedOut ? attempt_end::TimedOut : attempt_end::Broken;
}

request_runner::attempt_end request_runner::readHead(attempt &current)
{
    // Late answers are like others, so as much of them is skipped as one answer may be long.
    std::uint64_t skippableBytes = m_state.readBudget().maxMessageBytes();
    while (true) {
        response_head_reader heads(maxHeadBytes);
        std::optional<response_head> head;
        while (!head) {
            result<std::optional<response_head>> next = heads.feed(current.stream->buffer());
            const read_outcome outcome = !next ? read_outcome::Broken
                : *next                        ? read_outcome::Bytes
                                               : waitForBytes(current);
            if (outcome != read_outcome::Bytes) {
                // The request was sent, so it may have run.
                countRun(current);
                return attemptEndOf(outcome);
            }
            head = std::move(*next);
        }
        const result<body_framing> framing = framingOf(*head, m_request.head.method);
        if (!framing) {
            countRun(current);
            return attempt_end::Broken;
        }
        current.head = std::move(*head);
        current.framing = *framing;
        current.fields = decodeServerAnswer(current.head);
        if (current.fields.requestId.empty() || current.fields.requestId == m_fields.requestId)
            return attempt_end::Delivered;
        // A late answer to an earlier request on this connection precedes the one to this request.
        logSkipped(current);
        response_body dropped({.framing = current.framing, .maxDiscardedBytes = skippableBytes});
        const attempt_end skipped = readBody(current, dropped);
        skippableBytes -= std::min(skippableBytes, dropped.discardedBytes());
        if (skipped != attempt_end::Delivered || current.framing.end == body_end::Close) {
            countRun(current);
            return skipped == attempt_end::Delivered ? attempt_end::Broken : skipped;
        }
    }
}

request_runner::attempt_end request_runner::awaitBody(attempt &current, response_body &body)
{
    if (body.state() == body_state::Whole)
        return attempt_end::Delivered;
    const std::size_t storedBytes = m_answer ? m_answer->second.size() : 0;
    const bool isHeld =
        m_held->hold(storedBytes + body.heldBytes() + current.stream->buffer().size());
    if (body.state() == body_state::BrokenOff || !isHeld) {
        logBrokenOff(current, body, isHeld ? "malformed_or_too_long" : "memory");
        return attempt_end::Broken;
    }
    const read_outcome outcome = waitForBytes(current);
    if (outcome == read_outcome::Bytes)
        return attempt_end::Delivered;
    // A success that ends with its connection can't be told from a part of it if the server didn't
    // take the whole request: the reset that follows may have lost the rest.
    const bool isSuccess = current.head.status < firstRedirect;
    body.end(outcome == read_outcome::End && (current.isRequestWritten || !isSuccess));
    if (body.state() == body_state::Whole)
        return attempt_end::Delivered;
    if (outcome == read_outcome::End)
        logBrokenOff(current, body, "ended");
    return attemptEndOf(outcome);
}

request_runner::attempt_end request_runner::readBody(attempt &current, response_body &body)
{
    while (true) {
        body.feed(current.stream->buffer());
        const attempt_end end = awaitBody(current, body);
        if (end != attempt_end::Delivered || body.state() == body_state::Whole)
            return end;
        current.progressAt = boot_clock::now();
    }
}

void request_runner::discardBody(attempt &current)
{
    response_body body({.framing = current.framing, .maxHeldBytes = maxUnusedBytes});
    current.readUntil = boot_clock::now() + maxUnusedTime;
    if (readBody(current, body) == attempt_end::Delivered)
        returnConnection(current);
}

request_runner::attempt_end request_runner::withhold(attempt &current)
{
    m_state.metrics()
        .counterOf("trefoil_answers_withheld_total",
                   "route=\"" + m_admitted.route->name + "\",status=\""
                       + std::to_string(current.head.status) + "\"")
        .add();
    discardBody(current);
    return attempt_end::Withheld;
}

request_runner::attempt_end request_runner::handleRejection(attempt &current)
{
    discardBody(current);
    const timestamp now = boot_clock::now();
    m_state.with([&](routing_state &routing) {
        const bool isOtherServer =
            !current.fields.server.empty() && current.fields.server != current.placed.server;
        if (current.fields.isMisdirected && isOtherServer)
            routing.balancer.markGone(current.placed.server);
        else if (current.fields.isMisdirected && current.placed.weights > 0)
            routing.balancer.onWeightsMismatch(now, current.placed.server, m_fields.model,
                                               current.placed.weights);
        else
            routing.balancer.markLoading(
                current.placed.server,
                now + (current.placed.weights > 0 ? engineRejectionPause : plainRejectionPause));
    });
    return attempt_end::NotRun;
}

void request_runner::returnConnection(attempt &current)
{
    const bool mayKeep = current.isRequestWritten && mayShareConnection()
        && current.framing.end != body_end::Close
        && isKeepAlive(current.head.headers, current.head.isHttp10)
        && current.stream->buffer().empty();
    if (!mayKeep)
        return;
    const duration idle = current.fields.idleTimeout.value_or(defaultIdleTimeout * 2) / 2;
    m_connections.release(current.connectionName, std::move(*current.stream), idle);
    current.stream.reset();
}

request_runner::attempt_end request_runner::forwardBuffered(attempt &current)
{
    response_body body({.framing = current.framing,
                        .maxHeldBytes = m_state.readBudget().maxMessageBytes(),
                        .answerField = requestIdName});
    const attempt_end end = readBody(current, body);
    if (end != attempt_end::Delivered)
        return end;
    recordStart(current);
    current.timer->onEvents(boot_clock::now(), 1);
    current.timer->onComplete();
    returnConnection(current);
    if (m_response.currentState() != caller_response::state::NothingSent)
        return attempt_end::Broken;
    m_answer = {current.head, std::move(body.plainBody())};
    if (current.head.status >= firstServerFailure && mayRepeat())
        return attempt_end::Failed;
    return writeAnswer() ? attempt_end::Delivered : attempt_end::CallerBroken;
}

bool request_runner::writeAnswer()
{
    if (!m_response.sendAnswer(m_answer->first, m_answer->second, m_deadline))
        return false;
    m_status = m_answer->first.status;
    logEnd("answered", m_status);
    return true;
}

request_runner::attempt_end request_runner::forwardStream(attempt &current)
{
    response_body body({.framing = current.framing,
                        .isEventStream = true,
                        .maxHeldBytes = maxEventBytes,
                        .answerField = requestIdName});
    // Only a server that resumes streams is known to go by the caller's field.
    m_progress.beginRun(m_admitted.route->isResumable ? m_fields.lastEventId : "",
                        m_state.with([this](routing_state &routing) {
                            return routing.eventIdSteps[m_admitted.service].areConsecutive();
                        }));
    while (true) {
        const std::string received = body.feed(current.stream->buffer());
        const std::string_view events = m_progress.inOrder(received);
        if (containsData(events))
            current.progressAt = boot_clock::now();
        recordEvents(current, events);
        const bool isOutOfOrder = events.size() < received.size();
        const bool isWhole = !isOutOfOrder && body.state() == body_state::Whole;
        if ((!events.empty() || isWhole)
            && !m_response.sendEvents(current.head, events, isWhole, m_deadline))
            return attempt_end::CallerBroken;
        m_progress.record(events);
        if (isOutOfOrder) {
            logOutOfOrder(current, std::string_view(received).substr(events.size()));
            return attempt_end::Broken;
        }
        if (isWhole) {
            current.timer->onComplete();
            m_state.with([this](routing_state &routing) {
                routing.eventIdSteps[m_admitted.service].record(m_progress);
            });
            m_status = current.head.status;
            returnConnection(current);
            logEnd("answered", m_status);
            return attempt_end::Delivered;
        }
        const attempt_end end = awaitBody(current, body);
        if (end != attempt_end::Delivered)
            return end;
    }
}

} // namespace trefoil
