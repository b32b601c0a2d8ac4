#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <core/clock.h>

namespace trefoil {

/// Load that the requests of one instance put on a server.
struct server_load
{
    int running = 0;
    /// Prompt tokens to compute for requests that have had no first event yet.
    double pendingTokens = 0;
    /// KV cache memory that the requests take on the engine, in tokens.
    double memoryTokens = 0;

    bool operator==(const server_load &) const = default;
};

/// Load by id of the server.
using server_loads = std::map<std::string, server_load, std::less<>>;

/// Sums the load that other instances report to put on each server. A report costs as much as it
/// and the previous report of its instance have entries, and the sum of a server is kept up to
/// date, so that neither grows with the product of instances and servers. Servers are identified by
/// slots, which are reused. Not thread-safe.
class peer_load_table
{
public:
    using slot = std::uint32_t;

    /// The load that an instance reported counts for @p lifetime.
    explicit peer_load_table(duration lifetime) : m_lifetime(lifetime) { }

    /// Adds a server without load. Precondition: @p server was not added, or was removed since.
    slot addServer(std::string_view server);
    /// Removes a server with the load on it. Precondition: @p server was added.
    void removeServer(std::string_view server);

    /// Replaces the load that @p peer puts on the servers. Servers that were not added are ignored.
    void setLoad(timestamp now, std::string_view peer, const server_loads &load);
    /// Removes the load of instances that have reported none for longer than the lifetime.
    void removeExpired(timestamp now);
    /// Returns the load that all reports together put on @p server. Precondition: @p server is the
    /// slot of a server that was added.
    const server_load &loadOn(slot server) const { return m_servers[server].total; }

    /// Returns the number of instances whose reports count.
    std::size_t peerCount() const { return m_peers.size(); }
    /// Returns the number of instances that report load on any server.
    std::size_t busyPeerCount() const;

private:
    struct server_total
    {
        server_load total;
        /// Number of entries in total.
        int entries = 0;
        /// Distinguishes the servers that use the slot one after the other.
        std::uint32_t generation = 0;
    };
    struct peer_entry
    {
        slot server = 0;
        std::uint32_t generation = 0;
        server_load load;
    };
    struct peer_state
    {
        std::vector<peer_entry> entries;
        timestamp reportedAt;
    };
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view> {}(text);
        }
    };
    template <typename Value>
    using by_name = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

    void removeEntries(peer_state &peer);

    duration m_lifetime;
    by_name<slot> m_slots;
    std::vector<server_total> m_servers;
    std::vector<slot> m_freeSlots;
    by_name<peer_state> m_peers;
    /// Reports in the order of their arrival, with the instances that sent them.
    std::deque<std::pair<timestamp, std::string>> m_reports;
};

} // namespace trefoil
