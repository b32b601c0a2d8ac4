#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <core/clock.h>
#include <dispatch/serving_tables.h>

namespace trefoil {

/// Settings of the configuration that a request depends on.
enum class request_setting {
    /// The route, with its repeat rule, and the service that the request was assigned to.
    Route,
    /// The team that held the API key.
    Team,
    /// The team's limit, which the request was charged against.
    TeamLimit,
    /// The route's timeout, target latency and pause between events.
    Timeouts,
    /// How many servers the request may run on.
    Attempts,
    /// Priority of the team and of the route.
    Priority,
    /// Whether the service's servers are model engines, and their traits.
    ServiceTraits,
    /// With which teams the request shares KV cache.
    CacheGroup,
    /// KV cache stores that the servers copy parts from and to.
    CacheStores,
    /// Availability zones that must not be used.
    EvacuatedZones
};

/// When a request reads a setting.
enum class setting_reading {
    /// Once; a later configuration doesn't change it for requests in progress.
    AtAdmission,
    /// Before each attempt, from the configuration in force at that time.
    AtEachAttempt
};

/// When requests read one setting, and why.
struct request_setting_rule
{
    request_setting setting;
    setting_reading reading;
    std::string_view name;
    std::string_view reason;
};

/// Returns the rules of all settings, in the order of request_setting. This is the only place that
/// decides between the two readings: admitted_terms holds what is read at admission, attempt_terms
/// what each attempt reads, apart from the KV cache stores and the evacuated zones, which
/// load_balancer knows. Thread-safe.
std::span<const request_setting_rule> requestSettingRules();

/// What a request keeps of the configuration that it was admitted with.
struct admitted_terms
{
    /// Owns what the other members point to; null before the request is admitted.
    std::shared_ptr<const serving_tables> tables;
    const served_route *route = nullptr;
    /// Null for a request without a known key.
    const served_team *team = nullptr;
    std::string service;
};

/// What one attempt reads of the configuration in force.
struct attempt_terms
{
    /// Whether the service's servers are model engines.
    bool isModel = false;
    /// Group of requests that share KV cache; "" for a service without a model.
    std::string cacheGroup;

    bool operator==(const attempt_terms &) const = default;
};

/// Returns the terms of an attempt that starts now. @p inForce is the newest configuration that the
/// instance knows. Unless @p isConfirmed, a newer one may be in force that isolates any team, so
/// the attempt shares KV cache only with its own team. Precondition: @p admitted.tables is set.
/// Thread-safe.
attempt_terms attemptTerms(const admitted_terms &admitted, const serving_tables &inForce,
                           bool isConfirmed);

} // namespace trefoil
