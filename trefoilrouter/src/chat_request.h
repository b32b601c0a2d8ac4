#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <routing/prefix_chain.h>

namespace trefoil {

/// The fields of a chat or completions request that the router uses.
struct chat_request
{
    std::string model;
    bool stream = false;
    /// Maximum number of completion tokens; 0 if the caller set none.
    std::int64_t maxTokens = 0;
    /// The prompt's JSON string literals in order, quotes included: views into the body.
    std::vector<std::string_view> prompt;
    /// The JSON string literal of the model name, quotes included: a view into the body.
    std::string_view modelLiteral;
};

/// Parses the body of a chat or completions request in one pass and without copying the prompt.
/// Precondition: the capacity of @p body exceeds its size by at least @c requestPadding bytes.
/// Errors: "bad-json", "bad-request". Thread-safe.
result<chat_request> readChatRequest(const std::string &body);

/// Bytes that the parser may read past the end of the body.
constexpr std::size_t requestPadding = 64;

/// A request body as a list of segments, for sending without concatenation.
struct body_segments
{
    std::vector<std::string_view> segments;
    /// Inserted text that segments may point into.
    std::string encodedModel;
    std::string maxTokensField;

    /// Returns the total size in bytes.
    std::size_t size() const;
};

/// Writes the body for the backend server to @p backendBody: the model name is replaced by @p model
/// unless that is empty, and max_tokens is set to @p maxTokens if the caller set none. The segments
/// are views into @p body and @p backendBody.
void makeBackendBody(const std::string &body, const chat_request &request, std::string_view model,
                     std::int64_t maxTokens, body_segments &backendBody);

/// Builds the block hash chain of the request's prompt. Thread-safe.
prefix_chain buildPrefixChain(const chat_request &request, std::string_view team);

} // namespace trefoil
