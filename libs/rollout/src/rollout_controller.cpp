#include <rollout/rollout_controller.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

#include <core/json.h>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 3> stageNames {"moving", "done", "taken-back"};

/// Traffic shares after the first step. Each is at most about two and a half times the previous
/// one, so that a fault under load shows before it affects most of the traffic.
constexpr std::array<double, 6> shareSteps {0.05, 0.12, 0.25, 0.5, 0.75, 1.0};

/// Share of the time to the deadline within which all steps are taken. The rest is for observing
/// the last step.
constexpr double moveTimeShare = 0.85;

/// Time at the full traffic share after which the rollout is complete.
constexpr duration fullShareDuration = std::chrono::seconds(5);

} // namespace

std::string_view toString(rollout_stage stage)
{
    return stageNames[static_cast<std::size_t>(stage)];
}

std::string toText(const rollout_record &record)
{
    Json::Value value(Json::objectValue);
    value["from"] = record.from;
    value["to"] = record.to;
    value["stage"] = std::string(toString(record.stage));
    value["share"] = record.share;
    if (!record.reason.empty())
        value["reason"] = record.reason;
    return writeJson(value);
}

std::optional<rollout_record> rolloutRecordFromText(std::string_view text)
{
    const result<Json::Value> value = parseJson(text, "a rollout record");
    if (!value || !value->isObject())
        return std::nullopt;
    const std::string stage = textOr(*value, "stage");
    const auto found = std::find(stageNames.begin(), stageNames.end(), stage);
    if (found == stageNames.end())
        return std::nullopt;
    return rollout_record {.from = textOr(*value, "from"),
                           .to = textOr(*value, "to"),
                           .stage = static_cast<rollout_stage>(found - stageNames.begin()),
                           .share = std::clamp(numberOr(*value, "share"), 0.0, 1.0),
                           .reason = textOr(*value, "reason")};
}

rollout_controller::rollout_controller(rollout_options options,
                                       std::optional<rollout_record> record)
    : m_options(std::move(options))
{
    assert(m_options.from != m_options.to);
    m_record = {.from = m_options.from, .to = m_options.to};
    if (record && record->from == m_options.from && record->to == m_options.to)
        m_record = std::move(*record);
}

void rollout_controller::setServers(std::vector<rollout_server> servers)
{
    m_servers = std::move(servers);
    for (const rollout_server &each : m_servers) {
        const auto loading = m_loading.find(each.name);
        const bool isLoaded = !each.version.empty()
            && (each.version == m_options.to) == (m_record.stage != rollout_stage::RolledBack);
        if (loading != m_loading.end() && isLoaded)
            m_loading.erase(loading);
    }
}

std::vector<load_order> rollout_controller::tick(timestamp now, std::uint64_t epoch,
                                                 const outcome_statistics &outcomes)
{
    bad_version_verdict why;
    if (m_record.stage == rollout_stage::Moving
        && outcomes.isBad(m_options.to, m_options.from, why)) {
        m_record.stage = rollout_stage::RolledBack;
        m_record.share = 0;
        m_record.reason =
            "version \"" + why.version + "\" " + why.reason + " on route \"" + why.route + "\"";
    }
    if (m_record.stage == rollout_stage::Moving)
        updateShare(now, outcomes);
    return dueOrders(now, epoch);
}

double rollout_controller::scheduledShare(timestamp now) const
{
    const double moveSeconds = toSeconds(m_options.deadline - m_options.start) * moveTimeShare;
    const double elapsed = toSeconds(now - m_options.start);
    if (elapsed <= 0 || moveSeconds <= 0)
        return elapsed > 0 ? 1 : m_options.initialShare;
    const double steps = static_cast<double>(shareSteps.size() + 1);
    const std::size_t reached =
        static_cast<std::size_t>(std::min(steps - 1, std::floor(elapsed / moveSeconds * steps)));
    return reached == 0 ? m_options.initialShare : shareSteps[reached - 1];
}

void rollout_controller::updateShare(timestamp now, const outcome_statistics &outcomes)
{
    const bool isNewVersionRunning =
        std::any_of(m_servers.begin(), m_servers.end(),
                    [this](const rollout_server &each) { return each.version == m_options.to; });
    if (!isNewVersionRunning)
        return;
    const std::uint64_t requests = outcomes.total(m_options.to).requests;
    const double scheduled = scheduledShare(now);
    const bool hasEnoughRequests = requests >= m_requestsAtStep + m_options.requestsPerStep;
    // If there are too few requests to evaluate a step, the last third of the time follows the
    // schedule.
    const duration totalTime = m_options.deadline - m_options.start;
    const bool isDeadlineNear = now >= m_options.deadline - totalTime / 3;
    if (m_record.share == 0) {
        m_record.share = m_options.initialShare;
        m_requestsAtStep = requests;
    } else if (scheduled > m_record.share && (hasEnoughRequests || isDeadlineNear)) {
        // Takes only the next step, even if the schedule is further ahead.
        for (const double share : shareSteps) {
            if (share <= m_record.share)
                continue;
            m_record.share = share;
            break;
        }
        m_requestsAtStep = requests;
    }
    if (m_record.share < 1) {
        m_fullShareSince.reset();
        return;
    }
    if (!m_fullShareSince)
        m_fullShareSince = now;
    if (now - *m_fullShareSince >= fullShareDuration)
        m_record.stage = rollout_stage::Done;
}

std::size_t rollout_controller::targetServersOnNewVersion() const
{
    const double size = static_cast<double>(m_servers.size());
    if (m_record.stage == rollout_stage::RolledBack)
        return 0;
    if (m_record.stage == rollout_stage::Done)
        return m_servers.size();
    // Prepares the servers for the next step in advance. One server keeps the old version until the
    // rollout is complete, for a rollback.
    double nextShare = 1.0;
    for (const double share : shareSteps) {
        if (share > m_record.share) {
            nextShare = share;
            break;
        }
    }
    const double targetShare = m_record.share == 0 ? m_options.initialShare : nextShare;
    const std::size_t wanted = static_cast<std::size_t>(std::ceil(targetShare * size));
    const std::size_t maxOnNewVersion =
        m_servers.size() > 1 ? m_servers.size() - 1 : m_servers.size();
    return std::clamp<std::size_t>(wanted, 1, maxOnNewVersion);
}

std::vector<load_order> rollout_controller::dueOrders(timestamp now, std::uint64_t epoch)
{
    std::erase_if(m_loading,
                  [&](const auto &each) { return now - each.second >= m_options.loadTimeout; });
    std::size_t onNewVersion = 0;
    for (const rollout_server &each : m_servers) {
        const bool loadingNew =
            m_loading.contains(each.name) && m_record.stage != rollout_stage::RolledBack;
        onNewVersion += each.version == m_options.to || loadingNew ? 1 : 0;
    }
    std::vector<load_order> due;
    const std::size_t wanted = targetServersOnNewVersion();
    const bool loadsOldVersion = onNewVersion > wanted;
    const std::string &target = loadsOldVersion ? m_options.from : m_options.to;
    std::size_t missing = loadsOldVersion ? onNewVersion - wanted : wanted - onNewVersion;
    for (const rollout_server &each : m_servers) {
        if (missing == 0
            || m_loading.size() >= static_cast<std::size_t>(m_options.maxConcurrentLoads))
            break;
        const bool canLoad = each.reachable && !each.version.empty() && each.version != target
            && !m_loading.contains(each.name);
        if (!canLoad)
            continue;
        m_loading[each.name] = now;
        due.push_back({.server = each.name, .version = target, .epoch = epoch});
        --missing;
    }
    return due;
}

void rollout_controller::onOrderFailed(std::string_view server)
{
    const auto found = m_loading.find(server);
    if (found != m_loading.end())
        m_loading.erase(found);
}

bool takesNewVersion(std::uint64_t digest, double share)
{
    constexpr double digestRange = 18446744073709551616.0; // 2^64
    return static_cast<double>(digest) < share * digestRange;
}

} // namespace trefoil
