#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <control/configuration_store.h>
#include <gossip/membership.h>

namespace trefoil {

/// What traffic threads read without asking the control thread. Immutable once published.
struct traffic_snapshot
{
    std::shared_ptr<const configuration_view> configuration =
        std::make_shared<const configuration_view>();
    std::vector<member> members;
    /// Owner of each limit shard by key; absent where none is known.
    std::map<std::string, std::string, std::less<>> shardOwners;
    int limitShards = 1;
    /// Whether both tables are in force.
    bool ready = false;
    /// Whether this instance is shutting down.
    bool leaving = false;
    /// Whether this instance hears enough of the fleet to know of withdrawn keys.
    bool attached = true;
};

} // namespace trefoil
