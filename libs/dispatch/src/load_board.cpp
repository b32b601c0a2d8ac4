#include <dispatch/load_board.h>

#include <algorithm>
#include <limits>

#include "part_belief.h"

namespace trefoil {

namespace {

/// Weight of the newest outcome in a server's failure share: about the last eight requests.
constexpr double outcomeWeight = 0.12;
/// A server is suspect when it fails this share of its requests and the pool fails half of it.
constexpr double suspectShare = 0.3;
/// Losses in a row that make a server suspect.
constexpr int lossesToSuspect = 2;
/// First time under suspicion; doubled with each one up to the longest.
constexpr duration firstSuspicion = std::chrono::milliseconds(700);
constexpr duration longestSuspicion = std::chrono::seconds(6);
/// Time between tries to connect to a server that can't be reached.
constexpr duration probeEvery = std::chrono::milliseconds(500);
/// What another instance can't reach is tried from here at most this often.
constexpr duration doubtEvery = std::chrono::milliseconds(1500);
/// Weight of the newest measurement of a server's speed.
constexpr double speedWeight = 0.1;
/// Parts remembered for a server, and for the store.
constexpr std::size_t maxParts = 4096;
constexpr std::size_t maxStoreParts = 65536;
/// Placements kept for the next report.
constexpr std::size_t maxPlacedParts = 256;
/// Longest use of a store's link for one prompt that is believed.
constexpr duration longestStoreUse = std::chrono::milliseconds(500);
/// A server that runs none of the weights to be tried is left alone for this long.
constexpr duration otherWeightsRest = std::chrono::milliseconds(400);

template <typename Parts>
void forgetOldest(Parts &parts, std::size_t most, timestamp now)
{
    if (parts.size() <= most)
        return;
    std::erase_if(parts, [now](const auto &each) { return now - each.second > partLife; });
}

} // namespace

std::string cacheNameOf(std::string_view model, std::uint64_t weights,
                        std::string_view isolatedTeam)
{
    std::string name(model);
    name += "@" + std::to_string(weights);
    if (!isolatedTeam.empty())
        name.append("/").append(isolatedTeam);
    return name;
}

load_board::load_board(const load_board_options &options)
    : m_options(options), m_random(options.randomSeed)
{ }

void load_board::setServers(std::span<const registered_server> servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const registered_server &server : servers) {
        const auto known = m_servers.find(server.id);
        const bool isSame =
            known != m_servers.end() && known->second.info.startedAtMs == server.startedAtMs;
        server_state state = isSame ? std::move(known->second) : server_state {};
        const std::map<std::string, std::uint64_t, std::less<>> before =
            isSame ? state.info.weights : decltype(state.info.weights) {};
        state.info = server;
        // A listed entry may be older than what an answer said.
        for (auto it = before.begin(); it != before.end(); ++it) {
            std::uint64_t &version = state.info.weights[it->first];
            if (version > it->second)
                state.loadingUntil = timestamp {};
            version = std::max(version, it->second);
        }
        next.emplace(server.id, std::move(state));
    }
    m_servers = std::move(next);
}

void load_board::setTables(const serving_tables &tables)
{
    m_engines.clear();
    for (auto it = tables.services.begin(); it != tables.services.end(); ++it) {
        if (it->second.engine)
            m_engines[it->first] = *it->second.engine;
    }
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

load_board::store_state *load_board::findStore(std::string_view address)
{
    const auto found = std::find_if(m_stores.begin(), m_stores.end(),
                                    [&](const store_state &each) { return each.name == address; });
    return found == m_stores.end() ? nullptr : &*found;
}

load_board::server_state *load_board::findServer(std::string_view id)
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

const load_board::server_state *load_board::findServer(std::string_view id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

std::vector<std::string> load_board::serversThat(bool server_state::*flag) const
{
    std::vector<std::string> names;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.*flag)
            names.push_back(it->first);
    }
    return names;
}

std::vector<endpoint> load_board::cacheStores() const
{
    std::vector<endpoint> addresses;
    for (const store_state &store : m_stores)
        addresses.push_back(store.info.address);
    return addresses;
}

void load_board::noteStoreState(std::string_view address, std::uint64_t epoch)
{
    store_state *store = findStore(address);
    if (store == nullptr)
        return;
    store->isReachable = epoch != 0;
    if (epoch == 0 || epoch == store->epoch)
        return;
    // It restarted with nothing.
    if (store->epoch != 0)
        store->parts.clear();
    store->epoch = epoch;
}

void load_board::noteNamedWeights(std::string_view model, std::uint64_t version, timestamp since)
{
    timestamp &known = m_named[std::string(model)].try_emplace(version, since).first->second;
    known = std::min(known, since);
}

void load_board::noteSeenWeights(timestamp now, std::string_view server, std::string_view model,
                                 std::uint64_t version)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    if (version > state->info.weights[std::string(model)])
        state->weightsSeenAt = now;
    noteToldWeights(server, model, version);
}

void load_board::noteToldWeights(std::string_view server, std::string_view model,
                                 std::uint64_t version)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    std::uint64_t &known = state->info.weights[std::string(model)];
    if (version >= state->guessedWeights)
        state->guessedWeights = 0;
    if (version <= known)
        return;
    known = version;
    state->loadingUntil = timestamp {};
    state->parts.clear();
}

void load_board::noteOtherWeights(timestamp now, std::string_view server, std::string_view model,
                                  std::uint64_t tried)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    state->guessedWeights = 0;
    const auto named = m_named.find(model);
    if (named != m_named.end()) {
        const auto next = named->second.upper_bound(tried);
        if (next != named->second.end())
            state->guessedWeights = next->first;
    }
    if (state->guessedWeights == 0)
        state->loadingUntil = std::max(state->loadingUntil, now + otherWeightsRest);
}

void load_board::noteGone(std::string_view server)
{
    if (server_state *state = findServer(server))
        state->isGone = true;
}

std::vector<std::string> load_board::goneServers() const
{
    return serversThat(&server_state::isGone);
}

std::uint64_t load_board::weightsOf(const server_state &state, std::string_view model)
{
    if (state.guessedWeights != 0)
        return state.guessedWeights;
    const auto runs = state.info.weights.find(model);
    return runs == state.info.weights.end() ? 0 : runs->second;
}

std::map<std::string, std::uint64_t, std::less<>> load_board::newestWeights() const
{
    std::map<std::string, std::uint64_t, std::less<>> newest;
    for (auto it = m_named.begin(); it != m_named.end(); ++it)
        newest[it->first] = it->second.rbegin()->first;
    return newest;
}

std::vector<registered_server> load_board::serversWithNewWeights(timestamp since) const
{
    std::vector<registered_server> changed;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.weightsSeenAt > since)
            changed.push_back(it->second.info);
    }
    return changed;
}

std::vector<std::string> load_board::releasesOf(std::string_view service) const
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

void load_board::noteLoading(std::string_view server, timestamp until)
{
    if (server_state *state = findServer(server))
        state->loadingUntil = until;
}

server_load load_board::totalLoad(timestamp now, std::string_view server) const
{
    const server_state *state = findServer(server);
    return state == nullptr ? server_load {} : totalLoad(now, *state);
}

server_load load_board::totalLoad(timestamp now, const server_state &state) const
{
    server_load total = state.own;
    for (auto it = state.peers.begin(); it != state.peers.end(); ++it) {
        if (now - it->second.at > m_options.reportLife)
            continue;
        total.running += it->second.load.running;
        total.pendingTokens += it->second.load.pendingTokens;
        total.memoryTokens += it->second.load.memoryTokens;
    }
    return total;
}

bool load_board::isSuspect(timestamp now, std::string_view server) const
{
    const server_state *state = findServer(server);
    return state != nullptr && now < state->suspectUntil;
}

std::uint64_t load_board::begin(timestamp now, const work_placement &placed, const work_item &work)
{
    server_state *server = findServer(placed.server);
    ticket_state ticket {.server = placed.server,
                         .pendingTokens = placed.missingTokens,
                         .memoryTokens = placed.memoryTokens,
                         .expectedMs = placed.expectedMs,
                         .startedAt = now,
                         .isModel = !placed.cacheName.empty()};
    if (server != nullptr) {
        server_load &own = server->own;
        own.running += 1;
        own.pendingTokens += ticket.pendingTokens;
        own.memoryTokens += ticket.memoryTokens;
        if (ticket.isModel && work.prompt.size() > 1) {
            placed_parts parts {.server = placed.server,
                                .store = placed.busyStore,
                                .isKept = placed.cacheSink.has_value(),
                                .storeMs = placed.storeMs};
            for (std::size_t i = 0; i + 1 < work.prompt.size(); ++i)
                parts.parts.push_back(partKey(placed.cacheName, work.prompt[i].id));
            notePlacedParts(now, std::span(&parts, 1));
            if (m_placed.size() < maxPlacedParts)
                m_placed.push_back(std::move(parts));
        }
    }
    m_tickets.emplace(m_nextTicket, std::move(ticket));
    return m_nextTicket++;
}

void load_board::noteParts(timestamp now, server_state &state, std::span<const std::uint64_t> parts)
{
    for (const std::uint64_t part : parts)
        state.parts[part] = now;
    forgetOldest(state.parts, maxParts, now);
}

void load_board::notePlacedParts(timestamp now, std::span<const placed_parts> placements)
{
    for (const placed_parts &placed : placements) {
        if (server_state *server = findServer(placed.server))
            noteParts(now, *server, placed.parts);
        store_state *store = findStore(placed.store);
        if (store == nullptr)
            continue;
        const duration busy = std::min(fromSeconds(placed.storeMs / 1000), longestStoreUse);
        store->busyUntil = std::max(store->busyUntil, now) + busy;
        if (!placed.isKept)
            continue;
        for (const std::uint64_t part : placed.parts)
            store->parts[part] = now;
        forgetOldest(store->parts, maxStoreParts, now);
    }
}

std::vector<placed_parts> load_board::takePlacedParts() { return std::exchange(m_placed, {}); }

void load_board::noteFirstEvent(timestamp now, std::uint64_t ticket)
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
    if (state.isModel && state.expectedMs > 0) {
        const double ratio = std::clamp(measured / state.expectedMs, 0.3, 6.0);
        double &slowness = server->slowness;
        slowness =
            std::clamp(slowness * (1 - speedWeight) + slowness * ratio * speedWeight, 0.5, 8.0);
    }
}

void load_board::noteSilence(timestamp now, std::uint64_t ticket)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end() || found->second.wasSilent)
        return;
    found->second.wasSilent = true;
    if (server_state *server = findServer(found->second.server))
        suspect(now, *server);
}

void load_board::suspect(timestamp now, server_state &state)
{
    if (now < state.suspectUntil)
        return;
    const duration time =
        std::min(firstSuspicion * (1 << std::min(state.suspicions, 4)), longestSuspicion);
    state.suspectUntil = now + time;
    state.suspicions += 1;
    state.needsProbe = true;
}

std::vector<registered_server> load_board::serversToProbe(timestamp now)
{
    std::vector<registered_server> due;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        server_state &state = it->second;
        if (!state.needsProbe || state.isProbed || state.isGone
            || now - state.probedAt < probeEvery)
            continue;
        state.probedAt = now;
        state.isProbed = true;
        due.push_back(state.info);
    }
    return due;
}

void load_board::noteProbe(std::string_view server, bool isReachable)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    state->isProbed = false;
    state->isUnreachable = !isReachable;
    state->needsProbe = !isReachable;
    if (isReachable)
        state->lostInARow = 0;
}

void load_board::noteDoubt(timestamp now, std::string_view server)
{
    server_state *state = findServer(server);
    if (state != nullptr && now - state->probedAt > doubtEvery)
        state->needsProbe = true;
}

std::vector<std::string> load_board::unreachableServers() const
{
    return serversThat(&server_state::isUnreachable);
}

double load_board::poolFailureShare(std::string_view service) const
{
    double sum = 0;
    int count = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.info.service != service)
            continue;
        sum += it->second.failureShare;
        count += 1;
    }
    return count > 0 ? sum / count : 0;
}

void load_board::end(timestamp now, std::uint64_t ticket, work_outcome outcome)
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end())
        return;
    const ticket_state state = std::move(found->second);
    m_tickets.erase(found);
    server_state *server = findServer(state.server);
    if (server == nullptr)
        return;
    server_state &target = *server;
    target.own.running -= 1;
    target.own.memoryTokens -= state.memoryTokens;
    if (!state.hasStarted)
        target.own.pendingTokens -= state.pendingTokens;
    if (outcome == work_outcome::Abandoned || outcome == work_outcome::Rejected)
        return;
    const bool isFailure = outcome != work_outcome::Done;
    target.failureShare =
        target.failureShare * (1 - outcomeWeight) + (isFailure ? outcomeWeight : 0);
    if (!isFailure) {
        target.lostInARow = 0;
        if (target.suspicions > 0 && target.failureShare < suspectShare / 2)
            target.suspicions -= 1;
        if (!state.isModel) {
            const double measured = toSeconds(now - state.startedAt) * 1000;
            target.callMs = target.callMs > 0
                ? target.callMs * (1 - speedWeight) + measured * speedWeight
                : measured;
        }
        return;
    }
    // A server that lives never refuses a connection, so one is enough.
    target.lostInARow += outcome == work_outcome::Unreachable ? lossesToSuspect
        : outcome == work_outcome::Lost                       ? 1
                                                              : 0;
    const bool isWorse = target.failureShare > suspectShare
        && poolFailureShare(target.info.service) < target.failureShare / 2;
    if (outcome == work_outcome::Unreachable) {
        target.isUnreachable = true;
        target.needsProbe = true;
        target.probedAt = now;
    }
    if (target.lostInARow >= lossesToSuspect || isWorse)
        suspect(now, target);
}

void load_board::noteReportedLoad(timestamp now, std::string_view server, int running, int waiting)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    // What the server counts beyond all that is known stands for instances not heard from.
    const server_load known = totalLoad(now, *state);
    const int unknown = running + waiting - known.running - 1;
    peer_load &rest = state->peers["(unknown)"];
    rest.at = now;
    rest.load.running = std::max(0, unknown + rest.load.running) / 2;
}

std::map<std::string, server_load, std::less<>> load_board::ownLoad() const
{
    std::map<std::string, server_load, std::less<>> load;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.own.running > 0)
            load[it->first] = it->second.own;
    }
    return load;
}

void load_board::takePeerLoad(timestamp now, std::string_view peer,
                              const std::map<std::string, server_load, std::less<>> &load)
{
    const std::string name(peer);
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const auto reported = load.find(it->first);
        if (reported == load.end())
            it->second.peers.erase(name);
        else
            it->second.peers[name] = {.load = reported->second, .at = now};
    }
}

std::vector<registered_server> load_board::servers() const
{
    std::vector<registered_server> all;
    all.reserve(m_servers.size());
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        all.push_back(it->second.info);
    return all;
}

} // namespace trefoil
