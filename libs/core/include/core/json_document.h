#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <core/finding.h>
#include <json/value.h>

namespace trefoil {

/// A parsed JSON text that knows the position of each of its values. Thread-safe.
class json_document
{
public:
    /// Parses @p text strictly, like parseJson(). @p file names the document in findings. Appends
    /// every syntax error that the parser reports to @p found and returns nothing on any.
    static std::optional<json_document> parse(std::string_view text, std::string_view file,
                                              findings &found);

    const Json::Value &root() const { return m_root; }

    /// Returns a finding located at @p value, which must be a value of root(). @p field is the path
    /// that the finding is about; it may name an absent member of @p value.
    finding findingAt(const Json::Value &value, std::string field, std::string message) const;

private:
    json_document(std::string_view text, std::string_view file);

    std::string m_file;
    Json::Value m_root;
    /// Offsets of the first character of each line.
    std::vector<std::size_t> m_lineStarts;
};

} // namespace trefoil
