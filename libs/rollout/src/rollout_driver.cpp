#include <rollout/rollout_driver.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>

#include <core/json.h>

namespace trefoil {

namespace {

constexpr std::array<std::string_view, 3> stageNames {"moving", "done", "taken-back"};

/// Shares after the first one. The factor between two is at most about two and a half, so that a
/// fault under load shows before most of the traffic meets it.
constexpr std::array<double, 6> laterShares {0.05, 0.12, 0.25, 0.5, 0.75, 1.0};

/// Part of the time to the deadline by which the last step is taken; the rest is for watching it.
constexpr double movingPart = 0.85;

/// Time at the full share before a move counts as done.
constexpr duration watchFull = std::chrono::seconds(5);

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

rollout_driver::rollout_driver(rollout_options options, std::optional<rollout_record> record)
    : m_options(std::move(options))
{
    assert(m_options.from != m_options.to);
    m_record = {.from = m_options.from, .to = m_options.to};
    if (record && record->from == m_options.from && record->to == m_options.to)
        m_record = std::move(*record);
}

void rollout_driver::setWorkers(std::vector<rollout_worker> workers)
{
    m_workers = std::move(workers);
    for (const rollout_worker &each : m_workers) {
        const auto loading = m_loading.find(each.name);
        const bool settled = !each.version.empty()
            && (each.version == m_options.to) == (m_record.stage != rollout_stage::TakenBack);
        if (loading != m_loading.end() && settled)
            m_loading.erase(loading);
    }
}

std::vector<load_order> rollout_driver::tick(timestamp now, std::uint64_t epoch,
                                             const evidence &outcomes)
{
    evidence_verdict why;
    if (m_record.stage == rollout_stage::Moving
        && outcomes.isBad(m_options.to, m_options.from, why)) {
        m_record.stage = rollout_stage::TakenBack;
        m_record.share = 0;
        m_record.reason =
            "version \"" + why.version + "\" " + why.reason + " on route \"" + why.route + "\"";
    }
    if (m_record.stage == rollout_stage::Moving)
        step(now, outcomes);
    return orders(now, epoch);
}

double rollout_driver::plannedShare(timestamp now) const
{
    const double whole = toSeconds(m_options.deadline - m_options.start) * movingPart;
    const double passed = toSeconds(now - m_options.start);
    if (passed <= 0 || whole <= 0)
        return passed > 0 ? 1 : m_options.firstShare;
    const double steps = static_cast<double>(laterShares.size() + 1);
    const std::size_t reached =
        static_cast<std::size_t>(std::min(steps - 1, std::floor(passed / whole * steps)));
    return reached == 0 ? m_options.firstShare : laterShares[reached - 1];
}

void rollout_driver::step(timestamp now, const evidence &outcomes)
{
    const bool anyOnNew =
        std::any_of(m_workers.begin(), m_workers.end(),
                    [this](const rollout_worker &each) { return each.version == m_options.to; });
    if (!anyOnNew)
        return;
    const std::uint64_t requests = outcomes.total(m_options.to).requests;
    const double planned = plannedShare(now);
    const bool seenEnough = requests >= m_requestsAtStep + m_options.requestsPerStep;
    // With too little traffic to judge a step by, the last third of the time goes by the clock.
    const duration whole = m_options.deadline - m_options.start;
    const bool mustGoOn = now >= m_options.deadline - whole / 3;
    if (m_record.share == 0) {
        m_record.share = m_options.firstShare;
        m_requestsAtStep = requests;
    } else if (planned > m_record.share && (seenEnough || mustGoOn)) {
        // One step at a time: the next one up, not the one that the clock asks for.
        for (const double share : laterShares) {
            if (share <= m_record.share)
                continue;
            m_record.share = share;
            break;
        }
        m_requestsAtStep = requests;
    }
    if (m_record.share < 1) {
        m_fullSince.reset();
        return;
    }
    if (!m_fullSince)
        m_fullSince = now;
    if (now - *m_fullSince >= watchFull)
        m_record.stage = rollout_stage::Done;
}

std::size_t rollout_driver::wantedOnNew() const
{
    const double size = static_cast<double>(m_workers.size());
    if (m_record.stage == rollout_stage::TakenBack)
        return 0;
    if (m_record.stage == rollout_stage::Done)
        return m_workers.size();
    // One step ahead of the share, so that the next one finds its workers ready; one old worker
    // stays until the move is done, to go back to.
    double ahead = 1.0;
    for (const double share : laterShares) {
        if (share > m_record.share) {
            ahead = share;
            break;
        }
    }
    const double target = m_record.share == 0 ? m_options.firstShare : ahead;
    const std::size_t wanted = static_cast<std::size_t>(std::ceil(target * size));
    const std::size_t most = m_workers.size() > 1 ? m_workers.size() - 1 : m_workers.size();
    return std::clamp<std::size_t>(wanted, 1, most);
}

std::vector<load_order> rollout_driver::orders(timestamp now, std::uint64_t epoch)
{
    std::erase_if(m_loading,
                  [&](const auto &each) { return now - each.second >= m_options.loadTimeout; });
    std::size_t onNew = 0;
    for (const rollout_worker &each : m_workers) {
        const bool loadingNew =
            m_loading.contains(each.name) && m_record.stage != rollout_stage::TakenBack;
        onNew += each.version == m_options.to || loadingNew ? 1 : 0;
    }
    std::vector<load_order> due;
    const std::size_t wanted = wantedOnNew();
    const bool back = onNew > wanted;
    const std::string &target = back ? m_options.from : m_options.to;
    std::size_t missing = back ? onNew - wanted : wanted - onNew;
    for (const rollout_worker &each : m_workers) {
        if (missing == 0 || m_loading.size() >= static_cast<std::size_t>(m_options.maxLoads))
            break;
        const bool candidate = each.reachable && !each.version.empty() && each.version != target
            && !m_loading.contains(each.name);
        if (!candidate)
            continue;
        m_loading[each.name] = now;
        due.push_back({.worker = each.name, .version = target, .epoch = epoch});
        --missing;
    }
    return due;
}

void rollout_driver::onOrderFailed(std::string_view worker)
{
    const auto found = m_loading.find(worker);
    if (found != m_loading.end())
        m_loading.erase(found);
}

bool takesNewVersion(std::uint64_t bits, double share)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    return static_cast<double>(bits) < share * range;
}

} // namespace trefoil
