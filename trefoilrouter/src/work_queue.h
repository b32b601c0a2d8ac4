#pragma once

#include <functional>
#include <stop_token>
#include <string>
#include <vector>

#include <core/mailbox.h>
#include <core/supervisor.h>

namespace trefoil {

/// Queue of tasks that may block, executed by a fixed number of worker threads. Thread-safe.
class work_queue
{
public:
    /// Appends @p task. It must not throw: an exception fails the worker, which is then restarted.
    void post(std::function<void()> task) { m_tasks.post(std::move(task)); }

    /// Returns @p count child specs for workers named @p name-0, @p name-1 and so on. Precondition:
    /// this object outlives the workers.
    std::vector<child_spec> makeWorkers(const std::string &name, int count);

private:
    result<void> runWorker(const std::stop_token &stop);

    mailbox<std::function<void()>> m_tasks;
};

} // namespace trefoil
