#include "edge/request_runner.h"

#include <algorithm>
#include <array>
#include <random>

#include <Poco/Net/HTTPResponse.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Times a rejected request is sent to another server. A pool that is loading weights rejects for a
/// moment, and each resend counts against the retry budget.
constexpr int maxRejections = 3;
/// Connect timeout for a backend server: thirty times the network latency between zones.
constexpr duration connectTimeout = std::chrono::milliseconds(300);
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
/// Fraction of the remaining time that the expected wait may take. Beyond it a request is refused
/// at once, because it would probably time out in the queue.
constexpr double maxWaitFraction = 0.8;
/// Time without requests for a server that rejected one. An engine is full or loads weights, which
/// takes more than a second; another server is full for about the time of one request.
constexpr duration engineRejectionPause = std::chrono::milliseconds(900);
constexpr duration plainRejectionPause = std::chrono::milliseconds(40);
/// Bounds of the Retry-After time for refused callers.
constexpr duration minRetryAfter = std::chrono::milliseconds(150);
constexpr duration maxRetryAfter = std::chrono::milliseconds(1500);
/// Retry-After time of a request with a blocked part, which is not tried again for minutes.
constexpr duration blockedPartRetryAfter = std::chrono::seconds(60);

/// Returns @p base with random jitter, so that callers that were refused together don't retry at
/// the same time.
duration withJitter(duration base)
{
    thread_local std::minstd_rand random(std::random_device {}());
    std::uniform_real_distribution<double> factor(0.7, 1.5);
    const duration time = fromSeconds(toSeconds(base) * factor(random));
    return std::clamp<duration>(time, minRetryAfter, maxRetryAfter);
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace

request_runner::request_runner(edge_state &state, server_connection_pool &connections,
                               byte_stream &caller, const caller_request &request,
                               bool closesConnection)
    : m_state(state), m_connections(connections), m_request(request),
      m_response(caller, request.head, closesConnection)
{ }

bool request_runner::run()
{
    m_tables = m_state.tables();
    m_fields = decodeCallerFields(m_request.head.headers);
    // The request may have waited unread for longer than its caller did.
    if (m_response.connection().isClosedByRemote()) {
        endAbandoned();
        return false;
    }
    std::optional<refusal> refused = admit();
    if (!refused)
        refused = serve();
    if (refused)
        writeRefusal(*refused);
    return m_response.isReusable();
}

std::optional<request_runner::refusal> request_runner::admit()
{
    const timestamp now = boot_clock::now();
    if (!m_tables)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration yet",
                        withJitter(minRetryAfter * 2)};
    if (m_state.isTooLateToServe())
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the instance is stopping",
                        minRetryAfter};
    if (m_fields.requestId.empty())
        return refusal {HTTPResponse::HTTP_BAD_REQUEST, "the request has no id", std::nullopt};
    m_route =
        m_tables->findRoute(m_request.head.headers.value("Host"), pathOf(m_request.head.target));
    if (m_route == nullptr)
        return refusal {HTTPResponse::HTTP_NOT_FOUND, "no route", std::nullopt};
    m_team = m_fields.key.empty() ? nullptr : m_tables->findTeam(m_fields.key);
    if (m_team == nullptr && !m_route->isOpen && !m_tables->teams.empty())
        return refusal {HTTPResponse::HTTP_UNAUTHORIZED, "unknown key", std::nullopt};
    m_deadline = m_request.receivedAt + m_route->timeout;
    if (m_fields.timeout)
        m_deadline = std::min(m_deadline, m_request.receivedAt + *m_fields.timeout);
    chooseService();
    const std::string_view team = m_team == nullptr ? std::string_view {} : m_team->name;
    m_bodyDigest = digestOf(m_request.body, digestOf(m_request.head.target, digestOf(team)));
    for (std::size_t i = 0; i + 1 < m_fields.prompt.size(); ++i)
        m_sharedParts.push_back(hash64(m_fields.prompt[i].id, hash64(m_fields.model)));
    const bool isCrashSuspect = m_state.with([&](routing_state &routing) {
        routing.retryBudgets.try_emplace(m_service, routing.retryBudgetOptions)
            .first->second.recordRequest(now);
        return routing.crashes.isRefused(now, m_bodyDigest);
    });
    if (isCrashSuspect)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        "the request crashed backend servers", std::nullopt};
    return checkLimit(now);
}

std::optional<request_runner::refusal> request_runner::checkPrompt(timestamp now)
{
    const std::optional<std::uint64_t> part = m_state.with([&](routing_state &routing) {
        return routing.partCrashes.blockingPart(now, m_sharedParts);
    });
    if (!part)
        return std::nullopt;
    const auto found = std::find(m_sharedParts.begin(), m_sharedParts.end(), *part);
    writeEvent(event_line("proxy", "part_refused")
                   .add("request", m_fields.requestId)
                   .add("part", m_fields.prompt[found - m_sharedParts.begin()].id));
    constexpr const char *reason = "a part of the prompt crashes backend servers";
    if (m_runs > 0)
        return refusal {HTTPResponse::HTTP_BAD_GATEWAY, reason, std::nullopt};
    return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, reason, blockedPartRetryAfter};
}

std::optional<request_runner::refusal> request_runner::checkLimit(timestamp now)
{
    if (m_team == nullptr || m_team->rate <= 0)
        return std::nullopt;
    m_limitCost = 1;
    if (m_team->unit == limit_unit::Tokens)
        m_limitCost = m_fields.hasTokenCounts ? m_fields.promptTokens + m_fields.outputTokens
                                              : m_team->defaultTokens;
    team_limits::limit_state state;
    const std::optional<duration> wait = m_state.with([&](routing_state &routing) {
        state = routing.limits.limitState(now, m_team->name);
        return routing.limits.admit(now, m_team->name, m_limitCost);
    });
    if (!wait)
        return std::nullopt;
    writeEvent(event_line("limits", "over_limit")
                   .add("request", m_fields.requestId)
                   .add("team", m_team->name)
                   .add("units", m_limitCost)
                   .add("rate", state.rate)
                   .add("level", state.level)
                   .add("own_part", state.share)
                   .add("allowance", state.allowance)
                   .add("instances_heard", state.heardPeers)
                   .add("instances_known", state.knownPeers)
                   .add("wait_ms", toMilliseconds(*wait)));
    m_limitCost = 0;
    return refusal {HTTPResponse::HTTP_TOO_MANY_REQUESTS, "the team is over its limit",
                    withJitter(*wait)};
}

void request_runner::chooseService()
{
    double sum = 0;
    for (const route_target &target : m_route->targets)
        sum += target.weight;
    constexpr double hashRange = 18446744073709551616.0;
    double remainingWeight = static_cast<double>(hash64(m_fields.requestId)) / hashRange * sum;
    for (const route_target &target : m_route->targets) {
        m_service = target.service;
        remainingWeight -= target.weight;
        if (remainingWeight < 0)
            return;
    }
}

request_profile request_runner::requestProfile() const
{
    const served_service *service = m_tables->findService(m_service);
    const bool isModel = service != nullptr && service->engine.has_value();
    return {.service = m_service,
            .model = isModel ? std::string_view(m_fields.model) : std::string_view {},
            .cacheGroup = m_team != nullptr ? m_team->cacheGroup : m_tables->sharedCacheGroup,
            .prompt = m_fields.prompt,
            .outputTokens = m_fields.outputTokens,
            .tried = m_triedServers,
            .excludedReleases = m_excludedReleases};
}

std::optional<server_placement> request_runner::choosePlacement(timestamp now)
{
    return m_state.with([&](routing_state &routing) -> std::optional<server_placement> {
        m_excludedReleases.clear();
        if (routing.releases.request(m_service)) {
            const std::uint64_t bits = hash64(m_fields.requestId);
            for (std::string &release : routing.balancer.releasesOf(m_service)) {
                if (!routing.releases.allows(now, m_service, release, bits))
                    m_excludedReleases.push_back(std::move(release));
            }
        }
        std::optional<server_placement> placed = routing.balancer.choose(now, requestProfile());
        m_limitedFor = routing.balancer.limitedFor();
        if (placed && wouldMissDeadline(now, *placed))
            routing.balancer.cancel(*placed);
        return placed;
    });
}

bool request_runner::wouldMissDeadline(timestamp now, const server_placement &placed) const
{
    const double leftMs = toSeconds(m_deadline - now) * 1000;
    return placed.expectedMs > leftMs * maxWaitFraction;
}

std::optional<request_runner::refusal> request_runner::serve()
{
    int rejections = 0;
    while (true) {
        const timestamp now = boot_clock::now();
        if (now >= m_deadline)
            return finalRefusal(attempt_end::TimedOut);
        if (const std::optional<refusal> blocked = checkPrompt(now))
            return giveUp(blocked);
        attempt current;
        const std::optional<server_placement> placed = choosePlacement(now);
        if (!placed || wouldMissDeadline(now, *placed)) {
            logUnplaced(now, placed);
            return giveUp(unplacedRefusal(placed));
        }
        current.placed = *placed;
        const attempt_end end = runAttempt(current);
        finish(current, end);
        if (end == attempt_end::Delivered)
            return std::nullopt;
        if (end == attempt_end::CallerLeft || end == attempt_end::CallerBroken) {
            endAbandoned();
            return std::nullopt;
        }
        rejections += end == attempt_end::NotRun ? 1 : 0;
        const bool canRetry = end != attempt_end::TimedOut && rejections <= maxRejections
            && mayRetryElsewhere(end, current);
        if (!canRetry)
            return giveUp(finalRefusal(end));
    }
}

std::optional<request_runner::refusal> request_runner::giveUp(const std::optional<refusal> &refused)
{
    if (!m_answer || m_response.currentState() != caller_response::state::NothingSent)
        return refused;
    writeAnswer();
    return std::nullopt;
}

std::optional<request_runner::refusal>
request_runner::unplacedRefusal(const std::optional<server_placement> &best) const
{
    if (m_runs > 0)
        return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "no other backend server", std::nullopt};
    if (!best && m_limitedFor)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        "the backend servers take no requests now", withJitter(*m_limitedFor)};
    // Capacity frees up once the expected wait has shrunk to the route's target latency.
    duration wait = minRetryAfter * 2;
    if (best)
        wait = std::max(wait, fromSeconds(best->expectedMs / 1000) - m_route->targetLatency);
    return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                    best ? "overloaded" : "no backend server", withJitter(wait)};
}

std::optional<request_runner::refusal> request_runner::finalRefusal(attempt_end end) const
{
    if (m_runs == 0)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        end == attempt_end::TimedOut ? "out of time" : "rejected",
                        withJitter(minRetryAfter * 2)};
    if (end == attempt_end::TimedOut)
        return refusal {HTTPResponse::HTTP_GATEWAY_TIMEOUT, "out of time", std::nullopt};
    return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "the backend server broke off", std::nullopt};
}

bool request_runner::mayRetryElsewhere(attempt_end end, const attempt &last)
{
    m_triedServers.push_back(last.placed.server);
    if (end != attempt_end::NotRun && (!mayRepeat() || m_runs >= m_route->maxAttempts))
        return false;
    if (!m_progress.canContinue())
        return false;
    if (!last.wasSent)
        return true;
    return m_state.with([this](routing_state &routing) {
        return routing.retryBudgets.try_emplace(m_service, routing.retryBudgetOptions)
            .first->second.takeRetry(boot_clock::now());
    });
}

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
    m_state.with([&](routing_state &routing) {
        if (current.fields.weights)
            routing.balancer.onWeightsObserved(boot_clock::now(), current.placed.server,
                                               m_fields.model, *current.fields.weights);
        if (current.fields.running)
            routing.balancer.onLoadReported(boot_clock::now(), current.placed.server,
                                            *current.fields.running, current.fields.waiting);
    });
    recordStatement(current);
    if (current.fields.wasNotRun)
        return handleRejection(current);
    countRun(current);
    const bool isSuccess =
        current.head.status >= HTTPResponse::HTTP_OK && current.head.status < firstRedirect;
    const bool isForThisRequest = current.fields.requestId == m_fields.requestId;
    if (isSuccess && (!current.fields.isSigned || !isForThisRequest))
        return attempt_end::Broken;
    const bool isEventStream =
        current.head.headers.value("Content-Type").starts_with("text/event-stream");
    if (isSuccess && isEventStream && current.framing.end != body_end::None)
        return forwardStream(current);
    return forwardBuffered(current);
}

request_runner::attempt_end request_runner::send(attempt &current)
{
    const server_placement &placed = current.placed;
    const timestamp now = boot_clock::now();
    result<server_connection_pool::pooled_connection> acquired = m_connections.acquire(
        placed.server, placed.address, mayRepeat() ? maxIdleRepeatable : maxIdleNonRepeatable,
        std::min<duration>(connectTimeout, m_deadline - now));
    if (!acquired)
        return attempt_end::NotRun;
    current.stream = std::move(acquired->stream);
    current.isReused = acquired->isReused;
    const std::string_view lastEvent = m_progress.lastEventId().empty()
        ? std::string_view(m_fields.lastEventId)
        : m_progress.lastEventId();
    constexpr int priorityStep = 3;
    constexpr int lastPriority = 9;
    const int teamPriority = m_team == nullptr ? 0 : m_team->priority;
    const std::string head = encodeServerRequest(
        m_request.head, m_request.body.size(),
        {.server = placed.server,
         .team = m_team == nullptr ? std::string_view {} : m_team->name,
         .timeLeft = m_deadline - boot_clock::now(),
         .priority = std::clamp(teamPriority * priorityStep + m_route->priority, 0, lastPriority),
         .weights = placed.weights,
         .cacheSalt = placed.cacheSalt,
         .cacheSource = placed.cacheSource,
         .cacheSink = placed.cacheSink,
         .lastEventId = lastEvent});
    const response_limits limits = responseLimits(placed);
    // Nothing that may wait comes between this and the request.
    if (m_response.connection().isClosedByRemote())
        return attempt_end::CallerLeft;
    current.wasSent = true;
    m_wasSent = true;
    current.sentAt = boot_clock::now();
    current.progressAt = current.sentAt;
    current.timer.emplace(current.sentAt, limits);
    // A server may answer, and close, before it has read the body; its answer is then in the
    // buffer.
    const bool isWritten = m_request.body.size() <= maxCopiedBytes
        ? current.stream->write(head + m_request.body, m_deadline)
        : current.stream->write(head, m_deadline)
            && current.stream->write(m_request.body, m_deadline);
    if (!isWritten && current.stream->buffer().empty()) {
        countRun(current);
        return attempt_end::Broken;
    }
    current.isRequestWritten = isWritten;
    return attempt_end::Delivered;
}

void request_runner::recordStatement(const attempt &current)
{
    const server_answer_fields &fields = current.fields;
    const std::string &server = current.placed.server;
    // Another server may answer at the address.
    if (fields.isMisdirected || (!fields.server.empty() && fields.server != server))
        return;
    if (!fields.invalidField.empty()) {
        m_state.metrics().counterOf("trefoil_invalid_server_statements_total").add();
        writeEvent(event_line("servers", "statement_invalid")
                       .add("request", m_fields.requestId)
                       .add("server", server)
                       .add("field", fields.invalidField));
    }
    const timestamp now = boot_clock::now();
    server_statements::changes changed;
    server_statements::counts counts;
    m_state.with([&](routing_state &routing) {
        server_statements &statements = routing.balancer.statements();
        changed = statements.record(now, current.sentAt, server, fields.stated);
        counts = statements.count(now);
    });
    if (changed == server_statements::changes {})
        return;
    metric_registry &metrics = m_state.metrics();
    metrics.gaugeOf("trefoil_servers_limited").set(static_cast<double>(counts.limited));
    metrics.gaugeOf("trefoil_servers_leaving").set(static_cast<double>(counts.leaving));
    metrics.gaugeOf("trefoil_servers_paused").set(static_cast<double>(counts.paused));
    const std::array<std::pair<bool, const char *>, 4> events {
        {{changed.hasNewLimit, "limit_named"},
         {changed.hasLimitEnded, "limit_ended"},
         {changed.isNowLeaving, "leaving_stated"},
         {changed.isNowPaused, "pause_stated"}}};
    for (const std::pair<bool, const char *> &each : events) {
        if (each.first)
            writeEvent(
                event_line("servers", each.second)
                    .add("request", m_fields.requestId)
                    .add("server", server)
                    .add("requests_per_second", fields.stated.requestsPerSecond.value_or(0))
                    .add("pause_ms", toMilliseconds(fields.stated.pause.value_or(duration {}))));
    }
}

void request_runner::countRun(attempt &current)
{
    m_runs += current.isCounted ? 0 : 1;
    current.isCounted = true;
}

silence_limits request_runner::silenceLimitsOf(const attempt &current) const
{
    const int runs = m_runs + (current.isCounted ? 0 : 1);
    return silenceLimits({.isStream = m_route->repeats == repeat_rule::Stream,
                          .hasEvents = current.hasEvents,
                          .canRetry = mayRepeat() && runs < m_route->maxAttempts,
                          .expected = fromSeconds(current.placed.expectedMs / 1000),
                          .expectedUncached = fromSeconds(current.placed.uncachedMs / 1000),
                          .callerPatience = m_route->callerPatience});
}

read_outcome request_runner::waitForBytes(attempt &current)
{
    const silence_limits limits = silenceLimitsOf(current);
    const auto isOver = [&current](duration limit, timestamp now) {
        return limit != duration::max() && now - current.progressAt >= limit;
    };
    while (true) {
        const timestamp now = boot_clock::now();
        // A server that never stops sending must not hold the request past its deadline.
        if (now >= m_deadline || now >= current.readUntil)
            return read_outcome::TimedOut;
        if (m_held->wasRevoked())
            return read_outcome::Broken;
        const bool mayGiveUpUnreachable = isOver(limits.abandonUnreachableAfter, now);
        const bool isUnreachable = m_state.with([&](routing_state &routing) {
            if (isOver(limits.suspectAfter, now))
                routing.balancer.onServerSilent(now, current.ticket);
            current.isWithdrawn =
                !current.hasEvents && routing.partCrashes.isExpectedToCrash(m_sharedParts);
            return mayGiveUpUnreachable && routing.balancer.isUnreachable(current.placed.server);
        });
        if (current.isWithdrawn)
            return read_outcome::Broken;
        recordSpeed(now, current);
        if (isUnreachable || isOver(limits.abandonAfter, now))
            return read_outcome::Broken;
        const timestamp end = std::min(m_deadline, current.readUntil);
        timestamp next = std::min(end, now + silenceCheckInterval);
        if (limits.abandonAfter != duration::max())
            next = std::min(next, current.progressAt + limits.abandonAfter);
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
    std::string &buffer = current.stream->buffer();
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end == std::string::npos) {
            const read_outcome outcome =
                buffer.size() > maxHeadBytes ? read_outcome::Broken : waitForBytes(current);
            if (outcome == read_outcome::Bytes)
                continue;
            // The request was sent, so it may have run.
            countRun(current);
            return attemptEndOf(outcome);
        }
        result<response_head> head = parseResponseHead(std::string_view(buffer).substr(0, end));
        buffer.erase(0, end + 4);
        const result<body_framing> framing =
            head ? framingOf(*head, m_request.head.method) : result<body_framing>(body_framing {});
        if (!head || !framing) {
            countRun(current);
            return attempt_end::Broken;
        }
        if (head->status < HTTPResponse::HTTP_OK)
            continue;
        current.head = std::move(*head);
        current.framing = *framing;
        current.fields = decodeServerAnswer(current.head);
        if (current.fields.requestId.empty() || current.fields.requestId == m_fields.requestId)
            return attempt_end::Delivered;
        // A late answer to an earlier request on this connection precedes the one to this request.
        answer_body dropped({.framing = current.framing, .maxHeldBytes = maxUnusedBytes});
        const attempt_end skipped = readBody(current, dropped);
        if (skipped != attempt_end::Delivered || current.framing.end == body_end::Close) {
            countRun(current);
            return skipped == attempt_end::Delivered ? attempt_end::Broken : skipped;
        }
    }
}

request_runner::attempt_end request_runner::awaitBody(attempt &current, answer_body &body)
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
    body.end(outcome == read_outcome::End);
    if (body.state() == body_state::Whole)
        return attempt_end::Delivered;
    if (outcome == read_outcome::End)
        logBrokenOff(current, body, "ended");
    return attemptEndOf(outcome);
}

request_runner::attempt_end request_runner::readBody(attempt &current, answer_body &body)
{
    while (true) {
        body.feed(current.stream->buffer());
        const attempt_end end = awaitBody(current, body);
        if (end != attempt_end::Delivered || body.state() == body_state::Whole)
            return end;
        current.progressAt = boot_clock::now();
    }
}

request_runner::attempt_end request_runner::handleRejection(attempt &current)
{
    answer_body body({.framing = current.framing, .maxHeldBytes = maxUnusedBytes});
    current.readUntil = boot_clock::now() + maxUnusedTime;
    if (readBody(current, body) == attempt_end::Delivered)
        returnConnection(current);
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
    const bool mayKeep = current.isRequestWritten && current.framing.end != body_end::Close
        && isKeepAlive(current.head.headers, current.head.isHttp10)
        && current.stream->buffer().empty();
    if (!mayKeep)
        return;
    const duration idle = current.fields.idleTimeout.value_or(defaultIdleTimeout * 2) / 2;
    m_connections.release(current.placed.server, std::move(*current.stream), idle);
    current.stream.reset();
}

request_runner::attempt_end request_runner::forwardBuffered(attempt &current)
{
    answer_body body(
        {.framing = current.framing, .maxHeldBytes = m_state.readBudget().maxMessageBytes()});
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
    answer_body body(
        {.framing = current.framing, .isEventStream = true, .maxHeldBytes = maxEventBytes});
    while (true) {
        const std::string events = body.feed(current.stream->buffer());
        if (containsData(events))
            current.progressAt = boot_clock::now();
        recordEvents(current, events);
        const bool isWhole = body.state() == body_state::Whole;
        if ((!events.empty() || isWhole)
            && !m_response.sendEvents(current.head, events, isWhole, m_deadline))
            return attempt_end::CallerBroken;
        m_progress.record(events);
        if (isWhole) {
            current.timer->onComplete();
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

void request_runner::refundLimit()
{
    if (m_limitCost > 0)
        m_state.with(
            [&](routing_state &routing) { routing.limits.refund(m_team->name, m_limitCost); });
}

void request_runner::endAbandoned()
{
    if (!m_wasSent)
        refundLimit();
    m_response.abort();
    logEnd("caller left", 0);
}

void request_runner::writeRefusal(const refusal &refused)
{
    if (m_runs == 0)
        refundLimit();
    const bool isSent = m_response.sendRefusal(refused.status, m_fields.requestId, refused.reason,
                                               refused.retryAfter);
    // A response that had begun was aborted.
    logEnd(refused.reason, isSent ? refused.status : 0);
}

} // namespace trefoil
