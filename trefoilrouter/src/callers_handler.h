#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <configuration/settings.h>

#include "proxy.h"

namespace trefoil {

/// Returns the handler factory of the callers' listener: /v1/entry, /v1/models,
/// /v1/chat/completions, /v1/completions and the routes by path. Precondition: what @p parts refers
/// to and @p options outlive it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> callersFactory(const proxy_parts &parts,
                                                                     const settings &options);

/// How long a caller may keep the answer of /v1/entry.
constexpr duration entryValidity = std::chrono::seconds(5);

/// Names of the headers that tell whether a refused request ran.
inline constexpr const char *ranHeader = "X-Request-Ran";
inline constexpr const char *notRun = "not-run";
inline constexpr const char *ranUnknown = "unknown";

} // namespace trefoil
