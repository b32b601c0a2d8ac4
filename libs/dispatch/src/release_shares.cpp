#include <dispatch/release_shares.h>

#include <rollout/rollout_controller.h>

namespace trefoil {

void release_shares::setRequest(timestamp now, std::string_view service,
                                const std::optional<rollout_request> &request)
{
    if (!request) {
        const auto found = m_services.find(service);
        if (found != m_services.end())
            found->second.request.reset();
        return;
    }
    service_state &state = m_services[std::string(service)];
    const bool hadRequest = state.request.has_value();
    const bool isKnown = hadRequest && state.request->release == request->release;
    state.request = request;
    if (!isKnown) {
        state.seenAt = now;
        state.stage = rollout_stage::Moving;
        state.verdict = {};
        // Another instance may have found the release to be bad before this one saw the request.
        const auto bad = state.badReleases.find(request->release);
        if (bad != state.badReleases.end() && !hadRequest) {
            state.stage = rollout_stage::RolledBack;
        } else if (bad != state.badReleases.end()) {
            state.badReleases.erase(bad);
            state.requestedAgainAt = now;
            state.outcomes.forget(request->release);
        }
    }
    if (request->reported == rollout_stage::RolledBack)
        rollBack(state, now);
    else if (request->reported == rollout_stage::Done)
        state.stage = rollout_stage::Done;
}

void release_shares::rollBack(service_state &state, timestamp foundAt)
{
    state.stage = rollout_stage::RolledBack;
    state.badReleases.try_emplace(state.request->release, foundAt);
}

bool release_shares::addBadRelease(const bad_release &found)
{
    service_state &state = m_services[found.service];
    if (state.badReleases.contains(found.release) || found.foundAt < state.requestedAgainAt)
        return false;
    const bool isRequested = state.request && state.request->release == found.release;
    // The servers of the previous release end once a release is done.
    if (isRequested && state.stage == rollout_stage::Done)
        return false;
    state.badReleases.emplace(found.release, found.foundAt);
    if (isRequested)
        state.stage = rollout_stage::RolledBack;
    return true;
}

void release_shares::recordOutcome(std::string_view service, std::string_view release,
                                   std::string_view route, const outcome_counts &counts)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.request)
        return;
    service_state &state = found->second;
    if (release != state.request->release)
        state.baseline = std::string(release);
    state.outcomes.add(release, route, counts);
}

void release_shares::recordTimes(std::string_view service, std::string_view release,
                                 std::string_view route, const response_times &times)
{
    service_state &state = m_services[std::string(service)];
    const bool isTested =
        state.request && state.stage != rollout_stage::Done && release == state.request->release;
    if (!isTested)
        state.times[std::string(route)].add(times);
}

std::optional<response_limits> release_shares::limits(std::string_view service,
                                                      std::string_view route) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto times = found->second.times.find(route);
    return times == found->second.times.end() ? std::nullopt : times->second.limits();
}

void release_shares::add(std::string_view service, std::string_view release, std::string_view route,
                         const outcome_counts &counts)
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.request)
        found->second.outcomes.add(release, route, counts);
}

std::vector<std::string> release_shares::step(timestamp now)
{
    std::vector<std::string> changed;
    for (auto it = m_services.begin(); it != m_services.end(); ++it) {
        service_state &state = it->second;
        if (!state.request || state.stage != rollout_stage::Moving)
            continue;
        const std::string &release = state.request->release;
        state.isSuspect = state.outcomes.isSuspect(release, state.baseline);
        if (state.outcomes.isBad(release, state.baseline, state.verdict)) {
            rollBack(state, now);
            changed.push_back(it->first);
        } else if (now - state.seenAt
                       >= fromSeconds(toSeconds(state.request->rampTime) * m_options.doneAt)
                   && share(now, state) >= 1) {
            state.stage = rollout_stage::Done;
            changed.push_back(it->first);
        }
    }
    return changed;
}

double release_shares::share(timestamp now, const service_state &state) const
{
    if (state.stage == rollout_stage::Done)
        return 1;
    if (state.stage == rollout_stage::RolledBack)
        return 0;
    const double age = toSeconds(now - state.seenAt);
    const double rampSeconds = toSeconds(state.request->rampTime);
    const bool hasEvidence =
        state.outcomes.total(state.request->release).timed >= m_options.minTimedRequests;
    const bool takesAll = age >= rampSeconds * m_options.moveAt && hasEvidence && !state.isSuspect;
    return takesAll ? 1 : m_options.canaryShare;
}

bool release_shares::allows(timestamp now, std::string_view service, std::string_view release,
                            std::uint64_t bits) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.request)
        return true;
    if (found->second.badReleases.contains(release))
        return false;
    const bool isNew = release == found->second.request->release;
    return takesNewVersion(bits, share(now, found->second)) == isNew;
}

std::optional<rollout_request> release_shares::request(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt : found->second.request;
}

std::optional<rollout_stage> release_shares::stage(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.request)
        return std::nullopt;
    return found->second.stage;
}

outcome_counts release_shares::outcomes(std::string_view service, std::string_view release) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? outcome_counts {} : found->second.outcomes.total(release);
}

std::string release_shares::baseline(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? "" : found->second.baseline;
}

bad_version_verdict release_shares::verdict(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? bad_version_verdict {} : found->second.verdict;
}

std::vector<bad_release> release_shares::badReleases() const
{
    std::vector<bad_release> all;
    for (auto service = m_services.begin(); service != m_services.end(); ++service) {
        const auto &bad = service->second.badReleases;
        for (auto it = bad.begin(); it != bad.end(); ++it)
            all.push_back({.service = service->first, .release = it->first, .foundAt = it->second});
    }
    return all;
}

std::vector<rollout_request> release_shares::requests() const
{
    std::vector<rollout_request> all;
    for (auto it = m_services.begin(); it != m_services.end(); ++it) {
        if (it->second.request)
            all.push_back(*it->second.request);
    }
    return all;
}

} // namespace trefoil
