#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <control/configuration_store.h>
#include <gossip/membership.h>

namespace trefoil {

/// State that request threads read without asking the control thread. Immutable once published.
struct traffic_snapshot
{
    std::shared_ptr<const configuration_snapshot> configuration =
        std::make_shared<const configuration_snapshot>();
    std::vector<member> members;
    /// Owning instance of each limit shard by lease key. Shards without a known owner are absent.
    std::map<std::string, std::string, std::less<>> shardOwners;
    int limitShards = 1;
    /// Whether both the routes and the pools table are active.
    bool ready = false;
    /// Whether this instance is shutting down.
    bool leaving = false;
    /// Whether this instance is connected well enough to the platform or its peers to learn of
    /// withdrawn keys.
    bool attached = true;
};

} // namespace trefoil
