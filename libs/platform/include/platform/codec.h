#pragma once

#include <core/json.h>
#include <platform/object_store.h>

namespace trefoil {

/// Returns @p item as the platform's JSON. Thread-safe.
Json::Value toJson(const object &item);

/// Reads an object from the platform's JSON. Error: "bad-object". Thread-safe.
result<object> objectFromJson(const Json::Value &value);

} // namespace trefoil
