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
constexpr Duration kBeatPeriod = Milliseconds(300);
// Between announcements the keeper hears of a rise by this factor and so many
// cores.
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
  return std::max(earlier, lease.renewed_before + kUnrenewedExtension + length);
}

}  // namespace

NodeCore::NodeCore(const NodeOptions& options)
    : options_(options),
      leases_(options.name, options.address, options.capacity),
      intake_(options.name, options.incarnation, leases_) {}

void NodeCore::Start(Time now, WallMillis wall) {
  outbox_.Log("process-started",
              {{"node", options_.name.str()},
               {"zone", options_.zone.str()},
               {"address", options_.address},
               {"incarnation", static_cast<int64_t>(options_.incarnation)}});
  Settle(now, wall);
}

void NodeCore::OnCall(Time now, WallMillis wall, JobCall call) {
  intake_.OnCall(now, wall, std::move(call), outbox_);
  Settle(now, wall);
}

void NodeCore::OnAbandoned(Time now, WallMillis wall, JobCallId call) {
  intake_.OnAbandoned(call);
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
  } else if (!intake_.OnStoreAnswer(now, answer, outbox_) &&
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

void NodeCore::OnOperators(Time now,
                           WallMillis wall,
                           const OperatorsReply& reply) {
  if (operators_tag_ != reply.tag)
    return;
  operators_tag_ = 0;
  if (reply.answered || !reply.history_gone)
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
    outbox_.Log("config-in-force",
                {{"version", static_cast<int64_t>(config_.version)},
                 {"queues", static_cast<int64_t>(config_.queues.size())},
                 {"pools", static_cast<int64_t>(config_.pools.size())}});
    intake_.OnConfig(now, config_);
    for (auto& [pool, scheduler] : schedulers_)
      scheduler->OnConfig(config_);
    if (fleet_ != nullptr)
      fleet_->OnConfig(config_);
    leases_.Watch(now, WatchedPools());
  }
  std::vector<KnownWave> waves;
  for (const MaintenanceWave& wave : reply.waves) {
    auto [it, inserted] = waves_.try_emplace(wave.number);
    it->second.plan = wave;
    // A wave from before the start of this process may have no time left.
    if (inserted)
      it->second.seen = operators_known_ ? now : now - wave.length;
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

void NodeCore::OnAdvice(Time now, WallMillis wall, const AdviceReply& reply) {
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

void NodeCore::Resumed(Time now, WallMillis wall) {
  outbox_.Log("process-resumed", {});
  for (auto& [pool, scheduler] : schedulers_)
    scheduler->Resumed();
  Settle(now, wall);
}

void NodeCore::Shutdown(Time now, WallMillis wall) {
  if (!shutdown_) {
    shutdown_ = now;
    outbox_.Log("process-stopping",
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
  if (const auto* beat = std::get_if<OwnerBeat>(&message)) {
    leases_.OnBeat(now, from, address, *beat);
    ObserveDemand(now, *beat);
  } else if (const auto* notice = std::get_if<JobNotice>(&message)) {
    if (PoolScheduler* scheduler = find(notice->pool))
      scheduler->OnJobNotice(now, from, address, *notice, outbox_);
    else if (notice->request != 0)
      outbox_.Send(from, address, JobAnswer{notice->request});
  } else if (const auto* query = std::get_if<JobQuery>(&message)) {
    if (PoolScheduler* scheduler = find(query->pool))
      scheduler->OnJobQuery(now, from, address, *query, outbox_);
    else
      outbox_.Send(from, address, JobAnswer{query->request});
  } else if (const auto* answer = std::get_if<JobAnswer>(&message)) {
    intake_.OnJobAnswer(now, *answer, outbox_);
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
  std::vector<PoolId> pools{PoolId(kFleetPool)};
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
    if (lease.pool.str() == kFleetPool) {
      FleetKeeperOptions options;
      options.node = options_.name;
      options.address = options_.address;
      options.bounds = options_.bounds;
      options.token = lease.token;
      options.lease_version = lease.version;
      options.lease_taken = lease.sent;
      options.first_owner = lease.first_owner;
      fleet_ = std::make_unique<FleetKeeper>(options, forecast_, outbox_);
      fleet_->OnConfig(config_);
      std::vector<KnownWave> waves;
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
      options.lease_taken = lease.sent;
      options.earlier_leases_until = EarlierLeasesUntil(lease);
      schedulers_[lease.pool] =
          std::make_unique<PoolScheduler>(options, config_, outbox_);
      next_servers_ = now;
    }
    next_beat_ = now;
  }
}

void NodeCore::DropLost(Time now) {
  for (auto it = schedulers_.begin(); it != schedulers_.end();) {
    if (!it->second->lost() && !it->second->released()) {
      ++it;
      continue;
    }
    OwnerBeat beat = it->second->Beat(now);
    bool released = it->second->released();
    outbox_.Log(released ? "pool-released" : "pool-lost",
                {{"pool", it->first.str()},
                 {"token", static_cast<int64_t>(it->second->token())}});
    if (released)
      Announce(now, beat);
    beat.released = true;
    intake_.SetLocalBeat(beat, now);
    leases_.SetOwned(now, it->first, false);
    it = schedulers_.erase(it);
  }
  if (fleet_ != nullptr && (fleet_->lost() || fleet_->released())) {
    if (fleet_->released())
      Announce(now, fleet_->Beat(now));
    leases_.SetOwned(now, PoolId(kFleetPool), false);
    fleet_.reset();
  }
}

void NodeCore::Announce(Time now, const OwnerBeat& beat) {
  const PoolOwner* keeper = leases_.OwnerOf(PoolId(kFleetPool));
  OwnerBeat brief = beat;
  brief.spare_servers.clear();
  for (const auto& [name, node] : nodes_) {
    if (name == options_.name || node.row.leaving ||
        now - node.changed >= kNodeExpiry)
      continue;
    bool keeps = keeper != nullptr && keeper->node == name;
    outbox_.Send(name, node.row.address, keeps ? beat : brief);
  }
}

void NodeCore::ObserveDemand(Time now, const OwnerBeat& beat) {
  if (beat.released || beat.servers == 0)
    return;
  forecast_.Observe(now, beat.pool, beat.offered_cores,
                    beat.capacity_cores / beat.servers);
}

void NodeCore::AnnounceRise(Time now) {
  const PoolOwner* keeper = leases_.OwnerOf(PoolId(kFleetPool));
  // A keeper in this process asks the pools itself.
  if (fleet_ != nullptr || keeper == nullptr)
    return;
  for (const auto& [pool, scheduler] : schedulers_) {
    AnnouncedNeed& announced = announced_needs_[pool];
    double cores = scheduler->needed_cores(now);
    bool rose = cores > kRiseFactor * announced.cores + kRiseCores;
    if (!rose || now - announced.at < kRiseGap)
      continue;
    announced = {cores, now};
    outbox_.Send(keeper->node, keeper->address, scheduler->Beat(now));
  }
}

void NodeCore::SendBeats(Time now) {
  if (!HasOwned())
    return;
  if (now < next_beat_) {
    Wake(next_beat_);
    return;
  }
  next_beat_ = now + kBeatPeriod;
  Wake(next_beat_);
  for (const auto& [pool, scheduler] : schedulers_) {
    OwnerBeat beat = scheduler->Beat(now);
    intake_.SetLocalBeat(beat, now);
    ObserveDemand(now, beat);
    announced_needs_[pool] = {scheduler->needed_cores(now), now};
    Announce(now, beat);
  }
  if (fleet_ != nullptr)
    Announce(now, fleet_->Beat(now));
}

std::map<PoolId, PoolContact> NodeCore::Contacts(Time now) const {
  constexpr Duration kMaxAge = Milliseconds(1500);
  std::map<PoolId, PoolContact> contacts;
  for (const PoolConfig& pool : config_.pools) {
    auto own = schedulers_.find(pool.id);
    const PoolOwner* owner = leases_.OwnerOf(pool.id);
    OwnerBeat beat;
    PoolContact contact;
    if (own != schedulers_.end()) {
      contact.node = options_.name;
      beat = own->second->Beat(now);
    } else if (owner != nullptr && now - owner->heard < kMaxAge) {
      contact.node = owner->node;
      contact.address = owner->address;
      beat = owner->beat;
    } else {
      continue;
    }
    contact.beat = std::move(beat);
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

void NodeCore::FollowOperators(Time now) {
  if (!IsDue(now, operators_tag_, operators_retry_))
    return;
  // A reading of all that is there, now and then, finds what the changes left
  // out.
  if (now >= next_full_read_) {
    next_full_read_ = now + kFullReadPeriod;
    operators_version_ = 0;
  }
  operators_tag_ = outbox_.Operators(operators_version_, kOperatorsWait);
}

void NodeCore::RegisterNode(Time now) {
  if (!IsDue(now, register_tag_, next_register_))
    return;
  NodeRow row{options_.name,        options_.address,      options_.zone,
              options_.incarnation, shutdown_.has_value(), options_.capacity};
  Transaction transaction;
  transaction.writes.push_back({NodeKey(options_.name), EncodeNode(row)});
  register_tag_ = outbox_.Store(CommitRows{std::move(transaction)});
}

void NodeCore::ScanNodes(Time now) {
  if (!IsDue(now, nodes_tag_, next_nodes_))
    return;
  next_nodes_ = now + (nodes_.size() < 2 ? kFirstNodesPeriod : kNodesPeriod);
  ScanRows scan;
  scan.prefix = NodeKey(MemberId());
  nodes_tag_ = outbox_.Store(std::move(scan));
}

void NodeCore::OnNodes(Time now, const std::vector<Row>& rows) {
  std::vector<LeaseCandidate> live;
  for (const Row& row : rows) {
    std::optional<NodeRow> decoded = DecodeNode(row.value);
    if (!decoded) {
      outbox_.Log("row-unreadable", {{"key", row.key}});
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
  bool short_of = std::any_of(
      schedulers_.begin(), schedulers_.end(),
      [now](const auto& entry) { return entry.second->expects_servers(now); });
  Duration period = std::clamp(
      kServersPeriodPerServer * static_cast<int64_t>(servers_.size()),
      kServersPeriod, kMaxServersPeriod);
  next_servers_ = now + (short_of ? kShortServersPeriod : period);
  servers_tag_ = outbox_.Servers();
}

void NodeCore::NoteStore(Time now, bool answered) {
  if (answered) {
    if (store_lost_logged_) {
      outbox_.Log(
          "store-regained",
          {{"silent_ms", WholeMilliseconds(now - *store_silent_since_)}});
    }
    store_silent_since_.reset();
    intake_.SetStoreLost(false);
    store_lost_logged_ = false;
    return;
  }
  if (!store_silent_since_)
    store_silent_since_ = now;
  intake_.SetStoreLost(now - *store_silent_since_ > kStoreLost);
  if (!store_lost_logged_ && now - *store_silent_since_ > kStoreLost) {
    store_lost_logged_ = true;
    outbox_.Log("store-lost", {});
  }
}

void NodeCore::ListHosts(Time now) {
  bool wanted = fleet_ != nullptr && fleet_->wants_hosts();
  for (const auto& [pool, scheduler] : schedulers_)
    wanted = wanted || scheduler->wants_hosts(now);
  if (!wanted || !IsDue(now, hosts_tag_, next_hosts_))
    return;
  next_hosts_ = now + kHostsPeriod;
  hosts_sent_ = now;
  hosts_tag_ = outbox_.Host(0, radishmoor::ListHosts{});
}

void NodeCore::TickShutdown(Time now) {
  if (!shutdown_ || ended_)
    return;
  Duration stopping = now - *shutdown_;
  Duration limit = options_.grace - kEndMargin;
  bool unanswered = intake_.open_calls() > 0;
  if (stopping >= limit)
    intake_.EndCalls(outbox_);
  bool served = stopping >= kServeAfterStop && !unanswered && !HasOwned();
  bool over = stopping >= limit && !unanswered;
  if (served || over || stopping >= limit + kLastAnswersTime) {
    ended_ = true;
    outbox_.Log("process-ended", {});
    outbox_.End();
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
  intake_.Tick(now, outbox_);
  SendBeats(now);
  AnnounceRise(now);
  DeliverLocal(now);
  DropLost(now);
  FollowOperators(now);
  RegisterNode(now);
  ScanNodes(now);
  ReadServers(now);
  ListHosts(now);
  TickShutdown(now);
  Wake(leases_.next_wake());
  Wake(intake_.next_wake());
  for (auto& [pool, scheduler] : schedulers_)
    Wake(scheduler->next_wake());
  if (fleet_ != nullptr)
    Wake(std::max(fleet_->next_wake(), last_fleet_tick_ + kFleetTickGap));
}

}  // namespace radishmoor
