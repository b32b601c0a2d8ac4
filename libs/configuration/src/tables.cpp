#include <configuration/tables.h>

#include "yaml_reader.h"

#include <algorithm>
#include <set>

namespace trefoil {

namespace {

// Limits on what operators can sensibly configure; they catch values in a wrong unit.
constexpr std::int64_t maxTokenRate = 100'000'000;
constexpr std::int64_t maxTokenBurst = 10'000'000'000;
constexpr std::int64_t maxAnswerTokens = 1'000'000;
constexpr std::int64_t maxResponseSeconds = 3600;
constexpr std::int64_t maxUnixSeconds = 253'402'300'799; // end of the year 9999

bool isValidName(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || c == '-' || c == '_' || c == '.' || c == '/';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isAllowed);
}

/// Reads a name, and checks that it is well-formed and not in @p taken. @p what names the kind of
/// object in findings.
std::string readName(yaml_map &map, std::set<std::string> &taken, const char *what)
{
    const std::string name = map.text("name");
    if (name.empty())
        return name;
    if (!isValidName(name))
        map.addFinding("name",
                       std::string(what) + " name \"" + name
                           + "\" may hold only letters, digits and - _ . /");
    if (!taken.insert(name).second)
        map.addFinding("name", std::string(what) + " \"" + name + "\" stands twice");
    return name;
}

team readTeam(const YAML::Node &node, const std::string &path, std::set<std::string> &names,
              finding_sink &sink)
{
    yaml_map map(node, path, {"name", "rate", "burst"}, sink);
    team parsed;
    parsed.name = readName(map, names, "team");
    parsed.rate = map.integer("rate", {1, maxTokenRate});
    parsed.burst = map.integer("burst", {1, maxTokenBurst});
    return parsed;
}

void checkTarget(yaml_map &map, const route &parsed, std::set<std::string> &targets)
{
    if (parsed.model.empty() == parsed.path.empty()) {
        map.addFinding("name", "route \"" + parsed.name + "\" needs either \"model\" or \"path\"");
        return;
    }
    if (!parsed.path.empty() && (parsed.path.front() != '/' || parsed.path.size() < 2))
        map.addFinding("path",
                       "route \"" + parsed.name + "\": path \"" + parsed.path
                           + "\" must start with / and name something");
    if (parsed.path == "/v1" || parsed.path.starts_with("/v1/"))
        map.addFinding("path",
                       "route \"" + parsed.name + "\": paths under /v1 belong to the system");
    const std::string &target = parsed.model.empty() ? parsed.path : parsed.model;
    if (!targets.insert(target).second)
        map.addFinding(parsed.model.empty() ? "path" : "model",
                       "route \"" + parsed.name + "\": \"" + target
                           + "\" belongs to another route");
}

void checkTeams(yaml_map &map, const route &parsed, const std::set<std::string> &teamNames)
{
    if (parsed.open && !parsed.teams.empty())
        map.addFinding("teams", "route \"" + parsed.name + "\" is open and can't name teams");
    if (!parsed.open && parsed.teams.empty())
        map.addFinding("name", "route \"" + parsed.name + "\" needs \"teams\" or \"open: true\"");
    for (const std::string &name : parsed.teams) {
        if (!teamNames.contains(name))
            map.addFinding("teams",
                           "route \"" + parsed.name + "\": team \"" + name + "\" does not exist");
    }
}

route readRoute(const YAML::Node &node, const std::string &path, std::set<std::string> &names,
                std::set<std::string> &targets, const std::set<std::string> &teamNames,
                finding_sink &sink)
{
    yaml_map map(
        node, path,
        {"name", "model", "path", "pool", "teams", "open", "idempotent", "max_answer_tokens"},
        sink);
    route parsed;
    parsed.name = readName(map, names, "route");
    parsed.model = map.textOr("model", "");
    parsed.path = map.textOr("path", "");
    parsed.pool = map.text("pool");
    parsed.teams = map.textList("teams");
    parsed.open = map.flagOr("open", false);
    parsed.idempotent = map.flagOr("idempotent", true);
    parsed.maxAnswerTokens =
        map.integerOr("max_answer_tokens", {1, maxAnswerTokens}, parsed.maxAnswerTokens);
    checkTarget(map, parsed, targets);
    checkTeams(map, parsed, teamNames);
    return parsed;
}

backend_server readServer(const YAML::Node &node, const std::string &path,
                          std::set<std::string> &names, std::set<std::string> &addresses,
                          finding_sink &sink)
{
    yaml_map map(node, path, {"name", "address", "zone", "version", "leaving"}, sink);
    backend_server parsed;
    parsed.name = readName(map, names, "backend server");
    parsed.zone = map.text("zone");
    parsed.version = map.textOr("version", "1");
    parsed.leaving = map.flagOr("leaving", false);
    const std::string address = map.text("address");
    if (!address.empty() && !parseEndpoint(address, parsed.address))
        map.addFinding("address",
                       "backend server \"" + parsed.name + "\": \"" + address
                           + "\" is not a numeric address and port");
    else if (!address.empty() && !addresses.insert(address).second)
        map.addFinding("address",
                       "backend server \"" + parsed.name + "\": address \"" + address
                           + "\" belongs to another");
    return parsed;
}

rollout_spec readRollout(const YAML::Node &node, const std::string &path, finding_sink &sink)
{
    yaml_map map(node, path, {"from", "to", "deadline"}, sink);
    rollout_spec parsed;
    parsed.from = map.text("from");
    parsed.to = map.text("to");
    parsed.deadline = map.integer("deadline", {1, maxUnixSeconds});
    if (!parsed.to.empty() && parsed.from == parsed.to)
        map.addFinding("to", "\"" + path + "\" moves from \"" + parsed.to + "\" to itself");
    return parsed;
}

/// Checks that a server runs the old version. The new one need not run anywhere yet: the
/// rollout makes the servers load it.
void checkRollout(yaml_map &map, const pool &parsed)
{
    const std::string &from = parsed.rollout->from;
    const bool runsOldVersion =
        std::any_of(parsed.servers.begin(), parsed.servers.end(),
                    [&](const backend_server &each) { return each.version == from; });
    if (!from.empty() && !runsOldVersion)
        map.addFinding("rollout",
                       "pool \"" + parsed.name + "\": no backend server runs version \"" + from
                           + "\"");
}

pool readPool(const YAML::Node &node, const std::string &path, std::set<std::string> &names,
              std::set<std::string> &serverNames, std::set<std::string> &addresses,
              finding_sink &sink)
{
    yaml_map map(node, path,
                 {"name", "kind", "model", "credential", "fenced", "response_timeout_seconds",
                  "servers", "rollout"},
                 sink);
    pool parsed;
    parsed.name = readName(map, names, "pool");
    const std::string kind = map.choice("kind", {"engine", "service"}, "engine");
    parsed.kind = kind == "engine" ? pool_kind::Engine : pool_kind::Service;
    parsed.model = map.textOr("model", "");
    parsed.credential = map.textOr("credential", "");
    parsed.fenced = map.flagOr("fenced", false);
    parsed.responseTimeout =
        std::chrono::seconds(map.integerOr("response_timeout_seconds", {1, maxResponseSeconds},
                                           parsed.responseTimeout / std::chrono::seconds(1)));
    map.each("servers", true, [&](const YAML::Node &item, const std::string &itemPath) {
        parsed.servers.push_back(readServer(item, itemPath, serverNames, addresses, sink));
    });
    if (parsed.servers.empty())
        map.addFinding("servers", "pool \"" + parsed.name + "\" has no backend server");
    if (map.has("rollout")) {
        parsed.rollout = readRollout(map.child("rollout"), map.pathOf("rollout"), sink);
        checkRollout(map, parsed);
    }
    return parsed;
}

} // namespace

const route *route_table::findByModel(std::string_view model) const
{
    const auto found = std::find_if(routes.begin(), routes.end(), [&](const route &each) {
        return !each.model.empty() && each.model == model;
    });
    return found == routes.end() ? nullptr : &*found;
}

const route *route_table::findByPath(std::string_view path) const
{
    const route *best = nullptr;
    for (const route &each : routes) {
        if (each.path.empty() || !path.starts_with(each.path))
            continue;
        const bool isWholeSegment = path.size() == each.path.size() || path[each.path.size()] == '/'
            || path[each.path.size()] == '?';
        if (isWholeSegment && (!best || each.path.size() > best->path.size()))
            best = &each;
    }
    return best;
}

const team *route_table::findTeam(std::string_view name) const
{
    const auto found = std::find_if(teams.begin(), teams.end(),
                                    [&](const team &each) { return each.name == name; });
    return found == teams.end() ? nullptr : &*found;
}

const pool *pool_table::findPool(std::string_view name) const
{
    const auto found = std::find_if(pools.begin(), pools.end(),
                                    [&](const pool &each) { return each.name == name; });
    return found == pools.end() ? nullptr : &*found;
}

route_table readRoutesPartially(std::string_view text, std::string_view file, findings &found)
{
    findings own;
    finding_sink sink(file, own);
    route_table parsed;
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document) {
        found.insert(found.end(), own.begin(), own.end());
        return parsed;
    }
    std::set<std::string> teamNames;
    std::set<std::string> routeNames;
    std::set<std::string> targets;
    yaml_map map(*document, "", {"teams", "routes"}, sink);
    map.each("teams", false, [&](const YAML::Node &node, const std::string &path) {
        parsed.teams.push_back(readTeam(node, path, teamNames, sink));
    });
    map.each("routes", true, [&](const YAML::Node &node, const std::string &path) {
        parsed.routes.push_back(readRoute(node, path, routeNames, targets, teamNames, sink));
    });
    sortByLocation(own);
    found.insert(found.end(), own.begin(), own.end());
    return parsed;
}

tl::expected<route_table, findings> readRoutes(std::string_view text, std::string_view file)
{
    findings found;
    route_table parsed = readRoutesPartially(text, file, found);
    if (!found.empty())
        return tl::unexpected(found);
    return parsed;
}

pool_table readPoolsPartially(std::string_view text, std::string_view file, findings &found)
{
    findings own;
    finding_sink sink(file, own);
    pool_table parsed;
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document) {
        found.insert(found.end(), own.begin(), own.end());
        return parsed;
    }
    std::set<std::string> poolNames;
    std::set<std::string> serverNames;
    std::set<std::string> addresses;
    yaml_map map(*document, "", {"pools"}, sink);
    map.each("pools", true, [&](const YAML::Node &node, const std::string &path) {
        parsed.pools.push_back(readPool(node, path, poolNames, serverNames, addresses, sink));
    });
    sortByLocation(own);
    found.insert(found.end(), own.begin(), own.end());
    return parsed;
}

tl::expected<pool_table, findings> readPools(std::string_view text, std::string_view file)
{
    findings found;
    pool_table parsed = readPoolsPartially(text, file, found);
    if (!found.empty())
        return tl::unexpected(found);
    return parsed;
}

findings checkPoolReferences(const route_table &routes, const pool_table &pools,
                             std::string_view file)
{
    findings found;
    for (std::size_t i = 0; i < routes.routes.size(); ++i) {
        const route &each = routes.routes[i];
        if (each.pool.empty())
            continue;
        const auto add = [&](std::string message) {
            found.push_back({.file = std::string(file),
                             .message = std::move(message),
                             .field = "routes[" + std::to_string(i) + "].pool"});
        };
        const pool *target = pools.findPool(each.pool);
        if (!target) {
            add("route \"" + each.name + "\": pool \"" + each.pool + "\" does not exist");
            continue;
        }
        if (!each.model.empty() && target->kind != pool_kind::Engine)
            add("route \"" + each.name + "\": pool \"" + each.pool
                + "\" holds plain services and can't answer for a model");
        if (!each.path.empty() && target->kind != pool_kind::Service)
            add("route \"" + each.name + "\": pool \"" + each.pool
                + "\" holds engines and can't answer for a path");
    }
    return found;
}

} // namespace trefoil
