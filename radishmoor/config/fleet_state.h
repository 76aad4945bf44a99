// The fleet as one version of the accepted configuration describes it: pools,
// teams, and hosts with their current pool, epoch and phase.
//
//   FleetState state;
//   state.Apply(delta);  // delta.version == state.version + 1
//   const HostState* host = state.FindHost(HostId("w-1"));
//
// The accepted configuration is a log: the row `config/head` holds the latest
// version, and each version n has one delta that leads from n-1 to n. A delta
// and the new head are committed in one transaction that expects the old head,
// so all changes of hosts and pools have one total order. This order ensures
// that a host is in one pool only and that reserving availability budget is
// atomic.

#ifndef RADISHMOOR_CONFIG_FLEET_STATE_H_
#define RADISHMOOR_CONFIG_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"

namespace radishmoor {

// The state in which the operator wants a host.
enum class HostIntent : uint8_t {
  kServe,   // Serves its pool.
  kDrain,   // Stays out of service until the intent changes.
  kRetire,  // Leaves the fleet for good.
};

// The current stage of a host, as control processes set it. Only kActive hosts
// receive new requests.
enum class HostPhase : uint8_t {
  kActive,     // Serves its pool.
  kDraining,   // Receives no new requests; requests in flight finish.
  kDrained,    // Is idle; no process may send to it.
  kRebooting,  // Is being maintained.
  kRetired,    // Left the fleet for good.
};

struct HostState {
  HostId id;
  ZoneId zone;
  RackId rack;
  std::string address;  // "ip:port" of the backend server.
  uint32_t cores = 0;
  uint32_t memory_gb = 0;
  uint32_t accelerators = 0;
  uint32_t slots = 8;
  uint32_t connections = 64;

  // Pool in the operator's inventory; differs from `pool` until control has
  // moved the host.
  PoolId wanted_pool;
  HostIntent intent = HostIntent::kServe;

  PoolId pool;          // The pool that the host serves now.
  HostEpoch epoch = 1;  // Increases whenever `pool` changes.
  HostPhase phase = HostPhase::kActive;
  // Version of the change that started the current drain. A member whose
  // version in force is at least this one sends no new requests to the host.
  ConfigVersion drain_version = 0;
  // Name of the maintenance round for which the host was last rebooted.
  std::string maintained;

  friend bool operator==(const HostState&, const HostState&) = default;
};

struct PoolState {
  PoolId id;
  // Availability budget: the maximum number of hosts of the pool that may be
  // unavailable at the same time.
  uint32_t max_unavailable = 1;
  // Maximum number of hosts of the pool that are in maintenance at the same
  // time.
  uint32_t wave_limit = 1;
  bool spare = false;   // Lends hosts to other pools.
  bool closed = false;  // Being retired: accepts no new requests.
  uint32_t default_deadline_ms = 2000;
  uint32_t queue_limit = 1000;  // Waiting requests in each entry process.

  friend bool operator==(const PoolState&, const PoolState&) = default;
};

struct TeamState {
  TeamId id;
  uint32_t quota_cores = 0;
  uint32_t quota_accelerators = 0;

  friend bool operator==(const TeamState&, const TeamState&) = default;
};

// Maintenance rules of the whole site.
struct SiteRules {
  // Name of the maintenance round that every host should complete; empty if no
  // maintenance is wanted.
  std::string maintenance;
  // Maximum number of racks that are in maintenance at the same time.
  uint32_t max_racks_in_maintenance = 1;

  friend bool operator==(const SiteRules&, const SiteRules&) = default;
};

// The change from one version of the accepted configuration to the next. Holds
// the complete new value of each object that changed.
struct ConfigDelta {
  ConfigVersion version = 0;
  // Chosen by the author, who finds out by it whether a change was committed
  // after its answer was lost.
  OperationId operation;
  std::string author;  // Operator or member that made the change.
  std::vector<HostState> hosts;
  std::vector<HostId> removed_hosts;
  std::vector<PoolState> pools;
  std::vector<PoolId> removed_pools;
  std::vector<TeamState> teams;
  std::vector<TeamId> removed_teams;
  bool rules_changed = false;
  SiteRules rules;

  friend bool operator==(const ConfigDelta&, const ConfigDelta&) = default;
};

struct FleetState {
  ConfigVersion version = 0;
  std::map<HostId, HostState> hosts;
  std::map<PoolId, PoolState> pools;
  std::map<TeamId, TeamState> teams;
  SiteRules rules;

  // Applies the next delta in place. Throws std::invalid_argument if
  // `delta.version` is not `version + 1`. Cost: O(changes * log objects).
  void Apply(const ConfigDelta& delta);

  // Return null if there is no such host or pool.
  const HostState* FindHost(const HostId& id) const;
  const PoolState* FindPool(const PoolId& id) const;

  friend bool operator==(const FleetState&, const FleetState&) = default;
};

// Keys of the configuration log's rows and objects.
inline constexpr char kConfigHeadKey[] = "config/head";
// Returns the row key "config/delta/<20 digits>". Keys sort by version.
std::string ConfigDeltaKey(ConfigVersion version);
// Returns the object key "config/snapshot/<20 digits>". The object holds the
// whole state at that version; one is written every kSnapshotInterval versions.
std::string ConfigSnapshotKey(ConfigVersion version);
inline constexpr ConfigVersion kSnapshotInterval = 64;

// Value of the row `config/head`.
struct ConfigHead {
  ConfigVersion version = 0;
  ConfigVersion snapshot = 0;  // Latest version with a snapshot object, or 0.
};

// Encode a delta, a whole state and the head as the stored JSON text. The
// decoders throw ConfigFormatError if the text does not have this form.
std::string EncodeDelta(const ConfigDelta& delta);
ConfigDelta DecodeDelta(const std::string& text);
std::string EncodeState(const FleetState& state);
FleetState DecodeState(const std::string& text);
std::string EncodeHead(const ConfigHead& head);
ConfigHead DecodeHead(const std::string& text);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_FLEET_STATE_H_
