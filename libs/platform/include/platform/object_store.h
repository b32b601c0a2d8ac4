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
    /// Set by each write to a number greater than all earlier ones in the store, also if the store
    /// has been restored from a copy since; see store_version.
    std::uint64_t version = 0;
    std::string value;
    /// Reported status of the object if the store keeps it separate from the value; else "".
    std::string status;
    /// Set only in the result of a watch: the object was removed.
    bool isRemoved = false;

    bool operator==(const object &) const = default;
};

/// Result of a watch or a snapshot: the changed or existing objects, and the store version from
/// which to watch next.
struct object_changes
{
    std::vector<object> changed;
    std::uint64_t upToVersion = 0;
};

/// Entry of the platform's eventually consistent list of instances.
struct listed_instance
{
    std::string name;
    bool leaving = false;
};

/// Error codes of the platform. Every call may fail with refused or unavailable, and a write also
/// with unknown-outcome.
namespace platform_errors {
inline constexpr const char *notFound = "not-found";
/// The object's version is not the expected one, or it exists although it was expected not to.
inline constexpr const char *conflict = "conflict";
/// The call was refused before it took effect.
inline constexpr const char *refused = "refused";
/// No answer came in time, and the call can't have taken effect: a read, or a write never sent.
inline constexpr const char *unavailable = "unavailable";
/// No answer came in time; a write may or may not have taken effect.
inline constexpr const char *unknownOutcome = "unknown-outcome";
/// The store no longer keeps the changes since the requested version; read a snapshot instead.
inline constexpr const char *historyGone = "history-gone";
} // namespace platform_errors

/// Whether a read must return the newest state. A read that may return state a few seconds old is
/// cheaper for the platform.
enum class read_freshness { Newest, MayBeStale };

/// The platform's object API. Implementations are thread-safe. Calls block, so they must not be
/// made on the control thread. An object may hold up to a megabyte.
///
/// A store that is restored from a copy loses its last changes. An implementation for such a store
/// makes versions rise across that, fails a watch from before it with history-gone, and a write
/// that expects a version from before it with conflict.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Reads one object. Errors: not-found.
    virtual result<object> get(const std::string &name) = 0;
    /// Reads all objects whose names start with @p prefix, sorted by name.
    virtual result<std::vector<object>> list(const std::string &prefix) = 0;
    /// Writes @p value if the object's version is @p expected; 0 means that it must not exist.
    /// Returns the new version. Errors: conflict, unknown-outcome.
    virtual result<std::uint64_t> put(const std::string &name, const std::string &value,
                                      std::uint64_t expected) = 0;
    /// Reads all objects under @p prefix and the store version from which to watch.
    virtual result<object_changes> snapshot(const std::string &prefix);
    /// Waits up to @p timeout for changes under @p prefix after version @p from. Errors:
    /// history-gone.
    virtual result<object_changes> watch(const std::string &prefix, std::uint64_t from,
                                         duration timeout) = 0;
    /// Reads the eventually consistent list of live and leaving instances.
    virtual result<std::vector<listed_instance>> instances() = 0;
};

} // namespace trefoil
