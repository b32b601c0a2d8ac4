#include <gossip/rumor_store.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(RumorStore, IgnoresVersionsThatAreNotNewer)
{
    rumor_store store;
    EXPECT_TRUE(store.merge({.topic = "config", .key = "routes", .version = 5}));
    EXPECT_FALSE(store.merge({.topic = "config", .key = "routes", .version = 4}));
    EXPECT_FALSE(store.merge({.topic = "config", .key = "routes", .version = 5}));
    EXPECT_EQ(store.find("config", "routes")->version, 5u);
}

TEST(RumorStore, PicksLeastSentRumorsWithinByteAndSendLimits)
{
    rumor_store store;
    for (int i = 0; i < 10; ++i)
        store.merge({.topic = "t", .key = std::to_string(i), .version = 1, .payload = "x"});
    const std::vector<rumor> first = store.pick(27 * 4, 2); // the encoded size of each is 27 bytes
    ASSERT_EQ(first.size(), 4u);
    std::size_t total = first.size();
    for (int i = 0; i < 20; ++i)
        total += store.pick(27 * 4, 2).size();
    EXPECT_EQ(total, 20u); // ten rumors, two sends each
}

TEST(RumorStore, HashesIdentifyDifferingBuckets)
{
    rumor_store a;
    rumor_store b;
    for (int i = 0; i < 100; ++i) {
        const rumor item {.topic = "t", .key = std::to_string(i), .version = 1};
        a.merge(item);
        b.merge(item);
    }
    EXPECT_EQ(a.hashes(), b.hashes());
    a.merge({.topic = "t", .key = "7", .version = 2});
    int differing = 0;
    for (std::size_t i = 0; i < rumorBuckets; ++i) {
        if (a.hashes()[i] == b.hashes()[i])
            continue;
        ++differing;
        for (const rumor &item : a.bucket(i))
            b.merge(item);
    }
    EXPECT_EQ(differing, 1);
    EXPECT_EQ(a.hashes(), b.hashes());
}

} // namespace trefoil
