#include "control_simulation.h"

#include <ctime>
#include <utility>

#include <core/json.h>

namespace trefoil {

namespace {

/// Tick period of the daemon's control thread.
constexpr duration tickPeriod = std::chrono::milliseconds(20);

/// Size of the HTTP request and response headers on a persistent connection plus the JSON-RPC
/// envelope.
constexpr std::size_t messageOverheadBytes = 260;

double threadCpuSeconds()
{
    timespec reading {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
    return static_cast<double>(reading.tv_sec) + static_cast<double>(reading.tv_nsec) * 1e-9;
}

} // namespace

control_simulation::control_simulation(int size, std::uint64_t seed)
    : isReachable([](const std::string &, const std::string &) { return true; }), m_seed(seed),
      m_random(seed), m_size(size)
{
    for (int i = 0; i < size; ++i)
        start(nameOf(i));
}

std::string control_simulation::nameOf(int index) { return "n" + std::to_string(1000 + index); }

std::vector<std::string> control_simulation::names() const
{
    std::vector<std::string> all;
    for (auto it = m_nodes.begin(); it != m_nodes.end(); ++it)
        all.push_back(it->first);
    return all;
}

void control_simulation::start(const std::string &name)
{
    // Eleven zones, as in the target deployment; smaller fleets use fewer.
    const std::string zone(1, static_cast<char>('a' + std::stoi(name.substr(1)) % 11));
    control_options options {.self = {.name = name,
                                      .zone = zone,
                                      .region = "r",
                                      .callers = name,
                                      .peers = name,
                                      .incarnation = m_incarnation++},
                             .seeds = {nameOf(0), nameOf(1)},
                             .randomSeed = m_seed * 1000 + m_incarnation};
    m_nodes[name] = std::make_unique<control_node>(std::move(options), now);
    m_activeConfiguration[name] = std::make_shared<const configuration_snapshot>();
}

void control_simulation::apply(const std::string &name, const std::string &value)
{
    const result<object> current = m_objects.get(name);
    m_objects.put(name, value, current ? current->version : 0);
}

void control_simulation::schedule(duration delay, std::function<void()> action)
{
    m_scheduled.emplace(now + delay, std::move(action));
}

void control_simulation::countMessage(const std::string &name, std::size_t bytes)
{
    node_usage &item = usage[name];
    ++item.messages;
    item.bytes += bytes + messageOverheadBytes;
}

template <typename Action>
void control_simulation::measureCpu(const std::string &name, const Action &action)
{
    const double before = threadCpuSeconds();
    action();
    usage[name].cpuSeconds += threadCpuSeconds() - before;
}

void control_simulation::run(duration time)
{
    const timestamp end = now + time;
    while (now < end) {
        now += tickPeriod;
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
            const std::function<void()> action = std::move(m_scheduled.begin()->second);
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
        answerWatches();
        for (const std::string &name : names()) {
            if (pausedNodes.contains(name))
                continue;
            measureCpu(name, [&] {
                m_nodes[name]->tick(
                    now, static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch())));
            });
            executeActions(name);
        }
    }
}

void control_simulation::executeActions(const std::string &name)
{
    for (control_action &action : m_nodes[name]->takeActions()) {
        if (peer_send *sent = std::get_if<peer_send>(&action)) {
            sendRequest(name, std::move(*sent));
        } else if (platform_call *called = std::get_if<platform_call>(&action)) {
            callPlatform(name, std::move(*called));
        } else if (const peer_reply *reply = std::get_if<peer_reply>(&action)) {
            const pending_reply requester = m_pendingReplies[reply->token];
            m_pendingReplies.erase(reply->token);
            sendAnswer(requester.from, requester.id, name, reply->answer);
        } else if (const publish_snapshot *published = std::get_if<publish_snapshot>(&action)) {
            m_activeConfiguration[name] = published->snapshot->configuration;
        } else if (const request_decision *decision = std::get_if<request_decision>(&action)) {
            if (onDecision)
                onDecision(name, *decision);
        } else if (const server_poll *poll = std::get_if<server_poll>(&action)) {
            m_nodes[name]->onServerState(now, poll->server, std::nullopt);
        }
    }
}

void control_simulation::sendRequest(const std::string &name, peer_send action)
{
    std::string text;
    measureCpu(name, [&] { text = writeJson(toJson(action.request)); });
    countMessage(name, text.size());
    if (!m_nodes.contains(action.to)) {
        schedule(std::chrono::milliseconds(2), [this, name, id = action.id] {
            if (m_nodes.contains(name))
                m_nodes[name]->onPeerFailure(now, id, true);
        });
        return;
    }
    if (!isReachable(name, action.to) || pausedNodes.contains(action.to)) {
        schedule(std::chrono::milliseconds(400), [this, name, id = action.id] {
            if (m_nodes.contains(name))
                m_nodes[name]->onPeerFailure(now, id, false);
        });
        return;
    }
    schedule(std::chrono::milliseconds(1),
             [this, name, id = action.id, to = action.to, text] { deliver(name, id, to, text); });
}

void control_simulation::deliver(const std::string &from, std::uint64_t id, const std::string &to,
                                 const std::string &text)
{
    if (!m_nodes.contains(to))
        return;
    countMessage(to, text.size());
    std::optional<peer_answer> reply;
    measureCpu(to, [&] {
        const result<Json::Value> message = parseJson(text, "a message");
        const result<peer_request> request = peerRequestFromJson(*message);
        const std::uint64_t token = m_nextToken++;
        m_pendingReplies[token] = {.from = from, .id = id};
        reply = m_nodes[to]->onPeerRequest(now, token, *request);
        if (reply)
            m_pendingReplies.erase(token);
    });
    if (reply)
        sendAnswer(from, id, to, *reply);
}

void control_simulation::sendAnswer(const std::string &from, std::uint64_t id,
                                    const std::string &to, const peer_answer &reply)
{
    std::string text;
    measureCpu(to, [&] { text = writeJson(toJson(reply)); });
    usage[to].bytes += text.size();
    schedule(std::chrono::milliseconds(1), [this, from, id, text] {
        if (!m_nodes.contains(from))
            return;
        usage[from].bytes += text.size();
        measureCpu(from, [&] {
            const result<Json::Value> message = parseJson(text, "a message");
            const result<peer_answer> answer = peerAnswerFromJson(*message);
            if (answer)
                m_nodes[from]->onPeerAnswer(now, id, *answer);
        });
    });
}

platform_answer control_simulation::unavailableAnswer(const platform_request &request)
{
    const tl::unexpected<error> none = failure(platform_errors::unavailable, "out");
    if (std::holds_alternative<platform_list>(request))
        return result<std::vector<object>>(none);
    if (std::holds_alternative<platform_get>(request))
        return result<object>(none);
    if (std::holds_alternative<platform_put>(request))
        return result<std::uint64_t>(none);
    if (std::holds_alternative<platform_watch>(request))
        return result<object_changes>(none);
    return result<std::vector<listed_instance>>(none);
}

platform_answer control_simulation::platformAnswer(const platform_request &request)
{
    if (const platform_list *list = std::get_if<platform_list>(&request))
        return result<std::vector<object>>(m_objects.list(list->prefix));
    if (const platform_get *get = std::get_if<platform_get>(&request))
        return m_objects.get(get->name);
    if (const platform_put *put = std::get_if<platform_put>(&request))
        return m_objects.put(put->name, put->value, put->expected);
    std::vector<listed_instance> listed;
    for (int i = 0; i < m_size; ++i)
        listed.push_back({.name = nameOf(i)});
    return result<std::vector<listed_instance>>(listed);
}

void control_simulation::callPlatform(const std::string &name, platform_call action)
{
    const bool isWatch = std::holds_alternative<platform_watch>(action.request);
    const bool isWrite = std::holds_alternative<platform_put>(action.request);
    platformWatches += isWatch ? 1 : 0;
    platformWrites += isWrite ? 1 : 0;
    platformReads += !isWatch && !isWrite ? 1 : 0;
    countMessage(name, 200);
    if (isWatch && !isPlatformDown && !nodesWithoutPlatform.contains(name)) {
        const platform_watch &watch = std::get<platform_watch>(action.request);
        m_watches.push_back({.node = name,
                             .id = action.id,
                             .prefix = watch.prefix,
                             .from = watch.from,
                             .deadline = now + watch.maxWait});
        return;
    }
    schedule(std::chrono::milliseconds(4), [this, name, action = std::move(action)] {
        if (!m_nodes.contains(name))
            return;
        const bool isUnavailable = isPlatformDown || nodesWithoutPlatform.contains(name);
        const platform_answer reply =
            isUnavailable ? unavailableAnswer(action.request) : platformAnswer(action.request);
        measureCpu(name, [&] { m_nodes[name]->onPlatformAnswer(now, action.id, reply); });
    });
}

void control_simulation::answerWatches()
{
    std::vector<pending_watch> waiting;
    for (const pending_watch &watch : std::exchange(m_watches, {})) {
        const object_changes changes = m_objects.changesSince(watch.prefix, watch.from);
        const bool isUnavailable = isPlatformDown || nodesWithoutPlatform.contains(watch.node);
        if (changes.changed.empty() && now < watch.deadline && !isUnavailable) {
            waiting.push_back(watch);
            continue;
        }
        if (!m_nodes.contains(watch.node))
            continue;
        const result<object_changes> reply = isUnavailable
            ? result<object_changes>(failure(platform_errors::unavailable, "out"))
            : result<object_changes>(changes);
        measureCpu(watch.node,
                   [&] { m_nodes[watch.node]->onPlatformAnswer(now, watch.id, reply); });
    }
    m_watches.insert(m_watches.end(), waiting.begin(), waiting.end());
}

} // namespace trefoil
