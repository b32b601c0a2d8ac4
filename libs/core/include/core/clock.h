#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// Length of time in nanoseconds, as used throughout the libraries.
using duration = std::chrono::nanoseconds;

/// Clock that keeps running while the machine is suspended (CLOCK_BOOTTIME), so that a process that
/// resumes from suspension sees that its leases have expired.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Returns the time since the machine booted. Thread-safe.
    static time_point now() noexcept;
};

/// Point in time. The libraries that make decisions take it as an argument and never read a clock
/// themselves, so that tests control the time.
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

/// Returns the wall-clock time in milliseconds since 1970 (Unix time). For incarnation numbers
/// and log lines; never compare it with another machine's clock without allowing for what the
/// platform states they may differ by. Thread-safe.
std::uint64_t wallMilliseconds();

} // namespace trefoil
