#include "edge/edge_instance.h"

#include <cstdlib>
#include <thread>

#include <adapter/documents.h>
#include <telemetry/event_log.h>

#include "edge/caller_session.h"
#include "edge/edge_handlers.h"
#include "edge/server_relay.h"
#include "http_util.h"
#include "table_files.h"

namespace trefoil {

namespace {

/// Threads that send load orders and state queries to servers: as many as the servers of a small
/// pool that load at once.
constexpr int orderThreads = 6;
/// Threads that query servers whose last call failed.
constexpr int failingThreads = 3;
/// Threads that probe suspect servers. They are separate from the order threads: a probe of a
/// server that drops packets takes its whole timeout, and orders waited behind such probes for
/// seconds.
constexpr int probeThreads = 6;
/// Threads that fetch copies of the store's objects from other instances: an instance that doesn't
/// answer must not delay the copies of other kinds.
constexpr int copyThreads = 2;
/// Concurrent discovery and readiness requests.
constexpr int discoveryThreads = 48;
constexpr int peerThreads = 8;
/// Threads of the listener for other instances: for pages, and one for each relayed connection.
constexpr int peerListenerThreads = peerThreads + maxRelayedConnections;
constexpr duration maintenanceInterval = std::chrono::milliseconds(100);
/// Connect timeout for a server that may be gone; the network latency is a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(350);
/// How long a connection that a probe opened may be reused.
constexpr duration probedConnectionLifetime = std::chrono::seconds(1);
/// Span of the moving average of the delay, in wake-ups: its half-life is a little more than a
/// second.
constexpr int delayAverageSpan = 20;
constexpr duration registrationCheckInterval = std::chrono::milliseconds(300);
/// How long the copy of the instance list may lack this instance's entry after it was written:
/// changes are batched for up to a second, and stale reads are seconds behind.
constexpr duration listReplicationLag = std::chrono::seconds(3);
/// Callers may keep coming until the discovery answer that named this instance has expired.
constexpr duration minLeaveTime = std::chrono::milliseconds(4500);
/// Time reserved for the last answers before the platform kills the process.
constexpr duration killMargin = std::chrono::milliseconds(400);
constexpr duration drainPollInterval = std::chrono::milliseconds(50);
/// Time for idle connections to close once the instance has drained.
constexpr duration connectionCloseTime = std::chrono::milliseconds(100);

bool isStopSignal(int signal) { return signal == SIGTERM || signal == SIGINT; }

} // namespace

edge_instance::edge_instance(const platform_settings &settings)
    : m_settings(settings), m_state(settings),
      m_store(settings.store, settings.storeCallsPerSecond, &m_state.readBudget()),
      m_watch(m_state, m_store), m_leader(m_state, m_store, m_orderQueue, m_failingQueue),
      m_exchange(m_state, m_watch, [this] { return m_leader.report(); })
{ }

std::vector<child_spec> edge_instance::children()
{
    std::vector<child_spec> all = m_watch.children();
    all.push_back({.name = "listed",
                   .body = [this](const std::stop_token &stop) { return keepRegistered(stop); }});
    all.push_back({.name = "maintenance",
                   .body = [this](const std::stop_token &stop) { return runMaintenance(stop); }});
    all.push_back(m_exchange.child());
    for (child_spec &worker : m_orderQueue.makeWorkers("orders", orderThreads))
        all.push_back(std::move(worker));
    for (child_spec &worker : m_failingQueue.makeWorkers("failing-calls", failingThreads))
        all.push_back(std::move(worker));
    for (child_spec &worker : m_probeQueue.makeWorkers("probes", probeThreads))
        all.push_back(std::move(worker));
    for (child_spec &worker : m_copyQueue.makeWorkers("copies", copyThreads))
        all.push_back(std::move(worker));
    for (child_spec &each : m_leader.children(m_exchange))
        all.push_back(std::move(each));
    all.push_back({.name = "peer-listener",
                   .body = makePageListener({.address = m_settings.peers,
                                             .threads = peerListenerThreads,
                                             .makePage = peerPages(m_state, m_watch),
                                             .takeConnection = relayRequests(m_state)})});
    all.push_back(
        {.name = "callers", .body = callerListener(m_state, m_connections, m_settings.callers)});
    all.push_back({.name = "entry",
                   .body = makePageListener({.address = m_settings.discovery,
                                             .threads = discoveryThreads,
                                             .makePage = discoveryPages(m_state)})});
    all.push_back({.name = "readiness",
                   .body = makePageListener({.address = m_settings.readiness,
                                             .threads = peerThreads,
                                             .makePage = discoveryPages(m_state)})});
    return all;
}

result<void> edge_instance::run(const sigset_t &signals)
{
    writeEvent(event_line("instance", "started")
                   .add("zone", m_settings.zone)
                   .add("callers", toString(m_settings.callers))
                   .add("store", toString(m_settings.store))
                   .add("incarnation", m_state.incarnation()));
    for (const std::string &contract : unknownContracts(m_settings))
        writeEvent(event_line("instance", "contract_unknown").add("contract", contract));
    const child_body supervisor =
        supervise({.name = "instance",
                   .children = children(),
                   .onFailure = [](std::string_view child, const error &reason) {
                       writeEvent(event_line("instance", "child_failed")
                                      .add("child", child)
                                      .add("reason", reason.message));
                   }});
    result<void> outcome;
    std::atomic<bool> ended = false;
    std::jthread supervisorThread([&](const std::stop_token &stop) {
        outcome = supervisor(stop);
        ended = true;
    });
    waitForStop(signals, ended);
    if (!ended) {
        drain();
        writeEvent(
            event_line("instance", "stopped").add("open_requests", m_state.openRequests().load()));
        stopEventLog();
        // Store watches block for seconds. No state is left to save, so the process exits without
        // joining their threads.
        std::_Exit(0);
    }
    supervisorThread.join();
    writeEvent(event_line("instance", "failed")
                   .add("reason", outcome ? "all parts ended" : outcome.error().message.c_str()));
    return outcome;
}

void edge_instance::waitForStop(const sigset_t &signals, const std::atomic<bool> &ended)
{
    constexpr timespec pollInterval {.tv_sec = 0, .tv_nsec = 250'000'000};
    while (!ended) {
        const int signal = sigtimedwait(&signals, nullptr, &pollInterval);
        if (isStopSignal(signal))
            return;
        if (signal == SIGHUP)
            reload();
    }
}

void edge_instance::reload()
{
    const std::string path = platformSettingsPath();
    const result<std::string> text = readFile(path);
    if (!text) {
        writeEvent(event_line("instance", "reload_failed").add("reason", text.error().message));
        return;
    }
    const tl::expected<platform_settings, findings> read = readPlatformSettings(*text, path);
    if (!read) {
        writeEvent(event_line("instance", "reload_failed").add("reason", toString(read.error())));
        return;
    }
    // A running process can't change its addresses, and new bounds apply only after a restart, so
    // the settings are just checked and logged.
    writeEvent(event_line("instance", "reloaded")
                   .add("store", toString(read->store))
                   .add("same_addresses",
                        read->callers == m_settings.callers && read->store == m_settings.store));
}

void edge_instance::drain()
{
    const timestamp start = boot_clock::now();
    writeEvent(
        event_line("instance", "leaving").add("open_requests", m_state.openRequests().load()));
    m_state.startLeaving();
    m_exchange.sendNow();
    unregisterInstance();
    const timestamp drainDeadline = start + m_settings.stopGrace - killMargin;
    while (boot_clock::now() < drainDeadline) {
        const bool hasWaited = boot_clock::now() - start >= minLeaveTime;
        if (hasWaited && m_state.openRequests() == 0)
            break;
        std::this_thread::sleep_for(drainPollInterval);
    }
    m_state.closeIdleConnections();
    std::this_thread::sleep_for(connectionCloseTime);
}

bool edge_instance::registerInstance()
{
    const std::string name = store_kinds::instances + m_settings.name;
    const std::string entry =
        encodeMember({.name = m_settings.name,
                      .zone = m_settings.zone,
                      .callers = m_settings.callers,
                      .peers = m_settings.peers,
                      .incarnation = m_state.incarnation(),
                      .capacity = capacityOf(m_settings.processorCores, m_settings.linkMbps)});
    result<std::uint64_t> written = m_store.put(name, entry, 0);
    if (!written && written.error().code == platform_errors::conflict) {
        // An entry from an earlier start of this instance exists.
        const result<object> known = m_store.get(name);
        if (!known)
            return false;
        written = m_store.put(name, entry, known->version);
    }
    writeEvent(event_line("members", "listed_self")
                   .add("outcome", written ? "ok" : written.error().code.c_str()));
    return written.has_value();
}

void edge_instance::unregisterInstance()
{
    const std::string name = store_kinds::instances + m_settings.name;
    const result<object> known = m_store.get(name);
    const result<void> removed =
        known ? m_store.remove(name, known->version) : result<void>(tl::unexpected(known.error()));
    writeEvent(event_line("members", "unlisted_self")
                   .add("outcome", removed ? "ok" : removed.error().code.c_str()));
}

result<void> edge_instance::keepRegistered(const std::stop_token &stop)
{
    bool isRegistered = false;
    timestamp registeredAt {};
    while (!stop.stop_requested()) {
        // Another instance may have removed the entry because it considered this one dead.
        const timestamp now = boot_clock::now();
        const bool isMissing =
            now - registeredAt > listReplicationLag && m_watch.lacksInstance(m_settings.name);
        if (!m_state.isLeaving() && (!isRegistered || isMissing)) {
            isRegistered = registerInstance();
            registeredAt = now;
        }
        std::this_thread::sleep_for(registrationCheckInterval);
    }
    return {};
}

void edge_instance::probeServers(timestamp now)
{
    const std::vector<registered_server> due = m_state.with([now](routing_state &routing) {
        const std::vector<registered_server> lost = routing.balancer.serversToProbe(now);
        std::vector<registered_server> all = routing.balancer.controlServers(now, lost);
        all.insert(all.end(), lost.begin(), lost.end());
        return all;
    });
    for (const registered_server &server : due)
        m_probeQueue.post([this, now, server] { probe(now, server); });
}

void edge_instance::probe(timestamp decidedAt, const registered_server &server)
{
    result<byte_stream> stream = byte_stream::connect(server.address, probeTimeout);
    recordConnection(m_state, decidedAt, server.id, stream.has_value());
    m_state.with([&](routing_state &routing) {
        routing.balancer.onProbeResult(server.id, stream.has_value());
    });
    writeEvent(event_line("servers", "server_probed")
                   .add("server", server.id)
                   .add("reachable", stream.has_value())
                   .add("reason", stream ? "" : stream.error().code.c_str()));
    if (stream)
        m_connections.release(server.id, std::move(*stream), probedConnectionLifetime);
}

void edge_instance::recordSchedulingDelay(duration delay)
{
    m_meanSchedulingDelay += (delay - m_meanSchedulingDelay) / delayAverageSpan;
    // Connections that wait for a thread are delayed too, even while the processor is idle.
    const duration longest = std::max(m_meanSchedulingDelay, m_state.connectionWait());
    m_state.with([&](routing_state &routing) {
        routing.schedulingDelay = longest;
        routing.members.recordSchedulingDelay(m_settings.name, longest);
    });
}

result<void> edge_instance::runMaintenance(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const timestamp now = boot_clock::now();
        m_connections.prune(now);
        m_watch.removeExpired(now);
        for (const store_watch::stale_copy &each : m_watch.catchUp(now))
            m_copyQueue.post([this, each] { m_watch.fetchCopy(each); });
        probeServers(now);
        const timestamp sleepStart = boot_clock::now();
        std::this_thread::sleep_for(maintenanceInterval);
        recordSchedulingDelay(boot_clock::now() - sleepStart - maintenanceInterval);
    }
    return {};
}

} // namespace trefoil
