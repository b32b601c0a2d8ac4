#include "operators_handler.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <core/json.h>

namespace trefoil {

namespace {

/// Components of the instance that operators_handler uses.
struct operators_context
{
    control_thread &control;
    metric_registry &metrics;
    const call_budget &budget;
};

class operators_handler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit operators_handler(const operators_context &context) : m_context(context) { }

    void handleRequest(Poco::Net::HTTPServerRequest &request,
                       Poco::Net::HTTPServerResponse &response) override
    {
        const std::string &path = request.getURI();
        if (path == "/healthz")
            sendResponse(response, 200, "text/plain", "ok\n");
        else if (path == "/readyz")
            serveReady(response);
        else if (path == "/metrics")
            serveMetrics(response);
        else if (path == "/status")
            serveStatus(response);
        else
            sendResponse(response, 404, "text/plain", "no such page\n");
    }

private:
    void serveReady(Poco::Net::HTTPServerResponse &response)
    {
        const std::shared_ptr<const traffic_snapshot> snapshot = m_context.control.snapshot();
        if (!snapshot->ready)
            sendResponse(response, 503, "text/plain", "no configuration yet\n");
        else if (snapshot->leaving)
            sendResponse(response, 503, "text/plain", "leaving\n");
        else if (!snapshot->attached)
            sendResponse(response, 503, "text/plain", "cut off\n");
        else
            sendResponse(response, 200, "text/plain", "ready\n");
    }

    void serveMetrics(Poco::Net::HTTPServerResponse &response)
    {
        m_context.metrics.gaugeOf("trefoil_platform_calls")
            .set(static_cast<std::int64_t>(m_context.budget.allowed()));
        m_context.metrics.gaugeOf("trefoil_platform_calls_refused")
            .set(static_cast<std::int64_t>(m_context.budget.refused()));
        sendResponse(response, 200, "text/plain; version=0.0.4", m_context.metrics.write());
    }

    void serveStatus(Poco::Net::HTTPServerResponse &response)
    {
        const std::optional<Json::Value> report = m_context.control.queryStatus();
        if (report)
            sendResponse(response, 200, "application/json", writeJson(*report));
        else
            sendResponse(response, 503, "text/plain", "control is busy\n");
    }

    static void sendResponse(Poco::Net::HTTPServerResponse &response, int status,
                             const std::string &type, const std::string &body)
    {
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response.setContentType(type);
        response.sendBuffer(body.data(), body.size());
    }

    operators_context m_context;
};

class operators_handler_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit operators_handler_factory(const operators_context &context) : m_context(context) { }

    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new operators_handler(m_context); // owned by the HTTP server
    }

private:
    operators_context m_context;
};

} // namespace

Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makeOperatorsHandlerFactory(control_thread &control, metric_registry &metrics,
                            const call_budget &budget)
{
    return new operators_handler_factory({control, metrics, budget});
}

} // namespace trefoil
