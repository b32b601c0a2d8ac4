#include <control/control_node.h>

#include "control_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

#include <control/entry_answer.h>
#include <core/json.h>
#include <core/rendezvous.h>

namespace trefoil {

namespace {

constexpr const char *limitsPrefix = "limits/";
constexpr const char *rolloutRightsPrefix = "rollouts/";
constexpr const char *rolloutStatePrefix = "rollout-state/";
constexpr const char *statusName = "status/fleet";

/// An instance without word from the platform for so long needs a majority of its peers.
constexpr duration platformSilence = std::chrono::seconds(15);

/// Without a peer's answer or the platform's for so long, withdrawn keys may go unnoticed.
constexpr duration isolation = std::chrono::seconds(4);

constexpr duration fleetPeriod = std::chrono::milliseconds(100);
constexpr duration pollPeriod = std::chrono::seconds(1);
constexpr duration evidencePeriod = std::chrono::milliseconds(300);
constexpr duration statusPeriod = std::chrono::seconds(10);

/// Between two tries to get a configuration object.
constexpr duration fetchRetry = std::chrono::milliseconds(100);
/// Random peers tried before the one that announced the object, which all would otherwise ask.
constexpr int randomFetches = 3;
/// Tries among peers before the platform is asked.
constexpr int peerFetches = 6;

/// Watches of the configuration held in each zone: two, so that one may fail.
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

std::string evidenceText(const outcome_counts &counts, std::uint64_t incarnation)
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
                .keys = allRights(m_options.limitShards)},
               now),
      m_limits({.self = m_options.self.name, .shards = m_options.limitShards}, m_leases),
      m_traffic(m_limits, m_options.self.name, m_options.self.zone, m_options.self.incarnation,
                m_options.randomSeed + 2),
      m_rollouts(m_leases),
      m_link({config_names::prefix, limitsPrefix, rolloutRightsPrefix, rolloutStatePrefix},
             m_options.randomSeed)
{
    m_snapshot.limitShards = m_options.limitShards;
    m_inForce = m_configuration.view();
}

void control_node::sendPeer(std::string to, peer_request request, peer_purpose purpose)
{
    const std::uint64_t id = m_nextId++;
    m_peerCalls[id] = std::move(purpose);
    m_actions.push_back(peer_send {.id = id, .to = std::move(to), .request = std::move(request)});
}

void control_node::callPlatform(platform_request request, platform_purpose purpose)
{
    const std::uint64_t id = m_nextId++;
    m_platformCalls[id] = std::move(purpose);
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
    tickLink(now);
    tickLeases(now);
    tickLimits(now);
    tickFetches(now);
    tickPolls(now);
    tickRollouts(now);
    tickEvidence(now);
    tickStatus(now);
    flushTraffic(now);
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
                 for_gossip {.id = call.id});
    }
    for (const std::pair<std::uint64_t, bool> &relayed : m_members.takeRelayed())
        m_actions.push_back(peer_reply {.token = relayed.first,
                                        .answer = gossip_relayed {.reached = relayed.second}});
    for (const rumor &item : m_members.takeNews())
        onNews(now, item);
    if (now < m_nextFleet)
        return;
    m_nextFleet = now + fleetPeriod;
    updateAttachment(now);
    lease_fleet fleet {.usable = {}, .known = m_listed, .attached = m_snapshot.attached};
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

bool control_node::reachesMajority() const
{
    const std::vector<member> members = m_members.members();
    std::set<std::string> fleet(m_listed.begin(), m_listed.end());
    if (m_listed.empty()) {
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

void control_node::updateAttachment(timestamp now)
{
    const bool alone = m_members.members().size() <= 1;
    const bool hearsPeers = alone || (m_peerAnswerAt && now - *m_peerAnswerAt <= isolation);
    const bool attached = m_link.heardWithin(now, isolation)
        || (hearsPeers && (reachesMajority() || m_link.heardWithin(now, platformSilence)));
    if (attached != m_snapshot.attached) {
        m_snapshot.attached = attached;
        m_snapshotDirty = true;
    }
}

void control_node::tickLink(timestamp now)
{
    for (const platform_link::due_read &due : m_link.tick(now, m_isWatcher)) {
        const for_link purpose {.kind = due.kind, .prefix = due.prefix};
        switch (due.kind) {
        case platform_link::read::Objects:
            callPlatform(platform_list {.prefix = due.prefix}, purpose);
            break;
        case platform_link::read::Watch:
            callPlatform(
                platform_watch {.prefix = due.prefix, .from = due.from, .patience = due.patience},
                purpose);
            break;
        case platform_link::read::Instances:
            callPlatform(platform_instances {}, purpose);
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
                sendPeer(address, std::move(call->ask), for_lease {.id = call->id});
        } else if (record_write *write = std::get_if<record_write>(&action)) {
            callPlatform(platform_put {.name = write->key,
                                       .value = toText(write->record),
                                       .expected = write->expected},
                         for_lease_write {.key = write->key});
        } else {
            const std::string &key = std::get<record_read>(action).key;
            // The first reads come as lists, one call for all rights.
            if (m_link.hasLoaded())
                callPlatform(platform_get {.name = key}, for_lease_read {.key = key});
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
            sendPeer(address, std::move(call.ask), for_grant {.id = call.id});
    }
    m_traffic.serveAdmissions(now);
}

void control_node::tickFetches(timestamp now)
{
    for (auto it = m_fetches.begin(); it != m_fetches.end();) {
        pending_fetch &fetch = it->second;
        if (m_configuration.isSettled(it->first, fetch.version)) {
            it = m_fetches.erase(it);
            continue;
        }
        if (fetch.open || now < fetch.nextTry) {
            ++it;
            continue;
        }
        std::vector<std::string> peers;
        for (const member &each : m_members.members()) {
            if (each.state == member_state::Alive && each.info.name != m_options.self.name)
                peers.push_back(each.info.peers);
        }
        const std::string origin = peerAddress(fetch.origin);
        ++fetch.tries;
        fetch.open = true;
        const bool askPlatform = peers.empty() || fetch.tries > peerFetches;
        if (askPlatform) {
            fetch.tries = 0;
            callPlatform(platform_get {.name = it->first}, for_config {});
            fetch.open = false;
            fetch.nextTry = now + std::chrono::seconds(1);
        } else {
            const bool askOrigin = fetch.tries > randomFetches && !origin.empty();
            const std::string to = askOrigin ? origin : peers[m_random() % peers.size()];
            sendPeer(to, config_fetch {.name = it->first}, for_fetch {.name = it->first});
        }
        ++it;
    }
}

void control_node::tickPolls(timestamp now)
{
    for (const pool &table : m_inForce->pools.pools) {
        if (table.kind != pool_kind::Engine)
            continue;
        for (const backend_server &each : table.servers) {
            if (m_openPolls.contains(each.name) || now < m_nextPoll[each.name])
                continue;
            m_nextPoll[each.name] = now + pollPeriod;
            m_openPolls.insert(each.name);
            m_actions.push_back(server_poll {.server = each.name,
                                             .address = each.address,
                                             .credential = table.credential,
                                             .fromSequence = m_eventSequences[each.name]});
        }
    }
}

void control_node::tickRollouts(timestamp now)
{
    m_rollouts.tick(now, static_cast<std::int64_t>(m_wallMilliseconds / 1000), m_traffic);
    for (const rollout_write &write : m_rollouts.takeWrites())
        callPlatform(platform_put {.name = rolloutStatePrefix + write.pool,
                                   .value = toText(write.record),
                                   .expected = write.expected},
                     for_rollout {.pool = write.pool});
    for (server_order &order : m_rollouts.takeOrders()) {
        const std::uint64_t id = m_nextId++;
        m_orders[id] = order;
        m_actions.push_back(server_order_call {.id = id, .order = std::move(order)});
    }
}

void control_node::tickEvidence(timestamp now)
{
    if (now < m_nextEvidence)
        return;
    m_nextEvidence = now + evidencePeriod;
    for (const std::pair<const traffic_desk::evidence_key, outcome_counts> &each :
         m_traffic.ownOutcomes()) {
        // Only a move needs the others' evidence.
        const pool *table = m_inForce->pools.findPool(each.first.pool);
        outcome_counts &published = m_publishedEvidence[each.first];
        if (!table || !table->rollout || published == each.second)
            continue;
        published = each.second;
        m_members.publish({.topic = topics::evidence,
                           .key = each.first.pool + "|" + each.first.version + "|"
                               + each.first.route + "|" + m_options.self.name,
                           .version = nextRumorVersion(),
                           .payload = evidenceText(each.second, m_members.self().incarnation)});
    }
}

void control_node::tickStatus(timestamp now)
{
    if (now < m_nextStatus || m_statusOpen || !m_link.hasLoaded())
        return;
    m_nextStatus = now + statusPeriod;
    if (!isFirstFor("status") || m_members.self().leaving)
        return;
    m_statusOpen = true;
    if (!m_statusKnown) {
        callPlatform(platform_get {.name = statusName}, for_status {.isRead = true});
        return;
    }
    Json::Value report = status(now);
    // What concerns only the instance that happens to write this stays out.
    for (const char *own : {"instance", "attached", "rights_held"})
        report.removeMember(own);
    const std::string text = writeJson(report);
    if (text == m_statusWritten) {
        m_statusOpen = false;
        return;
    }
    m_statusWritten = text;
    callPlatform(platform_put {.name = statusName, .value = text, .expected = m_statusVersion},
                 for_status {});
}

void control_node::flushTraffic(timestamp now)
{
    m_traffic.serveAdmissions(now);
    for (const claim_call &call : m_traffic.takeClaimCalls()) {
        const for_claim purpose {.kind = call.kind, .id = call.id};
        if (call.kind == claim_call::operation::Read)
            callPlatform(platform_get {.name = call.name}, purpose);
        else
            callPlatform(
                platform_put {.name = call.name, .value = call.text, .expected = call.expected},
                purpose);
    }
    for (const crash_notice &notice : m_traffic.takeCrashes())
        m_members.publish({.topic = topics::crash,
                           .key = notice.event,
                           .version = 1,
                           .payload = toHex(notice.body)});
    for (traffic_decision &decision : m_traffic.takeDecisions())
        m_actions.push_back(std::move(decision));
}

std::optional<peer_answer> control_node::onPeerRequest(timestamp now, std::uint64_t token,
                                                       const peer_request &request)
{
    if (const confirm_ask *ask = std::get_if<confirm_ask>(&request))
        return m_leases.onAsk(now, *ask);
    if (const grant_ask *ask = std::get_if<grant_ask>(&request))
        return m_limits.onAsk(now, *ask);
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
    for (const rumor &item : m_members.takeNews())
        onNews(now, item);
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
    const peer_purpose purpose = std::move(found->second);
    m_peerCalls.erase(found);
    m_peerAnswerAt = now;
    if (const for_gossip *gossip = std::get_if<for_gossip>(&purpose)) {
        if (const gossip_ack *ack = std::get_if<gossip_ack>(&answer))
            m_members.onAnswer(now, gossip->id, *ack);
        else if (const gossip_relayed *relayed = std::get_if<gossip_relayed>(&answer))
            m_members.onAnswer(now, gossip->id, *relayed);
        for (const rumor &item : m_members.takeNews())
            onNews(now, item);
    } else if (const for_lease *lease = std::get_if<for_lease>(&purpose)) {
        if (const confirm_answer *confirmed = std::get_if<confirm_answer>(&answer))
            m_leases.onAnswer(now, lease->id, *confirmed);
    } else if (const for_grant *grant = std::get_if<for_grant>(&purpose)) {
        if (const grant_answer *granted = std::get_if<grant_answer>(&answer))
            m_limits.onAnswer(now, grant->id, *granted);
        flushTraffic(now);
    } else if (const for_fetch *fetch = std::get_if<for_fetch>(&purpose)) {
        const auto pending = m_fetches.find(fetch->name);
        if (pending != m_fetches.end()) {
            pending->second.open = false;
            pending->second.nextTry = now + fetchRetry;
        }
        if (const object *item = std::get_if<object>(&answer))
            takeObject(now, *item);
    }
}

void control_node::onPeerFailure(timestamp now, std::uint64_t id, bool connectionRefused)
{
    const auto found = m_peerCalls.find(id);
    if (found == m_peerCalls.end())
        return;
    const peer_purpose purpose = std::move(found->second);
    m_peerCalls.erase(found);
    if (const for_gossip *gossip = std::get_if<for_gossip>(&purpose)) {
        m_members.onFailure(now, gossip->id);
    } else if (const for_lease *lease = std::get_if<for_lease>(&purpose)) {
        m_leases.onFailure(now, lease->id, connectionRefused);
    } else if (const for_grant *grant = std::get_if<for_grant>(&purpose)) {
        m_limits.onFailure(now, grant->id);
    } else if (const for_fetch *fetch = std::get_if<for_fetch>(&purpose)) {
        const auto pending = m_fetches.find(fetch->name);
        if (pending != m_fetches.end()) {
            pending->second.open = false;
            pending->second.nextTry = now + fetchRetry;
        }
    }
}

void control_node::onNews(timestamp now, const rumor &item)
{
    if (item.topic == topics::config) {
        pending_fetch &fetch = m_fetches[item.key];
        if (item.version > fetch.version)
            fetch = {.version = item.version, .origin = item.payload, .nextTry = now};
    } else if (item.topic == topics::lease) {
        m_leases.onRecord(now, item.key, item.version, leaseRecordFromText(item.payload));
        flushLeaseEvents(now);
    } else if (item.topic == topics::rollout) {
        const std::optional<rollout_record> record = rolloutRecordFromText(item.payload);
        if (record && m_rollouts.onRecord(item.key, item.version, *record))
            m_traffic.setRollout(item.key, *record);
    } else if (item.topic == topics::crash) {
        digest128 body;
        if (fromHex(item.payload, body))
            m_traffic.noteCrash(now, {.body = body, .event = item.key});
    } else if (item.topic == topics::evidence) {
        onEvidenceRumor(item);
    }
}

void control_node::onEvidenceRumor(const rumor &item)
{
    // The key is pool|version|route|instance, the payload incarnation,requests,failures,slow.
    std::array<std::string, 4> parts;
    std::size_t index = 0;
    for (const char c : item.key) {
        if (c == '|')
            ++index;
        else if (index < parts.size())
            parts[index] += c;
    }
    std::array<std::uint64_t, 4> numbers {};
    if (index != 3 || !parseNumbers(item.payload, numbers))
        return;
    // Counts restart with the instance, so each incarnation has its own last value.
    outcome_counts &seen = m_seenEvidence[item.key + "|" + std::to_string(numbers[0])];
    const outcome_counts now {.requests = numbers[1], .failures = numbers[2], .slow = numbers[3]};
    if (now.requests < seen.requests)
        return;
    m_traffic.addEvidence(parts[0], parts[1], parts[2],
                          {.requests = now.requests - seen.requests,
                           .failures = now.failures - std::min(seen.failures, now.failures),
                           .slow = now.slow - std::min(seen.slow, now.slow)});
    seen = now;
}

void control_node::takeObjects(timestamp now, const std::vector<object> &items)
{
    for (const object &item : items)
        takeObject(now, item);
}

void control_node::takeObject(timestamp now, const object &item)
{
    if (item.version == 0)
        return;
    if (item.name.starts_with(limitsPrefix) || item.name.starts_with(rolloutRightsPrefix)) {
        m_leases.onRecord(now, item.name, item.version, leaseRecordFromText(item.value));
        flushLeaseEvents(now);
        return;
    }
    if (item.name.starts_with(rolloutStatePrefix)) {
        const std::string pool = stripPrefix(item.name, rolloutStatePrefix);
        const std::optional<rollout_record> record = rolloutRecordFromText(item.value);
        if (record && m_rollouts.onRecord(pool, item.version, *record))
            m_traffic.setRollout(pool, *record);
        return;
    }
    if (!item.name.starts_with(config_names::prefix)
        || m_configuration.isSettled(item.name, item.version))
        return;
    // Only what is sound is announced: peers would get nothing from a faulty table.
    if (m_configuration.take(item))
        m_members.publish({.topic = topics::config,
                           .key = item.name,
                           .version = item.version,
                           .payload = m_options.self.name});
    m_inForce = m_configuration.view();
    m_snapshot.configuration = m_inForce;
    m_snapshot.ready = m_configuration.isComplete();
    m_snapshotDirty = true;
    m_traffic.setConfiguration(now, m_inForce);
    m_rollouts.setConfiguration(m_inForce);
    publishInForce();
}

void control_node::publishInForce()
{
    m_members.publish({.topic = topics::inForce,
                       .key = m_options.self.name,
                       .version = nextRumorVersion(),
                       .payload = std::to_string(m_inForce->routesVersion) + ","
                           + std::to_string(m_inForce->poolsVersion) + ","
                           + std::to_string(m_inForce->keysVersion)});
}

std::uint64_t control_node::nextRumorVersion()
{
    // Above everything that an earlier incarnation published, as long as the wall clock did not go
    // back further than the instance was down.
    m_rumorVersion = std::max(m_rumorVersion + 1, m_wallMilliseconds);
    return m_rumorVersion;
}

void control_node::onPlatformAnswer(timestamp now, std::uint64_t id, const platform_answer &answer)
{
    const auto found = m_platformCalls.find(id);
    if (found == m_platformCalls.end())
        return;
    const platform_purpose purpose = std::move(found->second);
    m_platformCalls.erase(found);
    const bool success = std::visit([](const auto &each) { return each.has_value(); }, answer);
    if (success)
        m_link.noteContact(now);
    if (const for_link *link = std::get_if<for_link>(&purpose)) {
        onLinkAnswer(now, *link, answer);
        return;
    }
    if (const result<std::uint64_t> *written = std::get_if<result<std::uint64_t>>(&answer)) {
        onWriteAnswer(now, purpose, *written);
        return;
    }
    const result<object> *read = std::get_if<result<object>>(&answer);
    if (!read)
        return;
    const bool isAbsent = !*read && read->error().code == platform_errors::notFound;
    if (const for_lease_read *lease = std::get_if<for_lease_read>(&purpose)) {
        if (*read)
            takeObject(now, **read);
        else if (isAbsent)
            m_leases.onRecord(now, lease->key, 0, std::nullopt);
    } else if (const for_claim *claimed = std::get_if<for_claim>(&purpose)) {
        m_traffic.onClaimRead(now, claimed->id, *read);
        flushTraffic(now);
    } else if (std::holds_alternative<for_status>(purpose)) {
        m_statusOpen = false;
        m_statusKnown = read->has_value() || isAbsent;
        m_statusVersion = *read ? (*read)->version : 0;
        m_nextStatus = now;
    } else if (*read) {
        takeObject(now, **read);
    }
}

void control_node::onLinkAnswer(timestamp now, const for_link &purpose,
                                const platform_answer &answer)
{
    bool success = false;
    std::uint64_t upToVersion = 0;
    if (const result<std::vector<object>> *listed =
            std::get_if<result<std::vector<object>>>(&answer)) {
        success = listed->has_value();
        if (success) {
            takeObjects(now, **listed);
            for (const object &item : **listed)
                upToVersion = std::max(upToVersion, item.version);
        }
    } else if (const result<object_changes> *watched =
                   std::get_if<result<object_changes>>(&answer)) {
        success = watched->has_value();
        if (success) {
            takeObjects(now, (*watched)->changed);
            upToVersion = (*watched)->upToVersion;
        }
    } else if (const result<std::vector<listed_instance>> *instances =
                   std::get_if<result<std::vector<listed_instance>>>(&answer)) {
        success = instances->has_value();
        if (success) {
            m_listed.clear();
            for (const listed_instance &each : **instances)
                m_listed.push_back(each.name);
        }
    }
    m_link.onDone(now, purpose.kind, purpose.prefix, success, upToVersion);
    if (!success || purpose.kind != platform_link::read::Objects)
        return;
    // A right that the list does not hold has no record yet.
    if (purpose.prefix == limitsPrefix || purpose.prefix == rolloutRightsPrefix) {
        for (const std::string &key : allRights(m_options.limitShards)) {
            if (key.starts_with(purpose.prefix) && !m_leases.record(key))
                m_leases.onRecord(now, key, 0, std::nullopt);
        }
    }
    if (purpose.prefix == rolloutStatePrefix)
        m_rollouts.onRecordsLoaded();
}

void control_node::onWriteAnswer(timestamp now, const platform_purpose &purpose,
                                 const result<std::uint64_t> &answer)
{
    const std::uint64_t version = answer.value_or(0);
    const write_outcome outcome = outcomeOf(answer);
    if (const for_lease_write *lease = std::get_if<for_lease_write>(&purpose)) {
        m_leases.onWritten(now, lease->key, outcome, version);
        flushLeaseEvents(now);
    } else if (const for_claim *claimed = std::get_if<for_claim>(&purpose)) {
        if (claimed->kind == claim_call::operation::Create)
            m_traffic.onClaimCreated(now, claimed->id, answer);
        flushTraffic(now);
    } else if (const for_rollout *rollout = std::get_if<for_rollout>(&purpose)) {
        m_rollouts.onWritten(rollout->pool, outcome, version);
        if (outcome == write_outcome::Done) {
            const rollout_record &record = m_rollouts.records().at(rollout->pool).second;
            m_traffic.setRollout(rollout->pool, record);
            m_members.publish({.topic = topics::rollout,
                               .key = rollout->pool,
                               .version = version,
                               .payload = toText(record)});
        } else if (outcome != write_outcome::Refused) {
            callPlatform(platform_get {.name = rolloutStatePrefix + rollout->pool}, for_config {});
        }
    } else if (std::holds_alternative<for_status>(purpose)) {
        m_statusOpen = false;
        m_statusVersion = version;
        m_statusKnown = outcome == write_outcome::Done;
        if (!m_statusKnown)
            m_statusWritten.clear();
    }
}

void control_node::onServerState(timestamp now, const std::string &server,
                                 const std::optional<server_state_report> &report)
{
    m_openPolls.erase(server);
    if (!report) {
        m_rollouts.noteServer(server, "", false);
        return;
    }
    m_traffic.noteServerVersion(now, server, report->version);
    m_rollouts.noteServer(server, report->version, true);
    m_traffic.noteLoad(now, server, report->load);
    for (const cache_event &event : report->events)
        m_traffic.noteEvents(now, server, report->load.incarnation, event.sequence, event.stored,
                             event.evicted);
    m_eventSequences[server] = report->nextSequence;
}

void control_node::onOrderDone(timestamp, std::uint64_t id, bool accepted)
{
    const auto found = m_orders.find(id);
    if (found == m_orders.end())
        return;
    if (!accepted)
        m_rollouts.onOrderFailed(found->second.pool, found->second.order.worker);
    m_orders.erase(found);
}

void control_node::leave(timestamp now)
{
    m_members.setLeaving();
    m_leases.leave(now);
    m_snapshot.leaving = true;
    m_snapshotDirty = true;
    flushLeaseEvents(now);
}

void control_node::begin(timestamp now, traffic_begin request)
{
    m_traffic.begin(now, std::move(request));
    tickLimits(now);
    flushTraffic(now);
}

void control_node::onFailed(timestamp now, const traffic_failed &report)
{
    m_traffic.onFailed(now, report);
    flushTraffic(now);
}

void control_node::onFirstToken(timestamp now, const traffic_first_token &report)
{
    m_traffic.onFirstToken(now, report);
}

void control_node::onEnd(timestamp now, const traffic_end &report)
{
    m_traffic.onEnd(now, report);
    flushTraffic(now);
}

bool control_node::isWatcher() const
{
    std::vector<std::string> names;
    for (const member &each : m_members.members()) {
        const bool isNear =
            each.info.zone == m_options.self.zone && each.info.region == m_options.self.region;
        if (isNear && each.state == member_state::Alive && !each.info.leaving)
            names.push_back(each.info.name);
    }
    const std::vector<std::size_t> order = rendezvousOrder("watcher", names);
    for (std::size_t i = 0; i < order.size() && i < watchersPerZone; ++i) {
        if (names[order[i]] == m_options.self.name)
            return true;
    }
    return false;
}

bool control_node::isFirstFor(std::string_view duty) const
{
    std::vector<std::string> names;
    for (const member &each : m_members.members()) {
        if (each.state == member_state::Alive && !each.info.leaving)
            names.push_back(each.info.name);
    }
    const std::vector<std::size_t> order = rendezvousOrder(duty, names);
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
