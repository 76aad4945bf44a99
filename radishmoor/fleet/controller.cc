#include "radishmoor/fleet/controller.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

EventKind EventOf(HostPhase phase) {
  switch (phase) {
    case HostPhase::kActive:
      return EventKind::kHostActive;
    case HostPhase::kDraining:
      return EventKind::kHostDraining;
    case HostPhase::kDrained:
      return EventKind::kHostDrained;
    case HostPhase::kRebooting:
      return EventKind::kHostRebooting;
    case HostPhase::kRetired:
      return EventKind::kHostRetired;
  }
  return EventKind::kHostActive;
}

bool SameFences(const std::vector<RowExpectation>& a,
                const std::vector<RowExpectation>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const RowExpectation& x, const RowExpectation& y) {
                      return x.key == y.key && x.version == y.version;
                    });
}

}  // namespace

Controller::Controller(ControllerOptions options, MemberId self, uint64_t seed)
    : options_(std::move(options)),
      self_(std::move(self)),
      writer_(options_.writer, seed),
      gate_(options_.gate),
      health_(options_.health),
      wave_(options_.wave),
      retirement_(options_.retirement),
      lending_planner_(options_.lending) {}

std::vector<FleetAction> Controller::SetConfig(Time now,
                                               const FleetState& state,
                                               RowVersion head_row,
                                               ConfigVersion snapshot) {
  if (state.version > state_.version) {
    state_ = state;
    head_ = {head_row, snapshot};
    ObserveState(now);
  } else if (state.version == state_.version && head_.row == 0) {
    head_ = {head_row, snapshot};
  }
  return Decide(now);
}

std::vector<FleetAction> Controller::SetMembers(Time now, MemberList members) {
  uint32_t control_processes = 0;
  for (const MemberView& member : members.members) {
    if (member.role == MemberRole::kControl)
      ++control_processes;
  }
  writer_.SetWriterCount(control_processes);
  gate_.ObserveMembers(std::move(members));
  return DecideAtNextTick(now);
}

std::vector<FleetAction> Controller::SetHostList(
    Time now,
    std::span<const HostListEntry> hosts) {
  gate_.ObserveHostList(hosts);
  return DecideAtNextTick(now);
}

std::vector<FleetAction> Controller::SetHealth(
    Time now,
    std::span<const HostObservation> observations) {
  health_.Observe(observations);
  return DecideAtNextTick(now);
}

std::vector<FleetAction> Controller::SetLeases(Time now,
                                               std::vector<PoolLease> leases) {
  std::map<PoolId, PoolLease> held;
  for (PoolLease& lease : leases) {
    auto old = leases_.find(lease.pool);
    if (old == leases_.end() || !SameFences(old->second.fences, lease.fences))
      fenced_leases_.erase(lease.pool);
    PoolId pool = lease.pool;
    held.emplace(std::move(pool), std::move(lease));
  }
  leases_ = std::move(held);
  return DecideAtNextTick(now);
}

std::vector<FleetAction> Controller::SetLoads(Time now,
                                              std::span<const PoolLoad> loads) {
  lending_planner_.ObserveLoads(now, loads);
  retirement_.ObserveLoads(now, loads);
  return DecideAtNextTick(now);
}

std::vector<FleetAction> Controller::Handle(Time now,
                                            const StoreAnswer& answer) {
  if (std::optional<WriteResult> result = writer_.Handle(now, answer))
    ApplyResult(now, *result);
  return Decide(now);
}

std::vector<FleetAction> Controller::Handle(Time now,
                                            const PlatformResult& result) {
  const HostState* host = state_.FindHost(result.host);
  if (!host)
    return Decide(now);
  PlatformState& platform = platform_[result.host];
  switch (result.kind) {
    case PlatformResultKind::kTasksCheckpointed:
      platform.checkpointed_key = result.key;
      break;
    case PlatformResultKind::kRebootStarted:
      break;
    case PlatformResultKind::kRebootFinished:
      if (platform.rebooted_key == result.key)
        break;
      counters_.requests_cut += result.requests_cut;
      wave_.CountInterruptedRequests(result.requests_cut);
      platform.rebooted_key = result.key;
      platform.rebooted_at = now;
      break;
    case PlatformResultKind::kRebootFailed:
      if (host->phase == HostPhase::kRebooting &&
          host->drain_version == result.key) {
        wave_.OnRebootFailed(result.host);
      }
      break;
    case PlatformResultKind::kAdmitted:
      platform.admitted_key = result.key;
      break;
  }
  return Decide(now);
}

std::vector<FleetAction> Controller::DecideAtNextTick(Time now) {
  next_wake_ = now;
  return {};
}

std::vector<FleetAction> Controller::Tick(Time now) {
  return Decide(now);
}

void Controller::ObserveState(Time now) {
  gate_.ObserveState(now, state_);
  retirement_.ObserveState(now, state_);
  health_.DropRemovedHosts(state_);
  std::erase_if(platform_,
                [&](const auto& item) { return !state_.FindHost(item.first); });
  std::vector<HostId> soon = SoonDueHosts(state_);
  soon_due_ = {soon.begin(), soon.end()};
}

void Controller::ApplyResult(Time now, const WriteResult& result) {
  switch (result.outcome) {
    case WriteOutcome::kCommitted:
      ++counters_.commits;
      ReportChange(result.delta);
      // SetConfig may have delivered this change or later ones already.
      if (result.delta.version == next_version()) {
        state_.Apply(result.delta);
        head_ = result.head;
        ObserveState(now);
      }
      break;
    case WriteOutcome::kConflict:
      ++counters_.conflicts;
      for (const std::string& key : result.conflicts) {
        // After a stale fence the lease must change first; after a stale head
        // the view must deliver a newer configuration first.
        if (key != kConfigHeadKey && !key.starts_with("config/delta/"))
          MarkLeaseFenced();
        else if (state_.version < result.delta.version)
          head_.row = 0;
      }
      break;
    case WriteOutcome::kNotWritten:
      break;
  }
}

void Controller::MarkLeaseFenced() {
  auto lease = leases_.find(change_lease_.pool);
  // If the lease has other fence rows now than when the change was sent, the
  // conflict does not concern it.
  if (lease != leases_.end() &&
      SameFences(lease->second.fences, change_lease_.fences)) {
    fenced_leases_.insert(change_lease_.pool);
  }
}

void Controller::ReportChange(const ConfigDelta& delta) {
  for (const HostState& host : delta.hosts) {
    const HostState* before = state_.FindHost(host.id);
    TimelineEvent event;
    event.kind = EventOf(host.phase);
    event.host = host.id;
    event.pool = host.pool;
    event.config = delta.version;
    if (host.phase == HostPhase::kDraining)
      ++counters_.drains_started;
    if (host.phase == HostPhase::kRebooting) {
      ++counters_.reboots;
      wave_.CountReboot();
    }
    if (host.phase == HostPhase::kRetired)
      ++counters_.retired;
    if (IsNewInPool(host)) {
      event.kind = EventKind::kHostMoved;
      ++counters_.moves;
      wave_.CountMove();
    }
    bool drain_cancelled = before && before->phase == HostPhase::kDraining &&
                           host.phase == HostPhase::kActive;
    if (drain_cancelled) {
      ++counters_.drains_cancelled;
      event.detail = "drain given back";
    }
    actions_.emplace_back(std::move(event));
  }
}

const PoolLease* Controller::ValidLease(Time now, const PoolId& pool) const {
  auto it = leases_.find(pool);
  bool held = it != leases_.end() && now < it->second.valid_until &&
              !fenced_leases_.contains(pool);
  return held ? &it->second : nullptr;
}

DrainReasons Controller::CurrentDrainReasons(const HostState& host) const {
  return DrainReasonsOf(state_, host, lending_plan_, wave_.paused());
}

std::vector<FleetAction> Controller::Decide(Time now) {
  health_.ObserveZones(now, gate_);
  // Plans at most once per second, since loads arrive at that rate.
  if (now - lending_planned_at_ >= Seconds(1)) {
    lending_plan_ = lending_planner_.Plan(now, state_);
    lending_planned_at_ = now;
  }
  BudgetTable budgets(now, state_, health_);
  for (FleetAction& action : wave_.Observe(now, state_, health_, budgets))
    actions_.push_back(std::move(action));
  RequestPlatformActions(now, budgets);
  writer_.Tick(now);
  if (writer_.Ready(now) && head_.row != 0) {
    if (std::optional<Change> change = NextChange(now, budgets)) {
      change_lease_ = *ValidLease(now, change->lease);
      writer_.Start(now, std::move(change->delta), head_, change_lease_.fences,
                    std::move(change->removed_rows));
    }
  }
  for (StoreCall& call : writer_.TakeCalls())
    actions_.emplace_back(std::move(call));
  Time wake = writer_.next_wake();
  next_wake_ = now + Seconds(1);
  if (wake > now)
    next_wake_ = std::min(next_wake_, wake);
  return std::exchange(actions_, {});
}

bool Controller::WantsAdmission(const HostState& host,
                                const BudgetTable& budgets) const {
  if (host.phase != HostPhase::kDrained)
    return false;
  DrainReasons reasons = CurrentDrainReasons(host);
  if (reasons.retire || reasons.hold)
    return false;
  if (IsNewInPool(host))
    return !reasons.move_to;
  return !reasons.any() || budgets.IsExceeded(host.pool);
}

void Controller::RequestPlatformActions(Time now, const BudgetTable& budgets) {
  for (const auto& [id, host] : state_.hosts) {
    if (host.phase == HostPhase::kActive || host.phase == HostPhase::kRetired)
      continue;
    if (!ValidLease(now, host.pool))
      continue;
    PlatformState& platform = platform_[id];
    bool retry = now >= platform.retry_at;
    auto request = [&](uint64_t* sent_key, uint64_t key, FleetAction action) {
      if (*sent_key == key && !retry)
        return;
      *sent_key = key;
      platform.retry_at = now + options_.platform_retry;
      actions_.push_back(std::move(action));
    };
    if (host.phase == HostPhase::kDraining &&
        platform.checkpointed_key != host.drain_version) {
      request(&platform.checkpoint_key, host.drain_version,
              CheckpointTasks{id, host.drain_version});
    } else if (host.phase == HostPhase::kRebooting &&
               platform.rebooted_key != host.drain_version) {
      request(&platform.reboot_key, host.drain_version,
              RebootHost{id, host.drain_version, host.maintained});
    } else if (WantsAdmission(host, budgets) &&
               platform.admitted_key != host.epoch) {
      request(&platform.admit_key, host.epoch,
              AdmitHost{id, host.pool, host.epoch});
    }
  }
}

Controller::Change Controller::MakeHostChange(HostState next,
                                              const PoolId& lease) const {
  Change change;
  change.delta.version = next_version();
  change.delta.author = self_.str();
  change.delta.hosts.push_back(std::move(next));
  change.lease = lease;
  return change;
}

std::optional<Controller::Change> Controller::NextChange(
    Time now,
    const BudgetTable& budgets) {
  usage_ = wave_.Usage(now, state_, health_);
  if (std::optional<Change> change = CancelDrainOverBudget(now, budgets))
    return change;
  if (std::optional<Change> change = AdvanceHosts(now, budgets))
    return change;
  if (std::optional<Change> change = RemoveEmptyPool(now))
    return change;
  return StartNextDrain(now, budgets);
}

std::optional<Controller::Change> Controller::CancelDrainOverBudget(
    Time now,
    const BudgetTable& budgets) {
  for (const auto& [id, host] : state_.hosts) {
    // Activating an unhealthy host would not make the pool more available.
    if (host.phase != HostPhase::kDraining || !budgets.IsExceeded(host.pool) ||
        !health_.IsHealthy(now, host) || !ValidLease(now, host.pool)) {
      continue;
    }
    no_new_drains_until_[host.pool] = now + options_.cancelled_drain_hold;
    return MakeHostChange(Activate(host), host.pool);
  }
  return std::nullopt;
}

std::optional<Controller::Change> Controller::AdvanceHosts(
    Time now,
    const BudgetTable& budgets) {
  for (const auto& [id, host] : state_.hosts) {
    if (!ValidLease(now, host.pool))
      continue;
    if (std::optional<HostState> next = AdvanceHost(now, host, budgets))
      return MakeHostChange(std::move(*next), host.pool);
  }
  return std::nullopt;
}

std::optional<HostState> Controller::AdvanceHost(
    Time now,
    const HostState& host,
    const BudgetTable& budgets) const {
  auto platform = platform_.find(host.id);
  switch (host.phase) {
    case HostPhase::kActive:
    case HostPhase::kRetired:
      return std::nullopt;
    case HostPhase::kDraining: {
      if (!CurrentDrainReasons(host).any())
        return Activate(host);
      bool idle = platform != platform_.end() &&
                  platform->second.checkpointed_key == host.drain_version &&
                  health_.RunningRequests(now, host.id) == 0 &&
                  gate_.Check(now, host).open;
      return idle ? std::optional(FinishDrain(host)) : std::nullopt;
    }
    case HostPhase::kRebooting: {
      bool returned =
          platform != platform_.end() &&
          platform->second.rebooted_key == host.drain_version &&
          health_.HealthySince(now, host, platform->second.rebooted_at);
      return returned ? std::optional(FinishReboot(host)) : std::nullopt;
    }
    case HostPhase::kDrained:
      return AdvanceDrainedHost(now, host, budgets);
  }
  return std::nullopt;
}

std::optional<HostState> Controller::AdvanceDrainedHost(
    Time now,
    const HostState& host,
    const BudgetTable& budgets) const {
  DrainReasons reasons = CurrentDrainReasons(host);
  bool new_in_pool = IsNewInPool(host);
  // While the pool exceeds its budget, the host returns to service before its
  // maintenance or move.
  bool waits_for_budget = !new_in_pool && budgets.IsExceeded(host.pool);
  if (reasons.retire)
    return Retire(host);
  if (reasons.maintain && !new_in_pool && !waits_for_budget) {
    if (wave_.MayReboot(usage_, state_, host) &&
        health_.RunningRequests(now, host.id) == 0) {
      return StartReboot(host, next_version(), state_.rules.maintenance);
    }
    // A host that also moves need not wait here for its reboot: it completes
    // the round in its new pool.
    if (!reasons.move_to)
      return std::nullopt;
  }
  if (reasons.move_to && !waits_for_budget)
    return MoveToPool(host, *reasons.move_to);
  auto platform = platform_.find(host.id);
  bool admitted = platform != platform_.end() &&
                  platform->second.admitted_key == host.epoch &&
                  health_.IsHealthy(now, host);
  return admitted && WantsAdmission(host, budgets)
             ? std::optional(Activate(host))
             : std::nullopt;
}

std::optional<Controller::Change> Controller::RemoveEmptyPool(Time now) {
  for (const auto& [id, pool] : state_.pools) {
    if (!pool.closed || !ValidLease(now, id))
      continue;
    std::optional<ConfigDelta> delta = Retirement::MakePoolRemoval(state_, id);
    if (!delta)
      continue;
    delta->version = next_version();
    delta->author = self_.str();
    return Change{std::move(*delta), id, {options_.lease_prefix + id.str()}};
  }
  return std::nullopt;
}

bool Controller::MayStartDrain(Time now,
                               const HostState& host,
                               const BudgetTable& budgets) {
  if (host.phase != HostPhase::kActive || !ValidLease(now, host.pool) ||
      health_.WouldStallDrain(host.zone)) {
    return false;
  }
  DrainReasons reasons = CurrentDrainReasons(host);
  bool has_other_reason = reasons.retire || reasons.hold || reasons.move_to;
  if (!has_other_reason &&
      (!reasons.maintain || !wave_.MayStartDrain(usage_, state_, host))) {
    return false;
  }
  auto hold = no_new_drains_until_.find(host.pool);
  if (hold != no_new_drains_until_.end() && now < hold->second)
    return false;
  const PoolState* pool = state_.FindPool(host.pool);
  if (pool && pool->closed &&
      !retirement_.MayDrainFromClosedPool(now, state_, host))
    return false;
  if (budgets.MayMakeUnavailable(host))
    return true;
  ++counters_.budget_refusals;
  return false;
}

std::optional<Controller::Change> Controller::StartNextDrain(
    Time now,
    const BudgetTable& budgets) {
  // Drains that operators or moves require come before those of the
  // maintenance round.
  for (const auto& [id, host] : state_.hosts) {
    if (!IsDue(state_, host) && MayStartDrain(now, host, budgets))
      return MakeHostChange(StartDrain(host, next_version()), host.pool);
  }
  for (const HostId& id : MaintenanceOrder(state_)) {
    const HostState& host = *state_.FindHost(id);
    if (MayStartDrain(now, host, budgets))
      return MakeHostChange(StartDrain(host, next_version()), host.pool);
  }
  return std::nullopt;
}

DrainGateResult Controller::CheckDrainGate(Time now, const HostId& host) const {
  const HostState* state = state_.FindHost(host);
  return state ? gate_.Check(now, *state)
               : DrainGateResult{false, GateBlock::kNotDraining, {}};
}

FleetCounters Controller::fleet_counters() const {
  FleetCounters counters = counters_;
  counters.unavailable = writer_.unavailable();
  counters.unknown = writer_.unknown();
  counters.resolved_committed = writer_.resolved_committed();
  counters.wave_pauses = wave_.pauses();
  return counters;
}

}  // namespace radishmoor
