#include <dispatch/store_reader_role.h>

namespace trefoil {

bool store_reader_role::isReader(timestamp now, const store_reader_position &position)
{
    const int needed = position.zones >= m_options.zonesForOneReader ? 1 : m_options.readersPerZone;
    if (position.liveBefore < needed) {
        m_shortSince.reset();
        return true;
    }
    if (position.inContactBefore >= needed) {
        m_shortSince.reset();
        return false;
    }
    if (!m_shortSince)
        m_shortSince = now;
    const int turn = position.liveBefore - needed + 1;
    return now - *m_shortSince >= m_options.takeoverDelay * turn;
}

} // namespace trefoil
