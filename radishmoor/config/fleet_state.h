// The fleet as the accepted configuration describes it: pools, teams and hosts
// with their current pool, epoch and state, all at one version.
//
//   FleetState state;
//   state = state.Apply(delta);            // delta.version == state.version +
//   1 const HostState* host = state.FindHost(HostId("w-1"));
//
// The accepted configuration is a log: the row `config/head` holds the latest
// version, and each version n has one delta that leads from n-1 to n. A delta
// and the new head are committed in one transaction that expects the old head,
// so all changes of hosts and pools have one total order. This order is what
// keeps a host in one pool and a budget reservation atomic.

#ifndef RADISHMOOR_CONFIG_FLEET_STATE_H_
#define RADISHMOOR_CONFIG_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"

namespace radishmoor {

// What the operator wants for a host.
enum class HostIntent : uint8_t { kServe, kDrain, kRetire };

// Where a host is in its life. Only kActive hosts receive new requests.
enum class HostPhase : uint8_t {
  kActive,     // Serves its pool.
  kDraining,   // Receives no new requests; requests in flight finish.
  kDrained,    // No process may send to it; it is idle.
  kRebooting,  // Maintenance runs.
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

  PoolId wanted_pool;  // From the inventory; differs from `pool` until moved.
  HostIntent intent = HostIntent::kServe;

  PoolId pool;          // The one pool that the host belongs to.
  HostEpoch epoch = 1;  // Grows whenever `pool` changes.
  HostPhase phase = HostPhase::kActive;
  // Version of the change that started the current drain; a member whose
  // version in force is at least this one sends no new requests to the host.
  ConfigVersion drain_version = 0;
  // Name of the last maintenance round that the host completed.
  std::string maintained;

  friend bool operator==(const HostState&, const HostState&) = default;
};

struct PoolState {
  PoolId id;
  // Availability budget: at most this many hosts of the pool may be
  // unavailable at once.
  uint32_t max_unavailable = 1;
  // At most this many hosts of the pool in maintenance at once.
  uint32_t wave_limit = 1;
  bool spare = false;   // Lends hosts to other pools.
  bool closed = false;  // Being retired: accepts no new requests.
  uint32_t default_deadline_ms = 2000;
  uint32_t queue_limit = 1000;  // Requests for each entry process.

  friend bool operator==(const PoolState&, const PoolState&) = default;
};

struct TeamState {
  TeamId id;
  uint32_t quota_cores = 0;
  uint32_t quota_accelerators = 0;

  friend bool operator==(const TeamState&, const TeamState&) = default;
};

// Rules for the whole site.
struct SiteRules {
  // Name of the maintenance round that every host should complete; empty means
  // that no maintenance is wanted.
  std::string maintenance;
  // At most this many racks in maintenance at once.
  uint32_t max_racks_in_maintenance = 1;

  friend bool operator==(const SiteRules&, const SiteRules&) = default;
};

// One step of the accepted configuration. Holds whole new values of what
// changed.
struct ConfigDelta {
  ConfigVersion version = 0;
  OperationId operation;  // Chosen by the author; resolves lost answers.
  std::string author;     // Operator or member that made the change.
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

  // Applies the next delta in place. Throws std::invalid_argument when
  // `delta.version` is not `version + 1`. Cost: O(changes * log size).
  void Apply(const ConfigDelta& delta);

  // Null when there is none.
  const HostState* FindHost(const HostId& id) const;
  const PoolState* FindPool(const PoolId& id) const;

  friend bool operator==(const FleetState&, const FleetState&) = default;
};

// Row and object keys of the configuration log.
inline constexpr char kConfigHeadKey[] = "config/head";
// Row "config/delta/<20 digits>": keys sort by version.
std::string ConfigDeltaKey(ConfigVersion version);
// Object "config/snapshot/<20 digits>": the whole state at that version,
// written every kSnapshotInterval versions.
std::string ConfigSnapshotKey(ConfigVersion version);
inline constexpr ConfigVersion kSnapshotInterval = 64;

// JSON text of a delta, a whole state and the head row, as stored. The parsers
// throw ConfigFormatError on text that these functions did not write.
struct ConfigHead {
  ConfigVersion version = 0;
  ConfigVersion snapshot = 0;  // Latest version with a snapshot object, or 0.
};
std::string EncodeDelta(const ConfigDelta& delta);
ConfigDelta DecodeDelta(const std::string& text);
std::string EncodeState(const FleetState& state);
FleetState DecodeState(const std::string& text);
std::string EncodeHead(const ConfigHead& head);
ConfigHead DecodeHead(const std::string& text);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_FLEET_STATE_H_
