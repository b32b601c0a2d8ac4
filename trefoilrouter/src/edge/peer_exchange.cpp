#include "edge/peer_exchange.h"

#include <algorithm>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <telemetry/event_log.h>

namespace trefoil {

namespace {

/// Time between reports: a fifth of the silence after which a member counts as dead.
constexpr duration reportEvery = std::chrono::milliseconds(200);
/// Added for each other instance, so that reports don't fill the links of a large fleet.
constexpr duration reportEveryForEach = std::chrono::milliseconds(3);
/// Period of instances without callers in a large fleet: a member counts as dead after three of
/// them, before it is taken off the list.
constexpr duration idleReportEvery = std::chrono::milliseconds(1500);
/// An instance is busy for this long after a request.
constexpr duration busyTime = std::chrono::seconds(3);
/// Changes of weights are told for this long: many reports, so that lost ones do no harm.
constexpr duration weightsTellTime = std::chrono::seconds(3);
constexpr std::uint64_t levelsEvery = 5;
/// A server that another instance loads gets no requests for this long after each report of it.
constexpr duration loadingLife = std::chrono::milliseconds(1500);
/// Longest datagram.
constexpr std::size_t maxDatagramBytes = 60000;
/// First byte of a report that its receiver passes on in its zone; reports begin with a brace.
constexpr char passOnMark = '+';

} // namespace

peer_exchange::peer_exchange(edge_state &state, store_watch &watch, std::function<duty_view()> duty)
    : m_state(state), m_watch(watch), m_duty(std::move(duty))
{ }

child_spec peer_exchange::child()
{
    return {.name = "peers", .body = [this](const std::stop_token &stop) { return run(stop); }};
}

duration peer_exchange::period(bool hasDuty) const
{
    const duration usual = reportEvery + reportEveryForEach * m_others.load();
    const bool isBusy = hasDuty || m_state.isLeaving() || m_state.openRequests() > 0
        || boot_clock::now() - m_state.lastRequestAt() < busyTime;
    return m_isLarge && !isBusy ? std::max(usual, idleReportEvery) : usual;
}

result<void> peer_exchange::run(const std::stop_token &stop)
{
    const endpoint &own = m_state.settings().peers;
    try {
        Poco::Net::DatagramSocket &socket = m_socket;
        socket.bind(Poco::Net::SocketAddress(own.host, own.port), true);
        std::string room(maxDatagramBytes, '\0');
        timestamp sentAt {};
        while (!stop.stop_requested()) {
            const timestamp now = boot_clock::now();
            // Callers who come shorten the wait that has begun.
            timestamp next = sentAt + period(m_hasDuty);
            if (now >= next) {
                sendNow();
                sentAt = now;
                next = now + period(m_hasDuty);
            }
            const std::int64_t waitUs =
                std::chrono::duration_cast<std::chrono::microseconds>(next - now).count();
            if (!socket.poll(Poco::Timespan(std::max<std::int64_t>(waitUs, 0)),
                             Poco::Net::Socket::SELECT_READ))
                continue;
            const int size = socket.receiveBytes(room.data(), static_cast<int>(room.size()));
            if (size > 0)
                receive(std::string_view(room).substr(0, static_cast<std::size_t>(size)));
        }
        return {};
    } catch (const Poco::Exception &problem) {
        return failure("peers", "reports on " + toString(own) + ": " + problem.displayText());
    }
}

void peer_exchange::sendNow()
{
    const duty_view duty = m_duty();
    m_hasDuty = duty.epoch != 0;
    const std::lock_guard<std::mutex> lock(m_sendMutex);
    const timestamp now = boot_clock::now();
    peer_report report {.from = m_state.settings().name,
                        .incarnation = m_state.incarnation(),
                        .sequence = ++m_sequence,
                        .isLeaving = m_state.isLeaving(),
                        .periodMs = toSeconds(period(m_hasDuty)) * 1000,
                        .revisions = m_watch.newestChanges(),
                        .loading = duty.loading,
                        .dutyEpoch = duty.epoch,
                        .storeEpochs = duty.storeEpochs};
    std::vector<report_target> targets;
    m_state.with([&](edge_beliefs &beliefs) {
        m_others = beliefs.members.otherCount();
        m_isLarge = beliefs.members.isLarge();
        targets = beliefs.members.reportTargets(now, m_sequence);
        if (beliefs.ownStoreHeardAt != timestamp {})
            report.storeHeardAgoMs =
                static_cast<std::uint64_t>(toMilliseconds(now - beliefs.ownStoreHeardAt));
        report.delayMs = toSeconds(beliefs.ownDelay) * 1000;
        report.load = beliefs.board.ownLoad();
        report.admitted = beliefs.limits.totals();
        report.askedRates = beliefs.limits.askedRates(now);
        // Only a fresh instance needs levels; it waits for a few reports.
        if (m_sequence % levelsEvery == 0)
            report.levels = beliefs.limits.levels(now);
        report.gone = beliefs.board.goneServers();
        report.unreachable = beliefs.board.unreachableServers();
        report.placed = beliefs.board.takePlacedParts();
        for (const std::pair<timestamp, crash_note> &each : beliefs.ownCrashes)
            report.crashes.push_back(each.second);
        for (auto it = beliefs.ownOutcomes.begin(); it != beliefs.ownOutcomes.end(); ++it)
            report.releases.push_back(it->second);
        for (const registered_server &server :
             beliefs.board.serversWithNewWeights(now - weightsTellTime)) {
            for (auto it = server.weights.begin(); it != server.weights.end(); ++it)
                report.weights[server.id + "=" + it->first] = it->second;
        }
        const auto &named = beliefs.board.namedWeights();
        for (auto model = named.begin(); model != named.end(); ++model) {
            for (auto it = model->second.begin(); it != model->second.end(); ++it)
                report.namedAgeMs[weightsKey(model->first, it->first)] = static_cast<std::uint64_t>(
                    std::max<std::int64_t>(0, toMilliseconds(now - it->second)));
        }
        for (const member_entry &other : beliefs.members.others()) {
            const bool isAlive = beliefs.members.isAlive(now, other.name);
            const auto before = m_wasAlive.find(other.name);
            if (before != m_wasAlive.end() && before->second != isAlive)
                writeEvent(event_line("members", isAlive ? "member_back" : "member_suspected")
                               .add("member", other.name));
            m_wasAlive[other.name] = isAlive;
        }
    });
    const std::string text = toText(report);
    const std::string marked = passOnMark + text;
    for (const report_target &target : targets)
        sendTo(target.to, target.isPassedOn ? marked : text);
}

void peer_exchange::sendTo(const endpoint &peer, std::string_view datagram)
{
    try {
        m_socket.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                        Poco::Net::SocketAddress(peer.host, peer.port));
    } catch (const Poco::Exception &) {
        // The peer is gone or the link is full: the next report says the same.
        m_state.metrics().counterOf("trefoil_reports_unsent_total").add();
    }
}

void peer_exchange::receive(std::string_view datagram)
{
    const bool isPassedOn = datagram.starts_with(passOnMark);
    if (isPassedOn)
        datagram.remove_prefix(1);
    const std::optional<peer_report> report = peerReportFromText(datagram);
    if (!report) {
        writeEvent(event_line("members", "report_malformed")
                       .add("bytes", std::uint64_t {datagram.size()}));
        return;
    }
    if (isPassedOn) {
        const std::vector<endpoint> targets = m_state.with(
            [&](edge_beliefs &beliefs) { return beliefs.members.passOnTargets(report->from); });
        for (const endpoint &target : targets)
            sendTo(target, datagram);
    }
    learn(boot_clock::now(), *report);
}

void peer_exchange::learn(timestamp now, const peer_report &report)
{
    endpoint peer;
    const bool isNews = m_state.with([&](edge_beliefs &beliefs) {
        if (!beliefs.members.noteReport(now, report.from, report.incarnation, report.sequence,
                                        report.isLeaving, report.dutyEpoch,
                                        fromSeconds(report.periodMs / 1000)))
            return false;
        peer = beliefs.members.peersOf(report.from);
        beliefs.members.noteDelay(report.from, fromSeconds(report.delayMs / 1000));
        learnServers(now, report, beliefs);
        learnWeights(now, report, beliefs);
        learnLimits(now, report, beliefs);
        learnOutcomes(now, report, beliefs);
        return true;
    });
    if (isNews)
        m_watch.notePeer(now, peer, report.revisions);
}

void peer_exchange::learnServers(timestamp now, const peer_report &report, edge_beliefs &beliefs)
{
    if (report.storeHeardAgoMs)
        beliefs.storeOutage.recordContact(now - std::chrono::milliseconds(*report.storeHeardAgoMs));
    for (auto it = report.storeEpochs.begin(); it != report.storeEpochs.end(); ++it)
        beliefs.board.noteStoreState(it->first, it->second);
    beliefs.board.takePeerLoad(now, report.from, report.load);
    beliefs.board.notePlacedParts(now, report.placed);
    for (const std::string &server : report.gone)
        beliefs.board.noteGone(server);
    for (const std::string &server : report.unreachable)
        beliefs.board.noteDoubt(now, server);
}

void peer_exchange::learnWeights(timestamp now, const peer_report &report, edge_beliefs &beliefs)
{
    for (const std::string &server : report.loading) {
        beliefs.board.noteLoading(server, now + loadingLife);
        beliefs.orderedElsewhere[server] = now;
    }
    for (auto it = report.weights.begin(); it != report.weights.end(); ++it) {
        const std::size_t end = it->first.rfind('=');
        if (end != std::string::npos)
            beliefs.board.noteToldWeights(it->first.substr(0, end), it->first.substr(end + 1),
                                          it->second);
    }
    for (auto it = report.namedAgeMs.begin(); it != report.namedAgeMs.end(); ++it) {
        const std::optional<weights_name> name = parseWeightsKey(it->first);
        if (name)
            beliefs.board.noteNamedWeights(name->model, name->version,
                                           now - std::chrono::milliseconds(it->second));
    }
}

void peer_exchange::learnLimits(timestamp now, const peer_report &report, edge_beliefs &beliefs)
{
    beliefs.limits.takeReport(now, report.from, report.incarnation, report.admitted,
                              report.askedRates, fromSeconds(report.periodMs / 1000));
    // A fresh instance takes over what one that ran before it knows.
    const bool isOlder = report.incarnation < m_state.incarnation();
    if (m_adoptedLevels || report.levels.empty() || !isOlder)
        return;
    beliefs.limits.adoptLevels(now, report.levels);
    m_adoptedLevels = true;
}

void peer_exchange::learnOutcomes(timestamp now, const peer_report &report, edge_beliefs &beliefs)
{
    for (const crash_note &note : report.crashes)
        beliefs.crashes.note(now, note.request, note.event);
    for (const release_outcomes &each : report.releases) {
        outcome_counts &seen =
            m_seenOutcomes[report.from + "/" + std::to_string(report.incarnation) + "/"
                           + each.service + "/" + each.release + "/" + each.route];
        const outcome_counts fresh {.requests = each.counts.requests - seen.requests,
                                    .failures = each.counts.failures - seen.failures,
                                    .slow = each.counts.slow - seen.slow};
        seen = each.counts;
        if (fresh.requests > 0)
            beliefs.releases.add(each.service, each.release, each.route, fresh);
    }
}

} // namespace trefoil
