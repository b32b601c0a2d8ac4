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

/// Calls to the platform that control asks for. @{
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
    std::uint64_t expected = 0;
};
struct platform_watch
{
    std::string prefix;
    std::uint64_t from = 0;
    duration patience {};
};
struct platform_instances
{ };
using platform_request =
    std::variant<platform_list, platform_get, platform_put, platform_watch, platform_instances>;
/// @}

/// Answers to them, in the same order of kinds.
using platform_answer =
    std::variant<result<std::vector<object>>, result<object>, result<std::uint64_t>,
                 result<object_changes>, result<std::vector<listed_instance>>>;

/// What is asked of the platform regularly: the objects at the start, the configuration's watch on
/// the instances chosen for it, a slow safety read on the others, and the list of instances. A pure
/// state machine; not thread-safe.
class platform_link
{
public:
    /// Kinds of regular reads.
    enum class read { Objects, Watch, Instances };

    /// A read that is due.
    struct due_read
    {
        read kind = read::Objects;
        std::string prefix;
        std::uint64_t from = 0;
        duration patience {};
    };

    /// Reads objects under @p prefixes at the start, in this order; the first prefix is the one
    /// that is watched. @p seed spreads the instances' reads over time.
    platform_link(std::vector<std::string> prefixes, std::uint64_t seed);

    /// Returns the reads that are due. @p isWatcher tells whether this instance holds a watch.
    std::vector<due_read> tick(timestamp now, bool isWatcher);
    /// Notes the end of a read of @p prefix; empty for the list of instances.
    void onDone(timestamp now, read kind, const std::string &prefix, bool success,
                std::uint64_t upToVersion);
    /// Notes that any call succeeded.
    void noteContact(timestamp now) { m_contactAt = now; }

    /// Returns whether a call succeeded within @p age.
    bool heardWithin(timestamp now, duration age) const;
    /// Returns whether every prefix was read at least once.
    bool hasLoaded() const;

private:
    struct prefix_state
    {
        std::string prefix;
        bool loaded = false;
        bool open = false;
        timestamp nextRead;
        duration backoff {};
    };

    std::vector<prefix_state> m_prefixes;
    bool m_watchOpen = false;
    timestamp m_nextWatch;
    std::uint64_t m_watchFrom = 0;
    bool m_instancesOpen = false;
    timestamp m_nextInstances;
    duration m_jitter;
    std::optional<timestamp> m_contactAt;
};

} // namespace trefoil
