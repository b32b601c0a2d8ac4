#include "verbs.h"

#include <array>
#include <iostream>
#include <mutex>

#include <adapter/configuration_check.h>
#include <adapter/documents.h>
#include <adapter/store_client.h>
#include <configuration/settings.h>
#include <configuration/table_checks.h>
#include <core/json.h>
#include <telemetry/log.h>

#include "checked_documents.h"

namespace trefoil {

namespace {

/// The check makes two calls: the configuration and the list of servers.
constexpr double storeCallsPerSecond = 50;

/// What the store holds.
struct store_state
{
    std::string configuration;
    std::vector<registered_server> servers;
};

/// The version in force and the document that is compared with it.
struct comparison_source
{
    document_kind kind = document_kind::Configuration;
    source_document inForce;
};

/// Prints why the check could not run. A parser's message may quote the document and is left out.
void printError(const error &reason)
{
    constexpr std::string_view parserStart = "is not valid JSON";
    const std::size_t found = reason.message.find(parserStart);
    const std::size_t length =
        found == std::string::npos ? reason.message.size() : found + parserStart.size();
    std::cerr << "check: " << std::string_view(reason.message).substr(0, length) << "\n";
}

void append(findings &found, findings more)
{
    found.insert(found.end(), std::make_move_iterator(more.begin()),
                 std::make_move_iterator(more.end()));
}

/// Appends findings of a table that have fields, but no lines.
void appendLocated(findings &found, findings more, std::string_view text)
{
    locateFields(more, text);
    append(found, std::move(more));
}

Json::Value toJson(const findings &found)
{
    Json::Value list(Json::arrayValue);
    for (const finding &each : found) {
        Json::Value entry(Json::objectValue);
        entry["file"] = each.file;
        entry["line"] = each.line;
        entry["column"] = each.column;
        entry["field"] = each.field;
        entry["message"] = each.message;
        list.append(std::move(entry));
    }
    return list;
}

result<checked_documents> readDocuments(const check_options &options)
{
    checked_documents documents;
    const std::array<std::pair<document_kind, const std::string *>, 3> files {
        {{document_kind::Settings, &options.settingsFile},
         {document_kind::Routes, &options.routesFile},
         {document_kind::Pools, &options.poolsFile}}};
    for (const std::pair<document_kind, const std::string *> &each : files) {
        if (each.second->empty())
            continue;
        if (const result<void> added = documents.addFile(each.first, *each.second); !added)
            return tl::unexpected(added.error());
    }
    if (!options.configuration.empty()) {
        if (const result<void> added = documents.addPath(options.configuration); !added)
            return tl::unexpected(added.error());
    }
    if (documents.isEmpty())
        return failure("usage", "give --settings, --routes, --pools or --configuration");
    return documents;
}

result<store_state> readStore(const std::string &address)
{
    endpoint store;
    if (!parseEndpoint(address, store))
        return failure("usage", "--store must be a numeric address and port");
    // The store's client logs objects that it skips; the standard output is for the findings.
    static std::once_flag isLogStarted;
    std::call_once(isLogStarted, [] { startLog({.minLevel = log_level::Error}); });
    store_client client(store, storeCallsPerSecond);
    const result<object> configuration = client.get(store_kinds::newestConfiguration);
    if (!configuration)
        return tl::unexpected(configuration.error());
    const result<std::vector<object>> servers = client.list(store_kinds::servers);
    if (!servers)
        return tl::unexpected(servers.error());
    store_state state {.configuration = configuration->value};
    for (const object &each : *servers) {
        // Instances leave out malformed entries too.
        if (result<registered_server> server = decodeServer(each.name, each.value))
            state.servers.push_back(std::move(*server));
    }
    return state;
}

result<comparison_source> readInForce(const check_options &options,
                                      const std::optional<store_state> &store)
{
    if (store)
        return comparison_source {
            .inForce = {.file = "the store's configuration", .text = store->configuration}};
    checked_documents documents;
    if (const result<void> added = documents.addPath(options.inForceFile); !added)
        return tl::unexpected(added.error());
    for (const document_kind kind :
         {document_kind::Configuration, document_kind::Routes, document_kind::Pools}) {
        if (const source_document *found = documents.find(kind))
            return comparison_source {.kind = kind, .inForce = *found};
    }
    std::cerr << toString(documents.unknownFiles());
    return failure("usage", "\"" + options.inForceFile + "\" holds no table");
}

void checkTables(const checked_documents &documents, findings &found)
{
    const source_document *routesSource = documents.find(document_kind::Routes);
    const source_document *poolsSource = documents.find(document_kind::Pools);
    route_table routes;
    pool_table pools;
    if (routesSource) {
        routes = readRoutesPartially(routesSource->text, routesSource->file, found);
        appendLocated(found, checkRoutes(routes, routesSource->file), routesSource->text);
    }
    if (poolsSource) {
        pools = readPoolsPartially(poolsSource->text, poolsSource->file, found);
        appendLocated(found, checkPools(pools, poolsSource->file), poolsSource->text);
    }
    // The references of a table of which nothing could be read say nothing about the other one.
    if (routes.routes.empty() || pools.pools.empty())
        return;
    appendLocated(found, checkPoolReferences(routes, pools, routesSource->file),
                  routesSource->text);
    appendLocated(found, checkUnusedPools(routes, pools, poolsSource->file), poolsSource->text);
}

findings checkAll(const checked_documents &documents, const std::optional<store_state> &store)
{
    findings found = documents.unknownFiles();
    if (const source_document *source = documents.find(document_kind::Settings)) {
        tl::expected<settings, findings> read = readSettings(source->text, source->file);
        if (!read)
            append(found, std::move(read.error()));
    }
    checkTables(documents, found);
    if (const source_document *source = documents.find(document_kind::Configuration)) {
        const std::optional<json_document> document =
            json_document::parse(source->text, source->file, found);
        if (document)
            append(found,
                   checkConfiguration(*document,
                                      store ? std::optional(store->servers) : std::nullopt));
    }
    sortByLocation(found);
    return found;
}

/// Returns the differences of the documents from the version in force, or nothing if the document
/// is malformed, which is among the findings. Error: the version in force is malformed, or no
/// document of its kind is given.
result<std::optional<std::vector<json_difference>>> compare(const checked_documents &documents,
                                                            const comparison_source &source)
{
    const source_document *document = documents.find(source.kind);
    if (!document)
        return failure("usage", "no document to compare with " + source.inForce.file);
    findings errors;
    const std::optional<Json::Value> before = readAsJson(source.kind, source.inForce, errors);
    if (!before) {
        std::cerr << toString(errors);
        return failure("malformed", "the version in force is malformed");
    }
    const std::optional<Json::Value> after = readAsJson(source.kind, *document, errors);
    if (!after)
        return std::optional<std::vector<json_difference>>();
    if (source.kind == document_kind::Configuration)
        return std::optional(compareConfigurations(*before, *after));
    constexpr std::array<std::string_view, 1> nameFields {"name"};
    return std::optional(compareJson(*before, *after, nameFields));
}

void printText(const findings &found, const comparison_source *source,
               const std::optional<std::vector<json_difference>> &differences)
{
    std::cout << toString(found);
    if (found.empty())
        std::cout << "no findings\n";
    if (!source)
        return;
    if (!differences)
        std::cout << "not compared with " << source->inForce.file
                  << ", because the document is malformed\n";
    else if (differences->empty())
        std::cout << "no differences from " << source->inForce.file << "\n";
    else
        std::cout << "differences from " << source->inForce.file << ":\n" << toString(*differences);
}

void printJson(const findings &found, const comparison_source *source,
               const std::optional<std::vector<json_difference>> &differences)
{
    Json::Value report(Json::objectValue);
    report["findings"] = toJson(found);
    if (source)
        report["differences"] = differences ? toJson(*differences) : Json::Value();
    std::cout << writeJson(report) << "\n";
}

} // namespace

int runCheck(const check_options &options)
{
    if (!options.inForceFile.empty() && !options.store.empty()) {
        std::cerr << "check: give --in-force or --store, not both\n";
        return ExitUsage;
    }
    const result<checked_documents> documents = readDocuments(options);
    if (!documents) {
        printError(documents.error());
        return ExitUsage;
    }
    std::optional<store_state> store;
    if (!options.store.empty()) {
        result<store_state> read = readStore(options.store);
        if (!read) {
            printError(read.error());
            return ExitUsage;
        }
        store = std::move(*read);
    }
    std::optional<comparison_source> source;
    std::optional<std::vector<json_difference>> differences;
    if (store || !options.inForceFile.empty()) {
        result<comparison_source> inForce = readInForce(options, store);
        if (!inForce) {
            printError(inForce.error());
            return ExitUsage;
        }
        source = std::move(*inForce);
        result<std::optional<std::vector<json_difference>>> compared = compare(*documents, *source);
        if (!compared) {
            printError(compared.error());
            return ExitUsage;
        }
        differences = std::move(*compared);
    }
    const findings found = checkAll(*documents, store);
    if (options.output == check_output::Report)
        printJson(found, source ? &*source : nullptr, differences);
    else if (options.output == check_output::FindingList)
        std::cout << writeJson(toJson(found)) << "\n";
    else
        printText(found, source ? &*source : nullptr, differences);
    return found.empty() ? ExitOk : ExitFailed;
}

} // namespace trefoil
