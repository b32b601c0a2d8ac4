#include <core/json.h>

#include <memory>

#include <json/assertions.h>
#include <json/reader.h>
#include <json/writer.h>

namespace trefoil {

result<Json::Value> parseJson(std::string_view text, std::string_view what)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    // Strict mode rejects scalars at the root, which peers and the platform may send.
    builder.settings_["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return failure("bad-json", std::string(what) + " is not valid JSON: " + errors);
    } catch (const Json::Exception &exception) {
        // The parser throws on nesting that is too deep instead of returning false.
        return failure("bad-json", std::string(what) + " is not valid JSON: " + exception.what());
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string textOr(const Json::Value &object, const char *name, std::string_view fallback)
{
    if (object.isObject() && object[name].isString())
        return object[name].asString();
    return std::string(fallback);
}

bool flagOr(const Json::Value &object, const char *name, bool fallback)
{
    if (object.isObject() && object[name].isBool())
        return object[name].asBool();
    return fallback;
}

std::uint64_t integerOr(const Json::Value &object, const char *name, std::uint64_t fallback)
{
    if (object.isObject() && object[name].isUInt64())
        return object[name].asUInt64();
    return fallback;
}

double numberOr(const Json::Value &object, const char *name, double fallback)
{
    if (object.isObject() && object[name].isNumeric())
        return object[name].asDouble();
    return fallback;
}

} // namespace trefoil
