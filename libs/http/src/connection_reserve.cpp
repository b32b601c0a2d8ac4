#include <http/connection_reserve.h>

#include <algorithm>

namespace trefoil {

void connection_reserve::update(int open, int waiting)
{
    const int usable = static_cast<int>(m_options.maxConnections * (1 - m_options.reservedShare));
    m_surplus = std::max(0, open + waiting - usable);
}

duration connection_reserve::recordWaiting(timestamp now, int waiting)
{
    if (waiting <= 0)
        m_waitingSince.reset();
    else if (!m_waitingSince)
        m_waitingSince = now;
    return m_waitingSince ? now - *m_waitingSince : duration::zero();
}

bool connection_reserve::mayKeep(duration idleTime)
{
    if (idleTime < m_options.minIdleTime)
        return true;
    int surplus = m_surplus;
    while (surplus > 0) {
        if (m_surplus.compare_exchange_weak(surplus, surplus - 1))
            return false;
    }
    return true;
}

} // namespace trefoil
