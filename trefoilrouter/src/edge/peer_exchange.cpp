#include "edge/peer_exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

/// Interval between reports: a fifth of the silence after which a member is considered dead.
constexpr duration baseReportInterval = std::chrono::milliseconds(200);
/// Added to the interval per other instance, so that reports don't saturate the links of a large
/// fleet.
constexpr duration reportIntervalPerPeer = std::chrono::milliseconds(3);
/// Interval of instances without callers in a large fleet. Such an instance is considered dead
/// after three intervals, which is before its removal from the list.
constexpr duration idleReportInterval = std::chrono::milliseconds(1500);
/// How long an instance counts as busy after a request.
constexpr duration busyTime = std::chrono::seconds(3);
/// How long a change of weights is reported: many reports carry it, so that lost datagrams do no
/// harm.
constexpr duration weightsReportTime = std::chrono::seconds(3);
/// How long a crash and a cleared prompt part are reported: many reports carry them.
constexpr duration crashReportTime = std::chrono::seconds(3);
/// Limit on the refused requests in a report.
constexpr std::size_t maxRefusedRequests = 32;
/// How long a server gets no requests after a report that another instance has it load weights.
constexpr duration loadingReportLifetime = std::chrono::milliseconds(1500);
/// Interval between log lines about the teams near their limits.
constexpr duration accountInterval = std::chrono::seconds(1);
constexpr std::size_t maxDatagramBytes = 60000;
/// Time beyond the intended wait after which the process may have been paused.
constexpr duration maxWakeDelay = std::chrono::seconds(1);
/// First byte of a report that its receiver forwards within its zone; other reports begin with a
/// brace.
constexpr char forwardMark = '+';

std::uint64_t ageMs(timestamp now, timestamp at)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMilliseconds(now - at)));
}

/// Returns the time from @p now until @p next, rounded up to the resolution of a poll.
Poco::Timespan timespanUntil(timestamp now, timestamp next)
{
    const std::int64_t ms = std::chrono::ceil<std::chrono::milliseconds>(next - now).count();
    return Poco::Timespan(std::max<std::int64_t>(ms, 0) * Poco::Timespan::MILLISECONDS);
}

/// Adds the crashes that this instance saw, and what it knows of the prompt parts suspected of
/// them.
void addCrashes(timestamp now, const routing_state &routing, peer_report &report)
{
    for (const std::pair<timestamp, crash_record> &each : routing.localCrashes) {
        if (now - each.first > crashReportTime)
            continue;
        report.crashes.push_back(each.second);
        report.crashes.back().ageMs = ageMs(now, each.first);
    }
    for (const refused_request &each : routing.crashes.refusedRequests(now, maxRefusedRequests)) {
        refused_request_record refused {.request = each.request, .crashAgesMs = {}};
        for (auto it = each.crashes.begin(); it != each.crashes.end(); ++it)
            refused.crashAgesMs[it->first] = ageMs(now, it->second);
        report.refusedRequests.push_back(std::move(refused));
    }
    for (const blocked_part &each : routing.partCrashes.blockedParts()) {
        blocked_part_record blocked {.part = each.part, .crashAgesMs = {}};
        for (auto it = each.crashes.begin(); it != each.crashes.end(); ++it)
            blocked.crashAgesMs[it->first] = ageMs(now, it->second);
        report.blockedParts.push_back(std::move(blocked));
    }
    const std::map<std::uint64_t, timestamp> cleared = routing.partCrashes.clearedParts();
    for (auto it = cleared.begin(); it != cleared.end(); ++it) {
        if (now - it->second <= crashReportTime)
            report.clearedParts.push_back({.part = it->first, .ageMs = ageMs(now, it->second)});
    }
}

} // namespace

peer_exchange::peer_exchange(edge_state &state, store_watch &watch,
                             std::function<leader_report()> leaderReport)
    : m_state(state), m_watch(watch), m_leaderReport(std::move(leaderReport))
{ }

child_spec peer_exchange::child()
{
    return {.name = "peers", .body = [this](const std::stop_token &stop) { return run(stop); }};
}

duration peer_exchange::reportInterval(bool isLeader) const
{
    const duration interval = baseReportInterval + reportIntervalPerPeer * m_otherCount.load();
    const bool isBusy = isLeader || m_state.isLeaving() || m_state.openRequests() > 0
        || boot_clock::now() - m_state.lastRequestAt() < busyTime;
    return m_isLargeFleet && !isBusy ? std::max(interval, idleReportInterval) : interval;
}

result<void> peer_exchange::run(const std::stop_token &stop)
{
    const endpoint &own = m_state.settings().peers;
    try {
        Poco::Net::DatagramSocket &socket = m_socket;
        socket.bind(Poco::Net::SocketAddress(own.host, own.port), true);
        // Unlike Socket::poll(), it keeps its descriptor from one call to the next.
        Poco::Net::PollSet readable;
        readable.add(socket, Poco::Net::PollSet::POLL_READ);
        std::string buffer(maxDatagramBytes, '\0');
        timestamp sentAt {};
        timestamp wokenAt = boot_clock::now();
        while (!stop.stop_requested()) {
            const timestamp now = boot_clock::now();
            // The interval shrinks when callers arrive, also during a wait.
            timestamp next = sentAt + reportInterval(m_isLeader);
            if (now >= next) {
                sendNow();
                sentAt = now;
                next = now + reportInterval(m_isLeader);
            }
            const bool isReadable = !readable.poll(timespanUntil(now, next)).empty();
            const timestamp previouslyWokenAt = std::exchange(wokenAt, boot_clock::now());
            const duration waited = std::max<duration>(next - now, duration::zero());
            if (wokenAt - previouslyWokenAt > waited + maxWakeDelay)
                m_mayBeQueued = true;
            else if (!isReadable)
                m_mayBeQueued = false;
            if (!isReadable)
                continue;
            const int size = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (size > 0)
                receive(wokenAt,
                        std::string_view(buffer).substr(0, static_cast<std::size_t>(size)));
        }
        return {};
    } catch (const Poco::Exception &problem) {
        return failure("peers", "reports on " + toString(own) + ": " + problem.displayText());
    }
}

void peer_exchange::sendNow()
{
    const leader_report leaderReport = m_leaderReport();
    m_isLeader = leaderReport.epoch != 0;
    const std::lock_guard<std::mutex> lock(m_sendMutex);
    const timestamp now = boot_clock::now();
    peer_report report {.from = m_state.settings().name,
                        .incarnation = m_state.incarnation(),
                        .uptimeMs = ageMs(now, m_state.startedAt()),
                        .sequence = ++m_sequence,
                        .isLeaving = m_state.isLeaving(),
                        .periodMs = toSeconds(reportInterval(m_isLeader)) * 1000,
                        .revisions = m_watch.newestChanges(),
                        .outdated = m_watch.outdatedCounts(),
                        .loading = leaderReport.loading,
                        .lostKinds = m_watch.lostKinds(),
                        .leaderEpoch = leaderReport.epoch,
                        .storeEpochs = leaderReport.storeEpochs};
    std::vector<report_target> targets;
    m_state.with([&](routing_state &routing) {
        m_otherCount = routing.members.otherCount();
        m_isLargeFleet = routing.members.isLarge();
        targets = routing.members.reportTargets(now, m_sequence);
        if (routing.storeAnsweredAt != timestamp {})
            report.storeHeardAgoMs =
                static_cast<std::uint64_t>(toMilliseconds(now - routing.storeAnsweredAt));
        const std::optional<timestamp> confirmedAt =
            routing.configurationContact.confirmationForOthers();
        if (confirmedAt)
            report.configurationConfirmedAgoMs = ageMs(now, *confirmedAt);
        report.isCutOff = routing.balancer.reach().isCutOff();
        report.delayMs = toSeconds(routing.schedulingDelay) * 1000;
        report.load = routing.balancer.ownLoad();
        report.admitted = routing.limits.totals();
        report.demandRates = routing.limits.takeDemandRates(now);
        report.levels = routing.limits.takeLevels(now);
        server_statements &statements = routing.balancer.statements();
        report.serverLimits = statements.limits(now);
        report.leavingServers = statements.leavingServers();
        report.serverRequests = statements.requests().totals();
        report.serverDemandRates = statements.requests().takeDemandRates(now);
        report.serverLevels = statements.requests().takeLevels(now);
        report.coldDemandRates = routing.balancer.coldServers().takeDemandRates(now);
        report.gone = routing.balancer.goneServers();
        // Others would probe all servers because of links that only this instance has lost.
        if (!report.isCutOff)
            report.unreachable = routing.balancer.unreachableServers();
        report.placed = routing.balancer.takeCachePlacements();
        report.prefillRates = routing.balancer.takePrefillRates();
        addCrashes(now, routing, report);
        for (auto it = routing.localOutcomes.begin(); it != routing.localOutcomes.end(); ++it)
            report.releases.push_back(it->second);
        for (const bad_release &each : routing.releases.badReleases())
            report.badReleases.push_back({.service = each.service,
                                          .release = each.release,
                                          .ageMs = ageMs(now, each.foundAt)});
        for (const registered_server &server :
             routing.balancer.serversWithNewWeights(now - weightsReportTime)) {
            for (auto it = server.weights.begin(); it != server.weights.end(); ++it)
                report.weights[server.id + "=" + it->first] = it->second;
        }
        const auto &targetWeights = routing.balancer.targetWeights();
        for (auto model = targetWeights.begin(); model != targetWeights.end(); ++model) {
            for (auto it = model->second.begin(); it != model->second.end(); ++it)
                report.targetAgeMs[weightsKey(model->first, it->first)] =
                    static_cast<std::uint64_t>(
                        std::max<std::int64_t>(0, toMilliseconds(now - it->second)));
        }
        for (const member_entry &other : routing.members.others()) {
            const bool isAlive = routing.members.isAlive(now, other.name);
            const auto previous = m_wasAlive.find(other.name);
            if (previous != m_wasAlive.end() && previous->second != isAlive)
                writeEvent(event_line("members", isAlive ? "member_back" : "member_suspected")
                               .add("member", other.name));
            m_wasAlive[other.name] = isAlive;
        }
    });
    logLimitAccounts(now);
    const std::string text = toText(report);
    const std::string forwarded = forwardMark + text;
    for (const report_target &target : targets)
        sendTo(target.to, target.isForwarded ? forwarded : text);
}

void peer_exchange::logLimitAccounts(timestamp now)
{
    if (now - m_accountsAt < accountInterval)
        return;
    m_accountsAt = now;
    std::vector<event_line> lines;
    team_limits::limit_units units;
    m_state.with([&](routing_state &routing) {
        const std::map<std::string, team_limits::limit_account, std::less<>> accounts =
            routing.limits.takeAccounts(now);
        units = routing.limits.takeUnits();
        for (auto it = accounts.begin(); it != accounts.end(); ++it) {
            const team_limits::limit_state state = routing.limits.limitState(now, it->first);
            lines.push_back(event_line("limits", "account"));
            lines.back()
                .add("team", it->first)
                .add("rate", state.rate)
                .add("level", state.level)
                .add("own_part", state.share)
                .add("admitted", it->second.admitted)
                .add("refused", it->second.refused)
                .add("refused_unheard", it->second.refusedUnheard)
                .add("refunded", it->second.refunded)
                .add("charged_for_others", it->second.chargedForPeers)
                .add("charged_for_silent", it->second.chargedForSilent)
                .add("not_charged", it->second.notCharged)
                .add("unheard", state.unheard)
                .add("unheard_bound", state.unheardBound)
                .add("instances_heard", state.heardPeers)
                .add("instances_known", state.knownPeers);
        }
    });
    for (const event_line &line : lines)
        writeEvent(line);
    const auto count = [this](std::string_view result, double more) {
        m_state.metrics()
            .counterOf("trefoil_team_limit_units_total", result)
            .add(static_cast<std::uint64_t>(std::llround(more)));
    };
    count("result=\"admitted\"", units.admitted);
    count("result=\"refused\"", units.refused - units.refusedUnheard);
    count("result=\"refused_unheard\"", units.refusedUnheard);
    count("result=\"refunded\"", units.refunded);
    logColdAccounts(now);
}

void peer_exchange::logColdAccounts(timestamp now)
{
    std::vector<event_line> lines;
    m_state.with([&](routing_state &routing) {
        cold_servers &cold = routing.balancer.coldServers();
        const std::map<std::string, cold_servers::cold_account, std::less<>> accounts =
            cold.takeAccounts(now);
        for (auto it = accounts.begin(); it != accounts.end(); ++it) {
            lines.push_back(event_line("zones", "cold_account"));
            lines.back()
                .add("server", it->first)
                .add("cold_ms", toMilliseconds(it->second.coldFor))
                .add("own_rate", it->second.rate)
                .add("admitted", it->second.admitted)
                .add("refused", it->second.refused)
                .add("instances_heard", std::uint64_t {cold.heardPeers(now)})
                .add("instances_known", std::uint64_t {cold.knownPeers()});
            m_state.metrics()
                .counterOf("trefoil_cold_requests_total", "result=\"admitted\"")
                .add(it->second.admitted);
            m_state.metrics()
                .counterOf("trefoil_cold_requests_total", "result=\"refused\"")
                .add(it->second.refused);
        }
        if (m_state.settings().hasContract(contracts::zoneEvacuation))
            m_state.metrics()
                .gaugeOf("trefoil_servers_cold")
                .set(static_cast<std::int64_t>(cold.count(now)));
    });
    for (const event_line &line : lines)
        writeEvent(line);
}

void peer_exchange::sendTo(const endpoint &peer, std::string_view datagram)
{
    try {
        m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                        Poco::Net::SocketAddress(peer.host, peer.port));
    } catch (const Poco::Exception &) {
        // The peer is gone or the link is full; the next report repeats the content.
        m_state.metrics().counterOf("trefoil_reports_unsent_total").add();
    }
}

void peer_exchange::receive(timestamp now, std::string_view datagram)
{
    const bool isForwarded = datagram.starts_with(forwardMark);
    if (isForwarded)
        datagram.remove_prefix(1);
    const std::optional<peer_report> report = parsePeerReport(datagram);
    if (!report) {
        writeEvent(event_line("members", "report_malformed")
                       .add("bytes", std::uint64_t {datagram.size()}));
        return;
    }
    if (isForwarded) {
        m_state.metrics().counterOf("trefoil_reports_forwarded_total").add();
        const std::vector<endpoint> targets = m_state.with(
            [&](routing_state &routing) { return routing.members.forwardTargets(report->from); });
        for (const endpoint &target : targets)
            sendTo(target, datagram);
    }
    applyReport(now, *report);
}

void peer_exchange::applyReport(timestamp now, const peer_report &report)
{
    store_watch::copy_source peer;
    const bool isNew = m_state.with([&](routing_state &routing) {
        // Instances that are leaving are no longer listed, but may be the only ones that know of a
        // crash, and still admit requests.
        applyCrashes(now, report, routing);
        applyLimits(now, report, routing);
        if (!routing.members.recordReport(now, report.from, report.incarnation, report.sequence,
                                          report.isLeaving, report.leaderEpoch,
                                          fromSeconds(report.periodMs / 1000)))
            return false;
        peer = {.address = routing.members.peerAddress(report.from),
                .capacity = routing.members.capacity(report.from)};
        routing.members.recordSchedulingDelay(report.from, fromSeconds(report.delayMs / 1000));
        routing.members.recordCutOff(report.from, report.isCutOff);
        routing.members.recordLostKinds(report.from, report.lostKinds);
        applyServers(now, report, routing);
        applyWeights(now, report, routing);
        applyOutcomes(now, report, routing);
        return true;
    });
    if (!isNew)
        return;
    m_watch.recordPeerChanges(now, peer, report.revisions, report.outdated);
    applyConfirmation(now, report);
}

void peer_exchange::applyConfirmation(timestamp now, const peer_report &report)
{
    if (m_mayBeQueued)
        return;
    configuration_report confirmation {.instance = report.from, .incarnation = report.incarnation};
    if (report.uptimeMs > 0)
        confirmation.uptime = std::chrono::milliseconds(report.uptimeMs);
    if (report.configurationConfirmedAgoMs)
        confirmation.confirmedAgo = std::chrono::milliseconds(*report.configurationConfirmedAgoMs);
    m_state.with([&](routing_state &routing) {
        routing.configurationContact.recordReport(now, confirmation);
    });
}

void peer_exchange::applyServers(timestamp now, const peer_report &report, routing_state &routing)
{
    if (report.storeHeardAgoMs)
        routing.storeOutage.recordContact(now - std::chrono::milliseconds(*report.storeHeardAgoMs));
    for (auto it = report.storeEpochs.begin(); it != report.storeEpochs.end(); ++it)
        routing.balancer.setStoreEpoch(it->first, it->second);
    routing.balancer.setPeerLoad(now, report.from, report.load);
    routing.balancer.addCachePlacements(now, report.placed);
    routing.balancer.addPrefillRates(report.prefillRates);
    for (const std::string &server : report.gone)
        routing.balancer.markGone(server);
    for (const std::string &server : report.unreachable)
        routing.balancer.requestProbe(now, server);
}

void peer_exchange::applyWeights(timestamp now, const peer_report &report, routing_state &routing)
{
    for (const std::string &server : report.loading) {
        routing.balancer.markLoading(server, now + loadingReportLifetime);
        routing.loadsByOtherLeaders[server] = now;
    }
    for (auto it = report.weights.begin(); it != report.weights.end(); ++it) {
        const std::size_t end = it->first.rfind('=');
        if (end != std::string::npos)
            routing.balancer.onWeightsReported(it->first.substr(0, end), it->first.substr(end + 1),
                                               it->second);
    }
    for (auto it = report.targetAgeMs.begin(); it != report.targetAgeMs.end(); ++it) {
        const std::optional<weights_key> key = parseWeightsKey(it->first);
        if (key)
            routing.balancer.addTargetWeights(key->model, key->version,
                                              now - std::chrono::milliseconds(it->second));
    }
}

void peer_exchange::applyLimits(timestamp now, const peer_report &report, routing_state &routing)
{
    const bool isSenderOlder = report.incarnation < m_state.incarnation();
    std::optional<duration> uptime;
    if (report.uptimeMs > 0)
        uptime = std::chrono::milliseconds(report.uptimeMs);
    const auto apply = [&](team_limits &limits, const admitted_totals &admitted,
                           const admitted_totals &demandRates, const admitted_totals &levels) {
        limits.applyReport(now,
                           {.peer = report.from,
                            .incarnation = report.incarnation,
                            .sequence = report.sequence,
                            .isLeaving = report.isLeaving,
                            .admitted = admitted,
                            .demandRates = demandRates,
                            .period = fromSeconds(report.periodMs / 1000),
                            .uptime = uptime});
        // An instance that just started adopts the levels of one that started earlier.
        if (isSenderOlder)
            limits.adoptLevels(now, levels);
    };
    apply(routing.limits, report.admitted, report.demandRates, report.levels);
    server_statements &statements = routing.balancer.statements();
    statements.applyLimits(now, report.serverLimits);
    statements.applyLeaving(report.leavingServers);
    apply(statements.requests(), report.serverRequests, report.serverDemandRates,
          report.serverLevels);
    routing.balancer.coldServers().applyReport(now,
                                               {.peer = report.from,
                                                .incarnation = report.incarnation,
                                                .sequence = report.sequence,
                                                .isLeaving = report.isLeaving,
                                                .period = fromSeconds(report.periodMs / 1000),
                                                .demandRates = report.coldDemandRates});
}

void peer_exchange::applyCrashes(timestamp now, const peer_report &report, routing_state &routing)
{
    for (const crash_record &crash : report.crashes) {
        routing.crashes.recordCrash(now, crash.request, crash.event);
        routing.partCrashes.recordSuspect(now,
                                          {.crash = crash.event,
                                           .at = now - std::chrono::milliseconds(crash.ageMs),
                                           .request = crash.request.low,
                                           .parts = crash.parts});
    }
    for (const refused_request_record &each : report.refusedRequests) {
        refused_request refused {.request = each.request, .crashes = {}};
        for (auto it = each.crashAgesMs.begin(); it != each.crashAgesMs.end(); ++it)
            refused.crashes[it->first] = now - std::chrono::milliseconds(it->second);
        routing.crashes.adopt(now, refused);
    }
    for (const blocked_part_record &each : report.blockedParts) {
        blocked_part blocked {.part = each.part, .crashes = {}};
        for (auto it = each.crashAgesMs.begin(); it != each.crashAgesMs.end(); ++it)
            blocked.crashes[it->first] = now - std::chrono::milliseconds(it->second);
        routing.partCrashes.adopt(now, blocked);
    }
    for (const cleared_part_record &each : report.clearedParts)
        routing.partCrashes.clear(now - std::chrono::milliseconds(each.ageMs), each.part);
}

void peer_exchange::applyOutcomes(timestamp now, const peer_report &report, routing_state &routing)
{
    for (const bad_release_record &each : report.badReleases) {
        const bool isNews = routing.releases.addBadRelease(
            {.service = each.service,
             .release = each.release,
             .foundAt = now - std::chrono::milliseconds(each.ageMs)});
        if (isNews)
            writeEvent(event_line("rollout", "bad_release_reported")
                           .add("service", each.service)
                           .add("release", each.release)
                           .add("by", report.from)
                           .add("age_ms", each.ageMs));
    }
    for (const release_outcomes &each : report.releases) {
        // The next report repeats the counts, so they are taken once the request is known here.
        if (!routing.releases.request(each.service))
            continue;
        outcome_counts &reported =
            m_reportedOutcomes[report.from + "/" + std::to_string(report.incarnation) + "/"
                               + each.service + "/" + each.release + "/" + each.route];
        const outcome_counts increase {.requests = each.counts.requests - reported.requests,
                                       .failures = each.counts.failures - reported.failures,
                                       .slow = each.counts.slow - reported.slow,
                                       .timed = each.counts.timed - reported.timed};
        reported = each.counts;
        if (increase != outcome_counts {})
            routing.releases.add(each.service, each.release, each.route, increase);
    }
}

} // namespace trefoil
