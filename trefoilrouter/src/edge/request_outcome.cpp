// Records what an attempt tells of its server, of the server's release and of the prompt's parts.

#include <algorithm>
#include <array>

#include <telemetry/event_log.h>

#include "edge/request_runner.h"
#include "edge/server_relay.h"

namespace trefoil {

namespace {

/// Limit on the crashes that are reported to the other instances.
constexpr std::size_t maxLocalCrashes = 64;
/// Timeout of the probe after a broken connection: the host of a crashed server refuses at once.
constexpr duration crashProbeTimeout = std::chrono::milliseconds(100);
/// Other servers that are tried before a refused connection is taken for a crash.
constexpr std::size_t maxCrashComparisons = 3;

} // namespace

void request_runner::recordStatement(const attempt &current)
{
    const server_answer_fields &fields = current.fields;
    const std::string &server = current.placed.server;
    // Another server may answer at the address.
    if (fields.isMisdirected || (!fields.server.empty() && fields.server != server))
        return;
    const bool isColdInvalid =
        fields.isColdForInvalid && m_state.settings().hasContract(contracts::zoneEvacuation);
    if (!fields.invalidField.empty() || isColdInvalid) {
        m_state.metrics().counterOf("trefoil_invalid_server_statements_total").add();
        writeEvent(event_line("servers", "statement_invalid")
                       .add("request", m_fields.requestId)
                       .add("server", server)
                       .add("field", isColdInvalid ? "X-Cold-Ms" : fields.invalidField));
    }
    const timestamp now = boot_clock::now();
    server_statements::changes changed;
    server_statements::counts counts;
    bool hasBrittleChanged = false;
    m_state.with([&](routing_state &routing) {
        server_statements &statements = routing.balancer.statements();
        changed = statements.record(now, current.sentAt, server, fields.stated);
        counts = statements.count(now);
        hasBrittleChanged = routing.balancer.onBrittleStated(current.sentAt, server,
                                                             fields.rejectionsBorne.has_value());
        if (fields.coldFor)
            routing.balancer.coldServers().recordStatement(now, current.sentAt, server,
                                                           *fields.coldFor);
    });
    if (hasBrittleChanged) {
        writeEvent(
            event_line("servers", fields.rejectionsBorne ? "brittle_stated" : "brittle_ended")
                .add("request", m_fields.requestId)
                .add("server", server)
                .add("service", m_admitted.service)
                .add("rejections_per_second", fields.rejectionsBorne.value_or(0)));
    }
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

void request_runner::recordStart(attempt &current)
{
    current.hasEvents = true;
    const timestamp now = boot_clock::now();
    m_state.with([&](routing_state &routing) {
        routing.balancer.onFirstEvent(now, current.ticket);
        if (current.head.status < firstRedirect)
            routing.partCrashes.recordStart(now, m_sharedParts);
    });
    // An answer without a stream arrives when the request is done, and tells nothing of its start.
    const std::optional<timestamp> limit =
        current.isAnswered ? std::nullopt : weightsLimit(current.placed);
    if (limit && now >= *limit)
        logLateStart(current, now - *limit);
}

std::optional<timestamp> request_runner::weightsLimit(const server_placement &placed) const
{
    if (placed.weights == 0)
        return std::nullopt;
    return m_state.with([&](const routing_state &routing) {
        return routing.balancer.weightsLimit(m_fields.model, placed.weights);
    });
}

void request_runner::recordEvents(attempt &current, std::string_view events)
{
    if (events.empty())
        return;
    if (!current.hasEvents)
        recordStart(current);
    if (!containsData(events))
        return;
    const timestamp now = boot_clock::now();
    current.timer->onEvents(now, countEvents(events));
    recordSpeed(now, current);
}

void request_runner::finish(attempt &current, attempt_end end)
{
    attempt_outcome outcome = attempt_outcome::Done;
    if (end == attempt_end::NotRun)
        outcome = current.wasSent ? attempt_outcome::Rejected : attempt_outcome::Unreachable;
    else if (end == attempt_end::Broken)
        outcome = current.isWithdrawn ? attempt_outcome::Abandoned : attempt_outcome::Lost;
    else if (end == attempt_end::Failed || end == attempt_end::Withheld
             || (end == attempt_end::Delivered && m_status >= firstServerFailure))
        outcome = attempt_outcome::Failed;
    else if (end != attempt_end::Delivered)
        outcome = attempt_outcome::Abandoned;
    // Aborting the connection makes the server stop its work.
    if (current.stream && end != attempt_end::Delivered)
        current.stream->abort();
    const timestamp now = boot_clock::now();
    recordSpeed(now, current);
    const std::optional<response_times> times =
        outcome == attempt_outcome::Done && current.timer ? current.timer->times() : std::nullopt;
    m_state.with([&](routing_state &routing) {
        routing.balancer.end(now, current.ticket, outcome);
        if (end == attempt_end::Outdated)
            routing.balancer.cancel(current.placed);
        if (times)
            routing.releases.recordTimes(m_admitted.service, current.placed.release,
                                         m_admitted.route->name, *times);
    });
    recordReleaseEnd(current, end);
    logAttemptEnd(current, end);
    if (end == attempt_end::Broken && current.wasSent && !current.isWithdrawn)
        recordCrash(current);
}

response_limits request_runner::responseLimits(const server_placement &placed) const
{
    const std::optional<response_limits> limits = m_state.with([this](routing_state &routing) {
        return routing.releases.limits(m_admitted.service, m_admitted.route->name);
    });
    return raisedFor(
        fromSeconds(placed.expectedMs / 1000),
        limits.value_or(response_limits {.firstEvent = m_admitted.route->targetLatency * 2}));
}

void request_runner::recordSpeed(timestamp now, attempt &current)
{
    if (current.isSpeedRecorded || !current.timer)
        return;
    const response_speed speed = current.timer->speed(now);
    if (speed == response_speed::Unknown)
        return;
    current.isSpeedRecorded = true;
    recordReleaseOutcome(current, {.slow = speed == response_speed::Slow ? 1u : 0u, .timed = 1});
}

void request_runner::recordReleaseEnd(const attempt &current, attempt_end end)
{
    const bool isOutcome = end == attempt_end::Delivered || end == attempt_end::Failed
        || end == attempt_end::Withheld || end == attempt_end::Broken;
    if (!isOutcome || current.isWithdrawn)
        return;
    const bool failed = end != attempt_end::Delivered || m_status >= firstServerFailure;
    recordReleaseOutcome(current, {.requests = 1, .failures = failed ? 1u : 0u});
}

void request_runner::recordReleaseOutcome(const attempt &current, const outcome_counts &counts)
{
    m_state.with([&](routing_state &routing) {
        if (!routing.releases.request(m_admitted.service))
            return;
        routing.releases.recordOutcome(m_admitted.service, current.placed.release,
                                       m_admitted.route->name, counts);
        release_outcomes &outcomes =
            routing.localOutcomes[m_admitted.service + "/" + current.placed.release + "/"
                                  + m_admitted.route->name];
        outcomes.service = m_admitted.service;
        outcomes.release = current.placed.release;
        outcomes.route = m_admitted.route->name;
        outcomes.counts += counts;
    });
}

bool request_runner::reachesOtherServer(const attempt &current)
{
    const timestamp startedAt = boot_clock::now();
    recordConnection(m_state, startedAt, current.placed.server, false);
    bool isOnlyServer = false;
    const std::vector<registered_server> others = m_state.with([&](routing_state &routing) {
        isOnlyServer = routing.balancer.serverCount() == 1;
        return routing.balancer.otherServers(startedAt, current.placed.server, maxCrashComparisons);
    });
    for (const registered_server &other : others) {
        const bool isConnected = byte_stream::connect(other.address, crashProbeTimeout).has_value();
        recordConnection(m_state, startedAt, other.id, isConnected);
        if (isConnected)
            return true;
    }
    return isOnlyServer;
}

void request_runner::recordCrash(const attempt &current)
{
    // A request that had begun to be answered did not crash the server. Behind a relay, a broken
    // connection may be the relay's.
    if (current.hasEvents || current.placed.isRelayed)
        return;
    const result<byte_stream> probe =
        byte_stream::connect(current.placed.address, crashProbeTimeout);
    if (probe || probe.error().code != connect_errors::refused || !reachesOtherServer(current))
        return;
    const timestamp now = boot_clock::now();
    const crash_record crash {.request = m_bodyDigest,
                              .event = current.placed.server + "@"
                                  + std::to_string(current.placed.startedAtMs),
                              .parts = m_sharedParts};
    m_state.with([&](routing_state &routing) {
        routing.crashes.recordCrash(now, crash.request, crash.event);
        routing.partCrashes.recordSuspect(
            now,
            {.crash = crash.event, .at = now, .request = crash.request.low, .parts = crash.parts});
        if (routing.localCrashes.size() >= maxLocalCrashes)
            routing.localCrashes.pop_front();
        routing.localCrashes.emplace_back(now, crash);
    });
    std::string parts;
    for (const prompt_part &part : m_fields.prompt)
        parts += (parts.empty() ? "" : " ") + part.id;
    writeEvent(event_line("proxy", "crash_suspected")
                   .add("request", m_fields.requestId)
                   .add("route", m_admitted.route->name)
                   .add("server", current.placed.server)
                   .add("digest", toHex(m_bodyDigest))
                   .add("parts", parts)
                   .add("status", current.head.status)
                   .add("sent_ms_ago", toMilliseconds(now - current.sentAt))
                   .add("silent_ms", toMilliseconds(now - current.progressAt)));
}

} // namespace trefoil
