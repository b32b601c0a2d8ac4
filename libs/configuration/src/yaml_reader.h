#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/finding.h>
#include <yaml-cpp/yaml.h>

namespace trefoil {

/// Collects the findings of one document.
class finding_sink
{
public:
    finding_sink(std::string_view file, findings &items) : m_file(file), m_items(items) { }

    /// Adds a finding with @p message about @p field at the location of @p mark.
    void add(const YAML::Mark &mark, std::string message, std::string field = "");

private:
    std::string m_file;
    findings &m_items;
};

/// Inclusive range of an integer field.
struct integer_range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/// Reads the fields of one YAML map. If a field is missing or invalid, the method adds a finding
/// and returns a default, so that one pass finds every error. Field paths in messages look like
/// "teams[2].rate".
class yaml_map
{
public:
    /// Checks that @p node is a map without duplicate fields and without fields outside @p known.
    yaml_map(const YAML::Node &node, std::string path,
             std::initializer_list<std::string_view> known, finding_sink &sink);

    bool has(const char *name) const;
    std::string text(const char *name);
    std::string textOr(const char *name, std::string_view fallback);
    /// Returns the field's text, which must be one of @p choices.
    std::string choice(const char *name, std::initializer_list<std::string_view> choices,
                       std::string_view fallback);
    std::int64_t integer(const char *name, integer_range range);
    std::int64_t integerOr(const char *name, integer_range range, std::int64_t fallback);
    bool flagOr(const char *name, bool fallback);
    std::vector<std::string> textList(const char *name);
    /// Calls @p visit for each element of a list. An absent optional list has no elements.
    void each(const char *name, bool required,
              const std::function<void(const YAML::Node &, const std::string &path)> &visit);
    /// Returns the field's node, for a nested map.
    YAML::Node child(const char *name) const;

    /// Returns the path of field @p name within the document.
    std::string pathOf(std::string_view name) const;
    /// Returns the location of field @p name, or of the map if the field is absent.
    YAML::Mark markOf(const char *name) const;
    /// Adds a finding with @p message at markOf(@p name).
    void addFinding(const char *name, std::string message);

private:
    std::optional<std::string> scalar(const char *name, bool required);

    YAML::Node m_node;
    std::string m_path;
    finding_sink &m_sink;
};

/// Parses @p text. Adds a finding and returns nothing if it is not valid YAML.
std::optional<YAML::Node> parseYaml(std::string_view text, finding_sink &sink);

} // namespace trefoil
