#include <dispatch/peer_report.h>

#include <cmath>
#include <type_traits>

#include <core/json.h>
#include <http/message.h>

#include "report_format.h"

namespace trefoil {

namespace {

/// Integers below this are exact as doubles and are written without a fraction.
constexpr double maxExactInteger = 9e15;

template <typename Number>
Json::Value numbersToJson(const std::map<std::string, Number, std::less<>> &numbers)
{
    Json::Value value(Json::objectValue);
    for (auto it = numbers.begin(); it != numbers.end(); ++it) {
        if constexpr (std::is_integral_v<Number>) {
            value[it->first] = Json::UInt64(it->second);
            continue;
        }
        const double number = static_cast<double>(it->second);
        const bool isWhole = std::trunc(number) == number && std::abs(number) < maxExactInteger;
        value[it->first] =
            isWhole ? Json::Value(static_cast<Json::Int64>(number)) : Json::Value(number);
    }
    return value;
}

/// Adds @p content unless it is empty. Keeps reports small: they go to every instance several times
/// a second, over links of 10 Mbit/s.
void addNonEmpty(Json::Value &value, const char *name, Json::Value content)
{
    if (!content.empty())
        value[name] = std::move(content);
}

Json::Value namesToJson(const std::vector<std::string> &names)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &name : names)
        list.append(name);
    return list;
}

Json::Value loadToJson(const server_loads &load)
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

Json::Value placedToJson(const std::vector<cache_placement> &placed)
{
    Json::Value list(Json::arrayValue);
    for (const cache_placement &each : placed) {
        Json::Value entry(Json::arrayValue);
        entry.append(each.server);
        entry.append(each.store);
        entry.append(each.isStored);
        entry.append(Json::UInt64(each.storeTransferMs * storeTimeUnitsPerMs));
        for (const std::uint64_t part : each.parts)
            entry.append(Json::UInt64(part));
        list.append(entry);
    }
    return list;
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
        entry["timed"] = Json::UInt64(each.counts.timed);
        list.append(entry);
    }
    return list;
}

Json::Value badReleasesToJson(const std::vector<bad_release_record> &releases)
{
    Json::Value list(Json::arrayValue);
    for (const bad_release_record &each : releases) {
        Json::Value entry(Json::arrayValue);
        entry.append(each.service);
        entry.append(each.release);
        entry.append(Json::UInt64(each.ageMs));
        list.append(entry);
    }
    return list;
}

Json::Value crashesToJson(const std::vector<crash_record> &crashes)
{
    Json::Value list(Json::arrayValue);
    for (const crash_record &each : crashes) {
        Json::Value entry(Json::arrayValue);
        entry.append(toHex(each.request));
        entry.append(each.event);
        entry.append(Json::UInt64(each.ageMs));
        for (const std::uint64_t part : each.parts)
            entry.append(Json::UInt64(part));
        list.append(entry);
    }
    return list;
}

Json::Value refusedRequestsToJson(const std::vector<refused_request_record> &requests)
{
    Json::Value list(Json::arrayValue);
    for (const refused_request_record &each : requests) {
        Json::Value entry(Json::objectValue);
        entry["request"] = toHex(each.request);
        entry["crashes"] = numbersToJson(each.crashAgesMs);
        list.append(entry);
    }
    return list;
}

Json::Value blockedPartsToJson(const std::vector<blocked_part_record> &parts)
{
    Json::Value list(Json::arrayValue);
    for (const blocked_part_record &each : parts) {
        Json::Value entry(Json::objectValue);
        entry["part"] = Json::UInt64(each.part);
        entry["crashes"] = numbersToJson(each.crashAgesMs);
        list.append(entry);
    }
    return list;
}

Json::Value serverLimitsToJson(const std::vector<server_limit_record> &limits)
{
    Json::Value list(Json::arrayValue);
    for (const server_limit_record &each : limits) {
        Json::Value entry(Json::arrayValue);
        entry.append(each.server);
        entry.append(each.requestsPerSecond);
        entry.append(Json::UInt64(each.ageMs));
        list.append(entry);
    }
    return list;
}

Json::Value clearedPartsToJson(const std::vector<cleared_part_record> &parts)
{
    Json::Value list(Json::arrayValue);
    for (const cleared_part_record &each : parts) {
        Json::Value entry(Json::arrayValue);
        entry.append(Json::UInt64(each.part));
        entry.append(Json::UInt64(each.ageMs));
        list.append(entry);
    }
    return list;
}

} // namespace

std::string weightsKey(std::string_view model, std::uint64_t version)
{
    return std::string(model) + "=" + std::to_string(version);
}

std::optional<weights_key> parseWeightsKey(std::string_view text)
{
    const std::size_t end = text.rfind('=');
    if (end == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> version = parseDecimal(text.substr(end + 1));
    if (!version)
        return std::nullopt;
    return weights_key {.model = std::string(text.substr(0, end)), .version = *version};
}

std::string toText(const peer_report &report)
{
    Json::Value value(Json::objectValue);
    value["from"] = report.from;
    value["incarnation"] = Json::UInt64(report.incarnation);
    value["uptime_ms"] = Json::UInt64(report.uptimeMs);
    value["sequence"] = Json::UInt64(report.sequence);
    if (report.isLeaving)
        value["leaving"] = true;
    if (report.isCutOff)
        value["cut_off"] = true;
    value["period_ms"] = Json::Int64(std::lround(report.periodMs));
    if (report.delayMs > 0)
        value["delay_ms"] = Json::Int64(std::lround(report.delayMs));
    addNonEmpty(value, "revisions", numbersToJson(report.revisions));
    addNonEmpty(value, "outdated", numbersToJson(report.outdated));
    addNonEmpty(value, "load", loadToJson(report.load));
    addNonEmpty(value, "admitted", numbersToJson(report.admitted));
    addNonEmpty(value, "asked_rates", numbersToJson(report.demandRates));
    addNonEmpty(value, "levels", numbersToJson(report.levels));
    addNonEmpty(value, "placed", placedToJson(report.placed));
    addNonEmpty(value, "prefill_rates", numbersToJson(report.prefillRates));
    addNonEmpty(value, "crashes", crashesToJson(report.crashes));
    addNonEmpty(value, "refused_requests", refusedRequestsToJson(report.refusedRequests));
    addNonEmpty(value, "blocked_parts", blockedPartsToJson(report.blockedParts));
    addNonEmpty(value, "cleared_parts", clearedPartsToJson(report.clearedParts));
    addNonEmpty(value, "loading", namesToJson(report.loading));
    addNonEmpty(value, "gone", namesToJson(report.gone));
    addNonEmpty(value, "unreachable", namesToJson(report.unreachable));
    addNonEmpty(value, "weights", numbersToJson(report.weights));
    addNonEmpty(value, "named_age_ms", numbersToJson(report.targetAgeMs));
    if (report.leaderEpoch != 0)
        value["duty_epoch"] = Json::UInt64(report.leaderEpoch);
    if (report.storeHeardAgoMs)
        value["store_heard_ago_ms"] = Json::UInt64(*report.storeHeardAgoMs);
    if (report.configurationConfirmedAgoMs)
        value["configuration_confirmed_ago_ms"] = Json::UInt64(*report.configurationConfirmedAgoMs);
    if (report.lostKinds)
        value["lost_kinds"] = namesToJson(*report.lostKinds);
    addNonEmpty(value, "stores", numbersToJson(report.storeEpochs));
    addNonEmpty(value, "releases", releasesToJson(report.releases));
    addNonEmpty(value, "bad_releases", badReleasesToJson(report.badReleases));
    addNonEmpty(value, "server_limits", serverLimitsToJson(report.serverLimits));
    addNonEmpty(value, "server_requests", numbersToJson(report.serverRequests));
    addNonEmpty(value, "server_asked_rates", numbersToJson(report.serverDemandRates));
    addNonEmpty(value, "cold_asked_rates", numbersToJson(report.coldDemandRates));
    addNonEmpty(value, "leaving_servers", namesToJson(report.leavingServers));
    addNonEmpty(value, "server_levels", numbersToJson(report.serverLevels));
    return writeJson(value);
}

} // namespace trefoil
