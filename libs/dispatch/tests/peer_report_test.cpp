#include <dispatch/peer_report.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(PeerReport, RoundTripsThroughText)
{
    peer_report report {
        .from = "edge-1",
        .incarnation = 1771762944016,
        .uptimeMs = 7300,
        .sequence = 9,
        .isLeaving = true,
        .isCutOff = true,
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
        .crashes = {{.request = digestOf("x"),
                     .event = "s1",
                     .ageMs = 40,
                     .parts = {7, ~std::uint64_t {0}}}},
        .refusedRequests = {{.request = {.high = 7, .low = 8}, .crashAgesMs = {{"s2@5", 70}}}},
        .blockedParts = {{.part = ~std::uint64_t {0}, .crashAgesMs = {{"s1", 40}}}},
        .clearedParts = {{.part = 7, .ageMs = 12}},
        .loading = {"s2"},
        .weights = {{"s1=m", 4}},
        .targetAgeMs = {{"m=4", 1500}},
        .storeHeardAgoMs = 40,
        .configurationConfirmedAgoMs = 730,
        .lostKinds = {{"config/"}},
        .leaderEpoch = 3,
        .releases = {{.service = "a", .release = "v2", .route = "r", .counts = {5, 1, 2, 4}}},
        .badReleases = {{.service = "a", .release = "v2", .ageMs = 250}},
        .serverLimits = {{.server = "s1", .requestsPerSecond = 1.5, .ageMs = 9}},
        .serverRequests = {{"s1", 4}},
        .serverDemandRates = {{"s1", 2.5}},
        .serverLevels = {{"s1", -1}},
        .coldDemandRates = {{"llm", 6.25}},
        .leavingServers = {"s3"},
        .storeEpochs = {{"10.0.0.9:1", 77}}};
    const std::optional<peer_report> read = parsePeerReport(toText(report));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->incarnation, report.incarnation);
    EXPECT_EQ(read->uptimeMs, report.uptimeMs);
    EXPECT_TRUE(read->isLeaving);
    EXPECT_TRUE(read->isCutOff);
    EXPECT_EQ(read->revisions, report.revisions);
    EXPECT_EQ(read->storeHeardAgoMs, report.storeHeardAgoMs);
    EXPECT_EQ(read->configurationConfirmedAgoMs, report.configurationConfirmedAgoMs);
    EXPECT_EQ(read->lostKinds, report.lostKinds);
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
    ASSERT_EQ(read->serverLimits.size(), 1u);
    EXPECT_EQ(read->serverLimits[0].server, "s1");
    EXPECT_EQ(read->serverLimits[0].requestsPerSecond, 1.5);
    EXPECT_EQ(read->serverLimits[0].ageMs, 9u);
    EXPECT_EQ(read->serverRequests, report.serverRequests);
    EXPECT_EQ(read->serverDemandRates, report.serverDemandRates);
    EXPECT_EQ(read->serverLevels, report.serverLevels);
    EXPECT_EQ(read->coldDemandRates, report.coldDemandRates);
    EXPECT_EQ(read->leavingServers, report.leavingServers);
    EXPECT_EQ(read->crashes[0].request, report.crashes[0].request);
    EXPECT_EQ(read->crashes[0].ageMs, 40u);
    EXPECT_EQ(read->crashes[0].parts, report.crashes[0].parts);
    ASSERT_EQ(read->refusedRequests.size(), 1u);
    EXPECT_EQ(read->refusedRequests[0].request, report.refusedRequests[0].request);
    EXPECT_EQ(read->refusedRequests[0].crashAgesMs, report.refusedRequests[0].crashAgesMs);
    ASSERT_EQ(read->blockedParts.size(), 1u);
    EXPECT_EQ(read->blockedParts[0].part, report.blockedParts[0].part);
    EXPECT_EQ(read->blockedParts[0].crashAgesMs, report.blockedParts[0].crashAgesMs);
    ASSERT_EQ(read->clearedParts.size(), 1u);
    EXPECT_EQ(read->clearedParts[0].part, 7u);
    EXPECT_EQ(read->clearedParts[0].ageMs, 12u);
    EXPECT_EQ(read->loading, report.loading);
    EXPECT_EQ(read->weights, report.weights);
    EXPECT_EQ(read->targetAgeMs, report.targetAgeMs);
    EXPECT_EQ(read->releases[0].counts, report.releases[0].counts);
    ASSERT_EQ(read->badReleases.size(), 1U);
    EXPECT_EQ(read->badReleases[0].release, "v2");
    EXPECT_EQ(read->badReleases[0].ageMs, 250U);
}

TEST(PeerReport, RejectsMalformedText)
{
    for (const char *text : {"", "[]", "{}", "{\"from\":3}", "\xff\xfe"})
        EXPECT_FALSE(parsePeerReport(text)) << text;
    EXPECT_TRUE(parsePeerReport(
        "{\"from\":\"a\",\"load\":{\"s\":[1]},\"placed\":[[1]],\"releases\":[3],\"crashes\":[[1]],"
        "\"refused_requests\":[3,{\"request\":\"x\"}],\"blocked_parts\":[3],\"cleared_parts\":[[1]]"
        "}"));
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

// An instance of an older build was counted among those that read the store for all.
TEST(PeerReport, ReportWithoutLostKindsIsOfAnOlderBuild)
{
    EXPECT_EQ(parsePeerReport(toText({.from = "edge-1"}))->lostKinds, std::nullopt);
    const peer_report current {.from = "edge-1", .lostKinds = std::vector<std::string> {}};
    EXPECT_EQ(parsePeerReport(toText(current))->lostKinds, current.lostKinds);
    EXPECT_EQ(parsePeerReport(R"({"from":"edge-1","lost_kinds":7})")->lostKinds, std::nullopt);
}

} // namespace trefoil
