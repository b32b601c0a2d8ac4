#include <lease/lease_keeper.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// Unanswered requests after which an owner replaces a successor: two leave half of a confirmation
/// for the write and for the new successor's answer.
constexpr int missesBeforeReplacing = 2;

/// An owner that has not asked for so long is probed: one and a half of its periods.
constexpr duration silence = std::chrono::milliseconds(750);

/// Between two looks at whether an owner's successors are still the right ones.
constexpr duration reviewPeriod = std::chrono::milliseconds(100);

/// Wait between reads of a record whose state is not known.
constexpr duration readPeriod = std::chrono::seconds(1);

/// Wait before a write that the platform refused is tried again.
constexpr duration writeRetry = std::chrono::milliseconds(500);

/// Time that a new record has to reach its owner before a successor counts on its silence.
constexpr duration recordGrace = std::chrono::seconds(3);

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

lease_keeper::lease_keeper(lease_options options, timestamp now)
    : m_options(std::move(options)), m_startedAt(now)
{
    assert(!m_options.self.empty());
    assert(promiseLife() < recordGrace);
    for (const std::string &key : m_options.keys) {
        [[maybe_unused]] const bool isNew = m_rights.emplace(key, right {}).second;
        assert(isNew);
    }
}

void lease_keeper::setFleet(timestamp, lease_fleet fleet) { m_fleet = std::move(fleet); }

bool lease_keeper::isSelfOwner(const right &state) const
{
    return state.record && state.record->owner == m_options.self;
}

bool lease_keeper::isUsable(std::string_view name) const
{
    return std::any_of(m_fleet.usable.begin(), m_fleet.usable.end(),
                       [&](const lease_candidate &each) { return each.name == name; });
}

bool lease_keeper::isKnown(std::string_view name) const { return contains(m_fleet.known, name); }

duration lease_keeper::promiseLife() const
{
    return fromSeconds(toSeconds(m_options.confirmationLife) * (1 + m_options.clockMargin));
}

std::vector<std::string> lease_keeper::requiredSuccessors(const right &state) const
{
    std::vector<std::string> required = state.record->successors;
    // A write of ours that may have taken effect adds its successors: they may act on it.
    if (state.outcomeUnknown && state.writing) {
        for (const std::string &name : state.writing->successors) {
            if (!contains(required, name))
                required.push_back(name);
        }
    }
    return required;
}

bool lease_keeper::rightValid(timestamp now, const right &state) const
{
    if (!isSelfOwner(state) || m_leaving || !m_fleet.attached)
        return false;
    // A record of ours may take effect late, after we promised the owner before us to wait.
    if (now < state.promisedUntil)
        return false;
    const std::vector<std::string> required = requiredSuccessors(state);
    return std::all_of(required.begin(), required.end(), [&](const std::string &name) {
        const auto found = state.confirmedUntil.find(name);
        return found != state.confirmedUntil.end() && now < found->second;
    });
}

bool lease_keeper::holds(timestamp now, std::string_view key) const
{
    const auto found = m_rights.find(key);
    return found != m_rights.end() && found->second.owned && rightValid(now, found->second);
}

std::optional<lease_record> lease_keeper::record(std::string_view key) const
{
    const auto found = m_rights.find(key);
    return found == m_rights.end() ? std::nullopt : found->second.record;
}

bool lease_keeper::released() const
{
    return std::none_of(m_rights.begin(), m_rights.end(), [this](const auto &each) {
        return isSelfOwner(each.second) || each.second.writing.has_value();
    });
}

std::vector<lease_action> lease_keeper::tick(timestamp now)
{
    std::vector<lease_action> actions;
    // Who may stand in as a successor costs a look at the whole fleet for each right.
    m_reviews = now >= m_nextReview;
    if (m_reviews)
        m_nextReview = now + reviewPeriod;
    for (auto it = m_rights.begin(); it != m_rights.end(); ++it)
        tickRight(now, it->first, it->second, actions);
    if (!m_leaving) {
        askSuccessors(now, actions);
        probeSilentOwners(now, actions);
    }
    return actions;
}

void lease_keeper::tickRight(timestamp now, const std::string &key, right &state,
                             std::vector<lease_action> &actions)
{
    if (state.writing && !state.outcomeUnknown)
        return;
    if (!state.known || state.outcomeUnknown) {
        if (now >= state.nextRead) {
            state.nextRead = now + readPeriod;
            actions.push_back(record_read {.key = key});
        }
        return;
    }
    if (m_leaving)
        tickLeaving(now, key, state, actions);
    else if (isSelfOwner(state))
        tickOwned(now, key, state, actions);
    else
        tickForeign(now, key, state, actions);
}

void lease_keeper::tickOwned(timestamp now, const std::string &key, right &state,
                             std::vector<lease_action> &actions)
{
    if (rightValid(now, state) && !state.owned) {
        state.owned = true;
        m_events.push_back({.kind = lease_event::change::Acquired,
                            .key = key,
                            .version = state.version,
                            .record = *state.record,
                            .first = state.first,
                            .quiet = state.quiet});
        state.first = false;
    }
    if (m_reviews)
        replaceSuccessors(now, key, state, actions);
}

void lease_keeper::replaceSuccessors(timestamp now, const std::string &key, right &state,
                                     std::vector<lease_action> &actions)
{
    std::vector<std::string> keep;
    std::vector<std::string> silent;
    bool anyLost = false;
    for (const std::string &name : state.record->successors) {
        const auto missed = state.misses.find(name);
        if (!isUsable(name))
            anyLost = true;
        else if (missed != state.misses.end() && missed->second >= missesBeforeReplacing)
            silent.push_back(name);
        else
            keep.push_back(name);
    }
    std::vector<std::string> wanted = chooseSuccessors(key, m_options.self, keep, silent);
    // A silent successor is replaced only where another instance can stand in for it; a lost one
    // is dropped in any case, since its confirmation will never come.
    const bool better = wanted.size() > keep.size();
    if ((!better && !anyLost) || now < state.nextWrite)
        return;
    if (!better)
        wanted.insert(wanted.end(), silent.begin(), silent.end());
    write(now, key, state,
          {.epoch = state.record->epoch + 1,
           .owner = m_options.self,
           .successors = std::move(wanted)},
          actions);
}

void lease_keeper::tickForeign(timestamp now, const std::string &key, right &state,
                               std::vector<lease_action> &actions)
{
    if (!m_fleet.attached || m_fleet.usable.empty() || now < state.nextWrite)
        return;
    const std::uint64_t epoch = state.record ? state.record->epoch + 1 : 1;
    if (!state.record) {
        if (now < m_startedAt + m_options.creationDelay)
            return;
        std::vector<std::string> names;
        for (const lease_candidate &each : m_fleet.usable)
            names.push_back(each.name);
        if (names[rendezvousOrder(key, names).front()] != m_options.self)
            return;
        state.first = true;
    } else if (!mayTakeOver(now, state) && !isOrphan(now, key, state)) {
        return;
    }
    write(now, key, state,
          {.epoch = epoch,
           .owner = m_options.self,
           .successors = chooseSuccessors(key, m_options.self, {}, {})},
          actions);
}

void lease_keeper::tickLeaving(timestamp now, const std::string &key, right &state,
                               std::vector<lease_action> &actions)
{
    if (!isSelfOwner(state) || now < state.nextWrite)
        return;
    for (const std::string &name : state.record->successors) {
        if (!isUsable(name) || name == m_options.self)
            continue;
        write(now, key, state,
              {.epoch = state.record->epoch + 1,
               .owner = name,
               .successors = chooseSuccessors(key, name, {}, {m_options.self}),
               .handedOver = true},
              actions);
        return;
    }
}

bool lease_keeper::mayTakeOver(timestamp now, const right &state) const
{
    const std::vector<std::string> &successors = state.record->successors;
    const auto place = std::find(successors.begin(), successors.end(), m_options.self);
    if (place == successors.end())
        return false;
    const duration stagger = m_options.takeoverStagger * (place - successors.begin());
    // Promises were made to a process that is gone.
    if (state.ownerGone)
        return now >= state.askedAt + silence + stagger;
    return now >= state.promisedUntil + stagger && now >= state.recordSince + recordGrace + stagger
        && now >= m_startedAt + promiseLife();
}

bool lease_keeper::isOrphan(timestamp now, const std::string &key, right &state) const
{
    bool anyKnown = isKnown(state.record->owner);
    for (const std::string &name : state.record->successors)
        anyKnown = anyKnown || isKnown(name);
    if (anyKnown) {
        state.orphanSince.reset();
        return false;
    }
    if (!state.orphanSince)
        state.orphanSince = now;
    if (now - *state.orphanSince < m_options.orphanHold)
        return false;
    std::vector<std::string> names;
    for (const lease_candidate &each : m_fleet.usable)
        names.push_back(each.name);
    return names[rendezvousOrder(key, names).front()] == m_options.self;
}

std::vector<std::string> lease_keeper::chooseSuccessors(std::string_view key,
                                                        std::string_view owner,
                                                        const std::vector<std::string> &keep,
                                                        const std::vector<std::string> &avoid) const
{
    std::string ownerZone;
    std::vector<std::string> names;
    std::map<std::string, std::string> zones;
    for (const lease_candidate &each : m_fleet.usable) {
        if (each.name == owner)
            ownerZone = each.zone;
        else
            names.push_back(each.name);
        zones[each.name] = each.zone;
    }
    std::vector<std::string> chosen = keep;
    const std::size_t wanted = static_cast<std::size_t>(m_options.successors);
    const std::vector<std::size_t> order = rendezvousOrder(key, names);
    // First instances of zones not used yet, so that the loss of one zone leaves a successor.
    for (const bool otherZonesOnly : {true, false}) {
        for (const std::size_t index : order) {
            const std::string &name = names[index];
            if (chosen.size() >= wanted || contains(chosen, name) || contains(avoid, name))
                continue;
            bool zoneUsed = zones[name] == ownerZone;
            for (const std::string &other : chosen)
                zoneUsed = zoneUsed || zones[other] == zones[name];
            if (!otherZonesOnly || !zoneUsed)
                chosen.push_back(name);
        }
    }
    return chosen;
}

void lease_keeper::write(timestamp now, const std::string &key, right &state, lease_record record,
                         std::vector<lease_action> &actions)
{
    state.writing = record;
    state.writtenAt = now;
    actions.push_back(
        record_write {.key = key, .record = std::move(record), .expected = state.version});
}

std::map<std::string, confirm_ask> lease_keeper::dueAsks(timestamp now)
{
    std::map<std::string, confirm_ask> asks;
    for (auto it = m_rights.begin(); it != m_rights.end(); ++it) {
        right &state = it->second;
        if (!isSelfOwner(state))
            continue;
        const bool written = state.outcomeUnknown && state.writing;
        const std::uint64_t epoch = written ? state.writing->epoch : state.record->epoch;
        for (const std::string &name : requiredSuccessors(state)) {
            const auto due = m_nextAsk.find(name);
            const bool isDue = due == m_nextAsk.end() || now >= due->second;
            if ((!isDue && contains(state.asked, name)) || hasOpenCall(now, name))
                continue;
            asks[name].items.push_back({.key = it->first, .epoch = epoch});
            if (!contains(state.asked, name))
                state.asked.push_back(name);
        }
    }
    return asks;
}

bool lease_keeper::hasOpenCall(timestamp now, std::string_view to) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto &each) {
        return each.second.to == to && now - each.second.sentAt < m_options.askPeriod;
    });
}

void lease_keeper::askSuccessors(timestamp now, std::vector<lease_action> &actions)
{
    expireCalls(now);
    std::map<std::string, confirm_ask> asks = dueAsks(now);
    for (auto it = asks.begin(); it != asks.end(); ++it) {
        const std::uint64_t id = m_nextId++;
        open_call call {.to = it->first, .sentAt = now, .keys = {}};
        for (const confirm_ask::item &item : it->second.items)
            call.keys.push_back(item.key);
        m_calls[id] = std::move(call);
        m_nextAsk[it->first] = now + m_options.askPeriod;
        it->second.from = m_options.self;
        actions.push_back(confirm_call {.id = id, .to = it->first, .ask = std::move(it->second)});
    }
}

void lease_keeper::probeSilentOwners(timestamp now, std::vector<lease_action> &actions)
{
    std::vector<std::string> silent;
    for (auto it = m_rights.begin(); it != m_rights.end(); ++it) {
        const right &state = it->second;
        if (!state.record || isSelfOwner(state) || state.ownerGone || now - state.askedAt < silence
            || !contains(state.record->successors, m_options.self)
            || contains(silent, state.record->owner))
            continue;
        silent.push_back(state.record->owner);
    }
    for (const std::string &name : silent) {
        const auto due = m_nextProbe.find(name);
        if ((due != m_nextProbe.end() && now < due->second) || hasOpenCall(now, name))
            continue;
        m_nextProbe[name] = now + m_options.askPeriod / 2;
        const std::uint64_t id = m_nextId++;
        m_calls[id] = {.to = name, .sentAt = now, .keys = {}};
        actions.push_back(
            confirm_call {.id = id, .to = name, .ask = {.from = m_options.self, .items = {}}});
    }
}

void lease_keeper::noteOwnerGone(const open_call &probe)
{
    for (auto it = m_rights.begin(); it != m_rights.end(); ++it) {
        right &state = it->second;
        // A new process there may have asked since: the promise to that one holds.
        if (!state.record || state.record->owner != probe.to || state.askedAt >= probe.sentAt)
            continue;
        state.ownerGone = true;
        state.promisedUntil = std::min(state.promisedUntil, probe.sentAt);
    }
}

void lease_keeper::expireCalls(timestamp now)
{
    std::vector<std::uint64_t> late;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        // Counting a request as missed only when its confirmation has run out would leave no time
        // to replace a silent successor.
        if (now - it->second.sentAt >= m_options.askPeriod)
            late.push_back(it->first);
    }
    for (const std::uint64_t id : late)
        onFailure(now, id, false);
}

confirm_answer lease_keeper::onRequest(timestamp now, const confirm_ask &ask)
{
    confirm_answer answer;
    for (const confirm_ask::item &item : ask.items) {
        confirm_answer::item reply {.key = item.key, .granted = false, .epoch = 0};
        const auto found = m_rights.find(item.key);
        if (found != m_rights.end()) {
            right &state = found->second;
            reply.epoch = state.record ? state.record->epoch : 0;
            if (isSelfOwner(state) && item.epoch > reply.epoch)
                state.known = false; // another took over: read the record
            // Not while a takeover of ours may have taken effect, nor for an owner out of date.
            reply.granted = m_fleet.attached && !state.writing && reply.epoch <= item.epoch
                && !(isSelfOwner(state) && reply.epoch == item.epoch);
            if (reply.granted) {
                state.promisedUntil = std::max(state.promisedUntil, now + promiseLife());
                state.askedAt = now;
                state.ownerGone = false;
            }
        }
        answer.items.push_back(std::move(reply));
    }
    return answer;
}

void lease_keeper::onAnswer(timestamp now, std::uint64_t id, const confirm_answer &answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const open_call call = found->second;
    m_calls.erase(found);
    for (const confirm_answer::item &item : answer.items) {
        const auto held = m_rights.find(item.key);
        if (held == m_rights.end() || !isSelfOwner(held->second))
            continue;
        right &state = held->second;
        state.misses[call.to] = 0;
        if (item.granted)
            state.confirmedUntil[call.to] = call.sentAt + m_options.confirmationLife;
        else if (item.epoch > state.record->epoch && now >= state.nextRead) {
            state.known = false; // out of date: read before anything else
            state.nextRead = now;
        }
    }
}

void lease_keeper::onFailure(timestamp, std::uint64_t id, bool connectionRefused)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const open_call call = found->second;
    m_calls.erase(found);
    if (call.keys.empty() && connectionRefused)
        noteOwnerGone(call);
    for (const std::string &key : call.keys) {
        right &state = m_rights.at(key);
        ++state.misses[call.to];
        if (connectionRefused && isSelfOwner(state))
            state.confirmedUntil[call.to] = call.sentAt + m_options.confirmationLife;
    }
}

void lease_keeper::onRecord(timestamp now, std::string_view key, std::uint64_t version,
                            const std::optional<lease_record> &record)
{
    const auto found = m_rights.find(key);
    if (found == m_rights.end())
        return;
    right &state = found->second;
    if (version < state.version)
        return;
    const bool wasUnknown = !state.known || state.outcomeUnknown;
    if (version == state.version && !wasUnknown)
        return;
    if (state.writing && !state.outcomeUnknown)
        return; // the write's own outcome decides; a conflict makes us read again
    adopt(now, found->first, state, version, record);
}

void lease_keeper::adopt(timestamp now, const std::string &key, right &state, std::uint64_t version,
                         std::optional<lease_record> record)
{
    const bool changed = version != state.version;
    const bool stillOwner = record && record->owner == m_options.self;
    const bool ownWrite = stillOwner && state.writing && *record == *state.writing;
    state.known = true;
    state.outcomeUnknown = false;
    state.version = version;
    if (changed) {
        const bool ownerChanged = !state.record || !record || state.record->owner != record->owner;
        if (ownerChanged)
            state.quiet = state.record && now - state.recordSince >= m_options.quietTime;
        state.recordSince = now;
        state.misses.clear();
        state.asked.clear();
        state.askedAt = now;
        state.ownerGone = false;
    }
    // The owner before has stopped: what was promised to it no longer matters.
    if (changed && stillOwner && record->handedOver)
        state.promisedUntil = now;
    if (ownWrite)
        confirmNewcomers(*record, state);
    state.writing.reset();
    state.record = std::move(record);
    if (!stillOwner) {
        state.first = false;
        state.confirmedUntil.clear();
        state.misses.clear();
        if (state.owned) {
            state.owned = false;
            m_events.push_back({.kind = lease_event::change::Lost,
                                .key = key,
                                .version = version,
                                .record = state.record.value_or(lease_record {})});
        }
    }
    if (changed && state.record)
        m_events.push_back({.kind = lease_event::change::RecordChanged,
                            .key = key,
                            .version = version,
                            .record = *state.record});
}

void lease_keeper::confirmNewcomers(const lease_record &written, right &state) const
{
    // A successor that is new to the record learns it after the write was sent and waits the grace
    // from then, which outlasts a confirmation: it need not be asked first.
    for (const std::string &name : written.successors) {
        const bool newcomer = !isSelfOwner(state) || !contains(state.record->successors, name);
        if (newcomer)
            state.confirmedUntil[name] = state.writtenAt + m_options.confirmationLife;
    }
}

void lease_keeper::onWritten(timestamp now, std::string_view key, write_outcome outcome,
                             std::uint64_t version)
{
    const auto found = m_rights.find(key);
    if (found == m_rights.end() || !found->second.writing)
        return;
    right &state = found->second;
    switch (outcome) {
    case write_outcome::Done: {
        std::optional<lease_record> record = state.writing;
        adopt(now, found->first, state, version, std::move(record));
        return;
    }
    case write_outcome::Conflict:
        state.writing.reset();
        state.first = false;
        state.known = false;
        state.nextRead = now;
        return;
    case write_outcome::Refused:
        state.writing.reset();
        state.first = false;
        state.nextWrite = now + writeRetry;
        return;
    case write_outcome::Unknown:
        state.outcomeUnknown = true;
        state.nextRead = now;
        return;
    }
}

void lease_keeper::leave(timestamp)
{
    m_leaving = true;
    for (auto it = m_rights.begin(); it != m_rights.end(); ++it) {
        right &state = it->second;
        if (!state.owned)
            continue;
        state.owned = false;
        m_events.push_back({.kind = lease_event::change::Lost,
                            .key = it->first,
                            .version = state.version,
                            .record = *state.record});
    }
}

std::vector<lease_event> lease_keeper::takeEvents() { return std::exchange(m_events, {}); }

} // namespace trefoil
