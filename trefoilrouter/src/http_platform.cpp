#include "http_platform.h"

#include <Poco/Net/HTTPResponse.h>
#include <platform/codec.h>

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// The platform answers in milliseconds; past this it counts as out.
constexpr duration callTimeout = std::chrono::seconds(2);

tl::unexpected<error> errorOf(int status, const std::string &what)
{
    if (status == HTTPResponse::HTTP_NOT_FOUND)
        return failure(platform_errors::notFound, what + " does not exist");
    if (status == HTTPResponse::HTTP_CONFLICT)
        return failure(platform_errors::conflict, what + " was changed by somebody else");
    return failure(platform_errors::refused,
                   "the platform refused " + what + " with status " + std::to_string(status));
}

std::vector<object> objectsOf(const Json::Value &list)
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

http_platform::http_platform(endpoint place, double callsPerSecond)
    : m_channel(std::move(place), callsPerSecond)
{ }

result<Json::Value> http_platform::call(const http_call &request, duration timeout)
{
    const result<json_channel::reply> answer = m_channel.call(request, timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status != HTTPResponse::HTTP_OK)
        return errorOf(answer->status, "\"" + request.path + "\"");
    return answer->body;
}

result<object> http_platform::get(const std::string &name)
{
    const result<Json::Value> answer = call({.path = "/objects/" + encodeUri(name)}, callTimeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return objectFromJson(*answer);
}

result<std::vector<object>> http_platform::list(const std::string &prefix)
{
    const result<Json::Value> answer =
        call({.path = "/objects?prefix=" + encodeUri(prefix)}, callTimeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return objectsOf((*answer)["items"]);
}

result<std::uint64_t> http_platform::put(const std::string &name, const std::string &value,
                                         std::uint64_t expected)
{
    const result<Json::Value> answer =
        call({.method = "PUT",
              .path = "/objects/" + encodeUri(name) + "?expected=" + std::to_string(expected),
              .body = value,
              .contentType = "application/octet-stream"},
             callTimeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return integerOr(*answer, "version");
}

result<object_changes> http_platform::watch(const std::string &prefix, std::uint64_t from,
                                            duration patience)
{
    const result<Json::Value> answer =
        call({.path = "/watch?prefix=" + encodeUri(prefix) + "&from=" + std::to_string(from)
                  + "&wait_ms=" + std::to_string(toMilliseconds(patience))},
             callTimeout + patience);
    if (!answer)
        return tl::unexpected(answer.error());
    return object_changes {.changed = objectsOf((*answer)["changed"]),
                           .upToVersion = integerOr(*answer, "up_to", from)};
}

result<std::vector<listed_instance>> http_platform::instances()
{
    const result<Json::Value> answer = call({.path = "/instances"}, callTimeout);
    if (!answer)
        return tl::unexpected(answer.error());
    std::vector<listed_instance> listed;
    const Json::Value &list = (*answer)["instances"];
    if (!list.isArray())
        return listed;
    for (const Json::Value &entry : list)
        listed.push_back({.name = textOr(entry, "name"), .leaving = flagOr(entry, "leaving")});
    return listed;
}

} // namespace trefoil
