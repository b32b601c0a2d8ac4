#include <configuration/table_checks.h>

#include "yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace trefoil {

namespace {

std::string elementPath(const char *list, std::size_t index, const char *field)
{
    return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

/// Collects findings about the fields of one table.
class table_findings
{
public:
    explicit table_findings(std::string_view file) : m_file(file) { }

    void add(std::string field, std::string message)
    {
        m_found.push_back(
            {.file = m_file, .message = std::move(message), .field = std::move(field)});
    }
    findings take() { return std::move(m_found); }

private:
    std::string m_file;
    findings m_found;
};

bool mayUse(const route &each, std::string_view team)
{
    return std::find(each.teams.begin(), each.teams.end(), team) != each.teams.end();
}

/// A request reserves the tokens of its answer, which is the route's limit unless it says less.
void checkBurst(const route_table &routes, std::size_t index, table_findings &found)
{
    const team &each = routes.teams[index];
    for (const route &used : routes.routes) {
        if (!used.model.empty() && each.burst > 0 && each.burst < used.maxAnswerTokens
            && mayUse(used, each.name))
            found.add(elementPath("teams", index, "burst"),
                      "team \"" + each.name + "\": a burst of " + std::to_string(each.burst)
                          + " is below the " + std::to_string(used.maxAnswerTokens)
                          + " answer tokens that a request of route \"" + used.name
                          + "\" reserves");
    }
}

void checkRoute(const route &each, std::size_t index, table_findings &found)
{
    // Paths match in whole segments: behind the prefix, a slash, a query or nothing follows.
    if (each.path.size() > 1 && each.path.ends_with('/'))
        found.add(elementPath("routes", index, "path"),
                  "route \"" + each.name + "\" can't match a path below \"" + each.path
                      + "\", because of the slash at its end");
    if (each.path.find_first_of(" #") != std::string::npos)
        found.add(elementPath("routes", index, "path"),
                  "route \"" + each.name
                      + "\" can never match: no request's path holds a space or #");
    std::set<std::string_view> seen;
    for (const std::string &name : each.teams) {
        if (!seen.insert(name).second)
            found.add(elementPath("routes", index, "teams"),
                      "route \"" + each.name + "\" names team \"" + name + "\" twice");
    }
}

/// Returns the element of list @p node at @p text, which is a number.
YAML::Node elementAt(const YAML::Node &node, std::string_view text)
{
    std::size_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return node.IsSequence() && index < node.size() ? node[index] : YAML::Node();
}

/// Returns the node at @p path, or the last one on the way to it that exists.
YAML::Node findNode(const YAML::Node &document, std::string_view path)
{
    YAML::Node node = document;
    while (!path.empty()) {
        const bool isElement = path.front() == '[';
        if (isElement || path.front() == '.')
            path.remove_prefix(1);
        const std::string_view step = path.substr(0, path.find_first_of(isElement ? "]" : ".["));
        path.remove_prefix(std::min(step.size() + (isElement ? 1 : 0), path.size()));
        const YAML::Node &parent = node; // the non-const operator[] would insert the field
        const YAML::Node next = isElement ? elementAt(parent, step)
            : parent.IsMap()              ? parent[std::string(step)]
                                          : YAML::Node();
        if (!next.IsDefined() || next.IsNull())
            return node;
        node.reset(next);
    }
    return node;
}

Json::Value scalarAsJson(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    // The tag of a scalar without quotes and without an explicit tag.
    if (node.Tag() != "?")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    const char *end = text.data() + text.size();
    std::int64_t whole = 0;
    const std::from_chars_result asWhole = std::from_chars(text.data(), end, whole);
    if (asWhole.ec == std::errc() && asWhole.ptr == end)
        return Json::Int64(whole);
    double number = 0;
    const std::from_chars_result asNumber = std::from_chars(text.data(), end, number);
    if (asNumber.ec == std::errc() && asNumber.ptr == end)
        return number;
    return text;
}

Json::Value asJson(const YAML::Node &node)
{
    if (node.IsScalar())
        return scalarAsJson(node);
    Json::Value value;
    if (node.IsSequence()) {
        value = Json::Value(Json::arrayValue);
        for (const YAML::Node &each : node)
            value.append(asJson(each));
    } else if (node.IsMap()) {
        value = Json::Value(Json::objectValue);
        for (YAML::const_iterator it = node.begin(); it != node.end(); ++it)
            value[it->first.IsScalar() ? it->first.Scalar() : ""] = asJson(it->second);
    }
    return value;
}

} // namespace

findings checkRoutes(const route_table &routes, std::string_view file)
{
    table_findings found(file);
    for (std::size_t i = 0; i < routes.teams.size(); ++i) {
        const team &each = routes.teams[i];
        const bool isUsed =
            std::any_of(routes.routes.begin(), routes.routes.end(),
                        [&](const route &other) { return mayUse(other, each.name); });
        if (!each.name.empty() && !isUsed)
            found.add(elementPath("teams", i, "name"),
                      "team \"" + each.name + "\" may use no route");
        checkBurst(routes, i, found);
    }
    for (std::size_t i = 0; i < routes.routes.size(); ++i)
        checkRoute(routes.routes[i], i, found);
    return found.take();
}

findings checkPools(const pool_table &pools, std::string_view file)
{
    table_findings found(file);
    for (std::size_t i = 0; i < pools.pools.size(); ++i) {
        const pool &each = pools.pools[i];
        const bool areAllLeaving =
            std::all_of(each.servers.begin(), each.servers.end(),
                        [](const backend_server &server) { return server.leaving; });
        if (areAllLeaving && !each.servers.empty())
            found.add(elementPath("pools", i, "servers"),
                      "pool \"" + each.name + "\": all backend servers are leaving");
        if (each.kind == pool_kind::Service && !each.model.empty())
            found.add(elementPath("pools", i, "model"),
                      "pool \"" + each.name + "\" holds plain services, which have no model");
    }
    return found.take();
}

findings checkUnusedPools(const route_table &routes, const pool_table &pools, std::string_view file)
{
    table_findings found(file);
    for (std::size_t i = 0; i < pools.pools.size(); ++i) {
        const std::string &name = pools.pools[i].name;
        const bool isUsed = std::any_of(routes.routes.begin(), routes.routes.end(),
                                        [&](const route &each) { return each.pool == name; });
        if (!name.empty() && !isUsed)
            found.add(elementPath("pools", i, "name"), "no route uses pool \"" + name + "\"");
    }
    return found.take();
}

void locateFields(findings &found, std::string_view text)
{
    findings errors;
    finding_sink sink("", errors);
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document)
        return;
    for (finding &each : found) {
        if (each.line > 0 || each.field.empty())
            continue;
        const YAML::Mark mark = findNode(*document, each.field).Mark();
        each.line = mark.line + 1;
        each.column = mark.column + 1;
    }
}

std::optional<table_kind> tableKindOf(std::string_view text)
{
    findings errors;
    finding_sink sink("", errors);
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document || !document->IsMap())
        return std::nullopt;
    const YAML::Node &root = *document;
    if (root["routes"].IsDefined() || root["teams"].IsDefined())
        return table_kind::Routes;
    if (root["pools"].IsDefined())
        return table_kind::Pools;
    return std::nullopt;
}

std::optional<Json::Value> readYamlAsJson(std::string_view text, std::string_view file,
                                          findings &found)
{
    finding_sink sink(file, found);
    const std::optional<YAML::Node> document = parseYaml(text, sink);
    if (!document)
        return std::nullopt;
    return asJson(*document);
}

} // namespace trefoil
