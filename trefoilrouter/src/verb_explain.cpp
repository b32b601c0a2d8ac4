#include "verbs.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

#include <core/json.h>
#include <core/text_table.h>

namespace trefoil {

namespace {

/// Beliefs about a server are shown from this long before the request reached it: the time within
/// which entries, reports and probes change them.
constexpr std::int64_t beliefWindowMs = 5000;

/// Takes log lines that are JSON objects; a prefix before the object, as log collectors add, is
/// skipped.
void takeLines(std::istream &input, std::vector<Json::Value> &lines)
{
    std::string text;
    while (std::getline(input, text)) {
        const std::size_t start = text.find('{');
        if (start == std::string::npos)
            continue;
        result<Json::Value> value = parseJson(std::string_view(text).substr(start), "a log line");
        if (value && value->isObject() && (*value)["time_ms"].isInt64())
            lines.push_back(std::move(*value));
    }
}

std::int64_t timeOf(const Json::Value &line) { return line["time_ms"].asInt64(); }

/// Returns the lines of @p request, and those that changed what was believed of its servers shortly
/// before it used them.
std::vector<Json::Value> storyOf(const std::vector<Json::Value> &lines, const std::string &request)
{
    std::vector<Json::Value> story;
    std::set<std::string> servers;
    std::set<std::string> instances;
    std::int64_t first = 0;
    std::int64_t last = 0;
    for (const Json::Value &line : lines) {
        if (textOr(line, "request") != request)
            continue;
        first = story.empty() ? timeOf(line) : std::min(first, timeOf(line));
        last = std::max(last, timeOf(line));
        instances.insert(textOr(line, "instance"));
        if (!textOr(line, "server").empty())
            servers.insert(textOr(line, "server"));
        story.push_back(line);
    }
    if (story.empty())
        return story;
    for (const Json::Value &line : lines) {
        const bool isBelief = !line.isMember("request") && servers.contains(textOr(line, "server"));
        const bool isDependency = textOr(line, "event").starts_with("dependency_")
            && instances.contains(textOr(line, "instance"));
        const bool isNear = timeOf(line) >= first - beliefWindowMs && timeOf(line) <= last;
        if ((isBelief || isDependency) && isNear)
            story.push_back(line);
    }
    std::stable_sort(story.begin(), story.end(),
                     [](const Json::Value &left, const Json::Value &right) {
                         return timeOf(left) < timeOf(right);
                     });
    return story;
}

std::string shown(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    const bool isWhole = value.isInt64() || value.isUInt64();
    return value.isDouble() && !isWhole ? formatNumber(value.asDouble(), 1) : writeJson(value);
}

void printText(const std::vector<Json::Value> &story)
{
    const std::int64_t start = timeOf(story.front());
    for (const Json::Value &line : story) {
        std::cout << "+" << timeOf(line) - start << " ms  " << textOr(line, "instance") << "  "
                  << textOr(line, "part") << " " << textOr(line, "event");
        for (auto it = line.begin(); it != line.end(); ++it) {
            const std::string name = it.name();
            if (name != "time_ms" && name != "instance" && name != "part" && name != "event")
                std::cout << "  " << name << "=" << shown(*it);
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
    std::vector<Json::Value> lines;
    for (const std::string &name : options.files) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "explain: can't read \"" << name << "\"\n";
            return ExitUsage;
        }
        takeLines(file, lines);
    }
    if (options.files.empty())
        takeLines(std::cin, lines);
    const std::vector<Json::Value> story = storyOf(lines, options.request);
    if (story.empty()) {
        std::cerr << "explain: no line names request \"" << options.request << "\"\n";
        return ExitFailed;
    }
    if (options.format == print_format::Text) {
        printText(story);
        return ExitOk;
    }
    Json::Value list(Json::arrayValue);
    for (const Json::Value &line : story)
        list.append(line);
    std::cout << writeJson(list) << "\n";
    return ExitOk;
}

} // namespace trefoil
