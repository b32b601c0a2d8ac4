#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <lease/lease_manager.h>
#include <limits/rate_limiter.h>

namespace trefoil {

/// Strategies to enforce a team's limit, compared by the benchmark.
enum class limit_strategy {
    /// Each instance enforces an equal part of each team's rate and burst.
    StaticSplit,
    /// One owner, which renews its lease in the platform, grants tokens to the other instances.
    PlatformLease,
    /// One owner, whose successors confirm its lease, grants tokens to the other instances.
    Confirmations
};

/// Leases that are kept in the platform alone and renewed there before they expire: the baseline
/// for confirmations by successors.
class platform_leases : public lease_view
{
public:
    struct stored_lease
    {
        lease_record record;
        timestamp expiry;
    };

    bool holds(timestamp now, std::string_view key) const override
    {
        const auto found = heldUntil.find(key);
        return found != heldUntil.end() && now < found->second;
    }
    std::optional<lease_record> record(std::string_view key) const override
    {
        const auto found = knownRecords.find(key);
        return found == knownRecords.end() ? std::nullopt : std::optional(found->second);
    }

    std::map<std::string, timestamp, std::less<>> heldUntil;
    std::map<std::string, lease_record, std::less<>> knownRecords;
    timestamp nextRenewal;
};

/// Traffic of a team.
struct team_traffic
{
    std::string name;
    token_limit limit;
    /// Requested tokens per second as a share of the rate.
    double load = 0.7;
};

/// Traffic and faults of a simulation.
struct limit_scenario
{
    std::string name;
    double seconds = 120;
    /// Share of the requests that are sent to the owner of the team's shard; the others go to a
    /// random instance.
    double ownerShare = 0.8;
    std::vector<team_traffic> teams;
    /// Called in every step with the seconds since the start of the traffic.
    std::function<void(class limiter_simulation &, double seconds)> faults;
};

/// Result of a simulation.
struct simulation_result
{
    /// Largest excess over burst + rate * t in any window of any team, in tokens.
    double overshoot = 0;
    /// Share of refused requests among those that an ideal bucket, shared by all instances without
    /// delay, admits. Counts only teams that stay within their rate.
    double refusedWithinRate = 0;
    /// Lowest share, over the teams, of the tokens admitted by the ideal bucket that were served.
    double worstServed = 1;
    double messagesPerInstanceSecond = 0;
    double platformCallsPerSecond = 0;
    std::uint64_t requests = 0;
};

/// Simulates eight instances in virtual time, with a fake network and a fake platform. The
/// admission and lease code is the production code.
class limiter_simulation
{
public:
    static constexpr int instanceCount = 8;

    limiter_simulation(limit_strategy strategy, const limit_scenario &scenario, std::uint64_t seed);

    simulation_result run();

    /// @name Faults
    /// @{
    void kill(int instance);
    void restart(int instance);
    void setPaused(int instance, bool paused);
    int ownerOf(const std::string &team) const;
    void setLimit(const std::string &team, token_limit limit);
    bool isPlatformDown = false;
    double lostAnswerShare = 0;
    std::set<int> cutFromPlatform;
    std::set<int> cutFromPeers;
    /// @}

    const std::vector<team_traffic> &teams() const { return m_scenario.teams; }

private:
    static constexpr int shards = 8;

    struct simulated_instance
    {
        std::string name;
        bool alive = true;
        bool paused = false;
        std::unique_ptr<lease_manager> manager;
        std::unique_ptr<platform_leases> platformLeases;
        std::unique_ptr<rate_limiter> limits;
        std::map<std::string, token_bucket> staticBuckets;
    };
    struct request
    {
        std::string team;
        int instance = 0;
        double reserved = 0;
        double used = 0;
        double seconds = 0; // time until it ends
        bool idealAdmitted = false;
        bool admitted = false;
        std::uint64_t reservation = 0; // with StaticSplit only
        timestamp admittedAt;
    };
    struct token_usage
    {
        timestamp at;
        double tokens = 0;
    };

    void startInstance(int index);
    void step();
    void stepInstance(int index);
    void stepConfirmations(simulated_instance &self, int index);
    void stepPlatformLease(simulated_instance &self, int index);
    void generateTraffic();
    void offerRequest(const team_traffic &team);
    void takeDecisions(simulated_instance &self);
    void startRequest(std::uint64_t id);
    bool isWithinRate(const std::string &name) const;
    void countRefusal(const request &item);
    void schedule(duration delay, std::function<void()> action);
    void runOn(int index, std::function<void(simulated_instance &)> action);
    void callPeer(int from, const std::string &to,
                  std::function<void(simulated_instance &)> deliver,
                  std::function<void(simulated_instance &, bool refused)> fail);
    void sendCall(int from, const confirm_call &call);
    void sendCall(int from, const grant_call &call);
    void writeRecord(int from, const record_write &write);
    int indexOf(const std::string &name) const;
    duration networkDelay();
    bool chance(double share);
    double overshootOf(const std::string &team) const;

    limit_strategy m_strategy;
    limit_scenario m_scenario;
    std::mt19937_64 m_random;
    timestamp m_start {std::chrono::seconds(1000)};
    timestamp m_now = m_start;
    std::vector<simulated_instance> m_instances;
    std::multimap<timestamp, std::function<void()>> m_events;
    std::map<std::string, std::pair<std::uint64_t, lease_record>> m_leaseRecords;
    std::map<std::string, platform_leases::stored_lease> m_platformLeases;
    std::uint64_t m_version = 0;
    std::map<std::string, token_limit, std::less<>> m_limits;
    /// Highest limit of each team during the run; overshoot is measured against it.
    std::map<std::string, token_limit> m_highestLimits;
    std::map<std::string, token_bucket> m_idealBuckets;
    std::map<std::uint64_t, request> m_requests;
    std::map<std::string, std::vector<token_usage>> m_usages;
    std::map<std::string, double> m_idealTokens;
    std::map<std::string, double> m_servedTokens;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_idealAdmitted = 0;
    std::uint64_t m_refusedWithinRate = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_platformCalls = 0;
};

/// Returns the scenarios of the benchmark and the tests.
std::vector<limit_scenario> limitScenarios();

} // namespace trefoil
