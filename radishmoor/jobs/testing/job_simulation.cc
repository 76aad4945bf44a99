#include "radishmoor/jobs/testing/job_simulation.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

constexpr Duration kOrderTimeout = Milliseconds(300);
constexpr Duration kMaxLease = Seconds(6);
// Of the store: a partition carries out one transaction after the other, and
// refuses more when so much work waits.
constexpr Duration kTransactionTime = Milliseconds(5);
constexpr Duration kMaxPartitionWait = Seconds(1);
constexpr Duration kStopTime = Milliseconds(100);
constexpr Duration kMaintenanceTime = Seconds(2);
constexpr Duration kListingLapse = Milliseconds(4500);
constexpr double kSlowestClock = 0.98;

std::string Hex(uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4)
    text[static_cast<size_t>(i)] = kDigits[value & 15];
  return text;
}

}  // namespace

struct JobSimulation::Node {
  MemberId name;
  std::string address;
  std::unique_ptr<NodeCore> core;
  uint64_t incarnation_number = 0;
  bool up = false;
  Time frozen_until;
  Time store_cut_until;
  Time servers_cut_until;
  Time peers_cut_until;
  Time wake_at = kTimeMax;
};

struct JobSimulation::Server {
  struct Running {
    RunNumber run = 0;
    Time started;
    Duration length{};
    bool fails = false;
    bool stopping = false;
    std::string checkpoint;
  };
  struct HeldPoll {
    std::function<void()> answer;
  };

  ServerId id;
  HostId host;
  PoolId pool;
  std::string address;
  Resources capacity{16000, 65536, 0};
  bool up = false;
  bool maintenance = false;
  uint64_t incarnation_number = 0;
  WallMillis incarnation_started_at = 0;
  Time started;
  double rate = 1;
  Time ended_at;
  FencingToken fence = 0;
  ServerMillis lease_until = 0;
  std::map<TaskId, Running> running;
  std::map<TaskId, RunNumber> over;  // Highest run that was stopped or ended.
  std::vector<EndedRun> ended;
  std::map<uint64_t, Time> end_times;  // By sequence.
  Time lapsed_at;                      // When the lease last lapsed.
  uint64_t next_end = 1;
  std::vector<HeldPoll> held;
};

struct JobSimulation::Caller {
  JobId id;
  QueueId queue;
  PoolId pool;
  std::string path;
  JobSpec spec;
  int tries = 0;
  bool accepted = false;
  bool cancel_wanted = false;
  std::optional<Time> cancelled;  // Acknowledged.
  std::optional<JobState> shown;  // Last.
  Time final_at;                  // When a final state was first shown.
  bool refused_only = true;       // No try had another outcome.
  bool started = false;
  std::map<TaskId, uint32_t> failures;
  std::map<TaskId, Time> done;  // Taken note of.
  Time last_try;
};

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : options_(options), random_(options.seed) {
  config_.version = 1;
  for (const char* name : {"alpha", "beta"}) {
    config_.pools.push_back({PoolId(name), false});
    QueueConfig queue;
    queue.id = QueueId(std::string("q-") + name);
    queue.host = "jobs.example";
    queue.path_prefix = std::string("/") + name + "/";
    queue.pool = PoolId(name);
    queue.max_attempts = 3;
    queue.slack_factor = 1.6;
    queue.latency_objective = Milliseconds(600);
    config_.queues.push_back(queue);
    for (int i = 0; i < options.servers_per_pool; ++i) {
      auto server = std::make_unique<Server>();
      server->pool = PoolId(name);
      server->host = HostId(std::string(name) + "-" + std::to_string(i));
      server->address = "10.0.0." + std::to_string(servers_.size() + 1) + ":1";
      server->rate = 1 - random_.Unit() * (1 - kSlowestClock);
      servers_.push_back(std::move(server));
      StartServer(servers_.size() - 1,
                  ServerId("s" + std::to_string(next_server_++)));
    }
  }
  config_.pools.push_back({PoolId("spare"), true});
  for (int i = 0; i < options.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->name = MemberId("node-" + std::to_string(i));
    node->address = "10.1.0." + std::to_string(i + 1) + ":1";
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < options.nodes; ++i)
    After(Milliseconds(50 * i), [this, i] { StartNode(i); });
  if (options.wave) {
    MaintenanceWave wave{1, {}, Seconds(25), 2};
    for (size_t i = 0; i < servers_.size(); i += 2)
      wave.hosts.push_back(servers_[i]->host);
    waves_.push_back(std::move(wave));
  }
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::At(Time when, std::function<void()> run) {
  events_.push({when, next_order_++, std::move(run)});
}

void JobSimulation::RunUntil(Time end) {
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    ++counts_.events;
    event.run();
  }
  now_ = end;
}

Duration JobSimulation::Latency() {
  return random_.Between(Microseconds(200), Microseconds(3000));
}

WallMillis JobSimulation::wall() const {
  return 1'800'000'000'000 + now_.time_since_epoch().count() / 1000;
}

void JobSimulation::Violation(std::string what) {
  violations_.push_back("at " +
                        std::to_string(now_.time_since_epoch().count() / 1000) +
                        " ms: " + std::move(what));
}

// Nodes.

void JobSimulation::StartNode(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (node.up)
    return;
  NodeOptions options;
  options.name = node.name;
  options.address = node.address;
  options.zone = ZoneId("z");
  options.incarnation = static_cast<uint64_t>(wall());
  node.core = std::make_unique<NodeCore>(options);
  node.up = true;
  node.wake_at = kTimeMax;
  uint64_t incarnation_number = ++node.incarnation_number;
  OnNode(index, incarnation_number,
         [this](NodeCore& core) { core.Start(now_, wall()); });
}

void JobSimulation::OnNode(int index,
                           uint64_t incarnation_number,
                           std::function<void(NodeCore&)> step) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (!node.up || node.incarnation_number != incarnation_number)
    return;
  if (now_ < node.frozen_until) {
    At(node.frozen_until,
       [this, index, incarnation_number, step = std::move(step)]() mutable {
         OnNode(index, incarnation_number, std::move(step));
       });
    return;
  }
  step(*node.core);
  for (JobAction& action : node.core->TakeActions()) {
    if (!node.up || node.incarnation_number != incarnation_number)
      return;
    Carry(index, std::move(action));
  }
  if (node.up && node.incarnation_number == incarnation_number)
    Wake(index);
}

void JobSimulation::Wake(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  Time when = std::max(node.core->next_wake(), now_ + Microseconds(200));
  if (node.core->next_wake() == kTimeMax || when >= node.wake_at)
    return;
  node.wake_at = when;
  At(when, [this, index, incarnation_number = node.incarnation_number, when] {
    Node& n = *nodes_[static_cast<size_t>(index)];
    if (n.incarnation_number == incarnation_number && n.wake_at == when)
      n.wake_at = kTimeMax;
    OnNode(index, incarnation_number,
           [this](NodeCore& core) { core.Tick(now_, wall()); });
  });
}

void JobSimulation::Carry(int index, JobAction action) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  uint64_t incarnation_number = node.incarnation_number;
  if (auto* call = std::get_if<StoreCall>(&action)) {
    CarryStore(index, incarnation_number, *call);
  } else if (auto* order = std::get_if<OrderToServer>(&action)) {
    CarryOrder(index, incarnation_number, *order);
  } else if (auto* list = std::get_if<ListServers>(&action)) {
    bool reached = now_ >= node.store_cut_until && now_ >= store_down_until_;
    After(Latency() * 2,
          [this, index, incarnation_number, tag = list->tag, reached] {
            ServersReply reply{tag, reached, {}};
            if (reached)
              reply.servers = Listings();
            OnNode(index, incarnation_number, [this, reply](NodeCore& core) {
              core.OnServers(now_, wall(), reply);
            });
          });
  } else if (auto* follow = std::get_if<WatchOperatorChanges>(&action)) {
    DeliverOperatorChanges(index, incarnation_number, *follow);
  } else if (auto* host_call = std::get_if<HostCall>(&action)) {
    CarryHostCall(index, incarnation_number, *host_call);
  } else if (auto* report = std::get_if<ReportWave>(&action)) {
    if (report->completed)
      completed_waves_.insert(report->wave);
    After(Latency(), [this, index, incarnation_number, tag = report->tag] {
      OnNode(index, incarnation_number, [this, tag](NodeCore& core) {
        core.OnStoreAnswer(now_, wall(), {tag, CommittedReply{}});
      });
    });
  } else if (auto* send = std::get_if<SendJobPeer>(&action)) {
    for (int to = 0; to < options_.nodes; ++to) {
      Node& peer = *nodes_[static_cast<size_t>(to)];
      if (peer.name != send->to || now_ < node.peers_cut_until ||
          now_ < peer.peers_cut_until)
        continue;
      // The encoding is part of what is tested.
      std::string bytes =
          EncodeJobPeer({node.name, node.address, send->message});
      After(Latency(), [this, to,
                        peer_incarnation_number = peer.incarnation_number,
                        bytes] {
        std::optional<JobPeerEnvelope> envelope = DecodeJobPeer(bytes);
        if (!envelope) {
          Violation("a message between processes cannot be decoded");
          return;
        }
        OnNode(to, peer_incarnation_number, [this, envelope](NodeCore& core) {
          core.OnPeer(now_, wall(), *envelope);
        });
      });
    }
  } else if (auto* answer = std::get_if<JobCallAnswer>(&action)) {
    OnAnswer(*answer);
  } else if (std::holds_alternative<EndJobProcess>(action)) {
    node.up = false;
    After(Milliseconds(400), [this, index] { StartNode(index); });
  }
}

void JobSimulation::CarryStore(int index,
                               uint64_t incarnation_number,
                               const StoreCall& call) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  auto answer = [this, index, incarnation_number, tag = call.tag](
                    Duration delay, StoreReply reply) {
    After(delay, [this, index, incarnation_number, tag,
                  reply = std::move(reply)] {
      OnNode(index, incarnation_number, [this, tag, reply](NodeCore& core) {
        core.OnStoreAnswer(now_, wall(), {tag, reply});
      });
    });
  };
  Duration timeout =
      call.timeout > Duration::zero() ? call.timeout : Milliseconds(1200);
  if (now_ < node.store_cut_until || now_ < store_down_until_) {
    if (random_.Chance(0.5))
      answer(Latency(), UnavailableReply{"down"});
    else
      answer(timeout, UnknownReply{"silent"});
    return;
  }
  bool write = std::holds_alternative<CommitRows>(call.request);
  bool lost = write && random_.Chance(options_.lost_answers);
  Duration travel = Slowed(Latency());
  if (lost && random_.Chance(0.3))
    travel = random_.Between(Seconds(1), Seconds(6));  // Carried out late.
  std::optional<Time> turn = StoreTurn(now_ + travel, call.request);
  if (!turn) {
    answer(travel + Slowed(Latency()), UnavailableReply{"busy"});
    return;
  }
  Duration back = Slowed(Latency());
  bool late = *turn + back - now_ > timeout;
  At(*turn, [this, answer, call, back, unanswered = lost || late] {
    StoreReply reply = table_.Handle(call.request);
    if (auto* rows = std::get_if<RowsReply>(&reply))
      rows->clock = now_ - kTimeZero;
    if (auto* committed = std::get_if<CommittedReply>(&reply))
      committed->clock = now_ - kTimeZero;
    if (!unanswered)
      answer(back, std::move(reply));
  });
  if (lost || late)
    answer(timeout, UnknownReply{"lost"});
}

Duration JobSimulation::Slowed(Duration usual) const {
  return now_ < store_slow_until_
             ? Duration(static_cast<int64_t>(
                   store_factor_ * static_cast<double>(usual.count())))
             : usual;
}

std::optional<Time> JobSimulation::StoreTurn(Time arrives,
                                             const StoreRequest& request) {
  const auto* commit = std::get_if<CommitRows>(&request);
  if (commit == nullptr || commit->transaction.writes.empty())
    return arrives;
  const std::string& key = commit->transaction.writes.front().key;
  size_t part = key.find('/') + 1;
  Time& busy = partitions_[key.substr(part, key.find('/', part) - part)];
  if (busy > arrives + kMaxPartitionWait)
    return std::nullopt;
  busy = std::max(busy, arrives) + Slowed(kTransactionTime);
  return busy;
}

void JobSimulation::DeliverOperatorChanges(int index,
                                           uint64_t incarnation_number,
                                           const WatchOperatorChanges& follow) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  OperatorChanges reply;
  reply.tag = follow.tag;
  reply.answered = now_ >= node.store_cut_until && now_ >= store_down_until_;
  Duration delay = follow.after == 0 ? Latency() * 2 : follow.wait;
  if (reply.answered) {
    reply.version = 1;
    if (follow.after == 0) {
      reply.config = config_;
      reply.waves = waves_;
    }
  }
  After(delay, [this, index, incarnation_number, reply] {
    OnNode(index, incarnation_number, [this, reply](NodeCore& core) {
      core.OnOperatorChanges(now_, wall(), reply);
    });
  });
}

void JobSimulation::CarryHostCall(int index,
                                  uint64_t incarnation_number,
                                  const HostCall& call) {
  HostReply reply;
  reply.tag = call.tag;
  reply.outcome = HostOutcome::kDone;
  if (const auto* maintain = std::get_if<MaintainHost>(&call.request)) {
    for (size_t i = 0; i < servers_.size(); ++i) {
      Server& server = *servers_[i];
      if (server.host != maintain->host)
        continue;
      if (!server.up) {
        reply.outcome = HostOutcome::kBusy;
        continue;
      }
      for (const auto& [task, run] : server.running) {
        auto caller = callers_.find(task.job);
        if (caller != callers_.end() && !caller->second->cancelled &&
            caller->second->spec.long_running())
          Violation("maintenance ends a long-running task");
      }
      int down = 0;
      for (const auto& other : servers_)
        down += other->maintenance ? 1 : 0;
      if (down >= static_cast<int>(waves_.front().max_at_once))
        Violation("more hosts under maintenance than the wave allows");
      ++counts_.maintained;
      EndServer(server);
      server.maintenance = true;
      After(kMaintenanceTime, [this, i] {
        servers_[i]->maintenance = false;
        StartServer(i, ServerId("s" + std::to_string(next_server_++)));
      });
    }
  } else if (std::holds_alternative<MoveHost>(call.request)) {
    reply.outcome = HostOutcome::kRefused;  // Moves are not modelled.
  } else {
    for (const auto& server : servers_) {
      HostListing host;
      host.host = server->host;
      host.pool = server->pool;
      host.state = server->up            ? ListedHostState::kUp
                   : server->maintenance ? ListedHostState::kMaintenance
                                         : ListedHostState::kDown;
      host.capacity = server->capacity;
      if (server->up)
        host.server = server->id;
      reply.hosts.push_back(std::move(host));
    }
  }
  After(Latency() * 2, [this, index, incarnation_number, reply] {
    OnNode(index, incarnation_number, [this, reply](NodeCore& core) {
      core.OnHostReply(now_, wall(), reply);
    });
  });
}

int JobSimulation::OwnerOf(const PoolId& pool) const {
  for (int i = 0; i < options_.nodes; ++i) {
    if (Owns(i, pool))
      return i;
  }
  return -1;
}

bool JobSimulation::Owns(int index, const PoolId& pool) const {
  const Node& node = *nodes_[static_cast<size_t>(index)];
  return node.up && node.core->pools().contains(pool);
}

// Servers.

std::vector<ServerListing> JobSimulation::Listings() const {
  std::vector<ServerListing> listings;
  for (const auto& server : servers_) {
    if (!server->up && now_ - server->ended_at > kListingLapse)
      continue;
    ServerListing listing;
    listing.id = server->id;
    listing.pool = server->pool;
    listing.address = server->address;
    listing.capacity = server->capacity;
    listing.incarnation_started_at = server->incarnation_started_at;
    listings.push_back(std::move(listing));
  }
  return listings;
}

void JobSimulation::StartServer(size_t index, ServerId id) {
  Server& server = *servers_[index];
  server.id = std::move(id);
  server.up = true;
  ++server.incarnation_number;
  server.incarnation_started_at =
      wall() + static_cast<WallMillis>(server.incarnation_number);
  server.started = now_;
  server.fence = 0;
  server.lease_until = 0;
  server.running.clear();
  server.over.clear();
  server.ended.clear();
  server.next_end = 1;
  server.end_times.clear();
  server.lapsed_at = kTimeZero;
}

void JobSimulation::EndServer(Server& server) {
  server.up = false;
  server.ended_at = now_;
  server.running.clear();
  server.held.clear();
  ++server.incarnation_number;
}

ServerMillis JobSimulation::ClockOf(const Server& server) const {
  return static_cast<ServerMillis>(
      static_cast<double>((now_ - server.started).count()) / 1000 *
      server.rate);
}

void JobSimulation::CarryOrder(int index,
                               uint64_t incarnation_number,
                               const OrderToServer& order) {
  auto answer = [this, index, incarnation_number](Duration delay,
                                                  ServerReply reply) {
    After(delay, [this, index, incarnation_number, reply = std::move(reply)] {
      OnNode(index, incarnation_number, [this, reply](NodeCore& core) {
        core.OnServerReply(now_, wall(), reply);
      });
    });
  };
  const auto* server_poll = std::get_if<PollServer>(&order.order);
  Duration timeout = server_poll != nullptr
                         ? server_poll->wait + Milliseconds(400)
                         : kOrderTimeout;
  ServerReply lost;
  lost.tag = order.tag;
  lost.server = order.server;
  Server* target = nullptr;
  for (const auto& server : servers_) {
    if (server->address == order.address)
      target = server.get();
  }
  if (target != nullptr && std::holds_alternative<StartRun>(order.order))
    last_start_by_[{index, target->pool}] = now_;
  bool late = server_poll == nullptr && random_.Chance(options_.late_orders);
  bool cut = now_ < nodes_[static_cast<size_t>(index)]->servers_cut_until;
  if (target == nullptr || cut) {
    answer(timeout, lost);
    return;
  }
  Duration arrives =
      late ? random_.Between(Seconds(2), Seconds(12)) : Latency();
  if (late)
    answer(timeout, lost);
  auto answered = std::make_shared<bool>(late);
  if (!late) {
    // A server that is gone does not answer.
    After(timeout, [answered, answer, lost] {
      if (!std::exchange(*answered, true))
        answer(Duration::zero(), lost);
    });
  }
  After(arrives, [this, target, order, answered, answer, late,
                  server_incarnation_number = target->incarnation_number] {
    // The server itself holds a late order, which is lost with its life.
    if (!target->up ||
        (late && target->incarnation_number != server_incarnation_number))
      return;
    ServerReply reply;
    reply.tag = order.tag;
    reply.server = order.server;
    if (target->id != order.server) {
      reply.outcome = OrderOutcome::kOtherIncarnation;
      if (!std::exchange(*answered, true))
        answer(Latency(), reply);
      return;
    }
    reply = Apply(*target, order);
    const auto* poll_order = std::get_if<PollServer>(&order.order);
    bool holds = poll_order != nullptr && poll_order->wait > Duration::zero() &&
                 reply.outcome == OrderOutcome::kDone && reply.ended.empty();
    if (!holds) {
      if (!std::exchange(*answered, true))
        answer(Latency(), reply);
      return;
    }
    auto finish = [this, target, order, answered, answer,
                   server_incarnation_number = target->incarnation_number] {
      if (*answered || !target->up ||
          target->incarnation_number != server_incarnation_number)
        return;
      *answered = true;
      OrderToServer again = order;
      // The lease and the acknowledgement took effect at the arrival.
      std::get<PollServer>(again.order) = {};
      answer(Latency(), Apply(*target, again));
    };
    target->held.push_back({finish});
    After(poll_order->wait, finish);
  });
}

ServerReply JobSimulation::Apply(Server& server, const OrderToServer& order) {
  ExpireLeases(server);
  ServerReply reply;
  reply.tag = order.tag;
  reply.server = order.server;
  reply.clock = ClockOf(server);
  reply.incarnation_started_at = server.incarnation_started_at;
  reply.outcome = OrderOutcome::kDone;
  if (order.token < server.fence) {
    reply.outcome = OrderOutcome::kFenced;
    return reply;
  }
  server.fence = order.token;
  ServerMillis longest = ClockOf(server) + kMaxLease.count() / 1000;
  if (const auto* start = std::get_if<StartRun>(&order.order)) {
    server.lease_until =
        std::max(server.lease_until, std::min(start->lease_until, longest));
    ApplyStart(server, *start, reply);
  } else if (const auto* stop = std::get_if<StopRun>(&order.order)) {
    RunNumber& over = server.over[stop->task];
    over = std::max(over, stop->run);
    auto it = server.running.find(stop->task);
    if (it != server.running.end() && it->second.run <= stop->run &&
        !it->second.stopping) {
      it->second.stopping = true;
      After(kStopTime, [this, &server, task = stop->task,
                        incarnation_number = server.incarnation_number] {
        if (server.up && server.incarnation_number == incarnation_number &&
            server.running.contains(task) && server.running.at(task).stopping)
          EndRun(server, task, RunEnd::kStopped);
      });
    }
  } else if (const auto* server_poll = std::get_if<PollServer>(&order.order)) {
    server.lease_until = std::max(server.lease_until,
                                  std::min(server_poll->lease_until, longest));
    for (const EndedRun& ended : server.ended) {
      auto caller = callers_.find(ended.task.job);
      // An end from before a lapse is not known to have been seen in time.
      bool noted = ended.sequence <= server_poll->acknowledged &&
                   server.lapsed_at < server.end_times[ended.sequence];
      if (noted && ended.end == RunEnd::kDone && caller != callers_.end())
        caller->second->done.try_emplace(ended.task, now_);
    }
    std::erase_if(server.ended, [server_poll](const EndedRun& ended) {
      return ended.sequence <= server_poll->acknowledged;
    });
    for (const auto& [task, run] : server.running) {
      double share = static_cast<double>((now_ - run.started).count()) /
                     static_cast<double>(run.length.count());
      auto caller = callers_.find(task.job);
      bool long_running =
          caller != callers_.end() && caller->second->spec.long_running();
      reply.running.push_back(
          {task, run.run, run.checkpoint,
           long_running ? 100
                        : std::min(99u, static_cast<uint32_t>(share * 100)),
           0});
    }
    reply.ended = server.ended;
  }
  return reply;
}

void JobSimulation::ApplyStart(Server& server,
                               const StartRun& start,
                               ServerReply& reply) {
  auto it = server.running.find(start.task);
  if (it != server.running.end() && it->second.run == start.run)
    return;  // It is there already.
  auto over = server.over.find(start.task);
  if (it != server.running.end() ||
      (over != server.over.end() && start.run <= over->second)) {
    reply.outcome = OrderOutcome::kStaleRun;
    return;
  }
  if (ClockOf(server) >= start.lease_until) {
    reply.outcome = OrderOutcome::kTooLate;
    return;
  }
  CheckStart(server, start);
  ++counts_.starts;
  Server::Running run;
  run.run = start.run;
  run.started = now_;
  const Caller& caller = *callers_.at(start.task.job);
  const StepSpec& step = caller.spec.steps[start.task.step];
  double factor = 0.5 + random_.Unit();
  if (random_.Chance(0.03))
    factor *= 7;
  run.length = step.long_running
                   ? Seconds(100'000)
                   : Duration(static_cast<int64_t>(
                         static_cast<double>(step.estimate.count()) * factor));
  run.fails = random_.Chance(0.02);
  server.running[start.task] = run;
  After(run.length, [this, &server, task = start.task, number = start.run,
                     incarnation_number = server.incarnation_number] {
    auto found = server.running.find(task);
    if (!server.up || server.incarnation_number != incarnation_number ||
        found == server.running.end() || found->second.run != number)
      return;
    EndRun(server, task, found->second.fails ? RunEnd::kFailed : RunEnd::kDone);
  });
}

void JobSimulation::CheckStart(const Server& server, const StartRun& start) {
  std::string name = FormatTask(start.task);
  auto found = callers_.find(start.task.job);
  if (found == callers_.end()) {
    Violation(name + " starts, and no caller submitted its job");
    return;
  }
  Caller& caller = *found->second;
  caller.started = true;
  if (caller.spec.payload != start.payload)
    Violation(name + " starts with another payload");
  if (caller.pool != server.pool)
    Violation(name + " starts in another pool");
  if (caller.cancelled && now_ - *caller.cancelled > Seconds(3))
    Violation(name + " starts after its job was cancelled");
  const StepSpec& step = caller.spec.steps[start.task.step];
  for (const auto& other : servers_) {
    if (!other->up || step.speculative)
      continue;
    // Leases that have lapsed by the server's own clock end its runs.
    ExpireLeases(*other);
    if (other.get() != &server && other->running.contains(start.task))
      Violation(name + " runs on " + other->id.str() + " and starts on " +
                server.id.str());
  }
  if (!step.long_running && !step.speculative &&
      caller.done.contains(start.task))
    Violation(name + " starts after its success was acknowledged");
  for (uint32_t before : step.after) {
    for (uint32_t i = 0; i < caller.spec.steps[before].count; ++i) {
      TaskId earlier{start.task.job, 0, before, i};
      bool done = caller.done.contains(earlier);
      for (const auto& other : servers_) {
        for (const EndedRun& ended : other->ended)
          done = done || (ended.task == earlier && ended.end == RunEnd::kDone);
      }
      auto ends = caller.failures.find(earlier);
      done =
          done || (ends != caller.failures.end() && ends->second == UINT32_MAX);
      if (!done)
        Violation(name + " starts before " + FormatTask(earlier) + " is done");
    }
  }
  Resources used = step.request;
  for (const auto& [task, run] : server.running) {
    auto owner = callers_.find(task.job);
    if (owner != callers_.end())
      used += owner->second->spec.steps[task.step].request;
  }
  if (!used.Fits(server.capacity))
    Violation(name + " does not fit on " + server.id.str());
  if (!step.long_running && caller.failures.contains(start.task) &&
      caller.failures[start.task] != UINT32_MAX &&
      caller.failures[start.task] >= 3)
    Violation(name + " starts after its last attempt failed");
}

void JobSimulation::EndRun(Server& server, const TaskId& task, RunEnd end) {
  auto it = server.running.find(task);
  RunNumber run = it->second.run;
  server.running.erase(it);
  RunNumber& over = server.over[task];
  over = std::max(over, run);
  server.end_times[server.next_end] = now_;
  server.ended.push_back({server.next_end++, task, run, end, ""});
  auto caller = callers_.find(task.job);
  if (caller != callers_.end()) {
    uint32_t& failures = caller->second->failures[task];
    if (end == RunEnd::kDone)
      failures = UINT32_MAX;  // It was done once; its server may be lost.
    else if (end == RunEnd::kFailed && failures != UINT32_MAX)
      ++failures;
  }
  for (Server::HeldPoll& held : std::exchange(server.held, {}))
    held.answer();
}

void JobSimulation::ExpireLeases(Server& server) {
  if (!server.up || ClockOf(server) <= server.lease_until)
    return;
  server.lapsed_at = now_;
  std::vector<TaskId> lapsed;
  for (const auto& [task, run] : server.running)
    lapsed.push_back(task);
  for (const TaskId& task : lapsed) {
    // The answer to a poll that was held back may have ended it by now.
    if (!server.running.contains(task))
      continue;
    ++counts_.lapsed;
    EndRun(server, task, RunEnd::kLeaseExpired);
  }
}

// Callers.

void JobSimulation::SubmitJob() {
  submitting_ = callers_on_;
  if (!callers_on_)
    return;
  After(random_.Exponential(
            Duration(static_cast<int64_t>(1e6 / options_.jobs_per_second))),
        [this] { SubmitJob(); });
  auto caller = std::make_unique<Caller>();
  caller->id = JobId(Hex(random_.Next()));
  const QueueConfig& queue =
      config_.queues[random_.Below(config_.queues.size())];
  caller->queue = queue.id;
  caller->pool = queue.pool;
  caller->path = queue.path_prefix + caller->id.str();
  caller->spec.payload = "payload of " + caller->id.str();
  bool long_running = random_.Chance(0.02);
  auto steps = long_running ? 1 : 1 + random_.Below(3);
  for (uint32_t i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = static_cast<uint32_t>(1 + random_.Below(6));
    step.request = {static_cast<int64_t>(200 + random_.Below(2500)),
                    static_cast<int64_t>(100 + random_.Below(4000)), 0};
    step.estimate =
        Milliseconds(static_cast<int64_t>(100 + random_.Below(900)));
    if (i > 0)
      step.after = {i - 1};
    step.long_running = long_running;
    step.allowed_missing = 1;
    if (long_running) {
      step.count = 2;
      step.max_per_server = 1;
    }
    step.speculative = !long_running && random_.Chance(0.2);
    step.checkpointing = random_.Chance(0.3);
    caller->spec.steps.push_back(step);
  }
  caller->cancel_wanted = long_running || random_.Chance(0.05);
  Caller& added = *caller;
  callers_[added.id] = std::move(caller);
  SendCall(added,
           radishmoor::SubmitJob{"jobs.example", added.path, added.spec});
}

void JobSimulation::SendCall(Caller& caller, JobCallRequest request) {
  int index = static_cast<int>(random_.Below(nodes_.size()));
  Node& node = *nodes_[static_cast<size_t>(index)];
  JobCall call;
  call.id = next_call_++;
  call.request = std::move(request);
  calls_[call.id] = caller.id;
  call_sent_[call.id] = now_;
  caller.last_try = now_;
  if (std::holds_alternative<radishmoor::SubmitJob>(call.request)) {
    ++caller.tries;
    JobCallId id = call.id;
    // No answer within the time limit: the outcome is open.
    After(Seconds(3), [this, id, job = caller.id] {
      if (calls_.erase(id) == 0)
        return;
      Caller& c = *callers_.at(job);
      c.refused_only = false;
      if (!c.accepted && c.tries < 5)
        SendCall(c, radishmoor::SubmitJob{"jobs.example", c.path, c.spec});
    });
  }
  if (!node.up)
    return;
  After(Latency(), [this, index, incarnation_number = node.incarnation_number,
                    call]() mutable {
    call.arrived = now_;
    OnNode(index, incarnation_number,
           [this, call](NodeCore& core) { core.OnCall(now_, wall(), call); });
  });
}

void JobSimulation::OnAnswer(const JobCallAnswer& answer) {
  auto call = calls_.extract(answer.id);
  if (call.empty())
    return;
  Caller& caller = *callers_.at(call.mapped());
  switch (answer.outcome) {
    case CallOutcome::kAccepted:
      caller.refused_only = false;
      if (!std::exchange(caller.accepted, true)) {
        ++counts_.accepted;
        PollJob(caller.id);
      }
      return;
    case CallOutcome::kState: {
      JobState before = caller.shown.value_or(JobState::kQueued);
      // Answers to calls that crossed may come in another order.
      if (IsFinal(before) && call_sent_[answer.id] < caller.final_at)
        return;
      if (IsFinal(before) && answer.state != before)
        Violation(caller.id.str() + " changes its state after its end");
      if (answer.state == JobState::kCompleted) {
        for (uint32_t s = 0; s < caller.spec.steps.size(); ++s) {
          for (uint32_t i = 0; i < caller.spec.steps[s].count; ++i) {
            TaskId task{caller.id, 0, s, i};
            auto ends = caller.failures.find(task);
            if (ends == caller.failures.end() || ends->second != UINT32_MAX)
              Violation(caller.id.str() + " is shown as completed early");
          }
        }
      }
      if (answer.state == JobState::kCancelled && !caller.cancel_wanted)
        Violation(caller.id.str() + " is shown as cancelled without cause");
      if (!IsFinal(before) && IsFinal(answer.state)) {
        caller.final_at = now_;
        counts_.completed += answer.state == JobState::kCompleted ? 1 : 0;
        counts_.failed += answer.state == JobState::kFailed ? 1 : 0;
        counts_.cancelled += answer.state == JobState::kCancelled ? 1 : 0;
      }
      caller.shown = answer.state;
      return;
    }
    case CallOutcome::kCancelled:
      if (!caller.cancelled)
        caller.cancelled = now_;
      return;
    case CallOutcome::kNoJob:
      if (caller.accepted)
        Violation(caller.id.str() + " is said not to exist");
      return;
    case CallOutcome::kOverloaded:
    case CallOutcome::kUnavailable:
      ++counts_.refused;
      break;
    default:
      caller.refused_only = false;
      break;
  }
  if (!caller.accepted && caller.tries < 5) {
    After(Milliseconds(700), [this, id = caller.id] {
      Caller& c = *callers_.at(id);
      if (!c.accepted)
        SendCall(c, radishmoor::SubmitJob{"jobs.example", c.path, c.spec});
    });
  }
}

void JobSimulation::PollJob(const JobId& id) {
  Caller& caller = *callers_.at(id);
  if (caller.shown && IsFinal(*caller.shown))
    return;
  if (caller.cancel_wanted && !caller.cancelled && random_.Chance(0.2))
    SendCall(caller, CancelJob{"jobs.example", caller.path});
  else
    SendCall(caller, ReadJob{"jobs.example", caller.path});
  After(Milliseconds(500), [this, id] { PollJob(id); });
}

size_t JobSimulation::unfinished() const {
  size_t open = 0;
  for (const auto& [id, caller] : callers_) {
    bool ended = caller->shown && IsFinal(*caller->shown);
    if (caller->accepted && !ended && !caller->spec.long_running())
      ++open;
  }
  return open;
}

// Faults.

void JobSimulation::KillNode(int index, Duration down) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (!node.up)
    return;
  node.up = false;
  ++node.incarnation_number;
  After(down, [this, index] { StartNode(index); });
}

void JobSimulation::StopNode(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  OnNode(index, node.incarnation_number,
         [this](NodeCore& core) { core.Shutdown(now_, wall()); });
}

void JobSimulation::FreezeNode(int index, Duration length) {
  nodes_[static_cast<size_t>(index)]->frozen_until = now_ + length;
}

void JobSimulation::CutNodeFromStore(int index, Duration length) {
  nodes_[static_cast<size_t>(index)]->store_cut_until = now_ + length;
}

void JobSimulation::CutNodeFromServers(int index, Duration length) {
  nodes_[static_cast<size_t>(index)]->servers_cut_until = now_ + length;
}

void JobSimulation::CutNodeOff(int index, Duration length) {
  CutNodeFromStore(index, length);
  CutNodeFromServers(index, length);
  nodes_[static_cast<size_t>(index)]->peers_cut_until = now_ + length;
}

void JobSimulation::CrashServer(int index, Duration down, bool same_id) {
  auto i = static_cast<size_t>(index);
  Server& server = *servers_[i];
  if (!server.up)
    return;
  EndServer(server);
  After(down, [this, i, same_id] {
    Server& s = *servers_[i];
    if (s.up || s.maintenance)
      return;
    StartServer(
        i, same_id ? s.id : ServerId("s" + std::to_string(next_server_++)));
  });
}

std::optional<Time> JobSimulation::LastStartBy(int node,
                                               const PoolId& pool) const {
  auto it = last_start_by_.find({node, pool});
  return it == last_start_by_.end() ? std::nullopt : std::optional(it->second);
}

void JobSimulation::SlowStore(double factor, Duration length) {
  store_factor_ = factor;
  store_slow_until_ = now_ + length;
}

void JobSimulation::StoreOutage(Duration length) {
  store_down_until_ = now_ + length;
}

void JobSimulation::RandomFault() {
  if (!faults_)
    return;
  After(random_.Exponential(options_.fault_period), [this] { RandomFault(); });
  ++counts_.faults;
  int node = static_cast<int>(random_.Below(nodes_.size()));
  if (random_.Chance(0.5)) {
    int owner = OwnerOf(config_.pools[random_.Below(2)].id);
    node = owner >= 0 ? owner : node;
  }
  int server = static_cast<int>(random_.Below(servers_.size()));
  switch (random_.Below(8)) {
    case 0:
      KillNode(node, random_.Between(Milliseconds(300), Seconds(4)));
      break;
    case 1:
      StopNode(node);
      break;
    case 2:
      FreezeNode(node, random_.Between(Milliseconds(500), Seconds(5)));
      break;
    case 3:
      CutNodeFromStore(node, random_.Between(Seconds(1), Seconds(7)));
      break;
    case 4:
      CutNodeFromServers(node, random_.Between(Seconds(1), Seconds(7)));
      break;
    case 5:
    case 6:
      CrashServer(server, random_.Between(Milliseconds(500), Seconds(6)),
                  random_.Chance(0.5));
      break;
    default:
      if (random_.Chance(0.4))
        StoreOutage(random_.Between(Seconds(1), Seconds(5)));
      break;
  }
}

void JobSimulation::Run(Duration length) {
  callers_on_ = true;
  if (!submitting_) {
    submitting_ = true;
    After(Seconds(2), [this] { SubmitJob(); });
  }
  if (options_.fault_period > Duration::zero() && !faults_) {
    faults_ = true;
    After(Seconds(3), [this] { RandomFault(); });
  }
  RunUntil(now_ + length);
}

void JobSimulation::Settle() {
  callers_on_ = false;
  faults_ = false;
  options_.lost_answers = 0;
  options_.late_orders = 0;
  RunUntil(now_ + Seconds(40));
  for (const auto& [id, caller] : callers_) {
    if (caller->started && caller->refused_only)
      Violation(id.str() + " has run, and all tries were refused");
  }
}

}  // namespace radishmoor
