#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <core/error.h>
#include <http/message.h>

namespace trefoil {

/// Reads the head of a response incrementally. Skips interim (1xx) responses. Not thread-safe.
class response_head_reader
{
public:
    /// @p maxBytes limits the head and the interim responses before it, together.
    explicit response_head_reader(std::size_t maxBytes) : m_bytesLeft(maxBytes) { }

    /// Takes heads from the front of @p buffer and returns the final one, or nothing while more
    /// bytes are needed. Error: "bad-response" if a head is malformed or too long.
    result<std::optional<response_head>> feed(std::string &buffer);

private:
    std::size_t m_bytesLeft;
};

} // namespace trefoil
