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
    EXPECT_TRUE(mirror.takeSnapshot(now, entries {entry("a", 1), entry("b", 2)}, 5));
    EXPECT_TRUE(mirror.takeChanges(now, entries {entry("c", 6), entry("a", 7, true)}, 8));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_EQ(mirror.upTo(), 8u);
    EXPECT_EQ(mirror.newestChange(), 7u);
    EXPECT_FALSE(mirror.takeChanges(now, entries {}, 9));
}

TEST(ObjectMirror, NeverGoesBack)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.takeSnapshot(now, entries {entry("a", 9)}, 10);
    EXPECT_FALSE(mirror.takeSnapshot(now, entries {entry("a", 3)}, 4));
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 3)}, 4));
    EXPECT_EQ(mirror.objects().at("a").version, 9u);
    // A removal older than the entry that stands belongs to an earlier life of the name.
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 8, true)}, 11));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

TEST(ObjectMirror, EntriesThatLapsedInAnOutageHaveTimeToComeBack)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp lapseEnd = now + std::chrono::seconds(2);
    mirror.takeSnapshot(now, entries {entry("a", 1), entry("b", 2), entry("c", 3)}, 5);
    EXPECT_FALSE(mirror.takeSnapshot(now, entries {entry("a", 1)}, 6, lapseEnd));
    EXPECT_EQ(mirror.objects().size(), 3u);
    now += std::chrono::seconds(1);
    EXPECT_TRUE(mirror.takeChanges(now, entries {entry("b", 8)}, 8, lapseEnd));
    now += std::chrono::milliseconds(1100);
    EXPECT_TRUE(mirror.dropLapsed(now));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_FALSE(mirror.objects().contains("c"));
    // Without an outage a missing entry is gone at once.
    EXPECT_TRUE(mirror.takeSnapshot(now, entries {entry("a", 1)}, 9));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

TEST(ObjectMirror, ARemovalRightAfterAnOutageMayBeALapse)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp lapseEnd = now + std::chrono::seconds(2);
    mirror.takeSnapshot(now, entries {entry("a", 1)}, 5);
    now += std::chrono::milliseconds(1500);
    EXPECT_FALSE(mirror.takeChanges(now, entries {entry("a", 1, true)}, 7, lapseEnd));
    EXPECT_EQ(mirror.objects().size(), 1u);
    // The time counts from the store's return, not from the removal.
    EXPECT_TRUE(mirror.dropLapsed(lapseEnd));
}

TEST(ObjectMirror, ARemovalLongAfterAnOutageIsOne)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp lapseEnd = now + std::chrono::seconds(2);
    mirror.takeSnapshot(now, entries {entry("a", 1)}, 5, lapseEnd);
    now += std::chrono::milliseconds(3200);
    EXPECT_TRUE(mirror.takeChanges(now, entries {entry("a", 1, true)}, 7, lapseEnd));
    EXPECT_TRUE(mirror.objects().empty());
}

} // namespace trefoil
