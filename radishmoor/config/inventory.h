// The operator's file: hosts, pools, teams and rules of a site, in JSON.
// docs/configuration.md describes the format.
//
//   InventoryResult result = ParseInventory(text);
//   for (const InventoryError& error : result.errors)
//     std::cerr << error.str("site.json") << '\n';
//   if (result.inventory) ...
//
// All errors are found in one pass, except that a text that is not JSON has
// only the error of its syntax. An inventory that is returned has no error.

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

// What the operator says about a host. The fields have the meaning and the
// defaults of HostState; `pool` is its wanted pool.
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
  std::string path;  // "$.hosts[3].pool"; empty for an error of the syntax.
  size_t line = 0;   // From 1, for an error of the syntax.
  size_t column = 0;
  std::string problem;
  std::string remedy;

  // One line: "FILE:LINE:COLUMN: problem; remedy" or
  // "FILE: PATH: problem; remedy".
  std::string str(std::string_view file) const;
};

struct InventoryResult {
  std::optional<Inventory> inventory;
  std::vector<InventoryError> errors;
};

// Hard limits. The numbers of hosts, pools and teams are several times those
// of the largest site (1,100, 118 and 53).
inline constexpr size_t kMaxInventoryBytes = size_t{16} << 20;
inline constexpr size_t kMaxHosts = 10'000;
inline constexpr size_t kMaxPools = 1'000;
inline constexpr size_t kMaxTeams = 1'000;
// Further errors are counted but not listed.
inline constexpr size_t kMaxListedErrors = 200;

// Never throws on any text. Cost: O(text * log objects).
InventoryResult ParseInventory(std::string_view text);

// The part of the accepted configuration that the operator owns.
Inventory InventoryOf(const FleetState& state);

// JSON text that ParseInventory() reads back to the same value.
std::string EncodeInventory(const Inventory& inventory);

// "serve", "drain" or "retire".
std::string_view IntentName(HostIntent intent);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_INVENTORY_H_
