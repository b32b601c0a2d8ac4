#include <core/rendezvous.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Rendezvous, RemovingACandidateMovesOnlyItsOwnKeys)
{
    const std::vector<std::string> all {"a", "b", "c", "d", "e"};
    const std::vector<std::string> fewer {"a", "b", "c", "d"};
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = all[rendezvousOrder(key, all).front()];
        const std::string after = fewer[rendezvousOrder(key, fewer).front()];
        if (before == "e") {
            ++moved;
            continue;
        }
        EXPECT_EQ(before, after) << key;
    }
    EXPECT_GT(moved, 100);
    EXPECT_LT(moved, 300);
}

} // namespace trefoil
