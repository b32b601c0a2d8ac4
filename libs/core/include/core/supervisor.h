#pragma once

#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <string_view>
#include <vector>

#include <core/clock.h>
#include <core/error.h>

namespace trefoil {

/// Body of a supervised child. It runs on a thread of its own until @p stop is requested, then
/// returns a value; returning an error or throwing counts as a failure of the child.
using child_body = std::function<result<void>(std::stop_token stop)>;

/// One child of a supervisor.
struct child_spec
{
    std::string name;
    child_body body;
    /// Failures within the supervisor's window that are answered by a restart. One more ends the
    /// supervisor itself. 0 for a child whose state can't be rebuilt in place.
    int maxRestarts = 5;
};

/// Options of a supervisor.
struct supervisor_options
{
    std::string name;
    std::vector<child_spec> children;
    /// Failures older than this no longer count against a child.
    duration window = std::chrono::seconds(60);
    /// Wait before the first restart; doubled for each further failure in the window.
    duration firstBackoff = std::chrono::milliseconds(50);
    duration maxBackoff = std::chrono::seconds(5);
    /// Called on each failure with the child's name and the error. Runs on the supervisor's thread.
    std::function<void(std::string_view child, const error &reason)> onFailure;
};

/// Runs children, restarts those that fail, and ends with the reason once one keeps failing. A
/// supervisor is itself a child_body, so that supervisors form a tree:
///
///     child_body peers = supervise({ .name = "peers", .children = { ... } });
///     child_body root = supervise({ .name = "root", .children = { { "peers", peers } } });
///     result<void> end = root(stop);
///
/// Children are started in order and stopped in reverse order, each joined before the next is
/// asked to stop. A child that ends without an error is not restarted; when all have ended so, the
/// supervisor ends too.
///
/// Precondition: names of children differ. The returned body may be run by one thread at a time.
/// Errors: "child-failed", naming the path of the child and its reason.
child_body supervise(supervisor_options options);

} // namespace trefoil
