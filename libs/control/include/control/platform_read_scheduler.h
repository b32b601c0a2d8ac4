#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <core/error.h>
#include <platform/object_store.h>

namespace trefoil {

/// Calls to the platform's object store and instance list. @{
struct platform_list
{
    std::string prefix;
};
struct platform_get
{
    std::string name;
};
struct platform_put
{
    std::string name;
    std::string value;
    /// Version that the object must have; 0 to create it.
    std::uint64_t expected = 0;
};
struct platform_watch
{
    std::string prefix;
    /// Only changes after this version are returned.
    std::uint64_t from = 0;
    /// Maximum wait of the long poll for a change.
    duration maxWait {};
};
struct platform_list_instances
{ };
using platform_request = std::variant<platform_list, platform_get, platform_put, platform_watch,
                                      platform_list_instances>;
/// @}

/// Answers to the alternatives of platform_request, in the same order.
using platform_answer =
    std::variant<result<std::vector<object>>, result<object>, result<std::uint64_t>,
                 result<object_changes>, result<std::vector<listed_instance>>>;

/// Schedules the periodic reads of the platform: the initial read of all objects, the configuration
/// watch on the instances selected as watchers, a slow resync of the configuration on the others,
/// and the list of instances. A pure state machine. Not thread-safe.
class platform_read_scheduler
{
public:
    /// Kinds of scheduled reads.
    enum class read_kind { Objects, Watch, Instances };

    /// A read to be started now. @c from and @c maxWait apply to a watch only.
    struct due_read
    {
        read_kind kind = read_kind::Objects;
        std::string prefix;
        std::uint64_t from = 0;
        duration maxWait {};
    };

    /// Schedules an initial read of the objects under each of @p prefixes; the first prefix is the
    /// one that is watched and resynced. @p seed derives the jitter that spreads the reads of
    /// different instances over time. Precondition: @p prefixes is not empty.
    platform_read_scheduler(std::vector<std::string> prefixes, std::uint64_t seed);

    /// Returns the reads that are due and marks them as in flight. @p isWatcher: whether this
    /// instance watches the configuration.
    std::vector<due_read> tick(timestamp now, bool isWatcher);
    /// Handles the end of a read. @p prefix is empty for the list of instances; @p upToVersion is
    /// the newest object version that the read covers.
    void onDone(timestamp now, read_kind kind, const std::string &prefix, bool success,
                std::uint64_t upToVersion);
    /// Records that a call to the platform succeeded at @p now.
    void recordSuccess(timestamp now) { m_lastSuccess = now; }

    /// Returns whether a call succeeded during the last @p age.
    bool succeededWithin(timestamp now, duration age) const;
    /// Returns whether every prefix was read successfully at least once.
    bool hasLoadedAll() const;

private:
    struct prefix_state
    {
        std::string prefix;
        bool loaded = false;
        bool inFlight = false;
        timestamp nextRead;
        duration backoff {};
    };

    std::vector<prefix_state> m_prefixes;
    bool m_watchInFlight = false;
    timestamp m_nextWatch;
    std::uint64_t m_watchFrom = 0;
    bool m_instanceListInFlight = false;
    timestamp m_nextInstanceList;
    duration m_jitter;
    std::optional<timestamp> m_lastSuccess;
};

} // namespace trefoil
