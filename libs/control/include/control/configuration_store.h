#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <configuration/tables.h>
#include <core/error.h>
#include <platform/object_store.h>

namespace trefoil {

/// Names of the configuration objects in the platform's object store.
namespace config_names {
inline constexpr const char *prefix = "config/";
inline constexpr const char *routes = "config/routes";
inline constexpr const char *pools = "config/pools";
inline constexpr const char *keysPrefix = "config/keys/";
} // namespace config_names

/// Stored form of a caller's API key. Holds only the key's digest, never the key itself.
struct key_entry
{
    /// SHA-256 of the key in hexadecimal.
    std::string digest;
    std::string team;
    /// Label given by the issuer.
    std::string name;

    bool operator==(const key_entry &) const = default;
};

/// Returns the SHA-256 of a caller's API key in hexadecimal. Thread-safe.
std::string keyDigest(std::string_view key);

/// Returns the name of the object that holds the key with @p digest. Keys are partitioned over
/// sixteen objects by the first hexadecimal digit, so that the keys of 2,700 teams stay far below
/// the object size limit of one megabyte. Thread-safe.
std::string keyObjectName(std::string_view digest);

/// Serializes @p keys as the value of a key object. Thread-safe.
std::string keysToText(const std::vector<key_entry> &keys);

/// Parses the value of a key object. Errors: "bad-json"; "bad-keys" if it is not a list of valid
/// entries. Thread-safe.
result<std::vector<key_entry>> keysFromText(std::string_view text);

/// Active configuration. Immutable once published.
struct configuration_snapshot
{
    route_table routes;
    pool_table pools;
    std::unordered_map<std::string, key_entry> keys; // by digest
    std::uint64_t routesVersion = 0;
    std::uint64_t poolsVersion = 0;
    /// Highest version among the key objects.
    std::uint64_t keysVersion = 0;
};

/// Validates configuration objects from any source and keeps the newest valid version of each one
/// active. Active versions never decrease. An object that fails validation is recorded as rejected,
/// and the previously active version stays active. Not thread-safe.
class configuration_store
{
public:
    configuration_store();

    /// Validates @p item and activates it if it is valid. Returns whether it was activated. A
    /// version for which isProcessed() returns true is ignored.
    bool apply(const object &item);
    /// Returns the newest valid object named @p name, or null if there is none. Peers are served
    /// this object. The pointer is invalidated by apply().
    const object *find(std::string_view name) const;
    /// Returns the active version of @p name, or 0 if there is none.
    std::uint64_t versionOf(std::string_view name) const;
    /// Returns whether version @p version of @p name needs no fetch: it is active, older than the
    /// active version, or the last rejected version.
    bool isProcessed(std::string_view name, std::uint64_t version) const;
    /// Returns the active configuration. apply() publishes a new snapshot instead of changing this
    /// one.
    std::shared_ptr<const configuration_snapshot> snapshot() const { return m_snapshot; }
    /// Returns whether both the routes and the pools table are active.
    bool isComplete() const
    {
        return m_snapshot->routesVersion > 0 && m_snapshot->poolsVersion > 0;
    }
    /// Returns the findings for which the newest objects were rejected, and the route references
    /// that the active pools table does not resolve.
    const findings &rejectionFindings() const { return m_rejectionFindings; }

private:
    bool parse(const object &item, findings &problems);
    void rebuild();

    std::map<std::string, object, std::less<>> m_objects; // valid ones only
    std::map<std::string, std::uint64_t, std::less<>> m_rejectedVersions;
    // Parsed form of the newest valid version of each object.
    std::optional<route_table> m_routes;
    std::optional<pool_table> m_pools;
    std::uint64_t m_routesVersion = 0;
    std::uint64_t m_poolsVersion = 0;
    std::map<std::string, std::vector<key_entry>> m_keys;
    std::map<std::string, findings> m_findingsByObject;
    findings m_rejectionFindings;
    std::shared_ptr<const configuration_snapshot> m_snapshot;
};

} // namespace trefoil
