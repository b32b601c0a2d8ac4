#pragma once

#include <string_view>
#include <vector>

#include <core/digest.h>

namespace trefoil {

/// Tokens of one block of the engines' prefix cache.
constexpr double blockTokens = 4000;

/// Mean bytes of prompt text per token, used to estimate tokens before an engine has counted them.
constexpr double bytesPerToken = 4;

/// Digests of a prompt's blocks. Each digest covers its block and all blocks before it.
struct prefix_chain
{
    /// One digest for each whole block. Two prompts share digest i only if they have the same team,
    /// the same model and the same bytes up to the end of block i. Prompts with the same bytes
    /// share it only if they are also divided into the same parts.
    std::vector<digest128> blocks;
    /// Estimated tokens of the whole prompt.
    double tokens = 0;
};

/// Builds a chain from the parts of a prompt without concatenating them.
///
///     prefix_chain_builder builder("reef", "terms-7b");
///     builder.add(systemMessage);
///     builder.add(userMessage);
///     prefix_chain chain = builder.finish();
///
/// Not thread-safe.
class prefix_chain_builder
{
public:
    /// Starts a chain for prompts of @p team to @p model.
    prefix_chain_builder(std::string_view team, std::string_view model);

    /// Appends @p text to the prompt. It is hashed at once and not referenced afterwards.
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

/// Returns the key of a block in the cache estimate of one backend server. It differs for each
/// weights version and each incarnation of the server, so that no entry matches after a change of
/// either. Thread-safe.
digest128 cacheKey(digest128 block, std::string_view version, std::uint64_t incarnation);

} // namespace trefoil
