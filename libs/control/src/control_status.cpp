#include <control/control_node.h>

#include "control_names.h"

#include <algorithm>
#include <array>

namespace trefoil {

namespace {

/// Versions of routes, pools and keys that an instance has in force, in this order.
using version_triple = std::array<std::uint64_t, 3>;

constexpr std::array<const char *, 3> versionNames {"routes", "pools", "keys"};
constexpr std::array<const char *, 3> stateNames {"alive", "suspect", "dead"};

version_triple versionsOf(const rumor_store &rumors, const std::string &instance)
{
    version_triple held {};
    const rumor *known = rumors.find(topics::inForce, instance);
    if (known && !parseNumbers(known->payload, held))
        held = {};
    return held;
}

} // namespace

Json::Value control_node::status(timestamp now)
{
    Json::Value report(Json::objectValue);
    report["instance"] = m_options.self.name;
    report["members"] = reportMembers();
    report["configuration"] = reportVersions();
    report["findings"] = Json::Value(Json::arrayValue);
    for (const finding &item : m_configuration.refused())
        report["findings"].append(toString(item));
    report["limit_owners"] = Json::Value(Json::objectValue);
    for (const team &each : m_inForce->routes.teams) {
        const std::optional<lease_record> record =
            m_leases.record(shardKey(each.name, m_options.limitShards));
        report["limit_owners"][each.name] = record ? record->owner : "";
    }
    report["rollouts"] = reportRollouts();
    report["attached"] = m_snapshot.attached;
    report["rights_held"] = Json::Value(Json::arrayValue);
    for (const std::string &key : allRights(m_options.limitShards)) {
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
        const version_triple held = versionsOf(m_members.rumors(), each.info.name);
        for (std::size_t i = 0; i < held.size(); ++i)
            entry[versionNames[i]] = Json::UInt64(held[i]);
        list.append(std::move(entry));
    }
    return list;
}

Json::Value control_node::reportVersions() const
{
    const version_triple own {m_inForce->routesVersion, m_inForce->poolsVersion,
                              m_inForce->keysVersion};
    Json::Value report(Json::objectValue);
    for (std::size_t i = 0; i < own.size(); ++i) {
        std::uint64_t lowest = own[i];
        std::uint64_t highest = own[i];
        std::map<std::string, std::uint64_t> held;
        for (const member &each : m_members.members()) {
            const std::uint64_t version = versionsOf(m_members.rumors(), each.info.name)[i];
            held[each.info.name] = version;
            lowest = std::min(lowest, version);
            highest = std::max(highest, version);
        }
        Json::Value &entry = report[versionNames[i]];
        entry["newest"] = Json::UInt64(highest);
        entry["in_force_everywhere"] = Json::UInt64(lowest);
        entry["lagging"] = Json::Value(Json::arrayValue);
        for (auto it = held.begin(); it != held.end(); ++it) {
            if (it->second < highest)
                entry["lagging"].append(it->first);
        }
    }
    return report;
}

Json::Value control_node::reportRollouts() const
{
    Json::Value report(Json::objectValue);
    for (auto it = m_rollouts.records().begin(); it != m_rollouts.records().end(); ++it) {
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
