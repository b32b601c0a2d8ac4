#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <core/clock.h>
#include <routing/cache_estimate.h>
#include <routing/prefix_chain.h>

namespace trefoil {

/// A backend server that requests can be placed on.
struct placement_server
{
    std::string name;
    std::string zone;
    std::string version;
    /// Whether it is shutting down and takes no new requests.
    bool leaving = false;
};

/// A backend server's report of its load, outdated by the time it took to arrive.
struct load_report
{
    std::uint64_t incarnation = 0;
    /// Number of running requests.
    int running = 0;
    /// Number of waiting requests.
    int queued = 0;
    /// Prompt tokens that wait for prefill.
    double queuedTokens = 0;
    /// Prompt tokens per second that a busy server computes; 0 if unknown.
    double prefillRate = 0;
};

/// A request to be placed.
struct placement_request
{
    const prefix_chain *chain = nullptr;
    /// Zone of the instance that places the request.
    std::string_view zone;
    /// Servers that must not be chosen, because they already failed this request.
    std::vector<std::string> excluded;
    /// Weights version that the request must run on; empty for any.
    std::string_view version;
};

/// The server chosen for a request.
struct placement_choice
{
    std::string server;
    std::string version;
    /// Leading blocks of the prompt estimated to be in its cache.
    std::size_t estimatedCachedBlocks = 0;
    /// Expected time to the first token, in seconds.
    double expectedSeconds = 0;
};

/// Options of a placement.
struct placement_options
{
    std::uint64_t randomSeed = 0;
    /// Prompt tokens per second assumed until a server reports its rate.
    double prefillRate = 16000;
    /// Weight of the prefill time of uncached tokens relative to the queue time, because
    /// recomputation also delays later requests. The effective weight rises with the mean queue;
    /// see effectiveRecomputeWeight().
    double recomputeWeight = 1;
    /// Cost in seconds added for a server outside the instance's zone.
    double crossZoneSeconds = 0.003;
    /// Parts of the cost model that the benchmark switches off to measure their effect.
    bool useCacheEstimate = true;
    bool useRendezvousPrior = true;
};

/// Picks the backend server with the lowest cost: its queue time, the weighted prefill time of the
/// prompt tokens that are not estimated to be cached, and crossZoneSeconds if it is in another
/// zone. Not thread-safe.
///
///     placement pool({ .randomSeed = 1 });
///     pool.setServers(servers);
///     std::optional<placement_choice> choice = pool.choose(now, { .chain = &chain });
///     pool.recordSent(now, choice->server, chain, choice->estimatedCachedBlocks);
///     pool.recordFirstToken(now, choice->server, ...);  // or recordAborted()
class placement
{
public:
    explicit placement(const placement_options &options);

    /// Replaces the servers. The state of servers that remain is kept.
    void setServers(const std::vector<placement_server> &servers);
    /// Marks @p server as down until @p until: it is chosen only if no other server is eligible.
    void setDown(std::string_view server, timestamp until);

    /// Returns the best server, or nothing if all are excluded, leaving or of another version.
    std::optional<placement_choice> choose(timestamp now, const placement_request &request);

    /// Records that a request was sent to @p server.
    void recordSent(timestamp now, std::string_view server, const prefix_chain &chain,
                    std::size_t estimatedCachedBlocks);
    /// Records the first token of a request: its prefill is done, and @p cachedTokens of the prompt
    /// had been cached; negative if the server did not report it.
    void recordFirstToken(timestamp now, std::string_view server, const prefix_chain &chain,
                          std::size_t estimatedCachedBlocks, double cachedTokens);
    /// Records that a request ended before its first token.
    void recordAborted(std::string_view server, const prefix_chain &chain,
                       std::size_t estimatedCachedBlocks);
    /// Applies a load report.
    void applyLoadReport(timestamp now, std::string_view server, const load_report &report);
    /// Applies cache events; see cache_estimate::applyCacheEvents().
    void applyCacheEvents(timestamp now, std::string_view server, std::uint64_t incarnation,
                          std::uint64_t sequence, std::span<const digest128> stored,
                          std::span<const digest128> evicted);

    /// Returns the names of the servers that are neither leaving nor down.
    std::vector<std::string> availableServers(timestamp now) const;

private:
    struct server_state
    {
        placement_server server;
        cache_estimate cacheEstimate {"", 0};
        std::uint64_t incarnation = 0;
        double prefillRate = 0;
        /// Prompt tokens waiting for prefill as of backlogUpdatedAt: the last reported number plus
        /// what this instance has sent since.
        double backlogTokens = 0;
        timestamp backlogUpdatedAt;
        /// Uncached prompt tokens of this instance's requests that have no first token yet.
        double pendingPrefillTokens = 0;
        timestamp downUntil;
    };

    double queueSeconds(timestamp now, const server_state &state) const;
    double currentBacklogTokens(timestamp now, const server_state &state) const;
    double expectedSeconds(timestamp now, const server_state &state, const prefix_chain &chain,
                           double cachedBlocks) const;
    double cost(timestamp now, const server_state &state, const placement_request &request,
                double cachedBlocks, double recomputeWeight) const;
    double effectiveRecomputeWeight(timestamp now) const;
    std::size_t estimateCachedBlocks(timestamp now, const server_state &state,
                                     const prefix_chain &chain) const;
    std::vector<std::string_view> serversInRendezvousOrder(digest128 block) const;
    double prefillRateOf(const server_state &state) const;
    bool isEligible(const server_state &state, const placement_request &request) const;

    placement_options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, server_state, std::less<>> m_servers;
};

} // namespace trefoil
