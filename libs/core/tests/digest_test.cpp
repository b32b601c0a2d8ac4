#include <core/digest.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Digest, DependsOnBothHalvesOfTheSeed)
{
    const digest128 plain = digestOf("text", {.high = 1, .low = 2});
    EXPECT_NE(plain, digestOf("text", {.high = 9, .low = 2}));
    EXPECT_NE(plain, digestOf("text", {.high = 1, .low = 9}));
    EXPECT_EQ(plain, digestOf("text", {.high = 1, .low = 2}));
}

TEST(Digest, HexRoundTrip)
{
    const digest128 original = digestOf("a prompt");
    digest128 parsed;
    ASSERT_TRUE(fromHex(toHex(original), parsed));
    EXPECT_EQ(original, parsed);
    EXPECT_FALSE(fromHex("0123", parsed));
    EXPECT_FALSE(fromHex(std::string(31, '0') + "x", parsed));
    EXPECT_EQ(original, parsed);
}

} // namespace trefoil
