#include "verbs.h"

#include <iostream>

#include <control/configuration_store.h>

#include "http_platform.h"
#include "verb_files.h"

namespace trefoil {

namespace {

constexpr double operatorCallsPerSecond = 50;

/// Writes one table over the version that was read before the checks, so that of two operators who
/// race one is told.
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

/// Reads the object or, where it does not exist, an empty one of version 0.
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
    endpoint place;
    if (!parseEndpoint(options.platform, place)) {
        std::cerr << "apply: --platform must be a numeric address and port\n";
        return ExitUsage;
    }
    if (options.routesFile.empty() && options.poolsFile.empty()) {
        std::cerr << "apply: give --routes or --pools\n";
        return ExitUsage;
    }
    table_files tables = readTableFiles(options.routesFile, options.poolsFile);
    http_platform platform(place, operatorCallsPerSecond);
    const result<object> routes = readOrEmpty(platform, config_names::routes);
    const result<object> pools = readOrEmpty(platform, config_names::pools);
    if (!routes || !pools) {
        std::cerr << "apply: " << (routes ? pools.error() : routes.error()).message << "\n";
        return ExitFailed;
    }
    // The table that is not given is the one in the platform: names must join with that.
    if (options.routesFile.empty() || options.poolsFile.empty()) {
        const tl::expected<route_table, findings> otherRoutes =
            readRoutes(routes->value, config_names::routes);
        const tl::expected<pool_table, findings> otherPools =
            readPools(pools->value, config_names::pools);
        const bool missesRoutes = options.routesFile.empty() && routes->version > 0 && otherRoutes;
        const bool missesPools = options.poolsFile.empty() && pools->version > 0 && otherPools;
        findings dangling;
        if (missesRoutes && tables.pools)
            dangling = checkPoolReferences(*otherRoutes, *tables.pools, options.poolsFile);
        if (missesPools && tables.routes)
            dangling = checkPoolReferences(*tables.routes, *otherPools, options.routesFile);
        tables.found.insert(tables.found.end(), dangling.begin(), dangling.end());
    }
    if (!tables.found.empty()) {
        std::cerr << toString(tables.found);
        return ExitUsage;
    }
    // Pools first: a route must not name a pool that is not there yet.
    bool done = true;
    if (!options.poolsFile.empty())
        done = applyTable(platform, config_names::pools, tables.poolsText, pools->version);
    if (done && !options.routesFile.empty())
        done = applyTable(platform, config_names::routes, tables.routesText, routes->version);
    return done ? ExitOk : ExitFailed;
}

} // namespace trefoil
