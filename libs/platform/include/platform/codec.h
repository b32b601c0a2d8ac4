#pragma once

#include <core/json.h>
#include <platform/object_store.h>

namespace trefoil {

/// Returns @p item in the platform's JSON format. Thread-safe.
Json::Value toJson(const object &item);

/// Reads an object from the platform's JSON format. Error: "bad-object". Thread-safe.
result<object> objectFromJson(const Json::Value &value);

} // namespace trefoil
