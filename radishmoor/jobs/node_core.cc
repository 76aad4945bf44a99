#include "radishmoor/jobs/node_core.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

// The store holds an answer back this long when nothing has changed; a silent
// connection is noticed soon after.
constexpr Duration kOperatorsWait = Milliseconds(450);
constexpr Duration kFullReadPeriod = Seconds(5);
constexpr Duration kOperatorsRetry = Milliseconds(150);
constexpr Duration kOwnerHeartbeatPeriod = Milliseconds(300);
// Between announcements the coordinator hears of a rise by this factor and so
// many cores.
constexpr double kRiseFactor = 1.25;
constexpr double kRiseCores = 24;
constexpr Duration kRiseGap = Milliseconds(60);
constexpr Duration kRegisterPeriod = Seconds(15);
constexpr Duration kRegisterRetry = Milliseconds(300);
constexpr Duration kNodesPeriod = Seconds(4);
constexpr Duration kFirstNodesPeriod = Milliseconds(500);
// Rows of processes that have not been renewed for this long are passed over.
constexpr Duration kNodeExpiry = Seconds(40);
constexpr Duration kServersPeriod = Milliseconds(500);
constexpr Duration kHostsPeriod = Milliseconds(500);
// The list of many servers is long, so it is read less often.
constexpr Duration kServersPeriodPerServer = Milliseconds(3);
constexpr Duration kMaxServersPeriod = Milliseconds(1200);
// While a pool lacks servers: those on their way are seen soon after they come.
constexpr Duration kShortServersPeriod = Milliseconds(300);
constexpr Duration kFleetTickGap = Milliseconds(20);
constexpr Duration kServersRetry = Milliseconds(200);
// After the signal to stop, callers with open connections are served this long.
constexpr Duration kServeAfterStop = Milliseconds(3000);
// The store counts as lost, for the log, when no call succeeds for this long.
constexpr Duration kStoreLost = Milliseconds(500);
// Before the end of the grace period; open calls are given up then.
constexpr Duration kEndMargin = Milliseconds(1500);
// For the answers to these calls to be sent.
constexpr Duration kLastAnswersTime = Milliseconds(100);

// When the last lease has lapsed that an earlier owner of the pool may have
// given to a server.
Time EarlierLeasesUntil(const AcquiredLease& lease) {
  Duration length = JobPoolState::kLease + JobPoolState::kLeaseSlack;
  if (lease.first_owner)
    return kTimeZero;
  Time earlier = lease.renewed_before + lease.earlier_leases;
  if (lease.released)
    return std::max(earlier, lease.sent + length);
  return std::max(earlier,
                  lease.renewed_before + kUnrenewedLeaseExtension + length);
}

}  // namespace

NodeCore::NodeCore(const NodeOptions& options)
    : options_(options),
      leases_(options.name, options.address, options.capacity),
      request_handler_(options.name, options.incarnation, leases_) {}

void NodeCore::Start(Time now, WallMillis wall) {
  outbox_.LogDecision(
      "process-started",
      {{"node", options_.name.str()},
       {"zone", options_.zone.str()},
       {"address", options_.address},
       {"incarnation", static_cast<int64_t>(options_.incarnation)}});
  Settle(now, wall);
}

void NodeCore::OnCall(Time now, WallMillis wall, JobCall call) {
  request_handler_.OnCall(now, wall, std::move(call), outbox_);
  Settle(now, wall);
}

void NodeCore::OnAbandoned(Time now, WallMillis wall, JobCallId call) {
  request_handler_.OnAbandoned(call);
  Settle(now, wall);
}

void NodeCore::OnStoreAnswer(Time now,
                             WallMillis wall,
                             const StoreAnswer& answer) {
  bool failed = std::holds_alternative<UnavailableReply>(answer.reply) ||
                std::holds_alternative<UnknownReply>(answer.reply);
  NoteStore(now, !failed);
  if (register_tag_ != 0 && answer.tag == register_tag_) {
    register_tag_ = 0;
    next_register_ = now + (failed ? kRegisterRetry : kRegisterPeriod);
  } else if (nodes_tag_ != 0 && answer.tag == nodes_tag_) {
    nodes_tag_ = 0;
    if (const auto* rows = std::get_if<RowsReply>(&answer.reply))
      OnNodes(now, rows->rows);
  } else if (!request_handler_.OnStoreAnswer(now, answer, outbox_) &&
             !leases_.OnStoreAnswer(now, answer, outbox_) &&
             (fleet_ == nullptr || !fleet_->OnStoreAnswer(now, answer))) {
    for (auto& [pool, scheduler] : schedulers_) {
      if (scheduler->OnStoreAnswer(now, wall, answer, outbox_))
        break;
    }
  }
  Settle(now, wall);
}

void NodeCore::OnServerReply(Time now,
                             WallMillis wall,
                             const ServerReply& reply) {
  for (auto& [pool, scheduler] : schedulers_) {
    if (scheduler->OnServerReply(now, reply, outbox_))
      break;
  }
  Settle(now, wall);
}

void NodeCore::OnServers(Time now, WallMillis wall, const ServersReply& reply) {
  if (servers_tag_ != reply.tag)
    return;
  servers_tag_ = 0;
  if (!reply.answered) {
    next_servers_ = now + kServersRetry;
  } else {
    servers_ = reply.servers;
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->OnServers(now, servers_, outbox_);
  }
  Settle(now, wall);
}

void NodeCore::OnOperatorChanges(Time now,
                                 WallMillis wall,
                                 const OperatorChanges& reply) {
  if (operators_tag_ != reply.tag)
    return;
  operators_tag_ = 0;
  if (reply.answered || !reply.history_truncated)
    NoteStore(now, reply.answered);
  if (!reply.answered) {
    operators_version_ = 0;
    operators_retry_ = now + kOperatorsRetry;
    Settle(now, wall);
    return;
  }
  operators_version_ = reply.version;
  if (reply.config && reply.config->version > config_.version) {
    config_ = *reply.config;
    outbox_.LogDecision(
        "config-in-force",
        {{"version", static_cast<int64_t>(config_.version)},
         {"queues", static_cast<int64_t>(config_.queues.size())},
         {"pools", static_cast<int64_t>(config_.pools.size())}});
    request_handler_.OnConfig(now, config_);
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->OnConfig(config_);
    if (fleet_ != nullptr)
      fleet_->OnConfig(config_);
    leases_.Watch(now, WatchedPools());
  }
  std::vector<ObservedWave> waves;
  for (const MaintenanceWave& wave : reply.waves) {
    auto [it, inserted] = waves_.try_emplace(wave.number);
    it->second.plan = wave;
    // A wave from before the start of this process may have no time left.
    if (inserted)
      it->second.first_seen_at = operators_known_ ? now : now - wave.length;
    waves.push_back(it->second);
  }
  operators_known_ = true;
  if (fleet_ != nullptr)
    fleet_->OnWaves(waves, outbox_);
  Settle(now, wall);
}

void NodeCore::OnHostReply(Time now, WallMillis wall, const HostReply& reply) {
  if (hosts_tag_ != 0 && reply.tag == hosts_tag_) {
    hosts_tag_ = 0;
    if (reply.outcome == HostOutcome::kDone) {
      for (auto& [pool, scheduler] : schedulers_)
        scheduler->OnHosts(now, hosts_sent_, reply.hosts, outbox_);
      if (fleet_ != nullptr)
        fleet_->OnHosts(hosts_sent_, reply.hosts, outbox_);
    }
  } else if (fleet_ != nullptr) {
    fleet_->OnHostReply(now, reply, outbox_);
  }
  Settle(now, wall);
}

void NodeCore::OnAdvice(Time now,
                        WallMillis wall,
                        const PlacementAdviceReply& reply) {
  for (auto& [pool, scheduler] : schedulers_) {
    if (scheduler->OnAdvice(now, reply))
      break;
  }
  Settle(now, wall);
}

void NodeCore::OnPeer(Time now,
                      WallMillis wall,
                      const JobPeerEnvelope& envelope) {
  Dispatch(now, envelope.sender, envelope.address, envelope.message);
  Settle(now, wall);
}

void NodeCore::Tick(Time now, WallMillis wall) {
  Settle(now, wall);
}

void NodeCore::OnProcessResumed(Time now, WallMillis wall) {
  outbox_.LogDecision("process-resumed", {});
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->OnProcessResumed();
  Settle(now, wall);
}

void NodeCore::Shutdown(Time now, WallMillis wall) {
  if (!shutdown_) {
    shutdown_ = now;
    outbox_.LogDecision("process-stopping",
                        {{"pools", static_cast<int64_t>(schedulers_.size())}});
    leases_.StopAcquiring();
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->Release(MemberId());
    if (fleet_ != nullptr)
      fleet_->Release(MemberId());
  }
  Settle(now, wall);
}

bool NodeCore::ready(Time now) const {
  bool store_lost =
      store_silent_since_ && now - *store_silent_since_ > kStoreLost;
  return config_.version != 0 && !shutdown_ && !store_lost;
}

bool NodeCore::accepts_connections(Time now) const {
  return !shutdown_ || now - *shutdown_ < kServeAfterStop;
}

// Messages.

void NodeCore::Dispatch(Time now,
                        const MemberId& from,
                        const std::string& address,
                        const JobPeerMessage& message) {
  auto find = [this](const PoolId& pool) -> PoolScheduler* {
    auto it = schedulers_.find(pool);
    return it == schedulers_.end() ? nullptr : it->second.get();
  };
  if (const auto* heartbeat = std::get_if<OwnerHeartbeat>(&message)) {
    leases_.OnOwnerHeartbeat(now, from, address, *heartbeat);
    ObserveDemand(now, *heartbeat);
  } else if (const auto* notice = std::get_if<JobNotice>(&message)) {
    if (PoolScheduler* scheduler = find(notice->pool))
      scheduler->OnJobNotice(now, from, address, *notice, outbox_);
    else if (notice->request != 0)
      outbox_.SendToPeer(from, address, JobAnswer{notice->request});
  } else if (const auto* query = std::get_if<JobQuery>(&message)) {
    if (PoolScheduler* scheduler = find(query->pool))
      scheduler->OnJobQuery(now, from, address, *query, outbox_);
    else
      outbox_.SendToPeer(from, address, JobAnswer{query->request});
  } else if (const auto* answer = std::get_if<JobAnswer>(&message)) {
    request_handler_.OnJobAnswer(now, *answer, outbox_);
  } else if (const auto* request = std::get_if<VacateRequest>(&message)) {
    if (PoolScheduler* scheduler = find(request->pool))
      scheduler->OnVacateRequest(now, from, address, *request, outbox_);
  } else if (const auto* vacated = std::get_if<VacateAnswer>(&message)) {
    if (fleet_ != nullptr)
      fleet_->OnVacateAnswer(now, *vacated);
  }
}

void NodeCore::DeliverLocal(Time now) {
  // A message to this process may cause another one; the chains are short.
  constexpr int kMaxRounds = 4;
  for (int round = 0; round < kMaxRounds; ++round) {
    std::vector<JobPeerMessage> local = outbox_.TakeMessagesTo(options_.name);
    if (local.empty())
      return;
    for (const JobPeerMessage& message : local)
      Dispatch(now, options_.name, options_.address, message);
  }
}

// Ownership.

std::vector<PoolId> NodeCore::WatchedPools() const {
  std::vector<PoolId> pools{PoolId(kFleetPseudoPool)};
  for (const PoolConfig& pool : config_.pools) {
    bool used = std::any_of(
        config_.queues.begin(), config_.queues.end(),
        [&pool](const QueueConfig& queue) { return queue.pool == pool.id; });
    if (used || !pool.standby)
      pools.push_back(pool.id);
  }
  return pools;
}

void NodeCore::TakeOver(Time now) {
  for (const AcquiredLease& lease : leases_.TakeAcquired()) {
    if (lease.pool.str() == kFleetPseudoPool) {
      FleetCoordinatorOptions options;
      options.node = options_.name;
      options.address = options_.address;
      options.bounds = options_.bounds;
      options.token = lease.token;
      options.lease_version = lease.version;
      options.lease_taken_at = lease.sent;
      options.first_owner = lease.first_owner;
      fleet_ = std::make_unique<FleetCoordinator>(options, forecast_, outbox_);
      fleet_->OnConfig(config_);
      std::vector<ObservedWave> waves;
      for (const auto& [number, wave] : waves_)
        waves.push_back(wave);
      fleet_->OnWaves(waves, outbox_);
    } else {
      PoolSchedulerOptions options;
      options.pool = lease.pool;
      options.node = options_.name;
      options.address = options_.address;
      options.bounds = options_.bounds;
      options.token = lease.token;
      options.lease_version = lease.version;
      options.lease_taken_at = lease.sent;
      options.earlier_leases_until = EarlierLeasesUntil(lease);
      schedulers_[lease.pool] =
          std::make_unique<PoolScheduler>(options, config_, outbox_);
      next_servers_ = now;
    }
    next_owner_heartbeat_ = now;
  }
}

void NodeCore::DropLost(Time now) {
  for (auto it = schedulers_.begin(); it != schedulers_.end();) {
    if (!it->second->lost() && !it->second->released()) {
      ++it;
      continue;
    }
    OwnerHeartbeat heartbeat = it->second->MakeHeartbeat(now);
    bool released = it->second->released();
    outbox_.LogDecision(released ? "pool-released" : "pool-lost",
                        {{"pool", it->first.str()},
                         {"token", static_cast<int64_t>(it->second->token())}});
    if (released)
      Announce(now, heartbeat);
    heartbeat.released = true;
    request_handler_.SetLocalHeartbeat(heartbeat, now);
    leases_.SetOwned(now, it->first, false);
    it = schedulers_.erase(it);
  }
  if (fleet_ != nullptr && (fleet_->lost() || fleet_->released())) {
    if (fleet_->released())
      Announce(now, fleet_->MakeHeartbeat(now));
    leases_.SetOwned(now, PoolId(kFleetPseudoPool), false);
    fleet_.reset();
  }
}

void NodeCore::Announce(Time now, const OwnerHeartbeat& heartbeat) {
  const PoolOwner* coordinator = leases_.OwnerOf(PoolId(kFleetPseudoPool));
  OwnerHeartbeat brief = heartbeat;
  brief.spare_servers.clear();
  for (const auto& [name, node] : nodes_) {
    if (name == options_.name || node.row.leaving ||
        now - node.changed >= kNodeExpiry)
      continue;
    bool keeps = coordinator != nullptr && coordinator->node == name;
    outbox_.SendToPeer(name, node.row.address, keeps ? heartbeat : brief);
  }
}

void NodeCore::ObserveDemand(Time now, const OwnerHeartbeat& heartbeat) {
  if (heartbeat.released || heartbeat.servers == 0)
    return;
  forecast_.Observe(now, heartbeat.pool, heartbeat.offered_cores,
                    heartbeat.capacity_cores / heartbeat.servers);
}

void NodeCore::AnnounceRise(Time now) {
  const PoolOwner* coordinator = leases_.OwnerOf(PoolId(kFleetPseudoPool));
  // A coordinator in this process asks the pools itself.
  if (fleet_ != nullptr || coordinator == nullptr)
    return;
  for (const auto& [pool, scheduler] : schedulers_) {
    AnnouncedNeed& announced = announced_needs_[pool];
    double cores = scheduler->needed_cores(now);
    bool rose = cores > kRiseFactor * announced.cores + kRiseCores;
    if (!rose || now - announced.at < kRiseGap)
      continue;
    announced = {cores, now};
    outbox_.SendToPeer(coordinator->node, coordinator->address,
                       scheduler->MakeHeartbeat(now));
  }
}

void NodeCore::SendOwnerHeartbeats(Time now) {
  if (!HasOwned())
    return;
  if (now < next_owner_heartbeat_) {
    Wake(next_owner_heartbeat_);
    return;
  }
  next_owner_heartbeat_ = now + kOwnerHeartbeatPeriod;
  Wake(next_owner_heartbeat_);
  for (const auto& [pool, scheduler] : schedulers_) {
    OwnerHeartbeat heartbeat = scheduler->MakeHeartbeat(now);
    request_handler_.SetLocalHeartbeat(heartbeat, now);
    ObserveDemand(now, heartbeat);
    announced_needs_[pool] = {scheduler->needed_cores(now), now};
    Announce(now, heartbeat);
  }
  if (fleet_ != nullptr)
    Announce(now, fleet_->MakeHeartbeat(now));
}

std::map<PoolId, PoolOwnerContact> NodeCore::Contacts(Time now) const {
  constexpr Duration kMaxAge = Milliseconds(1500);
  std::map<PoolId, PoolOwnerContact> contacts;
  for (const PoolConfig& pool : config_.pools) {
    auto own = schedulers_.find(pool.id);
    const PoolOwner* owner = leases_.OwnerOf(pool.id);
    OwnerHeartbeat heartbeat;
    PoolOwnerContact contact;
    if (own != schedulers_.end()) {
      contact.node = options_.name;
      heartbeat = own->second->MakeHeartbeat(now);
    } else if (owner != nullptr && now - owner->last_heartbeat_at < kMaxAge) {
      contact.node = owner->node;
      contact.address = owner->address;
      heartbeat = owner->heartbeat;
    } else {
      continue;
    }
    contact.heartbeat = std::move(heartbeat);
    contacts[pool.id] = std::move(contact);
  }
  return contacts;
}

// Reading the platform.

bool NodeCore::IsDue(Time now, uint64_t tag, Time at) {
  if (tag != 0)
    return false;
  if (now < at)
    Wake(at);
  return now >= at;
}

void NodeCore::WatchOperatorChanges(Time now) {
  if (!IsDue(now, operators_tag_, operators_retry_))
    return;
  // A reading of all that is there, now and then, finds what the changes left
  // out.
  if (now >= next_full_read_) {
    next_full_read_ = now + kFullReadPeriod;
    operators_version_ = 0;
  }
  operators_tag_ = outbox_.WatchOperators(operators_version_, kOperatorsWait);
}

void NodeCore::RegisterNode(Time now) {
  if (!IsDue(now, register_tag_, next_register_))
    return;
  NodeRow row{options_.name,        options_.address,      options_.zone,
              options_.incarnation, shutdown_.has_value(), options_.capacity};
  Transaction transaction;
  transaction.writes.push_back({NodeKey(options_.name), EncodeNode(row)});
  register_tag_ = outbox_.CallStore(CommitRows{std::move(transaction)});
}

void NodeCore::ScanNodes(Time now) {
  if (!IsDue(now, nodes_tag_, next_nodes_))
    return;
  next_nodes_ = now + (nodes_.size() < 2 ? kFirstNodesPeriod : kNodesPeriod);
  ScanRows scan;
  scan.prefix = NodeKey(MemberId());
  nodes_tag_ = outbox_.CallStore(std::move(scan));
}

void NodeCore::OnNodes(Time now, const std::vector<Row>& rows) {
  std::vector<LeaseCandidate> live;
  for (const Row& row : rows) {
    std::optional<NodeRow> decoded = DecodeNode(row.value);
    if (!decoded) {
      outbox_.LogDecision("row-unreadable", {{"key", row.key}});
      continue;
    }
    Node& node = nodes_[decoded->name];
    if (node.version != row.version) {
      node.version = row.version;
      node.changed = now;
    }
    node.row = std::move(*decoded);
    if (!node.row.leaving && now - node.changed < kNodeExpiry)
      live.push_back({node.row.name, node.row.capacity});
  }
  leases_.SetNodes(live);
}

void NodeCore::ReadServers(Time now) {
  if (schedulers_.empty() || !IsDue(now, servers_tag_, next_servers_))
    return;
  bool short_of = std::any_of(schedulers_.begin(), schedulers_.end(),
                              [now](const auto& entry) {
                                return entry.second->is_short_of_servers(now);
                              });
  Duration period = std::clamp(
      kServersPeriodPerServer * static_cast<int64_t>(servers_.size()),
      kServersPeriod, kMaxServersPeriod);
  next_servers_ = now + (short_of ? kShortServersPeriod : period);
  servers_tag_ = outbox_.RequestServerList();
}

void NodeCore::NoteStore(Time now, bool answered) {
  if (answered) {
    if (store_lost_logged_) {
      outbox_.LogDecision(
          "store-regained",
          {{"silent_ms", WholeMilliseconds(now - *store_silent_since_)}});
    }
    store_silent_since_.reset();
    request_handler_.SetStoreLost(false);
    store_lost_logged_ = false;
    return;
  }
  if (!store_silent_since_)
    store_silent_since_ = now;
  request_handler_.SetStoreLost(now - *store_silent_since_ > kStoreLost);
  if (!store_lost_logged_ && now - *store_silent_since_ > kStoreLost) {
    store_lost_logged_ = true;
    outbox_.LogDecision("store-lost", {});
  }
}

void NodeCore::ListHosts(Time now) {
  bool wanted = fleet_ != nullptr && fleet_->needs_host_list();
  for (const auto& [pool, scheduler] : schedulers_)
    wanted = wanted || scheduler->needs_host_list(now);
  if (!wanted || !IsDue(now, hosts_tag_, next_hosts_))
    return;
  next_hosts_ = now + kHostsPeriod;
  hosts_sent_ = now;
  hosts_tag_ = outbox_.CallHostApi(0, radishmoor::ListHosts{});
}

void NodeCore::TickShutdown(Time now) {
  if (!shutdown_ || ended_)
    return;
  Duration stopping = now - *shutdown_;
  Duration limit = options_.grace - kEndMargin;
  bool unanswered = request_handler_.open_calls() > 0;
  if (stopping >= limit)
    request_handler_.RefuseOpenCalls(outbox_);
  bool served = stopping >= kServeAfterStop && !unanswered && !HasOwned();
  bool over = stopping >= limit && !unanswered;
  if (served || over || stopping >= limit + kLastAnswersTime) {
    ended_ = true;
    outbox_.LogDecision("process-ended", {});
    outbox_.EndProcess();
    return;
  }
  Wake(now + Milliseconds(50));
}

void NodeCore::Settle(Time now, WallMillis wall) {
  next_wake_ = kTimeMax;
  leases_.Tick(now, outbox_);
  TakeOver(now);
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->Tick(now, wall, outbox_);
  if (fleet_ != nullptr && now - last_fleet_tick_ >= kFleetTickGap) {
    last_fleet_tick_ = now;
    fleet_->Tick(now, Contacts(now), outbox_);
  }
  request_handler_.Tick(now, outbox_);
  SendOwnerHeartbeats(now);
  AnnounceRise(now);
  DeliverLocal(now);
  DropLost(now);
  WatchOperatorChanges(now);
  RegisterNode(now);
  ScanNodes(now);
  ReadServers(now);
  ListHosts(now);
  TickShutdown(now);
  Wake(leases_.next_wake());
  Wake(request_handler_.next_wake());
  for (auto& [pool, scheduler] : schedulers_)
    Wake(scheduler->next_wake());
  if (fleet_ != nullptr)
    Wake(std::max(fleet_->next_wake(), last_fleet_tick_ + kFleetTickGap));
}

}  // namespace radishmoor
