#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <core/error.h>
#include <routing/prefix_chain.h>

namespace trefoil {

/// What the router needs of a caller's request for a model.
struct chat_request
{
    std::string model;
    bool stream = false;
    /// Most tokens that the caller wants; 0 where it does not say.
    std::int64_t maxTokens = 0;
    /// Pieces of the prompt in their order, as they stand in the body: views into it.
    std::vector<std::string_view> prompt;
    /// Place of the model's name in the body, quotes included: a view into it.
    std::string_view modelToken;
};

/// Reads the body of a chat or completions request, in one pass and without copying the prompt.
/// Precondition: @p body has room for @c requestPadding bytes past its size. Errors: "bad-json",
/// "bad-request". Thread-safe.
result<chat_request> readChatRequest(const std::string &body);

/// Bytes that the parser may read beyond the body.
constexpr std::size_t requestPadding = 64;

/// A body to be sent, in pieces that need not be joined.
struct body_pieces
{
    std::vector<std::string_view> pieces;
    /// Text that pieces may point into.
    std::string model;
    std::string limit;

    std::size_t size() const;
};

/// Returns the body with the model's name replaced by @p model, unless it is empty, and with
/// @p maxTokens set where the caller gave none. Views point into @p body and @p pieces.
void makeBackendBody(const std::string &body, const chat_request &request, std::string_view model,
                     std::int64_t maxTokens, body_pieces &pieces);

/// Returns the chain of the request's prompt. Thread-safe.
prefix_chain chainOf(const chat_request &request, std::string_view team);

} // namespace trefoil
