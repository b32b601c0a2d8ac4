#include <dispatch/demand_growth.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Greatest growth that is expected of others.
constexpr double maxGrowth = 8;
/// Standard deviations of a demand by which it may differ from its average by chance.
constexpr double growthDeviations = 3;
/// The same for a total. More miss the jump of a small team, whose demand varies most; fewer take
/// the chance variation of a team just below its rate for a jump.
constexpr double totalDeviations = 2;
/// An instance with at least this fraction of the usual demand tells how that of others grows.
constexpr double minSample = 0.5;
/// With other instances of this multiple of the usual demand, their growth is taken for that of
/// all, without that of this instance, to which callers may have moved.
constexpr double minKnown = 2;

} // namespace

double certainGrowth(double before, double current, double size)
{
    const double least = current - growthDeviations * std::sqrt(current * size);
    const double most = before + growthDeviations * std::sqrt(std::max(before, size) * size);
    return std::clamp(least / most, 1.0, maxGrowth);
}

bool demand_estimate::isUsual(double before) const
{
    return before > 0 && before >= minSample * m_usual;
}

void demand_estimate::addKnown(double before, double current)
{
    if (!isUsual(before)) {
        m_arrived += current;
        return;
    }
    m_known.before += before;
    m_known.current += current;
}

double demand_estimate::certain() const
{
    const double known = m_own.current + m_known.current + m_arrived;
    const bool isOwnSample = m_known.before < minKnown * m_usual && isUsual(m_own.before);
    if (!isOwnSample) {
        const double all = known + m_late * certainGrowth(m_known.before, m_known.current, m_size);
        return all - totalDeviations * std::sqrt(all * m_size);
    }
    // By chance, this instance may have had less than the usual demand just before.
    const double before = std::max(m_own.before + m_known.before, m_usual);
    const double current = m_own.current + m_known.current;
    const double growth = std::clamp(current / before, 1.0, maxGrowth);
    const double late = m_late * growth;
    const double relative = m_size / std::max(current, m_size) + m_size / (before + m_late);
    const double variance = m_size * known + late * late * relative;
    return known + late - totalDeviations * std::sqrt(variance);
}

} // namespace trefoil
