#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <control/configuration_store.h>
#include <control/peer_codec.h>
#include <control/platform_read_scheduler.h>
#include <control/request_coordinator.h>
#include <control/rollout_coordinator.h>
#include <control/traffic_snapshot.h>
#include <core/clock.h>
#include <gossip/membership.h>
#include <lease/lease_manager.h>
#include <limits/rate_limiter.h>

namespace trefoil {

/// Options of a control_node.
struct control_options
{
    member_info self;
    /// Addresses ("address:port") of the peer listeners contacted first to join the fleet.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;
    /// Number of leases over which the limits of all teams are hashed.
    int limitShards = 32;
};

/// Actions that the embedding program must execute. @{

/// Send a request to the peer at address @c to; report its answer or failure under @c id.
struct peer_send
{
    std::uint64_t id = 0;
    std::string to;
    peer_request request;
};
/// Send the answer to the peer's request that was passed to onPeerRequest() with @c token and not
/// answered immediately.
struct peer_reply
{
    std::uint64_t token = 0;
    peer_answer answer;
};
/// Call the platform; report the answer under @c id.
struct platform_call
{
    std::uint64_t id = 0;
    platform_request request;
};
/// Read the load of a backend server and its cache events from @c fromSequence on.
struct server_poll
{
    std::string server;
    endpoint address;
    std::string credential;
    std::uint64_t fromSequence = 0;
};
/// Send an order to a backend server; report the outcome under @c id.
struct server_order_call
{
    std::uint64_t id = 0;
    server_order order;
};
/// Publish the snapshot to the request threads.
struct publish_snapshot
{
    std::shared_ptr<const traffic_snapshot> snapshot;
};
using control_action = std::variant<peer_send, peer_reply, platform_call, server_poll,
                                    server_order_call, request_decision, publish_snapshot>;
/// @}

/// A change of a backend server's prefix cache.
struct cache_event
{
    std::uint64_t sequence = 0;
    std::vector<digest128> stored;
    std::vector<digest128> evicted;
};

/// Answer to a server_poll.
struct server_state_report
{
    load_report load;
    /// Version that the server runs; empty while it loads one.
    std::string version;
    std::vector<cache_event> events;
    std::uint64_t nextSequence = 0;
};

/// Complete control state of one instance, as a pure state machine.
///
///     control_node node(options, now);
///     node.tick(now, wallMilliseconds());
///     for (control_action &action : node.takeActions())
///         execute(std::move(action));
///
/// tick() must be called about every 20 ms and takeActions() after every event. Not thread-safe: it
/// is owned by one control thread.
class control_node
{
public:
    control_node(control_options options, timestamp now);

    /// @name Events
    /// @{

    /// Advances time and does the periodic work. @p wallMilliseconds: wall-clock time in
    /// milliseconds since the epoch, used for rollout deadlines and rumor versions.
    void tick(timestamp now, std::uint64_t wallMilliseconds);
    /// Handles a peer's request. Returns the answer, or nothing if it follows in a peer_reply with
    /// @p token.
    std::optional<peer_answer> onPeerRequest(timestamp now, std::uint64_t token,
                                             const peer_request &request);
    /// Handles a peer's answer to call @p id. Unknown identifiers are ignored, here and below.
    void onPeerAnswer(timestamp now, std::uint64_t id, const peer_answer &answer);
    /// Handles the failure of call @p id. See lease_manager::onFailure() for @p connectionRefused.
    void onPeerFailure(timestamp now, std::uint64_t id, bool connectionRefused);
    /// Handles the platform's answer to call @p id. Precondition: @p answer holds the alternative
    /// that belongs to the request.
    void onPlatformAnswer(timestamp now, std::uint64_t id, const platform_answer &answer);
    /// Handles the answer to a server_poll; @p report is empty if the server did not answer.
    void onServerState(timestamp now, const std::string &server,
                       const std::optional<server_state_report> &report);
    /// Handles the outcome of order @p id.
    void onOrderDone(timestamp now, std::uint64_t id, bool accepted);
    /// Starts a graceful shutdown: hands the held leases over and acquires no new ones.
    void leave(timestamp now);

    /// @}
    /// @name Requests
    /// See the functions of the same names in request_coordinator.
    /// @{

    void begin(timestamp now, incoming_request request);
    void onFailed(timestamp now, const attempt_failure_report &report);
    void onFirstToken(timestamp now, const first_token_report &report);
    void onEnd(timestamp now, const request_end_report &report);

    /// @}
    /// @name Results
    /// @{

    /// Returns the actions produced since the last call, in order of execution.
    std::vector<control_action> takeActions();
    /// Returns whether this instance holds the lease @p key at @p now. Must be checked directly
    /// before an order is sent.
    bool holds(timestamp now, const std::string &key) const { return m_leases.holds(now, key); }
    /// Returns the status report as JSON.
    Json::Value status(timestamp now);
    /// Returns whether this instance owns no lease and has no lease write in flight. After leave()
    /// this means that all leases were handed over.
    bool released() const { return m_leases.released(); }
    /// Returns the number of requests in progress.
    std::size_t openRequests() const { return m_requestCoordinator.openRequests(); }

    /// @}

private:
    /// Context of a pending call to a peer or the platform, needed to handle its answer. @{
    struct gossip_context
    {
        std::uint64_t id = 0;
    };
    struct lease_context
    {
        std::uint64_t id = 0;
    };
    struct grant_context
    {
        std::uint64_t id = 0;
    };
    struct fetch_context
    {
        std::string name;
    };
    struct scheduled_read_context
    {
        platform_read_scheduler::read_kind kind = platform_read_scheduler::read_kind::Objects;
        std::string prefix;
    };
    struct lease_read_context
    {
        std::string key;
    };
    struct lease_write_context
    {
        std::string key;
    };
    struct claim_context
    {
        claim_call::operation kind = claim_call::operation::Create;
        std::uint64_t id = 0;
    };
    struct rollout_write_context
    {
        std::string pool;
    };
    struct status_context
    {
        bool isRead = false;
    };
    struct object_read_context
    { };
    /// @}
    using peer_call_context =
        std::variant<gossip_context, lease_context, grant_context, fetch_context>;
    using platform_call_context =
        std::variant<scheduled_read_context, lease_read_context, lease_write_context, claim_context,
                     rollout_write_context, status_context, object_read_context>;

    /// Pending fetch of a configuration object of which a newer version was announced.
    struct pending_fetch
    {
        std::uint64_t version = 0;
        /// Instance that announced the version.
        std::string origin;
        int attempts = 0;
        bool inFlight = false;
        timestamp nextAttempt;
    };

    void sendPeer(std::string to, peer_request request, peer_call_context context);
    void callPlatform(platform_request request, platform_call_context context);
    std::string peerAddress(const std::string &name) const;

    void tickMembership(timestamp now);
    void tickLeases(timestamp now);
    void tickLimits(timestamp now);
    void tickPlatformReads(timestamp now);
    void tickFetches(timestamp now);
    void tickPolls(timestamp now);
    void tickRollouts(timestamp now);
    void publishOutcomes(timestamp now);
    void tickStatus(timestamp now);
    void flushRequestResults(timestamp now);
    void flushLeaseEvents(timestamp now);

    void onRumor(timestamp now, const rumor &item);
    void onOutcomesRumor(const rumor &item);
    void applyObject(timestamp now, const object &item);
    void applyObjects(timestamp now, const std::vector<object> &items);
    void onScheduledRead(timestamp now, const scheduled_read_context &context,
                         const platform_answer &answer);
    void onWriteAnswer(timestamp now, const platform_call_context &context,
                       const result<std::uint64_t> &answer);
    void publishActiveVersions();
    Json::Value reportMembers() const;
    Json::Value reportVersions() const;
    Json::Value reportRollouts() const;
    /// Returns whether this instance is among the instances of its zone that watch the
    /// configuration.
    bool isWatcher() const;
    /// Returns whether rendezvous hashing assigns the fleet-wide @p task to this instance.
    bool isResponsibleFor(std::string_view task) const;
    /// Returns whether more than half of the fleet is alive from this instance's point of view.
    bool seesMajority() const;
    /// Updates traffic_snapshot::attached.
    void updateConnectivity(timestamp now);
    void publishSnapshot();
    /// Returns a version above those of all rumors that this instance published before.
    std::uint64_t nextRumorVersion();

    control_options m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_wallMilliseconds = 0;
    membership m_members;
    lease_manager m_leases;
    rate_limiter m_limits;
    request_coordinator m_requestCoordinator;
    rollout_coordinator m_rolloutCoordinator;
    platform_read_scheduler m_platformReads;
    configuration_store m_configuration;

    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, peer_call_context> m_peerCalls;
    std::map<std::uint64_t, platform_call_context> m_platformCalls;
    std::map<std::uint64_t, server_order> m_pendingOrders;
    std::map<std::string, pending_fetch, std::less<>> m_fetches;
    std::map<std::string, std::uint64_t, std::less<>> m_eventSequences;
    std::map<std::string, timestamp, std::less<>> m_nextPoll;
    std::set<std::string, std::less<>> m_pollsInFlight;
    std::vector<std::string> m_listedInstances;
    std::map<std::string, outcome_counts> m_seenOutcomes;
    std::map<request_coordinator::outcome_key, outcome_counts> m_publishedOutcomes;
    std::uint64_t m_rumorVersion = 0;
    timestamp m_nextFleetUpdate;
    timestamp m_nextOutcomePublish;
    timestamp m_nextStatus;
    std::uint64_t m_statusVersion = 0;
    bool m_statusVersionKnown = false;
    bool m_statusCallInFlight = false;
    std::string m_lastStatusText;
    std::optional<timestamp> m_lastPeerAnswer;
    std::shared_ptr<const configuration_snapshot> m_activeConfiguration;
    traffic_snapshot m_snapshot;
    bool m_snapshotDirty = true;
    bool m_isWatcher = false; // updated when the members change
    std::vector<control_action> m_actions;
};

} // namespace trefoil
