#include "radishmoor/fleet/controller.h"

#include <catch2/catch.hpp>

#include "radishmoor/base/invariant.h"
#include "radishmoor/fleet/testing/fleet_sim.h"

namespace radishmoor {
namespace {

constexpr Time AtSecond(int64_t seconds) {
  return kTimeZero + Seconds(seconds);
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

// Lists the hosts with intent kServe that are not active, are due for
// maintenance or are in the wrong pool. Empty when no work is left for control.
std::string DescribeUnfinishedHosts(const FleetState& state) {
  std::string text;
  for (const auto& [id, host] : state.hosts) {
    if (host.intent != HostIntent::kServe)
      continue;
    bool home = host.pool == host.wanted_pool ||
                state.FindPool(host.wanted_pool)->spare;
    if (host.phase != HostPhase::kActive || IsDue(state, host) || !home) {
      text += id.str() + " phase " +
              std::to_string(static_cast<int>(host.phase)) + " pool " +
              host.pool.str() + " wanted " + host.wanted_pool.str() +
              " maintained " + host.maintained + "\n";
    }
  }
  return text;
}

// Runs 600 s with faults, then without faults until 2000 s.
void RunWithRandomFaults(uint64_t seed, const SimFaults& faults) {
  SetInvariantSeed(seed);
  SimOptions options;
  options.seed = seed;
  options.faults = faults;
  options.control_process_count = 2 + static_cast<int>(seed % 2);
  options.control.wave.canary_soak = Seconds(10);
  options.control.wave.reboot_timeout = Seconds(120);
  options.control.wave.resume_after = Seconds(30);
  FleetSim sim(options);
  sim.SetRound("m0");
  sim.EditHost(HostId("h103"),
               [](HostState* h) { h->wanted_pool = PoolId("b"); });
  sim.Run(AtSecond(600), AtSecond(600));
  sim.CommitOperatorChange([](FleetState* state, ConfigDelta* delta) {
    for (auto& [id, pool] : state->pools) {
      pool.max_unavailable = 2;
      delta->pools.push_back(pool);
    }
    for (auto& [id, host] : state->hosts) {
      host.intent = HostIntent::kServe;
      delta->hosts.push_back(host);
    }
  });
  sim.Run(AtSecond(2000));
  INFO("seed " << seed);
  INFO(Join(sim.violations));
  CHECK(sim.violations.empty());
  INFO(DescribeUnfinishedHosts(*sim.committed_state()));
  CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
  CHECK(sim.drains > 10);
}

// Guards against a broken rule (sends only to hosts in service, budgets, no
// reboot or pool change under load) and against work that never finishes, with
// each kind of fault, each pair of kinds and all kinds at once.
TEST_CASE("random faults break no rule, and all work finishes after they end") {
  using Flag = bool SimFaults::*;
  const std::vector<Flag> flags{&SimFaults::store_down,
                                &SimFaults::store_slow,
                                &SimFaults::lost_answers,
                                &SimFaults::pauses,
                                &SimFaults::kills,
                                &SimFaults::partitions,
                                &SimFaults::rack_outages,
                                &SimFaults::reboots_fail,
                                &SimFaults::platform_loses_or_repeats,
                                &SimFaults::operator_changes};
  uint64_t seed = 20261204;
  RunWithRandomFaults(seed++, {});
  for (size_t a = 0; a < flags.size(); ++a) {
    for (size_t b = a; b < flags.size(); ++b) {
      SimFaults faults;
      faults.*flags[a] = true;
      faults.*flags[b] = true;
      RunWithRandomFaults(seed++, faults);
    }
  }
  for (int i = 0; i < 10; ++i) {
    SimFaults faults;
    for (Flag flag : flags)
      faults.*flag = true;
    RunWithRandomFaults(seed++, faults);
  }
}

struct DrainGateFixture {
  FleetState state;
  DrainGate gate{DrainGateOptions{.max_request_time = Seconds(60)}};
  HostState host;
  MemberView member;

  DrainGateFixture() {
    host.id = HostId("h");
    host.zone = ZoneId("z0");
    host.phase = HostPhase::kDraining;
    host.drain_version = 7;
    state.version = 7;
    state.hosts[host.id] = host;
    gate.ObserveState(AtSecond(100), state);
    member.id = MemberId("e");
    member.incarnation = {1};
    member.zone = host.zone;
    member.host = "eh";
    member.host_instance = 3;
    member.version_in_force = 6;
    member.last_change = AtSecond(100);
  }
  GateBlock Check(int64_t seconds, std::vector<MemberView> members) {
    gate.ObserveMembers({AtSecond(100), std::move(members)});
    return gate.Check(AtSecond(seconds), host).block;
  }
};

// Guards against a host that counts as drained while a member of its zone may
// still send to it or has requests in flight, however long the member is
// silent.
TEST_CASE("a drain waits until its zone's members acknowledge and are idle") {
  DrainGateFixture fixture;
  CHECK(fixture.Check(1'000'000, {fixture.member}) ==
        GateBlock::kLocalNotAcknowledged);
  fixture.member.version_in_force = 7;
  fixture.member.busy = {fixture.host.id};
  CHECK(fixture.Check(1'000'000, {fixture.member}) == GateBlock::kLocalBusy);
  fixture.member.busy = {HostId("other")};
  CHECK(fixture.Check(100, {fixture.member}) == GateBlock::kNone);
  fixture.member.role = MemberRole::kControl;
  fixture.member.version_in_force = 0;
  CHECK(fixture.Check(100, {fixture.member}) == GateBlock::kNone);
}

// Guards against an outdated host list or a reused host name being taken as
// proof that a member has ended.
TEST_CASE("a drain ignores a member only after its own instance has ended") {
  DrainGateFixture fixture;
  auto list = [&](HostListState state, uint64_t instance) {
    std::vector<HostListEntry> hosts{{"eh", state, instance}};
    fixture.gate.ObserveHostList(hosts);
    return fixture.Check(200, {fixture.member});
  };
  CHECK(list(HostListState::kTerminated, 2) != GateBlock::kNone);
  CHECK(list(HostListState::kTerminated, 4) != GateBlock::kNone);
  CHECK(list(HostListState::kLeaving, 3) != GateBlock::kNone);
  CHECK(list(HostListState::kLive, 4) != GateBlock::kNone);
  CHECK(list(HostListState::kTerminated, 3) == GateBlock::kNone);
  // A later list with an older state does not withdraw the proof.
  CHECK(list(HostListState::kLive, 3) == GateBlock::kNone);
  fixture.member.host = "";
  CHECK(fixture.Check(200, {fixture.member}) != GateBlock::kNone);
}

TEST_CASE("of two rows of one member only the newer incarnation counts") {
  DrainGateFixture fixture;
  MemberView newer = fixture.member;
  newer.incarnation = {2};
  newer.version_in_force = 8;
  CHECK(fixture.Check(100, {fixture.member, newer}) == GateBlock::kNone);
  CHECK(fixture.Check(100, {newer, fixture.member}) == GateBlock::kNone);
  std::swap(newer.version_in_force, fixture.member.version_in_force);
  CHECK(fixture.Check(100, {fixture.member, newer}) != GateBlock::kNone);
}

// Guards against a reboot that interrupts requests of an unreachable member of
// another zone: it stops sending after 5 s + 1 s of margin, and its requests
// end at their deadline.
TEST_CASE("a silent member of another zone blocks until its last deadline") {
  DrainGateFixture fixture;
  fixture.member.zone = ZoneId("z1");
  CHECK(fixture.Check(105, {fixture.member}) == GateBlock::kRemoteMaySend);
  CHECK(fixture.Check(106, {fixture.member}) == GateBlock::kRemoteMayBeBusy);
  CHECK(fixture.Check(165, {fixture.member}) == GateBlock::kRemoteMayBeBusy);
  CHECK(fixture.Check(166, {fixture.member}) == GateBlock::kNone);
  // The member has acknowledged and reports requests on the host; first it is
  // silent, then it still renews its row.
  fixture.member.version_in_force = 7;
  fixture.member.busy = {fixture.host.id};
  CHECK(fixture.Check(165, {fixture.member}) == GateBlock::kRemoteMayBeBusy);
  CHECK(fixture.Check(166, {fixture.member}) == GateBlock::kNone);
  fixture.member.last_change = AtSecond(160);
  CHECK(fixture.Check(170, {fixture.member}) == GateBlock::kRemoteMayBeBusy);
  fixture.member.busy.clear();
  CHECK(fixture.Check(100, {fixture.member}) == GateBlock::kNone);
  DrainGateFixture unbounded;
  unbounded.gate = DrainGate{DrainGateOptions{.max_request_time = Seconds(0)}};
  unbounded.gate.ObserveState(AtSecond(100), unbounded.state);
  unbounded.member.zone = ZoneId("z1");
  CHECK(unbounded.Check(1'000'000, {unbounded.member}) ==
        GateBlock::kRemoteMayBeBusy);
}

// Guards against a member that registered between the read of the list and the
// drain, and so is missing from the list.
TEST_CASE("a member list read before the drain was known is ignored") {
  DrainGateFixture fixture;
  fixture.gate.ObserveMembers({AtSecond(99), {}});
  CHECK(fixture.gate.Check(AtSecond(200), fixture.host).block ==
        GateBlock::kMembersNotRead);
  fixture.gate.ObserveMembers({AtSecond(100), {}});
  CHECK(fixture.gate.Check(AtSecond(200), fixture.host).open);
  // A second drain of the host needs a member list read after its own start.
  fixture.host.drain_version = 9;
  fixture.state.hosts[fixture.host.id] = fixture.host;
  CHECK_FALSE(fixture.gate.Check(AtSecond(200), fixture.host).open);
  fixture.gate.ObserveState(AtSecond(200), fixture.state);
  CHECK(fixture.gate.Check(AtSecond(200), fixture.host).block ==
        GateBlock::kMembersNotRead);
}

struct ChangeWriterFixture {
  ChangeWriter writer;
  ConfigDelta delta;
  uint64_t tag = 0;

  explicit ChangeWriterFixture(uint64_t seed)
      : writer(ChangeWriterOptions{}, seed) {
    delta.version = 5;
    delta.author = "c";
  }
  // Sends the change and returns it with its operation id.
  ConfigDelta Start(Time now) {
    writer.Start(now, delta, {44, 0}, {{"lease/a", 3}}, {});
    StoreCall call = writer.TakeCalls().at(0);
    tag = call.tag;
    const Transaction& commit = std::get<CommitRows>(call.request).transaction;
    return DecodeDelta(commit.writes.at(1).value);
  }
  std::optional<WriteResult> Answer(Time now, StoreReply reply) {
    return writer.Handle(now, {tag, std::move(reply)});
  }
  std::optional<WriteResult> ReadBack(Time now, const std::string& delta_text) {
    writer.Tick(now);
    tag = writer.TakeCalls().at(0).tag;
    Row row{ConfigDeltaKey(5), delta_text.empty() ? 0U : 50U, delta_text};
    return Answer(now,
                  RowsReply{{row, {kConfigHeadKey, 49, EncodeHead({5, 0})}}});
  }
};

// Guards against a change that is committed twice, or wrongly counted as
// failed, after its answer was lost.
TEST_CASE("after a lost answer the delta's operation id decides the outcome") {
  for (int outcome = 0; outcome < 3; ++outcome) {
    ChangeWriterFixture fixture(1);
    ConfigDelta sent = fixture.Start(AtSecond(10));
    CHECK_FALSE(fixture.Answer(AtSecond(11), UnknownReply{}));
    CHECK_FALSE(fixture.writer.Ready(AtSecond(20)));
    ConfigDelta other = sent;
    other.operation.value ^= 2;
    std::string text = outcome == 0   ? EncodeDelta(sent)
                       : outcome == 1 ? EncodeDelta(other)
                                      : "";
    std::optional<WriteResult> result = fixture.ReadBack(AtSecond(20), text);
    REQUIRE(result);
    CHECK(result->outcome == (outcome == 0   ? WriteOutcome::kCommitted
                              : outcome == 1 ? WriteOutcome::kConflict
                                             : WriteOutcome::kNotWritten));
    CHECK(result->head.row == (outcome == 0 ? 49 : 0));
  }
  // A call without an answer counts as lost after its timeout, and a late
  // answer is ignored.
  ChangeWriterFixture fixture(1);
  fixture.Start(AtSecond(10));
  fixture.writer.Tick(AtSecond(41));
  CHECK(fixture.writer.unknown() == 1);
  CHECK_FALSE(fixture.Answer(AtSecond(41), CommittedReply{{49, 50}}));
  CHECK_FALSE(fixture.writer.idle());
}

// Guards against a burst of writes when the store becomes available again, and
// against writes above the site's limit.
TEST_CASE("the change writer keeps the rate limit and backs off with jitter") {
  std::set<Time> returns;
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    ChangeWriterFixture fixture(seed);
    int calls = 0;
    Time now = AtSecond(10);
    for (; now < AtSecond(610); now += Milliseconds(1)) {
      if (!fixture.writer.Ready(now))
        continue;
      fixture.Start(now);
      fixture.Answer(now, UnavailableReply{});
      ++calls;
    }
    CHECK(calls < 130);
    while (!fixture.writer.Ready(now))
      now += Milliseconds(1);
    returns.insert(now);
  }
  CHECK(returns.size() >= 7);
  CHECK(*returns.rbegin() - *returns.begin() > Seconds(1));
  ChangeWriterFixture fixture(1);
  fixture.writer.SetWriterCount(4);
  int calls = 0;
  for (Time now = AtSecond(10); now < AtSecond(20); now += Milliseconds(1)) {
    if (!fixture.writer.Ready(now))
      continue;
    fixture.Start(now);
    fixture.Answer(now, CommittedReply{{1, 2}});
    ++calls;
  }
  CHECK(calls == 250);
}

SimOptions OptionsWithoutFaults(uint64_t seed = 7) {
  SimOptions options;
  options.seed = seed;
  options.control.wave.canary_soak = Seconds(30);
  options.control.wave.resume_after = Seconds(30);
  return options;
}

uint32_t CountPhase(const FleetSim& sim, HostPhase phase) {
  uint32_t count = 0;
  for (const auto& [id, host] : sim.committed_state()->hosts)
    count += host.phase == phase ? 1 : 0;
  return count;
}

void CheckNoViolations(const FleetSim& sim) {
  INFO(Join(sim.violations));
  CHECK(sim.violations.empty());
}

// Guards against a round that exceeds its limits, or that continues before the
// canary has been healthy for its soak time.
TEST_CASE("a wave keeps its canary, rack, zone and pool limits and reports") {
  SimOptions options = OptionsWithoutFaults();
  options.hosts_per_pool = 8;
  // With one rack the rack limit binds, with two the limits of zone and pool.
  uint32_t max_racks = GENERATE(1U, 2U);
  uint32_t wave_limit = 3 - max_racks;
  options.max_racks = max_racks;
  options.wave_limit = wave_limit;
  FleetSim sim(options);
  sim.Run(AtSecond(30));
  sim.SetRound("m1");
  Time canary_done = kTimeMax;
  bool limits_kept = true;
  bool canary_alone = true;
  bool spare_first = true;
  sim.on_step = [&] {
    std::set<RackId> racks;
    std::set<ZoneId> zones;
    std::map<PoolId, uint32_t> pools;
    uint32_t in_maintenance = 0;
    for (const auto& [id, host] : sim.committed_state()->hosts) {
      bool done = host.maintained == "m1" && host.phase == HostPhase::kActive;
      if (done)
        canary_done = std::min(canary_done, sim.now());
      if (!InMaintenance(*sim.committed_state(), host))
        continue;
      ++in_maintenance;
      racks.insert(host.rack);
      zones.insert(host.zone);
      ++pools[host.pool];
      if (canary_done == kTimeMax)
        spare_first &= host.pool == PoolId("spare");
    }
    limits_kept &= racks.size() <= max_racks && zones.size() <= 1;
    for (const auto& [pool, count] : pools)
      limits_kept &= count <= wave_limit;
    if (canary_done == kTimeMax)
      canary_alone &= in_maintenance <= 1;
    else if (sim.now() < canary_done + Seconds(29))
      canary_alone &= in_maintenance == 0;
  };
  sim.Run(AtSecond(1500));
  CHECK(limits_kept);
  CHECK(canary_alone);
  CHECK(spare_first);
  CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
  REQUIRE(sim.reports.size() == sim.control_processes.size());
  CHECK(sim.reports[0].hosts_maintained + sim.reports[1].hosts_maintained ==
        24);
  CHECK_FALSE(sim.reports[0].partial);
  CHECK(sim.reports[0].requests_cut == 0);
  CHECK(sim.reports[0].budget_used[PoolId("a")] <= 2);
  CheckNoViolations(sim);
}

// Guards against a round that continues while hosts fail after their reboot.
TEST_CASE("failures after reboots pause the wave until the hosts recover") {
  FleetSim sim(OptionsWithoutFaults());
  sim.Run(AtSecond(30));
  sim.SetRound("m1");
  std::vector<HostId> first_completed;
  sim.on_step = [&] {
    for (const auto& [id, host] : sim.committed_state()->hosts) {
      bool done = host.maintained == "m1" && host.phase == HostPhase::kActive;
      bool listed = std::find(first_completed.begin(), first_completed.end(),
                              id) != first_completed.end();
      // The canary passes; the next two hosts fail after their return.
      if (done && !listed && first_completed.size() < 3) {
        first_completed.push_back(id);
        if (first_completed.size() > 1)
          sim.FailHost(id, AtSecond(500) - sim.now());
      }
    }
  };
  sim.Run(AtSecond(300));
  REQUIRE(first_completed.size() == 3);
  CHECK(sim.control_processes[0].controller->wave_paused());
  uint64_t drains = sim.drains;
  sim.Run(AtSecond(520));
  CHECK(sim.drains == drains);
  CHECK(CountPhase(sim, HostPhase::kActive) == 18);
  sim.on_step = nullptr;
  sim.Run(AtSecond(1500));
  CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
  CheckNoViolations(sim);
}

// Guards against drains that start or continue while lost hosts use up the
// budget.
TEST_CASE("while hosts are lost no drain starts and a drain is cancelled") {
  SimOptions options = OptionsWithoutFaults();
  options.control.wave.canary_soak = Seconds(0);
  options.max_racks = 3;
  FleetSim sim(options);
  sim.Run(AtSecond(30));
  // Entry processes are paused, so that no drain is acknowledged.
  for (FleetSim::EntryProcess& entry : sim.entry_processes)
    entry.paused_until = AtSecond(36);
  sim.EditHost(HostId("h100"),
               [](HostState* h) { h->wanted_pool = PoolId("b"); });
  sim.Run(AtSecond(33));
  REQUIRE(sim.committed_state()->FindHost(HostId("h100"))->phase ==
          HostPhase::kDraining);
  sim.FailHost(HostId("h101"), Seconds(8));
  sim.FailHost(HostId("h102"), Seconds(8));
  sim.Run(AtSecond(36));
  CHECK(sim.committed_state()->FindHost(HostId("h100"))->phase ==
        HostPhase::kActive);
  // The drain does not restart as soon as the lost hosts return.
  sim.Run(AtSecond(60));
  CHECK(sim.drains == 1);
  sim.FailHost(HostId("h101"), Seconds(200));
  sim.FailHost(HostId("h102"), Seconds(200));
  sim.EditHost(HostId("h103"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.Run(AtSecond(200));
  CHECK(sim.drains == 1);
  CHECK(sim.committed_state()->FindHost(HostId("h103"))->phase ==
        HostPhase::kActive);
  sim.Run(AtSecond(400));
  CHECK(sim.committed_state()->FindHost(HostId("h100"))->pool == PoolId("b"));
  CHECK(sim.committed_state()->FindHost(HostId("h103"))->phase ==
        HostPhase::kDrained);
  CheckNoViolations(sim);
}

// Guards against progress that is only in a controller's memory: for each
// action of a small wave with a move, a run kills the controller before or
// after it.
TEST_CASE("after a kill at any action work continues from the log") {
  uint64_t total = 0;
  for (uint64_t k = 0; k == 0 || k <= total; ++k) {
    for (bool after : {false, true}) {
      SimOptions options = OptionsWithoutFaults();
      options.hosts_per_pool = 2;
      options.max_unavailable = 1;
      options.control.wave.canary_soak = Seconds(5);
      FleetSim sim(options);
      sim.kill_at_action = k;
      sim.kill_after_action = after;
      sim.Run(AtSecond(20));
      sim.SetRound("m1");
      sim.EditHost(HostId("h100"),
                   [](HostState* h) { h->wanted_pool = PoolId("b"); });
      sim.Run(AtSecond(600));
      INFO("killed at action " << k << " after it: " << after);
      CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
      CheckNoViolations(sim);
      if (k == 0)
        total = sim.actions;
    }
  }
  CHECK(total > 20);
}

// Guards against a paused process that acts on a lease that has expired.
TEST_CASE("a controller without a valid lease sends no actions") {
  FleetSim sim(OptionsWithoutFaults());
  sim.Run(AtSecond(20));
  sim.SetRound("m1");
  while (CountPhase(sim, HostPhase::kRebooting) == 0)
    sim.Run(sim.now() + Milliseconds(200));
  for (FleetSim::ControlProcess& process : sim.control_processes)
    process.paused_until = AtSecond(300);
  sim.Run(AtSecond(299));
  uint64_t actions = sim.actions;
  sim.store_up = false;
  sim.Run(AtSecond(400));
  CHECK(sim.actions == actions);
  CheckNoViolations(sim);
}

// Guards against a second round that counts as done by the reboot of the first,
// if the host did not serve between the rounds.
TEST_CASE("a host that stays drained is rebooted once for each round") {
  FleetSim sim(OptionsWithoutFaults());
  sim.EditHost(HostId("h112"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.Run(AtSecond(60));
  for (const char* round : {"m1", "m2"}) {
    uint64_t before = sim.reboots[HostId("h112")];
    sim.SetRound(round);
    sim.Run(sim.now() + Seconds(600));
    CHECK(sim.committed_state()->FindHost(HostId("h112"))->maintained == round);
    CHECK(sim.reboots[HostId("h112")] == before + 1);
  }
  CheckNoViolations(sim);
}

// Guards against a budget that relies on old health reports of a zone that the
// platform cannot reach.
TEST_CASE("hosts of a partitioned zone count as unavailable") {
  DrainGateFixture fixture;
  FleetState state;
  state.pools[PoolId("a")] = {.id = PoolId("a"), .max_unavailable = 1};
  std::vector<HostObservation> observations;
  for (const char* name : {"h1", "h2"}) {
    HostState host;
    host.id = HostId(name);
    host.pool = PoolId("a");
    host.zone = ZoneId(name == std::string("h1") ? "z0" : "z1");
    state.hosts[host.id] = host;
    observations.push_back({host.id, HostHealth::kHealthy, {}, AtSecond(112)});
  }
  HealthView health(HealthOptions{});
  health.Observe(observations);
  for (int64_t second : {112, 113}) {
    fixture.gate.ObserveMembers({AtSecond(second), {fixture.member}});
    health.ObserveZones(AtSecond(second), fixture.gate);
    BudgetTable budgets(AtSecond(second), state, health);
    bool partitioned = second == 113;  // 12 s after the row's last change.
    CHECK(budgets.unavailable(PoolId("a")) == (partitioned ? 1U : 0U));
    CHECK(budgets.MayMakeUnavailable(state.hosts[HostId("h2")]) ==
          !partitioned);
  }
  // A report made before a reboot does not count as health after it.
  const HostState& h2 = state.hosts[HostId("h2")];
  CHECK(health.HealthySince(AtSecond(113), h2, AtSecond(111)));
  CHECK_FALSE(health.HealthySince(AtSecond(113), h2, AtSecond(112)));
}

// Guards against writes of a controller whose lease another process has taken:
// the head is current, so only the fence rows make the commit fail.
TEST_CASE("a write with an outdated fence row fails and is not repeated") {
  SimOptions options = OptionsWithoutFaults();
  options.control_process_count = 1;
  FleetSim sim(options);
  sim.Run(AtSecond(20));
  uint64_t sent = 0;
  sim.intercept = [&](FleetSim::ControlProcess& process,
                      const StoreCall& call) {
    ++sent;
    Transaction steal{{99}, {}, {}};
    for (const char* pool : {"a", "b", "spare"})
      steal.writes.push_back({std::string("lease/") + pool, "thief"});
    sim.Apply(CommitRows{steal});
    process.next_poll = AtSecond(1000);
    sim.Answer(process, call.tag, sim.Apply(call.request), Milliseconds(5));
    return true;
  };
  sim.SetRound("m1");
  sim.Run(AtSecond(25));
  // One attempt for each of the three leases.
  CHECK(sent == 3);
  CHECK(sim.drains == 0);
  CHECK(sim.control_processes[0].controller->fleet_counters().conflicts == 3);
}

// Guards against a partition that stops the wave in other zones, or during
// which hosts of the partitioned zone are drained.
TEST_CASE("a partition stops the wave only in the partitioned zone") {
  SimOptions options = OptionsWithoutFaults();
  options.pools = {"a", "spare"};
  options.hosts_per_pool = 12;
  options.max_unavailable = 6;
  options.control_process_count = 3;
  options.control.wave.canary_soak = Seconds(5);
  FleetSim sim(options);
  sim.Run(AtSecond(20));
  sim.Partition(ZoneId("z1"), Seconds(1500));
  sim.Run(AtSecond(60));
  sim.SetRound("m1");
  sim.EditHost(HostId("h101"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.Run(AtSecond(1400));
  for (const auto& [id, host] : sim.committed_state()->hosts) {
    bool partitioned = host.zone == ZoneId("z1");
    CHECK(host.maintained == (partitioned ? "" : "m1"));
    CHECK(host.phase == HostPhase::kActive);
  }
  sim.Run(AtSecond(2500));
  CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
  CheckNoViolations(sim);
}

// Guards against a reboot that interrupts requests that only the backend server
// knows of.
TEST_CASE("a host keeps draining while its server reports requests") {
  FleetSim sim(OptionsWithoutFaults());
  sim.running[HostId("h100")] = 1;
  sim.EditHost(HostId("h100"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.Run(AtSecond(100));
  const HostId id("h100");
  CHECK(sim.committed_state()->FindHost(id)->phase == HostPhase::kDraining);
  sim.running[id] = 0;
  sim.Run(AtSecond(110));
  CHECK(sim.committed_state()->FindHost(id)->phase == HostPhase::kDrained);
  // A drain is cancelled when its reason is gone.
  sim.EditHost(HostId("h101"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.running[HostId("h101")] = 1;
  sim.Run(AtSecond(115));
  REQUIRE(sim.drains == 2);
  sim.EditHost(HostId("h101"),
               [](HostState* h) { h->intent = HostIntent::kServe; });
  sim.Run(AtSecond(120));
  CHECK(sim.committed_state()->FindHost(HostId("h101"))->phase ==
        HostPhase::kActive);
}

// Guards against a wave that stops in every zone because one drain cannot be
// acknowledged.
TEST_CASE("a drain stuck in a silent zone does not stop the wave elsewhere") {
  SimOptions options = OptionsWithoutFaults();
  options.max_unavailable = 4;
  options.max_racks = 1;
  FleetSim sim(options);
  sim.Run(AtSecond(20));
  sim.SetRound("m1");
  for (FleetSim::EntryProcess& entry : sim.entry_processes) {
    if (entry.row.zone == ZoneId("z0"))
      entry.paused_until = AtSecond(900);
  }
  sim.Run(AtSecond(800));
  REQUIRE(CountPhase(sim, HostPhase::kDraining) == 1);
  for (const auto& [id, host] : sim.committed_state()->hosts)
    CHECK((host.maintained == "m1") == (host.zone != ZoneId("z0")));
  sim.Run(AtSecond(1600));
  CHECK(DescribeUnfinishedHosts(*sim.committed_state()).empty());
  CheckNoViolations(sim);
}

TEST_CASE("hosts move and retire, and a closed pool is removed") {
  FleetSim sim(OptionsWithoutFaults());
  sim.Run(AtSecond(20));
  sim.EditHost(HostId("h100"),
               [](HostState* h) { h->wanted_pool = PoolId("b"); });
  sim.EditHost(HostId("h106"),
               [](HostState* h) { h->intent = HostIntent::kRetire; });
  sim.Run(AtSecond(120));
  const HostState* moved = sim.committed_state()->FindHost(HostId("h100"));
  CHECK(moved->pool == PoolId("b"));
  CHECK(moved->epoch == 2);
  CHECK(moved->phase == HostPhase::kActive);
  CHECK(sim.committed_state()->FindHost(HostId("h106"))->phase ==
        HostPhase::kRetired);
  // One host of the closed pool moves to another pool; the last one stays until
  // the queue is empty.
  sim.loads = {{PoolId("a"), 1, 5}};
  sim.EditHost(HostId("h101"),
               [](HostState* h) { h->wanted_pool = PoolId("b"); });
  sim.EditPool(PoolId("a"), [](PoolState* p) { p->closed = true; });
  sim.Run(AtSecond(145));
  CHECK(sim.Serving(PoolId("a")) == 1);
  CHECK(sim.committed_state()->FindPool(PoolId("a")));
  sim.loads = {{PoolId("a"), 0, 0}};
  sim.Run(AtSecond(250));
  CHECK_FALSE(sim.committed_state()->FindPool(PoolId("a")));
  CHECK_FALSE(sim.committed_state()->FindHost(HostId("h102")));
  CHECK(sim.committed_state()->FindHost(HostId("h101"))->pool == PoolId("b"));
  StoreReply lease = sim.Apply(ReadRows{{"lease/a"}});
  CHECK(std::get<RowsReply>(lease).rows.at(0).version == 0);
  CheckNoViolations(sim);
}

TEST_CASE("due hosts and hosts with intent to drain count as due soon") {
  FleetSim sim(OptionsWithoutFaults());
  sim.Run(AtSecond(20));
  const Controller& control = *sim.control_processes[0].controller;
  CHECK_FALSE(control.IsSoonDue(HostId("h100")));
  sim.EditHost(HostId("h110"),
               [](HostState* h) { h->intent = HostIntent::kDrain; });
  sim.SetRound("m1");
  sim.Run(AtSecond(22));
  CHECK(control.IsSoonDue(HostId("h110")));
  CHECK(control.IsSoonDue(HostId("h100")));
}

// Guards against a policy that lends too late for a peak, or never takes hosts
// back.
TEST_CASE("policies lend hosts for a peak and take them back after it") {
  const LendingPolicy hysteresis = HysteresisLending{};
  const LendingPolicy predictive = PredictiveLending{
      .period = Seconds(300), .bins = 60, .lead_time = Seconds(60)};
  for (const LendingPolicy& policy : {hysteresis, predictive}) {
    bool learns = std::holds_alternative<PredictiveLending>(policy);
    SimOptions options = OptionsWithoutFaults();
    options.control.lending = policy;
    FleetSim sim(options);
    uint32_t max_serving = 0;
    uint32_t before_peak = 0;
    sim.on_step = [&] {
      int64_t offset = (sim.now() - kTimeZero) / Seconds(1) % 300;
      bool peak = offset >= 150 && offset < 180;
      sim.loads = {{PoolId("a"), peak ? 9.0 : 1.0, 0}, {PoolId("b"), 1.0, 0}};
      uint32_t serving = sim.Serving(PoolId("a"));
      max_serving = std::max(max_serving, serving);
      if (offset == 149 && sim.now() > AtSecond(300))
        before_peak = std::max(before_peak, serving);
    };
    sim.Run(AtSecond(600));
    CHECK(max_serving > 6);
    CHECK((before_peak > 6) == learns);
    CHECK(sim.Serving(PoolId("a")) == 6);
    CheckNoViolations(sim);
  }
}

}  // namespace
}  // namespace radishmoor
