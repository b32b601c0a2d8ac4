#include <routing/crash_attribution.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

constexpr timestamp start = timestamp {} + 1000s;
constexpr duration step = 5ms;
constexpr duration reportInterval = 200ms;
constexpr duration reportedTime = 3s;
constexpr duration restartTime = 3s;
/// Time in which an instance must hear of what others know.
constexpr duration contactTime = 3s;
constexpr int instanceCount = 6;
constexpr int serverCount = 18;
constexpr int partsPerRoute = 475;
constexpr std::uint64_t badPart = 1'000'000;
constexpr std::uint64_t partBesideBadPart = 7;

/// Requests of two routes at a fleet of instances and servers. From second 4 on, a share of the
/// first route's requests has a part that crashes each server that begins to answer one of them.
class crash_simulation
{
public:
    struct options
    {
        unsigned seed = 1;
        double badShare = 0.05;
        /// Whether the requests at fault always have the same other part.
        bool hasFixedNeighbour = true;
        /// Instances that send and receive no reports.
        int isolatedInstances = 0;
        /// Servers that crash together at second 4 for another reason.
        int commonCrashes = 0;
        /// An instance that restarts at second 12, or -1.
        int restartedInstance = -1;
    };
    struct totals
    {
        int crashes = 0;
        /// Requests with the bad part that reached servers later than contactTime after the fifth
        /// crash.
        int lateBadRequests = 0;
        int soundRequests = 0;
        int refusedSoundRequests = 0;
        /// The same from two contact times after the fifth crash on, for the part beside the bad
        /// one.
        int neighbourRequests = 0;
        int refusedNeighbourRequests = 0;
    };

    explicit crash_simulation(const options &options) : m_options(options), m_random(options.seed)
    { }

    totals run(duration length)
    {
        bool haveCrashedTogether = m_options.commonCrashes == 0;
        for (m_now = start; m_now < start + length; m_now += step) {
            const duration time = m_now - start;
            std::poisson_distribution<int> arrivals(114 * 0.005);
            for (int i = arrivals(m_random); i > 0; --i)
                arrive(time >= 4s);
            begin();
            for (int i = 0; !haveCrashedTogether && time >= 4s && i < m_options.commonCrashes; ++i)
                crash(i);
            haveCrashedTogether = haveCrashedTogether || time >= 4s;
            if (m_options.restartedInstance >= 0 && time == 12s)
                m_instances[static_cast<std::size_t>(m_options.restartedInstance)] = instance();
            if (time % reportInterval == 0ms)
                exchangeReports();
        }
        return m_totals;
    }

private:
    struct request
    {
        int instance = 0;
        std::uint64_t id = 0;
        std::vector<std::uint64_t> parts;
        timestamp beginsAt;
        bool isBad = false;
    };
    struct server
    {
        std::vector<request> waiting;
        timestamp upAt;
        int crashes = 0;
    };
    struct instance
    {
        crash_attribution attribution;
        std::vector<crash_suspect> suspects;
    };

    std::uint64_t randomPart(std::uint64_t route)
    {
        const double skewed = std::pow(std::uniform_real_distribution<double>()(m_random), 1.4);
        return route * 10'000 + static_cast<std::uint64_t>(skewed * partsPerRoute);
    }

    void arrive(bool isBadTime)
    {
        std::uniform_real_distribution<double> uniform;
        const bool isFirstRoute = uniform(m_random) < 0.66;
        request each {.instance = static_cast<int>(m_random() % instanceCount), .id = ++m_lastId};
        each.isBad = isBadTime && isFirstRoute && uniform(m_random) < m_options.badShare;
        // Teams have different first parts.
        each.parts = {(isFirstRoute ? 100u : 200u) + m_random() % 5};
        each.parts.push_back(each.isBad && m_options.hasFixedNeighbour
                                 ? partBesideBadPart
                                 : randomPart(isFirstRoute ? 0 : 1));
        if (each.isBad)
            each.parts.push_back(badPart);
        each.beginsAt = m_now + std::chrono::milliseconds(100 + m_random() % 200);
        place(std::move(each));
    }

    void place(request each)
    {
        instance &at = m_instances[static_cast<std::size_t>(each.instance)];
        const bool isRefused = at.attribution.blockingPart(m_now, each.parts).has_value();
        const bool isLate = m_fifthCrash && m_now > *m_fifthCrash + contactTime;
        if (!each.isBad) {
            const bool isNeighbour = m_fifthCrash && m_now > *m_fifthCrash + 2 * contactTime
                && each.parts[1] == partBesideBadPart;
            m_totals.soundRequests += 1;
            m_totals.refusedSoundRequests += isRefused ? 1 : 0;
            m_totals.neighbourRequests += isNeighbour ? 1 : 0;
            m_totals.refusedNeighbourRequests += isNeighbour && isRefused ? 1 : 0;
        }
        if (isRefused)
            return;
        m_totals.lateBadRequests += each.isBad && isLate ? 1 : 0;
        for (int i = 0; i < serverCount; ++i) {
            server &chosen = m_servers[m_random() % serverCount];
            if (chosen.upAt > m_now)
                continue;
            chosen.waiting.push_back(std::move(each));
            return;
        }
    }

    void begin()
    {
        for (int i = 0; i < serverCount; ++i) {
            server &each = m_servers[static_cast<std::size_t>(i)];
            const bool crashes =
                std::any_of(each.waiting.begin(), each.waiting.end(),
                            [this](const request &it) { return it.isBad && it.beginsAt <= m_now; });
            if (crashes) {
                crash(i);
                continue;
            }
            std::erase_if(each.waiting, [this](const request &it) {
                if (it.beginsAt > m_now)
                    return false;
                m_instances[static_cast<std::size_t>(it.instance)].attribution.recordStart(
                    m_now, it.parts);
                return true;
            });
        }
    }

    void crash(int index)
    {
        server &crashed = m_servers[static_cast<std::size_t>(index)];
        const std::string id = std::to_string(index) + "@" + std::to_string(++crashed.crashes);
        for (const request &each : crashed.waiting) {
            instance &at = m_instances[static_cast<std::size_t>(each.instance)];
            const crash_suspect suspect {
                .crash = id, .at = m_now, .request = each.id, .parts = each.parts};
            at.attribution.recordSuspect(m_now, suspect);
            at.suspects.push_back(suspect);
        }
        crashed.waiting.clear();
        crashed.upAt = m_now + restartTime;
        if (++m_totals.crashes == 5)
            m_fifthCrash = m_now;
    }

    void exchangeReports()
    {
        for (int from = m_options.isolatedInstances; from < instanceCount; ++from) {
            instance &sender = m_instances[static_cast<std::size_t>(from)];
            std::erase_if(sender.suspects, [this](const crash_suspect &each) {
                return m_now - each.at > reportedTime;
            });
            const std::vector<blocked_part> blocked = sender.attribution.blockedParts();
            const std::map<std::uint64_t, timestamp> cleared = sender.attribution.clearedParts();
            for (int to = m_options.isolatedInstances; to < instanceCount; ++to) {
                crash_attribution &receiver = m_instances[static_cast<std::size_t>(to)].attribution;
                if (to == from)
                    continue;
                for (const crash_suspect &each : sender.suspects)
                    receiver.recordSuspect(m_now, each);
                for (const blocked_part &each : blocked)
                    receiver.adopt(m_now, each);
                for (auto it = cleared.begin(); it != cleared.end(); ++it)
                    receiver.clear(it->second, it->first);
            }
        }
    }

    options m_options;
    std::minstd_rand m_random;
    timestamp m_now;
    std::uint64_t m_lastId = 0;
    std::array<instance, instanceCount> m_instances;
    std::array<server, serverCount> m_servers;
    std::optional<timestamp> m_fifthCrash;
    totals m_totals;
};

} // namespace

// Requests that differ in all other parts crashed 72 servers in 22 s.
TEST(CrashAttribution, BlocksCrashingPartOfRequestsThatAreNeverAlike)
{
    for (const double share : {0.02, 0.05, 0.3}) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            const crash_simulation::totals totals =
                crash_simulation(
                    {.seed = seed, .badShare = share, .hasFixedNeighbour = seed % 2 == 0})
                    .run(25s);
            EXPECT_LE(totals.lateBadRequests, 3) << "share " << share << " seed " << seed;
            EXPECT_LE(totals.refusedSoundRequests, totals.soundRequests / 100)
                << "share " << share << " seed " << seed;
        }
    }
}

TEST(CrashAttribution, SoundRequestsWithThePartBesideTheBadOneGoOn)
{
    int requests = 0;
    int refused = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const crash_simulation::totals totals = crash_simulation({.seed = seed}).run(40s);
        requests += totals.neighbourRequests;
        refused += totals.refusedNeighbourRequests;
    }
    EXPECT_GT(requests, 50);
    EXPECT_LT(refused, requests / 2);
}

TEST(CrashAttribution, ServersThatCrashTogetherBlockNothing)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        const crash_simulation::totals totals =
            crash_simulation({.seed = seed, .badShare = 0, .commonCrashes = 9}).run(10s);
        EXPECT_EQ(totals.refusedSoundRequests, 0) << "seed " << seed;
    }
}

TEST(CrashAttribution, InstanceWithoutReportsOfOthersBlocksOnItsOwn)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const crash_simulation::totals totals =
            crash_simulation({.seed = seed, .isolatedInstances = 1}).run(25s);
        EXPECT_LE(totals.lateBadRequests, 3) << "seed " << seed;
    }
}

TEST(CrashAttribution, RestartedInstanceLearnsBlockedPartsFromOthers)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        const crash_simulation::totals totals =
            crash_simulation({.seed = seed, .restartedInstance = 2}).run(25s);
        EXPECT_LE(totals.lateBadRequests, 3) << "seed " << seed;
    }
}

TEST(CrashAttribution, AnsweredRequestClearsItsPartsAndOldEvidenceExpires)
{
    crash_attribution attribution({.lifetime = 60s});
    const std::vector<std::uint64_t> common {1};
    const std::vector<std::uint64_t> bad {1, 2};
    for (int i = 0; i < 200; ++i)
        attribution.recordStart(start, common);
    timestamp now = start + 1s;
    for (std::uint64_t i = 1; i <= 4; ++i, now += 1s) {
        attribution.recordSuspect(
            now, {.crash = "s" + std::to_string(i), .at = now, .request = i, .parts = bad});
        attribution.recordStart(now + 10ms, common);
    }
    EXPECT_EQ(attribution.blockingPart(now, bad), 2u);
    EXPECT_TRUE(attribution.isExpectedToCrash(bad));
    EXPECT_FALSE(attribution.isExpectedToCrash(common));
    EXPECT_FALSE(attribution.blockingPart(now, common));
    EXPECT_TRUE(attribution.clearedParts().contains(1));
    EXPECT_EQ(attribution.blockedParts().size(), 1u);
    // A report from before the answer does not block the part again.
    attribution.adopt(now, {.part = 1, .crashes = {{"s1", start + 1s}}});
    EXPECT_FALSE(attribution.blockingPart(now, common));
    EXPECT_FALSE(attribution.blockingPart(now + 61s, bad));
}

} // namespace trefoil
