#include "radishmoor/jobs/insert_limiter.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

const Time kNow = kTimeZero + Seconds(100);

int InsertsWithin(InsertLimiter& limiter, Duration length) {
  int inserts = 0;
  for (Time now = kNow; now < kNow + length; now += Milliseconds(5))
    inserts += limiter.TryInsert(now, PoolId("p")) ? 1 : 0;
  return inserts;
}

// Guards against inserts of all processes that fill a partition, which carries
// 200 transactions a second.
TEST_CASE("all processes together leave a partition room for its owner",
          "[insert-limiter]") {
  for (int processes : {1, 8, 38, 147}) {
    InsertLimiter limiter;
    limiter.SetProcesses(static_cast<size_t>(processes));
    int inserts = InsertsWithin(limiter, Seconds(10));
    INFO(processes << " processes, " << inserts << " inserts of each");
    REQUIRE(inserts * processes <= 1500);
    REQUIRE(inserts * processes >= 1000);
  }
}

// Guards against a process that is refused because another pool is busy, or
// because no insert has been made for a while.
TEST_CASE("each pool has inserts of its own", "[insert-limiter]") {
  InsertLimiter limiter;
  limiter.SetProcesses(147);
  REQUIRE(limiter.TryInsert(kNow, PoolId("p")));
  REQUIRE_FALSE(limiter.TryInsert(kNow, PoolId("p")));
  REQUIRE(limiter.TryInsert(kNow, PoolId("q")));
  REQUIRE(limiter.TryInsert(kNow + Seconds(60), PoolId("p")));
  REQUIRE_FALSE(limiter.TryInsert(kNow + Seconds(60), PoolId("p")));
}

}  // namespace
}  // namespace radishmoor
