#include <dispatch/member_table.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

member_entry makeEntry(const char *name, const char *zone, std::uint16_t port)
{
    return {.name = name,
            .zone = zone,
            .callers = {.host = "10.0.0.1", .port = port},
            .peers = {},
            .incarnation = 1};
}

} // namespace

TEST(MemberTable, CallersAreSentToLiveInstancesOfTheirZone)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now,
                      {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2), makeEntry("c", "z2", 3)});
    EXPECT_EQ(members.callerAddresses(now, "z1", true).size(), 2u);
    // A single instance is too few for a zone: its loss would leave the callers without one.
    EXPECT_EQ(members.callerAddresses(now, "z2", true).size(), 3u);
    EXPECT_EQ(members.callerAddresses(now, "z1", false).size(), 2u);
}

// Models a fleet of 6 instances with half a core each and 75 with an eighth of a core and a link of
// 10 Mbit/s.
TEST(MemberTable, CallersAreSentToLargeInstancesUntilThoseAreOverloaded)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2),
                                       makeEntry("c", "z1", 3), makeEntry("d", "z1", 4)};
    entries[0].capacity = capacityOf(0.12, 10);
    entries[1].capacity = capacityOf(0.5, 200);
    entries[2].capacity = capacityOf(0.5, 200);
    entries[3].capacity = capacityOf(0.12, 10);
    members.setListed(now, entries);
    EXPECT_EQ(members.callerAddresses(now, "z1", true),
              (std::vector<endpoint> {entries[1].callers, entries[2].callers}));
    members.recordSchedulingDelay("b", std::chrono::milliseconds(100));
    members.recordSchedulingDelay("c", std::chrono::milliseconds(20));
    EXPECT_EQ(members.callerAddresses(now, "z1", true).size(), 4u);
    // Callers stay spread for a while; otherwise the overload would return immediately.
    members.recordSchedulingDelay("b", {});
    for (const char *name : {"b", "c", "d"})
        members.recordReport(now + std::chrono::seconds(5), name, 1, 1, false, 0);
    EXPECT_EQ(members.callerAddresses(now + std::chrono::seconds(5), "z1", true).size(), 4u);
    for (const char *name : {"b", "c", "d"})
        members.recordReport(now + std::chrono::seconds(11), name, 1, 2, false, 0);
    EXPECT_EQ(members.callerAddresses(now + std::chrono::seconds(11), "z1", true).size(), 2u);
    // A single large instance is too few, so callers are sent to all instances.
    members.recordReport(now + std::chrono::seconds(11), "c", 1, 3, true, 0);
    EXPECT_EQ(members.callerAddresses(now + std::chrono::seconds(11), "z1", true).size(), 3u);
}

// Callers were sent to instances that had lost their links to the servers, since these were alive.
TEST(MemberTable, CallersAreNotSentToInstancesThatAreCutOffUnlessAllAre)
{
    member_table members({.self = "a", .zone = "z1"});
    const timestamp now {};
    const std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2),
                                             makeEntry("c", "z1", 3), makeEntry("d", "z2", 4)};
    members.setListed(now, entries);
    EXPECT_FALSE(members.isAnyCutOff());
    members.recordCutOff("b", true);
    EXPECT_TRUE(members.isAnyCutOff());
    EXPECT_EQ(members.callerAddresses(now, "z1", true),
              (std::vector<endpoint> {entries[0].callers, entries[2].callers}));
    members.recordCutOff("a", true);
    members.recordCutOff("c", true);
    EXPECT_EQ(members.callerAddresses(now, "z1", true),
              (std::vector<endpoint> {entries[3].callers}));
    members.recordCutOff("d", true);
    EXPECT_EQ(members.callerAddresses(now, "z1", true).size(), 3u);
}

TEST(MemberTable, RelaysAreLiveLargeInstancesThatReachTheServers)
{
    member_table members({.self = "a", .zone = "z1"});
    const timestamp now {};
    std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2),
                                       makeEntry("c", "z2", 3), makeEntry("d", "z2", 4),
                                       makeEntry("e", "z2", 5)};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].peers = {.host = "10.0.0.2", .port = static_cast<std::uint16_t>(i + 1)};
        entries[i].capacity = i == 3 ? 0.1 : 0.5;
    }
    members.setListed(now, entries);
    EXPECT_EQ(members.relays(now),
              (std::vector<endpoint> {entries[1].peers, entries[2].peers, entries[4].peers}));
    members.recordCutOff("b", true);
    members.recordReport(now, "c", 1, 1, true, 0);
    EXPECT_EQ(members.relays(now), (std::vector<endpoint> {entries[4].peers}));
}

TEST(MemberTable, CallersAreNotSentToLeavingOrSilentInstances)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now,
                      {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2), makeEntry("c", "z1", 3)});
    EXPECT_TRUE(members.recordReport(now, "b", 1, 1, true, 0));
    EXPECT_FALSE(members.isAlive(now, "b"));
    now += std::chrono::milliseconds(1100);
    EXPECT_FALSE(members.isAlive(now, "c"));
    EXPECT_EQ(members.callerAddresses(now, "z1", true).size(), 1u);
    EXPECT_TRUE(members.recordReport(now, "c", 1, 1, false, 0));
    EXPECT_TRUE(members.isAlive(now, "c"));
}

// Instances without callers report only every 1.5 s and must not be considered dead in between.
TEST(MemberTable, InstanceIsAliveForThreeReportPeriods)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now,
                      {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2), makeEntry("c", "z1", 3)});
    members.recordReport(now, "b", 1, 1, false, 0, std::chrono::milliseconds(1500));
    members.recordReport(now, "c", 1, 1, false, 0, std::chrono::milliseconds(200));
    EXPECT_TRUE(members.isAlive(now + std::chrono::milliseconds(4400), "b"));
    EXPECT_FALSE(members.isAlive(now + std::chrono::milliseconds(4600), "b"));
    EXPECT_FALSE(members.isAlive(now + std::chrono::milliseconds(1100), "c"));
}

TEST(MemberTable, OutdatedReportsAreIgnored)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    members.setListed(now, {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2)});
    EXPECT_TRUE(members.recordReport(now, "b", 2, 5, false, 3));
    EXPECT_FALSE(members.recordReport(now, "b", 2, 4, true, 0));
    EXPECT_FALSE(members.recordReport(now, "b", 1, 9, true, 0));
    EXPECT_FALSE(members.recordReport(now, "unlisted", 1, 1, false, 0));
    EXPECT_TRUE(members.isLeaderHeard(now, "b", 3));
    EXPECT_FALSE(members.isLeaderHeard(now + std::chrono::seconds(1), "b", 3));
    EXPECT_TRUE(members.reportedLeadership("b", 3));
}

// An incarnation is the time of the start. After a step back of the clock the reports of an
// instance that started again were ignored, as those of its earlier incarnation.
TEST(MemberTable, InstanceThatStartedAgainAfterItsClockWasSetBackIsHeard)
{
    member_table members({.self = "a", .zone = "z1"});
    const timestamp now {};
    member_entry entry = makeEntry("b", "z1", 2);
    entry.incarnation = 60'000;
    members.setListed(now, {makeEntry("a", "z1", 1), entry});
    EXPECT_TRUE(members.recordReport(now, "b", 60'000, 50, false, 0));
    entry.incarnation = 50'000;
    members.setListed(now, {makeEntry("a", "z1", 1), entry});
    EXPECT_TRUE(members.recordReport(now, "b", 50'000, 1, false, 0));
}

TEST(MemberTable, ReportsWhetherSelfIsListedAndALeaderIsHeard)
{
    member_table members({.self = "a", .zone = "z1"});
    timestamp now {};
    EXPECT_FALSE(members.isSelfListed());
    members.setListed(now, {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2)});
    EXPECT_TRUE(members.isSelfListed());
    EXPECT_FALSE(members.isAnyLeaderHeard(now));
    members.recordReport(now, "b", 1, 1, false, 4);
    EXPECT_TRUE(members.isAnyLeaderHeard(now));
    EXPECT_FALSE(members.isAnyLeaderHeard(now + std::chrono::seconds(1)));
}

TEST(MemberTable, RankCountsLiveInstancesSortedBeforeSelf)
{
    member_table members({.self = "c", .zone = "z1"});
    timestamp now {};
    members.setListed(now,
                      {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2), makeEntry("c", "z1", 3)});
    EXPECT_EQ(members.rank(now), 2);
    now += std::chrono::seconds(2);
    members.recordReport(now, "b", 1, 1, false, 0);
    EXPECT_EQ(members.rank(now), 1);
}

namespace {

/// Number of instances that read the newest state of an urgent kind.
constexpr int readersNeeded = 8;
constexpr const char *someKind = "config/";
using kind_list = std::vector<std::string>;

/// Tables of a fleet whose instances hear each other's reports. "m100" to "m129" are in zone z0,
/// the next thirty in z1, the last thirty in z2.
class reader_fleet
{
public:
    enum class build { Current, Older };

    reader_fleet()
    {
        for (int i = 0; i < 90; ++i) {
            const std::string name = "m" + std::to_string(100 + i);
            m_entries.push_back(makeEntry(name.c_str(), ("z" + std::to_string(i / 30)).c_str(), 1));
            m_reports.emplace(name, kind_list {});
        }
        for (const member_entry &entry : m_entries) {
            m_tables.emplace(entry.name, member_table({.self = entry.name, .zone = entry.zone}));
            m_tables.at(entry.name).setListed(m_now, m_entries);
        }
    }

    const std::vector<member_entry> &entries() const { return m_entries; }
    void setLost(const std::string &name, bool isLost)
    {
        m_reports[name] = isLost ? kind_list {someKind} : kind_list {};
        m_lost[name] = isLost;
    }
    void setBuild(const std::string &name, build which)
    {
        if (which == build::Older)
            m_reports[name].reset();
    }

    /// Each instance that is not in @p dead hears each other one's report.
    void exchangeReports(const std::set<std::string> &dead = {})
    {
        m_now += std::chrono::seconds(3);
        ++m_sequence;
        for (auto to = m_tables.begin(); to != m_tables.end(); ++to) {
            for (const member_entry &from : m_entries) {
                if (from.name == to->first || dead.contains(from.name))
                    continue;
                to->second.recordReport(m_now, from.name, 1, m_sequence, false, 0);
                to->second.recordLostKinds(from.name, m_reports[from.name]);
            }
        }
        m_dead = dead;
    }

    /// Returns the instances that read the newest state.
    std::set<std::string> readers()
    {
        std::set<std::string> names;
        for (auto it = m_tables.begin(); it != m_tables.end(); ++it) {
            const int rank = m_reports[it->first]
                ? it->second.readerRank(m_now, someKind, m_lost[it->first])
                : it->second.rank(m_now);
            if (!m_dead.contains(it->first) && rank < readersNeeded)
                names.insert(it->first);
        }
        return names;
    }

    /// Returns how many of readers() reach the store.
    int workingReaders()
    {
        const std::set<std::string> all = readers();
        return static_cast<int>(std::count_if(
            all.begin(), all.end(), [this](const std::string &name) { return !m_lost[name]; }));
    }

private:
    timestamp m_now {};
    std::uint64_t m_sequence = 0;
    std::vector<member_entry> m_entries;
    std::map<std::string, member_table> m_tables;
    std::map<std::string, std::optional<kind_list>> m_reports;
    std::map<std::string, bool> m_lost;
    std::set<std::string> m_dead;
};

} // namespace

// The readers were the first eight by name, all of one zone.
TEST(MemberTable, ReadersOfTheStoreAreSpreadOverZones)
{
    reader_fleet fleet;
    const std::set<std::string> expected {"m100", "m101", "m102", "m130",
                                          "m131", "m132", "m160", "m161"};
    EXPECT_EQ(fleet.readers(), expected);
    fleet.exchangeReports();
    EXPECT_EQ(fleet.readers(), expected);
}

TEST(MemberTable, LargestInstancesOfAZoneReadTheStoreFirst)
{
    member_table members({.self = "c", .zone = "z1"});
    std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z2", 2),
                                       makeEntry("c", "z1", 3)};
    entries[2].capacity = 0.5;
    const timestamp now {};
    members.setListed(now, entries);
    EXPECT_EQ(members.readerRank(now, someKind, false), 0);
}

// A reader that had lost the store still counted.
TEST(MemberTable, OthersTakeOverFromReadersThatLostTheStoreOrDied)
{
    reader_fleet fleet;
    for (int i = 0; i < 30; ++i)
        fleet.setLost(fleet.entries()[static_cast<std::size_t>(i)].name, true);
    fleet.exchangeReports({"m130"});
    EXPECT_EQ(fleet.workingReaders(), readersNeeded);
    EXPECT_FALSE(fleet.readers().contains("m130"));
    // The first ones by place go on reading, so that they notice the store's return.
    EXPECT_TRUE(fleet.readers().contains("m100"));
    EXPECT_FALSE(fleet.readers().contains("m129"));
    for (int i = 0; i < 30; ++i)
        fleet.setLost(fleet.entries()[static_cast<std::size_t>(i)].name, false);
    fleet.exchangeReports();
    EXPECT_EQ(static_cast<int>(fleet.readers().size()), readersNeeded);
}

TEST(MemberTable, FewInstancesReadAStoreThatAllHaveLost)
{
    reader_fleet fleet;
    for (const member_entry &entry : fleet.entries())
        fleet.setLost(entry.name, true);
    fleet.exchangeReports();
    EXPECT_EQ(static_cast<int>(fleet.readers().size()), readersNeeded);
}

// Instances of an older build choose the first eight by name, whatever they hear.
TEST(MemberTable, FleetOfTwoBuildsHasNoFewerWorkingReadersThanTheOlderBuildAlone)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        reader_fleet older;
        reader_fleet mixed;
        const std::uint32_t lostPerCent = random() % 101;
        const std::uint32_t olderPerCent = random() % 101;
        const std::size_t lostZone = random() % 4;
        for (std::size_t i = 0; i < older.entries().size(); ++i) {
            const std::string &name = older.entries()[i].name;
            const bool isLost = i / 30 == lostZone || random() % 100 < lostPerCent;
            older.setLost(name, isLost);
            mixed.setLost(name, isLost);
            older.setBuild(name, reader_fleet::build::Older);
            if (random() % 100 < olderPerCent)
                mixed.setBuild(name, reader_fleet::build::Older);
        }
        older.exchangeReports();
        mixed.exchangeReports();
        EXPECT_GE(mixed.workingReaders(), older.workingReaders()) << "seed " << seed;
        EXPECT_LE(mixed.workingReaders(), 2 * readersNeeded) << "seed " << seed;
    }
}

// Guards against excessive traffic between zones: when 81 instances in three zones sent each report
// to every other instance, half a gigabyte crossed zones in half a minute.
TEST(MemberTable, ReportInALargeFleetIsSentOnceToEachZoneAndReachesAllInstances)
{
    constexpr int fleet = 81;
    std::vector<member_entry> entries;
    for (int i = 0; i < fleet; ++i) {
        const std::string name = "m" + std::to_string(100 + i);
        entries.push_back(makeEntry(name.c_str(), i % 3 == 0 ? "z0" : i % 3 == 1 ? "z1" : "z2", 1));
        entries.back().peers = {.host = name, .port = 1};
    }
    const timestamp now {};
    std::map<std::string, member_table> tables;
    for (const member_entry &entry : entries) {
        member_table table({.self = entry.name, .zone = entry.zone});
        table.setListed(now, entries);
        tables.emplace(entry.name, std::move(table));
    }
    std::set<std::string> receivers;
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        std::multiset<std::string> heard;
        int crossing = 0;
        for (const report_target &target : tables.at("m100").reportTargets(now, sequence)) {
            heard.insert(target.to.host);
            if (!target.isForwarded)
                continue;
            ++crossing;
            receivers.insert(target.to.host);
            for (const endpoint &next : tables.at(target.to.host).forwardTargets("m100"))
                heard.insert(next.host);
        }
        EXPECT_EQ(crossing, 2);
        EXPECT_EQ(heard.size(), fleet - 1u);
        EXPECT_EQ(std::set<std::string>(heard.begin(), heard.end()).size(), fleet - 1u);
    }
    EXPECT_EQ(receivers.size(), 6u) << "each report goes to different receivers";
}

TEST(MemberTable, DeadReceiversAreSkippedButAZoneWithoutLiveOnesStillGetsReports)
{
    member_table members({.self = "a", .zone = "z1", .maxDirectPeers = 2});
    timestamp now {};
    std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z2", 2),
                                       makeEntry("c", "z2", 3), makeEntry("d", "z1", 4)};
    for (member_entry &entry : entries)
        entry.peers = entry.callers;
    members.setListed(now, entries);
    now += std::chrono::seconds(2);
    members.recordReport(now, "c", 1, 1, false, 0);
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        const std::vector<report_target> targets = members.reportTargets(now, sequence);
        ASSERT_EQ(targets.size(), 2u);
        EXPECT_EQ(targets[1], (report_target {.to = entries[2].peers, .isForwarded = true}));
    }
    now += std::chrono::seconds(2);
    EXPECT_NE(members.reportTargets(now, 1)[1], members.reportTargets(now, 2)[1]);
}

namespace {

/// Returns a fleet of a in z1 and of b to e in z2, with the capacities @p inZone of the latter.
std::vector<member_entry> makeZoneWithCapacities(std::array<double, 4> inZone)
{
    std::vector<member_entry> entries {makeEntry("a", "z1", 1), makeEntry("b", "z2", 2),
                                       makeEntry("c", "z2", 3), makeEntry("d", "z2", 4),
                                       makeEntry("e", "z2", 5)};
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].peers = entries[i].callers;
        entries[i].capacity = i == 0 ? 0.5 : inZone[i - 1];
    }
    return entries;
}

/// Returns the ports of the receivers of @p count reports after each other.
std::multiset<std::uint16_t> forwarders(const member_table &members, timestamp now,
                                        std::uint64_t count)
{
    std::multiset<std::uint16_t> ports;
    for (std::uint64_t sequence = 1; sequence <= count; ++sequence) {
        for (const report_target &target : members.reportTargets(now, sequence))
            ports.insert(target.isForwarded ? target.to.port : 0);
    }
    return ports;
}

} // namespace

// Guards against late reports: a small instance forwarded each report to 30 others over a link of
// 10 Mbit/s that was full of prompts, and the reports arrived seconds late.
TEST(MemberTable, ReportsAreForwardedByTheLargeInstancesOfAZoneInTurn)
{
    member_table members({.self = "a", .zone = "z1", .maxDirectPeers = 2});
    const double smallCapacity = capacityOf(0.12, 10);
    const double largeCapacity = capacityOf(0.5, 200);
    // Half of the largest capacity is large, too.
    members.setListed(
        {},
        makeZoneWithCapacities({smallCapacity, largeCapacity, largeCapacity / 2, smallCapacity}));
    EXPECT_EQ(forwarders(members, {}, 4), (std::multiset<std::uint16_t> {3, 3, 4, 4}));
}

TEST(MemberTable, ReportsAreForwardedByAnyLiveInstanceWithoutALargeOne)
{
    member_table members({.self = "a", .zone = "z1", .maxDirectPeers = 2});
    const double smallCapacity = capacityOf(0.12, 10);
    timestamp now {};
    members.setListed(now,
                      makeZoneWithCapacities({smallCapacity, 0.5, smallCapacity, smallCapacity}));
    EXPECT_EQ(forwarders(members, now, 2), (std::multiset<std::uint16_t> {3, 3}));
    // The large one falls silent.
    now += std::chrono::seconds(2);
    for (const char *name : {"b", "d", "e"})
        members.recordReport(now, name, 1, 1, false, 0);
    EXPECT_EQ(forwarders(members, now, 3), (std::multiset<std::uint16_t> {2, 4, 5}));
    // A large one that is leaving doesn't serve either.
    members.recordReport(now, "c", 1, 1, true, 0);
    EXPECT_EQ(forwarders(members, now, 3), (std::multiset<std::uint16_t> {2, 4, 5}));
    members.recordReport(now, "c", 1, 2, false, 0);
    EXPECT_EQ(forwarders(members, now, 2), (std::multiset<std::uint16_t> {3, 3}));
}

TEST(MemberTable, ReportsAreForwardedByAllLiveInstancesInTurnIfCapacitiesAreUnknown)
{
    member_table members({.self = "a", .zone = "z1", .maxDirectPeers = 2});
    members.setListed({}, makeZoneWithCapacities({0, 0, 0, 0}));
    EXPECT_EQ(forwarders(members, {}, 4), (std::multiset<std::uint16_t> {2, 3, 4, 5}));
}

TEST(MemberTable, ReportInASmallFleetIsSentDirectlyToAllInstances)
{
    member_table members({.self = "a", .zone = "z1"});
    members.setListed({},
                      {makeEntry("a", "z1", 1), makeEntry("b", "z1", 2), makeEntry("c", "z2", 3)});
    const std::vector<report_target> targets = members.reportTargets({}, 1);
    ASSERT_EQ(targets.size(), 2u);
    EXPECT_FALSE(targets[0].isForwarded || targets[1].isForwarded);
}

} // namespace trefoil
