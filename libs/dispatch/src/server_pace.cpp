#include <dispatch/server_pace.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

constexpr double usualPace = 100;

} // namespace

double server_pace::weightAt(timestamp now) const
{
    const double age = std::max(0.0, toSeconds(now - m_recordedAt));
    return m_weight * std::exp(-age / toSeconds(m_options.timeConstant));
}

void server_pace::record(timestamp now, double pace)
{
    if (!(pace > 0))
        return;
    const double reading =
        std::log(std::clamp(pace / usualPace, m_options.minFactor, m_options.maxFactor));
    const double older = weightAt(now);
    const double sinceLast = toSeconds(now - m_recordedAt) / toSeconds(m_options.spacing);
    const double newest = m_weight > 0 ? std::clamp(sinceLast, 0.0, 1.0) : 1;
    m_weight = older + newest;
    m_meanLog = (m_meanLog * older + reading * newest) / m_weight;
    m_recordedAt = now;
}

double server_pace::factor(timestamp now, double measuredPace) const
{
    const double weight = weightAt(now);
    if (weight <= 0)
        return 1;
    const double share = weight / (weight + m_options.priorWeight);
    return std::exp((m_meanLog - std::log(measuredPace)) * share);
}

double server_pace::pace() const { return std::exp(m_meanLog); }

} // namespace trefoil
