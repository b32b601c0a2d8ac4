#include <routing/placement.h>

#include <algorithm>
#include <limits>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// Share of the blocks missing from the cache estimate that the first server in rendezvous order is
/// assumed to hold, because other instances have probably sent them there. Each later server in the
/// order is assumed to hold rendezvousPriorDecay times the share of the server before it.
constexpr double rendezvousPrior = 0.5;
constexpr double rendezvousPriorDecay = 0.6;

/// Each second of the mean queue raises the recomputation weight by recomputeWeightPerQueueSecond
/// times its base value. At most maxCountedQueueSeconds of each server's queue count.
constexpr double maxCountedQueueSeconds = 10;
constexpr double recomputeWeightPerQueueSecond = 1.0;

/// Costs that differ by less count as equal. Ties are broken at random, so that instances don't all
/// choose the same server.
constexpr double tieToleranceSeconds = 0.002;

/// Cost added for a server marked down, so that it is the last choice.
constexpr double downPenaltySeconds = 1000;

double uncachedTokens(const prefix_chain &chain, double cachedBlocks)
{
    return std::max(0.0, chain.tokens - cachedBlocks * blockTokens);
}

} // namespace

placement::placement(const placement_options &options)
    : m_options(options), m_random(m_options.randomSeed)
{ }

void placement::setServers(const std::vector<placement_server> &servers)
{
    std::map<std::string, server_state, std::less<>> next;
    for (const placement_server &each : servers) {
        const auto found = m_servers.find(each.name);
        server_state state = found == m_servers.end() ? server_state {} : std::move(found->second);
        state.server = each;
        state.cacheEstimate.setIdentity(each.version, state.incarnation);
        next.emplace(each.name, std::move(state));
    }
    m_servers = std::move(next);
}

void placement::setDown(std::string_view server, timestamp until)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.downUntil = until;
}

bool placement::isEligible(const server_state &state, const placement_request &request) const
{
    const std::vector<std::string> &excluded = request.excluded;
    return !state.server.leaving
        && (request.version.empty() || request.version == state.server.version)
        && std::find(excluded.begin(), excluded.end(), state.server.name) == excluded.end();
}

double placement::prefillRateOf(const server_state &state) const
{
    return state.prefillRate > 0 ? state.prefillRate : m_options.prefillRate;
}

double placement::currentBacklogTokens(timestamp now, const server_state &state) const
{
    return std::max(
        0.0, state.backlogTokens - toSeconds(now - state.backlogUpdatedAt) * prefillRateOf(state));
}

double placement::queueSeconds(timestamp now, const server_state &state) const
{
    double tokens = currentBacklogTokens(now, state);
    // This instance's requests without a first token still wait, even if the estimate has decayed.
    tokens = std::max(tokens, state.pendingPrefillTokens);
    return tokens / prefillRateOf(state);
}

double placement::expectedSeconds(timestamp now, const server_state &state,
                                  const prefix_chain &chain, double cachedBlocks) const
{
    return queueSeconds(now, state) + uncachedTokens(chain, cachedBlocks) / prefillRateOf(state);
}

double placement::cost(timestamp now, const server_state &state, const placement_request &request,
                       double cachedBlocks, double recomputeWeight) const
{
    double seconds = queueSeconds(now, state);
    const double uncached = uncachedTokens(*request.chain, cachedBlocks);
    seconds += recomputeWeight * uncached / prefillRateOf(state);
    if (state.server.zone != request.zone)
        seconds += m_options.crossZoneSeconds;
    if (now < state.downUntil)
        seconds += downPenaltySeconds;
    return seconds;
}

double placement::effectiveRecomputeWeight(timestamp now) const
{
    // When all queues are long, sending a request to a shorter queue without its prefix costs the
    // pool more than it saves the request: the recomputation lengthens the queues, which moves
    // further requests. With a fixed weight the pool does not recover from a short overload.
    double sum = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        sum += std::min(queueSeconds(now, it->second), maxCountedQueueSeconds);
    const double mean = sum / static_cast<double>(std::max<std::size_t>(1, m_servers.size()));
    return m_options.recomputeWeight * (1 + mean * recomputeWeightPerQueueSecond);
}

std::size_t placement::estimateCachedBlocks(timestamp now, const server_state &state,
                                            const prefix_chain &chain) const
{
    return m_options.useCacheEstimate ? state.cacheEstimate.cachedPrefixLength(now, chain.blocks)
                                      : 0;
}

std::vector<std::string_view> placement::serversInRendezvousOrder(digest128 block) const
{
    const std::string key = toHex(block);
    std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        weighted.emplace_back(rendezvousWeight(key, it->first), it->first);
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string_view> servers;
    for (const std::pair<std::uint64_t, std::string_view> &each : weighted)
        servers.push_back(each.second);
    return servers;
}

std::optional<placement_choice> placement::choose(timestamp now, const placement_request &request)
{
    const prefix_chain &chain = *request.chain;
    // Every instance computes the same rendezvous order for a prefix. A prefix too popular for one
    // server is thus cached on the same few servers, and all instances prefer these.
    std::map<std::string_view, double> priorCachedShare;
    if (m_options.useRendezvousPrior && !chain.blocks.empty()) {
        double share = rendezvousPrior;
        for (const std::string_view server : serversInRendezvousOrder(chain.blocks.front())) {
            priorCachedShare[server] = share;
            share *= rendezvousPriorDecay;
        }
    }
    const double recomputeWeight = effectiveRecomputeWeight(now);
    std::vector<placement_choice> ties;
    double lowestCost = std::numeric_limits<double>::infinity();
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        if (!isEligible(state, request))
            continue;
        const std::size_t estimated = estimateCachedBlocks(now, state, chain);
        const double otherBlocks = static_cast<double>(chain.blocks.size() - estimated);
        const double expectedCachedBlocks =
            static_cast<double>(estimated) + otherBlocks * priorCachedShare[it->first];
        const double seconds = cost(now, state, request, expectedCachedBlocks, recomputeWeight);
        if (seconds > lowestCost + tieToleranceSeconds)
            continue;
        if (seconds < lowestCost - tieToleranceSeconds)
            ties.clear();
        lowestCost = std::min(lowestCost, seconds);
        ties.push_back(
            {.server = it->first,
             .version = state.server.version,
             .estimatedCachedBlocks = estimated,
             .expectedSeconds = expectedSeconds(now, state, chain, expectedCachedBlocks)});
    }
    if (ties.empty())
        return std::nullopt;
    return ties[m_random() % ties.size()];
}

void placement::recordSent(timestamp now, std::string_view server, const prefix_chain &chain,
                           std::size_t estimatedCachedBlocks)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    const double uncached = uncachedTokens(chain, static_cast<double>(estimatedCachedBlocks));
    state.backlogTokens = currentBacklogTokens(now, state);
    state.backlogTokens += uncached;
    state.backlogUpdatedAt = now;
    state.pendingPrefillTokens += uncached;
    state.cacheEstimate.recordSent(now, chain.blocks);
}

void placement::recordFirstToken(timestamp now, std::string_view server, const prefix_chain &chain,
                                 std::size_t estimatedCachedBlocks, double cachedTokens)
{
    recordAborted(server, chain, estimatedCachedBlocks);
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || cachedTokens < 0)
        return;
    const std::size_t cached = static_cast<std::size_t>(cachedTokens / blockTokens + 0.5);
    found->second.cacheEstimate.recordCacheHits(now, chain.blocks, cached, estimatedCachedBlocks);
}

void placement::recordAborted(std::string_view server, const prefix_chain &chain,
                              std::size_t estimatedCachedBlocks)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    const double uncached = uncachedTokens(chain, static_cast<double>(estimatedCachedBlocks));
    found->second.pendingPrefillTokens =
        std::max(0.0, found->second.pendingPrefillTokens - uncached);
}

void placement::applyLoadReport(timestamp now, std::string_view server, const load_report &report)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    if (report.incarnation != state.incarnation) {
        state.incarnation = report.incarnation;
        state.cacheEstimate.setIdentity(state.server.version, report.incarnation);
    }
    state.backlogTokens = report.queuedTokens;
    state.backlogUpdatedAt = now;
    if (report.prefillRate > 0)
        state.prefillRate = report.prefillRate;
}

void placement::applyCacheEvents(timestamp now, std::string_view server, std::uint64_t incarnation,
                                 std::uint64_t sequence, std::span<const digest128> stored,
                                 std::span<const digest128> evicted)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    if (incarnation != state.incarnation) {
        state.incarnation = incarnation;
        state.cacheEstimate.setIdentity(state.server.version, incarnation);
    }
    state.cacheEstimate.applyCacheEvents(now, sequence, stored, evicted);
}

std::vector<std::string> placement::availableServers(timestamp now) const
{
    std::vector<std::string> names;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (!it->second.server.leaving && now >= it->second.downUntil)
            names.push_back(it->first);
    }
    return names;
}

} // namespace trefoil
