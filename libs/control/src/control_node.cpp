#include <control/control_node.h>

#include "control_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

#include <control/discovery.h>
#include <core/json.h>
#include <core/rendezvous.h>

namespace trefoil {

namespace {

constexpr const char *limitsPrefix = "limits/";
constexpr const char *rolloutLeasePrefix = "rollouts/";
constexpr const char *rolloutStatePrefix = "rollout-state/";
constexpr const char *statusObjectName = "status/fleet";

/// An instance that got no answer from the platform for this long must reach a majority of its
/// peers to count as attached.
constexpr duration platformSilenceTimeout = std::chrono::seconds(15);

/// An instance that got no answer from any peer or the platform for this long may miss that a key
/// was withdrawn.
constexpr duration isolationTimeout = std::chrono::seconds(4);

constexpr duration fleetUpdatePeriod = std::chrono::milliseconds(100);
constexpr duration pollPeriod = std::chrono::seconds(1);
constexpr duration outcomePublishPeriod = std::chrono::milliseconds(300);
constexpr duration statusPeriod = std::chrono::seconds(10);

/// Delay between two attempts to fetch a configuration object.
constexpr duration fetchRetryInterval = std::chrono::milliseconds(100);
/// Number of attempts with random peers before the announcing instance is asked, so that not all
/// instances ask it at once.
constexpr int maxRandomPeerFetches = 3;
/// Number of attempts with peers before the platform is asked.
constexpr int maxPeerFetches = 6;

/// Instances per zone that watch the configuration: two, so that one may fail.
constexpr std::size_t watchersPerZone = 2;

std::string stripPrefix(const std::string &name, std::string_view prefix)
{
    return name.substr(prefix.size());
}

write_outcome outcomeOf(const result<std::uint64_t> &answer)
{
    if (answer)
        return write_outcome::Done;
    if (answer.error().code == platform_errors::conflict)
        return write_outcome::Conflict;
    if (answer.error().code == platform_errors::unknownOutcome)
        return write_outcome::Unknown;
    return write_outcome::Refused;
}

std::string encodeOutcomes(const outcome_counts &counts, std::uint64_t incarnation)
{
    return std::to_string(incarnation) + "," + std::to_string(counts.requests) + ","
        + std::to_string(counts.failures) + "," + std::to_string(counts.slow);
}

} // namespace

control_node::control_node(control_options options, timestamp now)
    : m_options(std::move(options)), m_random(m_options.randomSeed),
      m_members({.self = m_options.self,
                 .seeds = m_options.seeds,
                 .randomSeed = m_options.randomSeed + 1,
                 .urgentTopics = {topics::config, topics::lease, topics::rollout, topics::crash,
                                  topics::evidence}}),
      m_leases({.self = m_options.self.name,
                .zone = m_options.self.zone,
                .keys = allLeaseKeys(m_options.limitShards)},
               now),
      m_limits({.self = m_options.self.name, .shards = m_options.limitShards}, m_leases),
      m_requestCoordinator(m_limits, m_options.self.name, m_options.self.zone,
                           m_options.self.incarnation, m_options.randomSeed + 2),
      m_rolloutCoordinator(m_leases),
      m_platformReads({config_names::prefix, limitsPrefix, rolloutLeasePrefix, rolloutStatePrefix},
                      m_options.randomSeed)
{
    m_snapshot.limitShards = m_options.limitShards;
    m_activeConfiguration = m_configuration.snapshot();
}

void control_node::sendPeer(std::string to, peer_request request, peer_call_context context)
{
    const std::uint64_t id = m_nextId++;
    m_peerCalls[id] = std::move(context);
    m_actions.push_back(peer_send {.id = id, .to = std::move(to), .request = std::move(request)});
}

void control_node::callPlatform(platform_request request, platform_call_context context)
{
    const std::uint64_t id = m_nextId++;
    m_platformCalls[id] = std::move(context);
    m_actions.push_back(platform_call {.id = id, .request = std::move(request)});
}

std::string control_node::peerAddress(const std::string &name) const
{
    const std::optional<member> found = m_members.find(name);
    return found ? found->info.peers : std::string();
}

void control_node::tick(timestamp now, std::uint64_t wallMilliseconds)
{
    m_wallMilliseconds = std::max(m_wallMilliseconds, wallMilliseconds);
    tickMembership(now);
    tickPlatformReads(now);
    tickLeases(now);
    tickLimits(now);
    tickFetches(now);
    tickPolls(now);
    tickRollouts(now);
    publishOutcomes(now);
    tickStatus(now);
    flushRequestResults(now);
    if (m_snapshotDirty)
        publishSnapshot();
}

void control_node::tickMembership(timestamp now)
{
    for (gossip_call &call : m_members.tick(now)) {
        const auto toPeer = [](auto &&request) -> peer_request {
            return std::forward<decltype(request)>(request);
        };
        sendPeer(std::move(call.to), std::visit(toPeer, std::move(call.request)),
                 gossip_context {.id = call.id});
    }
    for (const std::pair<std::uint64_t, bool> &relayed : m_members.takeFinishedRelays())
        m_actions.push_back(peer_reply {.token = relayed.first,
                                        .answer = gossip_relayed {.reached = relayed.second}});
    for (const rumor &item : m_members.takeUpdates())
        onRumor(now, item);
    if (now < m_nextFleetUpdate)
        return;
    m_nextFleetUpdate = now + fleetUpdatePeriod;
    updateConnectivity(now);
    lease_fleet fleet {.usable = {}, .known = m_listedInstances, .attached = m_snapshot.attached};
    const std::vector<member> members = m_members.members();
    for (const member &each : members) {
        if (each.state == member_state::Alive && !each.info.leaving)
            fleet.usable.push_back({.name = each.info.name, .zone = each.info.zone});
        fleet.known.push_back(each.info.name);
    }
    m_leases.setFleet(now, std::move(fleet));
    if (members != m_snapshot.members) {
        m_isWatcher = isWatcher();
        m_snapshot.members = members;
        m_snapshotDirty = true;
    }
}

bool control_node::seesMajority() const
{
    const std::vector<member> members = m_members.members();
    std::set<std::string> fleet(m_listedInstances.begin(), m_listedInstances.end());
    if (m_listedInstances.empty()) {
        for (const member &each : members)
            fleet.insert(each.info.name);
    }
    std::size_t reached = 0;
    for (const member &each : members) {
        const bool isSelf = each.info.name == m_options.self.name;
        if ((each.state == member_state::Alive || isSelf) && fleet.contains(each.info.name))
            ++reached;
    }
    return reached * 2 > fleet.size();
}

void control_node::updateConnectivity(timestamp now)
{
    const bool isAlone = m_members.members().size() <= 1;
    const bool hasRecentPeerAnswer =
        isAlone || (m_lastPeerAnswer && now - *m_lastPeerAnswer <= isolationTimeout);
    const bool attached = m_platformReads.succeededWithin(now, isolationTimeout)
        || (hasRecentPeerAnswer
            && (seesMajority() || m_platformReads.succeededWithin(now, platformSilenceTimeout)));
    if (attached != m_snapshot.attached) {
        m_snapshot.attached = attached;
        m_snapshotDirty = true;
    }
}

void control_node::tickPlatformReads(timestamp now)
{
    for (const platform_read_scheduler::due_read &due : m_platformReads.tick(now, m_isWatcher)) {
        const scheduled_read_context context {.kind = due.kind, .prefix = due.prefix};
        switch (due.kind) {
        case platform_read_scheduler::read_kind::Objects:
            callPlatform(platform_list {.prefix = due.prefix}, context);
            break;
        case platform_read_scheduler::read_kind::Watch:
            callPlatform(
                platform_watch {.prefix = due.prefix, .from = due.from, .maxWait = due.maxWait},
                context);
            break;
        case platform_read_scheduler::read_kind::Instances:
            callPlatform(platform_list_instances {}, context);
            break;
        }
    }
}

void control_node::tickLeases(timestamp now)
{
    for (lease_action &action : m_leases.tick(now)) {
        if (confirm_call *call = std::get_if<confirm_call>(&action)) {
            const std::string address = peerAddress(call->to);
            if (address.empty())
                m_leases.onFailure(now, call->id, false);
            else
                sendPeer(address, std::move(call->request), lease_context {.id = call->id});
        } else if (record_write *write = std::get_if<record_write>(&action)) {
            callPlatform(platform_put {.name = write->key,
                                       .value = toText(write->record),
                                       .expected = write->expected},
                         lease_write_context {.key = write->key});
        } else {
            const std::string &key = std::get<record_read>(action).key;
            // No single reads before the initial lists are loaded: these return the records of all
            // leases in one call per prefix.
            if (m_platformReads.hasLoadedAll())
                callPlatform(platform_get {.name = key}, lease_read_context {.key = key});
        }
    }
    flushLeaseEvents(now);
}

void control_node::flushLeaseEvents(timestamp now)
{
    for (const lease_event &event : m_leases.takeEvents()) {
        m_limits.onLease(now, event);
        if (event.kind != lease_event::change::RecordChanged)
            continue;
        m_members.publish({.topic = topics::lease,
                           .key = event.key,
                           .version = event.version,
                           .payload = toText(event.record)});
        if (event.key.starts_with(limitsPrefix)) {
            m_snapshot.shardOwners[event.key] = event.record.owner;
            m_snapshotDirty = true;
        }
    }
}

void control_node::tickLimits(timestamp now)
{
    for (grant_call &call : m_limits.tick(now)) {
        const std::string address = peerAddress(call.to);
        if (address.empty())
            m_limits.onFailure(now, call.id);
        else
            sendPeer(address, std::move(call.request), grant_context {.id = call.id});
    }
    m_requestCoordinator.processAdmissions(now);
}

void control_node::tickFetches(timestamp now)
{
    for (auto it = m_fetches.begin(); it != m_fetches.end();) {
        pending_fetch &fetch = it->second;
        if (m_configuration.isProcessed(it->first, fetch.version)) {
            it = m_fetches.erase(it);
            continue;
        }
        if (fetch.inFlight || now < fetch.nextAttempt) {
            ++it;
            continue;
        }
        std::vector<std::string> peers;
        for (const member &each : m_members.members()) {
            if (each.state == member_state::Alive && each.info.name != m_options.self.name)
                peers.push_back(each.info.peers);
        }
        const std::string origin = peerAddress(fetch.origin);
        ++fetch.attempts;
        fetch.inFlight = true;
        const bool askPlatform = peers.empty() || fetch.attempts > maxPeerFetches;
        if (askPlatform) {
            fetch.attempts = 0;
            callPlatform(platform_get {.name = it->first}, object_read_context {});
            fetch.inFlight = false;
            fetch.nextAttempt = now + std::chrono::seconds(1);
        } else {
            const bool askOrigin = fetch.attempts > maxRandomPeerFetches && !origin.empty();
            const std::string to = askOrigin ? origin : peers[m_random() % peers.size()];
            sendPeer(to, config_fetch {.name = it->first}, fetch_context {.name = it->first});
        }
        ++it;
    }
}

void control_node::tickPolls(timestamp now)
{
    for (const pool &poolConfig : m_activeConfiguration->pools.pools) {
        if (poolConfig.kind != pool_kind::Engine)
            continue;
        for (const backend_server &each : poolConfig.servers) {
            if (m_pollsInFlight.contains(each.name) || now < m_nextPoll[each.name])
                continue;
            m_nextPoll[each.name] = now + pollPeriod;
            m_pollsInFlight.insert(each.name);
            m_actions.push_back(server_poll {.server = each.name,
                                             .address = each.address,
                                             .credential = poolConfig.credential,
                                             .fromSequence = m_eventSequences[each.name]});
        }
    }
}

void control_node::tickRollouts(timestamp now)
{
    m_rolloutCoordinator.tick(now, static_cast<std::int64_t>(m_wallMilliseconds / 1000),
                              m_requestCoordinator);
    for (const rollout_write &write : m_rolloutCoordinator.takeWrites())
        callPlatform(platform_put {.name = rolloutStatePrefix + write.pool,
                                   .value = toText(write.record),
                                   .expected = write.expected},
                     rollout_write_context {.pool = write.pool});
    for (server_order &order : m_rolloutCoordinator.takeOrders()) {
        const std::uint64_t id = m_nextId++;
        m_pendingOrders[id] = order;
        m_actions.push_back(server_order_call {.id = id, .order = std::move(order)});
    }
}

void control_node::publishOutcomes(timestamp now)
{
    if (now < m_nextOutcomePublish)
        return;
    m_nextOutcomePublish = now + outcomePublishPeriod;
    for (const std::pair<const request_coordinator::outcome_key, outcome_counts> &each :
         m_requestCoordinator.localOutcomes()) {
        // Other instances need these outcomes only to evaluate a rollout.
        const pool *poolConfig = m_activeConfiguration->pools.findPool(each.first.pool);
        outcome_counts &published = m_publishedOutcomes[each.first];
        if (!poolConfig || !poolConfig->rollout || published == each.second)
            continue;
        published = each.second;
        m_members.publish({.topic = topics::evidence,
                           .key = each.first.pool + "|" + each.first.version + "|"
                               + each.first.route + "|" + m_options.self.name,
                           .version = nextRumorVersion(),
                           .payload = encodeOutcomes(each.second, m_members.self().incarnation)});
    }
}

void control_node::tickStatus(timestamp now)
{
    if (now < m_nextStatus || m_statusCallInFlight || !m_platformReads.hasLoadedAll())
        return;
    m_nextStatus = now + statusPeriod;
    if (!isResponsibleFor("status") || m_members.self().leaving)
        return;
    m_statusCallInFlight = true;
    if (!m_statusVersionKnown) {
        callPlatform(platform_get {.name = statusObjectName}, status_context {.isRead = true});
        return;
    }
    Json::Value report = status(now);
    // The stored report describes the fleet, so fields about the writing instance are removed.
    for (const char *field : {"instance", "attached", "rights_held"})
        report.removeMember(field);
    const std::string text = writeJson(report);
    if (text == m_lastStatusText) {
        m_statusCallInFlight = false;
        return;
    }
    m_lastStatusText = text;
    callPlatform(
        platform_put {.name = statusObjectName, .value = text, .expected = m_statusVersion},
        status_context {});
}

void control_node::flushRequestResults(timestamp now)
{
    m_requestCoordinator.processAdmissions(now);
    for (const claim_call &call : m_requestCoordinator.takeClaimCalls()) {
        const claim_context context {.kind = call.kind, .id = call.id};
        if (call.kind == claim_call::operation::Read)
            callPlatform(platform_get {.name = call.name}, context);
        else
            callPlatform(
                platform_put {.name = call.name, .value = call.text, .expected = call.expected},
                context);
    }
    for (const crash_notice &notice : m_requestCoordinator.takeCrashNotices())
        m_members.publish({.topic = topics::crash,
                           .key = notice.event,
                           .version = 1,
                           .payload = toHex(notice.body)});
    for (request_decision &decision : m_requestCoordinator.takeDecisions())
        m_actions.push_back(std::move(decision));
}

std::optional<peer_answer> control_node::onPeerRequest(timestamp now, std::uint64_t token,
                                                       const peer_request &request)
{
    if (const confirm_request *confirm = std::get_if<confirm_request>(&request))
        return m_leases.onRequest(now, *confirm);
    if (const grant_request *grant = std::get_if<grant_request>(&request))
        return m_limits.onRequest(now, *grant);
    if (const config_fetch *fetch = std::get_if<config_fetch>(&request)) {
        const object *found = m_configuration.find(fetch->name);
        return found ? *found : object {.name = fetch->name};
    }
    gossip_request inner;
    if (const gossip_ping *ping = std::get_if<gossip_ping>(&request))
        inner = *ping;
    else if (const gossip_relay *relay = std::get_if<gossip_relay>(&request))
        inner = *relay;
    else
        inner = std::get<gossip_sync>(request);
    const std::optional<gossip_answer> answer = m_members.onRequest(now, inner, token);
    for (const rumor &item : m_members.takeUpdates())
        onRumor(now, item);
    if (!answer)
        return std::nullopt;
    if (const gossip_ack *ack = std::get_if<gossip_ack>(&*answer))
        return *ack;
    return std::get<gossip_relayed>(*answer);
}

void control_node::onPeerAnswer(timestamp now, std::uint64_t id, const peer_answer &answer)
{
    const auto found = m_peerCalls.find(id);
    if (found == m_peerCalls.end())
        return;
    const peer_call_context context = std::move(found->second);
    m_peerCalls.erase(found);
    m_lastPeerAnswer = now;
    if (const gossip_context *gossip = std::get_if<gossip_context>(&context)) {
        if (const gossip_ack *ack = std::get_if<gossip_ack>(&answer))
            m_members.onAnswer(now, gossip->id, *ack);
        else if (const gossip_relayed *relayed = std::get_if<gossip_relayed>(&answer))
            m_members.onAnswer(now, gossip->id, *relayed);
        for (const rumor &item : m_members.takeUpdates())
            onRumor(now, item);
    } else if (const lease_context *lease = std::get_if<lease_context>(&context)) {
        if (const confirm_answer *confirmed = std::get_if<confirm_answer>(&answer))
            m_leases.onAnswer(now, lease->id, *confirmed);
    } else if (const grant_context *grant = std::get_if<grant_context>(&context)) {
        if (const grant_answer *granted = std::get_if<grant_answer>(&answer))
            m_limits.onAnswer(now, grant->id, *granted);
        flushRequestResults(now);
    } else if (const fetch_context *fetch = std::get_if<fetch_context>(&context)) {
        const auto pending = m_fetches.find(fetch->name);
        if (pending != m_fetches.end()) {
            pending->second.inFlight = false;
            pending->second.nextAttempt = now + fetchRetryInterval;
        }
        if (const object *item = std::get_if<object>(&answer))
            applyObject(now, *item);
    }
}

void control_node::onPeerFailure(timestamp now, std::uint64_t id, bool connectionRefused)
{
    const auto found = m_peerCalls.find(id);
    if (found == m_peerCalls.end())
        return;
    const peer_call_context context = std::move(found->second);
    m_peerCalls.erase(found);
    if (const gossip_context *gossip = std::get_if<gossip_context>(&context)) {
        m_members.onFailure(now, gossip->id);
    } else if (const lease_context *lease = std::get_if<lease_context>(&context)) {
        m_leases.onFailure(now, lease->id, connectionRefused);
    } else if (const grant_context *grant = std::get_if<grant_context>(&context)) {
        m_limits.onFailure(now, grant->id);
    } else if (const fetch_context *fetch = std::get_if<fetch_context>(&context)) {
        const auto pending = m_fetches.find(fetch->name);
        if (pending != m_fetches.end()) {
            pending->second.inFlight = false;
            pending->second.nextAttempt = now + fetchRetryInterval;
        }
    }
}

void control_node::onRumor(timestamp now, const rumor &item)
{
    if (item.topic == topics::config) {
        pending_fetch &fetch = m_fetches[item.key];
        if (item.version > fetch.version)
            fetch = {.version = item.version, .origin = item.payload, .nextAttempt = now};
    } else if (item.topic == topics::lease) {
        m_leases.onRecord(now, item.key, item.version, leaseRecordFromText(item.payload));
        flushLeaseEvents(now);
    } else if (item.topic == topics::rollout) {
        const std::optional<rollout_record> record = rolloutRecordFromText(item.payload);
        if (record && m_rolloutCoordinator.onRecord(item.key, item.version, *record))
            m_requestCoordinator.setRollout(item.key, *record);
    } else if (item.topic == topics::crash) {
        digest128 body;
        if (fromHex(item.payload, body))
            m_requestCoordinator.onRemoteCrash(now, {.body = body, .event = item.key});
    } else if (item.topic == topics::evidence) {
        onOutcomesRumor(item);
    }
}

void control_node::onOutcomesRumor(const rumor &item)
{
    // Key: pool|version|route|instance. Payload: incarnation,requests,failures,slow.
    std::array<std::string, 4> parts;
    std::size_t index = 0;
    for (const char c : item.key) {
        if (c == '|')
            ++index;
        else if (index < parts.size())
            parts[index] += c;
    }
    std::array<std::uint64_t, 4> numbers {};
    if (index != 3 || !parseIntegers(item.payload, numbers))
        return;
    // Counts restart at zero with the instance, so the last value is kept per incarnation.
    outcome_counts &seen = m_seenOutcomes[item.key + "|" + std::to_string(numbers[0])];
    const outcome_counts current {
        .requests = numbers[1], .failures = numbers[2], .slow = numbers[3]};
    if (current.requests < seen.requests)
        return;
    m_requestCoordinator.addRemoteOutcomes(
        parts[0], parts[1], parts[2],
        {.requests = current.requests - seen.requests,
         .failures = current.failures - std::min(seen.failures, current.failures),
         .slow = current.slow - std::min(seen.slow, current.slow),
         .timed = current.requests - seen.requests});
    seen = current;
}

void control_node::applyObjects(timestamp now, const std::vector<object> &items)
{
    for (const object &item : items)
        applyObject(now, item);
}

void control_node::applyObject(timestamp now, const object &item)
{
    if (item.version == 0)
        return;
    if (item.name.starts_with(limitsPrefix) || item.name.starts_with(rolloutLeasePrefix)) {
        m_leases.onRecord(now, item.name, item.version, leaseRecordFromText(item.value));
        flushLeaseEvents(now);
        return;
    }
    if (item.name.starts_with(rolloutStatePrefix)) {
        const std::string pool = stripPrefix(item.name, rolloutStatePrefix);
        const std::optional<rollout_record> record = rolloutRecordFromText(item.value);
        if (record && m_rolloutCoordinator.onRecord(pool, item.version, *record))
            m_requestCoordinator.setRollout(pool, *record);
        return;
    }
    if (!item.name.starts_with(config_names::prefix)
        || m_configuration.isProcessed(item.name, item.version))
        return;
    // Only valid objects are announced: peers can't use a rejected one.
    if (m_configuration.apply(item))
        m_members.publish({.topic = topics::config,
                           .key = item.name,
                           .version = item.version,
                           .payload = m_options.self.name});
    m_activeConfiguration = m_configuration.snapshot();
    m_snapshot.configuration = m_activeConfiguration;
    m_snapshot.ready = m_configuration.isComplete();
    m_snapshotDirty = true;
    m_requestCoordinator.setConfiguration(now, m_activeConfiguration);
    m_rolloutCoordinator.setConfiguration(m_activeConfiguration);
    publishActiveVersions();
}

void control_node::publishActiveVersions()
{
    m_members.publish({.topic = topics::activeVersions,
                       .key = m_options.self.name,
                       .version = nextRumorVersion(),
                       .payload = std::to_string(m_activeConfiguration->routesVersion) + ","
                           + std::to_string(m_activeConfiguration->poolsVersion) + ","
                           + std::to_string(m_activeConfiguration->keysVersion)});
}

std::uint64_t control_node::nextRumorVersion()
{
    // Exceeds every version that an earlier incarnation published, unless the wall clock was set
    // back by more than the downtime of the instance.
    m_rumorVersion = std::max(m_rumorVersion + 1, m_wallMilliseconds);
    return m_rumorVersion;
}

void control_node::onPlatformAnswer(timestamp now, std::uint64_t id, const platform_answer &answer)
{
    const auto found = m_platformCalls.find(id);
    if (found == m_platformCalls.end())
        return;
    const platform_call_context context = std::move(found->second);
    m_platformCalls.erase(found);
    const bool success = std::visit([](const auto &each) { return each.has_value(); }, answer);
    if (success)
        m_platformReads.recordSuccess(now);
    if (const scheduled_read_context *scheduled = std::get_if<scheduled_read_context>(&context)) {
        onScheduledRead(now, *scheduled, answer);
        return;
    }
    if (const result<std::uint64_t> *written = std::get_if<result<std::uint64_t>>(&answer)) {
        onWriteAnswer(now, context, *written);
        return;
    }
    const result<object> *read = std::get_if<result<object>>(&answer);
    if (!read)
        return;
    const bool isAbsent = !*read && read->error().code == platform_errors::notFound;
    if (const lease_read_context *lease = std::get_if<lease_read_context>(&context)) {
        if (*read)
            applyObject(now, **read);
        else if (isAbsent)
            m_leases.onRecord(now, lease->key, 0, std::nullopt);
    } else if (const claim_context *claimed = std::get_if<claim_context>(&context)) {
        m_requestCoordinator.onClaimRead(now, claimed->id, *read);
        flushRequestResults(now);
    } else if (std::holds_alternative<status_context>(context)) {
        m_statusCallInFlight = false;
        m_statusVersionKnown = read->has_value() || isAbsent;
        m_statusVersion = *read ? (*read)->version : 0;
        m_nextStatus = now;
    } else if (*read) {
        applyObject(now, **read);
    }
}

void control_node::onScheduledRead(timestamp now, const scheduled_read_context &context,
                                   const platform_answer &answer)
{
    bool success = false;
    std::uint64_t upToVersion = 0;
    if (const result<std::vector<object>> *listed =
            std::get_if<result<std::vector<object>>>(&answer)) {
        success = listed->has_value();
        if (success) {
            applyObjects(now, **listed);
            for (const object &item : **listed)
                upToVersion = std::max(upToVersion, item.version);
        }
    } else if (const result<object_changes> *watched =
                   std::get_if<result<object_changes>>(&answer)) {
        success = watched->has_value();
        if (success) {
            applyObjects(now, (*watched)->changed);
            upToVersion = (*watched)->upToVersion;
        }
    } else if (const result<std::vector<listed_instance>> *instances =
                   std::get_if<result<std::vector<listed_instance>>>(&answer)) {
        success = instances->has_value();
        if (success) {
            m_listedInstances.clear();
            for (const listed_instance &each : **instances)
                m_listedInstances.push_back(each.name);
        }
    }
    m_platformReads.onDone(now, context.kind, context.prefix, success, upToVersion);
    if (!success || context.kind != platform_read_scheduler::read_kind::Objects)
        return;
    // A lease that is missing in the list has no record yet.
    if (context.prefix == limitsPrefix || context.prefix == rolloutLeasePrefix) {
        for (const std::string &key : allLeaseKeys(m_options.limitShards)) {
            if (key.starts_with(context.prefix) && !m_leases.record(key))
                m_leases.onRecord(now, key, 0, std::nullopt);
        }
    }
    if (context.prefix == rolloutStatePrefix)
        m_rolloutCoordinator.onRecordsLoaded();
}

void control_node::onWriteAnswer(timestamp now, const platform_call_context &context,
                                 const result<std::uint64_t> &answer)
{
    const std::uint64_t version = answer.value_or(0);
    const write_outcome outcome = outcomeOf(answer);
    if (const lease_write_context *lease = std::get_if<lease_write_context>(&context)) {
        m_leases.onWritten(now, lease->key, outcome, version);
        flushLeaseEvents(now);
    } else if (const claim_context *claimed = std::get_if<claim_context>(&context)) {
        if (claimed->kind == claim_call::operation::Create)
            m_requestCoordinator.onClaimCreated(now, claimed->id, answer);
        flushRequestResults(now);
    } else if (const rollout_write_context *rollout =
                   std::get_if<rollout_write_context>(&context)) {
        m_rolloutCoordinator.onWritten(rollout->pool, outcome, version);
        if (outcome == write_outcome::Done) {
            const rollout_record &record = m_rolloutCoordinator.records().at(rollout->pool).second;
            m_requestCoordinator.setRollout(rollout->pool, record);
            m_members.publish({.topic = topics::rollout,
                               .key = rollout->pool,
                               .version = version,
                               .payload = toText(record)});
        } else if (outcome != write_outcome::Refused) {
            callPlatform(platform_get {.name = rolloutStatePrefix + rollout->pool},
                         object_read_context {});
        }
    } else if (std::holds_alternative<status_context>(context)) {
        m_statusCallInFlight = false;
        m_statusVersion = version;
        m_statusVersionKnown = outcome == write_outcome::Done;
        if (!m_statusVersionKnown)
            m_lastStatusText.clear();
    }
}

void control_node::onServerState(timestamp now, const std::string &server,
                                 const std::optional<server_state_report> &report)
{
    m_pollsInFlight.erase(server);
    if (!report) {
        m_rolloutCoordinator.onServerState(server, "", false);
        return;
    }
    m_requestCoordinator.setServerVersion(now, server, report->version);
    m_rolloutCoordinator.onServerState(server, report->version, true);
    m_requestCoordinator.setServerLoad(now, server, report->load);
    for (const cache_event &event : report->events)
        m_requestCoordinator.onCacheEvents(now, server, report->load.incarnation, event.sequence,
                                           event.stored, event.evicted);
    m_eventSequences[server] = report->nextSequence;
}

void control_node::onOrderDone(timestamp, std::uint64_t id, bool accepted)
{
    const auto found = m_pendingOrders.find(id);
    if (found == m_pendingOrders.end())
        return;
    if (!accepted)
        m_rolloutCoordinator.onOrderFailed(found->second.pool, found->second.order.server);
    m_pendingOrders.erase(found);
}

void control_node::leave(timestamp now)
{
    m_members.setLeaving();
    m_leases.leave(now);
    m_snapshot.leaving = true;
    m_snapshotDirty = true;
    flushLeaseEvents(now);
}

void control_node::begin(timestamp now, incoming_request request)
{
    m_requestCoordinator.begin(now, std::move(request));
    tickLimits(now);
    flushRequestResults(now);
}

void control_node::onFailed(timestamp now, const attempt_failure_report &report)
{
    m_requestCoordinator.onFailed(now, report);
    flushRequestResults(now);
}

void control_node::onFirstToken(timestamp now, const first_token_report &report)
{
    m_requestCoordinator.onFirstToken(now, report);
}

void control_node::onEnd(timestamp now, const request_end_report &report)
{
    m_requestCoordinator.onEnd(now, report);
    flushRequestResults(now);
}

bool control_node::isWatcher() const
{
    std::vector<std::string> names;
    for (const member &each : m_members.members()) {
        const bool isInOwnZone =
            each.info.zone == m_options.self.zone && each.info.region == m_options.self.region;
        if (isInOwnZone && each.state == member_state::Alive && !each.info.leaving)
            names.push_back(each.info.name);
    }
    const std::vector<std::size_t> order = rendezvousOrder("watcher", names);
    for (std::size_t i = 0; i < order.size() && i < watchersPerZone; ++i) {
        if (names[order[i]] == m_options.self.name)
            return true;
    }
    return false;
}

bool control_node::isResponsibleFor(std::string_view task) const
{
    std::vector<std::string> names;
    for (const member &each : m_members.members()) {
        if (each.state == member_state::Alive && !each.info.leaving)
            names.push_back(each.info.name);
    }
    const std::vector<std::size_t> order = rendezvousOrder(task, names);
    return !order.empty() && names[order.front()] == m_options.self.name;
}

void control_node::publishSnapshot()
{
    m_snapshotDirty = false;
    m_actions.push_back(
        publish_snapshot {.snapshot = std::make_shared<const traffic_snapshot>(m_snapshot)});
}

std::vector<control_action> control_node::takeActions() { return std::exchange(m_actions, {}); }

} // namespace trefoil
