#include "verbs.h"

#include <algorithm>
#include <iostream>
#include <random>

#include <control/configuration_store.h>
#include <core/json.h>
#include <core/text_table.h>

#include "http_object_store.h"

namespace trefoil {

namespace {

constexpr double operatorCallsPerSecond = 50;

/// Random bytes of a key; the key has two hexadecimal digits for each.
constexpr int keyBytes = 24;

/// Number of digest digits that "keys list" prints and the minimum for "keys withdraw".
constexpr std::size_t digestPrefixDigits = 12;

/// Maximum attempts of a conditional update that conflicts with other writers.
constexpr int maxAttempts = 5;

std::string generateKey()
{
    // On Linux, std::random_device uses the kernel's random number generator.
    std::random_device source;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string key = "tfk_";
    for (int i = 0; i < keyBytes * 2; ++i)
        key += digits[source() % digits.size()];
    return key;
}

/// Applies @p change to the key object @p name by conditional update, and retries on conflicts.
/// @p change returns false if there is nothing to change.
template <typename Change>
result<void> updateKeys(object_store &platform, const std::string &name, const Change &change)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const result<object> current = platform.get(name);
        if (!current && current.error().code != platform_errors::notFound)
            return tl::unexpected(current.error());
        const std::uint64_t version = current ? current->version : 0;
        result<std::vector<key_entry>> keys =
            current ? keysFromText(current->value) : std::vector<key_entry>();
        if (!keys)
            return tl::unexpected(keys.error());
        if (!change(*keys))
            return failure("no-key", "no key has this digest");
        const result<std::uint64_t> written = platform.put(name, keysToText(*keys), version);
        if (written)
            return {};
        if (written.error().code != platform_errors::conflict)
            return tl::unexpected(written.error());
    }
    return failure("conflict", "other operators kept changing the keys");
}

int issueKey(object_store &platform, const keys_options &options)
{
    if (options.team.empty()) {
        std::cerr << "keys issue: give --team\n";
        return ExitUsage;
    }
    const result<object> routes = platform.get(config_names::routes);
    const tl::expected<route_table, findings> table =
        readRoutes(routes ? routes->value : std::string(), config_names::routes);
    if (!routes || !table || !table->findTeam(options.team)) {
        std::cerr << "keys issue: team \"" << options.team
                  << "\" does not exist in the routes table\n";
        return ExitFailed;
    }
    const std::string key = generateKey();
    const std::string digest = keyDigest(key);
    const result<void> done =
        updateKeys(platform, keyObjectName(digest), [&](std::vector<key_entry> &keys) {
            keys.push_back({.digest = digest, .team = options.team, .name = options.name});
            return true;
        });
    if (!done) {
        std::cerr << "keys issue: " << done.error().message << "\n";
        return ExitFailed;
    }
    std::cerr << "issued; this key is shown once, digest " << digest.substr(0, digestPrefixDigits)
              << "\n";
    std::cout << key << "\n";
    return ExitOk;
}

int listKeys(object_store &platform, const keys_options &options)
{
    const result<std::vector<object>> objects = platform.list(config_names::keysPrefix);
    if (!objects) {
        std::cerr << "keys list: " << objects.error().message << "\n";
        return ExitFailed;
    }
    text_table table("keys", {"digest", "team", "name"});
    Json::Value json(Json::arrayValue);
    for (const object &item : *objects) {
        const result<std::vector<key_entry>> keys = keysFromText(item.value);
        if (!keys) {
            std::cerr << "keys list: " << item.name << ": " << keys.error().message << "\n";
            return ExitFailed;
        }
        for (const key_entry &each : *keys) {
            if (!options.team.empty() && each.team != options.team)
                continue;
            table.add({each.digest.substr(0, digestPrefixDigits), each.team, each.name});
            Json::Value entry(Json::objectValue);
            entry["digest"] = each.digest;
            entry["team"] = each.team;
            entry["name"] = each.name;
            json.append(std::move(entry));
        }
    }
    std::cout << (options.format == print_format::Json ? writeJson(json) + "\n" : table.text());
    return ExitOk;
}

int withdrawKeys(object_store &platform, const keys_options &options)
{
    if (options.digest.size() < digestPrefixDigits) {
        std::cerr << "keys withdraw: give --digest with at least " << digestPrefixDigits
                  << " digits\n";
        return ExitUsage;
    }
    const result<void> done =
        updateKeys(platform, keyObjectName(options.digest), [&](std::vector<key_entry> &keys) {
            return std::erase_if(keys,
                                 [&](const key_entry &each) {
                                     return each.digest.starts_with(options.digest);
                                 })
                > 0;
        });
    if (!done) {
        std::cerr << "keys withdraw: " << done.error().message << "\n";
        return ExitFailed;
    }
    std::cout << "withdrawn\n";
    return ExitOk;
}

} // namespace

int runKeys(const keys_options &options)
{
    endpoint address;
    if (!parseEndpoint(options.platform, address)) {
        std::cerr << "keys: --platform must be a numeric address and port\n";
        return ExitUsage;
    }
    http_object_store platform(address, operatorCallsPerSecond);
    if (options.action == "issue")
        return issueKey(platform, options);
    if (options.action == "list")
        return listKeys(platform, options);
    if (options.action == "withdraw")
        return withdrawKeys(platform, options);
    std::cerr << "keys: \"" << options.action << "\" is not one of issue, list, withdraw\n";
    return ExitUsage;
}

} // namespace trefoil
