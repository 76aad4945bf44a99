#include "radishmoor/control/control_core.h"

#include <algorithm>
#include <set>
#include <utility>

namespace radishmoor {
namespace {

// The tag of a store call is the owner's own tag times kOwners plus the
// CallOwner value, so kOwners must be at least the number of CallOwner values.
constexpr uint64_t kOwners = 8;
constexpr Duration kScanPeriodWhileDraining = Milliseconds(500);
constexpr Duration kIdleScanPeriod = Seconds(5);
// Keeps scans of the member rows within a third of the 9 KB/s of traffic that
// an entry host may spend on control.
constexpr int64_t kScanBytesPerSecond = 3000;
// Rows per page of a scan; all members of the largest planned site fit in one
// page. The drain gate needs rows of one read, since between two pages a
// process may move from its sponsor's row to a row of its own.
constexpr uint32_t kScanRowLimit = 1000;
constexpr Duration kHostListPeriod = Seconds(5);
// Number of the round's first completed hosts that every process observes. With
// several, the round continues if one of them fails later.
constexpr size_t kObservedCanaries = 3;
// Limit for reading the host list. The list of 1,300 hosts has 66 KB; reading
// it every 5 s would alone exceed the 9 KB/s that an entry host may spend on
// control.
constexpr int64_t kHostListBytesPerSecond = 2000;
constexpr int64_t kHostListEntryBytes = 40;  // Excluding the name.
// Leases expire with time, so they are checked even without an event.
constexpr Duration kLeaseCheckPeriod = Milliseconds(500);

MemberOptions MemberOptionsOf(const ControlOptions& options) {
  return {.id = options.member,
          .incarnation = options.incarnation,
          .role = MemberRole::kControl,
          .zone = options.zone,
          .addresses = {options.peer_address, options.admin_address},
          .host = options.host,
          .host_instance = options.host_instance,
          .seed = options.seed};
}

MemberView ViewOf(const MemberRecord& record, Time last_change) {
  return {.id = record.id,
          .incarnation = record.incarnation,
          .role = record.role,
          .zone = record.zone,
          .host = record.host,
          .host_instance = record.host_instance,
          .version_in_force = record.version,
          .busy = record.busy_hosts,
          .last_change = last_change};
}

}  // namespace

ControlCore::ControlCore(ControlOptions options)
    : options_(std::move(options)),
      view_({.self = options_.member,
             .zone = options_.zone,
             .incarnation = options_.incarnation,
             .seed = options_.seed}),
      member_(MemberOptionsOf(options_)),
      peers_({.self = options_.member,
              .role = MemberRole::kControl,
              .zone = options_.zone,
              .address = options_.peer_address,
              .seed = options_.seed + 1}),
      leases_(options_.seed + 2, &member_, &peers_),
      controller_(options_.controller, options_.member, options_.seed + 3) {}

void ControlCore::BeginInput(Time now, WallMillis wall) {
  now_ = std::max(now_, now);
  wall_ = wall;
  actions_.clear();
}

ControlActions ControlCore::TakeActions() {
  PassConfigToController();
  return std::exchange(actions_, {});
}

void ControlCore::CallStore(CallOwner owner, StoreCall call) {
  call.tag = call.tag * kOwners + static_cast<uint64_t>(owner);
  actions_.push_back(std::move(call));
}

ControlActions ControlCore::Tick(Time now, WallMillis wall) {
  BeginInput(now, wall);
  HandleActions(view_.Tick(now_));
  HandleActions(member_.Tick(now_));
  HandleActions(peers_.Tick(now_, clock_.Tick(wall_)));
  HandleActions(leases_.Tick(now_));
  StartMemberScan();
  RequestHostList();
  PassLeasesToController();
  HandleActions(controller_.Tick(now_));
  return TakeActions();
}

Time ControlCore::next_wake() const {
  return std::min({view_.next_wake(), member_.next_wake(), peers_.next_wake(),
                   leases_.next_wake(), controller_.next_wake(),
                   scanning_ ? kTimeMax : next_scan_, next_host_list_,
                   now_ + kLeaseCheckPeriod});
}

ControlActions ControlCore::Handle(Time now,
                                   WallMillis wall,
                                   const StoreAnswer& answer) {
  BeginInput(now, wall);
  StoreAnswer inner{answer.tag / kOwners, answer.reply};
  switch (static_cast<CallOwner>(answer.tag % kOwners)) {
    case CallOwner::kConfig:
      HandleActions(view_.Handle(now_, inner));
      break;
    case CallOwner::kMember:
      HandleActions(member_.Handle(now_, inner));
      break;
    case CallOwner::kPeers:
      HandleActions(peers_.Handle(now_, inner));
      break;
    case CallOwner::kLeases:
      HandleActions(leases_.Handle(now_, inner));
      break;
    case CallOwner::kController:
      HandleActions(controller_.Handle(now_, inner));
      break;
    case CallOwner::kMemberScan:
      // If the process was paused, the answer to an earlier scan may arrive
      // during this one; its rows are older than `read_started`.
      if (inner.tag == scan_tag_)
        OnMemberRows(inner.reply);
      break;
    case CallOwner::kHostList:
      if (auto* list = std::get_if<HostListReply>(&inner.reply))
        OnHostList(*list);
      break;
  }
  return TakeActions();
}

ControlActions ControlCore::Handle(Time now,
                                   WallMillis wall,
                                   const PlatformResult& result) {
  BeginInput(now, wall);
  HandleActions(controller_.Handle(now_, result));
  return TakeActions();
}

ControlActions ControlCore::SetHealth(
    Time now,
    WallMillis wall,
    std::span<const HostObservation> observations) {
  BeginInput(now, wall);
  HandleActions(controller_.SetHealth(now_, observations));
  return TakeActions();
}

ControlActions ControlCore::Leave(Time now, WallMillis wall) {
  BeginInput(now, wall);
  leases_.ReleaseAll();
  member_.Leave();
  HandleActions(leases_.Tick(now_));
  HandleActions(member_.Tick(now_));
  return TakeActions();
}

std::vector<const HostState*> ControlCore::ObservedHosts(Time now) const {
  std::vector<const HostState*> hosts;
  for (const auto& [id, host] : view_.state().hosts) {
    bool observed = leases_.HoldsPoolLease(now, host.pool) ||
                    leases_.HoldsPoolLease(now, host.wanted_pool);
    if (observed && host.phase != HostPhase::kRetired)
      hosts.push_back(&host);
  }
  // A process that does not hold the lease of the canary's pool needs the
  // canary's health as well; without it, it never starts its part of the round.
  for (const HostId& id : controller_.FirstCompleted(kObservedCanaries)) {
    const HostState* host = view_.state().FindHost(id);
    if (host && std::find(hosts.begin(), hosts.end(), host) == hosts.end())
      hosts.push_back(host);
  }
  return hosts;
}

void ControlCore::HandleActions(std::vector<ConfigAction> actions) {
  for (ConfigAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      CallStore(CallOwner::kConfig, std::move(*call));
    } else if (auto* in_force = std::get_if<ConfigInForce>(&action)) {
      std::set<PoolId> pools;
      for (const auto& [id, pool] : view_.state().pools)
        pools.insert(id);
      leases_.SetPools(std::move(pools));
      member_.SetDrainAcknowledgement(in_force->version, {});
      TimelineEvent event;
      event.kind = EventKind::kConfigInForce;
      event.config = in_force->version;
      RecordEvent(std::move(event));
    }
  }
}

void ControlCore::HandleActions(std::vector<MemberAction> actions) {
  for (MemberAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      CallStore(CallOwner::kMember, std::move(*call));
    } else if (std::holds_alternative<MemberSuperseded>(action)) {
      actions_.push_back(
          EndControlProcess{"a newer process has the same member id"});
    }
  }
}

// Sends no heartbeats to peers, since entry processes need no information from
// control processes.
void ControlCore::HandleActions(std::vector<PeerAction> actions) {
  for (PeerAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action))
      CallStore(CallOwner::kPeers, std::move(*call));
  }
}

void ControlCore::HandleActions(std::vector<LeaseAction> actions) {
  for (LeaseAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      CallStore(CallOwner::kLeases, std::move(*call));
      continue;
    }
    auto* acquired = std::get_if<LeaseAcquired>(&action);
    TimelineEvent event;
    event.kind = acquired ? EventKind::kLeaseAcquired : EventKind::kLeaseLost;
    event.pool = acquired ? acquired->pool : std::get<LeaseEnded>(action).pool;
    RecordEvent(std::move(event));
    PassLeasesToController();
  }
}

void ControlCore::HandleActions(std::vector<FleetAction> actions) {
  for (FleetAction& action : actions) {
    if (auto* call = std::get_if<StoreCall>(&action)) {
      CallStore(CallOwner::kController, std::move(*call));
    } else if (auto* event = std::get_if<TimelineEvent>(&action)) {
      RecordEvent(std::move(*event));
    } else if (auto* checkpoint = std::get_if<CheckpointTasks>(&action)) {
      actions_.push_back(std::move(*checkpoint));
    } else if (auto* reboot = std::get_if<RebootHost>(&action)) {
      actions_.push_back(std::move(*reboot));
    } else if (auto* admit = std::get_if<AdmitHost>(&action)) {
      actions_.push_back(std::move(*admit));
    } else {
      actions_.push_back(std::move(std::get<WaveReport>(action)));
    }
  }
}

// The controller decides only on a state that belongs to the head row whose
// version its change will expect.
void ControlCore::PassConfigToController() {
  const Row& row = view_.head_row();
  if (row.version == passed_head_row_ || row.version == 0)
    return;
  ConfigHead head = DecodeHead(row.value);
  if (head.version != view_.version())
    return;
  passed_head_row_ = row.version;
  HandleActions(
      controller_.SetConfig(now_, view_.state(), row.version, head.snapshot));
}

void ControlCore::PassLeasesToController() {
  std::vector<PoolLease> held;
  for (const PoolId& pool : leases_.HeldPools(now_)) {
    auto fences = leases_.Expectations(now_, pool);
    if (fences)
      held.push_back({pool, member_.lease_until(), std::move(*fences)});
  }
  HandleActions(controller_.SetLeases(now_, std::move(held)));
}

bool ControlCore::AnyDraining() const {
  const auto& hosts = view_.state().hosts;
  return std::any_of(hosts.begin(), hosts.end(), [](const auto& item) {
    return item.second.phase == HostPhase::kDraining;
  });
}

void ControlCore::StartMemberScan() {
  if (scanning_ && now_ - scan_sent_ > Member::kCallTimeout)
    scanning_ = false;
  if (scanning_ || now_ < next_scan_)
    return;
  scanning_ = true;
  scan_sent_ = now_;
  scan_resume_key_.clear();
  scan_bytes_ = 0;
  scanned_members_ = {.read_started = now_};
  CallStore(CallOwner::kMemberScan,
            {++scan_tag_, ScanRows{kMemberPrefix, "", kScanRowLimit}});
}

void ControlCore::OnMemberRows(const StoreReply& reply) {
  const auto* rows = std::get_if<RowsReply>(&reply);
  if (!scanning_ || rows == nullptr) {
    scanning_ = false;
    next_scan_ = now_ + kIdleScanPeriod;
    return;
  }
  for (const Row& row : rows->rows) {
    scan_bytes_ += row.key.size() + row.value.size();
    scan_resume_key_ = row.key;
    auto record = DecodeMember(row.value);
    if (!record)
      continue;
    auto& [version, changed] = row_changes_[record->id];
    if (version != row.version) {
      version = row.version;
      changed = now_;
    }
    scanned_members_.members.push_back(ViewOf(*record, changed));
  }
  if (rows->rows.size() >= kScanRowLimit) {
    CallStore(CallOwner::kMemberScan,
              {++scan_tag_,
               ScanRows{kMemberPrefix, scan_resume_key_, kScanRowLimit}});
    return;
  }
  scanning_ = false;
  Duration budget = Microseconds(static_cast<int64_t>(scan_bytes_) * 1'000'000 /
                                 kScanBytesPerSecond);
  next_scan_ = now_ + std::max(AnyDraining() ? kScanPeriodWhileDraining
                                             : kIdleScanPeriod,
                               budget);
  HandleActions(controller_.SetMembers(now_, std::move(scanned_members_)));
  scanned_members_ = {};
}

void ControlCore::RequestHostList() {
  if (now_ < next_host_list_)
    return;
  next_host_list_ = now_ + kHostListPeriod;
  CallStore(CallOwner::kHostList, {0, ReadHostList{}});
}

void ControlCore::OnHostList(const HostListReply& list) {
  int64_t bytes = 0;
  for (const HostListEntry& entry : list.hosts)
    bytes += kHostListEntryBytes + static_cast<int64_t>(entry.name.size());
  next_host_list_ = std::max(
      next_host_list_,
      now_ + Microseconds(bytes * 1'000'000 / kHostListBytesPerSecond));
  HandleActions(controller_.SetHostList(now_, list.hosts));
}

void ControlCore::RecordEvent(TimelineEvent event) {
  event.stamp = clock_.Tick(wall_);
  if (event.config == 0)
    event.config = view_.version();
  actions_.push_back(RecordControlEvent{std::move(event)});
}

}  // namespace radishmoor
