#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>

namespace trefoil {

/// Table of a benchmark, printed as aligned text and written as JSON. Not thread-safe.
class report_table
{
public:
    /// Starts a table with @p title and the names of its columns.
    report_table(std::string title, std::vector<std::string> columns);

    /// Appends a row. Precondition: it has a cell for each column.
    void add(std::vector<std::string> cells);
    /// Returns the table as text, a line a row.
    std::string text() const;
    /// Returns the table as one JSON object: title, columns and rows as objects.
    std::string json() const;

private:
    std::string m_title;
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

/// Returns @p value with @p digits behind the point. Thread-safe.
std::string formatNumber(double value, int digits);

/// Prints @p tables to the standard output and, where the program's arguments are "--json FILE",
/// writes them there too. Returns the program's exit status: 2 on other arguments or a failure.
int report(const std::vector<report_table> &tables, int argc, char **argv);

} // namespace trefoil
