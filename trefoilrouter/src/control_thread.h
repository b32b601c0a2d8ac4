#pragma once

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include <control/control_node.h>
#include <core/mailbox.h>
#include <core/supervisor.h>

namespace trefoil {

/// Executes the I/O actions that the control node requests. Each method returns without blocking;
/// the outcome is reported through the post methods of control_thread.
class control_action_handler
{
public:
    virtual ~control_action_handler() = default;
    virtual void sendToPeer(peer_send action) = 0;
    virtual void callPlatform(platform_call action) = 0;
    virtual void pollServer(server_poll action) = 0;
    virtual void sendLoadOrder(server_order_call action) = 0;
};

/// The thread that owns the control node. Other threads post messages to its mailbox; some methods
/// wait for the reply. All methods except body() are thread-safe.
class control_thread
{
public:
    explicit control_thread(control_options options);

    /// Returns the supervised body of the thread. Precondition: @p actionHandler outlives it.
    child_body body(control_action_handler &actionHandler);

    /// @name Requests of callers
    /// @{

    /// Returns the newest snapshot.
    std::shared_ptr<const traffic_snapshot> snapshot() const;
    /// Returns an id for a new request, unique in this instance.
    std::uint64_t newRequestId() { return m_nextRequestId.fetch_add(1); }
    /// Requests admission and placement of @p request and blocks until the decision.
    request_decision admit(incoming_request request);
    /// Reports a failed attempt and blocks until the decision to retry or refuse.
    request_decision reportFailedAttempt(const attempt_failure_report &report);
    void reportFirstToken(const first_token_report &report) { m_mailbox.post(report); }
    void reportEnd(request_end_report report) { m_mailbox.post(std::move(report)); }

    /// @}
    /// @name Messages from I/O threads
    /// @{

    void postPeerAnswer(std::uint64_t id, peer_answer answer);
    void postPeerFailure(std::uint64_t id, bool connectionRefused);
    void postPlatformAnswer(std::uint64_t id, platform_answer answer);
    void postServerState(std::string server, std::optional<server_state_report> report);
    void postOrderDone(std::uint64_t id, bool accepted);
    /// Handles a peer's request and blocks until the answer; returns nothing on a timeout.
    std::optional<peer_answer> handlePeerRequest(const peer_request &request);
    /// Returns whether this instance holds the lease @p key now; false on a timeout. Must be called
    /// immediately before a load order is sent.
    bool holdsLease(const std::string &key);

    /// @}
    /// @name Operation
    /// @{

    /// Starts a graceful shutdown.
    void leave() { m_mailbox.post(leave_message {}); }
    /// Returns the status report, or nothing on a timeout.
    std::optional<Json::Value> queryStatus();
    /// Returns the number of open requests.
    std::size_t openRequests() const { return m_openRequests.load(); }
    /// Returns whether all leases were handed over after leave().
    bool hasReleasedLeases() const { return m_leasesReleased.load(); }

    /// @}

private:
    struct admit_message
    {
        incoming_request request;
        std::shared_ptr<std::promise<request_decision>> reply;
    };
    struct failed_attempt_message
    {
        attempt_failure_report report;
        std::shared_ptr<std::promise<request_decision>> reply;
    };
    struct peer_request_message
    {
        peer_request request;
        std::shared_ptr<std::promise<peer_answer>> reply;
    };
    struct peer_answer_message
    {
        std::uint64_t id = 0;
        peer_answer answer;
    };
    struct peer_failure_message
    {
        std::uint64_t id = 0;
        bool connectionRefused = false;
    };
    struct platform_answer_message
    {
        std::uint64_t id = 0;
        platform_answer answer;
    };
    struct server_state_message
    {
        std::string server;
        std::optional<server_state_report> report;
    };
    struct order_done_message
    {
        std::uint64_t id = 0;
        bool accepted = false;
    };
    struct holds_lease_message
    {
        std::string key;
        std::shared_ptr<std::promise<bool>> reply;
    };
    struct status_message
    {
        std::shared_ptr<std::promise<Json::Value>> reply;
    };
    struct leave_message
    { };
    using message =
        std::variant<admit_message, failed_attempt_message, first_token_report, request_end_report,
                     peer_request_message, peer_answer_message, peer_failure_message,
                     platform_answer_message, server_state_message, order_done_message,
                     holds_lease_message, status_message, leave_message>;
    struct dispatcher;

    result<void> run(const std::stop_token &stop, control_action_handler &actionHandler);
    void executeActions(control_action_handler &actionHandler);
    void publish(std::shared_ptr<const traffic_snapshot> snapshot);
    request_decision awaitDecision(std::uint64_t id, std::future<request_decision> decision);

    control_options m_options;
    mailbox<message> m_mailbox;
    std::atomic<std::uint64_t> m_nextRequestId = 1;
    std::atomic<std::size_t> m_openRequests = 0;
    std::atomic<bool> m_leasesReleased = false;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const traffic_snapshot> m_snapshot = std::make_shared<const traffic_snapshot>();

    // Accessed only by the control thread.
    std::unique_ptr<control_node> m_node;
    std::map<std::uint64_t, std::shared_ptr<std::promise<request_decision>>> m_pendingDecisions;
    std::map<std::uint64_t, std::shared_ptr<std::promise<peer_answer>>> m_pendingPeerReplies;
    std::uint64_t m_nextReplyToken = 1;
};

} // namespace trefoil
