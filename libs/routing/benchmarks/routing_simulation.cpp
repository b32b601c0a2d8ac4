#include "routing_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// Prompt tokens that a server computes in a second.
constexpr double prefillRate = 16000;
constexpr double reportPeriodSeconds = 1.0;
constexpr double reportLagSeconds = 0.4;
constexpr double eventLossShare = 0.1;
constexpr double warmUpSeconds = 40;
constexpr int sharedPrefixBlocks = 8;
constexpr int variantBlocks = 2;
/// The prefix of rank r is requested in proportion to r^-exponent (Zipf distribution).
constexpr double popularityExponent = 1.1;

std::string serverName(int index) { return "w" + std::to_string(10 + index); }

} // namespace

routing_simulation::routing_simulation(routing_strategy strategy, const routing_scenario &scenario,
                                       std::uint64_t seed)
    : m_strategy(strategy), m_scenario(scenario), m_random(seed)
{
    std::vector<placement_server> servers;
    for (int i = 0; i < scenario.servers; ++i) {
        m_servers.push_back({.name = serverName(i)});
        servers.push_back({.name = serverName(i), .zone = "a", .version = "v1"});
    }
    m_reportedQueueSeconds.resize(m_servers.size());
    for (int i = 0; i < scenario.routers; ++i) {
        router item {
            .pool = std::make_unique<placement>(placement_options {
                .randomSeed = seed + static_cast<std::uint64_t>(i),
                .prefillRate = prefillRate,
                .useCacheEstimate = strategy != routing_strategy::PlacementWithoutCacheEstimate,
                .useRendezvousPrior =
                    strategy != routing_strategy::PlacementWithoutRendezvousPrior})};
        item.pool->setServers(servers);
        m_routers.push_back(std::move(item));
    }
    for (int i = 0; i < scenario.sharedPrefixes; ++i) {
        std::vector<digest128> blocks;
        digest128 parent = digestOf("sheet" + std::to_string(i));
        for (int j = 0; j < sharedPrefixBlocks; ++j) {
            parent = digestOf("block", parent);
            blocks.push_back(parent);
        }
        m_sharedPrefixes.push_back(blocks);
        m_popularityOrder.push_back(i);
    }
}

void routing_simulation::schedule(double seconds, std::function<void()> action)
{
    m_events.emplace(m_now + seconds, std::move(action));
}

prefix_chain routing_simulation::makePrompt()
{
    double totalWeight = 0;
    for (std::size_t rank = 0; rank < m_popularityOrder.size(); ++rank)
        totalWeight += std::pow(static_cast<double>(rank + 1), -popularityExponent);
    double remaining = std::uniform_real_distribution<double>(0, totalWeight)(m_random);
    std::size_t rank = 0;
    while (rank + 1 < m_popularityOrder.size()) {
        remaining -= std::pow(static_cast<double>(rank + 1), -popularityExponent);
        if (remaining <= 0)
            break;
        ++rank;
    }
    const std::size_t prefixIndex = static_cast<std::size_t>(m_popularityOrder[rank]);
    prefix_chain chain {.blocks = m_sharedPrefixes[prefixIndex], .tokens = 0};
    const std::uint64_t variant =
        m_random() % static_cast<std::uint64_t>(m_scenario.variantsPerPrefix);
    digest128 parent = digestOf("customer" + std::to_string(variant), chain.blocks.back());
    for (int i = 0; i < variantBlocks; ++i) {
        parent = digestOf("block", parent);
        chain.blocks.push_back(parent);
    }
    const double uniqueTokens = 200 + static_cast<double>(m_random() % 3000);
    chain.tokens = static_cast<double>(chain.blocks.size()) * blockTokens + uniqueTokens;
    return chain;
}

std::size_t routing_simulation::cachedPrefixBlocks(const simulated_server &target,
                                                   const prefix_chain &chain) const
{
    std::size_t cachedBlocks = 0;
    while (cachedBlocks < chain.blocks.size()
           && target.positions.contains(chain.blocks[cachedBlocks]))
        ++cachedBlocks;
    return cachedBlocks;
}

double routing_simulation::actualCost(const simulated_server &target,
                                      const prefix_chain &chain) const
{
    const double uncachedTokens =
        chain.tokens - static_cast<double>(cachedPrefixBlocks(target, chain)) * blockTokens;
    return std::max(0.0, target.busyUntil - m_now) + uncachedTokens / prefillRate;
}

void routing_simulation::touchBlocks(simulated_server &target, const prefix_chain &chain)
{
    for (const digest128 &block : chain.blocks) {
        const auto found = target.positions.find(block);
        if (found != target.positions.end())
            target.lruOrder.erase(found->second);
        else
            target.stored.push_back(block);
        target.lruOrder.push_front(block);
        target.positions[block] = target.lruOrder.begin();
    }
    while (target.lruOrder.size() > m_scenario.cacheBlocks) {
        target.evicted.push_back(target.lruOrder.back());
        target.positions.erase(target.lruOrder.back());
        target.lruOrder.pop_back();
    }
}

std::size_t routing_simulation::chooseServer(routing_strategy strategy, const prefix_chain &chain,
                                             std::size_t routerIndex, std::size_t &estimatedBlocks)
{
    const std::size_t count = m_servers.size();
    switch (strategy) {
    case routing_strategy::Random:
        return m_random() % count;
    case routing_strategy::RoundRobin:
        return m_nextRoundRobin++ % count;
    case routing_strategy::LeastLoaded: {
        // Compares the delayed load reports. Starting at a random server spreads some of the ties.
        std::size_t best = m_random() % count;
        for (std::size_t i = 0; i < count; ++i) {
            if (m_reportedQueueSeconds[i] < m_reportedQueueSeconds[best])
                best = i;
        }
        return best;
    }
    case routing_strategy::ConsistentHash: {
        std::vector<std::string> names;
        for (const simulated_server &each : m_servers)
            names.push_back(each.name);
        return rendezvousOrder(toHex(chain.blocks.front()), names).front();
    }
    case routing_strategy::Oracle: {
        std::size_t best = 0;
        for (std::size_t i = 1; i < count; ++i) {
            if (actualCost(m_servers[i], chain) < actualCost(m_servers[best], chain))
                best = i;
        }
        return best;
    }
    case routing_strategy::Placement:
    case routing_strategy::PlacementWithoutRendezvousPrior:
    case routing_strategy::PlacementWithoutCacheEstimate:
        break;
    }
    placement &pool = *m_routers[routerIndex].pool;
    const std::optional<placement_choice> choice =
        pool.choose(now(), {.chain = &chain, .zone = "a"});
    estimatedBlocks = choice->estimatedCachedBlocks;
    for (std::size_t i = 0; i < count; ++i) {
        if (m_servers[i].name == choice->server)
            return i;
    }
    return 0;
}

void routing_simulation::sendRequest(const prefix_chain &chain, std::size_t routerIndex)
{
    std::size_t estimatedBlocks = 0;
    const std::size_t index = chooseServer(m_strategy, chain, routerIndex, estimatedBlocks);
    simulated_server &target = m_servers[index];
    placement *pool = m_routers[routerIndex].pool.get();
    pool->recordSent(now(), target.name, chain, estimatedBlocks);
    const std::size_t cachedBlocks = cachedPrefixBlocks(target, chain);
    const double uncachedTokens = chain.tokens - static_cast<double>(cachedBlocks) * blockTokens;
    std::size_t bestCachedBlocks = cachedBlocks;
    for (const simulated_server &each : m_servers)
        bestCachedBlocks = std::max(bestCachedBlocks, cachedPrefixBlocks(each, chain));
    touchBlocks(target, chain);
    const double begin = std::max(m_now, target.busyUntil);
    target.busyUntil = begin + uncachedTokens / prefillRate;
    const double wait = target.busyUntil - m_now;
    if (m_now >= warmUpSeconds) {
        m_firstTokenSeconds.push_back(wait);
        m_promptTokens += chain.tokens;
        m_cachedTokens += static_cast<double>(cachedBlocks) * blockTokens;
        m_avoidableTokens += static_cast<double>(bestCachedBlocks - cachedBlocks) * blockTokens;
    }
    schedule(wait, [this, pool, name = target.name, chain, estimatedBlocks, cachedBlocks] {
        pool->recordFirstToken(now(), name, chain, estimatedBlocks,
                               static_cast<double>(cachedBlocks) * blockTokens);
    });
}

void routing_simulation::sendReports()
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        simulated_server &each = m_servers[i];
        const double queueSeconds = std::max(0.0, each.busyUntil - m_now);
        const load_report load {.incarnation = each.incarnation,
                                .queuedTokens = queueSeconds * prefillRate,
                                .prefillRate = prefillRate};
        const std::uint64_t sequence = each.nextSequence++;
        const std::vector<digest128> stored = std::exchange(each.stored, {});
        const std::vector<digest128> evicted = std::exchange(each.evicted, {});
        schedule(reportLagSeconds,
                 [this, i, queueSeconds, load, sequence, stored, evicted, name = each.name] {
                     m_reportedQueueSeconds[i] = queueSeconds;
                     for (router &item : m_routers) {
                         item.pool->applyLoadReport(now(), name, load);
                         const bool lost = std::uniform_real_distribution<double>(0, 1)(m_random)
                             < eventLossShare;
                         if (!lost)
                             item.pool->applyCacheEvents(now(), name, load.incarnation, sequence,
                                                         stored, evicted);
                     }
                 });
    }
}

routing_results routing_simulation::run()
{
    double nextArrival = 0;
    double nextReport = 0;
    double nextPopularityShift = m_scenario.popularityShiftSeconds;
    bool crashed = false;
    std::exponential_distribution<double> interarrivalTime(m_scenario.requestsPerSecond);
    while (m_now < m_scenario.seconds) {
        const double nextEvent = m_events.empty() ? 1e18 : m_events.begin()->first;
        m_now = std::min({nextArrival, nextReport, nextPopularityShift, nextEvent});
        if (!crashed && m_scenario.crashAtSeconds >= 0 && m_now >= m_scenario.crashAtSeconds) {
            crashed = true;
            simulated_server &crashedServer = m_servers.front();
            ++crashedServer.incarnation;
            crashedServer.lruOrder.clear();
            crashedServer.positions.clear();
            crashedServer.busyUntil = m_now;
        }
        if (m_now == nextEvent) {
            const std::function<void()> action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        } else if (m_now == nextArrival) {
            nextArrival += interarrivalTime(m_random);
            const prefix_chain chain = makePrompt();
            // Clients send most requests to the instance that /v1/entry lists first for their team.
            const std::size_t count = m_routers.size();
            const std::size_t preferredRouter =
                static_cast<std::size_t>(chain.blocks.front().low) % count;
            const bool usesPreferredRouter = m_random() % 10 < 7;
            sendRequest(chain, usesPreferredRouter ? preferredRouter : m_random() % count);
        } else if (m_now == nextReport) {
            nextReport += reportPeriodSeconds;
            sendReports();
        } else {
            nextPopularityShift += m_scenario.popularityShiftSeconds;
            std::shuffle(m_popularityOrder.begin(), m_popularityOrder.end(), m_random);
        }
    }
    std::sort(m_firstTokenSeconds.begin(), m_firstTokenSeconds.end());
    const auto percentile = [&](double share) {
        return m_firstTokenSeconds[static_cast<std::size_t>(
            share * static_cast<double>(m_firstTokenSeconds.size() - 1))];
    };
    return {.hitRate = m_cachedTokens / m_promptTokens,
            .firstTokenP50 = percentile(0.5),
            .firstTokenP99 = percentile(0.99),
            .avoidableRecomputation = m_avoidableTokens / m_promptTokens,
            .requests = m_firstTokenSeconds.size()};
}

std::vector<routing_scenario> routingScenarios()
{
    return {{.name = "changing popular prefixes"},
            {.name = "one server restarts with an empty cache", .crashAtSeconds = 100},
            {.name = "half the cache size", .cacheBlocks = 65},
            {.name = "light load", .requestsPerSecond = 30}};
}

} // namespace trefoil
