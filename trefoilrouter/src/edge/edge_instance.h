#pragma once

#include <csignal>

#include <adapter/platform_settings.h>
#include <adapter/store_client.h>
#include <core/supervisor.h>

#include "edge/edge_state.h"
#include "edge/leader_runner.h"
#include "edge/peer_exchange.h"
#include "edge/server_connection_pool.h"
#include "edge/store_watch.h"
#include "work_queue.h"

namespace trefoil {

/// An edge instance on the users' platform: owns all components and runs them until a stop signal.
class edge_instance
{
public:
    /// Precondition: @p settings were read from the platform's file.
    explicit edge_instance(const platform_settings &settings);

    /// Runs until a stop signal in @p signals arrives, then drains the open requests and exits the
    /// process. Returns only when a component keeps failing. SIGHUP in @p signals rereads the
    /// settings file. Precondition: @p signals are blocked in all threads. Errors: those of the
    /// supervisor tree.
    result<void> run(const sigset_t &signals);

private:
    std::vector<child_spec> children();
    result<void> keepRegistered(const std::stop_token &stop);
    void recordSchedulingDelay(duration delay);
    result<void> runMaintenance(const std::stop_token &stop);
    void probeServers(timestamp now);
    void probe(timestamp decidedAt, const registered_server &server);
    bool registerInstance();
    void unregisterInstance();
    void waitForStop(const sigset_t &signals, const std::atomic<bool> &ended);
    void reload();
    void drain();

    platform_settings m_settings;
    edge_state m_state;
    store_client m_store;
    server_connection_pool m_connections;
    work_queue m_orderQueue;
    work_queue m_failingQueue;
    work_queue m_probeQueue;
    work_queue m_copyQueue;
    /// Mean time for which a thread waits for the processor after its sleep ends.
    duration m_meanSchedulingDelay {};
    store_watch m_watch;
    leader_runner m_leader;
    peer_exchange m_exchange;
};

} // namespace trefoil
