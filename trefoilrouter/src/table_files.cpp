#include "table_files.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace trefoil {

namespace {

/// Reads and parses one table with @p read; appends its errors to @p found.
template <typename Table>
std::optional<Table> readTable(const std::string &file, std::string &text, findings &found,
                               tl::expected<Table, findings> (*read)(std::string_view,
                                                                     std::string_view))
{
    result<std::string> content = readFile(file);
    if (!content) {
        found.push_back({.file = file, .message = content.error().message});
        return std::nullopt;
    }
    text = std::move(*content);
    tl::expected<Table, findings> table = read(text, file);
    if (!table) {
        found.insert(found.end(), table.error().begin(), table.error().end());
        return std::nullopt;
    }
    return std::move(*table);
}

} // namespace

result<std::string> readFile(const std::string &name)
{
    const std::ifstream file(name);
    std::error_code error;
    // A folder can be opened, but not read.
    if (!file || std::filesystem::is_directory(name, error))
        return failure("no-file", "can't read \"" + name + "\"");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

table_files readTableFiles(const std::string &routesFile, const std::string &poolsFile)
{
    table_files tables;
    if (!routesFile.empty())
        tables.routes = readTable(routesFile, tables.routesText, tables.found, readRoutes);
    if (!poolsFile.empty())
        tables.pools = readTable(poolsFile, tables.poolsText, tables.found, readPools);
    if (tables.routes && tables.pools) {
        const findings danglingReferences =
            checkPoolReferences(*tables.routes, *tables.pools, routesFile);
        tables.found.insert(tables.found.end(), danglingReferences.begin(),
                            danglingReferences.end());
    }
    return tables;
}

} // namespace trefoil
