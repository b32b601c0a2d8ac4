#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Length of time. Every decision library counts in nanoseconds.
using duration = std::chrono::nanoseconds;

/// Clock that goes on while the machine is suspended, so that a lease held by a suspended process
/// is seen to have expired when the process resumes.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Returns the time since the machine started. Thread-safe.
    static time_point now() noexcept;
};

/// Point in time as the decision libraries take it: an argument, never read from a clock inside.
using timestamp = boot_clock::time_point;

/// Returns @p time in seconds. Thread-safe.
constexpr double toSeconds(duration time) { return std::chrono::duration<double>(time).count(); }

/// Returns a duration of @p seconds. Precondition: the result fits 63 bits of nanoseconds.
/// Thread-safe.
constexpr duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Returns @p time in milliseconds, rounded down. Thread-safe.
constexpr std::int64_t toMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// Returns the wall clock in milliseconds since 1970, for incarnations and log lines only: no
/// decision compares it with another machine's. Thread-safe.
std::uint64_t wallMilliseconds();

} // namespace trefoil
