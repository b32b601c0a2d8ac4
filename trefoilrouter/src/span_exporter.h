#pragma once

#include <string>

#include <core/mailbox.h>
#include <core/supervisor.h>
#include <telemetry/span.h>

namespace trefoil {

/// Writes finished spans to a file or an OTLP/HTTP collector. Thread-safe.
class span_exporter
{
public:
    /// Appends to @p file and posts to @p collector ("address:port"); either may be empty.
    span_exporter(std::string instance, std::string file, std::string collector);

    /// Whether anybody wants spans.
    bool isEnabled() const { return !m_file.empty() || !m_collector.empty(); }
    /// Takes a finished span. Drops it when too many wait.
    void add(span item);
    /// Returns the child that writes.
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
