#pragma once

#include <optional>
#include <string>

#include <configuration/tables.h>
#include <core/error.h>

namespace trefoil {

/// Returns the content of file @p name. Error: "no-file". Thread-safe.
result<std::string> readFile(const std::string &name);

/// The routes and pools tables read from files, and all findings.
struct table_files
{
    std::string routesText;
    std::string poolsText;
    std::optional<route_table> routes;
    std::optional<pool_table> pools;
    findings found;
};

/// Reads and checks the given tables; an empty file name skips a table. References between the
/// tables are checked only if both are given. Thread-safe.
table_files readTableFiles(const std::string &routesFile, const std::string &poolsFile);

} // namespace trefoil
