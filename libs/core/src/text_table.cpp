#include <core/text_table.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>
#include <fstream>
#include <iostream>

#include <core/json.h>

namespace trefoil {

text_table::text_table(std::string title, std::vector<std::string> columns)
    : m_title(std::move(title)), m_columns(std::move(columns))
{ }

void text_table::add(std::vector<std::string> cells)
{
    assert(cells.size() == m_columns.size());
    m_rows.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < m_columns.size(); ++i) {
        std::size_t width = m_columns[i].size();
        for (const std::vector<std::string> &row : m_rows)
            width = std::max(width, row[i].size());
        widths.push_back(width);
    }
    const auto line = [&](const std::vector<std::string> &cells) {
        std::string joined;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            const std::string padding(widths[i] - cells[i].size(), ' ');
            // The first column holds names and is left-aligned; the others hold numbers.
            joined += i == 0 ? cells[i] + padding : "  " + padding + cells[i];
        }
        return joined + "\n";
    };
    std::string output = m_title + "\n" + line(m_columns);
    for (const std::vector<std::string> &row : m_rows)
        output += line(row);
    return output;
}

std::string text_table::json() const
{
    Json::Value table(Json::objectValue);
    table["title"] = m_title;
    table["rows"] = Json::Value(Json::arrayValue);
    for (const std::vector<std::string> &row : m_rows) {
        Json::Value item(Json::objectValue);
        for (std::size_t i = 0; i < row.size(); ++i)
            item[m_columns[i]] = row[i];
        table["rows"].append(item);
    }
    return writeJson(table);
}

std::string formatNumber(double value, int digits)
{
    std::array<char, 64> text {};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

int writeTables(const std::vector<text_table> &tables, int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const bool wantsJson = arguments.size() == 2 && arguments[0] == "--json";
    if (!arguments.empty() && !wantsJson) {
        std::cerr << "usage: " << argv[0] << " [--json FILE]\n";
        return 2;
    }
    for (const text_table &table : tables)
        std::cout << table.text() << "\n";
    if (!wantsJson)
        return 0;
    std::ofstream file(arguments[1]);
    file << "[";
    for (std::size_t i = 0; i < tables.size(); ++i)
        file << (i > 0 ? "," : "") << tables[i].json();
    file << "]\n";
    if (!file.flush()) {
        std::cerr << "can't write \"" << arguments[1] << "\"\n";
        return 2;
    }
    return 0;
}

} // namespace trefoil
