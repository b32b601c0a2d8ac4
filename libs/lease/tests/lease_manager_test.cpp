#include "lease_simulation.h"

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using std::chrono::seconds;

std::string onlyHolder(lease_simulation &simulation)
{
    const std::vector<std::string> found = simulation.holders("k");
    return found.size() == 1 ? found.front() : std::string();
}

} // namespace

TEST(LeaseManager, OneInstanceHoldsALeaseWithoutPlatformCallsInSteadyState)
{
    lease_simulation simulation(6, {"k"}, 1);
    simulation.run(seconds(10));
    EXPECT_NE(onlyHolder(simulation), "");
    simulation.platformCalls = 0;
    simulation.run(seconds(60));
    EXPECT_EQ(simulation.platformCalls, 0);
    EXPECT_FALSE(simulation.everHeldByTwo);
}

TEST(LeaseManager, ASuccessorTakesOverFromACrashedOwnerWithinFourSeconds)
{
    lease_simulation simulation(6, {"k"}, 2);
    simulation.run(seconds(10));
    const std::string oldOwner = onlyHolder(simulation);
    simulation.kill(oldOwner);
    simulation.run(seconds(4));
    EXPECT_NE(onlyHolder(simulation), "");
    EXPECT_NE(onlyHolder(simulation), oldOwner);
}

TEST(LeaseManager, ASuccessorHoldsTheLeaseWithin1200MillisecondsAfterTheOwnersProcessEnds)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::string key = "k" + std::to_string(seed);
        lease_simulation simulation(6, {key}, seed);
        simulation.run(seconds(10));
        simulation.kill(simulation.holders(key).at(0));
        simulation.run(std::chrono::milliseconds(1200));
        EXPECT_EQ(simulation.holders(key).size(), 1u) << "seed " << seed;
    }
}

TEST(LeaseManager, APausedOwnerHasLostItsLeaseWhenItResumes)
{
    lease_simulation simulation(6, {"k"}, 3);
    simulation.run(seconds(10));
    const std::string oldOwner = onlyHolder(simulation);
    simulation.instances[oldOwner].paused = true;
    simulation.run(seconds(10));
    EXPECT_NE(onlyHolder(simulation), oldOwner);
    simulation.instances[oldOwner].paused = false;
    EXPECT_FALSE(simulation.instances[oldOwner].manager->holds(simulation.now, "k"));
    simulation.run(seconds(10));
    EXPECT_FALSE(simulation.everHeldByTwo);
    EXPECT_NE(onlyHolder(simulation), "");
}

TEST(LeaseManager, TheOwnerKeepsItsLeaseDuringAPlatformOutage)
{
    lease_simulation simulation(6, {"k"}, 4);
    simulation.run(seconds(10));
    const std::string oldOwner = onlyHolder(simulation);
    simulation.isPlatformDown = true;
    for (int i = 0; i < 600; ++i) {
        simulation.run(seconds(1));
        ASSERT_EQ(onlyHolder(simulation), oldOwner) << "after " << i << " s";
    }
}

TEST(LeaseManager, TheOwnerKeepsItsLeaseDuringAnOutageIfASuccessorRefusesConnections)
{
    lease_simulation simulation(6, {"k"}, 5);
    simulation.run(seconds(10));
    const std::string owner = onlyHolder(simulation);
    simulation.isPlatformDown = true;
    simulation.kill(simulation.instances[owner].manager->record("k")->successors.front());
    for (int i = 0; i < 30; ++i) {
        simulation.run(seconds(1));
        ASSERT_EQ(onlyHolder(simulation), owner) << "after " << i << " s";
    }
}

TEST(LeaseManager, TheOwnerLosesItsLeaseDuringAnOutageIfASuccessorIsSilent)
{
    lease_simulation simulation(6, {"k"}, 6);
    simulation.run(seconds(10));
    const std::string owner = onlyHolder(simulation);
    simulation.isPlatformDown = true;
    simulation.instances[simulation.instances[owner].manager->record("k")->successors.front()]
        .paused = true;
    simulation.run(seconds(5));
    EXPECT_EQ(onlyHolder(simulation), "");
    simulation.isPlatformDown = false;
    simulation.run(seconds(5));
    EXPECT_NE(onlyHolder(simulation), "");
}

TEST(LeaseManager, ASilentSuccessorIsReplacedBeforeTheLeaseExpires)
{
    lease_simulation simulation(6, {"k"}, 7);
    simulation.run(seconds(10));
    const std::string owner = onlyHolder(simulation);
    simulation.instances[simulation.instances[owner].manager->record("k")->successors.front()]
        .paused = true;
    for (int i = 0; i < 400; ++i) {
        simulation.run(std::chrono::milliseconds(50));
        ASSERT_EQ(onlyHolder(simulation), owner);
    }
}

TEST(LeaseManager, ALeavingOwnerHandsOverItsLeaseWithinASecond)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::string key = "k" + std::to_string(seed);
        lease_simulation simulation(6, {key}, seed);
        simulation.run(seconds(10));
        ASSERT_EQ(simulation.holders(key).size(), 1u);
        const std::string oldOwner = simulation.holders(key).front();
        simulation.leave(oldOwner);
        simulation.run(seconds(1));
        EXPECT_EQ(simulation.holders(key).size(), 1u) << "seed " << seed;
        EXPECT_FALSE(simulation.holders(key) == std::vector<std::string> {oldOwner})
            << "seed " << seed;
        EXPECT_TRUE(simulation.instances[oldOwner].manager->released()) << "seed " << seed;
        EXPECT_FALSE(simulation.everHeldByTwo) << "seed " << seed;
    }
}

TEST(LeaseManager, ARestartedOwnerResumesDuringAnOutageWithTheRecordOfAPeer)
{
    lease_simulation simulation(6, {"k"}, 9);
    simulation.run(seconds(10));
    const std::string owner = onlyHolder(simulation);
    const lease_record record = *simulation.instances[owner].manager->record("k");
    simulation.isPlatformDown = true;
    simulation.kill(owner);
    simulation.run(std::chrono::milliseconds(500));
    simulation.startInstance(owner);
    simulation.instances[owner].manager->onRecord(simulation.now, "k", 1, record);
    simulation.run(seconds(5));
    EXPECT_EQ(onlyHolder(simulation), owner);
}

TEST(LeaseManager, ALeaseIsTakenOverAfterADelayIfItsOwnerAndSuccessorsAreLost)
{
    lease_simulation simulation(8, {"k"}, 10);
    simulation.run(seconds(10));
    const std::string owner = onlyHolder(simulation);
    const lease_record record = *simulation.instances[owner].manager->record("k");
    simulation.kill(owner);
    for (const std::string &name : record.successors)
        simulation.kill(name);
    simulation.run(seconds(25));
    EXPECT_EQ(onlyHolder(simulation), "");
    simulation.run(seconds(10));
    EXPECT_NE(onlyHolder(simulation), "");
}

/// Injects two random faults at a time, with fixed seeds: kills, restarts, pauses, network cuts,
/// platform outages and lost answers. Two instances must never hold a lease at the same time. After
/// the faults end, one instance must hold each lease.
TEST(LeaseManager, NeverHasTwoHoldersUnderRandomPairsOfFaults)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        std::mt19937_64 random(seed);
        lease_simulation simulation(6, {"k", "l", "m"}, seed);
        simulation.run(seconds(8));
        for (int round = 0; round < 12; ++round) {
            for (int fault = 0; fault < 2; ++fault) {
                const std::string name = "n" + std::to_string(random() % 6);
                const std::string other = "n" + std::to_string(random() % 6);
                switch (random() % 7) {
                case 0:
                    simulation.kill(name);
                    break;
                case 1:
                    simulation.startInstance(name);
                    break;
                case 2:
                    if (simulation.instances.contains(name))
                        simulation.instances[name].paused = true;
                    break;
                case 3:
                    if (simulation.instances.contains(name))
                        simulation.instances[name].cutFromPeers.insert(other);
                    break;
                case 4:
                    if (simulation.instances.contains(name))
                        simulation.instances[name].cutFromPlatform = true;
                    break;
                case 5:
                    simulation.isPlatformDown = !simulation.isPlatformDown;
                    break;
                case 6:
                    simulation.lostAnswerShare = 0.5;
                    break;
                }
            }
            simulation.run(std::chrono::milliseconds(300 + random() % 4000));
            for (auto it = simulation.instances.begin(); it != simulation.instances.end(); ++it) {
                if (random() % 2 == 0)
                    it->second.paused = false;
            }
            ASSERT_FALSE(simulation.everHeldByTwo) << "seed " << seed << " round " << round;
        }
        simulation.isPlatformDown = false;
        simulation.lostAnswerShare = 0;
        for (auto it = simulation.instances.begin(); it != simulation.instances.end(); ++it) {
            it->second.paused = false;
            it->second.cutFromPlatform = false;
            it->second.cutFromPeers.clear();
        }
        simulation.run(seconds(45));
        EXPECT_FALSE(simulation.everHeldByTwo) << "seed " << seed;
        if (!simulation.instances.empty()) {
            for (const char *key : {"k", "l", "m"})
                EXPECT_EQ(simulation.holders(key).size(), 1u) << "seed " << seed << " " << key;
        }
    }
}

} // namespace trefoil
