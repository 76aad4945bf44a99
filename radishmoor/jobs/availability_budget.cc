#include "radishmoor/jobs/availability_budget.h"

#include <algorithm>

namespace radishmoor {
namespace {

// A run counts as being at work only if its server has listed it within this
// time. While a server answers, it lists its runs at least each 0.8 s.
constexpr Duration kMaxListAge = Milliseconds(2500);

// Returns true if the run is at work and its server will keep it.
bool IsAvailable(const JobPoolState& state, Time now, const Run& run) {
  const ServerState* server = state.servers.Find(run.server);
  return run.is_at_work() && server != nullptr &&
         server->doubt.last_listed_at &&
         now - *server->doubt.last_listed_at <= kMaxListAge &&
         // The runs on draining servers are stopped whatever the budget.
         !server->listing.draining;
}

}  // namespace

uint32_t CountMissingTasks(const JobPoolState& state,
                           Time now,
                           const Occurrence& occurrence,
                           const Task& task) {
  return static_cast<uint32_t>(std::count_if(
      occurrence.tasks.begin(), occurrence.tasks.end(), [&](const Task& other) {
        return &other != &task && other.step == task.step &&
               std::none_of(other.runs.begin(), other.runs.end(),
                            [&](const Run& run) {
                              return IsAvailable(state, now, run);
                            });
      }));
}

bool MayBecomeMissing(const JobPoolState& state,
                      Time now,
                      const Job& job,
                      const Occurrence& occurrence,
                      const Task& task) {
  // A step that allows no missing tasks has no budget to keep. Its tasks are
  // moved one at a time.
  uint32_t allowed = std::max(1u, job.StepOf(task).allowed_missing);
  return CountMissingTasks(state, now, occurrence, task) < allowed;
}

}  // namespace radishmoor
