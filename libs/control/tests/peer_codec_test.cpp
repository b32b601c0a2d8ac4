#include <control/peer_codec.h>

#include <core/json.h>
#include <gtest/gtest.h>

namespace trefoil {

TEST(PeerCodec, LargeObjectsAreDeflatedAndRoundTrip)
{
    object item {.name = "config/routes", .version = 7, .value = {}};
    for (int i = 0; i < 2700; ++i)
        item.value += "  - {name: team-" + std::to_string(i) + ", rate: 20000, burst: 100000}\n";
    const std::string text = writeJson(toJson(peer_answer(item)));
    EXPECT_LT(text.size(), item.value.size() / 4);
    const result<peer_answer> decoded = peerAnswerFromJson(*parseJson(text, "a message"));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(std::get<object>(*decoded), item);
}

TEST(PeerCodec, RejectsMalformedAndOversizedDeflatedObjects)
{
    object item {.name = "config/routes", .version = 7, .value = std::string(5000, 'x')};
    Json::Value message = toJson(peer_answer(item));
    message["object"]["deflated"] = "bm9uc2Vuc2U=";
    EXPECT_FALSE(peerAnswerFromJson(message).has_value());
    item.value.assign(8 << 20, 'x');
    EXPECT_FALSE(peerAnswerFromJson(toJson(peer_answer(item))).has_value());
}

TEST(PeerCodec, SmallObjectsRoundTripAndMalformedMessagesAreRejected)
{
    const object item {.name = "config/pools", .version = 3, .value = "pools: []"};
    const result<peer_answer> decoded = peerAnswerFromJson(toJson(peer_answer(item)));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(std::get<object>(*decoded), item);
    EXPECT_FALSE(peerAnswerFromJson(Json::Value(Json::objectValue)).has_value());
    EXPECT_FALSE(peerRequestFromJson(*parseJson("{\"k\":\"sync\",\"h\":[1]}", "x")).has_value());
    EXPECT_FALSE(peerRequestFromJson(*parseJson("{\"k\":\"grant\"}", "x")).has_value());
}

} // namespace trefoil
