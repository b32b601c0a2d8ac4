#include <dispatch/windowed_sum.h>

#include <algorithm>

namespace trefoil {

void windowed_sum::removeOld(timestamp now)
{
    const std::int64_t oldest = now.time_since_epoch() / m_slotTime - slots;
    while (!m_units.empty() && m_units.front().first < oldest) {
        m_sum -= m_units.front().second;
        m_units.pop_front();
    }
}

void windowed_sum::add(timestamp now, double units)
{
    if (m_slotTime == duration::zero())
        return;
    const std::int64_t slot = now.time_since_epoch() / m_slotTime;
    if (m_units.empty() || m_units.back().first < slot)
        m_units.emplace_back(slot, 0);
    const auto found =
        std::lower_bound(m_units.begin(), m_units.end(), slot,
                         [](const auto &each, std::int64_t wanted) { return each.first < wanted; });
    if (found->first != slot)
        return;
    found->second += units;
    m_sum += units;
}

double windowed_sum::sum(timestamp now)
{
    if (m_slotTime == duration::zero())
        return 0;
    removeOld(now);
    return m_sum;
}

void windowed_sum::fill(timestamp now, double units)
{
    if (m_slotTime == duration::zero())
        return;
    m_units.clear();
    m_sum = 0;
    for (int i = slots - 1; i >= 0; --i)
        add(now - i * m_slotTime, units / slots);
}

void windowed_sum::scale(double factor)
{
    m_sum *= factor;
    for (std::pair<std::int64_t, double> &each : m_units)
        each.second *= factor;
}

} // namespace trefoil
