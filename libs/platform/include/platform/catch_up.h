#pragma once

#include <cstdint>
#include <optional>

#include <core/clock.h>

namespace trefoil {

/// What to do about a copy of the store's objects that is older than that of another instance.
enum class catch_up_step {
    None,
    /// Give up the read that waits at the store, and read on a new connection.
    ReadAgain,
    /// Fetch the other instance's copy.
    FetchCopy
};

/// Options of a catch_up.
struct catch_up_options
{
    /// Time for a change to arrive by itself, and again for the repeated read. Normally the store's
    /// watch delivers changes sooner.
    duration patience = std::chrono::milliseconds(350);
};

/// The read that was last begun.
struct read_progress
{
    timestamp startedAt;
    /// Whether it still waits for its answer. Otherwise that is arriving, or the next read follows
    /// after a pause.
    bool isWaiting = true;
    /// Whether the store answered the last read that ended.
    bool isStoreReachable = true;
};

/// Decides how a copy of the store's objects catches up with another instance's. The store comes
/// first: its link is wider than an instance's, and a read that waits for a lost answer would be as
/// late for the next change. A copy that is fetched beside an answer that is arriving delays both.
/// Not thread-safe.
class catch_up
{
public:
    explicit catch_up(const catch_up_options &options) : m_options(options) { }

    /// Records that another instance has the change of store version @p version.
    void onNewerReported(timestamp now, std::uint64_t version);
    /// Records that another instance knows something that the store doesn't tell.
    void onCopyNeeded(timestamp now);
    /// Returns whether the copy, whose newest change is @p newestChange, is behind.
    bool isBehind(std::uint64_t newestChange) const;
    /// Returns since when the copy is behind, if it is. Precondition: as of the last next().
    std::optional<timestamp> since() const { return m_since; }
    /// Returns the step to take at @p now. FetchCopy is returned once; the next report asks for it
    /// again. It follows ReadAgain also if the read that is given up doesn't end, as while it
    /// connects.
    catch_up_step next(timestamp now, std::uint64_t newestChange, const read_progress &read);

private:
    void end();

    catch_up_options m_options;
    std::optional<timestamp> m_since;
    /// When ReadAgain was first returned since then.
    std::optional<timestamp> m_gaveUpAt;
    std::uint64_t m_newestReported = 0;
    bool m_needsCopy = false;
};

} // namespace trefoil
