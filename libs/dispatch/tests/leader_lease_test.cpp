#include <dispatch/leader_lease.h>

#include <array>
#include <random>
#include <vector>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

constexpr duration stepTime = std::chrono::milliseconds(50);

leader_lease_options makeOptions(const char *name) { return {.self = name}; }

/// Fake store with one object and conditional writes.
struct fake_store
{
    std::optional<leader_record> record;
    std::uint64_t revision = 0;

    std::optional<std::uint64_t> write(const leader_record &next, std::uint64_t expected)
    {
        if (expected != revision)
            return std::nullopt;
        record = next;
        return ++revision;
    }
};

struct candidate
{
    explicit candidate(const char *name) : lease(makeOptions(name)) { }

    leader_lease lease;
    bool isDown = false;
    timestamp lastActed;
    bool hasActed = false;
};

/// Makes the next store call of one candidate. With @p isStoreDown the store can't be reached; with
/// @p isAnswerLost the answer to a write is lost. @p knowsOrders as in leader_lease::onWritten().
void stepCandidate(timestamp now, candidate &each, int rank, bool isLeaderAlive, fake_store &store,
                   bool isStoreDown, bool isAnswerLost, bool knowsOrders = false)
{
    const store_call next = each.lease.next(now, rank, isLeaderAlive, true);
    if (next == store_call::Read && !isStoreDown)
        each.lease.onRead(now, store.record, store.revision);
    if (next != store_call::Write)
        return;
    const leader_record record = each.lease.startWrite(now, false);
    const std::uint64_t expected = each.lease.revision();
    const std::optional<std::uint64_t> written =
        isStoreDown ? std::nullopt : store.write(record, expected);
    each.lease.onWritten(now, isAnswerLost ? std::nullopt : written, knowsOrders);
}

} // namespace

TEST(LeaderLease, TwoLeadersNeverActWithinTheQuietTime)
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        fake_store store;
        std::array<candidate, 3> all {candidate("a"), candidate("b"), candidate("c")};
        const auto withProbability = [&random](int perMille) {
            return static_cast<int>(random() % 1000) < perMille;
        };
        bool isStoreDown = false;
        int lastLeader = -1;
        timestamp lastActedAt {};
        int acts = 0;
        for (timestamp now {}; now < timestamp {} + std::chrono::seconds(60); now += stepTime) {
            isStoreDown = withProbability(isStoreDown ? 50 : 5) ? !isStoreDown : isStoreDown;
            for (std::size_t i = 0; i < all.size(); ++i) {
                candidate &each = all[i];
                if (withProbability(10))
                    each.isDown = !each.isDown;
                if (each.isDown)
                    continue;
                stepCandidate(now, each, static_cast<int>(i), false, store, isStoreDown,
                              withProbability(30));
                if (!each.lease.mayAct(now))
                    continue;
                if (lastLeader >= 0 && lastLeader != static_cast<int>(i)) {
                    EXPECT_GE(now - lastActedAt, std::chrono::milliseconds(3000))
                        << "seed " << seed;
                }
                lastLeader = static_cast<int>(i);
                lastActedAt = now;
                ++acts;
            }
        }
        EXPECT_GT(acts, 100) << "seed " << seed;
    }
}

// A store that was restored named an earlier leader, which then acted beside the present one and
// gave servers a lower epoch.
TEST(LeaderLease, TwoLeadersNeverActWithinTheQuietTimeWhenTheStoreIsRestored)
{
    constexpr int stepsLost = 80;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        fake_store store;
        std::vector<fake_store> copies;
        std::uint64_t era = 1;
        std::array<candidate, 3> all {candidate("a"), candidate("b"), candidate("c")};
        int lastLeader = -1;
        timestamp lastActedAt {};
        std::uint64_t lastEpoch = 0;
        std::uint64_t reportedEpoch = 0;
        int acts = 0;
        for (timestamp now {}; now < timestamp {} + std::chrono::seconds(60); now += stepTime) {
            copies.push_back(store);
            if (random() % 150 == 0) {
                const std::size_t lost =
                    std::min<std::size_t>(copies.size(), random() % stepsLost + 1);
                store = copies[copies.size() - lost];
                copies.clear();
                ++era;
                // The revisions of different eras are never equal.
                store.revision = era << 40 | (store.revision & 0xffffffff);
            }
            for (std::size_t i = 0; i < all.size(); ++i) {
                candidate &each = all[i];
                if (random() % 100 == 0)
                    each.isDown = !each.isDown;
                if (each.isDown)
                    continue;
                each.lease.observe(era, reportedEpoch);
                stepCandidate(now, each, static_cast<int>(i), false, store, false,
                              random() % 30 == 0);
                if (each.lease.holds(now))
                    reportedEpoch = std::max(reportedEpoch, each.lease.epoch());
                if (!each.lease.mayAct(now))
                    continue;
                if (lastLeader >= 0 && lastLeader != static_cast<int>(i)) {
                    EXPECT_GE(now - lastActedAt, std::chrono::milliseconds(3000))
                        << "seed " << seed;
                }
                EXPECT_GE(each.lease.epoch(), lastEpoch) << "seed " << seed;
                lastLeader = static_cast<int>(i);
                lastActedAt = now;
                lastEpoch = each.lease.epoch();
                ++acts;
            }
        }
        EXPECT_GT(acts, 100) << "seed " << seed;
    }
}

// Guards against an order that reaches a server after an order of a later lease: orders may take
// 900 ms to arrive, and a successor that knows the previous leader's orders, or an instance that
// takes over its own expired lease, acts at once.
TEST(LeaderLease, OrdersOfALeaseEndBeforeThoseOfTheNext)
{
    constexpr duration slowestOrder = std::chrono::milliseconds(900);
    int takeovers = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        fake_store store;
        std::array<candidate, 3> all {candidate("a"), candidate("b"), candidate("c")};
        bool isStoreDown = false;
        std::uint64_t lastEpoch = 0;
        timestamp ordersEnd {};
        for (timestamp now {}; now < timestamp {} + std::chrono::seconds(60); now += stepTime) {
            isStoreDown = random() % 1000 < (isStoreDown ? 50 : 15) ? !isStoreDown : isStoreDown;
            for (std::size_t i = 0; i < all.size(); ++i) {
                candidate &each = all[i];
                if (random() % 100 == 0)
                    each.isDown = !each.isDown;
                if (each.isDown)
                    continue;
                stepCandidate(now, each, static_cast<int>(i), false, store, isStoreDown,
                              random() % 10 == 0, true);
                const duration left = each.lease.actingTimeLeft(now);
                EXPECT_EQ(left > duration::zero(), each.lease.mayAct(now));
                if (left <= duration::zero())
                    continue;
                EXPECT_GE(each.lease.epoch(), lastEpoch) << "seed " << seed;
                if (each.lease.epoch() > lastEpoch) {
                    EXPECT_GE(now, ordersEnd) << "seed " << seed;
                    takeovers += lastEpoch > 0 ? 1 : 0;
                }
                lastEpoch = each.lease.epoch();
                ordersEnd = std::max(ordersEnd, now + std::min(slowestOrder, left));
            }
        }
    }
    EXPECT_GT(takeovers, 200);
}

TEST(LeaderLease, LeaderWhoseRecordIsGoneWaitsAndTakesAHigherEpoch)
{
    fake_store store;
    candidate leader("a");
    timestamp now {};
    for (int i = 0; i < 4; ++i, now += stepTime)
        stepCandidate(now, leader, 0, false, store, false, false);
    ASSERT_TRUE(leader.lease.holds(now));
    const std::uint64_t epoch = leader.lease.epoch();
    store = {};
    const timestamp end = now + std::chrono::seconds(6);
    bool hasLed = false;
    for (; now < end; now += stepTime) {
        stepCandidate(now, leader, 0, false, store, false, false);
        hasLed = hasLed || (leader.lease.holds(now) && leader.lease.epoch() > epoch);
    }
    EXPECT_TRUE(hasLed);
    EXPECT_TRUE(leader.lease.mayAct(now));
}

TEST(LeaderLease, RestartedLeaderTakesOverItsOwnRecordWithoutWaiting)
{
    fake_store store {.record = leader_record {.holder = "b", .epoch = 4, .isSettled = true},
                      .revision = 9};
    candidate restarted("b");
    timestamp now {};
    // Its rank of 2 would delay another candidate, but not the one that the record names.
    for (int i = 0; i < 4 && !restarted.lease.mayAct(now); ++i, now += stepTime)
        stepCandidate(now, restarted, 2, false, store, false, false);
    EXPECT_TRUE(restarted.lease.mayAct(now));
    EXPECT_EQ(restarted.lease.epoch(), 5u);
    EXPECT_LE(now - timestamp {}, std::chrono::milliseconds(200));
}

TEST(LeaderLease, RestartedLeaderWithAnUnsettledRecordWaits)
{
    fake_store store {.record = leader_record {.holder = "b", .epoch = 4}, .revision = 9};
    candidate restarted("b");
    timestamp now {};
    for (; now < timestamp {} + std::chrono::seconds(3); now += stepTime) {
        stepCandidate(now, restarted, 0, false, store, false, false);
        EXPECT_FALSE(restarted.lease.mayAct(now));
    }
    for (; now < timestamp {} + std::chrono::seconds(4); now += stepTime)
        stepCandidate(now, restarted, 0, false, store, false, false);
    EXPECT_TRUE(restarted.lease.mayAct(now));
}

TEST(LeaderLease, LeaderSuspendedPastItsLeaseDoesNotAct)
{
    fake_store store;
    candidate leader("a");
    timestamp now {};
    for (int i = 0; i < 4; ++i, now += stepTime)
        stepCandidate(now, leader, 0, false, store, false, false);
    ASSERT_TRUE(leader.lease.mayAct(now));
    now += std::chrono::seconds(5);
    EXPECT_FALSE(leader.lease.mayAct(now));
    EXPECT_EQ(leader.lease.next(now, 0, false, true), store_call::Read);
}

TEST(LeaderLease, ReleasedLeaseIsTakenOverWithoutWaiting)
{
    fake_store store {.record = leader_record {.holder = "a", .epoch = 1, .isReleased = true},
                      .revision = 3};
    candidate next("b");
    timestamp now {};
    for (int i = 0; i < 4; ++i, now += stepTime)
        stepCandidate(now, next, 0, false, store, false, false);
    EXPECT_TRUE(next.lease.holds(now));
}

// Guards against a burst of store reads: when 81 instances started together, each of them read the
// record repeatedly.
TEST(LeaderLease, FewInstancesReadTheRecordBeforeTheFirstLeaderIsHeard)
{
    int reads = 0;
    for (int rank = 0; rank < 81; ++rank) {
        leader_lease lease({.self = "m" + std::to_string(rank)});
        // The first leader writes immediately and is heard within a report period.
        constexpr duration heardAfter = std::chrono::milliseconds(450);
        bool hasRead = false;
        for (duration at {}; at < std::chrono::seconds(5); at += std::chrono::milliseconds(50)) {
            const timestamp now = timestamp {} + std::chrono::seconds(10) + at;
            hasRead = lease.next(now, rank, at >= heardAfter, true) == store_call::Read || hasRead;
        }
        reads += hasRead ? 1 : 0;
    }
    EXPECT_LE(reads, 10);
    // If no leader appears, the instance of the highest rank reads as well.
    leader_lease last({.self = "m80"});
    const timestamp start = timestamp {} + std::chrono::seconds(10);
    EXPECT_EQ(last.next(start, 80, false, true), store_call::None);
    EXPECT_EQ(last.next(start + std::chrono::seconds(4), 80, false, true), store_call::Read);
}

TEST(LeaderLease, RecordRoundTripsThroughText)
{
    const leader_record record {.holder = "a",
                                .epoch = 7,
                                .renewal = 12,
                                .isReleased = true,
                                .targetSetAtMs = {{"m=2", 1771762944016}}};
    EXPECT_EQ(parseLeaderRecord(toText(record)), record);
    EXPECT_FALSE(parseLeaderRecord("{}"));
    EXPECT_FALSE(parseLeaderRecord("not json"));
}

} // namespace trefoil
