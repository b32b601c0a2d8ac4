#include <routing/prefix_chain.h>

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

constexpr std::size_t blockBytes = static_cast<std::size_t>(blockTokens * bytesPerToken);

} // namespace

prefix_chain_builder::prefix_chain_builder(std::string_view team, std::string_view model)
    : m_parent(digestOf(model, digestOf(team))), m_partial(m_parent)
{ }

void prefix_chain_builder::add(std::string_view text)
{
    m_bytes += text.size();
    while (!text.empty()) {
        const std::size_t length = std::min(text.size(), blockBytes - m_partialBytes);
        // Each piece of a block is chained separately, so that the digest also depends on where one
        // part of the prompt ends and the next begins.
        m_partial = digestOf(text.substr(0, length), m_partial);
        m_partialBytes += length;
        text.remove_prefix(length);
        if (m_partialBytes == blockBytes)
            closeBlock();
    }
}

void prefix_chain_builder::closeBlock()
{
    m_parent = m_partial;
    m_blocks.push_back(m_parent);
    m_partialBytes = 0;
}

prefix_chain prefix_chain_builder::finish()
{
    return {.blocks = std::move(m_blocks), .tokens = static_cast<double>(m_bytes) / bytesPerToken};
}

digest128 cacheKey(digest128 block, std::string_view version, std::uint64_t incarnation)
{
    digest128 key = digestOf(version, block);
    key.high ^= incarnation * 0x9e3779b97f4a7c15ull; // spreads small incarnations over all bits
    return digestOf({}, key);
}

} // namespace trefoil
