#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <platform/object_store.h>

namespace trefoil {

/// In-memory table of objects with the platform's rules for versions and conditional updates. Not
/// thread-safe.
class object_table
{
public:
    /// See object_store::get().
    result<object> get(const std::string &name) const;
    /// See object_store::list().
    std::vector<object> list(std::string_view prefix) const;
    /// See object_store::put(). Error: conflict.
    result<std::uint64_t> put(const std::string &name, const std::string &value,
                              std::uint64_t expected);
    /// Returns the objects under @p prefix that changed after version @p from.
    object_changes changesSince(std::string_view prefix, std::uint64_t from) const;

private:
    std::uint64_t m_version = 0;
    std::map<std::string, object, std::less<>> m_objects;
};

} // namespace trefoil
