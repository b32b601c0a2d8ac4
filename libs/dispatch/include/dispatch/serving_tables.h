#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>

namespace trefoil {

/// Whether a request of a route may run more than once.
enum class repeat_rule {
    /// Idempotent: may run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by an event stream; runs at most once unless the route is resumable.
    Stream
};

/// A service that a route sends requests to, with its relative weight.
struct route_target
{
    std::string service;
    double weight = 1;
};

/// A route, selected by host and path prefix.
struct served_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    repeat_rule repeats = repeat_rule::Unsafe;
    /// Longest time that a request may take.
    duration timeout = std::chrono::seconds(60);
    /// Target latency of the answer, or of the first event of a stream.
    duration targetLatency = std::chrono::seconds(1);
    /// Pause between events of a stream after which its caller disconnects.
    duration callerPatience = std::chrono::seconds(2);
    /// Pause between events of a stream that the target allows, 0 if not stated.
    duration targetPause {};
    /// 0 is the highest priority.
    int priority = 0;
    std::vector<route_target> targets;
    /// Maximum number of backend servers that a request may run on.
    int maxAttempts = 1;
    /// Whether callers may omit the API key.
    bool isOpen = false;
    /// Whether an interrupted stream may be resumed on another backend server.
    bool isResumable = false;

    /// Returns whether a request may be sent again when it may already have run.
    bool mayRepeat() const { return repeats == repeat_rule::Safe || isResumable; }
};

/// Model engine behind a service.
struct engine_traits
{
    /// Requests processed concurrently.
    int slots = 1;
    /// Capacity of the engine's KV cache memory in tokens, shared by running requests and cached
    /// prompt parts.
    double memoryTokens = 0;
    /// Bytes of KV cache per token.
    double bytesPerToken = 0;
    /// Bandwidth of the engine's network link in megabits per second.
    double linkMbps = 0;
    std::vector<std::string> models;
};

/// A KV cache store that engines copy the KV cache of prompt parts to and from.
struct cache_store
{
    endpoint address;
    std::string zone;
    /// Bandwidth of the store's network link in megabits per second, 0 if unknown.
    double linkMbps = 0;
};

/// A pool of backend servers, or a KV cache store.
struct served_service
{
    std::string name;
    std::string healthPath;
    /// Maximum number of connections that a backend server accepts from all instances together.
    int connectionLimit = 0;
    /// Set if the servers of the pool are model engines.
    std::optional<engine_traits> engine;
    /// Set if the service is a KV cache store.
    std::optional<cache_store> cacheStore;
    /// How long a server is assumed cold after its start, and the requests per second that a cold
    /// server takes; 0 for no limit.
    duration coldStartTime {};
    double coldRequestsPerSecond = 0;
};

/// Unit in which a team's limit is counted.
enum class limit_unit { Requests, Tokens };

/// A team and its rate limit.
struct served_team
{
    std::string name;
    /// 0 is the highest priority; takes precedence over a route's priority.
    int priority = 0;
    limit_unit unit = limit_unit::Requests;
    /// Tokens charged for a request without a token count.
    double defaultTokens = 1;
    /// Whether the team shares no KV cache with other teams.
    bool isIsolated = false;
    /// Part of the cache salt that all teams with the same group share.
    std::string cacheGroup;
    /// Units per second; 0 for no limit.
    double rate = 0;
    /// Units that may be admitted at once.
    double burst = 0;
};

/// Limits on the size and timing of callers' requests.
struct caller_bounds
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4u << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// Active configuration. Immutable once published, so that threads can share it without locks.
struct serving_tables
{
    std::uint64_t version = 0;
    std::vector<served_route> routes;
    std::map<std::string, served_service, std::less<>> services;
    std::map<std::string, served_team, std::less<>> teams;
    /// Name of the team by API key.
    std::unordered_map<std::string, std::string> teamOfKey;
    caller_bounds bounds;
    /// Cache group of requests without a team; see assignCacheGroups().
    std::string sharedCacheGroup;

    /// Determines which teams may use each other's KV cache: an isolated team is alone in its
    /// group, and all other requests are in one group that is named by the isolated teams. What a
    /// team stored before it was isolated is therefore not found by the others afterwards, on
    /// instances that know no earlier configuration too. Call when the teams are complete.
    void assignCacheGroups();

    /// Returns the route of @p host (a port is ignored) with the longest prefix of @p path, or
    /// nullptr. Thread-safe.
    const served_route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the team that holds @p key, or nullptr. Thread-safe.
    const served_team *findTeam(std::string_view key) const;
    /// Returns the service called @p name, or nullptr. Thread-safe.
    const served_service *findService(std::string_view name) const;
    /// Returns all KV cache stores. Thread-safe.
    std::vector<cache_store> cacheStores() const;
};

/// Returns the cache group of requests that share KV cache only with those of @p team; "" stands
/// for requests without a team. Thread-safe.
std::string privateCacheGroup(std::string_view team);

/// A backend server's registration, as published by the server.
struct registered_server
{
    /// Unique among running servers; a restarted server may keep it.
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    /// Software version.
    std::string release;
    int slots = 1;
    bool isLeaving = false;
    /// Weights versions that the server runs, by model.
    std::map<std::string, std::uint64_t, std::less<>> weights;
    /// Start time in milliseconds since 1970; distinguishes a restart under the same id.
    std::uint64_t startedAtMs = 0;
    /// How long the server stays cold, from when the entry was written; empty if it doesn't say.
    std::optional<duration> coldLeft;
    /// Whether the entry has such a time that is not valid.
    bool isColdLeftInvalid = false;
    /// Number of the entry among those that the server has written.
    std::uint64_t heartbeat = 0;

    bool operator==(const registered_server &) const = default;
};

} // namespace trefoil
