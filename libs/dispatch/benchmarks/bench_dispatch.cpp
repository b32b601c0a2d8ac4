// CPU time of the work of an instance that grows with the size of the fleet: processing the reports
// of all other instances and choosing among all servers.

#include <array>
#include <chrono>
#include <cstdio>

#include <dispatch/load_balancer.h>
#include <dispatch/peer_report.h>

namespace trefoil {

namespace {

struct fleet_size
{
    int instances = 0;
    int servers = 0;
};
constexpr std::array<fleet_size, 3> fleetSizes {{{8, 22}, {81, 144}, {295, 263}}};
/// Concurrently open requests of an instance, each on a different server.
constexpr int openRequests = 12;
constexpr int placementsInReport = 5;
constexpr int repeats = 2000;

std::string serverName(int i) { return "i-" + std::to_string(10000000 + i * 7919); }

peer_report makeReport(int instance, int servers)
{
    peer_report report {.from = "edge-" + std::to_string(instance),
                        .incarnation = 1796367851123,
                        .sequence = 77,
                        .revisions = {{"config/", 1200},
                                      {"instances/", 1100},
                                      {"rollouts/", 0},
                                      {"servers/", 1300},
                                      {"versions/", 1250}},
                        .admitted = {{"team-1", 120000.5}, {"team-2", 88000}, {"team-3", 12}},
                        .demandRates = {{"team-1", 1200.5}, {"team-2", 880}, {"team-3", 2}},
                        .targetAgeMs = {{"model=2", 20000}, {"model=3", 9000}, {"model=4", 200}},
                        .storeHeardAgoMs = 120};
    for (int i = 0; i < openRequests; ++i)
        report.load[serverName((instance * 13 + i * 11) % servers)] = {
            .running = 1, .pendingTokens = 2890, .memoryTokens = 9203};
    for (int i = 0; i < placementsInReport; ++i)
        report.placed.push_back({.server = serverName((instance * 17 + i) % servers),
                                 .parts = {hash64("a", instance * 10ull + i)},
                                 .store = "10.0.0.9:9"});
    return report;
}

template <typename Work>
void measure(const char *name, Work &&work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < repeats; ++i)
        work(i);
    const std::chrono::duration<double, std::micro> taken =
        std::chrono::steady_clock::now() - start;
    std::printf("%-24s %8.2f us\n", name, taken.count() / repeats);
}

/// Applies the reports of all other instances in turn, at the rate at which they arrive, of which
/// each tells that some teams have sent requests.
void measureLimits(const fleet_size &size)
{
    constexpr int teams = 16;
    constexpr int activeTeams = 5;
    team_limits limits({.window = std::chrono::seconds(8)});
    timestamp now = timestamp {} + std::chrono::hours(1);
    const auto team = [](int i) { return "team-" + std::to_string(i); };
    for (int i = 0; i < teams; ++i)
        limits.setLimit(now, team(i), {.rate = 250000, .burst = 250000, .tolerance = 100000});
    std::vector<std::string> peers;
    for (int i = 1; i < size.instances; ++i)
        peers.push_back("edge-" + std::to_string(i));
    limits.setPeers(now, peers);
    const duration period = std::chrono::milliseconds(200 + 3 * size.instances);
    std::uint64_t sequence = 0;
    admitted_totals admitted;
    const admitted_totals demandRates {{team(0), 900.0}, {team(1), 900.0}, {team(2), 900.0}};
    measure("charge limits", [&](int i) {
        now += period / size.instances;
        for (int each = 0; each < activeTeams; ++each)
            admitted[team(each)] += 100;
        limits.applyReport(now,
                           {.peer = peers[static_cast<std::size_t>(i) % peers.size()],
                            .incarnation = 1,
                            .sequence = ++sequence,
                            .admitted = admitted,
                            .demandRates = demandRates,
                            .period = period});
    });
}

void run(const fleet_size &size)
{
    const int servers = size.servers;
    const int instances = size.instances;
    std::printf("%d instances, %d servers\n", instances, servers);
    load_balancer balancer({.zone = "z1"});
    std::vector<registered_server> listed;
    for (int i = 0; i < servers; ++i)
        listed.push_back({.id = serverName(i),
                          .service = "llm",
                          .address = {.host = "10.0.0.1", .port = static_cast<std::uint16_t>(i)},
                          .zone = "z" + std::to_string(i % 3),
                          .release = "1",
                          .slots = 16,
                          .weights = {{"model", 4}}});
    balancer.setServers(listed);
    serving_tables tables;
    tables.services["llm"] = {
        .name = "llm",
        .engine = engine_traits {
            .slots = 16, .memoryTokens = 115848, .bytesPerToken = 35136, .linkMbps = 550000}};
    balancer.setTables(tables);
    const timestamp now = boot_clock::now();
    std::vector<std::string> texts;
    for (int i = 0; i < instances; ++i) {
        const peer_report report = makeReport(i, servers);
        texts.push_back(toText(report));
        balancer.setPeerLoad(now, report.from, report.load);
        balancer.addCachePlacements(now, report.placed);
    }
    std::printf("%-24s %8zu bytes\n", "report", texts[0].size());
    measure("read report", [&](int i) { parsePeerReport(texts[i % instances]); });
    const peer_report report = makeReport(5, servers);
    measure("write report", [&](int) { toText(report); });
    measure("take load and parts", [&](int) {
        balancer.setPeerLoad(now, report.from, report.load);
        balancer.addCachePlacements(now, report.placed);
    });
    const std::vector<prompt_part> prompt {{.id = "5c1e07a2", .tokens = 6300},
                                           {.id = "e4402b7d", .tokens = 2890}};
    const request_profile request {
        .service = "llm", .model = "model", .prompt = prompt, .outputTokens = 7};
    measureLimits(size);
    measure("choose a server", [&](int) { balancer.choose(now, request); });
}

} // namespace

} // namespace trefoil

int main()
{
    for (const trefoil::fleet_size &size : trefoil::fleetSizes)
        trefoil::run(size);
    return 0;
}
