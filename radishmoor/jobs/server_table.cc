#include "radishmoor/jobs/server_table.h"

#include <algorithm>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
ServerState* ServerTable::Find(const ServerId& id) {
  auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

const ServerState* ServerTable::Find(const ServerId& id) const {
  auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

ServerState& ServerTable::FindOrAdd(const ServerId& id) {
  auto [it, added] = servers_.try_emplace(id);
  ServerState& server = it->second;
  if (added) {
    server.listing.id = id;
    server.doubt.other_leases_until = earlier_leases_until_;
  }
  return server;
}

void ServerTable::AddRun(const ServerId& server,
                         const RunRef& run,
                         const StepSpec& step) {
  ServerState& state = FindOrAdd(server);
  state.runs.push_back(run);
  state.used += step.counted_request();
  state.latency_sensitive_runs += step.tail_limit > Duration::zero() ? 1 : 0;
  state.best_effort_runs += step.best_effort ? 1 : 0;
  state.long_running_runs += step.long_running ? 1 : 0;
  if (step.long_running)
    state.used_by_long_running += step.counted_request();
}

void ServerTable::RemoveRun(const ServerId& server,
                            const RunRef& run,
                            const StepSpec& step) {
  ServerState* state = Find(server);
  if (state == nullptr)
    return;
  auto it = std::find(state->runs.begin(), state->runs.end(), run);
  RADISHMOOR_INVARIANT("jobs.run_is_on_its_server", it != state->runs.end());
  if (it == state->runs.end())
    return;
  state->runs.erase(it);
  std::erase(state->awaited_runs, run);
  state->used -= step.counted_request();
  state->latency_sensitive_runs -= step.tail_limit > Duration::zero() ? 1 : 0;
  state->best_effort_runs -= step.best_effort ? 1 : 0;
  state->long_running_runs -= step.long_running ? 1 : 0;
  if (step.long_running)
    state->used_by_long_running -= step.counted_request();
  RADISHMOOR_INVARIANT("jobs.room_adds_up",
                       !state->runs.empty() || state->used == Resources{});
}

}  // namespace radishmoor
