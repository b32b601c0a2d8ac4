#include <control/control_node.h>

#include "control_names.h"

#include <algorithm>
#include <array>

namespace trefoil {

namespace {

/// Active versions of routes, pools and keys on one instance, in this order.
using config_versions = std::array<std::uint64_t, 3>;

constexpr std::array<const char *, 3> versionNames {"routes", "pools", "keys"};
constexpr std::array<const char *, 3> stateNames {"alive", "suspect", "dead"};

config_versions activeVersionsOf(const rumor_store &rumors, const std::string &instance)
{
    config_versions versions {};
    const rumor *known = rumors.find(topics::activeVersions, instance);
    if (known && !parseIntegers(known->payload, versions))
        versions = {};
    return versions;
}

} // namespace

Json::Value control_node::status(timestamp now)
{
    Json::Value report(Json::objectValue);
    report["instance"] = m_options.self.name;
    report["members"] = reportMembers();
    report["configuration"] = reportVersions();
    report["findings"] = Json::Value(Json::arrayValue);
    for (const finding &item : m_configuration.rejectionFindings())
        report["findings"].append(toString(item));
    report["limit_owners"] = Json::Value(Json::objectValue);
    for (const team &each : m_activeConfiguration->routes.teams) {
        const std::optional<lease_record> record =
            m_leases.record(shardKey(each.name, m_options.limitShards));
        report["limit_owners"][each.name] = record ? record->owner : "";
    }
    report["rollouts"] = reportRollouts();
    report["attached"] = m_snapshot.attached;
    report["rights_held"] = Json::Value(Json::arrayValue);
    for (const std::string &key : allLeaseKeys(m_options.limitShards)) {
        if (m_leases.holds(now, key))
            report["rights_held"].append(key);
    }
    return report;
}

Json::Value control_node::reportMembers() const
{
    Json::Value list(Json::arrayValue);
    for (const member &each : m_members.members()) {
        Json::Value entry(Json::objectValue);
        entry["name"] = each.info.name;
        entry["zone"] = each.info.zone;
        entry["callers"] = each.info.callers;
        entry["state"] =
            each.info.leaving ? "leaving" : stateNames[static_cast<std::size_t>(each.state)];
        const config_versions active = activeVersionsOf(m_members.rumors(), each.info.name);
        for (std::size_t i = 0; i < active.size(); ++i)
            entry[versionNames[i]] = Json::UInt64(active[i]);
        list.append(std::move(entry));
    }
    return list;
}

Json::Value control_node::reportVersions() const
{
    const config_versions own {m_activeConfiguration->routesVersion,
                               m_activeConfiguration->poolsVersion,
                               m_activeConfiguration->keysVersion};
    Json::Value report(Json::objectValue);
    for (std::size_t i = 0; i < own.size(); ++i) {
        std::uint64_t lowest = own[i];
        std::uint64_t highest = own[i];
        std::map<std::string, std::uint64_t> versionByInstance;
        for (const member &each : m_members.members()) {
            const std::uint64_t version = activeVersionsOf(m_members.rumors(), each.info.name)[i];
            versionByInstance[each.info.name] = version;
            lowest = std::min(lowest, version);
            highest = std::max(highest, version);
        }
        Json::Value &entry = report[versionNames[i]];
        entry["newest"] = Json::UInt64(highest);
        entry["in_force_everywhere"] = Json::UInt64(lowest);
        entry["lagging"] = Json::Value(Json::arrayValue);
        for (auto it = versionByInstance.begin(); it != versionByInstance.end(); ++it) {
            if (it->second < highest)
                entry["lagging"].append(it->first);
        }
    }
    return report;
}

Json::Value control_node::reportRollouts() const
{
    Json::Value report(Json::objectValue);
    for (auto it = m_rolloutCoordinator.records().begin();
         it != m_rolloutCoordinator.records().end(); ++it) {
        const rollout_record &record = it->second.second;
        Json::Value &entry = report[it->first];
        entry["from"] = record.from;
        entry["to"] = record.to;
        entry["stage"] = std::string(toString(record.stage));
        entry["share"] = record.share;
        entry["reason"] = record.reason;
    }
    return report;
}

} // namespace trefoil
