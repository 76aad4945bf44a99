#include "radishmoor/jobs/server_table.h"

#include <algorithm>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// A backend server's clock may be slow by this fraction.
constexpr double kMaxClockDrift = 0.02;
// Servers' clocks count whole milliseconds.
constexpr ServerMillis kClockGranularityMs = 1;
// Two readings of one clock, and two times in whole milliseconds, differ from
// the exact difference by less than this.
constexpr ServerMillis kReadingToleranceMs = 3;

}  // namespace

void ServerClock::Observe(Time sent, Time received, ServerMillis clock) {
  // Answers can arrive out of order. The answer to the order that was sent last
  // gives the tightest bound.
  if (known_ && sent < sent_)
    return;
  known_ = true;
  sent_ = sent;
  received_ = received;
  clock_ = clock;
}

ServerMillis ServerClock::EstimateAt(Time now) const {
  return clock_ + WholeMilliseconds(now - received_);
}

ServerMillis ServerClock::LowerBoundAt(Time now) const {
  double elapsed = static_cast<double>((now - received_).count()) / 1000;
  return clock_ + static_cast<ServerMillis>(elapsed * (1 - kMaxClockDrift));
}

bool ServerClock::IsOfLaterIncarnation(Time sent, ServerMillis reading) const {
  // Before `received_`, the clock was behind `clock_` by no more than the time
  // that has passed since.
  ServerMillis lowest = sent < received_
                            ? clock_ - WholeMilliseconds(received_ - sent)
                            : LowerBoundAt(sent);
  return reading + kReadingToleranceMs < lowest;
}

bool ServerClock::IsOfEarlierIncarnation(Time received,
                                         ServerMillis reading) const {
  double elapsed = static_cast<double>((received - sent_).count()) / 1000;
  auto highest =
      clock_ + static_cast<ServerMillis>(elapsed * (1 + kMaxClockDrift));
  return reading > highest + kReadingToleranceMs;
}

Duration ServerClock::LongestTimeFor(Duration length) {
  return Duration(static_cast<int64_t>(static_cast<double>(length.count()) /
                                       (1 - kMaxClockDrift))) +
         Milliseconds(kClockGranularityMs);
}

bool ServerState::LeasesExpired(Time now) const {
  if (now < other_leases_until)
    return false;
  if (!clock.known())
    return lease_until == 0;
  return clock.LowerBoundAt(now) > lease_until + kClockGranularityMs;
}

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
    server.other_leases_until = earlier_leases_until_;
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
