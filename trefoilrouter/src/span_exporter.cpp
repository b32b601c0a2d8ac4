#include "span_exporter.h"

#include <fstream>

#include <telemetry/log.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr std::size_t maxSpansPerBatch = 256;
constexpr duration batchPeriod = std::chrono::milliseconds(200);
constexpr duration collectorTimeout = std::chrono::seconds(2);

} // namespace

span_exporter::span_exporter(std::string instance, std::string file, std::string collector)
    : m_instance(std::move(instance)), m_file(std::move(file)), m_collector(std::move(collector))
{ }

void span_exporter::add(span item)
{
    if (isEnabled())
        m_spans.post(std::move(item));
}

child_body span_exporter::body()
{
    return [this](const std::stop_token &stop) { return run(stop); };
}

result<void> span_exporter::run(const std::stop_token &stop)
{
    bool hasMore = true;
    while (hasMore || !stop.stop_requested()) {
        std::vector<span> batch;
        std::optional<span> next = m_spans.take(batchPeriod);
        hasMore = next.has_value();
        while (next) {
            batch.push_back(std::move(*next));
            if (batch.size() >= maxSpansPerBatch)
                break;
            next = m_spans.take(duration::zero());
        }
        if (!batch.empty())
            write(batch);
    }
    return {};
}

void span_exporter::write(const std::vector<span> &spans)
{
    const std::string text = toOtlpJson(spans, m_instance);
    if (!m_file.empty()) {
        std::ofstream file(m_file, std::ios::app);
        file << text << "\n";
        if (!file.flush())
            logWarning("traces", "Can't write to \"" + m_file + "\".");
    }
    endpoint address;
    if (!m_collector.empty() && parseEndpoint(m_collector, address)) {
        const result<http_response> response = sendHttpRequestOnNewConnection(
            address, {.method = "POST", .path = "/v1/traces", .body = text},
            {.total = collectorTimeout});
        if (!response)
            logWarning("traces", "The collector did not accept spans: " + response.error().message);
    }
}

} // namespace trefoil
