#include "work_queue.h"

#include <optional>

namespace trefoil {

namespace {

/// How often an idle worker checks for a stop request.
constexpr duration stopCheckPeriod = std::chrono::milliseconds(500);

} // namespace

std::vector<child_spec> work_queue::makeWorkers(const std::string &name, int count)
{
    std::vector<child_spec> children;
    for (int i = 0; i < count; ++i) {
        children.push_back(
            {.name = name + "-" + std::to_string(i),
             .body = [this](const std::stop_token &stop) { return runWorker(stop); }});
    }
    return children;
}

result<void> work_queue::runWorker(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::optional<std::function<void()>> task = m_tasks.take(stopCheckPeriod);
        if (task)
            (*task)();
    }
    return {};
}

} // namespace trefoil
