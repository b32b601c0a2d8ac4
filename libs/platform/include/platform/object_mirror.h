#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include <core/clock.h>
#include <platform/object_store.h>

namespace trefoil {

/// Copy of all objects under one prefix. It takes snapshots and changes in any order and from
/// several sources, the store itself or another instance's copy, and never goes back.
///
/// Answers an outage of the store during which entries lapse although their writers live: an object
/// that is missing right after an outage is kept until its writer has had time to write it again.
/// That time counts from the store's return: a removal later on is one. Not thread-safe.
class object_mirror
{
public:
    /// Takes all objects as of version @p upTo. Objects that are missing are kept until @p
    /// lapseEnd. Returns whether anything changed.
    bool takeSnapshot(timestamp now, std::span<const object> objects, std::uint64_t upTo,
                      timestamp lapseEnd = {});
    /// Takes changes up to version @p upTo. Objects that are removed are kept until @p lapseEnd.
    /// Returns whether anything changed.
    bool takeChanges(timestamp now, std::span<const object> changed, std::uint64_t upTo,
                     timestamp lapseEnd = {});
    /// Drops objects whose time to come back is over. Returns whether there were any.
    bool dropLapsed(timestamp now);

    /// Returns the objects by name.
    const std::map<std::string, object, std::less<>> &objects() const { return m_objects; }
    /// Returns the store's version that the copy stands at; 0 before the first snapshot.
    std::uint64_t upTo() const { return m_upTo; }
    /// Returns the version of the newest change seen: instances compare it.
    std::uint64_t newestChange() const { return m_newestChange; }
    /// Notes that a copy as new as this one knows of a change at @p version, a removal that left
    /// nothing behind.
    void noteNewestChange(std::uint64_t version)
    {
        m_newestChange = std::max(m_newestChange, version);
    }

private:
    std::map<std::string, object, std::less<>> m_objects;
    /// Objects that a snapshot lacked, with the time until which they are kept.
    std::map<std::string, timestamp, std::less<>> m_missing;
    std::uint64_t m_upTo = 0;
    std::uint64_t m_newestChange = 0;
};

} // namespace trefoil
