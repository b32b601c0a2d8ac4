#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/SharedPtr.h>

#include "edge/edge_state.h"
#include "edge/store_watch.h"

namespace trefoil {

/// Returns the factory of handlers for the platform's readiness check and for callers' discovery
/// requests. Precondition: @p state outlives it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> discoveryFactory(edge_state &state);

/// Returns the factory of handlers that serve copies of the store's objects to other instances, and
/// metrics to operators. Precondition: @p state and @p watch outlive it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory> peerFactory(edge_state &state,
                                                                  store_watch &watch);

} // namespace trefoil
