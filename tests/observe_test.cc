#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "observe/latency_histogram.h"
#include "observe/metrics.h"
#include "observe/trace_context.h"
#include "observe/tracer.h"

namespace fighatch::observe {
namespace {

constexpr std::string_view kTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

// Guards against output that a Prometheus server cannot parse: each family needs exactly one header, before its series.
TEST(MetricsTest, RendersFamiliesWithLabels) {
  Metrics metrics;
  metrics.AddCounter("fighatch_a_total", "Help.", {{"code", "1001"}}, [] { return 3.0; });
  metrics.AddCounter("fighatch_a_total", "Help.", {{"code", "1002"}}, [] { return 4.0; });
  metrics.AddGauge("fighatch_b", "Other.", {}, [] { return 0.5; });
  EXPECT_EQ(metrics.Render(),
            "# HELP fighatch_a_total Help.\n# TYPE fighatch_a_total counter\n"
            "fighatch_a_total{code=\"1001\"} 3\nfighatch_a_total{code=\"1002\"} 4\n"
            "# HELP fighatch_b Other.\n# TYPE fighatch_b gauge\nfighatch_b 0.5\n");
}

// Guards against digests that are rounded when rendered, so that different states look equal.
TEST(MetricsTest, DigestsKeepEachOfTheirLow32Bits) {
  Metrics metrics;
  metrics.AddGauge("fighatch_d", "Digest.", {}, [] { return DigestValue(0x12345678FFFFFFFEULL); });
  EXPECT_NE(metrics.Render().find("fighatch_d 4294967294\n"), std::string::npos) << metrics.Render();
}

// Guards against histograms that a Prometheus server cannot evaluate: buckets must be cumulative and in seconds, and
// the last one must have no bound and equal the count.
TEST(MetricsTest, RendersHistograms) {
  LatencyHistogram histogram;
  histogram.Add(std::chrono::milliseconds(-1));
  histogram.Add(std::chrono::milliseconds(5));
  histogram.Add(std::chrono::milliseconds(6));
  histogram.Add(std::chrono::seconds(60));
  Metrics metrics;
  metrics.AddHistogram("fighatch_c_seconds", "Latency.", {{"kind", "x"}}, &histogram);
  const std::string page = metrics.Render();
  const auto has_line = [&page](const std::string& line) { return page.find(line + "\n") != std::string::npos; };
  EXPECT_TRUE(has_line("# TYPE fighatch_c_seconds histogram")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_bucket{kind=\"x\",le=\"0.0001\"} 1")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_bucket{kind=\"x\",le=\"0.005\"} 2")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_bucket{kind=\"x\",le=\"0.01\"} 3")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_bucket{kind=\"x\",le=\"5\"} 3")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_bucket{kind=\"x\",le=\"+Inf\"} 4")) << page;
  EXPECT_TRUE(has_line("fighatch_c_seconds_count{kind=\"x\"} 4")) << page;
}

// Guards against malformed header text of callers reaching the trace file.
TEST(TraceContextTest, RefusesMalformedHeaders) {
  EXPECT_TRUE(ParseTraceparent(kTraceparent));
  EXPECT_EQ(ToTraceparent(*ParseTraceparent(kTraceparent)), kTraceparent);
  for (const std::string_view malformed : {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                                           "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                           "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                           "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                           "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                           "00-0af7651916cd43dd8448eb211c80319c_b7ad6b7169203331-01"}) {
    EXPECT_FALSE(ParseTraceparent(malformed)) << malformed;
  }
}

// Guards against spans that cannot be joined to their trace: a child must name its parent and the caller's trace.
// Requests that are not sampled must not be recorded.
TEST(TracerTest, WritesChildOfTheCallersSpan) {
  const std::string path = testing::TempDir() + "fighatch_trace_test.json";
  std::remove(path.c_str());
  {
    Result<std::unique_ptr<Tracer>> tracer = Tracer::Open(path, "balancer", "7");
    ASSERT_TRUE(IsOk(tracer));
    Span span = ValueOf(tracer)->StartChildSpan("receive", kTraceparent);
    span.SetTag("service", "crate-desk");
    EXPECT_EQ(span.Context().m_trace_id, "0af7651916cd43dd8448eb211c80319c");
    (void)ValueOf(tracer)->StartChildSpan("receive", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00");
  }
  std::ifstream file(path);
  std::string line;
  ASSERT_TRUE(std::getline(file, line));
  const nlohmann::json span = nlohmann::json::parse(line);
  EXPECT_EQ(span["traceId"], "0af7651916cd43dd8448eb211c80319c");
  EXPECT_EQ(span["parentId"], "b7ad6b7169203331");
  EXPECT_EQ(span["name"], "receive");
  EXPECT_EQ(span["tags"]["service"], "crate-desk");
  EXPECT_FALSE(std::getline(file, line)) << "a request that is not sampled must leave no span";
}

}  // namespace
}  // namespace fighatch::observe
