#include "edge/object_applier.h"

#include <adapter/documents.h>
#include <adapter/store_client.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

/// Assumed age of target weights found at startup, which may have been set long ago: about half of
/// the time within which all servers must run them. Reports of other instances correct it.
constexpr duration assumedWeightsAge = std::chrono::seconds(5);

std::string nameWithoutKind(const std::string &name) { return name.substr(name.find('/') + 1); }

} // namespace

void object_applier::apply(const std::string &kind, const std::function<object_map()> &read)
{
    using applier = void (object_applier::*)(const object_map &);
    static const std::map<std::string, applier> appliers {
        {store_kinds::configuration, &object_applier::applyConfiguration},
        {store_kinds::servers, &object_applier::applyServers},
        {store_kinds::weights, &object_applier::applyWeights},
        {store_kinds::rollouts, &object_applier::applyRollouts},
        {store_kinds::instances, &object_applier::applyInstances},
    };
    const std::lock_guard<std::mutex> lock(m_mutex);
    (this->*appliers.at(kind))(read());
}

void object_applier::applyConfiguration(const object_map &objects)
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
                       .add("revision", found->second.version)
                       .add("reason", decoded.error().message));
        return;
    }
    const std::shared_ptr<const serving_tables> tables =
        std::make_shared<const serving_tables>(std::move(*decoded));
    if (!m_state.publish(tables))
        return;
    const timestamp now = boot_clock::now();
    m_state.with([&tables, now](routing_state &routing) {
        routing.balancer.setTables(*tables);
        for (auto it = tables->teams.begin(); it != tables->teams.end(); ++it) {
            if (it->second.rate > 0)
                routing.limits.setLimit(now, it->first, it->second.rate, it->second.burst);
        }
        routing.limits.keepOnly(tables->teams);
    });
    writeEvent(event_line("configuration", "in_force")
                   .add("version", tables->version)
                   .add("revision", found->second.version)
                   .add("routes", std::uint64_t {tables->routes.size()})
                   .add("teams", std::uint64_t {tables->teams.size()}));
    // Server entries of services that were unknown until now become usable.
    applyServers(object_map(m_servers));
}

void object_applier::applyServers(const object_map &objects)
{
    m_servers = objects;
    const std::shared_ptr<const serving_tables> tables = m_state.tables();
    std::vector<registered_server> servers;
    std::map<std::string, std::string, std::less<>> conditions;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const std::string id = nameWithoutKind(it->first);
        result<registered_server> server = decodeServer(id, it->second.value);
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
                           .add("revision", it->second.version)
                           .add("reason", server ? "" : server.error().message.c_str()));
        conditions[id] = std::move(condition);
        if (isServed)
            servers.push_back(std::move(*server));
    }
    for (auto it = m_serverConditions.begin(); it != m_serverConditions.end(); ++it) {
        if (!conditions.contains(it->first))
            writeEvent(event_line("servers", "server_gone").add("server", it->first));
    }
    m_serverConditions = std::move(conditions);
    m_state.with([&servers](routing_state &routing) { routing.balancer.setServers(servers); });
}

void object_applier::applyWeights(const object_map &objects)
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
                       .add("revision", it->second.version));
    }
}

void object_applier::applyRollouts(const object_map &objects)
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
                       .add("revision", it->second.version));
    }
}

void object_applier::applyInstances(const object_map &objects)
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
        routing.divideExtraRetries(m_state.settings(), entries.size());
        m_state.setLargeFleet(routing.members.isLarge());
    });
    writeEvent(event_line("members", "listed").add("instances", std::uint64_t {entries.size()}));
}

} // namespace trefoil
