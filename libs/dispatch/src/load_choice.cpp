// The choice of a server: what each would cost a request.

#include <algorithm>
#include <limits>

#include <dispatch/load_board.h>

#include "part_belief.h"

namespace trefoil {

namespace {

/// A part used on an engine within this time is still there: memory turns over in seconds.
constexpr duration surelyHeld = std::chrono::milliseconds(1500);
/// Copies between zones take this many times as long.
constexpr double otherZoneCopy = 2;
/// Milliseconds to set up a copy between engines.
constexpr double copySetupMs = 4;
/// Cost of a full engine, as milliseconds for each whole memory over its room.
constexpr double overfullMs = 1500;
/// Megabits a second times this gives bits a millisecond.
constexpr double bitsPerMsPerMbps = 1000;
constexpr double bitsPerByte = 8;

} // namespace

bool load_board::mayTake(timestamp now, const server_state &state, const work_item &work)
{
    const registered_server &info = state.info;
    if (info.service != work.service || info.isLeaving || state.isGone)
        return false;
    const std::span<const std::string> barred = work.barredReleases;
    if (std::find(barred.begin(), barred.end(), info.release) != barred.end())
        return false;
    if (now < state.loadingUntil)
        return false;
    return std::find(work.tried.begin(), work.tried.end(), info.id) == work.tried.end();
}

double load_board::weightsCost(timestamp now, const server_state &state,
                               const work_item &work) const
{
    const auto named = m_named.find(work.model);
    if (named == m_named.end())
        return 0;
    const std::uint64_t version = weightsOf(state, work.model);
    // The bound counts from the first newer version, however many were named since.
    const auto newer = named->second.upper_bound(version);
    if (newer == named->second.end() || now - newer->second < m_options.olderWeightsAfter)
        return 0;
    return now - newer->second < m_options.olderWeightsLimit
        ? m_options.olderWeightsMs
        : std::numeric_limits<double>::infinity();
}

const std::vector<load_board::part_holder> &load_board::holdersOf(timestamp now,
                                                                  std::uint64_t part) const
{
    const auto known = m_holders.find(part);
    if (known != m_holders.end())
        return known->second;
    std::vector<part_holder> &holders = m_holders[part];
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        const bool isUsable =
            !state.isGone && now >= state.loadingUntil && now >= state.suspectUntil;
        const auto held = state.parts.find(part);
        if (isUsable && held != state.parts.end() && now - held->second < partLife)
            holders.push_back({.state = &state, .lastUse = held->second});
    }
    return holders;
}

load_board::part_source load_board::findSource(timestamp now, const server_state &target,
                                               std::uint64_t part, const prompt_place &place) const
{
    const server_state *best = nullptr;
    timestamp bestUse {};
    for (const part_holder &holder : holdersOf(now, part)) {
        if (holder.state == &target)
            continue;
        const bool isNear = holder.state->info.zone == target.info.zone;
        const bool bestIsNear = best != nullptr && best->info.zone == target.info.zone;
        if (best == nullptr || (isNear && !bestIsNear)
            || (isNear == bestIsNear && holder.lastUse > bestUse)) {
            best = holder.state;
            bestUse = holder.lastUse;
        }
    }
    // An engine may have dropped a part that the store still keeps, and computing it again costs
    // far more than the longer way, also while the store's link is taken. Just used, it is there
    // for sure.
    const bool isInStore = place.store != nullptr && isFresh(place.store->parts, part, now);
    if (isInStore && (best == nullptr || now - bestUse > surelyHeld))
        return {.store = place.store};
    return {.engine = best};
}

double load_board::copyMs(const part_source &source, const server_state &target, double tokens,
                          const engine_traits &engine) const
{
    if (tokens <= 0 || engine.linkMbps <= 0)
        return 0;
    const double ownMbps = source.store != nullptr ? source.store->info.linkMbps : 0;
    const double mbps = ownMbps > 0 ? std::min(ownMbps, engine.linkMbps) : engine.linkMbps;
    const std::string &zone =
        source.store != nullptr ? source.store->info.zone : source.engine->info.zone;
    const double ms = tokens * engine.bytesPerToken * bitsPerByte / (mbps * bitsPerMsPerMbps);
    return zone == target.info.zone ? ms : ms * otherZoneCopy;
}

void load_board::estimateEngine(timestamp now, const server_state &state, const work_item &work,
                                const engine_traits &engine, const prompt_place &place,
                                work_placement &placed) const
{
    placed.weights = weightsOf(state, work.model);
    placed.cacheName = cacheNameOf(work.model, placed.weights, work.isolatedTeam);
    double copied = 0;
    bool isHeld = true;
    bool isKept = true;
    double sharedTokens = 0;
    part_source from;
    placed.memoryTokens = work.outputTokens;
    for (std::size_t i = 0; i < work.prompt.size(); ++i) {
        const prompt_part &part = work.prompt[i];
        const bool isOwn = i + 1 == work.prompt.size();
        const std::uint64_t key = partKey(placed.cacheName, part.id);
        sharedTokens += isOwn ? 0 : part.tokens;
        isHeld = isHeld && !isOwn && isFresh(state.parts, key, now);
        if (isHeld)
            continue;
        placed.memoryTokens += part.tokens;
        if (isOwn) {
            placed.missingTokens += part.tokens;
            continue;
        }
        isKept = isKept && place.store != nullptr && isFresh(place.store->parts, key, now);
        const part_source source = findSource(now, state, key, place);
        const bool isFound = source.store != nullptr || source.engine != nullptr;
        if (isFound)
            from = source;
        (isFound ? copied : placed.missingTokens) += part.tokens;
    }
    double copyTime = 0;
    if (copied > 0) {
        copyTime = copySetupMs + copyMs(from, state, copied, engine);
        if (from.store != nullptr) {
            placed.storeMs = copyTime - copySetupMs;
            copyTime += place.storeWaitMs;
        }
    } else if (work.prompt.size() > 1) {
        // The engine may have dropped what it is believed to hold, and the store may hold what is
        // not known of: a miss costs a millisecond.
        const std::uint64_t lastShared =
            partKey(placed.cacheName, work.prompt[work.prompt.size() - 2].id);
        from = findSource(now, state, lastShared, place);
        if (from.engine == nullptr)
            from.store = place.store;
    }
    if (from.store != nullptr)
        placed.cacheSource = from.store->info.address;
    else if (from.engine != nullptr)
        placed.cacheSource = from.engine->info.address;
    if (place.store != nullptr && !isKept) {
        placed.cacheSink = place.store->info.address;
        placed.storeMs += copyMs({.store = place.store}, state, sharedTokens, engine);
    }
    if (placed.storeMs > 0)
        placed.busyStore = place.store->name;
    const server_load load = totalLoad(now, state);
    const double readMs =
        (load.pendingTokens + placed.missingTokens) / m_options.prefillTokensPerMs;
    placed.expectedMs = (m_options.firstEventMs + readMs) * state.slowness + copyTime;
    const double room = engine.memoryTokens * m_options.memoryShare;
    const double over = load.memoryTokens + placed.memoryTokens - room;
    if (over > 0 && engine.memoryTokens > 0)
        placed.expectedMs += overfullMs * over / engine.memoryTokens;
    if (load.running >= engine.slots)
        placed.expectedMs += overfullMs * (load.running - engine.slots + 1) / engine.slots;
}

const load_board::store_state *load_board::storeOf(std::uint64_t subject) const
{
    const store_state *best = nullptr;
    std::uint64_t bestRank = 0;
    for (const store_state &store : m_stores) {
        const std::uint64_t rank = hash64(store.name, subject);
        if (best == nullptr || rank > bestRank) {
            best = &store;
            bestRank = rank;
        }
    }
    return best;
}

load_board::prompt_place load_board::placeOf(timestamp now, const work_item &work) const
{
    constexpr std::size_t partsWithShared = 2;
    if (work.prompt.size() < partsWithShared)
        return {};
    const std::uint64_t subject = hash64(work.prompt[work.prompt.size() - partsWithShared].id);
    const store_state *store = storeOf(subject);
    prompt_place place {.home = homeOf(work, subject, store)};
    if (store != nullptr && store->isReachable) {
        place.store = store;
        place.storeWaitMs = std::max(0.0, toSeconds(store->busyUntil - now) * 1000);
    }
    return place;
}

std::string load_board::homeOf(const work_item &work, std::uint64_t subject,
                               const store_state *store) const
{
    // With one store for all zones each has a home of its own. With a store in each zone a subject
    // belongs to its store's zone: all copies in all zones would not fit.
    const bool hasZoneOfItsOwn = m_stores.size() > 1;
    const std::string &zone = hasZoneOfItsOwn ? store->info.zone : m_options.zone;
    std::string best;
    std::uint64_t bestRank = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const registered_server &info = it->second.info;
        if (info.service != work.service || info.isLeaving || info.zone != zone)
            continue;
        const std::uint64_t rank = hash64(info.id, subject);
        if (best.empty() || rank > bestRank) {
            best = info.id;
            bestRank = rank;
        }
    }
    return best;
}

std::optional<work_placement> load_board::choose(timestamp now, const work_item &work)
{
    std::optional<work_placement> best = chooseAmong(now, work, false);
    // When none can be reached, belief is more likely wrong than all servers gone.
    return best ? best : chooseAmong(now, work, true);
}

work_placement load_board::estimate(timestamp now, const server_state &state, const work_item &work,
                                    const engine_traits *engine, const prompt_place &place) const
{
    work_placement placed {.server = state.info.id,
                           .address = state.info.address,
                           .zone = state.info.zone,
                           .release = state.info.release};
    if (engine != nullptr) {
        estimateEngine(now, state, work, *engine, place, placed);
        return placed;
    }
    const double callMs = state.callMs > 0 ? state.callMs : m_options.plainCallMs;
    const int running = totalLoad(now, state).running;
    placed.expectedMs = callMs * (1 + static_cast<double>(running) / std::max(1, state.info.slots));
    return placed;
}

double load_board::costOf(timestamp now, const server_state &state, const work_item &work,
                          const work_placement &placed, std::string_view home) const
{
    const bool isEngine = !placed.cacheName.empty();
    double cost = placed.expectedMs;
    if (isEngine)
        cost += weightsCost(now, state, work) + (home == state.info.id ? 0 : m_options.notHomeMs);
    if (state.info.zone != m_options.zone)
        cost += isEngine ? m_options.otherZoneMs : m_options.otherZonePlainMs;
    if (now < state.suspectUntil)
        cost += m_options.suspectMs;
    return cost;
}

std::optional<work_placement> load_board::chooseAmong(timestamp now, const work_item &work,
                                                      bool isLastResort)
{
    const auto found = m_engines.find(work.service);
    const bool isEngine = found != m_engines.end() && !work.model.empty();
    const engine_traits *engine = isEngine ? &found->second : nullptr;
    m_holders.clear();
    const prompt_place place = isEngine ? placeOf(now, work) : prompt_place {};
    std::optional<work_placement> best;
    double bestCost = std::numeric_limits<double>::infinity();
    // Equal servers are taken in turn, by a millisecond's chance.
    std::uniform_real_distribution<double> tieBreak(0, 1);
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        if (!mayTake(now, state, work) || (state.isUnreachable && !isLastResort))
            continue;
        work_placement placed = estimate(now, state, work, engine, place);
        const double cost = costOf(now, state, work, placed, place.home) + tieBreak(m_random);
        if (cost < bestCost) {
            bestCost = cost;
            best = std::move(placed);
        }
    }
    return best;
}

} // namespace trefoil
