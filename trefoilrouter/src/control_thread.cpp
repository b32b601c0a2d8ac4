#include "control_thread.h"

#include <array>
#include <string_view>

#include <telemetry/log.h>

namespace trefoil {

namespace {

/// Period of the control node's tick, which drives probes and timeouts. Messages are handled as
/// they arrive.
constexpr duration tickPeriod = std::chrono::milliseconds(20);

/// How long a request thread waits for a decision. Admission takes at most half a second, an
/// idempotency claim a few platform calls.
constexpr std::chrono::seconds decisionTimeout(8);

/// How long a peer's request or a lease check may take; the peer itself times out earlier.
constexpr std::chrono::seconds peerReplyTimeout(1);

constexpr std::chrono::seconds statusTimeout(2);

std::string_view stateName(const member &item)
{
    constexpr std::array<std::string_view, 3> names {"alive", "suspect", "dead"};
    return item.info.leaving ? "leaving" : names[static_cast<std::size_t>(item.state)];
}

void logMemberChanges(const std::vector<member> &before, const std::vector<member> &after)
{
    std::map<std::string_view, std::string_view> states;
    for (const member &each : before)
        states[each.info.name] = stateName(each);
    for (const member &each : after) {
        const auto found = states.find(each.info.name);
        const bool isSame = found != states.end() && found->second == stateName(each);
        if (found != states.end())
            states.erase(found);
        if (!isSame)
            logInfo("members",
                    "Instance \"" + each.info.name + "\" is " + std::string(stateName(each)) + ".");
    }
    for (auto it = states.begin(); it != states.end(); ++it)
        logInfo("members", "Instance \"" + std::string(it->first) + "\" is dead.");
}

/// Logs the differences between two snapshots.
void logChanges(const traffic_snapshot &before, const traffic_snapshot &after)
{
    logMemberChanges(before.members, after.members);
    const configuration_snapshot &previous = *before.configuration;
    const configuration_snapshot &current = *after.configuration;
    if (previous.routesVersion != current.routesVersion)
        logInfo("configuration",
                "Routes table: now using version " + std::to_string(current.routesVersion) + ".");
    if (previous.poolsVersion != current.poolsVersion)
        logInfo("configuration",
                "Pools table: now using version " + std::to_string(current.poolsVersion) + ".");
    if (previous.keysVersion != current.keysVersion)
        logInfo("configuration",
                "Keys: now using version " + std::to_string(current.keysVersion) + ".");
    if (before.attached != after.attached)
        logWarning("members",
                   after.attached ? "This instance is connected to the fleet again."
                                  : "This instance is isolated from the fleet.");
    for (auto it = after.shardOwners.begin(); it != after.shardOwners.end(); ++it) {
        const auto old = before.shardOwners.find(it->first);
        if (old == before.shardOwners.end() || old->second != it->second)
            logDebug("limits",
                     "Limit shard \"" + it->first + "\" is owned by instance \"" + it->second
                         + "\".");
    }
}

} // namespace

control_thread::control_thread(control_options options) : m_options(std::move(options)) { }

child_body control_thread::body(control_action_handler &actionHandler)
{
    return [this, &actionHandler](const std::stop_token &stop) { return run(stop, actionHandler); };
}

std::shared_ptr<const traffic_snapshot> control_thread::snapshot() const
{
    const std::lock_guard<std::mutex> lock(m_snapshotMutex);
    return m_snapshot;
}

request_decision control_thread::awaitDecision(std::uint64_t id,
                                               std::future<request_decision> decision)
{
    if (decision.wait_for(decisionTimeout) == std::future_status::ready)
        return decision.get();
    m_mailbox.post(request_end_report {.id = id});
    // An idempotency claim may have been created, but no further attempt was sent.
    return {.id = id,
            .action = refuse_decision {.status = 503,
                                       .code = "no-decision",
                                       .message = "no decision came in time",
                                       .retryAfter = std::chrono::seconds(1)}};
}

request_decision control_thread::admit(incoming_request request)
{
    const std::uint64_t id = request.id;
    const auto reply = std::make_shared<std::promise<request_decision>>();
    std::future<request_decision> decision = reply->get_future();
    m_mailbox.post(admit_message {.request = std::move(request), .reply = reply});
    return awaitDecision(id, std::move(decision));
}

request_decision control_thread::reportFailedAttempt(const attempt_failure_report &report)
{
    const auto reply = std::make_shared<std::promise<request_decision>>();
    std::future<request_decision> decision = reply->get_future();
    m_mailbox.post(failed_attempt_message {.report = report, .reply = reply});
    return awaitDecision(report.id, std::move(decision));
}

void control_thread::postPeerAnswer(std::uint64_t id, peer_answer answer)
{
    m_mailbox.post(peer_answer_message {.id = id, .answer = std::move(answer)});
}

void control_thread::postPeerFailure(std::uint64_t id, bool connectionRefused)
{
    m_mailbox.post(peer_failure_message {.id = id, .connectionRefused = connectionRefused});
}

void control_thread::postPlatformAnswer(std::uint64_t id, platform_answer answer)
{
    m_mailbox.post(platform_answer_message {.id = id, .answer = std::move(answer)});
}

void control_thread::postServerState(std::string server, std::optional<server_state_report> report)
{
    m_mailbox.post(server_state_message {.server = std::move(server), .report = std::move(report)});
}

void control_thread::postOrderDone(std::uint64_t id, bool accepted)
{
    m_mailbox.post(order_done_message {.id = id, .accepted = accepted});
}

std::optional<peer_answer> control_thread::handlePeerRequest(const peer_request &request)
{
    const auto reply = std::make_shared<std::promise<peer_answer>>();
    std::future<peer_answer> answer = reply->get_future();
    m_mailbox.post(peer_request_message {.request = request, .reply = reply});
    if (answer.wait_for(peerReplyTimeout) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

bool control_thread::holdsLease(const std::string &key)
{
    const auto reply = std::make_shared<std::promise<bool>>();
    std::future<bool> answer = reply->get_future();
    m_mailbox.post(holds_lease_message {.key = key, .reply = reply});
    return answer.wait_for(peerReplyTimeout) == std::future_status::ready && answer.get();
}

std::optional<Json::Value> control_thread::queryStatus()
{
    const auto reply = std::make_shared<std::promise<Json::Value>>();
    std::future<Json::Value> answer = reply->get_future();
    m_mailbox.post(status_message {.reply = reply});
    if (answer.wait_for(statusTimeout) != std::future_status::ready)
        return std::nullopt;
    return answer.get();
}

void control_thread::publish(std::shared_ptr<const traffic_snapshot> snapshot)
{
    const std::shared_ptr<const traffic_snapshot> before = this->snapshot();
    logChanges(*before, *snapshot);
    const std::lock_guard<std::mutex> lock(m_snapshotMutex);
    m_snapshot = std::move(snapshot);
}

/// Forwards each message to the control node. The clock is read when the message is handled, so
/// that a pause of the thread counts as elapsed time.
struct control_thread::dispatcher
{
    control_thread &owner;

    control_node &node() { return *owner.m_node; }

    void operator()(admit_message &message)
    {
        owner.m_pendingDecisions[message.request.id] = std::move(message.reply);
        node().begin(boot_clock::now(), std::move(message.request));
    }
    void operator()(failed_attempt_message &message)
    {
        owner.m_pendingDecisions[message.report.id] = std::move(message.reply);
        node().onFailed(boot_clock::now(), message.report);
    }
    void operator()(const first_token_report &report)
    {
        node().onFirstToken(boot_clock::now(), report);
    }
    void operator()(const request_end_report &report)
    {
        owner.m_pendingDecisions.erase(report.id);
        node().onEnd(boot_clock::now(), report);
    }
    void operator()(peer_request_message &message)
    {
        const std::uint64_t token = owner.m_nextReplyToken++;
        const std::optional<peer_answer> answer =
            node().onPeerRequest(boot_clock::now(), token, message.request);
        if (answer)
            message.reply->set_value(*answer);
        else
            owner.m_pendingPeerReplies[token] = std::move(message.reply);
    }
    void operator()(const peer_answer_message &message)
    {
        node().onPeerAnswer(boot_clock::now(), message.id, message.answer);
    }
    void operator()(const peer_failure_message &message)
    {
        node().onPeerFailure(boot_clock::now(), message.id, message.connectionRefused);
    }
    void operator()(const platform_answer_message &message)
    {
        node().onPlatformAnswer(boot_clock::now(), message.id, message.answer);
    }
    void operator()(const server_state_message &message)
    {
        node().onServerState(boot_clock::now(), message.server, message.report);
    }
    void operator()(const order_done_message &message)
    {
        node().onOrderDone(boot_clock::now(), message.id, message.accepted);
    }
    void operator()(const holds_lease_message &message)
    {
        message.reply->set_value(node().holds(boot_clock::now(), message.key));
    }
    void operator()(const status_message &message)
    {
        message.reply->set_value(node().status(boot_clock::now()));
    }
    void operator()(const leave_message &) { node().leave(boot_clock::now()); }
};

result<void> control_thread::run(const std::stop_token &stop, control_action_handler &actionHandler)
{
    m_node = std::make_unique<control_node>(m_options, boot_clock::now());
    dispatcher dispatch {*this};
    timestamp nextTick = boot_clock::now();
    while (!stop.stop_requested()) {
        const duration timeout = std::max<duration>(duration::zero(), nextTick - boot_clock::now());
        std::optional<message> next = m_mailbox.take(timeout);
        if (next)
            std::visit(dispatch, *next);
        const timestamp now = boot_clock::now();
        if (now >= nextTick) {
            nextTick = now + tickPeriod;
            m_node->tick(now, wallMilliseconds());
        }
        executeActions(actionHandler);
        m_openRequests.store(m_node->openRequests());
        m_leasesReleased.store(m_node->released());
    }
    return {};
}

void control_thread::executeActions(control_action_handler &actionHandler)
{
    for (control_action &action : m_node->takeActions()) {
        if (peer_send *send = std::get_if<peer_send>(&action)) {
            actionHandler.sendToPeer(std::move(*send));
        } else if (platform_call *call = std::get_if<platform_call>(&action)) {
            actionHandler.callPlatform(std::move(*call));
        } else if (server_poll *poll = std::get_if<server_poll>(&action)) {
            actionHandler.pollServer(std::move(*poll));
        } else if (server_order_call *order = std::get_if<server_order_call>(&action)) {
            actionHandler.sendLoadOrder(std::move(*order));
        } else if (publish_snapshot *publish = std::get_if<publish_snapshot>(&action)) {
            this->publish(std::move(publish->snapshot));
        } else if (request_decision *decision = std::get_if<request_decision>(&action)) {
            const auto found = m_pendingDecisions.find(decision->id);
            if (found == m_pendingDecisions.end())
                continue;
            found->second->set_value(std::move(*decision));
            m_pendingDecisions.erase(found);
        } else {
            const peer_reply &reply = std::get<peer_reply>(action);
            const auto found = m_pendingPeerReplies.find(reply.token);
            if (found == m_pendingPeerReplies.end())
                continue;
            found->second->set_value(reply.answer);
            m_pendingPeerReplies.erase(found);
        }
    }
}

} // namespace trefoil
