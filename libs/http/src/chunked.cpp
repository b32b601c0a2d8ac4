#include <http/chunked.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace trefoil {

namespace {

constexpr int hexBase = 16;
/// Limit on a chunk-size line. Chunk extensions are ignored, so a longer line is abuse.
constexpr std::size_t maxSizeLineBytes = 256;
/// Limit on the trailer section.
constexpr std::size_t maxTrailerBytes = 8192;
/// Limit on the size of a chunk; the limits on bodies are far lower.
constexpr std::uint64_t maxChunkBytes = std::uint64_t {1} << 40;

} // namespace

chunked_state chunked_decoder::feed(std::string &input, std::string &body)
{
    std::size_t consumed = 0;
    chunked_state state = chunked_state::More;
    while (state == chunked_state::More) {
        if (m_step == step::Data) {
            const std::size_t size = std::min<std::uint64_t>(m_remaining, input.size() - consumed);
            body.append(input, consumed, size);
            consumed += size;
            m_remaining -= size;
            m_openChunkBytes += size;
            if (m_remaining > 0)
                break;
            m_step = step::DataEnd;
        }
        const std::size_t end = input.find("\r\n", consumed);
        if (end == std::string::npos) {
            if (!mayBecomeLine(std::string_view(input).substr(consumed)))
                state = chunked_state::Malformed;
            break;
        }
        state = parseLine(std::string_view(input).substr(consumed, end - consumed));
        consumed = end + 2;
    }
    input.erase(0, consumed);
    return state;
}

bool chunked_decoder::mayBecomeLine(std::string_view text) const
{
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (m_step == step::DataEnd)
        return text.empty();
    if (m_step == step::Trailer)
        return m_trailerBytes + text.size() <= maxTrailerBytes;
    const bool beginsWithSize =
        text.empty() || std::isxdigit(static_cast<unsigned char>(text.front())) != 0;
    return beginsWithSize && text.size() <= maxSizeLineBytes;
}

chunked_state chunked_decoder::parseLine(std::string_view line)
{
    if (line.find_first_of("\r\n") != std::string_view::npos)
        return chunked_state::Malformed;
    if (m_step == step::DataEnd) {
        m_step = step::Size;
        m_openChunkBytes = line.empty() ? 0 : m_openChunkBytes;
        return line.empty() ? chunked_state::More : chunked_state::Malformed;
    }
    if (m_step == step::Trailer) {
        m_trailerBytes += line.size();
        if (line.empty())
            return chunked_state::Done;
        const bool isField = line.find(':') != std::string_view::npos && line.front() != ' ';
        return isField && m_trailerBytes < maxTrailerBytes ? chunked_state::More
                                                           : chunked_state::Malformed;
    }
    const std::string_view digits = line.substr(0, line.find(';'));
    std::uint64_t size = 0;
    const std::from_chars_result parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), size, hexBase);
    if (digits.empty() || line.size() > maxSizeLineBytes || parsed.ec != std::errc {}
        || parsed.ptr != digits.data() + digits.size() || size > maxChunkBytes)
        return chunked_state::Malformed;
    m_remaining = size;
    m_step = size == 0 ? step::Trailer : step::Data;
    return chunked_state::More;
}

void appendChunk(std::string &out, std::string_view data)
{
    if (data.empty())
        return;
    std::array<char, hexBase> digits {};
    const std::to_chars_result written =
        std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), hexBase);
    out.append(digits.data(), written.ptr).append("\r\n").append(data).append("\r\n");
}

} // namespace trefoil
