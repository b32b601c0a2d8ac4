#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <lease/lease_keeper.h>
#include <limits/limit_node.h>

namespace trefoil {

/// Ways to keep a team's limit, compared by the benchmark.
enum class limit_way {
    /// Each instance has an equal part of each team's rate and burst.
    StaticSplit,
    /// One owner, by a lease that it renews in the platform; grants to the others.
    PlatformLease,
    /// One owner, by its successors' confirmations; grants to the others.
    Confirmations
};

/// A right kept by a lease in the platform alone, renewed before it runs out: the way that
/// confirmations are measured against.
class platform_lease : public right_holder
{
public:
    struct shared_record
    {
        lease_record record;
        timestamp expiry;
    };

    bool holds(timestamp now, std::string_view key) const override
    {
        const auto found = until.find(key);
        return found != until.end() && now < found->second;
    }
    std::optional<lease_record> record(std::string_view key) const override
    {
        const auto found = known.find(key);
        return found == known.end() ? std::nullopt : std::optional(found->second);
    }

    std::map<std::string, timestamp, std::less<>> until;
    std::map<std::string, lease_record, std::less<>> known;
    timestamp nextRenewal;
};

/// A team's offered traffic.
struct team_traffic
{
    std::string name;
    token_limit limit;
    /// Offered tokens a second as a share of the rate.
    double load = 0.7;
};

/// Faults and shape of a run.
struct limit_scenario
{
    std::string name;
    double seconds = 120;
    /// Share of the requests that go to the instance which the entry answer names first.
    double atOwner = 0.8;
    std::vector<team_traffic> teams;
    /// Called every step with the seconds since the start.
    std::function<void(class limit_world &, double seconds)> faults;
};

/// Figures of a run.
struct limit_figures
{
    double overshoot = 0;
    /// Share of the requests of teams within their rate that one bucket for the whole fleet,
    /// without any delay, admits, and that were refused.
    double refusedWithinRate = 0;
    /// Tokens of the worst-served team as a share of what that bucket admits.
    double worstServed = 1;
    double messagesPerNodeSecond = 0;
    double platformCallsPerSecond = 0;
    std::uint64_t requests = 0;
};

/// Eight instances that admit requests before small fakes of the network and the platform, in
/// virtual time. Only the decisions are real.
class limit_world
{
public:
    static constexpr int size = 8;

    limit_world(limit_way way, const limit_scenario &scenario, std::uint64_t seed);

    limit_figures run();

    /// @name Faults
    /// @{
    void kill(int node);
    void restart(int node);
    void freeze(int node, bool frozen);
    int ownerOf(const std::string &team) const;
    void setLimit(const std::string &team, token_limit limit);
    bool platformOut = false;
    double lostAnswers = 0;
    std::set<int> platformCut;
    std::set<int> peersCut;
    /// @}

    const std::vector<team_traffic> &teams() const { return m_scenario.teams; }

private:
    static constexpr int shards = 8;

    struct node
    {
        std::string name;
        bool alive = true;
        bool frozen = false;
        std::unique_ptr<lease_keeper> keeper;
        std::unique_ptr<platform_lease> lease;
        std::unique_ptr<limit_node> limits;
        std::map<std::string, token_account> split;
    };
    struct request
    {
        std::string team;
        int node = 0;
        double reserved = 0;
        double used = 0;
        double seconds = 0; // until it ends
        bool idealAdmitted = false;
        bool admitted = false;
        std::uint64_t account = 0; // number of the reservation, with the static split
        timestamp admittedAt;
    };
    struct use
    {
        timestamp at;
        double tokens = 0;
    };

    void start(int index);
    void step();
    void stepNode(int index);
    void stepConfirmations(node &self, int index);
    void stepPlatformLease(node &self, int index);
    void arrive();
    void offer(const team_traffic &team);
    void takeDecisions(node &self);
    void admitted(std::uint64_t id);
    bool isWithinRate(const std::string &name) const;
    void noteRefused(const request &item);
    void after(duration delay, std::function<void()> action);
    void on(int index, std::function<void(node &)> action);
    void askPeer(int from, const std::string &to, std::function<void(node &)> deliver,
                 std::function<void(node &, bool refused)> fail);
    void ask(int from, const confirm_call &call);
    void ask(int from, const grant_call &call);
    void put(int from, const record_write &write);
    int indexOf(const std::string &name) const;
    duration oneWay();
    bool chance(double share);
    double overshootOf(const std::string &team) const;

    limit_way m_way;
    limit_scenario m_scenario;
    std::mt19937_64 m_random;
    timestamp m_start {std::chrono::seconds(1000)};
    timestamp m_now = m_start;
    std::vector<node> m_nodes;
    std::multimap<timestamp, std::function<void()>> m_due;
    std::map<std::string, std::pair<std::uint64_t, lease_record>> m_objects;
    std::map<std::string, platform_lease::shared_record> m_leases;
    std::uint64_t m_version = 0;
    std::map<std::string, token_limit, std::less<>> m_limits;
    /// Highest limit that was in force within the run, which the windows are held against.
    std::map<std::string, token_limit> m_highest;
    std::map<std::string, token_account> m_ideal;
    std::map<std::uint64_t, request> m_requests;
    std::map<std::string, std::vector<use>> m_uses;
    std::map<std::string, double> m_idealTokens;
    std::map<std::string, double> m_servedTokens;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_idealAdmissions = 0;
    std::uint64_t m_refusedWithin = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_platformCalls = 0;
};

/// Returns the scenarios of the benchmark and the tests.
std::vector<limit_scenario> limitScenarios();

} // namespace trefoil
