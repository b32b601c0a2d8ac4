#include "edge/store_watch.h"

#include <thread>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <adapter/documents.h>
#include <core/json.h>
#include <platform/codec.h>
#include <telemetry/event_log.h>

#include "http_util.h"

namespace trefoil {

namespace {

using Poco::Net::HTTPResponse;

/// A waiting watch lasts this long, after which silence shows that its connection is dead. Another
/// instance's report shows sooner that this one is behind.
constexpr duration shortPatience = std::chrono::seconds(3);
constexpr duration longPatience = std::chrono::seconds(10);
/// Wait after a watch that brought changes: what comes in quick succession is read in one call.
constexpr duration gatherTime = std::chrono::milliseconds(120);
/// Added for each other instance, since all are woken by each change: below a second in the largest
/// fleet, a third of the time within which a leaving server must be noticed there.
constexpr duration gatherTimeForEach = std::chrono::milliseconds(8);
/// Instances that read the store's newest state; the others' reads may be old and cost a tenth.
constexpr int mostFreshWatchers = 8;
/// The same for what reports tell as well, or what is not urgent.
constexpr int fewFreshWatchers = 3;
/// Waits of the others are longer by this: they rely on reports anyway. The store allows 30 s.
constexpr int oldPatienceFactor = 3;
/// Wait after a call that failed, doubled with each one in a row up to the longest, which is a
/// third of the time that the platform allows after an outage.
constexpr duration retryPause = std::chrono::milliseconds(250);
constexpr duration longestRetryPause = std::chrono::milliseconds(1000);
constexpr int maxDoublings = 8;
/// Servers whose entries lapsed in an outage are back within two seconds of its end.
constexpr duration serverReturnTime = std::chrono::milliseconds(1900);
/// A copy that is behind for this long is fetched from another instance: the store's own watch
/// brings changes sooner.
constexpr duration overdueTime = std::chrono::milliseconds(350);
/// Age that is taken for weights found at the start, when they may have been named long ago: half
/// of the time within which they must be everywhere, until another instance tells more.
constexpr duration unknownWeightsAge = std::chrono::seconds(5);
constexpr duration fetchTimeout = std::chrono::milliseconds(400);

std::string bareName(const std::string &name) { return name.substr(name.find('/') + 1); }

} // namespace

store_watch::store_watch(edge_state &state, store_client &store) : m_state(state), m_store(store)
{
    m_kinds = {
        {store_kinds::configuration,
         {.patience = shortPatience, .freshWatchers = mostFreshWatchers}},
        {store_kinds::servers,
         {.patience = shortPatience,
          .freshWatchers = mostFreshWatchers,
          .returnTime = serverReturnTime}},
        {store_kinds::weights, {.patience = shortPatience, .freshWatchers = fewFreshWatchers}},
        {store_kinds::rollouts, {.patience = longPatience, .freshWatchers = fewFreshWatchers}},
        {store_kinds::instances, {.patience = longPatience, .freshWatchers = fewFreshWatchers}}};
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
    bool needsSnapshot = true;
    while (!stop.stop_requested())
        follow(kind, needsSnapshot);
    return {};
}

void store_watch::follow(const std::string &kind, bool &needsSnapshot)
{
    std::uint64_t from = 0;
    duration patience {};
    int freshWatchers = 0;
    const fleet_view fleet = viewFleet();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const watched_kind &known = m_kinds.find(kind)->second;
        from = known.mirror.upToVersion();
        patience = known.patience;
        freshWatchers = known.freshWatchers;
    }
    // In a large fleet few instances need the newest state from the store itself: reports tell the
    // others when they are behind.
    const bool isFresh = fleet.rank < freshWatchers;
    const read_freshness freshness = isFresh ? read_freshness::Newest : read_freshness::MayBeStale;
    patience = isFresh ? patience : patience * oldPatienceFactor;
    const result<object_changes> got =
        needsSnapshot ? m_store.snapshot(kind) : m_store.watch(kind, from, patience, freshness);
    if (!got) {
        if (got.error().code == platform_errors::historyGone) {
            needsSnapshot = true;
            return;
        }
        noteReachable(kind, false, got.error().message);
        std::this_thread::sleep_for(nextRetryPause(kind));
        return;
    }
    noteReachable(kind, true, "");
    const timestamp now = boot_clock::now();
    m_state.noteStoreHeard(now);
    const timestamp outageEnd =
        m_state.with([](edge_beliefs &beliefs) { return beliefs.storeOutage.outageEnd(); });
    bool hasChanged = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &known = m_kinds.find(kind)->second;
        known.failures = 0;
        object_mirror &mirror = known.mirror;
        const timestamp lapseEnd = outageEnd + known.returnTime;
        hasChanged = needsSnapshot
            ? mirror.applySnapshot(now, got->changed, got->upToVersion, lapseEnd)
            : mirror.applyChanges(now, got->changed, got->upToVersion, lapseEnd);
        hasChanged = mirror.dropLapsed(now) || hasChanged;
    }
    const bool hadEvents = !needsSnapshot && !got->changed.empty();
    needsSnapshot = false;
    if (hasChanged)
        apply(kind);
    if (hadEvents)
        std::this_thread::sleep_for(gatherTime + gatherTimeForEach * fleet.others);
}

duration store_watch::nextRetryPause(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    watched_kind &known = m_kinds.find(kind)->second;
    const duration pause = std::min(retryPause * (1 << known.failures), longestRetryPause);
    known.failures = std::min(known.failures + 1, maxDoublings);
    return pause;
}

store_watch::fleet_view store_watch::viewFleet()
{
    const timestamp now = boot_clock::now();
    return m_state.with([now](edge_beliefs &beliefs) {
        return fleet_view {.rank = beliefs.members.rank(now),
                           .others = static_cast<int>(beliefs.members.otherCount())};
    });
}

void store_watch::noteReachable(const std::string &kind, bool reachable, const std::string &reason)
{
    bool hasChanged = false;
    bool isAnyReachable = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        watched_kind &known = m_kinds.find(kind)->second;
        hasChanged = known.isReachable != reachable;
        known.isReachable = reachable;
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

void store_watch::notePeer(timestamp now, const endpoint &peer,
                           const std::map<std::string, std::uint64_t, std::less<>> &newest)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (auto it = newest.begin(); it != newest.end(); ++it) {
        const auto known = m_kinds.find(it->first);
        if (known == m_kinds.end())
            continue;
        if (it->second > known->second.mirror.newestChange()) {
            if (!known->second.behindSince)
                known->second.behindSince = now;
            known->second.ahead = peer;
        }
    }
}

void store_watch::dropLapsed(timestamp now)
{
    std::vector<std::string> changed;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            if (it->second.mirror.dropLapsed(now))
                changed.push_back(it->first);
        }
    }
    for (const std::string &kind : changed)
        apply(kind);
}

void store_watch::fetchOverdue(timestamp now)
{
    std::vector<std::pair<std::string, endpoint>> overdue;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto it = m_kinds.begin(); it != m_kinds.end(); ++it) {
            watched_kind &known = it->second;
            if (!known.behindSince || now - *known.behindSince < overdueTime)
                continue;
            // A report that names a newer change comes again if this copy is still behind.
            known.behindSince.reset();
            overdue.emplace_back(it->first, known.ahead);
        }
    }
    for (const std::pair<std::string, endpoint> &each : overdue) {
        const result<http_answer> answer = httpCallOnce(
            each.second, {.path = "/copy?kind=" + encodeUri(each.first)}, fetchTimeout);
        if (answer && answer->status == HTTPResponse::HTTP_OK)
            takeFetched(each.first, answer->body);
        else
            writeEvent(event_line("store", "copy_fetch_failed")
                           .add("kind", each.first)
                           .add("peer", toString(each.second))
                           .add("reason", answer ? "status" : answer.error().message.c_str()));
    }
}

bool store_watch::lacksInstance(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const watched_kind &known = m_kinds.find(store_kinds::instances)->second;
    return known.isReachable && known.mirror.upToVersion() > 0
        && !known.mirror.objects().contains(store_kinds::instances + name);
}

std::string store_watch::copyOf(const std::string &kind)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Json::Value copy(Json::objectValue);
    const auto known = m_kinds.find(kind);
    if (known == m_kinds.end())
        return writeJson(copy);
    copy["up_to"] = Json::UInt64(known->second.mirror.upToVersion());
    copy["newest_change"] = Json::UInt64(known->second.mirror.newestChange());
    Json::Value list(Json::arrayValue);
    const std::map<std::string, object, std::less<>> &objects = known->second.mirror.objects();
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        Json::Value entry(Json::objectValue);
        entry["name"] = it->second.name;
        entry["version"] = Json::UInt64(it->second.version);
        entry["value"] = it->second.value;
        entry["status"] = it->second.status;
        list.append(entry);
    }
    copy["objects"] = list;
    return writeJson(copy);
}

void store_watch::takeFetched(const std::string &kind, const std::string &text)
{
    const result<Json::Value> copy = parseJson(text, "a peer's copy");
    if (!copy || !copy->isObject() || !(*copy)["objects"].isArray()) {
        writeEvent(event_line("store", "copy_malformed").add("kind", kind));
        return;
    }
    std::vector<object> objects;
    for (const Json::Value &entry : (*copy)["objects"]) {
        if (entry.isObject())
            objects.push_back({.name = textOr(entry, "name"),
                               .version = integerOr(entry, "version"),
                               .value = textOr(entry, "value"),
                               .status = textOr(entry, "status")});
    }
    bool hasChanged = false;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        object_mirror &mirror = m_kinds.find(kind)->second.mirror;
        hasChanged = mirror.applySnapshot(boot_clock::now(), objects, integerOr(*copy, "up_to"));
        mirror.recordNewestChange(integerOr(*copy, "newest_change"));
    }
    writeEvent(event_line("store", "copy_fetched").add("kind", kind).add("changed", hasChanged));
    if (hasChanged)
        apply(kind);
}

void store_watch::apply(const std::string &kind)
{
    using applier = void (store_watch::*)(const std::map<std::string, object, std::less<>> &);
    static const std::map<std::string, applier> appliers {
        {store_kinds::configuration, &store_watch::applyConfiguration},
        {store_kinds::servers, &store_watch::applyServers},
        {store_kinds::weights, &store_watch::applyWeights},
        {store_kinds::rollouts, &store_watch::applyRollouts},
        {store_kinds::instances, &store_watch::applyInstances},
    };
    const std::lock_guard<std::mutex> applyLock(m_applyMutex);
    std::map<std::string, object, std::less<>> objects;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        objects = m_kinds.find(kind)->second.mirror.objects();
    }
    (this->*appliers.at(kind))(objects);
}

void store_watch::applyConfiguration(const std::map<std::string, object, std::less<>> &objects)
{
    const auto found = objects.find(store_kinds::newestConfiguration);
    if (found == objects.end())
        return;
    std::vector<std::string> dropped;
    result<serving_tables> decoded = decodeConfiguration(found->second.value, dropped);
    for (const std::string &sentence : dropped)
        writeEvent(event_line("configuration", "entry_dropped").add("reason", sentence));
    if (!decoded) {
        writeEvent(event_line("configuration", "rejected")
                       .add("revision", found->second.version)
                       .add("reason", decoded.error().message));
        return;
    }
    const std::shared_ptr<const serving_tables> tables =
        std::make_shared<const serving_tables>(std::move(*decoded));
    if (!m_state.publish(tables))
        return;
    const timestamp now = boot_clock::now();
    m_state.with([&tables, now](edge_beliefs &beliefs) {
        beliefs.board.setTables(*tables);
        for (auto it = tables->teams.begin(); it != tables->teams.end(); ++it) {
            if (it->second.rate > 0)
                beliefs.limits.setLimit(now, it->first, it->second.rate, it->second.burst);
        }
        beliefs.limits.keepOnly(tables->teams);
    });
    writeEvent(event_line("configuration", "in_force")
                   .add("version", tables->version)
                   .add("revision", found->second.version)
                   .add("routes", std::uint64_t {tables->routes.size()})
                   .add("teams", std::uint64_t {tables->teams.size()}));
    // Entries of services that were not known before become usable.
    std::map<std::string, object, std::less<>> servers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        servers = m_kinds.find(store_kinds::servers)->second.mirror.objects();
    }
    applyServers(servers);
}

void store_watch::applyServers(const std::map<std::string, object, std::less<>> &objects)
{
    const std::shared_ptr<const serving_tables> tables = m_state.tables();
    std::vector<registered_server> servers;
    std::map<std::string, std::string, std::less<>> known;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const std::string id = bareName(it->first);
        result<registered_server> server = decodeServer(id, it->second.value);
        const bool isServed = server && tables && tables->findService(server->service) != nullptr;
        std::string condition = !server ? "unreadable"
            : !isServed                 ? "of an unknown service"
            : server->isLeaving         ? "leaving"
                                        : "ready";
        const auto before = m_knownServers.find(id);
        if (before == m_knownServers.end() || before->second != condition)
            writeEvent(event_line("servers", "server_seen")
                           .add("server", id)
                           .add("condition", condition)
                           .add("revision", it->second.version)
                           .add("reason", server ? "" : server.error().message.c_str()));
        known[id] = std::move(condition);
        if (isServed)
            servers.push_back(std::move(*server));
    }
    for (auto it = m_knownServers.begin(); it != m_knownServers.end(); ++it) {
        if (!known.contains(it->first))
            writeEvent(event_line("servers", "server_gone").add("server", it->first));
    }
    m_knownServers = std::move(known);
    m_state.with([&servers](edge_beliefs &beliefs) { beliefs.board.setServers(servers); });
}

void store_watch::applyWeights(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    const timestamp since = m_hasWeights ? now : now - unknownWeightsAge;
    m_hasWeights = true;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const result<named_weights> weights = decodeNamedWeights(it->second.value);
        if (!weights) {
            writeEvent(event_line("weights", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", weights.error().message));
            continue;
        }
        m_state.with([&weights, since](edge_beliefs &beliefs) {
            beliefs.board.noteNamedWeights(weights->model, weights->version, since);
        });
        writeEvent(event_line("weights", "named")
                       .add("model", weights->model)
                       .add("version", weights->version)
                       .add("revision", it->second.version));
    }
}

void store_watch::applyRollouts(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        const result<rollout_request> request = decodeRollout(it->second.value, it->second.status);
        if (!request) {
            writeEvent(event_line("rollout", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", request.error().message));
            continue;
        }
        m_state.with([&request, now](edge_beliefs &beliefs) {
            beliefs.releases.setRequest(now, request->service, *request);
        });
        writeEvent(event_line("rollout", "requested")
                       .add("service", request->service)
                       .add("release", request->release)
                       .add("seconds", toSeconds(request->time))
                       .add("revision", it->second.version));
    }
}

void store_watch::applyInstances(const std::map<std::string, object, std::less<>> &objects)
{
    const timestamp now = boot_clock::now();
    std::vector<member_entry> entries;
    std::vector<std::string> names;
    for (auto it = objects.begin(); it != objects.end(); ++it) {
        result<member_entry> entry = decodeMember(bareName(it->first), it->second.value);
        if (!entry) {
            writeEvent(event_line("members", "entry_dropped")
                           .add("entry", it->first)
                           .add("reason", entry.error().message));
            continue;
        }
        if (entry->name != m_state.settings().name)
            names.push_back(entry->name);
        entries.push_back(std::move(*entry));
    }
    m_state.with([&](edge_beliefs &beliefs) {
        beliefs.members.setListed(now, entries);
        beliefs.limits.setPeers(now, names);
        beliefs.shareRetries(m_state.settings(), entries.size());
    });
    writeEvent(event_line("members", "listed").add("instances", std::uint64_t {entries.size()}));
}

} // namespace trefoil
