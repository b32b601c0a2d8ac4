#include "edge/request_runner.h"

#include <algorithm>
#include <random>
#include <thread>

#include <Poco/Net/HTTPResponse.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Times a rejected request is sent to another server. A pool that is loading weights rejects for a
/// moment, and each resend counts against the retry budget.
constexpr int maxRejections = 3;
/// Fraction of the remaining time that the expected wait may take. Beyond it a request is refused
/// at once, because it would probably time out in the queue.
constexpr double maxWaitFraction = 0.8;
/// Interval at which a request looks whether brittle servers have room for it: about a tenth of the
/// time of a short call.
constexpr duration roomCheckInterval = std::chrono::milliseconds(5);
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
      m_response(caller, request.head, closesConnection), m_admission(state)
{ }

bool request_runner::run()
{
    m_admitted.tables = m_state.tables();
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
    if (!m_admitted.tables)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration yet",
                        withJitter(minRetryAfter * 2)};
    if (!m_state.areEvacuationsKnown())
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "evacuated zones not known yet",
                        withJitter(minRetryAfter * 2)};
    if (m_state.isTooLateToServe())
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the instance is stopping",
                        minRetryAfter};
    if (m_fields.requestId.empty())
        return refusal {HTTPResponse::HTTP_BAD_REQUEST, "the request has no id", std::nullopt};
    m_admitted.route = m_admitted.tables->findRoute(m_request.head.headers.value("Host"),
                                                    pathOf(m_request.head.target));
    if (m_admitted.route == nullptr)
        return configurationRefusal(HTTPResponse::HTTP_NOT_FOUND, "no route");
    m_admitted.team = m_fields.key.empty() ? nullptr : m_admitted.tables->findTeam(m_fields.key);
    if (m_admitted.team == nullptr && !m_admitted.route->isOpen
        && !m_admitted.tables->teams.empty())
        return configurationRefusal(HTTPResponse::HTTP_UNAUTHORIZED, "unknown key");
    m_deadline = m_request.receivedAt + m_admitted.route->timeout;
    if (m_fields.timeout)
        m_deadline = std::min(m_deadline, m_request.receivedAt + *m_fields.timeout);
    chooseService();
    const std::string_view team =
        m_admitted.team == nullptr ? std::string_view {} : m_admitted.team->name;
    m_bodyDigest = digestOf(m_request.body, digestOf(m_request.head.target, digestOf(team)));
    for (std::size_t i = 0; i + 1 < m_fields.prompt.size(); ++i)
        m_sharedParts.push_back(hash64(m_fields.prompt[i].id, hash64(m_fields.model)));
    const bool isCrashSuspect = m_state.with([&](routing_state &routing) {
        retryBudget(routing).recordRequest(now);
        return routing.crashes.isRefused(now, m_bodyDigest);
    });
    if (isCrashSuspect)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                        "the request crashed backend servers", std::nullopt};
    return checkLimit(now);
}

request_runner::refusal request_runner::configurationRefusal(int status, const char *reason) const
{
    const timestamp now = boot_clock::now();
    logNotAllowed(now, status, reason);
    const bool isCurrent = m_state.with([now](const routing_state &routing) {
        return routing.configurationContact.isCurrent(now);
    });
    if (isCurrent)
        return {status, reason, std::nullopt};
    // A caller would take the refusal for final.
    m_state.metrics().counterOf("trefoil_unconfirmed_refusals_total").add();
    return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "the configuration may be out of date",
            withJitter(minRetryAfter * 2)};
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
    if (m_admitted.team == nullptr || m_admitted.team->rate <= 0)
        return std::nullopt;
    m_limitCost = 1;
    if (m_admitted.team->unit == limit_unit::Tokens)
        m_limitCost = m_fields.hasTokenCounts ? m_fields.promptTokens + m_fields.outputTokens
                                              : m_admitted.team->defaultTokens;
    m_limitChargedAt = now;
    team_limits::limit_state state;
    const std::optional<duration> wait = m_state.with([&](routing_state &routing) {
        state = routing.limits.limitState(now, m_admitted.team->name);
        return routing.limits.admit(now, m_admitted.team->name, m_limitCost);
    });
    if (!wait)
        return std::nullopt;
    writeEvent(event_line("limits", "over_limit")
                   .add("request", m_fields.requestId)
                   .add("team", m_admitted.team->name)
                   .add("units", m_limitCost)
                   .add("rate", state.rate)
                   .add("level", state.level)
                   .add("own_part", state.share)
                   .add("allowance", state.allowance)
                   .add("unheard", state.unheard)
                   .add("unheard_bound", state.unheardBound)
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
    for (const route_target &target : m_admitted.route->targets)
        sum += target.weight;
    constexpr double hashRange = 18446744073709551616.0;
    double remainingWeight = static_cast<double>(hash64(m_fields.requestId)) / hashRange * sum;
    for (const route_target &target : m_admitted.route->targets) {
        m_admitted.service = target.service;
        remainingWeight -= target.weight;
        if (remainingWeight < 0)
            return;
    }
}

request_profile request_runner::requestProfile() const
{
    return {.service = m_admitted.service,
            .model = m_terms.isModel ? std::string_view(m_fields.model) : std::string_view {},
            .cacheGroup = m_terms.cacheGroup,
            .prompt = m_fields.prompt,
            .outputTokens = m_fields.outputTokens,
            .tried = m_triedServers,
            .excludedReleases = m_excludedReleases,
            .targetLatency = m_admitted.route->targetLatency};
}

attempt_terms request_runner::termsInForce(timestamp now) const
{
    const std::shared_ptr<const serving_tables> inForce = m_state.tables();
    const bool isConfirmed = m_state.with([now](const routing_state &routing) {
        return routing.configurationContact.isConfirmed(now, routing.members.otherCount());
    });
    return attemptTerms(m_admitted, *inForce, isConfirmed);
}

std::optional<server_placement> request_runner::findServer(timestamp now, routing_state &routing)
{
    m_excludedReleases.clear();
    if (routing.releases.request(m_admitted.service)) {
        const std::uint64_t bits = hash64(m_fields.requestId);
        for (std::string &release : routing.balancer.releasesOf(m_admitted.service)) {
            if (!routing.releases.allows(now, m_admitted.service, release, bits))
                m_excludedReleases.push_back(std::move(release));
        }
    }
    return routing.balancer.choose(now, requestProfile());
}

std::optional<server_placement> request_runner::choosePlacement(timestamp now)
{
    m_terms = termsInForce(now);
    return m_state.with([&](routing_state &routing) -> std::optional<server_placement> {
        std::optional<server_placement> placed = findServer(now, routing);
        m_limitedFor = routing.balancer.limitedFor();
        m_isHeldBack = !placed && routing.balancer.isHeldBack();
        const bool isRefused = placed
            && (m_admission.isInForce() ? !m_admission.decide(now, routing, admissionSubject(),
                                                              m_deadline - now, *placed)
                                        : mustRefuse(now, *placed));
        if (isRefused)
            routing.balancer.cancel(*placed);
        m_isAdmissionDecided = m_admission.isInForce() && placed;
        if (m_admission.isInForce() && !placed && !m_limitedFor && m_triedServers.empty())
            m_isAdmissionDecided =
                m_admission.decideUnplaced(now, routing, admissionSubject(), m_deadline - now);
        return placed;
    });
}

int request_runner::rank() const
{
    constexpr int priorityStep = 3;
    constexpr int lastPriority = 9;
    const int teamPriority = m_admitted.team == nullptr ? 0 : m_admitted.team->priority;
    return std::clamp(teamPriority * priorityStep + m_admitted.route->priority, 0, lastPriority);
}

request_admission::subject request_runner::admissionSubject() const
{
    const std::vector<prompt_part> &prompt = m_fields.prompt;
    return {.requestId = m_fields.requestId,
            .service = m_admitted.service,
            .route = m_admitted.route->name,
            .team = m_admitted.team == nullptr ? std::string_view {} : m_admitted.team->name,
            .sharedPart = prompt.size() > 1 ? std::string_view(prompt[prompt.size() - 2].id)
                                            : std::string_view {},
            .rank = rank(),
            .target = m_admitted.route->targetLatency,
            .statedTime = m_deadline - m_request.receivedAt};
}

bool request_runner::mustRefuse(timestamp now, const server_placement &placed) const
{
    if (m_admission.isInForce())
        return m_admission.refusal() != nullptr;
    return isTooSlow(now, placed);
}

bool request_runner::isTooSlow(timestamp now, const server_placement &placed) const
{
    return placed.expectedMs > toSeconds(m_deadline - now) * 1000 * maxWaitFraction;
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
        if (m_isAdmissionDecided)
            m_admission.log(admissionSubject());
        if (m_isAdmissionDecided && m_admission.isWaiting()) {
            if (m_admission.wait(m_response.connection()))
                continue;
            endAbandoned();
            return std::nullopt;
        }
        if (m_isHeldBack && now - m_request.receivedAt < m_admitted.route->targetLatency / 2) {
            if (waitForRoom())
                continue;
            endAbandoned();
            return std::nullopt;
        }
        if (!placed || mustRefuse(now, *placed)) {
            logUnplaced(now, placed);
            return giveUp(unplacedRefusal(placed));
        }
        current.placed = *placed;
        const attempt_end end = runAttempt(current);
        finish(current, end);
        if (end == attempt_end::Delivered)
            return std::nullopt;
        if (end == attempt_end::Outdated)
            continue;
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

bool request_runner::waitForRoom()
{
    std::this_thread::sleep_for(roomCheckInterval);
    return !m_response.connection().isClosedByRemote();
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
    if (m_isAdmissionDecided && m_admission.refusal() != nullptr)
        return refusal {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "overloaded",
                        m_admission.refusal()->time};
    // Capacity frees up once the expected wait has shrunk to the route's target latency.
    duration wait = minRetryAfter * 2;
    if (best)
        wait =
            std::max(wait, fromSeconds(best->expectedMs / 1000) - m_admitted.route->targetLatency);
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
    if (end == attempt_end::Withheld)
        return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "the backend server failed the request",
                        std::nullopt};
    return refusal {HTTPResponse::HTTP_BAD_GATEWAY, "the backend server broke off", std::nullopt};
}

bool request_runner::mayRetryElsewhere(attempt_end end, const attempt &last)
{
    m_triedServers.push_back(last.placed.server);
    if (end != attempt_end::NotRun && !mayRunAgain(last))
        return false;
    if (!m_progress.canContinue())
        return false;
    if (!last.wasSent)
        return true;
    return last.isRetryTaken || m_state.with([this](routing_state &routing) {
        return retryBudget(routing).takeRetry(boot_clock::now());
    });
}

windowed_retry_budget &request_runner::retryBudget(routing_state &routing) const
{
    return routing.retryBudgets.try_emplace(m_admitted.service, routing.retryBudgetOptions)
        .first->second;
}

void request_runner::refundLimit()
{
    if (m_limitCost > 0)
        m_state.with([&](routing_state &routing) {
            routing.limits.refund(m_admitted.team->name, m_limitCost, m_limitChargedAt);
        });
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
