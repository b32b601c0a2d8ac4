#include <routing/cache_estimate.h>

#include <algorithm>

#include <routing/prefix_chain.h>

namespace trefoil {

namespace {

/// Retention time before any answer has adapted it. Engines evict within seconds.
constexpr duration initialRetention = std::chrono::seconds(20);
constexpr duration minRetention = std::chrono::seconds(1);
constexpr duration maxRetention = std::chrono::seconds(120);

/// Each answer multiplies the retention time by one of these. A miss weighs more than a hit because
/// it is stronger evidence.
constexpr double retentionMissFactor = 0.9;
constexpr double retentionHitFactor = 1.02;

constexpr duration prunePeriod = std::chrono::seconds(10);

duration scaleRetention(duration time, double factor)
{
    return std::clamp(fromSeconds(toSeconds(time) * factor), minRetention, maxRetention);
}

} // namespace

cache_estimate::cache_estimate(std::string_view version, std::uint64_t incarnation)
    : m_version(version), m_incarnation(incarnation), m_retention(initialRetention)
{ }

void cache_estimate::setIdentity(std::string_view version, std::uint64_t incarnation)
{
    if (version == m_version && incarnation == m_incarnation)
        return;
    m_version = version;
    m_incarnation = incarnation;
    m_nextSequence = 0;
    m_blocks.clear();
}

std::size_t cache_estimate::cachedPrefixLength(timestamp now,
                                               std::span<const digest128> chain) const
{
    std::size_t length = 0;
    for (const digest128 &block : chain) {
        const auto found = m_blocks.find(cacheKey(block, m_version, m_incarnation));
        if (found == m_blocks.end() || now - found->second > m_retention)
            break;
        ++length;
    }
    return length;
}

void cache_estimate::recordSent(timestamp now, std::span<const digest128> chain)
{
    for (const digest128 &block : chain)
        m_blocks[cacheKey(block, m_version, m_incarnation)] = now;
    prune(now);
}

void cache_estimate::recordCacheHits(timestamp now, std::span<const digest128> chain,
                                     std::size_t cachedBlocks, std::size_t estimatedBlocks)
{
    // The request has put its blocks into the cache even if they were missing before, so they stay
    // in the estimate. A miss only shows that the server keeps blocks for less time than estimated.
    recordSent(now, chain);
    if (cachedBlocks < estimatedBlocks)
        m_retention = scaleRetention(m_retention, retentionMissFactor);
    else if (estimatedBlocks > 0)
        m_retention = scaleRetention(m_retention, retentionHitFactor);
}

void cache_estimate::applyCacheEvents(timestamp now, std::uint64_t sequence,
                                      std::span<const digest128> stored,
                                      std::span<const digest128> evicted)
{
    if (m_nextSequence != 0 && sequence > m_nextSequence) {
        // The lost events may include evictions, so only recently used blocks are kept.
        const timestamp oldestTrustedUse = now - m_retention / 2;
        std::erase_if(m_blocks, [&](const auto &each) { return each.second < oldestTrustedUse; });
    }
    if (sequence < m_nextSequence)
        return;
    m_nextSequence = sequence + 1;
    for (const digest128 &block : stored)
        m_blocks[cacheKey(block, m_version, m_incarnation)] = now;
    for (const digest128 &block : evicted) {
        const auto found = m_blocks.find(cacheKey(block, m_version, m_incarnation));
        // The event is delayed: a request sent since may have stored the block again.
        if (found != m_blocks.end() && now - found->second > minRetention)
            m_blocks.erase(found);
    }
}

void cache_estimate::prune(timestamp now)
{
    if (now - m_prunedAt < prunePeriod)
        return;
    m_prunedAt = now;
    std::erase_if(m_blocks, [&](const auto &each) { return now - each.second > m_retention; });
}

} // namespace trefoil
