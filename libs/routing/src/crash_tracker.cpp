#include <routing/crash_tracker.h>

namespace trefoil {

namespace {

/// Time after its last crash until a request's record expires: longer than callers keep retrying.
constexpr duration recordLifetime = std::chrono::minutes(30);

} // namespace

void crash_tracker::recordCrash(timestamp now, digest128 requestDigest, const std::string &crashId)
{
    std::erase_if(m_records,
                  [&](const auto &each) { return now - each.second.lastCrash > recordLifetime; });
    crash_record &record = m_records[requestDigest];
    if (record.crashIds.insert(crashId).second)
        record.lastCrash = now;
}

bool crash_tracker::isRefused(timestamp now, digest128 requestDigest) const
{
    const auto found = m_records.find(requestDigest);
    return found != m_records.end() && found->second.crashIds.size() >= crashLimit
        && now - found->second.lastCrash <= recordLifetime;
}

} // namespace trefoil
