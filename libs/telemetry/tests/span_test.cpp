#include <telemetry/span.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Span, TraceparentRoundTrip)
{
    const std::string text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    const std::optional<trace_context> context = parseTraceparent(text);
    ASSERT_TRUE(context.has_value());
    EXPECT_EQ(toTraceparent(*context), text);
    EXPECT_FALSE(parseTraceparent("00-4bf9").has_value());
    EXPECT_FALSE(parseTraceparent(std::string(55, '-')).has_value());
}

TEST(Span, OtlpJsonContainsParentAndAttributes)
{
    const trace_context context {.traceId = {.high = 1, .low = 2}, .spanId = 3};
    const std::string json = toOtlpJson({{.context = context,
                                          .parentSpanId = 4,
                                          .name = "attempt",
                                          .attributes = {{"server", "w1"}}}},
                                        "entry-1");
    EXPECT_NE(json.find("\"parentSpanId\":\"0000000000000004\""), std::string::npos);
    EXPECT_NE(json.find("{\"key\":\"server\",\"value\":{\"stringValue\":\"w1\"}}"),
              std::string::npos);
}

} // namespace trefoil
