#pragma once

#include <algorithm>

#include <core/clock.h>

namespace trefoil {

/// Tells when the store's last outage ended, from when any instance heard it. What only one
/// instance could not reach is no outage: entries don't lapse by it. Not thread-safe.
class outage_clock
{
public:
    /// A silence for longer is an outage. The holder of a duty hears the store three times a
    /// second, the waiting reads of a fleet about as often.
    static constexpr duration longestSilence = std::chrono::milliseconds(1800);

    /// Notes that this instance or another one heard the store at @p at.
    void noteHeard(timestamp at)
    {
        if (m_isKnown && at - m_heardAt > longestSilence)
            m_outageEnd = at;
        m_heardAt = m_isKnown ? std::max(m_heardAt, at) : at;
        m_isKnown = true;
    }

    /// Returns when the store was last heard by any instance.
    timestamp heardAt() const { return m_heardAt; }
    /// Returns when the last outage ended; the clock's start where there was none.
    timestamp outageEnd() const { return m_outageEnd; }

private:
    bool m_isKnown = false;
    timestamp m_heardAt;
    timestamp m_outageEnd;
};

} // namespace trefoil
