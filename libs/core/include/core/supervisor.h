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

/// Body of a supervised child. Runs on its own thread until its work is done or @p stop is
/// requested. Returning an error or throwing counts as a failure of the child.
using child_body = std::function<result<void>(std::stop_token stop)>;

/// One child of a supervisor.
struct child_spec
{
    std::string name;
    child_body body;
    /// Failures within the supervisor's window after which the child is restarted. One more ends
    /// the supervisor with an error. 0 for a child whose state can't be rebuilt by a restart.
    int maxRestarts = 5;
};

/// Options of a supervisor.
struct supervisor_options
{
    std::string name;
    std::vector<child_spec> children;
    /// Failures older than this no longer count towards child_spec::maxRestarts.
    duration window = std::chrono::seconds(60);
    /// Delay before the first restart; doubled for each further failure in the window.
    duration firstBackoff = std::chrono::milliseconds(50);
    duration maxBackoff = std::chrono::seconds(5);
    /// Called on each failure with the child's name and the error. Runs on the supervisor's thread.
    std::function<void(std::string_view child, const error &reason)> onFailure;
};

/// Returns a body that runs the children, restarts those that fail, and ends with an error once a
/// child exceeds its restarts. The body of a supervisor is a child_body, so supervisors can form a
/// tree:
///
///     child_body peers = supervise({ .name = "peers", .children = { ... } });
///     child_body root = supervise({ .name = "root", .children = { { "peers", peers } } });
///     result<void> end = root(stop);
///
/// Children are started in order and stopped in reverse order, each joined before the next is
/// asked to stop. A child that ends without an error is not restarted; the supervisor ends when all
/// its children have ended this way.
///
/// Precondition: the children's names are unique. Only one thread at a time may run the returned
/// body. Error: "child-failed", with the path of the child and its error message.
child_body supervise(supervisor_options options);

} // namespace trefoil
