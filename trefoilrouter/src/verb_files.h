#pragma once

#include <optional>
#include <string>

#include <configuration/tables.h>
#include <core/error.h>

namespace trefoil {

/// Returns the text of the file. Error: "no-file". Thread-safe.
result<std::string> readFile(const std::string &name);

/// Both tables as files hold them, with everything that is wrong with them.
struct table_files
{
    std::string routesText;
    std::string poolsText;
    std::optional<route_table> routes;
    std::optional<pool_table> pools;
    findings found;
};

/// Reads and checks the tables in the files named; an empty name leaves one out. Names are joined
/// only when both are given. Thread-safe.
table_files readTableFiles(const std::string &routesFile, const std::string &poolsFile);

} // namespace trefoil
