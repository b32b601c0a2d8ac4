#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <core/clock.h>

namespace trefoil {

/// Monotonically increasing number. Thread-safe.
class counter
{
public:
    /// Adds @p amount.
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    /// Returns the total.
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// Number that can increase and decrease. Thread-safe.
class gauge
{
public:
    /// Replaces the value.
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    /// Adds @p amount, which may be negative.
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    /// Returns the value.
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value = 0;
};

/// Distribution of durations with estimated quantiles, in constant memory. Thread-safe.
class duration_summary
{
public:
    duration_summary();
    ~duration_summary();
    duration_summary(const duration_summary &) = delete;
    duration_summary &operator=(const duration_summary &) = delete;

    /// Adds one observation.
    void observe(duration time);
    /// Appends Prometheus summary lines in seconds for metric @p name with @p labels (without
    /// braces).
    void write(std::string &text, std::string_view name, std::string_view labels) const;

private:
    struct accumulator;
    mutable std::mutex m_mutex;
    std::unique_ptr<accumulator> m_accumulator;
};

/// Registry of a process's metrics by name and labels.
///
///     counter &refused = registry.counterOf("trefoil_refused_total", "code=\"over-limit\"");
///     refused.add();
///
/// References stay valid for the registry's lifetime. All methods are thread-safe.
class metric_registry
{
public:
    /// Returns the counter @p name with @p labels, creating it on first use.
    counter &counterOf(std::string_view name, std::string_view labels = "");
    /// Returns the gauge @p name with @p labels, creating it on first use.
    gauge &gaugeOf(std::string_view name, std::string_view labels = "");
    /// Returns the summary @p name with @p labels, creating it on first use.
    duration_summary &summaryOf(std::string_view name, std::string_view labels = "");
    /// Returns all metrics in the Prometheus text format: counters, gauges, then summaries, each
    /// sorted by name.
    std::string write() const;

private:
    using metric_key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<metric_key, std::unique_ptr<counter>> m_counters;
    std::map<metric_key, std::unique_ptr<gauge>> m_gauges;
    std::map<metric_key, std::unique_ptr<duration_summary>> m_summaries;
};

} // namespace trefoil
