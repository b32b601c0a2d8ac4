// Guards against copies that each instance of a fleet fetches in full after every change: with 262
// servers in the list, 295 instances moved 19 MB for one changed entry.

#include <platform/object_copy.h>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

object makeObject(const std::string &name, std::uint64_t version)
{
    return {.name = "servers/" + name,
            .version = version,
            .value = "{\"state\":\"ready\",\"weights\":" + std::to_string(version) + "}"};
}

object_mirror makeMirror(std::uint64_t upToVersion)
{
    std::vector<object> objects;
    for (int i = 0; i < 262; ++i)
        objects.push_back(makeObject("i-" + std::to_string(i), 10));
    object_mirror mirror;
    mirror.applySnapshot({}, objects, upToVersion);
    return mirror;
}

} // namespace

TEST(ObjectCopy, CarriesOnlyChangedObjectsAndRemovals)
{
    object_mirror source = makeMirror(20);
    object_mirror target = makeMirror(20);
    object removed = makeObject("i-7", 31);
    removed.isRemoved = true;
    const std::vector<object> changes {makeObject("i-3", 30), removed, makeObject("new", 32)};
    source.applyChanges({}, changes, 32);
    const std::string copy = encodeCopy(source, target.upToVersion());
    EXPECT_LT(copy.size(), encodeCopy(source, 0).size() / 4);
    const result<bool> applied = applyCopy({}, copy, target);
    ASSERT_TRUE(applied);
    EXPECT_TRUE(*applied);
    EXPECT_EQ(target.objects(), source.objects());
    EXPECT_EQ(target.upToVersion(), 32u);
    EXPECT_EQ(target.newestChange(), source.newestChange());
}

TEST(ObjectCopy, AnEmptyMirrorTakesAFullCopy)
{
    const object_mirror source = makeMirror(20);
    object_mirror target;
    ASSERT_TRUE(applyCopy({}, encodeCopy(source, 0), target));
    EXPECT_EQ(target.objects(), source.objects());
}

TEST(ObjectCopy, OlderCopiesAndCopiesOfAnEmptyMirrorChangeNothing)
{
    object_mirror target = makeMirror(20);
    EXPECT_EQ(applyCopy({}, encodeCopy(makeMirror(19), 0), target), false);
    EXPECT_EQ(applyCopy({}, encodeCopy(object_mirror(), 0), target), false);
    EXPECT_EQ(target.upToVersion(), 20u);
    EXPECT_EQ(target.objects().size(), 262u);
}

TEST(ObjectCopy, RefusesMalformedCopiesAndUnknownNames)
{
    object_mirror target = makeMirror(20);
    for (const char *text : {"", "[]", "{}", "{\"up_to\":30,\"objects\":[]}",
                             "{\"up_to\":30,\"objects\":[{}],\"unchanged\":[]}",
                             "{\"up_to\":30,\"objects\":[],\"unchanged\":[3]}",
                             "{\"up_to\":30,\"objects\":[],\"unchanged\":[\"servers/unknown\"]}"})
        EXPECT_FALSE(applyCopy({}, text, target)) << text;
    EXPECT_EQ(target.upToVersion(), 20u);
}

} // namespace trefoil
