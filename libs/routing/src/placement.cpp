#include <routing/placement.h>

#include <algorithm>
#include <limits>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// A block asked for again within this time belongs to a shared prefix.
constexpr duration heatWindow = std::chrono::seconds(60);

/// Share of the blocks of a known shared prefix that its home server is taken to hold although this
/// instance has not sent it there: another instance probably has.
constexpr double homeConfidence = 0.6;

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

void placement::setInstances(int instances) { m_options.instances = std::max(1, instances); }

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

double placement::queueSeconds(timestamp now, const server_state &state) const
{
    const double drained = toSeconds(now - state.backlogAt) * rateOf(state);
    double tokens = std::max(0.0, state.backlog - drained);
    // Requests of this instance without a first token are still there, whatever was estimated.
    if (m_options.useOwnSends)
        tokens = std::max(tokens, state.waitingTokens);
    return tokens / rateOf(state);
}

double placement::cost(timestamp now, const server_state &state, const placement_request &request,
                       std::size_t believed) const
{
    double seconds = queueSeconds(now, state);
    seconds += missingTokens(*request.chain, static_cast<double>(believed)) / rateOf(state);
    if (state.server.zone != request.zone)
        seconds += m_options.otherZoneSeconds;
    if (now < state.downUntil)
        seconds += downSeconds;
    return seconds;
}

std::size_t placement::believedDepth(timestamp now, const server_state &state,
                                     const prefix_chain &chain) const
{
    return m_options.useBelief ? state.belief.depth(now, chain.blocks) : 0;
}

void placement::noteHeat(timestamp now, const prefix_chain &chain)
{
    for (const digest128 &block : chain.blocks)
        m_heat[block] = now;
    if (now - m_heatPrunedAt < heatWindow)
        return;
    m_heatPrunedAt = now;
    std::erase_if(m_heat, [&](const auto &each) { return now - each.second > heatWindow; });
}

std::size_t placement::sharedDepth(timestamp now, const prefix_chain &chain) const
{
    std::size_t depth = 0;
    for (const digest128 &block : chain.blocks) {
        const auto found = m_heat.find(block);
        if (found == m_heat.end() || now - found->second > heatWindow)
            break;
        ++depth;
    }
    return depth;
}

std::string placement::homeOf(timestamp now, digest128 block,
                              const placement_request &request) const
{
    const std::string key = toHex(block);
    std::string home;
    std::uint64_t best = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (!mayTake(it->second, request) || now < it->second.downUntil)
            continue;
        const std::uint64_t weight = rendezvousWeight(key, it->first);
        if (home.empty() || weight > best) {
            home = it->first;
            best = weight;
        }
    }
    return home;
}

std::optional<placement_choice> placement::choose(timestamp now, const placement_request &request)
{
    const prefix_chain &chain = *request.chain;
    // The deepest block that was asked for before; the first one for a prompt never seen.
    const std::size_t shared =
        std::max(sharedDepth(now, chain), std::min<std::size_t>(1, chain.blocks.size()));
    noteHeat(now, chain);
    std::map<std::string_view, std::size_t> believed;
    std::size_t deepest = 0;
    for (auto it = m_servers.begin(); it != m_servers.end(); ++it) {
        if (!mayTake(it->second, request))
            continue;
        const std::size_t depth = believedDepth(now, it->second, chain);
        believed[it->first] = depth;
        deepest = std::max(deepest, depth);
    }
    // Where this instance knows no holder, the prefix's home probably is one: every instance
    // computes the same home, so the first sends of all of them meet there.
    std::string home;
    if (m_options.useHomes && deepest < shared)
        home = homeOf(now, chain.blocks[shared - 1], request);
    std::vector<placement_choice> ties;
    double least = std::numeric_limits<double>::infinity();
    for (auto it = believed.begin(); it != believed.end(); ++it) {
        const server_state &state = m_servers.find(it->first)->second;
        double seconds = cost(now, state, request, it->second);
        if (it->first == home) {
            const double unknown = static_cast<double>(shared - it->second);
            seconds -= unknown * homeConfidence * blockTokens / rateOf(state);
        }
        if (seconds > least + tieSeconds)
            continue;
        if (seconds < least - tieSeconds)
            ties.clear();
        least = std::min(least, seconds);
        ties.push_back({.server = std::string(it->first),
                        .version = state.server.version,
                        .believedBlocks = it->second,
                        .expectedSeconds = seconds});
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
    const double drained = toSeconds(now - state.backlogAt) * rateOf(state);
    state.backlog = std::max(0.0, state.backlog - drained);
    if (m_options.useOwnSends)
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
