#include <telemetry/metrics.h>

#include <array>
#include <cstdio>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace trefoil {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles {0.5, 0.95, 0.99};

std::string inBraces(std::string_view labels)
{
    return labels.empty() ? std::string() : "{" + std::string(labels) + "}";
}

std::string formatValue(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

template <typename Metric>
Metric &
findOrCreate(std::map<std::pair<std::string, std::string>, std::unique_ptr<Metric>> &metrics,
             std::string_view name, std::string_view labels)
{
    std::unique_ptr<Metric> &slot = metrics[{std::string(name), std::string(labels)}];
    if (!slot)
        slot = std::make_unique<Metric>();
    return *slot;
}

template <typename Metric>
void writeValues(
    std::string &text,
    const std::map<std::pair<std::string, std::string>, std::unique_ptr<Metric>> &metrics,
    std::string_view type)
{
    std::string_view previous;
    for (auto it = metrics.begin(); it != metrics.end(); ++it) {
        const std::string &name = it->first.first;
        if (name != previous)
            text += "# TYPE " + name + " " + std::string(type) + "\n";
        previous = name;
        text +=
            name + inBraces(it->first.second) + " " + std::to_string(it->second->value()) + "\n";
    }
}

} // namespace

/// Holds the Boost accumulator outside the header, so that users of the header don't compile Boost.
struct duration_summary::accumulator
{
    using set = acc::accumulator_set<double,
                                     acc::stats<acc::tag::count, acc::tag::sum,
                                                acc::tag::extended_p_square_quantile(acc::linear)>>;
    set values {acc::tag::extended_p_square::probabilities = quantiles};
};

duration_summary::duration_summary() : m_accumulator(std::make_unique<accumulator>()) { }
duration_summary::~duration_summary() = default;

void duration_summary::observe(duration time)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_accumulator->values(toSeconds(time));
}

void duration_summary::write(std::string &text, std::string_view name,
                             std::string_view labels) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string metric(name);
    const std::string separator = labels.empty() ? "" : ",";
    const std::size_t count = acc::count(m_accumulator->values);
    // With fewer observations the estimated quantiles are meaningless.
    constexpr std::size_t minObservations = 8;
    if (count >= minObservations) {
        for (const double quantile : quantiles) {
            const double value =
                acc::quantile(m_accumulator->values, acc::quantile_probability = quantile);
            text += metric + "{" + std::string(labels) + separator + "quantile=\""
                + formatValue(quantile) + "\"} " + formatValue(value) + "\n";
        }
    }
    text += metric + "_sum" + inBraces(labels) + " " + formatValue(acc::sum(m_accumulator->values))
        + "\n";
    text += metric + "_count" + inBraces(labels) + " " + std::to_string(count) + "\n";
}

counter &metric_registry::counterOf(std::string_view name, std::string_view labels)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return findOrCreate(m_counters, name, labels);
}

gauge &metric_registry::gaugeOf(std::string_view name, std::string_view labels)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return findOrCreate(m_gauges, name, labels);
}

duration_summary &metric_registry::summaryOf(std::string_view name, std::string_view labels)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return findOrCreate(m_summaries, name, labels);
}

std::string metric_registry::write() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    writeValues(text, m_counters, "counter");
    writeValues(text, m_gauges, "gauge");
    std::string_view previous;
    for (auto it = m_summaries.begin(); it != m_summaries.end(); ++it) {
        if (it->first.first != previous)
            text += "# TYPE " + it->first.first + " summary\n";
        previous = it->first.first;
        it->second->write(text, it->first.first, it->first.second);
    }
    return text;
}

} // namespace trefoil
