#include "radishmoor/jobs/fleet_keeper.h"

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
// duties have to be apart, by the time of an answer.
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

FleetKeeper::FleetKeeper(const FleetKeeperOptions& options,
                         const TurnForecast& forecast,
                         Outbox& outbox)
    : options_(options),
      state_(PoolId(kFleetPool), options.bounds),
      chain_(state_,
             {options.node, options.address, options.lease_version, kTimeZero}),
      sizing_(options.first_owner, forecast) {
  state_.token = options.token;
  chain_.set_renewed(options.lease_taken);
  SendLoad(outbox);
}

void FleetKeeper::SendLoad(Outbox& outbox) {
  ScanRows scan;
  scan.prefix = DutyKey(state_.pool, HostId());
  scan.after = load_after_;
  scan.limit = kLoadPage;
  load_tag_ = outbox.Store(std::move(scan));
}

void FleetKeeper::OnLoadRow(const Row& row) {
  std::optional<DutyRow> stored = DecodeDuty(row.value);
  if (!stored) {
    ++state_.counters.unreadable_rows;
    return;
  }
  if (stored->kind == DutyKind::kMaintained) {
    stored_done_[stored->host].insert(stored->wave);
    return;
  }
  // What an earlier keeper intended is decided anew: its server may be in use
  // again. If its call was carried out, a repeated one has no effect.
  called_before_.insert(stored->host);
  RetireRow(options_.lease_taken, stored->host);
}

bool FleetKeeper::MayCallFor(Time now, const HostId& host) const {
  return now - options_.lease_taken > options_.bounds.duty_lease ||
         !called_before_.contains(host);
}

void FleetKeeper::RemoveOldRows(Time now) {
  Duration kept = options_.bounds.duty_lease + kOldRowMargin;
  while (!old_rows_.empty() && now - old_rows_.front().first > kept) {
    const HostId& host = old_rows_.front().second;
    auto duty = duties_.find(host);
    bool in_use =
        duty != duties_.end() && duty->second.stage != Stage::kEmptying;
    if (!in_use)
      RemoveRow(host);
    old_rows_.pop_front();
  }
}

void FleetKeeper::OnWaves(std::span<const KnownWave> waves, Outbox& outbox) {
  for (const KnownWave& known : waves) {
    const MaintenanceWave& plan = known.plan;
    auto [it, inserted] = waves_.try_emplace(plan.number);
    Wave& wave = it->second;
    wave.plan = plan;
    if (!inserted)
      continue;
    wave.seen = known.seen;
    outbox.Log("wave-seen",
               {{"wave", static_cast<int64_t>(plan.number)},
                {"hosts", static_cast<int64_t>(plan.hosts.size())},
                {"at_once", static_cast<int64_t>(plan.max_at_once)},
                {"length_ms", WholeMilliseconds(plan.length)}});
  }
}

bool FleetKeeper::IsStandby(const PoolId& pool) const {
  const PoolConfig* config = config_.FindPool(pool);
  return config != nullptr && config->standby;
}

bool FleetKeeper::HasOpenWave() const {
  return std::any_of(waves_.begin(), waves_.end(),
                     [](const auto& entry) { return !entry.second.completed; });
}

uint32_t FleetKeeper::DownCount(uint64_t wave) const {
  uint32_t down = 0;
  for (const auto& [host, duty] : duties_) {
    if (duty.kind == DutyKind::kMaintain && duty.wave == wave &&
        duty.stage != Stage::kEmptying)
      ++down;
  }
  // A call of an earlier keeper may have put others down.
  for (const auto& [host, listing] : hosts_) {
    if (listing.state == ListedHostState::kMaintenance &&
        !duties_.contains(host))
      ++down;
  }
  return down;
}

bool FleetKeeper::OnStoreAnswer(Time now, const StoreAnswer& answer) {
  CommitChain::Stored stored;
  if (chain_.OnAnswer(now, answer, &stored)) {
    for (const std::string& key : stored.rows) {
      auto it = duties_.find(HostId(KeyName(key)));
      if (it == duties_.end() || it->second.stage != Stage::kStoring)
        continue;
      it->second.stage = Stage::kCalling;
      it->second.since = now;
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

bool FleetKeeper::OnHostReply(Time now, const HostReply& reply, Outbox& out) {
  for (auto& [host, duty] : duties_) {
    if (duty.call_tag == 0 || duty.call_tag != reply.tag)
      continue;
    duty.call_tag = 0;
    HostId id = host;
    OnCallReply(now, id, duty, reply.outcome, out);
    return true;
  }
  return false;
}

bool FleetKeeper::wants_hosts() const {
  return loaded_;
}

void FleetKeeper::OnHosts(Time sent,
                          std::span<const HostListing> hosts,
                          Outbox& outbox) {
  std::map<HostId, HostListing> before = std::exchange(hosts_, {});
  for (const HostListing& host : hosts) {
    auto old = before.find(host.host);
    if (old != before.end() && (old->second.state != host.state ||
                                old->second.server != host.server)) {
      outbox.Log("host-changed", {{"host", host.host.str()},
                                  {"pool", host.pool.str()},
                                  {"state", static_cast<int64_t>(host.state)},
                                  {"server", host.server.str()}});
    }
    hosts_[host.host] = host;
  }
  std::vector<HostId> back;
  for (auto& [id, duty] : duties_) {
    auto it = hosts_.find(id);
    if (duty.stage != Stage::kReturning || it == hosts_.end())
      continue;
    // The list shows the maintenance from the answer to the call on.
    bool away = it->second.state == ListedHostState::kMaintenance ||
                it->second.state == ListedHostState::kMoving;
    if (sent > duty.since && !away)
      back.push_back(id);
  }
  for (const HostId& id : back) {
    outbox.Log("host-back", {{"host", id.str()}});
    duties_.erase(id);
  }
}

void FleetKeeper::OnCallReply(Time now,
                              const HostId& host,
                              Duty& duty,
                              HostOutcome outcome,
                              Outbox& outbox) {
  outbox.Log("host-call",
             {{"host", host.str()},
              {"wave", static_cast<int64_t>(duty.wave)},
              {"outcome", static_cast<int64_t>(outcome)},
              {"emptied_ms", WholeMilliseconds(now - duty.started)}});
  switch (outcome) {
    case HostOutcome::kDone:
      if (duty.kind == DutyKind::kMaintain) {
        MarkMaintained(now, host, duty, outbox);
        return;
      }
      duty.stage = Stage::kReturning;
      duty.since = now;
      RetireRow(now, host);
      return;
    case HostOutcome::kFenced:
      fenced_ = true;
      return;
    case HostOutcome::kBusy:
      duty.next_try = now + kBusyRepeat;
      if (duty.kind == DutyKind::kMaintain)
        return;
      // The host is not up: the move is not worth waiting for.
      RetireRow(now, host);
      duties_.erase(host);
      return;
    case HostOutcome::kWrongWave:
    case HostOutcome::kRefused: {
      auto wave = waves_.find(duty.wave);
      if (duty.kind == DutyKind::kMaintain && wave != waves_.end())
        wave->second.done.insert(host);
      RetireRow(now, host);
      duties_.erase(host);
      return;
    }
    case HostOutcome::kThrottled:
      // Nothing was done: the server must still be empty at the next call.
      duty.called = false;
      duty.next_try = now + kThrottledRepeat;
      return;
    case HostOutcome::kUnanswered:
      duty.next_try = now + kCallRepeat;
      return;
  }
}

void FleetKeeper::MarkMaintained(Time now,
                                 const HostId& host,
                                 Duty& duty,
                                 Outbox& outbox) {
  duty.stage = Stage::kReturning;
  duty.since = now;
  DutyRow row{host, DutyKind::kMaintained, duty.pool, duty.wave, duty.server};
  RetireRow(now, host);
  chain_.Write({MaintainedKey(state_.pool, host, duty.wave), EncodeDuty(row)});
  auto it = waves_.find(duty.wave);
  if (it == waves_.end())
    return;
  it->second.done.insert(host);
  CheckCompleted(now, it->second, outbox);
}

void FleetKeeper::CheckCompleted(Time now, Wave& wave, Outbox& outbox) {
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
  outbox.Log("wave-completed",
             {{"wave", static_cast<int64_t>(wave.plan.number)},
              {"took_ms", WholeMilliseconds(now - wave.seen)}});
}

void FleetKeeper::OnVacateAnswer(Time now, const VacateAnswer& answer) {
  for (auto& [host, duty] : duties_) {
    bool waits = duty.stage != Stage::kReturning && duty.call_tag == 0;
    if (duty.server != answer.server || !waits)
      continue;
    if (answer.state != VacateState::kEmpty) {
      // A new owner of the pool may have used the server again.
      duty.empty_token = 0;
      return;
    }
    duty.empty_token = answer.token;
    duty.empty_at = now;
    if (duty.stage == Stage::kEmptying && MayCall(duty))
      StoreDuty(now, host, duty);
    return;
  }
}

bool FleetKeeper::IsEmpty(Time now,
                          const Duty& duty,
                          const std::map<PoolId, PoolContact>& contacts) const {
  if (IsStandby(duty.pool))
    return true;
  auto contact = contacts.find(duty.pool);
  return contact != contacts.end() &&
         contact->second.beat.token == duty.empty_token &&
         now - duty.empty_at < kEmptyValid;
}

void FleetKeeper::StoreDuty(Time now, const HostId& host, Duty& duty) {
  duty.stage = Stage::kStoring;
  duty.since = now;
  PoolId pool = duty.kind == DutyKind::kMove ? duty.target : duty.pool;
  DutyRow row{host, duty.kind, pool, duty.wave, duty.server};
  chain_.Write({DutyKey(state_.pool, host), EncodeDuty(row)});
}

bool FleetKeeper::MayCall(const Duty& duty) const {
  if (duty.kind != DutyKind::kMaintain)
    return true;
  auto wave = waves_.find(duty.wave);
  return wave != waves_.end() &&
         DownCount(duty.wave) < std::max(1u, wave->second.plan.max_at_once);
}

void FleetKeeper::ReportWaves(Time now, Outbox& outbox) {
  for (auto& [number, wave] : waves_) {
    bool due = wave.completed ? !wave.reported_end : !wave.reported_start;
    if (!due || wave.report_tag != 0)
      continue;
    if (now < wave.next_report) {
      Wake(wave.next_report);
      continue;
    }
    wave.report_tag = outbox.Report(number, wave.completed);
  }
}

void FleetKeeper::StartDuties(Time now,
                              const std::map<PoolId, PoolContact>& contacts,
                              Outbox& outbox) {
  for (auto& [number, wave] : waves_) {
    if (wave.completed)
      continue;
    uint32_t open = 0;
    for (const auto& [host, duty] : duties_) {
      if (duty.kind == DutyKind::kMaintain && duty.wave == number)
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
      if (wave.done.contains(host) || duties_.contains(host) ||
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
      Duty& duty = AddDuty(now, host);
      duty.wave = number;
      ++open;
      outbox.Log("host-chosen",
                 {{"host", host.str()},
                  {"wave", static_cast<int64_t>(number)},
                  {"pool", duty.pool.str()},
                  {"demand_percent", static_cast<int64_t>(share * 100)}});
    }
  }
}

FleetKeeper::Duty& FleetKeeper::AddDuty(Time now, const HostId& host) {
  const HostListing& listing = hosts_.at(host);
  Duty& duty = duties_[host];
  duty = Duty{};
  duty.pool = listing.pool;
  duty.server = listing.server;
  duty.since = duty.started = duty.next_try = now;
  return duty;
}

bool FleetKeeper::HasTime(Time now, const Wave& wave) const {
  size_t left = wave.plan.hosts.size() - wave.done.size();
  size_t rounds = left / std::max(1u, wave.plan.max_at_once) + 1;
  Duration needed = kRoundTime * static_cast<int64_t>(rounds) + kWaveMargin;
  return now + needed < wave.seen + wave.plan.length;
}

std::vector<PoolSize> FleetKeeper::Sizes(
    Time now,
    const std::map<PoolId, PoolContact>& contacts) const {
  std::vector<PoolSize> sizes;
  for (const PoolConfig& config : config_.pools) {
    PoolSize size;
    size.pool = config.id;
    size.standby = config.standby;
    auto contact = contacts.find(config.id);
    size.known = contact != contacts.end();
    for (const auto& [id, host] : hosts_) {
      auto duty = duties_.find(id);
      bool moves =
          duty != duties_.end() && duty->second.kind == DutyKind::kMove;
      const PoolId& pool = moves && duty->second.stage != Stage::kEmptying
                               ? duty->second.target
                               : host.pool;
      if (pool != config.id || host.state == ListedHostState::kDown)
        continue;
      ++size.hosts;
      size.cores_per_host =
          static_cast<double>(host.capacity.cpu_millis) / 1000;
      size.leaving += moves && duty->second.stage == Stage::kEmptying ? 1 : 0;
    }
    if (size.known) {
      size.demand_cores = contact->second.beat.demand_cores;
      size.offered_cores = contact->second.beat.offered_cores;
      size.silent = contact->second.beat.silent_servers;
      size.min_hosts = contact->second.beat.min_servers;
    }
    size.spare_hosts = static_cast<uint32_t>(
        Movable(now, config.id, UINT32_MAX, {}, contacts).size());
    uint32_t emptying = EmptyingFor(config.id);
    if (config.standby)
      size.spare_hosts += emptying;
    else
      size.arriving = emptying;
    sizes.push_back(size);
  }
  return sizes;
}

std::vector<HostId> FleetKeeper::Movable(
    Time now,
    const PoolId& pool,
    uint32_t count,
    std::span<const ZoneId> avoid,
    const std::map<PoolId, PoolContact>& contacts) const {
  std::vector<HostId> movable;
  auto usable = [this, now, avoid](const HostId& id, const HostListing& host) {
    bool avoided =
        std::find(avoid.begin(), avoid.end(), host.zone) != avoid.end();
    return host.state == ListedHostState::kUp && !duties_.contains(id) &&
           !avoided && MayCallFor(now, id);
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
  for (const ServerId& server : contact->second.beat.spare_servers) {
    for (const auto& [id, host] : hosts_) {
      if (movable.size() < count && host.server == server &&
          host.pool == pool && usable(id, host))
        movable.push_back(id);
    }
  }
  return movable;
}

void FleetKeeper::StartMoves(Time now,
                             const std::map<PoolId, PoolContact>& contacts,
                             Outbox& outbox) {
  if (now < next_sizing_) {
    Wake(next_sizing_);
    return;
  }
  next_sizing_ = now + kSizingPeriod;
  std::vector<PoolSize> sizes = Sizes(now, contacts);
  auto limit = static_cast<uint32_t>(kMoveShare * options_.bounds.duty_rate *
                                     ToSeconds(kSizingPeriod));
  for (const HostMoves& moves : sizing_.Plan(now, sizes, limit))
    StartMove(now, moves, contacts, outbox);
}

void FleetKeeper::StartMove(Time now,
                            const HostMoves& moves,
                            const std::map<PoolId, PoolContact>& contacts,
                            Outbox& outbox) {
  // The owner of the pool would not reach servers in these zones.
  std::vector<ZoneId> avoid;
  auto target = contacts.find(moves.to);
  if (target != contacts.end())
    avoid = target->second.beat.silent_zones;
  std::vector<HostId> movable =
      Movable(now, moves.from, moves.count, avoid, contacts);
  for (const HostId& host : movable) {
    Duty& duty = AddDuty(now, host);
    duty.kind = DutyKind::kMove;
    duty.target = moves.to;
    outbox.Log("host-move", {{"host", host.str()},
                             {"from", moves.from.str()},
                             {"to", moves.to.str()}});
  }
  auto begun = static_cast<uint32_t>(movable.size());
  if (begun < moves.count && IsStandby(moves.from))
    RedirectMoves(now, moves.to, moves.count - begun, contacts, outbox);
}

void FleetKeeper::RedirectMoves(Time now,
                                const PoolId& to,
                                uint32_t count,
                                const std::map<PoolId, PoolContact>& contacts,
                                Outbox& outbox) {
  std::vector<HostId> staying;
  for (auto& [host, duty] : duties_) {
    if (count == 0)
      break;
    if (duty.kind != DutyKind::kMove || duty.stage != Stage::kEmptying ||
        !IsStandby(duty.target))
      continue;
    --count;
    outbox.Log(
        "host-move-redirected",
        {{"host", host.str()}, {"from", duty.pool.str()}, {"to", to.str()}});
    if (duty.pool == to)
      staying.push_back(host);
    else
      duty.target = to;
  }
  for (const HostId& host : staying)
    GiveUp(now, host, duties_.at(host), contacts, outbox);
}

uint32_t FleetKeeper::EmptyingFor(const PoolId& pool) const {
  return static_cast<uint32_t>(
      std::count_if(duties_.begin(), duties_.end(), [&pool](const auto& entry) {
        const Duty& duty = entry.second;
        return duty.kind == DutyKind::kMove && duty.stage == Stage::kEmptying &&
               duty.target == pool;
      }));
}

void FleetKeeper::AdvanceDuty(Time now,
                              const HostId& host,
                              Duty& duty,
                              const std::map<PoolId, PoolContact>& contacts,
                              Outbox& outbox) {
  if (now < duty.next_try) {
    Wake(duty.next_try);
    return;
  }
  if (duty.stage == Stage::kCalling && duty.call_tag == 0) {
    auto listing = hosts_.find(host);
    if (listing != hosts_.end() &&
        listing->second.state == ListedHostState::kDown) {
      // The platform would refuse the call; one that was lost was carried out
      // before the host went down, or never is.
      duty.next_try = now + kBusyRepeat;
      return;
    }
    if (!duty.called && !IsEmpty(now, duty, contacts)) {
      duty.next_try = now + kTickPeriod;
      return;
    }
    duty.called = true;
    duty.next_try = now + kCallRepeat;
    if (duty.kind == DutyKind::kMaintain)
      duty.call_tag = outbox.Host(state_.token, MaintainHost{host, duty.wave});
    else
      duty.call_tag = outbox.Host(state_.token, MoveHost{host, duty.target});
    return;
  }
  if (duty.stage != Stage::kEmptying)
    return;
  duty.next_try = now + kVacateRepeat;
  if (IsStandby(duty.pool)) {
    if (MayCall(duty))
      StoreDuty(now, host, duty);
    return;
  }
  RequestVacate(duty, false, contacts, outbox);
}

bool FleetKeeper::RequestVacate(const Duty& duty,
                                bool withdraw,
                                const std::map<PoolId, PoolContact>& contacts,
                                Outbox& outbox) {
  auto contact = contacts.find(duty.pool);
  if (contact == contacts.end())
    return false;
  outbox.Send(contact->second.node, contact->second.address,
              VacateRequest{duty.pool, duty.server, withdraw});
  return true;
}

void FleetKeeper::KeepEmpty(Time now,
                            Duty& duty,
                            const std::map<PoolId, PoolContact>& contacts,
                            Outbox& outbox) {
  if (now >= duty.next_request && RequestVacate(duty, false, contacts, outbox))
    duty.next_request = now + kKeepEmptyPeriod;
}

bool FleetKeeper::MustGiveUp(
    Time now,
    const HostId& host,
    const Duty& duty,
    const std::map<PoolId, PoolContact>& contacts) const {
  if (duty.stage != Stage::kEmptying)
    return false;
  bool moves = duty.kind == DutyKind::kMove;
  if (now - duty.started > (moves ? kMovePatience : kEmptyingLimit))
    return true;
  auto listing = hosts_.find(host);
  if (listing == hosts_.end() ||
      listing->second.state != ListedHostState::kUp ||
      listing->second.server != duty.server)
    return true;
  auto owner = contacts.find(duty.pool);
  auto wave = waves_.find(duty.wave);
  // The pool got busy, and the wave can wait.
  return !moves && wave != waves_.end() && owner != contacts.end() &&
         owner->second.demand_share() >= kBusyPool &&
         HasTime(now, wave->second);
}

void FleetKeeper::GiveUp(Time now,
                         const HostId& host,
                         const Duty& duty,
                         const std::map<PoolId, PoolContact>& contacts,
                         Outbox& outbox) {
  RequestVacate(duty, true, contacts, outbox);
  auto wave = waves_.find(duty.wave);
  if (duty.kind == DutyKind::kMaintain && wave != waves_.end())
    wave->second.set_aside[host] = now + kSetAside;
  duties_.erase(host);
}

void FleetKeeper::Tick(Time now,
                       const std::map<PoolId, PoolContact>& contacts,
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
  bool lease_fresh = now - chain_.renewed() < options_.bounds.duty_lease / 2;
  if (!lease_fresh || hosts_.empty())
    return;
  StartDuties(now, contacts, outbox);
  StartMoves(now, contacts, outbox);
  std::vector<HostId> ids;
  for (const auto& [host, duty] : duties_)
    ids.push_back(host);
  for (const HostId& host : ids) {
    Duty& duty = duties_.at(host);
    if (MustGiveUp(now, host, duty, contacts)) {
      GiveUp(now, host, duty, contacts, outbox);
      continue;
    }
    if (duty.stage != Stage::kEmptying && duty.stage != Stage::kReturning)
      KeepEmpty(now, duty, contacts, outbox);
    AdvanceDuty(now, host, duty, contacts, outbox);
  }
  chain_.Tick(now, outbox);
}

}  // namespace radishmoor
