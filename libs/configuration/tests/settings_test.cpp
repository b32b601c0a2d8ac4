#include <configuration/settings.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Settings, ReadsACompleteDocument)
{
    const tl::expected<settings, findings> read =
        readSettings("name: entry-1\nzone: a\n"
                     "listeners: {callers: '127.0.0.1:1', peers: '127.0.0.1:2', operators: "
                     "'127.0.0.1:3'}\n"
                     "platform: {address: '127.0.0.2:9', calls_per_second: 7}\n"
                     "seeds: ['127.0.0.3:2']\n",
                     "s.yaml");
    ASSERT_TRUE(read.has_value()) << toString(read.error());
    EXPECT_EQ(read->peers.port, 2);
    EXPECT_EQ(read->platformCallsPerSecond, 7);
    EXPECT_EQ(toString(read->seeds.at(0)), "127.0.0.3:2");
}

TEST(Settings, ReportsEveryFinding)
{
    const tl::expected<settings, findings> read = readSettings(
        "zone: a\nlisteners: {callers: 'localhost:1', peers: '127.0.0.1:2'}\nlog: {level: "
        "loud}\nplatform: {address: '127.0.0.2:9'}\n",
        "s.yaml");
    ASSERT_FALSE(read.has_value());
    EXPECT_EQ(toString(read.error()),
              "s.yaml:1:1: field \"name\" is missing\n"
              "s.yaml:2:12: field \"listeners.operators\" is missing\n"
              "s.yaml:2:22: field \"listeners.callers\" must be a numeric address and port, not "
              "\"localhost:1\"\n"
              "s.yaml:3:14: field \"log.level\" must be one of debug, info, warning, error, not "
              "\"loud\"\n");
}

} // namespace trefoil
