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

/// A member of the fleet as the lease keeper needs it.
struct lease_candidate
{
    std::string name;
    std::string zone;

    bool operator==(const lease_candidate &) const = default;
};

/// The fleet as one instance sees it.
struct lease_fleet
{
    /// Instances that are alive and not leaving, this one included unless it leaves.
    std::vector<lease_candidate> usable;
    /// Names that the platform's list or the failure detector still has. An owner or successor not
    /// among them counts as lost.
    std::vector<std::string> known;
    /// Whether this instance heard from the platform lately or reaches a majority of the last list.
    /// Without that it neither uses nor confirms a right.
    bool attached = true;
};

/// "May I go on?" from an owner to a successor, for all rights that they share.
struct confirm_ask
{
    struct item
    {
        std::string key;
        std::uint64_t epoch = 0;
    };
    std::string from;
    std::vector<item> items;
};

/// Answer to a confirm_ask, in the order of its items. A granted item is a promise not to take over
/// for the length of a confirmation from now.
struct confirm_answer
{
    struct item
    {
        std::string key;
        bool granted = false;
        /// Epoch that the successor knows; above the asked one when the asker's is out of date.
        std::uint64_t epoch = 0;
    };
    std::vector<item> items;
};

/// Actions that the driver carries out. @{
struct confirm_call
{
    std::uint64_t id = 0;
    std::string to;
    confirm_ask ask;
};
struct record_write
{
    std::string key;
    lease_record record;
    std::uint64_t expected = 0;
};
struct record_read
{
    std::string key;
};
using lease_action = std::variant<confirm_call, record_write, record_read>;
/// @}

/// Change of a right on this instance.
struct lease_event
{
    enum class change { Acquired, Lost, RecordChanged } kind = change::RecordChanged;
    std::string key;
    std::uint64_t version = 0;
    lease_record record;
    /// With Acquired: nobody ever held the right before.
    bool first = false;
    /// With Acquired: this instance had known the record before this one for longer than
    /// lease_options::quietTime, so that the right had not changed hands for so long.
    bool quiet = false;
};

/// How a conditional write ended.
enum class write_outcome { Done, Conflict, Refused, Unknown };

/// Options of a lease keeper.
struct lease_options
{
    std::string self;
    std::string zone;
    /// Rights that this instance cares for.
    std::vector<std::string> keys;
    /// Length of a confirmation, counted by the owner from when it sent its request and by the
    /// successor from when it answered, lengthened by clockMargin.
    duration confirmationLife = std::chrono::seconds(2);
    duration askPeriod = std::chrono::milliseconds(500);
    /// Share by which two machines' clock rates may differ, with room to spare.
    double clockMargin = 0.02;
    /// The second successor waits this much longer, so that two don't race.
    duration takeoverStagger = std::chrono::milliseconds(300);
    /// Wait before a right is taken whose owner and successors are all lost: longer than the
    /// platform's list lags, plus the time without which an instance counts as attached.
    duration orphanHold = std::chrono::seconds(30);
    int successors = 2;
    /// Wait after the start before a record is created, so that instances which start together know
    /// each other and share the rights.
    duration creationDelay = std::chrono::milliseconds(1500);
    /// See lease_event::quiet: longer than what an owner hands out lives.
    duration quietTime = std::chrono::milliseconds(2500);
};

/// Answers who holds a right: what users of rights depend on, whatever way they are kept.
class right_holder
{
public:
    virtual ~right_holder() = default;

    /// Returns whether this instance may act on the right of @p key at @p now.
    virtual bool holds(timestamp now, std::string_view key) const = 0;
    /// Returns the record known of @p key, or nothing.
    virtual std::optional<lease_record> record(std::string_view key) const = 0;
};

/// Keeps a set of rights on one instance: a pure state machine.
///
///     lease_keeper keeper({ .self = "entry-1", .zone = "a", .keys = { "limits/0" } }, now);
///     keeper.setFleet(now, fleet);
///     for (const lease_action &action : keeper.tick(now))
///         carryOut(action);
///     if (keeper.holds(boot_clock::now(), "limits/0"))
///         act();
///
/// holds() must be asked after any work that may block, directly before the act. Not thread-safe.
class lease_keeper : public right_holder
{
public:
    /// Precondition: names of keys differ. @p now is the start of the process: for the length of a
    /// confirmation it takes nothing over, since an earlier incarnation may have promised so.
    lease_keeper(lease_options options, timestamp now);

    /// @name Driving
    /// @{

    /// Tells what is known of the fleet.
    void setFleet(timestamp now, lease_fleet fleet);
    /// Returns the actions that are due. Called several times an askPeriod.
    std::vector<lease_action> tick(timestamp now);
    /// Answers an owner's request.
    confirm_answer onRequest(timestamp now, const confirm_ask &ask);
    /// Takes a successor's answer to call @p id.
    void onAnswer(timestamp now, std::uint64_t id, const confirm_answer &answer);
    /// Notes that call @p id had no answer. @p connectionRefused means that no process listens at
    /// the peer's address. Of a successor this counts as a confirmation, since a new process there
    /// would take nothing over for the length of one; of an owner it ends the promise given to it.
    void onFailure(timestamp now, std::uint64_t id, bool connectionRefused);
    /// Takes the record of @p key at object version @p version. Version 0 without record means that
    /// the platform has no such object. Older versions than the known one are ignored.
    void onRecord(timestamp now, std::string_view key, std::uint64_t version,
                  const std::optional<lease_record> &record);
    /// Takes the outcome of the write of @p key; @p version is the new one when it is Done.
    void onWritten(timestamp now, std::string_view key, write_outcome outcome,
                   std::uint64_t version);
    /// Gives all rights to successors and takes no more. The writes come from the next tick().
    void leave(timestamp now);
    /// Returns the changes since the last call.
    std::vector<lease_event> takeEvents();

    /// @}
    /// @name Asking
    /// @{

    /// See right_holder::holds().
    bool holds(timestamp now, std::string_view key) const override;
    /// See right_holder::record().
    std::optional<lease_record> record(std::string_view key) const override;
    /// Returns whether no right of this instance is left or on its way to a successor.
    bool released() const;

    /// @}

private:
    /// State of one right.
    struct right
    {
        std::uint64_t version = 0;
        bool known = false; // whether the platform's state was ever learnt
        std::optional<lease_record> record;
        timestamp recordSince;
        /// As owner: until when each successor will not take over.
        std::map<std::string, timestamp, std::less<>> confirmedUntil;
        /// As owner: successive unanswered requests of each successor.
        std::map<std::string, int, std::less<>> misses;
        /// As owner: successors asked at least once under the current record.
        std::vector<std::string> asked;
        /// As successor: until when this instance promised not to take over.
        timestamp promisedUntil;
        /// As successor: when the owner last asked, and whether its process is known to be gone.
        timestamp askedAt;
        bool ownerGone = false;
        /// A write on its way, or of unknown outcome until a read tells.
        std::optional<lease_record> writing;
        timestamp writtenAt;
        bool outcomeUnknown = false;
        bool first = false;
        bool quiet = false;
        timestamp nextRead;
        /// Not before then after the platform refused a write.
        timestamp nextWrite;
        std::optional<timestamp> orphanSince;
        bool owned = false; // whether an Acquired event was given and no Lost yet
    };
    struct open_call
    {
        std::string to;
        timestamp sentAt;
        std::vector<std::string> keys; // none in a probe of a silent owner
    };

    bool isSelfOwner(const right &state) const;
    bool isUsable(std::string_view name) const;
    bool isKnown(std::string_view name) const;
    bool rightValid(timestamp now, const right &state) const;
    std::vector<std::string> requiredSuccessors(const right &state) const;
    std::vector<std::string> chooseSuccessors(std::string_view key, std::string_view owner,
                                              const std::vector<std::string> &keep,
                                              const std::vector<std::string> &avoid) const;
    void tickRight(timestamp now, const std::string &key, right &state,
                   std::vector<lease_action> &actions);
    void tickOwned(timestamp now, const std::string &key, right &state,
                   std::vector<lease_action> &actions);
    void tickForeign(timestamp now, const std::string &key, right &state,
                     std::vector<lease_action> &actions);
    void tickLeaving(timestamp now, const std::string &key, right &state,
                     std::vector<lease_action> &actions);
    bool mayTakeOver(timestamp now, const right &state) const;
    bool isOrphan(timestamp now, const std::string &key, right &state) const;
    void write(timestamp now, const std::string &key, right &state, lease_record record,
               std::vector<lease_action> &actions);
    void askSuccessors(timestamp now, std::vector<lease_action> &actions);
    std::map<std::string, confirm_ask> dueAsks(timestamp now);
    bool hasOpenCall(timestamp now, std::string_view to) const;
    void expireCalls(timestamp now);
    void probeSilentOwners(timestamp now, std::vector<lease_action> &actions);
    void noteOwnerGone(const open_call &probe);
    void replaceSuccessors(timestamp now, const std::string &key, right &state,
                           std::vector<lease_action> &actions);
    void adopt(timestamp now, const std::string &key, right &state, std::uint64_t version,
               std::optional<lease_record> record);
    void confirmNewcomers(const lease_record &written, right &state) const;
    duration promiseLife() const;

    lease_options m_options;
    timestamp m_startedAt;
    lease_fleet m_fleet;
    std::map<std::string, right, std::less<>> m_rights;
    std::map<std::uint64_t, open_call> m_calls;
    std::map<std::string, timestamp, std::less<>> m_nextAsk;
    std::map<std::string, timestamp, std::less<>> m_nextProbe;
    std::uint64_t m_nextId = 1;
    bool m_leaving = false;
    bool m_reviews = false;
    timestamp m_nextReview;
    std::vector<lease_event> m_events;
};

} // namespace trefoil
