#include <routing/placement.h>

#include <algorithm>
#include <limits>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// Share of a prompt's blocks that the first home is taken to hold although this instance does not
/// know of them: another instance has probably sent them there. Less for each home further on.
constexpr double homeConfidence = 0.5;
constexpr double homeDecay = 0.6;

/// Each second of the mean queue, up to so many, adds this part of the weight of recomputation.
constexpr double maxPressureSeconds = 10;
constexpr double pressureFactor = 1.0;

/// Costs closer than this are a tie, broken at random so that instances don't herd.
constexpr double tieSeconds = 0.002;

/// A server marked down costs this much more, so that it is the last choice.
constexpr double downSeconds = 1000;

double missingTokens(const prefix_chain &chain, double believedBlocks)
{
    return std::max(0.0, chain.tokens - believedBlocks * blockTokens);
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
        state.belief.setIdentity(each.version, state.incarnation);
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

bool placement::mayTake(const server_state &state, const placement_request &request) const
{
    const std::vector<std::string> &excluded = request.excluded;
    return !state.server.leaving
        && (request.version.empty() || request.version == state.server.version)
        && std::find(excluded.begin(), excluded.end(), state.server.name) == excluded.end();
}

double placement::rateOf(const server_state &state) const
{
    return state.prefillRate > 0 ? state.prefillRate : m_options.prefillRate;
}

double placement::backlogAt(timestamp now, const server_state &state) const
{
    return std::max(0.0, state.backlog - toSeconds(now - state.backlogAt) * rateOf(state));
}

double placement::queueSeconds(timestamp now, const server_state &state) const
{
    double tokens = backlogAt(now, state);
    // Requests of this instance without a first token are still there, whatever was estimated.
    tokens = std::max(tokens, state.waitingTokens);
    return tokens / rateOf(state);
}

double placement::expectedSeconds(timestamp now, const server_state &state,
                                  const prefix_chain &chain, double heldBlocks) const
{
    return queueSeconds(now, state) + missingTokens(chain, heldBlocks) / rateOf(state);
}

double placement::cost(timestamp now, const server_state &state, const placement_request &request,
                       double heldBlocks, double recomputeWeight) const
{
    double seconds = queueSeconds(now, state);
    const double missing = missingTokens(*request.chain, heldBlocks);
    seconds += recomputeWeight * missing / rateOf(state);
    if (state.server.zone != request.zone)
        seconds += m_options.otherZoneSeconds;
    if (now < state.downUntil)
        seconds += downSeconds;
    return seconds;
}

double placement::weightUnderLoad(timestamp now) const
{
    // With every queue long, moving to a shorter one costs the pool more than it saves the request:
    // the recomputation makes all queues longer, and the next requests move again. Without this the
    // pool does not recover from a moment of overload.
    double sum = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        sum += std::min(queueSeconds(now, it->second), maxPressureSeconds);
    const double mean = sum / static_cast<double>(std::max<std::size_t>(1, m_servers.size()));
    return m_options.recomputeWeight * (1 + mean * pressureFactor);
}

std::size_t placement::believedDepth(timestamp now, const server_state &state,
                                     const prefix_chain &chain) const
{
    return m_options.useBelief ? state.belief.depth(now, chain.blocks) : 0;
}

std::vector<std::string_view> placement::homesOf(digest128 block) const
{
    const std::string key = toHex(block);
    std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it)
        weighted.emplace_back(rendezvousWeight(key, it->first), it->first);
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string_view> homes;
    for (const std::pair<std::uint64_t, std::string_view> &each : weighted)
        homes.push_back(each.second);
    return homes;
}

std::optional<placement_choice> placement::choose(timestamp now, const placement_request &request)
{
    const prefix_chain &chain = *request.chain;
    // Every instance computes the same order of homes, so that the copies of a prefix which is too
    // hot for one server gather on the same few, and all instances know where to look first.
    std::map<std::string_view, double> confidence;
    if (m_options.useHomes && !chain.blocks.empty()) {
        double share = homeConfidence;
        for (const std::string_view home : homesOf(chain.blocks.front())) {
            confidence[home] = share;
            share *= homeDecay;
        }
    }
    const double weight = weightUnderLoad(now);
    std::vector<placement_choice> ties;
    double least = std::numeric_limits<double>::infinity();
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        const server_state &state = it->second;
        if (!mayTake(state, request))
            continue;
        const std::size_t believed = believedDepth(now, state, chain);
        const double unknown = static_cast<double>(chain.blocks.size() - believed);
        const double held = static_cast<double>(believed) + unknown * confidence[it->first];
        const double seconds = cost(now, state, request, held, weight);
        if (seconds > least + tieSeconds)
            continue;
        if (seconds < least - tieSeconds)
            ties.clear();
        least = std::min(least, seconds);
        ties.push_back({.server = it->first,
                        .version = state.server.version,
                        .believedBlocks = believed,
                        .expectedSeconds = expectedSeconds(now, state, chain, held)});
    }
    if (ties.empty())
        return std::nullopt;
    return ties[m_random() % ties.size()];
}

void placement::noteSent(timestamp now, std::string_view server, const prefix_chain &chain,
                         std::size_t believedBlocks)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    const double work = missingTokens(chain, static_cast<double>(believedBlocks));
    state.backlog = backlogAt(now, state);
    state.backlog += work;
    state.backlogAt = now;
    state.waitingTokens += work;
    state.belief.noteSent(now, chain.blocks);
}

void placement::noteFirstToken(timestamp now, std::string_view server, const prefix_chain &chain,
                               std::size_t believedBlocks, double cachedTokens)
{
    noteAborted(server, chain, believedBlocks);
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || cachedTokens < 0)
        return;
    const std::size_t cached = static_cast<std::size_t>(cachedTokens / blockTokens + 0.5);
    found->second.belief.noteAnswer(now, chain.blocks, cached, believedBlocks);
}

void placement::noteAborted(std::string_view server, const prefix_chain &chain,
                            std::size_t believedBlocks)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    const double work = missingTokens(chain, static_cast<double>(believedBlocks));
    found->second.waitingTokens = std::max(0.0, found->second.waitingTokens - work);
}

void placement::noteLoad(timestamp now, std::string_view server, const load_report &report)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    if (report.incarnation != state.incarnation) {
        state.incarnation = report.incarnation;
        state.belief.setIdentity(state.server.version, report.incarnation);
    }
    state.backlog = report.queuedTokens;
    state.backlogAt = now;
    if (report.prefillRate > 0)
        state.prefillRate = report.prefillRate;
}

void placement::noteEvents(timestamp now, std::string_view server, std::uint64_t incarnation,
                           std::uint64_t sequence, std::span<const digest128> stored,
                           std::span<const digest128> evicted)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state &state = found->second;
    if (incarnation != state.incarnation) {
        state.incarnation = incarnation;
        state.belief.setIdentity(state.server.version, incarnation);
    }
    state.belief.noteEvents(now, sequence, stored, evicted);
}

std::vector<std::string> placement::usable(timestamp now) const
{
    std::vector<std::string> names;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (!it->second.server.leaving && now >= it->second.downUntil)
            names.push_back(it->first);
    }
    return names;
}

} // namespace trefoil
