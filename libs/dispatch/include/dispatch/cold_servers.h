#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <core/clock.h>
#include <dispatch/report_timeout.h>
#include <dispatch/serving_tables.h>

namespace trefoil {

/// Requests per second by service.
using service_rates = std::map<std::string, double, std::less<>>;

/// What the configuration says of the cold servers of a service.
struct cold_rule
{
    /// How long a server is assumed cold after its start.
    duration startTime {};
    /// Requests per second that a cold server takes from all instances together; 0 for no limit.
    double requestsPerSecond = 0;

    bool operator==(const cold_rule &) const = default;
};

/// Options of cold_servers.
struct cold_server_options
{
    /// In any second a cold server may get its rate times this factor, and requests in addition.
    double overage = 1.5;
    double slack = 5;
    /// How long a registration may take to arrive, and how far clocks may differ.
    duration maxStatementAge = std::chrono::seconds(6);
    /// A longer stated time counts as this.
    duration maxColdTime = std::chrono::hours(1);
    /// An instance that does not report for longer is charged with its share.
    report_timeout reportTimeout;
    /// Time constant of the demand average. The smallest average of riseTime counts, so with a
    /// shorter one much of the allowance is lost where instances have few requests.
    duration demandTime = std::chrono::seconds(3);
    /// How long this instance waits until it uses a larger share for a demand that it has reported,
    /// so that the others have made room for it.
    duration riseTime = std::chrono::seconds(3);
    /// Fraction of each allowance that is divided equally among all instances; the rest is divided
    /// by demand.
    double equalShare = 0.1;
    std::uint32_t randomSeed = 1;
};

/// What another instance reports about its demand.
struct cold_report
{
    std::string_view peer;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    /// Announced time until the next report, zero if it is unknown.
    duration period {};
    const service_rates &demandRates;
};

/// Knows which backend servers are cold and bounds the requests that each of them gets in a second
/// from all instances together. Not thread-safe.
///
/// Handles a zone whose servers all start at once, servers that become cold again, late and lost
/// reports, and fleets in which the share of an instance is far below one request per second.
class cold_servers
{
public:
    explicit cold_servers(const cold_server_options &options);

    /// Sets the rules by service. Services without a rule have no cold servers.
    void setRules(std::map<std::string, cold_rule, std::less<>> rules);
    /// Takes the list of servers. @p wallMs is the time in milliseconds since 1970. It may differ
    /// from the servers' clocks by maxStatementAge.
    void setServers(timestamp now, std::uint64_t wallMs,
                    std::span<const registered_server> servers);
    /// Records that @p server stated, in its answer to a request that was sent at @p sentAt, that
    /// it stays cold for @p coldFor.
    void recordStatement(timestamp now, timestamp sentAt, std::string_view server,
                         duration coldFor);
    /// Records that the evacuation of @p zone has ended.
    void onZoneReturned(timestamp now, std::string_view zone);

    /// Returns whether @p server is taken for cold.
    bool isCold(timestamp now, std::string_view server) const;
    /// Returns the cold servers of @p service.
    std::vector<std::string> coldServersOf(timestamp now, std::string_view service) const;

    /// Records a request that is about to be placed, which the instances' shares follow.
    void recordDemand(timestamp now, std::string_view service);
    /// Tries to take a request for @p server from its allowance. Returns nothing if it may be sent,
    /// otherwise the time after which to retry.
    std::optional<duration> admit(timestamp now, std::string_view server);
    /// Returns a request that was not sent.
    void refund(std::string_view server);

    /// Sets the names of all other listed instances. Before the first call, this instance keeps to
    /// a small share.
    void setPeers(timestamp now, const std::vector<std::string> &peers);
    /// Applies what another instance reports. Ignores reports older than the last one.
    void applyReport(timestamp now, const cold_report &report);
    /// Returns the demand on this instance, for a report that is sent now.
    service_rates takeDemandRates(timestamp now);

    /// What was decided about a cold server since the last account.
    struct cold_account
    {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
        /// Requests per second that this instance may send.
        double rate = 0;
        duration coldFor {};
    };
    /// Returns the accounts of the cold servers that a request was tried for, and resets them.
    std::map<std::string, cold_account, std::less<>> takeAccounts(timestamp now);
    /// Returns the number of cold servers.
    std::size_t count(timestamp now) const;
    /// Other known instances, and those of them that report.
    std::size_t knownPeers() const { return m_peers.size(); }
    std::size_t heardPeers(timestamp now) const;

private:
    struct server_state
    {
        std::string service;
        std::string zone;
        std::uint64_t startedAtMs = 0;
        std::optional<duration> listedColdTime;
        std::uint64_t heartbeat = 0;
        /// Start of the time for which the server is assumed cold, unless it has stated an end.
        timestamp assumedFrom;
        std::optional<timestamp> statedUntil;
        /// When the server became cold by other knowledge than its registration, which may be older
        /// and still arrive.
        std::optional<timestamp> raisedAt;
        /// When the request was sent whose answer made the last statement.
        timestamp statementSentAt;
        /// Whether the fields below are in use.
        bool isLimited = false;
        /// Requests that may be sent at once, for instances that save up their allowance.
        double credit = 0;
        timestamp creditAt;
        cold_account account;
    };
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        timestamp seenAt;
        bool isHeard = false;
        bool isListed = true;
        bool isLeaving = false;
        duration period {};
        service_rates rates;
    };
    struct service_demand
    {
        /// Requests placed recently, with exponential decay over demandTime.
        double recent = 0;
        timestamp at;
        /// Reported rates, the oldest first.
        std::deque<std::pair<timestamp, double>> reported;
    };
    /// How this instance sends to the cold servers of a service.
    struct allowance
    {
        /// Requests per second to each server.
        double rate = 0;
        /// Whether the allowance is saved up to one request. Otherwise each request is admitted at
        /// random, since too many instances would send at the same time.
        bool isSaved = false;
        timestamp computedAt;
    };

    /// Demand on another instance in requests per second.
    struct known_demand
    {
        double rate = 0;
        bool isHeard = false;
    };
    /// Requests per second that each instance may send to a cold server, the largest first.
    struct fleet_rates
    {
        std::vector<double> all;
        double own = 0;
    };

    bool isSilent(timestamp now, const peer_state &peer) const;
    bool hasEnded(timestamp now, const peer_state &peer) const;
    timestamp coldUntil(const server_state &state) const;
    const cold_rule *ruleOf(std::string_view service) const;
    static void setStatement(timestamp now, server_state &state, duration coldFor);
    /// Returns the demand on this instance by which its share is computed.
    double ownDemand(timestamp now, std::string_view service) const;
    const allowance &allowanceOf(timestamp now, const std::string &service, const cold_rule &rule);
    allowance computeAllowance(timestamp now, std::string_view service,
                               const cold_rule &rule) const;
    /// Returns the demand on the other instances.
    std::vector<known_demand> otherDemands(timestamp now, std::string_view service) const;
    /// Divides the rate of a cold server among all instances.
    fleet_rates divide(const cold_rule &rule, double ownDemand,
                       std::span<const known_demand> others) const;
    /// Decides whether this instance saves up its allowance or admits at random, so that all
    /// instances together send no more than @p allowed in a second.
    static allowance chooseRounding(timestamp now, const fleet_rates &rates, double allowed);

    cold_server_options m_options;
    std::minstd_rand m_random;
    std::map<std::string, cold_rule, std::less<>> m_rules;
    std::map<std::string, server_state, std::less<>> m_servers;
    std::map<std::string, peer_state, std::less<>> m_peers;
    std::map<std::string, service_demand, std::less<>> m_demand;
    std::map<std::string, allowance, std::less<>> m_allowances;
    bool m_arePeersKnown = false;
};

} // namespace trefoil
