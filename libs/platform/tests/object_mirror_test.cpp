#include <platform/object_mirror.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

object entry(const char *name, std::uint64_t version, bool isRemoved = false)
{
    return {.name = name, .version = version, .value = "v", .isRemoved = isRemoved};
}

using entries = std::vector<object>;

} // namespace

TEST(ObjectMirror, FollowsSnapshotsAndChanges)
{
    object_mirror mirror;
    const timestamp now {};
    EXPECT_TRUE(mirror.takeSnapshot(now, entries {entry("a", 1), entry("b", 2)}, 5, false));
    EXPECT_TRUE(mirror.takeChanges(now, entries {entry("c", 6), entry("a", 7, true)}, 8, false));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_EQ(mirror.upTo(), 8u);
    EXPECT_EQ(mirror.newestChange(), 7u);
    EXPECT_FALSE(mirror.takeChanges(now, entries {}, 9, false));
}

TEST(ObjectMirror, NeverGoesBack)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.takeSnapshot(now, entries {entry("a", 9)}, 10, false);
    EXPECT_FALSE(mirror.takeSnapshot(now, entries {entry("a", 3)}, 4, false));
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 3)}, 4, false));
    EXPECT_EQ(mirror.objects().at("a").version, 9u);
    // A removal older than the entry that stands belongs to an earlier life of the name.
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 8, true)}, 11, false));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

TEST(ObjectMirror, EntriesThatLapsedInAnOutageHaveTimeToComeBack)
{
    object_mirror mirror(std::chrono::seconds(2));
    timestamp now {};
    mirror.takeSnapshot(now, entries {entry("a", 1), entry("b", 2), entry("c", 3)}, 5, false);
    EXPECT_FALSE(mirror.takeSnapshot(now, entries {entry("a", 1)}, 6, true));
    EXPECT_EQ(mirror.objects().size(), 3u);
    now += std::chrono::seconds(1);
    EXPECT_TRUE(mirror.takeChanges(now, entries {entry("b", 8)}, 8, true));
    now += std::chrono::milliseconds(1100);
    EXPECT_TRUE(mirror.dropLapsed(now));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_FALSE(mirror.objects().contains("c"));
    // Without an outage a missing entry is gone at once.
    EXPECT_TRUE(mirror.takeSnapshot(now, entries {entry("a", 1)}, 9, false));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

TEST(ObjectMirror, ARemovalRightAfterAnOutageMayBeALapse)
{
    object_mirror mirror(std::chrono::seconds(2));
    timestamp now {};
    mirror.takeSnapshot(now, entries {entry("a", 1)}, 5, false);
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 1, true)}, 7, true));
    EXPECT_EQ(mirror.objects().size(), 1u);
    EXPECT_TRUE(mirror.dropLapsed(now + std::chrono::seconds(2)));
}

} // namespace trefoil
