#include <routing/crash_ledger.h>

namespace trefoil {

namespace {

/// How long a request stays suspect or refused: longer than callers go on repeating it.
constexpr duration memory = std::chrono::minutes(30);

} // namespace

void crash_ledger::note(timestamp now, digest128 body, const std::string &event)
{
    std::erase_if(m_suspects,
                  [&](const auto &each) { return now - each.second.lastCrash > memory; });
    suspect &item = m_suspects[body];
    if (item.events.insert(event).second)
        item.lastCrash = now;
}

bool crash_ledger::isRefused(timestamp now, digest128 body) const
{
    const auto found = m_suspects.find(body);
    return found != m_suspects.end() && found->second.events.size() >= crashesToRefuse
        && now - found->second.lastCrash <= memory;
}

} // namespace trefoil
