#include <platform/object_copy.h>

#include <vector>

#include <core/json.h>

namespace trefoil {

std::string encodeCopy(const object_mirror &mirror, std::uint64_t since)
{
    Json::Value copy(Json::objectValue);
    copy["up_to"] = Json::UInt64(mirror.upToVersion());
    copy["newest_change"] = Json::UInt64(mirror.newestChange());
    Json::Value changed(Json::arrayValue);
    Json::Value unchanged(Json::arrayValue);
    for (auto it = mirror.objects().begin(); it != mirror.objects().end(); ++it) {
        const object &each = it->second;
        if (each.version <= since) {
            unchanged.append(each.name);
            continue;
        }
        Json::Value entry(Json::objectValue);
        entry["name"] = each.name;
        entry["version"] = Json::UInt64(each.version);
        entry["value"] = each.value;
        entry["status"] = each.status;
        changed.append(entry);
    }
    copy["objects"] = std::move(changed);
    copy["unchanged"] = std::move(unchanged);
    return writeJson(copy);
}

result<bool> applyCopy(timestamp now, std::string_view text, object_mirror &mirror)
{
    const result<Json::Value> copy = parseJson(std::string(text), "a copy");
    if (!copy)
        return failure("bad-copy", copy.error().message);
    const bool isCopy =
        copy->isObject() && (*copy)["objects"].isArray() && (*copy)["unchanged"].isArray();
    if (!isCopy)
        return failure("bad-copy", "the copy has no lists of objects");
    const std::uint64_t upToVersion = integerOr(*copy, "up_to");
    if (upToVersion == 0 || upToVersion < mirror.upToVersion())
        return false;
    std::vector<object> objects;
    for (const Json::Value &entry : (*copy)["objects"]) {
        if (!entry.isObject() || textOr(entry, "name").empty())
            return failure("bad-copy", "an object of the copy has no name");
        objects.push_back({.name = textOr(entry, "name"),
                           .version = integerOr(entry, "version"),
                           .value = textOr(entry, "value"),
                           .status = textOr(entry, "status")});
    }
    for (const Json::Value &name : (*copy)["unchanged"]) {
        const auto known =
            name.isString() ? mirror.objects().find(name.asString()) : mirror.objects().end();
        if (known == mirror.objects().end())
            return failure("bad-copy", "the copy refers to an object that is not known");
        objects.push_back(known->second);
    }
    const bool hasChanged = mirror.applySnapshot(now, objects, upToVersion);
    mirror.recordNewestChange(integerOr(*copy, "newest_change"));
    return hasChanged;
}

} // namespace trefoil
