#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <json/value.h>

namespace trefoil {

/// Parses one JSON document; @p what names the document in the error. Error: "bad-json".
/// Thread-safe.
result<Json::Value> parseJson(std::string_view text, std::string_view what);

/// Parses @p text like parseJson(). If it is not valid, the elements of its arrays @p lists that
/// can't be parsed (nested too deeply, numbers out of range) are left out and added to @p skipped.
/// Error: "bad-json" if the rest is not valid. Thread-safe.
result<Json::Value> parseJsonLists(std::string_view text, std::string_view what,
                                   std::span<const std::string_view> lists,
                                   std::vector<std::string> &skipped);

/// Returns @p value as JSON on one line, with members sorted by name. Thread-safe.
std::string writeJson(const Json::Value &value);

/// Returns member @p name of @p object as text, or @p fallback if it is absent or not a string.
/// Thread-safe.
std::string textOr(const Json::Value &object, const char *name, std::string_view fallback = "");

/// Returns member @p name of @p object as a Boolean, or @p fallback if it is absent or not a
/// Boolean. Thread-safe.
bool flagOr(const Json::Value &object, const char *name, bool fallback = false);

/// Returns member @p name of @p object as an unsigned integer, or @p fallback if it is absent or
/// not one. Thread-safe.
std::uint64_t integerOr(const Json::Value &object, const char *name, std::uint64_t fallback = 0);

/// Returns member @p name of @p object as a number, or @p fallback if it is absent or not a number.
/// Thread-safe.
double numberOr(const Json::Value &object, const char *name, double fallback = 0);

} // namespace trefoil
