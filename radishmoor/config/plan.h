// Plans: what an inventory or a new host intent would change in the accepted
// configuration. ApplyPlan() commits a plan.
//
//   ConfigPlan plan = PlanInventory(state, inventory);
//   std::cout << PlanText(plan);
//   if (plan.refusals.empty() && !plan.empty())
//     commit plan.delta (with an operation id and an author) on state.version
//
// A plan changes only what the operator controls: host specifications, wanted
// pools, intents, pools, teams and rules. Only control processes change the
// pool, the epoch and the phase of a known host. Consequences:
//   - A host that is missing in the inventory gets the intent kRetire. A later
//     plan removes it after control has retired it.
//   - A pool that is missing in the inventory is closed. A later plan removes
//     it after its hosts have left.
//   - A new host joins its pool at once, because no process can know it as a
//     host of another pool.

#ifndef RADISHMOOR_CONFIG_PLAN_H_
#define RADISHMOOR_CONFIG_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/config/config_log.h"
#include "radishmoor/config/fleet_state.h"
#include "radishmoor/config/inventory.h"

namespace radishmoor {

struct FieldChange {
  std::string field;
  std::string before;  // Empty for an added object.
  std::string after;   // Empty for a removed object.
};

enum class ChangeKind : uint8_t { kAdded, kChanged, kRemoved };

struct ObjectChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string object;  // "host", "pool", "team" or "rules".
  std::string id;      // Empty for "rules".
  std::vector<FieldChange> fields;
};

// Returns all differences, including the fields that only control changes.
// Cost: O(objects).
std::vector<ObjectChange> DiffStates(const FleetState& before,
                                     const FleetState& after);

// Returns text with one line for each change.
std::string DiffText(const std::vector<ObjectChange>& changes);
// Returns a JSON array with one object for each change. Its keys are "kind",
// "object", "id" and "fields"; "fields" holds [before, after] for each field.
std::string DiffJson(const std::vector<ObjectChange>& changes);

struct PlannedMove {
  HostId host;
  PoolId from;
  PoolId to;
};

struct ConfigPlan {
  ConfigVersion base_version = 0;  // The version that `delta` follows.
  std::vector<ObjectChange> changes;
  std::vector<PlannedMove> moves;
  // Hosts of each predicted wave of the maintenance round that the change
  // starts. The first wave holds only the canary.
  std::vector<std::vector<HostId>> waves;
  // Changes that control will delay to keep an availability budget, and other
  // risks.
  std::vector<std::string> warnings;
  // Reasons why the plan cannot be applied now.
  std::vector<std::string> refusals;
  ConfigDelta delta;  // Without operation and author.

  bool empty() const { return changes.empty(); }
};

// Returns the plan that changes the operator's part of `state` to `inventory`.
// Cost: O(hosts * waves).
ConfigPlan PlanInventory(const FleetState& state, const Inventory& inventory);

// Returns a plan that only changes the intent of one host. The plan has a
// refusal if there is no such host, if the host has retired, or if its
// retirement would leave its pool with no more hosts than
// PoolState::max_unavailable.
ConfigPlan PlanHostIntent(const FleetState& state,
                          const HostId& host,
                          HostIntent intent);

std::string PlanText(const ConfigPlan& plan);
std::string PlanJson(const ConfigPlan& plan);

// Makes the plan for a state. ApplyPlan() calls it again if the state has
// changed before the commit.
using Planner = std::function<ConfigPlan(const FleetState& state)>;

enum class ApplyResult : uint8_t {
  kApplied,
  kNothingToDo,
  kRefused,      // The plan has refusals.
  kConflict,     // Another change was committed first; see ApplyPlan().
  kUnavailable,  // The store was not reached; nothing was changed.
  kUnknown,      // The change may have taken effect.
};

struct ApplyOptions {
  OperationId operation;
  std::string author;
  // The version that the operator planned against; a change by an operator
  // since then is a conflict. If absent, the plan is made against the latest
  // version.
  std::optional<ConfigVersion> expected_version;
};

struct ApplyOutcome {
  ApplyResult result = ApplyResult::kUnknown;
  // The committed version after kApplied, otherwise the latest known one.
  ConfigVersion version = 0;
  ConfigPlan plan;
  // For kConflict: what changed since the version that was planned against.
  // Absent if that version is older than the latest snapshot or does not exist,
  // or if ApplyPlan() gave up because of changes by control; `reason` then says
  // so.
  std::optional<std::vector<ObjectChange>> difference;
  // Set for kUnavailable, kUnknown, and kConflict if ApplyPlan() gave up.
  std::string reason;
  bool snapshot_failed = false;  // A snapshot was due and was not written.
};

// Commits the plan of `planner`. Repeated calls with the same operation id
// commit it once, as long as the commit is within kOperationWindow versions.
//
// A change by another operator is a conflict. A change by control that leaves
// the operator's part unchanged is not: the plan is made again on top of it, up
// to five times; then the result is kConflict. Throws ConfigFormatError if the
// log is damaged.
ApplyOutcome ApplyPlan(const StoreExecutor& execute,
                       const Planner& planner,
                       const ApplyOptions& options);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_PLAN_H_
