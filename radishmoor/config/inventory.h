// The inventory: the operator's JSON file with the hosts, pools, teams and
// rules of a site. docs/configuration.md describes the format.
//
//   InventoryResult result = ParseInventory(text);
//   for (const InventoryError& error : result.errors)
//     std::cerr << error.str("site.json") << '\n';
//   if (result.inventory) ...
//
// Parsing reports all errors of a text at once, except that a text that is not
// JSON has only its syntax error. An inventory is returned only if there are no
// errors.

#ifndef RADISHMOOR_CONFIG_INVENTORY_H_
#define RADISHMOOR_CONFIG_INVENTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/config/fleet_state.h"

namespace radishmoor {

// A host in the inventory. The fields have the meaning and the defaults of
// HostState, but `pool` is HostState::wanted_pool.
struct InventoryHost {
  HostId id;
  ZoneId zone;
  RackId rack;
  PoolId pool;
  std::string address;
  uint32_t cores = 0;
  uint32_t memory_gb = 0;
  uint32_t accelerators = 0;
  uint32_t slots = 8;
  uint32_t connections = 64;
  HostIntent intent = HostIntent::kServe;

  friend bool operator==(const InventoryHost&, const InventoryHost&) = default;
};

struct Inventory {
  std::map<HostId, InventoryHost> hosts;
  std::map<PoolId, PoolState> pools;
  std::map<TeamId, TeamState> teams;
  SiteRules rules;

  friend bool operator==(const Inventory&, const Inventory&) = default;
};

struct InventoryError {
  std::string path;   // "$.hosts[3].pool"; empty for a syntax error.
  size_t line = 0;    // Of a syntax error, counted from 1; otherwise 0.
  size_t column = 0;  // Of a syntax error, counted from 1; otherwise 0.
  std::string problem;
  std::string remedy;

  // Returns one line: "FILE:LINE:COLUMN: problem; remedy" or
  // "FILE: PATH: problem; remedy".
  std::string str(std::string_view file) const;
};

struct InventoryResult {
  std::optional<Inventory> inventory;
  std::vector<InventoryError> errors;
};

// Larger inventories are rejected. The limits of hosts, pools and teams are
// several times the numbers of the largest site (1,100, 118 and 53).
inline constexpr size_t kMaxInventoryBytes = size_t{16} << 20;
inline constexpr size_t kMaxHosts = 10'000;
inline constexpr size_t kMaxPools = 1'000;
inline constexpr size_t kMaxTeams = 1'000;
// Errors beyond this number are counted but not listed.
inline constexpr size_t kMaxListedErrors = 200;

// Parses and checks the JSON text of an inventory. Reports every fault of the
// text as an InventoryError, never as an exception.
// Cost: O(text * log objects).
InventoryResult ParseInventory(std::string_view text);

// Returns the part of the accepted configuration that the operator controls.
Inventory InventoryOf(const FleetState& state);

// Returns JSON text that ParseInventory() parses to the same inventory.
std::string EncodeInventory(const Inventory& inventory);

// Returns "serve", "drain" or "retire".
std::string_view IntentName(HostIntent intent);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_INVENTORY_H_
