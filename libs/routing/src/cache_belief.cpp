#include <routing/cache_belief.h>

#include <algorithm>

#include <routing/prefix_chain.h>

namespace trefoil {

namespace {

/// Keep time before a worker has shown any: engines evict within seconds.
constexpr duration firstKeepTime = std::chrono::seconds(20);
constexpr duration leastKeepTime = std::chrono::seconds(1);
constexpr duration mostKeepTime = std::chrono::seconds(120);

/// A hit or a miss moves the keep time by these factors; a miss shows more than a hit.
constexpr double shortenFactor = 0.9;
constexpr double lengthenFactor = 1.02;

constexpr duration prunePeriod = std::chrono::seconds(10);

duration scaled(duration time, double factor)
{
    return std::clamp(fromSeconds(toSeconds(time) * factor), leastKeepTime, mostKeepTime);
}

} // namespace

cache_belief::cache_belief(std::string_view version, std::uint64_t incarnation)
    : m_version(version), m_incarnation(incarnation), m_keepTime(firstKeepTime)
{ }

void cache_belief::setIdentity(std::string_view version, std::uint64_t incarnation)
{
    if (version == m_version && incarnation == m_incarnation)
        return;
    m_version = version;
    m_incarnation = incarnation;
    m_nextSequence = 0;
    m_blocks.clear();
}

std::size_t cache_belief::depth(timestamp now, std::span<const digest128> chain) const
{
    std::size_t depth = 0;
    for (const digest128 &block : chain) {
        const auto found = m_blocks.find(cacheKey(block, m_version, m_incarnation));
        if (found == m_blocks.end() || now - found->second > m_keepTime)
            break;
        ++depth;
    }
    return depth;
}

void cache_belief::noteSent(timestamp now, std::span<const digest128> chain)
{
    for (const digest128 &block : chain)
        m_blocks[cacheKey(block, m_version, m_incarnation)] = now;
    prune(now);
}

void cache_belief::noteAnswer(timestamp now, std::span<const digest128> chain,
                              std::size_t cachedBlocks, std::size_t believed)
{
    // The request itself has brought its blocks, so the belief about them stays; what the answer
    // shows is for how long this worker keeps blocks.
    noteSent(now, chain);
    if (cachedBlocks < believed)
        m_keepTime = scaled(m_keepTime, shortenFactor);
    else if (believed > 0)
        m_keepTime = scaled(m_keepTime, lengthenFactor);
}

void cache_belief::noteEvents(timestamp now, std::uint64_t sequence,
                              std::span<const digest128> stored, std::span<const digest128> evicted)
{
    if (m_nextSequence != 0 && sequence > m_nextSequence) {
        // Events were lost, evictions perhaps among them: what was not used lately is doubtful.
        const timestamp trusted = now - m_keepTime / 2;
        std::erase_if(m_blocks, [&](const auto &each) { return each.second < trusted; });
    }
    if (sequence < m_nextSequence)
        return;
    m_nextSequence = sequence + 1;
    for (const digest128 &block : stored)
        m_blocks[cacheKey(block, m_version, m_incarnation)] = now;
    for (const digest128 &block : evicted) {
        const auto found = m_blocks.find(cacheKey(block, m_version, m_incarnation));
        // An event comes late: a use after it was sent may have brought the block back.
        if (found != m_blocks.end() && now - found->second > leastKeepTime)
            m_blocks.erase(found);
    }
}

void cache_belief::prune(timestamp now)
{
    if (now - m_prunedAt < prunePeriod)
        return;
    m_prunedAt = now;
    std::erase_if(m_blocks, [&](const auto &each) { return now - each.second > m_keepTime; });
}

} // namespace trefoil
