#pragma once

#include <optional>
#include <string_view>

#include <configuration/tables.h>
#include <core/finding.h>
#include <json/value.h>

namespace trefoil {

/// Returns the contradictions within the routes table: entries that no request can use, and limits
/// that no request can meet. Instances accept such a table. The findings have fields, but no lines;
/// see locateFields(). Fields with their default value because they could not be read are skipped.
/// Thread-safe.
findings checkRoutes(const route_table &routes, std::string_view file);

/// Like checkRoutes(), for the pools table. Thread-safe.
findings checkPools(const pool_table &pools, std::string_view file);

/// Returns the pools of @p pools that no route uses. @p file names the pools table. Thread-safe.
findings checkUnusedPools(const route_table &routes, const pool_table &pools,
                          std::string_view file);

/// Sets line and column of those of @p found that have a field but no line, by looking the field up
/// in the YAML document @p text. An absent field is located at the map that lacks it. Thread-safe.
void locateFields(findings &found, std::string_view text);

/// Kinds of YAML documents that operators edit.
enum class table_kind { Routes, Pools };

/// Returns which table the YAML document @p text is, by its fields, or nothing if it is neither.
/// Thread-safe.
std::optional<table_kind> tableKindOf(std::string_view text);

/// Returns the YAML document @p text as JSON, for comparisons: unquoted numbers and Booleans become
/// such. Appends the errors of syntax to @p found and returns nothing on any. Thread-safe.
std::optional<Json::Value> readYamlAsJson(std::string_view text, std::string_view file,
                                          findings &found);

} // namespace trefoil
