// Guards against several instances that send brittle servers more than they have room for: each
// server that rejects too many requests in a second ends, and the others get its load.

#include <dispatch/brittle_services.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include <dispatch/load_balancer.h>
#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;

timestamp at(double seconds) { return timestamp {} + fromSeconds(seconds + 10); }

/// Several instances with late reports of each other's load, and plain servers without a queue.
struct brittle_simulation
{
    struct running_call
    {
        double endsAt = 0;
        std::uint64_t ticket = 0;
    };
    struct instance
    {
        load_balancer balancer;
        std::vector<std::vector<running_call>> calls;
    };

    brittle_simulation(std::size_t instanceCount, std::size_t serverCount, std::uint32_t seed)
        : random(seed), rejectedAt(serverCount)
    {
        std::vector<registered_server> servers;
        for (std::size_t i = 0; i < serverCount; ++i)
            servers.push_back({.id = "s" + std::to_string(i),
                               .service = "app",
                               .zone = "z1",
                               .slots = slots,
                               .startedAtMs = 1});
        for (std::size_t i = 0; i < instanceCount; ++i) {
            instances.push_back({.balancer = load_balancer({.zone = "z1", .randomSeed = seed + i}),
                                 .calls = std::vector<std::vector<running_call>>(serverCount)});
            instances.back().balancer.setServers(servers);
        }
    }

    /// Plays @p seconds of calls of 30 ms, @p perSecond of them, at servers that state that they
    /// are brittle if @p isStated.
    void play(double seconds, double perSecond, bool isStated)
    {
        constexpr double step = 0.002;
        constexpr double reportInterval = 0.3;
        for (double now = 0; now < seconds; now += step) {
            for (std::size_t i = 0; i < instances.size(); ++i) {
                endCalls(instances[i], now);
                if (std::fmod(now + static_cast<double>(i) * 0.04, reportInterval) < step)
                    report(i, now);
            }
            for (due += perSecond * step; due >= 1; due -= 1)
                sendCall(now, isStated);
        }
    }

    void report(std::size_t from, double now)
    {
        for (std::size_t to = 0; to < instances.size(); ++to) {
            if (to != from)
                instances[to].balancer.setPeerLoad(at(now), "i" + std::to_string(from),
                                                   instances[from].balancer.ownLoad());
        }
    }

    static void endCalls(instance &owner, double now)
    {
        for (std::vector<running_call> &calls : owner.calls) {
            for (const running_call &each : calls) {
                if (each.endsAt <= now)
                    owner.balancer.end(at(now), each.ticket, attempt_outcome::Done);
            }
            std::erase_if(calls, [now](const running_call &each) { return each.endsAt <= now; });
        }
    }

    void sendCall(double now, bool isStated)
    {
        instance &sender = instances[random() % instances.size()];
        const request_profile request {.service = "app"};
        const std::optional<server_placement> placed = sender.balancer.choose(at(now), request);
        if (!placed) {
            refused += 1;
            return;
        }
        const std::size_t server = std::stoul(placed->server.substr(1));
        const std::uint64_t ticket = sender.balancer.begin(at(now), *placed, request);
        sender.balancer.onBrittleStated(at(now), placed->server, isStated);
        std::size_t running = 0;
        for (const instance &each : instances)
            running += each.calls[server].size();
        if (running >= slots) {
            rejectedAt[server].push_back(now);
            sender.balancer.end(at(now), ticket, attempt_outcome::Rejected);
            sender.balancer.markLoading(placed->server, at(now) + 40ms);
            return;
        }
        served += 1;
        sender.calls[server].push_back({.endsAt = now + 0.03, .ticket = ticket});
    }

    /// Returns the most rejections of one server in a second after @p from.
    std::size_t mostRejections(double from) const
    {
        std::size_t most = 0;
        for (const std::deque<double> &times : rejectedAt) {
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto last = std::upper_bound(first, times.end(), *first + 1);
                if (*first >= from)
                    most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    static constexpr int slots = 6;
    std::mt19937 random;
    std::vector<instance> instances;
    std::vector<std::deque<double>> rejectedAt;
    double due = 0;
    int served = 0;
    int refused = 0;
};

} // namespace

TEST(BrittleServices, OverloadHardlyMakesBrittleServersReject)
{
    // Four servers with six slots and calls of 30 ms bear 800 calls a second.
    constexpr double overload = 1600;
    constexpr double seconds = 10;
    for (const std::uint32_t seed : {1u, 2u, 3u}) {
        brittle_simulation stated(6, 4, seed);
        stated.play(seconds, overload, true);
        // A few rejections in a second end a server.
        EXPECT_LE(stated.mostRejections(1), 3u) << "seed " << seed;
        EXPECT_GE(stated.served, 800 * seconds * 0.7) << "seed " << seed;
        brittle_simulation unstated(6, 4, seed);
        unstated.play(seconds, overload, false);
        EXPECT_GT(unstated.mostRejections(1), 20u) << "seed " << seed;
    }
}

TEST(BrittleServices, OrdinaryLoadIsNotHeldBack)
{
    for (const std::uint32_t seed : {1u, 2u, 3u}) {
        brittle_simulation pool(6, 4, seed);
        pool.play(10, 240, true);
        EXPECT_LE(pool.refused, pool.served / 50) << "seed " << seed;
    }
}

TEST(BrittleServices, StatementsCountInTheOrderOfTheirRequests)
{
    brittle_services services;
    EXPECT_FALSE(services.record(at(1), "app", false));
    EXPECT_TRUE(services.record(at(2), "app", true));
    EXPECT_FALSE(services.record(at(1), "app", false));
    EXPECT_TRUE(services.isBrittle("app"));
    EXPECT_FALSE(services.isBrittle("other"));
    EXPECT_TRUE(services.record(at(3), "app", false));
    EXPECT_FALSE(services.isBrittle("app"));
}

TEST(BrittleServices, AnInstanceKeepsToItsPartOfTheSlotsUnlessHalfAreFree)
{
    brittle_services services;
    services.record(at(1), "app", true);
    const auto mayTake = [&services](double second, const brittle_load &load) {
        return services.mayTake(at(second), "app", "s1", load);
    };
    EXPECT_TRUE(mayTake(1, {.own = 2, .total = 2, .slots = 6, .instances = 6}));
    EXPECT_FALSE(mayTake(1, {.own = 3, .total = 3, .slots = 6, .instances = 6}));
    EXPECT_TRUE(mayTake(1, {.own = 0, .total = 6, .slots = 6, .instances = 6}));
    EXPECT_FALSE(mayTake(1, {.own = 1, .total = 6, .slots = 6, .instances = 6}));
    // A report between two calls shows the server as free; it counts once it has been so for long.
    EXPECT_FALSE(mayTake(1.5, {.own = 1, .total = 1, .slots = 6, .instances = 1}));
    EXPECT_TRUE(mayTake(2.6, {.own = 1, .total = 1, .slots = 6, .instances = 6}));
    // With more instances than slots only what is known to be free is used.
    EXPECT_FALSE(mayTake(4, {.own = 0, .total = 5, .slots = 6, .instances = 12}));
    EXPECT_TRUE(
        services.mayTake(at(1), "other", "s2", {.own = 9, .total = 9, .slots = 6, .instances = 6}));
}

} // namespace trefoil
