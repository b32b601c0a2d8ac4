#include <control/discovery.h>

#include <algorithm>
#include <cmath>

#include <core/digest.h>
#include <core/rendezvous.h>

namespace trefoil {

std::vector<member> rankInstancesForCaller(std::span<const member> members,
                                           const discovery_query &query)
{
    std::vector<member> ranked;
    for (const member &each : members) {
        if (each.state == member_state::Alive && !each.info.leaving)
            ranked.push_back(each);
    }
    const auto weight = [&](const member &each) {
        return rendezvousWeight(query.team, each.info.name);
    };
    std::sort(ranked.begin(), ranked.end(), [&](const member &a, const member &b) {
        const bool isOwnerA = a.info.name == query.owner;
        const bool isOwnerB = b.info.name == query.owner;
        if (isOwnerA != isOwnerB)
            return isOwnerA;
        const bool isSameZoneA = a.info.zone == query.zone;
        const bool isSameZoneB = b.info.zone == query.zone;
        if (isSameZoneA != isSameZoneB)
            return isSameZoneA;
        return weight(a) > weight(b);
    });
    const std::size_t subsetSize = std::min(query.subsetSize, ranked.size());
    if (subsetSize > 1) {
        const std::size_t first = hash64(query.caller) % subsetSize;
        std::rotate(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(first),
                    ranked.begin() + static_cast<std::ptrdiff_t>(subsetSize));
    }
    return ranked;
}

std::size_t discoverySubsetSize(double rate, double totalRate, std::size_t instances)
{
    if (totalRate <= 0 || instances == 0)
        return 1;
    const double ratePerInstance = totalRate / static_cast<double>(instances);
    const std::size_t proportionalSize =
        static_cast<std::size_t>(std::ceil(rate / ratePerInstance));
    const std::size_t maxSize = std::max<std::size_t>(1, instances / 2);
    return std::clamp<std::size_t>(proportionalSize, 1, maxSize);
}

} // namespace trefoil
