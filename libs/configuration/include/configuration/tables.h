#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <core/finding.h>
#include <tl/expected.hpp>

namespace trefoil {

/// A team and its configured token limit, which applies to all instances together.
struct team
{
    std::string name;
    /// Tokens per second.
    std::int64_t rate = 0;
    /// Tokens that may be admitted at once after an idle period.
    std::int64_t burst = 0;

    bool operator==(const team &) const = default;
};

/// What callers can request: a model by name, or a plain service by path.
struct route
{
    std::string name;
    /// Model name that callers give; empty for a route by path.
    std::string model;
    /// Path prefix, for example "/ledger"; empty for a route by model.
    std::string path;
    /// Name of the pool that serves the route.
    std::string pool;
    /// Teams that may use the route; empty for an open route.
    std::vector<std::string> teams;
    /// Open routes need no key and have no limit.
    bool open = false;
    /// Whether a request may run more than once.
    bool idempotent = true;
    /// Limit on the tokens of an answer.
    std::int64_t maxAnswerTokens = 4096;

    bool operator==(const route &) const = default;
};

/// Table of teams and routes.
struct route_table
{
    std::vector<team> teams;
    std::vector<route> routes;

    bool operator==(const route_table &) const = default;

    /// Returns the route for @p model, or null. Thread-safe.
    const route *findByModel(std::string_view model) const;
    /// Returns the route with the longest path that is a prefix of @p path in whole segments, or
    /// null. Thread-safe.
    const route *findByPath(std::string_view path) const;
    /// Returns the team called @p name, or null. Thread-safe.
    const team *findTeam(std::string_view name) const;
};

/// One backend server.
struct backend_server
{
    std::string name;
    endpoint address;
    std::string zone;
    /// Version of the weights or of the service that the server runs.
    std::string version;
    /// Whether the server is being drained: it gets no new requests.
    bool leaving = false;

    bool operator==(const backend_server &) const = default;
};

/// Configured rollout of a pool from one version to another.
struct rollout_spec
{
    std::string from;
    std::string to;
    /// Time by which all traffic is to be on the new version, in seconds since 1970 (Unix time).
    std::int64_t deadline = 0;

    bool operator==(const rollout_spec &) const = default;
};

/// Kind of a pool's backend servers: inference engines, or servers of a plain service.
enum class pool_kind { Engine, Service };

/// Group of backend servers that serves routes.
struct pool
{
    std::string name;
    pool_kind kind = pool_kind::Engine;
    /// Model name sent to the backend servers; empty to forward the caller's.
    std::string model;
    /// Bearer credential sent to the backend servers in place of the caller's key; may be empty.
    std::string credential;
    /// Whether the backend servers refuse commands with an outdated fencing token.
    bool fenced = false;
    /// Time to wait for the first byte of an answer, and then for each further piece.
    duration responseTimeout = std::chrono::seconds(30);
    std::vector<backend_server> servers;
    std::optional<rollout_spec> rollout;

    bool operator==(const pool &) const = default;
};

/// Table of pools.
struct pool_table
{
    std::vector<pool> pools;

    bool operator==(const pool_table &) const = default;

    /// Returns the pool called @p name, or null. Thread-safe.
    const pool *findPool(std::string_view name) const;
};

/// Reads the routes table from YAML. @p file names the document in findings. Thread-safe.
tl::expected<route_table, findings> readRoutes(std::string_view text, std::string_view file);

/// Reads the pools table from YAML. @p file names the document in findings. Thread-safe.
tl::expected<pool_table, findings> readPools(std::string_view text, std::string_view file);

/// Reads what can be read of a routes table that may have errors, which are appended to @p found.
/// Fields that can't be read have their default value. Thread-safe.
route_table readRoutesPartially(std::string_view text, std::string_view file, findings &found);

/// Like readRoutesPartially(), for the pools table. Thread-safe.
pool_table readPoolsPartially(std::string_view text, std::string_view file, findings &found);

/// Checks that the pool of each route exists in @p pools and has the right kind. @p file names the
/// routes table in findings, which have a field, but no line. Thread-safe.
findings checkPoolReferences(const route_table &routes, const pool_table &pools,
                             std::string_view file);

} // namespace trefoil
