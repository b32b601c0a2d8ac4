#include "work_queue.h"

#include <optional>

namespace trefoil {

namespace {

/// How soon a worker notices that it is to stop.
constexpr duration stopLatency = std::chrono::milliseconds(500);

} // namespace

std::vector<child_spec> work_queue::workers(const std::string &name, int count)
{
    std::vector<child_spec> children;
    for (int i = 0; i < count; ++i) {
        children.push_back({.name = name + "-" + std::to_string(i),
                            .body = [this](const std::stop_token &stop) { return work(stop); }});
    }
    return children;
}

result<void> work_queue::work(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::optional<std::function<void()>> task = m_tasks.take(stopLatency);
        if (task)
            (*task)();
    }
    return {};
}

} // namespace trefoil
