#include "instance.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <core/rendezvous.h>
#include <telemetry/log.h>

#include "backend_client.h"
#include "callers_handler.h"
#include "control_thread.h"
#include "http_platform.h"
#include "operators_handler.h"
#include "peer_link.h"
#include "span_exporter.h"
#include "work_queue.h"

namespace trefoil {

namespace {

// Threads for work that blocks. Calls to the platform are few and take milliseconds; a watch holds
// its thread while it waits, so it has one of its own. A peer that hangs holds a sender for 0.4 s.
constexpr int platformThreads = 3;
constexpr int watchThreads = 1;
constexpr int peerThreads = 6;
constexpr int pollThreads = 4;

constexpr int peerListenerThreads = 16;
constexpr int operatorThreads = 4;

constexpr duration drainCheckPeriod = std::chrono::milliseconds(50);

/// Time that rights have to reach their successors when an instance leaves.
constexpr duration handOverTime = std::chrono::seconds(3);

member_info selfOf(const settings &options)
{
    return {.name = options.name,
            .zone = options.zone,
            .region = options.region,
            .callers = toString(options.callers),
            .peers = toString(options.peers),
            .incarnation = wallMilliseconds()};
}

control_options controlOptions(const settings &options)
{
    control_options control {.self = selfOf(options)};
    for (const endpoint &seed : options.seeds)
        control.seeds.push_back(toString(seed));
    control.randomSeed = rendezvousWeight(options.name, std::to_string(wallMilliseconds()));
    return control;
}

void waitFor(const std::stop_token &stop)
{
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock<std::mutex> lock(mutex);
    stopped.wait(lock, stop, [] { return false; });
}

} // namespace

/// The parts of an instance, in the order in which they need each other.
class instance::parts : public control_outlet
{
public:
    explicit parts(settings given)
        : options(std::move(given)), control(controlOptions(options)),
          platform(options.platform, options.platformCallsPerSecond), peers(options.peerSecret),
          spans(options.name, options.traceFile, options.traceEndpoint)
    { }

    void send(peer_send action) override
    {
        m_peerWork.post([this, action = std::move(action)] {
            const result<peer_answer> answer = peers.call(action.to, action.request);
            if (answer)
                control.postPeerAnswer(action.id, *answer);
            else
                control.postPeerFailure(action.id, answer.error().code == http_errors::refused);
        });
    }

    void call(platform_call action) override
    {
        work_queue &work =
            std::holds_alternative<platform_watch>(action.request) ? m_watchWork : m_platformWork;
        work.post([this, action = std::move(action)] {
            control.postPlatformAnswer(action.id, callPlatform(action.request));
        });
    }

    void poll(server_poll action) override
    {
        m_pollWork.post([this, action = std::move(action)] {
            result<server_state_report> report = backends.readState(action);
            if (report)
                control.postServerState(action.server, std::move(*report));
            else
                control.postServerState(action.server, std::nullopt);
        });
    }

    void order(server_order_call action) override
    {
        m_pollWork.post([this, action = std::move(action)] {
            // Asked again here: the order may have waited behind a slow server.
            if (!control.askHolds(action.order.leaseKey)) {
                control.postOrderDone(action.id, false);
                return;
            }
            const result<void> done = backends.orderLoad(action.order);
            if (!done)
                logWarning("rollouts", "an order failed: " + done.error().message + ".");
            control.postOrderDone(action.id, done.has_value());
        });
    }

    child_body tree()
    {
        const auto report = [](std::string_view child, const error &reason) {
            logError("supervisor",
                     "child \"" + std::string(child) + "\" failed: " + reason.message + ".");
        };
        std::vector<child_spec> platformChildren = m_platformWork.workers("call", platformThreads);
        for (child_spec &each : m_watchWork.workers("watch", watchThreads))
            platformChildren.push_back(std::move(each));
        std::vector<child_spec> peerChildren = m_peerWork.workers("send", peerThreads);
        peerChildren.push_back(
            {.name = "listener",
             .body = httpListener({.place = options.peers,
                                   .threads = peerListenerThreads,
                                   .factory = peersFactory(control, options.peerSecret)})});
        const child_body platformTree = supervise(
            {.name = "platform", .children = std::move(platformChildren), .onFailure = report});
        const child_body peerTree =
            supervise({.name = "peers", .children = std::move(peerChildren), .onFailure = report});
        const child_body serverTree =
            supervise({.name = "servers",
                       .children = m_pollWork.workers("poll", pollThreads),
                       .onFailure = report});
        return supervise(
            {.name = options.name,
             .children = {{.name = "traces", .body = spans.body()},
                          {.name = "control", .body = control.body(*this), .maxRestarts = 0},
                          {.name = "platform", .body = platformTree, .maxRestarts = 0},
                          {.name = "servers", .body = serverTree, .maxRestarts = 0},
                          {.name = "peers", .body = peerTree, .maxRestarts = 0},
                          {.name = "operators",
                           .body = httpListener(
                               {.place = options.operators,
                                .threads = operatorThreads,
                                .factory = operatorsFactory(control, metrics, platform.budget())})},
                          {.name = "callers",
                           .body =
                               httpListener({.place = options.callers,
                                             .threads = options.callerThreads,
                                             .timeout = options.callerTimeout,
                                             .factory = callersFactory(
                                                 {control, backends, spans, metrics}, options)})}},
             .onFailure = report});
    }

    /// Leaves the entry answer, serves who still comes by an old one, and waits for open streams.
    void drain()
    {
        logInfo("instance", "Leaving: rights are handed over, streams finish.");
        control.leave();
        const timestamp start = boot_clock::now();
        const auto waited = [&] { return boot_clock::now() - start; };
        while (waited() < entryValidity + drainCheckPeriod)
            std::this_thread::sleep_for(drainCheckPeriod);
        while (control.openRequests() > 0 && waited() < options.drainTimeout)
            std::this_thread::sleep_for(drainCheckPeriod);
        while (!control.released() && waited() < entryValidity + handOverTime)
            std::this_thread::sleep_for(drainCheckPeriod);
        if (control.openRequests() > 0)
            logWarning("instance", "Streams are left that did not finish in time.");
    }

    settings options;
    control_thread control;
    http_platform platform;
    peer_client peers;
    backend_client backends;
    span_exporter spans;
    metric_registry metrics;

private:
    platform_answer callPlatform(const platform_request &request)
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

    work_queue m_platformWork;
    work_queue m_watchWork;
    work_queue m_peerWork;
    work_queue m_pollWork;
};

instance::instance(settings options) : m_parts(std::make_unique<parts>(std::move(options))) { }
instance::~instance() = default;

result<void> instance::run(const std::stop_token &stop)
{
    const child_body tree = m_parts->tree();
    std::stop_source end;
    logInfo("instance", "Starting on " + toString(m_parts->options.callers) + ".");
    std::jthread drainer([&](const std::stop_token &treeEnded) {
        std::stop_source either;
        const std::stop_callback onStop(stop, [&] { either.request_stop(); });
        const std::stop_callback onEnd(treeEnded, [&] { either.request_stop(); });
        waitFor(either.get_token());
        if (!treeEnded.stop_requested())
            m_parts->drain();
        end.request_stop();
    });
    const result<void> outcome = tree(end.get_token());
    drainer.request_stop();
    drainer.join();
    logInfo("instance", outcome ? "Stopped." : "Stopped: " + outcome.error().message + ".");
    return outcome;
}

} // namespace trefoil
