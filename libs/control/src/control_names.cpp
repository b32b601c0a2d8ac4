#include "control_names.h"

#include <charconv>

#include <control/rollout_coordinator.h>
#include <limits/rate_limiter.h>

namespace trefoil {

std::vector<std::string> allLeaseKeys(int limitShards)
{
    std::vector<std::string> keys = shardKeys(limitShards);
    const std::vector<std::string> rollouts = rolloutLeaseKeys();
    keys.insert(keys.end(), rollouts.begin(), rollouts.end());
    return keys;
}

bool parseIntegers(std::string_view text, std::span<std::uint64_t> numbers)
{
    const char *next = text.data();
    const char *end = text.data() + text.size();
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const std::from_chars_result parsed = std::from_chars(next, end, numbers[i]);
        if (parsed.ec != std::errc())
            return false;
        next = parsed.ptr;
        const bool isLast = i + 1 == numbers.size();
        if (isLast)
            return next == end;
        if (next == end || *next != ',')
            return false;
        ++next;
    }
    return false;
}

} // namespace trefoil
