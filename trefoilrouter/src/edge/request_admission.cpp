#include "edge/request_admission.h"

#include <string>
#include <thread>

#include <adapter/platform_settings.h>
#include <core/digest.h>
#include <http/byte_stream.h>
#include <telemetry/event_log.h>

#include "edge/caller_session.h"

namespace trefoil {

namespace {

/// Requests that wait for a server hold a thread each; most threads are left to requests in
/// progress and idle connections.
constexpr int maxWaitingRequests = defaultMaxConnections / 4;

std::uint64_t hashOf(std::string_view name) { return name.empty() ? 0 : hash64(name); }

service_state stateOf(const service_load &load, const routing_state &routing)
{
    return {.isKnown = load.servers + load.pausedServers > 0
                && (load.reportingPeers > 0 || routing.members.otherCount() == 0),
            .instances = static_cast<int>(load.busyPeers) + 1,
            .servers = load.servers,
            .slots = load.slots,
            .running = load.running,
            .pendingTokens = load.pendingTokens,
            .tokensPerMs = load.tokensPerMs,
            .memoryUsed = load.memoryTokens,
            .memoryUsable = load.usableMemoryTokens,
            .callTime = fromSeconds(load.callMs / 1000),
            .waitingHere = routing.waitingRequests,
            .maxWaitingHere = maxWaitingRequests};
}

} // namespace

request_admission::~request_admission()
{
    if (m_isCounted)
        m_state.with([this](routing_state &routing) { setWaiting(routing, false); });
}

bool request_admission::isInForce() const
{
    return m_state.settings().hasContract(contracts::admissionControl);
}

void request_admission::setWaiting(routing_state &routing, bool waits)
{
    if (waits == m_isCounted)
        return;
    routing.waitingRequests += waits ? 1 : -1;
    m_isCounted = waits;
    m_state.metrics().gaugeOf("trefoil_admission_waiting").set(routing.waitingRequests);
}

bool request_admission::decide(timestamp now, routing_state &routing, const subject &request,
                               duration timeLeft, const server_placement &placed)
{
    m_request = {.timeLeft = timeLeft,
                 .uncachedTokens = placed.missingTokens,
                 .memoryTokens = placed.memoryTokens,
                 .expected = fromSeconds(placed.expectedMs / 1000),
                 .queue = fromSeconds(placed.queueMs / 1000),
                 .fits = placed.fits};
    return decide(now, routing, request);
}

bool request_admission::decideUnplaced(timestamp now, routing_state &routing,
                                       const subject &request, duration timeLeft)
{
    const service_load &load = routing.balancer.serviceLoad(now, request.service);
    if (load.callMs <= 0 || load.pausedServers == 0)
        return false;
    const duration call = fromSeconds(load.callMs / 1000);
    m_request = {.timeLeft = timeLeft, .expected = call * 2, .queue = call, .fits = false};
    decide(now, routing, request);
    return true;
}

bool request_admission::decide(timestamp now, routing_state &routing, const subject &request)
{
    if (!m_waitsSince && !m_wasAdmitted)
        routing.usualDeadlines.record(now, request.route, request.statedTime);
    m_request.rank = request.rank;
    m_request.target = request.target;
    m_request.team = hashOf(request.team);
    m_request.subject = hashOf(request.sharedPart);
    m_request.isRetry = routing.usualDeadlines.isRetry(now, request.route, request.statedTime);
    m_request.isContinued = m_wasAdmitted;
    m_request.waited = m_waitsSince ? now - *m_waitsSince : duration {};
    m_service = stateOf(routing.balancer.serviceLoad(now, request.service), routing);
    const std::uint64_t seed = hash64(request.service, hash64(m_state.settings().name));
    admission_control &control =
        routing.admissions.try_emplace(std::string(request.service), seed).first->second;
    m_decision = control.decide(now, m_request, m_service);
    if (isWaiting() && !m_waitsSince)
        m_waitsSince = now;
    setWaiting(routing, isWaiting());
    const bool isAdmitted = m_decision.what == admission_decision::kind::Admit;
    m_wasAdmitted = m_wasAdmitted || isAdmitted;
    return isAdmitted;
}

void request_admission::log(const subject &request)
{
    const bool isWait = isWaiting();
    // A request that waits is logged and counted once as waiting.
    if (isWait && m_request.waited > duration {})
        return;
    const char *decision = isWait ? "wait" : refusal() != nullptr ? "refuse" : "admit";
    const std::string_view reason = toString(m_decision.reason);
    m_state.metrics()
        .counterOf("trefoil_admissions_total",
                   "service=\"" + std::string(request.service) + "\",decision=\"" + decision
                       + "\",reason=\"" + std::string(reason) + "\"")
        .add();
    if (!isWait && refusal() == nullptr && m_request.waited == duration {})
        return;
    writeEvent(event_line("admission",
                          isWait                     ? "waits"
                              : refusal() != nullptr ? "refused"
                                                     : "admitted")
                   .add("request", request.requestId)
                   .add("service", request.service)
                   .add("route", request.route)
                   .add("reason", reason)
                   .add("rank", request.rank)
                   .add("retry", m_request.isRetry)
                   .add("expected_ms", toSeconds(m_request.expected) * 1000)
                   .add("queue_ms", toSeconds(m_request.queue) * 1000)
                   .add("queue_limit_ms", toSeconds(m_decision.queueLimit) * 1000)
                   .add("chance", m_decision.chance)
                   .add("fits", m_request.fits)
                   .add("memory_tokens", m_request.memoryTokens)
                   .add("left_ms", toMilliseconds(m_request.timeLeft))
                   .add("waited_ms", toMilliseconds(m_request.waited))
                   .add("time_ms", toMilliseconds(m_decision.time))
                   .add("instances", m_service.instances)
                   .add("servers", m_service.servers)
                   .add("slots", m_service.slots)
                   .add("running", m_service.running)
                   .add("pending_tokens", m_service.pendingTokens)
                   .add("memory_used", m_service.memoryUsed)
                   .add("memory_usable", m_service.memoryUsable)
                   .add("waiting_here", m_service.waitingHere));
}

bool request_admission::wait(const byte_stream &caller)
{
    std::this_thread::sleep_for(m_decision.time);
    return !caller.isClosedByRemote();
}

} // namespace trefoil
