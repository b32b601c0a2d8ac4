#include <core/json_difference.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>

#include <core/json.h>

namespace trefoil {

namespace {

using named_elements = std::map<std::string, const Json::Value *>;

std::string describeSecrets(const Json::Value &value)
{
    if (!value.isArray() && !value.isObject())
        return "(secret)";
    return "(" + std::to_string(value.size()) + (value.size() == 1 ? " secret)" : " secrets)");
}

/// Returns how many elements of list @p value are not in list @p other.
std::size_t countMissing(const Json::Value &value, const Json::Value &other)
{
    const std::set<Json::Value> known(other.begin(), other.end());
    return static_cast<std::size_t>(
        std::count_if(value.begin(), value.end(),
                      [&](const Json::Value &each) { return !known.contains(each); }));
}

/// Describes the secrets of @p value and how many of them are not in @p other. @p word says what
/// that means for them.
std::string describeChange(const Json::Value &value, const Json::Value &other, const char *word)
{
    std::string text = describeSecrets(value);
    if (value.isArray() && other.isArray())
        text.insert(text.size() - 1,
                    ", " + std::to_string(countMissing(value, other)) + " " + word);
    return text;
}

Json::Value withoutSecrets(const Json::Value &value)
{
    Json::Value copy = value;
    if (value.isObject()) {
        for (const std::string &name : value.getMemberNames())
            copy[name] = isSecretField(name) ? Json::Value(describeSecrets(value[name]))
                                             : withoutSecrets(value[name]);
    } else if (value.isArray()) {
        for (Json::ArrayIndex i = 0; i < value.size(); ++i)
            copy[i] = withoutSecrets(value[i]);
    }
    return copy;
}

bool isPlainText(std::string_view name)
{
    return std::all_of(name.begin(), name.end(), [](char c) {
        return c > ' ' && c < '\x7f' && c != '[' && c != ']' && c != '"';
    });
}

class comparison
{
public:
    explicit comparison(std::span<const std::string_view> nameFields) : m_nameFields(nameFields) { }

    void compare(const std::string &path, const Json::Value &before, const Json::Value &after)
    {
        if (before == after)
            return;
        if (before.isObject() && after.isObject())
            compareMembers(path, before, after);
        else if (before.isArray() && after.isArray())
            compareLists(path, before, after);
        else
            add(difference_kind::Changed, path, withoutSecrets(before), withoutSecrets(after));
    }

    std::vector<json_difference> take()
    {
        std::stable_sort(
            m_found.begin(), m_found.end(),
            [](const json_difference &a, const json_difference &b) { return a.path < b.path; });
        return std::move(m_found);
    }

private:
    void add(difference_kind kind, const std::string &path, Json::Value before, Json::Value after)
    {
        m_found.push_back({.kind = kind,
                           .path = path.empty() ? "(document)" : path,
                           .before = std::move(before),
                           .after = std::move(after)});
    }

    /// Compares two items of which one may be absent.
    void compareItems(const std::string &path, const Json::Value *before, const Json::Value *after)
    {
        if (before && after)
            compare(path, *before, *after);
        else if (before)
            add(difference_kind::Removed, path, withoutSecrets(*before), {});
        else
            add(difference_kind::Added, path, {}, withoutSecrets(*after));
    }

    void compareMembers(const std::string &path, const Json::Value &before,
                        const Json::Value &after)
    {
        std::set<std::string> names;
        for (const Json::Value *each : {&before, &after}) {
            const Json::Value::Members members = each->getMemberNames();
            names.insert(members.begin(), members.end());
        }
        for (const std::string &name : names) {
            const std::string memberPath = path.empty() ? name : path + "." + name;
            const Json::Value *old = before.isMember(name) ? &before[name] : nullptr;
            const Json::Value *current = after.isMember(name) ? &after[name] : nullptr;
            if (isSecretField(name))
                compareSecrets(memberPath, old, current);
            else
                compareItems(memberPath, old, current);
        }
    }

    void compareSecrets(const std::string &path, const Json::Value *before,
                        const Json::Value *after)
    {
        if (before && after) {
            if (*before != *after)
                add(difference_kind::Changed, path, describeChange(*before, *after, "withdrawn"),
                    describeChange(*after, *before, "new"));
        } else if (before) {
            add(difference_kind::Removed, path, describeSecrets(*before), {});
        } else {
            add(difference_kind::Added, path, {}, describeSecrets(*after));
        }
    }

    void compareLists(const std::string &path, const Json::Value &before, const Json::Value &after)
    {
        for (const std::string_view field : m_nameFields) {
            const std::optional<named_elements> old = elementsByName(before, field);
            const std::optional<named_elements> current = elementsByName(after, field);
            if (old && current) {
                compareNamed(path, *old, *current);
                return;
            }
        }
        const auto holdsObjects = [](const Json::Value &list) {
            return std::all_of(list.begin(), list.end(),
                               [](const Json::Value &each) { return each.isObject(); });
        };
        if (!holdsObjects(before) || !holdsObjects(after)) {
            add(difference_kind::Changed, path, withoutSecrets(before), withoutSecrets(after));
            return;
        }
        for (Json::ArrayIndex i = 0; i < std::max(before.size(), after.size()); ++i)
            compareItems(path + "[" + std::to_string(i) + "]",
                         i < before.size() ? &before[i] : nullptr,
                         i < after.size() ? &after[i] : nullptr);
    }

    void compareNamed(const std::string &path, const named_elements &before,
                      const named_elements &after)
    {
        std::set<std::string> names;
        for (const named_elements *each : {&before, &after}) {
            for (auto it = each->begin(); it != each->end(); ++it)
                names.insert(it->first);
        }
        for (const std::string &name : names) {
            const auto old = before.find(name);
            const auto current = after.find(name);
            const std::string shown = isPlainText(name) ? name : writeJson(name);
            compareItems(path + "[" + shown + "]", old == before.end() ? nullptr : old->second,
                         current == after.end() ? nullptr : current->second);
        }
    }

    /// Returns the elements of @p list by the text of @p field, or nothing if an element has no
    /// such text or two have the same one.
    static std::optional<named_elements> elementsByName(const Json::Value &list,
                                                        std::string_view field)
    {
        named_elements elements;
        const std::string name(field);
        for (const Json::Value &each : list) {
            if (!each.isObject() || !each[name].isString())
                return std::nullopt;
            if (!elements.emplace(each[name].asString(), &each).second)
                return std::nullopt;
        }
        return elements;
    }

    std::span<const std::string_view> m_nameFields;
    std::vector<json_difference> m_found;
};

const char *nameOf(difference_kind kind)
{
    if (kind == difference_kind::Added)
        return "added";
    return kind == difference_kind::Removed ? "removed" : "changed";
}

} // namespace

std::vector<json_difference> compareJson(const Json::Value &before, const Json::Value &after,
                                         std::span<const std::string_view> nameFields)
{
    comparison run(nameFields);
    run.compare("", before, after);
    return run.take();
}

bool isSecretField(std::string_view name)
{
    constexpr std::array<std::string_view, 9> parts {"secret",     "password",      "passwd",
                                                     "passphrase", "credential",    "apikey",
                                                     "api_key",    "authorization", "bearer"};
    constexpr std::array<std::string_view, 6> words {"key",   "keys",  "_key",
                                                     "_keys", "token", "_token"};
    std::string lower(name);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return std::any_of(parts.begin(), parts.end(),
                       [&](std::string_view each) { return lower.find(each) != std::string::npos; })
        || std::any_of(words.begin(), words.end(), [&](std::string_view each) {
               return each.front() == '_' ? lower.ends_with(each) : lower == each;
           });
}

std::string toString(std::span<const json_difference> differences)
{
    constexpr std::size_t kindWidth = 9;
    std::string text;
    for (const json_difference &each : differences) {
        std::string line = nameOf(each.kind);
        line.resize(kindWidth, ' ');
        line += each.path + ": ";
        if (each.kind == difference_kind::Changed)
            line += writeJson(each.before) + " -> " + writeJson(each.after);
        else
            line += writeJson(each.kind == difference_kind::Added ? each.after : each.before);
        text += line + "\n";
    }
    return text;
}

Json::Value toJson(std::span<const json_difference> differences)
{
    Json::Value list(Json::arrayValue);
    for (const json_difference &each : differences) {
        Json::Value entry(Json::objectValue);
        entry["kind"] = nameOf(each.kind);
        entry["path"] = each.path;
        if (each.kind != difference_kind::Added)
            entry["before"] = each.before;
        if (each.kind != difference_kind::Removed)
            entry["after"] = each.after;
        list.append(std::move(entry));
    }
    return list;
}

} // namespace trefoil
