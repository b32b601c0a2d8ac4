#include <platform/watch_pacer.h>

#include <algorithm>

namespace trefoil {

namespace {

/// Shortest long poll: a poll that starts late is not turned into a busy loop.
constexpr duration minWaitTime = std::chrono::milliseconds(100);
/// Longest long poll that the store allows.
constexpr duration maxWaitTime = std::chrono::seconds(30);
/// Largest part of maxSilence that may be spent pausing.
constexpr int maxPauseDivisor = 4;
constexpr int maxDoublings = 8;

} // namespace

watch_read watch_pacer::nextRead(timestamp now, read_freshness freshness)
{
    m_readAt = now;
    if (m_needsSnapshot)
        return {.isSnapshot = true, .answerTime = m_options.answerTime};
    const bool isFresh = freshness == read_freshness::Newest;
    const duration limit = m_options.maxSilence * (isFresh ? 1 : m_options.staleFactor);
    // A read after a failed one uses a new connection. It hardly waits: a change may have been made
    // while the old connection was lost, and a store that has dropped its history may tell of it
    // only when the poll ends.
    const duration waitTime =
        m_hasAnswer ? limit - (now - m_answeredAt) - m_options.answerTime : minWaitTime;
    return {.freshness = freshness,
            .waitTime = std::clamp<duration>(waitTime, minWaitTime, maxWaitTime),
            .answerTime = m_options.answerTime};
}

duration watch_pacer::onAnswered(timestamp now, bool hadChanges, int otherInstances)
{
    const bool wasPoll = !m_needsSnapshot;
    m_needsSnapshot = false;
    m_hasAnswer = true;
    m_answeredAt = now;
    m_failures = 0;
    if (!wasPoll || !hadChanges)
        return duration::zero();
    return std::min<duration>(m_options.batchPause
                                  + m_options.batchPausePerInstance * otherInstances,
                              m_options.maxSilence / maxPauseDivisor);
}

duration watch_pacer::onFailed(timestamp now)
{
    const duration interval =
        std::min(m_options.retryInterval * (1 << m_failures), m_options.maxRetryInterval);
    m_failures = std::min(m_failures + 1, maxDoublings);
    m_hasAnswer = false;
    // A read that waited for long before it failed is repeated at once.
    return std::max<duration>(interval - (now - m_readAt), duration::zero());
}

} // namespace trefoil
