#pragma once

#include <map>
#include <string>
#include <string_view>

#include <core/clock.h>

namespace trefoil {

/// Longest time that callers of each route stated lately. A caller that retries after a refusal
/// states what it has left, which is less than that of first attempts. Not thread-safe.
class usual_deadlines
{
public:
    /// Records that a caller of @p route has @p time.
    void record(timestamp now, std::string_view route, duration time);
    /// Returns the longest time recorded in the last one to two minutes, or nothing if there is
    /// none (duration::zero()).
    duration longest(timestamp now, std::string_view route) const;
    /// Returns whether a caller of @p route with @p time retries after a refusal.
    bool isRetry(timestamp now, std::string_view route, duration time) const;

private:
    struct window
    {
        timestamp start;
        duration current {};
        duration previous {};
    };

    std::map<std::string, window, std::less<>> m_routes;
};

} // namespace trefoil
