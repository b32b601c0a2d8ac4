#include <core/json.h>

#include <algorithm>
#include <map>
#include <memory>

#include <json/assertions.h>
#include <json/reader.h>
#include <json/writer.h>

namespace trefoil {

namespace {

/// Finds the ends of values in a JSON text without parsing them, to any depth.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : m_text(text) { }

    bool isAtEnd() const { return m_at >= m_text.size(); }
    std::size_t position() const { return m_at; }

    /// Skips white space and returns the next character, 0 at the end.
    char peek()
    {
        while (!isAtEnd()
               && std::string_view(" \t\r\n").find(m_text[m_at]) != std::string_view::npos)
            ++m_at;
        return isAtEnd() ? '\0' : m_text[m_at];
    }
    void skip() { ++m_at; }
    /// Skips a string and returns its text without the quotes.
    std::string_view skipString()
    {
        const std::size_t start = ++m_at;
        while (!isAtEnd() && m_text[m_at] != '"')
            m_at += m_text[m_at] == '\\' ? 2 : 1;
        const std::string_view found = m_text.substr(start, std::min(m_at, m_text.size()) - start);
        ++m_at;
        return found;
    }
    /// Skips a value up to the comma or bracket that follows it, and returns its text.
    std::string_view skipValue()
    {
        const std::size_t start = m_at;
        std::size_t depth = 0;
        while (peek() != '\0') {
            const char next = m_text[m_at];
            if (next == '"') {
                skipString();
                continue;
            }
            const bool isClosing = next == ']' || next == '}';
            if (depth == 0 && (isClosing || next == ','))
                break;
            depth += next == '[' || next == '{' ? 1 : 0;
            depth -= isClosing ? 1 : 0;
            ++m_at;
        }
        return m_text.substr(start, std::min(m_at, m_text.size()) - start);
    }

private:
    std::string_view m_text;
    std::size_t m_at = 0;
};

/// Skips an array and returns the texts of its elements.
std::vector<std::string_view> skipElements(json_scanner &scanner)
{
    std::vector<std::string_view> elements;
    scanner.skip();
    while (!scanner.isAtEnd() && scanner.peek() != ']') {
        elements.push_back(scanner.skipValue());
        if (scanner.peek() == ',')
            scanner.skip();
        else if (scanner.peek() != ']')
            break;
    }
    scanner.skip();
    return elements;
}

} // namespace

result<Json::Value> parseJsonLists(std::string_view text, std::string_view what,
                                   std::span<const std::string_view> lists,
                                   std::vector<std::string> &skipped)
{
    result<Json::Value> whole = parseJson(text, what);
    json_scanner scanner(text);
    if (whole || scanner.peek() != '{')
        return whole;
    scanner.skip();
    std::string rest = "{";
    std::map<std::string, std::vector<std::string_view>, std::less<>> elements;
    while (scanner.peek() == '"') {
        const std::size_t start = scanner.position();
        const std::string_view key = scanner.skipString();
        if (scanner.peek() != ':')
            return whole;
        scanner.skip();
        if (scanner.peek() == '[' && std::find(lists.begin(), lists.end(), key) != lists.end()) {
            elements[std::string(key)] = skipElements(scanner);
        } else {
            scanner.skipValue();
            rest += rest.size() > 1 ? "," : "";
            rest += text.substr(start, scanner.position() - start);
        }
        if (scanner.peek() == ',')
            scanner.skip();
    }
    result<Json::Value> value = parseJson(rest + "}", what);
    const bool isClosed = scanner.peek() == '}';
    scanner.skip();
    if (!value || !isClosed || scanner.peek() != '\0')
        return whole;
    for (auto it = elements.begin(); it != elements.end(); ++it) {
        Json::Value &list = (*value)[it->first] = Json::Value(Json::arrayValue);
        for (const std::string_view each : it->second) {
            result<Json::Value> element = parseJson(each, what);
            if (element)
                list.append(std::move(*element));
            else
                skipped.emplace_back(each);
        }
    }
    return value;
}

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
