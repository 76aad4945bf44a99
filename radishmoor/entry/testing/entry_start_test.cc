#include <catch2/catch.hpp>
#include <vector>

#include "radishmoor/config/config_log.h"
#include "radishmoor/entry/entry_core.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

// An entry process on an in-memory table whose commits can be held back.
class Started {
 public:
  Started() : core_(Options()) {
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

  // Whether a request is sent towards the backend server; false if refused.
  bool Sends() {
    CallerRequest request{.id = {++requests_}, .service = PoolId("desk")};
    request.deadline = Seconds(2);
    opened_ = 0;
    Perform(core_.Request(now_, 1'700'000'000'000, request));
    return opened_ > 0;
  }

  bool hold_commits = false;

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
        ++opened_;
      const auto* call = std::get_if<StoreCall>(&action);
      if (call == nullptr)
        continue;
      bool commit = std::holds_alternative<CommitRows>(call->request);
      StoreReply reply = UnavailableReply{"held back"};
      if (!commit || !hold_commits)
        reply = table_.Handle(call->request);
      Perform(
          core_.Handle(now_, 1'700'000'000'000, StoreAnswer{call->tag, reply}));
    }
  }

  MemoryTable table_;
  EntryCore core_;
  Time now_ = kTimeZero + Seconds(1000);
  uint64_t requests_ = 0;
  int opened_ = 0;
};

// Guards against hosts that stay excluded until the next configuration change
// because the configuration came into force before the member row was written.
TEST_CASE("A process that registers after its configuration sends requests") {
  Started process;
  process.hold_commits = true;
  process.RunFor(Seconds(3));
  CHECK_FALSE(process.Sends());
  process.hold_commits = false;
  process.RunFor(Seconds(10));
  CHECK(process.Sends());
}

}  // namespace
}  // namespace radishmoor
