#include <limits/rate_limiter.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include <core/digest.h>

namespace trefoil {

namespace {

/// Timeout after which a grant call counts as failed and is sent again.
constexpr duration callTimeout = std::chrono::milliseconds(250);

/// Retry time given to callers while no instance owns the team's shard: about the duration of a
/// takeover.
constexpr duration noOwnerRetry = std::chrono::seconds(1);

/// Time beyond the lifetime of a grant after which the owner treats the grant as expired. Covers
/// the difference of the machines' clock rates.
constexpr duration grantExpiryMargin = std::chrono::milliseconds(100);

/// Time for which a shard is treated as changing its owner after an acquisition, a failed call or a
/// NotOwner answer.
constexpr duration ownerChangeDuration = std::chrono::seconds(3);

/// Smallest expected demand, in tokens, that is prefetched.
constexpr double minPrefetchTokens = 1;

/// Retry time for prefetching when the owner has no tokens to spare.
constexpr duration prefetchRetry = std::chrono::milliseconds(100);

/// Minimum time between two grant calls for the same team, so that refusals don't cause a busy
/// loop.
constexpr duration minCallInterval = std::chrono::milliseconds(10);

} // namespace

std::string shardKey(std::string_view team, int shards)
{
    return "limits/" + std::to_string(hash64(team) % static_cast<std::uint64_t>(shards));
}

std::vector<std::string> shardKeys(int shards)
{
    std::vector<std::string> keys;
    for (int i = 0; i < shards; ++i)
        keys.push_back("limits/" + std::to_string(i));
    return keys;
}

rate_limiter::rate_limiter(rate_limiter_options options, const lease_view &leases)
    : m_options(std::move(options)), m_leases(leases)
{
    assert(m_options.shards > 0);
}

void rate_limiter::setTeams(timestamp now,
                            const std::map<std::string, token_limit, std::less<>> &teams)
{
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        if (teams.contains(it->first)) {
            ++it;
            continue;
        }
        for (const queued_request &item : it->second.queue)
            m_decisions.push_back(
                {.kind = admission::outcome::UnknownTeam, .request = item.request});
        it = m_teams.erase(it);
    }
    for (auto it = teams.begin(); it != teams.end(); ++it) {
        team_state &state = m_teams[it->first];
        const bool isNew = state.shard.empty();
        state.limit = it->second;
        state.shard = shardKey(it->first, m_options.shards);
        if (state.bucket)
            state.bucket->setLimit(now, it->second);
        const auto owned = m_owned.find(state.shard);
        if (isNew && owned != m_owned.end())
            openBucket(now, state, owned->second);
    }
}

void rate_limiter::onLease(timestamp now, const lease_event &event)
{
    if (event.kind == lease_event::change::RecordChanged)
        return;
    const bool acquired = event.kind == lease_event::change::Acquired;
    if (acquired)
        m_owned[event.key] = event;
    else
        m_owned.erase(event.key);
    for (auto it = m_teams.begin(); it != m_teams.end(); ++it) {
        if (it->second.shard != event.key)
            continue;
        if (acquired)
            openBucket(now, it->second, event);
        else
            it->second.bucket.reset();
    }
}

void rate_limiter::openBucket(timestamp now, team_state &state, const lease_event &event)
{
    state.epoch = event.record.epoch;
    if (event.firstAcquisition) {
        state.bucket.emplace(state.limit, now, state.limit.burst);
        return;
    }
    markOwnerChange(now, state);
    // Starts empty: the previous owner may have admitted and granted a full burst.
    state.bucket.emplace(state.limit, now, 0);
    state.bucket->reserveForPriorGrants(now, event.previousOwnerStable,
                                        now + m_options.grantLifetime + grantExpiryMargin);
}

duration rate_limiter::remainingWait(timestamp now, const team_state &state,
                                     const queued_request &item) const
{
    const bool ownerChanging = now < state.ownerChangeUntil;
    return item.queuedAt + (ownerChanging ? m_options.maxOwnerChangeWait : m_options.maxWait) - now;
}

void rate_limiter::markOwnerChange(timestamp now, team_state &state)
{
    state.ownerChangeUntil = now + ownerChangeDuration;
}

bool rate_limiter::owns(timestamp now, const team_state &state) const
{
    return state.bucket && m_leases.holds(now, state.shard);
}

void rate_limiter::request(timestamp now, std::uint64_t request, std::string_view team,
                           double tokens)
{
    assert(!m_admitted.contains(request));
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        m_decisions.push_back({.kind = admission::outcome::UnknownTeam, .request = request});
        return;
    }
    team_state &state = found->second;
    if (tokens > state.limit.burst) {
        m_decisions.push_back({.kind = admission::outcome::TooLarge, .request = request});
        return;
    }
    if (!owns(now, state))
        state.receivedGrants.recordDemand(now, tokens);
    state.queue.push_back({.request = request, .tokens = tokens, .queuedAt = now});
    m_active.insert(found->first);
    serveQueue(now, found->first, state);
}

bool rate_limiter::tryAdmit(timestamp now, const std::string &team, team_state &state,
                            const queued_request &item)
{
    admitted_request entry {.team = team, .tokens = item.tokens};
    if (owns(now, state)) {
        const std::optional<std::uint64_t> id = state.bucket->reserve(now, item.tokens);
        if (!id)
            return false;
        entry.reservation = *id;
        entry.epoch = state.epoch;
    } else {
        std::optional<std::vector<grant_share>> shares =
            state.receivedGrants.spend(now, item.tokens);
        if (!shares)
            return false;
        entry.shares = std::move(*shares);
    }
    m_admitted[item.request] = std::move(entry);
    m_decisions.push_back({.kind = admission::outcome::Admitted, .request = item.request});
    return true;
}

std::optional<admission> rate_limiter::refusalFor(timestamp now, team_state &state,
                                                  const queued_request &item)
{
    const duration left = remainingWait(now, state, item);
    if (owns(now, state)) {
        const std::optional<duration> wait = state.bucket->timeUntilAvailable(now, item.tokens);
        if (!wait)
            return admission {.kind = admission::outcome::TooLarge, .request = item.request};
        if (*wait > left)
            return admission {.kind = admission::outcome::OverLimit,
                              .request = item.request,
                              .retryAfter = *wait};
        return std::nullopt;
    }
    if (left <= duration::zero())
        return admission {.kind = admission::outcome::NoOwner,
                          .request = item.request,
                          .retryAfter = noOwnerRetry};
    return std::nullopt;
}

void rate_limiter::serveQueue(timestamp now, const std::string &team, team_state &state)
{
    // In order of arrival: a small request does not overtake a large one that waits for tokens.
    std::size_t served = 0;
    while (served < state.queue.size()) {
        const queued_request &head = state.queue[served];
        if (!tryAdmit(now, team, state, head)) {
            const std::optional<admission> refused = refusalFor(now, state, head);
            if (!refused)
                break;
            m_decisions.push_back(*refused);
        }
        ++served;
    }
    state.queue.erase(state.queue.begin(),
                      state.queue.begin() + static_cast<std::ptrdiff_t>(served));
}

void rate_limiter::finish(timestamp now, std::uint64_t request, double used)
{
    const auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    const admitted_request entry = std::move(found->second);
    m_admitted.erase(found);
    const auto team = m_teams.find(entry.team);
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    const double unused = std::clamp(entry.tokens - used, 0.0, entry.tokens);
    if (!entry.shares.empty())
        state.receivedGrants.finish(now, entry.shares, unused);
    else if (state.bucket && state.epoch == entry.epoch)
        state.bucket->settle(now, entry.reservation, unused);
}

std::vector<admission> rate_limiter::takeDecisions() { return std::exchange(m_decisions, {}); }

std::vector<grant_call> rate_limiter::tick(timestamp now)
{
    std::vector<std::uint64_t> timedOut;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (now - it->second.sentAt >= callTimeout)
            timedOut.push_back(it->first);
    }
    for (const std::uint64_t id : timedOut)
        onFailure(now, id);
    std::vector<grant_call> calls;
    for (auto it = m_active.begin(); it != m_active.end();) {
        const auto team = m_teams.find(*it);
        if (team == m_teams.end() || isIdle(now, team->second)) {
            it = m_active.erase(it);
            continue;
        }
        team_state &state = team->second;
        if (!state.queue.empty())
            serveQueue(now, team->first, state);
        for (const grant_settlement &item : state.receivedGrants.takeSettled(now))
            state.settled.push_back(item);
        std::optional<grant_call> call = nextGrantCall(now, team->first, state);
        if (call)
            calls.push_back(std::move(*call));
        ++it;
    }
    return calls;
}

bool rate_limiter::isIdle(timestamp now, const team_state &state) const
{
    return state.queue.empty() && state.pendingCall == 0 && state.settled.empty()
        && state.receivedGrants.isEmpty()
        && state.receivedGrants.demand(now) * toSeconds(m_options.prefetch) < minPrefetchTokens;
}

std::optional<grant_call> rate_limiter::nextGrantCall(timestamp now, const std::string &team,
                                                      team_state &state)
{
    if (owns(now, state)) {
        // Grants received before this instance became the owner belong to the previous owner's
        // bucket.
        state.settled.clear();
        return std::nullopt;
    }
    if (state.pendingCall != 0 || now < state.nextCallAt)
        return std::nullopt;
    double waitingTokens = 0;
    for (const queued_request &item : state.queue)
        waitingTokens += item.tokens;
    const double expected = state.receivedGrants.demand(now) * toSeconds(m_options.prefetch);
    const double available = state.receivedGrants.available(now);
    const bool needsTokens =
        waitingTokens > available || (expected >= minPrefetchTokens && available < expected / 2);
    if (!needsTokens && state.settled.empty())
        return std::nullopt;
    const std::optional<lease_record> record = m_leases.record(state.shard);
    if (!record || record->owner == m_options.self)
        return std::nullopt;
    const double headTokens = state.queue.empty() ? 0 : state.queue.front().tokens;
    const double needed = std::max(0.0, headTokens - available);
    grant_call call {.id = m_nextCall++, .to = record->owner, .request = {}};
    call.request = {.from = m_options.self,
                    .team = team,
                    .needed = needed,
                    .queued = std::max(0.0, waitingTokens - available - needed),
                    .extra = needsTokens ? expected : 0,
                    .settled = std::move(state.settled)};
    state.settled.clear();
    state.pendingCall = call.id;
    state.nextCallAt = now + minCallInterval;
    m_calls[call.id] = {.team = team, .sentAt = now, .settled = call.request.settled};
    return call;
}

grant_answer rate_limiter::onRequest(timestamp now, const grant_request &request)
{
    grant_answer answer;
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end() || !owns(now, found->second))
        return answer;
    team_state &state = found->second;
    token_bucket &bucket = *state.bucket;
    for (const grant_settlement &item : request.settled) {
        if (item.epoch == state.epoch)
            bucket.settle(now, item.grant, item.unused);
    }
    answer.epoch = state.epoch;
    answer.kind = grant_answer::outcome::Insufficient;
    if (request.needed > state.limit.burst * maxGrantedShare) {
        answer.kind = grant_answer::outcome::TooLarge;
        return answer;
    }
    // At most half of the spare tokens is prefetched; the rest stays available to queued requests.
    const double grantable = std::min(bucket.level(now), bucket.grantableTokens(now));
    const double queued =
        std::clamp(request.queued, 0.0, std::max(0.0, grantable - request.needed));
    const double spare = std::max(0.0, grantable - request.needed - queued);
    const double amount = request.needed + queued + std::clamp(request.extra, 0.0, spare / 2);
    if (amount <= 0) {
        answer.retryAfter = prefetchRetry;
        return answer;
    }
    // The requesting instance counts the lifetime from sending its request, so the grant expires
    // later at the owner.
    const timestamp expiry = now + m_options.grantLifetime + grantExpiryMargin;
    const std::optional<std::uint64_t> id = bucket.grant(now, amount, expiry);
    if (!id) {
        const duration wait = bucket.timeUntilAvailable(now, amount).value_or(noOwnerRetry);
        answer.retryAfter = std::max(wait, minCallInterval);
        return answer;
    }
    answer.kind = grant_answer::outcome::Granted;
    answer.grant = *id;
    answer.amount = amount;
    answer.lifetime = m_options.grantLifetime;
    return answer;
}

std::optional<rate_limiter::pending_call> rate_limiter::removeCall(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return std::nullopt;
    std::optional<pending_call> call = std::move(found->second);
    m_calls.erase(found);
    return call;
}

void rate_limiter::onAnswer(timestamp now, std::uint64_t id, const grant_answer &answer)
{
    const std::optional<pending_call> call = removeCall(id);
    const auto team = call ? m_teams.find(call->team) : m_teams.end();
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    state.pendingCall = 0;
    if (answer.kind == grant_answer::outcome::Granted) {
        state.receivedGrants.add(answer.epoch, answer.grant, answer.amount,
                                 call->sentAt + answer.lifetime);
        serveQueue(now, team->first, state);
        return;
    }
    if (answer.kind == grant_answer::outcome::NotOwner) {
        markOwnerChange(now, state);
        state.nextCallAt = now + callTimeout / 2;
        return;
    }
    const bool tooLarge = answer.kind == grant_answer::outcome::TooLarge;
    state.nextCallAt = now + std::max(answer.retryAfter, minCallInterval);
    // Refuses the queued requests that can't get their tokens in time.
    std::vector<queued_request> remaining;
    for (const queued_request &item : state.queue) {
        const duration left = remainingWait(now, state, item);
        if (!tooLarge && answer.retryAfter <= left) {
            remaining.push_back(item);
            continue;
        }
        m_decisions.push_back(
            {.kind = tooLarge ? admission::outcome::OwnerOnly : admission::outcome::OverLimit,
             .request = item.request,
             .retryAfter = answer.retryAfter});
    }
    state.queue = std::move(remaining);
}

void rate_limiter::onFailure(timestamp now, std::uint64_t id)
{
    const std::optional<pending_call> call = removeCall(id);
    const auto team = call ? m_teams.find(call->team) : m_teams.end();
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    state.pendingCall = 0;
    state.nextCallAt = now + minCallInterval;
    markOwnerChange(now, state);
    // Sending settlements again is safe: the owner ignores grants that are already settled.
    state.settled.insert(state.settled.end(), call->settled.begin(), call->settled.end());
}

std::string rate_limiter::ownerOf(std::string_view team) const
{
    const std::optional<lease_record> record = m_leases.record(shardKey(team, m_options.shards));
    return record ? record->owner : std::string();
}

} // namespace trefoil
