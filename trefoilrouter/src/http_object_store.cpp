#include "http_object_store.h"

#include <Poco/Net/HTTPResponse.h>
#include <platform/codec.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// The platform normally responds within milliseconds.
constexpr duration callTimeout = std::chrono::seconds(2);

/// All calls share the kept connections: the attempt's id tells their responses apart.
constexpr std::string_view sharedSubject = "platform";

tl::unexpected<error> errorFromStatus(int status, const std::string &target)
{
    if (status == HTTPResponse::HTTP_NOT_FOUND)
        return failure(platform_errors::notFound, target + " does not exist");
    if (status == HTTPResponse::HTTP_CONFLICT)
        return failure(platform_errors::conflict, target + " was changed concurrently");
    return failure(platform_errors::refused,
                   "the platform rejected the request for " + target + " with status "
                       + std::to_string(status));
}

std::vector<object> parseObjects(const Json::Value &list)
{
    std::vector<object> items;
    if (!list.isArray())
        return items;
    for (const Json::Value &entry : list) {
        result<object> item = objectFromJson(entry);
        if (item)
            items.push_back(std::move(*item));
    }
    return items;
}

} // namespace

http_object_store::http_object_store(endpoint address, double callsPerSecond)
    : m_client(std::move(address), callsPerSecond)
{ }

result<Json::Value> http_object_store::call(http_request request, duration timeout)
{
    request.attemptId = newAttemptId();
    const result<json_http_client::response> response =
        m_client.call(request, {.idle = timeout, .total = timeout * 2}, sharedSubject);
    if (!response)
        return tl::unexpected(response.error());
    if (response->status != HTTPResponse::HTTP_OK)
        return errorFromStatus(response->status, "\"" + request.path + "\"");
    return response->body;
}

result<object> http_object_store::get(const std::string &name)
{
    const result<Json::Value> response = call({.path = "/objects/" + encodeUri(name)}, callTimeout);
    if (!response)
        return tl::unexpected(response.error());
    return objectFromJson(*response);
}

result<std::vector<object>> http_object_store::list(const std::string &prefix)
{
    const result<Json::Value> response =
        call({.path = "/objects?prefix=" + encodeUri(prefix)}, callTimeout);
    if (!response)
        return tl::unexpected(response.error());
    return parseObjects((*response)["items"]);
}

result<std::uint64_t> http_object_store::put(const std::string &name, const std::string &value,
                                             std::uint64_t expected)
{
    const result<Json::Value> response =
        call({.method = "PUT",
              .path = "/objects/" + encodeUri(name) + "?expected=" + std::to_string(expected),
              .body = value,
              .contentType = "application/octet-stream"},
             callTimeout);
    if (!response)
        return tl::unexpected(response.error());
    return integerOr(*response, "version");
}

result<object_changes> http_object_store::watch(const std::string &prefix, std::uint64_t from,
                                                duration maxWait)
{
    const result<Json::Value> response =
        call({.path = "/watch?prefix=" + encodeUri(prefix) + "&from=" + std::to_string(from)
                  + "&wait_ms=" + std::to_string(toMilliseconds(maxWait))},
             callTimeout + maxWait);
    if (!response)
        return tl::unexpected(response.error());
    return object_changes {.changed = parseObjects((*response)["changed"]),
                           .upToVersion = integerOr(*response, "up_to", from)};
}

result<std::vector<listed_instance>> http_object_store::instances()
{
    const result<Json::Value> response = call({.path = "/instances"}, callTimeout);
    if (!response)
        return tl::unexpected(response.error());
    std::vector<listed_instance> listed;
    const Json::Value &list = (*response)["instances"];
    if (!list.isArray())
        return listed;
    for (const Json::Value &entry : list)
        listed.push_back({.name = textOr(entry, "name"), .leaving = flagOr(entry, "leaving")});
    return listed;
}

} // namespace trefoil
