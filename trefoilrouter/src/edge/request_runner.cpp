#include "edge/request_runner.h"

#include <algorithm>
#include <array>
#include <random>

#include <Poco/Net/HTTPResponse.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Times a request that was not run is offered to another server: a pool that loads weights rejects
/// for a moment, and each offer counts against the retry budget.
constexpr int mostRejections = 3;
/// Time to connect to a backend server: thirty times the way between zones.
constexpr duration connectTimeout = std::chrono::milliseconds(300);
/// Idle time after which a connection isn't trusted with a request that can't be repeated: a reset
/// would leave its fate unknown.
constexpr duration freshIdle = std::chrono::milliseconds(800);
/// Idle time for requests that may be repeated.
constexpr duration usualIdle = std::chrono::seconds(4);
/// Idle time kept for a server that doesn't say its own; half of the shortest usual timeout.
constexpr duration defaultIdleTimeout = std::chrono::seconds(4);
/// A stream silent for longer goes on elsewhere: callers leave after two seconds.
constexpr duration streamSilence = std::chrono::milliseconds(1400);
/// Least silence after which a repeatable call is tried elsewhere.
constexpr duration callSilence = std::chrono::milliseconds(250);
/// Multiples of the expected time after which a silent server is suspect, or given up.
constexpr double suspectAfter = 4;
constexpr double giveUpAfter = 6;
constexpr duration leastSuspectTime = std::chrono::milliseconds(700);
/// Longest head of an answer.
constexpr std::size_t maxHeadBytes = 64 * 1024;
/// Longest answer that is read whole.
constexpr std::size_t maxWholeBytes = 16u << 20;
/// Part of the remaining time that the expected wait may take; beyond it a request is rejected at
/// once instead of dying in a queue.
constexpr double usefulPart = 0.8;
/// An engine that rejected a request is full or loads weights, which takes more than a second; a
/// plain server is full for the time of a call.
constexpr duration engineRest = std::chrono::milliseconds(900);
constexpr duration plainRest = std::chrono::milliseconds(40);
/// Shortest and longest time that a rejected caller is told to wait.
constexpr duration shortestRetry = std::chrono::milliseconds(150);
constexpr duration longestRetry = std::chrono::milliseconds(1500);
/// Probe after a broken connection: a crashed server refuses at once.
constexpr duration crashProbeTimeout = std::chrono::milliseconds(100);
/// Crashes are told to the other instances for this long.
constexpr duration crashTellTime = std::chrono::seconds(20);

constexpr int firstRedirect = 300;
constexpr int firstServerFailure = 500;

/// Returns a time around @p middle, so that callers that were rejected together don't return
/// together.
duration spread(duration middle)
{
    thread_local std::minstd_rand random(std::random_device {}());
    std::uniform_real_distribution<double> around(0.7, 1.5);
    const duration time = fromSeconds(toSeconds(middle) * around(random));
    return std::clamp<duration>(time, shortestRetry, longestRetry);
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

} // namespace

request_runner::request_runner(edge_state &state, server_connections &connections,
                               byte_stream &caller, const caller_request &request, bool closes)
    : m_state(state), m_connections(connections), m_caller(caller), m_request(request),
      m_closes(closes)
{ }

bool request_runner::run()
{
    m_tables = m_state.tables();
    m_fields = decodeCallerFields(m_request.head.headers);
    std::optional<refusal> refused = admit();
    if (!refused)
        refused = serve();
    if (!refused)
        return m_status != 0 && !m_closes;
    if (m_headSent) {
        // The caller has part of an answer: only a broken connection tells that it isn't whole.
        m_caller.abort();
        logEnd(refused->reason, 0);
        return false;
    }
    return writeOwn(*refused) && !m_closes;
}

std::optional<request_runner::refusal> request_runner::admit()
{
    const timestamp now = boot_clock::now();
    if (!m_tables)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration yet",
                        spread(shortestRetry * 2)};
    if (m_state.isTooLateToServe())
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the instance is stopping",
                        shortestRetry};
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
    if (m_fields.patience)
        m_deadline = std::min(m_deadline, m_request.receivedAt + *m_fields.patience);
    chooseService();
    const std::string_view team = m_team == nullptr ? std::string_view {} : m_team->name;
    m_bodyDigest = digestOf(m_request.body, digestOf(m_request.head.target, digestOf(team)));
    const bool isSuspect = m_state.with([&](edge_beliefs &beliefs) {
        beliefs.budgets.try_emplace(m_service, beliefs.budgetOptions)
            .first->second.noteRequest(now);
        return beliefs.crashes.isRefused(now, m_bodyDigest);
    });
    if (isSuspect)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        "the request crashed backend servers", std::nullopt};
    return checkLimit(now);
}

std::optional<request_runner::refusal> request_runner::checkLimit(timestamp now)
{
    if (m_team == nullptr || m_team->rate <= 0)
        return std::nullopt;
    m_cost = 1;
    if (m_team->unit == limit_unit::Tokens)
        m_cost = m_fields.hasTokens ? m_fields.promptTokens + m_fields.outputTokens
                                    : m_team->plainTokens;
    team_limits::team_view view;
    const std::optional<duration> wait = m_state.with([&](edge_beliefs &beliefs) {
        view = beliefs.limits.view(now, m_team->name);
        return beliefs.limits.admit(now, m_team->name, m_cost);
    });
    if (!wait)
        return std::nullopt;
    writeEvent(event_line("limits", "over_limit")
                   .add("request", m_fields.requestId)
                   .add("team", m_team->name)
                   .add("units", m_cost)
                   .add("rate", view.rate)
                   .add("level", view.level)
                   .add("own_part", view.part)
                   .add("instances_heard", view.heard)
                   .add("instances_known", view.known)
                   .add("wait_ms", toMilliseconds(*wait)));
    m_cost = 0;
    return refusal {HTTPResponse::HTTP_TOO_MANY_REQUESTS, "the team is over its limit",
                    spread(*wait)};
}

void request_runner::chooseService()
{
    double sum = 0;
    for (const route_target &target : m_route->targets)
        sum += target.weight;
    constexpr double hashRange = 18446744073709551616.0;
    double point = static_cast<double>(hash64(m_fields.requestId)) / hashRange * sum;
    for (const route_target &target : m_route->targets) {
        m_service = target.service;
        point -= target.weight;
        if (point < 0)
            return;
    }
}

work_item request_runner::work() const
{
    const served_service *service = m_tables->findService(m_service);
    const bool isModel = service != nullptr && service->engine.has_value();
    return {.service = m_service,
            .model = isModel ? std::string_view(m_fields.model) : std::string_view {},
            .isolatedTeam = m_team != nullptr && m_team->isIsolated ? std::string_view(m_team->name)
                                                                    : std::string_view {},
            .prompt = m_fields.prompt,
            .outputTokens = m_fields.outputTokens,
            .tried = m_tried,
            .barredReleases = m_barredReleases};
}

std::optional<work_placement> request_runner::place(timestamp now)
{
    return m_state.with([&](edge_beliefs &beliefs) -> std::optional<work_placement> {
        m_barredReleases.clear();
        if (beliefs.releases.request(m_service)) {
            const std::uint64_t bits = hash64(m_fields.requestId);
            for (std::string &release : beliefs.board.releasesOf(m_service)) {
                if (!beliefs.releases.allows(now, m_service, release, bits))
                    m_barredReleases.push_back(std::move(release));
            }
        }
        return beliefs.board.choose(now, work());
    });
}

bool request_runner::isTooLate(timestamp now, const work_placement &placed) const
{
    const double leftMs = toSeconds(m_deadline - now) * 1000;
    return placed.expectedMs > leftMs * usefulPart;
}

std::optional<request_runner::refusal> request_runner::serve()
{
    int rejections = 0;
    while (true) {
        const timestamp now = boot_clock::now();
        if (now >= m_deadline)
            return finalRefusal(attempt_end::TimedOut);
        attempt current;
        const std::optional<work_placement> placed = place(now);
        if (!placed || isTooLate(now, *placed)) {
            logUnplaced(now, placed);
            if (m_answer)
                break;
            if (m_runs > 0)
                return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "no other backend server",
                                std::nullopt};
            // Room is to be had once the queues have shrunk to what still meets the aim.
            duration wait = shortestRetry * 2;
            if (placed)
                wait = std::max(wait, fromSeconds(placed->expectedMs / 1000) - m_route->aim);
            return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                            placed ? "overloaded" : "no backend server", spread(wait)};
        }
        current.placed = *placed;
        const attempt_end end = runAttempt(current);
        finish(current, end);
        if (end == attempt_end::Delivered)
            return std::nullopt;
        if (end == attempt_end::CallerLeft || end == attempt_end::CallerBroken) {
            m_caller.abort();
            logEnd("caller left", 0);
            return std::nullopt;
        }
        rejections += end == attempt_end::NotRun ? 1 : 0;
        const bool canGoOn = end != attempt_end::TimedOut && rejections <= mostRejections
            && mayGoElsewhere(end, current);
        if (!canGoOn) {
            if (m_answer)
                break;
            return finalRefusal(end);
        }
    }
    writeAnswer();
    return std::nullopt;
}

std::optional<request_runner::refusal> request_runner::finalRefusal(attempt_end end) const
{
    if (m_runs == 0)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        end == attempt_end::TimedOut ? "out of time" : "rejected",
                        spread(shortestRetry * 2)};
    if (end == attempt_end::TimedOut)
        return refusal {HTTPResponse::HTTP_GATEWAY_TIMEOUT, "out of time", std::nullopt};
    return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "the backend server broke off", std::nullopt};
}

bool request_runner::mayGoElsewhere(attempt_end end, const attempt &last)
{
    m_tried.push_back(last.placed.server);
    if (end != attempt_end::NotRun && (!mayRepeat() || m_runs >= m_route->maxAttempts))
        return false;
    if (!last.wasSent)
        return true;
    return m_state.with([this](edge_beliefs &beliefs) {
        return beliefs.budgets.try_emplace(m_service, beliefs.budgetOptions)
            .first->second.takeRetry(boot_clock::now());
    });
}

request_runner::attempt_end request_runner::runAttempt(attempt &current)
{
    const timestamp now = boot_clock::now();
    current.ticket = m_state.with(
        [&](edge_beliefs &beliefs) { return beliefs.board.begin(now, current.placed, work()); });
    logPlaced(current);
    attempt_end end = send(current);
    if (end != attempt_end::Delivered)
        return end;
    end = readHead(current);
    if (end != attempt_end::Delivered)
        return end;
    m_state.with([&](edge_beliefs &beliefs) {
        if (current.fields.weights)
            beliefs.board.noteSeenWeights(boot_clock::now(), current.placed.server, m_fields.model,
                                          *current.fields.weights);
        if (current.fields.running)
            beliefs.board.noteReportedLoad(boot_clock::now(), current.placed.server,
                                           *current.fields.running, current.fields.waiting);
    });
    if (current.fields.wasNotRun)
        return takeRejection(current);
    countRun(current);
    const bool isSuccess =
        current.head.status >= HTTPResponse::HTTP_OK && current.head.status < firstRedirect;
    const bool isOwn = current.fields.requestId == m_fields.requestId;
    if (isSuccess && (!current.fields.isSigned || !isOwn))
        return attempt_end::Broken;
    const bool isEvents =
        current.head.headers.value("Content-Type").starts_with("text/event-stream");
    if (isSuccess && isEvents)
        return passStream(current);
    return passWhole(current);
}

request_runner::attempt_end request_runner::send(attempt &current)
{
    const work_placement &placed = current.placed;
    const timestamp now = boot_clock::now();
    result<server_connections::taken_connection> taken =
        m_connections.take(placed.server, placed.address, mayRepeat() ? usualIdle : freshIdle,
                           std::min<duration>(connectTimeout, m_deadline - now));
    if (!taken)
        return attempt_end::NotRun;
    current.stream = std::move(taken->stream);
    if (m_caller.isClosedByRemote())
        return attempt_end::CallerLeft;
    const std::string_view lastEvent = m_events.lastEventId().empty()
        ? std::string_view(m_fields.lastEventId)
        : m_events.lastEventId();
    constexpr int priorityStep = 3;
    constexpr int lastPriority = 9;
    const int teamPriority = m_team == nullptr ? 0 : m_team->priority;
    const std::string head = encodeServerRequest(
        m_request.head, m_request.body.size(),
        {.server = placed.server,
         .team = m_team == nullptr ? std::string_view {} : m_team->name,
         .left = m_deadline - boot_clock::now(),
         .priority = std::clamp(teamPriority * priorityStep + m_route->priority, 0, lastPriority),
         .weights = placed.weights,
         .cacheName = placed.cacheName,
         .cacheSource = placed.cacheSource,
         .cacheSink = placed.cacheSink,
         .lastEventId = lastEvent});
    current.wasSent = true;
    current.sentAt = boot_clock::now();
    // A server may answer before it has read the body; what it sent is in the buffer then.
    const bool isWritten = current.stream->write(head + m_request.body, m_deadline);
    if (!isWritten && current.stream->buffer().empty()) {
        countRun(current);
        return attempt_end::Broken;
    }
    current.hasEnded = !isWritten;
    return attempt_end::Delivered;
}

void request_runner::countRun(attempt &current)
{
    m_runs += current.isCounted ? 0 : 1;
    current.isCounted = true;
}

read_outcome request_runner::waitForBytes(attempt &current)
{
    const duration expected = fromSeconds(current.placed.expectedMs / 1000);
    const timestamp start = boot_clock::now();
    const timestamp suspectAt = start
        + std::max<duration>(leastSuspectTime, fromSeconds(toSeconds(expected) * suspectAfter));
    // Silence of the last server that the route allows is borne to the end.
    const int runs = m_runs + (current.isCounted ? 0 : 1);
    const bool canGoElsewhere = mayRepeat() && runs < m_route->maxAttempts;
    timestamp giveUpAt = m_deadline;
    if (canGoElsewhere) {
        const duration bound = m_route->repeats == repeat_rule::Stream
            ? std::max<duration>(streamSilence, current.hasEvents ? duration::zero() : expected * 2)
            : std::max<duration>(callSilence, fromSeconds(toSeconds(expected) * giveUpAfter));
        giveUpAt = std::min(m_deadline, start + bound);
    }
    const timestamp first = std::min(suspectAt, giveUpAt);
    read_outcome outcome = current.stream->readMore(first, &m_caller);
    if (outcome != read_outcome::TimedOut)
        return outcome;
    m_state.with([&](edge_beliefs &beliefs) {
        beliefs.board.noteSilence(boot_clock::now(), current.ticket);
    });
    if (first < giveUpAt)
        outcome = current.stream->readMore(giveUpAt, &m_caller);
    const bool gaveUp = outcome == read_outcome::TimedOut && giveUpAt < m_deadline;
    return gaveUp ? read_outcome::Broken : outcome;
}

request_runner::attempt_end request_runner::endFor(read_outcome outcome)
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
            // From here on the request may have run.
            countRun(current);
            return endFor(outcome);
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
        // A late answer to an earlier request stands in front of this one's.
        std::string dropped;
        const attempt_end skipped = readBody(current, dropped);
        if (skipped != attempt_end::Delivered || current.framing.end == body_end::Close) {
            countRun(current);
            return skipped == attempt_end::Delivered ? attempt_end::Broken : skipped;
        }
        current.chunks = {};
    }
}

request_runner::attempt_end request_runner::readBody(attempt &current, std::string &body)
{
    std::string &buffer = current.stream->buffer();
    while (true) {
        if (current.framing.end == body_end::None)
            return attempt_end::Delivered;
        if (current.framing.end == body_end::Chunked) {
            const chunked_state state = current.chunks.feed(buffer, body);
            if (state != chunked_state::More)
                return state == chunked_state::Done ? attempt_end::Delivered : attempt_end::Broken;
        } else {
            const std::uint64_t wanted = current.framing.end == body_end::Length
                ? current.framing.length - body.size()
                : buffer.size();
            const std::size_t size = std::min<std::uint64_t>(wanted, buffer.size());
            body.append(buffer, 0, size);
            buffer.erase(0, size);
            if (current.framing.end == body_end::Length && body.size() == current.framing.length)
                return attempt_end::Delivered;
        }
        if (body.size() > maxWholeBytes)
            return attempt_end::Broken;
        const read_outcome outcome = waitForBytes(current);
        if (outcome == read_outcome::End && current.framing.end == body_end::Close)
            return attempt_end::Delivered;
        if (outcome != read_outcome::Bytes)
            return endFor(outcome);
    }
}

request_runner::attempt_end request_runner::takeRejection(attempt &current)
{
    std::string body;
    if (readBody(current, body) == attempt_end::Delivered)
        keepConnection(current);
    const timestamp now = boot_clock::now();
    m_state.with([&](edge_beliefs &beliefs) {
        const bool isOther =
            !current.fields.server.empty() && current.fields.server != current.placed.server;
        if (current.fields.isMisdirected && isOther)
            beliefs.board.noteGone(current.placed.server);
        else if (current.fields.isMisdirected && current.placed.weights > 0)
            beliefs.board.noteOtherWeights(now, current.placed.server, m_fields.model,
                                           current.placed.weights);
        else
            beliefs.board.noteLoading(current.placed.server,
                                      now + (current.placed.weights > 0 ? engineRest : plainRest));
    });
    return attempt_end::NotRun;
}

void request_runner::keepConnection(attempt &current)
{
    const bool mayKeep = !current.hasEnded && current.framing.end != body_end::Close
        && isKeepAlive(current.head.headers, current.head.isHttp10)
        && current.stream->buffer().empty();
    if (!mayKeep)
        return;
    const duration idle = current.fields.idleTimeout.value_or(defaultIdleTimeout * 2) / 2;
    m_connections.giveBack(current.placed.server, std::move(*current.stream), idle);
    current.stream.reset();
}

request_runner::attempt_end request_runner::passWhole(attempt &current)
{
    std::string body;
    const attempt_end end = readBody(current, body);
    if (end != attempt_end::Delivered)
        return end;
    const timestamp now = boot_clock::now();
    m_state.with([&](edge_beliefs &beliefs) { beliefs.board.noteFirstEvent(now, current.ticket); });
    keepConnection(current);
    if (m_headSent)
        return attempt_end::Broken;
    m_answer = {current.head, std::move(body)};
    if (current.head.status >= firstServerFailure && mayRepeat())
        return attempt_end::Failed;
    return writeAnswer() ? attempt_end::Delivered : attempt_end::CallerBroken;
}

bool request_runner::writeAnswer()
{
    std::string framing;
    const std::string &body = m_answer->second;
    const bool hasLength =
        m_request.head.method != "HEAD" && m_answer->first.status != HTTPResponse::HTTP_NO_CONTENT;
    if (hasLength)
        appendField(framing, "Content-Length", std::to_string(body.size()));
    m_status = m_answer->first.status;
    const std::string text = encodeCallerAnswer(m_answer->first, framing, m_closes) + body;
    if (!m_caller.write(text, std::max(m_deadline, boot_clock::now() + std::chrono::seconds(1)))) {
        m_status = 0;
        return false;
    }
    logEnd("answered", m_status);
    return true;
}

bool request_runner::deliverEvents(attempt &current, const std::string &events, bool isLast)
{
    std::string text;
    if (!m_headSent) {
        m_isChunked = !m_request.head.isHttp10;
        m_closes = m_closes || !m_isChunked;
        text = encodeCallerAnswer(current.head, m_isChunked ? "Transfer-Encoding: chunked\r\n" : "",
                                  m_closes);
        m_headSent = true;
    }
    if (m_isChunked)
        appendChunk(text, events);
    else
        text += events;
    if (isLast && m_isChunked)
        text += lastChunk;
    return text.empty() || m_caller.write(text, m_deadline);
}

request_runner::attempt_end request_runner::passStream(attempt &current)
{
    std::string &buffer = current.stream->buffer();
    while (true) {
        std::string decoded;
        bool isComplete = false;
        if (current.framing.end == body_end::Chunked) {
            const chunked_state state = current.chunks.feed(buffer, decoded);
            if (state == chunked_state::Malformed)
                return attempt_end::Broken;
            isComplete = state == chunked_state::Done;
        } else {
            std::size_t size = buffer.size();
            if (current.framing.end == body_end::Length)
                size = std::min<std::uint64_t>(size, current.framing.length - current.bodyBytes);
            decoded = buffer.substr(0, size);
            buffer.erase(0, size);
            current.bodyBytes += size;
            isComplete = current.framing.end == body_end::Length
                && current.bodyBytes == current.framing.length;
        }
        isComplete = isComplete || current.hasEnded;
        std::string events = m_events.feed(decoded);
        if (isComplete)
            events += m_events.takeIncomplete();
        if (!events.empty() && !current.hasEvents) {
            current.hasEvents = true;
            m_state.with([&](edge_beliefs &beliefs) {
                beliefs.board.noteFirstEvent(boot_clock::now(), current.ticket);
            });
        }
        if ((!events.empty() || isComplete) && !deliverEvents(current, events, isComplete))
            return attempt_end::CallerBroken;
        if (isComplete) {
            m_status = current.head.status;
            keepConnection(current);
            logEnd("answered", m_status);
            return attempt_end::Delivered;
        }
        const read_outcome outcome = waitForBytes(current);
        const bool endsInOrder =
            outcome == read_outcome::End && current.framing.end == body_end::Close;
        if (endsInOrder) {
            current.hasEnded = true;
        } else if (outcome != read_outcome::Bytes) {
            m_events.discardIncomplete();
            return endFor(outcome);
        }
    }
}

void request_runner::finish(attempt &current, attempt_end end)
{
    work_outcome outcome = work_outcome::Done;
    if (end == attempt_end::NotRun)
        outcome = current.wasSent ? work_outcome::Rejected : work_outcome::Unreachable;
    else if (end == attempt_end::Broken)
        outcome = work_outcome::Lost;
    else if (end == attempt_end::Failed
             || (end == attempt_end::Delivered && m_status >= firstServerFailure))
        outcome = work_outcome::Failed;
    else if (end != attempt_end::Delivered)
        outcome = work_outcome::Abandoned;
    // Closing tells the server to stop its work.
    if (current.stream && end != attempt_end::Delivered)
        current.stream->abort();
    const timestamp now = boot_clock::now();
    m_state.with([&](edge_beliefs &beliefs) { beliefs.board.end(now, current.ticket, outcome); });
    noteRelease(current, end);
    logAttemptEnd(current, end);
    if (end == attempt_end::Broken && current.wasSent)
        noteCrash(current);
}

void request_runner::noteRelease(const attempt &current, attempt_end end)
{
    const bool isJudged =
        end == attempt_end::Delivered || end == attempt_end::Failed || end == attempt_end::Broken;
    if (!isJudged)
        return;
    const bool failed = end != attempt_end::Delivered || m_status >= firstServerFailure;
    const duration taken = boot_clock::now() - m_request.receivedAt;
    const bool slow = m_route->repeats != repeat_rule::Stream && taken > m_route->aim * 2;
    m_state.with([&](edge_beliefs &beliefs) {
        if (!beliefs.releases.request(m_service))
            return;
        beliefs.releases.note(m_service, current.placed.release, m_route->name, failed, slow);
        release_outcomes &own =
            beliefs.ownOutcomes[m_service + "/" + current.placed.release + "/" + m_route->name];
        own.service = m_service;
        own.release = current.placed.release;
        own.route = m_route->name;
        own.counts.requests += 1;
        own.counts.failures += failed ? 1 : 0;
        own.counts.slow += slow ? 1 : 0;
    });
}

void request_runner::noteCrash(const attempt &current)
{
    const result<byte_stream> probe =
        byte_stream::connect(current.placed.address, crashProbeTimeout);
    if (probe || probe.error().code != connect_errors::refused)
        return;
    const timestamp now = boot_clock::now();
    const crash_note note {.request = m_bodyDigest, .event = current.placed.server};
    m_state.with([&](edge_beliefs &beliefs) {
        beliefs.crashes.note(now, note.request, note.event);
        std::erase_if(beliefs.ownCrashes,
                      [now](const auto &each) { return now - each.first > crashTellTime; });
        beliefs.ownCrashes.emplace_back(now, note);
    });
    writeEvent(event_line("proxy", "crash_suspected")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("digest", toHex(m_bodyDigest)));
}

bool request_runner::writeOwn(const refusal &why)
{
    if (m_cost > 0 && m_runs == 0)
        m_state.with([&](edge_beliefs &beliefs) { beliefs.limits.giveBack(m_team->name, m_cost); });
    logEnd(why.reason, why.status);
    const std::string text =
        encodeOwnAnswer(why.status, m_fields.requestId, why.reason, why.retryAfter, m_closes);
    return m_caller.write(text, boot_clock::now() + std::chrono::seconds(1));
}

} // namespace trefoil
