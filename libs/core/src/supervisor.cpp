#include <core/supervisor.h>

#include <algorithm>
#include <cassert>
#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace trefoil {

namespace {

/// Outcome of one run of a child.
struct child_exit
{
    std::size_t child = 0;
    result<void> outcome;
};

/// Queue of exits from the children's threads to the supervisor's thread.
class exit_queue
{
public:
    void post(child_exit item)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_items.push_back(std::move(item));
        }
        m_ready.notify_one();
    }

    /// Waits for an exit. Returns nothing once @p deadline passes or @p stop is requested.
    std::optional<child_exit> take(std::stop_token stop, std::optional<timestamp> deadline)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const auto hasItem = [this] { return !m_items.empty(); };
        if (deadline) {
            const duration timeout = *deadline - boot_clock::now();
            m_ready.wait_for(lock, stop, std::max(timeout, duration::zero()), hasItem);
        } else {
            m_ready.wait(lock, stop, hasItem);
        }
        if (m_items.empty())
            return std::nullopt;
        child_exit item = std::move(m_items.front());
        m_items.pop_front();
        return item;
    }

private:
    std::mutex m_mutex;
    std::condition_variable_any m_ready;
    std::deque<child_exit> m_items;
};

/// State of one child during a run of the supervisor.
struct child_state
{
    std::jthread thread;
    std::deque<timestamp> failures;
    std::optional<timestamp> restartAt;
    bool done = false;
};

result<void> runCatchingExceptions(const child_body &body, std::stop_token stop)
{
    try {
        return body(std::move(stop));
    } catch (const std::exception &exception) {
        return failure("exception", exception.what());
    }
}

/// One run of a supervisor.
class supervisor_run
{
public:
    supervisor_run(const supervisor_options &options)
        : m_options(options), m_states(options.children.size())
    { }

    result<void> run(const std::stop_token &stop)
    {
        for (std::size_t child = 0; child < m_states.size(); ++child)
            start(child);
        result<void> outcome;
        while (!stop.stop_requested() && !allDone()) {
            const std::optional<child_exit> exit = m_exits.take(stop, nextRestart());
            if (exit) {
                outcome = handle(*exit);
                if (!outcome)
                    break;
            }
            restartDueChildren();
        }
        stopAll();
        return outcome;
    }

private:
    void start(std::size_t child)
    {
        child_state &state = m_states[child];
        state.restartAt.reset();
        const child_body &body = m_options.children[child].body;
        state.thread = std::jthread([this, child, &body](std::stop_token stop) {
            m_exits.post({.child = child, .outcome = runCatchingExceptions(body, std::move(stop))});
        });
    }

    bool allDone() const
    {
        return std::all_of(m_states.begin(), m_states.end(),
                           [](const child_state &state) { return state.done; });
    }

    std::optional<timestamp> nextRestart() const
    {
        std::optional<timestamp> next;
        for (const child_state &state : m_states) {
            if (state.restartAt && (!next || *state.restartAt < *next))
                next = state.restartAt;
        }
        return next;
    }

    void restartDueChildren()
    {
        const timestamp now = boot_clock::now();
        for (std::size_t child = 0; child < m_states.size(); ++child) {
            if (m_states[child].restartAt && *m_states[child].restartAt <= now)
                start(child);
        }
    }

    result<void> handle(const child_exit &exit)
    {
        child_state &state = m_states[exit.child];
        state.thread.join();
        if (exit.outcome) {
            state.done = true;
            return {};
        }
        const child_spec &spec = m_options.children[exit.child];
        if (m_options.onFailure)
            m_options.onFailure(spec.name, exit.outcome.error());
        const timestamp now = boot_clock::now();
        while (!state.failures.empty() && now - state.failures.front() > m_options.window)
            state.failures.pop_front();
        state.failures.push_back(now);
        if (state.failures.size() > static_cast<std::size_t>(spec.maxRestarts)) {
            state.done = true;
            return failure("child-failed",
                           m_options.name + "/" + spec.name + ": " + exit.outcome.error().message);
        }
        state.restartAt = now + backoff(state.failures.size());
        return {};
    }

    duration backoff(std::size_t failures) const
    {
        duration delay = m_options.firstBackoff;
        for (std::size_t i = 1; i < failures && delay < m_options.maxBackoff; ++i)
            delay *= 2;
        return std::min(delay, m_options.maxBackoff);
    }

    void stopAll()
    {
        for (std::size_t i = m_states.size(); i > 0; --i) {
            std::jthread &thread = m_states[i - 1].thread;
            if (!thread.joinable())
                continue;
            thread.request_stop();
            thread.join();
        }
    }

    const supervisor_options &m_options;
    std::vector<child_state> m_states;
    exit_queue m_exits;
};

} // namespace

child_body supervise(supervisor_options options)
{
    std::set<std::string> names;
    for (const child_spec &child : options.children) {
        assert(child.body);
        [[maybe_unused]] const bool isNew = names.insert(child.name).second;
        assert(isNew);
    }
    return [shared = std::make_shared<const supervisor_options>(std::move(options))](
               const std::stop_token &stop) { return supervisor_run(*shared).run(stop); };
}

} // namespace trefoil
