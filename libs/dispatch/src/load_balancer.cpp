#include <dispatch/load_balancer.h>

#include <algorithm>
#include <limits>

#include "cached_parts.h"

namespace trefoil {

namespace {

/// Weight of the newest outcome in a server's failure share: about the last eight requests.
constexpr double outcomeWeight = 0.12;
/// A server is suspect if it fails more than this share of its requests while its pool on average
/// fails less than half as many.
constexpr double suspectShare = 0.3;
/// Consecutive lost requests that make a server suspect.
constexpr int lossesToSuspect = 2;
/// Weight of the newest measurement in a server's average latency.
constexpr double latencyWeight = 0.1;
/// The same for all servers of a service.
constexpr double poolLatencyWeight = 0.05;
/// Maximum number of parts remembered for a server and for a KV cache store.
constexpr std::size_t maxParts = 4096;
constexpr std::size_t maxStoreParts = 65536;
/// Maximum number of placements kept for the next report.
constexpr std::size_t maxCachePlacements = 256;
/// Upper bound of the time that one prompt is assumed to occupy a store's link.
constexpr duration maxStoreTransferTime = std::chrono::milliseconds(500);

template <typename Parts>
void evictExpired(Parts &parts, std::size_t maxCount, timestamp now)
{
    if (parts.size() <= maxCount)
        return;
    std::erase_if(parts,
                  [now](const auto &each) { return now - each.second > cachedPartLifetime; });
}

} // namespace

std::string cacheSaltOf(std::string_view model, std::uint64_t weights, std::string_view cacheGroup)
{
    std::string name(model);
    name += "@" + std::to_string(weights);
    name.append(cacheGroup);
    return name;
}

load_balancer::load_balancer(const load_balancer_options &options)
    : m_options(options), m_random(options.randomSeed), m_peerLoads(options.reportLifetime),
      m_statements({.randomSeed = static_cast<std::uint32_t>(options.randomSeed)}),
      m_coldServers(options.cold)
{ }

void load_balancer::cancel(const server_placement &placed)
{
    m_statements.refund(placed.server);
    m_coldServers.refund(placed.server);
}

void load_balancer::setServers(std::span<const registered_server> servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const registered_server &server : servers) {
        const auto known = m_servers.find(server.id);
        const bool isSame =
            known != m_servers.end() && known->second.info.startedAtMs == server.startedAtMs;
        if (known != m_servers.end() && !isSame)
            m_peerLoads.removeServer(server.id);
        server_state state = isSame ? std::move(known->second)
                                    : server_state {.slot = m_peerLoads.addServer(server.id)};
        const std::map<std::string, std::uint64_t, std::less<>> before =
            isSame ? state.info.weights : decltype(state.info.weights) {};
        state.info = server;
        // The listed weights may be older than those already observed.
        for (auto it = before.begin(); it != before.end(); ++it) {
            std::uint64_t &version = state.info.weights[it->first];
            if (version > it->second)
                state.loadingUntil = timestamp {};
            version = std::max(version, it->second);
        }
        next.emplace(server.id, std::move(state));
    }
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (!next.contains(it->first))
            m_peerLoads.removeServer(it->first);
    }
    m_servers = std::move(next);
    m_reach.setServerCount(m_servers.size());
    m_statements.setServers(servers);
}

zone_evacuations::changes load_balancer::setEvacuatedZones(timestamp now,
                                                           std::span<const std::string> zones)
{
    zone_evacuations::changes changed = m_evacuations.setZones(now, zones);
    for (const std::string &zone : changed.ended)
        m_coldServers.onZoneReturned(now, zone);
    return changed;
}

bool load_balancer::usesEvacuatedZone(const server_placement &placed) const
{
    return m_evacuations.isEvacuated(placed.zone)
        || std::any_of(placed.copyZones.begin(), placed.copyZones.end(),
                       [this](const std::string &zone) { return m_evacuations.isEvacuated(zone); });
}

void load_balancer::setTables(const serving_tables &tables)
{
    m_engines.clear();
    std::map<std::string, cold_rule, std::less<>> coldRules;
    for (auto it = tables.services.begin(); it != tables.services.end(); ++it) {
        const served_service &service = it->second;
        if (m_options.limitsColdServers && service.coldRequestsPerSecond > 0)
            coldRules[it->first] = {.startTime = service.coldStartTime,
                                    .requestsPerSecond = service.coldRequestsPerSecond};
    }
    m_coldServers.setRules(std::move(coldRules));
    for (auto it = tables.services.begin(); it != tables.services.end(); ++it) {
        if (it->second.engine)
            m_engines[it->first] = *it->second.engine;
    }
    m_longPrompts.setRoutes(tables.routes);
    std::vector<store_state> stores;
    for (const cache_store &info : tables.cacheStores()) {
        store_state state {.info = info, .name = toString(info.address)};
        store_state *known = findStore(state.name);
        if (known != nullptr)
            state = std::move(*known);
        state.info = info;
        stores.push_back(std::move(state));
    }
    m_stores = std::move(stores);
}

load_balancer::store_state *load_balancer::findStore(std::string_view address)
{
    const auto found = std::find_if(m_stores.begin(), m_stores.end(),
                                    [&](const store_state &each) { return each.name == address; });
    return found == m_stores.end() ? nullptr : &*found;
}

load_balancer::server_state *load_balancer::findServer(std::string_view id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const load_balancer::server_state *load_balancer::findServer(std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<std::string> load_balancer::serversWithFlag(bool server_state::*flag) const
{
    std::vector<std::string> names;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.*flag)
            names.push_back(it->first);
    }
    return names;
}

std::vector<endpoint> load_balancer::cacheStores() const
{
    std::vector<endpoint> addresses;
    for (const store_state &store : m_stores)
        addresses.push_back(store.info.address);
    return addresses;
}

void load_balancer::setStoreEpoch(std::string_view address, std::uint64_t epoch)
{
    store_state *store = findStore(address);
    if (store == nullptr)
        return;
    store->isReachable = epoch != 0;
    if (epoch == 0 || epoch == store->epoch)
        return;
    // The store has restarted empty.
    if (store->epoch != 0)
        store->parts.clear();
    store->epoch = epoch;
}

void load_balancer::markGone(std::string_view server)
{
    if (server_state *state = findServer(server))
        state->isGone = true;
}

std::vector<std::string> load_balancer::goneServers() const
{
    return serversWithFlag(&server_state::isGone);
}

std::vector<std::string> load_balancer::releasesOf(std::string_view service) const
{
    std::vector<std::string> releases;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const registered_server &info = it->second.info;
        if (info.service == service
            && std::find(releases.begin(), releases.end(), info.release) == releases.end())
            releases.push_back(info.release);
    }
    return releases;
}

void load_balancer::markLoading(std::string_view server, timestamp until)
{
    if (server_state *state = findServer(server))
        state->loadingUntil = until;
}

server_load load_balancer::totalLoad(timestamp now, std::string_view server)
{
    m_peerLoads.removeExpired(now);
    const server_state *state = findServer(server);
    return state == nullptr ? server_load {} : totalLoad(now, *state);
}

server_load load_balancer::totalLoad(timestamp now, const server_state &state) const
{
    const server_load &reported = m_peerLoads.loadOn(state.slot);
    server_load total {.running = state.own.running + reported.running,
                       .pendingTokens = state.own.pendingTokens + reported.pendingTokens,
                       .memoryTokens = state.own.memoryTokens + reported.memoryTokens};
    if (now - state.unattributedAt <= m_options.reportLifetime)
        total.running += state.unattributed;
    return total;
}

std::uint64_t load_balancer::begin(timestamp now, const server_placement &placed,
                                   const request_profile &request)
{
    m_peerLoads.removeExpired(now);
    server_state *server = findServer(placed.server);
    ticket_state ticket {.server = placed.server,
                         .pendingTokens = placed.missingTokens,
                         .memoryTokens = placed.memoryTokens,
                         .expectedMs = placed.expectedMs - placed.paceMs,
                         .copyMs = placed.copyMs,
                         .startedAt = now,
                         .isModel = !placed.cacheSalt.empty()};
    if (server != nullptr) {
        ticket.tokensAhead = totalLoad(now, *server).pendingTokens;
        server_load &own = server->own;
        own.running += 1;
        own.pendingTokens += ticket.pendingTokens;
        own.memoryTokens += ticket.memoryTokens;
        if (ticket.isModel && request.prompt.size() > 1) {
            ticket.cached = {.server = placed.server,
                             .store = placed.transferStore,
                             .isStored = placed.cacheSink.has_value()};
            for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i)
                ticket.cached.parts.push_back(
                    cachedPartKey(placed.cacheSalt, request.prompt[i].id));
            // Further requests of this instance follow the prompt to the engine that computes it.
            touchParts(now, *server, ticket.cached.parts);
            if (placed.storeTransferMs > 0)
                announce(now,
                         {.server = placed.server,
                          .store = placed.transferStore,
                          .storeTransferMs = placed.storeTransferMs});
        }
    }
    m_tickets.emplace(m_nextTicket, std::move(ticket));
    return m_nextTicket++;
}

void load_balancer::touchParts(timestamp now, server_state &state,
                               std::span<const std::uint64_t> parts)
{
    for (const std::uint64_t part : parts)
        state.parts[part] = now;
    evictExpired(state.parts, maxParts, now);
}

void load_balancer::addCachePlacements(timestamp now, std::span<const cache_placement> placements)
{
    for (const cache_placement &placed : placements) {
        if (server_state *server = findServer(placed.server))
            touchParts(now, *server, placed.parts);
        store_state *store = findStore(placed.store);
        if (store == nullptr)
            continue;
        const duration busy =
            std::min(fromSeconds(placed.storeTransferMs / 1000), maxStoreTransferTime);
        store->busyUntil = std::max(store->busyUntil, now) + busy;
        if (!placed.isStored)
            continue;
        for (const std::uint64_t part : placed.parts)
            store->parts[part] = now;
        evictExpired(store->parts, maxStoreParts, now);
    }
}

void load_balancer::announce(timestamp now, cache_placement placement)
{
    addCachePlacements(now, std::span(&placement, 1));
    if (m_placed.size() < maxCachePlacements)
        m_placed.push_back(std::move(placement));
}

void load_balancer::forgetParts(server_state &server, const ticket_state &ticket)
{
    for (const std::uint64_t part : ticket.cached.parts) {
        const auto held = server.parts.find(part);
        // A later use comes from another request, which may have succeeded.
        if (held != server.parts.end() && held->second <= ticket.startedAt)
            server.parts.erase(held);
    }
}

double load_balancer::prefillTokensPerMs(std::string_view service) const
{
    const auto found = m_prefillRates.find(service);
    return found == m_prefillRates.end() ? m_options.prefill.initialTokensPerMs
                                         : found->second.tokensPerMs();
}

void load_balancer::measurePrefill(const server_state &server, const ticket_state &ticket,
                                   double measuredMs)
{
    // The queue ahead is known only roughly, so it must not dominate the measurement.
    if (ticket.tokensAhead > ticket.pendingTokens / 2)
        return;
    const double tokens = ticket.pendingTokens + ticket.tokensAhead;
    const double milliseconds = measuredMs - m_options.baseFirstEventMs - ticket.copyMs;
    if (prefillRateOf(server.info.service).record(tokens, milliseconds))
        m_measuredRates[server.info.service] = tokens / milliseconds;
}

prefill_rate &load_balancer::prefillRateOf(std::string_view service)
{
    return m_prefillRates.try_emplace(std::string(service), m_options.prefill).first->second;
}

std::map<std::string, double, std::less<>> load_balancer::takePrefillRates()
{
    return std::exchange(m_measuredRates, {});
}

void load_balancer::addPrefillRates(const std::map<std::string, double, std::less<>> &rates)
{
    for (auto it = rates.begin(); it != rates.end(); ++it) {
        if (m_engines.contains(it->first))
            prefillRateOf(it->first).recordRate(it->second);
    }
}

std::vector<cache_placement> load_balancer::takeCachePlacements()
{
    return std::exchange(m_placed, {});
}

void load_balancer::onFirstEvent(timestamp now, std::uint64_t ticket)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end() || found->second.hasStarted)
        return;
    ticket_state &state = found->second;
    state.hasStarted = true;
    server_state *server = findServer(state.server);
    if (server == nullptr)
        return;
    server->own.pendingTokens -= state.pendingTokens;
    const double measured = toSeconds(now - state.startedAt) * 1000;
    if (!state.cached.parts.empty())
        announce(now, state.cached);
    if (state.isModel)
        measurePrefill(*server, state, measured);
    if (state.isModel && state.expectedMs > 0) {
        const double ratio = std::clamp(measured / state.expectedMs, 0.3, 6.0);
        double &slowness = server->slowness;
        slowness =
            std::clamp(slowness * (1 - latencyWeight) + slowness * ratio * latencyWeight, 0.5, 8.0);
        double &pace = server->slownessPace;
        pace = pace * (1 - latencyWeight) + server->pace.pace() * latencyWeight;
    }
}

double load_balancer::poolCallMs(std::string_view service) const
{
    const auto found = m_poolCallMs.find(service);
    return found == m_poolCallMs.end() ? m_options.defaultCallMs : found->second;
}

double load_balancer::poolCallPace(std::string_view service) const
{
    const auto found = m_poolCallPace.find(service);
    return found == m_poolCallPace.end() ? 1 : found->second;
}

void load_balancer::recordCall(timestamp now, server_state &server, double milliseconds)
{
    double &pool = m_poolCallMs.try_emplace(server.info.service, milliseconds).first->second;
    pool = pool * (1 - poolLatencyWeight) + milliseconds * poolLatencyWeight;
    server.callTime.record(now, milliseconds, pool);
    const double pace = server.pace.pace();
    double &poolPace = m_poolCallPace.try_emplace(server.info.service, pace).first->second;
    poolPace = poolPace * (1 - poolLatencyWeight) + pace * poolLatencyWeight;
    server.callPace.record(now, pace, poolPace);
}

void load_balancer::end(timestamp now, std::uint64_t ticket, attempt_outcome outcome)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end())
        return;
    const ticket_state state = std::move(found->second);
    m_tickets.erase(found);
    server_state *server = findServer(state.server);
    if (server == nullptr)
        return;
    // The request did not reach the server.
    if (outcome == attempt_outcome::Unreachable) {
        m_statements.refund(state.server);
        m_coldServers.refund(state.server);
    }
    server_state &target = *server;
    target.own.running -= 1;
    target.own.memoryTokens -= state.memoryTokens;
    if (!state.hasStarted) {
        target.own.pendingTokens -= state.pendingTokens;
        forgetParts(target, state);
    }
    if (outcome == attempt_outcome::Abandoned || outcome == attempt_outcome::Rejected)
        return;
    const bool isFailure = outcome != attempt_outcome::Done;
    target.failureShare =
        target.failureShare * (1 - outcomeWeight) + (isFailure ? outcomeWeight : 0);
    if (!isFailure) {
        target.consecutiveLosses = 0;
        if (target.suspicionCount > 0 && target.failureShare < suspectShare / 2)
            target.suspicionCount -= 1;
        if (!state.isModel)
            recordCall(now, target, toSeconds(now - state.startedAt) * 1000);
        return;
    }
    // A live server never refuses a connection, so one failed connection is enough.
    target.consecutiveLosses += outcome == attempt_outcome::Unreachable ? lossesToSuspect
        : outcome == attempt_outcome::Lost                              ? 1
                                                                        : 0;
    const bool isWorseThanPool = target.failureShare > suspectShare
        && poolFailureShare(target.info.service) < target.failureShare / 2;
    if (outcome == attempt_outcome::Unreachable) {
        target.isUnreachable = true;
        target.needsProbe = true;
        target.probedAt = now;
    }
    if (target.consecutiveLosses >= lossesToSuspect || isWorseThanPool)
        markSuspect(now, target);
}

void load_balancer::onLoadReported(timestamp now, std::string_view server, int running, int waiting)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    // Requests beyond the known load are attributed to instances whose reports are missing.
    m_peerLoads.removeExpired(now);
    const int unknown = running + waiting - totalLoad(now, *state).running - 1;
    state->unattributed = std::max(0, unknown + state->unattributed) / 2;
    state->unattributedAt = now;
}

bool load_balancer::onBrittleStated(timestamp sentAt, std::string_view server, bool isBrittle)
{
    const server_state *state = findServer(server);
    return state != nullptr && m_brittle.record(sentAt, state->info.service, isBrittle);
}

void load_balancer::onPaceReported(timestamp now, std::string_view server, int pace)
{
    if (server_state *state = findServer(server))
        state->pace.record(now, pace);
}

server_loads load_balancer::ownLoad() const
{
    server_loads load;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.own.running > 0)
            load[it->first] = it->second.own;
    }
    return load;
}

void load_balancer::setPeerLoad(timestamp now, std::string_view peer, const server_loads &load)
{
    m_peerLoads.setLoad(now, peer, load);
}

std::vector<registered_server> load_balancer::servers() const
{
    std::vector<registered_server> all;
    all.reserve(m_servers.size());
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        all.push_back(it->second.info);
    return all;
}

} // namespace trefoil
