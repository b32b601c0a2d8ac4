#pragma once

#include <atomic>
#include <mutex>

#include <adapter/store_client.h>
#include <core/supervisor.h>
#include <dispatch/duty_lease.h>
#include <dispatch/weights_plan.h>

#include "edge/edge_state.h"
#include "edge/peer_exchange.h"
#include "work_queue.h"

namespace trefoil {

/// Runs the duty that one instance has at a time: bringing named weights to all servers and
/// reporting rollouts. One thread holds the lease and plans; orders go out by a work queue.
class duty_runner
{
public:
    /// Precondition: the arguments outlive this object.
    duty_runner(edge_state &state, store_client &store, work_queue &queue);

    /// Returns the children that run the duty. @p exchange tells others at once what is ordered.
    std::vector<child_spec> children(peer_exchange &exchange);
    /// Returns what the others are told. Thread-safe.
    duty_view view();

private:
    result<void> run(const std::stop_token &stop, peer_exchange &exchange);
    result<void> watchCacheStores(const std::stop_token &stop);
    void askCacheStore(const endpoint &store, duration patience);
    /// Reads or writes the lease when it is time. Returns whether it was gained or lost.
    bool keepLease();
    void readLease();
    void writeLease(bool release);
    bool knowsOrdersOf(const duty_record &holder);
    std::map<std::string, std::uint64_t, std::less<>> namedTimes();
    void takeNamedTimes(const duty_record &record);
    void planWeights(peer_exchange &exchange);
    void order(const weights_order &each);
    void ask(const registered_server &server);
    void reportRollouts();
    void dropDeadMembers();

    edge_state &m_state;
    store_client &m_store;
    work_queue &m_queue;
    std::mutex m_mutex;
    duty_lease m_lease;
    weights_plan m_plan;
    std::uint64_t m_planEpoch = 0;
    std::atomic<int> m_ordersOnTheWay = 0;
    /// Epoch of the store of KV cache, 0 while it doesn't answer; nothing while it isn't asked.
    std::map<std::string, std::uint64_t, std::less<>> m_storeEpochs;
    bool m_wasHeld = false;
    std::map<std::string, rollout_stage, std::less<>> m_writtenStages;
    std::map<std::string, timestamp, std::less<>> m_silentSince;
};

} // namespace trefoil
