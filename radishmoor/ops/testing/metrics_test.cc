#include "radishmoor/ops/metrics.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <stdexcept>
#include <thread>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

bool HasLine(const Metrics& metrics, const std::string& line) {
  return metrics.Exposition().find(line + "\n") != std::string::npos;
}

// Guards against an exposition that a scraper rejects or misreads.
TEST_CASE("counters and gauges are shown in the exposition format") {
  Metrics metrics;
  metrics.AddCounter("a_total", "Help\\ with\nbreak.", {{"p", "x\"y\n"}})
      .Add(2);
  metrics.AddGauge("b", "B.").Set(0.5);
  REQUIRE(HasLine(metrics, "# HELP a_total Help\\\\ with\\nbreak."));
  REQUIRE(HasLine(metrics, "# TYPE a_total counter"));
  REQUIRE(HasLine(metrics, "a_total{p=\"x\\\"y\\n\"} 2"));
  REQUIRE(HasLine(metrics, "# TYPE b gauge\nb 0.5"));
}

// Guards against buckets that are not cumulative or lose values at the ends.
TEST_CASE("histogram buckets are cumulative and hold every finite value") {
  Metrics metrics;
  Histogram h = metrics.AddHistogram("h", "H.", {{"p", "x"}},
                                     {.low = 1, .high = 100, .buckets = 2});
  for (double value :
       std::initializer_list<double>{0, -1, 0.5, 5, 50, 1e9, NAN, INFINITY})
    h.Record(value);
  REQUIRE(HasLine(metrics, "h_bucket{p=\"x\",le=\"1\"} 3"));
  REQUIRE(HasLine(metrics, "h_bucket{p=\"x\",le=\"10\"} 4"));
  REQUIRE(HasLine(metrics, "h_bucket{p=\"x\",le=\"100\"} 5"));
  REQUIRE(HasLine(metrics, "h_bucket{p=\"x\",le=\"+Inf\"} 6"));
  REQUIRE(HasLine(metrics, "h_count{p=\"x\"} 6"));
}

// Guards against memory that grows with the number of label values.
TEST_CASE("label sets above the limit share one series") {
  Metrics metrics(2);
  for (int i = 0; i < 5; ++i)
    metrics.AddCounter("c_total", "C.", {{"host", std::to_string(i)}}).Add();
  REQUIRE(HasLine(metrics, "c_total{host=\"1\"} 1"));
  REQUIRE(HasLine(metrics, "c_total{host=\"other\"} 3"));
  REQUIRE(!HasLine(metrics, "c_total{host=\"2\"} 1"));
  REQUIRE(HasLine(metrics, "radishmoor_metric_series_overflows_total 3"));
}

TEST_CASE("a name of another kind, a bad name or a bad axis is refused") {
  Metrics metrics;
  metrics.AddCounter("c_total", "C.");
  REQUIRE_THROWS_AS(metrics.AddGauge("c_total", "C."), std::invalid_argument);
  REQUIRE_THROWS_AS(metrics.AddGauge("9c", ""), std::invalid_argument);
  REQUIRE_THROWS_AS(metrics.AddHistogram("h", "", {}, {.low = -1}),
                    std::invalid_argument);
  REQUIRE(!HasLine(metrics, "# TYPE h histogram"));
  REQUIRE_THROWS_AS(metrics.AddGauge("c", "", {{"a b", ""}}),
                    std::invalid_argument);
}

// Guards against lost updates when several threads use one series.
TEST_CASE("concurrent updates are all counted") {
  Metrics metrics;
  Counter counter = metrics.AddCounter("c_total", "C.");
  Histogram h = metrics.AddHistogram("h", "H.");
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 10000; ++i) {
        counter.Add();
        h.Record(0.01);
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  REQUIRE(counter.value() == 40000);
  REQUIRE(HasLine(metrics, "h_count 40000"));
}

// Guards against an invariant breach that operators do not see.
TEST_CASE("the exposition has the number of breaches of each invariant") {
  SetAbortOnInvariantBreach(false);
  ReportInvariantBreach("test.breach", __FILE__, __LINE__);
  SetAbortOnInvariantBreach(true);
  REQUIRE(HasLine(
      Metrics(),
      "radishmoor_invariant_breaches_total{invariant=\"test.breach\"} 1"));
}

}  // namespace
}  // namespace radishmoor
