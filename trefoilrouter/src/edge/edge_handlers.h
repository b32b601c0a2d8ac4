#pragma once

#include <functional>

#include "edge/edge_state.h"
#include "edge/page_listener.h"
#include "edge/store_watch.h"

namespace trefoil {

/// Returns the pages for the platform's readiness check and for callers' discovery requests.
/// Precondition: @p state outlives them. Thread-safe.
std::function<page(const Poco::URI &)> discoveryPages(edge_state &state);

/// Returns the pages with copies of the store's objects for other instances, and with metrics for
/// operators. Precondition: @p state and @p watch outlive them. Thread-safe.
std::function<page(const Poco::URI &)> peerPages(edge_state &state, store_watch &watch);

} // namespace trefoil
