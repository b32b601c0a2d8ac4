#include "edge/store_watch.h"

#include <algorithm>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/documents.h>
#include <core/digest.h>
#include <platform/object_copy.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// Duration of a read that waits for changes; silence beyond it means that the connection is dead.
/// The short one also shows the others that this instance is in contact with the store.
constexpr duration shortWatchTime = std::chrono::seconds(3);
constexpr duration longWatchTime = std::chrono::seconds(10);
/// Pause after a watch that returned changes, so that changes in quick succession are read in one
/// call.
constexpr duration batchPause = std::chrono::milliseconds(200);
/// Pause after a failed call, doubled with each consecutive failure up to a maximum, which is a
/// third of the time that the platform allows after an outage.
constexpr duration retryPause = std::chrono::milliseconds(250);
constexpr duration maxRetryPause = std::chrono::milliseconds(1000);
constexpr int maxDoublings = 8;
/// Servers whose entries expired in an outage register again within 2 s of its end.
constexpr duration serverReregistrationTime = std::chrono::milliseconds(1900);
/// Time that a reader's copy may be behind before it is fetched from another instance; normally the
/// store's watch delivers changes sooner.
constexpr duration maxTimeBehind = std::chrono::milliseconds(350);
/// The same for an instance that is told by others, and the range over which such instances spread,
/// so that they don't fetch a change from one reader at the same time.
constexpr duration minFetchDelay = std::chrono::milliseconds(60);
constexpr int fetchDelaySpreadMs = 200;
constexpr duration fetchTimeout = std::chrono::milliseconds(400);
/// In a fleet of at most this many instances, all read the store.
constexpr std::size_t maxFleetOfReaders = 8;
/// Interval at which the role is checked, and at which an instance without a copy asks others.
constexpr duration roleCheckInterval = std::chrono::seconds(1);
constexpr duration firstCopyInterval = std::chrono::milliseconds(250);
/// Instances that are asked for a first copy in one interval.
constexpr std::size_t firstCopySources = 2;
/// Time after which an instance that got no copy from others reads the store itself.
constexpr duration maxTimeWithoutCopy = std::chrono::seconds(4);
/// Time for the instances to register when all of them start for the first time.
constexpr duration bootstrapDelay = std::chrono::milliseconds(1500);

} // namespace

store_watch::store_watch(edge_state &state, store_client &store)
    : m_state(state), m_store(store), m_applier(state), m_role({}),
      m_fetchDelay(minFetchDelay
                   + std::chrono::milliseconds(hash64(state.settings().name) % fetchDelaySpreadMs))
{
    m_kinds = {{store_kinds::configuration, {.waitTime = shortWatchTime}},
               {store_kinds::servers,
                {.waitTime = shortWatchTime, .reregistrationTime = serverReregistrationTime}},
               {store_kinds::weights, {.waitTime = shortWatchTime}},
               {store_kinds::rollouts, {.waitTime = longWatchTime}},
               {store_kinds::instances, {.waitTime = longWatchTime}}};
}

child_spec store_watch::child()
{
    return {.name = "watch", .body = [this](const std::stop_token &stop) { return run(stop); }};
}

result<void> store_watch::run(const std::stop_token &stop)
{
    if (m_state.settings().isFirstStart)
        std::this_thread::sleep_for(bootstrapDelay);
    std::map<std::string, std::jthread> watches;
    const timestamp startedAt = boot_clock::now();
    while (!stop.stop_requested()) {
        const timestamp now = boot_clock::now();
        const bool isReader = decideRole(now, startedAt);
        for (auto it = m_kinds.begin(); isReader && it != m_kinds.end(); ++it)
            startWatch(it->first, watches);
        bool lacksCopy = false;
        if (!isReader)
            lacksCopy = fetchFirstCopies(now);
        fetchStaleCopies(now);
        const timestamp nextCheck = now + (lacksCopy ? firstCopyInterval : roleCheckInterval);
        std::unique_lock<std::mutex> lock(m_mutex);
        m_behind.wait_until(lock, stop, nextFetch(nextCheck), [this] { return m_isNewlyBehind; });
        m_isNewlyBehind = false;
    }
    for (auto it = watches.begin(); it != watches.end(); ++it)
        it->second.request_stop();
    return {};
}

bool store_watch::decideRole(timestamp now, timestamp startedAt)
{
    bool hasInstances = false;
    bool hasAllCopies = true;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it)
            hasAllCopies = hasAllCopies && it->second.mirror.upToVersion() > 0;
        hasInstances = m_kinds.find(store_kinds::instances)->second.mirror.upToVersion() > 0;
    }
    // Without the list of instances, it is unknown who else reads the store.
    if (!hasInstances && !readInstances())
        return false;
    const bool isReader = m_state.with([&](routing_state &routing) {
        return routing.members.otherCount() < maxFleetOfReaders || !routing.members.isSelfListed()
            || m_role.isReader(now, routing.members.storeReaderPosition(now));
    });
    const bool isForgotten = !hasAllCopies && now - startedAt > maxTimeWithoutCopy;
    const bool reads = isReader || isForgotten;
    if (reads != m_isReader)
        writeEvent(event_line("store", "reader_role_changed").add("reads_store", reads));
    m_isReader = reads;
    return reads;
}

bool store_watch::readInstances()
{
    const std::string kind = store_kinds::instances;
    const result<object_changes> listed = m_store.snapshot(kind);
    recordReachability(kind, listed.has_value(), listed ? "" : listed.error().message);
    if (!listed) {
        std::this_thread::sleep_for(nextRetryPause(kind));
        return false;
    }
    m_state.recordStoreAnswer(boot_clock::now());
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_kinds.find(kind)->second.mirror.applySnapshot(boot_clock::now(), listed->changed,
                                                        listed->upToVersion);
    }
    apply(kind);
    return true;
}

void store_watch::startWatch(const std::string &kind, std::map<std::string, std::jthread> &watches)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(kind)->second;
        if (watched.isWatched)
            return;
        watched.isWatched = true;
    }
    // A thread of an earlier term as reader has ended or is about to.
    watches[kind] = std::jthread([this, kind](const std::stop_token &stop) { watch(kind, stop); });
}

void store_watch::watch(const std::string &kind, const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        bool needsSnapshot = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            watched_kind &watched = m_kinds.find(kind)->second;
            if (!m_isReader) {
                watched.isWatched = false;
                return;
            }
            needsSnapshot = watched.needsSnapshot || watched.mirror.upToVersion() == 0;
        }
        watchOnce(kind, needsSnapshot);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_kinds.find(kind)->second.needsSnapshot = needsSnapshot;
    }
}

bool store_watch::fetchFirstCopies(timestamp now)
{
    std::vector<std::string> missing;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            if (it->second.mirror.upToVersion() == 0)
                missing.push_back(it->first);
        }
    }
    if (missing.empty())
        return false;
    std::vector<endpoint> sources =
        m_state.with([now](routing_state &routing) { return routing.members.copySources(now); });
    sources.resize(std::min(sources.size(), firstCopySources));
    bool lacksAny = false;
    for (const std::string &kind : missing) {
        const bool isFetched =
            std::any_of(sources.begin(), sources.end(),
                        [&](const endpoint &each) { return fetchCopy(kind, each); });
        lacksAny = lacksAny || !isFetched;
    }
    return lacksAny;
}

void store_watch::watchOnce(const std::string &kind, bool &needsSnapshot)
{
    std::uint64_t from = 0;
    duration waitTime {};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const watched_kind &watched = m_kinds.find(kind)->second;
        from = watched.mirror.upToVersion();
        waitTime = watched.waitTime;
    }
    const result<object_changes> answer =
        needsSnapshot ? m_store.snapshot(kind) : m_store.watch(kind, from, waitTime);
    if (!answer) {
        if (answer.error().code == platform_errors::historyGone) {
            needsSnapshot = true;
            return;
        }
        recordReachability(kind, false, answer.error().message);
        std::this_thread::sleep_for(nextRetryPause(kind));
        return;
    }
    recordReachability(kind, true, "");
    const timestamp now = boot_clock::now();
    m_state.recordStoreAnswer(now);
    const timestamp outageEnd =
        m_state.with([](routing_state &routing) { return routing.storeOutage.outageEnd(); });
    bool hasChanged = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(kind)->second;
        watched.failures = 0;
        object_mirror &mirror = watched.mirror;
        const timestamp reregistrationDeadline = outageEnd + watched.reregistrationTime;
        hasChanged = needsSnapshot ? mirror.applySnapshot(now, answer->changed, answer->upToVersion,
                                                          reregistrationDeadline)
                                   : mirror.applyChanges(now, answer->changed, answer->upToVersion,
                                                         reregistrationDeadline);
        hasChanged = mirror.removeExpired(now) || hasChanged;
    }
    const bool hadChanges = !needsSnapshot && !answer->changed.empty();
    needsSnapshot = false;
    if (hasChanged)
        apply(kind);
    if (hadChanges && m_onChange)
        m_onChange();
    if (hadChanges)
        std::this_thread::sleep_for(batchPause);
}

duration store_watch::nextRetryPause(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    watched_kind &watched = m_kinds.find(kind)->second;
    const duration pause = std::min(retryPause * (1 << watched.failures), maxRetryPause);
    watched.failures = std::min(watched.failures + 1, maxDoublings);
    return pause;
}

void store_watch::recordReachability(const std::string &kind, bool reachable,
                                     const std::string &reason)
{
    bool hasChanged = false;
    bool isAnyReachable = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &watched = m_kinds.find(kind)->second;
        hasChanged = watched.isReachable != reachable;
        watched.isReachable = reachable;
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
                       .add("reason", reason));
}

std::map<std::string, std::uint64_t, std::less<>> store_watch::newestChanges()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::uint64_t, std::less<>> newest;
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it)
        newest[it->first] = it->second.mirror.newestChange();
    return newest;
}

void store_watch::recordPeerChanges(timestamp now, const endpoint &peer, bool isInOwnZone,
                                    const std::map<std::string, std::uint64_t, std::less<>> &newest)
{
    bool isBehind = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = newest.begin(); it != newest.end(); ++it) {
            const auto found = m_kinds.find(it->first);
            if (found == m_kinds.end() || it->second <= found->second.mirror.newestChange())
                continue;
            watched_kind &watched = found->second;
            if (!watched.behindSince || isInOwnZone)
                watched.newerPeer = peer;
            isBehind = isBehind || !watched.behindSince;
            if (!watched.behindSince)
                watched.behindSince = now;
        }
        m_isNewlyBehind = m_isNewlyBehind || isBehind;
    }
    if (isBehind)
        m_behind.notify_all();
}

timestamp store_watch::nextFetch(timestamp latest) const
{
    for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
        if (it->second.behindSince)
            latest = std::min(latest, *it->second.behindSince + timeBehind());
    }
    return latest;
}

duration store_watch::timeBehind() const { return m_isReader ? maxTimeBehind : m_fetchDelay; }

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

void store_watch::fetchStaleCopies(timestamp now)
{
    std::vector<std::pair<std::string, endpoint>> stale;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            watched_kind &watched = it->second;
            if (!watched.behindSince || now - *watched.behindSince < timeBehind())
                continue;
            // The next report sets it again if this copy is still behind.
            watched.behindSince.reset();
            stale.emplace_back(it->first, watched.newerPeer);
        }
    }
    for (const std::pair<std::string, endpoint> &each : stale)
        fetchCopy(each.first, each.second);
}

bool store_watch::fetchCopy(const std::string &kind, const endpoint &peer)
{
    std::uint64_t since = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        since = m_kinds.find(kind)->second.mirror.upToVersion();
    }
    const std::string path = "/copy?kind=" + encodeUri(kind) + "&since=" + std::to_string(since);
    const result<http_response> answer =
        sendHttpRequestOnNewConnection(peer, {.path = path}, fetchTimeout);
    result<bool> applied = failure("copy", answer ? "the peer refused" : answer.error().message);
    std::uint64_t upTo = 0;
    if (answer && answer->status == HTTPResponse::HTTP_OK) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        object_mirror &mirror = m_kinds.find(kind)->second.mirror;
        applied = applyCopy(boot_clock::now(), answer->body, mirror);
        upTo = mirror.upToVersion();
    }
    if (!applied) {
        writeEvent(event_line("store", "copy_fetch_failed")
                       .add("kind", kind)
                       .add("peer", toString(peer))
                       .add("since", since)
                       .add("reason", applied.error().message));
        return false;
    }
    if (upTo > 0)
        writeEvent(event_line("store", "copy_fetched")
                       .add("kind", kind)
                       .add("since", since)
                       .add("revision", upTo)
                       .add("changed", *applied));
    if (*applied)
        apply(kind);
    return upTo > 0;
}

bool store_watch::lacksInstance(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const watched_kind &watched = m_kinds.find(store_kinds::instances)->second;
    return watched.isReachable && watched.mirror.upToVersion() > 0
        && !watched.mirror.objects().contains(store_kinds::instances + name);
}

std::string store_watch::encodeCopy(const std::string &kind, std::uint64_t since)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto watched = m_kinds.find(kind);
    return watched == m_kinds.end() ? "{}" : trefoil::encodeCopy(watched->second.mirror, since);
}

void store_watch::apply(const std::string &kind)
{
    m_applier.apply(kind, [this, &kind] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_kinds.find(kind)->second.mirror.objects();
    });
}

} // namespace trefoil
