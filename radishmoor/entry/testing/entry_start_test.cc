#include <catch2/catch.hpp>
#include <vector>

#include "radishmoor/config/config_log.h"
#include "radishmoor/entry/entry_core.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

// Runs one EntryCore with an in-memory table whose commits can be made to fail.
class StartingEntry {
 public:
  StartingEntry() : core_(Options()) {
    FleetState none;
    ConfigDelta delta{.version = 1, .operation = {1}, .author = "test"};
    PoolState pool;
    pool.id = PoolId("desk");
    delta.pools = {pool};
    HostState host;
    host.id = HostId("w-1");
    host.zone = ZoneId("z");
    host.address = "127.0.0.1:1";
    host.pool = host.wanted_pool = pool.id;
    delta.hosts = {host};
    table_.Handle(CommitRows{BuildConfigTransaction(delta, 0, {})});
  }

  void RunFor(Duration length) {
    for (Time end = now_ + length; now_ < end; now_ += Milliseconds(50))
      Perform(core_.Tick(now_, 1'700'000'000'000));
  }

  // Makes a request. Returns whether the core opens a connection to the backend
  // server for it.
  bool SendsRequest() {
    CallerRequest request{.id = {++last_request_id_},
                          .service = PoolId("desk")};
    request.deadline = Seconds(2);
    opened_connections_ = 0;
    Perform(core_.Request(now_, 1'700'000'000'000, request));
    return opened_connections_ > 0;
  }

  bool commits_unavailable = false;

 private:
  static EntryOptions Options() {
    EntryOptions options;
    options.member = MemberId("e-1");
    options.zone = ZoneId("z");
    options.incarnation = {1};
    options.peer_address = "127.0.0.1:2";
    return options;
  }

  void Perform(const EntryActions& actions) {
    for (const EntryAction& action : actions) {
      if (std::holds_alternative<OpenBackendConnection>(action))
        ++opened_connections_;
      const auto* call = std::get_if<StoreCall>(&action);
      if (call == nullptr)
        continue;
      bool commit = std::holds_alternative<CommitRows>(call->request);
      StoreReply reply = UnavailableReply{"commits unavailable"};
      if (!commit || !commits_unavailable)
        reply = table_.Handle(call->request);
      Perform(
          core_.Handle(now_, 1'700'000'000'000, StoreAnswer{call->tag, reply}));
    }
  }

  MemoryTable table_;
  EntryCore core_;
  Time now_ = kTimeZero + Seconds(1000);
  uint64_t last_request_id_ = 0;
  int opened_connections_ = 0;
};

// Guards against hosts that stay unusable until the next configuration change
// because the configuration came into force before the member row was written.
TEST_CASE("A process whose first member commits fail sends requests later") {
  StartingEntry entry;
  entry.commits_unavailable = true;
  entry.RunFor(Seconds(3));
  CHECK_FALSE(entry.SendsRequest());
  entry.commits_unavailable = false;
  entry.RunFor(Seconds(10));
  CHECK(entry.SendsRequest());
}

}  // namespace
}  // namespace radishmoor
