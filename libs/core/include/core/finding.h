#pragma once

#include <span>
#include <string>
#include <vector>

namespace trefoil {

/// One error found in a document, with its location.
struct finding
{
    std::string file;
    /// Counted from 1; 0 if the error has no single location.
    int line = 0;
    /// Counted from 1; 0 if the error has no single location.
    int column = 0;
    std::string message;
    /// Path of the field within the document, for example routes[2].timeout_ms; empty if the error
    /// concerns no single field.
    std::string field;

    bool operator==(const finding &) const = default;
};

using findings = std::vector<finding>;

/// Returns "file:line:column: field: message", without the field if the message names it,
/// on one line. Thread-safe.
std::string toString(const finding &item);

/// Returns one line for each finding, in the order of @p items. Thread-safe.
std::string toString(std::span<const finding> items);

/// Orders @p items by file, line and column. Not thread-safe on the same list.
void sortByLocation(findings &items);

} // namespace trefoil
