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

/// Names of the configuration's objects in the platform.
namespace config_names {
inline constexpr const char *prefix = "config/";
inline constexpr const char *routes = "config/routes";
inline constexpr const char *pools = "config/pools";
inline constexpr const char *keysPrefix = "config/keys/";
} // namespace config_names

/// A caller's key as the platform holds it: never the key itself.
struct key_entry
{
    /// SHA-256 of the key in hexadecimal.
    std::string digest;
    std::string team;
    /// What the issuer called it.
    std::string name;

    bool operator==(const key_entry &) const = default;
};

/// Returns the SHA-256 of a caller's key in hexadecimal. Thread-safe.
std::string keyDigest(std::string_view key);

/// Returns the name of the object that holds the key with @p digest: keys are spread over sixteen
/// objects, so that 2,700 teams' keys stay far below an object's megabyte. Thread-safe.
std::string keyObjectName(std::string_view digest);

/// Returns the text of a key object. Thread-safe.
std::string keysToText(const std::vector<key_entry> &keys);

/// Reads a key object. Error: "bad-keys". Thread-safe.
result<std::vector<key_entry>> keysFromText(std::string_view text);

/// The configuration in force, immutable once published.
struct configuration_view
{
    route_table routes;
    pool_table pools;
    std::unordered_map<std::string, key_entry> keys; // by digest
    std::uint64_t routesVersion = 0;
    std::uint64_t poolsVersion = 0;
    /// Highest version of the key objects.
    std::uint64_t keysVersion = 0;
};

/// Takes objects of the configuration from wherever they come and keeps the newest sound ones in
/// force. Versions only rise. An object that fails its checks is remembered as seen and refused;
/// what was in force stays. Not thread-safe.
class configuration_store
{
public:
    configuration_store();

    /// Takes @p item. Returns whether what is in force changed.
    bool take(const object &item);
    /// Returns the newest sound object of @p name, or null: what peers may be given.
    const object *find(std::string_view name) const;
    /// Returns the version in force of @p name; 0 where there is none.
    std::uint64_t versionOf(std::string_view name) const;
    /// Returns whether version @p version of @p name need not be had any more: it is in force, an
    /// older one of something in force, or was refused.
    bool isSettled(std::string_view name, std::uint64_t version) const;
    /// Returns what is in force. The view does not change; a new one replaces it.
    std::shared_ptr<const configuration_view> view() const { return m_view; }
    /// Returns whether both tables are in force.
    bool isComplete() const { return m_view->routesVersion > 0 && m_view->poolsVersion > 0; }
    /// Returns the findings for which the newest objects are not in force.
    const findings &refused() const { return m_refused; }

private:
    bool parse(const object &item, findings &faults);
    void rebuild();

    std::map<std::string, object, std::less<>> m_objects; // sound ones
    std::map<std::string, std::uint64_t, std::less<>> m_refusedVersions;
    // The newest sound text of each table and of each key object.
    std::optional<route_table> m_routes;
    std::optional<pool_table> m_pools;
    std::uint64_t m_routesVersion = 0;
    std::uint64_t m_poolsVersion = 0;
    std::map<std::string, std::vector<key_entry>> m_keys;
    std::map<std::string, findings> m_faults;
    findings m_refused;
    std::shared_ptr<const configuration_view> m_view;
};

} // namespace trefoil
