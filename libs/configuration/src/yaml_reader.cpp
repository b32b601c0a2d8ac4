#include "yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace trefoil {

void finding_sink::add(const YAML::Mark &mark, std::string message, std::string field)
{
    m_items.push_back({.file = m_file,
                       .line = mark.line + 1,
                       .column = mark.column + 1,
                       .message = std::move(message),
                       .field = std::move(field)});
}

yaml_map::yaml_map(const YAML::Node &node, std::string path,
                   std::initializer_list<std::string_view> known, finding_sink &sink)
    : m_node(node), m_path(std::move(path)), m_sink(sink)
{
    if (!node.IsMap()) {
        const std::string what = m_path.empty() ? "the document" : "\"" + m_path + "\"";
        m_sink.add(node.Mark(), what + " must be a map of fields", m_path);
        m_node = YAML::Node(YAML::NodeType::Map);
        return;
    }
    std::map<std::string, int> firstLines;
    for (YAML::const_iterator it = node.begin(); it != node.end(); ++it) {
        const std::string name = it->first.Scalar();
        const YAML::Mark mark = it->first.Mark();
        const bool isNew = firstLines.emplace(name, mark.line + 1).second;
        if (!isNew) {
            m_sink.add(mark,
                       "field \"" + pathOf(name) + "\" stands twice, first on line "
                           + std::to_string(firstLines[name]),
                       pathOf(name));
        } else if (std::find(known.begin(), known.end(), name) == known.end()) {
            m_sink.add(mark, "unknown field \"" + pathOf(name) + "\"", pathOf(name));
        }
    }
}

bool yaml_map::has(const char *name) const
{
    const YAML::Node node = child(name);
    return node.IsDefined() && !node.IsNull();
}

YAML::Node yaml_map::child(const char *name) const
{
    const YAML::Node &constNode = m_node; // the non-const operator[] would insert the field
    return constNode[name];
}

std::string yaml_map::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

YAML::Mark yaml_map::markOf(const char *name) const
{
    return has(name) ? child(name).Mark() : m_node.Mark();
}

void yaml_map::addFinding(const char *name, std::string message)
{
    m_sink.add(markOf(name), std::move(message), pathOf(name));
}

std::optional<std::string> yaml_map::scalar(const char *name, bool required)
{
    if (!has(name)) {
        if (required)
            addFinding(name, "field \"" + pathOf(name) + "\" is missing");
        return std::nullopt;
    }
    const YAML::Node node = child(name);
    if (!node.IsScalar()) {
        addFinding(name, "field \"" + pathOf(name) + "\" must be a single value");
        return std::nullopt;
    }
    return node.Scalar();
}

std::string yaml_map::text(const char *name)
{
    const std::optional<std::string> value = scalar(name, true);
    if (value && value->empty())
        addFinding(name, "field \"" + pathOf(name) + "\" must not be empty");
    return value.value_or("");
}

std::string yaml_map::textOr(const char *name, std::string_view fallback)
{
    return scalar(name, false).value_or(std::string(fallback));
}

std::string yaml_map::choice(const char *name, std::initializer_list<std::string_view> choices,
                             std::string_view fallback)
{
    const std::string value = textOr(name, fallback);
    if (std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string list;
    for (const std::string_view item : choices)
        list += (list.empty() ? "" : ", ") + std::string(item);
    addFinding(name,
               "field \"" + pathOf(name) + "\" must be one of " + list + ", not \"" + value + "\"");
    return std::string(fallback);
}

std::int64_t yaml_map::integer(const char *name, integer_range range)
{
    if (!has(name)) {
        scalar(name, true);
        return range.min;
    }
    return integerOr(name, range, range.min);
}

std::int64_t yaml_map::integerOr(const char *name, integer_range range, std::int64_t fallback)
{
    const std::optional<std::string> value = scalar(name, false);
    if (!value)
        return fallback;
    std::int64_t number = 0;
    const char *end = value->data() + value->size();
    const std::from_chars_result parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        addFinding(name,
                   "field \"" + pathOf(name) + "\" must be a whole number, not \"" + *value + "\"");
        return fallback;
    }
    if (number < range.min || number > range.max) {
        addFinding(name,
                   "field \"" + pathOf(name) + "\" must lie between " + std::to_string(range.min)
                       + " and " + std::to_string(range.max) + ", not " + *value);
        return fallback;
    }
    return number;
}

bool yaml_map::flagOr(const char *name, bool fallback)
{
    const std::optional<std::string> value = scalar(name, false);
    if (!value)
        return fallback;
    if (*value != "true" && *value != "false")
        addFinding(name,
                   "field \"" + pathOf(name) + "\" must be true or false, not \"" + *value + "\"");
    return *value == "true";
}

std::vector<std::string> yaml_map::textList(const char *name)
{
    std::vector<std::string> values;
    each(name, false, [&](const YAML::Node &node, const std::string &path) {
        if (node.IsScalar())
            values.push_back(node.Scalar());
        else
            m_sink.add(node.Mark(), "\"" + path + "\" must be a single value", path);
    });
    return values;
}

void yaml_map::each(const char *name, bool required,
                    const std::function<void(const YAML::Node &, const std::string &)> &visit)
{
    if (!has(name)) {
        if (required)
            addFinding(name, "field \"" + pathOf(name) + "\" is missing");
        return;
    }
    const YAML::Node list = child(name);
    if (!list.IsSequence()) {
        addFinding(name, "field \"" + pathOf(name) + "\" must be a list");
        return;
    }
    for (std::size_t i = 0; i < list.size(); ++i)
        visit(list[i], pathOf(name) + "[" + std::to_string(i) + "]");
}

std::optional<YAML::Node> parseYaml(std::string_view text, finding_sink &sink)
{
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &exception) {
        sink.add(exception.mark, "not valid YAML: " + exception.msg);
        return std::nullopt;
    }
}

} // namespace trefoil
