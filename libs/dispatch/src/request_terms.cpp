#include <dispatch/request_terms.h>

#include <array>

namespace trefoil {

std::span<const request_setting_rule> requestSettingRules()
{
    using enum request_setting;
    using enum setting_reading;
    static constexpr std::array<request_setting_rule, 10> rules {
        {{Route, AtAdmission, "route", "the repeat rule must not change once the request may run"},
         {Team, AtAdmission, "team", "a request in progress is not cut by the removal of its key"},
         {TeamLimit, AtAdmission, "team limit", "a request is charged once, however often it runs"},
         {Timeouts, AtAdmission, "timeouts", "servers were told the deadline; it must not grow"},
         {Attempts, AtAdmission, "attempts", "belongs to the repeat rule"},
         {Priority, AtAdmission, "priority", "only the order among requests depends on it"},
         {ServiceTraits, AtEachAttempt, "service traits", "must match the servers that are listed"},
         {CacheGroup, AtEachAttempt, "cache group", "an isolated team shares nothing from then on"},
         {CacheStores, AtEachAttempt, "cache stores", "a removed store must not be used"},
         {EvacuatedZones, AtEachAttempt, "evacuated zones", "nothing more may be sent there"}}};
    return rules;
}

attempt_terms attemptTerms(const admitted_terms &admitted, const serving_tables &inForce,
                           bool isConfirmed)
{
    const served_service *service = inForce.findService(admitted.service);
    if (service == nullptr || !service->engine)
        return {};
    if (admitted.team == nullptr)
        return {.isModel = true,
                .cacheGroup = isConfirmed ? inForce.sharedCacheGroup : privateCacheGroup({})};
    const auto team = inForce.teams.find(admitted.team->name);
    // The configuration says nothing about a removed team any more, and later ones may isolate it.
    const bool isKnown = isConfirmed && team != inForce.teams.end();
    return {.isModel = true,
            .cacheGroup =
                isKnown ? team->second.cacheGroup : privateCacheGroup(admitted.team->name)};
}

} // namespace trefoil
