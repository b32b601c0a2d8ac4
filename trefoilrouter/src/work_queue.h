#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

#include <core/supervisor.h>

namespace trefoil {

/// Queue of tasks that may block, executed by threads that start when tasks wait and end after some
/// seconds without one. Thread-safe.
class work_queue
{
public:
    /// Executes at most @p maxThreads tasks at the same time.
    explicit work_queue(std::size_t maxThreads) : m_maxThreads(maxThreads) { }
    ~work_queue();

    /// Appends @p task. Tasks that were posted before the child runs wait for it. An exception of a
    /// task is logged.
    void post(std::function<void()> task);

    /// Returns the child that executes the tasks until it is stopped, and then joins the threads.
    /// Precondition: this object outlives the child.
    child_spec child(std::string name);

private:
    struct worker
    {
        std::thread thread;
        bool hasEnded = false;
    };

    void startWorkers();
    void joinEnded();
    void joinAll();
    void runWorker(worker &self);

    std::size_t m_maxThreads;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<std::function<void()>> m_tasks;
    std::list<worker> m_workers;
    std::size_t m_idleWorkers = 0;
    bool m_isRunning = false;
};

} // namespace trefoil
