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
    const bool isKnown = state.request && state.request->release == request->release;
    state.request = request;
    if (!isKnown) {
        state.seenAt = now;
        state.stage = rollout_stage::Moving;
        state.outcomes.forget(request->release);
    }
    if (request->reported && *request->reported != rollout_stage::Moving)
        state.stage = *request->reported;
}

void release_shares::recordOutcome(std::string_view service, std::string_view release,
                                   std::string_view route, bool failed, bool slow)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.request)
        return;
    service_state &state = found->second;
    if (release != state.request->release)
        state.baseline = std::string(release);
    state.outcomes.recordOutcome(release, route, failed, slow);
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
        bad_version_verdict why;
        const std::string &release = state.request->release;
        if (state.outcomes.isBad(release, state.baseline, why)) {
            state.stage = rollout_stage::RolledBack;
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
    const bool hasMinRequests =
        state.outcomes.total(state.request->release).requests >= m_options.minRequests;
    return age >= rampSeconds * m_options.moveAt && hasMinRequests ? 1 : m_options.canaryShare;
}

bool release_shares::allows(timestamp now, std::string_view service, std::string_view release,
                            std::uint64_t bits) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.request)
        return true;
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
