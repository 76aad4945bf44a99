#include "radishmoor/control/control_core.h"

#include <catch2/catch.hpp>
#include <deque>
#include <vector>

#include "radishmoor/config/config_log.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kWall = 1'780'000'000'000;

// One control process with a table that answers at once, except for scans of
// the member rows for the drain gate, which wait in `held_scans` while
// `hold_member_scans` is set.
class ControlCoreFixture {
 public:
  ControlCoreFixture() {
    ConfigDelta delta;
    delta.version = 1;
    delta.operation = {1};
    PoolState pool;
    pool.id = PoolId("p");
    delta.pools.push_back(pool);
    HostState host;
    host.id = HostId("w");
    host.zone = ZoneId("z");
    host.pool = host.wanted_pool = pool.id;
    host.intent = HostIntent::kDrain;
    host.phase = HostPhase::kDraining;
    host.drain_version = 1;
    delta.hosts.push_back(host);
    table.Handle(CommitRows{BuildConfigTransaction(delta, 0, {})});
  }

  void Tick() { RunActions(core.Tick(now, kWall)); }
  void RunActions(ControlActions actions) {
    std::deque<ControlAction> queue(actions.begin(), actions.end());
    while (!queue.empty()) {
      ControlAction action = std::move(queue.front());
      queue.pop_front();
      auto* call = std::get_if<StoreCall>(&action);
      if (call == nullptr)
        continue;
      bool scan = std::holds_alternative<ScanRows>(call->request);
      if (hold_member_scans && scan && call->tag % 8 == kMemberScanOwner) {
        held_scans.push_back(*call);
        continue;
      }
      ControlActions more = core.Handle(
          now, kWall, StoreAnswer{call->tag, table.Handle(call->request)});
      queue.insert(queue.end(), more.begin(), more.end());
    }
  }

  // A call's tag modulo 8 is the part of the core that made the call; 5 is the
  // scan of member rows.
  static constexpr uint64_t kMemberScanOwner = 5;
  Time now = kTimeZero + Seconds(100);
  MemoryTable table;
  bool hold_member_scans = true;
  std::vector<StoreCall> held_scans;
  ControlCore core{{.member = MemberId("c"),
                    .zone = ZoneId("z"),
                    .incarnation = {1},
                    .peer_address = "c:2",
                    .admin_address = "c:3"}};
};

// Guards against a drain gate that opens on member rows read before the drain:
// a process that registered after that read may still send to the host.
TEST_CASE("a late answer to an earlier scan of member rows is ignored") {
  ControlCoreFixture fixture;
  fixture.Tick();
  REQUIRE(fixture.held_scans.size() == 1);
  StoreReply old_rows = fixture.table.Handle(fixture.held_scans[0].request);

  MemberRecord entry;
  entry.id = MemberId("e");
  entry.incarnation = {1};
  entry.zone = ZoneId("z");
  Transaction registration{.operation = {9}};
  registration.writes.push_back({"member/e", EncodeMember(entry)});
  fixture.table.Handle(CommitRows{registration});

  // The process is paused for longer than the timeout of the scan.
  fixture.now += Seconds(5);
  fixture.Tick();
  REQUIRE(fixture.held_scans.size() == 2);
  fixture.RunActions(fixture.core.Handle(
      fixture.now, kWall, {fixture.held_scans[0].tag, old_rows}));
  CHECK(
      !fixture.core.controller().CheckDrainGate(fixture.now, HostId("w")).open);

  StoreReply rows = fixture.table.Handle(fixture.held_scans[1].request);
  fixture.RunActions(fixture.core.Handle(fixture.now, kWall,
                                         {fixture.held_scans[1].tag, rows}));
  DrainGateResult result =
      fixture.core.controller().CheckDrainGate(fixture.now, HostId("w"));
  CHECK(result.block == GateBlock::kLocalNotAcknowledged);
  CHECK(result.member == MemberId("e"));
}

}  // namespace
}  // namespace radishmoor
