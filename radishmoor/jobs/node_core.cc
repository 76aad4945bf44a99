#include "radishmoor/jobs/node_core.h"

#include <algorithm>
#include <utility>

#include "radishmoor/jobs/queue_loads.h"

namespace radishmoor {
namespace {

// If operators have changed nothing, the store delays its answer by up to this
// share of the time in which a configuration must be in force, so that a
// connection without answers is noticed and replaced within that time.
constexpr int64_t kOperatorWatchDivisor = 4;
constexpr Duration kMaxOperatorWatchWait = Milliseconds(1000);
// The configuration and all waves are read in full this often, in case a change
// was missed.
constexpr Duration kFullOperatorReadPeriod = Seconds(5);
constexpr Duration kOperatorWatchRetryDelay = Milliseconds(150);
constexpr Duration kOwnerHeartbeatPeriod = Milliseconds(300);
// Minimum time between heartbeats, also if there is news for submissions.
constexpr Duration kMinHeartbeatInterval = Milliseconds(50);
// A heartbeat with all queues of the pool is sent at least this often. It
// reaches processes that have lost an earlier one.
constexpr Duration kCompleteQueuesPeriod = Milliseconds(1500);
// An extra heartbeat of a pool is sent to the fleet coordinator if the pool's
// demand exceeds the last announced one by this factor plus this number of
// cores, at most once per interval.
constexpr double kDemandRiseFactor = 1.25;
constexpr double kDemandRiseCores = 24;
constexpr Duration kMinDemandRiseInterval = Milliseconds(60);
constexpr Duration kRegistrationPeriod = Seconds(15);
constexpr Duration kRegistrationRetryDelay = Milliseconds(300);
constexpr Duration kNodeScanPeriod = Seconds(4);
// Period of a process that owns nothing and sends no heartbeats.
constexpr Duration kIdleNodeScanPeriod = Seconds(10);
// Period of the scans until a second process is known, and in the first seconds
// of this process, in which the others of a new site register.
constexpr Duration kFirstNodeScanPeriod = Milliseconds(500);
constexpr Duration kFirstNodeScans = Seconds(2);
// Orders are sent directly again below this share of the rate from which on
// they are relayed.
constexpr double kRelayStopShare = 0.4;
// A pool is handed over only to a process that has registered this recently.
constexpr Duration kMaxSuccessorRowAge = Seconds(25);
// A process whose row has not changed for this long counts as gone.
constexpr Duration kNodeExpiry = Seconds(40);
constexpr Duration kMinServerListPeriod = Milliseconds(500);
constexpr Duration kHostListPeriod = Milliseconds(500);
// An owner checks this often whether it needs the list.
constexpr Duration kHostListCheckPeriod = Milliseconds(50);
// A list of many servers is long, so the period grows with their number.
constexpr Duration kServerListPeriodPerServer = Milliseconds(3);
constexpr Duration kMaxServerListPeriod = Milliseconds(1200);
// Period while a pool expects additional servers, so that their arrival is
// noticed soon.
constexpr Duration kShortageServerListPeriod = Milliseconds(300);
constexpr Duration kMinFleetTickInterval = Milliseconds(20);
constexpr Duration kServerListRetryDelay = Milliseconds(200);
// After Shutdown(), callers with open connections are still served this long.
constexpr Duration kServeAfterShutdown = Milliseconds(3000);
// The store counts as lost if no call has succeeded for this long.
constexpr Duration kStoreLostAfter = Milliseconds(500);
// Open calls are ended with an answer this long before the end of the grace
// period.
constexpr Duration kShutdownMargin = Milliseconds(1500);
// Time allowed for sending those last answers.
constexpr Duration kLastAnswersTime = Milliseconds(100);

// Returns the time after which earlier owners of the pool have sent no orders.
Time EarlierOrdersUntil(const AcquiredLease& lease) {
  if (lease.first_owner)
    return kTimeZero;
  return lease.was_released
             ? lease.sent_at
             : lease.last_renewed_before + kUnrenewedLeaseExtension;
}

}  // namespace

NodeCore::NodeCore(const NodeOptions& options)
    : options_(options),
      leases_(options.name, options.address, options.capacity),
      request_handler_(options.name,
                       options.incarnation,
                       options.bounds,
                       leases_),
      router_({.own_name = options.name,
               .session = options.incarnation,
               .start_orders_per_second = options.relay_orders_per_second,
               .stop_orders_per_second =
                   kRelayStopShare * options.relay_orders_per_second}) {}

void NodeCore::Start(Time now, WallMillis wall) {
  started_at_ = now;
  outbox_.LogDecision(
      "process-started",
      {{"node", options_.name.str()},
       {"zone", options_.zone.str()},
       {"address", options_.address},
       {"incarnation", static_cast<int64_t>(options_.incarnation)}});
  RunPendingWork(now, wall);
}

void NodeCore::OnCall(Time now, WallMillis wall, JobCall call) {
  request_handler_.OnCall(now, wall, std::move(call), outbox_);
  RunPendingWork(now, wall);
}

void NodeCore::OnAbandoned(Time now, WallMillis wall, JobCallId call) {
  request_handler_.OnAbandoned(call);
  RunPendingWork(now, wall);
}

void NodeCore::OnStoreAnswer(Time now,
                             WallMillis wall,
                             const StoreAnswer& answer) {
  bool failed = std::holds_alternative<UnavailableReply>(answer.reply) ||
                std::holds_alternative<UnknownReply>(answer.reply);
  RecordStoreAnswer(now, !failed);
  if (registration_tag_ != 0 && answer.tag == registration_tag_) {
    registration_tag_ = 0;
    next_registration_ =
        now + (failed ? kRegistrationRetryDelay : kRegistrationPeriod);
  } else if (node_scan_tag_ != 0 && answer.tag == node_scan_tag_) {
    node_scan_tag_ = 0;
    if (const auto* rows = std::get_if<RowsReply>(&answer.reply))
      OnNodeRows(now, rows->rows);
  } else if (!request_handler_.OnStoreAnswer(now, answer, outbox_) &&
             !leases_.OnStoreAnswer(now, answer, outbox_) &&
             !OnFleetStoreAnswer(now, answer)) {
    for (auto& [pool, scheduler] : schedulers_) {
      if (scheduler->OnStoreAnswer(now, wall, answer, outbox_))
        break;
    }
  }
  RunPendingWork(now, wall);
}

bool NodeCore::OnFleetStoreAnswer(Time now, const StoreAnswer& answer) {
  if (fleet_ == nullptr || !fleet_->OnStoreAnswer(now, answer))
    return false;
  fleet_has_input_ = true;
  return true;
}

void NodeCore::OnServerReply(Time now,
                             WallMillis wall,
                             const ServerReply& reply) {
  if (!relay_.OnReply(now, reply))
    DeliverServerReply(now, reply);
  RunPendingWork(now, wall);
}

void NodeCore::DeliverServerReply(Time now, const ServerReply& reply) {
  for (auto& [pool, scheduler] : schedulers_) {
    if (scheduler->OnServerReply(now, reply, outbox_))
      return;
  }
}

void NodeCore::RouteOrders(Time now) {
  for (OrderToServer& order : outbox_.TakeOrders()) {
    auto zone = server_zones_.find(order.server);
    bool own = !relay_.IsRelayed(order.tag) && zone != server_zones_.end();
    if (!own || !router_.Route(now, order, zone->second))
      outbox_.PutBackOrder(std::move(order));
  }
}

void NodeCore::UpdateRelays(Time now) {
  std::map<MemberId, uint32_t> owners = leases_.LeasesOfOthers(now);
  std::vector<RelayCandidate> candidates;
  for (const auto& [name, node] : nodes_) {
    if (name != options_.name && !node.row.leaving && !owners.contains(name) &&
        now - node.changed_at < kNodeExpiry)
      candidates.push_back(
          {name, node.row.address, node.row.zone, node.row.capacity});
  }
  router_.SetRelays(candidates);
}

void NodeCore::OnServerList(Time now,
                            WallMillis wall,
                            const ServersReply& reply) {
  if (server_list_tag_ != reply.tag)
    return;
  server_list_tag_ = 0;
  if (!reply.answered) {
    next_server_list_ = now + kServerListRetryDelay;
  } else {
    servers_ = reply.servers;
    server_zones_.clear();
    for (const ServerListing& server : servers_)
      server_zones_[server.id] = server.zone;
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->OnServerList(now, servers_, outbox_);
  }
  RunPendingWork(now, wall);
}

void NodeCore::OnOperatorChanges(Time now,
                                 WallMillis wall,
                                 const OperatorChanges& reply) {
  if (operator_watch_tag_ != reply.tag)
    return;
  operator_watch_tag_ = 0;
  if (reply.answered || !reply.history_truncated)
    RecordStoreAnswer(now, reply.answered);
  if (!reply.answered) {
    operator_version_ = 0;
    next_operator_watch_ = now + kOperatorWatchRetryDelay;
    RunPendingWork(now, wall);
    return;
  }
  operator_version_ = reply.version;
  request_handler_.ConfirmConfig(operator_watch_sent_at_);
  if (reply.config && reply.config->version > config_.version) {
    config_ = *reply.config;
    outbox_.LogDecision(
        "config-in-force",
        {{"version", static_cast<int64_t>(config_.version)},
         {"queues", static_cast<int64_t>(config_.queues.size())},
         {"pools", static_cast<int64_t>(config_.pools.size())}});
    request_handler_.OnConfig(config_);
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->OnConfig(config_);
    if (fleet_ != nullptr)
      fleet_->OnConfig(config_);
    leases_.WatchPools(now, WatchedPools());
  }
  std::vector<ObservedWave> waves;
  for (const MaintenanceWave& wave : reply.waves) {
    auto [it, inserted] = waves_.try_emplace(wave.number);
    it->second.plan = wave;
    // A wave that existed before this process started may have used up all of
    // its time.
    if (inserted)
      it->second.first_seen_at = operators_loaded_ ? now : now - wave.length;
    waves.push_back(it->second);
  }
  operators_loaded_ = true;
  if (fleet_ != nullptr)
    fleet_->OnWaves(waves, outbox_);
  fleet_has_input_ = true;
  RunPendingWork(now, wall);
}

void NodeCore::OnHostReply(Time now, WallMillis wall, const HostReply& reply) {
  if (host_list_tag_ != 0 && reply.tag == host_list_tag_) {
    host_list_tag_ = 0;
    if (reply.outcome == HostOutcome::kDone) {
      for (auto& [pool, scheduler] : schedulers_)
        scheduler->OnHosts(now, host_list_sent_at_, reply.hosts, outbox_);
      if (fleet_ != nullptr)
        fleet_->OnHosts(host_list_sent_at_, reply.hosts, outbox_);
    }
  } else if (fleet_ != nullptr) {
    fleet_->OnHostReply(now, reply, outbox_);
  }
  fleet_has_input_ = true;
  RunPendingWork(now, wall);
}

void NodeCore::OnPlacementAdvice(Time now,
                                 WallMillis wall,
                                 const PlacementAdviceReply& reply) {
  adviser_queue_.OnReply(now, reply, outbox_);
  for (auto& [pool, scheduler] : schedulers_) {
    if (scheduler->OnPlacementAdvice(now, reply))
      break;
  }
  RunPendingWork(now, wall);
}

void NodeCore::OnPeer(Time now,
                      WallMillis wall,
                      const JobPeerEnvelope& envelope) {
  DispatchPeerMessage(now, envelope.sender, envelope.address, envelope.message);
  RunPendingWork(now, wall);
}

void NodeCore::Tick(Time now, WallMillis wall) {
  RunPendingWork(now, wall);
}

void NodeCore::OnLoopLag(Time now, Duration lag) {
  balance_.ObserveTick(now, now - lag);
  router_.ObserveLag(lag);
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->OnLoopLag(lag, outbox_);
  request_handler_.SetOverloaded(balance_.IsOverloaded(now));
  if (balance_.IsOverloaded(now))
    BalanceOwnership(now);
}

void NodeCore::OnProcessResumed(Time now, WallMillis wall) {
  outbox_.LogDecision("process-resumed", {});
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->OnProcessResumed();
  RunPendingWork(now, wall);
}

void NodeCore::Shutdown(Time now, WallMillis wall) {
  if (!shutdown_started_at_) {
    shutdown_started_at_ = now;
    outbox_.LogDecision("process-stopping",
                        {{"pools", static_cast<int64_t>(schedulers_.size())}});
    leases_.StopAcquiring();
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->Release(MemberId());
    if (fleet_ != nullptr)
      fleet_->Release(MemberId());
  }
  RunPendingWork(now, wall);
}

bool NodeCore::ready(Time now) const {
  bool store_lost =
      store_silent_since_ && now - *store_silent_since_ > kStoreLostAfter;
  return request_handler_.IsConfigCurrent(now) && !shutdown_started_at_ &&
         !store_lost;
}

bool NodeCore::accepts_connections(Time now) const {
  return !shutdown_started_at_ ||
         now - *shutdown_started_at_ < kServeAfterShutdown;
}

void NodeCore::DispatchPeerMessage(Time now,
                                   const MemberId& from,
                                   const std::string& address,
                                   const JobPeerMessage& message) {
  auto find_scheduler = [this](const PoolId& pool) -> PoolScheduler* {
    auto it = schedulers_.find(pool);
    return it == schedulers_.end() ? nullptr : it->second.get();
  };
  if (const auto* heartbeat = std::get_if<OwnerHeartbeat>(&message)) {
    leases_.OnOwnerHeartbeat(now, from, address, *heartbeat);
    WatchEarlierPools(now, *heartbeat);
    ObserveDemand(now, *heartbeat);
  } else if (const auto* notice = std::get_if<JobNotice>(&message)) {
    if (PoolScheduler* scheduler = find_scheduler(notice->pool))
      scheduler->OnJobNotice(now, from, address, *notice, outbox_);
    else if (notice->request != 0)
      outbox_.SendToPeer(from, address, JobAnswer{notice->request});
  } else if (const auto* query = std::get_if<JobQuery>(&message)) {
    if (PoolScheduler* scheduler = find_scheduler(query->pool))
      scheduler->OnJobQuery(now, from, address, *query, outbox_);
    else
      outbox_.SendToPeer(from, address, JobAnswer{query->request});
  } else if (const auto* answer = std::get_if<JobAnswer>(&message)) {
    request_handler_.OnJobAnswer(now, *answer, outbox_);
  } else if (const auto* request = std::get_if<VacateRequest>(&message)) {
    if (PoolScheduler* scheduler = find_scheduler(request->pool))
      scheduler->OnVacateRequest(now, from, address, *request, outbox_);
  } else if (const auto* vacated = std::get_if<VacateAnswer>(&message)) {
    fleet_has_input_ = true;
    if (fleet_ != nullptr)
      fleet_->OnVacateAnswer(now, *vacated);
  } else if (const auto* orders = std::get_if<OrderBatch>(&message)) {
    relay_.OnOrders(now, from, address, *orders, outbox_);
  } else if (const auto* replies = std::get_if<ReplyBatch>(&message)) {
    for (const ServerReply& reply : router_.OnReplies(now, from, *replies))
      DeliverServerReply(now, reply);
  }
}

void NodeCore::DeliverLocalMessages(Time now) {
  // A message to this process may cause another one. Such chains are short, so
  // a few rounds deliver all of them.
  constexpr int kMaxRounds = 4;
  for (int round = 0; round < kMaxRounds; ++round) {
    std::vector<JobPeerMessage> local = outbox_.TakeMessagesTo(options_.name);
    if (local.empty())
      return;
    for (const JobPeerMessage& message : local)
      DispatchPeerMessage(now, options_.name, options_.address, message);
  }
}

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

void NodeCore::StartAcquiredPools(Time now) {
  for (const AcquiredLease& lease : leases_.TakeAcquiredLeases()) {
    if (lease.pool.str() == kFleetPseudoPool) {
      FleetCoordinatorOptions options;
      options.node = options_.name;
      options.address = options_.address;
      options.bounds = options_.bounds;
      options.token = lease.token;
      options.lease_version = lease.version;
      options.lease_taken_at = lease.sent_at;
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
      options.lease_taken_at = lease.sent_at;
      options.earlier_orders_until = EarlierOrdersUntil(lease);
      options.known_leases_until =
          lease.last_renewed_before + lease.other_leases_remaining;
      options.vacating_servers = lease.vacating_servers;
      schedulers_[lease.pool] =
          std::make_unique<PoolScheduler>(options, config_, outbox_);
      next_server_list_ = now;
    }
    next_owner_heartbeat_ = next_node_scan_ = now;
  }
}

void NodeCore::RemoveLostPools(Time now) {
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
      BroadcastHeartbeat(now, heartbeat);
    heartbeat.released = true;
    request_handler_.SetLocalHeartbeat(heartbeat, now);
    leases_.SetOwned(now, it->first, false);
    it = schedulers_.erase(it);
  }
  if (fleet_ != nullptr && (fleet_->lost() || fleet_->released())) {
    if (fleet_->released())
      BroadcastHeartbeat(now, fleet_->MakeHeartbeat(now));
    leases_.SetOwned(now, PoolId(kFleetPseudoPool), false);
    fleet_.reset();
  }
}

void NodeCore::BroadcastHeartbeat(Time now, OwnerHeartbeat heartbeat) {
  const PoolOwner* coordinator = leases_.OwnerOf(PoolId(kFleetPseudoPool));
  std::vector<PeerAddress> others;
  std::optional<PeerAddress> to_coordinator;
  std::set<NodeIncarnation> receivers;
  for (const auto& [name, node] : nodes_) {
    if (name == options_.name || node.row.leaving ||
        now - node.changed_at >= kNodeExpiry)
      continue;
    receivers.insert({name, node.row.incarnation});
    if (coordinator != nullptr && coordinator->node == name)
      to_coordinator = {name, node.row.address};
    else
      others.push_back({name, node.row.address});
  }
  LeaveOutKnownQueues(now, receivers, heartbeat);
  if (to_coordinator)
    outbox_.SendToPeer(to_coordinator->node, to_coordinator->address,
                       heartbeat);
  heartbeat.spare_servers.clear();
  outbox_.Broadcast(std::move(others), std::move(heartbeat));
}

void NodeCore::LeaveOutKnownQueues(Time now,
                                   const std::set<NodeIncarnation>& receivers,
                                   OwnerHeartbeat& heartbeat) {
  AnnouncedQueues& announced = announced_queues_[heartbeat.pool];
  bool known =
      announced.token == heartbeat.token &&
      now - announced.at < kCompleteQueuesPeriod &&
      std::includes(announced.receivers.begin(), announced.receivers.end(),
                    receivers.begin(), receivers.end());
  if (known) {
    heartbeat.queues = ChangedLoads(announced.queues, heartbeat.queues);
    heartbeat.partial_queues = true;
    return;
  }
  announced = {heartbeat.token, heartbeat.queues, receivers, now};
}

void NodeCore::WatchEarlierPools(Time now, const OwnerHeartbeat& heartbeat) {
  for (const QueueLoad& load : heartbeat.queues) {
    if (!load.earlier_pools.empty())
      leases_.WatchPools(now, load.earlier_pools);
  }
}

void NodeCore::ObserveDemand(Time now, const OwnerHeartbeat& heartbeat) {
  if (heartbeat.released || heartbeat.servers == 0)
    return;
  forecast_.Observe(now, heartbeat.pool, heartbeat.offered_cores,
                    heartbeat.capacity_cores / heartbeat.servers);
}

void NodeCore::SendDemandRises(Time now) {
  const PoolOwner* coordinator = leases_.OwnerOf(PoolId(kFleetPseudoPool));
  // A fleet coordinator in this process reads the demand of the pools directly.
  if (fleet_ != nullptr || coordinator == nullptr)
    return;
  for (const auto& [pool, scheduler] : schedulers_) {
    AnnouncedDemand& announced = announced_demand_[pool];
    double cores = scheduler->needed_cores(now);
    bool rose = cores > kDemandRiseFactor * announced.cores + kDemandRiseCores;
    if (!rose || now - announced.at < kMinDemandRiseInterval)
      continue;
    announced = {cores, now};
    OwnerHeartbeat heartbeat = scheduler->MakeHeartbeat(now);
    LeaveOutKnownQueues(now, {}, heartbeat);
    outbox_.SendToPeer(coordinator->node, coordinator->address,
                       std::move(heartbeat));
  }
}

void NodeCore::SendOwnerHeartbeats(Time now) {
  if (!OwnsAnyPool())
    return;
  // Submissions wait for the news that a pool is open for their queue.
  uint64_t admission_changes = 0;
  for (const auto& [pool, scheduler] : schedulers_)
    admission_changes += scheduler->admission_changes();
  if (std::exchange(announced_admission_changes_, admission_changes) !=
      admission_changes)
    next_owner_heartbeat_ =
        std::min(next_owner_heartbeat_,
                 std::max(now, last_owner_heartbeat_ + kMinHeartbeatInterval));
  if (now < next_owner_heartbeat_) {
    Wake(next_owner_heartbeat_);
    return;
  }
  last_owner_heartbeat_ = now;
  next_owner_heartbeat_ = now + kOwnerHeartbeatPeriod;
  Wake(next_owner_heartbeat_);
  for (const auto& [pool, scheduler] : schedulers_) {
    OwnerHeartbeat heartbeat = scheduler->MakeHeartbeat(now);
    request_handler_.SetLocalHeartbeat(heartbeat, now);
    WatchEarlierPools(now, heartbeat);
    ObserveDemand(now, heartbeat);
    announced_demand_[pool] = {scheduler->needed_cores(now), now};
    BroadcastHeartbeat(now, heartbeat);
  }
  if (fleet_ != nullptr)
    BroadcastHeartbeat(now, fleet_->MakeHeartbeat(now));
}

void NodeCore::BalanceOwnership(Time now) {
  if (schedulers_.empty() || shutdown_started_at_)
    return;
  std::vector<OwnedPool> pools;
  for (const auto& [pool, scheduler] : schedulers_) {
    if (scheduler->loaded() && !scheduler->releasing())
      pools.push_back({pool, scheduler->needed_cores(now)});
  }
  std::map<MemberId, uint32_t> leases = leases_.LeasesOfOthers(now);
  std::vector<ProcessLeases> others;
  for (const auto& [name, node] : nodes_) {
    if (name != options_.name && !node.row.leaving &&
        now - node.changed_at < kMaxSuccessorRowAge)
      others.push_back({name, node.row.capacity, leases[name]});
  }
  auto own_leases =
      static_cast<uint32_t>(schedulers_.size() + (fleet_ != nullptr ? 1 : 0));
  std::optional<PoolHandover> handover = balance_.Plan(
      now, {options_.name, options_.capacity, own_leases}, pools, others);
  if (!handover)
    return;
  outbox_.LogDecision("pool-handover",
                      {{"pool", handover->pool.str()},
                       {"successor", handover->successor.str()},
                       {"leases", static_cast<int64_t>(own_leases)},
                       {"capacity", static_cast<int64_t>(options_.capacity)}});
  schedulers_.at(handover->pool)->Release(handover->successor);
}

std::map<PoolId, PoolOwnerContact> NodeCore::OwnerContacts(Time now) const {
  constexpr Duration kMaxContactAge = Milliseconds(1500);
  std::map<PoolId, PoolOwnerContact> contacts;
  for (const PoolConfig& pool : config_.pools) {
    auto own = schedulers_.find(pool.id);
    const PoolOwner* owner = leases_.OwnerOf(pool.id);
    OwnerHeartbeat heartbeat;
    PoolOwnerContact contact;
    if (own != schedulers_.end()) {
      contact.node = options_.name;
      heartbeat = own->second->MakeHeartbeat(now);
    } else if (owner != nullptr &&
               now - owner->last_heartbeat_at < kMaxContactAge) {
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

bool NodeCore::IsDue(Time now, uint64_t tag, Time at) {
  if (tag != 0)
    return false;
  if (now < at)
    Wake(at);
  return now >= at;
}

void NodeCore::WatchOperatorChanges(Time now) {
  if (!IsDue(now, operator_watch_tag_, next_operator_watch_))
    return;
  // Version 0 asks for a full read.
  if (now >= next_full_operator_read_) {
    next_full_operator_read_ = now + kFullOperatorReadPeriod;
    operator_version_ = 0;
  }
  operator_watch_sent_at_ = now;
  operator_watch_tag_ = outbox_.WatchOperators(
      operator_version_,
      std::min(options_.bounds.config_apply / kOperatorWatchDivisor,
               kMaxOperatorWatchWait));
}

void NodeCore::RegisterNode(Time now) {
  if (!IsDue(now, registration_tag_, next_registration_))
    return;
  NodeRow row{options_.name,
              options_.address,
              options_.zone,
              options_.incarnation,
              shutdown_started_at_.has_value(),
              options_.capacity};
  Transaction transaction;
  transaction.writes.push_back({NodeKey(options_.name), EncodeNode(row)});
  registration_tag_ = outbox_.CallStore(CommitRows{std::move(transaction)});
}

void NodeCore::ScanNodes(Time now) {
  if (!IsDue(now, node_scan_tag_, next_node_scan_))
    return;
  next_node_scan_ =
      now + (nodes_.size() < 2 || now - started_at_ < kFirstNodeScans
                 ? kFirstNodeScanPeriod
             : OwnsAnyPool() ? kNodeScanPeriod
                             : kIdleNodeScanPeriod);
  ScanRows scan;
  scan.prefix = NodeKey(MemberId());
  node_scan_tag_ = outbox_.CallStore(std::move(scan));
}

void NodeCore::OnNodeRows(Time now, const std::vector<Row>& rows) {
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
      node.changed_at = now;
    }
    node.row = std::move(*decoded);
    if (!node.row.leaving && now - node.changed_at < kNodeExpiry)
      live.push_back({node.row.name, node.row.capacity});
  }
  leases_.SetCandidates(live);
  request_handler_.SetProcesses(live.size());
  UpdateRelays(now);
}

void NodeCore::RefreshServerList(Time now) {
  if (schedulers_.empty() || !IsDue(now, server_list_tag_, next_server_list_))
    return;
  bool lacks_servers = std::any_of(
      schedulers_.begin(), schedulers_.end(), [now](const auto& entry) {
        return entry.second->is_short_of_servers(now);
      });
  Duration period = std::clamp(
      kServerListPeriodPerServer * static_cast<int64_t>(servers_.size()),
      kMinServerListPeriod, kMaxServerListPeriod);
  next_server_list_ =
      now + (lacks_servers ? kShortageServerListPeriod : period);
  server_list_tag_ = outbox_.RequestServerList();
}

void NodeCore::RecordStoreAnswer(Time now, bool answered) {
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
  request_handler_.SetStoreLost(now - *store_silent_since_ > kStoreLostAfter);
  if (!store_lost_logged_ && now - *store_silent_since_ > kStoreLostAfter) {
    store_lost_logged_ = true;
    outbox_.LogDecision("store-lost", {});
  }
}

void NodeCore::RefreshHostList(Time now) {
  if (!IsDue(now, host_list_tag_, next_host_list_))
    return;
  bool wanted = fleet_ != nullptr && fleet_->needs_host_list();
  for (const auto& [pool, scheduler] : schedulers_)
    wanted = wanted || scheduler->needs_host_list(now);
  if (!wanted) {
    if (!schedulers_.empty())
      next_host_list_ = now + kHostListCheckPeriod;
    return;
  }
  next_host_list_ = now + kHostListPeriod;
  host_list_sent_at_ = now;
  host_list_tag_ = outbox_.CallHostApi(0, radishmoor::ListHosts{});
}

void NodeCore::TickShutdown(Time now) {
  if (!shutdown_started_at_ || ended_)
    return;
  Duration stopping = now - *shutdown_started_at_;
  Duration limit = options_.grace - kShutdownMargin;
  bool unanswered = request_handler_.open_calls() > 0;
  if (stopping >= limit)
    request_handler_.RefuseOpenCalls(outbox_);
  bool served =
      stopping >= kServeAfterShutdown && !unanswered && !OwnsAnyPool();
  bool over = stopping >= limit && !unanswered;
  if (served || over || stopping >= limit + kLastAnswersTime) {
    ended_ = true;
    outbox_.LogDecision("process-ended", {});
    outbox_.EndProcess();
    return;
  }
  Wake(now + Milliseconds(50));
}

void NodeCore::RunPendingWork(Time now, WallMillis wall) {
  next_wake_ = kTimeMax;
  for (const ServerReply& reply : router_.TakeLost(now))
    DeliverServerReply(now, reply);
  leases_.Tick(now, outbox_);
  StartAcquiredPools(now);
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->Tick(now, wall, outbox_);
  if (fleet_ != nullptr && now - last_fleet_tick_ >= kMinFleetTickInterval &&
      (fleet_has_input_ || now >= fleet_->next_wake())) {
    last_fleet_tick_ = now;
    fleet_has_input_ = false;
    fleet_->Tick(now, OwnerContacts(now), outbox_);
  }
  request_handler_.Tick(now, outbox_);
  SendOwnerHeartbeats(now);
  SendDemandRises(now);
  DeliverLocalMessages(now);
  RemoveLostPools(now);
  WatchOperatorChanges(now);
  RegisterNode(now);
  ScanNodes(now);
  RefreshServerList(now);
  RefreshHostList(now);
  TickShutdown(now);
  for (PlacementAdviceRequest& request : outbox_.TakeAdviceRequests())
    adviser_queue_.Add(std::move(request));
  adviser_queue_.Tick(now, outbox_);
  RouteOrders(now);
  router_.Tick(now, outbox_);
  relay_.Tick(now, outbox_);
  Wake(adviser_queue_.next_wake());
  Wake(router_.next_wake());
  Wake(relay_.next_wake());
  Wake(leases_.next_wake());
  Wake(request_handler_.next_wake());
  for (auto& [pool, scheduler] : schedulers_)
    Wake(scheduler->next_wake());
  if (fleet_ != nullptr)
    Wake(std::max(fleet_has_input_ ? now : fleet_->next_wake(),
                  last_fleet_tick_ + kMinFleetTickInterval));
}

}  // namespace radishmoor
