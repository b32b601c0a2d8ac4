// Log lines and metrics of a request: its placement, its outcome and the configuration version
// behind them.

#include <array>
#include <cmath>

#include <telemetry/event_log.h>

#include "edge/request_runner.h"

namespace trefoil {

namespace {

/// Limit on what is logged of a text that a server chose.
constexpr std::size_t maxLoggedBytes = 64;

std::string_view loggedPart(std::string_view text) { return text.substr(0, maxLoggedBytes); }

/// Begins the line of a placement with the terms of its cost that are not usual.
event_line placedLine(const server_placement &placed)
{
    event_line line("proxy", "placed");
    constexpr double minPaceChange = 0.01;
    if (std::abs(placed.paceFactor - 1) >= minPaceChange)
        line.add("pace_factor", placed.paceFactor);
    if (placed.longPromptMs >= 1)
        line.add("long_prompt_ms", placed.longPromptMs);
    return line;
}

} // namespace

void request_runner::logUnplaced(timestamp now, const std::optional<server_placement> &best) const
{
    writeEvent(event_line("proxy", "rejected")
                   .add("request", m_fields.requestId)
                   .add("service", m_admitted.service)
                   .add("best_server", best ? best->server : "")
                   .add("expected_ms", best ? best->expectedMs : 0.0)
                   .add("left_ms", toMilliseconds(m_deadline - now))
                   .add("tried", static_cast<int>(m_triedServers.size()))
                   .add("config_version", m_admitted.tables->version));
}

void request_runner::logNotAllowed(timestamp now, int status, std::string_view reason) const
{
    timestamp confirmedAt;
    bool isBehind = false;
    m_state.with([&](const routing_state &routing) {
        confirmedAt = routing.configurationContact.confirmedAt();
        isBehind = routing.configurationContact.isBehind();
    });
    writeEvent(event_line("configuration", "not_allowed")
                   .add("request", m_fields.requestId)
                   .add("status", status)
                   .add("reason", reason)
                   .add("version", m_admitted.tables->version)
                   .add("confirmed_ms", toMilliseconds(now - confirmedAt))
                   .add("newer_known", isBehind));
}

void request_runner::logPlaced(const attempt &current) const
{
    const server_placement &placed = current.placed;
    const std::vector<prompt_part> &prompt = m_fields.prompt;
    const bool hasSharedPart = prompt.size() > 1;
    if (placed.isMovedByLongPrompts)
        m_state.metrics().counterOf("trefoil_placements_moved_by_long_prompts_total").add();
    event_line line = placedLine(placed);
    if (const std::optional<timestamp> limit = weightsLimit(placed))
        line.add("weights_left_ms", toMilliseconds(*limit - boot_clock::now()));
    writeEvent(line.add("request", m_fields.requestId)
                   .add("route", m_admitted.route->name)
                   .add("server", placed.server)
                   .add("attempt", static_cast<int>(m_triedServers.size()) + 1)
                   .add("expected_ms", placed.expectedMs)
                   .add("uncached_ms", placed.uncachedMs)
                   .add("missing_tokens", placed.missingTokens)
                   .add("shared_part", hasSharedPart ? prompt[prompt.size() - 2].id : "")
                   .add("copy_from", placed.cacheSource ? toString(*placed.cacheSource) : "")
                   .add("store_to", placed.cacheSink ? toString(*placed.cacheSink) : "")
                   .add("cache_salt", placed.cacheSalt)
                   .add("weights", placed.weights)
                   .add("config_version", m_admitted.tables->version)
                   .add("left_ms", toMilliseconds(m_deadline - boot_clock::now())));
}

void request_runner::logKept(const attempt &current, std::string_view obstacle) const
{
    m_state.metrics().counterOf("trefoil_silent_attempts_kept_total").add();
    writeEvent(event_line("proxy", "attempt_kept")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("reason", obstacle)
                   .add("silent_ms", toMilliseconds(boot_clock::now() - current.progressAt)));
}

void request_runner::logLateStart(const attempt &current, duration lateBy) const
{
    m_state.metrics().counterOf("trefoil_late_starts_on_outdated_weights_total").add();
    writeEvent(event_line("proxy", "late_start_on_outdated_weights")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("weights", current.placed.weights)
                   .add("late_ms", toMilliseconds(lateBy))
                   .add("expected_ms", current.placed.expectedMs)
                   .add("waited_ms", toMilliseconds(boot_clock::now() - current.sentAt)));
}

void request_runner::logAttemptEnd(const attempt &current, attempt_end end) const
{
    // Successful attempts are logged only where a rollout depends on them.
    const bool isInRollout = m_state.with([this](routing_state &routing) {
        return routing.releases.request(m_admitted.service).has_value();
    });
    if (end == attempt_end::Delivered && !isInRollout)
        return;
    const timestamp now = boot_clock::now();
    const std::int64_t silentMs = current.wasSent ? toMilliseconds(now - current.progressAt) : 0;
    const std::optional<duration> firstEventTime =
        current.timer ? current.timer->firstEventTime() : std::nullopt;
    constexpr std::array<const char *, 9> words {"delivered", "not_run",       "failed",
                                                 "withheld",  "broken",        "caller_left",
                                                 "timed_out", "caller_broken", "outdated"};
    writeEvent(event_line("proxy", "attempt_ended")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("end", words[static_cast<std::size_t>(end)])
                   .add("status", current.head.status)
                   .add("sent", current.wasSent)
                   .add("release", current.placed.release)
                   .add("first_event_ms", firstEventTime ? toMilliseconds(*firstEventTime) : -1)
                   .add("weights", current.placed.weights)
                   .add("answered_weights", current.fields.weights.value_or(0))
                   .add("runs", m_runs)
                   .add("cause", current.abandonedFor)
                   .add("silent_ms", silentMs)
                   .add("leaving", m_state.isLeaving())
                   .add("ms", current.wasSent ? toMilliseconds(now - current.sentAt) : 0));
}

void request_runner::logSkipped(const attempt &current) const
{
    m_state.metrics().counterOf("trefoil_answers_skipped_total").add();
    writeEvent(event_line("proxy", "answer_skipped")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("answer_to", loggedPart(current.fields.requestId))
                   .add("status", current.head.status)
                   .add("reused", current.isReused)
                   .add("relayed", current.placed.isRelayed)
                   .add("after_ms", toMilliseconds(boot_clock::now() - current.sentAt)));
}

void request_runner::logOutOfOrder(const attempt &current, std::string_view events) const
{
    m_state.metrics().counterOf("trefoil_streams_out_of_order_total").add();
    writeEvent(event_line("proxy", "event_out_of_order")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("event", loggedPart(eventId(events)))
                   .add("last_event", loggedPart(m_progress.lastEventId()))
                   .add("reused", current.isReused)
                   .add("runs", m_runs));
}

void request_runner::logBrokenOff(const attempt &current, const response_body &body,
                                  const char *reason) const
{
    if (body.hasFurtherAnswer())
        m_state.metrics().counterOf("trefoil_answers_joined_total").add();
    writeEvent(event_line("proxy", "answer_broken_off")
                   .add("request", m_fields.requestId)
                   .add("server", current.placed.server)
                   .add("reason", body.hasFurtherAnswer() ? "further_answer" : reason)
                   .add("reused", current.isReused)
                   .add("held_bytes", std::uint64_t {body.heldBytes()})
                   .add("last_event", m_progress.lastEventId()));
}

void request_runner::logEnd(std::string_view outcome, int status) const
{
    const duration taken = boot_clock::now() - m_request.receivedAt;
    const std::string route = m_admitted.route == nullptr ? "" : m_admitted.route->name;
    metric_registry &metrics = m_state.metrics();
    metrics
        .counterOf("trefoil_requests_total",
                   "route=\"" + route + "\",status=\"" + std::to_string(status) + "\"")
        .add();
    metrics.summaryOf("trefoil_request_seconds", "route=\"" + route + "\"").observe(taken);
    writeEvent(
        event_line("proxy", "ended")
            .add("request", m_fields.requestId)
            .add("route", route)
            .add("team", m_admitted.team == nullptr ? std::string_view {} : m_admitted.team->name)
            .add("status", status)
            .add("outcome", outcome)
            .add("runs", m_runs)
            .add("config_version", m_admitted.tables ? m_admitted.tables->version : 0)
            .add("config_age_ms", toMilliseconds(m_state.tablesAge(boot_clock::now())))
            .add("ms", toMilliseconds(taken)));
}

} // namespace trefoil
