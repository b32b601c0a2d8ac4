// What changes of the store's objects do to the state of the instance.

#include <algorithm>
#include <set>
#include <utility>

#include <adapter/documents.h>
#include <platform/store_version.h>
#include <telemetry/event_log.h>

#include "edge/store_watch.h"

namespace trefoil {

namespace {

/// Assumed age of target weights found at startup, which may have been set long ago: about half of
/// the time within which all servers must run them. Reports of other instances correct it.
constexpr duration assumedWeightsAge = std::chrono::seconds(5);

std::string nameWithoutKind(const std::string &name) { return name.substr(name.find('/') + 1); }

/// Fraction of what the platform tolerates beyond a limit that is used for what instances don't
/// know of each other. The rest covers instances that end without a last report.
constexpr double usableTolerance = 0.4;

team_limit limitOf(const served_team &team, const platform_settings &settings)
{
    const double inWindow = team.rate * toSeconds(settings.limitWindow) + team.burst;
    const double tokens = team.unit == limit_unit::Tokens ? settings.limitOverageTokens : 0;
    return {.rate = team.rate,
            .burst = team.burst,
            .tolerance = (inWindow * settings.limitOverage + tokens) * usableTolerance};
}

} // namespace

void store_watch::apply(const std::string &kind)
{
    using applier = void (store_watch::*)(const std::map<std::string, object, std::less<>> &);
    static const std::map<std::string, applier> appliers {
        {store_kinds::configuration, &store_watch::applyConfiguration},
        {store_kinds::servers, &store_watch::applyServers},
        {store_kinds::weights, &store_watch::applyWeights},
        {store_kinds::rollouts, &store_watch::applyRollouts},
        {store_kinds::instances, &store_watch::applyInstances},
        {store_kinds::evacuations, &store_watch::applyEvacuations},
    };
    const std::lock_guard<std::mutex> applyLock(m_applyMutex);
    std::map<std::string, object, std::less<>> objects;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        objects = m_kinds.find(kind)->second.mirror.objects();
    }
    (this->*appliers.at(kind))(objects);
    if (kind == store_kinds::configuration)
        updateConfigurationContact(boot_clock::now());
}

void store_watch::applyConfiguration(const std::map<std::string, object, std::less<>> &objects)
{
    const auto found = objects.find(store_kinds::newestConfiguration);
    if (found == objects.end())
        return;
    std::vector<std::string> dropped;
    result<serving_tables> decoded = decodeConfiguration(found->second.value, dropped);
    for (const std::string &reason : dropped)
        writeEvent(event_line("configuration", "entry_dropped").add("reason", reason));
    if (!decoded) {
        writeEvent(event_line("configuration", "rejected")
                       .add("revision", store_version::revision(found->second.version))
                       .add("reason", decoded.error().message));
        return;
    }
    const std::shared_ptr<const serving_tables> tables =
        std::make_shared<const serving_tables>(std::move(*decoded));
    if (!m_state.publish(tables))
        return;
    const timestamp now = boot_clock::now();
    m_state.with([&](routing_state &routing) {
        routing.balancer.setTables(*tables);
        for (auto it = tables->teams.begin(); it != tables->teams.end(); ++it) {
            if (it->second.rate > 0)
                routing.limits.setLimit(now, it->first, limitOf(it->second, m_state.settings()));
        }
        routing.limits.keepOnly(tables->teams);
    });
    writeEvent(event_line("configuration", "in_force")
                   .add("version", tables->version)
                   .add("revision", store_version::revision(found->second.version))
                   .add("routes", std::uint64_t {tables->routes.size()})
                   .add("teams", std::uint64_t {tables->teams.size()}));
    // Server entries of services that were unknown until now become usable.
    std::map<std::string, object, std::less<>> servers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        servers = m_kinds.find(store_kinds::servers)->second.mirror.objects();
    }
    applyServers(servers);
}

const result<registered_server> &store_watch::decodeIfChanged(const std::string &id,
                                                              const std::string &value)
{
    const auto known = m_decodedServers.find(id);
    if (known != m_decodedServers.end() && known->second.value == value)
        return known->second.server;
    decoded_server decoded {.value = value, .server = decodeServer(id, value)};
    if (decoded.server && !m_state.settings().hasContract(contracts::zoneEvacuation)) {
        // Heartbeats change nothing.
        decoded.server->coldLeft.reset();
        decoded.server->heartbeat = 0;
        decoded.server->isColdLeftInvalid = false;
    }
    if (decoded.server && decoded.server->isColdLeftInvalid)
        writeEvent(event_line("servers", "statement_invalid")
                       .add("server", id)
                       .add("field", "cold_left_ms"));
    return m_decodedServers.insert_or_assign(id, std::move(decoded)).first->second.server;
}

void store_watch::applyServers(const std::map<std::string, object, std::less<>> &objects)
{
    const std::shared_ptr<const serving_tables> tables = m_state.tables();
    std::vector<registered_server> servers;
    std::map<std::string, std::string, std::less<>> conditions;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const std::string id = nameWithoutKind(it->first);
        const result<registered_server> &server = decodeIfChanged(id, it->second.value);
        const bool isServed = server && tables && tables->findService(server->service) != nullptr;
        std::string condition = !server ? "unreadable"
            : !isServed                 ? "of an unknown service"
            : server->isLeaving         ? "leaving"
                                        : "ready";
        const auto before = m_serverConditions.find(id);
        if (before == m_serverConditions.end() || before->second != condition)
            writeEvent(event_line("servers", "server_seen")
                           .add("server", id)
                           .add("condition", condition)
                           .add("revision", store_version::revision(it->second.version))
                           .add("reason", server ? "" : server.error().message.c_str()));
        conditions[id] = std::move(condition);
        if (isServed)
            servers.push_back(*server);
    }
    std::erase_if(m_decodedServers,
                  [&conditions](const auto &each) { return !conditions.contains(each.first); });
    for (auto it = m_serverConditions.begin(); it != m_serverConditions.end(); ++it) {
        if (!conditions.contains(it->first))
            writeEvent(event_line("servers", "server_gone").add("server", it->first));
    }
    m_serverConditions = std::move(conditions);
    if (servers == m_appliedServers)
        return;
    m_appliedServers = std::move(servers);
    const timestamp now = boot_clock::now();
    m_state.with([&](routing_state &routing) {
        routing.balancer.setServers(m_appliedServers);
        routing.balancer.coldServers().setServers(now, wallMilliseconds(), m_appliedServers);
    });
    logUnknownZones();
}

void store_watch::applyWeights(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    const timestamp since = m_hasAppliedWeights ? now : now - assumedWeightsAge;
    m_hasAppliedWeights = true;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const result<target_weights> weights = decodeTargetWeights(it->second.value);
        if (!weights) {
            writeEvent(event_line("weights", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", weights.error().message));
            continue;
        }
        m_state.with([&weights, since](routing_state &routing) {
            routing.balancer.addTargetWeights(weights->model, weights->version, since);
        });
        writeEvent(event_line("weights", "named")
                       .add("model", weights->model)
                       .add("version", weights->version)
                       .add("revision", store_version::revision(it->second.version)));
    }
}

void store_watch::applyRollouts(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const result<rollout_request> request = decodeRollout(it->second.value, it->second.status);
        if (!request) {
            writeEvent(event_line("rollout", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", request.error().message));
            continue;
        }
        m_state.with([&request, now](routing_state &routing) {
            routing.releases.setRequest(now, request->service, *request);
        });
        writeEvent(event_line("rollout", "requested")
                       .add("service", request->service)
                       .add("release", request->release)
                       .add("seconds", toSeconds(request->rampTime))
                       .add("revision", store_version::revision(it->second.version)));
    }
}

void store_watch::applyEvacuations(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    std::vector<std::string> zones;
    for (auto it = objects.begin(); it != objects.end(); ++it)
        zones.push_back(nameWithoutKind(it->first));
    const zone_evacuations::changes changed = m_state.with(
        [&](routing_state &routing) { return routing.balancer.setEvacuatedZones(now, zones); });
    m_state.setEvacuationsKnown();
    m_state.metrics().gaugeOf("trefoil_zones_evacuated").set(static_cast<double>(zones.size()));
    for (const std::string &zone : changed.started) {
        const auto found = objects.find(store_kinds::evacuations + zone);
        writeEvent(event_line("zones", "evacuation_started")
                       .add("zone", zone)
                       .add("revision", store_version::revision(found->second.version)));
    }
    for (const std::string &zone : changed.ended)
        writeEvent(event_line("zones", "evacuation_ended").add("zone", zone));
    logUnknownZones();
}

void store_watch::logUnknownZones()
{
    std::set<std::string, std::less<>> known {m_state.settings().zone};
    for (const registered_server &server : m_appliedServers)
        known.insert(server.zone);
    // Without a list of servers no other zone is known yet.
    if (m_appliedServers.empty())
        return;
    const std::vector<std::string> unknown = m_state.with([&](routing_state &routing) {
        for (const member_entry &member : routing.members.others())
            known.insert(member.zone);
        return routing.balancer.evacuations().takeUnknown(known);
    });
    for (const std::string &zone : unknown)
        writeEvent(event_line("zones", "evacuation_of_unknown_zone").add("zone", zone));
}

void store_watch::applyInstances(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    std::vector<member_entry> entries;
    std::vector<std::string> names;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        result<member_entry> entry = decodeMember(nameWithoutKind(it->first), it->second.value);
        if (!entry) {
            writeEvent(event_line("members", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", entry.error().message));
            continue;
        }
        if (entry->name != m_state.settings().name)
            names.push_back(entry->name);
        entries.push_back(std::move(*entry));
    }
    m_state.with([&](routing_state &routing) {
        routing.members.setListed(now, entries);
        routing.limits.setPeers(now, names);
        routing.balancer.statements().requests().setPeers(now, names);
        routing.balancer.coldServers().setPeers(now, names);
        routing.divideExtraRetries(m_state.settings(), entries.size());
    });
    writeEvent(event_line("members", "listed").add("instances", std::uint64_t {entries.size()}));
}

} // namespace trefoil
