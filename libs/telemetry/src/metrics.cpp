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

std::string braced(std::string_view labels)
{
    return labels.empty() ? std::string() : "{" + std::string(labels) + "}";
}

std::string number(double value)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.9g", value);
    return text.data();
}

template <typename Metric>
Metric &findOrCreate(std::map<std::pair<std::string, std::string>, std::unique_ptr<Metric>> &all,
                     std::string_view name, std::string_view labels)
{
    std::unique_ptr<Metric> &slot = all[{std::string(name), std::string(labels)}];
    if (!slot)
        slot = std::make_unique<Metric>();
    return *slot;
}

template <typename Metric>
void writeSimple(std::string &text,
                 const std::map<std::pair<std::string, std::string>, std::unique_ptr<Metric>> &all,
                 std::string_view type)
{
    std::string_view previous;
    for (auto it = all.begin(); it != all.end(); ++it) {
        const std::string &name = it->first.first;
        if (name != previous)
            text += "# TYPE " + name + " " + std::string(type) + "\n";
        previous = name;
        text += name + braced(it->first.second) + " " + std::to_string(it->second->value()) + "\n";
    }
}

} // namespace

/// The Boost accumulator, hidden so that users of the header don't compile it.
struct timing::accumulator
{
    using set = acc::accumulator_set<double,
                                     acc::stats<acc::tag::count, acc::tag::sum,
                                                acc::tag::extended_p_square_quantile(acc::linear)>>;
    set values {acc::tag::extended_p_square::probabilities = quantiles};
};

timing::timing() : m_accumulator(std::make_unique<accumulator>()) { }
timing::~timing() = default;

void timing::observe(duration time)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_accumulator->values(toSeconds(time));
}

void timing::write(std::string &text, std::string_view name, std::string_view labels) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string base(name);
    const std::string separator = labels.empty() ? "" : ",";
    const std::size_t count = acc::count(m_accumulator->values);
    // The estimator needs a few observations before its quantiles mean anything.
    constexpr std::size_t leastForQuantiles = 8;
    if (count >= leastForQuantiles) {
        for (const double quantile : quantiles) {
            const double value =
                acc::quantile(m_accumulator->values, acc::quantile_probability = quantile);
            text += base + "{" + std::string(labels) + separator + "quantile=\"" + number(quantile)
                + "\"} " + number(value) + "\n";
        }
    }
    text += base + "_sum" + braced(labels) + " " + number(acc::sum(m_accumulator->values)) + "\n";
    text += base + "_count" + braced(labels) + " " + std::to_string(count) + "\n";
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

timing &metric_registry::timingOf(std::string_view name, std::string_view labels)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return findOrCreate(m_timings, name, labels);
}

std::string metric_registry::write() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    writeSimple(text, m_counters, "counter");
    writeSimple(text, m_gauges, "gauge");
    std::string_view previous;
    for (auto it = m_timings.begin(); it != m_timings.end(); ++it) {
        if (it->first.first != previous)
            text += "# TYPE " + it->first.first + " summary\n";
        previous = it->first.first;
        it->second->write(text, it->first.first, it->first.second);
    }
    return text;
}

} // namespace trefoil
