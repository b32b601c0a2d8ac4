#include "checked_documents.h"

#include <algorithm>
#include <filesystem>
#include <vector>

#include <configuration/table_checks.h>
#include <core/json_document.h>

#include "table_files.h"

namespace trefoil {

namespace {

constexpr std::array<const char *, 4> kindNames {"settings", "routes table", "pools table",
                                                 "configuration"};

bool isYaml(const std::filesystem::path &path)
{
    return path.extension() == ".yaml" || path.extension() == ".yml";
}

/// Returns the JSON and YAML files of @p folder in order of their names.
result<std::vector<std::string>> listFolder(const std::string &folder)
{
    std::vector<std::string> files;
    std::error_code error;
    for (std::filesystem::directory_iterator it(folder, error), end; !error && it != end;
         it.increment(error)) {
        if (isYaml(it->path()) || it->path().extension() == ".json")
            files.push_back(it->path().string());
    }
    if (error)
        return failure("no-file", "can't read \"" + folder + "\"");
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

result<void> checked_documents::addFile(document_kind kind, const std::string &file)
{
    result<std::string> text = readFile(file);
    if (!text)
        return tl::unexpected(text.error());
    return add(kind, {.file = file, .text = std::move(*text)});
}

result<void> checked_documents::addPath(const std::string &path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error))
        return addFileOfUnknownKind(path);
    const result<std::vector<std::string>> files = listFolder(path);
    if (!files)
        return tl::unexpected(files.error());
    if (files->empty())
        return failure("no-documents", "\"" + path + "\" has no JSON or YAML file");
    for (const std::string &each : *files) {
        if (result<void> added = addFileOfUnknownKind(each); !added)
            return added;
    }
    return {};
}

const source_document *checked_documents::find(document_kind kind) const
{
    const std::optional<source_document> &found = m_documents[static_cast<std::size_t>(kind)];
    return found ? &*found : nullptr;
}

bool checked_documents::isEmpty() const
{
    return m_unknownFiles.empty()
        && std::none_of(
               m_documents.begin(), m_documents.end(),
               [](const std::optional<source_document> &each) { return each.has_value(); });
}

result<void> checked_documents::addFileOfUnknownKind(const std::string &file)
{
    result<std::string> text = readFile(file);
    if (!text)
        return tl::unexpected(text.error());
    source_document document {.file = file, .text = std::move(*text)};
    if (const std::optional<document_kind> kind = kindOf(document))
        return add(*kind, std::move(document));
    findings syntaxErrors;
    readYamlAsJson(document.text, file, syntaxErrors);
    if (syntaxErrors.empty())
        syntaxErrors.push_back({.file = file,
                                .line = 1,
                                .column = 1,
                                .message = "neither a routes table (fields teams and routes) nor a "
                                           "pools table (field pools)"});
    m_unknownFiles.insert(m_unknownFiles.end(), syntaxErrors.begin(), syntaxErrors.end());
    return {};
}

result<void> checked_documents::add(document_kind kind, source_document document)
{
    std::optional<source_document> &place = m_documents[static_cast<std::size_t>(kind)];
    if (place)
        return failure("two-documents",
                       "\"" + place->file + "\" and \"" + document.file + "\" are both "
                           + kindNames[static_cast<std::size_t>(kind)] + "; give one");
    place = std::move(document);
    return {};
}

std::optional<document_kind> kindOf(const source_document &document)
{
    if (!isYaml(document.file))
        return document_kind::Configuration;
    const std::optional<table_kind> table = tableKindOf(document.text);
    if (!table)
        return std::nullopt;
    return *table == table_kind::Routes ? document_kind::Routes : document_kind::Pools;
}

std::optional<Json::Value> readAsJson(document_kind kind, const source_document &document,
                                      findings &found)
{
    if (kind != document_kind::Configuration)
        return readYamlAsJson(document.text, document.file, found);
    const std::optional<json_document> parsed =
        json_document::parse(document.text, document.file, found);
    if (!parsed)
        return std::nullopt;
    return parsed->root();
}

} // namespace trefoil
