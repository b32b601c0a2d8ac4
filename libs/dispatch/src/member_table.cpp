#include <dispatch/member_table.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace trefoil {

void member_table::setListed(timestamp now, const std::vector<member_entry> &entries)
{
    std::map<std::string, member_state, std::less<>> next;
    for (const member_entry &entry : entries) {
        const auto known = m_members.find(entry.name);
        member_state state =
            known != m_members.end() ? known->second : member_state {.heardAt = now};
        if (state.entry.incarnation != entry.incarnation) {
            state.heardAt = now;
            state.isHeard = false;
        }
        state.entry = entry;
        next.emplace(entry.name, std::move(state));
    }
    m_members = std::move(next);
    assignReaderPlaces();
}

void member_table::assignReaderPlaces()
{
    std::map<std::string_view, std::vector<member_state *>> zones;
    for (auto it = m_members.begin(); it != m_members.end(); ++it)
        zones[it->second.entry.zone].push_back(&it->second);
    std::size_t largestZone = 0;
    for (auto it = zones.begin(); it != zones.end(); ++it) {
        // Equally large ones stay ordered by name.
        std::stable_sort(it->second.begin(), it->second.end(),
                         [](const member_state *left, const member_state *right) {
                             return left->entry.capacity > right->entry.capacity;
                         });
        largestZone = std::max(largestZone, it->second.size());
    }
    int place = 0;
    for (std::size_t i = 0; i < largestZone; ++i) {
        for (auto it = zones.begin(); it != zones.end(); ++it) {
            if (i < it->second.size())
                it->second[i]->readerPlace = place++;
        }
    }
}

void member_table::recordLostKinds(std::string_view name,
                                   const std::optional<std::vector<std::string>> &lostKinds)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    found->second.isHeard = true;
    found->second.lostKinds = lostKinds;
}

bool member_table::isUsableReader(timestamp now, const member_state &member, std::string_view kind,
                                  bool hasLostStore) const
{
    if (!isAlive(now, member.entry.name))
        return false;
    if (!member.isHeard)
        return true;
    if (!member.lostKinds)
        return false;
    return hasLostStore
        || std::find(member.lostKinds->begin(), member.lostKinds->end(), kind)
        == member.lostKinds->end();
}

int member_table::readerRank(timestamp now, std::string_view kind, bool hasLostStore) const
{
    const auto self = m_members.find(m_options.self);
    int before = 0;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const bool isBefore =
            self == m_members.end() || it->second.readerPlace < self->second.readerPlace;
        if (it != self && isBefore && isUsableReader(now, it->second, kind, hasLostStore))
            ++before;
    }
    return before;
}

bool member_table::recordReport(timestamp now, std::string_view name, std::uint64_t incarnation,
                                std::uint64_t sequence, bool isLeaving, std::uint64_t leaderEpoch,
                                duration period)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return false;
    member_state &state = found->second;
    if (std::pair(incarnation, sequence) <= std::pair(state.incarnation, state.sequence))
        return false;
    state.incarnation = incarnation;
    state.sequence = sequence;
    state.heardAt = now;
    state.isLeaving = isLeaving;
    state.leaderEpoch = leaderEpoch;
    m_highestLeaderEpoch = std::max(m_highestLeaderEpoch, leaderEpoch);
    state.period = period;
    return true;
}

void member_table::recordCutOff(std::string_view name, bool isCutOff)
{
    const auto found = m_members.find(name);
    if (found != m_members.end())
        found->second.isCutOff = isCutOff;
}

bool member_table::isAnyCutOff() const
{
    return std::any_of(m_members.begin(), m_members.end(),
                       [](const auto &each) { return each.second.isCutOff; });
}

std::vector<endpoint> member_table::relays(timestamp now) const
{
    std::vector<const member_state *> usable;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (it->first != m_options.self && !it->second.isCutOff)
            usable.push_back(&it->second);
    }
    std::vector<endpoint> addresses;
    for (const member_state *each : forwardersOf(now, usable))
        addresses.push_back(each->entry.peers);
    return addresses;
}

bool member_table::isAlive(timestamp now, std::string_view name) const
{
    const auto found = m_members.find(name);
    return found != m_members.end() && !found->second.isLeaving
        && now - found->second.heardAt
        <= m_options.reportTimeout.timeout(m_members.size(), found->second.period);
}

endpoint member_table::peerAddress(std::string_view name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? endpoint {} : found->second.entry.peers;
}

double member_table::capacity(std::string_view name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? 0 : found->second.entry.capacity;
}

std::vector<member_entry> member_table::others() const
{
    std::vector<member_entry> entries;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (it->first != m_options.self)
            entries.push_back(it->second.entry);
    }
    return entries;
}

std::vector<report_target> member_table::reportTargets(timestamp now, std::uint64_t sequence) const
{
    const bool usesForwarding = isLarge();
    std::vector<report_target> targets;
    std::map<std::string_view, std::vector<const member_state *>> otherZones;
    std::size_t ownIndex = 0;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const member_entry &entry = it->second.entry;
        if (it->first == m_options.self)
            ownIndex = static_cast<std::size_t>(std::distance(m_members.begin(), it));
        else if (usesForwarding && entry.zone != m_options.zone)
            otherZones[entry.zone].push_back(&it->second);
        else
            targets.push_back({.to = entry.peers});
    }
    for (auto it = otherZones.begin(); it != otherZones.end(); ++it) {
        const std::vector<const member_state *> forwarders = forwardersOf(now, it->second);
        // A zone without live instances still gets reports; otherwise it could never be
        // rediscovered.
        const std::vector<const member_state *> &candidates =
            forwarders.empty() ? it->second : forwarders;
        // Each sender starts at a different receiver, so that concurrent reports are spread.
        const member_state &chosen = *candidates[(ownIndex + sequence) % candidates.size()];
        targets.push_back({.to = chosen.entry.peers, .isForwarded = it->second.size() > 1});
    }
    return targets;
}

std::vector<const member_table::member_state *>
member_table::forwardersOf(timestamp now, const std::vector<const member_state *> &inZone) const
{
    std::vector<const member_state *> usable;
    double largest = 0;
    for (const member_state *each : inZone) {
        if (!isAlive(now, each->entry.name))
            continue;
        usable.push_back(each);
        largest = std::max(largest, each->entry.capacity);
    }
    std::erase_if(usable, [&](const member_state *each) {
        return each->entry.capacity < largest * m_options.minCapacityShare;
    });
    return usable;
}

std::vector<endpoint> member_table::forwardTargets(std::string_view from) const
{
    std::vector<endpoint> targets;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        if (it->first != m_options.self && it->first != from
            && it->second.entry.zone == m_options.zone)
            targets.push_back(it->second.entry.peers);
    }
    return targets;
}

std::size_t member_table::liveOtherCount(timestamp now) const
{
    std::size_t count = 0;
    for (auto it = m_members.begin(); it != m_members.end(); ++it)
        count += it->first != m_options.self && isAlive(now, it->first) ? 1 : 0;
    return count;
}

bool member_table::isSelfListed() const { return m_members.contains(m_options.self); }

int member_table::rank(timestamp now) const
{
    int before = 0;
    for (auto it = m_members.begin(); it != m_members.end() && it->first < m_options.self; ++it)
        before += isAlive(now, it->first) ? 1 : 0;
    return before;
}

bool member_table::isLeaderHeard(timestamp now, std::string_view name, std::uint64_t epoch) const
{
    const auto found = m_members.find(name);
    return found != m_members.end()
        && now - found->second.heardAt
        <= m_options.leaderTimeout + m_options.reportTimeout.growth(m_members.size())
        && found->second.leaderEpoch == epoch && epoch != 0;
}

bool member_table::isAnyLeaderHeard(timestamp now) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](const auto &each) {
        return isLeaderHeard(now, each.first, each.second.leaderEpoch);
    });
}

bool member_table::reportedLeadership(std::string_view name, std::uint64_t epoch) const
{
    const auto found = m_members.find(name);
    return found != m_members.end() && found->second.leaderEpoch == epoch && epoch != 0;
}

std::vector<endpoint> member_table::callerAddresses(timestamp now, std::string_view zone,
                                                    bool isSelfUsable)
{
    const bool areAllCutOff =
        std::all_of(m_members.begin(), m_members.end(), [&](const auto &each) {
            return each.second.isCutOff
                || !(each.first == m_options.self ? isSelfUsable : isAlive(now, each.first));
        });
    std::vector<const member_state *> inZone;
    std::vector<const member_state *> all;
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const bool isUsable = it->first == m_options.self ? isSelfUsable : isAlive(now, it->first);
        if (!isUsable || (it->second.isCutOff && !areAllCutOff))
            continue;
        all.push_back(&it->second);
        if (it->second.entry.zone == zone)
            inZone.push_back(&it->second);
    }
    std::vector<endpoint> addresses;
    for (const member_state *each : preferLarge(
             now, inZone.size() >= m_options.minInZone ? std::move(inZone) : std::move(all)))
        addresses.push_back(each->entry.callers);
    if (addresses.size() > m_options.maxCallerAddresses)
        addresses.resize(m_options.maxCallerAddresses);
    return addresses;
}

std::vector<const member_table::member_state *>
member_table::preferLarge(timestamp now, std::vector<const member_state *> usable)
{
    double largest = 0;
    for (const member_state *each : usable)
        largest = std::max(largest, each->entry.capacity);
    std::vector<const member_state *> large;
    duration delays {};
    for (const member_state *each : usable) {
        if (each->entry.capacity < largest * m_options.minCapacityShare)
            continue;
        large.push_back(each);
        delays += each->delay;
    }
    if (large.size() < m_options.minInZone)
        return usable;
    if (delays / static_cast<int>(large.size()) > m_options.maxDelay)
        m_spreadUntil = now + m_options.spreadTime;
    return now < m_spreadUntil ? usable : large;
}

void member_table::recordSchedulingDelay(std::string_view name, duration delay)
{
    const auto found = m_members.find(name);
    if (found != m_members.end())
        found->second.delay = delay;
}

double capacityOf(double cores, double linkMbps)
{
    // A request with a long prompt takes about 1 ms of a core and 20 kB in each direction, so a
    // fully used core needs about 400 Mbit/s.
    constexpr double mbpsPerCore = 400;
    return linkMbps > 0 ? std::min(cores, linkMbps / mbpsPerCore) : cores;
}

} // namespace trefoil
