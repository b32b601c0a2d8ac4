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

/// Callers keep an answer for this long, and some three times as long.
constexpr duration calmEntryLife = std::chrono::seconds(3);
/// While an instance is missing, answers change soon.
constexpr duration troubledEntryLife = std::chrono::seconds(1);

/// Answer of a small page.
struct page
{
    int status = HTTPResponse::HTTP_OK;
    const char *type = "text/plain";
    std::string body;
};

class page_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit page_handler(std::function<page(const Poco::URI &)> make) : m_make(std::move(make)) { }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const page answer = m_make(Poco::URI(request.getURI()));
        response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(answer.status));
        response.setContentType(answer.type);
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    std::function<page(const Poco::URI &)> m_make;
};

class page_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit page_factory(std::function<page(const Poco::URI &)> make) : m_make(std::move(make)) { }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new page_handler(m_make); // the server deletes it
    }

private:
    std::function<page(const Poco::URI &)> m_make;
};

page entryPage(edge_state &state, const std::string &zone)
{
    const timestamp now = boot_clock::now();
    std::vector<endpoint> instances;
    bool isTroubled = false;
    bool isCutOff = false;
    state.with([&](edge_beliefs &beliefs) {
        const std::size_t others = beliefs.members.otherCount();
        const std::size_t live = beliefs.members.liveOtherCount(now);
        isTroubled = live < others;
        isCutOff = others > 0 && live == 0 && !state.isStoreReachable();
        instances = beliefs.members.entry(now, zone, state.isReady());
    });
    // An instance that reaches nobody can't tell which ones live: callers ask another one.
    if (isCutOff || instances.empty())
        return {.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                .body = "no instance is known to live\n"};
    const duration life =
        std::min(isTroubled ? troubledEntryLife : calmEntryLife, state.settings().longestEntryLife);
    return {.type = "application/json", .body = encodeEntryAnswer(instances, life)};
}

} // namespace

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> entryFactory(edge_state &state)
{
    return new page_factory([&state](const Poco::URI &uri) -> page {
        if (uri.getPath() == own_paths::readiness) {
            const bool isReady = state.isReady();
            return {.status =
                        isReady ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
                    .body = isReady ? "ready\n" : "not ready\n"};
        }
        if (uri.getPath() == own_paths::entry)
            return entryPage(state, queryValue(uri, "zone"));
        return {.status = HTTPResponse::HTTP_NOT_FOUND, .body = "no such page\n"};
    });
}

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> peersFactory(edge_state &state,
                                                                   store_watch &watch)
{
    return new page_factory([&state, &watch](const Poco::URI &uri) -> page {
        if (uri.getPath() == "/copy")
            return {.type = "application/json", .body = watch.copyOf(queryValue(uri, "kind"))};
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
