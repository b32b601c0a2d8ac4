#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <json/value.h>

namespace trefoil {

enum class difference_kind { Added, Removed, Changed };

/// One difference between two documents. Secrets in the values are replaced by a marker.
struct json_difference
{
    difference_kind kind = difference_kind::Changed;
    /// For example routes[r1].timeout_ms, with the name of a list's element in the brackets, or its
    /// position if the list's elements have no names.
    std::string path;
    /// Null if the item was added.
    Json::Value before;
    /// Null if the item was removed.
    Json::Value after;
};

/// Returns the differences between two documents, sorted by path. The elements of a list are
/// compared by name if each is an object with a unique text in one of @p nameFields; other lists of
/// objects are compared by position, and lists of plain values as a whole. Of fields for which
/// isSecretField() is true, only the number of values and of changes is told. Thread-safe.
std::vector<json_difference> compareJson(const Json::Value &before, const Json::Value &after,
                                         std::span<const std::string_view> nameFields);

/// Returns whether values of the field called @p name are secret: keys, credentials, passwords.
/// Thread-safe.
bool isSecretField(std::string_view name);

/// Returns one line for each difference. Thread-safe.
std::string toString(std::span<const json_difference> differences);

/// Returns the differences as a list of objects with the members kind, path, before and after.
/// Thread-safe.
Json::Value toJson(std::span<const json_difference> differences);

} // namespace trefoil
