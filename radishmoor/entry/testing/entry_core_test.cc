#include "radishmoor/entry/entry_core.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>

#include "radishmoor/config/config_log.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kStartWallMs = 1'780'000'000'000;
constexpr char kKey[] = "019e7044-8800-7000-8000-000000000001";

// Runs one EntryCore with a table that answers at once and one backend host
// that accepts every connection and answers probes, but no requests.
class EntryHarness {
 public:
  EntryHarness() {
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
      PerformActions(core.Tick(now, Wall()));
  }
  void SendRequest(uint64_t id, const std::string& key) {
    PerformActions(core.Request(now, Wall(),
                                {.id = {id},
                                 .service = PoolId("p"),
                                 .operation = "op",
                                 .idempotent = key.empty(),
                                 .key = key,
                                 .body_hash = 1,
                                 .deadline = Seconds(5)}));
  }
  void PerformActions(EntryActions actions) {
    std::deque<EntryAction> queue(actions.begin(), actions.end());
    while (!queue.empty()) {
      EntryAction action = std::move(queue.front());
      queue.pop_front();
      EntryActions more;
      if (auto* call = std::get_if<StoreCall>(&action)) {
        StoreReply reply =
            scans_unavailable && std::holds_alternative<ScanRows>(call->request)
                ? StoreReply(UnavailableReply{})
                : table.Handle(call->request);
        more = core.Handle(now, Wall(), StoreAnswer{call->tag, reply});
      } else if (auto* open = std::get_if<OpenBackendConnection>(&action)) {
        more = core.OnConnectionOpened(now, Wall(), open->connection);
      } else if (auto* write = std::get_if<WriteBackendRequest>(&action)) {
        written_requests.push_back(write->request);
      } else if (auto* probe = std::get_if<WriteBackendProbe>(&action)) {
        more = core.OnBackendAnswer(now, Wall(),
                                    {.connection = probe->connection});
      } else if (auto* refuse = std::get_if<RefuseRequest>(&action)) {
        refused_requests.push_back(*refuse);
      } else if (auto* drop = std::get_if<DropRequest>(&action)) {
        dropped_requests.push_back(drop->request);
      }
      queue.insert(queue.end(), more.begin(), more.end());
    }
  }
  WallMillis Wall() const {
    return kStartWallMs + now.time_since_epoch().count() / 1000;
  }

  Time now = kTimeZero + Seconds(100);
  MemoryTable table;
  bool scans_unavailable = false;
  std::vector<RequestId> written_requests;
  std::vector<RequestId> dropped_requests;
  std::vector<RefuseRequest> refused_requests;
  EntryCore core{{.member = MemberId("e"),
                  .zone = ZoneId("z"),
                  .incarnation = {1},
                  .peer_address = "e:2",
                  .admin_address = "e:3"}};
};

// Guards against releasing the claim of a request that was already sent: a
// second request with the same key would run the work again.
TEST_CASE("cancelling a request that was sent keeps its claim") {
  EntryHarness harness;
  harness.RunFor(Seconds(8));
  harness.SendRequest(1, kKey);
  harness.RunFor(Milliseconds(100));
  REQUIRE(harness.written_requests.size() == 1);
  harness.PerformActions(harness.core.Cancel(harness.now, harness.Wall(), {1}));
  REQUIRE(harness.dropped_requests.size() == 1);
  harness.RunFor(Milliseconds(500));
  harness.SendRequest(2, kKey);
  harness.RunFor(Milliseconds(500));
  CHECK(harness.written_requests.size() == 1);
  REQUIRE(harness.refused_requests.size() == 1);
  CHECK(harness.refused_requests[0].reason == "duplicate-unknown");
  CHECK(harness.refused_requests[0].may_have_run);
}

// Guards against hosts that stay unusable until the next configuration change
// because the process was registered, which gives it the permission to send,
// only after it had read the configuration.
TEST_CASE("a process that registers after reading the configuration serves") {
  EntryHarness harness;
  harness.scans_unavailable = true;
  harness.RunFor(Seconds(8));
  REQUIRE(harness.core.view().ready());
  REQUIRE(!harness.core.member().registered());
  harness.SendRequest(1, "");
  harness.RunFor(Seconds(6));
  CHECK(harness.written_requests.empty());
  harness.scans_unavailable = false;
  harness.RunFor(Seconds(8));
  REQUIRE(harness.core.member().registered());
  harness.SendRequest(2, "");
  harness.RunFor(Milliseconds(100));
  REQUIRE(harness.written_requests.size() == 1);
  CHECK(harness.written_requests[0] == RequestId{2});
}

// Guards against new work on a server that announced only to another entry
// process that it is leaving, and against a notice that stays in effect after
// its sender has ended.
TEST_CASE("a peer's leaving notice stops new work until it expires") {
  EntryHarness harness;
  harness.RunFor(Seconds(8));
  REQUIRE(harness.core.ready());
  harness.PerformActions(harness.core.Handle(harness.now, harness.Wall(),
                                             MemberId("peer"), {},
                                             LeavingNotice{{HostId("w")}}));
  harness.SendRequest(1, "");
  harness.RunFor(Seconds(2));
  CHECK(harness.written_requests.empty());
  // The notice expires after three periods (3 s) without a repetition.
  harness.RunFor(Seconds(2));
  harness.SendRequest(2, "");
  harness.RunFor(Milliseconds(500));
  REQUIRE(harness.written_requests.size() == 1);
  CHECK(harness.written_requests[0] == RequestId{2});
}

// Guards against refusing requests between the time at which ready() becomes
// true and the next periodic refresh of the targets.
TEST_CASE("an entry process sends requests as soon as it is ready") {
  EntryHarness harness;
  for (int i = 0; i < 1000 && !harness.core.ready(); ++i)
    harness.RunFor(Milliseconds(10));
  REQUIRE(harness.core.ready());
  harness.SendRequest(1, "");
  CHECK(harness.refused_requests.empty());
  CHECK(harness.written_requests.size() == 1);
}

}  // namespace
}  // namespace radishmoor
