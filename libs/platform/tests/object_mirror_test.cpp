#include <platform/object_mirror.h>

#include <gtest/gtest.h>
#include <platform/store_version.h>

namespace trefoil {

namespace {

object entry(const char *name, std::uint64_t version, bool isRemoved = false)
{
    return {.name = name, .version = version, .value = "v", .isRemoved = isRemoved};
}

using entries = std::vector<object>;

} // namespace

TEST(ObjectMirror, AppliesSnapshotsAndChanges)
{
    object_mirror mirror;
    const timestamp now {};
    EXPECT_TRUE(mirror.applySnapshot(now, entries {entry("a", 1), entry("b", 2)}, 5));
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("c", 6), entry("a", 7, true)}, 8));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_EQ(mirror.upToVersion(), 8u);
    EXPECT_EQ(mirror.newestChange(), 7u);
    EXPECT_FALSE(mirror.applyChanges(now, entries {}, 9));
}

TEST(ObjectMirror, OlderStateNeverOverwritesNewer)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.applySnapshot(now, entries {entry("a", 9)}, 10);
    EXPECT_FALSE(mirror.applySnapshot(now, entries {entry("a", 3)}, 4));
    EXPECT_FALSE(mirror.applyChanges(now, entries {entry("a", 3)}, 4));
    EXPECT_EQ(mirror.objects().at("a").version, 9u);
    // A removal older than the current object refers to an earlier object of the same name.
    EXPECT_FALSE(mirror.applyChanges(now, entries {entry("a", 8, true)}, 11));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

// A read that was under way while another instance's copy was taken over brought a removed server
// back for good: its removal lay before the next read.
TEST(ObjectMirror, ChangesThatACopyAlreadyCoversDoNotBringARemovedObjectBack)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.applySnapshot(now, entries {entry("a", 5)}, 10);
    mirror.applyCopy(now, {.objects = entries {entry("a", 5)}, .upToVersion = 30});
    EXPECT_FALSE(mirror.applyChanges(now, entries {entry("b", 15)}, 20));
    EXPECT_FALSE(mirror.objects().contains("b"));
    EXPECT_EQ(mirror.upToVersion(), 30U);
    // The same object may be created again.
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("b", 31)}, 31));
    EXPECT_TRUE(mirror.objects().contains("b"));
}

// The answer to an earlier watch, sent once more, brought a removed server back.
TEST(ObjectMirror, RepeatedChangesDoNotBringARemovedObjectBack)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.applySnapshot(now, entries {}, 10);
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("a", 15)}, 15));
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("a", 20, true)}, 20));
    EXPECT_FALSE(mirror.applyChanges(now, entries {entry("a", 15)}, 15));
    EXPECT_TRUE(mirror.objects().empty());
    EXPECT_EQ(mirror.upToVersion(), 20U);
}

TEST(ObjectMirror, ObjectsMissingAfterAnOutageAreKeptForTheGracePeriod)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp graceEnd = now + std::chrono::seconds(2);
    mirror.applySnapshot(now, entries {entry("a", 1), entry("b", 2), entry("c", 3)}, 5);
    EXPECT_FALSE(mirror.applySnapshot(now, entries {entry("a", 1)}, 6, graceEnd));
    EXPECT_EQ(mirror.objects().size(), 3u);
    now += std::chrono::seconds(1);
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("b", 8)}, 8, graceEnd));
    now += std::chrono::milliseconds(1100);
    EXPECT_TRUE(mirror.removeExpired(now));
    EXPECT_EQ(mirror.objects().size(), 2u);
    EXPECT_FALSE(mirror.objects().contains("c"));
    // Without an outage a missing object is dropped at once.
    EXPECT_TRUE(mirror.applySnapshot(now, entries {entry("a", 1)}, 9));
    EXPECT_EQ(mirror.objects().size(), 1u);
}

TEST(ObjectMirror, RemovalRightAfterAnOutageWaitsForTheGracePeriod)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp graceEnd = now + std::chrono::seconds(2);
    mirror.applySnapshot(now, entries {entry("a", 1)}, 5);
    now += std::chrono::milliseconds(1500);
    EXPECT_FALSE(mirror.applyChanges(now, entries {entry("a", 1, true)}, 7, graceEnd));
    EXPECT_EQ(mirror.objects().size(), 1u);
    // The grace period starts at the store's return, not at the removal.
    EXPECT_TRUE(mirror.removeExpired(graceEnd));
}

TEST(ObjectMirror, RemovalAfterTheGracePeriodTakesEffectAtOnce)
{
    object_mirror mirror;
    timestamp now {};
    const timestamp graceEnd = now + std::chrono::seconds(2);
    mirror.applySnapshot(now, entries {entry("a", 1)}, 5, graceEnd);
    now += std::chrono::milliseconds(3200);
    EXPECT_TRUE(mirror.applyChanges(now, entries {entry("a", 1, true)}, 7, graceEnd));
    EXPECT_TRUE(mirror.objects().empty());
}

// Removed servers came back for good with the copy of an instance that still kept them.
TEST(ObjectMirror, CopyOfAnotherInstanceDoesNotBringBackRemovedObjects)
{
    const timestamp now {};
    const timestamp graceEnd = now + std::chrono::seconds(2);
    object_mirror other;
    other.applySnapshot(now, entries {entry("a", 1), entry("b", 2), entry("c", 3)}, 5);
    // The other instance keeps "a" and "b" for the grace period after an outage.
    other.applyChanges(now, entries {entry("a", 6, true), entry("b", 7, true)}, 8, graceEnd);
    object_mirror mirror;
    mirror.applySnapshot(now, entries {entry("b", 2), entry("c", 3)}, 6);
    mirror.applyCopy(now, other.copy());
    EXPECT_FALSE(mirror.objects().contains("a"));
    EXPECT_TRUE(mirror.objects().contains("b"));
    EXPECT_EQ(mirror.newestChange(), 7u);
    EXPECT_TRUE(mirror.removeExpired(graceEnd));
    EXPECT_EQ(mirror.objects().size(), 1u);
    // An instance without a copy takes them over, until the end of the grace period.
    object_mirror empty;
    EXPECT_TRUE(empty.applyCopy(now, other.copy()));
    EXPECT_EQ(empty.objects().size(), 3u);
    EXPECT_TRUE(empty.removeExpired(graceEnd));
    EXPECT_EQ(empty.objects().size(), 1u);
    EXPECT_FALSE(empty.applyCopy(now, {.objects = entries {entry("z", 1)}, .upToVersion = 3}));
}

// After a restore, everything was ignored until the store's revisions had passed their old value.
TEST(ObjectMirror, RestoredStoreIsFollowedAndWhatWasKnownStaysInForce)
{
    object_mirror mirror;
    const timestamp now {};
    const auto at = [](std::uint64_t era, std::uint64_t revision) {
        return store_version::of(era, revision);
    };
    const auto state = [&](const char *name, std::uint64_t version, const char *value) {
        object item = entry(name, version);
        item.value = value;
        return item;
    };
    mirror.applySnapshot(now,
                         entries {state("changed", at(1, 1), "old"), state("gone", at(1, 2), "v"),
                                  state("same", at(1, 3), "v")},
                         at(1, 3));
    mirror.applyChanges(
        now, entries {state("changed", at(1, 5), "new"), entry("gone", at(1, 6), true)}, at(1, 6));
    // The copy is from between revisions 3 and 5; "written" was written after it was restored.
    EXPECT_TRUE(mirror.applySnapshot(
        now,
        entries {state("changed", at(2, 1), "old"), state("gone", at(2, 2), "v"),
                 state("same", at(2, 3), "v"), state("written", at(2, 5), "v")},
        at(2, 5)));
    EXPECT_EQ(mirror.upToVersion(), at(2, 5));
    EXPECT_EQ(mirror.objects().at("changed").value, "new");
    EXPECT_FALSE(mirror.objects().contains("gone"));
    EXPECT_TRUE(mirror.objects().contains("same"));
    EXPECT_TRUE(mirror.objects().contains("written"));
    EXPECT_FALSE(mirror.isWritten("changed"));
    EXPECT_EQ(mirror.outdatedCount(), 2U);

    // Another snapshot does not bring the old states back, and a write takes effect.
    mirror.applySnapshot(now,
                         entries {state("changed", at(2, 1), "old"), state("gone", at(2, 2), "v"),
                                  state("same", at(2, 3), "v")},
                         at(2, 6));
    EXPECT_EQ(mirror.objects().at("changed").value, "new");
    EXPECT_FALSE(mirror.objects().contains("gone"));
    EXPECT_TRUE(mirror.applyChanges(now, entries {state("changed", at(2, 7), "newer")}, at(2, 7)));
    EXPECT_EQ(mirror.objects().at("changed").value, "newer");
    EXPECT_TRUE(mirror.isWritten("changed"));

    // An answer of the earlier era comes late.
    EXPECT_FALSE(mirror.applySnapshot(now, entries {state("same", at(1, 9), "x")}, at(1, 9)));
    EXPECT_FALSE(mirror.applyChanges(now, entries {state("same", at(1, 9), "x")}, at(1, 9)));
}

TEST(ObjectMirror, RewrittenObjectWithALowerRevisionThanBeforeTakesEffect)
{
    object_mirror mirror;
    const timestamp now {};
    mirror.applySnapshot(now, entries {entry("a", store_version::of(1, 1))},
                         store_version::of(1, 1));
    mirror.applyChanges(now, entries {entry("a", store_version::of(1, 9))},
                        store_version::of(1, 9));
    object rewritten = entry("a", store_version::of(2, 4));
    rewritten.value = "rewritten";
    EXPECT_TRUE(mirror.applySnapshot(now, entries {rewritten}, store_version::of(2, 4)));
    EXPECT_EQ(mirror.objects().at("a").value, "rewritten");
}

TEST(ObjectMirror, ObjectThatARestoredStoreLacksIsKeptForTheRestoreTime)
{
    constexpr duration restoreTime = std::chrono::seconds(2);
    object_mirror mirror(restoreTime);
    const timestamp now {};
    mirror.applySnapshot(now, entries {entry("a", store_version::of(1, 1))},
                         store_version::of(1, 1));
    mirror.applySnapshot(now, entries {}, store_version::of(2, 1));
    EXPECT_TRUE(mirror.objects().contains("a"));
    EXPECT_FALSE(mirror.isWritten("a"));
    EXPECT_TRUE(mirror.removeExpired(now + restoreTime));
    EXPECT_FALSE(mirror.objects().contains("a"));
}

TEST(ObjectMirror, ObjectThatExpiredBeforeARestoreDoesNotComeBack)
{
    object_mirror mirror;
    const timestamp now {};
    const timestamp graceEnd = now + std::chrono::seconds(2);
    const object gone = entry("a", store_version::of(1, 1));
    mirror.applySnapshot(now, entries {gone, entry("b", store_version::of(1, 2))},
                         store_version::of(1, 2));
    mirror.applySnapshot(now, entries {entry("b", store_version::of(1, 2))},
                         store_version::of(1, 3), graceEnd);
    mirror.removeExpired(graceEnd);
    object restored = gone;
    restored.version = store_version::of(2, 1);
    mirror.applySnapshot(graceEnd, entries {restored, entry("b", store_version::of(2, 2))},
                         store_version::of(2, 2));
    EXPECT_FALSE(mirror.objects().contains("a"));
    EXPECT_TRUE(mirror.objects().contains("b"));
}

TEST(ObjectMirror, InstanceThatStartsAfterARestoreLearnsWhatIsOutdatedFromAnother)
{
    object_mirror other;
    const timestamp now {};
    object known = entry("a", store_version::of(1, 5));
    known.value = "new";
    const object outdated = entry("a", store_version::of(2, 1));
    other.applySnapshot(now, entries {entry("a", store_version::of(1, 1))},
                        store_version::of(1, 1));
    other.applyChanges(now, entries {known}, store_version::of(1, 5));
    other.applySnapshot(now, entries {outdated}, store_version::of(2, 1));
    object_mirror started;
    started.applySnapshot(now, entries {outdated}, store_version::of(2, 2));
    EXPECT_TRUE(started.adoptOutdated(other.copy()));
    EXPECT_EQ(started.objects().at("a").value, "new");
    EXPECT_FALSE(started.adoptOutdated(other.copy()));
}

} // namespace trefoil
