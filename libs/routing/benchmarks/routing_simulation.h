#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <routing/placement.h>

namespace trefoil {

/// Routing strategies that the benchmark compares.
enum class routing_strategy {
    Random,
    RoundRobin,
    LeastLoaded,
    ConsistentHash,
    Placement,
    PlacementWithoutRendezvousPrior,
    PlacementWithoutCacheEstimate,
    Oracle
};

/// Workload and fleet of one simulation run.
struct routing_scenario
{
    std::string name;
    double seconds = 240;
    double requestsPerSecond = 45;
    int servers = 18;
    int routers = 8;
    std::size_t cacheBlocks = 130;
    /// Number of shared prefixes. A prompt consists of one of them, one of its variants and text of
    /// its own.
    int sharedPrefixes = 40;
    int variantsPerPrefix = 12;
    /// Time between two random reorderings of the prefixes by popularity.
    double popularityShiftSeconds = 30;
    /// When one server crashes and restarts with an empty cache; negative for no crash.
    double crashAtSeconds = -1;
};

/// Results of one simulation run, without its warm-up.
struct routing_results
{
    double hitRate = 0;
    double firstTokenP50 = 0; // seconds
    double firstTokenP99 = 0;
    /// Share of all prompt tokens that were computed although another server had them cached.
    double avoidableRecomputation = 0;
    std::uint64_t requests = 0;
};

/// Discrete-event simulation of routers in front of engines with a prefix cache and a queue. Load
/// reports arrive late and a tenth of the cache events is lost. Engines and network are simulated;
/// the routers run the production placement.
class routing_simulation
{
public:
    routing_simulation(routing_strategy strategy, const routing_scenario &scenario,
                       std::uint64_t seed);

    routing_results run();

private:
    struct simulated_server
    {
        std::string name;
        std::uint64_t incarnation = 1;
        double busyUntil = 0;
        std::list<digest128> lruOrder; // blocks, most recently used first
        std::unordered_map<digest128, std::list<digest128>::iterator> positions;
        std::uint64_t nextSequence = 1;
        std::vector<digest128> stored; // since the last report
        std::vector<digest128> evicted;
    };
    struct router
    {
        std::unique_ptr<placement> pool;
    };

    prefix_chain makePrompt();
    std::size_t chooseServer(routing_strategy strategy, const prefix_chain &chain,
                             std::size_t routerIndex, std::size_t &estimatedBlocks);
    std::size_t cachedPrefixBlocks(const simulated_server &target, const prefix_chain &chain) const;
    double actualCost(const simulated_server &target, const prefix_chain &chain) const;
    void touchBlocks(simulated_server &target, const prefix_chain &chain);
    void sendReports();
    void sendRequest(const prefix_chain &chain, std::size_t routerIndex);
    void schedule(double seconds, std::function<void()> action);
    timestamp now() const { return timestamp(fromSeconds(1000 + m_now)); }

    routing_strategy m_strategy;
    routing_scenario m_scenario;
    std::mt19937_64 m_random;
    double m_now = 0;
    std::vector<simulated_server> m_servers;
    std::vector<router> m_routers;
    std::vector<double> m_reportedQueueSeconds; // from the last report that arrived
    std::vector<std::vector<digest128>> m_sharedPrefixes;
    std::vector<int> m_popularityOrder;
    std::multimap<double, std::function<void()>> m_events;
    std::size_t m_nextRoundRobin = 0;
    std::vector<double> m_firstTokenSeconds;
    double m_promptTokens = 0;
    double m_cachedTokens = 0;
    double m_avoidableTokens = 0;
};

/// Returns the scenarios of the benchmark and the tests.
std::vector<routing_scenario> routingScenarios();

} // namespace trefoil
