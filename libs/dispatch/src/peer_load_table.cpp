#include <dispatch/peer_load_table.h>

namespace trefoil {

peer_load_table::slot peer_load_table::addServer(std::string_view server)
{
    slot added = static_cast<slot>(m_servers.size());
    if (m_freeSlots.empty()) {
        m_servers.emplace_back();
    } else {
        added = m_freeSlots.back();
        m_freeSlots.pop_back();
    }
    m_slots.insert_or_assign(std::string(server), added);
    return added;
}

void peer_load_table::removeServer(std::string_view server)
{
    const auto found = m_slots.find(server);
    server_total &removed = m_servers[found->second];
    removed = {.generation = removed.generation + 1};
    m_freeSlots.push_back(found->second);
    m_slots.erase(found);
}

void peer_load_table::removeEntries(peer_state &peer)
{
    for (const peer_entry &entry : peer.entries) {
        server_total &server = m_servers[entry.server];
        if (server.generation != entry.generation)
            continue;
        server.entries -= 1;
        // Sums of fractions leave a remainder.
        if (server.entries == 0) {
            server.total = {};
            continue;
        }
        server.total.running -= entry.load.running;
        server.total.pendingTokens -= entry.load.pendingTokens;
        server.total.memoryTokens -= entry.load.memoryTokens;
    }
    peer.entries.clear();
}

void peer_load_table::setLoad(timestamp now, std::string_view peer, const server_loads &load)
{
    auto known = m_peers.find(peer);
    if (known == m_peers.end())
        known = m_peers.emplace(std::string(peer), peer_state {}).first;
    peer_state &state = known->second;
    removeEntries(state);
    state.reportedAt = now;
    m_reports.emplace_back(now, peer);
    for (auto it = load.begin(); it != load.end(); ++it) {
        const auto slotOf = m_slots.find(it->first);
        if (slotOf == m_slots.end())
            continue;
        server_total &server = m_servers[slotOf->second];
        server.entries += 1;
        server.total.running += it->second.running;
        server.total.pendingTokens += it->second.pendingTokens;
        server.total.memoryTokens += it->second.memoryTokens;
        state.entries.push_back(
            {.server = slotOf->second, .generation = server.generation, .load = it->second});
    }
    removeExpired(now);
}

std::size_t peer_load_table::busyPeerCount() const
{
    std::size_t count = 0;
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it)
        count += it->second.entries.empty() ? 0 : 1;
    return count;
}

void peer_load_table::removeExpired(timestamp now)
{
    while (!m_reports.empty() && now - m_reports.front().first > m_lifetime) {
        const auto peer = m_peers.find(m_reports.front().second);
        if (peer != m_peers.end() && now - peer->second.reportedAt > m_lifetime) {
            removeEntries(peer->second);
            m_peers.erase(peer);
        }
        m_reports.pop_front();
    }
}

} // namespace trefoil
