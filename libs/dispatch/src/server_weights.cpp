// Weights of the backend servers as load_balancer knows them.

#include <dispatch/load_balancer.h>

namespace trefoil {

namespace {

/// Time for which a server gets no requests after it refused a weights version, if no newer target
/// version is known.
constexpr duration weightsMismatchBackoff = std::chrono::milliseconds(400);

} // namespace

void load_balancer::addTargetWeights(std::string_view model, std::uint64_t version, timestamp since)
{
    timestamp &known =
        m_targetWeights[std::string(model)].try_emplace(version, since).first->second;
    known = std::min(known, since);
}

void load_balancer::onWeightsObserved(timestamp now, std::string_view server,
                                      std::string_view model, std::uint64_t version)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    if (version > state->info.weights[std::string(model)])
        state->weightsObservedAt = now;
    onWeightsReported(server, model, version);
}

void load_balancer::onWeightsReported(std::string_view server, std::string_view model,
                                      std::uint64_t version)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    std::uint64_t &known = state->info.weights[std::string(model)];
    if (version >= state->assumedWeights)
        state->assumedWeights = 0;
    if (version <= known)
        return;
    known = version;
    state->loadingUntil = timestamp {};
    state->parts.clear();
}

void load_balancer::onWeightsMismatch(timestamp now, std::string_view server,
                                      std::string_view model, std::uint64_t tried)
{
    server_state *state = findServer(server);
    if (state == nullptr)
        return;
    state->assumedWeights = 0;
    const auto targets = m_targetWeights.find(model);
    if (targets != m_targetWeights.end()) {
        const auto next = targets->second.upper_bound(tried);
        if (next != targets->second.end())
            state->assumedWeights = next->first;
    }
    if (state->assumedWeights == 0)
        state->loadingUntil = std::max(state->loadingUntil, now + weightsMismatchBackoff);
}

std::uint64_t load_balancer::weightsOf(const server_state &state, std::string_view model)
{
    if (state.assumedWeights != 0)
        return state.assumedWeights;
    const auto runs = state.info.weights.find(model);
    return runs == state.info.weights.end() ? 0 : runs->second;
}

std::map<std::string, std::uint64_t, std::less<>> load_balancer::newestTargetWeights() const
{
    std::map<std::string, std::uint64_t, std::less<>> newest;
    for (auto it = m_targetWeights.begin(); it != m_targetWeights.end(); ++it)
        newest[it->first] = it->second.rbegin()->first;
    return newest;
}

std::optional<timestamp> load_balancer::weightsLimit(std::string_view model,
                                                     std::uint64_t version) const
{
    const auto targets = m_targetWeights.find(model);
    if (targets == m_targetWeights.end())
        return std::nullopt;
    // The time counts from the first newer version, even if further ones were set since.
    const auto newer = targets->second.upper_bound(version);
    if (newer == targets->second.end())
        return std::nullopt;
    return newer->second + m_options.weightsDeadline;
}

std::optional<timestamp> load_balancer::latestStart(std::string_view model,
                                                    std::uint64_t version) const
{
    const std::optional<timestamp> limit = weightsLimit(model, version);
    return limit ? std::optional(*limit - m_options.weightsMargin) : std::nullopt;
}

std::vector<registered_server> load_balancer::serversWithNewWeights(timestamp since) const
{
    std::vector<registered_server> changed;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (it->second.weightsObservedAt > since)
            changed.push_back(it->second.info);
    }
    return changed;
}

} // namespace trefoil
