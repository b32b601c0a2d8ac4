#include <lease/lease_manager.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include <core/rendezvous.h>

namespace trefoil {

namespace {

/// Number of unanswered requests after which the owner replaces a successor. Two leave half of a
/// confirmation's lifetime for the write and for the new successor's answer.
constexpr int maxUnansweredRequests = 2;

/// Time without a request after which a successor probes the owner: one and a half confirmation
/// periods.
constexpr duration ownerSilenceTimeout = std::chrono::milliseconds(750);

/// Time between two checks whether successors of the owned leases must be replaced.
constexpr duration successorCheckPeriod = std::chrono::milliseconds(100);

/// Time between two reads of a record whose state is unknown.
constexpr duration recordReadPeriod = std::chrono::seconds(1);

/// Time before a write that the platform refused is retried.
constexpr duration writeRetryDelay = std::chrono::milliseconds(500);

/// Time within which a changed record reaches its owner. Until then a successor does not treat
/// missing requests as the loss of the owner.
constexpr duration recordPropagationTime = std::chrono::seconds(3);

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

lease_manager::lease_manager(lease_options options, timestamp now)
    : m_options(std::move(options)), m_startedAt(now)
{
    assert(!m_options.self.empty());
    assert(promiseLifetime() < recordPropagationTime);
    for (const std::string &key : m_options.keys) {
        [[maybe_unused]] const bool isNew = m_leases.emplace(key, lease_state {}).second;
        assert(isNew);
    }
}

void lease_manager::setFleet(timestamp, lease_fleet fleet) { m_fleet = std::move(fleet); }

bool lease_manager::isOwner(const lease_state &state) const
{
    return state.record && state.record->owner == m_options.self;
}

bool lease_manager::isUsable(std::string_view name) const
{
    return std::any_of(m_fleet.usable.begin(), m_fleet.usable.end(),
                       [&](const lease_candidate &each) { return each.name == name; });
}

bool lease_manager::isKnown(std::string_view name) const { return contains(m_fleet.known, name); }

duration lease_manager::promiseLifetime() const
{
    return fromSeconds(toSeconds(m_options.confirmationLifetime)
                       * (1 + m_options.clockRateTolerance));
}

std::vector<std::string> lease_manager::requiredSuccessors(const lease_state &state) const
{
    std::vector<std::string> required = state.record->successors;
    // A write with unknown outcome may have taken effect, so its successors may take over as well.
    if (state.outcomeUnknown && state.pendingWrite) {
        for (const std::string &name : state.pendingWrite->successors) {
            if (!contains(required, name))
                required.push_back(name);
        }
    }
    return required;
}

bool lease_manager::isLeaseValid(timestamp now, const lease_state &state) const
{
    if (!isOwner(state) || m_leaving || !m_fleet.attached)
        return false;
    // The write that makes this instance the owner may take effect after this instance promised the
    // previous owner not to take over. The lease is valid only after that promise has expired.
    if (now < state.promisedUntil)
        return false;
    const std::vector<std::string> required = requiredSuccessors(state);
    return std::all_of(required.begin(), required.end(), [&](const std::string &name) {
        const auto found = state.confirmedUntil.find(name);
        return found != state.confirmedUntil.end() && now < found->second;
    });
}

bool lease_manager::holds(timestamp now, std::string_view key) const
{
    const auto found = m_leases.find(key);
    return found != m_leases.end() && found->second.held && isLeaseValid(now, found->second);
}

std::optional<lease_record> lease_manager::record(std::string_view key) const
{
    const auto found = m_leases.find(key);
    return found == m_leases.end() ? std::nullopt : found->second.record;
}

bool lease_manager::released() const
{
    return std::none_of(m_leases.begin(), m_leases.end(), [this](const auto &each) {
        return isOwner(each.second) || each.second.pendingWrite.has_value();
    });
}

std::vector<lease_action> lease_manager::tick(timestamp now)
{
    std::vector<lease_action> actions;
    // Choosing successors iterates over the whole fleet for each lease, so it is not done in every
    // tick.
    m_successorCheckDue = now >= m_nextSuccessorCheckAt;
    if (m_successorCheckDue)
        m_nextSuccessorCheckAt = now + successorCheckPeriod;
    for (auto it = m_leases.begin(); it != m_leases.end(); ++it)
        tickLease(now, it->first, it->second, actions);
    if (!m_leaving) {
        requestConfirmations(now, actions);
        probeSilentOwners(now, actions);
    }
    return actions;
}

void lease_manager::tickLease(timestamp now, const std::string &key, lease_state &state,
                              std::vector<lease_action> &actions)
{
    if (state.pendingWrite && !state.outcomeUnknown)
        return;
    if (!state.recordKnown || state.outcomeUnknown) {
        if (now >= state.nextReadAt) {
            state.nextReadAt = now + recordReadPeriod;
            actions.push_back(record_read {.key = key});
        }
        return;
    }
    if (m_leaving)
        tickLeaving(now, key, state, actions);
    else if (isOwner(state))
        tickOwned(now, key, state, actions);
    else
        tickNotOwned(now, key, state, actions);
}

void lease_manager::tickOwned(timestamp now, const std::string &key, lease_state &state,
                              std::vector<lease_action> &actions)
{
    if (isLeaseValid(now, state) && !state.held) {
        state.held = true;
        m_events.push_back({.kind = lease_event::change::Acquired,
                            .key = key,
                            .version = state.version,
                            .record = *state.record,
                            .firstAcquisition = state.firstAcquisition,
                            .previousOwnerStable = state.previousOwnerStable});
        state.firstAcquisition = false;
    }
    if (m_successorCheckDue)
        replaceSuccessors(now, key, state, actions);
}

void lease_manager::replaceSuccessors(timestamp now, const std::string &key, lease_state &state,
                                      std::vector<lease_action> &actions)
{
    std::vector<std::string> keep;
    std::vector<std::string> silent;
    bool anyLost = false;
    for (const std::string &name : state.record->successors) {
        const auto missed = state.unansweredRequests.find(name);
        if (!isUsable(name))
            anyLost = true;
        else if (missed != state.unansweredRequests.end()
                 && missed->second >= maxUnansweredRequests)
            silent.push_back(name);
        else
            keep.push_back(name);
    }
    std::vector<std::string> successors = chooseSuccessors(key, m_options.self, keep, silent);
    // A silent successor is replaced only if another instance is available. A lost one is always
    // removed, since it will never confirm.
    const bool hasReplacement = successors.size() > keep.size();
    if ((!hasReplacement && !anyLost) || now < state.nextWriteAt)
        return;
    if (!hasReplacement)
        successors.insert(successors.end(), silent.begin(), silent.end());
    write(now, key, state,
          {.epoch = state.record->epoch + 1,
           .owner = m_options.self,
           .successors = std::move(successors)},
          actions);
}

void lease_manager::tickNotOwned(timestamp now, const std::string &key, lease_state &state,
                                 std::vector<lease_action> &actions)
{
    if (!m_fleet.attached || m_fleet.usable.empty() || now < state.nextWriteAt)
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
        state.firstAcquisition = true;
    } else if (!canTakeOver(now, state) && !canTakeOrphan(now, key, state)) {
        return;
    }
    write(now, key, state,
          {.epoch = epoch,
           .owner = m_options.self,
           .successors = chooseSuccessors(key, m_options.self, {}, {})},
          actions);
}

void lease_manager::tickLeaving(timestamp now, const std::string &key, lease_state &state,
                                std::vector<lease_action> &actions)
{
    if (!isOwner(state) || now < state.nextWriteAt)
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

bool lease_manager::canTakeOver(timestamp now, const lease_state &state) const
{
    const std::vector<std::string> &successors = state.record->successors;
    const auto position = std::find(successors.begin(), successors.end(), m_options.self);
    if (position == successors.end())
        return false;
    const duration stagger = m_options.takeoverStagger * (position - successors.begin());
    // The promise was given to a process that has ended, so it need not expire.
    if (state.ownerGone)
        return now >= state.lastRequestAt + ownerSilenceTimeout + stagger;
    return now >= state.promisedUntil + stagger
        && now >= state.recordSince + recordPropagationTime + stagger
        && now >= m_startedAt + promiseLifetime();
}

bool lease_manager::canTakeOrphan(timestamp now, const std::string &key, lease_state &state) const
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
    if (now - *state.orphanSince < m_options.orphanTakeoverDelay)
        return false;
    std::vector<std::string> names;
    for (const lease_candidate &each : m_fleet.usable)
        names.push_back(each.name);
    return names[rendezvousOrder(key, names).front()] == m_options.self;
}

std::vector<std::string>
lease_manager::chooseSuccessors(std::string_view key, std::string_view owner,
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
    const std::size_t count = static_cast<std::size_t>(m_options.successors);
    const std::vector<std::size_t> order = rendezvousOrder(key, names);
    // Prefers instances in unused zones, so that a successor remains after the loss of one zone.
    for (const bool otherZonesOnly : {true, false}) {
        for (const std::size_t index : order) {
            const std::string &name = names[index];
            if (chosen.size() >= count || contains(chosen, name) || contains(avoid, name))
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

void lease_manager::write(timestamp now, const std::string &key, lease_state &state,
                          lease_record record, std::vector<lease_action> &actions)
{
    state.pendingWrite = record;
    state.writeStartedAt = now;
    actions.push_back(
        record_write {.key = key, .record = std::move(record), .expected = state.version});
}

std::map<std::string, confirm_request> lease_manager::dueRequests(timestamp now)
{
    std::map<std::string, confirm_request> requests;
    for (auto it = m_leases.begin(); it != m_leases.end(); ++it) {
        lease_state &state = it->second;
        if (!isOwner(state))
            continue;
        const bool maybeWritten = state.outcomeUnknown && state.pendingWrite;
        const std::uint64_t epoch = maybeWritten ? state.pendingWrite->epoch : state.record->epoch;
        for (const std::string &name : requiredSuccessors(state)) {
            const auto due = m_nextRequestAt.find(name);
            const bool isDue = due == m_nextRequestAt.end() || now >= due->second;
            if ((!isDue && contains(state.requestedSuccessors, name)) || hasPendingCall(now, name))
                continue;
            requests[name].items.push_back({.key = it->first, .epoch = epoch});
            if (!contains(state.requestedSuccessors, name))
                state.requestedSuccessors.push_back(name);
        }
    }
    return requests;
}

bool lease_manager::hasPendingCall(timestamp now, std::string_view to) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto &each) {
        return each.second.to == to && now - each.second.sentAt < m_options.confirmationPeriod;
    });
}

void lease_manager::requestConfirmations(timestamp now, std::vector<lease_action> &actions)
{
    expireCalls(now);
    std::map<std::string, confirm_request> requests = dueRequests(now);
    for (auto it = requests.begin(); it != requests.end(); ++it) {
        const std::uint64_t id = m_nextId++;
        pending_call call {.to = it->first, .sentAt = now, .keys = {}};
        for (const confirm_request::item &item : it->second.items)
            call.keys.push_back(item.key);
        m_calls[id] = std::move(call);
        m_nextRequestAt[it->first] = now + m_options.confirmationPeriod;
        it->second.from = m_options.self;
        actions.push_back(
            confirm_call {.id = id, .to = it->first, .request = std::move(it->second)});
    }
}

void lease_manager::probeSilentOwners(timestamp now, std::vector<lease_action> &actions)
{
    std::vector<std::string> silent;
    for (auto it = m_leases.begin(); it != m_leases.end(); ++it) {
        const lease_state &state = it->second;
        if (!state.record || isOwner(state) || state.ownerGone
            || now - state.lastRequestAt < ownerSilenceTimeout
            || !contains(state.record->successors, m_options.self)
            || contains(silent, state.record->owner))
            continue;
        silent.push_back(state.record->owner);
    }
    for (const std::string &name : silent) {
        const auto due = m_nextProbeAt.find(name);
        if ((due != m_nextProbeAt.end() && now < due->second) || hasPendingCall(now, name))
            continue;
        m_nextProbeAt[name] = now + m_options.confirmationPeriod / 2;
        const std::uint64_t id = m_nextId++;
        m_calls[id] = {.to = name, .sentAt = now, .keys = {}};
        actions.push_back(
            confirm_call {.id = id, .to = name, .request = {.from = m_options.self, .items = {}}});
    }
}

void lease_manager::markOwnerGone(const pending_call &probe)
{
    for (auto it = m_leases.begin(); it != m_leases.end(); ++it) {
        lease_state &state = it->second;
        // A new process of the owner may have sent a request since the probe. The promise to it
        // remains valid.
        if (!state.record || state.record->owner != probe.to || state.lastRequestAt >= probe.sentAt)
            continue;
        state.ownerGone = true;
        state.promisedUntil = std::min(state.promisedUntil, probe.sentAt);
    }
}

void lease_manager::expireCalls(timestamp now)
{
    std::vector<std::uint64_t> timedOut;
    for (auto it = m_calls.begin(); it != m_calls.end(); ++it) {
        // A call times out before its confirmation would expire; otherwise there would be no time
        // to replace a silent successor.
        if (now - it->second.sentAt >= m_options.confirmationPeriod)
            timedOut.push_back(it->first);
    }
    for (const std::uint64_t id : timedOut)
        onFailure(now, id, false);
}

confirm_answer lease_manager::onRequest(timestamp now, const confirm_request &request)
{
    confirm_answer answer;
    for (const confirm_request::item &item : request.items) {
        confirm_answer::item reply {.key = item.key, .granted = false, .epoch = 0};
        const auto found = m_leases.find(item.key);
        if (found != m_leases.end()) {
            lease_state &state = found->second;
            reply.epoch = state.record ? state.record->epoch : 0;
            if (isOwner(state) && item.epoch > reply.epoch)
                state.recordKnown = false; // another instance took over: read the record
            // Refuses while a takeover by this instance may have taken effect, and refuses an owner
            // with an outdated record.
            reply.granted = m_fleet.attached && !state.pendingWrite && reply.epoch <= item.epoch
                && !(isOwner(state) && reply.epoch == item.epoch);
            if (reply.granted) {
                state.promisedUntil = std::max(state.promisedUntil, now + promiseLifetime());
                state.lastRequestAt = now;
                state.ownerGone = false;
            }
        }
        answer.items.push_back(std::move(reply));
    }
    return answer;
}

void lease_manager::onAnswer(timestamp now, std::uint64_t id, const confirm_answer &answer)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const pending_call call = found->second;
    m_calls.erase(found);
    for (const confirm_answer::item &item : answer.items) {
        const auto owned = m_leases.find(item.key);
        if (owned == m_leases.end() || !isOwner(owned->second))
            continue;
        lease_state &state = owned->second;
        state.unansweredRequests[call.to] = 0;
        if (item.granted)
            state.confirmedUntil[call.to] = call.sentAt + m_options.confirmationLifetime;
        else if (item.epoch > state.record->epoch && now >= state.nextReadAt) {
            state.recordKnown = false; // outdated record: read it first
            state.nextReadAt = now;
        }
    }
}

void lease_manager::onFailure(timestamp, std::uint64_t id, bool connectionRefused)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const pending_call call = found->second;
    m_calls.erase(found);
    if (call.keys.empty() && connectionRefused)
        markOwnerGone(call);
    for (const std::string &key : call.keys) {
        lease_state &state = m_leases.at(key);
        ++state.unansweredRequests[call.to];
        if (connectionRefused && isOwner(state))
            state.confirmedUntil[call.to] = call.sentAt + m_options.confirmationLifetime;
    }
}

void lease_manager::onRecord(timestamp now, std::string_view key, std::uint64_t version,
                             const std::optional<lease_record> &record)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end())
        return;
    lease_state &state = found->second;
    if (version < state.version)
        return;
    const bool wasUnknown = !state.recordKnown || state.outcomeUnknown;
    if (version == state.version && !wasUnknown)
        return;
    if (state.pendingWrite && !state.outcomeUnknown)
        return; // onWritten() decides; after a conflict the record is read again
    applyRecord(now, found->first, state, version, record);
}

void lease_manager::applyRecord(timestamp now, const std::string &key, lease_state &state,
                                std::uint64_t version, std::optional<lease_record> record)
{
    const bool changed = version != state.version;
    const bool isOwnerNow = record && record->owner == m_options.self;
    const bool isOwnWrite = isOwnerNow && state.pendingWrite && *record == *state.pendingWrite;
    state.recordKnown = true;
    state.outcomeUnknown = false;
    state.version = version;
    if (changed) {
        const bool ownerChanged = !state.record || !record || state.record->owner != record->owner;
        if (ownerChanged)
            state.previousOwnerStable =
                state.record && now - state.recordSince >= m_options.stableOwnerTime;
        state.recordSince = now;
        state.unansweredRequests.clear();
        state.requestedSuccessors.clear();
        state.lastRequestAt = now;
        state.ownerGone = false;
    }
    // The previous owner no longer uses the lease, so the promise to it is void.
    if (changed && isOwnerNow && record->handedOver)
        state.promisedUntil = now;
    if (isOwnWrite)
        markNewSuccessorsConfirmed(*record, state);
    state.pendingWrite.reset();
    state.record = std::move(record);
    if (!isOwnerNow) {
        state.firstAcquisition = false;
        state.confirmedUntil.clear();
        state.unansweredRequests.clear();
        if (state.held) {
            state.held = false;
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

void lease_manager::markNewSuccessorsConfirmed(const lease_record &written,
                                               lease_state &state) const
{
    // A new successor receives the record after the write was sent and from then on waits for
    // recordPropagationTime, which is longer than a confirmation. Its confirmation is therefore
    // implied.
    for (const std::string &name : written.successors) {
        const bool isNew = !isOwner(state) || !contains(state.record->successors, name);
        if (isNew)
            state.confirmedUntil[name] = state.writeStartedAt + m_options.confirmationLifetime;
    }
}

void lease_manager::onWritten(timestamp now, std::string_view key, write_outcome outcome,
                              std::uint64_t version)
{
    const auto found = m_leases.find(key);
    if (found == m_leases.end() || !found->second.pendingWrite)
        return;
    lease_state &state = found->second;
    switch (outcome) {
    case write_outcome::Done: {
        std::optional<lease_record> record = state.pendingWrite;
        applyRecord(now, found->first, state, version, std::move(record));
        return;
    }
    case write_outcome::Conflict:
        state.pendingWrite.reset();
        state.firstAcquisition = false;
        state.recordKnown = false;
        state.nextReadAt = now;
        return;
    case write_outcome::Refused:
        state.pendingWrite.reset();
        state.firstAcquisition = false;
        state.nextWriteAt = now + writeRetryDelay;
        return;
    case write_outcome::Unknown:
        state.outcomeUnknown = true;
        state.nextReadAt = now;
        return;
    }
}

void lease_manager::leave(timestamp)
{
    m_leaving = true;
    for (auto it = m_leases.begin(); it != m_leases.end(); ++it) {
        lease_state &state = it->second;
        if (!state.held)
            continue;
        state.held = false;
        m_events.push_back({.kind = lease_event::change::Lost,
                            .key = it->first,
                            .version = state.version,
                            .record = *state.record});
    }
}

std::vector<lease_event> lease_manager::takeEvents() { return std::exchange(m_events, {}); }

} // namespace trefoil
