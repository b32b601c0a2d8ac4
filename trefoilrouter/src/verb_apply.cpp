#include "verbs.h"

#include <iostream>

#include <control/configuration_store.h>

#include "http_object_store.h"
#include "table_files.h"

namespace trefoil {

namespace {

constexpr double operatorCallsPerSecond = 50;

/// Writes one table if its stored version is still @p expected, the version read before the checks.
/// Of two operators who apply concurrently, one gets a conflict.
bool applyTable(object_store &platform, const std::string &name, const std::string &text,
                std::uint64_t expected)
{
    const result<std::uint64_t> written = platform.put(name, text, expected);
    if (written) {
        std::cout << name << ": version " << *written << "\n";
        return true;
    }
    std::cerr << "apply: " << name << ": " << written.error().message << "\n";
    if (written.error().code == platform_errors::unknownOutcome)
        std::cerr << "apply: the update may have taken effect; see status\n";
    return false;
}

/// Returns the object, or an empty one with version 0 if it does not exist.
result<object> readOrEmpty(object_store &platform, const std::string &name)
{
    result<object> found = platform.get(name);
    if (!found && found.error().code == platform_errors::notFound)
        return object {.name = name};
    return found;
}

} // namespace

int runApply(const apply_options &options)
{
    endpoint address;
    if (!parseEndpoint(options.platform, address)) {
        std::cerr << "apply: --platform must be a numeric address and port\n";
        return ExitUsage;
    }
    if (options.routesFile.empty() && options.poolsFile.empty()) {
        std::cerr << "apply: give --routes or --pools\n";
        return ExitUsage;
    }
    table_files tables = readTableFiles(options.routesFile, options.poolsFile);
    http_object_store platform(address, operatorCallsPerSecond);
    const result<object> routes = readOrEmpty(platform, config_names::routes);
    const result<object> pools = readOrEmpty(platform, config_names::pools);
    if (!routes || !pools) {
        std::cerr << "apply: " << (routes ? pools.error() : routes.error()).message << "\n";
        return ExitFailed;
    }
    // If only one table is given, its references are checked against the other one as stored.
    if (options.routesFile.empty() || options.poolsFile.empty()) {
        const tl::expected<route_table, findings> storedRoutes =
            readRoutes(routes->value, config_names::routes);
        const tl::expected<pool_table, findings> storedPools =
            readPools(pools->value, config_names::pools);
        const bool usesStoredRoutes =
            options.routesFile.empty() && routes->version > 0 && storedRoutes;
        const bool usesStoredPools = options.poolsFile.empty() && pools->version > 0 && storedPools;
        findings danglingReferences;
        if (usesStoredRoutes && tables.pools)
            danglingReferences =
                checkPoolReferences(*storedRoutes, *tables.pools, options.poolsFile);
        if (usesStoredPools && tables.routes)
            danglingReferences =
                checkPoolReferences(*tables.routes, *storedPools, options.routesFile);
        tables.found.insert(tables.found.end(), danglingReferences.begin(),
                            danglingReferences.end());
    }
    if (!tables.found.empty()) {
        std::cerr << toString(tables.found);
        return ExitUsage;
    }
    // Pools first: a route must not refer to a pool that does not exist yet.
    bool done = true;
    if (!options.poolsFile.empty())
        done = applyTable(platform, config_names::pools, tables.poolsText, pools->version);
    if (done && !options.routesFile.empty())
        done = applyTable(platform, config_names::routes, tables.routesText, routes->version);
    return done ? ExitOk : ExitFailed;
}

} // namespace trefoil
