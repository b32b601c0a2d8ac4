#include "edge/duty_runner.h"

#include <thread>

#include <adapter/documents.h>
#include <adapter/server_calls.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

/// Time between steps: far below the time of a load.
constexpr duration stepEvery = std::chrono::milliseconds(50);
/// An order is answered within milliseconds; silence for this long means that its fate is unknown.
constexpr duration orderAnswerTime = std::chrono::milliseconds(900);
constexpr duration reportAnswerTime = std::chrono::milliseconds(600);
/// A server under order gets no requests until it reports the new weights, at most for this long.
constexpr duration loadingTime = std::chrono::seconds(6);
/// An instance silent for this long is taken off the list; it lists itself again if it lives.
constexpr duration deadMemberTime = std::chrono::seconds(8);
/// Time for a round of waiting calls to the stores of KV cache, the least of one, which the
/// platform charges when it is shorter, and the pause between calls that don't wait.
constexpr duration storePatience = std::chrono::milliseconds(800);
constexpr duration leastPatience = std::chrono::milliseconds(250);
constexpr duration storePause = std::chrono::milliseconds(400);
/// Margin on the platform's bound for two holders.
constexpr duration quietMargin = std::chrono::milliseconds(300);

const std::string dutyObject = std::string(store_kinds::duties) + "weights";

std::string_view wordOf(order_answer answer)
{
    constexpr std::array<std::string_view, 4> words {"accepted", "conflict", "refused", "unknown"};
    return words[static_cast<std::size_t>(answer)];
}

} // namespace

duty_runner::duty_runner(edge_state &state, store_client &store, work_queue &queue)
    : m_state(state), m_store(store), m_queue(queue),
      m_lease({.self = state.settings().name,
               .quietTime = state.settings().dutyQuietTime + quietMargin}),
      m_plan({})
{ }

std::vector<child_spec> duty_runner::children(peer_exchange &exchange)
{
    return {
        {.name = "duty",
         .body = [this, &exchange](const std::stop_token &stop) { return run(stop, exchange); }},
        {.name = "cache-store",
         .body = [this](const std::stop_token &stop) { return watchCacheStores(stop); }}};
}

result<void> duty_runner::watchCacheStores(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const std::vector<endpoint> stores =
            m_state.with([](edge_beliefs &beliefs) { return beliefs.board.cacheStores(); });
        bool isHolder = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isHolder = m_lease.holds(boot_clock::now());
            if (!isHolder)
                m_storeEpochs.clear();
        }
        if (stores.empty() || !isHolder) {
            std::this_thread::sleep_for(storePause);
            continue;
        }
        const timestamp start = boot_clock::now();
        for (const endpoint &store : stores)
            askCacheStore(store,
                          std::max(storePatience / static_cast<int>(stores.size()), leastPatience));
        // Calls that don't wait are charged as health checks.
        if (boot_clock::now() - start < storePause)
            std::this_thread::sleep_for(storePause);
    }
    return {};
}

void duty_runner::askCacheStore(const endpoint &store, duration patience)
{
    const result<std::uint64_t> epoch = readCacheStoreEpoch(store, patience);
    const std::string address = toString(store);
    m_state.with(
        [&](edge_beliefs &beliefs) { beliefs.board.setStoreEpoch(address, epoch.value_or(0)); });
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto before = m_storeEpochs.find(address);
    if (before != m_storeEpochs.end() && (before->second != 0) != epoch.has_value())
        writeEvent(event_line("store", epoch ? "dependency_regained" : "dependency_lost")
                       .add("dependency", "kv-cache store")
                       .add("address", address)
                       .add("reason", epoch ? "" : epoch.error().message.c_str()));
    m_storeEpochs[address] = epoch.value_or(0);
}

result<void> duty_runner::run(const std::stop_token &stop, peer_exchange &exchange)
{
    while (!stop.stop_requested()) {
        // A holder that others don't hear of is looked for by all of them.
        if (keepLease())
            exchange.sendNow();
        planWeights(exchange);
        reportRollouts();
        dropDeadMembers();
        std::this_thread::sleep_for(stepEvery);
    }
    return {};
}

duty_view duty_runner::view()
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_lease.holds(now))
        return {};
    return {.epoch = m_lease.epoch(), .loading = m_plan.loading(), .storeEpochs = m_storeEpochs};
}

bool duty_runner::keepLease()
{
    const timestamp now = boot_clock::now();
    duty_step step = duty_step::None;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const duty_record record = m_lease.record();
        int rank = 0;
        bool isHolderAlive = false;
        bool isListed = false;
        m_state.with([&](edge_beliefs &beliefs) {
            rank = beliefs.members.rank(now);
            isListed = beliefs.members.isSelfListed();
            isHolderAlive = m_lease.isKnown()
                ? beliefs.members.holdsDuty(now, record.holder, record.epoch)
                : beliefs.members.isHolderHeard(now);
        });
        // While an order is on its way the duty can't be given up.
        const bool mayHold = !m_state.isLeaving() || m_ordersOnTheWay > 0;
        const bool isReady = m_state.tables() && (isListed || m_lease.isKnown());
        step = isReady ? m_lease.next(now, rank, isHolderAlive, mayHold) : duty_step::None;
    }
    if (step == duty_step::Read)
        readLease();
    else if (step == duty_step::Write)
        writeLease(m_state.isLeaving());
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isHeld = m_lease.holds(boot_clock::now());
    const bool hasChanged = isHeld != m_wasHeld;
    if (hasChanged)
        writeEvent(event_line("duty", isHeld ? "lease_gained" : "lease_lost")
                       .add("epoch", m_lease.epoch())
                       .add("revision", m_lease.revision())
                       .add("holder", m_lease.record().holder));
    m_wasHeld = isHeld;
    return hasChanged;
}

bool duty_runner::knowsOrdersOf(const duty_record &holder)
{
    return m_state.with([&holder](edge_beliefs &beliefs) {
        return beliefs.members.reportedDuty(holder.holder, holder.epoch);
    });
}

std::map<std::string, std::uint64_t, std::less<>> duty_runner::namedTimes()
{
    const timestamp now = boot_clock::now();
    const std::uint64_t wall = wallMilliseconds();
    std::map<std::string, std::uint64_t, std::less<>> times;
    m_state.with([&](edge_beliefs &beliefs) {
        const auto &named = beliefs.board.announcedWeights();
        for (auto model = named.begin(); model != named.end(); ++model) {
            for (auto it = model->second.begin(); it != model->second.end(); ++it)
                times[weightsKey(model->first, it->first)] =
                    wall - static_cast<std::uint64_t>(toMilliseconds(now - it->second));
        }
    });
    return times;
}

void duty_runner::takeNamedTimes(const duty_record &record)
{
    const timestamp now = boot_clock::now();
    const std::uint64_t wall = wallMilliseconds();
    m_state.with([&](edge_beliefs &beliefs) {
        for (auto it = record.namedAtMs.begin(); it != record.namedAtMs.end(); ++it) {
            const std::optional<weights_name> name = parseWeightsKey(it->first);
            if (name && it->second <= wall)
                beliefs.board.addAnnouncedWeights(
                    name->model, name->version, now - std::chrono::milliseconds(wall - it->second));
        }
    });
}

void duty_runner::readLease()
{
    const result<object> got = m_store.get(dutyObject);
    if (got) {
        const std::optional<duty_record> record = parseDutyRecord(got->value);
        if (record)
            takeNamedTimes(*record);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const timestamp now = boot_clock::now();
    if (got)
        m_lease.onRead(now, parseDutyRecord(got->value), got->version);
    else if (got.error().code == platform_errors::notFound)
        m_lease.onRead(now, std::nullopt, 0);
}

void duty_runner::writeLease(bool release)
{
    duty_record record;
    duty_record before;
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_lease.record();
        record = m_lease.startWrite(boot_clock::now(), release);
        revision = m_lease.revision();
    }
    record.namedAtMs = namedTimes();
    const bool knowsOrders = knowsOrdersOf(before);
    const result<std::uint64_t> written = m_store.put(dutyObject, toText(record), revision);
    if (written)
        m_state.noteStoreHeard(boot_clock::now());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_lease.onWritten(boot_clock::now(),
                      written ? std::optional<std::uint64_t>(*written) : std::nullopt, knowsOrders);
    if (!written)
        writeEvent(event_line("duty", "lease_write_failed")
                       .add("epoch", record.epoch)
                       .add("revision", revision)
                       .add("reason", written.error().code));
}

void duty_runner::planWeights(peer_exchange &exchange)
{
    const timestamp now = boot_clock::now();
    weights_plan::actions due;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_lease.mayAct(now) || m_state.isLeaving())
            return;
        if (m_planEpoch != m_lease.epoch()) {
            m_plan.reset();
            m_planEpoch = m_lease.epoch();
        }
        std::vector<registered_server> servers;
        weights_plan::inputs known;
        const duration quietTime = m_state.settings().dutyQuietTime + quietMargin;
        m_state.with([&](edge_beliefs &beliefs) {
            servers = beliefs.board.servers();
            known.newest = beliefs.board.newestWeights();
            for (std::string &server : beliefs.board.unreachableServers())
                known.unreachable.insert(std::move(server));
            for (const registered_server &server : servers)
                known.running[server.id] = beliefs.board.totalLoad(now, server.id).running;
            for (auto it = beliefs.orderedElsewhere.begin(); it != beliefs.orderedElsewhere.end();
                 ++it)
                known.blockedUntil[it->first] = it->second + quietTime;
        });
        known.servers = servers;
        due = m_plan.next(now, m_lease.epoch(), known);
    }
    if (!due.orders.empty()) {
        m_state.with([&](edge_beliefs &beliefs) {
            for (const weights_order &each : due.orders)
                beliefs.board.markLoading(each.server, now + loadingTime);
        });
        exchange.sendNow();
    }
    for (const weights_order &each : due.orders) {
        m_ordersOnTheWay += 1;
        m_queue.post([this, each] { order(each); });
    }
    for (const registered_server &server : due.serversToPoll)
        m_queue.post([this, server] { ask(server); });
}

void duty_runner::order(const weights_order &each)
{
    order_answer answer = order_answer::Unknown;
    bool mayAct = false;
    {
        // The queue or a pause may have taken longer than the lease lives.
        const std::lock_guard<std::mutex> lock(m_mutex);
        mayAct = m_lease.mayAct(boot_clock::now()) && m_lease.epoch() == each.epoch;
    }
    if (mayAct)
        answer = sendOrder(each, m_state.settings().name, orderAnswerTime);
    const timestamp now = boot_clock::now();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_plan.onAnswer(now, each.server, answer);
    }
    if (answer != order_answer::Accepted)
        m_state.with([&](edge_beliefs &beliefs) { beliefs.board.markLoading(each.server, now); });
    m_ordersOnTheWay -= 1;
    writeEvent(event_line("duty", "weights_ordered")
                   .add("server", each.server)
                   .add("model", each.model)
                   .add("version", each.version)
                   .add("expected_orders", each.expectedOrders)
                   .add("epoch", each.epoch)
                   .add("answer", mayAct ? wordOf(answer) : "not sent: the lease is over"));
}

void duty_runner::ask(const registered_server &server)
{
    const result<order_state> state = readServerState(server, reportAnswerTime);
    const timestamp now = boot_clock::now();
    if (state) {
        m_state.with([&](edge_beliefs &beliefs) {
            for (auto it = state->weights.begin(); it != state->weights.end(); ++it)
                beliefs.board.onWeightsObserved(boot_clock::now(), server.id, it->first,
                                                it->second);
        });
    } else {
        writeEvent(event_line("duty", "server_state_unknown")
                       .add("server", server.id)
                       .add("reason", state.error().message));
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_plan.onState(now, server.id, state ? &*state : nullptr);
}

void duty_runner::reportRollouts()
{
    const timestamp now = boot_clock::now();
    std::vector<rollout_request> moves;
    std::map<std::string, rollout_stage, std::less<>> stages;
    m_state.with([&](edge_beliefs &beliefs) {
        for (const std::string &service : beliefs.releases.step(now))
            writeEvent(event_line("rollout", "stage_changed")
                           .add("service", service)
                           .add("stage", toString(*beliefs.releases.stage(service))));
        for (const rollout_request &request : beliefs.releases.requests()) {
            moves.push_back(request);
            stages[request.service] = *beliefs.releases.stage(request.service);
        }
    });
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_lease.mayAct(now))
            return;
    }
    for (const rollout_request &move : moves) {
        const rollout_stage stage = stages[move.service];
        const auto written = m_writtenStages.find(move.service + "/" + move.release);
        const bool isWritten = written != m_writtenStages.end() && written->second == stage;
        if (isWritten || (move.reported && *move.reported == stage))
            continue;
        const std::string name = store_kinds::rollouts + move.service + "/status";
        const result<std::uint64_t> outcome =
            m_store.put(name, encodeRolloutStatus(stage, move.release), 0);
        if (outcome)
            m_writtenStages[move.service + "/" + move.release] = stage;
        writeEvent(event_line("rollout", "status_written")
                       .add("service", move.service)
                       .add("stage", toString(stage))
                       .add("outcome", outcome ? "ok" : outcome.error().code.c_str()));
    }
}

void duty_runner::dropDeadMembers()
{
    const timestamp now = boot_clock::now();
    std::vector<std::string> dead;
    m_state.with([&](edge_beliefs &beliefs) {
        for (const member_entry &other : beliefs.members.others()) {
            if (beliefs.members.isAlive(now, other.name)) {
                m_silentSince.erase(other.name);
                continue;
            }
            const timestamp since = m_silentSince.try_emplace(other.name, now).first->second;
            if (now - since > deadMemberTime)
                dead.push_back(other.name);
        }
    });
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_lease.mayAct(now))
            return;
    }
    for (const std::string &name : dead) {
        m_silentSince.erase(name);
        const std::string objectName = store_kinds::instances + name;
        const result<object> entry = m_store.get(objectName);
        const result<void> removed = entry ? m_store.remove(objectName, entry->version)
                                           : result<void>(tl::unexpected(entry.error()));
        writeEvent(event_line("members", "dead_member_removed")
                       .add("member", name)
                       .add("outcome", removed ? "ok" : removed.error().code.c_str()));
    }
}

} // namespace trefoil
