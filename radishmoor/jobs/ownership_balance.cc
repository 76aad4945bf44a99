#include "radishmoor/jobs/ownership_balance.h"

#include <algorithm>

namespace radishmoor {
namespace {

// A timer that runs later than this is late. Timers of a process with idle
// processor time run within a few milliseconds.
constexpr Duration kLateTick = Milliseconds(20);
// A process is overloaded if all its timers, and at least kMinLateTicks, ran
// late for this long. A process that was stopped for a while and then runs in
// time is not.
constexpr Duration kOverloadTime = Milliseconds(1500);
constexpr uint32_t kMinLateTicks = 10;
constexpr Duration kMinHandoverInterval = Seconds(5);
// The processor share for each lease must grow by this factor.
constexpr double kMinGain = 1.5;

double ShareForEachLease(const ProcessLeases& process, uint32_t leases) {
  return static_cast<double>(process.capacity) / std::max(1u, leases);
}

}  // namespace

void OwnershipBalance::ObserveTick(Time now, Time due) {
  if (now - due <= kLateTick) {
    late_since_.reset();
    late_ticks_ = 0;
    return;
  }
  if (!late_since_)
    late_since_ = now;
  ++late_ticks_;
}

bool OwnershipBalance::IsOverloaded(Time now) const {
  return late_since_ && now - *late_since_ >= kOverloadTime &&
         late_ticks_ >= kMinLateTicks;
}

std::optional<PoolHandover> OwnershipBalance::Plan(
    Time now,
    const ProcessLeases& own,
    std::span<const OwnedPool> pools,
    std::span<const ProcessLeases> others) {
  bool recently =
      last_handover_at_ && now - *last_handover_at_ < kMinHandoverInterval;
  if (!IsOverloaded(now) || recently || pools.empty() || others.empty())
    return std::nullopt;
  auto best =
      std::max_element(others.begin(), others.end(),
                       [](const ProcessLeases& a, const ProcessLeases& b) {
                         return ShareForEachLease(a, a.leases + 1) <
                                ShareForEachLease(b, b.leases + 1);
                       });
  if (ShareForEachLease(*best, best->leases + 1) <
      kMinGain * ShareForEachLease(own, own.leases))
    return std::nullopt;
  // The pool with the least demand is handed over with the least disturbance.
  auto pool = std::min_element(pools.begin(), pools.end(),
                               [](const OwnedPool& a, const OwnedPool& b) {
                                 return a.demand_cores < b.demand_cores;
                               });
  last_handover_at_ = now;
  return PoolHandover{pool->pool, best->node};
}

}  // namespace radishmoor
