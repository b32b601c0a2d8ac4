#include <lease/lease_record.h>

#include <core/json.h>

namespace trefoil {

std::string toText(const lease_record &record)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(record.epoch);
    value["owner"] = record.owner;
    value["successors"] = Json::Value(Json::arrayValue);
    for (const std::string &name : record.successors)
        value["successors"].append(name);
    if (record.handedOver)
        value["handed_over"] = true;
    return writeJson(value);
}

std::optional<lease_record> leaseRecordFromText(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "a lease record");
    if (!value || !value->isObject() || !(*value)["successors"].isArray())
        return std::nullopt;
    lease_record record;
    record.epoch = integerOr(*value, "epoch");
    record.owner = textOr(*value, "owner");
    record.handedOver = flagOr(*value, "handed_over");
    for (const Json::Value &name : (*value)["successors"]) {
        if (!name.isString())
            return std::nullopt;
        record.successors.push_back(name.asString());
    }
    if (record.epoch == 0 || record.owner.empty())
        return std::nullopt;
    return record;
}

} // namespace trefoil
