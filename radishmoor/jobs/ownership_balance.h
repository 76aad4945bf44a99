// Decides when a process hands a pool over to a process with more room.
//
//   OwnershipBalance balance;
//   balance.ObserveTick(now, due);           // At each timer of the process.
//   if (auto handover = balance.Plan(now, own, others)) ...
//
// Designed for a process that owns too much for its share of a processor, for
// example after it has taken over the pools of a lost process while queues
// peak: its event loop runs everything late. A handover interrupts starts of
// tasks for about a tenth of a second, so it is made only if the process has
// been late for some time and another one has considerably more room.

#ifndef RADISHMOOR_JOBS_OWNERSHIP_BALANCE_H_
#define RADISHMOOR_JOBS_OWNERSHIP_BALANCE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

// A process and the leases that it holds, of pools and of the fleet.
struct ProcessLeases {
  MemberId node;
  uint32_t capacity = 0;  // Processor share in thousandths of a core.
  uint32_t leases = 0;
};

struct OwnedPool {
  PoolId pool;
  double demand_cores = 0;
};

struct PoolHandover {
  PoolId pool;
  MemberId successor;
};

class OwnershipBalance {
 public:
  // Records that a timer which was due at `due` ran at `now`.
  void ObserveTick(Time now, Time due);

  // Returns whether this process has been running its timers late for some
  // time.
  bool IsOverloaded(Time now) const;

  // Returns the pool to hand over now, if any. `own` describes this process,
  // which owns `pools`; `others` are the other live processes.
  std::optional<PoolHandover> Plan(Time now,
                                   const ProcessLeases& own,
                                   std::span<const OwnedPool> pools,
                                   std::span<const ProcessLeases> others);

 private:
  // Since when all timers ran late.
  std::optional<Time> late_since_;
  uint32_t late_ticks_ = 0;  // Timers since then.
  std::optional<Time> last_handover_at_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_OWNERSHIP_BALANCE_H_
