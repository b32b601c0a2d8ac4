#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include <platform/object_store.h>

#include "edge/edge_state.h"

namespace trefoil {

/// Objects of one kind by name.
using object_map = std::map<std::string, object, std::less<>>;

/// Decodes the store's objects and applies them to the instance's state. Thread-safe.
class object_applier
{
public:
    /// Precondition: @p state outlives this object.
    explicit object_applier(edge_state &state) : m_state(state) { }

    /// Applies all objects of @p kind that @p read returns. Calls are serialised and @p read is
    /// called by this function, so that older objects can't overwrite newer ones.
    void apply(const std::string &kind, const std::function<object_map()> &read);

private:
    void applyConfiguration(const object_map &objects);
    void applyServers(const object_map &objects);
    void applyWeights(const object_map &objects);
    void applyRollouts(const object_map &objects);
    void applyInstances(const object_map &objects);

    edge_state &m_state;
    std::mutex m_mutex;
    object_map m_servers;
    std::map<std::string, std::string, std::less<>> m_serverConditions;
    bool m_hasAppliedWeights = false;
};

} // namespace trefoil
