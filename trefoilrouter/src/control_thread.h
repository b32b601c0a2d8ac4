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

/// Carries out what control decides; each method returns at once and reports by the control
/// thread's post methods.
class control_outlet
{
public:
    virtual ~control_outlet() = default;
    virtual void send(peer_send action) = 0;
    virtual void call(platform_call action) = 0;
    virtual void poll(server_poll action) = 0;
    virtual void order(server_order_call action) = 0;
};

/// The one thread that owns control state. Other threads post typed messages to it, or ask and
/// wait. All methods but body() are thread-safe.
class control_thread
{
public:
    explicit control_thread(control_options options);

    /// Returns the child that runs the thread. Precondition: @p outlet outlives it.
    child_body body(control_outlet &outlet);

    /// @name Traffic
    /// @{

    /// Returns the newest snapshot.
    std::shared_ptr<const traffic_snapshot> snapshot() const;
    /// Returns a number for a new request.
    std::uint64_t newRequestId() { return m_nextRequest.fetch_add(1); }
    /// Asks for the admission and placement of a request, and waits for the decision.
    request_decision begin(incoming_request request);
    /// Reports a failed attempt, and waits for what to do next.
    request_decision failed(const attempt_failure_report &report);
    void firstToken(const first_token_report &report) { m_mailbox.post(report); }
    void end(request_end_report report) { m_mailbox.post(std::move(report)); }

    /// @}
    /// @name Reports
    /// @{

    void postPeerAnswer(std::uint64_t id, peer_answer answer);
    void postPeerFailure(std::uint64_t id, bool connectionRefused);
    void postPlatformAnswer(std::uint64_t id, platform_answer answer);
    void postServerState(std::string server, std::optional<server_state_report> report);
    void postOrderDone(std::uint64_t id, bool accepted);
    /// Answers a peer's request; nothing when control took too long.
    std::optional<peer_answer> askPeerRequest(const peer_request &request);
    /// Returns whether the right @p key is held right now: asked directly before an order is sent.
    bool askHolds(const std::string &key);

    /// @}
    /// @name Operation
    /// @{

    /// Starts a graceful shutdown.
    void leave() { m_mailbox.post(leave_message {}); }
    /// Returns the status report, or nothing when control took too long.
    std::optional<Json::Value> askStatus();
    /// Returns the number of open requests.
    std::size_t openRequests() const { return m_openRequests.load(); }
    /// Returns whether all rights were handed over.
    bool released() const { return m_released.load(); }

    /// @}

private:
    struct begin_message
    {
        incoming_request request;
        std::shared_ptr<std::promise<request_decision>> reply;
    };
    struct failed_message
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
    struct holds_message
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
        std::variant<begin_message, failed_message, first_token_report, request_end_report,
                     peer_request_message, peer_answer_message, peer_failure_message,
                     platform_answer_message, server_state_message, order_done_message,
                     holds_message, status_message, leave_message>;
    struct dispatcher;

    result<void> run(const std::stop_token &stop, control_outlet &outlet);
    void carryOut(control_outlet &outlet);
    void publish(std::shared_ptr<const traffic_snapshot> snapshot);
    request_decision await(std::uint64_t id, std::future<request_decision> decision);

    control_options m_options;
    mailbox<message> m_mailbox;
    std::atomic<std::uint64_t> m_nextRequest = 1;
    std::atomic<std::size_t> m_openRequests = 0;
    std::atomic<bool> m_released = false;
    mutable std::mutex m_snapshotMutex;
    std::shared_ptr<const traffic_snapshot> m_snapshot = std::make_shared<const traffic_snapshot>();

    // Owned by the control thread.
    std::unique_ptr<control_node> m_node;
    std::map<std::uint64_t, std::shared_ptr<std::promise<request_decision>>> m_decisions;
    std::map<std::uint64_t, std::shared_ptr<std::promise<peer_answer>>> m_peerReplies;
    std::uint64_t m_nextToken = 1;
};

} // namespace trefoil
