#include <dispatch/weights_plan.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace trefoil {

namespace {

/// Weight of the newest load in the average time of a load.
constexpr double loadTimeWeight = 0.3;
/// Ratio of the expected time of loads in progress to their average age.
constexpr double ageFactor = 1.5;

/// Returns a model whose weights on @p server are older than in @p targetWeights, or nothing.
std::optional<std::string>
outdatedModel(const registered_server &server,
              const std::map<std::string, std::uint64_t, std::less<>> &targetWeights)
{
    for (auto it = server.weights.begin(); it != server.weights.end(); ++it) {
        const auto wanted = targetWeights.find(it->first);
        if (wanted != targetWeights.end() && it->second < wanted->second)
            return it->first;
    }
    return std::nullopt;
}

/// Returns whether @p server runs @p version of @p model or newer.
bool runsOrdered(const registered_server &server, std::string_view model, std::uint64_t version)
{
    const auto runs = server.weights.find(model);
    return runs != server.weights.end() && runs->second >= version;
}

} // namespace

weights_plan::progress &weights_plan::progressOf(const registered_server &server)
{
    progress &state = m_progress[server.id];
    if (state.startedAtMs != server.startedAtMs) {
        // A restarted server has lost its orders.
        state = progress {.startedAtMs = server.startedAtMs};
    }
    return state;
}

void weights_plan::poll(const registered_server &server, progress &state, actions &due)
{
    state.isPolling = true;
    (state.hasFailed ? due.failingServersToPoll : due.serversToPoll).push_back(server);
}

void weights_plan::recordLoadTime(const std::string &service, duration time)
{
    duration &average = m_loadTimes.try_emplace(service, time).first->second;
    average =
        fromSeconds(toSeconds(average) * (1 - loadTimeWeight) + toSeconds(time) * loadTimeWeight);
}

duration weights_plan::expectedLoadTime(const std::string &service, const pool &state) const
{
    const auto measured = m_loadTimes.find(service);
    const duration average =
        measured == m_loadTimes.end() ? m_options.initialLoadTime : measured->second;
    if (state.loading == 0)
        return average;
    // Loads in progress that take longer than earlier ones tell so before their end.
    const duration age = state.loadingFor / state.loading;
    return std::max<duration>(average, fromSeconds(toSeconds(age) * ageFactor));
}

int weights_plan::maxConcurrentLoads(timestamp now, const std::string &service, const inputs &input,
                                     pool &state) const
{
    const auto shareOf = [&state](double share) {
        return static_cast<int>(std::ceil(state.size * share));
    };
    const int usual = std::max(m_options.minConcurrentLoads, shareOf(m_options.maxLoadingShare));
    const auto spare = input.spareServers.find(service);
    const int spareServers = spare == input.spareServers.end() ? 0 : spare->second;
    const int most = std::max({usual, shareOf(m_options.maxUrgentLoadingShare),
                               std::min(state.loading + spareServers, state.size)});
    // The first servers by their limits have to be done in as many rounds as fit before it.
    const duration loadTime = expectedLoadTime(service, state);
    std::sort(state.limits.begin(), state.limits.end());
    int needed = 0;
    for (std::size_t i = 0; i < state.limits.size(); ++i) {
        const double rounds = std::floor(toSeconds(state.limits[i] - now) / toSeconds(loadTime));
        const int atOnce =
            static_cast<int>(std::ceil(static_cast<double>(i + 1) / std::max(rounds, 1.0)));
        // In the last round no load in progress makes room for another one.
        needed = std::max(needed, rounds < 2 ? state.loading + atOnce : atOnce);
    }
    return std::clamp(needed, usual, most);
}

bool weights_plan::isInProgress(timestamp now, const registered_server &server, bool isOutdated,
                                progress &state, actions &due)
{
    const bool isLoaded = runsOrdered(server, state.model, state.version);
    // The ordered version may have been superseded meanwhile.
    const bool isDone = !isOutdated || isLoaded;
    const bool isLost = now - state.since > m_options.orderTimeout;
    const duration time = now - state.orderedAt;
    if (!isDone && !isLost) {
        if (state.current == stage::Loading && !state.isPolling
            && now >= std::max(state.notBefore, state.since + m_options.pollDelay))
            poll(server, state, due);
        return true;
    }
    if (isLoaded)
        due.completed.push_back(
            {.server = server.id, .model = state.model, .version = state.version, .time = time});
    // A load without an end took that long at least.
    if (isLoaded || state.current == stage::Loading)
        recordLoadTime(server.service, time);
    state.current = stage::Idle;
    state.isOrderCountKnown = isDone && state.isOrderCountKnown;
    return false;
}

weights_plan::actions weights_plan::next(timestamp now, std::uint64_t epoch, const inputs &input)
{
    actions due;
    std::map<std::string, pool> pools;
    std::vector<const registered_server *> waiting;
    for (const registered_server &server : input.servers) {
        if (server.weights.empty())
            continue;
        pool &servers = pools[server.service];
        servers.size += server.isLeaving ? 0 : 1;
        progress &state = progressOf(server);
        const std::optional<std::string> model = outdatedModel(server, input.targetWeights);
        if (state.current != stage::Idle
            && isInProgress(now, server, model.has_value(), state, due)) {
            servers.loading += 1;
            servers.loadingFor += now - state.orderedAt;
            continue;
        }
        // A leaving server gets no new requests, so it doesn't need new weights.
        if (server.isLeaving || now < state.notBefore || input.unreachable.contains(server.id))
            continue;
        const auto limit = input.weightsLimits.find(server.id);
        if (model && limit != input.weightsLimits.end())
            servers.limits.push_back(limit->second);
        // Polled in advance, so that the first order for new weights can be sent immediately.
        if (!state.isOrderCountKnown && !state.isPolling && (model || !state.wasPolled)) {
            state.wasPolled = true;
            poll(server, state, due);
        }
        const auto blocked = input.blockedUntil.find(server.id);
        if (!model || !state.isOrderCountKnown
            || (blocked != input.blockedUntil.end() && now < blocked->second))
            continue;
        waiting.push_back(&server);
    }
    // Oldest weights first, because their time limit ends first; then the least loaded server.
    const auto sortKey = [&](const registered_server *server) {
        const auto load = input.running.find(server->id);
        const std::string model = *outdatedModel(*server, input.targetWeights);
        return std::pair(server->weights.find(model)->second,
                         load == input.running.end() ? 0 : load->second);
    };
    std::stable_sort(waiting.begin(), waiting.end(),
                     [&sortKey](const registered_server *left, const registered_server *right) {
                         return sortKey(left) < sortKey(right);
                     });
    std::map<std::string, int> maxLoads;
    for (auto it = pools.begin(); it != pools.end(); ++it)
        maxLoads[it->first] = maxConcurrentLoads(now, it->first, input, it->second);
    for (const registered_server *server : waiting) {
        pool &servers = pools[server->service];
        if (servers.loading >= maxLoads[server->service])
            continue;
        servers.loading += 1;
        const std::string model = *outdatedModel(*server, input.targetWeights);
        progress &state = progressOf(*server);
        state.current = stage::Ordered;
        state.model = model;
        state.version = input.targetWeights.find(model)->second;
        state.orderedAt = now;
        state.since = now;
        due.orders.push_back({.server = server->id,
                              .address = server->address,
                              .model = model,
                              .version = state.version,
                              .expectedOrders = state.acceptedOrders,
                              .epoch = epoch});
    }
    return due;
}

void weights_plan::onAnswer(timestamp now, std::string_view server, order_answer answer)
{
    const auto found = m_progress.find(server);
    if (found == m_progress.end())
        return;
    progress &state = found->second;
    state.isPolling = false;
    state.hasFailed = answer == order_answer::Unknown;
    if (answer == order_answer::Accepted) {
        state.current = stage::Loading;
        state.since = now;
        state.notBefore = now;
        state.acceptedOrders += 1;
        return;
    }
    state.current = stage::Idle;
    state.isOrderCountKnown = false;
    state.notBefore =
        now + (answer == order_answer::Conflict ? duration::zero() : m_options.retryAfter);
}

void weights_plan::onState(timestamp now, std::string_view server, const order_state *state)
{
    const auto found = m_progress.find(server);
    if (found == m_progress.end())
        return;
    progress &known = found->second;
    known.isPolling = false;
    known.notBefore = now + m_options.pollInterval;
    known.hasFailed = state == nullptr;
    if (state == nullptr) {
        // The server may have crashed and its load of weights been lost.
        known.current = stage::Idle;
        known.isOrderCountKnown = false;
        known.notBefore = now + m_options.retryAfter;
        return;
    }
    known.acceptedOrders = state->acceptedOrders;
    known.isOrderCountKnown = true;
    if (known.current == stage::Idle) {
        known.notBefore = state->isBusy ? now + m_options.pollInterval : now;
        known.isOrderCountKnown = !state->isBusy;
    }
}

std::vector<std::string> weights_plan::loading() const
{
    std::vector<std::string> names;
    for (auto it = m_progress.begin(); it != m_progress.end(); ++it) {
        if (it->second.current != stage::Idle)
            names.push_back(it->first);
    }
    return names;
}

} // namespace trefoil
