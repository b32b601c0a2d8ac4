#include "instance.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <core/rendezvous.h>
#include <telemetry/log.h>

#include "backend_client.h"
#include "callers_handler.h"
#include "control_thread.h"
#include "http_object_store.h"
#include "operators_handler.h"
#include "peer_rpc.h"
#include "span_exporter.h"
#include "work_queue.h"

namespace trefoil {

namespace {

// Threads for blocking calls. Calls to the platform are few and take milliseconds. A watch is a
// long poll, so it has its own thread. An unresponsive peer blocks a sender for 0.4 s.
constexpr int platformThreads = 3;
constexpr int watchThreads = 1;
constexpr int peerThreads = 6;
constexpr int serverThreads = 4;

constexpr int peerListenerThreads = 16;
constexpr int operatorThreads = 4;

constexpr duration drainCheckPeriod = std::chrono::milliseconds(50);

/// How long a leaving instance waits for its leases to reach their successors.
constexpr duration leaseHandoverTimeout = std::chrono::seconds(3);

member_info makeMemberInfo(const settings &options)
{
    return {.name = options.name,
            .zone = options.zone,
            .region = options.region,
            .callers = toString(options.callers),
            .peers = toString(options.peers),
            .incarnation = wallMilliseconds()};
}

control_options makeControlOptions(const settings &options)
{
    control_options control {.self = makeMemberInfo(options)};
    for (const endpoint &seed : options.seeds)
        control.seeds.push_back(toString(seed));
    control.randomSeed = rendezvousWeight(options.name, std::to_string(wallMilliseconds()));
    return control;
}

void waitUntilStopRequested(const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock<std::mutex> lock(mutex);
    stopped.wait(lock, stop, [] { return false; });
}

} // namespace

/// The components of an instance, declared in order of dependency.
class instance::impl : public control_action_handler
{
public:
    explicit impl(settings instanceSettings)
        : options(std::move(instanceSettings)), control(makeControlOptions(options)),
          platform(options.platform, options.platformCallsPerSecond), peers(options.peerSecret),
          backends(metrics), spans(options.name, options.traceFile, options.traceEndpoint)
    { }

    void sendToPeer(peer_send action) override
    {
        m_peerQueue.post([this, action = std::move(action)] {
            const result<peer_answer> answer = peers.call(action.to, action.request);
            if (answer)
                control.postPeerAnswer(action.id, *answer);
            else
                control.postPeerFailure(action.id, answer.error().code == http_errors::refused);
        });
    }

    void callPlatform(platform_call action) override
    {
        work_queue &queue =
            std::holds_alternative<platform_watch>(action.request) ? m_watchQueue : m_platformQueue;
        queue.post([this, action = std::move(action)] {
            control.postPlatformAnswer(action.id, runPlatformRequest(action.request));
        });
    }

    void pollServer(server_poll action) override
    {
        m_serverQueue.post([this, action = std::move(action)] {
            result<server_state_report> report = backends.readState(action);
            if (report)
                control.postServerState(action.server, std::move(*report));
            else
                control.postServerState(action.server, std::nullopt);
        });
    }

    void sendLoadOrder(server_order_call action) override
    {
        m_serverQueue.post([this, action = std::move(action)] {
            // The lease is checked again, since it may have expired while the order was queued.
            if (!control.holdsLease(action.order.leaseKey)) {
                control.postOrderDone(action.id, false);
                return;
            }
            const result<void> done = backends.sendLoadOrder(action.order);
            if (!done)
                logWarning("rollouts", "load order failed: " + done.error().message + ".");
            control.postOrderDone(action.id, done.has_value());
        });
    }

    child_body makeSupervisorTree()
    {
        const auto logFailure = [](std::string_view child, const error &reason) {
            logError("supervisor",
                     "Child \"" + std::string(child) + "\" failed: " + reason.message + ".");
        };
        std::vector<child_spec> platformChildren =
            m_platformQueue.makeWorkers("call", platformThreads);
        for (child_spec &each : m_watchQueue.makeWorkers("watch", watchThreads))
            platformChildren.push_back(std::move(each));
        std::vector<child_spec> peerChildren = m_peerQueue.makeWorkers("send", peerThreads);
        peerChildren.push_back({.name = "listener",
                                .body = makeHttpListener({.address = options.peers,
                                                          .threads = peerListenerThreads,
                                                          .factory = makePeersHandlerFactory(
                                                              control, options.peerSecret)})});
        const child_body platformTree = supervise(
            {.name = "platform", .children = std::move(platformChildren), .onFailure = logFailure});
        const child_body peerTree = supervise(
            {.name = "peers", .children = std::move(peerChildren), .onFailure = logFailure});
        const child_body serverTree =
            supervise({.name = "servers",
                       .children = m_serverQueue.makeWorkers("poll", serverThreads),
                       .onFailure = logFailure});
        return supervise(
            {.name = options.name,
             .children = {{.name = "traces", .body = spans.body()},
                          {.name = "control", .body = control.body(*this), .maxRestarts = 0},
                          {.name = "platform", .body = platformTree, .maxRestarts = 0},
                          {.name = "servers", .body = serverTree, .maxRestarts = 0},
                          {.name = "peers", .body = peerTree, .maxRestarts = 0},
                          {.name = "operators",
                           .body = makeHttpListener({.address = options.operators,
                                                     .threads = operatorThreads,
                                                     .factory = makeOperatorsHandlerFactory(
                                                         control, metrics, platform.budget())})},
                          {.name = "callers",
                           .body = makeHttpListener(
                               {.address = options.callers,
                                .threads = options.callerThreads,
                                .timeout = options.callerTimeout,
                                .factory = makeCallersHandlerFactory(
                                    {control, backends, spans, metrics}, options)})}},
             .onFailure = logFailure});
    }

    /// Leaves the entry list, keeps serving callers until their cached entry lists have expired,
    /// and waits for open streams and for the handover of leases.
    void drain()
    {
        logInfo("instance", "Leaving: rights are handed over, streams finish.");
        control.leave();
        const timestamp start = boot_clock::now();
        const auto elapsed = [&] { return boot_clock::now() - start; };
        while (elapsed() < entryResponseTtl + drainCheckPeriod)
            std::this_thread::sleep_for(drainCheckPeriod);
        while (control.openRequests() > 0 && elapsed() < options.drainTimeout)
            std::this_thread::sleep_for(drainCheckPeriod);
        while (!control.hasReleasedLeases() && elapsed() < entryResponseTtl + leaseHandoverTimeout)
            std::this_thread::sleep_for(drainCheckPeriod);
        if (control.openRequests() > 0)
            logWarning("instance", "Streams still open after the drain timeout are aborted.");
    }

    settings options;
    control_thread control;
    http_object_store platform;
    peer_client peers;
    metric_registry metrics;
    backend_client backends;
    span_exporter spans;

private:
    platform_answer runPlatformRequest(const platform_request &request)
    {
        if (const platform_list *list = std::get_if<platform_list>(&request))
            return platform.list(list->prefix);
        if (const platform_get *get = std::get_if<platform_get>(&request))
            return platform.get(get->name);
        if (const platform_put *put = std::get_if<platform_put>(&request))
            return platform.put(put->name, put->value, put->expected);
        if (const platform_watch *watch = std::get_if<platform_watch>(&request))
            return platform.watch(watch->prefix, watch->from, watch->maxWait);
        return platform.instances();
    }

    work_queue m_platformQueue;
    work_queue m_watchQueue;
    work_queue m_peerQueue;
    work_queue m_serverQueue;
};

instance::instance(settings options) : m_impl(std::make_unique<impl>(std::move(options))) { }
instance::~instance() = default;

result<void> instance::run(const std::stop_token &stop)
{
    const child_body tree = m_impl->makeSupervisorTree();
    std::stop_source treeStop;
    logInfo("instance", "Starting on " + toString(m_impl->options.callers) + ".");
    std::jthread drainer([&](const std::stop_token &treeEnded) {
        std::stop_source stopOrTreeEnd;
        const std::stop_callback onStop(stop, [&] { stopOrTreeEnd.request_stop(); });
        const std::stop_callback onEnd(treeEnded, [&] { stopOrTreeEnd.request_stop(); });
        waitUntilStopRequested(stopOrTreeEnd.get_token());
        if (!treeEnded.stop_requested())
            m_impl->drain();
        treeStop.request_stop();
    });
    const result<void> outcome = tree(treeStop.get_token());
    drainer.request_stop();
    drainer.join();
    logInfo("instance", outcome ? "Stopped." : "Stopped: " + outcome.error().message + ".");
    return outcome;
}

} // namespace trefoil
