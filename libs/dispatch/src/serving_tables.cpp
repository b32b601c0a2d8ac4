#include <dispatch/serving_tables.h>

#include <core/digest.h>
#include <http/message.h>

namespace trefoil {

const served_route *serving_tables::findRoute(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    const served_route *best = nullptr;
    for (const served_route &route : routes) {
        const bool isLonger = best == nullptr || route.pathPrefix.size() > best->pathPrefix.size();
        if (isLonger && path.starts_with(route.pathPrefix) && equalsIgnoringCase(route.host, name))
            best = &route;
    }
    return best;
}

const served_team *serving_tables::findTeam(std::string_view key) const
{
    const auto teamName = teamOfKey.find(std::string(key));
    if (teamName == teamOfKey.end())
        return nullptr;
    const auto found = teams.find(teamName->second);
    return found == teams.end() ? nullptr : &found->second;
}

void serving_tables::assignCacheGroups()
{
    digest128 isolatedTeams;
    for (auto it = teams.begin(); it != teams.end(); ++it) {
        if (it->second.isIsolated)
            isolatedTeams = digestOf(it->first, isolatedTeams);
    }
    sharedCacheGroup = isolatedTeams == digest128 {} ? "" : "+" + toHex(isolatedTeams);
    for (auto it = teams.begin(); it != teams.end(); ++it)
        it->second.cacheGroup =
            it->second.isIsolated ? privateCacheGroup(it->first) : sharedCacheGroup;
}

std::string privateCacheGroup(std::string_view team) { return "/" + std::string(team); }

const served_service *serving_tables::findService(std::string_view name) const
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

std::vector<cache_store> serving_tables::cacheStores() const
{
    std::vector<cache_store> stores;
    for (auto it = services.begin(); it != services.end(); ++it) {
        if (it->second.cacheStore)
            stores.push_back(*it->second.cacheStore);
    }
    return stores;
}

} // namespace trefoil
