#pragma once

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <platform/call_budget.h>
#include <telemetry/metrics.h>

#include "control_thread.h"

namespace trefoil {

/// Creates the handler factory of the operators' listener: /healthz, /readyz, /metrics, /status.
/// Precondition: the arguments outlive the factory.
Poco::SharedPtr<Poco::Net::HTTPRequestHandlerFactory>
makeOperatorsHandlerFactory(control_thread &control, metric_registry &metrics,
                            const call_budget &budget);

} // namespace trefoil
