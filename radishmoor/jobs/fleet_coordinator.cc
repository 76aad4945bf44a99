#include "radishmoor/jobs/fleet_coordinator.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishmoor {
namespace {

// Rows in one answer of the store.
constexpr uint32_t kLoadPage = 500;
constexpr Duration kTickPeriod = Milliseconds(100);
constexpr Duration kVacateRepeat = Milliseconds(250);
// A host that cannot be emptied in this time makes room for others.
constexpr Duration kEmptyingLimit = Seconds(9);
// Rows of calls that are over are kept longer than two holders of a host's
// operations have to be apart, by the time of an answer.
constexpr Duration kOldRowMargin = Seconds(2);
constexpr Duration kSetAside = Seconds(3);
// While a call is under way, so that a new owner learns of it as well.
constexpr Duration kKeepEmptyPeriod = Milliseconds(200);
// An owner's word that a server is empty is used for this long.
constexpr Duration kEmptyValid = Milliseconds(500);
constexpr Duration kCallRepeat = Milliseconds(400);
constexpr Duration kThrottledRepeat = Milliseconds(150);
constexpr Duration kBusyRepeat = Milliseconds(500);
constexpr Duration kReportRepeat = Milliseconds(500);
// A host that is not in the list for this long has left the fleet.
constexpr Duration kGoneAfter = Seconds(4);
// A host that cannot be emptied in this time stays in its pool.
constexpr Duration kMovePatience = Milliseconds(2500);
constexpr Duration kSizingPeriod = Milliseconds(100);
// Of the rate at which the platform takes calls; waves need the rest.
constexpr double kMoveShare = 0.8;
// Pools with a larger share of their cores in use are spared by waves that have
// time. A round of maintenance takes about kRoundTime.
constexpr double kBusyPool = 0.5;
constexpr Duration kRoundTime = Milliseconds(3500);
constexpr Duration kWaveMargin = Seconds(9);
// Hosts that are emptied ahead of their turn, beyond those that may be down.
constexpr uint32_t kEmptiedAhead = 1;

}  // namespace

FleetCoordinator::FleetCoordinator(const FleetCoordinatorOptions& options,
                                   const PeakForecast& forecast,
                                   Outbox& outbox)
    : options_(options),
      state_(PoolId(kFleetPseudoPool), options.bounds),
      chain_(state_,
             {options.node, options.address, options.lease_version, kTimeZero}),
      sizing_(options.first_owner, forecast) {
  state_.token = options.token;
  chain_.set_renewed(options.lease_taken);
  SendLoad(outbox);
}

void FleetCoordinator::SendLoad(Outbox& outbox) {
  ScanRows scan;
  scan.prefix = HostOperationKey(state_.pool, HostId());
  scan.after = load_after_;
  scan.limit = kLoadPage;
  load_tag_ = outbox.CallStore(std::move(scan));
}

void FleetCoordinator::OnLoadRow(const Row& row) {
  std::optional<HostOperationRow> stored = DecodeHostOperation(row.value);
  if (!stored) {
    ++state_.counters.unreadable_rows;
    return;
  }
  if (stored->kind == HostOperationKind::kMaintained) {
    stored_done_[stored->host].insert(stored->wave);
    return;
  }
  // What an earlier coordinator intended is decided anew: its server may be in
  // use again. If its call was carried out, a repeated one has no effect.
  called_before_.insert(stored->host);
  RetireRow(options_.lease_taken, stored->host);
}

bool FleetCoordinator::MayCallFor(Time now, const HostId& host) const {
  return now - options_.lease_taken > options_.bounds.host_operation_lease ||
         !called_before_.contains(host);
}

void FleetCoordinator::RemoveOldRows(Time now) {
  Duration kept = options_.bounds.host_operation_lease + kOldRowMargin;
  while (!old_rows_.empty() && now - old_rows_.front().first > kept) {
    const HostId& host = old_rows_.front().second;
    auto operation = host_operations_.find(host);
    bool in_use = operation != host_operations_.end() &&
                  operation->second.stage != Stage::kEmptying;
    if (!in_use)
      RemoveRow(host);
    old_rows_.pop_front();
  }
}

void FleetCoordinator::OnWaves(std::span<const ObservedWave> waves,
                               Outbox& outbox) {
  for (const ObservedWave& known : waves) {
    const MaintenanceWave& plan = known.plan;
    auto [it, inserted] = waves_.try_emplace(plan.number);
    Wave& wave = it->second;
    wave.plan = plan;
    if (!inserted)
      continue;
    wave.first_seen_at = known.first_seen_at;
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

uint32_t FleetCoordinator::DownCount(uint64_t wave) const {
  uint32_t down = 0;
  for (const auto& [host, operation] : host_operations_) {
    if (operation.kind == HostOperationKind::kMaintain &&
        operation.wave == wave && operation.stage != Stage::kEmptying)
      ++down;
  }
  // A call of an earlier coordinator may have put others down.
  for (const auto& [host, listing] : hosts_) {
    if (listing.state == ListedHostState::kMaintenance &&
        !host_operations_.contains(host))
      ++down;
  }
  return down;
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
      it->second.next_try = now;
    }
    return true;
  }
  if (load_tag_ != 0 && answer.tag == load_tag_) {
    load_tag_ = 0;
    const auto* rows = std::get_if<RowsReply>(&answer.reply);
    if (rows == nullptr) {
      load_retry_ = now + kVacateRepeat;
      return true;
    }
    for (const Row& row : rows->rows)
      OnLoadRow(row);
    loaded_ = !rows->more || rows->rows.empty();
    if (!loaded_) {
      load_after_ = rows->rows.back().key;
      load_retry_ = now;
    }
    return true;
  }
  for (auto& [number, wave] : waves_) {
    if (wave.report_tag == 0 || answer.tag != wave.report_tag)
      continue;
    wave.report_tag = 0;
    if (!std::holds_alternative<CommittedReply>(answer.reply)) {
      wave.next_report = now + kReportRepeat;
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
    OnCallReply(now, id, operation, reply.outcome, out);
    return true;
  }
  return false;
}

bool FleetCoordinator::wants_hosts() const {
  return loaded_;
}

void FleetCoordinator::OnHosts(Time sent,
                               std::span<const HostListing> hosts,
                               Outbox& outbox) {
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
  std::vector<HostId> back;
  for (auto& [id, operation] : host_operations_) {
    auto it = hosts_.find(id);
    if (operation.stage != Stage::kReturning || it == hosts_.end())
      continue;
    // The list shows the maintenance from the answer to the call on.
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

void FleetCoordinator::OnCallReply(Time now,
                                   const HostId& host,
                                   HostOperation& operation,
                                   HostOutcome outcome,
                                   Outbox& outbox) {
  outbox.LogDecision(
      "host-call",
      {{"host", host.str()},
       {"wave", static_cast<int64_t>(operation.wave)},
       {"outcome", static_cast<int64_t>(outcome)},
       {"emptied_ms", WholeMilliseconds(now - operation.started)}});
  switch (outcome) {
    case HostOutcome::kDone:
      if (operation.kind == HostOperationKind::kMaintain) {
        MarkMaintained(now, host, operation, outbox);
        return;
      }
      operation.stage = Stage::kReturning;
      operation.stage_since = now;
      RetireRow(now, host);
      return;
    case HostOutcome::kFenced:
      fenced_ = true;
      return;
    case HostOutcome::kBusy:
      operation.next_try = now + kBusyRepeat;
      if (operation.kind == HostOperationKind::kMaintain)
        return;
      // The host is not up: the move is not worth waiting for.
      RetireRow(now, host);
      host_operations_.erase(host);
      return;
    case HostOutcome::kWrongWave:
    case HostOutcome::kRefused: {
      auto wave = waves_.find(operation.wave);
      if (operation.kind == HostOperationKind::kMaintain &&
          wave != waves_.end())
        wave->second.done.insert(host);
      RetireRow(now, host);
      host_operations_.erase(host);
      return;
    }
    case HostOutcome::kThrottled:
      // Nothing was done: the server must still be empty at the next call.
      operation.called = false;
      operation.next_try = now + kThrottledRepeat;
      return;
    case HostOutcome::kUnanswered:
      operation.next_try = now + kCallRepeat;
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
  RetireRow(now, host);
  chain_.Write({MaintainedKey(state_.pool, host, operation.wave),
                EncodeHostOperation(row)});
  auto it = waves_.find(operation.wave);
  if (it == waves_.end())
    return;
  it->second.done.insert(host);
  CheckCompleted(now, it->second, outbox);
}

void FleetCoordinator::CheckCompleted(Time now, Wave& wave, Outbox& outbox) {
  if (wave.completed)
    return;
  for (const HostId& host : wave.plan.hosts) {
    if (wave.done.contains(host))
      continue;
    auto missing = wave.missing.find(host);
    if (missing == wave.missing.end() || now - missing->second < kGoneAfter)
      return;
  }
  wave.completed = true;
  wave.next_report = now;
  outbox.LogDecision(
      "wave-completed",
      {{"wave", static_cast<int64_t>(wave.plan.number)},
       {"took_ms", WholeMilliseconds(now - wave.first_seen_at)}});
}

void FleetCoordinator::OnVacateAnswer(Time now, const VacateAnswer& answer) {
  for (auto& [host, operation] : host_operations_) {
    bool waits =
        operation.stage != Stage::kReturning && operation.call_tag == 0;
    if (operation.server != answer.server || !waits)
      continue;
    if (answer.state != VacateState::kEmpty) {
      // A new owner of the pool may have used the server again.
      operation.empty_token = 0;
      return;
    }
    operation.empty_token = answer.token;
    operation.empty_at = now;
    if (operation.stage == Stage::kEmptying && MayCall(operation))
      StoreHostOperation(now, host, operation);
    return;
  }
}

bool FleetCoordinator::IsEmpty(
    Time now,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  if (IsStandby(operation.pool))
    return true;
  auto contact = contacts.find(operation.pool);
  return contact != contacts.end() &&
         contact->second.heartbeat.token == operation.empty_token &&
         now - operation.empty_at < kEmptyValid;
}

void FleetCoordinator::StoreHostOperation(Time now,
                                          const HostId& host,
                                          HostOperation& operation) {
  operation.stage = Stage::kStoring;
  operation.stage_since = now;
  PoolId pool = operation.kind == HostOperationKind::kMove ? operation.target
                                                           : operation.pool;
  HostOperationRow row{host, operation.kind, pool, operation.wave,
                       operation.server};
  chain_.Write({HostOperationKey(state_.pool, host), EncodeHostOperation(row)});
}

bool FleetCoordinator::MayCall(const HostOperation& operation) const {
  if (operation.kind != HostOperationKind::kMaintain)
    return true;
  auto wave = waves_.find(operation.wave);
  return wave != waves_.end() &&
         DownCount(operation.wave) <
             std::max(1u, wave->second.plan.max_at_once);
}

void FleetCoordinator::ReportWaves(Time now, Outbox& outbox) {
  for (auto& [number, wave] : waves_) {
    bool due = wave.completed ? !wave.reported_end : !wave.reported_start;
    if (!due || wave.report_tag != 0)
      continue;
    if (now < wave.next_report) {
      Wake(wave.next_report);
      continue;
    }
    wave.report_tag = outbox.SendWaveReport(number, wave.completed);
  }
}

void FleetCoordinator::StartHostOperations(
    Time now,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  for (auto& [number, wave] : waves_) {
    if (wave.completed)
      continue;
    uint32_t open = 0;
    for (const auto& [host, operation] : host_operations_) {
      if (operation.kind == HostOperationKind::kMaintain &&
          operation.wave == number)
        ++open;
    }
    using Choice = std::tuple<double, HostId>;
    std::vector<Choice> choices;
    for (const HostId& host : wave.plan.hosts) {
      auto stored = stored_done_.find(host);
      if (stored != stored_done_.end() && stored->second.contains(number))
        wave.done.insert(host);
      auto listing = hosts_.find(host);
      if (listing == hosts_.end()) {
        wave.missing.try_emplace(host, now);
        continue;
      }
      wave.missing.erase(host);
      auto aside = wave.set_aside.find(host);
      if (wave.done.contains(host) || host_operations_.contains(host) ||
          !MayCallFor(now, host) ||
          listing->second.state != ListedHostState::kUp ||
          (aside != wave.set_aside.end() && now < aside->second))
        continue;
      auto contact = contacts.find(listing->second.pool);
      bool standby = IsStandby(listing->second.pool);
      if (!standby && contact == contacts.end())
        continue;
      double share = standby ? -1.0 : contact->second.demand_share();
      if (share < kBusyPool || !HasTime(now, wave))
        choices.emplace_back(share, host);
    }
    CheckCompleted(now, wave, outbox);
    std::sort(choices.begin(), choices.end());
    uint32_t limit = std::max(1u, wave.plan.max_at_once) + kEmptiedAhead;
    for (const auto& [share, host] : choices) {
      if (open >= limit)
        break;
      HostOperation& operation = AddHostOperation(now, host);
      operation.wave = number;
      ++open;
      outbox.LogDecision("host-chosen", {{"host", host.str()},
                                         {"wave", static_cast<int64_t>(number)},
                                         {"pool", operation.pool.str()},
                                         {"demand_percent",
                                          static_cast<int64_t>(share * 100)}});
    }
  }
}

FleetCoordinator::HostOperation& FleetCoordinator::AddHostOperation(
    Time now,
    const HostId& host) {
  const HostListing& listing = hosts_.at(host);
  HostOperation& operation = host_operations_[host];
  operation = HostOperation{};
  operation.pool = listing.pool;
  operation.server = listing.server;
  operation.stage_since = operation.started = operation.next_try = now;
  return operation;
}

bool FleetCoordinator::HasTime(Time now, const Wave& wave) const {
  size_t left = wave.plan.hosts.size() - wave.done.size();
  size_t rounds = left / std::max(1u, wave.plan.max_at_once) + 1;
  Duration needed = kRoundTime * static_cast<int64_t>(rounds) + kWaveMargin;
  return now + needed < wave.first_seen_at + wave.plan.length;
}

std::vector<PoolSizingInput> FleetCoordinator::Sizes(
    Time now,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  std::vector<PoolSizingInput> sizes;
  for (const PoolConfig& config : config_.pools) {
    PoolSizingInput size;
    size.pool = config.id;
    size.standby = config.standby;
    auto contact = contacts.find(config.id);
    size.figures_recent = contact != contacts.end();
    for (const auto& [id, host] : hosts_) {
      auto operation = host_operations_.find(id);
      bool moves = operation != host_operations_.end() &&
                   operation->second.kind == HostOperationKind::kMove;
      const PoolId& pool = moves && operation->second.stage != Stage::kEmptying
                               ? operation->second.target
                               : host.pool;
      if (pool != config.id || host.state == ListedHostState::kDown)
        continue;
      ++size.hosts;
      size.cores_per_host =
          static_cast<double>(host.capacity.cpu_millis) / 1000;
      size.leaving_hosts +=
          moves && operation->second.stage == Stage::kEmptying ? 1 : 0;
    }
    if (size.figures_recent) {
      size.demand_cores = contact->second.heartbeat.demand_cores;
      size.offered_cores = contact->second.heartbeat.offered_cores;
      size.silent_hosts = contact->second.heartbeat.silent_servers;
      size.min_hosts = contact->second.heartbeat.min_servers;
    }
    size.spare_hosts = static_cast<uint32_t>(
        Movable(now, config.id, UINT32_MAX, {}, contacts).size());
    uint32_t emptying = EmptyingFor(config.id);
    if (config.standby)
      size.spare_hosts += emptying;
    else
      size.arriving_hosts = emptying;
    sizes.push_back(size);
  }
  return sizes;
}

std::vector<HostId> FleetCoordinator::Movable(
    Time now,
    const PoolId& pool,
    uint32_t count,
    std::span<const ZoneId> avoid,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  std::vector<HostId> movable;
  auto usable = [this, now, avoid](const HostId& id, const HostListing& host) {
    bool avoided =
        std::find(avoid.begin(), avoid.end(), host.zone) != avoid.end();
    return host.state == ListedHostState::kUp &&
           !host_operations_.contains(id) && !avoided && MayCallFor(now, id);
  };
  if (IsStandby(pool)) {
    for (const auto& [id, host] : hosts_) {
      if (movable.size() < count && host.pool == pool && usable(id, host))
        movable.push_back(id);
    }
    return movable;
  }
  auto contact = contacts.find(pool);
  if (contact == contacts.end())
    return movable;
  for (const ServerId& server : contact->second.heartbeat.spare_servers) {
    for (const auto& [id, host] : hosts_) {
      if (movable.size() < count && host.server == server &&
          host.pool == pool && usable(id, host))
        movable.push_back(id);
    }
  }
  return movable;
}

void FleetCoordinator::StartMoves(
    Time now,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now < next_sizing_) {
    Wake(next_sizing_);
    return;
  }
  next_sizing_ = now + kSizingPeriod;
  std::vector<PoolSizingInput> sizes = Sizes(now, contacts);
  auto limit = static_cast<uint32_t>(
      kMoveShare * options_.bounds.max_host_operations_per_second *
      ToSeconds(kSizingPeriod));
  for (const HostMoves& moves : sizing_.Plan(now, sizes, limit))
    StartMove(now, moves, contacts, outbox);
}

void FleetCoordinator::StartMove(
    Time now,
    const HostMoves& moves,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  // The owner of the pool would not reach servers in these zones.
  std::vector<ZoneId> avoid;
  auto target = contacts.find(moves.to);
  if (target != contacts.end())
    avoid = target->second.heartbeat.silent_zones;
  std::vector<HostId> movable =
      Movable(now, moves.from, moves.count, avoid, contacts);
  for (const HostId& host : movable) {
    HostOperation& operation = AddHostOperation(now, host);
    operation.kind = HostOperationKind::kMove;
    operation.target = moves.to;
    outbox.LogDecision("host-move", {{"host", host.str()},
                                     {"from", moves.from.str()},
                                     {"to", moves.to.str()}});
  }
  auto begun = static_cast<uint32_t>(movable.size());
  if (begun < moves.count && IsStandby(moves.from))
    RedirectMoves(now, moves.to, moves.count - begun, contacts, outbox);
}

void FleetCoordinator::RedirectMoves(
    Time now,
    const PoolId& to,
    uint32_t count,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  std::vector<HostId> staying;
  for (auto& [host, operation] : host_operations_) {
    if (count == 0)
      break;
    if (operation.kind != HostOperationKind::kMove ||
        operation.stage != Stage::kEmptying || !IsStandby(operation.target))
      continue;
    --count;
    outbox.LogDecision("host-move-redirected", {{"host", host.str()},
                                                {"from", operation.pool.str()},
                                                {"to", to.str()}});
    if (operation.pool == to)
      staying.push_back(host);
    else
      operation.target = to;
  }
  for (const HostId& host : staying)
    GiveUp(now, host, host_operations_.at(host), contacts, outbox);
}

uint32_t FleetCoordinator::EmptyingFor(const PoolId& pool) const {
  return static_cast<uint32_t>(std::count_if(
      host_operations_.begin(), host_operations_.end(),
      [&pool](const auto& entry) {
        const HostOperation& operation = entry.second;
        return operation.kind == HostOperationKind::kMove &&
               operation.stage == Stage::kEmptying && operation.target == pool;
      }));
}

void FleetCoordinator::AdvanceHostOperation(
    Time now,
    const HostId& host,
    HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now < operation.next_try) {
    Wake(operation.next_try);
    return;
  }
  if (operation.stage == Stage::kCalling && operation.call_tag == 0) {
    auto listing = hosts_.find(host);
    if (listing != hosts_.end() &&
        listing->second.state == ListedHostState::kDown) {
      // The platform would refuse the call; one that was lost was carried out
      // before the host went down, or never is.
      operation.next_try = now + kBusyRepeat;
      return;
    }
    if (!operation.called && !IsEmpty(now, operation, contacts)) {
      operation.next_try = now + kTickPeriod;
      return;
    }
    operation.called = true;
    operation.next_try = now + kCallRepeat;
    if (operation.kind == HostOperationKind::kMaintain)
      operation.call_tag =
          outbox.CallHostApi(state_.token, MaintainHost{host, operation.wave});
    else
      operation.call_tag =
          outbox.CallHostApi(state_.token, MoveHost{host, operation.target});
    return;
  }
  if (operation.stage != Stage::kEmptying)
    return;
  operation.next_try = now + kVacateRepeat;
  if (IsStandby(operation.pool)) {
    if (MayCall(operation))
      StoreHostOperation(now, host, operation);
    return;
  }
  RequestVacate(operation, false, contacts, outbox);
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

void FleetCoordinator::KeepEmpty(
    Time now,
    HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  if (now >= operation.next_request &&
      RequestVacate(operation, false, contacts, outbox))
    operation.next_request = now + kKeepEmptyPeriod;
}

bool FleetCoordinator::MustGiveUp(
    Time now,
    const HostId& host,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts) const {
  if (operation.stage != Stage::kEmptying)
    return false;
  bool moves = operation.kind == HostOperationKind::kMove;
  if (now - operation.started > (moves ? kMovePatience : kEmptyingLimit))
    return true;
  auto listing = hosts_.find(host);
  if (listing == hosts_.end() ||
      listing->second.state != ListedHostState::kUp ||
      listing->second.server != operation.server)
    return true;
  auto owner = contacts.find(operation.pool);
  auto wave = waves_.find(operation.wave);
  // The pool got busy, and the wave can wait.
  return !moves && wave != waves_.end() && owner != contacts.end() &&
         owner->second.demand_share() >= kBusyPool &&
         HasTime(now, wave->second);
}

void FleetCoordinator::GiveUp(
    Time now,
    const HostId& host,
    const HostOperation& operation,
    const std::map<PoolId, PoolOwnerContact>& contacts,
    Outbox& outbox) {
  RequestVacate(operation, true, contacts, outbox);
  auto wave = waves_.find(operation.wave);
  if (operation.kind == HostOperationKind::kMaintain && wave != waves_.end())
    wave->second.set_aside[host] = now + kSetAside;
  host_operations_.erase(host);
}

void FleetCoordinator::Tick(Time now,
                            const std::map<PoolId, PoolOwnerContact>& contacts,
                            Outbox& outbox) {
  next_wake_ = now + kTickPeriod;
  chain_.Tick(now, outbox);
  Wake(chain_.next_wake());
  if (!loaded_ && load_tag_ == 0 && now >= load_retry_) {
    load_retry_ = kTimeMax;
    SendLoad(outbox);
  }
  if (!loaded_ || lost() || released())
    return;
  ReportWaves(now, outbox);
  RemoveOldRows(now);
  bool lease_fresh =
      now - chain_.renewed() < options_.bounds.host_operation_lease / 2;
  if (!lease_fresh || hosts_.empty())
    return;
  StartHostOperations(now, contacts, outbox);
  StartMoves(now, contacts, outbox);
  std::vector<HostId> ids;
  for (const auto& [host, operation] : host_operations_)
    ids.push_back(host);
  for (const HostId& host : ids) {
    HostOperation& operation = host_operations_.at(host);
    if (MustGiveUp(now, host, operation, contacts)) {
      GiveUp(now, host, operation, contacts, outbox);
      continue;
    }
    if (operation.stage != Stage::kEmptying &&
        operation.stage != Stage::kReturning)
      KeepEmpty(now, operation, contacts, outbox);
    AdvanceHostOperation(now, host, operation, contacts, outbox);
  }
  chain_.Tick(now, outbox);
}

}  // namespace radishmoor
