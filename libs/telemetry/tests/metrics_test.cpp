#include <telemetry/metrics.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Metrics, WritesPrometheusText)
{
    metric_registry registry;
    registry.counterOf("trefoil_requests_total", "route=\"a\"").add(2);
    registry.counterOf("trefoil_requests_total", "route=\"b\"").add();
    registry.gaugeOf("trefoil_streams").set(-1);
    EXPECT_EQ(registry.write(),
              "# TYPE trefoil_requests_total counter\n"
              "trefoil_requests_total{route=\"a\"} 2\n"
              "trefoil_requests_total{route=\"b\"} 1\n"
              "# TYPE trefoil_streams gauge\n"
              "trefoil_streams -1\n");
}

TEST(Metrics, SummaryEstimatesQuantiles)
{
    metric_registry registry;
    duration_summary &summary = registry.summaryOf("t");
    for (int i = 1; i <= 1000; ++i)
        summary.observe(std::chrono::milliseconds((i * 7919) % 1000 + 1));
    const std::string text = registry.write();
    const std::size_t at = text.find("quantile=\"0.5\"} ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_NEAR(std::stod(text.substr(at + 16)), 0.5, 0.05);
    EXPECT_NE(text.find("t_count 1000\n"), std::string::npos);
}

} // namespace trefoil
