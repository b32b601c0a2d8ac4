#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/digest.h>
#include <dispatch/load_balancer.h>
#include <dispatch/team_limits.h>
#include <rollout/outcome_statistics.h>

namespace trefoil {

/// A server crash and a request that was running on the server.
struct crash_record
{
    digest128 request;
    /// Identifies the crash.
    std::string event;
    /// Milliseconds since the crash.
    std::uint64_t ageMs = 0;
    /// Hashes of the parts of the request's prompt that other requests may share.
    std::vector<std::uint64_t> parts;
};

/// A request that is not sent to servers, since it crashes them.
struct refused_request_record
{
    digest128 request;
    /// Milliseconds since each of the crashes that speak against the request.
    std::map<std::string, std::uint64_t, std::less<>> crashAgesMs;
};

/// A prompt part to which no requests are sent, since it crashes servers.
struct blocked_part_record
{
    std::uint64_t part = 0;
    /// Milliseconds since each of the crashes that speak against the part.
    std::map<std::string, std::uint64_t, std::less<>> crashAgesMs;
};

/// A prompt part that was suspected of a crash and began to be answered later.
struct cleared_part_record
{
    std::uint64_t part = 0;
    /// Milliseconds since the last such answer began.
    std::uint64_t ageMs = 0;
};

/// Request outcomes of one release on one route, counted by one instance since its start.
struct release_outcomes
{
    std::string service;
    std::string release;
    std::string route;
    outcome_counts counts;
};

/// A release that was found to be bad.
struct bad_release_record
{
    std::string service;
    std::string release;
    /// Milliseconds since the first instance found it to be bad.
    std::uint64_t ageMs = 0;
};

/// State that an instance sends to the others every few hundred milliseconds. Each report is
/// complete, so a lost one is made up for by the next.
struct peer_report
{
    std::string from;
    /// Start time of the process in milliseconds since 1970.
    std::uint64_t incarnation = 0;
    /// Milliseconds since the process started, by a clock that is never set. 0 in reports of older
    /// builds.
    std::uint64_t uptimeMs = 0;
    std::uint64_t sequence = 0;
    bool isLeaving = false;
    /// Whether the instance is cut off from the backend servers, see server_reach.
    bool isCutOff = false;
    /// Time until the next report in milliseconds.
    double periodMs = 0;
    /// Scheduling delay in milliseconds: time that the instance's threads wait for a processor, or
    /// its callers' connections for a thread.
    double delayMs = 0;
    /// Newest store revision that the instance has seen, by kind of object.
    std::map<std::string, std::uint64_t, std::less<>> revisions;
    /// Number of states in a restored store that the instance knows to be outdated, by kind.
    std::map<std::string, std::uint64_t, std::less<>> outdated;
    /// Load that the instance has put on each server.
    server_loads load;
    /// See team_limits::totals(), team_limits::takeLevels() and
    /// team_limits::takeDemandRates().
    admitted_totals admitted;
    admitted_totals levels;
    admitted_totals demandRates;
    std::vector<cache_placement> placed;
    /// See load_balancer::takePrefillRates().
    std::map<std::string, double, std::less<>> prefillRates;
    std::vector<crash_record> crashes;
    std::vector<refused_request_record> refusedRequests;
    std::vector<blocked_part_record> blockedParts;
    std::vector<cleared_part_record> clearedParts;
    /// Servers that load weights on the order of the instance.
    std::vector<std::string> loading;
    /// Servers at whose addresses other servers answer.
    std::vector<std::string> gone;
    /// Servers that the instance can't reach.
    std::vector<std::string> unreachable;
    /// Weights of the servers on which newer weights were observed recently, by "server=model".
    std::map<std::string, std::uint64_t, std::less<>> weights;
    /// Milliseconds since weights became a target, by "model=version", for instances that have
    /// restarted since.
    std::map<std::string, std::uint64_t, std::less<>> targetAgeMs;
    /// Milliseconds since the platform's store last answered the instance; empty before the first
    /// answer.
    std::optional<std::uint64_t> storeHeardAgoMs;
    /// Milliseconds since the store last confirmed the instance's configuration, directly or
    /// through other instances. Empty in reports of older builds, and if a newer configuration is
    /// known.
    std::optional<std::uint64_t> configurationConfirmedAgoMs;
    /// Kinds of objects for which the instance has lost the platform's store. Empty in reports of
    /// older builds.
    std::optional<std::vector<std::string>> lostKinds;
    /// Epoch of the instance's leader lease, 0 if it is not the leader.
    std::uint64_t leaderEpoch = 0;
    std::vector<release_outcomes> releases;
    std::vector<bad_release_record> badReleases;
    /// Limits that servers have named, and the requests sent to such servers. See
    /// server_statements.
    std::vector<server_limit_record> serverLimits;
    admitted_totals serverRequests;
    admitted_totals serverDemandRates;
    admitted_totals serverLevels;
    /// Requests per second by service, for the allowances of cold servers. See cold_servers.
    std::map<std::string, double, std::less<>> coldDemandRates;
    /// Servers that have stated that they are leaving.
    std::vector<std::string> leavingServers;
    /// Boot epochs of the KV cache stores by address, 0 for a store that doesn't answer. Filled by
    /// the leader, which polls the stores; empty in reports of other instances.
    std::map<std::string, std::uint64_t, std::less<>> storeEpochs;
};

/// Identifies a weights version of a model in reports and in the leader record.
struct weights_key
{
    std::string model;
    std::uint64_t version = 0;
};

/// Returns "model=version". Thread-safe.
std::string weightsKey(std::string_view model, std::uint64_t version);
/// Parses the output of weightsKey(). Returns nothing if @p text is malformed. Thread-safe.
std::optional<weights_key> parseWeightsKey(std::string_view text);

/// Serializes @p report as the text of a datagram. Thread-safe.
std::string toText(const peer_report &report);

/// Parses the output of toText(). Returns nothing if @p text is malformed. Thread-safe.
std::optional<peer_report> parsePeerReport(std::string_view text);

} // namespace trefoil
