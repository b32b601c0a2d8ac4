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
#include <routing/cache_belief.h>
#include <routing/prefix_chain.h>

namespace trefoil {

/// A backend server as placement needs it.
struct placement_server
{
    std::string name;
    std::string zone;
    std::string version;
    /// Whether it is about to leave and gets no new work.
    bool leaving = false;
};

/// What a backend server says of its load; late by the time it arrives.
struct load_report
{
    std::uint64_t incarnation = 0;
    /// Requests running and waiting.
    int running = 0;
    int queued = 0;
    /// Tokens of prompts that wait to be computed.
    double queuedTokens = 0;
    /// Prompt tokens computed a second when busy; 0 where it is not known.
    double prefillRate = 0;
};

/// A request to be placed.
struct placement_request
{
    const prefix_chain *chain = nullptr;
    /// Zone of the instance that sends it.
    std::string_view zone;
    /// Servers that failed this request already.
    std::vector<std::string> excluded;
    /// Version that the request is to run on; empty for any.
    std::string_view version;
};

/// Where a request goes.
struct placement_choice
{
    std::string server;
    std::string version;
    /// Leading blocks believed to be cached there.
    std::size_t believedBlocks = 0;
    /// Expected seconds to the first token.
    double expectedSeconds = 0;
};

/// Options of a placement.
struct placement_options
{
    std::uint64_t randomSeed = 0;
    /// Prompt tokens a second assumed until a server reports its rate.
    double prefillRate = 16000;
    /// Weight of the time for computing what is missing against the time in the queue:
    /// recomputation also delays everyone who comes after. It rises with the mean queue; see
    /// placement.cpp.
    double recomputeWeight = 1;
    /// Cost of leaving the instance's zone, in seconds.
    double otherZoneSeconds = 0.003;
    /// Ways that are switched off by the benchmark to measure what each brings.
    bool useBelief = true;
    bool useHomes = true;
};

/// Picks the backend server of least expected time to the first token: the wait in its queue plus
/// the computation of what its cache is not believed to hold. Not thread-safe.
///
///     placement pool({ .randomSeed = 1 });
///     pool.setServers(servers);
///     std::optional<placement_choice> choice = pool.choose(now, { .chain = &chain });
///     pool.noteSent(now, choice->server, chain);
///     pool.noteEnd(now, choice->server, ...);
class placement
{
public:
    explicit placement(const placement_options &options);

    /// Replaces the servers; belief about those that stay is kept.
    void setServers(const std::vector<placement_server> &servers);
    /// Marks @p server as failing until @p until: it is chosen only if no other is left.
    void setDown(std::string_view server, timestamp until);

    /// Returns the best server, or nothing where every one is excluded or leaving.
    std::optional<placement_choice> choose(timestamp now, const placement_request &request);

    /// Notes that a request was sent to @p server.
    void noteSent(timestamp now, std::string_view server, const prefix_chain &chain,
                  std::size_t believedBlocks);
    /// Notes that the first token came: the prompt is computed, and @p cachedTokens of it had been
    /// cached; negative where the server did not say.
    void noteFirstToken(timestamp now, std::string_view server, const prefix_chain &chain,
                        std::size_t believedBlocks, double cachedTokens);
    /// Notes that a request that had been sent is over before its first token came.
    void noteAborted(std::string_view server, const prefix_chain &chain,
                     std::size_t believedBlocks);
    /// Takes a load report.
    void noteLoad(timestamp now, std::string_view server, const load_report &report);
    /// Takes cache events; see cache_belief::noteEvents().
    void noteEvents(timestamp now, std::string_view server, std::uint64_t incarnation,
                    std::uint64_t sequence, std::span<const digest128> stored,
                    std::span<const digest128> evicted);

    /// Returns the names of servers that take new work.
    std::vector<std::string> usable(timestamp now) const;

private:
    struct server_state
    {
        placement_server server;
        cache_belief belief {"", 0};
        std::uint64_t incarnation = 0;
        double prefillRate = 0;
        /// Prompt tokens estimated to wait at backlogAt: reported, and sent by this instance since.
        double backlog = 0;
        timestamp backlogAt;
        /// Prompt tokens of this instance's requests that have no first token yet.
        double waitingTokens = 0;
        timestamp downUntil;
    };

    double queueSeconds(timestamp now, const server_state &state) const;
    double backlogAt(timestamp now, const server_state &state) const;
    double expectedSeconds(timestamp now, const server_state &state, const prefix_chain &chain,
                           double heldBlocks) const;
    double cost(timestamp now, const server_state &state, const placement_request &request,
                double heldBlocks, double recomputeWeight) const;
    double weightUnderLoad(timestamp now) const;
    std::size_t believedDepth(timestamp now, const server_state &state,
                              const prefix_chain &chain) const;
    std::vector<std::string_view> homesOf(digest128 block) const;
    double rateOf(const server_state &state) const;
    bool mayTake(const server_state &state, const placement_request &request) const;

    placement_options m_options;
    std::mt19937_64 m_random;
    std::map<std::string, server_state, std::less<>> m_servers;
};

} // namespace trefoil
