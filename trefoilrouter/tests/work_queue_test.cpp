// Guards against idle instances that keep threads and wake up for nothing, against tasks that wait
// behind a blocked one, and against a failed task that ends the queue.

#include "work_queue.h"

#include <atomic>
#include <stdexcept>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

bool becomesTrue(const std::function<bool()> &condition)
{
    for (int i = 0; i < 200 && !condition(); ++i)
        std::this_thread::sleep_for(10ms);
    return condition();
}

} // namespace

TEST(WorkQueue, RunsBlockedTasksAtTheSameTimeUpToItsLimit)
{
    work_queue queue(3);
    std::atomic<int> running = 0;
    std::atomic<int> most = 0;
    std::atomic<int> done = 0;
    const child_spec child = queue.child("work");
    // Tasks that are posted before the child runs wait for it.
    for (int i = 0; i < 9; ++i) {
        queue.post([&] {
            most = std::max(most.load(), ++running);
            std::this_thread::sleep_for(30ms);
            --running;
            ++done;
        });
    }
    EXPECT_EQ(done, 0);
    const std::jthread runner([&](const std::stop_token &stop) { (void)child.body(stop); });
    EXPECT_TRUE(becomesTrue([&] { return done == 9; }));
    EXPECT_EQ(most, 3);
}

TEST(WorkQueue, ContinuesAfterATaskThatThrows)
{
    work_queue queue(1);
    std::atomic<bool> hasRun = false;
    const child_spec child = queue.child("work");
    const std::jthread runner([&](const std::stop_token &stop) { (void)child.body(stop); });
    queue.post([] { throw std::runtime_error("no answer"); });
    queue.post([&] { hasRun = true; });
    EXPECT_TRUE(becomesTrue([&] { return hasRun.load(); }));
}

TEST(WorkQueue, StopWaitsForRunningTasks)
{
    work_queue queue(2);
    std::atomic<bool> hasStarted = false;
    std::atomic<bool> hasEnded = false;
    const child_spec child = queue.child("work");
    {
        const std::jthread runner([&](const std::stop_token &stop) { (void)child.body(stop); });
        queue.post([&] {
            hasStarted = true;
            std::this_thread::sleep_for(100ms);
            hasEnded = true;
        });
        EXPECT_TRUE(becomesTrue([&] { return hasStarted.load(); }));
    }
    EXPECT_TRUE(hasEnded);
}

} // namespace trefoil
