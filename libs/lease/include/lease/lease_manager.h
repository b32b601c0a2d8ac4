#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <core/clock.h>
#include <lease/lease_record.h>

namespace trefoil {

/// Instance that may become owner or successor of a lease.
struct lease_candidate
{
    std::string name;
    std::string zone;

    bool operator==(const lease_candidate &) const = default;
};

/// View of the fleet from one instance.
struct lease_fleet
{
    /// Instances that are alive and not leaving, including this one unless it is leaving.
    std::vector<lease_candidate> usable;
    /// Names of the instances that the platform's list or the failure detector still contains.
    /// Owners and successors that are not among them count as lost.
    std::vector<std::string> known;
    /// Whether this instance recently heard from the platform or reaches a majority of the
    /// instances in the last list. Otherwise it neither uses nor confirms a lease.
    bool attached = true;
};

/// Asks a successor to confirm all leases that the sender owns and the receiver may take over. A
/// request without items only probes whether the receiver's process is running.
struct confirm_request
{
    struct item
    {
        std::string key;
        std::uint64_t epoch = 0;
    };
    std::string from;
    std::vector<item> items;
};

/// Answer to a confirm_request, in the order of its items. With a granted item the successor
/// promises not to take over before the confirmation expires.
struct confirm_answer
{
    struct item
    {
        std::string key;
        bool granted = false;
        /// Epoch known to the successor; higher than the requested one if the sender's record is
        /// outdated.
        std::uint64_t epoch = 0;
    };
    std::vector<item> items;
};

/// Actions that the embedding program must execute. @{
struct confirm_call
{
    std::uint64_t id = 0;
    std::string to;
    confirm_request request;
};
struct record_write
{
    std::string key;
    lease_record record;
    /// Object version that the conditional update requires.
    std::uint64_t expected = 0;
};
struct record_read
{
    std::string key;
};
using lease_action = std::variant<confirm_call, record_write, record_read>;
/// @}

/// Change of a lease on this instance.
struct lease_event
{
    enum class change { Acquired, Lost, RecordChanged } kind = change::RecordChanged;
    std::string key;
    std::uint64_t version = 0;
    lease_record record;
    /// With Acquired: no instance held the lease before.
    bool firstAcquisition = false;
    /// With Acquired: the previous record was known here for longer than
    /// lease_options::stableOwnerTime, so that the lease did not change its owner in that time.
    bool previousOwnerStable = false;
};

/// Outcome of a conditional write.
enum class write_outcome { Done, Conflict, Refused, Unknown };

/// Options of a lease_manager.
struct lease_options
{
    std::string self;
    std::string zone;
    /// Keys of the leases that this instance takes part in.
    std::vector<std::string> keys;
    /// Lifetime of a confirmation. The owner counts it from sending the request. The successor
    /// counts it from its answer and extends it by clockRateTolerance.
    duration confirmationLifetime = std::chrono::seconds(2);
    /// Time between two confirmation requests to the same successor.
    duration confirmationPeriod = std::chrono::milliseconds(500);
    /// Upper bound, with a safety margin, of the relative difference between the clock rates of two
    /// machines.
    double clockRateTolerance = 0.02;
    /// Additional wait of each further successor, so that two successors don't race.
    duration takeoverStagger = std::chrono::milliseconds(300);
    /// Wait before taking over a lease whose owner and successors are all lost. Longer than the
    /// delay of the platform's list plus the time for which an isolated instance still counts as
    /// attached.
    duration orphanTakeoverDelay = std::chrono::seconds(30);
    /// Number of successors of each lease.
    int successors = 2;
    /// Wait after the start before records are created, so that instances that start together
    /// discover each other first and the leases are distributed over all of them.
    duration creationDelay = std::chrono::milliseconds(1500);
    /// See lease_event::previousOwnerStable. Longer than the lifetime of anything that an owner
    /// grants to other instances.
    duration stableOwnerTime = std::chrono::milliseconds(2500);
};

/// Read access to the state of leases, independent of how they are maintained.
class lease_view
{
public:
    virtual ~lease_view() = default;

    /// Returns whether this instance holds the lease of @p key at @p now.
    virtual bool holds(timestamp now, std::string_view key) const = 0;
    /// Returns the last known record of @p key, or nothing.
    virtual std::optional<lease_record> record(std::string_view key) const = 0;
};

/// Maintains a set of leases on one instance. A state machine without I/O.
///
///     lease_manager manager({ .self = "entry-1", .zone = "a", .keys = { "limits/0" } }, now);
///     manager.setFleet(now, fleet);
///     for (const lease_action &action : manager.tick(now))
///         execute(action);
///     if (manager.holds(boot_clock::now(), "limits/0"))
///         act();
///
/// Call holds() after any work that may block, directly before the action that the lease protects.
/// Not thread-safe.
class lease_manager : public lease_view
{
public:
    /// Precondition: the keys are unique. @p now is the start time of the process. For the lifetime
    /// of a confirmation it takes over no lease, since an earlier process of this instance may have
    /// promised not to.
    lease_manager(lease_options options, timestamp now);

    /// @name Events
    /// @{

    /// Sets the current view of the fleet.
    void setFleet(timestamp now, lease_fleet fleet);
    /// Returns the actions that are due. Must be called several times per confirmationPeriod.
    std::vector<lease_action> tick(timestamp now);
    /// Handles a request from an owner.
    confirm_answer onRequest(timestamp now, const confirm_request &request);
    /// Handles a successor's answer to call @p id.
    void onAnswer(timestamp now, std::uint64_t id, const confirm_answer &answer);
    /// Handles the failure of call @p id. @p connectionRefused means that no process listens at the
    /// peer's address. From a successor this counts as a confirmation, since a new process there
    /// takes over nothing for the lifetime of a confirmation. From an owner it ends the promise
    /// given to that owner.
    void onFailure(timestamp now, std::uint64_t id, bool connectionRefused);
    /// Handles the record of @p key at object version @p version. Version 0 without a record means
    /// that the platform has no such object. Versions older than the known one are ignored.
    void onRecord(timestamp now, std::string_view key, std::uint64_t version,
                  const std::optional<lease_record> &record);
    /// Handles the outcome of the write of @p key. With Done, @p version is the new object version.
    void onWritten(timestamp now, std::string_view key, write_outcome outcome,
                   std::uint64_t version);
    /// Hands over all leases to successors and acquires no more. The next tick() returns the
    /// writes.
    void leave(timestamp now);
    /// Returns the changes since the last call.
    std::vector<lease_event> takeEvents();

    /// @}
    /// @name Queries
    /// @{

    /// See lease_view::holds().
    bool holds(timestamp now, std::string_view key) const override;
    /// See lease_view::record().
    std::optional<lease_record> record(std::string_view key) const override;
    /// Returns whether this instance owns no lease and has no write in flight.
    bool released() const;

    /// @}

private:
    /// State of one lease.
    struct lease_state
    {
        std::uint64_t version = 0;
        bool recordKnown = false; // false when the record must be read from the platform
        std::optional<lease_record> record;
        timestamp recordSince;
        /// As owner: times until which each successor promised not to take over.
        std::map<std::string, timestamp, std::less<>> confirmedUntil;
        /// As owner: number of consecutive unanswered requests to each successor.
        std::map<std::string, int, std::less<>> unansweredRequests;
        /// As owner: successors that were sent a request since the last change of the record.
        std::vector<std::string> requestedSuccessors;
        /// As successor: time until which this instance promised not to take over.
        timestamp promisedUntil;
        /// As successor: time of the owner's last request, and whether its process is known to have
        /// ended.
        timestamp lastRequestAt;
        bool ownerGone = false;
        /// Record of a write in flight, or of a write whose outcome is unknown until the next read.
        std::optional<lease_record> pendingWrite;
        timestamp writeStartedAt;
        bool outcomeUnknown = false;
        bool firstAcquisition = false;
        bool previousOwnerStable = false;
        timestamp nextReadAt;
        /// Earliest time of the next write, after the platform refused one.
        timestamp nextWriteAt;
        std::optional<timestamp> orphanSince;
        bool held = false; // true between the Acquired and the Lost event
    };
    struct pending_call
    {
        std::string to;
        timestamp sentAt;
        std::vector<std::string> keys; // empty in a probe of a silent owner
    };

    bool isOwner(const lease_state &state) const;
    bool isUsable(std::string_view name) const;
    bool isKnown(std::string_view name) const;
    bool isLeaseValid(timestamp now, const lease_state &state) const;
    std::vector<std::string> requiredSuccessors(const lease_state &state) const;
    std::vector<std::string> chooseSuccessors(std::string_view key, std::string_view owner,
                                              const std::vector<std::string> &keep,
                                              const std::vector<std::string> &avoid) const;
    void tickLease(timestamp now, const std::string &key, lease_state &state,
                   std::vector<lease_action> &actions);
    void tickOwned(timestamp now, const std::string &key, lease_state &state,
                   std::vector<lease_action> &actions);
    void tickNotOwned(timestamp now, const std::string &key, lease_state &state,
                      std::vector<lease_action> &actions);
    void tickLeaving(timestamp now, const std::string &key, lease_state &state,
                     std::vector<lease_action> &actions);
    bool canTakeOver(timestamp now, const lease_state &state) const;
    bool canTakeOrphan(timestamp now, const std::string &key, lease_state &state) const;
    void write(timestamp now, const std::string &key, lease_state &state, lease_record record,
               std::vector<lease_action> &actions);
    void requestConfirmations(timestamp now, std::vector<lease_action> &actions);
    std::map<std::string, confirm_request> dueRequests(timestamp now);
    bool hasPendingCall(timestamp now, std::string_view to) const;
    void expireCalls(timestamp now);
    void probeSilentOwners(timestamp now, std::vector<lease_action> &actions);
    void markOwnerGone(const pending_call &probe);
    void replaceSuccessors(timestamp now, const std::string &key, lease_state &state,
                           std::vector<lease_action> &actions);
    void applyRecord(timestamp now, const std::string &key, lease_state &state,
                     std::uint64_t version, std::optional<lease_record> record);
    void markNewSuccessorsConfirmed(const lease_record &written, lease_state &state) const;
    duration promiseLifetime() const;

    lease_options m_options;
    timestamp m_startedAt;
    lease_fleet m_fleet;
    std::map<std::string, lease_state, std::less<>> m_leases;
    std::map<std::uint64_t, pending_call> m_calls;
    std::map<std::string, timestamp, std::less<>> m_nextRequestAt;
    std::map<std::string, timestamp, std::less<>> m_nextProbeAt;
    std::uint64_t m_nextId = 1;
    bool m_leaving = false;
    /// Whether this tick() checks the successors of the owned leases.
    bool m_successorCheckDue = false;
    timestamp m_nextSuccessorCheckAt;
    std::vector<lease_event> m_events;
};

} // namespace trefoil
