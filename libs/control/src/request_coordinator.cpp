#include <control/request_coordinator.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace trefoil {

namespace {

/// Maximum attempts of one request, including the first.
constexpr int maxAttempts = 4;

/// Time for which a server that refused a connection, crashed or timed out is avoided.
constexpr duration serverDownPeriod = std::chrono::seconds(2);

/// Time within which the request thread must act on a decision. Well below the lifetime of a grant.
constexpr duration decisionValidity = std::chrono::seconds(1);

constexpr duration defaultRetryAfter = std::chrono::seconds(1);

/// A first token is slow if it takes longer than slowFactor times the expected time plus
/// slowMarginSeconds.
constexpr double slowFactor = 2;
constexpr double slowMarginSeconds = 0.3;

/// Maximum length of an answer that is recorded for retries with the same idempotency key.
constexpr std::size_t maxRecordedAnswerBytes = 64 << 10;

bool indicatesServerDown(attempt_failure kind)
{
    return kind == attempt_failure::NotSent || kind == attempt_failure::Crashed
        || kind == attempt_failure::Timeout;
}

} // namespace

bool indicatesNotRun(attempt_failure kind)
{
    return kind == attempt_failure::NotSent || kind == attempt_failure::Busy;
}

request_coordinator::request_coordinator(rate_limiter &limits, std::string instance,
                                         std::string zone, std::uint64_t incarnation,
                                         std::uint64_t randomSeed)
    : m_limits(limits), m_instance(std::move(instance)), m_zone(std::move(zone)),
      m_incarnation(incarnation), m_randomSeed(randomSeed),
      m_configuration(std::make_shared<const configuration_snapshot>())
{ }

void request_coordinator::setConfiguration(
    timestamp now, std::shared_ptr<const configuration_snapshot> configuration)
{
    m_configuration = std::move(configuration);
    std::map<std::string, token_limit, std::less<>> teams;
    for (const team &each : m_configuration->routes.teams)
        teams[each.name] = {.rate = static_cast<double>(each.rate),
                            .burst = static_cast<double>(each.burst)};
    m_limits.setTeams(now, teams);
    std::erase_if(m_pools,
                  [&](const auto &each) { return !m_configuration->pools.findPool(each.first); });
    for (const pool &each : m_configuration->pools.pools) {
        if (!m_pools.contains(each.name))
            m_pools.emplace(each.name, placement({.randomSeed = m_randomSeed}));
        updateServers(each.name);
    }
}

void request_coordinator::updateServers(const std::string &poolName)
{
    const pool *poolConfig = m_configuration->pools.findPool(poolName);
    const auto found = m_pools.find(poolName);
    if (!poolConfig || found == m_pools.end())
        return;
    std::vector<placement_server> servers;
    for (const backend_server &each : poolConfig->servers) {
        const auto reported = m_reportedVersions.find(each.name);
        const bool isLoading = reported != m_reportedVersions.end() && reported->second.empty();
        servers.push_back(
            {.name = each.name,
             .zone = each.zone,
             .version = reported == m_reportedVersions.end() ? each.version : reported->second,
             .leaving = each.leaving || isLoading});
    }
    found->second.setServers(servers);
}

void request_coordinator::setRollout(const std::string &pool, const rollout_record &record)
{
    const auto found = m_rollouts.find(pool);
    const bool isNew = found == m_rollouts.end() || found->second.from != record.from
        || found->second.to != record.to;
    // A restarted rollout to the same version must not be judged by the outcomes of the previous
    // one.
    if (isNew && record.stage == rollout_stage::Moving && record.share == 0)
        m_evidence[pool].forget(record.to);
    m_rollouts[pool] = record;
}

void request_coordinator::setServerVersion(timestamp, const std::string &server,
                                           const std::string &version)
{
    const auto found = m_reportedVersions.find(server);
    if (found != m_reportedVersions.end() && found->second == version)
        return;
    m_reportedVersions[server] = version;
    for (const pool &each : m_configuration->pools.pools) {
        const bool holds = std::any_of(each.servers.begin(), each.servers.end(),
                                       [&](const backend_server &s) { return s.name == server; });
        if (holds)
            updateServers(each.name);
    }
}

void request_coordinator::setServerLoad(timestamp now, const std::string &server,
                                        const load_report &report)
{
    for (auto it = m_pools.begin(); it != m_pools.end(); ++it)
        it->second.applyLoadReport(now, server, report);
}

void request_coordinator::onCacheEvents(timestamp now, const std::string &server,
                                        std::uint64_t incarnation, std::uint64_t sequence,
                                        std::span<const digest128> stored,
                                        std::span<const digest128> evicted)
{
    for (auto it = m_pools.begin(); it != m_pools.end(); ++it)
        it->second.applyCacheEvents(now, server, incarnation, sequence, stored, evicted);
}

void request_coordinator::onRemoteCrash(timestamp now, const crash_notice &notice)
{
    m_crashes.recordCrash(now, notice.body, notice.event);
}

void request_coordinator::addRemoteOutcomes(const std::string &pool, const std::string &version,
                                            const std::string &route, const outcome_counts &counts)
{
    m_evidence[pool].add(version, route, counts);
}

request_coordinator::request_state *request_coordinator::find(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void request_coordinator::begin(timestamp now, incoming_request request)
{
    assert(!m_requests.contains(request.id));
    const std::uint64_t id = request.id;
    request_state &state = m_requests[id];
    state.request = std::move(request);
    m_budgets[state.request.pool].recordRequest();
    if (m_crashes.isRefused(now, state.request.body)) {
        refuse(now, state,
               {.status = 422,
                .code = "crashes-servers",
                .message = "this request was running on two backend servers when they crashed"});
        return;
    }
    if (state.request.team.empty() || state.request.tokens <= 0) {
        onAdmitted(now, state);
        return;
    }
    m_limits.request(now, id, state.request.team, state.request.tokens);
    processAdmissions(now);
}

void request_coordinator::processAdmissions(timestamp now)
{
    for (const admission &decision : m_limits.takeDecisions()) {
        request_state *state = find(decision.request);
        if (!state) {
            m_limits.finish(now, decision.request, 0); // the caller has disconnected
            continue;
        }
        if (decision.kind == admission::outcome::Admitted)
            onAdmitted(now, *state);
        else
            refuseAdmission(now, *state, decision);
    }
}

void request_coordinator::refuseAdmission(timestamp now, request_state &state,
                                          const admission &decision)
{
    const std::string team = "team \"" + state.request.team + "\"";
    switch (decision.kind) {
    case admission::outcome::OverLimit:
        refuse(now, state,
               {.status = 429,
                .code = "over-limit",
                .message = team + " is over its token rate",
                .retryAfter = decision.retryAfter});
        return;
    case admission::outcome::TooLarge:
        refuse(now, state,
               {.status = 413,
                .code = "over-burst",
                .message = "the request needs more tokens than the burst of " + team});
        return;
    case admission::outcome::OwnerOnly: {
        refuse(now, state,
               {.status = 503,
                .code = "ask-owner",
                .message =
                    "so large a request is served by the instance that keeps the limit of " + team,
                .retryAfter = defaultRetryAfter,
                .redirectTo = m_limits.ownerOf(state.request.team)});
        return;
    }
    case admission::outcome::NoOwner:
        refuse(now, state,
               {.status = 503,
                .code = "no-limit-owner",
                .message = "no instance keeps the limit of " + team + " at the moment",
                .retryAfter = decision.retryAfter});
        return;
    case admission::outcome::UnknownTeam:
        refuse(now, state,
               {.status = 403, .code = "unknown-team", .message = team + " does not exist"});
        return;
    case admission::outcome::Admitted:
        return;
    }
}

void request_coordinator::onAdmitted(timestamp now, request_state &state)
{
    const bool needsClaim = !state.request.idempotent && !state.request.idempotencyKey.empty();
    if (!needsClaim) {
        place(now, state);
        return;
    }
    // Checked before the claim is created, because a claim object can't be removed afterwards.
    const auto pool = m_pools.find(state.request.pool);
    if (pool == m_pools.end() || pool->second.availableServers(now).empty()) {
        refuse(now, state,
               {.status = 503,
                .code = "no-server",
                .message = "pool \"" + state.request.pool + "\" has no backend server to take this",
                .retryAfter = defaultRetryAfter});
        return;
    }
    const std::string claimant =
        m_instance + "/" + std::to_string(m_incarnation) + "/" + std::to_string(state.request.id);
    state.stage = request_stage::Claim;
    state.idempotencyClaim.emplace(claimant, toHex(state.request.body));
    advanceClaim(now, state);
}

void request_coordinator::advanceClaim(timestamp now, request_state &state)
{
    const std::string name = claimObjectName(state.request.team, state.request.idempotencyKey);
    switch (state.idempotencyClaim->step()) {
    case claim_step::Create:
        m_claimCalls.push_back({.kind = claim_call::operation::Create,
                                .id = state.request.id,
                                .name = name,
                                .text = state.idempotencyClaim->text(),
                                .expected = state.idempotencyClaim->expectedVersion()});
        return;
    case claim_step::Read:
        m_claimCalls.push_back(
            {.kind = claim_call::operation::Read, .id = state.request.id, .name = name});
        return;
    case claim_step::Send:
        place(now, state);
        return;
    case claim_step::Replay: {
        const std::uint64_t id = state.request.id;
        m_decisions.push_back(
            {.id = id,
             .action = replay_decision {.recorded = state.idempotencyClaim->storedRecord()},
             .validUntil = now + decisionValidity});
        m_limits.finish(now, id, 0);
        m_requests.erase(id);
        return;
    }
    case claim_step::RefuseUnknown:
        state.mayHaveRun = true;
        refuse(now, state,
               {.status = 409,
                .code = "already-claimed",
                .message = "a request with this idempotency key was sent before; its fate is not "
                           "known"});
        return;
    case claim_step::RefuseMismatch:
        refuse(now, state,
               {.status = 422,
                .code = "key-reused",
                .message = "this idempotency key was used for another request"});
        return;
    case claim_step::RefuseNotRun:
        refuse(now, state,
               {.status = 503,
                .code = "no-claim",
                .message = "the platform can't be asked whether this request ran before",
                .retryAfter = defaultRetryAfter});
        return;
    }
}

void request_coordinator::onClaimCreated(timestamp now, std::uint64_t id,
                                         const result<std::uint64_t> &outcome)
{
    request_state *state = find(id);
    if (!state || state->stage != request_stage::Claim)
        return;
    if (outcome)
        state->claimVersion = *outcome;
    state->idempotencyClaim->onCreated(outcome);
    advanceClaim(now, *state);
}

void request_coordinator::onClaimRead(timestamp now, std::uint64_t id,
                                      const result<object> &outcome)
{
    request_state *state = find(id);
    if (!state || state->stage != request_stage::Claim)
        return;
    if (outcome) {
        state->claimVersion = outcome->version;
        state->idempotencyClaim->onRead(outcome->value, outcome->version);
    } else {
        state->idempotencyClaim->onRead(tl::unexpected(outcome.error()), 0);
    }
    advanceClaim(now, *state);
}

double request_coordinator::newVersionShare(const std::string &pool)
{
    const auto found = m_rollouts.find(pool);
    if (found == m_rollouts.end() || found->second.stage == rollout_stage::RolledBack)
        return 0;
    // An instance that sees the new version fail stops sending to it without waiting for the
    // controller.
    bad_version_verdict verdict;
    const rollout_record &record = found->second;
    if (record.stage == rollout_stage::Moving
        && m_evidence[pool].isBad(record.to, record.from, verdict))
        return 0;
    return record.stage == rollout_stage::Done ? 1 : record.share;
}

std::string request_coordinator::targetVersion(const request_state &state)
{
    const auto found = m_rollouts.find(state.request.pool);
    if (found == m_rollouts.end())
        return {};
    const bool takesNew =
        takesNewVersion(state.request.body.high, newVersionShare(state.request.pool));
    return takesNew ? found->second.to : found->second.from;
}

void request_coordinator::place(timestamp now, request_state &state)
{
    const auto pool = m_pools.find(state.request.pool);
    std::optional<placement_choice> choice;
    if (pool != m_pools.end()) {
        const std::string version = targetVersion(state);
        placement_request request {.chain = &state.request.chain,
                                   .zone = m_zone,
                                   .excluded = state.failedServers,
                                   .version = version};
        choice = pool->second.choose(now, request);
        // No server of the target version is usable. Until the rollout is done only the old version
        // is a safe replacement; after that any version is.
        const auto rollout = m_rollouts.find(state.request.pool);
        if (!choice && rollout != m_rollouts.end()) {
            const rollout_record &record = rollout->second;
            const bool done = record.stage == rollout_stage::Done;
            request.version = done ? std::string_view() : std::string_view(record.from);
            choice = pool->second.choose(now, request);
        }
    }
    if (!choice) {
        refuse(now, state,
               {.status = 503,
                .code = "no-server",
                .message = "pool \"" + state.request.pool + "\" has no backend server to take this",
                .retryAfter = defaultRetryAfter});
        return;
    }
    const struct pool *poolConfig = m_configuration->pools.findPool(state.request.pool);
    const auto server =
        std::find_if(poolConfig->servers.begin(), poolConfig->servers.end(),
                     [&](const backend_server &s) { return s.name == choice->server; });
    pool->second.recordSent(now, choice->server, state.request.chain,
                            choice->estimatedCachedBlocks);
    state.stage = request_stage::Sent;
    state.choice = choice;
    state.sentAt = now;
    state.hasFirstToken = false;
    ++state.attempts;
    ++m_attemptCount;
    m_decisions.push_back(
        {.id = state.request.id,
         .action = send_decision {.server = choice->server,
                                  .address = server->address,
                                  .version = choice->version,
                                  .estimatedCachedBlocks = choice->estimatedCachedBlocks},
         .validUntil = now + decisionValidity});
}

void request_coordinator::refuse(timestamp now, request_state &state, refuse_decision refusal)
{
    const std::uint64_t id = state.request.id;
    refusal.mayHaveRun = state.mayHaveRun;
    // The claim of a request that certainly did not run is released, so that the caller may retry.
    const bool holdsClaim =
        state.idempotencyClaim && state.idempotencyClaim->step() == claim_step::Send;
    if (holdsClaim && !state.mayHaveRun)
        m_claimCalls.push_back(
            {.kind = claim_call::operation::Update,
             .id = id,
             .name = claimObjectName(state.request.team, state.request.idempotencyKey),
             .text = state.idempotencyClaim->releasedText(),
             .expected = state.claimVersion});
    m_decisions.push_back(
        {.id = id, .action = std::move(refusal), .validUntil = now + decisionValidity});
    m_limits.finish(now, id, 0);
    m_requests.erase(id);
}

void request_coordinator::onFirstToken(timestamp now, const first_token_report &report)
{
    request_state *state = find(report.id);
    if (!state || !state->choice || state->hasFirstToken)
        return;
    state->hasFirstToken = true;
    const auto pool = m_pools.find(state->request.pool);
    if (pool != m_pools.end())
        pool->second.recordFirstToken(now, state->choice->server, state->request.chain,
                                      state->choice->estimatedCachedBlocks, report.cachedTokens);
    const double seconds = toSeconds(now - state->sentAt);
    const double expected = std::max(0.0, state->choice->expectedSeconds);
    const bool slow = seconds > slowFactor * expected + slowMarginSeconds;
    recordOutcome(*state, false, slow);
}

void request_coordinator::recordOutcome(const request_state &state, bool failed, bool slow)
{
    const std::string &version = state.choice->version;
    m_evidence[state.request.pool].recordOutcome(version, state.request.route, failed, slow);
    outcome_counts &counts = m_outcomes[{state.request.pool, version, state.request.route}];
    ++counts.requests;
    counts.failures += failed ? 1 : 0;
    counts.slow += slow ? 1 : 0;
}

void request_coordinator::onFailed(timestamp now, const attempt_failure_report &report)
{
    request_state *state = find(report.id);
    if (!state || state->stage != request_stage::Sent)
        return;
    const std::string server = state->choice->server;
    const auto pool = m_pools.find(state->request.pool);
    if (pool != m_pools.end()) {
        if (!state->hasFirstToken)
            pool->second.recordAborted(server, state->request.chain,
                                       state->choice->estimatedCachedBlocks);
        if (indicatesServerDown(report.kind))
            pool->second.setDown(server, now + serverDownPeriod);
    }
    if (report.kind != attempt_failure::NotSent && report.kind != attempt_failure::Busy)
        recordOutcome(*state, true, false);
    if (report.kind == attempt_failure::Crashed) {
        const crash_notice notice {.body = state->request.body,
                                   .event = m_instance + "/" + std::to_string(m_incarnation) + "/"
                                       + std::to_string(m_attemptCount) + "/" + server};
        m_crashes.recordCrash(now, notice.body, notice.event);
        m_crashNotices.push_back(notice);
    }
    state->mayHaveRun = state->mayHaveRun || !indicatesNotRun(report.kind);
    state->failedServers.push_back(server);
    std::optional<refuse_decision> refusal = checkRetry(now, *state, report.kind);
    if (refusal)
        refuse(now, *state, std::move(*refusal));
    else
        place(now, *state);
}

std::optional<refuse_decision>
request_coordinator::checkRetry(timestamp now, const request_state &state, attempt_failure kind)
{
    if (m_crashes.isRefused(now, state.request.body))
        return refuse_decision {
            .status = 422,
            .code = "crashes-servers",
            .message = "this request was running on two backend servers when they crashed"};
    // A request that certainly did not run may be retried even if it is not idempotent.
    if (!state.request.idempotent && state.mayHaveRun)
        return refuse_decision {.status = 502,
                                .code = "fate-unknown",
                                .message = "backend server \"" + state.choice->server
                                    + (kind == attempt_failure::Withheld
                                           ? "\" failed the request; it may have run"
                                           : "\" did not answer; the request is not repeated")};
    const bool isExemptFromBudget = indicatesNotRun(kind);
    if (state.attempts >= maxAttempts
        || (!isExemptFromBudget && !m_budgets[state.request.pool].takeRetry()))
        return refuse_decision {.status = 502,
                                .code = "attempts-failed",
                                .message = "pool \"" + state.request.pool + "\" failed "
                                    + std::to_string(state.attempts) + " attempts",
                                .retryAfter = defaultRetryAfter};
    return std::nullopt;
}

void request_coordinator::onEnd(timestamp now, const request_end_report &report)
{
    request_state *state = find(report.id);
    if (!state)
        return;
    m_limits.finish(now, report.id, report.usedTokens);
    const auto pool = m_pools.find(state->request.pool);
    if (state->choice && !state->hasFirstToken && pool != m_pools.end()) {
        pool->second.recordAborted(state->choice->server, state->request.chain,
                                   state->choice->estimatedCachedBlocks);
        if (report.answered)
            recordOutcome(*state, false, false);
    }
    const bool shouldRecord = state->idempotencyClaim && report.answered
        && report.answer.size() <= maxRecordedAnswerBytes;
    if (shouldRecord) {
        claim_record record =
            claimFromText(state->idempotencyClaim->text()).value_or(claim_record {});
        record.answered = true;
        record.status = report.status;
        record.contentType = report.contentType;
        record.answer = report.answer;
        m_claimCalls.push_back(
            {.kind = claim_call::operation::Update,
             .id = report.id,
             .name = claimObjectName(state->request.team, state->request.idempotencyKey),
             .text = toText(record),
             .expected = state->claimVersion});
    }
    m_requests.erase(report.id);
}

std::vector<request_decision> request_coordinator::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<claim_call> request_coordinator::takeClaimCalls()
{
    return std::exchange(m_claimCalls, {});
}

std::vector<crash_notice> request_coordinator::takeCrashNotices()
{
    return std::exchange(m_crashNotices, {});
}

} // namespace trefoil
