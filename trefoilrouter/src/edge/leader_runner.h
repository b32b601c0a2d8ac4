#pragma once

#include <atomic>
#include <mutex>

#include <adapter/store_client.h>
#include <core/supervisor.h>
#include <dispatch/leader_lease.h>
#include <dispatch/weights_plan.h>

#include "edge/edge_state.h"
#include "edge/peer_exchange.h"
#include "work_queue.h"

namespace trefoil {

/// Runs the tasks of the leader, which is one instance at a time: rolling out target weights to all
/// servers, reporting the progress of rollouts and removing dead instances. One thread maintains
/// the leader's lease and plans; a work queue sends the orders.
class leader_runner
{
public:
    /// Precondition: the arguments outlive this object.
    leader_runner(edge_state &state, store_client &store, work_queue &queue,
                  work_queue &failingQueue);

    /// Returns the children that run the leader's tasks. @p exchange reports orders to the other
    /// instances at once.
    std::vector<child_spec> children(peer_exchange &exchange);
    /// Returns the leader's part of a report; empty if this instance is not the leader.
    /// Thread-safe.
    leader_report report();

private:
    result<void> run(const std::stop_token &stop, peer_exchange &exchange);
    result<void> watchCacheStores(const std::stop_token &stop);
    void pollCacheStore(const endpoint &store, duration waitTime);
    /// Reads or writes the lease when due. Returns whether it was gained or lost.
    bool keepLease();
    void readLease();
    void writeLease(bool release);
    /// Returns whether the reports of the previous leader, and so its orders, were received.
    bool knowsOrdersOf(const leader_record &previous);
    /// Returns when weights became a target, in milliseconds since 1970, by "model=version".
    std::map<std::string, std::uint64_t, std::less<>> targetWeightsTimes();
    void applyTargetWeightsTimes(const leader_record &record);
    void planWeights(peer_exchange &exchange);
    void deliverOrder(const weights_order &order);
    void queryServer(const registered_server &server);
    void reportRollouts();
    void removeDeadMembers();

    edge_state &m_state;
    store_client &m_store;
    work_queue &m_queue;
    /// Calls to servers whose last call failed, which may each take the whole timeout.
    work_queue &m_failingQueue;
    std::mutex m_mutex;
    leader_lease m_lease;
    weights_plan m_plan;
    std::uint64_t m_planEpoch = 0;
    std::atomic<int> m_ordersInFlight = 0;
    /// Boot epochs of the KV cache stores by address, 0 while a store doesn't answer; empty while
    /// this instance is not the leader.
    std::map<std::string, std::uint64_t, std::less<>> m_cacheStoreEpochs;
    bool m_wasLeader = false;
    /// Last write of a rollout's stage to the store.
    struct stage_write
    {
        rollout_stage stage = rollout_stage::Moving;
        bool isDone = false;
        timestamp at;
        /// Era of the store: a restored one may have lost the write.
        std::uint64_t era = 0;
    };
    std::map<std::string, stage_write, std::less<>> m_stageWrites;
    std::map<std::string, timestamp, std::less<>> m_silentSince;
};

} // namespace trefoil
