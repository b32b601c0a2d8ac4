#include "edge/edge_instance.h"

#include <cstdlib>
#include <thread>

#include <adapter/documents.h>
#include <telemetry/event_log.h>

#include "edge/caller_session.h"
#include "edge/edge_handlers.h"
#include "http_util.h"
#include "table_files.h"

namespace trefoil {

namespace {

/// Threads for orders and questions to servers: as many as load at once in a small pool.
constexpr int queueThreads = 6;
/// Threads for tries to connect to servers in doubt: apart from the orders, which waited for
/// seconds behind tries of dark servers, each of which takes its whole timeout.
constexpr int probeThreads = 6;
/// Connections that ask for the entry or readiness at once.
constexpr int entryThreads = 48;
constexpr int peerThreads = 8;
constexpr duration houseEvery = std::chrono::milliseconds(100);
/// Time for a connection to a server that may be gone; the way there takes a few milliseconds.
constexpr duration probeTimeout = std::chrono::milliseconds(350);
/// A connection that a probe opened may be used for this long.
constexpr duration probedIdleTime = std::chrono::seconds(1);
/// Wake-ups of which the mean delay is taken, by weight: about a second's.
constexpr int delayMemory = 20;
constexpr duration listedCheckEvery = std::chrono::milliseconds(300);
/// The copy of the list may lack the own entry for this long after it was written: changes are
/// gathered for up to a second, and reads that may be old are seconds behind.
constexpr duration listedLag = std::chrono::seconds(3);
/// Callers hear of the leaving within the life of an entry answer; until then they come.
constexpr duration leastLeaveTime = std::chrono::milliseconds(4500);
/// Time for the last answers before the platform kills the process.
constexpr duration killMargin = std::chrono::milliseconds(400);
constexpr duration drainStep = std::chrono::milliseconds(50);
/// Idle connections close within this time once the instance has drained.
constexpr duration closeTime = std::chrono::milliseconds(100);

bool isStopSignal(int signal) { return signal == SIGTERM || signal == SIGINT; }

} // namespace

edge_instance::edge_instance(const platform_settings &settings)
    : m_settings(settings), m_state(settings),
      m_store(settings.store, settings.storeCallsPerSecond), m_watch(m_state, m_store),
      m_duty(m_state, m_store, m_queue),
      m_exchange(m_state, m_watch, [this] { return m_duty.view(); })
{ }

std::vector<child_spec> edge_instance::children()
{
    std::vector<child_spec> all = m_watch.children();
    all.push_back({.name = "listed",
                   .body = [this](const std::stop_token &stop) { return keepListed(stop); }});
    all.push_back(
        {.name = "house", .body = [this](const std::stop_token &stop) { return keepHouse(stop); }});
    all.push_back(m_exchange.child());
    for (child_spec &worker : m_queue.makeWorkers("orders", queueThreads))
        all.push_back(std::move(worker));
    for (child_spec &worker : m_probes.makeWorkers("probes", probeThreads))
        all.push_back(std::move(worker));
    for (child_spec &each : m_duty.children(m_exchange))
        all.push_back(std::move(each));
    all.push_back({.name = "peer-listener",
                   .body = makeHttpListener({.address = m_settings.peers,
                                             .threads = peerThreads,
                                             .keepAlive = false,
                                             .factory = peersFactory(m_state, m_watch)})});
    all.push_back(
        {.name = "callers", .body = callerListener(m_state, m_connections, m_settings.callers)});
    all.push_back({.name = "entry",
                   .body = makeHttpListener({.address = m_settings.entry,
                                             .threads = entryThreads,
                                             .keepAlive = false,
                                             .factory = entryFactory(m_state)})});
    all.push_back({.name = "readiness",
                   .body = makeHttpListener({.address = m_settings.readiness,
                                             .threads = peerThreads,
                                             .keepAlive = false,
                                             .factory = entryFactory(m_state)})});
    return all;
}

result<void> edge_instance::run(const sigset_t &signals)
{
    writeEvent(event_line("instance", "started")
                   .add("zone", m_settings.zone)
                   .add("callers", toString(m_settings.callers))
                   .add("store", toString(m_settings.store))
                   .add("incarnation", m_state.incarnation()));
    const child_body root =
        supervise({.name = "instance",
                   .children = children(),
                   .onFailure = [](std::string_view child, const error &reason) {
                       writeEvent(event_line("instance", "child_failed")
                                      .add("child", child)
                                      .add("reason", reason.message));
                   }});
    result<void> outcome;
    std::atomic<bool> ended = false;
    std::jthread tree([&](const std::stop_token &stop) {
        outcome = root(stop);
        ended = true;
    });
    waitForStop(signals, ended);
    if (!ended) {
        drain();
        writeEvent(
            event_line("instance", "stopped").add("open_requests", m_state.openRequests().load()));
        stopEventLog();
        // Watches of the store block for seconds: nothing is left to be saved, so the process ends
        // without joining them.
        std::_Exit(0);
    }
    tree.join();
    writeEvent(event_line("instance", "failed")
                   .add("reason", outcome ? "all parts ended" : outcome.error().message.c_str()));
    return outcome;
}

void edge_instance::waitForStop(const sigset_t &signals, const std::atomic<bool> &ended)
{
    constexpr timespec patience {.tv_sec = 0, .tv_nsec = 250'000'000};
    while (!ended) {
        const int signal = sigtimedwait(&signals, nullptr, &patience);
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
    // Addresses can't change under a running process; bounds are read at the next start.
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
    m_state.leave();
    m_exchange.sendNow();
    unlist();
    const timestamp last = start + m_settings.stopGrace - killMargin;
    while (boot_clock::now() < last) {
        const bool hasWaited = boot_clock::now() - start >= leastLeaveTime;
        if (hasWaited && m_state.openRequests() == 0)
            break;
        std::this_thread::sleep_for(drainStep);
    }
    m_state.close();
    std::this_thread::sleep_for(closeTime);
}

bool edge_instance::list()
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
        // An entry of an earlier start.
        const result<object> known = m_store.get(name);
        if (!known)
            return false;
        written = m_store.put(name, entry, known->version);
    }
    writeEvent(event_line("members", "listed_self")
                   .add("outcome", written ? "ok" : written.error().code.c_str()));
    return written.has_value();
}

void edge_instance::unlist()
{
    const std::string name = store_kinds::instances + m_settings.name;
    const result<object> known = m_store.get(name);
    const result<void> removed =
        known ? m_store.remove(name, known->version) : result<void>(tl::unexpected(known.error()));
    writeEvent(event_line("members", "unlisted_self")
                   .add("outcome", removed ? "ok" : removed.error().code.c_str()));
}

result<void> edge_instance::keepListed(const std::stop_token &stop)
{
    bool isListed = false;
    timestamp listedAt {};
    while (!stop.stop_requested()) {
        // An entry that another instance removed, taking this one for dead, is written again.
        const timestamp now = boot_clock::now();
        const bool isLost = now - listedAt > listedLag && m_watch.lacksInstance(m_settings.name);
        if (!m_state.isLeaving() && (!isListed || isLost)) {
            isListed = list();
            listedAt = now;
        }
        std::this_thread::sleep_for(listedCheckEvery);
    }
    return {};
}

void edge_instance::probeServers(timestamp now)
{
    const std::vector<registered_server> due =
        m_state.with([now](edge_beliefs &beliefs) { return beliefs.board.serversToProbe(now); });
    for (const registered_server &server : due)
        m_probes.post([this, server] { probe(server); });
}

void edge_instance::probe(const registered_server &server)
{
    result<byte_stream> stream = byte_stream::connect(server.address, probeTimeout);
    m_state.with(
        [&](edge_beliefs &beliefs) { beliefs.board.noteProbe(server.id, stream.has_value()); });
    writeEvent(event_line("servers", "server_probed")
                   .add("server", server.id)
                   .add("reachable", stream.has_value())
                   .add("reason", stream ? "" : stream.error().code.c_str()));
    if (stream)
        m_connections.giveBack(server.id, std::move(*stream), probedIdleTime);
}

void edge_instance::noteDelay(duration delay)
{
    m_delay += (delay - m_delay) / delayMemory;
    m_state.with([&](edge_beliefs &beliefs) {
        beliefs.ownDelay = m_delay;
        beliefs.members.noteDelay(m_settings.name, m_delay);
    });
}

result<void> edge_instance::keepHouse(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const timestamp now = boot_clock::now();
        m_connections.prune(now);
        m_watch.dropLapsed(now);
        m_watch.fetchOverdue(now);
        probeServers(now);
        const timestamp asleep = boot_clock::now();
        std::this_thread::sleep_for(houseEvery);
        noteDelay(boot_clock::now() - asleep - houseEvery);
    }
    return {};
}

} // namespace trefoil
