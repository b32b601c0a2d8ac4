#pragma once

#include <string>
#include <string_view>

#include <core/error.h>
#include <json/value.h>

namespace trefoil {

/// Parses one JSON document. Error: "bad-json", naming @p what. Thread-safe.
result<Json::Value> parseJson(std::string_view text, std::string_view what);

/// Writes @p value on one line, members in the order of their names. Thread-safe.
std::string writeJson(const Json::Value &value);

/// Returns member @p name of @p object as text, or "" where it is absent or not text. Thread-safe.
std::string textOr(const Json::Value &object, const char *name, std::string_view fallback = "");

/// Returns member @p name of @p object as a flag, or @p fallback. Thread-safe.
bool flagOr(const Json::Value &object, const char *name, bool fallback = false);

/// Returns member @p name of @p object as an unsigned integer, or @p fallback. Thread-safe.
std::uint64_t integerOr(const Json::Value &object, const char *name, std::uint64_t fallback = 0);

/// Returns member @p name of @p object as a number, or @p fallback. Thread-safe.
double numberOr(const Json::Value &object, const char *name, double fallback = 0);

} // namespace trefoil
