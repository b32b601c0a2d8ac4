#include "work_queue.h"

#include <exception>

#include <telemetry/log.h>

#include "http_util.h"

namespace trefoil {

namespace {

/// Time without tasks after which a worker thread ends.
constexpr duration workerIdleTime = std::chrono::seconds(5);

} // namespace

work_queue::~work_queue() { joinAll(); }

void work_queue::post(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_isRunning)
        startWorkers();
}

void work_queue::startWorkers()
{
    joinEnded();
    for (std::size_t available = m_idleWorkers;
         available < m_tasks.size() && m_workers.size() < m_maxThreads; ++available) {
        worker &added = m_workers.emplace_back();
        added.thread = std::thread([this, &added] { runWorker(added); });
    }
    m_ready.notify_all();
}

void work_queue::joinEnded()
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        if (!it->hasEnded) {
            ++it;
            continue;
        }
        it->thread.join();
        it = m_workers.erase(it);
    }
}

void work_queue::joinAll()
{
    std::list<worker> workers;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isRunning = false;
        workers.splice(workers.end(), m_workers);
    }
    m_ready.notify_all();
    for (worker &each : workers)
        each.thread.join();
}

child_spec work_queue::child(std::string name)
{
    return {.name = std::move(name), .body = [this](const std::stop_token &stop) -> result<void> {
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_isRunning = true;
                    startWorkers();
                }
                waitForStop(stop);
                joinAll();
                return {};
            }};
}

void work_queue::runWorker(worker &self)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_idleWorkers += 1;
        const bool isWoken = m_ready.wait_for(lock, workerIdleTime,
                                              [this] { return !m_isRunning || !m_tasks.empty(); });
        m_idleWorkers -= 1;
        if (!isWoken || !m_isRunning)
            break;
        const std::function<void()> task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        try {
            task();
        } catch (const std::exception &problem) {
            logError("work", std::string("A task failed: ") + problem.what() + ".");
        }
        lock.lock();
    }
    // The thread holds the lock until it returns, so whoever sees the flag can join it at once.
    self.hasEnded = true;
}

} // namespace trefoil
