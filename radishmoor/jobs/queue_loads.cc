#include "radishmoor/jobs/queue_loads.h"

namespace radishmoor {

std::vector<QueueLoad> ChangedLoads(std::span<const QueueLoad> complete,
                                    std::span<const QueueLoad> loads) {
  std::vector<QueueLoad> changed;
  auto before = complete.begin();
  for (const QueueLoad& load : loads) {
    while (before != complete.end() && before->queue < load.queue)
      ++before;
    bool same = before != complete.end() && before->queue == load.queue &&
                before->open_since == load.open_since &&
                before->earlier_pools == load.earlier_pools;
    if (!same || load.pending > 0)
      changed.push_back(load);
  }
  return changed;
}

std::vector<QueueLoad> MergeLoads(std::span<const QueueLoad> complete,
                                  std::span<const QueueLoad> changed) {
  std::vector<QueueLoad> merged;
  merged.reserve(complete.size() + changed.size());
  auto next = changed.begin();
  for (const QueueLoad& load : complete) {
    while (next != changed.end() && next->queue < load.queue)
      merged.push_back(*next++);
    if (next != changed.end() && next->queue == load.queue) {
      merged.push_back(*next++);
      continue;
    }
    merged.push_back(load);
    merged.back().pending = 0;
  }
  merged.insert(merged.end(), next, changed.end());
  return merged;
}

}  // namespace radishmoor
