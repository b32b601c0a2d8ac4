#include <admission/admission_control.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace trefoil {

namespace {

/// Fraction of the time left that the expected time to the first event may take. Beyond it the
/// request would probably time out in the queue.
constexpr double maxWaitFraction = 0.8;
/// A service with less than this part of its slots and memory taken isn't short of capacity unless
/// requests wait for longer than the given time at the best server.
constexpr double freeOccupancy = 0.5;
constexpr double freeQueueMs = 50;
/// Longest admitted wait behind other requests, in milliseconds. The ramp and what instances
/// haven't heard of each other about double it, and a queue of more than a second uses up most
/// targets.
constexpr double maxQueueMs = 450;
/// Part of its target, less the request's own work, that a request of the most urgent rank may wait
/// behind others; the rest is for those that are favoured. The part of the target for the least
/// urgent rank.
constexpr double mostQueueShare = 0.5;
constexpr double leastQueueShare = 0.35;
/// Part of the target of a more urgent rank that less urgent requests may use up.
constexpr double urgentTargetShare = 0.5;
/// Occupied part of the usable memory up to which requests of the least and most urgent rank are
/// admitted. The difference is kept free for urgent requests.
constexpr double leastOccupancy = 0.9;
constexpr double mostOccupancy = 0.97;
/// Half of the ramp on which the probability falls from 1 to 0, relative to the limit of the queue
/// and absolute for the occupied part. Instances see the load some 100 ms late; without a ramp all
/// would admit, then refuse, together.
constexpr double queueRamp = 0.3;
constexpr double occupancyRamp = 0.05;
/// How much longer callers that retry may wait than others of their rank, and what they may occupy
/// in addition.
constexpr double retryQueueFactor = 1.3;
constexpr double retryOccupancy = 0.03;
/// Bounds of the factor by which a kind is favoured, and the occupancy that doubling is worth.
constexpr double minFavour = 0.6;
constexpr double maxFavour = 1.8;
constexpr double favourOccupancy = 0.08;
/// A rank is favoured if its share of admitted requests is below the first of these fractions of
/// the mean, and always so below the second. No rank may be served less than a quarter as often,
/// counted by callers; the shares count attempts, of which refused callers make several.
constexpr double starvedShare = 0.25;
constexpr double fullyStarvedShare = 0.15;
/// Ranks with less than this part of the requests are ignored when others are compared with them.
constexpr double minRankShare = 0.01;
/// Engines compute urgent prompts first. Bounds of the part of a queue that urgent requests wait
/// behind (an engine finishes the chunk in progress), and of the part of the engine's time that is
/// left to less urgent ones.
constexpr double minAheadShare = 0.3;
constexpr double minTimeShare = 0.2;
/// Retry-After: bounds, the part of its time that a caller waits at most, and jitter.
constexpr double minRetryMs = 150;
constexpr double maxRetryFraction = 1.0 / 3;
constexpr double minJitter = 0.7;
constexpr double maxJitter = 1.5;
/// Bounds of the time in milliseconds after which a waiting request looks for a server again.
constexpr double minPauseMs = 8;
constexpr double maxPauseMs = 80;
/// Time in seconds in which the weight of an admission falls to a third in the rate of admissions,
/// and mean age of the load that others report (reports come every 200 to 500 ms).
constexpr double newnessSeconds = 0.3;
constexpr double reportAgeMs = 300;
/// Steps of the size of requests that are compared with each other: half an octave.
constexpr double sizeStepsPerOctave = 2;

double toMs(duration time) { return toSeconds(time) * 1000; }
duration fromMs(double milliseconds) { return fromSeconds(milliseconds / 1000); }

double occupancyOf(const service_state &state)
{
    const double slots = state.slots > 0 ? static_cast<double>(state.running) / state.slots : 1;
    return state.memoryUsable > 0 ? std::max(slots, state.memoryUsed / state.memoryUsable) : slots;
}

bool isPlain(const service_state &state) { return state.callTime > duration {}; }

/// Returns the probability of admission at @p value, which falls from 1 to 0 around @p limit.
double ramp(double value, double limit, double halfWidth)
{
    if (halfWidth <= 0)
        return value <= limit ? 1 : 0;
    return std::clamp((limit + halfWidth - value) / (2 * halfWidth), 0.0, 1.0);
}

/// Returns the names of the kinds that a request belongs to, apart from its rank. The rank is part
/// of each, because only requests of the same rank are served alike.
std::array<std::uint64_t, 3> kindsOf(const admission_request &request)
{
    const double size = std::max(1.0, request.memoryTokens);
    const std::uint64_t bucket =
        static_cast<std::uint64_t>(std::lround(std::log2(size) * sizeStepsPerOctave));
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15;
    const auto kind = [&request](std::uint64_t dimension, std::uint64_t value) {
        return ((value * mix) ^ (static_cast<std::uint64_t>(request.rank) * 4 + dimension)) * mix;
    };
    return {kind(0, request.team), kind(1, bucket), kind(2, request.subject)};
}

} // namespace

std::string_view toString(admission_reason reason)
{
    constexpr std::array<std::string_view, 7> names {"free",     "chosen", "unknown", "deadline",
                                                     "shortage", "full",   "waiting"};
    return names[static_cast<std::size_t>(reason)];
}

double admission_control::random(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

admission_decision admission_control::decide(timestamp now, const admission_request &request,
                                             const service_state &state)
{
    const bool isFirst = request.waited == duration {} && !request.isContinued;
    if (isFirst)
        recordAsked(now, request);
    const rank_view view = viewOf(effectiveRank(request));
    admission_decision decision = judge(now, request, state, view);
    decision.rank = view.rank;
    if (decision.what == admission_decision::kind::Admit && !request.isContinued)
        recordAdmitted(now, request, view.rank);
    return decision;
}

admission_decision admission_control::judge(timestamp now, const admission_request &request,
                                            const service_state &state, const rank_view &view)
{
    const double queueMs = (toMs(request.queue) + unseenGrowthMs(now, state)) * view.queueFactor;
    const double expectedMs = toMs(request.expected) - toMs(request.queue)
        + toMs(request.queue) * std::min(1.0, view.queueFactor);
    if (expectedMs > toMs(request.timeLeft) * maxWaitFraction)
        return refuse(request, state, {.reason = admission_reason::Deadline, .chance = 0});
    if (!state.isKnown)
        return {.reason = admission_reason::Unknown};
    const double occupancy = occupancyOf(state);
    const bool isFree = request.fits && occupancy < freeOccupancy && state.waitingHere == 0
        && toMs(request.queue) <= freeQueueMs;
    if (isFree)
        return {.reason = admission_reason::Free};
    const limits allowed = limitsFor(now, request, view);
    admission_decision decision {.reason = admission_reason::Chosen,
                                 .queueLimit = fromMs(allowed.queueMs)};
    if (isPlain(state)) {
        if (request.fits && (request.isContinued || queueMs <= allowed.queueMs))
            return decision;
        return waitOrRefuse(request, state, decision);
    }
    if (request.waited == duration {} && !request.isContinued) {
        decision.chance = std::min(ramp(queueMs, allowed.queueMs, allowed.queueMs * queueRamp),
                                   ramp(occupancy, allowed.occupancy, occupancyRamp));
        if (random(0, 1) >= decision.chance) {
            decision.reason = admission_reason::Shortage;
            return refuse(request, state, decision);
        }
    }
    return request.fits ? decision : waitOrRefuse(request, state, decision);
}

admission_decision admission_control::waitOrRefuse(const admission_request &request,
                                                   const service_state &state,
                                                   admission_decision decision)
{
    const double ownMs = toMs(request.expected) - toMs(request.queue);
    const double targetMs = toMs(request.target);
    // A request that takes longer than its target by itself may still wait for a part of it.
    const double untilTarget = std::max(targetMs - ownMs, targetMs / 4);
    const double untilDeadline = toMs(request.timeLeft) * maxWaitFraction - toMs(request.expected);
    const double leftMs = std::min(untilTarget - toMs(request.waited), untilDeadline);
    decision.reason = admission_reason::Full;
    if (state.waitingHere >= state.maxWaitingHere && request.waited == duration {})
        decision.reason = admission_reason::Waiting;
    if (leftMs < minPauseMs || decision.reason == admission_reason::Waiting)
        return refuse(request, state, decision);
    // About the time in which a slot of one of the servers is free again.
    const double pauseMs = isPlain(state) ? toMs(state.callTime) / 2 : targetMs / 8;
    decision.what = admission_decision::kind::Wait;
    decision.time =
        fromMs(std::min(leftMs, std::clamp(pauseMs, minPauseMs, maxPauseMs) * random(0.7, 1.3)));
    return decision;
}

admission_decision admission_control::refuse(const admission_request &request,
                                             const service_state &state,
                                             admission_decision decision)
{
    double backlogMs = 0;
    if (isPlain(state))
        backlogMs = toMs(state.callTime) * (occupancyOf(state) - 1);
    else if (state.servers > 0 && state.tokensPerMs > 0)
        backlogMs = state.pendingTokens / (state.tokensPerMs * state.servers);
    // Memory is free again once a request that holds it has ended. Its duration is not known; most
    // end within about the target of requests that wait for it.
    if (!request.fits || occupancyOf(state) > leastOccupancy)
        backlogMs = std::max(backlogMs, toMs(request.target));
    const double mostMs = std::max(minRetryMs, toMs(request.timeLeft) * maxRetryFraction);
    const double base = std::clamp(backlogMs, minRetryMs, mostMs / maxJitter);
    decision.what = admission_decision::kind::Refuse;
    decision.time = fromMs(std::clamp(base * random(minJitter, maxJitter), minRetryMs, mostMs));
    return decision;
}

int admission_control::effectiveRank(const admission_request &request)
{
    const auto own = m_ranks.find(request.rank);
    double asked = 0;
    double admitted = 0;
    for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
        asked += it->second.count.asked;
        admitted += it->second.count.admitted;
    }
    if (request.isContinued || own == m_ranks.end() || admitted <= 0)
        return request.rank;
    const double mean = admitted / asked;
    const double missing = starvedShare * mean - own->second.count.share(mean);
    const double chance = missing / ((starvedShare - fullyStarvedShare) * mean);
    if (chance <= 0 || random(0, 1) >= chance)
        return request.rank;
    const auto isActive = [asked](const auto &each) {
        return each.second.count.asked >= asked * minRankShare;
    };
    const auto mostUrgent = std::find_if(m_ranks.begin(), m_ranks.end(), isActive);
    return std::min(request.rank, mostUrgent->first);
}

admission_control::rank_view admission_control::viewOf(int rank) const
{
    double asked = 0;
    double tokens = 0;
    double tokensAhead = 0;
    double urgentTokens = 0;
    for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
        asked += it->second.count.asked;
        tokens += it->second.tokens;
        tokensAhead += it->first <= rank ? it->second.tokens : 0;
        urgentTokens += it->first < rank ? it->second.tokens : 0;
    }
    rank_view view {.rank = rank};
    int moreUrgent = 0;
    int lessUrgent = 0;
    for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
        if (it->second.count.asked < asked * minRankShare)
            continue;
        moreUrgent += it->first < rank ? 1 : 0;
        lessUrgent += it->first > rank ? 1 : 0;
        if (it->first < rank)
            view.urgentTargetMs = view.urgentTargetMs > 0
                ? std::min(view.urgentTargetMs, it->second.targetMs)
                : it->second.targetMs;
    }
    if (tokens > 0)
        view.queueFactor = std::max(minAheadShare, tokensAhead / tokens)
            / std::max(minTimeShare, 1 - urgentTokens / tokens);
    if (moreUrgent > 0)
        view.urgency = static_cast<double>(lessUrgent) / (moreUrgent + lessUrgent);
    return view;
}

double admission_control::favourOf(timestamp now, const admission_request &request) const
{
    const auto rank = m_ranks.find(request.rank);
    if (rank == m_ranks.end() || rank->second.count.admitted <= 0)
        return 1;
    const double mean = rank->second.count.admitted / rank->second.count.asked;
    double least = 1;
    double most = 1;
    for (const std::uint64_t kind : kindsOf(request)) {
        const double factor = mean / std::max(m_shares.share(now, kind, mean), 0.01);
        least = std::min(least, factor);
        most = std::max(most, factor);
    }
    // Being short in one respect outweighs having more in another.
    constexpr double noticeable = 1.05;
    return std::clamp(most > noticeable ? most : least, minFavour, maxFavour);
}

double admission_control::unseenGrowthMs(timestamp now, const service_state &state) const
{
    if (state.servers <= 0 || state.tokensPerMs <= 0 || state.instances <= 1)
        return 0;
    const double decay = std::exp(-toSeconds(now - m_newestAt) / newnessSeconds);
    const double admissions = m_newAdmissions * decay;
    if (admissions <= 1)
        return 0;
    // Few admissions say little about the others: one standard deviation less counts.
    const double certain = 1 - 1 / std::sqrt(admissions);
    const double tokensPerMs = m_newTokens * decay * certain / (newnessSeconds * 1000);
    const double inflow = tokensPerMs * state.instances / (state.tokensPerMs * state.servers);
    return std::max(0.0, inflow - 1) * reportAgeMs;
}

admission_control::limits admission_control::limitsFor(timestamp now,
                                                       const admission_request &request,
                                                       const rank_view &view) const
{
    const double favour = favourOf(now, request);
    const double ownMs = toMs(request.expected) - toMs(request.queue);
    const double targetMs = toMs(request.target);
    // A request that is sent with the rank of more urgent ones must not delay these.
    const auto sentAs = m_ranks.find(view.rank);
    const bool isLifted = view.rank != request.rank && sentAs != m_ranks.end();
    const double capMs = isLifted ? std::min(maxQueueMs, sentAs->second.targetMs) : maxQueueMs;
    double leastMs = std::min(targetMs, maxQueueMs) * leastQueueShare;
    // The ramp ends at the target. Requests that take long by themselves may wait as long as others
    // of the lowest rank.
    const auto partOfTarget = [=](double part) {
        return std::min(std::max((targetMs - ownMs) * part, leastMs), capMs * part);
    };
    const double urgentMs = partOfTarget(mostQueueShare);
    const double mostMs = partOfTarget(1 / (1 + queueRamp));
    if (view.urgentTargetMs > 0)
        leastMs = std::min(leastMs, view.urgentTargetMs * urgentTargetShare);
    const double queueMs = leastMs + std::max(0.0, urgentMs - leastMs) * view.urgency;
    return {.queueMs =
                std::min(mostMs, queueMs * favour * (request.isRetry ? retryQueueFactor : 1)),
            .occupancy = leastOccupancy + (mostOccupancy - leastOccupancy) * view.urgency
                + favourOccupancy * std::log2(favour) + (request.isRetry ? retryOccupancy : 0)};
}

void admission_control::recordAsked(timestamp now, const admission_request &request)
{
    for (auto it = m_ranks.begin(); it != m_ranks.end(); ++it) {
        const double before = it->second.count.asked;
        it->second.count = it->second.count.agedTo(now);
        if (before > 0)
            it->second.tokens *= it->second.count.asked / before;
    }
    rank_state &rank = m_ranks[request.rank];
    rank.count.at = now;
    rank.count.asked += 1;
    const double targetMs = toMs(request.target);
    constexpr double newestWeight = 0.05;
    rank.targetMs =
        rank.targetMs > 0 ? rank.targetMs * (1 - newestWeight) + targetMs * newestWeight : targetMs;
    for (const std::uint64_t kind : kindsOf(request))
        m_shares.recordAsked(now, kind);
}

void admission_control::recordAdmitted(timestamp now, const admission_request &request, int rank)
{
    m_ranks[request.rank].count.admitted += 1;
    m_ranks[rank].tokens += request.uncachedTokens;
    const double decay = std::exp(-toSeconds(now - m_newestAt) / newnessSeconds);
    m_newAdmissions = m_newAdmissions * decay + 1;
    m_newTokens = m_newTokens * decay + request.uncachedTokens;
    m_newestAt = now;
    for (const std::uint64_t kind : kindsOf(request))
        m_shares.recordAdmitted(now, kind);
}

} // namespace trefoil
