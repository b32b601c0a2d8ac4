#include <core/rendezvous.h>

#include <algorithm>
#include <numeric>

#include <core/digest.h>

namespace trefoil {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return hash64(candidate, hash64(key));
}

std::vector<std::size_t> rendezvousOrder(std::string_view key,
                                         std::span<const std::string> candidates)
{
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const std::string &candidate : candidates)
        weights.push_back(rendezvousWeight(key, candidate));
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t {0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        if (weights[a] != weights[b])
            return weights[a] > weights[b];
        return candidates[a] < candidates[b];
    });
    return order;
}

} // namespace trefoil
