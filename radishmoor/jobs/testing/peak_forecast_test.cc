#include "radishmoor/jobs/peak_forecast.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "radishmoor/base/random.h"
#include "radishmoor/jobs/offered_load.h"

namespace radishmoor {
namespace {

const Time kStart = kTimeZero + Seconds(100);
constexpr Duration kObservationPeriod = Milliseconds(100);
constexpr Duration kPeakInterval = Milliseconds(4500);
constexpr Duration kLead = Milliseconds(2500);
constexpr double kCoresPerHost = 16;
constexpr double kPeakCores = 400;

const std::array<PoolId, 4> kPools = {PoolId("a"), PoolId("b"), PoolId("c"),
                                      PoolId("d")};

// Observes all pools at `now`: `peaking_pool` is offered kPeakCores, the others
// 10 cores each.
void ObservePools(PeakForecast& forecast,
                  Time now,
                  const PoolId& peaking_pool) {
  for (const PoolId& pool : kPools)
    forecast.Observe(now, pool, pool == peaking_pool ? kPeakCores : 10,
                     kCoresPerHost);
}

// Guards against hosts that arrive only after a predictable peak has begun, and
// against hosts that are moved to a pool that does not peak next.
TEST_CASE("regular peaks in rotation predict the next pool", "[forecast]") {
  PeakForecast forecast;
  for (Time now = kStart; now < kStart + 9 * kPeakInterval;
       now += kObservationPeriod) {
    auto peak = static_cast<size_t>((now - kStart) / kPeakInterval);
    ObservePools(forecast, now, kPools[peak % 4]);
    Duration since_peak_start =
        now - kStart - kPeakInterval * static_cast<int64_t>(peak);
    bool within_lead =
        since_peak_start > kPeakInterval - kLead + kObservationPeriod;
    for (size_t i = 0; i < 4; ++i) {
      double cores = forecast.ExpectedCores(now, kLead, kPools[i]);
      bool is_next = i == (peak + 1) % 4;
      INFO("peak " << peak << " pool " << i);
      if (peak < 3 || !is_next)
        REQUIRE(cores == 0);
      else if (within_lead)
        REQUIRE(cores > kPeakCores / 2);
    }
  }
}

// Guards against hosts that are kept for a predicted peak that does not appear.
TEST_CASE("a predicted peak that fails to appear ends the forecast",
          "[forecast]") {
  PeakForecast forecast;
  Time now = kStart;
  for (; now < kStart + 4 * kPeakInterval; now += kObservationPeriod) {
    auto peak = static_cast<size_t>((now - kStart) / kPeakInterval);
    ObservePools(forecast, now, kPools[peak % 4]);
  }
  REQUIRE(forecast.ExpectedCores(now, kLead, kPools[0]) > 0);
  for (; now < kStart + 4 * kPeakInterval + Seconds(2);
       now += kObservationPeriod)
    ObservePools(forecast, now, PoolId("none"));
  for (const PoolId& pool : kPools)
    REQUIRE(forecast.ExpectedCores(now, kLead, pool) == 0);
}

// Guards against forecasts from peaks of random pools at random intervals.
TEST_CASE("irregular peaks are forecast in less than a tenth of observations",
          "[forecast]") {
  PeakForecast forecast;
  Random random(7);
  Time now = kStart;
  int forecasts = 0;
  int observations = 0;
  for (int peak = 0; peak < 40; ++peak) {
    PoolId peaking_pool = kPools[random.Below(4)];
    Time end = now + random.Between(Milliseconds(500), Milliseconds(9000));
    for (; now < end; now += kObservationPeriod) {
      ObservePools(forecast, now, peaking_pool);
      ++observations;
      for (const PoolId& pool : kPools)
        forecasts += forecast.ExpectedCores(now, kLead, pool) > 0 ? 1 : 0;
    }
  }
  REQUIRE(forecasts * 10 < observations);
}

// Guards against a peak that is taken for a few single jobs, and against a
// single job that is taken for a peak.
TEST_CASE("offered load shows a peak within 0.8 s and ignores a single job",
          "[forecast]") {
  OfferedLoad load;
  Random random(3);
  Time now = kStart;
  load.Add(now, 40);
  REQUIRE(load.Cores(now) == 0);
  now += Seconds(10);
  // 100 jobs per second of 10 core-seconds each keep 1,000 cores busy.
  Time end = now + Milliseconds(800);
  for (; now < end; now += random.Exponential(Milliseconds(10)))
    load.Add(now, 10);
  REQUIRE(load.Cores(now) > 400);
  REQUIRE(load.Cores(now) < 1100);
  REQUIRE(load.Cores(now + Seconds(4)) == 0);
}

}  // namespace
}  // namespace radishmoor
