#pragma once

#include <atomic>

namespace trefoil {

/// The wait for a response, which another thread can end as long as nothing of the response has
/// arrived. Thread-safe.
class response_wait
{
public:
    /// Begins the wait for the next response.
    void begin()
    {
        m_hasBegun = false;
        m_isAbandoned = false;
    }
    /// Ends the wait. Has no effect on a response that is arriving.
    void abandon() { m_isAbandoned = true; }
    bool isAbandoned() const { return m_isAbandoned; }
    /// Records that the response has begun to arrive.
    void recordBytes() { m_hasBegun = true; }
    /// Returns whether the response has begun to arrive.
    bool hasBegun() const { return m_hasBegun; }

private:
    std::atomic<bool> m_hasBegun = false;
    std::atomic<bool> m_isAbandoned = false;
};

} // namespace trefoil
