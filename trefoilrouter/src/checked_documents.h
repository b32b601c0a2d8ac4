#pragma once

#include <array>
#include <optional>
#include <string>

#include <core/error.h>
#include <core/finding.h>
#include <json/value.h>

namespace trefoil {

/// Documents that can be checked.
enum class document_kind { Settings, Routes, Pools, Configuration };

/// A document and the file that it was read from.
struct source_document
{
    std::string file;
    std::string text;
};

/// The documents to check, at most one of each kind.
class checked_documents
{
public:
    /// Adds the file called @p file, which is of kind @p kind. Errors: "no-file"; "two-documents"
    /// if there is one of that kind already.
    result<void> addFile(document_kind kind, const std::string &file);
    /// Adds a file, or the JSON and YAML files of a folder: the platform's configuration as JSON,
    /// the routes and pools tables as YAML. A table that is neither is reported in findings().
    /// Errors: those of addFile(); "no-documents" if the folder has none.
    result<void> addPath(const std::string &path);

    /// Returns the document of @p kind, or nullptr.
    const source_document *find(document_kind kind) const;
    bool isEmpty() const;
    /// Returns what is wrong with files whose kind could not be determined.
    const findings &unknownFiles() const { return m_unknownFiles; }

private:
    result<void> addFileOfUnknownKind(const std::string &file);
    result<void> add(document_kind kind, source_document document);

    std::array<std::optional<source_document>, 4> m_documents;
    findings m_unknownFiles;
};

/// Returns the kind of a document of the configuration, or nothing if it is a YAML document that is
/// neither a routes nor a pools table. Thread-safe.
std::optional<document_kind> kindOf(const source_document &document);

/// Returns the content of a document of any kind for comparisons. Appends the errors of syntax to
/// @p found and returns nothing on any. Thread-safe.
std::optional<Json::Value> readAsJson(document_kind kind, const source_document &document,
                                      findings &found);

} // namespace trefoil
