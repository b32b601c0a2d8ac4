#include <control/traffic_desk.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace trefoil {

namespace {

/// Attempts of one request, the first included.
constexpr int maxAttempts = 4;

/// How long a server that refused a connection, or did not answer, is avoided.
constexpr duration downTime = std::chrono::seconds(2);

/// A traffic thread must send within this time of the decision: well below the life of a grant.
constexpr duration decisionLife = std::chrono::seconds(1);

constexpr duration busyRetry = std::chrono::seconds(1);

/// A first token counts as slow when it takes this many times what was expected, and this much.
constexpr double slowFactor = 2;
constexpr double slowSeconds = 0.3;

/// Longest answer kept for the repeats of a claimed request.
constexpr std::size_t maxRecordedAnswer = 64 << 10;

bool meansServerIsDown(attempt_failure kind)
{
    return kind == attempt_failure::NotSent || kind == attempt_failure::Crashed
        || kind == attempt_failure::Timeout;
}

bool meansNotRun(attempt_failure kind)
{
    return kind == attempt_failure::NotSent || kind == attempt_failure::Busy;
}

} // namespace

traffic_desk::traffic_desk(limit_node &limits, std::string instance, std::string zone,
                           std::uint64_t incarnation, std::uint64_t randomSeed)
    : m_limits(limits), m_instance(std::move(instance)), m_zone(std::move(zone)),
      m_incarnation(incarnation), m_randomSeed(randomSeed),
      m_view(std::make_shared<const configuration_view>())
{ }

void traffic_desk::setConfiguration(timestamp now, std::shared_ptr<const configuration_view> view)
{
    m_view = std::move(view);
    std::map<std::string, token_limit, std::less<>> teams;
    for (const team &each : m_view->routes.teams)
        teams[each.name] = {.rate = static_cast<double>(each.rate),
                            .burst = static_cast<double>(each.burst)};
    m_limits.setTeams(now, teams);
    std::erase_if(m_pools, [&](const auto &each) { return !m_view->pools.findPool(each.first); });
    for (const pool &each : m_view->pools.pools) {
        if (!m_pools.contains(each.name))
            m_pools.emplace(each.name, placement({.randomSeed = m_randomSeed}));
        updateServers(each.name);
    }
}

void traffic_desk::updateServers(const std::string &poolName)
{
    const pool *table = m_view->pools.findPool(poolName);
    const auto found = m_pools.find(poolName);
    if (!table || found == m_pools.end())
        return;
    std::vector<placement_server> servers;
    for (const backend_server &each : table->servers) {
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

void traffic_desk::setRollout(const std::string &pool, const rollout_record &record)
{
    const auto found = m_rollouts.find(pool);
    const bool isNew = found == m_rollouts.end() || found->second.from != record.from
        || found->second.to != record.to;
    // A new move of the same version starts with a clean slate.
    if (isNew && record.stage == rollout_stage::Moving && record.share == 0)
        m_evidence[pool].forget(record.to);
    m_rollouts[pool] = record;
}

void traffic_desk::noteServerVersion(timestamp, const std::string &server,
                                     const std::string &version)
{
    const auto found = m_reportedVersions.find(server);
    if (found != m_reportedVersions.end() && found->second == version)
        return;
    m_reportedVersions[server] = version;
    for (const pool &each : m_view->pools.pools) {
        const bool holds = std::any_of(each.servers.begin(), each.servers.end(),
                                       [&](const backend_server &s) { return s.name == server; });
        if (holds)
            updateServers(each.name);
    }
}

void traffic_desk::noteLoad(timestamp now, const std::string &server, const load_report &report)
{
    for (auto it = m_pools.begin(); it != m_pools.end(); ++it)
        it->second.noteLoad(now, server, report);
}

void traffic_desk::noteEvents(timestamp now, const std::string &server, std::uint64_t incarnation,
                              std::uint64_t sequence, std::span<const digest128> stored,
                              std::span<const digest128> evicted)
{
    for (auto it = m_pools.begin(); it != m_pools.end(); ++it)
        it->second.noteEvents(now, server, incarnation, sequence, stored, evicted);
}

void traffic_desk::noteCrash(timestamp now, const crash_notice &notice)
{
    m_crashes.note(now, notice.body, notice.event);
}

void traffic_desk::addEvidence(const std::string &pool, const std::string &version,
                               const std::string &route, const outcome_counts &counts)
{
    m_evidence[pool].add(version, route, counts);
}

traffic_desk::request_state *traffic_desk::find(std::uint64_t id)
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : &found->second;
}

void traffic_desk::begin(timestamp now, traffic_begin request)
{
    assert(!m_requests.contains(request.id));
    const std::uint64_t id = request.id;
    request_state &state = m_requests[id];
    state.begin = std::move(request);
    m_budgets[state.begin.pool].noteRequest();
    if (m_crashes.isRefused(now, state.begin.body)) {
        refuse(now, state,
               {.status = 422,
                .code = "crashes-servers",
                .message = "this request was running on two backend servers when they crashed"});
        return;
    }
    if (state.begin.team.empty() || state.begin.tokens <= 0) {
        afterAdmission(now, state);
        return;
    }
    m_limits.request(now, id, state.begin.team, state.begin.tokens);
    serveAdmissions(now);
}

void traffic_desk::serveAdmissions(timestamp now)
{
    for (const admission &decision : m_limits.takeDecisions()) {
        request_state *state = find(decision.request);
        if (!state) {
            m_limits.finish(now, decision.request, 0); // its caller went away meanwhile
            continue;
        }
        if (decision.kind == admission::outcome::Admitted)
            afterAdmission(now, *state);
        else
            refuseAdmission(now, *state, decision);
    }
}

void traffic_desk::refuseAdmission(timestamp now, request_state &state, const admission &decision)
{
    const std::string team = "team \"" + state.begin.team + "\"";
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
                .retryAfter = busyRetry,
                .elsewhere = m_limits.ownerOf(state.begin.team)});
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

void traffic_desk::afterAdmission(timestamp now, request_state &state)
{
    const bool needsClaim = !state.begin.idempotent && !state.begin.idempotencyKey.empty();
    if (!needsClaim) {
        place(now, state);
        return;
    }
    // Checked before the claim, which can't be taken back once it is made.
    const auto pool = m_pools.find(state.begin.pool);
    if (pool == m_pools.end() || pool->second.usable(now).empty()) {
        refuse(now, state,
               {.status = 503,
                .code = "no-server",
                .message = "pool \"" + state.begin.pool + "\" has no backend server to take this",
                .retryAfter = busyRetry});
        return;
    }
    const std::string claimant =
        m_instance + "/" + std::to_string(m_incarnation) + "/" + std::to_string(state.begin.id);
    state.at = stage::Claim;
    state.once.emplace(claimant, toHex(state.begin.body));
    stepClaim(now, state);
}

void traffic_desk::stepClaim(timestamp now, request_state &state)
{
    const std::string name = claimName(state.begin.team, state.begin.idempotencyKey);
    switch (state.once->step()) {
    case claim_step::Create:
        m_claimCalls.push_back({.kind = claim_call::operation::Create,
                                .id = state.begin.id,
                                .name = name,
                                .text = state.once->text(),
                                .expected = state.once->expected()});
        return;
    case claim_step::Read:
        m_claimCalls.push_back(
            {.kind = claim_call::operation::Read, .id = state.begin.id, .name = name});
        return;
    case claim_step::Send:
        place(now, state);
        return;
    case claim_step::Replay: {
        const std::uint64_t id = state.begin.id;
        m_decisions.push_back({.id = id,
                               .what = traffic_replay {.recorded = state.once->recorded()},
                               .validUntil = now + decisionLife});
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
                .retryAfter = busyRetry});
        return;
    }
}

void traffic_desk::onClaimCreated(timestamp now, std::uint64_t id,
                                  const result<std::uint64_t> &outcome)
{
    request_state *state = find(id);
    if (!state || state->at != stage::Claim)
        return;
    if (outcome)
        state->claimVersion = *outcome;
    state->once->onCreated(outcome);
    stepClaim(now, *state);
}

void traffic_desk::onClaimRead(timestamp now, std::uint64_t id, const result<object> &outcome)
{
    request_state *state = find(id);
    if (!state || state->at != stage::Claim)
        return;
    if (outcome) {
        state->claimVersion = outcome->version;
        state->once->onRead(outcome->value, outcome->version);
    } else {
        state->once->onRead(tl::unexpected(outcome.error()), 0);
    }
    stepClaim(now, *state);
}

double traffic_desk::shareOf(const std::string &pool)
{
    const auto found = m_rollouts.find(pool);
    if (found == m_rollouts.end() || found->second.stage == rollout_stage::TakenBack)
        return 0;
    // Any instance that sees a fault stops its own share, without waiting for the driver.
    evidence_verdict why;
    const rollout_record &record = found->second;
    if (record.stage == rollout_stage::Moving
        && m_evidence[pool].isBad(record.to, record.from, why))
        return 0;
    return record.stage == rollout_stage::Done ? 1 : record.share;
}

std::string traffic_desk::wantedVersion(const request_state &state)
{
    const auto found = m_rollouts.find(state.begin.pool);
    if (found == m_rollouts.end())
        return {};
    const bool takesNew = takesNewVersion(state.begin.body.high, shareOf(state.begin.pool));
    return takesNew ? found->second.to : found->second.from;
}

void traffic_desk::place(timestamp now, request_state &state)
{
    const auto pool = m_pools.find(state.begin.pool);
    std::optional<placement_choice> choice;
    if (pool != m_pools.end()) {
        const std::string version = wantedVersion(state);
        placement_request request {.chain = &state.begin.chain,
                                   .zone = m_zone,
                                   .excluded = state.failedServers,
                                   .version = version};
        choice = pool->second.choose(now, request);
        // No server of the new version is up: the version before is the safe one. The other way
        // round only once the move is done.
        const auto rollout = m_rollouts.find(state.begin.pool);
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
                .message = "pool \"" + state.begin.pool + "\" has no backend server to take this",
                .retryAfter = busyRetry});
        return;
    }
    const struct pool *table = m_view->pools.findPool(state.begin.pool);
    const auto server =
        std::find_if(table->servers.begin(), table->servers.end(),
                     [&](const backend_server &s) { return s.name == choice->server; });
    pool->second.noteSent(now, choice->server, state.begin.chain, choice->believedBlocks);
    state.at = stage::Sent;
    state.choice = choice;
    state.sentAt = now;
    state.firstToken = false;
    ++state.attempts;
    m_decisions.push_back({.id = state.begin.id,
                           .what = traffic_go {.server = choice->server,
                                               .address = server->address,
                                               .version = choice->version,
                                               .attempt = m_nextAttempt++,
                                               .believedBlocks = choice->believedBlocks},
                           .validUntil = now + decisionLife});
}

void traffic_desk::refuse(timestamp now, request_state &state, traffic_refuse refusal)
{
    const std::uint64_t id = state.begin.id;
    refusal.mayHaveRun = state.mayHaveRun;
    // A claim whose request was surely not run is given back, so that the caller may repeat it.
    const bool isHeld = state.once && state.once->step() == claim_step::Send;
    if (isHeld && !state.mayHaveRun)
        m_claimCalls.push_back({.kind = claim_call::operation::Answer,
                                .id = id,
                                .name = claimName(state.begin.team, state.begin.idempotencyKey),
                                .text = state.once->releasedText(),
                                .expected = state.claimVersion});
    m_decisions.push_back({.id = id, .what = std::move(refusal), .validUntil = now + decisionLife});
    m_limits.finish(now, id, 0);
    m_requests.erase(id);
}

void traffic_desk::onFirstToken(timestamp now, const traffic_first_token &report)
{
    request_state *state = find(report.id);
    if (!state || !state->choice || state->firstToken)
        return;
    state->firstToken = true;
    const auto pool = m_pools.find(state->begin.pool);
    if (pool != m_pools.end())
        pool->second.noteFirstToken(now, state->choice->server, state->begin.chain,
                                    state->choice->believedBlocks, report.cachedTokens);
    const double seconds = toSeconds(now - state->sentAt);
    const double expected = std::max(0.0, state->choice->expectedSeconds);
    const bool slow = seconds > slowFactor * expected + slowSeconds;
    noteOutcome(*state, false, slow);
}

void traffic_desk::noteOutcome(const request_state &state, bool failed, bool slow)
{
    const std::string &version = state.choice->version;
    m_evidence[state.begin.pool].note(version, state.begin.route, failed, slow);
    outcome_counts &counts = m_outcomes[{state.begin.pool, version, state.begin.route}];
    ++counts.requests;
    counts.failures += failed ? 1 : 0;
    counts.slow += slow ? 1 : 0;
}

void traffic_desk::onFailed(timestamp now, const traffic_failed &report)
{
    request_state *state = find(report.id);
    if (!state || state->at != stage::Sent)
        return;
    const std::string server = state->choice->server;
    const auto pool = m_pools.find(state->begin.pool);
    if (pool != m_pools.end()) {
        if (!state->firstToken)
            pool->second.noteAborted(server, state->begin.chain, state->choice->believedBlocks);
        if (meansServerIsDown(report.kind))
            pool->second.setDown(server, now + downTime);
    }
    if (report.kind != attempt_failure::NotSent && report.kind != attempt_failure::Busy)
        noteOutcome(*state, true, false);
    if (report.kind == attempt_failure::Crashed) {
        const crash_notice notice {.body = state->begin.body,
                                   .event = m_instance + "/" + std::to_string(m_incarnation) + "/"
                                       + std::to_string(m_nextAttempt) + "/" + server};
        m_crashes.note(now, notice.body, notice.event);
        m_crashNotices.push_back(notice);
    }
    state->mayHaveRun = state->mayHaveRun || !meansNotRun(report.kind);
    state->failedServers.push_back(server);
    std::optional<traffic_refuse> refusal = refuseRetry(now, *state, report.kind);
    if (refusal)
        refuse(now, *state, std::move(*refusal));
    else
        place(now, *state);
}

std::optional<traffic_refuse> traffic_desk::refuseRetry(timestamp now, const request_state &state,
                                                        attempt_failure kind)
{
    if (m_crashes.isRefused(now, state.begin.body))
        return traffic_refuse {
            .status = 422,
            .code = "crashes-servers",
            .message = "this request was running on two backend servers when they crashed"};
    // Where no byte left, another server may be tried whatever the request is.
    if (!state.begin.idempotent && state.mayHaveRun)
        return traffic_refuse {.status = 502,
                               .code = "fate-unknown",
                               .message = "backend server \"" + state.choice->server
                                   + "\" did not answer; the request is not repeated"};
    const bool isFree = meansNotRun(kind);
    if (state.attempts >= maxAttempts || (!isFree && !m_budgets[state.begin.pool].takeRetry()))
        return traffic_refuse {.status = 502,
                               .code = "attempts-failed",
                               .message = "pool \"" + state.begin.pool + "\" failed "
                                   + std::to_string(state.attempts) + " attempts",
                               .retryAfter = busyRetry};
    return std::nullopt;
}

void traffic_desk::onEnd(timestamp now, const traffic_end &report)
{
    request_state *state = find(report.id);
    if (!state)
        return;
    m_limits.finish(now, report.id, report.usedTokens);
    const auto pool = m_pools.find(state->begin.pool);
    if (state->choice && !state->firstToken && pool != m_pools.end()) {
        pool->second.noteAborted(state->choice->server, state->begin.chain,
                                 state->choice->believedBlocks);
        if (report.answered)
            noteOutcome(*state, false, false);
    }
    const bool record = state->once && report.answered && report.answer.size() <= maxRecordedAnswer;
    if (record) {
        claim_record kept = claimFromText(state->once->text()).value_or(claim_record {});
        kept.answered = true;
        kept.status = report.status;
        kept.contentType = report.contentType;
        kept.answer = report.answer;
        m_claimCalls.push_back({.kind = claim_call::operation::Answer,
                                .id = report.id,
                                .name = claimName(state->begin.team, state->begin.idempotencyKey),
                                .text = toText(kept),
                                .expected = state->claimVersion});
    }
    m_requests.erase(report.id);
}

std::vector<traffic_decision> traffic_desk::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<claim_call> traffic_desk::takeClaimCalls() { return std::exchange(m_claimCalls, {}); }

std::vector<crash_notice> traffic_desk::takeCrashes() { return std::exchange(m_crashNotices, {}); }

} // namespace trefoil
