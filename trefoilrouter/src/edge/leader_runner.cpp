#include "edge/leader_runner.h"

#include <algorithm>
#include <thread>

#include <adapter/documents.h>
#include <adapter/server_calls.h>
#include <platform/store_version.h>
#include <telemetry/event_log.h>

#include "edge/server_relay.h"

namespace trefoil {

namespace {

/// Interval between steps: far shorter than a load of weights.
constexpr duration stepInterval = std::chrono::milliseconds(50);
/// Orders are answered within milliseconds. After this time it is unknown whether the server
/// accepted the order.
constexpr duration orderTimeout = std::chrono::milliseconds(900);
constexpr duration stateQueryTimeout = std::chrono::milliseconds(600);
/// Longest time for which a server that was ordered to load gets no requests; it ends early when
/// the server reports the new weights.
constexpr duration maxLoadingTime = std::chrono::seconds(6);
/// Time between writes of a rollout's stage that the store didn't acknowledge.
constexpr duration stageWriteInterval = std::chrono::milliseconds(400);
/// Silence after which an instance is removed from the list; it registers again if it is alive.
constexpr duration deadMemberSilence = std::chrono::seconds(8);
/// Time for one round of long polls of the KV cache stores, the minimum per poll (the platform
/// charges for shorter ones), and the pause between rounds that return early.
constexpr duration cacheStoreWaitTime = std::chrono::milliseconds(800);
constexpr duration minCacheStoreWaitTime = std::chrono::milliseconds(250);
constexpr duration cacheStorePause = std::chrono::milliseconds(400);
/// Added to the time that the platform requires between orders of two leaders.
constexpr duration quietMargin = std::chrono::milliseconds(300);

const std::string leaseObject = std::string(store_kinds::leases) + "weights";

std::string_view answerName(order_answer answer)
{
    constexpr std::array<std::string_view, 4> words {"accepted", "conflict", "refused", "unknown"};
    return words[static_cast<std::size_t>(answer)];
}

/// Logs a stage with the outcomes that it was decided on.
void logStage(const release_shares &releases, const std::string &service)
{
    const std::string release = releases.request(service)->release;
    const outcome_counts counts = releases.outcomes(service, release);
    const bad_version_verdict verdict = releases.verdict(service);
    const outcome_counts baseline = releases.outcomes(service, releases.baseline(service));
    writeEvent(event_line("rollout", "stage_changed")
                   .add("service", service)
                   .add("release", release)
                   .add("stage", toString(*releases.stage(service)))
                   .add("reason", verdict.reason)
                   .add("route", verdict.route)
                   .add("requests", counts.requests)
                   .add("failures", counts.failures)
                   .add("slow", counts.slow)
                   .add("baseline_requests", baseline.requests)
                   .add("baseline_failures", baseline.failures)
                   .add("baseline_slow", baseline.slow));
}

} // namespace

leader_runner::leader_runner(edge_state &state, store_client &store, work_queue &queue,
                             work_queue &failingQueue)
    : m_state(state), m_store(store), m_queue(queue), m_failingQueue(failingQueue),
      m_lease({.self = state.settings().name,
               .quietTime = state.settings().leaderQuietTime + quietMargin}),
      m_plan({})
{ }

std::vector<child_spec> leader_runner::children(peer_exchange &exchange)
{
    return {
        {.name = "duty",
         .body = [this, &exchange](const std::stop_token &stop) { return run(stop, exchange); }},
        {.name = "cache-store",
         .body = [this](const std::stop_token &stop) { return watchCacheStores(stop); }}};
}

result<void> leader_runner::watchCacheStores(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const std::vector<endpoint> stores =
            m_state.with([](routing_state &routing) { return routing.balancer.cacheStores(); });
        bool isLeader = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            isLeader = m_lease.holds(boot_clock::now());
            if (!isLeader)
                m_cacheStoreEpochs.clear();
        }
        if (stores.empty() || !isLeader) {
            std::this_thread::sleep_for(cacheStorePause);
            continue;
        }
        const timestamp start = boot_clock::now();
        for (const endpoint &store : stores)
            pollCacheStore(store,
                           std::max(cacheStoreWaitTime / static_cast<int>(stores.size()),
                                    minCacheStoreWaitTime));
        // The platform charges calls that return at once as health checks.
        if (boot_clock::now() - start < cacheStorePause)
            std::this_thread::sleep_for(cacheStorePause);
    }
    return {};
}

void leader_runner::pollCacheStore(const endpoint &store, duration waitTime)
{
    const result<std::uint64_t> epoch = readCacheStoreEpoch(store, waitTime);
    const std::string address = toString(store);
    m_state.with([&](routing_state &routing) {
        routing.balancer.setStoreEpoch(address, epoch.value_or(0));
    });
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto before = m_cacheStoreEpochs.find(address);
    if (before != m_cacheStoreEpochs.end() && (before->second != 0) != epoch.has_value())
        writeEvent(event_line("store", epoch ? "dependency_regained" : "dependency_lost")
                       .add("dependency", "kv-cache store")
                       .add("address", address)
                       .add("reason", epoch ? "" : epoch.error().message.c_str()));
    m_cacheStoreEpochs[address] = epoch.value_or(0);
}

result<void> leader_runner::run(const std::stop_token &stop, peer_exchange &exchange)
{
    while (!stop.stop_requested()) {
        // Without this report all other instances would look for a new leader.
        if (keepLease())
            exchange.sendNow();
        planWeights(exchange);
        reportRollouts();
        removeDeadMembers();
        std::this_thread::sleep_for(stepInterval);
    }
    return {};
}

leader_report leader_runner::report()
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_lease.holds(now))
        return {};
    return {
        .epoch = m_lease.epoch(), .loading = m_plan.loading(), .storeEpochs = m_cacheStoreEpochs};
}

bool leader_runner::keepLease()
{
    const timestamp now = boot_clock::now();
    store_call call = store_call::None;
    // A leader that doesn't reach the servers can't have them load weights.
    const bool isResigning = m_state.isLeaving() || m_state.with([](const routing_state &routing) {
        return routing.balancer.reach().isCutOff();
    });
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const leader_record record = m_lease.record();
        int rank = 0;
        bool isLeaderAlive = false;
        bool isListed = false;
        m_state.with([&](routing_state &routing) {
            rank = routing.members.rank(now);
            isListed = routing.members.isSelfListed();
            m_lease.observe(m_store.era(), routing.members.highestLeaderEpoch());
            isLeaderAlive = m_lease.isKnown()
                ? routing.members.isLeaderHeard(now, record.holder, record.epoch)
                : routing.members.isAnyLeaderHeard(now);
        });
        // The lease can't be given up while an order is in flight.
        const bool mayLead = !isResigning || m_ordersInFlight > 0;
        const bool isReady = m_state.tables() && (isListed || m_lease.isKnown());
        call = isReady ? m_lease.next(now, rank, isLeaderAlive, mayLead) : store_call::None;
    }
    if (call == store_call::Read)
        readLease();
    else if (call == store_call::Write)
        writeLease(isResigning);
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool isLeader = m_lease.holds(boot_clock::now());
    const bool hasChanged = isLeader != m_wasLeader;
    if (hasChanged)
        writeEvent(event_line("duty", isLeader ? "lease_gained" : "lease_lost")
                       .add("epoch", m_lease.epoch())
                       .add("revision", store_version::revision(m_lease.revision()))
                       .add("holder", m_lease.record().holder));
    m_wasLeader = isLeader;
    return hasChanged;
}

bool leader_runner::knowsOrdersOf(const leader_record &previous)
{
    return m_state.with([&previous](routing_state &routing) {
        return routing.members.reportedLeadership(previous.holder, previous.epoch);
    });
}

std::map<std::string, std::uint64_t, std::less<>> leader_runner::targetWeightsTimes()
{
    const timestamp now = boot_clock::now();
    const std::uint64_t wall = wallMilliseconds();
    std::map<std::string, std::uint64_t, std::less<>> times;
    m_state.with([&](routing_state &routing) {
        const auto &targetWeights = routing.balancer.targetWeights();
        for (auto model = targetWeights.begin(); model != targetWeights.end(); ++model) {
            for (auto it = model->second.begin(); it != model->second.end(); ++it)
                times[weightsKey(model->first, it->first)] =
                    wall - static_cast<std::uint64_t>(toMilliseconds(now - it->second));
        }
    });
    return times;
}

void leader_runner::applyTargetWeightsTimes(const leader_record &record)
{
    const timestamp now = boot_clock::now();
    const std::uint64_t wall = wallMilliseconds();
    m_state.with([&](routing_state &routing) {
        for (auto it = record.targetSetAtMs.begin(); it != record.targetSetAtMs.end(); ++it) {
            const std::optional<weights_key> key = parseWeightsKey(it->first);
            if (key && it->second <= wall)
                routing.balancer.addTargetWeights(
                    key->model, key->version, now - std::chrono::milliseconds(wall - it->second));
        }
    });
}

void leader_runner::readLease()
{
    const result<object> got = m_store.get(leaseObject);
    if (got) {
        const std::optional<leader_record> record = parseLeaderRecord(got->value);
        if (record)
            applyTargetWeightsTimes(*record);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    const timestamp now = boot_clock::now();
    if (got)
        m_lease.onRead(now, parseLeaderRecord(got->value), got->version);
    else if (got.error().code == platform_errors::notFound)
        m_lease.onRead(now, std::nullopt, 0);
}

void leader_runner::writeLease(bool release)
{
    leader_record record;
    leader_record before;
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        before = m_lease.record();
        record = m_lease.startWrite(boot_clock::now(), release);
        revision = m_lease.revision();
    }
    record.targetSetAtMs = targetWeightsTimes();
    const bool knowsOrders = knowsOrdersOf(before);
    const result<std::uint64_t> written = m_store.put(leaseObject, toText(record), revision);
    if (written)
        m_state.recordStoreAnswer(boot_clock::now());
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_lease.onWritten(boot_clock::now(),
                      written ? std::optional<std::uint64_t>(*written) : std::nullopt, knowsOrders);
    if (!written)
        writeEvent(event_line("duty", "lease_write_failed")
                       .add("epoch", record.epoch)
                       .add("revision", store_version::revision(revision))
                       .add("reason", written.error().code));
}

void leader_runner::planWeights(peer_exchange &exchange)
{
    const timestamp now = boot_clock::now();
    weights_plan::actions planned;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_lease.mayAct(now) || m_state.isLeaving())
            return;
        if (m_planEpoch != m_lease.epoch()) {
            m_plan.reset();
            m_planEpoch = m_lease.epoch();
        }
        std::vector<registered_server> servers;
        weights_plan::inputs planInputs;
        const duration quietTime = m_state.settings().leaderQuietTime + quietMargin;
        m_state.with([&](routing_state &routing) {
            servers = routing.balancer.servers();
            planInputs.targetWeights = routing.balancer.newestTargetWeights();
            for (std::string &server : routing.balancer.unreachableServers())
                planInputs.unreachable.insert(std::move(server));
            for (const registered_server &server : servers)
                planInputs.running[server.id] = routing.balancer.totalLoad(now, server.id).running;
            for (auto it = routing.loadsByOtherLeaders.begin();
                 it != routing.loadsByOtherLeaders.end(); ++it)
                planInputs.blockedUntil[it->first] = it->second + quietTime;
        });
        planInputs.servers = servers;
        planned = m_plan.next(now, m_lease.epoch(), planInputs);
    }
    for (const completed_load &load : planned.completed)
        writeEvent(event_line("duty", "weights_loaded")
                       .add("server", load.server)
                       .add("model", load.model)
                       .add("version", load.version)
                       .add("ms", toMilliseconds(load.time)));
    if (!planned.orders.empty()) {
        m_state.with([&](routing_state &routing) {
            for (const weights_order &each : planned.orders)
                routing.balancer.markLoading(each.server, now + maxLoadingTime);
        });
        exchange.sendNow();
    }
    for (const weights_order &each : planned.orders) {
        m_ordersInFlight += 1;
        m_queue.post([this, each] { deliverOrder(each); });
    }
    for (const registered_server &server : planned.serversToPoll)
        m_queue.post([this, server] { queryServer(server); });
    for (const registered_server &server : planned.failingServersToPoll)
        m_failingQueue.post([this, server] { queryServer(server); });
}

void leader_runner::deliverOrder(const weights_order &order)
{
    order_answer answer = order_answer::Unknown;
    duration timeLeft {};
    {
        // The lease may have expired while the order was queued or the process was suspended.
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_lease.epoch() == order.epoch)
            timeLeft = m_lease.actingTimeLeft(boot_clock::now());
    }
    // An order that is still under way when the lease ends would reach the server after one of the
    // next lease, which has a higher fencing token.
    const bool mayAct = timeLeft > duration::zero();
    if (mayAct)
        answer = sendOrder(order, m_state.settings().name, std::min(orderTimeout, timeLeft));
    const timestamp now = boot_clock::now();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_plan.onAnswer(now, order.server, answer);
    }
    if (answer != order_answer::Accepted)
        m_state.with(
            [&](routing_state &routing) { routing.balancer.markLoading(order.server, now); });
    m_ordersInFlight -= 1;
    writeEvent(event_line("duty", "weights_ordered")
                   .add("server", order.server)
                   .add("model", order.model)
                   .add("version", order.version)
                   .add("expected_orders", order.expectedOrders)
                   .add("epoch", order.epoch)
                   .add("answer", mayAct ? answerName(answer) : "not sent: the lease is over"));
}

void leader_runner::queryServer(const registered_server &server)
{
    const timestamp startedAt = boot_clock::now();
    const result<order_state> state = readServerState(server, stateQueryTimeout);
    const timestamp now = boot_clock::now();
    const bool isUnreachable = !state
        && (state.error().code == connect_errors::refused
            || state.error().code == connect_errors::unreachable);
    if (state || isUnreachable)
        recordConnection(m_state, startedAt, server.id, state.has_value());
    if (state) {
        m_state.with([&](routing_state &routing) {
            for (auto it = state->weights.begin(); it != state->weights.end(); ++it)
                routing.balancer.onWeightsObserved(boot_clock::now(), server.id, it->first,
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

void leader_runner::reportRollouts()
{
    const timestamp now = boot_clock::now();
    std::vector<rollout_request> rollouts;
    std::map<std::string, rollout_stage, std::less<>> stages;
    m_state.with([&](routing_state &routing) {
        for (const std::string &service : routing.releases.step(now))
            logStage(routing.releases, service);
        for (const rollout_request &request : routing.releases.requests()) {
            rollouts.push_back(request);
            stages[request.service] = *routing.releases.stage(request.service);
        }
    });
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_lease.mayAct(now))
            return;
    }
    for (const rollout_request &rollout : rollouts) {
        const rollout_stage stage = stages[rollout.service];
        if (rollout.reported && *rollout.reported == stage)
            continue;
        stage_write &last = m_stageWrites[rollout.service + "/" + rollout.release];
        const std::uint64_t era = m_store.era();
        const bool isSame = last.stage == stage && last.era == era && last.at != timestamp {};
        if (isSame && (last.isDone || now - last.at < stageWriteInterval))
            continue;
        const std::string name = store_kinds::rollouts + rollout.service + "/status";
        const result<std::uint64_t> outcome =
            m_store.put(name, encodeRolloutStatus(stage, rollout.release), 0);
        last = {.stage = stage, .isDone = outcome.has_value(), .at = now, .era = era};
        writeEvent(event_line("rollout", "status_written")
                       .add("service", rollout.service)
                       .add("stage", toString(stage))
                       .add("outcome", outcome ? "ok" : outcome.error().code.c_str()));
    }
}

void leader_runner::removeDeadMembers()
{
    const timestamp now = boot_clock::now();
    std::vector<std::string> dead;
    m_state.with([&](routing_state &routing) {
        for (const member_entry &other : routing.members.others()) {
            if (routing.members.isAlive(now, other.name)) {
                m_silentSince.erase(other.name);
                continue;
            }
            const timestamp since = m_silentSince.try_emplace(other.name, now).first->second;
            if (now - since > deadMemberSilence)
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
