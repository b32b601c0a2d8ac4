#include <core/json_document.h>

#include <algorithm>
#include <charconv>
#include <memory>

#include <json/assertions.h>
#include <json/reader.h>

namespace trefoil {

namespace {

constexpr std::size_t maxFieldNameLength = 40;

/// Reads a number behind @p prefix in @p line. Returns 0 if there is none.
int numberBehind(std::string_view line, std::string_view prefix)
{
    const std::size_t start = line.find(prefix);
    int number = 0;
    if (start != std::string_view::npos)
        std::from_chars(line.data() + start + prefix.size(), line.data() + line.size(), number);
    return number;
}

bool isFieldName(std::string_view text)
{
    return text.size() <= maxFieldNameLength && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || c == '_';
           });
}

/// Returns the parser's message without the text that it quotes from the document, which may be a
/// secret. Only names of fields are kept.
std::string withoutQuotedText(std::string_view message)
{
    const std::size_t start = message.find('\'');
    const std::size_t end = message.rfind('\'');
    if (start == end)
        return std::string(message);
    if (message.starts_with("Duplicate key")
        && isFieldName(message.substr(start + 1, end - start - 1)))
        return std::string(message);
    return message.starts_with("Duplicate key") ? "Duplicate key" : "Malformed value";
}

/// Appends the errors that the parser reported as lines "* Line N, Column M" and "  MESSAGE".
void appendErrors(std::string_view errors, const std::string &file, findings &found)
{
    constexpr std::string_view indent = "  ";
    while (!errors.empty()) {
        const std::string_view line = errors.substr(0, errors.find('\n'));
        errors.remove_prefix(std::min(line.size() + 1, errors.size()));
        if (line.starts_with("* Line "))
            found.push_back({.file = file,
                             .line = numberBehind(line, "* Line "),
                             .column = numberBehind(line, "Column "),
                             .message = "not valid JSON"});
        else if (!found.empty() && line.starts_with(indent))
            found.back().message += ": " + withoutQuotedText(line.substr(indent.size()));
    }
}

} // namespace

json_document::json_document(std::string_view text, std::string_view file) : m_file(file)
{
    m_lineStarts.push_back(0);
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\n')
            m_lineStarts.push_back(i + 1);
    }
}

std::optional<json_document> json_document::parse(std::string_view text, std::string_view file,
                                                  findings &found)
{
    json_document document(text, file);
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder.settings_["strictRoot"] = false;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &document.m_root, &errors))
            return document;
    } catch (const Json::Exception &) {
        // The parser throws on nesting that is too deep instead of returning false.
        found.push_back({.file = document.m_file, .message = "not valid JSON: nested too deeply"});
        return std::nullopt;
    }
    appendErrors(errors, document.m_file, found);
    return std::nullopt;
}

finding json_document::findingAt(const Json::Value &value, std::string field,
                                 std::string message) const
{
    const auto offset = static_cast<std::size_t>(value.getOffsetStart());
    const auto next = std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), offset);
    return {.file = m_file,
            .line = static_cast<int>(next - m_lineStarts.begin()),
            .column = static_cast<int>(offset - *std::prev(next)) + 1,
            .message = std::move(message),
            .field = std::move(field)};
}

} // namespace trefoil
