#pragma once

#include <algorithm>

#include <core/clock.h>

namespace trefoil {

/// Detects when the store's last outage ended, from the times at which any instance reached it. A
/// store that only this instance can't reach is not an outage: other writers still reach it, so
/// their objects don't expire. Not thread-safe.
class outage_detector
{
public:
    /// A longer gap between contacts is an outage. The leader reaches the store three times
    /// a second, and the long-polling reads of all instances together about as often.
    static constexpr duration maxContactGap = std::chrono::milliseconds(1800);

    /// Records that this or another instance reached the store at @p at.
    void recordContact(timestamp at)
    {
        if (m_hasContact && at - m_lastContact > maxContactGap)
            m_outageEnd = at;
        m_lastContact = m_hasContact ? std::max(m_lastContact, at) : at;
        m_hasContact = true;
    }

    /// Returns when any instance last reached the store.
    timestamp lastContact() const { return m_lastContact; }
    /// Returns when the last outage ended; the epoch of timestamp if there was none.
    timestamp outageEnd() const { return m_outageEnd; }

private:
    bool m_hasContact = false;
    timestamp m_lastContact;
    timestamp m_outageEnd;
};

} // namespace trefoil
