#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <vector>

#include <core/mailbox.h>
#include <core/supervisor.h>

namespace trefoil {

/// Work that may block, done by a few threads of its own. Thread-safe.
class work_queue
{
public:
    /// Appends @p task. It must not throw; what it throws fails the worker, which is restarted.
    void post(std::function<void()> task) { m_tasks.post(std::move(task)); }

    /// Returns @p count children that do the work, named @p name-0, @p name-1 and so on.
    /// Precondition: this object outlives them.
    std::vector<child_spec> workers(const std::string &name, int count);

private:
    result<void> work(const std::stop_token &stop);

    mailbox<std::function<void()>> m_tasks;
};

} // namespace trefoil
