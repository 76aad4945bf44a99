#include "radishmoor/jobs/insert_limiter.h"

#include <algorithm>

namespace radishmoor {
namespace {

// Inserts of all processes into one partition. A partition carries 200
// transactions a second, of which an owner makes up to 70.
constexpr double kInsertsPerSecond = 120;
// Unused inserts add up to those of this time, and to at least one.
constexpr double kBurstSeconds = 0.5;

}  // namespace

void InsertLimiter::SetProcesses(size_t processes) {
  processes_ = std::max<size_t>(1, processes);
}

double InsertLimiter::rate() const {
  return kInsertsPerSecond / static_cast<double>(processes_);
}

bool InsertLimiter::TryInsert(Time now, const PoolId& pool) {
  double most = std::max(1.0, rate() * kBurstSeconds);
  auto [it, inserted] = budgets_.try_emplace(pool, Budget{most, now});
  Budget& budget = it->second;
  budget.inserts = std::min(
      most, budget.inserts + rate() * ToSeconds(now - budget.updated_at));
  budget.updated_at = now;
  if (budget.inserts < 1)
    return false;
  budget.inserts -= 1;
  return true;
}

}  // namespace radishmoor
