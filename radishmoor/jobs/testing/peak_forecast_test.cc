#include "radishmoor/jobs/peak_forecast.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "radishmoor/base/random.h"
#include "radishmoor/jobs/offered_load.h"

namespace radishmoor {
namespace {

const Time kStart = kTimeZero + Seconds(100);
constexpr Duration kPeriod = Milliseconds(100);
constexpr Duration kTurn = Milliseconds(4500);
constexpr Duration kLead = Milliseconds(2500);
constexpr double kHostCores = 16;
constexpr double kPeakCores = 400;

const std::array<PoolId, 4> kPools = {PoolId("a"), PoolId("b"), PoolId("c"),
                                      PoolId("d")};

// Observes one moment in which `peaking` is offered its peak.
void ObserveTurn(PeakForecast& forecast, Time now, const PoolId& peaking) {
  for (const PoolId& pool : kPools)
    forecast.Observe(now, pool, pool == peaking ? kPeakCores : 10, kHostCores);
}

// Guards against hosts that come only after a foreseeable peak has begun, and
// against hosts that are brought for a pool whose turn is not next.
TEST_CASE("the next of regular turns is foreseen", "[forecast]") {
  PeakForecast forecast;
  for (Time now = kStart; now < kStart + 9 * kTurn; now += kPeriod) {
    auto turn = static_cast<size_t>((now - kStart) / kTurn);
    ObserveTurn(forecast, now, kPools[turn % 4]);
    Duration into = now - kStart - kTurn * static_cast<int64_t>(turn);
    bool near_end = into > kTurn - kLead + kPeriod;
    for (size_t i = 0; i < 4; ++i) {
      double cores = forecast.ExpectedCores(now, kLead, kPools[i]);
      bool next = i == (turn + 1) % 4;
      INFO("turn " << turn << " pool " << i);
      if (turn < 3 || !next)
        REQUIRE(cores == 0);
      else if (near_end)
        REQUIRE(cores > kPeakCores / 2);
    }
  }
}

// Guards against hosts that are held for a turn that does not come.
TEST_CASE("nothing is foreseen after a turn has not come", "[forecast]") {
  PeakForecast forecast;
  Time now = kStart;
  for (; now < kStart + 4 * kTurn; now += kPeriod) {
    auto turn = static_cast<size_t>((now - kStart) / kTurn);
    ObserveTurn(forecast, now, kPools[turn % 4]);
  }
  REQUIRE(forecast.ExpectedCores(now, kLead, kPools[0]) > 0);
  for (; now < kStart + 4 * kTurn + Seconds(2); now += kPeriod)
    ObserveTurn(forecast, now, PoolId("none"));
  for (const PoolId& pool : kPools)
    REQUIRE(forecast.ExpectedCores(now, kLead, pool) == 0);
}

// Guards against forecasts from peaks that come at random.
TEST_CASE("irregular peaks are not foreseen", "[forecast]") {
  PeakForecast forecast;
  Random random(7);
  Time now = kStart;
  int foreseen = 0;
  int moments = 0;
  for (int turn = 0; turn < 40; ++turn) {
    PoolId peaking = kPools[random.Below(4)];
    Time end = now + random.Between(Milliseconds(500), Milliseconds(9000));
    for (; now < end; now += kPeriod) {
      ObserveTurn(forecast, now, peaking);
      ++moments;
      for (const PoolId& pool : kPools)
        foreseen += forecast.ExpectedCores(now, kLead, pool) > 0 ? 1 : 0;
    }
  }
  REQUIRE(foreseen * 10 < moments);
}

// Guards against a peak that is taken for a few jobs, or a few jobs for a peak.
TEST_CASE("offered work shows a peak with its first jobs", "[forecast]") {
  OfferedLoad load;
  Random random(3);
  Time now = kStart;
  load.Add(now, 40);
  REQUIRE(load.Cores(now) == 0);
  now += Seconds(10);
  // 100 jobs a second of 10 core-seconds keep 1,000 cores busy.
  Time end = now + Milliseconds(800);
  for (; now < end; now += random.Exponential(Milliseconds(10)))
    load.Add(now, 10);
  REQUIRE(load.Cores(now) > 400);
  REQUIRE(load.Cores(now) < 1100);
  REQUIRE(load.Cores(now + Seconds(4)) == 0);
}

}  // namespace
}  // namespace radishmoor
