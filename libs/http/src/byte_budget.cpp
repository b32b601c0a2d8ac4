#include <http/byte_budget.h>

namespace trefoil {

byte_budget::share::~share()
{
    if (m_counted > 0)
        m_budget.remove(*this);
}

bool byte_budget::share::hold(std::size_t bytes)
{
    if (m_wasRevoked)
        return false;
    const std::size_t counted = bytes > m_budget.m_options.freeBytes ? bytes : 0;
    return counted == m_counted || m_budget.resize(*this, counted);
}

void byte_budget::share::keep()
{
    const std::lock_guard<std::mutex> lock(m_budget.m_mutex);
    m_isKept = true;
}

std::size_t byte_budget::heldBytes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_held;
}

bool byte_budget::resize(share &changed, std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (changed.m_wasRevoked)
        return false;
    const std::size_t before = changed.m_counted;
    m_held += bytes;
    m_held -= before;
    changed.m_counted = bytes;
    if (bytes > 0)
        m_shares.insert(&changed);
    else
        m_shares.erase(&changed);
    while (m_held - m_revoked > m_options.totalBytes) {
        share *largest = largestShare();
        if (largest == nullptr || largest == &changed) {
            // The reader ends, so it never holds what it asked for.
            m_held -= bytes;
            m_held += before;
            changed.m_counted = before;
            if (before == 0)
                m_shares.erase(&changed);
            changed.m_wasRevoked = true;
            m_revoked += before;
            return false;
        }
        largest->m_wasRevoked = true;
        m_revoked += largest->m_counted;
    }
    return true;
}

void byte_budget::remove(share &ended)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_held -= ended.m_counted;
    if (ended.m_wasRevoked)
        m_revoked -= ended.m_counted;
    m_shares.erase(&ended);
}

byte_budget::share *byte_budget::largestShare() const
{
    share *largest = nullptr;
    for (share *each : m_shares) {
        if (each->m_isKept || each->m_wasRevoked)
            continue;
        if (largest == nullptr || each->m_counted > largest->m_counted)
            largest = each;
    }
    return largest;
}

} // namespace trefoil
