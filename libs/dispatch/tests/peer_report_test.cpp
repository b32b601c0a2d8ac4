#include <dispatch/peer_report.h>

#include <functional>

#include <gtest/gtest.h>

namespace trefoil {

TEST(PeerReport, RoundTripsThroughText)
{
    peer_report report {
        .from = "edge-1",
        .incarnation = 1771762944016,
        .sequence = 9,
        .isLeaving = true,
        .isHeartbeat = true,
        .heartbeats = {{.name = "edge-2",
                        .incarnation = 1771762944018,
                        .sequence = 7,
                        .period = std::chrono::milliseconds(1500)}},
        .revisions = {{"config/", 77}},
        .load = {{"s1", {.running = 3, .pendingTokens = 900, .memoryTokens = 4000}}},
        .admitted = {{"reef", 12.5}},
        .levels = {{"reef", -3}},
        .placed = {{.server = "s1",
                    .parts = {1, ~std::uint64_t {0}},
                    .store = "10.0.0.9:1",
                    .isStored = true,
                    .storeTransferMs = 3.4}},
        .prefillRates = {{"llm", 37.5}},
        .crashes = {{.request = digestOf("x"), .event = "s1"}},
        .loading = {"s2"},
        .weights = {{"s1=m", 4}},
        .targetAgeMs = {{"m=4", 1500}},
        .leaderEpoch = 3,
        .releases = {{.service = "a", .release = "v2", .route = "r", .counts = {5, 1, 2}}},
        .storeEpochs = {{"10.0.0.9:1", 77}}};
    const std::optional<peer_report> read = parsePeerReport(toText(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->incarnation, report.incarnation);
    EXPECT_TRUE(read->isLeaving);
    EXPECT_TRUE(read->isHeartbeat);
    ASSERT_EQ(read->heartbeats.size(), 1u);
    EXPECT_EQ(read->heartbeats[0].name, "edge-2");
    EXPECT_EQ(read->heartbeats[0].incarnation, 1771762944018u);
    EXPECT_EQ(read->heartbeats[0].sequence, 7u);
    EXPECT_EQ(read->heartbeats[0].period, std::chrono::milliseconds(1500));
    EXPECT_EQ(read->revisions, report.revisions);
    EXPECT_EQ(read->load.at("s1").memoryTokens, 4000);
    EXPECT_EQ(read->admitted, report.admitted);
    EXPECT_EQ(read->levels, report.levels);
    ASSERT_EQ(read->placed.size(), 1u);
    EXPECT_EQ(read->placed[0].parts, report.placed[0].parts);
    EXPECT_EQ(read->placed[0].store, "10.0.0.9:1");
    EXPECT_TRUE(read->placed[0].isStored);
    EXPECT_DOUBLE_EQ(read->placed[0].storeTransferMs, 3.4);
    EXPECT_EQ(read->prefillRates, report.prefillRates);
    EXPECT_EQ(read->storeEpochs, report.storeEpochs);
    EXPECT_EQ(read->crashes[0].request, report.crashes[0].request);
    EXPECT_EQ(read->loading, report.loading);
    EXPECT_EQ(read->weights, report.weights);
    EXPECT_EQ(read->targetAgeMs, report.targetAgeMs);
    EXPECT_EQ(read->releases[0].counts, report.releases[0].counts);
}

// An instance without callers must not stay silent about what only it knows.
TEST(PeerReport, HeartbeatCoversOnlyReportsWithoutNews)
{
    const peer_report last {
        .from = "a", .incarnation = 5, .sequence = 3, .admitted = {{"reef", 2}}};
    peer_report report = last;
    report.sequence = 4;
    report.storeHeardAgoMs = 40;
    report.revisions = {{"config/", 78}};
    EXPECT_TRUE(isCoveredByHeartbeat(report, last));
    EXPECT_FALSE(isCoveredByHeartbeat(report, {}));
    const std::vector<std::function<void(peer_report &)>> news {
        [](peer_report &each) { each.isLeaving = true; },
        [](peer_report &each) { each.leaderEpoch = 2; },
        [](peer_report &each) { each.admitted["reef"] = 3; },
        [](peer_report &each) { each.load["s1"].running = 1; },
        [](peer_report &each) { each.unreachable = {"s1"}; },
        [](peer_report &each) { each.gone = {"s1"}; },
        [](peer_report &each) { each.weights["s1=m"] = 2; },
        [](peer_report &each) { each.crashes.resize(1); },
        [](peer_report &each) { each.releases.resize(1); },
        [](peer_report &each) { each.heartbeats.resize(1); },
    };
    for (const std::function<void(peer_report &)> &add : news) {
        peer_report changed = report;
        add(changed);
        EXPECT_FALSE(isCoveredByHeartbeat(changed, last));
    }
}

TEST(PeerReport, RejectsMalformedText)
{
    for (const char *text : {"", "[]", "{}", "{\"from\":3}", "\xff\xfe"})
        EXPECT_FALSE(parsePeerReport(text)) << text;
    EXPECT_TRUE(
        parsePeerReport("{\"from\":\"a\",\"load\":{\"s\":[1]},\"placed\":[[1]],\"releases\":[3]}"));
}

TEST(PeerReport, WeightsKeyRoundTrips)
{
    const std::optional<weights_key> key = parseWeightsKey(weightsKey("a=b", 12));
    ASSERT_TRUE(key);
    EXPECT_EQ(key->model, "a=b");
    EXPECT_EQ(key->version, 12u);
    EXPECT_FALSE(parseWeightsKey("a"));
    EXPECT_FALSE(parseWeightsKey("a=x"));
}

} // namespace trefoil
