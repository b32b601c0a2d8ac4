#include "edge/server_connections.h"

#include <optional>

namespace trefoil {

namespace {

/// Idle connections kept to one server: its limit is shared by all instances.
constexpr std::size_t mostIdle = 8;

} // namespace

result<server_connections::taken_connection> server_connections::take(std::string_view server,
                                                                      const endpoint &place,
                                                                      duration longestIdle,
                                                                      duration connectTimeout)
{
    const timestamp now = boot_clock::now();
    while (true) {
        std::optional<idle_connection> found;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto idle = m_idle.find(server);
            if (idle != m_idle.end() && !idle->second.empty()) {
                // The one used last is the one least likely to have been closed.
                found = std::move(idle->second.back());
                idle->second.pop_back();
            }
        }
        if (!found)
            break;
        if (now < found->until && now - found->since <= longestIdle && found->stream.isIdle())
            return taken_connection {.stream = std::move(found->stream), .isReused = true};
    }
    result<byte_stream> fresh = byte_stream::connect(place, connectTimeout);
    if (!fresh)
        return tl::unexpected(fresh.error());
    return taken_connection {.stream = std::move(*fresh)};
}

void server_connections::giveBack(std::string_view server, byte_stream stream, duration idleTimeout)
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<idle_connection> &idle = m_idle[std::string(server)];
    if (idle.size() < mostIdle)
        idle.push_back({.stream = std::move(stream), .since = now, .until = now + idleTimeout});
}

void server_connections::prune(timestamp now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [now](const idle_connection &each) { return now >= each.until; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace trefoil
