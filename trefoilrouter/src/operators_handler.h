#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <platform/call_budget.h>
#include <telemetry/metrics.h>

#include "control_thread.h"

namespace trefoil {

/// Returns the handler factory of the operators' listener: /healthz, /readyz, /metrics, /status.
/// Precondition: the arguments outlive it.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
operatorsFactory(control_thread &control, metric_registry &metrics, const call_budget &budget);

} // namespace trefoil
