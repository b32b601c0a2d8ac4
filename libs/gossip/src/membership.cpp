#include <gossip/membership.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include <core/json.h>

namespace trefoil {

namespace {

/// A rumor is sent this many times log2 of the fleet size, which reaches every member with high
/// probability (lambda in the SWIM paper).
constexpr double retransmitMultiplier = 3;

/// A member stays suspect for this many periods times log10 of the fleet size, at least for this
/// many periods.
constexpr double suspicionMultiplier = 3;

/// The version of a member's rumor is its incarnation times this, plus its state.
constexpr std::uint64_t statesPerIncarnation = 4;

/// Number of ticks that send an urgent rumor at once, each to urgentFanout members.
constexpr int urgentRounds = 2;

/// A direct probe times out after the period divided by this; then relays are asked.
constexpr int directProbeDivisor = 3;

} // namespace

rumor toRumor(const member &subject)
{
    Json::Value payload(Json::objectValue);
    payload["z"] = subject.info.zone;
    payload["r"] = subject.info.region;
    payload["c"] = subject.info.callers;
    payload["p"] = subject.info.peers;
    if (subject.info.leaving)
        payload["l"] = true;
    const std::uint64_t state = static_cast<std::uint64_t>(subject.state);
    return {.topic = membership::memberTopic,
            .key = subject.info.name,
            .version = subject.info.incarnation * statesPerIncarnation + state,
            .payload = writeJson(payload)};
}

std::optional<member> memberFromRumor(const rumor &item)
{
    const result<Json::Value> payload = parseJson(item.payload, "a member rumor");
    const std::uint64_t state = item.version % statesPerIncarnation;
    if (!payload || !payload->isObject() || state > static_cast<std::uint64_t>(member_state::Dead))
        return std::nullopt;
    member subject;
    subject.info.name = item.key;
    subject.info.zone = textOr(*payload, "z");
    subject.info.region = textOr(*payload, "r");
    subject.info.callers = textOr(*payload, "c");
    subject.info.peers = textOr(*payload, "p");
    subject.info.leaving = flagOr(*payload, "l");
    subject.info.incarnation = item.version / statesPerIncarnation;
    subject.state = static_cast<member_state>(state);
    return subject;
}

membership::membership(membership_options options)
    : m_options(std::move(options)), m_random(m_options.randomSeed)
{
    assert(!m_options.self.name.empty());
    assert(m_options.period > duration::zero());
    publishSelf();
}

std::vector<gossip_call> membership::tick(timestamp now)
{
    std::vector<gossip_call> calls;
    expireCalls(now);
    expireSuspicions(now);
    if (!m_nextPeriodAt || now >= *m_nextPeriodAt) {
        m_nextPeriodAt = now + m_options.period;
        startPeriod(now, calls);
    }
    advanceProbes(now, calls);
    if (m_hasUrgentRumors)
        sendUrgentRumors(now, calls);
    for (const std::pair<std::uint64_t, std::string> &relay : m_relayQueue) {
        calls.push_back(
            registerCall(now, relay.second, gossip_ping {.from = m_options.self.name, .rumors = {}},
                         {.kind = pending_call::call_kind::RelayTarget, .relayId = relay.first}));
    }
    m_relayQueue.clear();
    return calls;
}

void membership::startPeriod(timestamp now, std::vector<gossip_call> &calls)
{
    ++m_periodCount;
    startProbe(now, calls);
    if (m_periodCount % m_options.syncPeriods == 1 || m_members.size() <= 1)
        startSync(now, calls);
}

void membership::startProbe(timestamp now, std::vector<gossip_call> &calls)
{
    const std::string target = nextTarget();
    if (target.empty())
        return;
    const std::string address = m_members.find(target)->second.info.peers;
    m_probes[target] = {.name = target,
                        .address = address,
                        .deadline = now + m_options.period / directProbeDivisor};
    calls.push_back(registerCall(now, address,
                                 gossip_ping {.from = m_options.self.name, .rumors = pickRumors()},
                                 {.kind = pending_call::call_kind::Probe, .name = target}));
}

std::string membership::nextTarget()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const member &each : members()) {
                if (each.info.name != m_options.self.name)
                    m_probeOrder.push_back(each.info.name);
            }
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
            if (m_probeOrder.empty())
                return {};
        }
        const std::string name = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const auto found = m_members.find(name);
        const bool canBeProbed = found != m_members.end()
            && found->second.state != member_state::Dead && !m_probes.contains(name);
        if (canBeProbed)
            return name;
        if (m_probeOrder.empty() && m_probes.size() + 1 >= m_members.size())
            return {};
    }
}

void membership::startSync(timestamp now, std::vector<gossip_call> &calls)
{
    // While no other member is known, every seed is contacted: instances that start together could
    // otherwise form separate groups around different seeds. Later, one sync in syncsPerSeedContact
    // goes to a seed, so that the halves of a partitioned fleet find each other again.
    constexpr int syncsPerSeedContact = 4;
    const std::vector<member> peers = randomPeers(1, {});
    std::vector<std::string> addresses;
    const bool contactsSeed = (m_periodCount / m_options.syncPeriods) % syncsPerSeedContact == 0;
    for (const std::string &seed : m_options.seeds) {
        if (seed != m_options.self.peers)
            addresses.push_back(seed);
    }
    if (!peers.empty()) {
        std::shuffle(addresses.begin(), addresses.end(), m_random);
        addresses.resize(std::min<std::size_t>(contactsSeed ? 1 : 0, addresses.size()));
        if (addresses.empty())
            addresses.push_back(peers.front().info.peers);
    }
    for (const std::string &address : addresses) {
        calls.push_back(registerCall(
            now, address, gossip_sync {.from = m_options.self.name, .hashes = m_rumors.hashes()},
            {}));
        const rumor &self = *m_rumors.find(memberTopic, m_options.self.name);
        calls.push_back(registerCall(
            now, address, gossip_ping {.from = m_options.self.name, .rumors = {self}}, {}));
    }
}

void membership::sendUrgentRumors(timestamp now, std::vector<gossip_call> &calls)
{
    // All peers get the same rumors. If the rumors were divided among the peers, each rumor would
    // reach too few of them to spread quickly.
    const std::vector<rumor> rumors = pickRumors();
    for (const member &peer : randomPeers(static_cast<std::size_t>(m_options.urgentFanout), {})) {
        calls.push_back(registerCall(
            now, peer.info.peers, gossip_ping {.from = m_options.self.name, .rumors = rumors}, {}));
    }
    // With three peers, one round misses about one member in twenty and two rounds miss one in four
    // hundred. Urgent rumors that did not fit into the message are sent with the next tick.
    m_hasUrgentRumors = m_rumors.hasRumorSentLessThan(urgentRounds) && m_members.size() > 1;
}

void membership::advanceProbes(timestamp now, std::vector<gossip_call> &calls)
{
    for (auto it = m_probes.begin(); it != m_probes.end(); ++it) {
        probe &pending = it->second;
        if (pending.relaysAsked || now < pending.deadline)
            continue;
        pending.relaysAsked = true;
        const std::vector<member> relays =
            randomPeers(static_cast<std::size_t>(m_options.relays), pending.name);
        pending.pendingRelays = static_cast<int>(relays.size());
        pending.deadline = now + m_options.period;
        for (const member &relay : relays) {
            calls.push_back(
                registerCall(now, relay.info.peers,
                             gossip_relay {.from = m_options.self.name, .target = pending.address},
                             {.kind = pending_call::call_kind::Relay, .name = pending.name}));
        }
    }
    std::vector<std::string> failed;
    for (auto it = m_probes.begin(); it != m_probes.end(); ++it) {
        const probe &pending = it->second;
        if (pending.relaysAsked && (pending.pendingRelays == 0 || now >= pending.deadline))
            failed.push_back(pending.name);
    }
    for (const std::string &name : failed)
        failProbe(now, name);
}

void membership::failProbe(timestamp now, std::string_view name)
{
    const auto found = m_probes.find(name);
    if (found != m_probes.end())
        m_probes.erase(found);
    markSuspect(now, name);
}

void membership::removeProbe(std::string_view name)
{
    const auto found = m_probes.find(name);
    if (found != m_probes.end())
        m_probes.erase(found);
}

void membership::expireCalls(timestamp now)
{
    std::vector<std::uint64_t> expiredIds;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (now >= it->second.deadline)
            expiredIds.push_back(it->first);
    }
    for (const std::uint64_t id : expiredIds)
        onFailure(now, id);
}

void membership::expireSuspicions(timestamp now)
{
    std::vector<std::string> deadNames;
    for (auto it = m_suspectedAt.begin(); it != m_suspectedAt.end(); ++it) {
        if (now - it->second >= suspicionTimeout())
            deadNames.push_back(it->first);
    }
    for (const std::string &name : deadNames) {
        m_suspectedAt.erase(name);
        m_diedAt[name] = now;
        member &subject = m_members.at(name);
        subject.state = member_state::Dead;
        publishState(subject);
    }
    std::vector<std::string> expiredNames;
    for (auto it = m_diedAt.begin(); it != m_diedAt.end(); ++it) {
        if (now - it->second >= m_options.tombstoneLifetime)
            expiredNames.push_back(it->first);
    }
    for (const std::string &name : expiredNames) {
        m_diedAt.erase(name);
        m_members.erase(name);
        m_rumors.erase(memberTopic, name);
    }
}

std::vector<member> membership::randomPeers(std::size_t count, std::string_view except)
{
    std::vector<member> peers;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const member &each = it->second;
        if (each.state == member_state::Alive && each.info.name != m_options.self.name
            && each.info.name != except)
            peers.push_back(each);
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    if (peers.size() > count)
        peers.resize(count);
    return peers;
}

gossip_call membership::registerCall(timestamp now, std::string to, gossip_request request,
                                     pending_call pendingCall)
{
    const std::uint64_t id = m_nextId++;
    pendingCall.deadline = now + m_options.period;
    m_calls[id] = std::move(pendingCall);
    return {.id = id, .to = std::move(to), .request = std::move(request)};
}

std::vector<rumor> membership::pickRumors()
{
    return m_rumors.pick(m_options.maxMessageBytes, maxSends());
}

std::optional<gossip_answer> membership::onRequest(timestamp now, const gossip_request &request,
                                                   std::uint64_t relayId)
{
    if (const gossip_ping *ping = std::get_if<gossip_ping>(&request)) {
        // Selected before the ping's rumors are merged, because the sender already has those.
        std::vector<rumor> answer = m_rumors.peek(m_options.maxMessageBytes);
        mergeRumors(now, ping->rumors);
        return gossip_ack {.rumors = std::move(answer)};
    }
    if (const gossip_relay *relay = std::get_if<gossip_relay>(&request)) {
        m_relayQueue.emplace_back(relayId, relay->target);
        return std::nullopt;
    }
    const gossip_sync &sync = std::get<gossip_sync>(request);
    // At most two buckets are sent to bound the answer; the rest follows with the next syncs. A new
    // member, whose buckets are nearly all empty, gets all differing ones, because it can't work
    // without them.
    constexpr std::size_t maxBuckets = 2;
    const bucket_hashes own = m_rumors.hashes();
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < rumorBuckets; ++i) {
        if (own[i] != sync.hashes[i])
            differing.push_back(i);
    }
    const std::size_t emptyBuckets = static_cast<std::size_t>(
        std::count(sync.hashes.begin(), sync.hashes.end(), std::uint64_t {0}));
    const bool isNewMember = emptyBuckets + 2 >= rumorBuckets;
    std::shuffle(differing.begin(), differing.end(), m_random);
    if (!isNewMember && differing.size() > maxBuckets)
        differing.resize(maxBuckets);
    gossip_ack ack;
    for (const std::size_t index : differing) {
        const std::vector<rumor> items = m_rumors.bucket(index);
        ack.rumors.insert(ack.rumors.end(), items.begin(), items.end());
    }
    return ack;
}

void membership::onAnswer(timestamp now, std::uint64_t id, const gossip_answer &answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const pending_call finishedCall = found->second;
    m_calls.erase(found);
    if (const gossip_ack *ack = std::get_if<gossip_ack>(&answer))
        mergeRumors(now, ack->rumors);
    if (finishedCall.kind == pending_call::call_kind::Probe)
        removeProbe(finishedCall.name);
    if (finishedCall.kind == pending_call::call_kind::RelayTarget)
        m_finishedRelays.emplace_back(finishedCall.relayId, true);
    if (finishedCall.kind != pending_call::call_kind::Relay)
        return;
    const gossip_relayed *relayed = std::get_if<gossip_relayed>(&answer);
    const auto pending = m_probes.find(finishedCall.name);
    if (relayed && relayed->reached)
        removeProbe(finishedCall.name);
    else if (pending != m_probes.end())
        --pending->second.pendingRelays;
}

void membership::onFailure(timestamp now, std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const pending_call finishedCall = found->second;
    m_calls.erase(found);
    const auto pending = m_probes.find(finishedCall.name);
    if (finishedCall.kind == pending_call::call_kind::Probe && pending != m_probes.end()
        && !pending->second.relaysAsked)
        pending->second.deadline = now; // a refused connection needs no further wait
    if (finishedCall.kind == pending_call::call_kind::Relay && pending != m_probes.end())
        --pending->second.pendingRelays;
    if (finishedCall.kind == pending_call::call_kind::RelayTarget)
        m_finishedRelays.emplace_back(finishedCall.relayId, false);
}

std::vector<std::pair<std::uint64_t, bool>> membership::takeFinishedRelays()
{
    return std::exchange(m_finishedRelays, {});
}

bool membership::publish(const rumor &item)
{
    if (!m_rumors.merge(item))
        return false;
    if (std::find(m_options.urgentTopics.begin(), m_options.urgentTopics.end(), item.topic)
        != m_options.urgentTopics.end())
        m_hasUrgentRumors = true;
    return true;
}

std::vector<rumor> membership::takeUpdates() { return std::exchange(m_updates, {}); }

void membership::mergeRumors(timestamp now, const std::vector<rumor> &rumors)
{
    for (const rumor &item : rumors) {
        if (item.topic == memberTopic)
            mergeMember(now, item);
        else if (publish(item))
            m_updates.push_back(item);
    }
}

void membership::mergeMember(timestamp now, const rumor &item)
{
    const std::optional<member> subject = memberFromRumor(item);
    if (!subject)
        return;
    if (subject->info.name == m_options.self.name) {
        const bool isRefutationNeeded = subject->info.incarnation > m_options.self.incarnation
            || (subject->info.incarnation == m_options.self.incarnation
                && subject->state != member_state::Alive);
        if (isRefutationNeeded) {
            m_options.self.incarnation = subject->info.incarnation + 1;
            publishSelf();
        }
        return;
    }
    if (!m_rumors.merge(item))
        return;
    m_updates.push_back(item);
    m_members[subject->info.name] = *subject;
    m_suspectedAt.erase(subject->info.name);
    m_diedAt.erase(subject->info.name);
    if (subject->state == member_state::Suspect)
        m_suspectedAt[subject->info.name] = now;
    if (subject->state == member_state::Dead) {
        m_diedAt[subject->info.name] = now;
        removeProbe(subject->info.name);
    }
}

void membership::markSuspect(timestamp now, std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || found->second.state != member_state::Alive)
        return;
    found->second.state = member_state::Suspect;
    m_suspectedAt[found->first] = now;
    publishState(found->second);
}

void membership::publishState(const member &subject)
{
    const rumor item = toRumor(subject);
    if (m_rumors.merge(item))
        m_updates.push_back(item);
}

void membership::publishSelf()
{
    const member subject {.info = m_options.self, .state = member_state::Alive};
    m_members[m_options.self.name] = subject;
    m_rumors.merge(toRumor(subject));
}

void membership::setLeaving()
{
    if (m_options.self.leaving)
        return;
    m_options.self.leaving = true;
    ++m_options.self.incarnation;
    publishSelf();
    m_hasUrgentRumors = true;
}

std::optional<member> membership::find(std::string_view name) const
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return std::nullopt;
    return found->second;
}

std::vector<member> membership::members() const
{
    std::vector<member> found;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (it->second.state != member_state::Dead)
            found.push_back(it->second);
    }
    return found;
}

int membership::maxSends() const
{
    const double size = static_cast<double>(m_members.size());
    return static_cast<int>(std::ceil(retransmitMultiplier * std::log2(size + 1)));
}

duration membership::suspicionTimeout() const
{
    const double size = static_cast<double>(m_members.size());
    const double periods = suspicionMultiplier * std::max(1.0, std::log10(size));
    return fromSeconds(toSeconds(m_options.period) * periods);
}

} // namespace trefoil
