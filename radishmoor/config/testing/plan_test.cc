#include "radishmoor/config/plan.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "radishmoor/base/random.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

// Returns a random valid inventory of hosts among h0 to h11 and pools among p0
// to p3.
Inventory RandomInventory(Random& random) {
  Inventory inventory;
  for (uint64_t p = 0, n = 1 + random.Below(4); p < n; ++p) {
    PoolState pool;
    pool.id = PoolId("p" + std::to_string(random.Below(4)));
    pool.queue_limit = 1 + random.Below(3);
    pool.max_unavailable = pool.wave_limit = random.Below(3);
    inventory.pools[pool.id] = pool;
  }
  for (int i = 0; i < 12; ++i) {
    if (random.Chance(0.3))
      continue;
    InventoryHost host;
    host.id = HostId("h" + std::to_string(i));
    host.zone = ZoneId("z" + std::to_string(i % 2));
    host.rack = RackId("r" + std::to_string(i % 4));
    host.pool =
        std::next(inventory.pools.begin(),
                  static_cast<int>(random.Below(inventory.pools.size())))
            ->first;
    host.address = "127.0.0.1:" + std::to_string(i + 1);
    host.cores = 1 + random.Below(2);
    host.memory_gb = 1;
    host.intent = static_cast<HostIntent>(random.Below(3));
    inventory.hosts[host.id] = host;
  }
  if (random.Chance(0.5)) {
    TeamId team("t" + std::to_string(random.Below(2)));
    inventory.teams[team] = {team, static_cast<uint32_t>(random.Below(5)), 0};
  }
  inventory.rules.maintenance = random.Chance(0.5) ? "r1" : "";
  return inventory;
}

// Randomly changes the host fields that only control processes change.
void ChangeControlFields(FleetState& state, Random& random) {
  for (auto& [id, host] : state.hosts) {
    host.phase = static_cast<HostPhase>(random.Below(5));
    host.epoch += random.Below(3);
    host.drain_version = random.Below(9);
  }
}

FleetState After(FleetState state, const ConfigPlan& plan) {
  state.Apply(plan.delta);
  return state;
}

// Returns `state` as an inventory, without the objects that `wanted` lacks and
// that a later plan will remove: retiring hosts and closed pools.
Inventory WithoutPendingRemovals(const FleetState& state,
                                 const Inventory& wanted) {
  Inventory inventory = InventoryOf(state);
  std::erase_if(inventory.hosts, [&](const auto& item) {
    return item.second.intent == HostIntent::kRetire &&
           !wanted.hosts.contains(item.first);
  });
  std::erase_if(inventory.pools, [&](const auto& item) {
    return item.second.closed && !wanted.pools.contains(item.first);
  });
  return inventory;
}

// Guards against a plan that omits a difference, changes fields of control, or
// still has changes after it was applied.
TEST_CASE("applying a plan leads to the inventory") {
  REQUIRE(rc::check([](uint64_t seed) {
    Random random(seed);
    FleetState state;
    for (int round = 0; round < 4; ++round) {
      Inventory wanted = RandomInventory(random);
      // A plan that returns a retired host to service would be refused.
      for (auto& [id, host] : wanted.hosts) {
        if (const HostState* old = state.FindHost(id);
            old != nullptr && old->phase == HostPhase::kRetired)
          host.intent = HostIntent::kRetire;
      }
      ConfigPlan plan = PlanInventory(state, wanted);
      RC_ASSERT(plan.refusals.empty());
      FleetState after = After(state, plan);
      RC_ASSERT(WithoutPendingRemovals(after, wanted) == wanted);
      RC_ASSERT(PlanInventory(after, wanted).empty());
      RC_ASSERT(plan.empty() == (InventoryOf(after) == InventoryOf(state)));
      for (const auto& [id, host] : after.hosts) {
        RC_ASSERT(after.FindPool(host.pool) != nullptr);
        const HostState* old = state.FindHost(id);
        if (old == nullptr)
          continue;
        RC_ASSERT(old->pool == host.pool && old->epoch == host.epoch &&
                  old->phase == host.phase &&
                  old->drain_version == host.drain_version);
      }
      for (const auto& [id, host] : state.hosts)
        RC_ASSERT(after.hosts.contains(id) ||
                  host.phase == HostPhase::kRetired);
      state = after;
      ChangeControlFields(state, random);
    }
  }));
}

Inventory TwoPools() {
  Inventory inventory;
  for (const char* name : {"a", "b"}) {
    PoolId pool(name);
    inventory.pools[pool] = {.id = pool, .max_unavailable = 1};
    for (int i = 0; i < 3; ++i) {
      HostId id(name + std::to_string(i));
      inventory.hosts[id] = {.id = id,
                             .zone = ZoneId("z"),
                             .rack = RackId("r" + std::to_string(i)),
                             .pool = pool,
                             .address = id.str(),
                             .cores = 1,
                             .memory_gb = 1};
    }
  }
  return inventory;
}

FleetState Accepted(const Inventory& inventory) {
  return After({}, PlanInventory({}, inventory));
}

bool TextContains(const ConfigPlan& plan, std::string_view text) {
  return PlanText(plan).find(text) != std::string::npos;
}

// Guards against a plan that does not show the operator the cost of a change.
TEST_CASE("a plan shows moves, waves and budget warnings") {
  Inventory wanted = TwoPools();
  FleetState state = Accepted(wanted);
  for (const char* id : {"a0", "a1", "a2"})
    wanted.hosts[HostId(id)].pool = PoolId("b");
  wanted.hosts[HostId("b0")].intent = HostIntent::kDrain;
  wanted.hosts[HostId("b1")].intent = HostIntent::kDrain;
  wanted.rules.maintenance = "r1";
  ConfigPlan plan = PlanInventory(state, wanted);
  REQUIRE(plan.moves.size() == 3);
  REQUIRE(TextContains(plan, "~ host a0: wanted_pool a -> b\n"));
  REQUIRE(TextContains(plan,
                       "pool a: 3 hosts leave and the budget is 1; they leave "
                       "in at least 3 steps"));
  REQUIRE(TextContains(plan, "pool a: every host in service leaves"));
  REQUIRE(TextContains(plan,
                       "pool b: 2 hosts should be drained and the budget is 1; "
                       "control leaves 1 in service"));
  // The canary is a0. Each further wave takes one rack and one host of pool b.
  REQUIRE(plan.waves ==
          std::vector<std::vector<HostId>>{
              {HostId("a0")}, {HostId("a1")}, {HostId("a2")}, {HostId("b2")}});
  wanted.pools[PoolId("b")].max_unavailable = 0;
  plan = PlanInventory(state, wanted);
  REQUIRE(plan.waves.empty());
  REQUIRE(TextContains(plan, "pool b: its budget or wave limit is 0"));
}

// Guards against one backend server that is known as two hosts.
TEST_CASE("an address is not reused before its host has retired") {
  Inventory wanted = TwoPools();
  FleetState state = Accepted(wanted);
  auto node = wanted.hosts.extract(HostId("a0"));
  node.key() = node.mapped().id = HostId("a9");
  wanted.hosts.insert(std::move(node));
  REQUIRE(PlanInventory(state, wanted).refusals.size() == 1);
  state.hosts[HostId("a0")].phase = HostPhase::kRetired;
  REQUIRE(PlanInventory(state, wanted).refusals.empty());
  wanted = TwoPools();
  REQUIRE(TextContains(PlanInventory(state, wanted), "host a0 has retired"));
  REQUIRE(!PlanHostIntent(state, HostId("a0"), HostIntent::kServe)
               .refusals.empty());
  REQUIRE(
      !PlanHostIntent(state, HostId("x"), HostIntent::kDrain).refusals.empty());
}

// Guards against retiring the hosts of a pool one by one until its budget
// allows all remaining hosts to be unavailable.
TEST_CASE("a retirement must leave more hosts than the pool may lose") {
  FleetState state = Accepted(TwoPools());
  ConfigPlan plan = PlanHostIntent(state, HostId("a0"), HostIntent::kRetire);
  REQUIRE(plan.refusals.empty());
  state = After(state, plan);
  REQUIRE(PlanHostIntent(state, HostId("a0"), HostIntent::kRetire).empty());
  REQUIRE(TextContains(PlanHostIntent(state, HostId("a1"), HostIntent::kRetire),
                       "pool a would keep 1 hosts and may lose 1; lower"));
  REQUIRE(
      PlanHostIntent(state, HostId("a1"), HostIntent::kDrain).refusals.empty());
  state.pools[PoolId("a")].closed = true;
  REQUIRE(PlanHostIntent(state, HostId("a1"), HostIntent::kRetire)
              .refusals.empty());
}

// A store that injects a given sequence of faults into commits.
struct FaultyStore {
  enum class Fault {
    kNone,
    kLostBefore,  // The request is lost.
    kLostAfter,   // The commit takes effect and the answer is lost.
    kDown,
  };

  MemoryTable table;
  std::vector<Fault> faults;  // For the next commits, in order.
  std::function<void()> before_commit = [] {};
  bool reads_fail = false;

  StoreReply operator()(const StoreRequest& request) {
    if (!std::holds_alternative<CommitRows>(request))
      return reads_fail ? UnavailableReply{"down"} : table.Handle(request);
    std::exchange(before_commit, [] {})();
    Fault fault = Fault::kNone;
    if (!faults.empty()) {
      fault = faults.front();
      faults.erase(faults.begin());
    }
    if (fault == Fault::kDown)
      return UnavailableReply{"down"};
    if (fault == Fault::kLostBefore)
      return UnknownReply{"timeout"};
    StoreReply reply = table.Handle(request);
    return fault == Fault::kLostAfter ? UnknownReply{"timeout"} : reply;
  }

  StoreExecutor executor() {
    return [this](const StoreRequest& request) { return (*this)(request); };
  }
  FleetState state() { return LoadConfig(executor()).state; }
  ApplyOutcome Apply(const Inventory& wanted,
                     uint64_t operation,
                     std::optional<ConfigVersion> expected = std::nullopt) {
    return ApplyPlan(
        executor(),
        [&](const FleetState& s) { return PlanInventory(s, wanted); },
        {OperationId{operation}, "op", expected});
  }
  // Commits a change of the first host by control or by another operator.
  void Change(const std::function<void(HostState&)>& change,
              uint64_t operation) {
    LoadedConfig loaded = LoadConfig(executor());
    ConfigDelta delta;
    delta.version = loaded.head.version + 1;
    delta.operation = {operation};
    delta.hosts.push_back(loaded.state.hosts.begin()->second);
    change(delta.hosts.back());
    table.Handle(CommitRows{
        BuildConfigTransaction(delta, loaded.head_row_version, loaded.head)});
  }
};

using Fault = FaultyStore::Fault;

// Guards against a change that is applied twice or is reported as failed
// although it was applied, after answers were lost.
TEST_CASE("a lost answer is resolved by the operation id") {
  struct Case {
    std::vector<Fault> faults;
    ApplyResult result;
  };
  Fault after = Fault::kLostAfter;
  Fault before = Fault::kLostBefore;
  for (const Case& c :
       {Case{{after}, ApplyResult::kApplied},
        Case{{before}, ApplyResult::kApplied},
        Case{{after, Fault::kDown, Fault::kDown}, ApplyResult::kApplied},
        Case{{before, before, before}, ApplyResult::kUnknown},
        Case{{before, Fault::kDown, Fault::kDown}, ApplyResult::kUnknown},
        Case{{Fault::kDown}, ApplyResult::kUnavailable}}) {
    FaultyStore store;
    store.faults = c.faults;
    ApplyOutcome outcome = store.Apply(TwoPools(), 7);
    REQUIRE(outcome.result == c.result);
    bool applied = c.result == ApplyResult::kApplied;
    REQUIRE(store.state().version == (applied ? 1 : 0));
    // Repeating the command commits the change if it was not committed, and
    // once only.
    REQUIRE(store.Apply(TwoPools(), 7).result == ApplyResult::kApplied);
    REQUIRE(store.state().version == 1);
    REQUIRE(store.Apply(TwoPools(), 8).result == ApplyResult::kNothingToDo);
  }
  FaultyStore store;
  store.reads_fail = true;
  REQUIRE(store.Apply(TwoPools(), 7).result == ApplyResult::kUnavailable);
}

// Guards against an operator's change that silently reverts another operator's,
// and against conflicts with control that prevent all operators' changes.
TEST_CASE("a change by another operator conflicts, one by control does not") {
  FaultyStore store;
  store.Apply(TwoPools(), 1);
  Inventory wanted = TwoPools();
  wanted.hosts[HostId("b0")].cores = 9;
  store.before_commit = [&] {
    store.Change([](HostState& h) { h.phase = HostPhase::kDraining; }, 2);
  };
  REQUIRE(store.Apply(wanted, 3).version == 3);
  REQUIRE(store.state().FindHost(HostId("a0"))->phase == HostPhase::kDraining);
  REQUIRE(store.state().FindHost(HostId("b0"))->cores == 9);

  wanted.hosts[HostId("b0")].cores = 10;
  store.before_commit = [&] {
    store.Change([](HostState& h) { h.cores = 5; }, 4);
  };
  ApplyOutcome outcome = store.Apply(wanted, 5);
  REQUIRE(outcome.result == ApplyResult::kConflict);
  REQUIRE(DiffText(*outcome.difference) == "  ~ host a0: cores 1 -> 5\n");
  REQUIRE(store.Apply(wanted, 6, 3).result == ApplyResult::kConflict);
  REQUIRE(store.state().version == 4);
  REQUIRE(store.Apply(wanted, 7, 4).result == ApplyResult::kApplied);
}

// Guards against a log that grows without snapshots and against a snapshot that
// differs from the state of the log.
TEST_CASE("a snapshot is written every interval and equals the log's state") {
  FaultyStore store;
  store.Apply(TwoPools(), 1);
  Inventory wanted = TwoPools();
  for (uint64_t n = 2; n <= kSnapshotInterval + 3; ++n) {
    wanted.hosts[HostId("a0")].cores = static_cast<uint32_t>(n);
    REQUIRE(!store.Apply(wanted, n).snapshot_failed);
  }
  LoadedConfig loaded = LoadConfig(store.executor());
  REQUIRE(loaded.head.snapshot == kSnapshotInterval);
  REQUIRE(loaded.deltas.size() == 3);
  REQUIRE(WithoutPendingRemovals(loaded.state, wanted) == wanted);
  REQUIRE(FindOperation(store.executor(), {2}) == 2);
  REQUIRE(FindOperation(store.executor(), {999}) == std::nullopt);
  REQUIRE(store.Apply(wanted, 999, 9).result == ApplyResult::kConflict);
  ConfigDelta gap;
  gap.version = loaded.head.version + 2;
  REQUIRE_THROWS_AS(BuildConfigTransaction(gap, 1, loaded.head),
                    std::invalid_argument);
}

}  // namespace
}  // namespace radishmoor
