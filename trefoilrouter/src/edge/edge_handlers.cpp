#include "edge/edge_handlers.h"

#include <algorithm>
#include <functional>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <adapter/documents.h>
#include <adapter/server_calls.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/// Lifetime of a discovery answer. Some callers keep it for three times as long.
constexpr duration discoveryLifetime = std::chrono::seconds(3);
/// Lifetime while an instance is missing, since the answer will change soon.
constexpr duration degradedDiscoveryLifetime = std::chrono::seconds(1);

/// Response to a GET request.
struct page
{
    int status = HTTPResponse::HTTP_OK;
    const char *type = "text/plain";
    std::string body;
};

class page_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit page_handler(std::function<page(const Poco::URI &)> makePage)
        : m_makePage(std::move(makePage))
    { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const page answer = m_makePage(Poco::URI(request.getURI()));
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(answer.status));
        response.setContentType(answer.type);
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    std::function<page(const Poco::URI &)> m_makePage;
};

class page_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit page_factory(std::function<page(const Poco::URI &)> makePage)
        : m_makePage(std::move(makePage))
    { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new page_handler(m_makePage); // the server deletes it
    }

private:
    std::function<page(const Poco::URI &)> m_makePage;
};

page discoveryPage(edge_state &state, const std::string &zone)
{
    const timestamp now = boot_clock::now();
    std::vector<endpoint> instances;
    bool isDegraded = false;
    bool isIsolated = false;
    state.with([&](routing_state &routing) {
        const std::size_t otherCount = routing.members.otherCount();
        const std::size_t liveCount = routing.members.liveOtherCount(now);
        isDegraded = liveCount < otherCount;
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

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> discoveryFactory(edge_state &state)
{
    return new page_factory([&state](const Poco::URI &uri) -> page {
        if (uri.getPath() == router_paths::readiness) {
            const bool isReady = state.isReady();
            return {.status =
                        isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                    .body = isReady ? "ready\n" : "not ready\n"};
        }
        if (uri.getPath() == router_paths::discovery)
            return discoveryPage(state, queryValue(uri, "zone"));
        return {.status = HTTPResponse::HTTP_NOT_FOUND, .body = "no such page\n"};
    });
}

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> peerFactory(edge_state &state,
                                                                  store_watch &watch)
{
    return new page_factory([&state, &watch](const Poco::URI &uri) -> page {
        if (uri.getPath() == "/copy")
            return {.type = "application/json", .body = watch.encodeCopy(queryValue(uri, "kind"))};
        if (uri.getPath() == "/metrics") {
            state.metrics()
                .gaugeOf("trefoil_log_lines_dropped")
                .set(static_cast<std::int64_t>(droppedEvents()));
            return {.body = state.metrics().write()};
        }
        return {.status = HTTPResponse::HTTP_NOT_FOUND, .body = "no such page\n"};
    });
}

} // namespace trefoil
