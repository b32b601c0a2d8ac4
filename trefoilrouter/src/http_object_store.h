#pragma once

#include <vector>

#include <configuration/settings.h>
#include <core/json.h>
#include <platform/object_store.h>

#include "json_http_client.h"

namespace trefoil {

/// Client of the platform's object API over HTTP. Other protocols are separate implementations of
/// object_store. Thread-safe.
class http_object_store : public object_store
{
public:
    /// Makes calls to @p address. A call beyond @p callsPerSecond fails without being sent.
    http_object_store(endpoint address, double callsPerSecond);

    result<object> get(const std::string &name) override;
    result<std::vector<object>> list(const std::string &prefix) override;
    result<std::uint64_t> put(const std::string &name, const std::string &value,
                              std::uint64_t expected) override;
    result<object_changes> watch(const std::string &prefix, std::uint64_t from,
                                 duration maxWait) override;
    result<std::vector<listed_instance>> instances() override;

    /// Returns the call rate limiter, for metrics.
    const call_budget &budget() const { return m_client.budget(); }

private:
    /// Sends @p request with an attempt identifier of its own: the first response on a kept
    /// connection may be a late one to an earlier call.
    result<Json::Value> call(http_request request, duration timeout);

    json_http_client m_client;
};

} // namespace trefoil
