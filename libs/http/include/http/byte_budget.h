#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>

#include <core/clock.h>

namespace trefoil {

/// Options of a byte_budget.
struct byte_budget_options
{
    /// Bytes that all readers may hold together, without what each may hold in any case.
    std::size_t totalBytes = 0;
    /// Bytes that each reader may hold without counting.
    std::size_t freeBytes = 32 * 1024;
};

/// Bounds the received bytes that all readers of a process hold together. When they would exceed
/// the bound, the reader that holds most has to end: a server that sends bytes without end must not
/// cost the readers of sound ones their answers. Thread-safe.
class byte_budget
{
public:
    /// Interval at which a waiting reader should check wasRevoked().
    static constexpr duration checkInterval = std::chrono::milliseconds(200);

    /// The part of one reader. Not thread-safe, except for wasRevoked().
    class share
    {
    public:
        /// Precondition: @p budget outlives this object.
        explicit share(byte_budget &budget) : m_budget(budget) { }
        share(const share &) = delete;
        share &operator=(const share &) = delete;
        ~share();

        /// Records that the reader holds @p bytes now. Returns false if it has to end and to free
        /// them.
        [[nodiscard]] bool hold(std::size_t bytes);
        /// Protects what the reader holds: the message is complete and in use. It is counted
        /// until this object is destroyed.
        void keep();
        /// Returns the bytes that are counted: what the reader holds, or 0 if that is little.
        std::size_t heldBytes() const { return m_counted; }
        /// Returns whether the reader has to end.
        bool wasRevoked() const { return m_wasRevoked; }

    private:
        friend class byte_budget;

        byte_budget &m_budget;
        std::size_t m_counted = 0;
        bool m_isKept = false;
        std::atomic<bool> m_wasRevoked = false;
    };

    explicit byte_budget(const byte_budget_options &options) : m_options(options) { }

    /// Returns the bound.
    std::size_t totalBytes() const { return m_options.totalBytes; }
    /// Returns the largest message that may be held: a quarter of the budget, so that one message
    /// can't use up the bound of all.
    std::size_t maxMessageBytes() const { return m_options.totalBytes / 4; }
    /// Returns the counted bytes that readers hold, those that have to end included.
    std::size_t heldBytes() const;

private:
    bool resize(share &changed, std::size_t bytes);
    void remove(share &ended);
    /// Returns the share that holds most of those that may be revoked, or nullptr.
    share *largestShare() const;

    byte_budget_options m_options;
    mutable std::mutex m_mutex;
    /// Shares that hold more than the free bytes.
    std::set<share *> m_shares;
    std::size_t m_held = 0;
    /// Part of m_held of readers that have to end.
    std::size_t m_revoked = 0;
};

} // namespace trefoil
