#include "radishmoor/jobs/fleet_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishmoor {
namespace {

constexpr uint32_t kScanPageRows = 500;
constexpr Duration kTickPeriod = Milliseconds(100);
// Interval between two requests to empty a server. A failed scan of the stored
// rows is also repeated after this time.
constexpr Duration kVacateRequestPeriod = Milliseconds(250);
// A host that cannot be emptied for maintenance within this time is postponed,
// so that other hosts of the wave can be emptied instead.
constexpr Duration kMaintenanceEmptyingLimit = Seconds(9);
// The row of a finished call is kept for PlatformBounds::host_operation_lease
// plus this margin for the answer to the call.
constexpr Duration kRowRemovalMargin = Seconds(2);
constexpr Duration kPostponement = Seconds(3);
// The same for a wave that can no longer wait.
constexpr Duration kLateWavePostponement = Milliseconds(500);
// Interval between requests to keep a server empty while its host is being
// called. Each goes to the current owner of the pool, so that a new owner
// learns of the operation too.
constexpr Duration kKeepEmptyPeriod = Milliseconds(200);
// A call relies on an owner's answer that the server is empty for this long.
constexpr Duration kEmptyAnswerValidity = Milliseconds(500);
constexpr Duration kUnansweredCallRetry = Milliseconds(400);
constexpr Duration kThrottledCallRetry = Milliseconds(150);
constexpr Duration kBusyHostRetry = Milliseconds(500);
constexpr Duration kWaveReportRetry = Milliseconds(500);
// The platform does not carry out a call that was not answered later than this
// after it was sent.
constexpr Duration kLateCallLimit = Seconds(15);
// A host that is missing from the platform's list for this long has left the
// fleet.
constexpr Duration kMissingHostTimeout = Seconds(4);
// A host that cannot be emptied for a move within this time stays in its pool.
constexpr Duration kMoveEmptyingLimit = Milliseconds(2500);
constexpr Duration kSizingPeriod = Milliseconds(100);
// Share of the platform's call rate that moves may use. Waves need the rest.
constexpr double kMoveRateShare = 0.8;
// A wave that can wait does not maintain hosts of pools with at least this
// ratio of demand to capacity.
constexpr double kBusyPoolShare = 0.5;
// Rank of a host that an earlier coordinator's call may still reach, in place
// of the demand of its pool: it comes first.
constexpr double kLateMaintenanceShare = -2.0;
// Time to maintain as many hosts as a wave may have down at once.
constexpr Duration kMaintenanceRoundTime = Milliseconds(3500);
// A wave no longer waits for busy pools when less than this is left of its time
// beyond what the maintenance of its remaining hosts takes.
constexpr Duration kWaveTimeMargin = Seconds(9);
// Hosts of a wave that may be emptied in advance, in addition to the hosts that
// may be down at once.
constexpr uint32_t kHostsEmptiedAhead = 1;

}  // namespace

FleetCoordinator::FleetCoordinator(const FleetCoordinatorOptions& options,
                                   const PeakForecast& forecast,
                                   Outbox& outbox)
    : options_(options),
      state_(PoolId(kFleetPseudoPool), options.bounds),
      chain_(state_, {options.node, options.address, options.lease_version}),
      sizing_(options.first_owner, forecast) {
  state_.token = options.token;
  chain_.set_renewed(options.lease_taken_at);
  SendRowScan(outbox);
}

void FleetCoordinator::SendRowScan(Outbox& outbox) {
  ScanRows scan;
  scan.prefix = HostOperationKey(state_.pool, HostId());
  scan.after = scan_after_;
  scan.limit = kScanPageRows;
  scan_tag_ = outbox.CallStore(std::move(scan));
}

void FleetCoordinator::OnStoredRow(const Row& row) {
  std::optional<HostOperationRow> stored = DecodeHostOperation(row.value);
  if (!stored) {
    ++state_.counters.unreadable_rows;
    return;
  }
  if (stored->kind == HostOperationKind::kMaintained) {
    maintained_waves_[stored->host].insert(stored->wave);
    return;
  }
  // The stored operation is not resumed, because its server may be in use
  // again. If its call was carried out, a repeated call has no effect.
  earlier_calls_[stored->host] = *stored;
  // The row is kept for as long as the call may come: a further successor has
  // to know of it, too.
  RemoveRowLater(options_.lease_taken_at + kLateCallLimit, stored->host);
}

void FleetCoordinator::RemoveDueRows(Time now) {
  Duration kept = options_.bounds.host_operation_lease + kRowRemovalMargin;
  while (!rows_to_remove_.empty() &&
         now - rows_to_remove_.front().first > kept) {
    const HostId& host = rows_to_remove_.front().second;
    auto operation = host_operations_.find(host);
    bool in_use = operation != host_operations_.end() &&
                  operation->second.stage != Stage::kEmptying;
    if (!in_use)
      RemoveRow(host);
    rows_to_remove_.pop_front();
  }
}

void FleetCoordinator::OnWaves(std::span<const ObservedWave> waves,
                               Outbox& outbox) {
  for (const ObservedWave& observed : waves) {
    const MaintenanceWave& plan = observed.plan;
    auto [it, inserted] = waves_.try_emplace(plan.number);
    Wave& wave = it->second;
    wave.plan = plan;
    if (!inserted)
      continue;
    wave.first_seen_at = observed.first_seen_at;
    outbox.LogDecision("wave-seen",
                       {{"wave", static_cast<int64_t>(plan.number)},
                        {"hosts", static_cast<int64_t>(plan.hosts.size())},
                        {"at_once", static_cast<int64_t>(plan.max_at_once)},
                        {"length_ms", WholeMilliseconds(plan.length)}});
  }
}

bool FleetCoordinator::IsStandby(const PoolId& pool) const {
  const PoolConfig* config = config_.FindPool(pool);
  return config != nullptr && config->standby;
}

bool FleetCoordinator::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(),
                     [](const auto& entry) { return !entry.second.completed; });
}

bool FleetCoordinator::IsKnownAsMaintained(const HostId& host,
                                           uint64_t wave) const {
  auto stored = maintained_waves_.find(host);
  return stored != maintained_waves_.end() && stored->second.contains(wave);
}

bool FleetCoordinator::IsListedInMaintenance(const HostId& host) const {
  auto listing = hosts_.find(host);
  return listing != hosts_.end() &&
         listing->second.state == ListedHostState::kMaintenance;
}

uint32_t FleetCoordinator::CountHostsDown(uint64_t wave) const {
  uint32_t down = 0;
  for (const auto& [host, operation] : host_operations_) {
    if (operation.kind == HostOperationKind::kMaintain &&
        operation.wave == wave && operation.stage != Stage::kEmptying)
      ++down;
  }
  // Counts hosts whose maintenance an earlier coordinator may have started.
  for (const auto& [host, listing] : hosts_) {
    if (listing.state == ListedHostState::kMaintenance &&
        !host_operations_.contains(host))
      ++down;
  }
  for (const auto& [host, call] : earlier_calls_) {
    if (IsLateMaintenance(host, wave) && !IsListedInMaintenance(host) &&
        !IsCalled(host))
      ++down;
  }
  return down;
}

bool FleetCoordinator::IsLateMaintenance(const HostId& host,
                                         uint64_t wave) const {
  auto call = earlier_calls_.find(host);
  return call != earlier_calls_.end() &&
         call->second.kind == HostOperationKind::kMaintain &&
         call->second.wave == wave && !IsKnownAsMaintained(host, wave);
}

bool FleetCoordinator::IsCalled(const HostId& host) const {
  auto operation = host_operations_.find(host);
  return operation != host_operations_.end() &&
         operation->second.stage != Stage::kEmptying;
}

bool FleetCoordinator::OnStoreAnswer(Time now, const StoreAnswer& answer) {
  CommitChain::Stored stored;
  if (chain_.OnAnswer(now, answer, &stored)) {
    for (const std::string& key : stored.rows) {
      auto it = host_operations_.find(HostId(LastKeyPart(key)));
      if (it == host_operations_.end() || it->second.stage != Stage::kStoring)
        continue;
      it->second.stage = Stage::kCalling;
      it->second.stage_since = now;
      it->second.next_try_at = now;
    }
    return true;
  }
  if (scan_tag_ != 0 && answer.tag == scan_tag_) {
    scan_tag_ = 0;
    const auto* rows = std::get_if<RowsReply>(&answer.reply);
    if (rows == nullptr) {
      next_scan_at_ = now + kVacateRequestPeriod;
      return true;
    }
    for (const Row& row : rows->rows)
      OnStoredRow(row);
    rows_loaded_ = !rows->more || rows->rows.empty();
    if (!rows_loaded_) {
      scan_after_ = rows->rows.back().key;
      next_scan_at_ = now;
    }
    return true;
  }
  for (auto& [number, wave] : waves_) {
    if (wave.report_tag == 0 || answer.tag != wave.report_tag)
      continue;
    wave.report_tag = 0;
    if (!std::holds_alternative<CommittedReply>(answer.reply)) {
      wave.next_report_at = now + kWaveReportRetry;
      return true;
    }
    if (wave.completed)
      wave.reported_end = true;
    wave.reported_start = true;
    return true;
  }
  return false;
}

bool FleetCoordinator::OnHostReply(Time now,
                                   const HostReply& reply,
                                   Outbox& out) {
  for (auto& [host, operation] : host_operations_) {
    if (operation.call_tag == 0 || operation.call_tag != reply.tag)
      continue;
    operation.call_tag = 0;
    HostId id = host;
    OnHostCallReply(now, id, operation, reply.outcome, out);
    return true;
  }
  return false;
}

bool FleetCoordinator::needs_host_list() const {
  return rows_loaded_;
}

void FleetCoordinator::OnHosts(Time sent,
                               std::span<const HostListing> hosts,
                               Outbox& outbox) {
  Duration since_lease = sent - options_.lease_taken_at;
  may_repeat_earlier_calls_ =
      since_lease > options_.bounds.host_operation_lease;
  if (since_lease > kLateCallLimit)
    earlier_calls_.clear();
  std::map<HostId, HostListing> before = std::exchange(hosts_, {});
  for (const HostListing& host : hosts) {
    auto old = before.find(host.host);
    if (old != before.end() && (old->second.state != host.state ||
                                old->second.server != host.server)) {
      outbox.LogDecision("host-changed",
                         {{"host", host.host.str()},
                          {"pool", host.pool.str()},
                          {"state", static_cast<int64_t>(host.state)},
                          {"server", host.server.str()}});
    }
    hosts_[host.host] = host;
  }
  hosts_by_server_.clear();
  for (const auto& [id, host] : hosts_) {
    if (!host.server.empty())
      hosts_by_server_[host.server] = id;
  }
  std::vector<HostId> back;
  for (auto& [id, operation] : host_operations_) {
    auto it = hosts_.find(id);
    if (operation.stage != Stage::kReturning || it == hosts_.end())
      continue;
    // A list requested after the call was answered shows the host as away until
    // the maintenance or move is over.
    bool away = it->second.state == ListedHostState::kMaintenance ||
                it->second.state == ListedHostState::kMoving;
    if (sent > operation.stage_since && !away)
      back.push_back(id);
  }
  for (const HostId& id : back) {
    outbox.LogDecision("host-back", {{"host", id.str()}});
    host_operations_.erase(id);
  }
}

void FleetCoordinator::OnHostCallReply(Time now,
                                       const HostId& host,
                                       HostOperation& operation,
                                       HostOutcome outcome,
                                       Outbox& outbox) {
  outbox.LogDecision(
      "host-call",
      {{"host", host.str()},
       {"wave", static_cast<int64_t>(operation.wave)},
       {"outcome", static_cast<int64_t>(outcome)},
       {"emptied_ms", WholeMilliseconds(now - operation.started_at)}});
  switch (outcome) {
    case HostOutcome::kDone:
      // The host refuses calls with earlier tokens from now on.
      earlier_calls_.erase(host);
      if (operation.kind == HostOperationKind::kMaintain) {
        MarkMaintained(now, host, operation, outbox);
        return;
      }
      operation.stage = Stage::kReturning;
      operation.stage_since = now;
      RemoveRowLater(now, host);
      return;
    case HostOutcome::kFenced:
      fenced_ = true;
      return;
    case HostOutcome::kBusy:
      // The platform did nothing. The host may come back with another server.
      operation.call_may_be_executed = false;
      operation.next_try_at = now + kBusyHostRetry;
      if (operation.kind == HostOperationKind::kMaintain)
        return;
      // The host is not up, and waiting for it is not worthwhile: the move is
      // dropped.
      RemoveRowLater(now, host);
      host_operations_.erase(host);
      return;
    case HostOutcome::kWrongWave:
    case HostOutcome::kRefused: {
      auto wave = waves_.find(operation.wave);
      if (operation.kind == HostOperationKind::kMaintain &&
          wave != waves_.end())
        wave->second.done_hosts.insert(host);
      RemoveRowLater(now, host);
      host_operations_.erase(host);
      return;
    }
    case HostOutcome::kThrottled:
      // The platform did nothing, so the next call needs a current answer that
      // the server is empty.
      operation.call_may_be_executed = false;
      operation.next_try_at = now + kThrottledCallRetry;
      return;
    case HostOutcome::kUnanswered:
      operation.next_try_at = now + kUnansweredCallRetry;
      return;
  }
}

void FleetCoordinator::MarkMaintained(Time now,
                                      const HostId& host,
                                      HostOperation& operation,
                                      Outbox& outbox) {
  operation.stage = Stage::kReturning;
  operation.stage_since = now;
  HostOperationRow row{host, HostOperationKind::kMaintained, operation.pool,
                       operation.wave, operation.server};
  RemoveRowLater(now, host);
  chain_.Write({MaintainedKey(state_.pool, host, operation.wave),
                EncodeHostOperation(row)});
  auto it = waves_.find(operation.wave);
  if (it == waves_.end())
    return;
  it->second.done_hosts.insert(host);
  CheckCompleted(now, it->second, outbox);
}

void FleetCoordinator::CheckCompleted(Time now, Wave& wave, Outbox& outbox) {
  if (wave.completed)
    return;
  for (const HostId& host : wave.plan.hosts) {
    if (wave.done_hosts.contains(host))
      continue;
    auto missing = wave.missing_since.find(host);
    if (missing == wave.missing_since.end() ||
        now - missing->second < kMissingHostTimeout)
      return;
  }
  wave.completed = true;
  wave.next_report_at = now;
  outbox.LogDecision(
      "wave-completed",
      {{"wave", static_cast<int64_t>(wave.plan.number)},
       {"took_ms", WholeMilliseconds(now - wave.first_seen_at)}});
}

void FleetCoordinator::OnVacateAnswer(Time now, const VacateAnswer& answer) {
  for (auto& [host, operation] : host_operations_) {
    bool awaits_answer =
        operation.stage != Stage::kReturning && operation.call_tag == 0;
    if (operation.server != answer.server || !awaits_answer)
      continue;
    if (answer.state != VacateState::kEmpty) {
      // A new owner of the pool may have started tasks on the server.
      operation.reported_empty_by = 0;
      return;
    }
    operation.reported_empty_by = answer.token;
    operation.reported_empty_at = now;
    if (operation.stage == Stage::kEmptying && WaveAllowsCall(host, operation))
      StoreHostOperation(now, host, operation);
    return;
  }
}

bool FleetCoordinator::IsServerEmpty(
    Time now,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  if (IsStandby(operation.pool))
    return true;
  auto contact = contacts.find(operation.pool);
  return contact != contacts.end() &&
         contact->second.heartbeat.token == operation.reported_empty_by &&
         now - operation.reported_empty_at < kEmptyAnswerValidity;
}

void FleetCoordinator::StoreHostOperation(Time now,
                                          const HostId& host,
                                          HostOperation& operation) {
  operation.stage = Stage::kStoring;
  operation.stage_since = now;
  PoolId pool = operation.kind == HostOperationKind::kMove
                    ? operation.target_pool
                    : operation.pool;
  HostOperationRow row{host, operation.kind, pool, operation.wave,
                       operation.server};
  chain_.Write({HostOperationKey(state_.pool, host), EncodeHostOperation(row)});
}

bool FleetCoordinator::WaveAllowsCall(const HostId& host,
                                      const HostOperation& operation) const {
  if (operation.kind != HostOperationKind::kMaintain)
    return true;
  auto wave = waves_.find(operation.wave);
  if (wave == waves_.end())
    return false;
  uint32_t down = CountHostsDown(operation.wave);
  // An earlier call for the host has its place in the wave already.
  if (IsLateMaintenance(host, operation.wave) && !IsListedInMaintenance(host))
    --down;
  return down < std::max(1u, wave->second.plan.max_at_once);
}

void FleetCoordinator::ReportWaves(Time now, Outbox& outbox) {
  for (auto& [number, wave] : waves_) {
    bool due = wave.completed ? !wave.reported_end : !wave.reported_start;
    if (!due || wave.report_tag != 0)
      continue;
    if (now < wave.next_report_at) {
      Wake(wave.next_report_at);
      continue;
    }
    wave.report_tag = outbox.SendWaveReport(number, wave.completed);
  }
}

void FleetCoordinator::StartMaintenance(
    Time now,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  hosts_due_.clear();
  for (auto& [number, wave] : waves_) {
    if (wave.completed)
      continue;
    bool can_wait = CanWait(now, wave);
    uint32_t open_operations = 0;
    for (const auto& [host, operation] : host_operations_) {
      if (operation.kind == HostOperationKind::kMaintain &&
          operation.wave == number)
        ++open_operations;
    }
    using Candidate = std::tuple<double, HostId>;
    std::vector<Candidate> candidates;
    for (const HostId& host : wave.plan.hosts) {
      if (IsKnownAsMaintained(host, number))
        wave.done_hosts.insert(host);
      auto listing = hosts_.find(host);
      if (listing == hosts_.end()) {
        wave.missing_since.try_emplace(host, now);
        continue;
      }
      wave.missing_since.erase(host);
      if (!can_wait && !wave.done_hosts.contains(host))
        hosts_due_.insert(host);
      auto postponed = wave.postponed_until.find(host);
      if (wave.done_hosts.contains(host) || host_operations_.contains(host) ||
          EarlierCallMayBeExecuted(host) ||
          listing->second.state != ListedHostState::kUp ||
          (postponed != wave.postponed_until.end() && now < postponed->second))
        continue;
      auto contact = contacts.find(listing->second.pool);
      bool standby = IsStandby(listing->second.pool);
      if (!standby && (contact == contacts.end() ||
                       contact->second.heartbeat.figures_missing))
        continue;
      double share = standby ? -1.0 : contact->second.demand_share();
      // A call of this coordinator shuts out the late one of an earlier one, so
      // that its place in the wave gets free.
      if (IsLateMaintenance(host, number))
        share = kLateMaintenanceShare;
      if (share < kBusyPoolShare || !can_wait)
        candidates.emplace_back(share, host);
    }
    CheckCompleted(now, wave, outbox);
    std::sort(candidates.begin(), candidates.end());
    uint32_t limit = std::max(1u, wave.plan.max_at_once) + kHostsEmptiedAhead;
    for (const auto& [share, host] : candidates) {
      // A late call has its place in the wave in any case.
      if (open_operations >= limit && !IsLateMaintenance(host, number))
        break;
      if (!LeavesRoomForDemand(host, contacts))
        continue;
      HostOperation& operation = AddHostOperation(now, host);
      operation.wave = number;
      ++open_operations;
      outbox.LogDecision("host-chosen", {{"host", host.str()},
                                         {"wave", static_cast<int64_t>(number)},
                                         {"pool", operation.pool.str()},
                                         {"demand_percent",
                                          static_cast<int64_t>(share * 100)}});
    }
  }
}

bool FleetCoordinator::LeavesRoomForDemand(
    const HostId& host,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  const HostListing& listing = hosts_.at(host);
  auto contact = contacts.find(listing.pool);
  if (contact == contacts.end())
    return true;
  int64_t leaving = listing.capacity.cpu_millis;
  bool is_first = true;
  for (const auto& [other, operation] : host_operations_) {
    auto other_listing = hosts_.find(other);
    if (operation.pool != listing.pool ||
        operation.stage == Stage::kReturning || other_listing == hosts_.end())
      continue;
    is_first = false;
    leaving += other_listing->second.capacity.cpu_millis;
  }
  const OwnerHeartbeat& heartbeat = contact->second.heartbeat;
  return is_first ||
         heartbeat.capacity_cores * 1000 - static_cast<double>(leaving) >=
             heartbeat.demand_cores * 1000;
}

FleetCoordinator::HostOperation& FleetCoordinator::AddHostOperation(
    Time now,
    const HostId& host) {
  const HostListing& listing = hosts_.at(host);
  HostOperation& operation = host_operations_[host];
  operation = HostOperation{};
  operation.pool = listing.pool;
  operation.server = listing.server;
  operation.stage_since = operation.started_at = operation.next_try_at = now;
  return operation;
}

bool FleetCoordinator::CanWait(Time now, const Wave& wave) const {
  size_t left = wave.plan.hosts.size() - wave.done_hosts.size();
  size_t rounds = left / std::max(1u, wave.plan.max_at_once) + 1;
  Duration needed =
      kMaintenanceRoundTime * static_cast<int64_t>(rounds) + kWaveTimeMargin;
  return now + needed < wave.first_seen_at + wave.plan.length;
}

std::vector<PoolSizingInput> FleetCoordinator::MakeSizingInputs(
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  struct HostCounts {
    uint32_t hosts = 0;
    uint32_t leaving = 0;
    double cores_per_host = 1;
  };
  std::map<PoolId, HostCounts> counts;
  for (const auto& [id, host] : hosts_) {
    if (host.state == ListedHostState::kDown)
      continue;
    auto operation = host_operations_.find(id);
    bool is_move = operation != host_operations_.end() &&
                   operation->second.kind == HostOperationKind::kMove;
    bool emptying = is_move && operation->second.stage == Stage::kEmptying;
    HostCounts& pool =
        counts[is_move && !emptying ? operation->second.target_pool
                                    : host.pool];
    ++pool.hosts;
    pool.leaving += emptying ? 1 : 0;
    pool.cores_per_host = static_cast<double>(host.capacity.cpu_millis) / 1000;
  }
  std::vector<PoolSizingInput> sizes;
  for (const PoolConfig& config : config_.pools) {
    PoolSizingInput size;
    size.pool = config.id;
    size.standby = config.standby;
    auto contact = contacts.find(config.id);
    size.figures_recent =
        contact != contacts.end() && !contact->second.heartbeat.figures_missing;
    const HostCounts& pool = counts[config.id];
    size.hosts = pool.hosts;
    size.leaving_hosts = pool.leaving;
    size.cores_per_host = pool.cores_per_host;
    if (size.figures_recent) {
      size.demand_cores = contact->second.heartbeat.demand_cores;
      size.offered_cores = contact->second.heartbeat.offered_cores;
      size.backlog_cores = contact->second.heartbeat.backlog_cores;
      size.silent_hosts = contact->second.heartbeat.silent_servers;
      size.min_hosts = contact->second.heartbeat.min_servers;
    }
    size.spare_hosts = static_cast<uint32_t>(
        FindMovableHosts(config.id, UINT32_MAX, {}, contacts).size());
    uint32_t emptying = CountHostsEmptyingFor(config.id);
    if (config.standby)
      size.spare_hosts += emptying;
    else
      size.arriving_hosts = emptying;
    sizes.push_back(size);
  }
  return sizes;
}

std::vector<HostId> FleetCoordinator::FindMovableHosts(
    const PoolId& pool,
    uint32_t count,
    std::span<const ZoneId> avoid,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  std::vector<HostId> movable;
  auto usable = [this, avoid](const HostId& id, const HostListing& host) {
    bool avoided =
        std::find(avoid.begin(), avoid.end(), host.zone) != avoid.end();
    return host.state == ListedHostState::kUp &&
           !host_operations_.contains(id) && !hosts_due_.contains(id) &&
           !avoided && !EarlierCallMayBeExecuted(id);
  };
  if (IsStandby(pool)) {
    for (const auto& [id, host] : hosts_) {
      if (movable.size() < count && host.pool == pool && usable(id, host))
        movable.push_back(id);
    }
    return movable;
  }
  auto contact = contacts.find(pool);
  if (contact == contacts.end() || contact->second.heartbeat.figures_missing)
    return movable;
  for (const ServerId& server : contact->second.heartbeat.spare_servers) {
    auto found = hosts_by_server_.find(server);
    if (movable.size() >= count || found == hosts_by_server_.end())
      continue;
    const HostId& id = found->second;
    const HostListing& host = hosts_.at(id);
    if (host.pool == pool && usable(id, host))
      movable.push_back(id);
  }
  return movable;
}

void FleetCoordinator::StartMoves(
    Time now,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now < next_sizing_at_) {
    Wake(next_sizing_at_);
    return;
  }
  next_sizing_at_ = now + kSizingPeriod;
  std::vector<PoolSizingInput> sizes = MakeSizingInputs(contacts);
  auto limit = static_cast<uint32_t>(
      kMoveRateShare * options_.bounds.max_host_operations_per_second *
      ToSeconds(kSizingPeriod));
  for (const HostMoves& moves : sizing_.Plan(now, sizes, limit))
    StartMove(now, moves, contacts, outbox);
}

void FleetCoordinator::StartMove(
    Time now,
    const HostMoves& moves,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  // The owner of the target pool does not reach servers in these zones.
  std::vector<ZoneId> avoid;
  auto target = contacts.find(moves.to);
  if (target != contacts.end())
    avoid = target->second.heartbeat.silent_zones;
  std::vector<HostId> movable =
      FindMovableHosts(moves.from, moves.count, avoid, contacts);
  for (const HostId& host : movable) {
    HostOperation& operation = AddHostOperation(now, host);
    operation.kind = HostOperationKind::kMove;
    operation.target_pool = moves.to;
    outbox.LogDecision("host-move", {{"host", host.str()},
                                     {"from", moves.from.str()},
                                     {"to", moves.to.str()}});
  }
  auto started = static_cast<uint32_t>(movable.size());
  if (started < moves.count && IsStandby(moves.from))
    RedirectMoves(now, moves.to, moves.count - started, contacts, outbox);
}

void FleetCoordinator::RedirectMoves(
    Time now,
    const PoolId& to,
    uint32_t count,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  std::vector<HostId> staying_hosts;
  for (auto& [host, operation] : host_operations_) {
    if (count == 0)
      break;
    if (operation.kind != HostOperationKind::kMove ||
        operation.stage != Stage::kEmptying ||
        !IsStandby(operation.target_pool))
      continue;
    --count;
    outbox.LogDecision("host-move-redirected", {{"host", host.str()},
                                                {"from", operation.pool.str()},
                                                {"to", to.str()}});
    if (operation.pool == to)
      staying_hosts.push_back(host);
    else
      operation.target_pool = to;
  }
  for (const HostId& host : staying_hosts)
    Abandon(now, host, host_operations_.at(host), contacts, outbox);
}

uint32_t FleetCoordinator::CountHostsEmptyingFor(const PoolId& pool) const {
  return static_cast<uint32_t>(
      std::count_if(host_operations_.begin(), host_operations_.end(),
                    [&pool](const auto& entry) {
                      const HostOperation& operation = entry.second;
                      return operation.kind == HostOperationKind::kMove &&
                             operation.stage == Stage::kEmptying &&
                             operation.target_pool == pool;
                    }));
}

void FleetCoordinator::AdvanceHostOperation(
    Time now,
    const HostId& host,
    HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now < operation.next_try_at) {
    Wake(operation.next_try_at);
    return;
  }
  if (operation.stage == Stage::kCalling && operation.call_tag == 0) {
    auto listing = hosts_.find(host);
    if (listing != hosts_.end() &&
        listing->second.state == ListedHostState::kDown) {
      // The platform would refuse the call. An earlier call without an answer
      // was either carried out before the host went down or never will be.
      operation.next_try_at = now + kBusyHostRetry;
      return;
    }
    bool server_changed = listing != hosts_.end() &&
                          listing->second.state == ListedHostState::kUp &&
                          listing->second.server != operation.server;
    if (server_changed && operation.kind == HostOperationKind::kMove) {
      // The move was executed, or the host is in use again.
      RemoveRowLater(now, host);
      host_operations_.erase(host);
      return;
    }
    if (server_changed)
      FollowServer(host, listing->second, operation, outbox);
    if (!operation.call_may_be_executed &&
        !IsServerEmpty(now, operation, contacts)) {
      operation.next_try_at = now + kTickPeriod;
      return;
    }
    operation.call_may_be_executed = true;
    operation.next_try_at = now + kUnansweredCallRetry;
    HostRequest request = MoveHost{host, operation.target_pool};
    if (operation.kind == HostOperationKind::kMaintain)
      request = MaintainHost{host, operation.wave};
    operation.call_tag = outbox.CallHostApi(
        state_.token, std::move(request),
        chain_.renewed() + options_.bounds.host_operation_lease);
    return;
  }
  if (operation.stage != Stage::kEmptying)
    return;
  operation.next_try_at = now + kVacateRequestPeriod;
  if (IsStandby(operation.pool)) {
    if (WaveAllowsCall(host, operation))
      StoreHostOperation(now, host, operation);
    return;
  }
  RequestVacate(operation, false, contacts, outbox);
}

void FleetCoordinator::FollowServer(const HostId& host,
                                    const HostListing& listing,
                                    HostOperation& operation,
                                    Outbox& outbox) {
  outbox.LogDecision("host-server-changed",
                     {{"host", host.str()},
                      {"server", listing.server.str()},
                      {"emptied_server", operation.server.str()}});
  operation.server = listing.server;
  operation.pool = listing.pool;
  operation.reported_empty_by = 0;
  operation.call_may_be_executed = false;
}

bool FleetCoordinator::RequestVacate(
    const HostOperation& operation,
    bool withdraw,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  auto contact = contacts.find(operation.pool);
  if (contact == contacts.end())
    return false;
  outbox.SendToPeer(contact->second.node, contact->second.address,
                    VacateRequest{operation.pool, operation.server, withdraw});
  return true;
}

void FleetCoordinator::RepeatVacateRequest(
    Time now,
    HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now >= operation.next_vacate_request_at &&
      RequestVacate(operation, false, contacts, outbox))
    operation.next_vacate_request_at = now + kKeepEmptyPeriod;
}

bool FleetCoordinator::ShouldAbandon(
    Time now,
    const HostId& host,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  if (operation.stage != Stage::kEmptying)
    return false;
  bool is_move = operation.kind == HostOperationKind::kMove;
  if (now - operation.started_at >
      (is_move ? kMoveEmptyingLimit : kMaintenanceEmptyingLimit))
    return true;
  auto listing = hosts_.find(host);
  if (listing == hosts_.end() ||
      listing->second.state != ListedHostState::kUp ||
      listing->second.server != operation.server)
    return true;
  auto owner = contacts.find(operation.pool);
  auto wave = waves_.find(operation.wave);
  // Maintenance is postponed if the pool has become busy and the wave can wait.
  return !is_move && wave != waves_.end() && owner != contacts.end() &&
         owner->second.demand_share() >= kBusyPoolShare &&
         CanWait(now, wave->second);
}

void FleetCoordinator::Abandon(
    Time now,
    const HostId& host,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  RequestVacate(operation, true, contacts, outbox);
  auto wave = waves_.find(operation.wave);
  if (operation.kind == HostOperationKind::kMaintain && wave != waves_.end())
    wave->second.postponed_until[host] =
        now +
        (CanWait(now, wave->second) ? kPostponement : kLateWavePostponement);
  host_operations_.erase(host);
}

void FleetCoordinator::Tick(Time now,
                            const std::map<PoolId, PoolOwnerContact>& contacts,
                            Outbox& outbox) {
  next_wake_ = now + kTickPeriod;
  chain_.Tick(now, outbox);
  Wake(chain_.next_wake());
  if (!rows_loaded_ && scan_tag_ == 0 && now >= next_scan_at_) {
    next_scan_at_ = kTimeMax;
    SendRowScan(outbox);
  }
  if (!rows_loaded_ || lost() || released())
    return;
  ReportWaves(now, outbox);
  RemoveDueRows(now);
  bool lease_fresh =
      now - chain_.renewed() < options_.bounds.host_operation_lease / 2;
  if (!lease_fresh || chain_.release_sent() || hosts_.empty())
    return;
  StartMaintenance(now, contacts, outbox);
  StartMoves(now, contacts, outbox);
  std::vector<HostId> ids;
  for (const auto& [host, operation] : host_operations_)
    ids.push_back(host);
  for (const HostId& host : ids) {
    HostOperation& operation = host_operations_.at(host);
    if (ShouldAbandon(now, host, operation, contacts)) {
      Abandon(now, host, operation, contacts, outbox);
      continue;
    }
    if (operation.stage != Stage::kEmptying &&
        operation.stage != Stage::kReturning)
      RepeatVacateRequest(now, operation, contacts, outbox);
    AdvanceHostOperation(now, host, operation, contacts, outbox);
  }
  chain_.Tick(now, outbox);
}

}  // namespace radishmoor
