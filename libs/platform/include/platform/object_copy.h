#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <core/error.h>
#include <platform/object_mirror.h>

namespace trefoil {

/// Encodes the objects of @p mirror that are newer than store version @p since, and the names of
/// all others, as JSON for another instance. A copy since 0 holds all objects. Thread-safe.
std::string encodeCopy(const object_mirror &mirror, std::uint64_t since);

/// Applies a copy to @p mirror that another instance encoded since the mirror's upToVersion() or an
/// earlier version. Returns whether anything changed. A copy that is older than the mirror changes
/// nothing. Error "bad-copy": @p text is malformed, or names an unchanged object that @p mirror
/// lacks; then only a copy since 0 helps.
result<bool> applyCopy(timestamp now, std::string_view text, object_mirror &mirror);

} // namespace trefoil
