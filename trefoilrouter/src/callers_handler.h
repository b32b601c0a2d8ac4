#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <configuration/settings.h>

#include "proxy.h"

namespace trefoil {

/// Creates the handler factory of the callers' listener: /v1/entry, /v1/models,
/// /v1/chat/completions, /v1/completions and the path routes. Precondition: the objects that
/// @p context refers to and @p instanceSettings outlive the factory.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makeCallersHandlerFactory(const proxy_context &context, const settings &instanceSettings);

/// How long a caller may cache a response of /v1/entry.
constexpr duration entryResponseTtl = std::chrono::seconds(5);

} // namespace trefoil
