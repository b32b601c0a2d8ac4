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

/// What an instance says of itself.
struct member_info
{
    std::string name;
    std::string zone;
    std::string region;
    /// "address:port" of the callers' listener.
    std::string callers;
    /// "address:port" of the peers' listener.
    std::string peers;
    /// Rises with each start of the instance and each time it contradicts a suspicion.
    std::uint64_t incarnation = 0;
    /// Whether it is shutting down: it finishes its streams and takes no new work.
    bool leaving = false;

    bool operator==(const member_info &) const = default;
};

/// What the fleet believes of a member. The order matters: of two beliefs about the same
/// incarnation the later one wins.
enum class member_state { Alive, Suspect, Dead };

/// A member and the belief about it.
struct member
{
    member_info info;
    member_state state = member_state::Alive;

    bool operator==(const member &) const = default;
};

/// Probe of a peer, carrying rumors; answered by a gossip_ack.
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

/// Asks a peer to probe @p target in the sender's place; answered by a gossip_relayed.
struct gossip_relay
{
    std::string from;
    /// "address:port" of the peers' listener of the member to probe.
    std::string target;
};

/// Says whether the relayed probe was answered.
struct gossip_relayed
{
    bool reached = false;
};

/// Asks for the rumors of buckets whose hashes differ; answered by a gossip_ack.
struct gossip_sync
{
    std::string from;
    bucket_hashes hashes {};
};

using gossip_request = std::variant<gossip_ping, gossip_relay, gossip_sync>;
using gossip_answer = std::variant<gossip_ack, gossip_relayed>;

/// A request to be sent to a peer. The driver reports its answer or failure under the same id.
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
    /// "address:port" of peers to ask before any member is known.
    std::vector<std::string> seeds;
    std::uint64_t randomSeed = 0;
    /// One member is probed a period.
    duration period = std::chrono::seconds(1);
    /// Members asked to probe in our place when a probe fails.
    int relays = 3;
    /// Bytes of rumors in one message.
    std::size_t maxMessageBytes = 1400;
    /// Periods between two comparisons of hashes with a random member.
    int syncPeriods = 5;
    /// Members that news of an urgent topic is sent to at once.
    int urgentFanout = 3;
    std::vector<std::string> urgentTopics;
    /// How long a dead member is remembered, so that old news of it is recognised.
    duration tombstoneLife = std::chrono::minutes(10);
};

/// Failure detection and spread of rumors on one instance: a pure state machine.
///
///     membership fleet({ .self = info, .seeds = seeds, .randomSeed = 1 });
///     for (const gossip_call &call : fleet.tick(now))
///         send(call);                      // later fleet.onAnswer(...) or fleet.onFailure(...)
///     for (const rumor &item : fleet.takeNews())
///         react(item);
///
/// tick() is called several times a period. Not thread-safe: the control thread owns it.
class membership
{
public:
    /// Topic of the rumors about members.
    static constexpr const char *memberTopic = "member";

    explicit membership(membership_options options);

    /// @name Driving
    /// @{

    /// Starts probes, gives up late ones and expires suspicions. Returns the calls to make.
    std::vector<gossip_call> tick(timestamp now);
    /// Answers a peer's request. A relay returns nothing now: the driver makes the calls of the
    /// next tick() and answers when takeRelayed() names @p relayId.
    std::optional<gossip_answer> onRequest(timestamp now, const gossip_request &request,
                                           std::uint64_t relayId);
    /// Takes the answer to the call @p id. An unknown id is ignored.
    void onAnswer(timestamp now, std::uint64_t id, const gossip_answer &answer);
    /// Notes that the call @p id failed. An unknown id is ignored.
    void onFailure(timestamp now, std::uint64_t id);
    /// Returns the finished relays and whether each target was reached, and forgets them.
    std::vector<std::pair<std::uint64_t, bool>> takeRelayed();

    /// @}
    /// @name Rumors
    /// @{

    /// Spreads @p item. Returns whether it was news to this instance.
    bool publish(const rumor &item);
    /// Returns what became known from others since the last call, in order.
    std::vector<rumor> takeNews();
    /// The rumors known.
    const rumor_store &rumors() const { return m_rumors; }

    /// @}
    /// @name Members
    /// @{

    /// Returns the member @p name, or nothing where it is unknown.
    std::optional<member> find(std::string_view name) const;
    /// Returns all members but the dead, this instance included, in the order of their names.
    std::vector<member> members() const;
    /// Changes what this instance says of itself: whether it is leaving.
    void setLeaving();
    /// Returns what this instance says of itself.
    const member_info &self() const { return m_options.self; }

    /// @}

private:
    /// A probe on its way to a member.
    struct probe
    {
        std::string name;
        std::string address;
        bool relayed = false;
        int openRelays = 0;
        timestamp deadline;
    };
    /// What a call was made for.
    struct open_call
    {
        enum class purpose { Probe, Relay, RelayTarget, Spread } kind = purpose::Spread;
        std::string name;
        std::uint64_t relayId = 0;
        timestamp deadline;
    };

    void startPeriod(timestamp now, std::vector<gossip_call> &calls);
    void startProbe(timestamp now, std::vector<gossip_call> &calls);
    void startSync(timestamp now, std::vector<gossip_call> &calls);
    void sendUrgent(timestamp now, std::vector<gossip_call> &calls);
    void askRelays(timestamp now, std::vector<gossip_call> &calls);
    void expireCalls(timestamp now);
    void expireSuspicions(timestamp now);
    std::string nextTarget();
    std::vector<member> randomPeers(std::size_t count, std::string_view except);
    gossip_call call(timestamp now, std::string to, gossip_request request, open_call purpose);
    std::vector<rumor> pickRumors();
    void mergeAll(timestamp now, const std::vector<rumor> &rumors);
    void mergeMember(timestamp now, const rumor &item);
    void publishSelf();
    void publishBelief(const member &about);
    void suspect(timestamp now, std::string_view name);
    void finishProbe(std::string_view name);
    void failProbe(timestamp now, std::string_view name);
    int maxSends() const;
    duration suspicionTimeout() const;

    membership_options m_options;
    std::mt19937_64 m_random;
    rumor_store m_rumors;
    std::vector<rumor> m_news;
    std::map<std::string, member, std::less<>> m_members;
    std::map<std::string, timestamp, std::less<>> m_suspectedAt;
    std::map<std::string, timestamp, std::less<>> m_diedAt;
    std::vector<std::string> m_ring;
    std::optional<timestamp> m_nextPeriod;
    int m_periods = 0;
    bool m_urgent = false;
    std::uint64_t m_nextId = 1;
    std::map<std::uint64_t, open_call> m_calls;
    std::map<std::string, probe, std::less<>> m_probes;
    std::vector<std::pair<std::uint64_t, std::string>> m_relayQueue;
    std::vector<std::pair<std::uint64_t, bool>> m_relayed;
};

/// Returns the rumor that spreads the belief @p about. Thread-safe.
rumor toRumor(const member &about);

/// Reads a belief from a rumor of the member topic; nothing where it is malformed. Thread-safe.
std::optional<member> memberFromRumor(const rumor &item);

} // namespace trefoil
