#include "allocation_count.h"
#include "control_simulation.h"

#include <malloc.h>

#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <span>

#include <core/json.h>
#include <core/text_table.h>
#include <limits/token_bucket.h>
#include <routing/placement.h>

using namespace trefoil;

namespace {

/// Cost measured at several sizes, with a line fitted through the points.
class cost_curve
{
public:
    cost_curve(std::string name, std::string unit)
        : m_name(std::move(name)), m_unit(std::move(unit))
    { }

    void add(double size, double cost) { m_points.emplace_back(size, cost); }

    /// Appends a row with the least-squares line and the growth exponent between the smallest and
    /// the largest size. An exponent above 1 means that the cost grows faster than linearly.
    void addTo(text_table &table) const
    {
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        for (const std::pair<double, double> &point : m_points) {
            sumX += point.first;
            sumY += point.second;
            sumXX += point.first * point.first;
            sumXY += point.first * point.second;
        }
        const double count = static_cast<double>(m_points.size());
        const double slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
        const double intercept = (sumY - slope * sumX) / count;
        const double exponent = std::log(m_points.back().second / m_points.front().second)
            / std::log(m_points.back().first / m_points.front().first);
        table.add({m_name, m_unit, formatNumber(intercept, 3), formatNumber(slope, 5),
                   formatNumber(exponent, 2)});
    }

private:
    std::string m_name;
    std::string m_unit;
    std::vector<std::pair<double, double>> m_points;
};

/// Returns all measured curves, in the order of the tables.
std::vector<cost_curve> &costCurves()
{
    static std::vector<cost_curve> all;
    return all;
}

text_table costCurvesTable()
{
    text_table table("fitted costs", {"cost", "unit", "intercept", "slope", "exponent"});
    for (const cost_curve &each : costCurves())
        each.addTo(table);
    return table;
}

/// Returns the bytes allocated on the heap.
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double measureSeconds(const std::function<void()> &action)
{
    const std::chrono::steady_clock::time_point before = std::chrono::steady_clock::now();
    action();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - before).count();
}

std::string makeRoutes(int teams)
{
    std::string text = "teams:\n";
    for (int i = 0; i < teams; ++i)
        text += "  - {name: team-" + std::to_string(i) + ", rate: 20000, burst: 100000}\n";
    text += "routes:\n  - {name: all, model: m, pool: engines, open: true}\n";
    return text;
}

std::string makePools(int servers)
{
    std::string text = "pools:\n  - name: engines\n    kind: engine\n    servers:\n";
    for (int i = 0; i < servers; ++i)
        text += "      - {name: w" + std::to_string(i) + ", zone: a, address: \"10."
            + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "."
            + std::to_string(i % 256) + ":9001\"}\n";
    return text;
}

/// Measures the steady state and one configuration change for growing numbers of instances.
text_table benchInstances()
{
    text_table table("costs of a node by number of instances (100 teams, 10 backend servers)",
                     {"instances", "messages/s", "KB/s", "% of a core", "platform reads/s",
                      "writes/s", "watches/s", "change active everywhere s", "KB/node/change",
                      "heap MB/node", "allocations/s"});
    cost_curve cpuCurve("CPU of a node, by instances", "% of a core");
    cost_curve byteCurve("steady bytes of a node, by instances", "KB/s");
    cost_curve changeCurve("bytes of a node for a change, by instances", "KB");
    cost_curve heapCurve("heap of a node, by instances", "MB");
    cost_curve readCurve("platform reads, by instances", "1/s");
    for (const int size : {10, 33, 110, 330}) {
        const double heapBefore = heapBytes();
        control_simulation simulation(size, 1);
        simulation.apply(config_names::routes, makeRoutes(100));
        simulation.apply(config_names::pools, makePools(10));
        simulation.run(std::chrono::seconds(15));
        const double heap = (heapBytes() - heapBefore) / size;
        simulation.usage.clear();
        simulation.platformReads = 0;
        simulation.platformWrites = 0;
        simulation.platformWatches = 0;
        constexpr double seconds = 10;
        const std::uint64_t allocationsBefore = allocationCount();
        simulation.run(fromSeconds(seconds));
        const double allocations = static_cast<double>(allocationCount() - allocationsBefore);
        double messages = 0;
        double bytes = 0;
        double cpu = 0;
        for (const std::pair<const std::string, control_simulation::node_usage> &each :
             simulation.usage) {
            messages += static_cast<double>(each.second.messages);
            bytes += static_cast<double>(each.second.bytes);
            cpu += each.second.cpuSeconds;
        }
        const double perNodeSecond = 1 / (seconds * size);
        const std::uint64_t reads = simulation.platformReads;
        const std::uint64_t writes = simulation.platformWrites;
        const std::uint64_t watches = simulation.platformWatches;
        simulation.usage.clear();
        simulation.apply(config_names::routes, makeRoutes(101));
        const timestamp changedAt = simulation.now;
        const auto isActiveEverywhere = [&] {
            for (const std::string &name : simulation.names()) {
                if (simulation.activeConfiguration(name).routes.teams.size() != 101)
                    return false;
            }
            return true;
        };
        while (!isActiveEverywhere() && simulation.now - changedAt < std::chrono::seconds(60))
            simulation.run(std::chrono::milliseconds(20));
        const double propagationSeconds = toSeconds(simulation.now - changedAt);
        double changeBytes = 0;
        for (const std::pair<const std::string, control_simulation::node_usage> &each :
             simulation.usage)
            changeBytes += static_cast<double>(each.second.bytes);
        const double steadyBytes = bytes / seconds * propagationSeconds;
        cpuCurve.add(size, cpu * perNodeSecond * 100);
        byteCurve.add(size, bytes * perNodeSecond / 1000);
        changeCurve.add(size, (changeBytes - steadyBytes) / size / 1000);
        heapCurve.add(size, heap / 1e6);
        readCurve.add(size, static_cast<double>(reads) / seconds);
        table.add({std::to_string(size), formatNumber(messages * perNodeSecond, 1),
                   formatNumber(bytes * perNodeSecond / 1000, 2),
                   formatNumber(cpu * perNodeSecond * 100, 3),
                   formatNumber(static_cast<double>(reads) / seconds, 1),
                   formatNumber(static_cast<double>(writes) / seconds, 2),
                   formatNumber(static_cast<double>(watches) / seconds, 1),
                   formatNumber(propagationSeconds, 2),
                   formatNumber((changeBytes - steadyBytes) / size / 1000, 1),
                   formatNumber(heap / 1e6, 2), formatNumber(allocations * perNodeSecond, 0)});
    }
    for (const cost_curve &each : {cpuCurve, byteCurve, changeCurve, heapCurve, readCurve})
        costCurves().push_back(each);
    return table;
}

text_table benchTeams()
{
    text_table table(
        "costs of an instance by number of teams",
        {"teams", "routes table KB", "validate and activate ms", "heap KB", "heap bytes/team"});
    cost_curve parseCurve("validating and activating the routes table, by teams", "ms");
    cost_curve heapCurve("heap, by teams", "KB");
    for (const int teams : {27, 270, 2700}) {
        const std::string text = makeRoutes(teams);
        const double before = heapBytes();
        configuration_store store;
        const double seconds = measureSeconds(
            [&] { store.apply({.name = config_names::routes, .version = 1, .value = text}); });
        lease_manager leases({.self = "n", .zone = "a", .keys = shardKeys(32)}, timestamp());
        rate_limiter limits({.self = "n"}, leases);
        std::map<std::string, token_limit, std::less<>> rates;
        for (const team &each : store.snapshot()->routes.teams)
            rates[each.name] = {.rate = static_cast<double>(each.rate),
                                .burst = static_cast<double>(each.burst)};
        limits.setTeams(timestamp(), rates);
        const double heap = heapBytes() - before;
        parseCurve.add(teams, seconds * 1000);
        heapCurve.add(teams, heap / 1000);
        table.add({std::to_string(teams), formatNumber(static_cast<double>(text.size()) / 1000, 1),
                   formatNumber(seconds * 1000, 1), formatNumber(heap / 1000, 0),
                   formatNumber(heap / teams, 0)});
    }
    costCurves().push_back(parseCurve);
    costCurves().push_back(heapCurve);
    return table;
}

text_table benchBackendServers()
{
    text_table table(
        "placement by number of backend servers (prompts of 10 blocks)",
        {"backend servers", "choose us", "allocations", "heap KB", "heap bytes/server"});
    cost_curve chooseCurve("choosing a backend server, by servers of the pool", "us");
    for (const int count : {10, 100, 1000}) {
        const double before = heapBytes();
        placement pool({.randomSeed = 1});
        std::vector<placement_server> servers;
        for (int i = 0; i < count; ++i)
            servers.push_back({.name = "w" + std::to_string(i), .zone = "a", .version = "v1"});
        pool.setServers(servers);
        const double heap = heapBytes() - before;
        constexpr int rounds = 300;
        std::vector<prefix_chain> chains;
        for (int i = 0; i < rounds; ++i) {
            prefix_chain_builder builder("team", "m" + std::to_string(i));
            const std::string text(160000, 'x');
            builder.add(text);
            chains.push_back(builder.finish());
        }
        const timestamp now {std::chrono::seconds(100)};
        const std::uint64_t allocationsBefore = allocationCount();
        const double seconds = measureSeconds([&] {
            for (const prefix_chain &chain : chains) {
                const std::optional<placement_choice> choice =
                    pool.choose(now, {.chain = &chain, .zone = "a"});
                pool.recordSent(now, choice->server, chain, choice->estimatedCachedBlocks);
            }
        });
        const double allocations =
            static_cast<double>(allocationCount() - allocationsBefore) / rounds;
        chooseCurve.add(count, seconds / rounds * 1e6);
        table.add({std::to_string(count), formatNumber(seconds / rounds * 1e6, 1),
                   formatNumber(allocations, 0), formatNumber(heap / 1000, 0),
                   formatNumber(heap / count, 0)});
    }
    costCurves().push_back(chooseCurve);
    return table;
}

text_table benchCacheBlocks()
{
    text_table table("cache estimate by number of blocks",
                     {"blocks", "event ns", "heap KB", "heap bytes/block"});
    cost_curve heapCurve("heap of the cache estimate, by blocks", "KB");
    for (const int blocks : {1000, 10000, 100000}) {
        std::vector<digest128> digests;
        for (int i = 0; i < blocks; ++i)
            digests.push_back(digestOf(std::to_string(i)));
        const double before = heapBytes();
        cache_estimate estimate("v1", 1);
        const timestamp now {std::chrono::seconds(100)};
        const double seconds = measureSeconds([&] {
            for (int i = 0; i < blocks; ++i)
                estimate.applyCacheEvents(
                    now, static_cast<std::uint64_t>(i) + 1,
                    std::span(digests).subspan(static_cast<std::size_t>(i), 1), {});
        });
        const double heap = heapBytes() - before;
        heapCurve.add(blocks, heap / 1000);
        table.add({std::to_string(blocks), formatNumber(seconds / blocks * 1e9, 0),
                   formatNumber(heap / 1000, 0), formatNumber(heap / blocks, 0)});
    }
    costCurves().push_back(heapCurve);
    return table;
}

text_table benchLimitOwner()
{
    text_table table("limit owner by number of open requests of a team",
                     {"open requests", "reserve and settle us", "heap bytes/request"});
    cost_curve settleCurve("reserving and settling, by open requests of a team", "us");
    for (const int open : {100, 1000, 10000}) {
        const double before = heapBytes();
        const timestamp start {std::chrono::seconds(100)};
        token_bucket bucket({.rate = 1e9, .burst = 1e12}, start, 1e12);
        std::vector<std::uint64_t> ids;
        for (int i = 0; i < open; ++i)
            ids.push_back(*bucket.reserve(start, 1000));
        const double heap = heapBytes() - before;
        constexpr int rounds = 1000;
        const double seconds = measureSeconds([&] {
            for (int i = 0; i < rounds; ++i) {
                const std::size_t index = static_cast<std::size_t>(i * 7919 % open);
                bucket.settle(start, ids[index], 100);
                ids[index] = *bucket.reserve(start, 1000);
            }
        });
        settleCurve.add(open, seconds / rounds * 1e6);
        table.add({std::to_string(open), formatNumber(seconds / rounds * 1e6, 2),
                   formatNumber(heap / open, 0)});
    }
    costCurves().push_back(settleCurve);
    return table;
}

text_table benchConfigurationChanges()
{
    text_table table("configuration changes per minute (33 instances, 100 teams)",
                     {"changes", "KB/s/node", "% of a core", "platform reads/s"});
    cost_curve byteCurve("bytes of a node, by changes per minute at 33 instances", "KB/s");
    cost_curve cpuCurve("CPU of a node, by changes per minute at 33 instances", "% of a core");
    for (const int changes : {1, 10, 60}) {
        control_simulation simulation(33, 1);
        simulation.apply(config_names::routes, makeRoutes(100));
        simulation.apply(config_names::pools, makePools(10));
        simulation.run(std::chrono::seconds(15));
        simulation.usage.clear();
        simulation.platformReads = 0;
        for (int i = 0; i < changes; ++i) {
            simulation.apply(config_names::routes, makeRoutes(101 + i));
            simulation.run(fromSeconds(60.0 / changes));
        }
        double bytes = 0;
        double cpu = 0;
        for (const std::pair<const std::string, control_simulation::node_usage> &each :
             simulation.usage) {
            bytes += static_cast<double>(each.second.bytes) / 33 / 60;
            cpu += each.second.cpuSeconds / 33 / 60;
        }
        byteCurve.add(changes, bytes / 1000);
        cpuCurve.add(changes, cpu * 100);
        table.add({std::to_string(changes), formatNumber(bytes / 1000, 1),
                   formatNumber(cpu * 100, 3),
                   formatNumber(static_cast<double>(simulation.platformReads) / 60, 1)});
    }
    costCurves().push_back(byteCurve);
    costCurves().push_back(cpuCurve);
    return table;
}

text_table benchMessageSizes()
{
    text_table table("encoded messages", {"message", "bytes"});
    const auto size = [](const auto &message) {
        return std::to_string(writeJson(toJson(message)).size());
    };
    const peer_request request =
        grant_request {.from = "entry-1",
                       .team = "anchovy",
                       .needed = 14000,
                       .queued = 0,
                       .extra = 2000,
                       .settled = {{.epoch = 3, .grant = 77, .unused = 812.5}}};
    const peer_answer granted = grant_answer {.kind = grant_answer::outcome::Granted,
                                              .epoch = 3,
                                              .grant = 78,
                                              .amount = 16000,
                                              .lifetime = std::chrono::seconds(2)};
    const peer_request confirm = confirm_request {.from = "entry-1", .items = {{"limits/12", 4}}};
    const member announced {.info = {.name = "entry-1",
                                     .zone = "a",
                                     .region = "sicily",
                                     .callers = "10.0.0.11:8080",
                                     .peers = "10.0.0.11:8081",
                                     .incarnation = 1796356379000}};
    const peer_request ping = gossip_ping {.from = "entry-1", .rumors = {toRumor(announced)}};
    table.add({"grant request", size(request)});
    table.add({"grant answer", size(granted)});
    table.add({"confirmation request, one lease", size(confirm)});
    table.add({"ping with one member's rumor", size(ping)});
    const std::string routes = makeRoutes(2700);
    const peer_answer routesObject =
        object {.name = config_names::routes, .version = 12345, .value = routes};
    table.add({"routes of 2,700 teams (" + std::to_string(routes.size()) + " bytes as text)",
               size(routesObject)});
    return table;
}

} // namespace

/// Measures the costs of the control library with its real state machines and codecs.
int main(int argc, char **argv)
{
    std::vector<text_table> tables {
        benchInstances(),   benchConfigurationChanges(), benchTeams(),       benchBackendServers(),
        benchCacheBlocks(), benchLimitOwner(),           benchMessageSizes()};
    tables.push_back(costCurvesTable());
    return writeTables(tables, argc, argv);
}
