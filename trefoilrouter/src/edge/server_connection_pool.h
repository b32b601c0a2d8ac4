#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <configuration/settings.h>
#include <core/clock.h>
#include <core/error.h>
#include <http/byte_stream.h>

namespace trefoil {

/// Pool of idle connections to backend servers. Thread-safe.
class server_connection_pool
{
public:
    /// A connection taken from the pool or opened.
    struct pooled_connection
    {
        byte_stream stream;
        /// Whether the connection carried a request before.
        bool isReused = false;
    };

    /// Returns a connection of @p name that has been idle for at most @p maxIdle, or one that
    /// @p connect opens, with its errors.
    result<pooled_connection> acquire(std::string_view name, duration maxIdle,
                                      const std::function<result<byte_stream>()> &connect);
    /// Returns a connection that @p connect opens, with its errors.
    static result<pooled_connection> open(const std::function<result<byte_stream>()> &connect);
    /// Keeps a connection of @p name that carried a complete answer for at most @p idleTimeout.
    void release(std::string_view name, byte_stream stream, duration idleTimeout);
    /// Closes connections whose idle timeout has expired.
    void prune(timestamp now);

private:
    struct idle_connection
    {
        byte_stream stream;
        timestamp idleSince;
        timestamp expiresAt;
    };

    std::mutex m_mutex;
    std::map<std::string, std::vector<idle_connection>, std::less<>> m_idle;
};

} // namespace trefoil
