#include <core/clock.h>

#include <ctime>

namespace trefoil {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec reading {};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec)
                      + std::chrono::nanoseconds(reading.tv_nsec));
}

std::uint64_t wallMilliseconds()
{
    const std::chrono::system_clock::duration sinceEpoch =
        std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace trefoil
