#include <routing/crash_attribution.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace trefoil {

namespace {

/// Period over which answered requests are counted.
constexpr duration countPeriod = std::chrono::seconds(15);
/// Limits on memory.
constexpr std::size_t maxCrashes = 64;
constexpr std::size_t maxParts = 16384;
/// Added to the number of answered requests, so that few of them prove little.
constexpr double priorStarts = 20;

} // namespace

void crash_attribution::rotateCounts(timestamp now)
{
    if (now - m_countsSince < countPeriod && m_parts.size() < maxParts)
        return;
    m_countsSince = now;
    m_previousStarts = std::exchange(m_starts, 0);
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        it->second.previousStarts = std::exchange(it->second.starts, 0);
        it = it->second.previousStarts == 0 ? m_parts.erase(it) : std::next(it);
    }
}

void crash_attribution::expire(timestamp now)
{
    std::erase_if(m_crashes,
                  [&](const auto &each) { return now - each.second.at > m_options.lifetime; });
    std::erase_if(m_blocked, [&](const auto &each) {
        return std::all_of(each.second.begin(), each.second.end(), [&](const auto &crash) {
            return now - crash.second > m_options.lifetime;
        });
    });
    std::erase_if(m_probes, [&](const auto &each) { return !m_blocked.contains(each.first); });
    while (m_crashes.size() > maxCrashes)
        m_crashes.erase(std::min_element(
            m_crashes.begin(), m_crashes.end(),
            [](const auto &left, const auto &right) { return left.second.at < right.second.at; }));
}

void crash_attribution::recordStart(timestamp at, std::span<const std::uint64_t> parts)
{
    rotateCounts(at);
    ++m_starts;
    for (const std::uint64_t part : parts) {
        ++m_parts[part].starts;
        clear(at, part);
    }
}

void crash_attribution::clear(timestamp at, std::uint64_t part)
{
    part_history &history = m_parts[part];
    history.lastStart = std::max(history.lastStart, at);
    const auto blocked = m_blocked.find(part);
    if (blocked == m_blocked.end())
        return;
    std::erase_if(blocked->second, [at](const auto &crash) { return crash.second <= at; });
    if (blocked->second.empty())
        m_blocked.erase(blocked);
}

void crash_attribution::recordSuspect(timestamp now, const crash_suspect &suspect)
{
    if (now - suspect.at > m_options.lifetime)
        return;
    const auto found = m_crashes.find(suspect.crash);
    if (found != m_crashes.end() && found->second.suspects.contains(suspect.request))
        return;
    crash &entry = m_crashes.try_emplace(suspect.crash, crash {.at = suspect.at}).first->second;
    entry.suspects[suspect.request] = suspect.parts;
    expire(now);
    for (const std::uint64_t part : suspect.parts) {
        if (m_blocked.contains(part) || likelihoodRatio(part) >= m_options.threshold)
            m_blocked[part].merge(crashesWith(part));
    }
}

void crash_attribution::adopt(timestamp now, const blocked_part &blocked)
{
    const timestamp lastStart = lastStartOf(blocked.part);
    for (auto it = blocked.crashes.begin(); it != blocked.crashes.end(); ++it) {
        if (it->second > lastStart && now - it->second <= m_options.lifetime)
            m_blocked[blocked.part].insert(*it);
    }
}

timestamp crash_attribution::lastStartOf(std::uint64_t part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? timestamp {} : found->second.lastStart;
}

double crash_attribution::shareOfStarts(std::uint64_t part) const
{
    const auto found = m_parts.find(part);
    const std::uint64_t starts =
        found == m_parts.end() ? 0 : found->second.starts + found->second.previousStarts;
    return (static_cast<double>(starts) + 1)
        / (static_cast<double>(m_starts + m_previousStarts) + priorStarts);
}

std::map<std::string, timestamp, std::less<>>
crash_attribution::crashesWith(std::uint64_t part) const
{
    const timestamp lastStart = lastStartOf(part);
    std::map<std::string, timestamp, std::less<>> crashes;
    for (auto it = m_crashes.begin(); it != m_crashes.end(); ++it) {
        const crash &each = it->second;
        const bool isSuspect =
            std::any_of(each.suspects.begin(), each.suspects.end(), [part](const auto &suspect) {
                return std::find(suspect.second.begin(), suspect.second.end(), part)
                    != suspect.second.end();
            });
        if (isSuspect && each.at > lastStart)
            crashes.emplace(it->first, each.at);
    }
    return crashes;
}

double crash_attribution::likelihoodRatio(std::uint64_t part) const
{
    // An innocent part is among the suspects of a crash with the probability that one of them has
    // it; a part at fault always is.
    const double share = shareOfStarts(part);
    std::vector<std::pair<timestamp, double>> ratios;
    const std::map<std::string, timestamp, std::less<>> crashes = crashesWith(part);
    for (auto it = crashes.begin(); it != crashes.end(); ++it) {
        const double suspects =
            static_cast<double>(m_crashes.find(it->first)->second.suspects.size());
        ratios.emplace_back(it->second, -std::log(1 - std::pow(1 - share, suspects)));
    }
    std::sort(ratios.begin(), ratios.end());
    double sum = 0;
    std::optional<timestamp> lastCounted;
    for (const std::pair<timestamp, double> &each : ratios) {
        if (lastCounted && each.first - *lastCounted < m_options.commonCauseTime)
            continue;
        lastCounted = each.first;
        sum += each.second;
    }
    return sum;
}

bool crash_attribution::isExplainedByAnother(std::uint64_t part,
                                             std::span<const std::uint64_t> parts) const
{
    const auto &crashes = m_blocked.find(part)->second;
    return std::any_of(m_blocked.begin(), m_blocked.end(), [&](const auto &other) {
        const bool isInRequest = std::find(parts.begin(), parts.end(), other.first) != parts.end();
        return !isInRequest && std::all_of(crashes.begin(), crashes.end(), [&](const auto &crash) {
            return other.second.contains(crash.first);
        });
    });
}

std::optional<std::uint64_t> crash_attribution::blockingPart(timestamp now,
                                                             std::span<const std::uint64_t> parts)
{
    if (m_blocked.empty())
        return std::nullopt;
    expire(now);
    std::vector<std::uint64_t> tested;
    for (const std::uint64_t part : parts) {
        if (!m_blocked.contains(part))
            continue;
        const auto probe = m_probes.find(part);
        const bool isProbeDue =
            probe == m_probes.end() || now - probe->second >= m_options.probeInterval;
        if (!isProbeDue || !isExplainedByAnother(part, parts))
            return part;
        tested.push_back(part);
    }
    for (const std::uint64_t part : tested)
        m_probes[part] = now;
    return std::nullopt;
}

bool crash_attribution::isExpectedToCrash(std::span<const std::uint64_t> parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](std::uint64_t part) {
        return m_blocked.contains(part) && !isExplainedByAnother(part, parts);
    });
}

std::vector<blocked_part> crash_attribution::blockedParts() const
{
    std::vector<blocked_part> all;
    for (auto it = m_blocked.begin(); it != m_blocked.end(); ++it)
        all.push_back({.part = it->first, .crashes = it->second});
    return all;
}

std::map<std::uint64_t, timestamp> crash_attribution::clearedParts() const
{
    std::map<std::uint64_t, timestamp> cleared;
    for (auto it = m_crashes.begin(); it != m_crashes.end(); ++it) {
        const crash &each = it->second;
        for (auto suspect = each.suspects.begin(); suspect != each.suspects.end(); ++suspect) {
            for (const std::uint64_t part : suspect->second) {
                const timestamp lastStart = lastStartOf(part);
                if (lastStart > each.at)
                    cleared[part] = lastStart;
            }
        }
    }
    return cleared;
}

} // namespace trefoil
