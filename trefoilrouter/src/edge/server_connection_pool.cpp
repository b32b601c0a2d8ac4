#include "edge/server_connection_pool.h"

#include <optional>

namespace trefoil {

namespace {

/// Idle connections per server. The server's connection limit is shared by all instances.
constexpr std::size_t maxIdleConnections = 8;

} // namespace

result<server_connection_pool::pooled_connection>
server_connection_pool::acquire(std::string_view name, duration maxIdle,
                                const std::function<result<byte_stream>()> &connect)
{
    const timestamp now = boot_clock::now();
    while (true) {
        std::optional<idle_connection> found;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto idle = m_idle.find(name);
            if (idle != m_idle.end() && !idle->second.empty()) {
                // The most recently used connection is the least likely to have been closed by the
                // server.
                found = std::move(idle->second.back());
                idle->second.pop_back();
            }
        }
        if (!found)
            break;
        if (now < found->expiresAt && now - found->idleSince <= maxIdle && found->stream.isIdle())
            return pooled_connection {.stream = std::move(found->stream), .isReused = true};
    }
    return open(connect);
}

result<server_connection_pool::pooled_connection>
server_connection_pool::open(const std::function<result<byte_stream>()> &connect)
{
    result<byte_stream> opened = connect();
    if (!opened)
        return tl::unexpected(opened.error());
    return pooled_connection {.stream = std::move(*opened)};
}

void server_connection_pool::release(std::string_view name, byte_stream stream,
                                     duration idleTimeout)
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<idle_connection> &idle = m_idle[std::string(name)];
    if (idle.size() < maxIdleConnections)
        idle.push_back(
            {.stream = std::move(stream), .idleSince = now, .expiresAt = now + idleTimeout});
}

void server_connection_pool::prune(timestamp now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second,
                      [now](const idle_connection &each) { return now >= each.expiresAt; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace trefoil
