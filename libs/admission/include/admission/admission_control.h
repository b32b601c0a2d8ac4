#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string_view>

#include <admission/served_shares.h>
#include <core/clock.h>

namespace trefoil {

/// Properties of a request that its admission depends on, with what is expected on the best server.
struct admission_request
{
    /// From the priorities of team and route; 0 is the most urgent.
    int rank = 0;
    /// Target latency of the first event.
    duration target {};
    /// Time until the caller's deadline or the route's timeout, whichever is earlier.
    duration timeLeft {};
    /// Hashes of the team and of the last shared part of the prompt; 0 for none.
    std::uint64_t team = 0;
    std::uint64_t subject = 0;
    /// Tokens that the best server must compute, and the engine memory that the request takes.
    double uncachedTokens = 0;
    double memoryTokens = 0;
    /// Expected time to the first event on the best server.
    duration expected {};
    /// Part of expected that is spent behind other requests.
    duration queue {};
    /// Whether the request's memory fits on the best server, or its place in the server's short
    /// queue. If it doesn't, it fits on none.
    bool fits = true;
    /// Whether the caller retries after a refusal.
    bool isRetry = false;
    /// Whether the request was admitted before and needs another server.
    bool isContinued = false;
    /// How long the request has waited at this instance.
    duration waited {};
};

/// Load that all instances together put on the usable servers of a service.
struct service_state
{
    /// Whether the load that other instances put on the servers is known and recent.
    bool isKnown = false;
    /// Number of instances that put load on the servers, with this one.
    int instances = 1;
    int servers = 0;
    int slots = 0;
    int running = 0;
    /// Prompt tokens waiting to be computed, and how many one server computes per millisecond.
    double pendingTokens = 0;
    double tokensPerMs = 0;
    /// Engine memory taken and usable, in tokens; 0 usable for plain servers.
    double memoryUsed = 0;
    double memoryUsable = 0;
    /// Duration of a call; zero for model engines.
    duration callTime {};
    /// Requests of all services that wait at this instance, and the bound on them.
    int waitingHere = 0;
    int maxWaitingHere = 0;
};

/// Why a request was admitted, has to wait or was refused.
enum class admission_reason {
    /// Enough capacity is free.
    Free,
    /// The service is short of capacity, and the request's turn has come.
    Chosen,
    /// The load of the fleet is not known: only the deadline counts.
    Unknown,
    /// The first event is not expected within the time left.
    Deadline,
    /// The service is short of capacity, and other requests go first.
    Shortage,
    /// The request fits on no server: engine memory or slots are taken.
    Full,
    /// As above, and too many requests wait at this instance already.
    Waiting
};

/// Returns the name of @p reason in log lines and metrics. Thread-safe.
std::string_view toString(admission_reason reason);

struct admission_decision
{
    enum class kind { Admit, Wait, Refuse };

    kind what = kind::Admit;
    admission_reason reason = admission_reason::Free;
    /// Time to wait before the server is chosen anew, or the Retry-After time.
    duration time {};
    /// Rank with which the request is to be sent. It is more urgent than the request's own if
    /// requests of its own rank are admitted too rarely: servers that compute urgent requests first
    /// would let it wait for as long as there are others.
    int rank = 0;
    /// Probability with which the request was admitted, for the log.
    double chance = 1;
    /// Expected wait behind other requests up to which its kind is admitted, for the log.
    duration queueLimit {};
};

/// Decides for one service which requests are sent, wait or are refused. Not thread-safe.
///
/// Handles overload: arrivals of one to two and a half times the capacity, for seconds or for good,
/// of kinds with different targets and priorities; a team with high demand; the loss of servers;
/// callers that retry. The wait behind other requests, at which less urgent requests are refused,
/// is below that of more urgent ones, so that queues stay short and urgent requests don't wait.
/// Near a threshold requests are admitted at random, and kinds that were admitted less often than
/// others have a higher threshold.
class admission_control
{
public:
    explicit admission_control(std::uint64_t randomSeed) : m_random(randomSeed) { }

    /// Decides about @p request. A request that was told to wait is passed again after that time,
    /// with a new choice of the best server.
    admission_decision decide(timestamp now, const admission_request &request,
                              const service_state &state);

private:
    /// Recent requests of one rank.
    struct rank_state
    {
        served_count count;
        double targetMs = 0;
        /// Admitted tokens to compute, decayed as count.
        double tokens = 0;
    };
    /// How a request of a rank stands among those of the other ranks.
    struct rank_view
    {
        int rank = 0;
        /// 1 for the most urgent rank with requests, 0 for the least.
        double urgency = 1;
        /// Shortest target of the more urgent ranks.
        double urgentTargetMs = 0;
        /// Factor from the wait behind all requests of a server to the wait of the request's rank.
        double queueFactor = 1;
    };
    struct limits
    {
        double queueMs = 0;
        double occupancy = 0;
    };

    admission_decision judge(timestamp now, const admission_request &request,
                             const service_state &state, const rank_view &view);
    admission_decision waitOrRefuse(const admission_request &request, const service_state &state,
                                    admission_decision decision);
    admission_decision refuse(const admission_request &request, const service_state &state,
                              admission_decision decision);
    /// Returns the rank by which @p request is judged.
    int effectiveRank(const admission_request &request);
    rank_view viewOf(int rank) const;
    /// Returns how much more (above 1) or less (below 1) a request is favoured because its team,
    /// size or subject was admitted less or more often than others of its rank.
    double favourOf(timestamp now, const admission_request &request) const;
    limits limitsFor(timestamp now, const admission_request &request, const rank_view &view) const;
    void recordAsked(timestamp now, const admission_request &request);
    void recordAdmitted(timestamp now, const admission_request &request, int rank);
    /// Returns the time in milliseconds by which queues have probably grown since the other
    /// instances reported their load, if they admit as many requests as this one.
    double unseenGrowthMs(timestamp now, const service_state &state) const;
    double random(double from, double to);

    std::mt19937_64 m_random;
    std::map<int, rank_state> m_ranks;
    served_shares m_shares;
    /// Admissions of the last moments and their tokens, decayed.
    double m_newAdmissions = 0;
    double m_newTokens = 0;
    timestamp m_newestAt;
};

} // namespace trefoil
