#include "radishmoor/jobs/pool_leases.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

const PoolId kPool("p");

// Guards against processes that repeat a refused acquisition without a pause. A
// partition with too much waiting work refuses transactions but serves reads;
// all processes then add to its load, hundreds of calls a second each.
TEST_CASE("a refused acquisition is repeated at most 4 times a second",
          "[leases]") {
  PoolLeases leases(MemberId("n"), "n:1", 100);
  Time now = kTimeZero + Seconds(100);
  PoolId pools[] = {kPool};
  leases.WatchPools(now, pools);
  LeaseRow lease;
  lease.holder = MemberId("lost");
  lease.token = 3;
  Outbox outbox;
  int acquisitions = 0;
  constexpr int kSeconds = 10;
  for (Time end = now + Seconds(kSeconds); now < end; now += Milliseconds(5)) {
    leases.Tick(now, outbox);
    for (JobAction& action : outbox.TakeAllActions()) {
      const auto* call = std::get_if<StoreCall>(&action);
      if (call == nullptr)
        continue;
      if (std::holds_alternative<CommitRows>(call->request)) {
        ++acquisitions;
        leases.OnStoreAnswer(now, {call->tag, UnavailableReply{"busy"}},
                             outbox);
      } else {
        RowsReply rows;
        rows.rows = {{OwnerLeaseKey(kPool), 7, EncodeLease(lease)}};
        leases.OnStoreAnswer(now, {call->tag, rows}, outbox);
      }
    }
  }
  REQUIRE(acquisitions > 3);
  REQUIRE(acquisitions <= 4 * kSeconds);
}

}  // namespace
}  // namespace radishmoor
