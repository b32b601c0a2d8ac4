#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include <core/clock.h>

namespace trefoil {

/// Unbounded multi-producer, single-consumer queue of typed messages.
///
///     mailbox<message> box;
///     box.post(message { ... });                              // any thread
///     std::optional<message> next = box.take(fromSeconds(1)); // the receiver
///
/// All methods are thread-safe.
template <typename Message>
class mailbox
{
public:
    /// Appends @p message. Returns false, dropping it, once the mailbox is closed.
    bool post(Message message)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed)
                return false;
            m_messages.push_back(std::move(message));
        }
        m_ready.notify_one();
        return true;
    }

    /// Removes and returns the oldest message, waiting up to @p timeout for one. Returns nothing on
    /// timeout, or at once if the mailbox is closed and empty.
    std::optional<Message> take(duration timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] { return m_closed || !m_messages.empty(); });
        if (m_messages.empty())
            return std::nullopt;
        std::optional<Message> message(std::move(m_messages.front()));
        m_messages.pop_front();
        return message;
    }

    /// Rejects further messages and wakes the receiver. Idempotent.
    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_ready.notify_all();
    }

    /// Returns whether close() was called.
    bool isClosed() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<Message> m_messages;
    bool m_closed = false;
};

} // namespace trefoil
