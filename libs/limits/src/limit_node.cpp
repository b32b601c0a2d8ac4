#include <limits/limit_node.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include <core/digest.h>

namespace trefoil {

namespace {

/// A call for grants is given up after this long and made again.
constexpr duration callTimeout = std::chrono::milliseconds(250);

/// Wait told to callers while no instance owns the team's shard: about the time of a takeover.
constexpr duration noOwnerRetry = std::chrono::seconds(1);

/// Time that a new owner holds back what the one before it may have granted, beyond a grant's
/// life: covers the difference of the machines' clock rates.
constexpr duration grantMargin = std::chrono::milliseconds(100);

/// How long after a sign of it the change of an owner counts as under way.
constexpr duration ownerChangeTime = std::chrono::seconds(3);

/// Expected demand below this many tokens is not asked for in advance.
constexpr double leastPrefetch = 1;

/// Wait before tokens are asked for in advance again after the owner had none.
constexpr duration prefetchRetry = std::chrono::milliseconds(100);

/// Between two asks of the same team, so that a refusal does not make a busy loop.
constexpr duration leastAskInterval = std::chrono::milliseconds(10);

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

limit_node::limit_node(limit_options options, const right_holder &rights)
    : m_options(std::move(options)), m_rights(rights)
{
    assert(m_options.shards > 0);
}

void limit_node::setTeams(timestamp now,
                          const std::map<std::string, token_limit, std::less<>> &teams)
{
    for (auto it = m_teams.begin(); it != m_teams.end();) {
        if (teams.contains(it->first)) {
            ++it;
            continue;
        }
        for (const waiting &item : it->second.queue)
            m_decisions.push_back(
                {.kind = admission::outcome::UnknownTeam, .request = item.request});
        it = m_teams.erase(it);
    }
    for (auto it = teams.begin(); it != teams.end(); ++it) {
        team_state &state = m_teams[it->first];
        const bool isNew = state.shard.empty();
        state.limit = it->second;
        state.shard = shardKey(it->first, m_options.shards);
        if (state.account)
            state.account->setLimit(now, it->second);
        const auto owned = m_owned.find(state.shard);
        if (isNew && owned != m_owned.end())
            openAccount(now, state, owned->second);
    }
}

void limit_node::onLease(timestamp now, const lease_event &event)
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
            openAccount(now, it->second, event);
        else
            it->second.account.reset();
    }
}

void limit_node::openAccount(timestamp now, team_state &state, const lease_event &event)
{
    state.epoch = event.record.epoch;
    if (event.first) {
        state.account.emplace(state.limit, now, state.limit.burst);
        return;
    }
    noteOwnerChange(now, state);
    // What the owner before admitted and granted already fills one bucket.
    state.account.emplace(state.limit, now, 0);
    state.account->holdUnknown(now, event.quiet, now + m_options.grantLife + grantMargin);
}

duration limit_node::patienceLeft(timestamp now, const team_state &state, const waiting &item) const
{
    const bool changing = now < state.changingUntil;
    return item.since + (changing ? m_options.maxOwnerWait : m_options.maxWait) - now;
}

void limit_node::noteOwnerChange(timestamp now, team_state &state)
{
    state.changingUntil = now + ownerChangeTime;
}

bool limit_node::owns(timestamp now, const team_state &state) const
{
    return state.account && m_rights.holds(now, state.shard);
}

void limit_node::request(timestamp now, std::uint64_t request, std::string_view team, double tokens)
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
        state.wallet.noteDemand(now, tokens);
    state.queue.push_back({.request = request, .tokens = tokens, .since = now});
    m_active.insert(found->first);
    serveQueue(now, found->first, state);
}

bool limit_node::tryAdmit(timestamp now, const std::string &team, team_state &state,
                          const waiting &item)
{
    admitted entry {.team = team, .tokens = item.tokens};
    if (owns(now, state)) {
        const std::optional<std::uint64_t> id = state.account->reserve(now, item.tokens);
        if (!id)
            return false;
        entry.reservation = *id;
        entry.epoch = state.epoch;
    } else {
        std::optional<std::vector<grant_share>> shares = state.wallet.spend(now, item.tokens);
        if (!shares)
            return false;
        entry.shares = std::move(*shares);
    }
    m_admitted[item.request] = std::move(entry);
    m_decisions.push_back({.kind = admission::outcome::Admitted, .request = item.request});
    return true;
}

std::optional<admission> limit_node::refusal(timestamp now, team_state &state, const waiting &item)
{
    const duration left = patienceLeft(now, state, item);
    if (owns(now, state)) {
        const std::optional<duration> wait = state.account->waitFor(now, item.tokens);
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

void limit_node::serveQueue(timestamp now, const std::string &team, team_state &state)
{
    // In order of arrival: a small request does not pass a large one that waits for tokens.
    std::size_t served = 0;
    while (served < state.queue.size()) {
        const waiting &head = state.queue[served];
        if (!tryAdmit(now, team, state, head)) {
            const std::optional<admission> refused = refusal(now, state, head);
            if (!refused)
                break;
            m_decisions.push_back(*refused);
        }
        ++served;
    }
    state.queue.erase(state.queue.begin(),
                      state.queue.begin() + static_cast<std::ptrdiff_t>(served));
}

void limit_node::finish(timestamp now, std::uint64_t request, double used)
{
    const auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    const admitted entry = std::move(found->second);
    m_admitted.erase(found);
    const auto team = m_teams.find(entry.team);
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    const double unused = std::clamp(entry.tokens - used, 0.0, entry.tokens);
    if (!entry.shares.empty())
        state.wallet.finish(now, entry.shares, unused);
    else if (state.account && state.epoch == entry.epoch)
        state.account->settle(now, entry.reservation, unused);
}

std::vector<admission> limit_node::takeDecisions() { return std::exchange(m_decisions, {}); }

std::vector<grant_call> limit_node::tick(timestamp now)
{
    std::vector<std::uint64_t> late;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (now - it->second.sentAt >= callTimeout)
            late.push_back(it->first);
    }
    for (const std::uint64_t id : late)
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
        for (const grant_settlement &item : state.wallet.takeSettled(now))
            state.settled.push_back(item);
        std::optional<grant_call> call = askFor(now, team->first, state);
        if (call)
            calls.push_back(std::move(*call));
        ++it;
    }
    return calls;
}

bool limit_node::isIdle(timestamp now, const team_state &state) const
{
    return state.queue.empty() && state.openCall == 0 && state.settled.empty()
        && state.wallet.isEmpty()
        && state.wallet.demand(now) * toSeconds(m_options.prefetch) < leastPrefetch;
}

std::optional<grant_call> limit_node::askFor(timestamp now, const std::string &team,
                                             team_state &state)
{
    if (owns(now, state)) {
        // Grants taken before this instance became the owner belong to another bucket.
        state.settled.clear();
        return std::nullopt;
    }
    if (state.openCall != 0 || now < state.nextAsk)
        return std::nullopt;
    double waitingTokens = 0;
    for (const waiting &item : state.queue)
        waitingTokens += item.tokens;
    const double expected = state.wallet.demand(now) * toSeconds(m_options.prefetch);
    const double available = state.wallet.available(now);
    const bool wantsMore =
        waitingTokens > available || (expected >= leastPrefetch && available < expected / 2);
    if (!wantsMore && state.settled.empty())
        return std::nullopt;
    const std::optional<lease_record> record = m_rights.record(state.shard);
    if (!record || record->owner == m_options.self)
        return std::nullopt;
    const double head = state.queue.empty() ? 0 : state.queue.front().tokens;
    const double needed = std::max(0.0, head - available);
    grant_call call {.id = m_nextCall++, .to = record->owner, .ask = {}};
    call.ask = {.from = m_options.self,
                .team = team,
                .needed = needed,
                .queued = std::max(0.0, waitingTokens - available - needed),
                .extra = wantsMore ? expected : 0,
                .settled = std::move(state.settled)};
    state.settled.clear();
    state.openCall = call.id;
    state.nextAsk = now + leastAskInterval;
    m_calls[call.id] = {.team = team, .sentAt = now, .settled = call.ask.settled};
    return call;
}

grant_answer limit_node::onAsk(timestamp now, const grant_ask &ask)
{
    grant_answer answer;
    const auto found = m_teams.find(ask.team);
    if (found == m_teams.end() || !owns(now, found->second))
        return answer;
    team_state &state = found->second;
    token_account &account = *state.account;
    for (const grant_settlement &item : ask.settled) {
        if (item.epoch == state.epoch)
            account.settle(now, item.grant, item.unused);
    }
    answer.epoch = state.epoch;
    answer.kind = grant_answer::outcome::Short;
    if (ask.needed > state.limit.burst * maxGrantedShare) {
        answer.kind = grant_answer::outcome::TooLarge;
        return answer;
    }
    // Less in advance when the bucket is low: what is left is for requests that wait.
    const double room = std::min(account.level(now), account.grantRoom(now));
    const double queued = std::clamp(ask.queued, 0.0, std::max(0.0, room - ask.needed));
    const double spare = std::max(0.0, room - ask.needed - queued);
    const double amount = ask.needed + queued + std::clamp(ask.extra, 0.0, spare / 2);
    if (amount <= 0) {
        answer.retryAfter = prefetchRetry;
        return answer;
    }
    // The answer travels while the grant's life runs, so the owner counts longer than the asker.
    const timestamp expiry = now + m_options.grantLife + grantMargin;
    const std::optional<std::uint64_t> id = account.grant(now, amount, expiry);
    if (!id) {
        const duration wait = account.waitFor(now, amount).value_or(noOwnerRetry);
        answer.retryAfter = std::max(wait, leastAskInterval);
        return answer;
    }
    answer.kind = grant_answer::outcome::Granted;
    answer.grant = *id;
    answer.amount = amount;
    answer.life = m_options.grantLife;
    return answer;
}

std::optional<limit_node::open_call> limit_node::takeCall(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return std::nullopt;
    std::optional<open_call> call = std::move(found->second);
    m_calls.erase(found);
    return call;
}

void limit_node::onAnswer(timestamp now, std::uint64_t id, const grant_answer &answer)
{
    const std::optional<open_call> call = takeCall(id);
    const auto team = call ? m_teams.find(call->team) : m_teams.end();
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    state.openCall = 0;
    if (answer.kind == grant_answer::outcome::Granted) {
        state.wallet.add(answer.epoch, answer.grant, answer.amount, call->sentAt + answer.life);
        serveQueue(now, team->first, state);
        return;
    }
    if (answer.kind == grant_answer::outcome::NotOwner) {
        noteOwnerChange(now, state);
        state.nextAsk = now + callTimeout / 2;
        return;
    }
    const bool tooLarge = answer.kind == grant_answer::outcome::TooLarge;
    state.nextAsk = now + std::max(answer.retryAfter, leastAskInterval);
    // Each waiting request learns whether the tokens can come in time.
    std::vector<waiting> kept;
    for (const waiting &item : state.queue) {
        const duration left = patienceLeft(now, state, item);
        if (!tooLarge && answer.retryAfter <= left) {
            kept.push_back(item);
            continue;
        }
        m_decisions.push_back(
            {.kind = tooLarge ? admission::outcome::OwnerOnly : admission::outcome::OverLimit,
             .request = item.request,
             .retryAfter = answer.retryAfter});
    }
    state.queue = std::move(kept);
}

void limit_node::onFailure(timestamp now, std::uint64_t id)
{
    const std::optional<open_call> call = takeCall(id);
    const auto team = call ? m_teams.find(call->team) : m_teams.end();
    if (team == m_teams.end())
        return;
    team_state &state = team->second;
    state.openCall = 0;
    state.nextAsk = now + leastAskInterval;
    noteOwnerChange(now, state);
    // Settling twice does no harm: the owner ignores a number that it has settled.
    state.settled.insert(state.settled.end(), call->settled.begin(), call->settled.end());
}

std::string limit_node::ownerOf(std::string_view team) const
{
    const std::optional<lease_record> record = m_rights.record(shardKey(team, m_options.shards));
    return record ? record->owner : std::string();
}

} // namespace trefoil
