// What an inventory would change in the accepted configuration, and applying
// it.
//
//   ConfigPlan plan = PlanInventory(state, inventory);
//   std::cout << PlanText(plan);
//   if (plan.refusals.empty() && !plan.empty())
//     commit plan.delta (with an operation id and an author) on state.version
//
// A plan changes only what the operator owns: specifications, wanted pools,
// intents, pools, teams and rules. Pool, epoch and phase of a known host belong
// to control and stay as they are. Consequences:
//   - A host that the inventory lacks gets the intent kRetire and is removed
//     by a later plan, once control has retired it.
//   - A pool that the inventory lacks is closed, and removed by a later plan,
//     once it has no hosts.
//   - A new host joins its pool at once: no process can know it under another.

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

// All differences, control's fields included. Cost: O(objects).
std::vector<ObjectChange> DiffStates(const FleetState& before,
                                     const FleetState& after);

// One line for each change.
std::string DiffText(const std::vector<ObjectChange>& changes);
// JSON array of objects with "kind", "object", "id" and "fields", which holds
// [before, after] for each field.
std::string DiffJson(const std::vector<ObjectChange>& changes);

struct PlannedMove {
  HostId host;
  PoolId from;
  PoolId to;
};

struct ConfigPlan {
  ConfigVersion base = 0;  // The version that `delta` follows.
  std::vector<ObjectChange> changes;
  std::vector<PlannedMove> moves;
  // Maintenance that the change starts: the hosts of each predicted wave. The
  // first one is the canary.
  std::vector<std::vector<HostId>> waves;
  // What control will hold back to keep a budget, and other risks.
  std::vector<std::string> warnings;
  // Why the plan cannot be applied now.
  std::vector<std::string> refusals;
  ConfigDelta delta;  // Operation and author are empty.

  bool empty() const { return changes.empty(); }
};

// Cost: O(hosts * waves).
ConfigPlan PlanInventory(const FleetState& state, const Inventory& inventory);

// A plan that only changes the intent of one host. Refused if there is no such
// host, if it has retired, and if its retirement would leave its pool with no
// more hosts than the pool may lose.
ConfigPlan PlanIntent(const FleetState& state,
                      const HostId& host,
                      HostIntent intent);

std::string PlanText(const ConfigPlan& plan);
std::string PlanJson(const ConfigPlan& plan);

// Makes the plan for a state. Called again if the state has changed.
using Planner = std::function<ConfigPlan(const FleetState& state)>;

enum class ApplyResult : uint8_t {
  kApplied,
  kNothingToDo,
  kRefused,      // The plan has refusals.
  kConflict,     // Another operator's change came first.
  kUnavailable,  // The store was not reached; nothing was changed.
  kUnknown,      // The change may have taken effect.
};

struct ApplyOptions {
  OperationId operation;
  std::string author;
  // The operator planned against this version; a later change by an operator
  // is then a conflict. Without it the plan is made against the latest one.
  std::optional<ConfigVersion> expected;
};

struct ApplyOutcome {
  ApplyResult result = ApplyResult::kUnknown;
  ConfigVersion version = 0;  // In force after kApplied, else the latest known.
  ConfigPlan plan;
  // Of kConflict: what changed since the version that was planned against.
  // Without it that version is older than the latest snapshot.
  std::optional<std::vector<ObjectChange>> difference;
  std::string reason;  // Of kUnavailable and kUnknown.
  bool snapshot_failed = false;
};

// Applies a plan once, however often it is called with the same operation id.
// Changes by control that leave the operator's part alone do not conflict: the
// plan is made again on top of them, up to five times. Throws ConfigFormatError
// if the log is damaged.
ApplyOutcome ApplyPlan(const StoreExecutor& execute,
                       const Planner& planner,
                       const ApplyOptions& options);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_PLAN_H_
