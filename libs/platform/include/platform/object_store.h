#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <core/clock.h>
#include <core/error.h>

namespace trefoil {

/// One object of the platform.
struct object
{
    std::string name;
    /// Changes with each write, rises through the whole store, never repeats.
    std::uint64_t version = 0;
    std::string value;
    /// What was reported about the object, where the store keeps that apart; else "".
    std::string status;
    /// Whether a watch tells that the object is gone.
    bool isRemoved = false;

    bool operator==(const object &) const = default;
};

/// Answer of a watch: the objects that changed and the store's version to watch from next.
struct object_changes
{
    std::vector<object> changed;
    std::uint64_t upTo = 0;
};

/// Entry of the platform's lagging list of instances.
struct listed_instance
{
    std::string name;
    bool leaving = false;
};

/// Error codes of the platform. Every call may fail with the last three.
namespace platform_errors {
inline constexpr const char *notFound = "not-found";
/// The object exists already, or its version is not the expected one.
inline constexpr const char *conflict = "conflict";
/// The call was refused before it took effect.
inline constexpr const char *refused = "refused";
/// No answer came in time, and the call can't have taken effect (reads, or never sent).
inline constexpr const char *unavailable = "unavailable";
/// No answer came in time; a write may or may not have taken effect.
inline constexpr const char *unknownOutcome = "unknown-outcome";
/// The changes past the version asked for are no longer kept: take a snapshot.
inline constexpr const char *historyGone = "history-gone";
} // namespace platform_errors

/// Whether a read must see the newest state. One that may be seconds old costs the platform less.
enum class read_freshness { Newest, MayBeOld };

/// The platform's object API. Implementations are thread-safe and block the calling thread, so the
/// control thread never calls one itself. An object may hold up to a megabyte.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads one object. Errors: not-found.
    virtual result<object> get(const std::string &name) = 0;
    /// Reads all objects whose names start with @p prefix, in the order of their names.
    virtual result<std::vector<object>> list(const std::string &prefix) = 0;
    /// Writes @p value if the object's version is @p expected, 0 meaning that it must not exist.
    /// Returns the new version. Errors: conflict, unknown-outcome.
    virtual result<std::uint64_t> put(const std::string &name, const std::string &value,
                                      std::uint64_t expected) = 0;
    /// Reads all objects under @p prefix, and the store's version from which to watch.
    virtual result<object_changes> snapshot(const std::string &prefix);
    /// Waits as watch() does; an implementation may ignore @p freshness.
    virtual result<object_changes> watch(const std::string &prefix, std::uint64_t from,
                                         duration patience, read_freshness freshness)
    {
        static_cast<void>(freshness);
        return watch(prefix, from, patience);
    }
    /// Waits up to @p patience for changes under @p prefix past version @p from. Errors:
    /// history-gone.
    virtual result<object_changes> watch(const std::string &prefix, std::uint64_t from,
                                         duration patience) = 0;
    /// Reads the lagging list of live and leaving instances.
    virtual result<std::vector<listed_instance>> instances() = 0;
};

} // namespace trefoil
