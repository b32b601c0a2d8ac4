#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include <core/clock.h>
#include <core/digest.h>

namespace trefoil {

/// What one worker's cache is believed to hold. Belief comes from what was sent to it, is corrected
/// by the cached tokens that its answers report and by its cache events, and ends after the time
/// for which the worker is seen to keep unused blocks. Not thread-safe.
class cache_belief
{
public:
    /// Starts for a worker that runs @p version in @p incarnation and holds nothing.
    cache_belief(std::string_view version, std::uint64_t incarnation);

    /// Forgets everything when @p version or @p incarnation differs from the one so far.
    void setIdentity(std::string_view version, std::uint64_t incarnation);

    /// Returns how many leading blocks of @p chain are believed to be held at @p now.
    std::size_t depth(timestamp now, std::span<const digest128> chain) const;
    /// Notes that a request with @p chain was sent: its blocks are there from now on.
    void noteSent(timestamp now, std::span<const digest128> chain);
    /// Corrects belief by an answer: only the first @p cachedBlocks of @p chain had been there,
    /// although @p believed were expected.
    void noteAnswer(timestamp now, std::span<const digest128> chain, std::size_t cachedBlocks,
                    std::size_t believed);
    /// Takes cache events numbered from @p sequence. A gap before them drops the belief about
    /// everything that no later event or request confirms.
    void noteEvents(timestamp now, std::uint64_t sequence, std::span<const digest128> stored,
                    std::span<const digest128> evicted);

    /// Returns for how long an unused block is believed to stay.
    duration keepTime() const { return m_keepTime; }
    /// Returns the number of blocks remembered.
    std::size_t size() const { return m_blocks.size(); }

private:
    void prune(timestamp now);

    std::string m_version;
    std::uint64_t m_incarnation;
    std::uint64_t m_nextSequence = 0;
    duration m_keepTime;
    std::unordered_map<digest128, timestamp> m_blocks; // by cacheKey(), with the last use
    timestamp m_prunedAt;
};

} // namespace trefoil
