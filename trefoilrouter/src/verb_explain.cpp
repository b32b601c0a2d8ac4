#include "verbs.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <core/json.h>
#include <core/text_table.h>

namespace trefoil {

namespace {

/// How long before a request's first record the timeline begins to include events of its servers
/// and of its instances' dependencies. Server entries, reports and probes update the state of a
/// server within this time.
constexpr std::int64_t contextWindowMs = 5000;

/// Appends the log lines that contain a JSON object to @p records. A prefix before the object, as
/// added by log collectors, is skipped.
void readLogRecords(std::istream &input, std::vector<Json::Value> &records)
{
    std::string text;
    while (std::getline(input, text)) {
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        result<Json::Value> value = parseJson(std::string_view(text).substr(start), "a log line");
        if (value && value->isObject() && (*value)["time_ms"].isInt64())
            records.push_back(std::move(*value));
    }
}

std::int64_t timeOf(const Json::Value &record) { return record["time_ms"].asInt64(); }

/// Returns, sorted by time, the records of @p request and the records shortly before and during it
/// that concern its servers or the dependencies of its instances.
std::vector<Json::Value> buildTimeline(const std::vector<Json::Value> &records,
                                       const std::string &request)
{
    std::vector<Json::Value> timeline;
    std::set<std::string> servers;
    std::set<std::string> instances;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const Json::Value &record : records) {
        if (textOr(record, "request") != request)
            continue;
        first = timeline.empty() ? timeOf(record) : std::min(first, timeOf(record));
        last = std::max(last, timeOf(record));
        instances.insert(textOr(record, "instance"));
        if (!textOr(record, "server").empty())
            servers.insert(textOr(record, "server"));
        timeline.push_back(record);
    }
    if (timeline.empty())
        return timeline;
    for (const Json::Value &record : records) {
        const bool isServerEvent =
            !record.isMember("request") && servers.contains(textOr(record, "server"));
        const bool isDependencyEvent = textOr(record, "event").starts_with("dependency_")
            && instances.contains(textOr(record, "instance"));
        const bool isWithinWindow =
            timeOf(record) >= first - contextWindowMs && timeOf(record) <= last;
        if ((isServerEvent || isDependencyEvent) && isWithinWindow)
            timeline.push_back(record);
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const Json::Value &left, const Json::Value &right) {
                         return timeOf(left) < timeOf(right);
                     });
    return timeline;
}

std::string formatValue(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    const bool isWhole = value.isInt64() || value.isUInt64();
    return value.isDouble() && !isWhole ? formatNumber(value.asDouble(), 1) : writeJson(value);
}

void printText(const std::vector<Json::Value> &timeline)
{
    const std::int64_t start = timeOf(timeline.front());
    for (const Json::Value &record : timeline) {
        std::cout << "+" << timeOf(record) - start << " ms  " << textOr(record, "instance") << "  "
                  << textOr(record, "part") << " " << textOr(record, "event");
        for (auto it = record.begin(); it != record.end(); ++it) {
            const std::string name = it.name();
            if (name != "time_ms" && name != "instance" && name != "part" && name != "event")
                std::cout << "  " << name << "=" << formatValue(*it);
        }
        std::cout << "\n";
    }
}

} // namespace

int runExplain(const explain_options &options)
{
    if (options.request.empty()) {
        std::cerr << "explain: give a request's id\n";
        return ExitUsage;
    }
    std::vector<Json::Value> records;
    for (const std::string &name : options.files) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "explain: can't read \"" << name << "\"\n";
            return ExitUsage;
        }
        readLogRecords(file, records);
    }
    if (options.files.empty())
        readLogRecords(std::cin, records);
    const std::vector<Json::Value> timeline = buildTimeline(records, options.request);
    if (timeline.empty()) {
        std::cerr << "explain: no line names request \"" << options.request << "\"\n";
        return ExitFailed;
    }
    if (options.format == print_format::Text) {
        printText(timeline);
        return ExitOk;
    }
    Json::Value list(Json::arrayValue);
    for (const Json::Value &record : timeline)
        list.append(record);
    std::cout << writeJson(list) << "\n";
    return ExitOk;
}

} // namespace trefoil
