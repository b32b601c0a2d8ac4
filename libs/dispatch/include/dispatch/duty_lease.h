#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <core/error.h>

namespace trefoil {

/// Who holds a duty, as the store's object says. One object a duty; it changes only by conditional
/// update, so that the store decides between candidates.
struct duty_record
{
    std::string holder;
    /// Rises with each take-over; goes with each order as its fencing token.
    std::uint64_t epoch = 0;
    /// Differs for each write, so that a renewal is always a change.
    std::uint64_t renewal = 0;
    /// Whether the holder gave the duty up after its last order had been answered.
    bool isReleased = false;
    /// Whether the holder before this one has been quiet for long enough on all servers. Until then
    /// a holder that restarts has to wait, since it has forgotten what the other one ordered.
    bool isSettled = false;
    /// Wall clock in milliseconds at which weights were named, by "model=version": the memory of
    /// that when all instances restart together.
    std::map<std::string, std::uint64_t, std::less<>> namedAtMs;

    bool operator==(const duty_record &) const = default;
};

/// Returns the text that the store keeps. Thread-safe.
std::string toText(const duty_record &record);
/// Reads what toText() wrote; nothing where it is malformed. Thread-safe.
std::optional<duty_record> dutyFromText(std::string_view text);

/// Options of a duty lease.
struct duty_lease_options
{
    /// Name of this instance.
    std::string self;
    /// The holder acts this long after it sent its last acknowledged renewal. Short, because its
    /// successor waits for it; several renewals long, so that a lost answer costs nothing.
    duration life = std::chrono::milliseconds(1000);
    /// Time between renewals: a third of the life.
    duration renewEvery = std::chrono::milliseconds(350);
    /// A successor that doesn't know what the holder before it ordered gives no order for this long
    /// after the end of that lease: the bound within which backend servers must not see two
    /// holders, and an order's time on the way.
    duration quietTime = std::chrono::milliseconds(3300);
    /// Wait of a candidate for each one before it in rank, so that they don't write at once.
    duration rankDelay = std::chrono::milliseconds(300);
    /// Added for each rank before the first look at a record whose holder isn't heard: within two
    /// periods of the reports only a few instances look.
    duration lookDelay = std::chrono::milliseconds(50);
};

/// Next call to the store.
enum class duty_step { None, Read, Write };

/// Lease on a duty over one object of the store: a pure state machine. The holder stops by itself
/// before anybody can take over, whatever became of its renewals; a successor watches the record
/// stay the same for longer than the lease lives, so no clocks are compared. Not thread-safe.
///
/// Precondition of all methods: times do not decrease and go on while the machine is suspended.
class duty_lease
{
public:
    explicit duty_lease(const duty_lease_options &options) : m_options(options) { }

    /// Returns the next call. @p rank is the number of live instances that stand before this one;
    /// @p isHolderAlive tells that the known holder was heard lately, or any while none is known,
    /// which spares the reads.
    /// @p mayHold is false for an instance that is leaving.
    duty_step next(timestamp now, int rank, bool isHolderAlive, bool mayHold);
    /// Returns whether the record was read or written.
    bool isKnown() const { return m_isKnown; }
    /// Takes the outcome of a read: the record and its revision, or nothing when there is none.
    void onRead(timestamp now, const std::optional<duty_record> &record, std::uint64_t revision);
    /// Returns the record to write over revision(). Call when next() says Write; the lease counts
    /// from @p now. With @p release the duty is given up; no order may be on the way then.
    duty_record startWrite(timestamp now, bool release);
    /// Takes the outcome of the write that startWrite() began: the new revision, or that it was
    /// not acknowledged. @p knowsOrders tells that the reports of the holder before were heard, so
    /// that each server it may have ordered is known.
    void onWritten(timestamp now, std::optional<std::uint64_t> revision, bool knowsOrders);

    /// Returns whether orders may be sent at @p now.
    bool mayAct(timestamp now) const;
    /// Returns whether the duty is held at @p now, acting or waiting to.
    bool holds(timestamp now) const;
    /// Returns the epoch of the own lease.
    std::uint64_t epoch() const { return m_record.epoch; }
    /// Returns the last known record.
    const duty_record &record() const { return m_record; }
    /// Returns the revision of the last known record, 0 when there is none.
    std::uint64_t revision() const { return m_revision; }

private:
    bool isOwn() const { return m_isHeld && m_record.holder == m_options.self; }

    duty_lease_options m_options;
    duty_record m_record;
    std::uint64_t m_revision = 0;
    bool m_isKnown = false;
    /// Since when no instance is heard that holds the duty.
    std::optional<timestamp> m_lacksHolderSince;
    bool m_isHeld = false;
    /// The record names this instance, from before a restart or a lapse.
    bool m_isOwnFormer = false;
    /// A write had no known outcome: the revision must be read before the next one.
    bool m_mustRead = false;
    /// Since when the record of another holder was seen unchanged.
    timestamp m_unchangedSince;
    timestamp m_readAt;
    timestamp m_writeStartedAt;
    timestamp m_heldUntil;
    timestamp m_actsFrom;
    /// When the holder before has been quiet for long enough.
    timestamp m_settledFrom;
    duty_record m_writing;
};

} // namespace trefoil
