#pragma once

#include <functional>

#include <Poco/Net/DatagramSocket.h>
#include <core/supervisor.h>

#include "edge/edge_state.h"
#include "edge/store_watch.h"

namespace trefoil {

/// What the holder of the duty tells the others.
struct duty_view
{
    /// Epoch of the duty held here, 0 for none.
    std::uint64_t epoch = 0;
    std::vector<std::string> loading;
    /// Epochs of the stores of KV cache by address, 0 while one doesn't answer.
    std::map<std::string, std::uint64_t, std::less<>> storeEpochs;
};

/// Reports between instances over datagrams: each tells all others what they can't see, several
/// times a second. Thread-safe.
class peer_exchange
{
public:
    /// Precondition: the arguments outlive this object. @p duty is called by the sending thread.
    peer_exchange(edge_state &state, store_watch &watch, std::function<duty_view()> duty);

    /// Returns the child that sends and receives.
    child_spec child();
    /// Sends a report, which is on its way when this returns. Thread-safe.
    void sendNow();

private:
    result<void> run(const std::stop_token &stop);
    void receive(std::string_view datagram);
    void sendTo(const endpoint &peer, std::string_view datagram);
    void learn(timestamp now, const peer_report &report);
    void learnServers(timestamp now, const peer_report &report, edge_beliefs &beliefs);
    void learnWeights(timestamp now, const peer_report &report, edge_beliefs &beliefs);
    void learnLimits(timestamp now, const peer_report &report, edge_beliefs &beliefs);
    void learnOutcomes(timestamp now, const peer_report &report, edge_beliefs &beliefs);
    /// Returns the time between reports, shorter for one that has a duty or callers.
    duration period(bool hasDuty) const;

    edge_state &m_state;
    store_watch &m_watch;
    std::function<duty_view()> m_duty;
    Poco::Net::DatagramSocket m_socket;
    std::mutex m_sendMutex;
    std::uint64_t m_sequence = 0;
    std::atomic<std::size_t> m_others = 0;
    std::atomic<bool> m_isLarge = false;
    std::atomic<bool> m_hasDuty = false;
    bool m_adoptedLevels = false;
    std::map<std::string, bool, std::less<>> m_wasAlive;
    /// Outcomes last reported by instance and release, to add only what is new.
    std::map<std::string, outcome_counts, std::less<>> m_seenOutcomes;
};

} // namespace trefoil
