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

/// What may happen again to a request of a route.
enum class repeat_rule {
    /// Idempotent: may run any number of times.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a series of events; runs at most once unless the route is resumable.
    Stream
};

/// A service that a route sends requests to, and its part of them.
struct route_target
{
    std::string service;
    double weight = 1;
};

/// A route by host and path.
struct served_route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    repeat_rule repeats = repeat_rule::Unsafe;
    /// Longest time that a request may take.
    duration timeout = std::chrono::seconds(60);
    /// Time within which callers want the answer, or the first event of a stream.
    duration aim = std::chrono::seconds(1);
    /// 0 goes first.
    int priority = 0;
    std::vector<route_target> targets;
    /// Backend servers that one request may run on.
    int maxAttempts = 1;
    /// Whether callers need no key.
    bool isOpen = false;
    /// Whether an interrupted stream may go on at another backend server.
    bool isResumable = false;

    /// Returns whether a request may run again after it may have run.
    bool mayRepeat() const { return repeats == repeat_rule::Safe || isResumable; }
};

/// Model engine behind a service.
struct engine_traits
{
    /// Requests processed at once.
    int slots = 1;
    /// Tokens that the engine's memory holds: running requests and cached parts together.
    double memoryTokens = 0;
    /// Bytes of KV cache for a token.
    double bytesPerToken = 0;
    /// Bandwidth of the engine's link in megabits a second.
    double linkMbps = 0;
    std::vector<std::string> models;
};

/// A store of KV cache that engines copy parts of prompts to and from.
struct cache_store
{
    endpoint address;
    std::string zone;
    /// Bandwidth of its link in megabits a second, 0 where it isn't known.
    double linkMbps = 0;
};

/// A pool of backend servers, or a store of KV cache.
struct served_service
{
    std::string name;
    std::string healthPath;
    /// Connections that one backend server takes from all instances together.
    int connectionLimit = 0;
    std::optional<engine_traits> engine;
    /// The store of KV cache, where the service is one.
    std::optional<cache_store> cacheStore;
};

/// Unit in which a team's limit is counted.
enum class limit_unit { Requests, Tokens };

/// A team and its voted limit.
struct served_team
{
    std::string name;
    /// 0 goes first; stands above a route's priority.
    int priority = 0;
    limit_unit unit = limit_unit::Requests;
    /// Tokens that a request without a token count costs.
    double plainTokens = 1;
    /// Whether it shares no KV cache with other teams.
    bool isIsolated = false;
    /// Units a second; 0 for no limit.
    double rate = 0;
    double burst = 0;
};

/// Bounds on what callers may send and how long they may stay idle.
struct caller_bounds
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4u << 20;
    duration headerTimeout = std::chrono::seconds(3);
    duration idleTimeout = std::chrono::seconds(15);
};

/// Configuration in force: immutable once published, so that threads share it freely.
struct serving_tables
{
    std::uint64_t version = 0;
    std::vector<served_route> routes;
    std::map<std::string, served_service, std::less<>> services;
    std::map<std::string, served_team, std::less<>> teams;
    /// Name of the team by key.
    std::unordered_map<std::string, std::string> teamOfKey;
    caller_bounds bounds;

    /// Returns the route of @p host (a port is ignored) with the longest prefix of @p path, or
    /// nullptr. Thread-safe.
    const served_route *findRoute(std::string_view host, std::string_view path) const;
    /// Returns the team that holds @p key, or nullptr. Thread-safe.
    const served_team *findTeam(std::string_view key) const;
    /// Returns the service called @p name, or nullptr. Thread-safe.
    const served_service *findService(std::string_view name) const;
    /// Returns all stores of KV cache. Thread-safe.
    std::vector<cache_store> cacheStores() const;
};

/// A backend server as it describes itself.
struct registered_server
{
    /// Differs for each server; a restarted one may keep it.
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    /// Version of its software.
    std::string release;
    int slots = 1;
    bool isLeaving = false;
    /// Model weights that it runs.
    std::map<std::string, std::uint64_t, std::less<>> weights;
    /// When it started, in milliseconds since 1970; tells a restart under the same id.
    std::uint64_t startedAtMs = 0;
};

} // namespace trefoil
