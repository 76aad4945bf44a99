#include "radishmoor/entry/entry_core.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>

#include "radishmoor/config/config_log.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kWall = 1'780'000'000'000;
constexpr char kKey[] = "019e7044-8800-7000-8000-000000000001";

// One entry process over a table that answers at once, and one backend host
// that accepts every connection and never answers.
class Bed {
 public:
  Bed() {
    ConfigDelta delta;
    delta.version = 1;
    delta.operation = {1};
    PoolState pool;
    pool.id = PoolId("p");
    delta.pools.push_back(pool);
    HostState host;
    host.id = HostId("w");
    host.zone = ZoneId("z");
    host.address = "w:1";
    host.pool = host.wanted_pool = pool.id;
    delta.hosts.push_back(host);
    table.Handle(CommitRows{BuildConfigTransaction(delta, 0, {})});
  }

  void RunFor(Duration time) {
    for (Time end = now + time; now < end; now += Milliseconds(10))
      Run(core.Tick(now, Wall()));
  }
  void Ask(uint64_t id, const std::string& key) {
    Run(core.Request(now, Wall(),
                     {.id = {id},
                      .service = PoolId("p"),
                      .operation = "op",
                      .idempotent = key.empty(),
                      .key = key,
                      .body_hash = 1,
                      .deadline = Seconds(5)}));
  }
  void Run(EntryActions actions) {
    std::deque<EntryAction> queue(actions.begin(), actions.end());
    while (!queue.empty()) {
      EntryAction action = std::move(queue.front());
      queue.pop_front();
      EntryActions more;
      if (auto* call = std::get_if<StoreCall>(&action)) {
        StoreReply reply =
            refuse_scans && std::holds_alternative<ScanRows>(call->request)
                ? StoreReply(UnavailableReply{})
                : table.Handle(call->request);
        more = core.Handle(now, Wall(), StoreAnswer{call->tag, reply});
      } else if (auto* open = std::get_if<OpenBackendConnection>(&action)) {
        more = core.OnConnectionOpened(now, Wall(), open->connection);
      } else if (auto* write = std::get_if<WriteBackendRequest>(&action)) {
        written.push_back(write->request);
      } else if (auto* probe = std::get_if<WriteBackendProbe>(&action)) {
        more = core.OnBackendAnswer(now, Wall(),
                                    {.connection = probe->connection});
      } else if (auto* refuse = std::get_if<RefuseRequest>(&action)) {
        refused.push_back(*refuse);
      } else if (auto* drop = std::get_if<DropRequest>(&action)) {
        dropped.push_back(drop->request);
      }
      queue.insert(queue.end(), more.begin(), more.end());
    }
  }
  WallMillis Wall() const {
    return kWall + now.time_since_epoch().count() / 1000;
  }

  Time now = kTimeZero + Seconds(100);
  MemoryTable table;
  bool refuse_scans = false;
  std::vector<RequestId> written;
  std::vector<RequestId> dropped;
  std::vector<RefuseRequest> refused;
  EntryCore core{{.member = MemberId("e"),
                  .zone = ZoneId("z"),
                  .incarnation = {1},
                  .peer_address = "e:2",
                  .admin_address = "e:3"}};
};

// Guards against a released claim: a repeat of the key would run the work a
// second time.
TEST_CASE("the claim of a written request that is cancelled is kept") {
  Bed bed;
  bed.RunFor(Seconds(8));
  bed.Ask(1, kKey);
  bed.RunFor(Milliseconds(100));
  REQUIRE(bed.written.size() == 1);
  bed.Run(bed.core.Cancel(bed.now, bed.Wall(), {1}));
  REQUIRE(bed.dropped.size() == 1);
  bed.RunFor(Milliseconds(500));
  bed.Ask(2, kKey);
  bed.RunFor(Milliseconds(500));
  CHECK(bed.written.size() == 1);
  REQUIRE(bed.refused.size() == 1);
  CHECK(bed.refused[0].reason == "duplicate-unknown");
  CHECK(bed.refused[0].may_have_run);
}

// Guards against hosts that stay unused until the next configuration change,
// because the permission to send began only after the configuration was read.
TEST_CASE("a process that registers after it read the configuration serves") {
  Bed bed;
  bed.refuse_scans = true;
  bed.RunFor(Seconds(8));
  REQUIRE(bed.core.view().ready());
  REQUIRE(!bed.core.member().registered());
  bed.Ask(1, "");
  bed.RunFor(Seconds(6));
  CHECK(bed.written.empty());
  bed.refuse_scans = false;
  bed.RunFor(Seconds(8));
  REQUIRE(bed.core.member().registered());
  bed.Ask(2, "");
  bed.RunFor(Milliseconds(100));
  REQUIRE(bed.written.size() == 1);
  CHECK(bed.written[0] == RequestId{2});
}

// Guards against new work on a server that announced its leaving to another
// entry process only, and against a notice that outlives its sender.
TEST_CASE("a notice of a peer keeps new work off a leaving host") {
  Bed bed;
  bed.RunFor(Seconds(8));
  REQUIRE(bed.core.ready());
  bed.Run(bed.core.Handle(bed.now, bed.Wall(), MemberId("peer"), {},
                          LeavingNotice{{HostId("w")}}));
  bed.Ask(1, "");
  bed.RunFor(Seconds(2));
  CHECK(bed.written.empty());
  // Three periods without a repetition: the peer ended or took it back.
  bed.RunFor(Seconds(2));
  bed.Ask(2, "");
  bed.RunFor(Milliseconds(500));
  REQUIRE(bed.written.size() == 1);
  CHECK(bed.written[0] == RequestId{2});
}

// Guards against requests that are refused between the moment in which the
// process says that it is ready and the next refresh of its targets.
TEST_CASE("a process that is ready has usable hosts at once") {
  Bed bed;
  for (int i = 0; i < 1000 && !bed.core.ready(); ++i)
    bed.RunFor(Milliseconds(10));
  REQUIRE(bed.core.ready());
  bed.Ask(1, "");
  CHECK(bed.refused.empty());
  CHECK(bed.written.size() == 1);
}

}  // namespace
}  // namespace radishmoor
