#include <core/supervisor.h>

#include <atomic>
#include <stdexcept>
#include <thread>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

const duration shortBackoff = std::chrono::milliseconds(1);

} // namespace

TEST(Supervisor, RestartsAFailingChildAndEndsWhenAllChildrenAreDone)
{
    std::atomic<int> runs = 0;
    const child_body root =
        supervise({.name = "root",
                   .children = {{.name = "flaky",
                                 .body = [&](const std::stop_token &) -> result<void> {
                                     if (++runs < 3)
                                         return failure("test", "not yet");
                                     return {};
                                 }}},
                   .firstBackoff = shortBackoff});
    std::stop_source source;
    EXPECT_TRUE(root(source.get_token()).has_value());
    EXPECT_EQ(runs, 3);
}

TEST(Supervisor, EscalatesThroughTheTreeAndNamesTheChildsPath)
{
    const child_body inner =
        supervise({.name = "inner",
                   .children = {{.name = "broken",
                                 .body = [](const std::stop_token &) -> result<void> {
                                     throw std::runtime_error("always");
                                 },
                                 .maxRestarts = 1}},
                   .firstBackoff = shortBackoff});
    std::atomic<bool> siblingStopped = false;
    const child_body root =
        supervise({.name = "root",
                   .children = {{.name = "sibling",
                                 .body = [&](std::stop_token stop) -> result<void> {
                                     while (!stop.stop_requested())
                                         std::this_thread::yield();
                                     siblingStopped = true;
                                     return {};
                                 }},
                                {.name = "inner", .body = inner, .maxRestarts = 0}},
                   .firstBackoff = shortBackoff});
    std::stop_source source;
    const result<void> end = root(source.get_token());
    ASSERT_FALSE(end.has_value());
    EXPECT_EQ(end.error().message, "root/inner: inner/broken: always");
    EXPECT_TRUE(siblingStopped);
}

} // namespace trefoil
