#include <control/configuration_store.h>

#include <algorithm>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <core/json.h>

namespace trefoil {

std::string keyDigest(std::string_view key)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(key.data(), key.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::string keyObjectName(std::string_view digest)
{
    return config_names::keysPrefix + std::string(digest.substr(0, 1));
}

std::string keysToText(const std::vector<key_entry> &keys)
{
    Json::Value list(Json::arrayValue);
    for (const key_entry &each : keys) {
        Json::Value entry(Json::objectValue);
        entry["digest"] = each.digest;
        entry["team"] = each.team;
        entry["name"] = each.name;
        list.append(std::move(entry));
    }
    return writeJson(list);
}

result<std::vector<key_entry>> keysFromText(std::string_view text)
{
    const result<Json::Value> list = parseJson(text, "a key object");
    if (!list)
        return tl::unexpected(list.error());
    if (!list->isArray())
        return failure("bad-keys", "a key object must be a list");
    std::vector<key_entry> keys;
    for (const Json::Value &entry : *list) {
        const key_entry each {.digest = textOr(entry, "digest"),
                              .team = textOr(entry, "team"),
                              .name = textOr(entry, "name")};
        if (each.digest.size() != 64 || each.team.empty())
            return failure("bad-keys", "a key entry needs a SHA-256 digest and a team");
        keys.push_back(each);
    }
    return keys;
}

configuration_store::configuration_store()
    : m_snapshot(std::make_shared<const configuration_snapshot>())
{ }

bool configuration_store::apply(const object &item)
{
    if (isProcessed(item.name, item.version))
        return false;
    findings problems;
    const bool isValid = parse(item, problems);
    if (isValid)
        m_objects[item.name] = item;
    else
        m_rejectedVersions[item.name] = item.version;
    // An older valid object may arrive after a newer rejected one: a restarted instance fetches the
    // active version from its peers. The findings of the newer version are kept.
    const auto rejected = m_rejectedVersions.find(item.name);
    const bool isNewest = rejected == m_rejectedVersions.end() || item.version >= rejected->second;
    if (isNewest)
        m_findingsByObject[item.name] = std::move(problems);
    rebuild();
    return isValid;
}

bool configuration_store::parse(const object &item, findings &problems)
{
    if (item.name == config_names::routes) {
        tl::expected<route_table, findings> read = readRoutes(item.value, item.name);
        if (!read) {
            problems = read.error();
            return false;
        }
        m_routes = std::move(*read);
        m_routesVersion = item.version;
        return true;
    }
    if (item.name == config_names::pools) {
        tl::expected<pool_table, findings> read = readPools(item.value, item.name);
        if (!read) {
            problems = read.error();
            return false;
        }
        m_pools = std::move(*read);
        m_poolsVersion = item.version;
        return true;
    }
    if (!item.name.starts_with(config_names::keysPrefix)) {
        problems.push_back({.file = item.name, .message = "no such configuration object"});
        return false;
    }
    result<std::vector<key_entry>> read = keysFromText(item.value);
    if (!read) {
        problems.push_back({.file = item.name, .message = read.error().message});
        return false;
    }
    m_keys[item.name] = std::move(*read);
    return true;
}

bool configuration_store::isProcessed(std::string_view name, std::uint64_t version) const
{
    const auto rejected = m_rejectedVersions.find(name);
    return version <= versionOf(name)
        || (rejected != m_rejectedVersions.end() && version == rejected->second);
}

const object *configuration_store::find(std::string_view name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::uint64_t configuration_store::versionOf(std::string_view name) const
{
    const object *item = find(name);
    return item ? item->version : 0;
}

void configuration_store::rebuild()
{
    configuration_snapshot next;
    if (m_routes)
        next.routes = *m_routes;
    if (m_pools)
        next.pools = *m_pools;
    next.routesVersion = m_routesVersion;
    next.poolsVersion = m_poolsVersion;
    for (auto it = m_keys.begin(); it != m_keys.end(); ++it) {
        for (const key_entry &each : it->second)
            next.keys[each.digest] = each;
        next.keysVersion = std::max(next.keysVersion, versionOf(it->first));
    }
    m_rejectionFindings.clear();
    for (auto it = m_findingsByObject.begin(); it != m_findingsByObject.end(); ++it)
        m_rejectionFindings.insert(m_rejectionFindings.end(), it->second.begin(), it->second.end());
    // The tables arrive independently. An unresolved reference between them is reported and the
    // requests that need it are refused, but neither table waits for the other.
    if (m_routes && m_pools) {
        const findings unresolved = checkPoolReferences(*m_routes, *m_pools, config_names::routes);
        m_rejectionFindings.insert(m_rejectionFindings.end(), unresolved.begin(), unresolved.end());
    }
    m_snapshot = std::make_shared<const configuration_snapshot>(std::move(next));
}

} // namespace trefoil
