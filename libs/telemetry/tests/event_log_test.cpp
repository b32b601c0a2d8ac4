#include <telemetry/event_log.h>

#include <array>
#include <thread>

#include <core/clock.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace trefoil {

TEST(EventLog, EscapesFieldValuesAsJson)
{
    const event_line line = event_line("proxy", "placed")
                                .add("request", "a\"b\\c\nd")
                                .add("ms", 12)
                                .add("expected_ms", 1.26)
                                .add("sent", true);
    EXPECT_EQ(line.fields(),
              "\"part\":\"proxy\",\"event\":\"placed\",\"request\":\"a\\\"b\\\\c d\",\"ms\":12,"
              "\"expected_ms\":1.3,\"sent\":true");
}

TEST(EventLog, LimitsTheLinesOfAnEventAndCountsDroppedOnes)
{
    const int savedStdout = ::dup(STDOUT_FILENO);
    const int devNull = ::open("/dev/null", O_WRONLY);
    ASSERT_GE(::dup2(devNull, STDOUT_FILENO), 0);
    const std::uint64_t before = droppedEvents();
    startEventLog({.instance = "i", .linesPerSecond = 10});
    constexpr std::uint64_t written = 100;
    for (std::uint64_t i = 0; i < written; ++i)
        writeEvent(event_line("proxy", "often"));
    const std::uint64_t dropped = droppedEvents() - before;
    stopEventLog();
    ::dup2(savedStdout, STDOUT_FILENO);
    EXPECT_GE(dropped, written - 12);
    EXPECT_LE(dropped, written - 10);
}

TEST(EventLog, BlockedOutputDoesNotBlockWriters)
{
    std::array<int, 2> pipe {};
    ASSERT_EQ(::pipe(pipe.data()), 0);
    const int savedStdout = ::dup(STDOUT_FILENO);
    ASSERT_GE(::dup2(pipe[1], STDOUT_FILENO), 0);
    startEventLog({.instance = "i", .linesPerSecond = 1e9});
    const std::string padding(200, 'x');
    const timestamp start = boot_clock::now();
    // Nothing reads the pipe, which holds 64 KB; the queue holds 4,096 lines.
    for (int i = 0; i < 20000; ++i)
        writeEvent(event_line("proxy", "placed").add("padding", padding));
    EXPECT_LT(boot_clock::now() - start, std::chrono::seconds(5));
    const timestamp stop = boot_clock::now();
    std::jthread reader([&pipe, stop] {
        // Starts reading only after stopEventLog() has given up waiting.
        std::this_thread::sleep_until(stop + std::chrono::milliseconds(900));
        std::array<char, 65536> received {};
        while (::read(pipe[0], received.data(), received.size()) > 0) {
        }
    });
    stopEventLog();
    EXPECT_LT(boot_clock::now() - stop, std::chrono::milliseconds(850));
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    ::dup2(savedStdout, STDOUT_FILENO);
    ::close(pipe[1]);
}

} // namespace trefoil
