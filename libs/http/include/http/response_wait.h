#pragma once

#include <atomic>

#include <core/clock.h>

namespace trefoil {

/// The wait for a response, which another thread can end as long as nothing of the response has
/// arrived. Thread-safe.
class response_wait
{
public:
    /// Begins the wait for the next response.
    void begin()
    {
        m_begunAt = timestamp {};
        m_isAbandoned = false;
    }
    /// Ends the wait. Has no effect on a response that is arriving.
    void abandon() { m_isAbandoned = true; }
    bool isAbandoned() const { return m_isAbandoned; }
    /// Records that the response began to arrive at @p now.
    void recordBegin(timestamp now) { m_begunAt = now; }
    /// Returns when the response began to arrive, or the epoch if it has not.
    timestamp begunAt() const { return m_begunAt; }
    /// Returns whether the response has begun to arrive.
    bool hasBegun() const { return begunAt() != timestamp {}; }

private:
    std::atomic<timestamp> m_begunAt {timestamp {}};
    std::atomic<bool> m_isAbandoned = false;
};

} // namespace trefoil
