#include <platform/codec.h>

namespace trefoil {

Json::Value toJson(const object &item)
{
    Json::Value value(Json::objectValue);
    value["name"] = item.name;
    value["version"] = Json::UInt64(item.version);
    value["value"] = item.value;
    return value;
}

result<object> objectFromJson(const Json::Value &value)
{
    object item;
    item.name = textOr(value, "name");
    item.version = integerOr(value, "version");
    item.value = textOr(value, "value");
    if (item.name.empty() || item.version == 0)
        return failure("bad-object", "the platform sent an object without name or version");
    return item;
}

} // namespace trefoil
