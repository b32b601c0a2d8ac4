#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <core/error.h>

namespace trefoil {

/// Store object that names the leader: the one instance at a time that sends orders to servers. It
/// is changed only by conditional updates, so that the store decides between candidates.
struct leader_record
{
    /// Name of the leader, or empty if there has been none.
    std::string holder;
    /// Fencing token: incremented with each takeover and sent with each order.
    std::uint64_t epoch = 0;
    /// Incremented with each write, so that a renewal always changes the object.
    std::uint64_t renewal = 0;
    /// Whether the holder released the lease after its last order had been answered.
    bool isReleased = false;
    /// Whether the quiet time after the previous leader's lease has passed. Until then a leader
    /// that restarts has to wait, because it no longer knows what the previous leader ordered.
    bool isSettled = false;
    /// Wall-clock time in milliseconds since 1970 at which weights became a target, by
    /// "model=version". Preserves the times when all instances restart together.
    std::map<std::string, std::uint64_t, std::less<>> targetSetAtMs;

    bool operator==(const leader_record &) const = default;
};

/// Serializes @p record for the store. Thread-safe.
std::string toText(const leader_record &record);
/// Parses the output of toText(). Returns nothing if @p text is malformed. Thread-safe.
std::optional<leader_record> parseLeaderRecord(std::string_view text);

/// Options of a leader lease.
struct leader_lease_options
{
    /// Name of this instance.
    std::string self;
    /// Lease duration, counted from when the last acknowledged renewal was sent. Short, because a
    /// successor waits for its end; longer than several renewals, so that the lease survives a lost
    /// answer.
    duration leaseDuration = std::chrono::milliseconds(1000);
    /// Time between renewals: about a third of the lease duration.
    duration renewInterval = std::chrono::milliseconds(350);
    /// Time after the end of a lease for which a successor that doesn't know the previous leader's
    /// orders sends none: the time within which backend servers must not receive orders from two
    /// leaders, plus the transit time of an order.
    duration quietTime = std::chrono::milliseconds(3300);
    /// Delay of a candidate's takeover for each candidate of lower rank, so that candidates don't
    /// write at the same time.
    duration rankDelay = std::chrono::milliseconds(300);
    /// Delay for each candidate of lower rank before a candidate first reads the record when no
    /// leader reports. Within two report periods only a few instances read it.
    duration firstReadDelay = std::chrono::milliseconds(50);
};

/// Call to the store that is due.
enum class store_call { None, Read, Write };

/// Lease of the leader, kept in one object of the store: a pure state machine. The leader stops
/// acting before another instance can take over, whether or not its renewals reached the store. A
/// successor waits until the record has stayed unchanged for longer than the lease duration, so the
/// clocks of instances are never compared.
///
/// A store that was restored from a copy may show the record of an earlier leader, or none. Epochs
/// rise all the same, because each era of the store has its own range of them, and such a record is
/// never taken over without waiting. Not thread-safe.
///
/// Precondition of all methods: times do not decrease, and the clock advances while the machine is
/// suspended.
class leader_lease
{
public:
    explicit leader_lease(const leader_lease_options &options) : m_options(options) { }

    /// Records the newest known era of the store and the highest epoch that a leader reported; 0
    /// for each that is not known. Call before next().
    void observe(std::uint64_t storeEra, std::uint64_t reportedEpoch);
    /// Returns the next call to make. @p rank is the number of live instances ordered before this
    /// one. @p isLeaderAlive is set if the known leader, or any leader while none is known,
    /// reported recently; the record is not read then. @p mayLead is false for an instance that is
    /// leaving: it releases the lease and doesn't take it over.
    store_call next(timestamp now, int rank, bool isLeaderAlive, bool mayLead);
    /// Returns whether the record has been read or written, and no takeover has failed since.
    bool isKnown() const { return m_isKnown; }
    /// Takes the result of a read: the record and its revision, or nothing if there is no record.
    void onRead(timestamp now, const std::optional<leader_record> &record, std::uint64_t revision);
    /// Returns the record to write over revision(). Call when next() returns Write; the lease
    /// counts from @p now. With @p release the lease is released. Precondition then: no order is in
    /// flight.
    leader_record startWrite(timestamp now, bool release);
    /// Takes the result of the write that startWrite() began: the new revision, or nothing if the
    /// write was not acknowledged. @p knowsOrders is set if the reports of the previous
    /// leader were received, so that each server it may have sent an order to is known.
    void onWritten(timestamp now, std::optional<std::uint64_t> revision, bool knowsOrders);

    /// Returns whether this instance may act as the leader at @p now: send orders, report rollouts
    /// and remove dead instances.
    bool mayAct(timestamp now) const;
    /// Returns for how long from @p now this instance may act if no renewal succeeds, zero if it
    /// may not act. An action that can't be taken back, such as an order to a server, must have
    /// ended by then: it would reach the server after an order of a later epoch otherwise.
    duration actingTimeLeft(timestamp now) const;
    /// Returns whether the lease is held at @p now, whether or not the instance may act yet.
    bool holds(timestamp now) const;
    /// Returns the epoch of the last known record: that of this instance's lease while holds().
    std::uint64_t epoch() const { return m_record.epoch; }
    /// Returns the last known record.
    const leader_record &record() const { return m_record; }
    /// Returns the revision of the last known record, 0 if there is none.
    std::uint64_t revision() const { return m_revision; }

private:
    bool isOwn() const { return m_isHeld && m_record.holder == m_options.self; }

    leader_lease_options m_options;
    leader_record m_record;
    std::uint64_t m_revision = 0;
    bool m_isKnown = false;
    /// Time since which no leader has reported.
    std::optional<timestamp> m_noLeaderSince;
    bool m_isHeld = false;
    /// The record names this instance but dates from before a restart or an expired lease.
    bool m_isOwnEarlierRecord = false;
    /// The record is from before the store was restored: it doesn't tell who led last.
    bool m_isRestored = false;
    /// Highest epoch that is known to have been used, and the lowest one of the store's era.
    std::uint64_t m_highestEpoch = 0;
    std::uint64_t m_eraEpoch = 0;
    /// The outcome of a write is unknown: the record must be read before the next write.
    bool m_mustRead = false;
    /// Time since which the record has been seen unchanged.
    timestamp m_unchangedSince;
    timestamp m_readAt;
    timestamp m_writeStartedAt;
    timestamp m_heldUntil;
    /// Time from which the leader may act.
    timestamp m_actsFrom;
    /// Time at which the quiet time after the previous leader's lease ends.
    timestamp m_settledFrom;
    /// Record of the write in progress.
    leader_record m_writing;
};

} // namespace trefoil
