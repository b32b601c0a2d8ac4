#include <routing/crash_tracker.h>

#include <algorithm>
#include <utility>

namespace trefoil {

namespace {

/// Time after its last crash until a request's record expires: longer than callers keep retrying.
constexpr duration recordLifetime = std::chrono::minutes(30);

} // namespace

bool crash_tracker::isRefused(timestamp now, const crash_record &record)
{
    return record.crashes.size() >= crashLimit && now - record.lastCrash <= recordLifetime;
}

void crash_tracker::expire(timestamp now)
{
    std::erase_if(m_records,
                  [now](const auto &each) { return now - each.second.lastCrash > recordLifetime; });
}

void crash_tracker::add(digest128 requestDigest, const std::string &crashId, timestamp at)
{
    crash_record &record = m_records[requestDigest];
    if (record.crashes.emplace(crashId, at).second)
        record.lastCrash = std::max(record.lastCrash, at);
}

void crash_tracker::recordCrash(timestamp now, digest128 requestDigest, const std::string &crashId)
{
    expire(now);
    add(requestDigest, crashId, now);
}

void crash_tracker::adopt(timestamp now, const refused_request &refused)
{
    for (auto it = refused.crashes.begin(); it != refused.crashes.end(); ++it) {
        if (now - it->second <= recordLifetime)
            add(refused.request, it->first, it->second);
    }
}

std::vector<refused_request> crash_tracker::refusedRequests(timestamp now,
                                                            std::size_t maxCount) const
{
    std::vector<std::pair<timestamp, digest128>> newest;
    for (auto it = m_records.begin(); it != m_records.end(); ++it) {
        if (isRefused(now, it->second))
            newest.emplace_back(it->second.lastCrash, it->first);
    }
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), maxCount));
    std::vector<refused_request> refused;
    for (const std::pair<timestamp, digest128> &each : newest)
        refused.push_back(
            {.request = each.second, .crashes = m_records.find(each.second)->second.crashes});
    return refused;
}

bool crash_tracker::isRefused(timestamp now, digest128 requestDigest) const
{
    const auto found = m_records.find(requestDigest);
    return found != m_records.end() && isRefused(now, found->second);
}

} // namespace trefoil
