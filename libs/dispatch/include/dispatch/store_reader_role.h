#pragma once

#include <optional>

#include <core/clock.h>

namespace trefoil {

/// Position of an instance in the order in which the instances of its zone read the store.
struct store_reader_position
{
    /// Live instances of the zone that come before this one.
    int liveBefore = 0;
    /// Those among them that reached the store recently.
    int inContactBefore = 0;
    /// Availability zones with instances.
    int zones = 1;
};

/// Options of a store reader role.
struct store_reader_options
{
    /// Readers in each zone of a fleet with few zones, so that the loss of one leaves the fleet
    /// with several.
    int readersPerZone = 2;
    /// Number of zones from which one reader in each suffices.
    int zonesForOneReader = 4;
    /// Time without enough readers after which the next instance in order reads too; the one after
    /// it waits twice as long.
    duration takeoverDelay = std::chrono::milliseconds(500);
};

/// Decides whether an instance of a large fleet reads the platform's store itself or is told by
/// other instances. It needs no call and no agreement: each instance knows the order and who
/// reached the store from the reports. Not thread-safe.
///
/// Handles fleets of hundreds, in which each change woke a read of every instance, and readers that
/// are lost, paused or cut off from the store: others take over one after the other, not all at
/// once.
class store_reader_role
{
public:
    explicit store_reader_role(const store_reader_options &options) : m_options(options) { }

    /// Returns whether the instance reads the store at @p now. Precondition: times don't decrease.
    bool isReader(timestamp now, const store_reader_position &position);

private:
    store_reader_options m_options;
    /// Since when fewer instances than needed are in contact with the store.
    std::optional<timestamp> m_shortSince;
};

} // namespace trefoil
