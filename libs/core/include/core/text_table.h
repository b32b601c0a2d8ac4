#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>

namespace trefoil {

/// Table of text cells, printed as aligned text and written as JSON. Not thread-safe.
class text_table
{
public:
    /// Starts a table with @p title and the names of its columns.
    text_table(std::string title, std::vector<std::string> columns);

    /// Appends a row. Precondition: it has a cell for each column.
    void add(std::vector<std::string> cells);
    /// Returns the table as text, one line for each row.
    std::string text() const;
    /// Returns the table as one JSON object: the title, and the rows as objects.
    std::string json() const;

private:
    std::string m_title;
    std::vector<std::string> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

/// Returns @p value with @p digits after the decimal point. Thread-safe.
std::string formatNumber(double value, int digits);

/// Prints @p tables to the standard output and, if the program's arguments are "--json FILE",
/// writes them there too. Returns the program's exit status: 2 on other arguments or a failure.
int writeTables(const std::vector<text_table> &tables, int argc, char **argv);

} // namespace trefoil
