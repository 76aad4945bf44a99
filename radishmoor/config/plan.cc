#include "radishmoor/config/plan.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace radishmoor {
namespace {

namespace json = boost::json;

// How often ApplyPlan() makes the plan again after a conflict with control.
constexpr int kMaxRebases = 5;
// Maximum number of waves that PlanText() lists.
constexpr size_t kMaxListedWaves = 10;

using FieldList = std::vector<std::pair<std::string, std::string>>;

std::string_view PhaseName(HostPhase phase) {
  switch (phase) {
    case HostPhase::kActive:
      return "active";
    case HostPhase::kDraining:
      return "draining";
    case HostPhase::kDrained:
      return "drained";
    case HostPhase::kRebooting:
      return "rebooting";
    case HostPhase::kRetired:
      return "retired";
  }
  return "active";
}

FieldList FieldsOf(const HostState& h) {
  return {{"zone", h.zone.str()},
          {"rack", h.rack.str()},
          {"address", h.address},
          {"cores", std::to_string(h.cores)},
          {"memory_gb", std::to_string(h.memory_gb)},
          {"accelerators", std::to_string(h.accelerators)},
          {"slots", std::to_string(h.slots)},
          {"connections", std::to_string(h.connections)},
          {"wanted_pool", h.wanted_pool.str()},
          {"intent", std::string(IntentName(h.intent))},
          {"pool", h.pool.str()},
          {"epoch", std::to_string(h.epoch)},
          {"phase", std::string(PhaseName(h.phase))},
          {"drain_version", std::to_string(h.drain_version)},
          {"maintained", h.maintained}};
}

FieldList FieldsOf(const PoolState& p) {
  return {{"max_unavailable", std::to_string(p.max_unavailable)},
          {"wave_limit", std::to_string(p.wave_limit)},
          {"spare", p.spare ? "true" : "false"},
          {"closed", p.closed ? "true" : "false"},
          {"default_deadline_ms", std::to_string(p.default_deadline_ms)},
          {"queue_limit", std::to_string(p.queue_limit)}};
}

FieldList FieldsOf(const TeamState& t) {
  return {{"quota_cores", std::to_string(t.quota_cores)},
          {"quota_accelerators", std::to_string(t.quota_accelerators)}};
}

FieldList FieldsOf(const SiteRules& r) {
  return {
      {"maintenance", r.maintenance},
      {"max_racks_in_maintenance", std::to_string(r.max_racks_in_maintenance)}};
}

template <typename T>
ObjectChange ChangedObject(const char* object,
                           const std::string& id,
                           const T& before,
                           const T& after) {
  ObjectChange change{ChangeKind::kChanged, object, id, {}};
  FieldList old_fields = FieldsOf(before);
  FieldList new_fields = FieldsOf(after);
  for (size_t i = 0; i < old_fields.size(); ++i) {
    if (old_fields[i].second != new_fields[i].second) {
      change.fields.push_back(
          {old_fields[i].first, old_fields[i].second, new_fields[i].second});
    }
  }
  return change;
}

template <typename Map>
void DiffMaps(const char* object,
              const Map& before,
              const Map& after,
              std::vector<ObjectChange>& changes) {
  for (const auto& [id, value] : before) {
    if (after.contains(id))
      continue;
    ObjectChange change{ChangeKind::kRemoved, object, id.str(), {}};
    for (auto& [field, text] : FieldsOf(value))
      change.fields.push_back({field, text, ""});
    changes.push_back(std::move(change));
  }
  for (const auto& [id, value] : after) {
    auto it = before.find(id);
    if (it != before.end()) {
      if (!(it->second == value))
        changes.push_back(ChangedObject(object, id.str(), it->second, value));
      continue;
    }
    ObjectChange change{ChangeKind::kAdded, object, id.str(), {}};
    for (auto& [field, text] : FieldsOf(value))
      change.fields.push_back({field, "", text});
    changes.push_back(std::move(change));
  }
}

HostState WithSpecification(HostState host, const InventoryHost& wanted) {
  host.id = wanted.id;
  host.zone = wanted.zone;
  host.rack = wanted.rack;
  host.address = wanted.address;
  host.cores = wanted.cores;
  host.memory_gb = wanted.memory_gb;
  host.accelerators = wanted.accelerators;
  host.slots = wanted.slots;
  host.connections = wanted.connections;
  host.wanted_pool = wanted.pool;
  host.intent = wanted.intent;
  return host;
}

// Returns the state of a host that no process knows yet. A host that should not
// serve starts in the phase in which its drain or retirement would end.
HostState NewHost(const InventoryHost& wanted, ConfigVersion version) {
  HostState host = WithSpecification({}, wanted);
  host.pool = wanted.pool;
  if (wanted.intent == HostIntent::kServe)
    return host;
  host.phase = wanted.intent == HostIntent::kRetire ? HostPhase::kRetired
                                                    : HostPhase::kDrained;
  host.drain_version = version;
  return host;
}

void PlanHosts(const FleetState& state,
               const Inventory& inventory,
               ConfigPlan& plan) {
  for (const auto& [id, wanted] : inventory.hosts) {
    const HostState* host = state.FindHost(id);
    if (host == nullptr) {
      plan.delta.hosts.push_back(NewHost(wanted, plan.delta.version));
      continue;
    }
    if (host->phase == HostPhase::kRetired &&
        wanted.intent != HostIntent::kRetire) {
      plan.refusals.push_back(
          "host " + id.str() +
          " has retired; apply once without it, then add it again");
      continue;
    }
    HostState changed = WithSpecification(*host, wanted);
    if (!(changed == *host))
      plan.delta.hosts.push_back(std::move(changed));
  }
  for (const auto& [id, host] : state.hosts) {
    if (inventory.hosts.contains(id))
      continue;
    if (host.phase == HostPhase::kRetired) {
      plan.delta.removed_hosts.push_back(id);
    } else if (host.intent != HostIntent::kRetire) {
      plan.delta.hosts.push_back(host);
      plan.delta.hosts.back().intent = HostIntent::kRetire;
    }
  }
}

// Returns the current and the wanted pools of all hosts after the delta.
std::set<PoolId> PoolsInUse(const FleetState& state, const ConfigDelta& delta) {
  FleetState after = state;
  after.Apply(delta);
  std::set<PoolId> pools;
  for (const auto& [id, host] : after.hosts) {
    pools.insert(host.pool);
    pools.insert(host.wanted_pool);
  }
  return pools;
}

// Must run after PlanHosts(): a pool is removed only if no host of the planned
// state refers to it.
void PlanPools(const FleetState& state,
               const Inventory& inventory,
               ConfigPlan& plan) {
  std::set<PoolId> used = PoolsInUse(state, plan.delta);
  for (const auto& [id, wanted] : inventory.pools) {
    const PoolState* pool = state.FindPool(id);
    if (pool == nullptr || !(*pool == wanted))
      plan.delta.pools.push_back(wanted);
  }
  for (const auto& [id, pool] : state.pools) {
    if (inventory.pools.contains(id))
      continue;
    if (!used.contains(id)) {
      plan.delta.removed_pools.push_back(id);
      continue;
    }
    plan.warnings.push_back("pool " + id.str() +
                            " is closed; apply again to remove it after its "
                            "hosts have left");
    if (!pool.closed) {
      plan.delta.pools.push_back(pool);
      plan.delta.pools.back().closed = true;
    }
  }
}

void PlanTeams(const FleetState& state,
               const Inventory& inventory,
               ConfigPlan& plan) {
  for (const auto& [id, wanted] : inventory.teams) {
    auto it = state.teams.find(id);
    if (it == state.teams.end() || !(it->second == wanted))
      plan.delta.teams.push_back(wanted);
  }
  for (const auto& [id, team] : state.teams) {
    if (!inventory.teams.contains(id))
      plan.delta.removed_teams.push_back(id);
  }
}

// Adds a refusal for each address of two hosts. One backend server must not be
// known as two hosts, since it could then serve two pools.
void CheckAddresses(const FleetState& after, ConfigPlan& plan) {
  std::map<std::string, HostId> users;
  for (const auto& [id, host] : after.hosts) {
    auto [it, added] = users.emplace(host.address, id);
    if (!added) {
      plan.refusals.push_back("address " + host.address + " of host " +
                              id.str() + " is still used by host " +
                              it->second.str() +
                              "; apply again after one of them has retired");
    }
  }
}

void WarnAboutPlacement(const FleetState& before,
                        const FleetState& after,
                        ConfigPlan& plan) {
  for (const auto& [id, host] : after.hosts) {
    const HostState* old = before.FindHost(id);
    if (old == nullptr || old->phase != HostPhase::kActive)
      continue;
    bool same = old->address == host.address && old->zone == host.zone &&
                old->rack == host.rack;
    if (!same) {
      plan.warnings.push_back("host " + id.str() +
                              " changes address, zone or rack while it "
                              "serves; drain it first");
    }
  }
}

// Numbers of hosts of one pool, counted as control counts them against the
// pool's budget.
struct PoolHostCounts {
  uint32_t unavailable = 0;     // Not active.
  uint32_t leaving = 0;         // Active, but to be drained, moved or retired.
  uint32_t staying = 0;         // Active and to stay so.
  uint32_t drain_intended = 0;  // Have the intent kDrain.
};

std::map<PoolId, PoolHostCounts> CountPoolHosts(const FleetState& state) {
  std::map<PoolId, PoolHostCounts> counts;
  for (const auto& [id, host] : state.hosts) {
    if (host.phase == HostPhase::kRetired)
      continue;
    PoolHostCounts& count = counts[host.pool];
    bool leaves =
        host.intent != HostIntent::kServe || host.wanted_pool != host.pool;
    if (host.phase != HostPhase::kActive) {
      ++count.unavailable;
    } else {
      ++(leaves ? count.leaving : count.staying);
    }
    if (host.intent == HostIntent::kDrain)
      ++count.drain_intended;
  }
  return counts;
}

void WarnAboutBudget(const PoolState& pool,
                     const PoolHostCounts& count,
                     ConfigPlan& plan) {
  std::string name = "pool " + pool.id.str() + ": ";
  std::string budget = "the budget is " + std::to_string(pool.max_unavailable);
  if (count.unavailable > pool.max_unavailable) {
    plan.warnings.push_back(name + std::to_string(count.unavailable) +
                            " hosts are unavailable already and " + budget +
                            "; control starts nothing until hosts return");
  }
  if (count.drain_intended > pool.max_unavailable) {
    plan.warnings.push_back(
        name + std::to_string(count.drain_intended) +
        " hosts should be drained and " + budget + "; control leaves " +
        std::to_string(count.drain_intended - pool.max_unavailable) +
        " in service");
  }
  if (count.leaving > 0 && pool.max_unavailable == 0) {
    plan.warnings.push_back(name + std::to_string(count.leaving) +
                            " hosts should leave and " + budget +
                            "; control lets none of them leave");
  } else if (count.leaving > pool.max_unavailable) {
    uint32_t steps =
        (count.leaving + pool.max_unavailable - 1) / pool.max_unavailable;
    plan.warnings.push_back(
        name + std::to_string(count.leaving) + " hosts leave and " + budget +
        "; they leave in at least " + std::to_string(steps) + " steps");
  }
  if (count.leaving > 0 && count.staying == 0 && !pool.closed) {
    plan.warnings.push_back(name +
                            "every host in service leaves; it has no capacity "
                            "until other hosts arrive");
  }
}

// Predicts the waves of a maintenance round: first a single canary host, then
// hosts rack by rack within the limits on racks and on hosts of each pool.
class WavePlanner {
 public:
  explicit WavePlanner(const FleetState& state) : state_(state) {
    for (const auto& [id, host] : state.hosts) {
      if (host.maintained != state.rules.maintenance &&
          host.intent == HostIntent::kServe)
        pending_.push_back(&host);
    }
    std::sort(pending_.begin(), pending_.end(),
              [](const HostState* a, const HostState* b) {
                return std::tie(a->zone, a->rack, a->id) <
                       std::tie(b->zone, b->rack, b->id);
              });
  }

  void Run(ConfigPlan& plan) {
    DropHostsWithoutBudget(plan);
    uint32_t max_racks = state_.rules.max_racks_in_maintenance;
    while (!pending_.empty()) {
      bool canary = plan.waves.empty();
      plan.waves.push_back(NextWave(canary ? 1 : std::max(1u, max_racks),
                                    canary ? 1 : pending_.size()));
    }
  }

 private:
  uint32_t MaxHostsPerWave(const HostState& host) const {
    const PoolState* pool = state_.FindPool(host.wanted_pool);
    return pool == nullptr ? 0
                           : std::min(pool->wave_limit, pool->max_unavailable);
  }

  void DropHostsWithoutBudget(ConfigPlan& plan) {
    std::set<PoolId> dropped;
    std::erase_if(pending_, [&](const HostState* host) {
      if (MaxHostsPerWave(*host) > 0)
        return false;
      dropped.insert(host->wanted_pool);
      return true;
    });
    for (const PoolId& pool : dropped) {
      plan.warnings.push_back("pool " + pool.str() +
                              ": its budget or wave limit is 0; its hosts are "
                              "not maintained");
    }
  }

  std::vector<HostId> NextWave(uint32_t max_racks, size_t max_hosts) {
    std::set<RackId> racks;
    std::map<PoolId, uint32_t> hosts_by_pool;
    std::vector<HostId> wave;
    std::erase_if(pending_, [&](const HostState* host) {
      bool rack_fits = racks.contains(host->rack) || racks.size() < max_racks;
      if (wave.size() >= max_hosts || !rack_fits ||
          hosts_by_pool[host->wanted_pool] >= MaxHostsPerWave(*host))
        return false;
      racks.insert(host->rack);
      ++hosts_by_pool[host->wanted_pool];
      wave.push_back(host->id);
      return true;
    });
    return wave;
  }

  const FleetState& state_;
  std::vector<const HostState*> pending_;
};

// Derives the plan's changes, moves, waves, warnings and refusals from its
// delta.
void PredictEffects(const FleetState& before, ConfigPlan& plan) {
  FleetState after = before;
  after.Apply(plan.delta);
  plan.changes = DiffStates(before, after);
  CheckAddresses(after, plan);
  WarnAboutPlacement(before, after, plan);
  for (const HostState& host : plan.delta.hosts) {
    const HostState* old = before.FindHost(host.id);
    if (old != nullptr && host.intent == HostIntent::kServe &&
        old->wanted_pool != host.wanted_pool && host.pool != host.wanted_pool)
      plan.moves.push_back({host.id, host.pool, host.wanted_pool});
  }
  auto counts = CountPoolHosts(after);
  for (const auto& [id, pool] : after.pools)
    WarnAboutBudget(pool, counts[id], plan);
  const std::string& round = after.rules.maintenance;
  if (!round.empty() && round != before.rules.maintenance)
    WavePlanner(after).Run(plan);
}

// Adds a refusal if the pool would have no more hosts than its budget allows to
// be unavailable. ParseInventory() rejects such an inventory, but retiring
// hosts one by one could lead to the same state.
void CheckRemainingHosts(const FleetState& after,
                         const PoolId& pool_id,
                         ConfigPlan& plan) {
  const PoolState* pool = after.FindPool(pool_id);
  if (pool == nullptr || pool->closed)
    return;
  auto remaining = std::count_if(
      after.hosts.begin(), after.hosts.end(), [&](const auto& item) {
        return item.second.wanted_pool == pool_id &&
               item.second.intent != HostIntent::kRetire;
      });
  if (remaining > static_cast<int64_t>(pool->max_unavailable))
    return;
  plan.refusals.push_back("pool " + pool_id.str() + " would keep " +
                          std::to_string(remaining) + " hosts and may lose " +
                          std::to_string(pool->max_unavailable) +
                          "; lower max_unavailable or close the pool first");
}

ConfigPlan NewPlan(const FleetState& state) {
  ConfigPlan plan;
  plan.base_version = state.version;
  plan.delta.version = state.version + 1;
  return plan;
}

std::string FieldText(const ObjectChange& change) {
  std::string text;
  for (const FieldChange& field : change.fields) {
    text += text.empty() ? ": " : ", ";
    text += field.field + " ";
    if (change.kind == ChangeKind::kAdded) {
      text += field.after;
    } else {
      text += field.before.empty() ? "\"\"" : field.before;
      text += " -> ";
      text += field.after.empty() ? "\"\"" : field.after;
    }
  }
  return text;
}

json::array ChangesJson(const std::vector<ObjectChange>& changes) {
  static constexpr const char* kKinds[] = {"added", "changed", "removed"};
  json::array result;
  for (const ObjectChange& change : changes) {
    json::object fields;
    for (const FieldChange& f : change.fields)
      fields[f.field] = json::array{f.before, f.after};
    result.push_back(
        json::object{{"kind", kKinds[static_cast<int>(change.kind)]},
                     {"object", change.object},
                     {"id", change.id},
                     {"fields", fields}});
  }
  return result;
}

json::array StringsToJson(const std::vector<std::string>& texts) {
  json::array result;
  for (const std::string& text : texts)
    result.push_back(json::value(text));
  return result;
}

std::string JoinIds(const std::vector<HostId>& hosts) {
  std::string text;
  for (const HostId& host : hosts)
    text += (text.empty() ? "" : " ") + host.str();
  return text;
}

std::string WavesText(const ConfigPlan& plan) {
  if (plan.waves.empty())
    return "";
  std::string text =
      "Maintenance in about " + std::to_string(plan.waves.size()) + " waves:\n";
  for (size_t i = 0; i < std::min(plan.waves.size(), kMaxListedWaves); ++i) {
    text += "  " + std::to_string(i + 1) + (i == 0 ? " (canary)" : "") + ": " +
            JoinIds(plan.waves[i]) + "\n";
  }
  if (plan.waves.size() > kMaxListedWaves) {
    text += "  and " + std::to_string(plan.waves.size() - kMaxListedWaves) +
            " more\n";
  }
  return text;
}

std::string ListText(const char* title, const std::vector<std::string>& lines) {
  if (lines.empty())
    return "";
  std::string text = std::string(title) + ":\n";
  for (const std::string& line : lines)
    text += "  " + line + "\n";
  return text;
}

// Carries out one call of ApplyPlan().
class PlanApplier {
 public:
  PlanApplier(const StoreExecutor& execute,
              const Planner& planner,
              const ApplyOptions& options)
      : execute_(execute), planner_(planner), options_(options) {}

  ApplyOutcome Run() {
    try {
      if (auto version = FindOperation(execute_, options_.operation)) {
        outcome_.result = ApplyResult::kApplied;
        outcome_.version = *version;
        return std::move(outcome_);
      }
      for (int attempt = 0; attempt <= kMaxRebases; ++attempt) {
        if (TryApply())
          return std::move(outcome_);
      }
      outcome_.result = ApplyResult::kConflict;
      outcome_.reason = "control processes kept changing the configuration";
    } catch (const ConfigUnavailableError& error) {
      outcome_.result = ApplyResult::kUnavailable;
      outcome_.reason = error.what();
    }
    return std::move(outcome_);
  }

 private:
  // Returns true if the outcome is final, false if a conflict needs a new try.
  bool TryApply() {
    LoadedConfig loaded = LoadConfig(
        execute_, base_state_ ? std::nullopt : options_.expected_version);
    outcome_.version = loaded.state.version;
    if (!base_state_) {
      base_state_ =
          options_.expected_version ? loaded.kept_state : loaded.state;
      if (!base_state_)
        return Finish(ApplyResult::kConflict);
    }
    if (InventoryOf(*base_state_) != InventoryOf(loaded.state)) {
      outcome_.difference = DiffStates(*base_state_, loaded.state);
      return Finish(ApplyResult::kConflict);
    }
    outcome_.plan = planner_(loaded.state);
    if (!outcome_.plan.refusals.empty())
      return Finish(ApplyResult::kRefused);
    if (outcome_.plan.empty())
      return Finish(ApplyResult::kNothingToDo);
    return Commit(loaded);
  }

  bool Commit(const LoadedConfig& loaded) {
    ConfigDelta delta = outcome_.plan.delta;
    delta.operation = options_.operation;
    delta.author = options_.author;
    CommitOutcome commit = CommitDelta(execute_, delta, loaded);
    outcome_.reason = commit.reason;
    switch (commit.result) {
      case CommitResult::kCommitted:
        outcome_.version = delta.version;
        outcome_.snapshot_failed = !WriteSnapshotIfDue(execute_, delta, loaded);
        return Finish(ApplyResult::kApplied);
      case CommitResult::kUnavailable:
        return Finish(ApplyResult::kUnavailable);
      case CommitResult::kUnknown:
        return Finish(ApplyResult::kUnknown);
      case CommitResult::kConflict:
        return false;
    }
    return false;
  }

  bool Finish(ApplyResult result) {
    outcome_.result = result;
    return true;
  }

  const StoreExecutor& execute_;
  const Planner& planner_;
  const ApplyOptions& options_;
  // The state that the operator planned against.
  std::optional<FleetState> base_state_;
  ApplyOutcome outcome_;
};

}  // namespace

std::vector<ObjectChange> DiffStates(const FleetState& before,
                                     const FleetState& after) {
  std::vector<ObjectChange> changes;
  DiffMaps("pool", before.pools, after.pools, changes);
  DiffMaps("host", before.hosts, after.hosts, changes);
  DiffMaps("team", before.teams, after.teams, changes);
  if (!(before.rules == after.rules))
    changes.push_back(ChangedObject("rules", "", before.rules, after.rules));
  return changes;
}

std::string DiffText(const std::vector<ObjectChange>& changes) {
  static constexpr char kSigns[] = {'+', '~', '-'};
  std::string text;
  for (const ObjectChange& change : changes) {
    text += "  ";
    text += kSigns[static_cast<int>(change.kind)];
    text += " " + change.object;
    if (!change.id.empty())
      text += " " + change.id;
    if (change.kind != ChangeKind::kRemoved)
      text += FieldText(change);
    text += "\n";
  }
  return text;
}

std::string DiffJson(const std::vector<ObjectChange>& changes) {
  return json::serialize(ChangesJson(changes));
}

ConfigPlan PlanInventory(const FleetState& state, const Inventory& inventory) {
  ConfigPlan plan = NewPlan(state);
  PlanHosts(state, inventory, plan);
  PlanPools(state, inventory, plan);
  PlanTeams(state, inventory, plan);
  if (!(state.rules == inventory.rules)) {
    plan.delta.rules_changed = true;
    plan.delta.rules = inventory.rules;
  }
  PredictEffects(state, plan);
  return plan;
}

ConfigPlan PlanHostIntent(const FleetState& state,
                          const HostId& id,
                          HostIntent intent) {
  ConfigPlan plan = NewPlan(state);
  const HostState* host = state.FindHost(id);
  if (host == nullptr) {
    plan.refusals.push_back("there is no host " + id.str() +
                            "; see radishmoorctl show hosts");
    return plan;
  }
  if (host->phase == HostPhase::kRetired && intent != HostIntent::kRetire) {
    plan.refusals.push_back("host " + id.str() + " has retired");
    return plan;
  }
  if (host->intent != intent) {
    plan.delta.hosts.push_back(*host);
    plan.delta.hosts.back().intent = intent;
  }
  PredictEffects(state, plan);
  if (intent == HostIntent::kRetire && !plan.empty()) {
    FleetState after = state;
    after.Apply(plan.delta);
    CheckRemainingHosts(after, host->wanted_pool, plan);
  }
  return plan;
}

std::string PlanText(const ConfigPlan& plan) {
  std::string text =
      "Plan against version " + std::to_string(plan.base_version) + ":\n";
  text += plan.empty() ? "  no change\n" : DiffText(plan.changes);
  std::vector<std::string> moves;
  for (const PlannedMove& move : plan.moves) {
    moves.push_back(move.host.str() + ": " + move.from.str() + " -> " +
                    move.to.str());
  }
  text += ListText("Moves", moves);
  text += WavesText(plan);
  text += ListText("Warnings", plan.warnings);
  text += ListText("Cannot be applied", plan.refusals);
  return text;
}

std::string PlanJson(const ConfigPlan& plan) {
  json::array moves;
  for (const PlannedMove& move : plan.moves) {
    moves.push_back(json::object{{"host", move.host.str()},
                                 {"from", move.from.str()},
                                 {"to", move.to.str()}});
  }
  json::array waves;
  for (const auto& wave : plan.waves) {
    json::array hosts;
    for (const HostId& host : wave)
      hosts.push_back(json::value(host.str()));
    waves.push_back(std::move(hosts));
  }
  return json::serialize(
      json::object{{"base", plan.base_version},
                   {"changes", ChangesJson(plan.changes)},
                   {"moves", moves},
                   {"waves", waves},
                   {"warnings", StringsToJson(plan.warnings)},
                   {"refusals", StringsToJson(plan.refusals)}});
}

ApplyOutcome ApplyPlan(const StoreExecutor& execute,
                       const Planner& planner,
                       const ApplyOptions& options) {
  return PlanApplier(execute, planner, options).Run();
}

}  // namespace radishmoor
