#pragma once

#include <span>
#include <string>
#include <vector>

namespace trefoil {

/// One fault of a document, with its place.
struct finding
{
    std::string file;
    /// Counted from 1; 0 where the fault has no single place.
    int line = 0;
    /// Counted from 1; 0 where the fault has no single place.
    int column = 0;
    std::string message;

    bool operator==(const finding &) const = default;
};

using findings = std::vector<finding>;

/// Returns "file:line:column: message". Thread-safe.
std::string toString(const finding &item);

/// Returns one line for each finding, in the order of their places. Thread-safe.
std::string toString(std::span<const finding> items);

/// Orders @p items by file, line and column. Not thread-safe on the same list.
void sortByPlace(findings &items);

} // namespace trefoil
