#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// Estimates which blocks the prefix cache of one backend server holds. The blocks of each request
/// sent to the server and of its "stored" events are added; "evicted" events and lost events remove
/// blocks. An unused block expires after a retention time, which adapts to the cached tokens that
/// the server's answers report. Not thread-safe.
class cache_estimate
{
public:
    /// Starts with an empty cache for a server that runs weights @p version in @p incarnation.
    cache_estimate(std::string_view version, std::uint64_t incarnation);

    /// Sets the weights version and the incarnation, and clears the estimate if either changed.
    void setIdentity(std::string_view version, std::uint64_t incarnation);

    /// Returns how many leading blocks of @p chain are estimated to be cached at @p now.
    std::size_t cachedPrefixLength(timestamp now, std::span<const digest128> chain) const;
    /// Adds the blocks of @p chain, which a request sent to the server brings into its cache.
    void recordSent(timestamp now, std::span<const digest128> chain);
    /// Adapts the retention time to an answer which reports that @p cachedBlocks leading blocks of
    /// @p chain had been cached, where @p estimatedBlocks had been estimated. Also refreshes the
    /// blocks.
    void recordCacheHits(timestamp now, std::span<const digest128> chain, std::size_t cachedBlocks,
                         std::size_t estimatedBlocks);
    /// Applies the cache events of the report numbered @p sequence. If reports before it were lost,
    /// first drops the blocks that were not used for half the retention time. A report older than
    /// the newest one is ignored.
    void applyCacheEvents(timestamp now, std::uint64_t sequence, std::span<const digest128> stored,
                          std::span<const digest128> evicted);

    /// Returns how long an unused block is estimated to stay cached.
    duration retention() const { return m_retention; }
    /// Returns the number of blocks stored, including expired ones not yet pruned.
    std::size_t size() const { return m_blocks.size(); }

private:
    void prune(timestamp now);

    std::string m_version;
    std::uint64_t m_incarnation;
    std::uint64_t m_nextSequence = 0;
    duration m_retention;
    std::unordered_map<digest128, timestamp> m_blocks; // last use, by cacheKey()
    timestamp m_prunedAt;
};

} // namespace trefoil
