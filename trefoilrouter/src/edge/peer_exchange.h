#pragma once

#include <functional>

#include <Poco/Net/DatagramSocket.h>
#include <core/supervisor.h>

#include "edge/edge_state.h"
#include "edge/store_watch.h"

namespace trefoil {

/// What the leader reports to the other instances.
struct leader_report
{
    /// Epoch of this instance's lease, 0 if it is not the leader.
    std::uint64_t epoch = 0;
    /// Servers that are loading weights on the leader's orders.
    std::vector<std::string> loading;
    /// Boot epochs of the KV cache stores by address, 0 while a store doesn't answer.
    std::map<std::string, std::uint64_t, std::less<>> storeEpochs;
};

/// Exchanges reports with the other instances over UDP. Each instance reports several times a
/// second what only it knows. Thread-safe.
class peer_exchange
{
public:
    /// Precondition: the arguments outlive this object. @p leaderReport is called by each thread
    /// that sends.
    peer_exchange(edge_state &state, store_watch &watch,
                  std::function<leader_report()> leaderReport);

    /// Returns the child that sends and receives reports.
    child_spec child();
    /// Sends a report before it returns. Thread-safe.
    void sendNow();

private:
    result<void> run(const std::stop_token &stop);
    void receive(timestamp now, std::string_view datagram);
    void sendTo(const endpoint &peer, std::string_view datagram);
    void applyReport(timestamp now, const peer_report &report);
    void applyConfirmation(timestamp now, const peer_report &report);
    void applyServers(timestamp now, const peer_report &report, routing_state &routing);
    void applyWeights(timestamp now, const peer_report &report, routing_state &routing);
    void applyLimits(timestamp now, const peer_report &report, routing_state &routing);
    void applyCrashes(timestamp now, const peer_report &report, routing_state &routing);
    void applyOutcomes(timestamp now, const peer_report &report, routing_state &routing);
    /// Writes what was admitted and charged of the teams near their limits to the log.
    void logLimitAccounts(timestamp now);
    /// Logs what was decided about cold servers since the last call.
    void logColdAccounts(timestamp now);
    /// Returns the interval between reports, which is shorter for the leader and for an instance
    /// with callers.
    duration reportInterval(bool isLeader) const;

    edge_state &m_state;
    store_watch &m_watch;
    std::function<leader_report()> m_leaderReport;
    Poco::Net::DatagramSocket m_socket;
    std::mutex m_sendMutex;
    std::uint64_t m_sequence = 0;
    std::atomic<std::size_t> m_otherCount = 0;
    std::atomic<bool> m_isLargeFleet = false;
    std::atomic<bool> m_isLeader = false;
    /// Whether reports may have waited in the socket while the process was paused. Their age is
    /// unknown then. Used by the thread of run() only.
    bool m_mayBeQueued = false;
    std::map<std::string, bool, std::less<>> m_wasAlive;
    /// Totals last received, by instance, release and route: reports carry totals, and only the
    /// increase is added.
    std::map<std::string, outcome_counts, std::less<>> m_reportedOutcomes;
    /// When the limits' accounts were last written to the log.
    timestamp m_accountsAt;
};

} // namespace trefoil
