#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <platform/object_store.h>

namespace trefoil {

/// Content of an object_mirror, for another instance.
struct mirror_copy
{
    std::vector<object> objects;
    /// Objects that the store has removed and that are kept for a grace period, with its end.
    std::map<std::string, timestamp, std::less<>> missing;
    std::uint64_t upToVersion = 0;
    std::uint64_t newestChange = 0;
    /// Versions of objects in a restored store that are older than what was known, by name.
    std::map<std::string, std::uint64_t, std::less<>> outdated;
};

/// Local copy of all objects under one prefix. Snapshots and changes may arrive in any order and
/// from several sources (the store itself or another instance's copy); older ones never overwrite
/// newer state.
///
/// During an outage of the store, objects with a time to live expire although their writers are
/// alive. An object that is missing after an outage is therefore kept for a grace period, so that
/// its writer can write it again. The grace period starts when the store returns; a removal after
/// it takes effect at once.
///
/// A store that is restored from a copy shows older states of its objects, and objects that had
/// been removed, until their writers have written again. What was known before stays in force until
/// then: the mirror recognises a state that it has seen replaced, or one from before the newest
/// such state. An object that the copy lacks is kept for the restore time. Not thread-safe.
class object_mirror
{
public:
    /// Keeps objects that a restored store lacks for @p restoreTime.
    explicit object_mirror(duration restoreTime = {}) : m_restoreTime(restoreTime) { }

    /// Replaces the copy with @p objects, which are all objects as of store version @p upToVersion.
    /// Ignored if the copy is newer. If @p now is before @p graceEnd, objects missing from @p
    /// objects are kept until then. Returns whether anything changed.
    bool applySnapshot(timestamp now, std::span<const object> objects, std::uint64_t upToVersion,
                       timestamp graceEnd = {});
    /// Replaces the copy with that of another instance. Ignored if this one is newer. Objects that
    /// the other instance keeps for a grace period are kept until its end, unless they were dropped
    /// here before. Returns whether anything changed.
    bool applyCopy(timestamp now, const mirror_copy &copy);
    /// Applies changes up to store version @p upToVersion. If @p now is before @p graceEnd, removed
    /// objects are kept until then. Returns whether anything changed.
    bool applyChanges(timestamp now, std::span<const object> changed, std::uint64_t upToVersion,
                      timestamp graceEnd = {});
    /// Takes over what another instance knows of outdated states in the restored store. Returns
    /// whether anything changed.
    bool adoptOutdated(const mirror_copy &copy);
    /// Removes missing objects whose grace period is over. Returns whether there were any.
    bool removeExpired(timestamp now);

    /// Returns the content for another instance.
    mirror_copy copy() const;
    /// Returns the objects by name.
    const std::map<std::string, object, std::less<>> &objects() const { return m_objects; }
    /// Returns the store version that the copy reflects; 0 before the first snapshot.
    std::uint64_t upToVersion() const { return m_upToVersion; }
    /// Returns the version of the newest change seen. Instances compare it to detect a stale copy.
    std::uint64_t newestChange() const { return m_newestChange; }
    /// Returns the number of objects whose state in the restored store is outdated.
    std::size_t outdatedCount() const { return m_outdated.size(); }
    /// Returns whether the store has the state of object @p name that is known here.
    bool isWritten(std::string_view name) const;

private:
    /// State of an object, by its revision and a hash of its value: a restored store gives out
    /// revisions again.
    struct seen_state
    {
        std::uint64_t revision = 0;
        std::uint64_t valueHash = 0;

        bool operator==(const seen_state &) const = default;
    };

    /// States of an object that were seen and that the store has not lost.
    struct seen_states
    {
        std::vector<seen_state> states;
        timestamp changedAt;
        bool isRemoved = false;
    };

    static seen_state stateOf(const object &item);

    bool applyRestored(timestamp now, std::span<const object> objects);
    bool hasSeen(const object &item) const;
    bool isOutdated(const object &restored, std::uint64_t copiedUpTo) const;
    void recordSeen(timestamp now, const object &state);
    void forgetRemoved(timestamp now);

    duration m_restoreTime;
    std::map<std::string, object, std::less<>> m_objects;
    /// Missing or removed objects in their grace period, with its end.
    std::map<std::string, timestamp, std::less<>> m_missing;
    std::map<std::string, seen_states, std::less<>> m_seen;
    /// See mirror_copy::outdated.
    std::map<std::string, std::uint64_t, std::less<>> m_outdated;
    std::uint64_t m_upToVersion = 0;
    std::uint64_t m_newestChange = 0;
};

} // namespace trefoil
