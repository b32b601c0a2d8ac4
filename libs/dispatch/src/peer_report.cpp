#include <dispatch/peer_report.h>

#include <core/json.h>
#include <http/message.h>

namespace trefoil {

namespace {

template <typename Number>
Json::Value numbersToJson(const std::map<std::string, Number, std::less<>> &numbers)
{
    Json::Value value(Json::objectValue);
    for (auto it = numbers.begin(); it != numbers.end(); ++it)
        value[it->first] = Json::Value(static_cast<double>(it->second));
    return value;
}

template <typename Number>
void numbersFromJson(const Json::Value &value, std::map<std::string, Number, std::less<>> &numbers)
{
    if (!value.isObject())
        return;
    for (auto it = value.begin(); it != value.end(); ++it) {
        if (it->isNumeric())
            numbers[it.name()] = static_cast<Number>(it->asDouble());
    }
}

Json::Value namesToJson(const std::vector<std::string> &names)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &name : names)
        list.append(name);
    return list;
}

void namesFromJson(const Json::Value &list, std::vector<std::string> &names)
{
    if (!list.isArray())
        return;
    for (const Json::Value &name : list) {
        if (name.isString())
            names.push_back(name.asString());
    }
}

Json::Value loadToJson(const std::map<std::string, server_load, std::less<>> &load)
{
    Json::Value value(Json::objectValue);
    for (auto it = load.begin(); it != load.end(); ++it) {
        Json::Value entry(Json::arrayValue);
        entry.append(it->second.running);
        entry.append(Json::Int64(it->second.pendingTokens));
        entry.append(Json::Int64(it->second.memoryTokens));
        value[it->first] = entry;
    }
    return value;
}

void loadFromJson(const Json::Value &value, std::map<std::string, server_load, std::less<>> &load)
{
    constexpr Json::ArrayIndex fields = 3;
    if (!value.isObject())
        return;
    for (auto it = value.begin(); it != value.end(); ++it) {
        const Json::Value &entry = *it;
        if (!entry.isArray() || entry.size() != fields || !entry[0].isNumeric()
            || !entry[1].isNumeric() || !entry[2].isNumeric())
            continue;
        load[it.name()] = {.running = static_cast<int>(entry[0].asDouble()),
                           .pendingTokens = entry[1].asDouble(),
                           .memoryTokens = entry[2].asDouble()};
    }
}

Json::Value placedToJson(const std::vector<placed_parts> &placed)
{
    Json::Value list(Json::arrayValue);
    for (const placed_parts &each : placed) {
        Json::Value entry(Json::arrayValue);
        entry.append(each.server);
        entry.append(each.inStore);
        for (const std::uint64_t part : each.parts)
            entry.append(Json::UInt64(part));
        list.append(entry);
    }
    return list;
}

void placedFromJson(const Json::Value &list, std::vector<placed_parts> &placed)
{
    if (!list.isArray())
        return;
    for (const Json::Value &entry : list) {
        if (!entry.isArray() || entry.size() < 2 || !entry[0].isString() || !entry[1].isBool())
            continue;
        placed_parts each {.server = entry[0].asString(), .inStore = entry[1].asBool()};
        for (Json::ArrayIndex i = 2; i < entry.size(); ++i) {
            if (entry[i].isUInt64())
                each.parts.push_back(entry[i].asUInt64());
        }
        placed.push_back(std::move(each));
    }
}

Json::Value releasesToJson(const std::vector<release_outcomes> &releases)
{
    Json::Value list(Json::arrayValue);
    for (const release_outcomes &each : releases) {
        Json::Value entry(Json::objectValue);
        entry["service"] = each.service;
        entry["release"] = each.release;
        entry["route"] = each.route;
        entry["requests"] = Json::UInt64(each.counts.requests);
        entry["failures"] = Json::UInt64(each.counts.failures);
        entry["slow"] = Json::UInt64(each.counts.slow);
        list.append(entry);
    }
    return list;
}

void releasesFromJson(const Json::Value &list, std::vector<release_outcomes> &releases)
{
    if (!list.isArray())
        return;
    for (const Json::Value &entry : list) {
        if (!entry.isObject())
            continue;
        releases.push_back({.service = textOr(entry, "service"),
                            .release = textOr(entry, "release"),
                            .route = textOr(entry, "route"),
                            .counts = {.requests = integerOr(entry, "requests"),
                                       .failures = integerOr(entry, "failures"),
                                       .slow = integerOr(entry, "slow")}});
    }
}

Json::Value crashesToJson(const std::vector<crash_note> &crashes)
{
    Json::Value list(Json::arrayValue);
    for (const crash_note &each : crashes) {
        Json::Value entry(Json::arrayValue);
        entry.append(toHex(each.request));
        entry.append(each.event);
        list.append(entry);
    }
    return list;
}

void crashesFromJson(const Json::Value &list, std::vector<crash_note> &crashes)
{
    if (!list.isArray())
        return;
    for (const Json::Value &entry : list) {
        crash_note note;
        if (entry.isArray() && entry.size() == 2 && entry[0].isString() && entry[1].isString()
            && fromHex(entry[0].asString(), note.request)) {
            note.event = entry[1].asString();
            crashes.push_back(std::move(note));
        }
    }
}

} // namespace

std::string weightsKey(std::string_view model, std::uint64_t version)
{
    return std::string(model) + "=" + std::to_string(version);
}

std::optional<weights_name> parseWeightsKey(std::string_view text)
{
    const std::size_t end = text.rfind('=');
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> version = parseDecimal(text.substr(end + 1));
    if (!version)
        return std::nullopt;
    return weights_name {.model = std::string(text.substr(0, end)), .version = *version};
}

std::string toText(const peer_report &report)
{
    Json::Value value(Json::objectValue);
    value["from"] = report.from;
    value["incarnation"] = Json::UInt64(report.incarnation);
    value["sequence"] = Json::UInt64(report.sequence);
    value["leaving"] = report.isLeaving;
    value["revisions"] = numbersToJson(report.revisions);
    value["load"] = loadToJson(report.load);
    value["admitted"] = numbersToJson(report.admitted);
    value["asked_rates"] = numbersToJson(report.askedRates);
    value["levels"] = numbersToJson(report.levels);
    value["placed"] = placedToJson(report.placed);
    value["crashes"] = crashesToJson(report.crashes);
    value["loading"] = namesToJson(report.loading);
    value["gone"] = namesToJson(report.gone);
    value["unreachable"] = namesToJson(report.unreachable);
    value["weights"] = numbersToJson(report.weights);
    value["named_age_ms"] = numbersToJson(report.namedAgeMs);
    value["duty_epoch"] = Json::UInt64(report.dutyEpoch);
    if (report.storeHeardAgoMs)
        value["store_heard_ago_ms"] = Json::UInt64(*report.storeHeardAgoMs);
    if (report.storeEpoch)
        value["store_epoch"] = Json::UInt64(*report.storeEpoch);
    value["releases"] = releasesToJson(report.releases);
    return writeJson(value);
}

std::optional<peer_report> peerReportFromText(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "peer report");
    if (!value || !value->isObject() || textOr(*value, "from").empty())
        return std::nullopt;
    const Json::Value &fields = *value;
    peer_report report {.from = textOr(fields, "from"),
                        .incarnation = integerOr(fields, "incarnation"),
                        .sequence = integerOr(fields, "sequence"),
                        .isLeaving = fields["leaving"].isBool() && fields["leaving"].asBool(),
                        .dutyEpoch = integerOr(fields, "duty_epoch")};
    numbersFromJson(fields["revisions"], report.revisions);
    loadFromJson(fields["load"], report.load);
    numbersFromJson(fields["admitted"], report.admitted);
    numbersFromJson(fields["asked_rates"], report.askedRates);
    numbersFromJson(fields["levels"], report.levels);
    placedFromJson(fields["placed"], report.placed);
    crashesFromJson(fields["crashes"], report.crashes);
    namesFromJson(fields["loading"], report.loading);
    namesFromJson(fields["gone"], report.gone);
    namesFromJson(fields["unreachable"], report.unreachable);
    numbersFromJson(fields["weights"], report.weights);
    numbersFromJson(fields["named_age_ms"], report.namedAgeMs);
    if (fields["store_heard_ago_ms"].isUInt64())
        report.storeHeardAgoMs = fields["store_heard_ago_ms"].asUInt64();
    if (fields["store_epoch"].isUInt64())
        report.storeEpoch = fields["store_epoch"].asUInt64();
    releasesFromJson(fields["releases"], report.releases);
    return report;
}

} // namespace trefoil
