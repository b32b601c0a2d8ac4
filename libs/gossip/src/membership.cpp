#include <gossip/membership.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include <core/json.h>

namespace trefoil {

namespace {

/// Rumors are passed on this many times the logarithm of the fleet's size, which reaches every
/// member with high probability (the SWIM paper's lambda).
constexpr double sendsPerLog = 3;

/// Periods that a member stays suspect, times the logarithm of the fleet's size.
constexpr double suspicionPeriodsPerLog = 3;

/// Versions of a member's rumor leave room for the states of one incarnation.
constexpr std::uint64_t statesPerIncarnation = 4;

/// Times that urgent news is passed on at once, each time to urgentFanout members.
constexpr int urgentRounds = 2;

/// A direct probe gets this part of a period before relays are asked.
constexpr int directShare = 3;

} // namespace

rumor toRumor(const member &about)
{
    Json::Value payload(Json::objectValue);
    payload["z"] = about.info.zone;
    payload["r"] = about.info.region;
    payload["c"] = about.info.callers;
    payload["p"] = about.info.peers;
    if (about.info.leaving)
        payload["l"] = true;
    const std::uint64_t state = static_cast<std::uint64_t>(about.state);
    return {.topic = membership::memberTopic,
            .key = about.info.name,
            .version = about.info.incarnation * statesPerIncarnation + state,
            .payload = writeJson(payload)};
}

std::optional<member> memberFromRumor(const rumor &item)
{
    const result<Json::Value> payload = parseJson(item.payload, "a member rumor");
    const std::uint64_t state = item.version % statesPerIncarnation;
    if (!payload || !payload->isObject() || state > static_cast<std::uint64_t>(member_state::Dead))
        return std::nullopt;
    member about;
    about.info.name = item.key;
    about.info.zone = textOr(*payload, "z");
    about.info.region = textOr(*payload, "r");
    about.info.callers = textOr(*payload, "c");
    about.info.peers = textOr(*payload, "p");
    about.info.leaving = flagOr(*payload, "l");
    about.info.incarnation = item.version / statesPerIncarnation;
    about.state = static_cast<member_state>(state);
    return about;
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
    if (!m_nextPeriod || now >= *m_nextPeriod) {
        m_nextPeriod = now + m_options.period;
        startPeriod(now, calls);
    }
    askRelays(now, calls);
    if (m_urgent)
        sendUrgent(now, calls);
    for (const std::pair<std::uint64_t, std::string> &relay : m_relayQueue) {
        calls.push_back(call(now, relay.second,
                             gossip_ping {.from = m_options.self.name, .rumors = {}},
                             {.kind = open_call::purpose::RelayTarget, .relayId = relay.first}));
    }
    m_relayQueue.clear();
    return calls;
}

void membership::startPeriod(timestamp now, std::vector<gossip_call> &calls)
{
    ++m_periods;
    startProbe(now, calls);
    if (m_periods % m_options.syncPeriods == 1 || m_members.size() <= 1)
        startSync(now, calls);
}

void membership::startProbe(timestamp now, std::vector<gossip_call> &calls)
{
    const std::string target = nextTarget();
    if (target.empty())
        return;
    const std::string address = m_members.find(target)->second.info.peers;
    m_probes[target] = {
        .name = target, .address = address, .deadline = now + m_options.period / directShare};
    calls.push_back(call(now, address,
                         gossip_ping {.from = m_options.self.name, .rumors = pickRumors()},
                         {.kind = open_call::purpose::Probe, .name = target}));
}

std::string membership::nextTarget()
{
    while (true) {
        if (m_ring.empty()) {
            for (const member &each : members()) {
                if (each.info.name != m_options.self.name)
                    m_ring.push_back(each.info.name);
            }
            std::shuffle(m_ring.begin(), m_ring.end(), m_random);
            if (m_ring.empty())
                return {};
        }
        const std::string name = std::move(m_ring.back());
        m_ring.pop_back();
        const auto found = m_members.find(name);
        const bool probeable = found != m_members.end() && found->second.state != member_state::Dead
            && !m_probes.contains(name);
        if (probeable)
            return name;
        if (m_ring.empty() && m_probes.size() + 1 >= m_members.size())
            return {};
    }
}

void membership::startSync(timestamp now, std::vector<gossip_call> &calls)
{
    // Without members every seed is asked: those who start together would otherwise gather around
    // different seeds. Later one now and then, so that two halves of a fleet find each other again.
    constexpr int seedEvery = 4;
    const std::vector<member> peers = randomPeers(1, {});
    std::vector<std::string> addresses;
    const bool trySeed = (m_periods / m_options.syncPeriods) % seedEvery == 0;
    for (const std::string &seed : m_options.seeds) {
        if (seed != m_options.self.peers)
            addresses.push_back(seed);
    }
    if (!peers.empty()) {
        std::shuffle(addresses.begin(), addresses.end(), m_random);
        addresses.resize(std::min<std::size_t>(trySeed ? 1 : 0, addresses.size()));
        if (addresses.empty())
            addresses.push_back(peers.front().info.peers);
    }
    for (const std::string &address : addresses) {
        calls.push_back(call(now, address,
                             gossip_sync {.from = m_options.self.name, .hashes = m_rumors.hashes()},
                             {}));
        const rumor &self = *m_rumors.find(memberTopic, m_options.self.name);
        calls.push_back(
            call(now, address, gossip_ping {.from = m_options.self.name, .rumors = {self}}, {}));
    }
}

void membership::sendUrgent(timestamp now, std::vector<gossip_call> &calls)
{
    // The same news to each: spread one by one, a piece of news would reach too few to go on fast.
    const std::vector<rumor> news = pickRumors();
    for (const member &peer : randomPeers(static_cast<std::size_t>(m_options.urgentFanout), {})) {
        calls.push_back(call(now, peer.info.peers,
                             gossip_ping {.from = m_options.self.name, .rumors = news}, {}));
    }
    // One round of three peers leaves about one member in twenty without the news, two rounds one
    // in four hundred. More news than one message holds goes out with the next tick, too.
    m_urgent = m_rumors.hasSentLessThan(urgentRounds) && m_members.size() > 1;
}

void membership::askRelays(timestamp now, std::vector<gossip_call> &calls)
{
    for (auto it = m_probes.begin(); it != m_probes.end(); ++it) {
        probe &pending = it->second;
        if (pending.relayed || now < pending.deadline)
            continue;
        pending.relayed = true;
        const std::vector<member> relays =
            randomPeers(static_cast<std::size_t>(m_options.relays), pending.name);
        pending.openRelays = static_cast<int>(relays.size());
        pending.deadline = now + m_options.period;
        for (const member &relay : relays) {
            calls.push_back(
                call(now, relay.info.peers,
                     gossip_relay {.from = m_options.self.name, .target = pending.address},
                     {.kind = open_call::purpose::Relay, .name = pending.name}));
        }
    }
    std::vector<std::string> failed;
    for (auto it = m_probes.begin(); it != m_probes.end(); ++it) {
        const probe &pending = it->second;
        if (pending.relayed && (pending.openRelays == 0 || now >= pending.deadline))
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
    suspect(now, name);
}

void membership::finishProbe(std::string_view name)
{
    const auto found = m_probes.find(name);
    if (found != m_probes.end())
        m_probes.erase(found);
}

void membership::expireCalls(timestamp now)
{
    std::vector<std::uint64_t> late;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        if (now >= it->second.deadline)
            late.push_back(it->first);
    }
    for (const std::uint64_t id : late)
        onFailure(now, id);
}

void membership::expireSuspicions(timestamp now)
{
    std::vector<std::string> died;
    for (auto it = m_suspectedAt.begin(); it != m_suspectedAt.end(); ++it) {
        if (now - it->second >= suspicionTimeout())
            died.push_back(it->first);
    }
    for (const std::string &name : died) {
        m_suspectedAt.erase(name);
        m_diedAt[name] = now;
        member &about = m_members.at(name);
        about.state = member_state::Dead;
        publishBelief(about);
    }
    std::vector<std::string> forgotten;
    for (auto it = m_diedAt.begin(); it != m_diedAt.end(); ++it) {
        if (now - it->second >= m_options.tombstoneLife)
            forgotten.push_back(it->first);
    }
    for (const std::string &name : forgotten) {
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

gossip_call membership::call(timestamp now, std::string to, gossip_request request,
                             open_call purpose)
{
    const std::uint64_t id = m_nextId++;
    purpose.deadline = now + m_options.period;
    m_calls[id] = std::move(purpose);
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
        // Picked before the ping's own rumors are taken: those the sender has already.
        std::vector<rumor> answer = m_rumors.peek(m_options.maxMessageBytes);
        mergeAll(now, ping->rumors);
        return gossip_ack {.rumors = std::move(answer)};
    }
    if (const gossip_relay *relay = std::get_if<gossip_relay>(&request)) {
        m_relayQueue.emplace_back(relayId, relay->target);
        return std::nullopt;
    }
    const gossip_sync &sync = std::get<gossip_sync>(request);
    // Two buckets bound the answer; the rest follows at the next comparisons. A newcomer, whose
    // hashes nearly all differ, gets everything, since it can't work without.
    constexpr std::size_t maxBuckets = 2;
    const bucket_hashes own = m_rumors.hashes();
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < rumorBuckets; ++i) {
        if (own[i] != sync.hashes[i])
            differing.push_back(i);
    }
    const std::size_t emptyBuckets = static_cast<std::size_t>(
        std::count(sync.hashes.begin(), sync.hashes.end(), std::uint64_t {0}));
    const bool newcomer = emptyBuckets + 2 >= rumorBuckets;
    std::shuffle(differing.begin(), differing.end(), m_random);
    if (!newcomer && differing.size() > maxBuckets)
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
    const open_call purpose = found->second;
    m_calls.erase(found);
    if (const gossip_ack *ack = std::get_if<gossip_ack>(&answer))
        mergeAll(now, ack->rumors);
    if (purpose.kind == open_call::purpose::Probe)
        finishProbe(purpose.name);
    if (purpose.kind == open_call::purpose::RelayTarget)
        m_relayed.emplace_back(purpose.relayId, true);
    if (purpose.kind != open_call::purpose::Relay)
        return;
    const gossip_relayed *relayed = std::get_if<gossip_relayed>(&answer);
    const auto pending = m_probes.find(purpose.name);
    if (relayed && relayed->reached)
        finishProbe(purpose.name);
    else if (pending != m_probes.end())
        --pending->second.openRelays;
}

void membership::onFailure(timestamp now, std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const open_call purpose = found->second;
    m_calls.erase(found);
    const auto pending = m_probes.find(purpose.name);
    if (purpose.kind == open_call::purpose::Probe && pending != m_probes.end()
        && !pending->second.relayed)
        pending->second.deadline = now; // a refused connection needs no further wait
    if (purpose.kind == open_call::purpose::Relay && pending != m_probes.end())
        --pending->second.openRelays;
    if (purpose.kind == open_call::purpose::RelayTarget)
        m_relayed.emplace_back(purpose.relayId, false);
}

std::vector<std::pair<std::uint64_t, bool>> membership::takeRelayed()
{
    return std::exchange(m_relayed, {});
}

bool membership::publish(const rumor &item)
{
    if (!m_rumors.merge(item))
        return false;
    if (std::find(m_options.urgentTopics.begin(), m_options.urgentTopics.end(), item.topic)
        != m_options.urgentTopics.end())
        m_urgent = true;
    return true;
}

std::vector<rumor> membership::takeNews() { return std::exchange(m_news, {}); }

void membership::mergeAll(timestamp now, const std::vector<rumor> &rumors)
{
    for (const rumor &item : rumors) {
        if (item.topic == memberTopic)
            mergeMember(now, item);
        else if (publish(item))
            m_news.push_back(item);
    }
}

void membership::mergeMember(timestamp now, const rumor &item)
{
    const std::optional<member> about = memberFromRumor(item);
    if (!about)
        return;
    if (about->info.name == m_options.self.name) {
        const bool contradicts = about->info.incarnation > m_options.self.incarnation
            || (about->info.incarnation == m_options.self.incarnation
                && about->state != member_state::Alive);
        if (contradicts) {
            m_options.self.incarnation = about->info.incarnation + 1;
            publishSelf();
        }
        return;
    }
    if (!m_rumors.merge(item))
        return;
    m_news.push_back(item);
    m_members[about->info.name] = *about;
    m_suspectedAt.erase(about->info.name);
    m_diedAt.erase(about->info.name);
    if (about->state == member_state::Suspect)
        m_suspectedAt[about->info.name] = now;
    if (about->state == member_state::Dead) {
        m_diedAt[about->info.name] = now;
        finishProbe(about->info.name);
    }
}

void membership::suspect(timestamp now, std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || found->second.state != member_state::Alive)
        return;
    found->second.state = member_state::Suspect;
    m_suspectedAt[found->first] = now;
    publishBelief(found->second);
}

void membership::publishBelief(const member &about)
{
    const rumor item = toRumor(about);
    if (m_rumors.merge(item))
        m_news.push_back(item);
}

void membership::publishSelf()
{
    const member about {.info = m_options.self, .state = member_state::Alive};
    m_members[m_options.self.name] = about;
    m_rumors.merge(toRumor(about));
}

void membership::setLeaving()
{
    if (m_options.self.leaving)
        return;
    m_options.self.leaving = true;
    ++m_options.self.incarnation;
    publishSelf();
    m_urgent = true;
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
    return static_cast<int>(std::ceil(sendsPerLog * std::log2(size + 1)));
}

duration membership::suspicionTimeout() const
{
    const double size = static_cast<double>(m_members.size());
    const double periods = suspicionPeriodsPerLog * std::max(1.0, std::log10(size));
    return fromSeconds(toSeconds(m_options.period) * periods);
}

} // namespace trefoil
