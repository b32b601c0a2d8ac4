#include <dispatch/weights_plan.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace trefoil {

namespace {

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

weights_plan::actions weights_plan::next(timestamp now, std::uint64_t epoch, const inputs &input)
{
    actions due;
    std::map<std::string, int> loadingCount;
    std::map<std::string, int> poolSize;
    std::vector<const registered_server *> waiting;
    for (const registered_server &server : input.servers) {
        if (server.weights.empty())
            continue;
        poolSize[server.service] += server.isLeaving ? 0 : 1;
        progress &state = progressOf(server);
        const std::optional<std::string> model = outdatedModel(server, input.targetWeights);
        if (state.current != stage::Idle) {
            // The ordered version may have been superseded meanwhile.
            const bool runsVersion = runsOrdered(server, state.model, state.version);
            const bool isDone = !model || runsVersion;
            if (runsVersion)
                due.completed.push_back({.server = server.id,
                                         .model = state.model,
                                         .version = state.version,
                                         .time = now - state.orderedAt});
            const bool isLost = now - state.since > m_options.orderTimeout;
            if (isDone || isLost) {
                state.current = stage::Idle;
                state.isOrderCountKnown = isDone && state.isOrderCountKnown;
            } else {
                loadingCount[server.service] += 1;
                if (state.current == stage::Loading && !state.isPolling
                    && now >= std::max(state.notBefore, state.since + m_options.pollDelay)) {
                    poll(server, state, due);
                }
                continue;
            }
        }
        // A leaving server gets no new requests, so it doesn't need new weights.
        if (server.isLeaving || now < state.notBefore || input.unreachable.contains(server.id))
            continue;
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
    for (const registered_server *server : waiting) {
        const int maxLoading = std::max(
            m_options.minConcurrentLoads,
            static_cast<int>(std::ceil(poolSize[server->service] * m_options.maxLoadingShare)));
        if (loadingCount[server->service] >= maxLoading)
            continue;
        loadingCount[server->service] += 1;
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
