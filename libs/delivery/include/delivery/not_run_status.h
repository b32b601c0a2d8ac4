#pragma once

#include <algorithm>
#include <array>

namespace trefoil {

/// Returns whether callers take an answer with the HTTP status @p status as the statement that
/// their request did not run and never will, so that they repeat it even if it may run only once:
/// 408, 421 and 503 (RFC 9110) and 429 (RFC 6585). Thread-safe.
constexpr bool statesNotRun(int status)
{
    constexpr std::array<int, 4> statuses {408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace trefoil
