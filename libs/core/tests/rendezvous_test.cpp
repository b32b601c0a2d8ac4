#include <core/rendezvous.h>

#include <algorithm>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Rendezvous, RemovingACandidateReassignsOnlyItsKeys)
{
    const std::vector<std::string> all {"a", "b", "c", "d", "e"};
    const std::vector<std::string> fewer {"a", "b", "c", "d"};
    int reassigned = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const std::string before = all[rendezvousOrder(key, all).front()];
        const std::string after = fewer[rendezvousOrder(key, fewer).front()];
        if (before == "e") {
            ++reassigned;
            continue;
        }
        EXPECT_EQ(before, after) << key;
    }
    EXPECT_GT(reassigned, 100);
    EXPECT_LT(reassigned, 300);
}

} // namespace trefoil
