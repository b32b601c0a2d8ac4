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
#include <control/platform_link.h>
#include <control/rollout_desk.h>
#include <control/traffic_desk.h>
#include <control/traffic_snapshot.h>
#include <core/clock.h>
#include <gossip/membership.h>
#include <lease/lease_manager.h>
#include <limits/rate_limiter.h>

namespace trefoil {

/// Options of a control node.
struct control_options
{
    member_info self;
    /// "address:port" of peers' listeners asked first.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;
    int limitShards = 32;
};

/// Actions that the driver carries out. @{

/// Send a request to a peer; report its answer or failure under @c id.
struct peer_send
{
    std::uint64_t id = 0;
    std::string to;
    peer_request request;
};
/// Answer a peer's request that onPeerRequest() did not answer at once.
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
/// Read a backend server's load and its cache events from @c fromSequence on.
struct server_poll
{
    std::string server;
    endpoint address;
    std::string credential;
    std::uint64_t fromSequence = 0;
};
/// Give an order to a backend server; report the outcome.
struct server_order_call
{
    std::uint64_t id = 0;
    server_order order;
};
/// Hand the snapshot to the traffic threads.
struct publish_snapshot
{
    std::shared_ptr<const traffic_snapshot> snapshot;
};
using control_action = std::variant<peer_send, peer_reply, platform_call, server_poll,
                                    server_order_call, traffic_decision, publish_snapshot>;
/// @}

/// One cache event of a backend server.
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

/// All control state of one instance: a pure state machine.
///
///     control_node node(options, now);
///     node.tick(now, wallMilliseconds());
///     for (control_action &action : node.takeActions())
///         carryOut(std::move(action));
///
/// tick() is to be called about every 10 ms and takeActions() after every event. Not thread-safe:
/// one control thread owns it.
class control_node
{
public:
    control_node(control_options options, timestamp now);

    /// @name Events
    /// @{

    /// Lets time pass. @p wallMilliseconds is used for deadlines of rollouts and versions of
    /// rumors.
    void tick(timestamp now, std::uint64_t wallMilliseconds);
    /// Answers a peer at once, or later by a peer_reply with @p token.
    std::optional<peer_answer> onPeerRequest(timestamp now, std::uint64_t token,
                                             const peer_request &request);
    /// Takes a peer's answer to call @p id; unknown numbers are ignored, here and below.
    void onPeerAnswer(timestamp now, std::uint64_t id, const peer_answer &answer);
    /// Notes that call @p id had no answer; see lease_manager::onFailure() for the last argument.
    void onPeerFailure(timestamp now, std::uint64_t id, bool connectionRefused);
    /// Takes the platform's answer to call @p id, of the kind that belongs to its request.
    void onPlatformAnswer(timestamp now, std::uint64_t id, const platform_answer &answer);
    /// Takes a poll's answer; nothing where the server did not give one.
    void onServerState(timestamp now, const std::string &server,
                       const std::optional<server_state_report> &report);
    /// Takes the outcome of order @p id.
    void onOrderDone(timestamp now, std::uint64_t id, bool accepted);
    /// Starts a graceful shutdown: hands rights over and takes no new ones.
    void leave(timestamp now);

    /// @}
    /// @name Traffic
    /// See traffic_desk for each.
    /// @{

    void begin(timestamp now, traffic_begin request);
    void onFailed(timestamp now, const traffic_failed &report);
    void onFirstToken(timestamp now, const traffic_first_token &report);
    void onEnd(timestamp now, const traffic_end &report);

    /// @}
    /// @name Results
    /// @{

    /// Returns what is to be done since the last call, in order.
    std::vector<control_action> takeActions();
    /// Returns whether this instance holds the right @p key at @p now; asked directly before an
    /// order is sent.
    bool holds(timestamp now, const std::string &key) const { return m_leases.holds(now, key); }
    /// Returns what status prints, as JSON.
    Json::Value status(timestamp now);
    /// Returns whether all rights were handed over after leave().
    bool released() const { return m_leases.released(); }
    /// Returns the number of requests not ended.
    std::size_t openRequests() const { return m_traffic.open(); }

    /// @}

private:
    /// What an open call to a peer or the platform was made for. @{
    struct for_gossip
    {
        std::uint64_t id = 0;
    };
    struct for_lease
    {
        std::uint64_t id = 0;
    };
    struct for_grant
    {
        std::uint64_t id = 0;
    };
    struct for_fetch
    {
        std::string name;
    };
    struct for_link
    {
        platform_link::read kind = platform_link::read::Objects;
        std::string prefix;
    };
    struct for_lease_read
    {
        std::string key;
    };
    struct for_lease_write
    {
        std::string key;
    };
    struct for_claim
    {
        claim_call::operation kind = claim_call::operation::Create;
        std::uint64_t id = 0;
    };
    struct for_rollout
    {
        std::string pool;
    };
    struct for_status
    {
        bool isRead = false;
    };
    struct for_config
    { };
    /// @}
    using peer_purpose = std::variant<for_gossip, for_lease, for_grant, for_fetch>;
    using platform_purpose = std::variant<for_link, for_lease_read, for_lease_write, for_claim,
                                          for_rollout, for_status, for_config>;

    /// A configuration object known to be newer elsewhere.
    struct pending_fetch
    {
        std::uint64_t version = 0;
        std::string origin;
        int tries = 0;
        bool open = false;
        timestamp nextTry;
    };

    void sendPeer(std::string to, peer_request request, peer_purpose purpose);
    void callPlatform(platform_request request, platform_purpose purpose);
    std::string peerAddress(const std::string &name) const;

    void tickMembership(timestamp now);
    void tickLeases(timestamp now);
    void tickLimits(timestamp now);
    void tickLink(timestamp now);
    void tickFetches(timestamp now);
    void tickPolls(timestamp now);
    void tickRollouts(timestamp now);
    void tickEvidence(timestamp now);
    void tickStatus(timestamp now);
    void flushTraffic(timestamp now);
    void flushLeaseEvents(timestamp now);

    void onNews(timestamp now, const rumor &item);
    void onEvidenceRumor(const rumor &item);
    void takeObject(timestamp now, const object &item);
    void takeObjects(timestamp now, const std::vector<object> &items);
    void onLinkAnswer(timestamp now, const for_link &purpose, const platform_answer &answer);
    void onWriteAnswer(timestamp now, const platform_purpose &purpose,
                       const result<std::uint64_t> &answer);
    void publishInForce();
    Json::Value reportMembers() const;
    Json::Value reportVersions() const;
    Json::Value reportRollouts() const;
    bool isWatcher() const;
    bool isFirstFor(std::string_view duty) const;
    bool reachesMajority() const;
    void updateAttachment(timestamp now);
    void publishSnapshot();
    std::uint64_t nextRumorVersion();

    control_options m_options;
    std::mt19937_64 m_random;
    std::uint64_t m_wallMilliseconds = 0;
    membership m_members;
    lease_manager m_leases;
    rate_limiter m_limits;
    traffic_desk m_traffic;
    rollout_desk m_rollouts;
    platform_link m_link;
    configuration_store m_configuration;

    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, peer_purpose> m_peerCalls;
    std::map<std::uint64_t, platform_purpose> m_platformCalls;
    std::map<std::uint64_t, server_order> m_orders;
    std::map<std::string, pending_fetch, std::less<>> m_fetches;
    std::map<std::string, std::uint64_t, std::less<>> m_eventSequences;
    std::map<std::string, timestamp, std::less<>> m_nextPoll;
    std::set<std::string, std::less<>> m_openPolls;
    std::vector<std::string> m_listed;
    std::map<std::string, outcome_counts> m_seenEvidence;
    std::map<traffic_desk::evidence_key, outcome_counts> m_publishedEvidence;
    std::uint64_t m_rumorVersion = 0;
    timestamp m_nextFleet;
    timestamp m_nextEvidence;
    timestamp m_nextStatus;
    std::uint64_t m_statusVersion = 0;
    bool m_statusKnown = false;
    bool m_statusOpen = false;
    std::string m_statusWritten;
    std::optional<timestamp> m_peerAnswerAt;
    std::shared_ptr<const configuration_view> m_inForce;
    traffic_snapshot m_snapshot;
    bool m_snapshotDirty = true;
    bool m_isWatcher = false; // as of the last change of members
    std::vector<control_action> m_actions;
};

} // namespace trefoil
