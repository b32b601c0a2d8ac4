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

/// A team and its voted limit, counted across all instances.
struct team
{
    std::string name;
    /// Tokens a second.
    std::int64_t rate = 0;
    /// Tokens that may be admitted at once after a rest.
    std::int64_t burst = 0;

    bool operator==(const team &) const = default;
};

/// What callers may ask for: a model by name, or a plain service by path.
struct route
{
    std::string name;
    /// Model name that callers give; empty for a route by path.
    std::string model;
    /// Path prefix, for example "/ledger"; empty for a route by model.
    std::string path;
    /// Name of the pool that answers.
    std::string pool;
    /// Teams that may use it; not used on an open route.
    std::vector<std::string> teams;
    /// Open routes need no key and have no limit.
    bool open = false;
    /// Whether a request may run more than once.
    bool idempotent = true;
    /// Most tokens that an answer may have.
    std::int64_t maxAnswerTokens = 4096;

    bool operator==(const route &) const = default;
};

/// The routes table.
struct route_table
{
    std::vector<team> teams;
    std::vector<route> routes;

    bool operator==(const route_table &) const = default;

    /// Returns the route for @p model or null. Thread-safe.
    const route *byModel(std::string_view model) const;
    /// Returns the route with the longest path that is a prefix of @p path, or null. Thread-safe.
    const route *byPath(std::string_view path) const;
    /// Returns the team called @p name or null. Thread-safe.
    const team *teamNamed(std::string_view name) const;
};

/// One backend server.
struct backend_server
{
    std::string name;
    endpoint address;
    std::string zone;
    /// Version of the weights or of the service that it runs.
    std::string version;
    /// Whether it is about to leave: it gets no new work.
    bool leaving = false;

    bool operator==(const backend_server &) const = default;
};

/// A move of a pool's traffic from one version to another.
struct rollout_order
{
    std::string from;
    std::string to;
    /// Seconds since 1970 by which all traffic is to be on the new version.
    std::int64_t deadline = 0;

    bool operator==(const rollout_order &) const = default;
};

/// Kind of a pool's backend servers.
enum class pool_kind { Engine, Service };

/// Backend servers that answer for routes.
struct pool
{
    std::string name;
    pool_kind kind = pool_kind::Engine;
    /// Model name that the backend servers know; empty to pass the caller's on.
    std::string model;
    /// Bearer credential sent to the backend servers in place of the caller's key; may be empty.
    std::string credential;
    /// Whether its backend servers refuse orders with an old fencing number.
    bool fenced = false;
    /// Time to wait for the first byte of an answer, and then between two pieces.
    duration responseTimeout = std::chrono::seconds(30);
    std::vector<backend_server> servers;
    std::optional<rollout_order> rollout;

    bool operator==(const pool &) const = default;
};

/// The pools table.
struct pool_table
{
    std::vector<pool> pools;

    bool operator==(const pool_table &) const = default;

    /// Returns the pool called @p name or null. Thread-safe.
    const pool *poolNamed(std::string_view name) const;
};

/// Reads the routes table from YAML. @p file names the document in findings. Thread-safe.
tl::expected<route_table, findings> readRoutes(std::string_view text, std::string_view file);

/// Reads the pools table from YAML. @p file names the document in findings. Thread-safe.
tl::expected<pool_table, findings> readPools(std::string_view text, std::string_view file);

/// Finds names in @p routes that @p pools does not have. Findings carry no line, because they
/// concern both documents. Thread-safe.
findings checkJoin(const route_table &routes, const pool_table &pools, std::string_view file);

} // namespace trefoil
