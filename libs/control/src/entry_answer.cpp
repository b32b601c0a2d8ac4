#include <control/entry_answer.h>

#include <algorithm>
#include <cmath>

#include <core/digest.h>
#include <core/rendezvous.h>

namespace trefoil {

std::vector<member> entryOrder(std::span<const member> members, const entry_question &question)
{
    std::vector<member> order;
    for (const member &each : members) {
        if (each.state == member_state::Alive && !each.info.leaving)
            order.push_back(each);
    }
    const auto rank = [&](const member &each) {
        return rendezvousWeight(question.team, each.info.name);
    };
    std::sort(order.begin(), order.end(), [&](const member &a, const member &b) {
        const bool ownerA = a.info.name == question.owner;
        const bool ownerB = b.info.name == question.owner;
        if (ownerA != ownerB)
            return ownerA;
        const bool nearA = a.info.zone == question.zone;
        const bool nearB = b.info.zone == question.zone;
        if (nearA != nearB)
            return nearA;
        return rank(a) > rank(b);
    });
    const std::size_t width = std::min(question.width, order.size());
    if (width > 1) {
        const std::size_t first = hash64(question.caller) % width;
        std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(first),
                    order.begin() + static_cast<std::ptrdiff_t>(width));
    }
    return order;
}

std::size_t entryWidth(double rate, double allRates, std::size_t instances)
{
    if (allRates <= 0 || instances == 0)
        return 1;
    const double fair = allRates / static_cast<double>(instances);
    const std::size_t wanted = static_cast<std::size_t>(std::ceil(rate / fair));
    const std::size_t most = std::max<std::size_t>(1, instances / 2);
    return std::clamp<std::size_t>(wanted, 1, most);
}

} // namespace trefoil
