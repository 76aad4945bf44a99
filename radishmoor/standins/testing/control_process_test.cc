// Tests with real processes: failures of a control process during a maintenance
// round and the move of a host to another pool.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <functional>

#include "radishmoor/standins/testing/call_checks.h"
#include "radishmoor/standins/testing/site_fixture.h"

namespace radishmoor {
namespace {

// Returns the control process that holds the lease of a pool; null if no
// process reports the lease.
MemberProcess* FindLeaseHolder(Site& site, const std::string& pool) {
  for (MemberProcess& control : site.controls) {
    auto page = site.Fetch(control.admin_endpoint, {"GET", "/status", {}, ""},
                           Seconds(1));
    if (page && page->body.find('"' + pool + '"') != std::string::npos)
      return &control;
  }
  return nullptr;
}

// Checks that the epoch of a host grows by one with each change of its pool,
// and only then. `history` has the configuration at each version.
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

// Runs a maintenance round of all hosts and moves "orders-2" to the pool
// "quotes". Once a host of "orders" is no longer active, applies `fault` to the
// control process that holds the lease of "orders". Checks that the round and
// the move complete, that each host is rebooted once, and that no call is cut.
// This takes more than 42 s: a lease is taken over 12 s after its holder's last
// renewal, and the next holder first watches the canary for 30 s.
void CheckControlFault(
    const std::function<void(Site&, MemberProcess&)>& fault) {
  Site site({.hosts_per_pool = 3});
  LoadOptions options = ShortLoad(150, Seconds(16));
  Load load(site, options);
  Inventory wanted = site.inventory;
  wanted.rules.maintenance = "round-1";
  wanted.hosts.at(HostId("orders-2")).pool = PoolId("quotes");
  REQUIRE(site.Apply(wanted).code == 0);
  site.WaitOrThrow(
      "no host of orders began to drain within 8 s", Seconds(8), [&] {
        FleetState state = site.AcceptedConfig();
        return std::any_of(state.hosts.begin(), state.hosts.end(),
                           [](const auto& item) {
                             return item.second.phase != HostPhase::kActive &&
                                    item.second.pool == PoolId("orders");
                           });
      });
  MemberProcess* holder = FindLeaseHolder(site, "orders");
  REQUIRE(holder != nullptr);
  fault(site, *holder);
  bool finished = site.WaitUntil(Seconds(110), [&] {
    FleetState state = site.AcceptedConfig();
    return std::all_of(state.hosts.begin(), state.hosts.end(),
                       [](const auto& item) {
                         return item.second.maintained == "round-1" &&
                                item.second.phase == HostPhase::kActive &&
                                item.second.pool == item.second.wanted_pool;
                       });
  });
  CHECK(finished);
  Calls calls = load.Wait();
  INFO(SummarizeFailures(calls));
  CheckNoViolations(site, calls);
  CHECK(Count(calls, CallResult::kClosed) == 0);
  CHECK(AbortCount(site) == 0);
  for (const BackendProcess& backend : site.backends) {
    INFO(backend.id.str());
    CHECK(site.BackendStat(backend, "reboots") == 1);
  }
  CheckEpochs(site.ConfigHistory());
  CHECK(site.AcceptedHostState(HostId("orders-2")).epoch == HostEpoch{2});
  bool moved = false;
  for (const ExecutionRecord& run :
       site.Executions(site.Backend(HostId("orders-2")))) {
    moved = moved || run.pool == "quotes";
    CHECK(!(moved && run.pool == "orders"));
  }
}

// Guards against: the progress of a round is lost with the control process, or
// the next lease holder repeats steps that were done.
TEST_CASE("A control process killed in a wave and a move repeats no step") {
  CheckControlFault(
      [](Site&, MemberProcess& holder) { holder.process->Signal(SIGKILL); });
}

// Guards against: a control process that was paused still acts on a lease that
// another process has taken over meanwhile.
TEST_CASE("A control process frozen past its lease repeats no step") {
  CheckControlFault([](Site& site, MemberProcess& holder) {
    holder.process->Signal(SIGSTOP);
    CHECK(site.WaitUntil(Seconds(25), [&] {
      MemberProcess* next = FindLeaseHolder(site, "orders");
      return next != nullptr && next != &holder;
    }));
    holder.process->Signal(SIGCONT);
  });
}

}  // namespace
}  // namespace radishmoor
