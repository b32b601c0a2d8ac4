#pragma once

#include <cstddef>
#include <string_view>

namespace trefoil {

/// How much of the head of an answer a text holds.
enum class head_presence {
    None,
    /// The text ends inside what may be one.
    Begun,
    Complete
};

/// Where a text holds the head of an answer.
struct head_place
{
    head_presence presence = head_presence::None;
    /// Index of its first byte; the size of the text if there is none.
    std::size_t at = 0;
};

/// Looks anywhere in @p text for the head of an answer: a status line and well-formed fields, one
/// of them called @p field, up to the empty line. Thread-safe.
head_place findHead(std::string_view text, std::string_view field);

/// Returns whether @p text ends inside the head of an answer, as far as that can be known: it holds
/// the protocol's version at least, a reason phrase of words and lines that may become fields. Less
/// can't be told from a text that names the protocol. Thread-safe.
bool endsInsideHead(std::string_view text);

} // namespace trefoil
