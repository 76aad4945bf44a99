#include "radishmoor/jobs/testing/job_simulation.h"

#include <algorithm>
#include <utility>

namespace radishmoor {
namespace {

constexpr Duration kOrderTimeout = Milliseconds(300);
constexpr Duration kMaxServerLease = Seconds(6);
// The store performs the transactions of a partition one after the other, and
// refuses more once the waiting ones need longer than kMaxPartitionWait.
constexpr Duration kTransactionTime = Milliseconds(5);
constexpr Duration kMaxPartitionWait = Seconds(1);
// A task that has not been at work for this long counts as missing.
constexpr Duration kMissingNotice = Milliseconds(4500);
constexpr uint32_t kLastingTasks = 4;
constexpr Duration kLastingCheckPeriod = Milliseconds(250);
// Range of the times that a drained server stays, and until it comes back.
constexpr Duration kMinDrainTime = Seconds(2);
constexpr Duration kMaxDrainTime = Seconds(6);
constexpr Duration kAbsenceAfterDrain = Seconds(3);
// Range of the time for which a handover stops a process.
constexpr Duration kMinHandoverPause = Milliseconds(300);
constexpr Duration kMaxHandoverPause = Seconds(3);
// A gang whose members do not all run after this time ends.
constexpr Duration kMaxGangWait = Seconds(3);
constexpr Duration kMaintenanceTime = Seconds(2);
constexpr Duration kMoveTime = Milliseconds(1500);
constexpr Duration kHostCallTimeout = Milliseconds(1500);
// A job fails when one of its tasks has failed this often.
constexpr uint32_t kMaxAttempts = 3;
// Range of the time for which a queue is missing from the configuration.
constexpr Duration kMinQueueAbsence = Seconds(2);
constexpr Duration kMaxQueueAbsence = Seconds(8);
// Run time and number of the tasks of a hopeless job.
constexpr Duration kMinHopelessRunTime = Seconds(3);
constexpr Duration kMaxHopelessRunTime = Seconds(7);
constexpr uint32_t kHopelessTasks = 16;
// Run time of a long job's tasks, as a multiple of the estimate.
constexpr double kLongJobFactor = 6;
// Number of the tasks of a large job; a job may have up to kMaxTasksPerJob.
constexpr uint32_t kMinLargeJobTasks = 2200;
// Largest value of a row that the store takes.
constexpr size_t kRowLimit = 32768;
// Range of the time in which a crashed server starts again under its id.
constexpr Duration kMinRestartTime = Milliseconds(50);
constexpr Duration kMaxRestartTime = Milliseconds(400);
// A server that has ended is listed for this long.
constexpr Duration kListingExpiry = Milliseconds(4500);
// The clock of each incarnation of a server starts anywhere up to this.
constexpr uint64_t kMaxClockStartMs = 5'000'000;
// An order that finds its server down may wait this long for a connection.
constexpr Duration kMaxConnectionWait = Milliseconds(500);
// Range of the times from a server's restart to its cut, and of the cut.
constexpr Duration kMaxRestartToCut = Milliseconds(2500);
constexpr Duration kMinServerCut = Seconds(2);
constexpr Duration kMaxServerCut = Seconds(10);
// Time after which a job that has not begun must be counted as pending.
constexpr Duration kPendingVisible = Seconds(5);
constexpr Duration kPendingQueryPeriod = Seconds(1);
constexpr double kRepeatedSubmissionShare = 0.4;
constexpr Duration kMaxRepeatDelay = Seconds(8);
// Share of the moves of a queue in which it is removed for a moment.
constexpr double kRemovalInMoveShare = 0.4;
constexpr Duration kMaxRemovalInMove = Milliseconds(1500);
// The clock of each server runs at a constant rate between this and 1.
constexpr double kMinServerClockRate = 0.98;

std::string Hex(uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4)
    text[static_cast<size_t>(i)] = kDigits[value & 15];
  return text;
}

std::string FormatDecision(const Decision& decision) {
  std::string line(decision.event);
  for (const DecisionField& field : decision.fields) {
    line += " " + std::string(field.key) + "=";
    if (const auto* number = std::get_if<int64_t>(&field.value))
      line += std::to_string(*number);
    else
      line += std::get<std::string>(field.value);
  }
  return line;
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
  Duration processor_time{};
};

struct JobSimulation::Server {
  struct Running {
    RunNumber run = 0;
    Time started_at;
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
  uint64_t maintenance_wave = 0;  // The wave of the last maintenance.
  bool maintained = false;        // In the last wave.
  bool moving = false;
  // The fleet coordinator's last call for the host that was carried out.
  FencingToken last_call_token = 0;
  MemberId last_caller;
  Time last_call_at;
  uint64_t incarnation_number = 0;
  WallMillis incarnation_started_at = 0;
  Time started_at;
  ServerMillis clock_start = 0;
  bool draining = false;
  Time cut_until;  // No node reaches the server before this time.
  double clock_rate = 1;
  Time ended_at;
  FencingToken highest_token = 0;
  ServerMillis lease_until = 0;
  std::map<TaskId, Running> running;
  // Highest run of each task that has ended or was ordered to stop.
  std::map<TaskId, RunNumber> highest_ended_run;
  std::vector<EndedRun> ended;
  std::map<uint64_t, Time> end_times;  // By EndedRun::sequence.
  Time lease_expired_at;  // When an expired lease was last noticed.
  uint64_t next_end_sequence = 1;
  std::vector<HeldPoll> held_polls;
};

struct JobSimulation::Caller {
  // A task of a long-running step as its server sees it.
  struct LongRunningTask {
    // An order ended the task's last run. The task is missing until a later run
    // is at work.
    bool ended_by_order = false;
    Time last_at_work;
    Time last_running;  // At the last check of lasting jobs.
  };

  JobId id;
  QueueId queue;
  PoolId pool;
  std::string path;
  JobSpec spec;
  bool hopeless = false;  // All runs of its tasks fail.
  bool is_long = false;   // Its tasks take kLongJobFactor times as long.
  int submissions = 0;
  bool accepted = false;
  bool cancel_wanted = false;
  std::optional<Time> cancelled;  // When the cancellation was acknowledged.
  std::optional<JobState> reported_state;  // The last one.
  Time final_state_at;  // When a final state was first reported.
  bool all_submissions_refused = true;  // No submission had another outcome.
  std::optional<PoolId> started_in;
  Time accepted_at;
  bool task_started = false;
  // Failed runs of each task; UINT32_MAX once a run of the task has succeeded.
  std::map<TaskId, uint32_t> failures;
  // Failed runs of each task, also of those that have succeeded, and the
  // highest number of them.
  std::map<TaskId, std::set<RunNumber>> failed_runs;
  uint32_t most_failures = 0;
  // Number of tasks of each step that have succeeded, and the last success.
  std::map<uint32_t, std::pair<uint32_t, Time>> successes;
  std::set<uint32_t> started_steps;
  // When the owner first acknowledged the success of a task to its server.
  std::map<TaskId, Time> acknowledged_done_at;
  // Runs of each task that had failed at its last start, and those whose
  // failures the owner has acknowledged to the servers.
  std::map<TaskId, std::set<RunNumber>> failed_before_start;
  std::map<TaskId, std::set<RunNumber>> acknowledged_failures;
  Time last_call_at;
  Time submitted_at;
  bool cancel_sent = false;
  std::map<TaskId, LongRunningTask> long_running_tasks;
};

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : options_(options),
      random_(options.seed),
      clock_random_(options.seed),
      handover_random_(options.seed),
      adviser_(options.adviser) {
  table_.SetRowLimit(kRowLimit);
  config_.version = 1;
  for (const char* name : {"alpha", "beta"}) {
    config_.pools.push_back({PoolId(name), false});
    QueueConfig queue;
    queue.id = QueueId(std::string("q-") + name);
    queue.host = "jobs.example";
    queue.path_prefix = std::string("/") + name + "/";
    queue.pool = PoolId(name);
    queue.settings.max_attempts = kMaxAttempts;
    queue.settings.slack_factor = 1.6;
    queue.settings.latency_objective = Milliseconds(600);
    queue.settings.needs_advice = NeedsAdvice(queue.pool);
    queue.settings.adviser_pace = {options.adviser.per_request,
                                   options.adviser.per_server};
    config_.queues.push_back(queue);
    for (int i = 0; i < options.servers_per_pool; ++i) {
      auto server = std::make_unique<Server>();
      server->pool = PoolId(name);
      server->host = HostId(std::string(name) + "-" + std::to_string(i));
      server->address = "10.0.0." + std::to_string(servers_.size() + 1) + ":1";
      server->clock_rate = 1 - random_.Unit() * (1 - kMinServerClockRate);
      servers_.push_back(std::move(server));
      StartServer(servers_.size() - 1,
                  ServerId("s" + std::to_string(next_server_++)));
    }
  }
  all_queues_ = config_.queues;
  for (const QueueConfig& queue : config_.queues)
    queue_pools_[queue.id].insert(queue.pool);
  if (options.spare_pool)
    config_.pools.push_back({PoolId("spare"), true});
  for (int i = 0; i < options.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->name = MemberId("node-" + std::to_string(i));
    node->address = "10.1.0." + std::to_string(i + 1) + ":1";
    nodes_.push_back(std::move(node));
  }
  for (int i = 0; i < options.nodes; ++i)
    ScheduleAfter(Milliseconds(50 * i), [this, i] { StartNode(i); });
  if (options.waves > 0)
    StartWave();
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::ScheduleAt(Time when, std::function<void()> run) {
  events_.push({when, next_event_sequence_++, std::move(run)});
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

Duration JobSimulation::RandomLatency() {
  return random_.Between(Microseconds(200), Microseconds(3000));
}

WallMillis JobSimulation::wall() const {
  return 1'800'000'000'000 + now_.time_since_epoch().count() / 1000;
}

void JobSimulation::AddViolation(std::string what) {
  violations_.push_back("at " +
                        std::to_string(now_.time_since_epoch().count() / 1000) +
                        " ms: " + std::move(what));
}

void JobSimulation::StartNode(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (node.up)
    return;
  NodeOptions options;
  options.name = node.name;
  options.address = node.address;
  options.zone = ZoneId("z");
  options.incarnation = static_cast<uint64_t>(wall());
  options.relay_orders_per_second = options_.relay_orders_per_second;
  options.bounds.max_row_bytes = kRowLimit;
  node.core = std::make_unique<NodeCore>(options);
  node.up = true;
  node.wake_at = kTimeMax;
  uint64_t incarnation_number = ++node.incarnation_number;
  RunOnNode(index, incarnation_number,
            [this](NodeCore& core) { core.Start(now_, wall()); });
}

void JobSimulation::RunOnNode(int index,
                              uint64_t incarnation_number,
                              std::function<void(NodeCore&)> callback) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (!node.up || node.incarnation_number != incarnation_number)
    return;
  if (now_ < node.frozen_until) {
    ScheduleAt(node.frozen_until, [this, index, incarnation_number,
                                   callback = std::move(callback)]() mutable {
      RunOnNode(index, incarnation_number, std::move(callback));
    });
    return;
  }
  if (options_.processor_time == nullptr) {
    callback(*node.core);
  } else {
    Duration start = options_.processor_time();
    callback(*node.core);
    node.processor_time += options_.processor_time() - start;
  }
  for (JobAction& action : node.core->TakeActions()) {
    if (!node.up || node.incarnation_number != incarnation_number)
      return;
    PerformAction(index, std::move(action));
  }
  if (node.up && node.incarnation_number == incarnation_number)
    ScheduleTick(index);
}

void JobSimulation::ScheduleTick(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  Time when = std::max(node.core->next_wake(), now_ + Microseconds(200));
  if (node.core->next_wake() == kTimeMax || when >= node.wake_at)
    return;
  node.wake_at = when;
  ScheduleAt(
      when, [this, index, incarnation_number = node.incarnation_number, when] {
        Node& n = *nodes_[static_cast<size_t>(index)];
        if (n.incarnation_number == incarnation_number && n.wake_at == when)
          n.wake_at = kTimeMax;
        RunOnNode(index, incarnation_number,
                  [this](NodeCore& core) { core.Tick(now_, wall()); });
      });
}

void JobSimulation::PerformAction(int index, JobAction action) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  uint64_t incarnation_number = node.incarnation_number;
  if (auto* call = std::get_if<StoreCall>(&action)) {
    PerformStoreCall(index, incarnation_number, *call);
  } else if (auto* order = std::get_if<OrderToServer>(&action)) {
    PerformOrder(index, incarnation_number, *order);
  } else if (auto* advice = std::get_if<PlacementAdviceRequest>(&action)) {
    PerformAdviceRequest(index, incarnation_number, *advice);
  } else if (auto* list = std::get_if<ListServers>(&action)) {
    bool reached = now_ >= node.store_cut_until && now_ >= store_down_until_;
    ScheduleAfter(RandomLatency() * 2, [this, index, incarnation_number,
                                        tag = list->tag, reached] {
      ServersReply reply{tag, reached, {}};
      if (reached)
        reply.servers = Listings();
      RunOnNode(index, incarnation_number, [this, reply](NodeCore& core) {
        core.OnServerList(now_, wall(), reply);
      });
    });
  } else if (auto* watch = std::get_if<WatchOperatorChanges>(&action)) {
    DeliverOperatorChanges(index, incarnation_number, *watch);
  } else if (auto* host_call = std::get_if<HostCall>(&action)) {
    PerformHostCall(index, incarnation_number, *host_call);
  } else if (auto* report = std::get_if<ReportWave>(&action)) {
    bool completed =
        report->completed && completed_waves_.insert(report->wave).second;
    if (completed && waves_.size() < static_cast<size_t>(options_.waves))
      StartWave();
    ScheduleAfter(
        RandomLatency(), [this, index, incarnation_number, tag = report->tag] {
          RunOnNode(index, incarnation_number, [this, tag](NodeCore& core) {
            core.OnStoreAnswer(now_, wall(), {tag, CommittedReply{}});
          });
        });
  } else if (auto* send = std::get_if<SendJobPeer>(&action)) {
    for (int to = 0; to < options_.nodes; ++to) {
      Node& peer = *nodes_[static_cast<size_t>(to)];
      if (peer.name != send->to || now_ < node.peers_cut_until ||
          now_ < peer.peers_cut_until)
        continue;
      // Messages are encoded and decoded so that the codec is tested too.
      std::string bytes =
          EncodeJobPeer({node.name, node.address, send->message});
      ScheduleAfter(
          RandomLatency(),
          [this, to, peer_incarnation_number = peer.incarnation_number, bytes] {
            std::optional<JobPeerEnvelope> envelope = DecodeJobPeer(bytes);
            if (!envelope) {
              AddViolation("a message between processes cannot be decoded");
              return;
            }
            RunOnNode(to, peer_incarnation_number,
                      [this, envelope](NodeCore& core) {
                        core.OnPeer(now_, wall(), *envelope);
                      });
          });
    }
  } else if (auto* broadcast = std::get_if<BroadcastToPeers>(&action)) {
    for (const PeerAddress& to : broadcast->to)
      PerformAction(index,
                    SendJobPeer{to.node, to.address, broadcast->message});
  } else if (auto* answer = std::get_if<JobCallAnswer>(&action)) {
    OnCallAnswer(*answer);
  } else if (auto* decision = std::get_if<Decision>(&action)) {
    if (options_.on_decision)
      options_.on_decision(now_, node.name, FormatDecision(*decision));
  } else if (std::holds_alternative<EndJobProcess>(action)) {
    node.up = false;
    ScheduleAfter(Milliseconds(400), [this, index] { StartNode(index); });
  }
}

void JobSimulation::PerformAdviceRequest(
    int index,
    uint64_t incarnation_number,
    const PlacementAdviceRequest& request) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  auto place_of = [this](const ServerId& id) -> SimulatedAdviser::Place {
    size_t position = 0;
    for (const auto& server : servers_) {
      if (server->pool == PoolId("alpha") && server->id == id)
        return {position, server->incarnation_started_at};
      position += server->pool == PoolId("alpha") ? 1 : 0;
    }
    return {};
  };
  SimulatedAdviser::Result result{now_ + request.time_limit, {request.tag}};
  if (now_ >= node.servers_cut_until &&
      !random_.Chance(options_.lost_advice_share)) {
    std::string process =
        node.name.str() + "/" + std::to_string(incarnation_number);
    SimulatedAdviser::Result answered =
        adviser_.Request(now_, process, request, place_of);
    // An answer after the time limit is not received.
    if (answered.answered_at < result.answered_at)
      result = std::move(answered);
  }
  ScheduleAt(result.answered_at + RandomLatency(),
             [this, index, incarnation_number, reply = result.reply] {
               RunOnNode(index, incarnation_number,
                         [this, reply](NodeCore& core) {
                           core.OnPlacementAdvice(now_, wall(), reply);
                         });
             });
}

void JobSimulation::PerformStoreCall(int index,
                                     uint64_t incarnation_number,
                                     const StoreCall& call) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  auto answer = [this, index, incarnation_number, tag = call.tag](
                    Duration delay, StoreReply reply) {
    ScheduleAfter(delay, [this, index, incarnation_number, tag,
                          reply = std::move(reply)] {
      RunOnNode(index, incarnation_number, [this, tag, reply](NodeCore& core) {
        core.OnStoreAnswer(now_, wall(), {tag, reply});
      });
    });
  };
  Duration timeout =
      call.timeout > Duration::zero() ? call.timeout : Milliseconds(1200);
  if (now_ < node.store_cut_until || now_ < store_down_until_) {
    if (random_.Chance(0.5))
      answer(RandomLatency(), UnavailableReply{"down"});
    else
      answer(timeout, UnknownReply{"silent"});
    return;
  }
  bool write = std::holds_alternative<CommitRows>(call.request);
  bool lost = write && random_.Chance(options_.lost_answer_share);
  Duration request_latency = WithStoreSlowdown(RandomLatency());
  // A request that is performed late does not delay the ones that arrive before
  // it.
  bool performed_late = lost && random_.Chance(0.3);
  if (performed_late)
    request_latency = random_.Between(Seconds(1), Seconds(6));
  std::optional<Time> done_at =
      performed_late ? now_ + request_latency
                     : RequestDoneAt(now_ + request_latency, call.request);
  if (!done_at) {
    answer(request_latency + WithStoreSlowdown(RandomLatency()),
           UnavailableReply{"busy"});
    return;
  }
  Duration answer_latency = WithStoreSlowdown(RandomLatency());
  bool late = *done_at + answer_latency - now_ > timeout;
  ScheduleAt(*done_at,
             [this, answer, call, answer_latency, unanswered = lost || late] {
               StoreReply reply = table_.Handle(call.request);
               if (auto* rows = std::get_if<RowsReply>(&reply))
                 rows->clock = now_ - kTimeZero;
               if (auto* committed = std::get_if<CommittedReply>(&reply))
                 committed->clock = now_ - kTimeZero;
               if (!unanswered)
                 answer(answer_latency, std::move(reply));
             });
  if (lost || late)
    answer(timeout, UnknownReply{"lost"});
}

Duration JobSimulation::WithStoreSlowdown(Duration usual) const {
  return now_ < store_slow_until_
             ? Duration(static_cast<int64_t>(
                   store_slowdown_ * static_cast<double>(usual.count())))
             : usual;
}

std::optional<Time> JobSimulation::RequestDoneAt(Time arrives,
                                                 const StoreRequest& request) {
  const auto* commit = std::get_if<CommitRows>(&request);
  if (commit == nullptr || commit->transaction.writes.empty())
    return arrives;
  const std::string& key = commit->transaction.writes.front().key;
  size_t partition_start = key.find('/') + 1;
  Time& busy_until = partition_busy_until_[key.substr(
      partition_start, key.find('/', partition_start) - partition_start)];
  if (busy_until > arrives + kMaxPartitionWait)
    return std::nullopt;
  busy_until =
      std::max(busy_until, arrives) + WithStoreSlowdown(kTransactionTime);
  return busy_until;
}

void JobSimulation::DeliverOperatorChanges(int index,
                                           uint64_t incarnation_number,
                                           const WatchOperatorChanges& watch) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  OperatorChanges reply;
  reply.tag = watch.tag;
  reply.answered = now_ >= node.store_cut_until && now_ >= store_down_until_;
  Duration delay = watch.after == 0 ? RandomLatency() * 2 : watch.wait;
  if (reply.answered) {
    reply.version = config_.version;
    if (watch.after < config_.version)
      reply.config = config_;
    if (watch.after < config_.version)
      reply.waves = waves_;
  }
  ScheduleAfter(delay, [this, index, incarnation_number, reply] {
    RunOnNode(index, incarnation_number, [this, reply](NodeCore& core) {
      core.OnOperatorChanges(now_, wall(), reply);
    });
  });
}

void JobSimulation::PerformHostCall(int index,
                                    uint64_t incarnation_number,
                                    const HostCall& call) {
  auto answer = [this, index, incarnation_number](Duration delay,
                                                  HostReply reply) {
    ScheduleAfter(
        delay, [this, index, incarnation_number, reply = std::move(reply)] {
          RunOnNode(index, incarnation_number, [this, reply](NodeCore& core) {
            core.OnHostReply(now_, wall(), reply);
          });
        });
  };
  const Node& node = *nodes_[static_cast<size_t>(index)];
  // A call on a connection that is cut waits in the send buffer. It is
  // delivered when the cut heals, unless the connection was reset before.
  Time reset_at = std::min(now_ + kHostCallTimeout, call.valid_until);
  Time delivered_at = std::max(now_, node.store_cut_until);
  if (delivered_at >= reset_at) {
    answer(std::max(reset_at - now_, Duration::zero()), {call.tag});
    return;
  }
  if (delivered_at == now_ &&
      std::holds_alternative<MaintainHost>(call.request) &&
      options_.late_maintenance_share > 0 &&
      random_.Chance(options_.late_maintenance_share)) {
    DelayHostCall(node.name, call);
    answer(reset_at - now_, {call.tag});
    return;
  }
  if (delivered_at == now_) {
    answer(RandomLatency() * 2, ExecuteHostCall(node.name, call, now_));
    return;
  }
  ++counts_.delayed_host_calls;
  ScheduleAt(delivered_at, [this, answer, caller = node.name, call] {
    answer(RandomLatency(), ExecuteHostCall(caller, call, now_));
  });
}

void JobSimulation::DelayHostCall(const MemberId& caller,
                                  const HostCall& call) {
  ++counts_.delayed_host_calls;
  Time performed_at =
      now_ + random_.Between(Duration::zero(), call.valid_until - now_);
  ScheduleAt(performed_at, [this, caller, call, sent_at = now_] {
    ExecuteHostCall(caller, call, sent_at);
  });
}

HostReply JobSimulation::ExecuteHostCall(const MemberId& caller,
                                         const HostCall& call,
                                         Time sent_at) {
  HostReply reply;
  reply.tag = call.tag;
  reply.outcome = HostOutcome::kDone;
  const auto* maintain = std::get_if<MaintainHost>(&call.request);
  const auto* move = std::get_if<MoveHost>(&call.request);
  if (maintain == nullptr && move == nullptr) {
    reply.hosts = HostListings();
    return reply;
  }
  const HostId& host = maintain != nullptr ? maintain->host : move->host;
  auto found = std::find_if(
      servers_.begin(), servers_.end(),
      [&host](const auto& server) { return server->host == host; });
  if (found == servers_.end()) {
    reply.outcome = HostOutcome::kRefused;
    return reply;
  }
  Server& server = **found;
  CheckHostCall(server, caller, call.token, sent_at);
  if (move != nullptr && move->pool == server.pool)
    return reply;  // The host has been moved already.
  if (maintain != nullptr && maintain->wave != waves_.back().number) {
    reply.outcome = HostOutcome::kWrongWave;
    return reply;
  }
  if (maintain != nullptr && server.maintained && !server.maintenance)
    return reply;  // The host has been maintained already.
  bool standby = server.pool == PoolId("spare");
  if (server.maintenance || server.moving || (!server.up && !standby)) {
    reply.outcome = HostOutcome::kBusy;
    return reply;
  }
  // A coordinator keeps the host empty until its call is answered; after its
  // end, nobody does.
  int coordinator = FleetCoordinatorNode();
  bool caller_acts = coordinator >= 0 &&
                     nodes_[static_cast<size_t>(coordinator)]->name == caller;
  bool held_up = sent_at < now_ && !caller_acts;
  EndRunsIfLeaseExpired(server);
  for (const auto& [task, run] : server.running) {
    auto job = callers_.find(task.job);
    if (!held_up && job != callers_.end() && !job->second->cancelled &&
        job->second->spec.long_running())
      AddViolation(maintain != nullptr ? "maintenance ends a long-running task"
                                       : "a move ends a long-running task");
  }
  if (server.up)
    EndServer(server);
  auto index = static_cast<size_t>(found - servers_.begin());
  if (maintain != nullptr)
    MaintainServer(index);
  else
    MoveServer(index, move->pool);
  return reply;
}

void JobSimulation::CheckHostCall(Server& server,
                                  const MemberId& caller,
                                  FencingToken token,
                                  Time sent_at) {
  if (token < server.last_call_token) {
    AddViolation("a call for host " + server.host.str() + " with token " +
                 std::to_string(token) + " is carried out after one with " +
                 std::to_string(server.last_call_token));
  }
  bool other_caller =
      server.last_call_token != 0 &&
      (server.last_caller != caller || server.last_call_token != token);
  if (other_caller &&
      sent_at - server.last_call_at < PlatformBounds{}.host_operation_lease) {
    AddViolation("two coordinators call for host " + server.host.str() +
                 " within the lease");
  }
  server.last_call_token = std::max(server.last_call_token, token);
  server.last_caller = caller;
  server.last_call_at = std::max(server.last_call_at, sent_at);
}

void JobSimulation::StartWave() {
  MaintenanceWave wave{waves_.size() + 1, {}, Seconds(25), 2};
  for (size_t i = waves_.size() % 2; i < servers_.size(); i += 2) {
    wave.hosts.push_back(servers_[i]->host);
    servers_[i]->maintained = false;
  }
  waves_.push_back(std::move(wave));
  ++config_.version;
}

void JobSimulation::MaintainServer(size_t index) {
  int down = 0;
  const MaintenanceWave& wave = waves_.back();
  for (const auto& other : servers_)
    down +=
        other->maintenance && other->maintenance_wave == wave.number ? 1 : 0;
  if (down >= static_cast<int>(wave.max_at_once))
    AddViolation("more hosts under maintenance than the wave allows");
  servers_[index]->maintenance_wave = wave.number;
  ++counts_.maintained_hosts;
  servers_[index]->maintenance = servers_[index]->maintained = true;
  ScheduleAfter(kMaintenanceTime, [this, index] {
    servers_[index]->maintenance = false;
    StartServerUnlessStandby(index);
  });
}

void JobSimulation::MoveServer(size_t index, const PoolId& pool) {
  ++counts_.moved_hosts;
  servers_[index]->moving = true;
  servers_[index]->pool = pool;
  ScheduleAfter(kMoveTime, [this, index] {
    servers_[index]->moving = false;
    StartServerUnlessStandby(index);
  });
}

void JobSimulation::StartServerUnlessStandby(size_t index) {
  if (servers_[index]->pool != PoolId("spare"))
    StartServer(index, ServerId("s" + std::to_string(next_server_++)));
}

std::vector<HostListing> JobSimulation::HostListings() const {
  std::vector<HostListing> hosts;
  for (const auto& server : servers_) {
    HostListing host;
    host.host = server->host;
    host.pool = server->pool;
    bool usable = server->up || server->pool == PoolId("spare");
    host.state = server->maintenance ? ListedHostState::kMaintenance
                 : server->moving    ? ListedHostState::kMoving
                 : usable            ? ListedHostState::kUp
                                     : ListedHostState::kDown;
    host.capacity = server->capacity;
    if (server->up)
      host.server = server->id;
    hosts.push_back(std::move(host));
  }
  return hosts;
}

Duration JobSimulation::ProcessorTimeOf(int index) const {
  return nodes_[static_cast<size_t>(index)]->processor_time;
}

int JobSimulation::FleetCoordinatorNode() const {
  for (int i = 0; i < options_.nodes; ++i) {
    const Node& node = *nodes_[static_cast<size_t>(i)];
    if (node.up && node.core->coordinates_fleet())
      return i;
  }
  return -1;
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

std::vector<ServerListing> JobSimulation::Listings() const {
  std::vector<ServerListing> listings;
  for (const auto& server : servers_) {
    if (!server->up && now_ - server->ended_at > kListingExpiry)
      continue;
    ServerListing listing;
    listing.id = server->id;
    listing.pool = server->pool;
    listing.address = server->address;
    listing.zone = ZoneId("z");
    listing.capacity = server->capacity;
    listing.incarnation_started_at = server->incarnation_started_at;
    listing.draining = server->draining;
    listings.push_back(std::move(listing));
  }
  return listings;
}

void JobSimulation::StartServer(size_t index, ServerId id) {
  Server& server = *servers_[index];
  server.id = std::move(id);
  server.up = true;
  server.draining = false;
  ++server.incarnation_number;
  server.incarnation_started_at =
      wall() + static_cast<WallMillis>(server.incarnation_number);
  server.started_at = now_;
  server.clock_start =
      static_cast<ServerMillis>(clock_random_.Below(kMaxClockStartMs));
  server.highest_token = 0;
  server.lease_until = 0;
  server.running.clear();
  server.highest_ended_run.clear();
  server.ended.clear();
  server.next_end_sequence = 1;
  server.end_times.clear();
  server.lease_expired_at = kTimeZero;
}

void JobSimulation::EndServer(Server& server) {
  for (const auto& [task, run] : server.running) {
    auto caller = callers_.find(task.job);
    if (caller != callers_.end() && IsAtWork(server, task))
      caller->second->long_running_tasks[task] = {false, now_, now_};
  }
  server.up = false;
  server.ended_at = now_;
  for (const auto& [task, run] : std::exchange(server.running, {})) {
    auto caller = callers_.find(task.job);
    if (caller != callers_.end() && caller->second->spec.steps[task.step].gang)
      EndGang(task, run.run, true);
  }
  server.held_polls.clear();
  ++server.incarnation_number;
}

ServerMillis JobSimulation::ServerClock(const Server& server) const {
  return server.clock_start +
         static_cast<ServerMillis>(
             static_cast<double>((now_ - server.started_at).count()) / 1000 *
             server.clock_rate);
}

void JobSimulation::PerformOrder(int index,
                                 uint64_t incarnation_number,
                                 const OrderToServer& order) {
  auto answer = [this, index, incarnation_number](Duration delay,
                                                  ServerReply reply) {
    ScheduleAfter(
        delay, [this, index, incarnation_number, reply = std::move(reply)] {
          RunOnNode(index, incarnation_number, [this, reply](NodeCore& core) {
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
  // Sites without late orders keep their random numbers for other events.
  bool may_be_late = server_poll == nullptr || options_.late_order_share > 0;
  bool late = may_be_late && random_.Chance(options_.late_order_share);
  bool cut = now_ < nodes_[static_cast<size_t>(index)]->servers_cut_until ||
             (target != nullptr && now_ < target->cut_until);
  if (target == nullptr || cut) {
    answer(timeout, lost);
    return;
  }
  Duration arrives =
      late ? random_.Between(Seconds(2), Seconds(12)) : RandomLatency();
  if (late)
    answer(timeout, lost);
  auto answered = std::make_shared<bool>(late);
  if (!late) {
    // Without an answer, the order is reported as unanswered after the timeout.
    ScheduleAfter(timeout, [answered, answer, lost] {
      if (!std::exchange(*answered, true))
        answer(Duration::zero(), lost);
    });
  }
  // The connection of an order may wait for a server that is down.
  Duration connection_wait =
      options_.late_order_share > 0
          ? random_.Between(Duration::zero(), kMaxConnectionWait)
          : Duration::zero();
  if (options_.orders_wait_for_restart && !late)
    connection_wait = random_.Between(Duration::zero(), timeout);
  if (!target->up)
    arrives = std::max(arrives, connection_wait);
  ScheduleAfter(arrives, [this, target, order, answered, answer, late] {
    if (!target->up)
      return;
    ServerReply reply;
    reply.tag = order.tag;
    reply.server = order.server;
    if (target->id != order.server) {
      reply.outcome = OrderOutcome::kOtherIncarnation;
      if (!std::exchange(*answered, true))
        answer(RandomLatency(), reply);
      return;
    }
    reply = ApplyOrder(*target, order, late);
    const auto* poll_order = std::get_if<PollServer>(&order.order);
    bool answer_held =
        poll_order != nullptr && poll_order->wait > Duration::zero() &&
        reply.outcome == OrderOutcome::kDone && reply.ended.empty();
    if (!answer_held) {
      if (now_ >= target->cut_until && !std::exchange(*answered, true))
        answer(RandomLatency(), reply);
      return;
    }
    auto finish = [this, target, order, answered, answer,
                   server_incarnation_number = target->incarnation_number] {
      if (*answered || !target->up || now_ < target->cut_until ||
          target->incarnation_number != server_incarnation_number)
        return;
      *answered = true;
      OrderToServer again = order;
      // The lease and the acknowledgement took effect when the poll
      // arrived.
      std::get<PollServer>(again.order) = {};
      answer(RandomLatency(), ApplyOrder(*target, again, false));
    };
    target->held_polls.push_back({finish});
    ScheduleAfter(poll_order->wait, finish);
  });
}

ServerReply JobSimulation::ApplyOrder(Server& server,
                                      const OrderToServer& order,
                                      bool late) {
  EndRunsIfLeaseExpired(server);
  ServerReply reply;
  reply.tag = order.tag;
  reply.server = order.server;
  reply.clock = ServerClock(server);
  // Only lists of runs tell which incarnation has answered.
  if (std::holds_alternative<PollServer>(order.order))
    reply.incarnation_started_at = server.incarnation_started_at;
  reply.outcome = OrderOutcome::kDone;
  if (order.token < server.highest_token) {
    reply.outcome = OrderOutcome::kFenced;
    return reply;
  }
  server.highest_token = order.token;
  ServerMillis longest = ServerClock(server) + kMaxServerLease.count() / 1000;
  if (const auto* start = std::get_if<StartRun>(&order.order)) {
    server.lease_until =
        std::max(server.lease_until, std::min(start->lease_until, longest));
    ApplyStart(server, *start, late, reply);
  } else if (const auto* stop = std::get_if<StopRun>(&order.order)) {
    RunNumber& highest_ended = server.highest_ended_run[stop->task];
    highest_ended = std::max(highest_ended, stop->run);
    auto it = server.running.find(stop->task);
    if (it != server.running.end() && it->second.run <= stop->run &&
        !it->second.stopping) {
      OnRunEndedByOrder(server, stop->task, late);
      it->second.stopping = true;
      ScheduleAfter(options_.run_stop_time, [this, &server, task = stop->task,
                                             incarnation_number =
                                                 server.incarnation_number] {
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
      // For an end before the last expiry of the lease, it is not known whether
      // the owner received it in time.
      bool received =
          ended.sequence <= server_poll->acknowledged &&
          server.lease_expired_at < server.end_times[ended.sequence];
      if (!received || caller == callers_.end())
        continue;
      if (ended.end == RunEnd::kDone)
        caller->second->acknowledged_done_at.try_emplace(ended.task, now_);
      if (ended.end == RunEnd::kFailed) {
        caller->second->acknowledged_failures[ended.task].insert(ended.run);
        CheckAttempts(*caller->second, ended.task);
      }
    }
    std::erase_if(server.ended, [server_poll](const EndedRun& ended) {
      return ended.sequence <= server_poll->acknowledged;
    });
    for (const auto& [task, run] : server.running) {
      double share = static_cast<double>((now_ - run.started_at).count()) /
                     static_cast<double>(run.length.count());
      auto caller = callers_.find(task.job);
      bool long_running =
          caller != callers_.end() && caller->second->spec.long_running();
      reply.running.push_back(
          {task, run.run, run.checkpoint,
           long_running
               ? (now_ - run.started_at >= options_.startup_time ? 100u : 0u)
               : std::min(99u, static_cast<uint32_t>(share * 100)),
           0});
    }
    reply.ended = server.ended;
  }
  return reply;
}

void JobSimulation::ApplyStart(Server& server,
                               const StartRun& start,
                               bool late,
                               ServerReply& reply) {
  auto it = server.running.find(start.task);
  if (it != server.running.end() && it->second.run == start.run)
    return;  // The order is a repetition.
  auto highest_ended = server.highest_ended_run.find(start.task);
  if (it != server.running.end() ||
      (highest_ended != server.highest_ended_run.end() &&
       start.run <= highest_ended->second)) {
    reply.outcome = OrderOutcome::kStaleRun;
    return;
  }
  if (ServerClock(server) >= start.lease_until) {
    reply.outcome = OrderOutcome::kTooLate;
    return;
  }
  if (NeedsAdvice(server.pool) &&
      !adviser_.IsValidTicket(now_, start.task, server.id,
                              server.incarnation_started_at, start.ticket)) {
    ++counts_.bad_tickets;
    reply.outcome = OrderOutcome::kBadTicket;
    return;
  }
  CheckStart(server, start, late);
  ++counts_.starts;
  Server::Running run;
  run.run = start.run;
  run.started_at = now_;
  const Caller& caller = *callers_.at(start.task.job);
  const StepSpec& step = caller.spec.steps[start.task.step];
  double factor = 0.5 + random_.Unit();
  if (random_.Chance(0.03))
    factor *= 7;
  if (caller.is_long)
    factor = kLongJobFactor * (0.5 + random_.Unit());
  run.length = step.long_running
                   ? Seconds(100'000)
                   : Duration(static_cast<int64_t>(
                         static_cast<double>(step.estimate.count()) * factor));
  run.fails = random_.Chance(options_.failing_run_share);
  if (caller.hopeless) {
    run.length = random_.Between(kMinHopelessRunTime, kMaxHopelessRunTime);
    run.fails = true;
  }
  server.running[start.task] = run;
  if (step.gang) {
    BeginGangRun(server, start.task);
    return;
  }
  ScheduleAfter(run.length, [this, &server, task = start.task,
                             number = start.run,
                             incarnation_number = server.incarnation_number] {
    auto found = server.running.find(task);
    if (!server.up || server.incarnation_number != incarnation_number ||
        found == server.running.end() || found->second.run != number)
      return;
    EndRun(server, task, found->second.fails ? RunEnd::kFailed : RunEnd::kDone);
  });
}

uint32_t JobSimulation::GangMembers(const TaskId& task, RunNumber run) const {
  uint32_t members = 0;
  for (const auto& server : servers_) {
    for (const auto& [member, member_run] : server->running)
      members += member.job == task.job && member.step == task.step &&
                 member_run.run == run;
  }
  return members;
}

void JobSimulation::BeginGangRun(Server& server, const TaskId& task) {
  const StepSpec& step = callers_.at(task.job)->spec.steps[task.step];
  const Server::Running& run = server.running.at(task);
  RunNumber number = run.run;
  if (GangMembers(task, number) == step.count) {
    ScheduleAfter(run.length,
                  [this, task, number] { EndGang(task, number, false); });
    return;
  }
  ScheduleAfter(kMaxGangWait, [this, &server, task, number,
                               incarnation_number = server.incarnation_number] {
    auto found = server.running.find(task);
    if (!server.up || server.incarnation_number != incarnation_number ||
        found == server.running.end() || found->second.run != number)
      return;
    if (GangMembers(task, number) <
        callers_.at(task.job)->spec.steps[task.step].count)
      EndRun(server, task, RunEnd::kGangAlone);
  });
}

void JobSimulation::EndGang(const TaskId& task, RunNumber run, bool broken) {
  struct Member {
    Server* server;
    TaskId task;
    bool fails;
  };
  std::vector<Member> members;
  for (const auto& server : servers_) {
    for (const auto& [member, member_run] : server->running) {
      if (member.job != task.job || member.step != task.step ||
          member_run.run != run)
        continue;
      members.push_back({server.get(), member, member_run.fails});
      broken = broken || member_run.fails;
    }
  }
  for (const Member& member : members) {
    // EndRun() answers a held poll, which may end the other runs.
    if (!member.server->running.contains(member.task))
      continue;
    EndRun(*member.server, member.task,
           member.fails ? RunEnd::kFailed
           : broken     ? RunEnd::kGangBroken
                        : RunEnd::kDone);
  }
}

void JobSimulation::CheckStart(const Server& server,
                               const StartRun& start,
                               bool late) {
  std::string name = FormatTask(start.task) + (late ? " (a late order)" : "");
  auto found = callers_.find(start.task.job);
  if (found == callers_.end()) {
    AddViolation(name + " starts although no caller submitted its job");
    return;
  }
  Caller& caller = *found->second;
  if (!std::exchange(caller.task_started, true))
    longest_wait_ = std::max(longest_wait_, now_ - caller.submitted_at);
  if (caller.spec.payload != start.payload)
    AddViolation(name + " starts with a payload other than the submitted one");
  if (!queue_pools_[caller.queue].contains(server.pool))
    AddViolation(name + " starts on a server of another pool");
  if (!caller.started_in)
    caller.started_in = server.pool;
  if (*caller.started_in != server.pool)
    AddViolation(name + " starts in a second pool");
  // Bounds of time do not hold for orders that a server carries out late.
  if (!late && caller.cancelled && now_ - *caller.cancelled > Seconds(3))
    AddViolation(name + " starts more than 3 s after its job was cancelled");
  const StepSpec& step = caller.spec.steps[start.task.step];
  for (const auto& other : servers_) {
    if (!other->up || step.speculative)
      continue;
    // Runs whose lease has expired by their server's clock do not count.
    EndRunsIfLeaseExpired(*other);
    if (other.get() != &server && other->running.contains(start.task))
      AddViolation(name + " runs on " + other->id.str() + " and starts on " +
                   server.id.str());
  }
  if (!step.long_running && !step.speculative &&
      caller.acknowledged_done_at.contains(start.task))
    AddViolation(name + " starts after its success was acknowledged");
  for (uint32_t before : step.after) {
    for (uint32_t i = 0; i < caller.spec.steps[before].count; ++i) {
      TaskId earlier{start.task.job, 0, before, i};
      bool done = caller.acknowledged_done_at.contains(earlier);
      for (const auto& other : servers_) {
        for (const EndedRun& ended : other->ended)
          done = done || (ended.task == earlier && ended.end == RunEnd::kDone);
      }
      auto ends = caller.failures.find(earlier);
      done =
          done || (ends != caller.failures.end() && ends->second == UINT32_MAX);
      if (!done)
        AddViolation(name + " starts before " + FormatTask(earlier) +
                     " is done");
    }
  }
  if (caller.started_steps.insert(start.task.step).second &&
      !step.after.empty()) {
    ++counts_.following_steps;
    counts_.step_gaps += now_ - caller.successes[step.after.front()].second;
  }
  Resources used = step.request;
  for (const auto& [task, run] : server.running) {
    auto owner = callers_.find(task.job);
    if (owner != callers_.end())
      used += owner->second->spec.steps[task.step].request;
  }
  if (!used.Fits(server.capacity))
    AddViolation(name + " does not fit on " + server.id.str());
  // The failures may still be lost with their servers.
  if (!step.long_running) {
    caller.failed_before_start[start.task] = caller.failed_runs[start.task];
    CheckAttempts(caller, start.task);
  }
}

void JobSimulation::CheckAttempts(const Caller& caller, const TaskId& task) {
  auto before = caller.failed_before_start.find(task);
  auto acknowledged = caller.acknowledged_failures.find(task);
  if (before == caller.failed_before_start.end() ||
      acknowledged == caller.acknowledged_failures.end())
    return;
  auto both = std::count_if(
      before->second.begin(), before->second.end(),
      [&](RunNumber run) { return acknowledged->second.contains(run); });
  if (both >= static_cast<std::ptrdiff_t>(kMaxAttempts))
    AddViolation(FormatTask(task) +
                 " starts after its last allowed attempt failed");
}

bool JobSimulation::IsAtWork(const Server& server, const TaskId& task) const {
  auto caller = callers_.find(task.job);
  auto run = server.running.find(task);
  return server.up && caller != callers_.end() && run != server.running.end() &&
         !run->second.stopping &&
         caller->second->spec.steps[task.step].long_running &&
         now_ - run->second.started_at >= options_.startup_time;
}

bool JobSimulation::IsAtWork(const TaskId& task) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const auto& server) {
    return IsAtWork(*server, task);
  });
}

void JobSimulation::OnRunEndedByOrder(const Server& server,
                                      const TaskId& task,
                                      bool late) {
  auto found = callers_.find(task.job);
  if (found == callers_.end() ||
      !found->second->spec.steps[task.step].long_running)
    return;
  Caller& caller = *found->second;
  bool at_work = IsAtWork(server, task);
  ++(at_work ? counts_.working_runs_stopped : counts_.starting_runs_stopped);
  // Runs whose lease has expired by their server's clock do not count.
  for (const auto& other : servers_) {
    if (other.get() != &server)
      EndRunsIfLeaseExpired(*other);
  }
  uint32_t missing = 0;
  std::string names;
  const StepSpec& step = caller.spec.steps[task.step];
  for (uint32_t i = 0; i < step.count; ++i) {
    TaskId other{task.job, task.occurrence, task.step, i};
    if (other == task || IsAtWork(other))
      continue;
    auto [state, added] = caller.long_running_tasks.try_emplace(other);
    if (added)
      state->second.last_at_work = state->second.last_running =
          caller.accepted_at;
    if (!state->second.ended_by_order &&
        now_ - state->second.last_at_work < kMissingNotice)
      continue;
    ++missing;
    names += " " + FormatTask(other);
  }
  auto& state = caller.long_running_tasks[task];
  state.ended_by_order = true;
  if (at_work)
    state.last_at_work = now_;
  if (at_work && !late && !server.draining && !caller.cancel_sent &&
      missing >= step.allowed_missing)
    AddViolation(FormatTask(task) +
                 " is stopped while others are missing:" + names);
}

void JobSimulation::EndRun(Server& server, const TaskId& task, RunEnd end) {
  auto it = server.running.find(task);
  RunNumber run = it->second.run;
  if (IsAtWork(server, task))
    callers_.at(task.job)->long_running_tasks[task] = {false, now_, now_};
  server.running.erase(it);
  RunNumber& highest_ended = server.highest_ended_run[task];
  highest_ended = std::max(highest_ended, run);
  server.end_times[server.next_end_sequence] = now_;
  server.ended.push_back({server.next_end_sequence++, task, run, end, ""});
  auto caller = callers_.find(task.job);
  if (caller != callers_.end()) {
    uint32_t& failures = caller->second->failures[task];
    if (end == RunEnd::kDone && failures != UINT32_MAX) {
      auto& [count, last] = caller->second->successes[task.step];
      ++count;
      last = now_;
    }
    if (end == RunEnd::kDone)
      // The success is recorded at once, because the server may be lost before
      // it reports the end.
      failures = UINT32_MAX;
    else if (end == RunEnd::kFailed && failures != UINT32_MAX)
      ++failures;
    std::set<RunNumber>& failed_runs = caller->second->failed_runs[task];
    if (end == RunEnd::kFailed)
      failed_runs.insert(run);
    caller->second->most_failures =
        std::max(caller->second->most_failures,
                 static_cast<uint32_t>(failed_runs.size()));
  }
  for (Server::HeldPoll& held : std::exchange(server.held_polls, {}))
    held.answer();
  bool breaks_gang = end == RunEnd::kStopped || end == RunEnd::kLeaseExpired;
  if (breaks_gang && caller != callers_.end() &&
      caller->second->spec.steps[task.step].gang)
    EndGang(task, run, true);
}

void JobSimulation::EndRunsIfLeaseExpired(Server& server) {
  if (!server.up || ServerClock(server) <= server.lease_until)
    return;
  server.lease_expired_at = now_;
  Time expired_at =
      now_ - Milliseconds(ServerClock(server) - server.lease_until);
  std::vector<TaskId> tasks;
  for (const auto& [task, run] : server.running)
    tasks.push_back(task);
  for (const TaskId& task : tasks) {
    // EndRun() answers a held poll, which may already have ended the other
    // runs.
    if (!server.running.contains(task))
      continue;
    ++counts_.runs_lease_expired;
    bool at_work = IsAtWork(server, task);
    EndRun(server, task, RunEnd::kLeaseExpired);
    if (at_work)
      callers_.at(task.job)->long_running_tasks[task].last_at_work = expired_at;
  }
}

void JobSimulation::SubmitJob() {
  submission_scheduled_ = submissions_enabled_;
  if (!submissions_enabled_)
    return;
  ScheduleAfter(random_.Exponential(Duration(
                    static_cast<int64_t>(1e6 / options_.jobs_per_second))),
                [this] { SubmitJob(); });
  if (config_.queues.empty())
    return;
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
  if (options_.large_job_share > 0 &&
      random_.Chance(options_.large_job_share)) {
    StepSpec step;
    step.count = static_cast<uint32_t>(
        kMinLargeJobTasks +
        random_.Below(kMaxTasksPerJob - kMinLargeJobTasks + 1));
    step.request = {10, 10, 0};
    step.estimate = Seconds(1);
    caller->spec.steps = {step};
    caller->cancel_wanted = false;
  } else if (options_.hopeless_job_share > 0 &&
             random_.Chance(options_.hopeless_job_share)) {
    StepSpec step;
    step.count = kHopelessTasks;
    step.request = {1000, 100, 0};
    step.estimate = Milliseconds(500);
    caller->spec.steps = {step};
    caller->hopeless = true;
    caller->cancel_wanted = false;
  }
  if (options_.long_job_share > 0)
    caller->is_long = random_.Chance(options_.long_job_share);
  if (NeedsAdvice(caller->pool) && random_.Chance(options_.gang_share)) {
    StepSpec step;
    step.count = 3;
    step.request = {9000, 100, 0};
    step.estimate = Milliseconds(500);
    step.gang = true;
    caller->spec.steps = {step};
    caller->hopeless = caller->cancel_wanted = false;
  }
  caller->submitted_at = now_;
  Caller& added = *caller;
  callers_[added.id] = std::move(caller);
  SendCall(added,
           radishmoor::SubmitJob{"jobs.example", added.path, added.spec});
}

void JobSimulation::SubmitLastingJob() {
  auto caller = std::make_unique<Caller>();
  caller->id = JobId(Hex(handover_random_.Next()));
  const QueueConfig& queue =
      all_queues_[handover_random_.Below(all_queues_.size())];
  caller->queue = queue.id;
  caller->pool = queue.pool;
  caller->path = queue.path_prefix + caller->id.str();
  StepSpec step;
  step.count = kLastingTasks;
  step.request = {3000, 1000, 0};
  step.estimate = options_.startup_time;
  step.long_running = true;
  step.allowed_missing = 1;
  caller->spec.steps = {step};
  caller->submitted_at = now_;
  Caller& added = *caller;
  callers_[added.id] = std::move(caller);
  SendCall(added,
           radishmoor::SubmitJob{"jobs.example", added.path, added.spec});
}

void JobSimulation::CheckLastingJobs() {
  if (!handovers_enabled_)
    return;
  ScheduleAfter(kLastingCheckPeriod, [this] { CheckLastingJobs(); });
  for (const auto& [id, caller] : callers_) {
    if (!caller->accepted || !caller->spec.long_running() ||
        caller->cancel_wanted)
      continue;
    const StepSpec& step = caller->spec.steps[0];
    auto has_room = [&](const auto& server) {
      Resources needed = step.request;
      needed += step.request;
      for (const auto& [task, run] : server->running)
        needed += callers_.at(task.job)->spec.steps[task.step].request;
      return server->up && !server->draining && now_ >= server->cut_until &&
             server->pool == caller->pool && needed.Fits(server->capacity);
    };
    for (uint32_t i = 0; i < step.count; ++i) {
      TaskId task{id, 0, 0, i};
      Time& last =
          caller->long_running_tasks
              .try_emplace(task,
                           Caller::LongRunningTask{false, caller->accepted_at,
                                                   caller->accepted_at})
              .first->second.last_running;
      bool runs =
          std::any_of(servers_.begin(), servers_.end(),
                      [&](const auto& s) { return s->running.contains(task); });
      bool room = std::any_of(servers_.begin(), servers_.end(), has_room);
      if (runs || !room)
        last = now_;
      if (now_ - last <= options_.max_lasting_wait)
        continue;
      AddViolation(FormatTask(task) + " does not run although there is room");
      last = now_;
    }
  }
}

void JobSimulation::SendCall(Caller& caller, JobCallRequest request) {
  caller.cancel_sent =
      caller.cancel_sent || std::holds_alternative<CancelJob>(request);
  int index = static_cast<int>(random_.Below(nodes_.size()));
  Node& node = *nodes_[static_cast<size_t>(index)];
  JobCall call;
  call.id = next_call_++;
  call.request = std::move(request);
  calls_[call.id] = caller.id;
  call_sent_[call.id] = now_;
  caller.last_call_at = now_;
  if (std::holds_alternative<radishmoor::SubmitJob>(call.request)) {
    ++caller.submissions;
    JobCallId id = call.id;
    // Without an answer within the time limit the outcome is unknown, and the
    // caller submits the job again.
    ScheduleAfter(Seconds(3), [this, id, job = caller.id] {
      if (calls_.erase(id) == 0)
        return;
      Caller& c = *callers_.at(job);
      c.all_submissions_refused = false;
      if (!c.accepted && c.submissions < 5)
        SendCall(c, radishmoor::SubmitJob{"jobs.example", c.path, c.spec});
    });
  }
  if (!node.up)
    return;
  ScheduleAfter(RandomLatency(), [this, index,
                                  incarnation_number = node.incarnation_number,
                                  call]() mutable {
    call.arrived = now_;
    RunOnNode(index, incarnation_number, [this, call](NodeCore& core) {
      core.OnCall(now_, wall(), call);
    });
  });
}

void JobSimulation::RepeatSubmission(const JobId& id) {
  Caller& caller = *callers_.at(id);
  SendCall(caller,
           radishmoor::SubmitJob{"jobs.example", caller.path, caller.spec});
}

void JobSimulation::QueryPending() {
  if (!queue_moves_enabled_)
    return;
  ScheduleAfter(kPendingQueryPeriod, [this] { QueryPending(); });
  for (const QueueConfig& queue : all_queues_) {
    int index = static_cast<int>(random_.Below(nodes_.size()));
    Node& node = *nodes_[static_cast<size_t>(index)];
    if (!node.up)
      continue;
    JobCall call;
    call.id = next_call_++;
    call.arrived = now_;
    call.request = ReadJob{queue.host, queue.path_prefix};
    pending_calls_[call.id] = queue.id;
    RunOnNode(index, node.incarnation_number, [this, call](NodeCore& core) {
      core.OnCall(now_, wall(), call);
    });
  }
}

void JobSimulation::CheckPending(const QueueId& queue, uint32_t pending) {
  uint32_t waiting = 0;
  for (const auto& [id, caller] : callers_) {
    bool over = caller->cancelled ||
                (caller->reported_state && IsFinal(*caller->reported_state));
    waiting += caller->queue == queue && caller->accepted && !over &&
               !caller->task_started && !caller->cancel_wanted &&
               now_ - caller->accepted_at > kPendingVisible;
  }
  if (pending * 2 < waiting)
    AddViolation(std::to_string(pending) + " jobs of " + queue.str() +
                 " are given as pending, but " + std::to_string(waiting) +
                 " wait");
}

void JobSimulation::OnCallAnswer(const JobCallAnswer& answer) {
  if (auto query = pending_calls_.extract(answer.id); !query.empty()) {
    if (answer.outcome == CallOutcome::kPending)
      CheckPending(query.mapped(), answer.pending);
    return;
  }
  auto call = calls_.extract(answer.id);
  if (call.empty())
    return;
  Caller& caller = *callers_.at(call.mapped());
  switch (answer.outcome) {
    case CallOutcome::kAccepted:
      caller.all_submissions_refused = false;
      if (!std::exchange(caller.accepted, true)) {
        ++counts_.accepted;
        caller.accepted_at = now_;
        PollJob(caller.id);
        if (queue_moves_enabled_ && random_.Chance(kRepeatedSubmissionShare)) {
          ScheduleAfter(random_.Between(Duration::zero(), kMaxRepeatDelay),
                        [this, id = caller.id] { RepeatSubmission(id); });
        }
      }
      return;
    case CallOutcome::kState: {
      JobState before = caller.reported_state.value_or(JobState::kQueued);
      // Ignores the answer to a call that was sent before the final state was
      // reported: answers can overtake each other.
      if (IsFinal(before) && call_sent_[answer.id] < caller.final_state_at)
        return;
      if (IsFinal(before) && answer.state != before)
        AddViolation(caller.id.str() +
                     " changes its reported state after a final one");
      if (answer.state == JobState::kCompleted) {
        for (uint32_t s = 0; s < caller.spec.steps.size(); ++s) {
          for (uint32_t i = 0; i < caller.spec.steps[s].count; ++i) {
            TaskId task{caller.id, 0, s, i};
            auto ends = caller.failures.find(task);
            if (ends == caller.failures.end() || ends->second != UINT32_MAX)
              AddViolation(
                  caller.id.str() +
                  " is reported as completed before all of its tasks are done");
          }
        }
      }
      if (answer.state == JobState::kFailed &&
          caller.most_failures < kMaxAttempts)
        AddViolation(caller.id.str() + " is reported as failed after " +
                     std::to_string(caller.most_failures) +
                     " failed runs of a task");
      if (answer.state == JobState::kCancelled && !caller.cancel_wanted)
        AddViolation(caller.id.str() +
                     " is reported as cancelled without a cancel call");
      if (!IsFinal(before) && IsFinal(answer.state)) {
        caller.final_state_at = now_;
        counts_.completed += answer.state == JobState::kCompleted ? 1 : 0;
        counts_.failed += answer.state == JobState::kFailed ? 1 : 0;
        counts_.cancelled += answer.state == JobState::kCancelled ? 1 : 0;
      }
      caller.reported_state = answer.state;
      return;
    }
    case CallOutcome::kCancelled:
      if (!caller.cancelled)
        caller.cancelled = now_;
      return;
    case CallOutcome::kNoJob:
      if (caller.accepted)
        AddViolation(caller.id.str() +
                     " was accepted and is reported as unknown");
      return;
    case CallOutcome::kOverloaded:
    case CallOutcome::kUnavailable:
      ++counts_.refused;
      break;
    default:
      caller.all_submissions_refused = false;
      break;
  }
  if (!caller.accepted && caller.submissions < 5) {
    ScheduleAfter(Milliseconds(700), [this, id = caller.id] {
      Caller& c = *callers_.at(id);
      if (!c.accepted)
        SendCall(c, radishmoor::SubmitJob{"jobs.example", c.path, c.spec});
    });
  }
}

void JobSimulation::PollJob(const JobId& id) {
  Caller& caller = *callers_.at(id);
  if (caller.reported_state && IsFinal(*caller.reported_state))
    return;
  if (caller.cancel_wanted && !caller.cancelled && random_.Chance(0.2))
    SendCall(caller, CancelJob{"jobs.example", caller.path});
  else
    SendCall(caller, ReadJob{"jobs.example", caller.path});
  ScheduleAfter(Milliseconds(500), [this, id] { PollJob(id); });
}

size_t JobSimulation::unfinished() const {
  size_t open = 0;
  for (const auto& [id, caller] : callers_) {
    bool ended = caller->reported_state && IsFinal(*caller->reported_state);
    if (caller->accepted && !ended && !caller->spec.long_running())
      ++open;
  }
  return open;
}

void JobSimulation::KillNode(int index, Duration down) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  if (!node.up)
    return;
  node.up = false;
  ++node.incarnation_number;
  ScheduleAfter(down, [this, index] { StartNode(index); });
}

void JobSimulation::StopNode(int index) {
  Node& node = *nodes_[static_cast<size_t>(index)];
  RunOnNode(index, node.incarnation_number,
            [this](NodeCore& core) { core.Shutdown(now_, wall()); });
}

void JobSimulation::FreezeNode(int index, Duration length) {
  nodes_[static_cast<size_t>(index)]->frozen_until = now_ + length;
}

void JobSimulation::ObserveLoops(Time next_stall_at) {
  constexpr Duration kLagPeriod = Milliseconds(50);
  Duration lag = now_ >= next_stall_at ? options_.stall : Duration::zero();
  for (int i = 0; i < options_.nodes; ++i) {
    Node& node = *nodes_[static_cast<size_t>(i)];
    if (lag > Duration::zero())
      node.frozen_until = std::max(node.frozen_until, now_ + lag);
    ScheduleAfter(lag, [this, i, lag, incarnation = node.incarnation_number] {
      RunOnNode(i, incarnation,
                [this, lag](NodeCore& core) { core.OnLoopLag(now_, lag); });
    });
  }
  if (now_ >= next_stall_at)
    next_stall_at = now_ + options_.stall_period;
  ScheduleAfter(lag + kLagPeriod,
                [this, next_stall_at] { ObserveLoops(next_stall_at); });
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
  Duration cut_after =
      same_id && options_.restart_cut_share > 0 &&
              random_.Chance(options_.restart_cut_share)
          ? down + random_.Between(Duration::zero(), kMaxRestartToCut)
          : Duration::zero();
  if (cut_after > Duration::zero()) {
    ScheduleAfter(cut_after, [this, index] {
      CutServer(index, random_.Between(kMinServerCut, kMaxServerCut));
    });
  }
  ScheduleAfter(down, [this, i, same_id] {
    Server& s = *servers_[i];
    if (s.up || s.maintenance || s.moving || s.pool == PoolId("spare"))
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
  store_slowdown_ = factor;
  store_slow_until_ = now_ + length;
}

void JobSimulation::StoreOutage(Duration length) {
  store_down_until_ = now_ + length;
}

void JobSimulation::RandomFault() {
  if (!faults_enabled_)
    return;
  ScheduleAfter(random_.Exponential(options_.fault_period),
                [this] { RandomFault(); });
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

void JobSimulation::RestartRandomServer() {
  if (!server_restarts_enabled_)
    return;
  ScheduleAfter(random_.Exponential(options_.server_restart_period),
                [this] { RestartRandomServer(); });
  CrashServer(static_cast<int>(random_.Below(servers_.size())),
              random_.Between(kMinRestartTime, kMaxRestartTime), true);
}

void JobSimulation::ScheduleFault(Duration period,
                                  void (JobSimulation::*fault)()) {
  if (!handovers_enabled_ || period == Duration::zero())
    return;
  ScheduleAfter(handover_random_.Exponential(period), [this, period, fault] {
    if (!handovers_enabled_)
      return;
    ScheduleFault(period, fault);
    (this->*fault)();
  });
}

void JobSimulation::HandOver(int node, HandoverKind kind) {
  ++counts_.handovers;
  Duration pause =
      handover_random_.Between(kMinHandoverPause, kMaxHandoverPause);
  switch (kind) {
    case HandoverKind::kShutdown:
      StopNode(node);
      break;
    case HandoverKind::kKill:
      KillNode(node, pause);
      break;
    case HandoverKind::kFreeze:
      FreezeNode(node, pause);
      break;
    case HandoverKind::kCut:
      CutNodeOff(node, pause);
      break;
  }
}

void JobSimulation::HandOverRandomly() {
  uint64_t choice = handover_random_.Below(3);
  int node =
      choice == 2 ? FleetCoordinatorNode() : OwnerOf(config_.pools[choice].id);
  HandoverKind kind = options_.handover_kinds[handover_random_.Below(
      options_.handover_kinds.size())];
  if (node >= 0)
    HandOver(node, kind);
}

void JobSimulation::DrainServer(int index) {
  Server& server = *servers_[static_cast<size_t>(index)];
  if (!server.up || server.draining || server.moving || server.maintenance)
    return;
  server.draining = true;
  ScheduleAfter(handover_random_.Between(kMinDrainTime, kMaxDrainTime),
                [this, index, &server, number = server.incarnation_number] {
                  if (server.incarnation_number == number)
                    CrashServer(index, kAbsenceAfterDrain, false);
                });
}

void JobSimulation::DrainRandomServer() {
  DrainServer(static_cast<int>(handover_random_.Below(servers_.size())));
}

void JobSimulation::CutRandomServer() {
  CutServer(static_cast<int>(handover_random_.Below(servers_.size())),
            handover_random_.Between(kMinServerCut, kMaxServerCut));
}

void JobSimulation::SetQueueConfigured(const PoolId& pool, bool configured) {
  std::erase_if(config_.queues, [&pool](const QueueConfig& queue) {
    return queue.pool == pool;
  });
  for (const QueueConfig& queue : all_queues_) {
    if (configured && queue.pool == pool)
      config_.queues.push_back(queue);
  }
  ++config_.version;
}

void JobSimulation::CutServer(int server, Duration length) {
  servers_[static_cast<size_t>(server)]->cut_until = now_ + length;
}

void JobSimulation::MoveQueue(const QueueId& queue, const PoolId& pool) {
  for (std::vector<QueueConfig>* queues : {&all_queues_, &config_.queues}) {
    for (QueueConfig& config : *queues) {
      if (config.id == queue)
        config.pool = pool;
    }
  }
  queue_pools_[queue].insert(pool);
  ++config_.version;
}

void JobSimulation::MoveRandomQueue() {
  if (!queue_moves_enabled_)
    return;
  ScheduleAfter(random_.Exponential(options_.queue_move_period),
                [this] { MoveRandomQueue(); });
  QueueConfig queue = all_queues_[random_.Below(all_queues_.size())];
  PoolId pool =
      queue.pool == PoolId("alpha") ? PoolId("beta") : PoolId("alpha");
  if (!random_.Chance(kRemovalInMoveShare)) {
    MoveQueue(queue.id, pool);
    return;
  }
  std::erase_if(config_.queues, [&queue](const QueueConfig& config) {
    return config.id == queue.id;
  });
  ++config_.version;
  ScheduleAfter(random_.Between(Duration::zero(), kMaxRemovalInMove),
                [this, id = queue.id, pool] {
                  MoveQueue(id, pool);
                  config_.queues = all_queues_;
                });
}

void JobSimulation::RemoveRandomQueue() {
  if (!queue_removals_enabled_)
    return;
  ScheduleAfter(random_.Exponential(options_.queue_removal_period),
                [this] { RemoveRandomQueue(); });
  // One queue is always there.
  if (config_.queues.size() < all_queues_.size())
    return;
  PoolId pool = all_queues_[random_.Below(all_queues_.size())].pool;
  SetQueueConfigured(pool, false);
  ScheduleAfter(random_.Between(kMinQueueAbsence, kMaxQueueAbsence),
                [this, pool] { SetQueueConfigured(pool, true); });
}

void JobSimulation::Run(Duration length) {
  submissions_enabled_ = true;
  if (!submission_scheduled_) {
    submission_scheduled_ = true;
    ScheduleAfter(Seconds(2), [this] { SubmitJob(); });
  }
  if (options_.fault_period > Duration::zero() && !faults_enabled_) {
    faults_enabled_ = true;
    ScheduleAfter(Seconds(3), [this] { RandomFault(); });
  }
  if (options_.server_restart_period > Duration::zero() &&
      !server_restarts_enabled_) {
    server_restarts_enabled_ = true;
    ScheduleAfter(Seconds(3), [this] { RestartRandomServer(); });
  }
  if (options_.queue_move_period > Duration::zero() && !queue_moves_enabled_) {
    queue_moves_enabled_ = true;
    ScheduleAfter(Seconds(3), [this] { MoveRandomQueue(); });
    ScheduleAfter(Seconds(3), [this] { QueryPending(); });
  }
  if (!handovers_enabled_) {
    handovers_enabled_ = true;
    for (int i = 0; i < options_.lasting_jobs; ++i)
      ScheduleAfter(Seconds(2), [this] { SubmitLastingJob(); });
    if (options_.max_lasting_wait > Duration::zero())
      ScheduleAfter(Seconds(2), [this] { CheckLastingJobs(); });
    ScheduleFault(options_.handover_period, &JobSimulation::HandOverRandomly);
    ScheduleFault(options_.server_drain_period,
                  &JobSimulation::DrainRandomServer);
    ScheduleFault(options_.server_cut_period, &JobSimulation::CutRandomServer);
  }
  if (options_.stall_period > Duration::zero() && !stalls_enabled_) {
    stalls_enabled_ = true;
    ObserveLoops(now_);
  }
  if (options_.queue_removal_period > Duration::zero() &&
      !queue_removals_enabled_) {
    queue_removals_enabled_ = true;
    ScheduleAfter(Seconds(3), [this] { RemoveRandomQueue(); });
  }
  RunUntil(now_ + length);
}

void JobSimulation::FinishJobs() {
  submissions_enabled_ = false;
  faults_enabled_ = server_restarts_enabled_ = queue_removals_enabled_ = false;
  queue_moves_enabled_ = handovers_enabled_ = false;
  options_.lost_answer_share = 0;
  options_.late_order_share = 0;
  RunUntil(now_ + Seconds(40));
  for (const auto& [id, caller] : callers_) {
    if (caller->task_started && caller->all_submissions_refused)
      AddViolation(id.str() +
                   " has run although all of its submissions were refused");
  }
}

}  // namespace radishmoor
