#include <http/response_head_reader.h>

#include <utility>

namespace trefoil {

namespace {

constexpr int firstFinalStatus = 200;

} // namespace

result<std::optional<response_head>> response_head_reader::feed(std::string &buffer)
{
    while (true) {
        std::string text;
        const head_state state = takeHead(buffer, m_bytesLeft, text);
        if (state == head_state::TooLong)
            return failure("bad-response", "the head of the response is too long");
        if (state == head_state::Incomplete)
            return std::optional<response_head>();
        m_bytesLeft -= text.size();
        result<response_head> head = parseResponseHead(text);
        if (!head)
            return tl::unexpected(head.error());
        if (head->status >= firstFinalStatus)
            return std::optional<response_head>(std::move(*head));
    }
}

} // namespace trefoil
