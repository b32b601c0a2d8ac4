#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil {

/// State of a chunked body: more input needed, complete or malformed.
enum class chunked_state { More, Done, Malformed };

/// Decodes a chunked body incrementally. Strict: a size that is not hexadecimal, a missing CRLF or
/// a trailer line that is not a header field makes the body malformed. Not thread-safe.
class chunked_decoder
{
public:
    /// Decodes @p input, appends the data to @p body and erases the decoded bytes from @p input.
    /// After Done, the rest of @p input belongs to the next message.
    chunked_state feed(std::string &input, std::string &body);
    /// Returns how many of the last bytes in the body belong to a chunk whose end has not arrived.
    std::size_t openChunkBytes() const { return m_openChunkBytes; }

private:
    enum class step { Size, Data, DataEnd, Trailer };

    chunked_state parseLine(std::string_view line);
    /// Returns whether @p text, which holds no line end, can be the beginning of the next line.
    bool mayBecomeLine(std::string_view text) const;

    step m_step = step::Size;
    std::uint64_t m_remaining = 0;
    std::size_t m_openChunkBytes = 0;
    std::size_t m_trailerBytes = 0;
};

/// Appends @p data to @p out as one chunk. Appends nothing if @p data is empty, since an empty
/// chunk would end the body. Thread-safe.
void appendChunk(std::string &out, std::string_view data);

/// Last chunk and empty trailer section, which end a chunked body.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace trefoil
