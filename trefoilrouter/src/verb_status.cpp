#include "verbs.h"

#include <iostream>

#include <core/json.h>
#include <core/text_table.h>

#include "http_util.h"

namespace trefoil {

namespace {

constexpr duration statusTimeout = std::chrono::seconds(3);
constexpr std::size_t maxStatusBytes = 16 << 20;

std::string joinNames(const Json::Value &names)
{
    std::string text;
    for (const Json::Value &name : names)
        text += (text.empty() ? "" : " ") + name.asString();
    return text.empty() ? "-" : text;
}

void printText(const Json::Value &report)
{
    text_table configuration("configuration",
                             {"table", "newest", "in force everywhere", "lagging"});
    const Json::Value &tables = report["configuration"];
    for (const std::string &name : tables.getMemberNames())
        configuration.add({name, tables[name]["newest"].asString(),
                           tables[name]["in_force_everywhere"].asString(),
                           joinNames(tables[name]["lagging"])});
    text_table members("members", {"name", "zone", "callers", "state"});
    for (const Json::Value &each : report["members"])
        members.add({textOr(each, "name"), textOr(each, "zone"), textOr(each, "callers"),
                     textOr(each, "state")});
    text_table owners("limits", {"team", "owner"});
    for (const std::string &name : report["limit_owners"].getMemberNames())
        owners.add({name, report["limit_owners"][name].asString()});
    text_table rollouts("rollouts", {"pool", "from", "to", "stage", "share", "reason"});
    for (const std::string &name : report["rollouts"].getMemberNames()) {
        const Json::Value &each = report["rollouts"][name];
        rollouts.add({name, textOr(each, "from"), textOr(each, "to"), textOr(each, "stage"),
                      formatNumber(numberOr(each, "share"), 2), textOr(each, "reason")});
    }
    for (const text_table &table : {configuration, members, owners, rollouts})
        std::cout << table.text() << "\n";
    for (const Json::Value &item : report["findings"])
        std::cout << "finding: " << item.asString() << "\n";
}

} // namespace

int runStatus(const status_options &options)
{
    endpoint address;
    if (!parseEndpoint(options.instance, address)) {
        std::cerr << "status: --instance must be the numeric address and port of an operators' "
                     "listener\n";
        return ExitUsage;
    }
    const result<http_response> response = sendHttpRequestOnNewConnection(
        address, {.path = "/status"}, {.total = statusTimeout, .maxBodyBytes = maxStatusBytes});
    if (!response || response->status != 200) {
        std::cerr << "status: instance " << options.instance << " does not answer\n";
        return ExitFailed;
    }
    const result<Json::Value> report = parseJson(response->body, "the status");
    if (!report) {
        std::cerr << "status: " << report.error().message << "\n";
        return ExitFailed;
    }
    if (options.format == print_format::Json)
        std::cout << writeJson(*report) << "\n";
    else
        printText(*report);
    return ExitOk;
}

} // namespace trefoil
