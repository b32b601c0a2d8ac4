#include "table_files.h"
#include "verbs.h"

#include <iostream>

#include <core/json.h>

namespace trefoil {

namespace {

void printText(const findings &found)
{
    std::cout << toString(found);
    if (found.empty())
        std::cout << "no findings\n";
}

void printJson(const findings &found)
{
    Json::Value list(Json::arrayValue);
    for (const finding &each : found) {
        Json::Value entry(Json::objectValue);
        entry["file"] = each.file;
        entry["line"] = each.line;
        entry["column"] = each.column;
        entry["message"] = each.message;
        list.append(std::move(entry));
    }
    std::cout << writeJson(list) << "\n";
}

} // namespace

int runCheck(const check_options &options)
{
    if (options.settingsFile.empty() && options.routesFile.empty() && options.poolsFile.empty()) {
        std::cerr << "check: give --settings, --routes or --pools\n";
        return ExitUsage;
    }
    findings found;
    if (!options.settingsFile.empty()) {
        const result<std::string> text = readFile(options.settingsFile);
        if (!text) {
            found.push_back({.file = options.settingsFile, .message = text.error().message});
        } else {
            const tl::expected<settings, findings> read = readSettings(*text, options.settingsFile);
            if (!read)
                found.insert(found.end(), read.error().begin(), read.error().end());
        }
    }
    const table_files tables = readTableFiles(options.routesFile, options.poolsFile);
    found.insert(found.end(), tables.found.begin(), tables.found.end());
    if (options.format == print_format::Json)
        printJson(found);
    else
        printText(found);
    return found.empty() ? ExitOk : ExitUsage;
}

} // namespace trefoil
