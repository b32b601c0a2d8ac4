#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <gossip/rumor_store.h>

namespace trefoil {

/// Identity and addresses that an instance announces about itself.
struct member_info
{
    std::string name;
    std::string zone;
    std::string region;
    /// "address:port" of the listener for callers.
    std::string callers;
    /// "address:port" of the listener for peers.
    std::string peers;
    /// Increases with each start of the instance, each refuted suspicion and when it starts to
    /// leave.
    std::uint64_t incarnation = 0;
    /// Whether it is shutting down: it finishes its streams and takes no new work.
    bool leaving = false;

    bool operator==(const member_info &) const = default;
};

/// State of a member. The order of the values matters: of two states of the same incarnation, the
/// one with the higher value takes precedence.
enum class member_state { Alive, Suspect, Dead };

/// A member and its state as known to this instance.
struct member
{
    member_info info;
    member_state state = member_state::Alive;

    bool operator==(const member &) const = default;
};

/// Probes a peer and carries rumors; answered by a gossip_ack.
struct gossip_ping
{
    std::string from;
    std::vector<rumor> rumors;
};

/// Answer to a ping.
struct gossip_ack
{
    std::vector<rumor> rumors;
};

/// Asks a peer to probe @p target on the sender's behalf (SWIM's ping-req); answered by a
/// gossip_relayed.
struct gossip_relay
{
    std::string from;
    /// "address:port" of the peer listener of the member to probe.
    std::string target;
};

/// Result of a relayed probe.
struct gossip_relayed
{
    /// Whether the target answered.
    bool reached = false;
};

/// Asks for the rumors of the buckets whose hashes differ from these; answered by a gossip_ack.
struct gossip_sync
{
    std::string from;
    bucket_hashes hashes {};
};

using gossip_request = std::variant<gossip_ping, gossip_relay, gossip_sync>;
using gossip_answer = std::variant<gossip_ack, gossip_relayed>;

/// A request to send to a peer. The caller reports its answer or failure under the same id.
struct gossip_call
{
    std::uint64_t id = 0;
    /// "address:port" of the peer.
    std::string to;
    gossip_request request;
};

/// Options of a membership.
struct membership_options
{
    member_info self;
    /// "address:port" of the peers to contact first. Later, one of them is contacted occasionally.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;
    /// Protocol period: one member is probed per period.
    duration period = std::chrono::seconds(1);
    /// Members asked to relay a probe when the direct probe fails.
    int relays = 3;
    /// Maximum bytes of rumors in one message, except in answers to a gossip_sync.
    std::size_t maxMessageBytes = 1400;
    /// Periods between two anti-entropy syncs with a random member.
    int syncPeriods = 5;
    /// Members that a rumor of an urgent topic is sent to at once.
    int urgentFanout = 3;
    std::vector<std::string> urgentTopics;
    /// How long a dead member is kept, so that outdated rumors about it are recognised.
    duration tombstoneLifetime = std::chrono::minutes(10);
};

/// SWIM failure detection and dissemination of rumors on one instance, as a state machine without
/// I/O or a clock.
///
///     membership fleet({ .self = info, .seeds = seeds, .randomSeed = 1 });
///     for (const gossip_call &call : fleet.tick(now))
///         send(call);                      // later fleet.onAnswer(...) or fleet.onFailure(...)
///     for (const rumor &item : fleet.takeUpdates())
///         handle(item);
///
/// Call tick() several times per period. Not thread-safe: the control thread owns it.
class membership
{
public:
    /// Topic of rumors about the state of members.
    static constexpr const char *memberTopic = "member";

    explicit membership(membership_options options);

    /// @name Protocol
    /// @{

    /// Starts probes and syncs, and expires calls and suspicions. Returns the calls to make.
    std::vector<gossip_call> tick(timestamp now);
    /// Handles a peer's request and returns the answer. For a gossip_relay it returns nothing: the
    /// next tick() returns the call to the target, and the caller answers the request once
    /// takeFinishedRelays() returns @p relayId.
    std::optional<gossip_answer> onRequest(timestamp now, const gossip_request &request,
                                           std::uint64_t relayId);
    /// Handles the answer to the call @p id. An unknown id is ignored.
    void onAnswer(timestamp now, std::uint64_t id, const gossip_answer &answer);
    /// Handles the failure of the call @p id. An unknown id is ignored.
    void onFailure(timestamp now, std::uint64_t id);
    /// Returns and removes the finished relays: their relay id, and whether the target answered.
    std::vector<std::pair<std::uint64_t, bool>> takeFinishedRelays();

    /// @}
    /// @name Rumors
    /// @{

    /// Disseminates @p item. Returns false if this instance already knows it or a newer version.
    bool publish(const rumor &item);
    /// Returns and removes the rumors received from others and the changes of member states since
    /// the last call, in order.
    std::vector<rumor> takeUpdates();
    /// Returns the rumors that this instance knows.
    const rumor_store &rumors() const { return m_rumors; }

    /// @}
    /// @name Members
    /// @{

    /// Returns the member @p name, or nothing if it is unknown.
    std::optional<member> find(std::string_view name) const;
    /// Returns all members that are not dead, including this instance, sorted by name.
    std::vector<member> members() const;
    /// Announces that this instance is leaving. Can't be undone.
    void setLeaving();
    /// Returns what this instance announces about itself.
    const member_info &self() const { return m_options.self; }

    /// @}

private:
    /// A probe of a member that is not finished.
    struct probe
    {
        std::string name;
        std::string address;
        bool relaysAsked = false;
        int pendingRelays = 0;
        timestamp deadline;
    };
    /// Purpose of a call that is not answered yet.
    struct pending_call
    {
        enum class call_kind {
            Probe,
            Relay,
            RelayTarget,
            Disseminate
        } kind = call_kind::Disseminate;
        std::string name;
        std::uint64_t relayId = 0;
        timestamp deadline;
    };

    void startPeriod(timestamp now, std::vector<gossip_call> &calls);
    void startProbe(timestamp now, std::vector<gossip_call> &calls);
    void startSync(timestamp now, std::vector<gossip_call> &calls);
    void sendUrgentRumors(timestamp now, std::vector<gossip_call> &calls);
    void advanceProbes(timestamp now, std::vector<gossip_call> &calls);
    void expireCalls(timestamp now);
    void expireSuspicions(timestamp now);
    std::string nextTarget();
    std::vector<member> randomPeers(std::size_t count, std::string_view except);
    gossip_call registerCall(timestamp now, std::string to, gossip_request request,
                             pending_call pendingCall);
    std::vector<rumor> pickRumors();
    void mergeRumors(timestamp now, const std::vector<rumor> &rumors);
    void mergeMember(timestamp now, const rumor &item);
    void publishSelf();
    void publishState(const member &subject);
    void markSuspect(timestamp now, std::string_view name);
    void removeProbe(std::string_view name);
    void failProbe(timestamp now, std::string_view name);
    int maxSends() const;
    duration suspicionTimeout() const;

    membership_options m_options;
    std::mt19937_64 m_random;
    rumor_store m_rumors;
    std::vector<rumor> m_updates;
    std::map<std::string, member, std::less<>> m_members;
    std::map<std::string, timestamp, std::less<>> m_suspectedAt;
    std::map<std::string, timestamp, std::less<>> m_diedAt;
    std::vector<std::string> m_probeOrder;
    std::optional<timestamp> m_nextPeriodAt;
    int m_periodCount = 0;
    bool m_hasUrgentRumors = false;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, pending_call> m_calls;
    std::map<std::string, probe, std::less<>> m_probes;
    std::vector<std::pair<std::uint64_t, std::string>> m_relayQueue;
    std::vector<std::pair<std::uint64_t, bool>> m_finishedRelays;
};

/// Returns the rumor that disseminates the state of @p subject. Thread-safe.
rumor toRumor(const member &subject);

/// Parses a rumor of the member topic. Returns nothing if it is malformed. Thread-safe.
std::optional<member> memberFromRumor(const rumor &item);

} // namespace trefoil
