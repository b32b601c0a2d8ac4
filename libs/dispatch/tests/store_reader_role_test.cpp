// Guards against both ends: all instances of a large fleet reading the store, and none of a zone
// after its reader was lost or cut off.

#include <dispatch/store_reader_role.h>

#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

using std::chrono::milliseconds;

TEST(StoreReaderRole, FirstInstancesOfAZoneReadTheStore)
{
    for (const int zones : {1, 3, 5}) {
        int readers = 0;
        for (int before = 0; before < 59; ++before) {
            store_reader_role role({});
            readers += role.isReader({}, {before, before, zones}) ? 1 : 0;
        }
        EXPECT_EQ(readers, zones < 4 ? 2 : 1);
    }
}

// The reader keeps reporting but no longer reaches the store. One instance takes over, and the
// others learn that before their turn.
TEST(StoreReaderRole, OneInstanceTakesOverFromAReaderThatIsCutOff)
{
    constexpr int fleet = 59;
    std::vector<store_reader_role> roles(fleet, store_reader_role({}));
    int firstTakeover = -1;
    int readers = 0;
    timestamp now {};
    for (int step = 0; step < 100; ++step, now += milliseconds(100)) {
        readers = 0;
        for (int before = 1; before < fleet; ++before) {
            const bool isToldOfTakeover = firstTakeover >= 0 && before > firstTakeover;
            const bool isReader =
                roles[before].isReader(now, {before, isToldOfTakeover ? 1 : 0, 5});
            if (isReader && firstTakeover < 0)
                firstTakeover = before;
            readers += isReader ? 1 : 0;
        }
    }
    EXPECT_EQ(firstTakeover, 1);
    EXPECT_EQ(readers, 1);
}

TEST(StoreReaderRole, ReaderStepsBackWhenAnEarlierOneIsInContactAgain)
{
    store_reader_role role({});
    EXPECT_FALSE(role.isReader({}, {1, 0, 5}));
    EXPECT_TRUE(role.isReader(timestamp(milliseconds(600)), {1, 0, 5}));
    EXPECT_FALSE(role.isReader(timestamp(milliseconds(700)), {1, 1, 5}));
    EXPECT_FALSE(role.isReader(timestamp(milliseconds(800)), {1, 0, 5}));
}

} // namespace trefoil
