#include <platform/catch_up.h>

#include <algorithm>

namespace trefoil {

void catch_up::onNewerReported(timestamp now, std::uint64_t version)
{
    m_newestReported = std::max(m_newestReported, version);
    m_since = m_since.value_or(now);
}

void catch_up::onCopyNeeded(timestamp now)
{
    m_needsCopy = true;
    m_since = m_since.value_or(now);
}

bool catch_up::isBehind(std::uint64_t newestChange) const
{
    return m_since && (m_needsCopy || newestChange < m_newestReported);
}

catch_up_step catch_up::next(timestamp now, std::uint64_t newestChange, const read_progress &read)
{
    if (!isBehind(newestChange)) {
        end();
        return catch_up_step::None;
    }
    if (now - *m_since < m_options.patience)
        return catch_up_step::None;
    if (!m_needsCopy && read.isStoreReachable) {
        if (!read.isWaiting)
            return catch_up_step::None;
        const bool isOld = read.startedAt <= *m_since;
        if (isOld)
            m_gaveUpAt = m_gaveUpAt.value_or(now);
        const timestamp waitsSince = isOld ? *m_gaveUpAt : read.startedAt;
        if (now - waitsSince < m_options.patience)
            return isOld ? catch_up_step::ReadAgain : catch_up_step::None;
    }
    end();
    m_needsCopy = false;
    return catch_up_step::FetchCopy;
}

void catch_up::end()
{
    m_since.reset();
    m_gaveUpAt.reset();
}

} // namespace trefoil
