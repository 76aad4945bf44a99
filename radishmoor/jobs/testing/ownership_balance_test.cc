#include "radishmoor/jobs/ownership_balance.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

constexpr Duration kTimerPeriod = Milliseconds(50);

// Two pools on a process with half a core, beside other processes.
struct Fixture {
  // Runs timers for `length`, each of them `late`. Returns the first handover.
  std::optional<PoolHandover> Run(Duration length, Duration late) {
    for (Time end = now + length; now < end; now += kTimerPeriod) {
      balance.ObserveTick(now, now - late);
      if (auto handover = balance.Plan(now, own, pools, others))
        return handover;
    }
    return std::nullopt;
  }

  Time now = kTimeZero + Seconds(100);
  ProcessLeases own{MemberId("own"), 500, 2};
  std::vector<OwnedPool> pools{{PoolId("busy"), 900}, {PoolId("quiet"), 40}};
  std::vector<ProcessLeases> others{{MemberId("small"), 120, 0},
                                    {MemberId("owner"), 500, 1},
                                    {MemberId("free"), 500, 0}};
  OwnershipBalance balance;
};

// Guards against a process that runs seconds behind with two pools while
// another one with as large a share has none.
TEST_CASE("an overloaded process hands its quiet pool to a free process",
          "[balance]") {
  Fixture f;
  auto handover = f.Run(Seconds(3), Milliseconds(80));
  REQUIRE(handover);
  REQUIRE(handover->pool == PoolId("quiet"));
  REQUIRE(handover->successor == MemberId("free"));
}

TEST_CASE("a process on a small host hands its only pool to a larger one",
          "[balance]") {
  Fixture f;
  f.own = {MemberId("own"), 120, 1};
  f.pools = {{PoolId("busy"), 900}};
  f.others = {{MemberId("owner"), 500, 1}, {MemberId("other"), 120, 0}};
  auto handover = f.Run(Seconds(3), Milliseconds(80));
  REQUIRE(handover);
  REQUIRE(handover->successor == MemberId("owner"));
}

// Guards against pools that change their owner without need.
TEST_CASE("no pool is handed over without overload or without a better owner",
          "[balance]") {
  Fixture f;
  REQUIRE_FALSE(f.Run(Seconds(10), Milliseconds(3)));
  f.others = {{MemberId("small"), 120, 0}, {MemberId("owner"), 500, 2}};
  REQUIRE_FALSE(f.Run(Seconds(10), Milliseconds(80)));
}

// Guards against a process that was stopped for seconds and gives its pools
// away afterwards, although it has enough processor time.
TEST_CASE("a process that was stopped keeps its pools", "[balance]") {
  Fixture f;
  for (int i = 0; i < 5; ++i) {
    REQUIRE_FALSE(f.Run(Seconds(1), Milliseconds(1)));
    f.now += Seconds(5);
    REQUIRE_FALSE(f.Run(kTimerPeriod, Seconds(5)));
  }
}

// Guards against handovers in quick succession, each of which interrupts the
// starts of tasks.
TEST_CASE("handovers are at least 5 s apart", "[balance]") {
  Fixture f;
  REQUIRE(f.Run(Seconds(3), Milliseconds(80)));
  Time first = f.now;
  f.pools.pop_back();
  f.own.leases = 2;
  REQUIRE(f.Run(Seconds(20), Milliseconds(80)));
  REQUIRE(f.now - first >= Seconds(5));
}

}  // namespace
}  // namespace radishmoor
