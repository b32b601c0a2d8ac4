#pragma once

#include <string>

#include <core/mailbox.h>
#include <core/supervisor.h>
#include <telemetry/span.h>

namespace trefoil {

/// Exports finished spans as OTLP JSON to a file and an OTLP/HTTP collector. Thread-safe.
class span_exporter
{
public:
    /// Appends to @p file and posts to @p collector ("address:port"); either may be empty.
    span_exporter(std::string instance, std::string file, std::string collector);

    /// Returns whether a file or a collector is configured.
    bool isEnabled() const { return !m_file.empty() || !m_collector.empty(); }
    /// Queues a finished span for export; ignored if the exporter is not enabled.
    void add(span item);
    /// Returns the supervised body that exports queued spans.
    child_body body();

private:
    result<void> run(const std::stop_token &stop);
    void write(const std::vector<span> &spans);

    std::string m_instance;
    std::string m_file;
    std::string m_collector;
    mailbox<span> m_spans;
};

} // namespace trefoil
