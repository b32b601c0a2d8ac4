#include "edge/edge_handlers.h"

#include <algorithm>
#include <functional>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/documents.h>
#include <adapter/server_calls.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Lifetime of a discovery answer. Some callers keep it for three times as long.
constexpr duration discoveryLifetime = std::chrono::seconds(3);
/// Lifetime while an instance is missing, since the answer will change soon.
constexpr duration degradedDiscoveryLifetime = std::chrono::seconds(1);

page discoveryPage(edge_state &state, const std::string &zone)
{
    const timestamp now = boot_clock::now();
    std::vector<endpoint> instances;
    bool isDegraded = false;
    bool isIsolated = false;
    state.with([&](routing_state &routing) {
        const std::size_t otherCount = routing.members.otherCount();
        const std::size_t liveCount = routing.members.liveOtherCount(now);
        isDegraded = liveCount < otherCount || routing.members.isAnyCutOff();
        isIsolated = otherCount > 0 && liveCount == 0 && !state.isStoreReachable();
        instances = routing.members.callerAddresses(now, zone, state.isReady());
    });
    // An instance that reaches neither a peer nor the store can't tell which instances are alive,
    // so callers must ask another one.
    if (isIsolated || instances.empty())
        return {.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                .body = "no instance is known to live\n"};
    const duration lifetime = std::min(isDegraded ? degradedDiscoveryLifetime : discoveryLifetime,
                                       state.settings().maxDiscoveryLifetime);
    return {.type = "application/json", .body = encodeDiscoveryAnswer(instances, lifetime)};
}

} // namespace

std::function<page(const Poco::URI &)> discoveryPages(edge_state &state)
{
    return [&state](const Poco::URI &uri) -> page {
        if (uri.getPath() == router_paths::readiness) {
            const bool isReady = state.isReady();
            return {.status =
                        isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                    .body = isReady ? "ready\n" : "not ready\n"};
        }
        if (uri.getPath() == router_paths::discovery)
            return discoveryPage(state, queryValue(uri, "zone"));
        return {.status = HTTPResponse::HTTP_NOT_FOUND, .body = "no such page\n"};
    };
}

std::function<page(const Poco::URI &)> peerPages(edge_state &state, store_watch &watch)
{
    return [&state, &watch](const Poco::URI &uri) -> page {
        if (uri.getPath() == "/copy")
            return {.type = "application/json", .body = watch.encodeCopy(queryValue(uri, "kind"))};
        if (uri.getPath() == "/metrics") {
            state.metrics()
                .gaugeOf("trefoil_log_lines_dropped")
                .set(static_cast<std::int64_t>(droppedEvents()));
            state.metrics()
                .gaugeOf("trefoil_held_bytes")
                .set(static_cast<double>(state.readBudget().heldBytes()));
            return {.body = state.metrics().write()};
        }
        return {.status = HTTPResponse::HTTP_NOT_FOUND, .body = "no such page\n"};
    };
}

} // namespace trefoil
