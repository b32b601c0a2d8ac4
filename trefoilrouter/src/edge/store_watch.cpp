#include "edge/store_watch.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/documents.h>
#include <core/json.h>
#include <platform/codec.h>
#include <platform/store_version.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Part of the contact time within which a read on a silent connection is abandoned. The rest is
/// for reading on a new connection and for instances that learn of a change from others.
constexpr double silenceShare = 0.7;
/// Longest silence for kinds whose changes are not urgent.
constexpr duration maxWeightsSilence = std::chrono::milliseconds(3600);
constexpr duration maxInstancesSilence = std::chrono::milliseconds(10600);
/// Number of instances that read the store's newest state. The others use stale reads, which cost a
/// tenth.
constexpr int maxFreshReaders = 8;
/// The same for kinds that the reports carry as well, or that are not urgent.
constexpr int reducedFreshReaders = 3;
/// Servers whose entries expired in an outage register again within 2 s of its end.
constexpr duration serverReregistrationTime = std::chrono::milliseconds(1900);
/// Time for all instances to notice that a restored store lacks their entries, and to write them.
constexpr duration instanceRestoreTime = std::chrono::seconds(3);
/// An evacuation that a restored store lacks stays in force until the operator writes and removes
/// it again.
constexpr duration evacuationRestoreTime = std::chrono::hours(24 * 365);
/// Time for another instance to begin its answer, longest pause within it, and time for all of a
/// large copy.
constexpr duration copyPause = std::chrono::milliseconds(400);
constexpr duration copyTime = std::chrono::seconds(2);
constexpr std::size_t maxCopyBytes = 4 << 20;

} // namespace

store_watch::store_watch(edge_state &state, store_client &store) : m_state(state), m_store(store)
{
    const timestamp start = boot_clock::now();
    const duration urgent = fromSeconds(toSeconds(state.settings().contactTime) * silenceShare);
    const auto kindOf = [](duration maxSilence, int freshReaders, duration reregistrationTime = {},
                           duration restoreTime = {}) {
        return watched_kind {.pacer = watch_pacer({.maxSilence = maxSilence}),
                             .mirror = object_mirror(restoreTime),
                             .freshReaders = freshReaders,
                             .reregistrationTime = reregistrationTime,
                             .catchUp = catch_up({}),
                             .wait = std::make_unique<response_wait>()};
    };
    const duration weights = std::max(urgent, maxWeightsSilence);
    const duration instances = std::max(urgent, maxInstancesSilence);
    m_kinds.emplace(store_kinds::configuration, kindOf(urgent, maxFreshReaders));
    m_kinds.emplace(
        store_kinds::servers,
        kindOf(urgent, maxFreshReaders, serverReregistrationTime, serverReregistrationTime));
    m_kinds.emplace(store_kinds::weights, kindOf(weights, reducedFreshReaders));
    m_kinds.emplace(store_kinds::rollouts, kindOf(urgent, reducedFreshReaders));
    m_kinds.emplace(store_kinds::instances,
                    kindOf(instances, reducedFreshReaders, {}, instanceRestoreTime));
    if (state.settings().hasContract(contracts::zoneEvacuation)) {
        const duration evacuation =
            fromSeconds(toSeconds(state.settings().evacuateTime) * silenceShare);
        m_kinds.emplace(
            store_kinds::evacuations,
            kindOf(std::min(urgent, evacuation), maxFreshReaders, {}, evacuationRestoreTime));
    }
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it)
        it->second.answeredAt = start;
}

std::vector<child_spec> store_watch::children()
{
    std::vector<child_spec> children;
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
        const std::string kind = it->first;
        children.push_back(
            {.name = "watch-" + kind.substr(0, kind.size() - 1),
             .body = [this, kind](const std::stop_token &stop) { return watch(kind, stop); }});
    }
    return children;
}

result<void> store_watch::watch(const std::string &kind, const std::stop_token &stop)
{
    while (!stop.stop_requested())
        std::this_thread::sleep_for(readOnce(kind));
    return {};
}

duration store_watch::readOnce(const std::string &kind)
{
    const begun_read begun = beginRead(kind, readerRank(kind));
    const result<object_changes> answer = m_store.read(kind, begun.from, begun.read, begun.wait);
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_kinds.find(kind)->second.isReading = false;
    }
    if (!answer)
        return endFailedRead(kind, begun, answer.error());
    // What the store stated is as old as the first byte of its answer. It may have waited in the
    // socket while the process was paused.
    const timestamp statedAt = begun.read.isSnapshot
        ? begun.startedAt
        : std::min(begun.wait->begunAt(),
                   begun.startedAt + begun.read.waitTime + begun.read.answerTime);
    return applyAnswer(kind, statedAt, begun.read, *answer, otherInstances());
}

store_watch::begun_read store_watch::beginRead(const std::string &kind, int rank)
{
    const timestamp now = boot_clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    watched_kind &watched = m_kinds.find(kind)->second;
    // In a large fleet only a few instances read the newest state: reports tell the others when
    // they are behind, and have them give up the read that waits.
    const bool isReader = rank < watched.freshReaders;
    if (isReader != watched.isReader)
        recordReader(kind, isReader, rank);
    watched.isReader = isReader;
    const bool isFresh = isReader || watched.wait->isAbandoned();
    watched.readStartedAt = now;
    watched.isReading = true;
    watched.wait->begin();
    return {.read = watched.pacer.nextRead(
                now, isFresh ? read_freshness::Newest : read_freshness::MayBeStale),
            .startedAt = now,
            .from = watched.mirror.upToVersion(),
            .wait = watched.wait.get()};
}

void store_watch::recordReader(const std::string &kind, bool isReader, int rank)
{
    m_state.metrics()
        .gaugeOf("trefoil_store_reader", "kind=\"" + kind.substr(0, kind.size() - 1) + "\"")
        .set(isReader ? 1 : 0);
    writeEvent(event_line("store", isReader ? "reader_started" : "reader_ended")
                   .add("kind", kind)
                   .add("rank", rank));
}

duration store_watch::endFailedRead(const std::string &kind, const begun_read &begun,
                                    const error &reason)
{
    const bool isHistoryGone = reason.code == platform_errors::historyGone;
    const bool isAbandoned = begun.wait->isAbandoned() && !begun.wait->hasBegun();
    const bool hasFailed = !isHistoryGone && !isAbandoned;
    if (hasFailed)
        recordReachability(kind, false, reason.message);
    const std::lock_guard<std::mutex> lock(m_mutex);
    watch_pacer &pacer = m_kinds.find(kind)->second.pacer;
    if (hasFailed)
        return pacer.onFailed(boot_clock::now());
    if (isHistoryGone)
        pacer.onHistoryGone();
    else
        pacer.onAbandoned();
    return duration::zero();
}

duration store_watch::applyAnswer(const std::string &kind, timestamp statedAt,
                                  const watch_read &read, const object_changes &answer,
                                  int otherInstances)
{
    recordReachability(kind, true, "");
    const timestamp now = boot_clock::now();
    m_state.recordStoreAnswer(now);
    const timestamp outageEnd =
        m_state.with([](routing_state &routing) { return routing.storeOutage.outageEnd(); });
    bool hasChanged = false;
    bool isRestored = false;
    std::size_t outdated = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(kind)->second;
        object_mirror &mirror = watched.mirror;
        isRestored = mirror.upToVersion() != 0
            && store_version::era(mirror.upToVersion()) < store_version::era(answer.upToVersion);
        const timestamp reregistrationDeadline = outageEnd + watched.reregistrationTime;
        hasChanged = read.isSnapshot
            ? mirror.applySnapshot(now, answer.changed, answer.upToVersion, reregistrationDeadline)
            : mirror.applyChanges(now, answer.changed, answer.upToVersion, reregistrationDeadline);
        hasChanged = mirror.removeExpired(now) || hasChanged;
        outdated = mirror.outdatedCount();
    }
    if (isRestored)
        writeEvent(event_line("store", "restored_kind_read")
                       .add("kind", kind)
                       .add("era", store_version::era(answer.upToVersion))
                       .add("revision", store_version::revision(answer.upToVersion))
                       .add("objects", std::uint64_t {answer.changed.size()})
                       .add("outdated", std::uint64_t {outdated}));
    if (hasChanged)
        apply(kind);
    if (kind == store_kinds::configuration && read.freshness == read_freshness::Newest) {
        m_state.with([statedAt](routing_state &routing) {
            routing.configurationContact.recordStoreAnswer(statedAt);
        });
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_kinds.find(kind)->second.pacer.onAnswered(now, !answer.changed.empty(),
                                                       otherInstances);
}

int store_watch::readerRank(const std::string &kind)
{
    bool hasLostStore = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        hasLostStore = !m_kinds.find(kind)->second.isReachable;
    }
    const timestamp now = boot_clock::now();
    return m_state.with([&](const routing_state &routing) {
        return routing.members.readerRank(now, kind, hasLostStore);
    });
}

int store_watch::otherInstances()
{
    return m_state.with([](const routing_state &routing) {
        return static_cast<int>(routing.members.otherCount());
    });
}

void store_watch::recordReachability(const std::string &kind, bool reachable,
                                     const std::string &reason)
{
    const timestamp now = boot_clock::now();
    bool hasChanged = false;
    bool isAnyReachable = false;
    duration silence {};
    std::uint64_t revision = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(kind)->second;
        hasChanged = watched.isReachable != reachable;
        watched.isReachable = reachable;
        silence = now - watched.answeredAt;
        revision = watched.mirror.upToVersion();
        if (reachable)
            watched.answeredAt = now;
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it)
            isAnyReachable = isAnyReachable || it->second.isReachable;
    }
    m_state.setStoreReachable(isAnyReachable);
    m_state.metrics()
        .counterOf("trefoil_store_reads_total", reachable ? "result=\"ok\"" : "result=\"failed\"")
        .add();
    if (hasChanged)
        writeEvent(event_line("store", reachable ? "dependency_regained" : "dependency_lost")
                       .add("dependency", "store")
                       .add("kind", kind)
                       .add("silent_ms", toMilliseconds(silence))
                       .add("revision", store_version::revision(revision))
                       .add("reason", reason));
}

std::map<std::string, std::uint64_t, std::less<>> store_watch::outdatedCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::uint64_t, std::less<>> counts;
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
        if (it->second.mirror.outdatedCount() > 0)
            counts[it->first] = it->second.mirror.outdatedCount();
    }
    return counts;
}

std::map<std::string, std::uint64_t, std::less<>> store_watch::newestChanges()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::uint64_t, std::less<>> newest;
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it)
        newest[it->first] = it->second.mirror.newestChange();
    return newest;
}

void store_watch::recordPeerChanges(
    timestamp now, const copy_source &peer,
    const std::map<std::string, std::uint64_t, std::less<>> &newest,
    const std::map<std::string, std::uint64_t, std::less<>> &outdated)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = newest.begin(); it != newest.end(); ++it) {
            const auto watched = m_kinds.find(it->first);
            if (watched == m_kinds.end())
                continue;
            const auto count = outdated.find(it->first);
            std::uint64_t &adopted = watched->second.adoptedOutdated;
            const bool knowsMore = count != outdated.end()
                && count->second
                    > std::max<std::uint64_t>(adopted, watched->second.mirror.outdatedCount());
            if (knowsMore)
                adopted = count->second;
            // A peer that knows of no evacuation has no newest change to tell.
            const bool isUnread =
                it->first == store_kinds::evacuations && watched->second.mirror.upToVersion() == 0;
            const bool isNewer = it->second > watched->second.mirror.newestChange();
            if (isNewer)
                watched->second.catchUp.onNewerReported(now, it->second);
            if (knowsMore || isUnread)
                watched->second.catchUp.onCopyNeeded(now);
            if ((isNewer || knowsMore || isUnread)
                && peer.capacity >= watched->second.newerPeer.capacity)
                watched->second.newerPeer = peer;
            std::uint64_t &elsewhere = watched->second.newestElsewhere;
            elsewhere = std::max(elsewhere, it->second);
        }
    }
    updateConfigurationContact(now);
}

void store_watch::updateConfigurationContact(timestamp now)
{
    const std::lock_guard<std::mutex> contactLock(m_contactMutex);
    std::optional<timestamp> since;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(store_kinds::configuration)->second;
        if (watched.newestElsewhere > watched.mirror.upToVersion())
            since = watched.lacksNewestSince.value_or(now);
        if (since == watched.lacksNewestSince)
            return;
        watched.lacksNewestSince = since;
    }
    m_state.with(
        [&since](routing_state &routing) { routing.configurationContact.setBehindSince(since); });
}

void store_watch::removeExpired(timestamp now)
{
    std::vector<std::string> changed;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            if (it->second.mirror.removeExpired(now))
                changed.push_back(it->first);
        }
    }
    for (const std::string &kind : changed)
        apply(kind);
}

std::vector<std::string> store_watch::lostKinds()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> lost;
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
        if (!it->second.isReachable)
            lost.push_back(it->first);
    }
    return lost;
}

void store_watch::takeOverReaders()
{
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
        watched_kind &watched = it->second;
        const auto waitsForStaleState = [&watched] {
            return watched.isReading && !watched.isReader && !watched.wait->isAbandoned();
        };
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (!waitsForStaleState())
                continue;
        }
        if (readerRank(it->first) >= watched.freshReaders)
            continue;
        // The read may have ended meanwhile: the rank needs the lock of the routing state, which is
        // never taken under this one.
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (waitsForStaleState())
            watched.wait->abandon();
    }
}

std::vector<store_watch::stale_copy> store_watch::catchUp(timestamp now)
{
    takeOverReaders();
    std::vector<stale_copy> stale;
    std::vector<std::string> readAgain;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            watched_kind &watched = it->second;
            if (watched.isFetching)
                continue;
            const timestamp since = watched.catchUp.since().value_or(now);
            const read_progress read {.startedAt = watched.readStartedAt,
                                      .isWaiting = watched.isReading && !watched.wait->hasBegun(),
                                      .isStoreReachable = watched.isReachable};
            const catch_up_step step =
                watched.catchUp.next(now, watched.mirror.newestChange(), read);
            if (!watched.catchUp.since() && step == catch_up_step::None)
                watched.newerPeer = {};
            if (step == catch_up_step::ReadAgain && !watched.wait->isAbandoned()) {
                watched.wait->abandon();
                readAgain.push_back(it->first);
            } else if (step == catch_up_step::FetchCopy) {
                watched.isFetching = true;
                stale.push_back(
                    {.kind = it->first, .peer = watched.newerPeer.address, .since = since});
                watched.newerPeer = {};
            }
        }
    }
    for (const std::string &kind : readAgain)
        writeEvent(event_line("store", "read_repeated").add("kind", kind));
    return stale;
}

void store_watch::fetchCopy(const stale_copy &stale)
{
    const timestamp start = boot_clock::now();
    const result<http_response> answer =
        sendHttpRequestOnNewConnection(stale.peer, {.path = "/copy?kind=" + encodeUri(stale.kind)},
                                       {.total = copyTime,
                                        .connect = copyPause,
                                        .idle = copyPause,
                                        .maxBodyBytes = maxCopyBytes,
                                        .budget = &m_state.readBudget()});
    const bool hasCopy = answer && answer->status == HTTPResponse::HTTP_OK;
    const std::optional<bool> hasChanged =
        hasCopy ? applyFetchedCopy(stale.kind, answer->body) : std::nullopt;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_kinds.find(stale.kind)->second.isFetching = false;
    }
    const timestamp now = boot_clock::now();
    event_line line("store", hasChanged ? "copy_fetched" : "copy_fetch_failed");
    line.add("kind", stale.kind)
        .add("peer", toString(stale.peer))
        .add("behind_ms", toMilliseconds(now - stale.since))
        .add("ms", toMilliseconds(now - start));
    if (hasChanged)
        line.add("changed", *hasChanged);
    else
        line.add("reason",
                 hasCopy      ? "malformed"
                     : answer ? "status"
                              : answer.error().message.c_str());
    writeEvent(line);
}

bool store_watch::lacksInstance(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const watched_kind &watched = m_kinds.find(store_kinds::instances)->second;
    return watched.isReachable && watched.mirror.upToVersion() > 0
        && !watched.mirror.isWritten(store_kinds::instances + name);
}

std::string store_watch::encodeCopy(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json::Value copy(Json::objectValue);
    const auto watched = m_kinds.find(kind);
    if (watched == m_kinds.end())
        return writeJson(copy);
    const timestamp now = boot_clock::now();
    const mirror_copy content = watched->second.mirror.copy();
    copy["up_to"] = Json::UInt64(content.upToVersion);
    copy["newest_change"] = Json::UInt64(content.newestChange);
    Json::Value list(Json::arrayValue);
    for (const object &each : content.objects) {
        Json::Value entry(Json::objectValue);
        entry["name"] = each.name;
        entry["version"] = Json::UInt64(each.version);
        entry["value"] = each.value;
        entry["status"] = each.status;
        const auto missing = content.missing.find(each.name);
        if (missing != content.missing.end())
            entry["expires_in_ms"] = Json::Int64(toMilliseconds(missing->second - now));
        list.append(entry);
    }
    copy["objects"] = list;
    for (auto it = content.outdated.begin(); it != content.outdated.end(); ++it)
        copy["outdated"][it->first] = Json::UInt64(it->second);
    return writeJson(copy);
}

std::optional<bool> store_watch::applyFetchedCopy(const std::string &kind, const std::string &text)
{
    const result<Json::Value> copy = parseJson(text, "a peer's copy");
    if (!copy || !copy->isObject() || !(*copy)["objects"].isArray())
        return std::nullopt;
    const timestamp now = boot_clock::now();
    mirror_copy content {.upToVersion = integerOr(*copy, "up_to"),
                         .newestChange = integerOr(*copy, "newest_change")};
    for (const Json::Value &entry : (*copy)["objects"]) {
        if (!entry.isObject())
            continue;
        content.objects.push_back({.name = textOr(entry, "name"),
                                   .version = integerOr(entry, "version"),
                                   .value = textOr(entry, "value"),
                                   .status = textOr(entry, "status")});
        if (entry["expires_in_ms"].isInt64())
            content.missing[textOr(entry, "name")] =
                now + std::chrono::milliseconds(entry["expires_in_ms"].asInt64());
    }
    const Json::Value &outdated = (*copy)["outdated"];
    if (outdated.isObject()) {
        for (auto it = outdated.begin(); it != outdated.end(); ++it) {
            if (it->isUInt64())
                content.outdated[it.name()] = it->asUInt64();
        }
    }
    bool hasChanged = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        object_mirror &mirror = m_kinds.find(kind)->second.mirror;
        hasChanged = mirror.applyCopy(now, content);
        hasChanged = mirror.adoptOutdated(content) || hasChanged;
    }
    if (hasChanged)
        apply(kind);
    return hasChanged;
}

} // namespace trefoil
