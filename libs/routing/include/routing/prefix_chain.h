#pragma once

#include <string_view>
#include <vector>

#include <core/digest.h>

namespace trefoil {

/// Tokens of one cached block on the engines.
constexpr double blockTokens = 4000;

/// Mean bytes of prompt text for a token. Used to estimate tokens before an engine has counted
/// them.
constexpr double bytesPerToken = 4;

/// Digests of a prompt's blocks, each chained to all before it.
struct prefix_chain
{
    /// One digest for each whole block. Two prompts share the digest at depth i only if they have
    /// the same team, the same model and the same bytes up to the end of block i.
    std::vector<digest128> blocks;
    /// Estimated tokens of the whole prompt.
    double tokens = 0;
};

/// Builds a chain from the pieces of a prompt without joining them.
///
///     prefix_chain_builder builder("reef", "terms-7b");
///     builder.add(systemMessage);
///     builder.add(userMessage);
///     prefix_chain chain = builder.finish();
///
/// Not thread-safe. Bytes are hashed in place except where a block spans two pieces.
class prefix_chain_builder
{
public:
    /// Seeds the chain with @p team and @p model.
    prefix_chain_builder(std::string_view team, std::string_view model);

    /// Appends @p text to the prompt. The text must not change until finish().
    void add(std::string_view text);
    /// Returns the chain. Call once.
    prefix_chain finish();

private:
    void closeBlock();

    digest128 m_parent;
    digest128 m_partial;
    std::size_t m_partialBytes = 0;
    std::size_t m_bytes = 0;
    std::vector<digest128> m_blocks;
};

/// Identifies a block in one worker's cache: differs for each weights version and each incarnation
/// of the worker, so that no belief outlives either. Thread-safe.
digest128 cacheKey(digest128 block, std::string_view version, std::uint64_t incarnation);

} // namespace trefoil
