#include <dispatch/demand_growth.h>

#include <algorithm>
#include <cmath>

namespace trefoil {

namespace {

/// Greatest growth that is expected of others.
constexpr double maxGrowth = 8;
/// Standard deviations of a demand by which it may differ from its average by chance.
constexpr double growthDeviations = 3;
/// The same for a total. With 1, a team at 0.96 of its rate was refused 0.05% of its units beside
/// links that are a second late, with 0 up to 0.3%.
constexpr double totalDeviations = 2;
/// An instance with at least this fraction of the usual demand tells how that of others grows.
constexpr double minSample = 0.5;

} // namespace

double certainGrowth(double before, double current, double size)
{
    const double least = current - growthDeviations * std::sqrt(current * size);
    const double most = before + growthDeviations * std::sqrt(std::max(before, size) * size);
    return std::clamp(least / most, 1.0, maxGrowth);
}

void demand_estimate::addKnown(double before, double current)
{
    if (before <= 0 || before < minSample * m_usual) {
        m_arrived += current;
        return;
    }
    m_before += before;
    m_current += current;
}

double demand_estimate::certain() const
{
    const double late = m_late * certainGrowth(m_before, m_current, m_size);
    const double all = m_current + m_arrived + late;
    return all - totalDeviations * std::sqrt(all * m_size);
}

} // namespace trefoil
