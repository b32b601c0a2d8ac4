#pragma once

#include <csignal>

#include <adapter/platform_settings.h>
#include <adapter/store_client.h>
#include <core/supervisor.h>

#include "edge/duty_runner.h"
#include "edge/edge_state.h"
#include "edge/peer_exchange.h"
#include "edge/server_connections.h"
#include "edge/store_watch.h"
#include "work_queue.h"

namespace trefoil {

/// An entry instance on the users' platform: owns all parts and runs them until it is told to stop.
class edge_instance
{
public:
    /// Precondition: @p settings were read from the platform's file.
    explicit edge_instance(const platform_settings &settings);

    /// Runs until one of the stop signals in @p signals comes, then leaves without cutting a
    /// request and ends the process. Returns only when a part keeps failing. SIGHUP in @p signals
    /// reads the settings again. Precondition: @p signals are blocked in all threads. Errors: those
    /// of the supervisor tree.
    result<void> run(const sigset_t &signals);

private:
    std::vector<child_spec> children();
    result<void> keepListed(const std::stop_token &stop);
    void noteDelay(duration delay);
    result<void> keepHouse(const std::stop_token &stop);
    void probeServers(timestamp now);
    void probe(const registered_server &server);
    bool list();
    void unlist();
    void waitForStop(const sigset_t &signals, const std::atomic<bool> &ended);
    void reload();
    void drain();

    platform_settings m_settings;
    edge_state m_state;
    store_client m_store;
    server_connections m_connections;
    work_queue m_queue;
    work_queue m_probes;
    /// Mean time for which the threads wait for the processor.
    duration m_delay {};
    store_watch m_watch;
    duty_runner m_duty;
    peer_exchange m_exchange;
};

} // namespace trefoil
