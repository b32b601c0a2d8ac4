#include <gossip/membership.h>

#include <functional>
#include <memory>
#include <set>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

/// Simulates a fleet in virtual time. A call to a running member is answered at once. It fails if
/// the target is stopped, and gets no answer if the link is down or the target is paused.
class fleet
{
public:
    explicit fleet(int size, std::uint64_t seed = 0) : m_seed(seed)
    {
        for (int i = 0; i < size; ++i)
            start(i, 1);
    }

    void start(int index, std::uint64_t incarnation)
    {
        const std::string name = nameOf(index);
        m_nodes[name] = std::make_unique<membership>(
            membership_options {.self = {.name = name,
                                         .zone = "a",
                                         .region = "r",
                                         .callers = name,
                                         .peers = name,
                                         .incarnation = incarnation},
                                .seeds = {nameOf(0), nameOf(1)},
                                .randomSeed = m_seed + static_cast<std::uint64_t>(index) + 1,
                                .urgentTopics = {"config"}});
    }

    void stop(int index) { m_nodes.erase(nameOf(index)); }
    membership &node(int index) { return *m_nodes.at(nameOf(index)); }
    static std::string nameOf(int index) { return "n" + std::to_string(1000 + index); }

    void run(duration time)
    {
        const timestamp end = m_now + time;
        while (m_now < end) {
            m_now += std::chrono::milliseconds(50);
            runTick();
        }
    }

    /// Returns whether the link between two members is up. Tests replace it to break links.
    std::function<bool(const std::string &, const std::string &)> isLinkUp =
        [](const std::string &, const std::string &) { return true; };
    /// Members that neither run nor answer.
    std::set<std::string> paused;
    std::size_t messages = 0;

private:
    void runTick()
    {
        std::vector<std::string> names;
        for (auto it = m_nodes.begin(); it != m_nodes.end(); ++it)
            names.push_back(it->first);
        for (const std::string &name : names) {
            if (paused.contains(name))
                continue;
            for (const gossip_call &call : m_nodes[name]->tick(m_now))
                deliver(name, call);
            for (const std::pair<std::uint64_t, bool> &relayed :
                 m_nodes[name]->takeFinishedRelays())
                answerRelay(relayed);
        }
    }

    void deliver(const std::string &from, const gossip_call &call)
    {
        ++messages;
        const auto target = m_nodes.find(call.to);
        if (target == m_nodes.end()) {
            m_nodes[from]->onFailure(m_now, call.id);
            return;
        }
        if (!isLinkUp(from, call.to) || paused.contains(call.to))
            return; // no answer: the call times out at the sender
        const std::uint64_t relayId = m_nextRelay++;
        const std::optional<gossip_answer> answer =
            target->second->onRequest(m_now, call.request, relayId);
        if (answer)
            m_nodes[from]->onAnswer(m_now, call.id, *answer);
        else
            m_relays[relayId] = {from, call.id};
    }

    void answerRelay(const std::pair<std::uint64_t, bool> &relayed)
    {
        const std::pair<std::string, std::uint64_t> requester = m_relays[relayed.first];
        if (m_nodes.contains(requester.first))
            m_nodes[requester.first]->onAnswer(m_now, requester.second,
                                               gossip_relayed {.reached = relayed.second});
    }

    std::uint64_t m_seed;
    timestamp m_now {};
    std::map<std::string, std::unique_ptr<membership>> m_nodes;
    std::map<std::uint64_t, std::pair<std::string, std::uint64_t>> m_relays;
    std::uint64_t m_nextRelay = 1;
};

std::size_t aliveMembersSeenBy(fleet &testFleet, int index)
{
    std::size_t alive = 0;
    for (const member &each : testFleet.node(index).members())
        alive += each.state == member_state::Alive ? 1 : 0;
    return alive;
}

} // namespace

TEST(Membership, MembersDiscoverEachOtherThroughSeeds)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(15));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 8u) << i;
}

TEST(Membership, ConvergesWithinThreeSecondsOfASimultaneousStart)
{
    for (std::uint64_t seed = 0; seed < 2000; seed += 100) {
        fleet testFleet(6, seed);
        testFleet.run(std::chrono::seconds(3));
        for (int i = 0; i < 6; ++i)
            EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 6u) << i << " seed " << seed;
    }
}

TEST(Membership, DetectsCrashAndRestart)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(15));
    testFleet.stop(3);
    testFleet.run(std::chrono::seconds(20));
    for (const int i : {0, 1, 2, 4, 5, 6, 7})
        EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 7u) << i;
    testFleet.start(3, 2);
    testFleet.run(std::chrono::seconds(15));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 8u) << i;
}

TEST(Membership, PausedInstanceRefutesItsDeathWhenItResumes)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(15));
    testFleet.paused.insert(fleet::nameOf(5));
    testFleet.run(std::chrono::seconds(20));
    EXPECT_EQ(aliveMembersSeenBy(testFleet, 0), 7u);
    testFleet.paused.clear();
    testFleet.run(std::chrono::seconds(20));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 8u) << i;
}

TEST(Membership, BrokenLinkBetweenTwoMembersKeepsBothAlive)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(15));
    testFleet.isLinkUp = [](const std::string &from, const std::string &to) {
        return !((from == fleet::nameOf(0) && to == fleet::nameOf(1))
                 || (from == fleet::nameOf(1) && to == fleet::nameOf(0)));
    };
    for (int i = 0; i < 60; ++i) {
        testFleet.run(std::chrono::seconds(1));
        EXPECT_EQ(aliveMembersSeenBy(testFleet, 0), 8u) << "after " << i << " s";
    }
}

TEST(Membership, PartitionedHalvesMergeWhenTheNetworkHeals)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(15));
    const auto isInFirstHalf = [](const std::string &name) { return name < fleet::nameOf(4); };
    testFleet.isLinkUp = [isInFirstHalf](const std::string &from, const std::string &to) {
        return isInFirstHalf(from) == isInFirstHalf(to);
    };
    testFleet.run(std::chrono::seconds(60));
    EXPECT_EQ(aliveMembersSeenBy(testFleet, 0), 4u);
    testFleet.isLinkUp = [](const std::string &, const std::string &) { return true; };
    testFleet.run(std::chrono::seconds(60));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(aliveMembersSeenBy(testFleet, i), 8u) << i;
}

TEST(Membership, UrgentRumorReachesAllMembersWithinOneSecond)
{
    fleet testFleet(40);
    testFleet.run(std::chrono::seconds(40));
    testFleet.node(7).publish({.topic = "config", .key = "routes", .version = 9});
    testFleet.run(std::chrono::seconds(1));
    for (int i = 0; i < 40; ++i)
        EXPECT_NE(testFleet.node(i).rumors().find("config", "routes"), nullptr) << i;
}

TEST(Membership, UrgentRumorsBeyondOneMessageArriveWithinFiveSeconds)
{
    fleet testFleet(8);
    testFleet.run(std::chrono::seconds(20));
    for (int i = 0; i < 100; ++i)
        testFleet.node(2).publish({.topic = "config",
                                   .key = "object-" + std::to_string(i),
                                   .version = 1,
                                   .payload = std::string(60, 'x')});
    testFleet.run(std::chrono::seconds(5));
    for (int i = 0; i < 8; ++i)
        EXPECT_EQ(testFleet.node(i).rumors().all("config").size(), 100u) << i;
}

TEST(Membership, MessageRateOfANodeDoesNotGrowWithTheFleet)
{
    const auto messagesPerNodeSecond = [](int size) {
        fleet testFleet(size);
        testFleet.run(std::chrono::seconds(40));
        testFleet.messages = 0;
        testFleet.run(std::chrono::seconds(20));
        return static_cast<double>(testFleet.messages) / size / 20;
    };
    const double smallFleetRate = messagesPerNodeSecond(8);
    const double largeFleetRate = messagesPerNodeSecond(80);
    EXPECT_LT(largeFleetRate, smallFleetRate * 1.2);
}

} // namespace trefoil
