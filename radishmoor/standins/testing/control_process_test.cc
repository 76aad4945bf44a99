// Failures of control processes, with real processes, during a maintenance
// round and a move.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>

#include "radishmoor/standins/testing/call_checks.h"
#include "radishmoor/standins/testing/site_fixture.h"

namespace radishmoor {
namespace {

// The control process that holds the lease of a pool.
MemberNode* Holder(Site& site, const std::string& pool) {
  for (MemberNode& control : site.controls) {
    auto page =
        site.Fetch(control.admin, {"GET", "/status", {}, ""}, Seconds(1));
    if (page && page->body.find('"' + pool + '"') != std::string::npos)
      return &control;
  }
  return nullptr;
}

// Epochs never fall, and grow with each change of pool.
void CheckEpochs(const std::vector<FleetState>& history) {
  for (size_t i = 1; i < history.size(); ++i) {
    for (const auto& [id, host] : history[i].hosts) {
      const HostState* earlier = history[i - 1].FindHost(id);
      if (earlier == nullptr)
        continue;
      INFO(id.str() << " at version " << history[i].version);
      CHECK(host.epoch == earlier->epoch + (host.pool != earlier->pool));
    }
  }
}

// Maintains and moves hosts while `fault` hits the control process that holds
// the lease of "orders". Takes longer than 10 s: a lease is taken over 12 s
// after its holder's last renewal, and the next holder waits 30 s for the
// canary.
void ControlFault(const std::function<void(Site&, MemberNode&)>& fault) {
  Site site({.hosts_per_pool = 3});
  LoadOptions options = ShortLoad(150, Seconds(16));
  Load load(site, options);
  Inventory wanted = site.inventory;
  wanted.rules.maintenance = "round-1";
  wanted.hosts.at(HostId("orders-2")).pool = PoolId("quotes");
  REQUIRE(site.Apply(wanted).code == 0);
  site.Await("nothing was drained", Seconds(8), [&] {
    FleetState state = site.Config();
    return std::any_of(state.hosts.begin(), state.hosts.end(),
                       [](const auto& item) {
                         return item.second.phase != HostPhase::kActive &&
                                item.second.pool == PoolId("orders");
                       });
  });
  MemberNode* holder = Holder(site, "orders");
  REQUIRE(holder != nullptr);
  fault(site, *holder);
  bool finished = site.Until(Seconds(110), [&] {
    FleetState state = site.Config();
    return std::all_of(state.hosts.begin(), state.hosts.end(),
                       [](const auto& item) {
                         return item.second.maintained == "round-1" &&
                                item.second.phase == HostPhase::kActive &&
                                item.second.pool == item.second.wanted_pool;
                       });
  });
  CHECK(finished);
  Calls calls = load.Wait();
  INFO(Summary(calls));
  CheckClean(site, calls);
  CHECK(Count(calls, CallResult::kClosed) == 0);
  CHECK(Aborts(site) == 0);
  for (const BackendNode& backend : site.backends) {
    INFO(backend.id.str());
    CHECK(site.BackendStat(backend, "reboots") == 1);
  }
  CheckEpochs(site.ConfigHistory());
  CHECK(site.ConfigHost(HostId("orders-2")).epoch == HostEpoch{2});
  bool moved = false;
  for (const ExecutionRecord& run :
       site.Executions(site.Backend(HostId("orders-2")))) {
    moved = moved || run.pool == "quotes";
    CHECK(!(moved && run.pool == "orders"));
  }
}

// Guards against: progress is lost with a control process, or repeated by the
// next one.
TEST_CASE("A control process killed in a wave and a move repeats no step") {
  ControlFault(
      [](Site&, MemberNode& holder) { holder.process->Signal(SIGKILL); });
}

// Guards against: a control process that was paused acts on a lease that
// another one has taken over.
TEST_CASE("A control process frozen past its lease repeats no step") {
  ControlFault([](Site& site, MemberNode& holder) {
    holder.process->Signal(SIGSTOP);
    CHECK(site.Until(Seconds(25), [&] {
      MemberNode* next = Holder(site, "orders");
      return next != nullptr && next != &holder;
    }));
    holder.process->Signal(SIGCONT);
  });
}

}  // namespace
}  // namespace radishmoor
