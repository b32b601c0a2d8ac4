// Server selection of load_balancer: estimates the cost of a request on each server.

#include <algorithm>
#include <limits>

#include <dispatch/load_balancer.h>

#include "cached_parts.h"

namespace trefoil {

namespace {

/// A part used on an engine within this time is still cached: engine memory turns over in seconds.
constexpr duration recentUseWindow = std::chrono::milliseconds(1500);
/// Factor by which a copy between zones takes longer than one within a zone.
constexpr double crossZoneCopyFactor = 2;
/// Time in milliseconds to set up a copy.
constexpr double copySetupMs = 4;
/// Cost in milliseconds of exceeding an engine's memory or slots by its full capacity.
constexpr double overloadCostMs = 1500;
/// Cost in milliseconds of a server into which a request doesn't fit: above all other costs.
constexpr double fullServerCostMs = 1e6;
/// Time after which a request that brittle servers have no room for may come again.
constexpr duration brittleRetryTime = std::chrono::milliseconds(300);
/// Converts megabits per second to bits per millisecond.
constexpr double bitsPerMsPerMbps = 1000;
constexpr double bitsPerByte = 8;

} // namespace

bool load_balancer::mayTake(timestamp now, const server_state &state,
                            const request_profile &request) const
{
    const registered_server &info = state.info;
    if (info.service != request.service || info.isLeaving || state.isGone
        || m_evacuations.isEvacuated(info.zone))
        return false;
    const std::span<const std::string> excluded = request.excludedReleases;
    if (std::find(excluded.begin(), excluded.end(), info.release) != excluded.end())
        return false;
    if (now < state.loadingUntil)
        return false;
    if (!m_statements.isAvailable(now, info.id)
        || std::find(m_limitedServers.begin(), m_limitedServers.end(), info.id)
            != m_limitedServers.end())
        return false;
    return std::find(request.tried.begin(), request.tried.end(), info.id) == request.tried.end();
}

double load_balancer::staleWeightsCost(timestamp now, const request_profile &request,
                                       const server_placement &placed) const
{
    const std::optional<timestamp> limit = weightsLimit(request.model, placed.weights);
    if (!limit)
        return 0;
    const double waitMs = placed.expectedMs * m_options.staleWeightsWaitFactor;
    if (now + fromSeconds(waitMs / 1000) >= *limit - m_options.weightsMargin)
        return std::numeric_limits<double>::infinity();
    const timestamp setAt = *limit - m_options.weightsDeadline;
    return now - setAt < m_options.staleWeightsDelay ? 0 : m_options.staleWeightsCostMs;
}

const std::vector<load_balancer::part_holder> &load_balancer::holdersOf(timestamp now,
                                                                        std::uint64_t part) const
{
    const auto known = m_holders.find(part);
    if (known != m_holders.end())
        return known->second;
    std::vector<part_holder> &holders = m_holders[part];
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        const bool isUsable = !state.isGone && now >= state.loadingUntil
            && now >= state.suspectUntil && !m_evacuations.isEvacuated(state.info.zone);
        const auto held = state.parts.find(part);
        if (isUsable && held != state.parts.end() && now - held->second < cachedPartLifetime)
            holders.push_back({.state = &state, .lastUse = held->second});
    }
    return holders;
}

load_balancer::part_source load_balancer::findSource(timestamp now, const server_state &target,
                                                     std::uint64_t part,
                                                     const prompt_affinity &affinity) const
{
    const server_state *best = nullptr;
    timestamp bestUse {};
    for (const part_holder &holder : holdersOf(now, part)) {
        if (holder.state == &target)
            continue;
        const bool isSameZone = holder.state->info.zone == target.info.zone;
        const bool isBestSameZone = best != nullptr && best->info.zone == target.info.zone;
        if (best == nullptr || (isSameZone && !isBestSameZone)
            || (isSameZone == isBestSameZone && holder.lastUse > bestUse)) {
            best = holder.state;
            bestUse = holder.lastUse;
        }
    }
    // An engine may have evicted a part that the store still holds, and computing the part again
    // costs far more than copying it from the store, even while the store's link is busy. A part
    // that an engine has just used is certainly still there.
    const bool isInStore =
        affinity.store != nullptr && isLikelyCached(affinity.store->parts, part, now);
    if (isInStore && (best == nullptr || now - bestUse > recentUseWindow))
        return {.store = affinity.store};
    return {.engine = best};
}

double load_balancer::copyMs(const part_source &source, const server_state &target, double tokens,
                             const engine_traits &engine) const
{
    if (tokens <= 0 || engine.linkMbps <= 0)
        return 0;
    const double storeMbps = source.store != nullptr ? source.store->info.linkMbps : 0;
    const double mbps = storeMbps > 0 ? std::min(storeMbps, engine.linkMbps) : engine.linkMbps;
    const std::string &zone =
        source.store != nullptr ? source.store->info.zone : source.engine->info.zone;
    const double ms = tokens * engine.bytesPerToken * bitsPerByte / (mbps * bitsPerMsPerMbps);
    return zone == target.info.zone ? ms : ms * crossZoneCopyFactor;
}

void load_balancer::estimateEngine(timestamp now, const server_state &state,
                                   const request_profile &request, const engine_traits &engine,
                                   const prompt_affinity &affinity, server_placement &placed) const
{
    placed.weights = weightsOf(state, request.model);
    placed.cacheSalt = cacheSaltOf(request.model, placed.weights, request.cacheGroup);
    double copiedTokens = 0;
    bool isHeld = true;
    bool isStored = true;
    double sharedTokens = 0;
    double promptTokens = 0;
    part_source copySource;
    placed.memoryTokens = request.outputTokens;
    for (std::size_t i = 0; i < request.prompt.size(); ++i) {
        const prompt_part &part = request.prompt[i];
        const bool isPrivate = i + 1 == request.prompt.size();
        const std::uint64_t key = cachedPartKey(placed.cacheSalt, part.id);
        sharedTokens += isPrivate ? 0 : part.tokens;
        promptTokens += part.tokens;
        isHeld = isHeld && !isPrivate && isLikelyCached(state.parts, key, now);
        if (!isHeld || m_options.avoidsFullServers)
            placed.memoryTokens += part.tokens;
        if (isHeld)
            continue;
        if (isPrivate) {
            placed.missingTokens += part.tokens;
            continue;
        }
        isStored = isStored && affinity.store != nullptr
            && isLikelyCached(affinity.store->parts, key, now);
        const part_source source = findSource(now, state, key, affinity);
        const bool isFound = source.store != nullptr || source.engine != nullptr;
        if (isFound)
            copySource = source;
        (isFound ? copiedTokens : placed.missingTokens) += part.tokens;
    }
    double copyTimeMs = 0;
    if (copiedTokens > 0) {
        copyTimeMs = copySetupMs + copyMs(copySource, state, copiedTokens, engine);
        if (copySource.store != nullptr) {
            placed.storeTransferMs = copyTimeMs - copySetupMs;
            copyTimeMs += affinity.storeWaitMs;
        }
    } else if (request.prompt.size() > 1) {
        // The engine may have evicted parts that it is assumed to hold, and the store may hold
        // parts that this instance doesn't know of. A miss costs only a millisecond.
        const std::uint64_t lastShared =
            cachedPartKey(placed.cacheSalt, request.prompt[request.prompt.size() - 2].id);
        copySource = findSource(now, state, lastShared, affinity);
        if (copySource.engine == nullptr)
            copySource.store = affinity.store;
    }
    if (copySource.store != nullptr) {
        placed.cacheSource = copySource.store->info.address;
        placed.copyZones.push_back(copySource.store->info.zone);
    } else if (copySource.engine != nullptr) {
        placed.cacheSource = copySource.engine->info.address;
        placed.copyZones.push_back(copySource.engine->info.zone);
    }
    if (affinity.store != nullptr && !isStored) {
        placed.cacheSink = affinity.store->info.address;
        placed.copyZones.push_back(affinity.store->info.zone);
        placed.storeTransferMs += copyMs({.store = affinity.store}, state, sharedTokens, engine);
    }
    if (placed.storeTransferMs > 0)
        placed.transferStore = affinity.store->name;
    const server_load load = totalLoad(now, state);
    const double tokensPerMs = prefillTokensPerMs(request.service);
    const double queueMs = m_options.baseFirstEventMs + load.pendingTokens / tokensPerMs;
    placed.copyMs = copyTimeMs;
    placed.paceFactor = state.pace.factor(now, state.slownessPace);
    const double measuredMs = (queueMs + placed.missingTokens / tokensPerMs) * state.slowness;
    placed.paceMs = measuredMs * (placed.paceFactor - 1);
    placed.queueMs = load.pendingTokens / tokensPerMs * state.slowness * placed.paceFactor;
    placed.expectedMs = measuredMs * placed.paceFactor + copyTimeMs;
    placed.uncachedMs = (queueMs + promptTokens / tokensPerMs) * state.slowness * placed.paceFactor;
    placed.longPromptMs =
        m_longPrompts.costMs(request.service, request.targetLatency,
                             {.running = load.running,
                              .pendingTokens = load.pendingTokens,
                              .ownTokens = placed.missingTokens,
                              .tokensPerMs = tokensPerMs / (state.slowness * placed.paceFactor)});
    const double usableTokens = engine.memoryTokens * m_options.memoryShare;
    const double excessTokens = load.memoryTokens + placed.memoryTokens - usableTokens;
    // A request that is larger than the usable memory fits on an idle engine only.
    placed.fits = !m_options.avoidsFullServers || excessTokens <= 0 || load.running <= 0;
    if (excessTokens > 0 && engine.memoryTokens > 0)
        placed.expectedMs += overloadCostMs * excessTokens / engine.memoryTokens;
    if (load.running >= engine.slots)
        placed.expectedMs += overloadCostMs * (load.running - engine.slots + 1) / engine.slots;
}

const load_balancer::store_state *load_balancer::assignedStore(std::uint64_t prefixHash) const
{
    const store_state *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const store_state &store : m_stores) {
        if (m_evacuations.isEvacuated(store.info.zone))
            continue;
        const std::uint64_t score = hash64(store.name, prefixHash);
        if (best == nullptr || score > bestScore) {
            best = &store;
            bestScore = score;
        }
    }
    return best;
}

load_balancer::prompt_affinity load_balancer::affinityOf(timestamp now,
                                                         const request_profile &request) const
{
    constexpr std::size_t minPartsWithShared = 2;
    if (request.prompt.size() < minPartsWithShared)
        return {};
    const std::uint64_t prefixHash =
        hash64(request.prompt[request.prompt.size() - minPartsWithShared].id);
    const store_state *store = assignedStore(prefixHash);
    prompt_affinity affinity {.home = homeServerOf(request, prefixHash, store)};
    if (store != nullptr && store->isReachable) {
        affinity.store = store;
        affinity.storeWaitMs = std::max(0.0, toSeconds(store->busyUntil - now) * 1000);
    }
    return affinity;
}

std::string load_balancer::homeServerOf(const request_profile &request, std::uint64_t prefixHash,
                                        const store_state *store) const
{
    // With a single store, each zone has its own home server. With several stores, the home server
    // is in the zone of the store: copies of all parts in all zones would not fit.
    const bool hasStorePerZone = m_stores.size() > 1 && store != nullptr;
    const std::string &zone = hasStorePerZone ? store->info.zone : m_options.zone;
    // The servers of all other zones share the prompts of an evacuated one.
    const bool isAnyZone = m_evacuations.isEvacuated(zone);
    std::string best;
    std::uint64_t bestScore = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const registered_server &info = it->second.info;
        if (info.service != request.service || info.isLeaving || m_statements.isLeaving(info.id)
            || (isAnyZone ? m_evacuations.isEvacuated(info.zone) : info.zone != zone))
            continue;
        const std::uint64_t score = hash64(info.id, prefixHash);
        if (best.empty() || score > bestScore) {
            best = info.id;
            bestScore = score;
        }
    }
    return best;
}

std::optional<server_placement> load_balancer::choose(timestamp now, const request_profile &request)
{
    m_peerLoads.removeExpired(now);
    m_limitedServers.clear();
    m_limitedFor = std::nullopt;
    m_isHeldBack = false;
    const std::vector<std::string> admitted = admitToColdServers(now, request.service);
    // Another instance may reach the servers that this one doesn't.
    const bool isCutOff = m_reach.isCutOff();
    std::optional<server_placement> best = chooseAdmitted(now, request, isCutOff);
    // If no server is reachable, wrong reachability data is more likely than the loss of all
    // servers.
    if (!best && !isCutOff)
        best = chooseAdmitted(now, request, true);
    if (best)
        best->isRelayed = isCutOff;
    else
        addPauses(now, request.service);
    if (!best && m_isHeldBack)
        m_limitedFor = std::min(m_limitedFor.value_or(brittleRetryTime), brittleRetryTime);
    for (const std::string &server : admitted) {
        if (!best || best->server != server)
            m_coldServers.refund(server);
    }
    return best;
}

std::vector<std::string> load_balancer::admitToColdServers(timestamp now, std::string_view service)
{
    m_coldServers.recordDemand(now, service);
    // All of them are decided on first. They are idle and often the cheapest, so that trying one
    // after the other would repeat the choice for each.
    std::vector<std::string> admitted;
    for (std::string &server : m_coldServers.coldServersOf(now, service)) {
        const std::optional<duration> wait = m_coldServers.admit(now, server);
        if (!wait) {
            admitted.push_back(std::move(server));
            continue;
        }
        m_limitedServers.push_back(std::move(server));
        m_limitedFor = std::min(m_limitedFor.value_or(*wait), *wait);
    }
    return admitted;
}

void load_balancer::addPauses(timestamp now, std::string_view service)
{
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const registered_server &info = it->second.info;
        const bool isUsable = info.service == service && !info.isLeaving && !it->second.isGone
            && !m_evacuations.isEvacuated(info.zone);
        const std::optional<duration> left =
            isUsable ? m_statements.pauseLeft(now, info.id) : std::nullopt;
        if (left)
            m_limitedFor = std::min(m_limitedFor.value_or(*left), *left);
    }
}

std::optional<server_placement> load_balancer::chooseAdmitted(timestamp now,
                                                              const request_profile &request,
                                                              bool includesUnreachable)
{
    while (true) {
        std::optional<server_placement> best = chooseAmong(now, request, includesUnreachable);
        const std::optional<duration> wait =
            best ? m_statements.admit(now, best->server) : std::nullopt;
        if (!wait)
            return best;
        m_limitedServers.push_back(best->server);
        m_limitedFor = std::min(m_limitedFor.value_or(*wait), *wait);
    }
}

server_placement load_balancer::estimate(timestamp now, const server_state &state,
                                         const request_profile &request,
                                         const engine_traits *engine,
                                         const prompt_affinity &affinity) const
{
    server_placement placed {.server = state.info.id,
                             .startedAtMs = state.info.startedAtMs,
                             .address = state.info.address,
                             .zone = state.info.zone,
                             .release = state.info.release};
    if (engine != nullptr) {
        estimateEngine(now, state, request, *engine, affinity, placed);
        return placed;
    }
    const double callMs = state.callTime.estimateMs(now, poolCallMs(state.info.service));
    const int running = totalLoad(now, state).running;
    const int slots = std::max(1, state.info.slots);
    placed.paceFactor =
        state.pace.factor(now, state.callPace.estimateMs(now, poolCallPace(state.info.service)));
    const double pacedCallMs = callMs * placed.paceFactor;
    placed.expectedMs = pacedCallMs * (1 + static_cast<double>(running) / slots);
    placed.queueMs = pacedCallMs * std::max(0, running + 1 - slots) / slots;
    placed.fits = !m_options.avoidsFullServers || running < slots * m_options.maxRequestsPerSlot;
    return placed;
}

double load_balancer::costOf(timestamp now, const server_state &state,
                             const request_profile &request, const server_placement &placed,
                             std::string_view home) const
{
    const bool isEngine = !placed.cacheSalt.empty();
    double cost = placed.expectedMs;
    if (isEngine)
        cost += staleWeightsCost(now, request, placed)
            + (home == state.info.id ? 0 : m_options.nonHomeCostMs);
    if (state.info.zone != m_options.zone)
        cost += isEngine ? m_options.crossZoneCostMs : m_options.crossZoneCallCostMs;
    if (now < state.suspectUntil)
        cost += m_options.suspectCostMs;
    if (!placed.fits)
        cost += fullServerCostMs;
    return cost + placed.longPromptMs;
}

bool load_balancer::isFullAndBrittle(timestamp now, const server_state &state)
{
    if (!m_brittle.isBrittle(state.info.service))
        return false;
    return !m_brittle.mayTake(now, state.info.service, state.info.id,
                              {.own = state.own.running,
                               .total = totalLoad(now, state).running,
                               .slots = std::max(1, state.info.slots),
                               .instances = m_peerLoads.busyPeerCount() + 1});
}

std::optional<server_placement>
load_balancer::chooseAmong(timestamp now, const request_profile &request, bool includesUnreachable)
{
    const auto found = m_engines.find(request.service);
    const bool isEngine = found != m_engines.end() && !request.model.empty();
    const engine_traits *engine = isEngine ? &found->second : nullptr;
    m_holders.clear();
    const prompt_affinity affinity = isEngine ? affinityOf(now, request) : prompt_affinity {};
    std::optional<server_placement> best;
    double bestCost = std::numeric_limits<double>::infinity();
    // Server that would be chosen without the cost of long prompts.
    const server_state *otherwise = nullptr;
    double otherwiseCost = std::numeric_limits<double>::infinity();
    // Spreads requests over servers of equal cost by a random fraction of a millisecond.
    std::uniform_real_distribution<double> tieBreak(0, 1);
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        if (!mayTake(now, state, request) || (state.isUnreachable && !includesUnreachable))
            continue;
        if (isFullAndBrittle(now, state)) {
            m_isHeldBack = true;
            continue;
        }
        server_placement placed = estimate(now, state, request, engine, affinity);
        const double cost = costOf(now, state, request, placed, affinity.home) + tieBreak(m_random);
        if (cost - placed.longPromptMs < otherwiseCost) {
            otherwiseCost = cost - placed.longPromptMs;
            otherwise = &state;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = std::move(placed);
        }
    }
    if (best)
        best->isMovedByLongPrompts = otherwise->info.id != best->server;
    return best;
}

} // namespace trefoil
