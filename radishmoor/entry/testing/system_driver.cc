#include "radishmoor/entry/testing/system_driver.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include "radishmoor/base/invariant.h"
#include "radishmoor/config/config_log.h"
#include "radishmoor/control/control_core.h"
#include "radishmoor/entry/entry_core.h"
#include "radishmoor/entry/testing/system_checker.h"
#include "radishmoor/store/testing/faulty_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kStartWall = 1'780'000'000'000;
// Longest pause of a process.
constexpr Duration kMaxPause = Seconds(200);
// Time after which the controller assumes that a silent process has no request
// in flight any more. Larger than the longest deadline plus the longest pause.
constexpr Duration kDrainGateBound = Seconds(300);
// The same in runs where no process pauses between a decision and its actions.
constexpr Duration kShortDrainGateBound = Seconds(25);
constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kRebootDuration = Seconds(20);
constexpr int64_t kMaxDeadlineMs = 20'000;

struct Host {
  HostId id;
  ZoneId zone;
  PoolId pool;  // The pool that the platform admitted the host to.
  uint64_t admit_key = 0;
  uint64_t reboot_key = 0;
  bool reboot_done = false;
  bool is_up = true;
  uint64_t boot_count = 1;
  Time failing_until;  // Until then, every request fails immediately.
  Time leaving_until;
  std::set<uint64_t> runs;
};

// An entry or control process. At most one incarnation of it runs at a time.
struct Process : SimProcess {
  MemberId id;
  ZoneId zone;
  std::string address;
  std::string host_name;
  uint64_t host_list_instance = 1;
  std::unique_ptr<EntryCore> entry;
  std::unique_ptr<ControlCore> control;
  Duration clock_offset{};  // Monotonic clocks differ between processes.
  WallMillis wall_clock_skew_ms = 0;
  Time wake_at = kTimeMax;
  ConfigVersion version = 0;
  // Pause between the next call of the core and its actions.
  bool pause_after_next_call = false;
  bool actions_delayed = false;
  std::deque<std::function<void()>> delayed_actions;
  std::unordered_map<ConnectionId, uint64_t> connections;

  bool is_up() const { return entry || control; }
};

struct Connection {
  Process* sim_process = nullptr;
  ConnectionId id;
  Host* host = nullptr;
  uint64_t boot_count = 0;
  bool open = true;        // The entry process has the connection open.
  bool host_open = false;  // The backend host has the connection open.
  bool silent = false;     // No message passes in either direction.
  uint64_t run = 0;
};

struct Run {
  uint64_t uid = 0;
  uint64_t connection = 0;
  Host* host = nullptr;
};

struct Caller {
  Process* sim_process = nullptr;
  PoolId pool;
  std::string key;
  bool long_request = false;
  Time deadline = kTimeMax;  // Known once the entry process has the request.
};

// The backend answer with which the core was called.
struct CarriedAnswer {
  uint64_t connection = 0;
  std::string text;
};

std::string MakeKey(WallMillis time, uint64_t number) {
  char text[48];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(time) >> 16,
                static_cast<unsigned long long>(time) & 0xffff,
                static_cast<unsigned long long>(number));
  return text;
}

class Driver {
 public:
  explicit Driver(const SystemOptions& options)
      : options_(options), sim_(options.seed), store_(&sim_) {
    // The 421 answer of a host to a request for another pool is the last
    // safeguard. Half of the runs go without it, so that it does not hide
    // faults of the earlier safeguards.
    answers_wrong_pool_ = options_.seed % 2 == 1;
    short_drain_gate_ = options_.seed % 4 == 0;
    BuildFleet();
    BuildProcesses();
  }

  SystemReport Run() {
    auto before = InvariantBreaches();
    Time faults_end = sim_.now + options_.fault_phase;
    ScheduleCaller();
    RunEvery(Seconds(2), [this] { ObserveHealth(); });
    RunEvery(Seconds(5), [this] { SendAllHellos(); });
    ScheduleFault(faults_end);
    sim_.RunUntil(faults_end);
    EndFaults();
    sim_.RunUntil(faults_end + options_.settle_phase);
    CheckRecovery();
    for (const auto& [name, count] : InvariantBreaches()) {
      if (count > before[name])
        checker_.ReportViolation(sim_.now, "product:" + name,
                                 std::to_string(count));
    }
    report_.events = sim_.events;
    report_.checks = checker_.checks;
    report_.violations = checker_.violations;
    report_.violations_by_invariant = checker_.violations_by_invariant;
    return report_;
  }

 private:
  void BuildFleet() {
    ConfigDelta delta;
    delta.version = 1;
    delta.operation = {1};
    delta.author = SystemChecker::kOperator;
    int index = 0;
    for (const char* name : {"alpha", "beta", "spare"}) {
      PoolState pool;
      pool.id = PoolId(name);
      pool.max_unavailable = 2;
      pool.wave_limit = 2;
      pool.spare = pool.id == PoolId("spare");
      delta.pools.push_back(pool);
      pools_.push_back(pool.id);
      for (int i = 0; i < options_.hosts_per_pool; ++i, ++index) {
        HostState host;
        host.id = HostId("w" + std::to_string(100 + index));
        // The last zone has no host of its own for one of the pools.
        int zones = options_.zones - (pool.id == PoolId("beta") ? 1 : 0);
        int zone = index % zones;
        host.zone = ZoneId("z" + std::to_string(zone));
        host.rack = RackId(host.zone.str() + "-r" +
                           std::to_string(index / options_.zones / 3));
        host.address = host.id.str() + ":1";
        host.pool = host.wanted_pool = pool.id;
        delta.hosts.push_back(host);
        hosts_[host.id] = {.id = host.id, .zone = host.zone, .pool = host.pool};
      }
    }
    delta.rules_changed = true;
    delta.rules.max_racks_in_maintenance = 2;
    store_.table.Handle(CommitRows{BuildConfigTransaction(delta, 0, {})});
    ReadConfigLog();
  }

  void BuildProcesses() {
    for (int i = 0; i < options_.zones * options_.entries_per_zone; ++i)
      AddProcess("e" + std::to_string(i), i);
    for (int i = 0; i < options_.controls; ++i)
      AddProcess("c" + std::to_string(i), i);
    for (auto& sim_process : processes_)
      StartProcess(*sim_process);
  }

  void AddProcess(const std::string& name, int index) {
    auto sim_process = std::make_unique<Process>();
    sim_process->id = MemberId(name);
    sim_process->zone = ZoneId("z" + std::to_string(index % options_.zones));
    sim_process->address = name + ":2";
    sim_process->host_name = "m-" + name;
    by_address_[sim_process->address] = sim_process.get();
    (name[0] == 'e' ? entries_ : controls_).push_back(sim_process.get());
    processes_.push_back(std::move(sim_process));
  }

  void StartProcess(Process& process) {
    process.clock_offset = sim_.random.Between(Seconds(0), Seconds(1000));
    process.version = 0;
    process.wake_at = kTimeMax;
    Incarnation incarnation{static_cast<uint64_t>(WallNow(process))};
    uint64_t seed = sim_.random.Next();
    if (process.id.str()[0] == 'e') {
      EntryOptions options{.member = process.id,
                           .zone = process.zone,
                           .incarnation = incarnation,
                           .peer_address = process.address,
                           .admin_address = process.address + "0",
                           .host = process.host_name,
                           .host_instance = process.host_list_instance,
                           .seed = seed};
      options.dispatch.seed = seed;
      process.entry = std::make_unique<EntryCore>(std::move(options));
    } else {
      ControlOptions options{.member = process.id,
                             .zone = process.zone,
                             .incarnation = incarnation,
                             .peer_address = process.address,
                             .admin_address = process.address + "0",
                             .seed = seed};
      options.controller.gate.max_request_time =
          short_drain_gate_ ? kShortDrainGateBound : kDrainGateBound;
      options.controller.retirement.max_request_time =
          options.controller.gate.max_request_time;
      process.control = std::make_unique<ControlCore>(std::move(options));
    }
    SendHellos(process);
    Tick(process);
  }

  Time Now(const Process& process) const {
    return sim_.now + process.clock_offset;
  }
  WallMillis WallNow(const Process& process) const {
    return kStartWall + sim_.now.time_since_epoch().count() / 1000 +
           process.wall_clock_skew_ms;
  }

  void RunEvery(Duration period, std::function<void()> run) {
    sim_.At(sim_.now + period, [=, this] {
      run();
      RunEvery(period, run);
    });
  }

  template <typename Actions>
  void Perform(Process& process,
               Actions actions,
               CarriedAnswer carried_answer = {}) {
    ConfigVersion version = process.entry ? process.entry->view().version()
                                          : process.control->view().version();
    checker_.OnVersionInForce(sim_.now, process.id.str(), process.version,
                              version);
    process.version = version;
    for (const auto& action : actions)
      CheckDecision(action);
    if (process.pause_after_next_call && !actions.empty()) {
      process.pause_after_next_call = false;
      process.actions_delayed = true;
      CountFault("pause-before-actions");
      process.Pause(sim_.now + sim_.random.Between(Seconds(1), kMaxPause));
      sim_.Post(&process, Duration(0),
                [this, &process] { RunDelayedActions(process); });
    }
    if (process.actions_delayed) {
      process.delayed_actions.push_back(
          [this, &process, actions = std::move(actions), carried_answer] {
            CarryOut(process, actions, carried_answer);
          });
    } else {
      CarryOut(process, actions, carried_answer);
    }
    ArmWake(process);
  }

  // Checks that the core decided each write before the request's deadline.
  void CheckDecision(const EntryAction& action) {
    const auto* write = std::get_if<WriteBackendRequest>(&action);
    if (write == nullptr)
      return;
    auto caller = callers_.find(write->request.value);
    if (caller != callers_.end() && sim_.now >= caller->second.deadline)
      checker_.ReportViolation(sim_.now, "deadline-before-send",
                               "uid " + std::to_string(write->request.value));
  }
  void CheckDecision(const ControlAction&) {}

  void RunDelayedActions(Process& process) {
    process.actions_delayed = false;
    auto delayed_actions = std::exchange(process.delayed_actions, {});
    for (auto& carry_out : delayed_actions)
      carry_out();
  }

  template <typename Actions>
  void CarryOut(Process& process,
                const Actions& actions,
                const CarriedAnswer& carried_answer) {
    for (const auto& action : actions) {
      std::visit(
          [&](const auto& a) {
            if constexpr (std::is_same_v<std::decay_t<decltype(a)>,
                                         DeliverAnswer>) {
              DeliverToCaller(process, a, carried_answer);
            } else {
              HandleAction(process, a);
            }
          },
          action);
    }
  }

  void ArmWake(Process& process) {
    Time wake = process.entry ? process.entry->next_wake()
                              : process.control->next_wake();
    if (wake == kTimeMax)
      return;
    wake = std::max(wake - process.clock_offset, sim_.now + Microseconds(200));
    if (wake >= process.wake_at)
      return;
    process.wake_at = wake;
    sim_.Post(&process, wake - sim_.now, [this, &process, wake] {
      if (process.wake_at == wake)
        Tick(process);
    });
  }

  void Tick(Process& process) {
    process.wake_at = kTimeMax;
    if (process.entry)
      Perform(process, process.entry->Tick(Now(process), WallNow(process)));
    else
      Perform(process, process.control->Tick(Now(process), WallNow(process)));
  }

  void KillProcess(Process& process, Duration restart_after) {
    if (!process.is_up())
      return;
    Simulation::Kill(&process);
    process.entry.reset();
    process.control.reset();
    process.delayed_actions.clear();
    process.actions_delayed = process.pause_after_next_call = false;
    for (const auto& [id, index] : std::exchange(process.connections, {}))
      CloseAtEntry(index);
    for (auto it = callers_.begin(); it != callers_.end();) {
      uint64_t uid = it->first;
      bool lost = it->second.sim_process == &process;
      it = lost ? callers_.erase(it) : std::next(it);
      if (lost)
        EndRequest(uid, CallerOutcome::kConnectionLost);
    }
    if (sim_.random.Chance(0.3)) {
      // The host of the process is replaced. The host list shows the end of the
      // old one 20 s later.
      sim_.At(sim_.now + Seconds(20), [this, name = process.host_name,
                                       instance = process.host_list_instance] {
        host_list_.push_back({name, HostListState::kTerminated, instance});
        store_.table.SetHostList(host_list_);
      });
      ++process.host_list_instance;
    }
    sim_.At(sim_.now + restart_after, [this, &process] {
      if (!process.is_up())
        StartProcess(process);
    });
  }

  void HandleAction(Process& process, const EndProcess&) {
    KillSuperseded(process);
  }
  void HandleAction(Process& process, const EndControlProcess&) {
    KillSuperseded(process);
  }
  void KillSuperseded(Process& process) {
    ++report_.counters["superseded"];
    sim_.Post(&process, Duration(0),
              [this, &process] { KillProcess(process, Seconds(1)); });
  }
  void HandleAction(Process&, const RecordEvent&) {}
  void HandleAction(Process&, const RecordControlEvent&) {}
  void HandleAction(Process&, const WaveReport&) {
    ++report_.counters["waves"];
  }

  // The store client answers each call exactly once, after at most
  // kStoreTimeout.
  void HandleAction(Process& process, const StoreCall& call) {
    auto answered = std::make_shared<bool>(false);
    auto deliver = [this, &process, answered](StoreAnswer answer) {
      if (std::exchange(*answered, true))
        return;
      if (IsCut(process.zone, platform_))
        answer.reply = UnknownReply{};
      if (process.entry)
        Perform(process,
                process.entry->Handle(Now(process), WallNow(process), answer));
      else
        Perform(process, process.control->Handle(Now(process), WallNow(process),
                                                 answer));
    };
    StoreAnswer timeout{call.tag, UnknownReply{}};
    if (!IsCut(process.zone, platform_))
      store_.Call(&process, call, deliver);
    sim_.Post(&process, kStoreTimeout, [=] { deliver(timeout); });
  }

  void HandleAction(Process& process, const SendPeerMessage& send) {
    auto to = by_address_.find(send.address);
    if (to != by_address_.end())
      SendPeer(process, *to->second, send.message);
  }

  void SendPeer(Process& from, Process& to, const PeerMessage& message) {
    if (IsCut(from.zone, to.zone) || sim_.random.Chance(peer_loss_rate_))
      return;
    HybridTime stamp = from.entry->Stamp(WallNow(from));
    auto receive = [this, &to, id = from.id, stamp, message] {
      if (to.entry) {
        Perform(to, to.entry->Handle(Now(to), WallNow(to), id, stamp, message));
      }
    };
    Duration delay = sim_.random.Between(Microseconds(200), peer_delay_);
    sim_.Post(&to, delay, receive);
    if (sim_.random.Chance(0.01))
      sim_.Post(&to, delay + sim_.random.Between(Duration(0), Seconds(5)),
                receive);
  }

  void SendAllHellos() {
    for (Process* process : entries_)
      SendHellos(*process);
  }
  void SendHellos(Process& process) {
    if (!process.entry || process.paused_until > sim_.now)
      return;
    for (Process* to : entries_) {
      if (to != &process)
        SendPeer(process, *to,
                 PeerHello{process.id, process.zone, process.address});
    }
  }

  // Depends on the zones alone, so messages of one connection keep their order.
  Duration NetworkDelay(const ZoneId& a, const ZoneId& b) const {
    return a == b ? Microseconds(300) : Microseconds(1500);
  }
  bool IsCut(const ZoneId& from, const ZoneId& to) const {
    return cuts_.contains({from, to});
  }

  void HandleAction(Process& process, const OpenBackendConnection& open) {
    uint64_t index = ++last_connection_;
    Host* host = &hosts_.at(open.host);
    connections_[index] = {
        .sim_process = &process, .id = open.connection, .host = host};
    process.connections[open.connection] = index;
    Duration delay = NetworkDelay(process.zone, host->zone);
    sim_.At(sim_.now + delay, [this, index, &process, host,
                               incarnation = process.incarnation, delay] {
      Connection* conn = FindConnection(index);
      if (conn == nullptr || IsCut(process.zone, host->zone) ||
          IsCut(host->zone, process.zone))
        return;
      conn->host_open = host->is_up;
      conn->boot_count = host->boot_count;
      sim_.Post(
          &process, incarnation, delay, [this, index, opened = host->is_up] {
            Connection* conn = FindConnection(index);
            if (conn == nullptr || !conn->open)
              return;
            Process& process = *conn->sim_process;
            if (opened) {
              Perform(process, process.entry->OnConnectionOpened(
                                   Now(process), WallNow(process), conn->id));
              return;
            }
            ConnectionId id = conn->id;
            ForgetConnection(index);
            Perform(process, process.entry->OnConnectionOpenFailed(
                                 Now(process), WallNow(process), id));
          });
    });
  }

  Connection* FindConnection(uint64_t index) {
    auto it = connections_.find(index);
    return it == connections_.end() ? nullptr : &it->second;
  }

  void ForgetConnection(uint64_t index) {
    Connection& conn = connections_.at(index);
    conn.sim_process->connections.erase(conn.id);
    conn.open = false;
    if (conn.run == 0)
      connections_.erase(index);
  }

  void HandleAction(Process& process, const CloseBackendConnection& close) {
    auto it = process.connections.find(close.connection);
    if (it == process.connections.end())
      return;
    uint64_t index = it->second;
    process.connections.erase(it);
    CloseAtEntry(index);
  }

  void CloseAtEntry(uint64_t index) {
    Connection& conn = connections_.at(index);
    conn.open = false;
    sim_.At(sim_.now + NetworkDelay(conn.sim_process->zone, conn.host->zone),
            [this, index] {
              Connection* conn = FindConnection(index);
              if (conn == nullptr)
                return;
              conn->host_open = false;
              // A host that sees the connection end aborts the run.
              if (conn->run != 0 && !conn->silent &&
                  !IsCut(conn->sim_process->zone, conn->host->zone))
                EndRun(conn->run);
              if (conn->run == 0)
                connections_.erase(index);
            });
  }

  void HandleAction(Process& process, const WriteBackendRequest& write) {
    auto it = process.connections.find(write.connection);
    if (it == process.connections.end())
      return;  // The host closed it; OnConnectionEnded() will follow.
    auto caller = callers_.find(write.request.value);
    if (caller == callers_.end()) {
      checker_.ReportViolation(sim_.now, "one-outcome",
                               "write of an ended request");
      return;
    }
    DeliverToHost(it->second,
                  [this, uid = write.request.value, request = caller->second](
                      uint64_t index, Connection& conn) {
                    OnRequestAtHost(uid, request, index, conn);
                  });
  }

  void HandleAction(Process& process, const WriteBackendProbe& probe) {
    auto it = process.connections.find(probe.connection);
    if (it == process.connections.end())
      return;
    DeliverToHost(it->second, [this](uint64_t index, Connection& conn) {
      SendAnswer(index, {.connection = conn.id});
    });
  }

  // Calls `arrived` when the message reaches the host. Does nothing if the
  // connection is silent.
  void DeliverToHost(uint64_t index,
                     std::function<void(uint64_t, Connection&)> arrived) {
    const Connection& conn = connections_.at(index);
    sim_.At(sim_.now + NetworkDelay(conn.sim_process->zone, conn.host->zone),
            [=, this] {
              Connection* conn = FindConnection(index);
              if (conn == nullptr || conn->silent)
                return;
              if (IsCut(conn->sim_process->zone, conn->host->zone)) {
                conn->silent = true;
                return;
              }
              if (!conn->host_open ||
                  conn->boot_count != conn->host->boot_count ||
                  !conn->host->is_up)
                return ResetConnection(index);
              arrived(index, *conn);
            });
  }

  // Ends the connection at the host and tells the entry process, unless the
  // connection is silent.
  void ResetConnection(uint64_t index) {
    Connection& conn = connections_.at(index);
    conn.host_open = false;
    if (!conn.open || conn.silent ||
        IsCut(conn.host->zone, conn.sim_process->zone))
      return;
    sim_.Post(conn.sim_process,
              NetworkDelay(conn.sim_process->zone, conn.host->zone),
              [this, index] {
                Connection* conn = FindConnection(index);
                if (conn == nullptr || !conn->open)
                  return;
                Process& process = *conn->sim_process;
                ConnectionId id = conn->id;
                ForgetConnection(index);
                Perform(process, process.entry->OnConnectionEnded(
                                     Now(process), WallNow(process), id));
              });
  }

  void SendAnswer(uint64_t index, BackendAnswer answer, std::string text = {}) {
    Connection& conn = connections_.at(index);
    if (!conn.open || conn.silent || !conn.host_open)
      return;
    if (IsCut(conn.host->zone, conn.sim_process->zone)) {
      conn.silent = true;
      return;
    }
    answer.leaving = conn.host->leaving_until > sim_.now;
    sim_.Post(conn.sim_process,
              NetworkDelay(conn.sim_process->zone, conn.host->zone),
              [this, index, answer, text]() mutable {
                Connection* conn = FindConnection(index);
                if (conn == nullptr || !conn->open)
                  return;
                Process& process = *conn->sim_process;
                if (process.entry->keyed(conn->id))
                  answer.encoded = text;
                Perform(process,
                        process.entry->OnBackendAnswer(
                            Now(process), WallNow(process), answer),
                        {index, text});
              });
  }

  void OnRequestAtHost(uint64_t uid,
                       const Caller& request,
                       uint64_t index,
                       Connection& conn) {
    Host& host = *conn.host;
    ReadConfigLog();
    BackendAnswer answer{.connection = conn.id};
    if (host.pool != request.pool)
      ++report_.counters["other-pool-arrivals"];
    if (host.pool != request.pool && answers_wrong_pool_) {
      answer.status = 421;
      answer.not_run = true;
      return SendAnswer(index, answer);
    }
    bool refuses = host.leaving_until > sim_.now && sim_.random.Chance(0.5);
    if (host.runs.size() >= 8 || refuses) {
      answer.status = 503;
      answer.not_run = true;
      return SendAnswer(index, answer);
    }
    ++report_.counters["starts"];
    checker_.OnRunStarted(sim_.now, uid, host.id, host.pool, request.pool);
    std::string text = AnswerText(uid, request.key);
    if (host.failing_until > sim_.now) {
      answer.status = 500;
      return SendAnswer(index, answer, text);
    }
    uint64_t run = ++last_run_;
    runs_[run] = {uid, index, &host};
    host.runs.insert(run);
    conn.run = run;
    Duration time = sim_.random.Exponential(Milliseconds(20));
    if (sim_.random.Chance(0.015))
      time *= 100;
    if (request.long_request)
      time = sim_.random.Between(Seconds(2), Seconds(18));
    sim_.At(sim_.now + time, [this, run, index, answer, text] {
      if (!runs_.contains(run))
        return;
      EndRun(run);
      Connection* conn = FindConnection(index);
      if (conn == nullptr)
        return;
      SendAnswer(index, answer, text);
      if (!conn->open)
        connections_.erase(index);
    });
  }

  void EndRun(uint64_t run) {
    auto node = runs_.extract(run);
    node.mapped().host->runs.erase(run);
    if (Connection* conn = FindConnection(node.mapped().connection))
      conn->run = 0;
  }

  // Ends all runs and connections of the host, which is up again after `time`.
  // If `silent`, the entry processes notice it by time-outs only.
  void StopHost(Host& host, bool silent, Duration time) {
    host.is_up = false;
    uint64_t boot_count = ++host.boot_count;
    for (uint64_t run : std::set<uint64_t>(host.runs))
      EndRun(run);
    std::vector<uint64_t> ended;
    for (auto& [index, conn] : connections_) {
      if (conn.host == &host && conn.open)
        ended.push_back(index);
    }
    std::sort(ended.begin(), ended.end());
    for (uint64_t index : ended) {
      connections_.at(index).silent = silent;
      ResetConnection(index);
    }
    sim_.At(sim_.now + time, [&host, boot_count] {
      if (host.boot_count == boot_count)
        host.is_up = true;
    });
  }

  // Returns the number of runs whose connection is still open at the entry
  // process.
  size_t CountLiveRuns(const Host& host) {
    return static_cast<size_t>(
        std::count_if(host.runs.begin(), host.runs.end(), [&](uint64_t run) {
          Connection* conn = FindConnection(runs_.at(run).connection);
          return conn != nullptr && conn->open;
        }));
  }

  void ReportPlatformResult(Process& process,
                            const HostId& host,
                            PlatformResultKind kind,
                            uint64_t key,
                            Duration delay = Milliseconds(5)) {
    sim_.Post(&process, delay, [this, &process, host, kind, key] {
      if (!IsCut(process.zone, platform_)) {
        Perform(process,
                process.control->Handle(
                    Now(process), WallNow(process),
                    PlatformResult{.host = host, .kind = kind, .key = key}));
      }
    });
  }
  bool PlatformLost(const Process& process) {
    return IsCut(process.zone, platform_) || store_.faults.down ||
           sim_.random.Chance(store_.faults.lost);
  }
  void HandleAction(Process& process, const CheckpointTasks& a) {
    if (!PlatformLost(process))
      ReportPlatformResult(process, a.host,
                           PlatformResultKind::kTasksCheckpointed, a.key);
  }
  void HandleAction(Process& process, const AdmitHost& a) {
    Host& host = hosts_.at(a.host);
    if (PlatformLost(process) || a.key < host.admit_key)
      return;
    if (a.key > host.admit_key) {
      host.admit_key = a.key;
      host.pool = a.pool;
      ++report_.counters["admissions"];
    }
    ReportPlatformResult(process, a.host, PlatformResultKind::kAdmitted, a.key);
  }
  void HandleAction(Process& process, const RebootHost& a) {
    Host& host = hosts_.at(a.host);
    if (PlatformLost(process) || a.key < host.reboot_key)
      return;
    if (a.key > host.reboot_key) {
      ReadConfigLog();
      checker_.OnReboot(sim_.now, host.id, CountLiveRuns(host));
      ++report_.counters["reboots"];
      host.reboot_key = a.key;
      host.reboot_done = false;
      bool broken = sim_.random.Chance(0.1);
      StopHost(host, sim_.random.Chance(0.5),
               broken ? kRebootDuration + Seconds(60) : kRebootDuration);
      sim_.At(sim_.now + kRebootDuration, [&host, key = a.key] {
        host.reboot_done = host.reboot_done || host.reboot_key == key;
      });
    }
    ReportPlatformResult(process, a.host, PlatformResultKind::kRebootStarted,
                         a.key);
    PollReboot(process, host, a.key, 300);
  }
  void PollReboot(Process& process, Host& host, uint64_t key, int polls) {
    sim_.Post(&process, Seconds(1), [this, &process, &host, key, polls] {
      if (host.reboot_key != key || polls == 0)
        return;
      if (host.reboot_done && !PlatformLost(process))
        ReportPlatformResult(process, host.id,
                             PlatformResultKind::kRebootFinished, key);
      else
        PollReboot(process, host, key, polls - 1);
    });
  }

  void ObserveHealth() {
    for (Process* process : controls_) {
      if (!process->control)
        continue;
      sim_.Post(process, Duration(0), [this, process] {
        std::vector<HostObservation> seen;
        for (const HostState* host :
             process->control->ObservedHosts(Now(*process))) {
          bool reached = hosts_.at(host->id).is_up &&
                         !IsCut(process->zone, host->zone) &&
                         !IsCut(host->zone, process->zone);
          seen.push_back({.host = host->id,
                          .health = reached ? HostHealth::kHealthy
                                            : HostHealth::kUnreachable,
                          .observed_at = Now(*process)});
        }
        Perform(*process, process->control->SetHealth(Now(*process),
                                                      WallNow(*process), seen));
      });
    }
  }

  void ScheduleCaller() {
    double rate = options_.requests_per_second * load_factor_;
    Duration gap =
        sim_.random.Exponential(Microseconds(static_cast<int64_t>(1e6 / rate)));
    sim_.At(sim_.now + gap, [this] {
      Process& process = *entries_[sim_.random.Below(entries_.size())];
      PoolId pool = pools_[sim_.random.Below(pools_.size())];
      bool keyed = sim_.random.Chance(0.3);
      std::string key;
      if (keyed)
        key =
            MakeKey(WallNow(process) - process.wall_clock_skew_ms, ++last_key_);
      SendRequest(process, pool, key);
      // A keyed request may be repeated through any entry process.
      while (keyed && sim_.random.Chance(0.3)) {
        Duration delay = sim_.random.Exponential(
            sim_.random.Chance(0.5) ? Milliseconds(20) : Seconds(10));
        sim_.At(sim_.now + delay, [this, pool, key] {
          SendRequest(*entries_[sim_.random.Below(entries_.size())], pool, key);
        });
      }
      ScheduleCaller();
    });
  }

  uint64_t SendRequest(Process& process,
                       const PoolId& pool,
                       const std::string& key) {
    if (!process.entry)
      return 0;  // Connection refused.
    uint64_t uid = ++last_request_id_;
    bool long_request = sim_.random.Chance(0.03);
    callers_[uid] = {&process, pool, key, long_request};
    checker_.OnRequest(uid, key);
    CallerRequest request{
        .id = {uid},
        .service = pool,
        .operation = "op" + std::to_string(uid % 3),
        .idempotent = key.empty(),
        .key = key,
        .body_hash = key.empty() ? uid : std::hash<std::string>{}(key),
        .deadline = Milliseconds(
            long_request
                ? kMaxDeadlineMs
                : 100 + static_cast<int64_t>(sim_.random.Below(
                            sim_.random.Chance(0.1) ? kMaxDeadlineMs : 3000)))};
    sim_.Post(&process, Milliseconds(1), [this, &process, request] {
      callers_.at(request.id.value).deadline = sim_.now + request.deadline;
      Perform(process,
              process.entry->Request(Now(process), WallNow(process), request));
    });
    return uid;
  }

  void CancelAll(double share) {
    std::vector<uint64_t> uids;
    for (const auto& [uid, caller] : callers_) {
      if (sim_.random.Chance(share))
        uids.push_back(uid);
    }
    for (uint64_t uid : uids) {
      Process* process = callers_.at(uid).sim_process;
      sim_.Post(process, Milliseconds(2), [this, process, uid] {
        if (callers_.contains(uid))
          Perform(*process, process->entry->Cancel(Now(*process),
                                                   WallNow(*process), {uid}));
      });
    }
  }

  void EndRequest(uint64_t uid,
                  CallerOutcome outcome,
                  std::string_view answer = {}) {
    constexpr const char* kNames[] = {"completed", "refused-not-run", "unknown",
                                      "cancelled", "connection-lost"};
    ++report_.counters[kNames[static_cast<size_t>(outcome)]];
    checker_.OnOutcome(sim_.now, uid, outcome, answer);
    if (outcome == CallerOutcome::kCompleted)
      completed_.insert(uid);
    callers_.erase(uid);
  }

  void DeliverToCaller(Process& process,
                       const DeliverAnswer& deliver,
                       const CarriedAnswer& carried_answer) {
    auto it = process.connections.find(deliver.connection);
    uint64_t index = it == process.connections.end() ? 0 : it->second;
    // The service delivers the answer with which it called the core, so that
    // answer must be the one that the action names.
    bool same = index == 0 || index == carried_answer.connection;
    EndRequest(deliver.request.value, CallerOutcome::kCompleted,
               same ? carried_answer.text : "answer of another connection");
  }
  void HandleAction(Process&, const ReplayAnswer& replay) {
    ++report_.counters["replays"];
    EndRequest(replay.request.value, CallerOutcome::kCompleted, replay.encoded);
  }
  void HandleAction(Process&, const RefuseRequest& refuse) {
    ++report_.counters["refusal:" + refuse.reason];
    EndRequest(refuse.request.value, refuse.may_have_run
                                         ? CallerOutcome::kUnknown
                                         : CallerOutcome::kNotRun);
  }
  void HandleAction(Process&, const DropRequest& drop) {
    EndRequest(drop.request.value, CallerOutcome::kCancelled);
  }
  void HandleAction(Process&, const DeliverAnswer&) {}

  Row RowOf(const std::string& key) {
    return std::get<RowsReply>(store_.table.Handle(ReadRows{{key}})).rows[0];
  }

  void ReadConfigLog() {
    if (commits_read_ == store_.table.commits())
      return;
    commits_read_ = store_.table.commits();
    Row head = RowOf(kConfigHeadKey);
    if (head.version == head_row_version_)
      return;
    head_row_version_ = head.version;
    ConfigVersion version = DecodeHead(head.value).version;
    while (checker_.accepted_config.version < version) {
      ConfigDelta delta = DecodeDelta(
          RowOf(ConfigDeltaKey(checker_.accepted_config.version + 1)).value);
      checker_.OnConfigChange(sim_.now, delta);
      ++report_.counters["changes"];
      for (const HostState& host : delta.hosts) {
        if (options_.trace) {
          Trace("version " + std::to_string(delta.version) + " by " +
                delta.author + " " + host.id.str() + " pool " +
                host.pool.str() + " phase " +
                std::to_string(static_cast<int>(host.phase)));
        }
      }
    }
  }

  void CommitOperatorChange(
      const std::function<void(const FleetState&, ConfigDelta*)>& edit) {
    ReadConfigLog();
    Row head = RowOf(kConfigHeadKey);
    ConfigDelta delta;
    delta.version = checker_.accepted_config.version + 1;
    delta.operation = {sim_.random.Next() | 1};
    delta.author = SystemChecker::kOperator;
    edit(checker_.accepted_config, &delta);
    store_.table.Handle(CommitRows{
        BuildConfigTransaction(delta, head.version, DecodeHead(head.value))});
    ReadConfigLog();
  }

  void CommitRandomEdit() {
    CommitOperatorChange([this](const FleetState& state, ConfigDelta* delta) {
      auto it = state.hosts.begin();
      std::advance(it, sim_.random.Below(state.hosts.size()));
      HostState host = it->second;
      PoolId pool = pools_[sim_.random.Below(pools_.size())];
      switch (sim_.random.Below(5)) {
        case 0:
        case 1:
          // Each pool keeps at least half of its hosts.
          if (WantedHosts(state, host.wanted_pool) <=
              options_.hosts_per_pool / 2)
            return;
          host.wanted_pool = pool;
          break;
        case 2:
          if (host.intent != HostIntent::kRetire)
            host.intent = host.intent == HostIntent::kDrain
                              ? HostIntent::kServe
                              : HostIntent::kDrain;
          break;
        case 3: {
          PoolState next = *state.FindPool(pool);
          next.max_unavailable =
              1 + static_cast<uint32_t>(sim_.random.Below(3));
          delta->pools.push_back(next);
          return;
        }
        default:
          if (retired_hosts_ == 2 || WantedHosts(state, host.wanted_pool) <=
                                         options_.hosts_per_pool / 2)
            return;
          ++retired_hosts_;
          host.intent = HostIntent::kRetire;
      }
      delta->hosts.push_back(host);
    });
  }

  static int WantedHosts(const FleetState& state, const PoolId& pool) {
    return static_cast<int>(std::count_if(
        state.hosts.begin(), state.hosts.end(), [&](const auto& item) {
          return item.second.wanted_pool == pool &&
                 item.second.intent == HostIntent::kServe;
        }));
  }

  // Commits changes at intervals of 100 ms, so that a process that is cut off
  // falls behind by more than the change log that its peers keep.
  void CommitChangeBurst(int changes) {
    CommitOperatorChange([this](const FleetState& state, ConfigDelta* delta) {
      auto it = state.hosts.begin();
      std::advance(it, sim_.random.Below(state.hosts.size()));
      delta->hosts.push_back(it->second);
      ++delta->hosts.back().cores;
    });
    if (changes > 1) {
      sim_.At(sim_.now + Milliseconds(100),
              [this, changes] { CommitChangeBurst(changes - 1); });
    }
  }

  void StartWave() {
    CommitOperatorChange([](const FleetState& state, ConfigDelta* delta) {
      delta->rules = state.rules;
      delta->rules.maintenance = "round-" + std::to_string(state.version);
      delta->rules_changed = true;
    });
  }

  void CountFault(const std::string& kind) {
    ++report_.injected_faults[kind];
    if (options_.trace)
      Trace("fault " + kind);
  }
  void Trace(const std::string& text) const {
    std::fprintf(stderr, "%.6f %s\n", ToSeconds(sim_.now - kTimeZero),
                 text.c_str());
  }

  void ScheduleFault(Time end) {
    sim_.At(sim_.now + sim_.random.Exponential(Seconds(6)), [this, end] {
      if (sim_.now >= end)
        return;
      // Injects one fault, sometimes up to three at the same time.
      uint64_t together =
          sim_.random.Chance(0.3) ? 1 + sim_.random.Below(3) : 1;
      for (uint64_t i = 0; i < together; ++i)
        InjectFault();
      ScheduleFault(end);
    });
  }

  // Undoes a fault after a random time.
  void UndoLater(Duration mean, std::function<void()> undo) {
    sim_.At(sim_.now + sim_.random.Exponential(mean), std::move(undo));
  }

  void InjectFault() {
    Random& random = sim_.random;
    Process& entry = *entries_[random.Below(entries_.size())];
    Process& control = *controls_[random.Below(controls_.size())];
    Process& any = random.Chance(0.7) ? entry : control;
    auto it = hosts_.begin();
    std::advance(it, random.Below(hosts_.size()));
    Host& host = it->second;
    switch (random.Below(18)) {
      case 0:
      case 1:
        CountFault("kill-process");
        return KillProcess(any, random.Exponential(Seconds(10)));
      case 2:
        CountFault("pause-process");
        return any.Pause(sim_.now +
                         std::min(random.Exponential(Seconds(40)), kMaxPause));
      case 3:
      case 4:
        if (short_drain_gate_) {
          // The pause is longer than kShortDrainGateBound.
          CountFault("pause-process");
          return any.Pause(sim_.now + random.Between(Seconds(30), Seconds(90)));
        }
        // The fault is counted when the pause starts.
        any.pause_after_next_call = any.is_up();
        return;
      case 5:
        store_.faults = RandomFaults(random);
        CountFault(store_.faults.down ? "store-down"
                   : store_.faults.max_delay > Seconds(1)
                       ? "store-slow"
                       : "store-answers-lost");
        return UndoLater(Seconds(20), [this] { store_.faults = {}; });
      case 6:
        CountFault("cut-from-platform");
        return CutFor({entry.zone, platform_},
                      Seconds(short_drain_gate_ ? 120 : 40));
      case 7:
        if (random.Chance(0.5)) {
          CountFault("cut-one-direction");
          return CutFor({entry.zone, host.zone}, Seconds(30));
        }
        CountFault("cut-zones");
        CutFor({entry.zone, host.zone}, Seconds(30));
        return CutFor({host.zone, entry.zone}, Seconds(30));
      case 8:
        CountFault("wall-clock-jump");
        // A process whose clock is far behind refuses all new keys.
        any.wall_clock_skew_ms = static_cast<WallMillis>(
            random.Below(random.Chance(0.2) ? 7'200'000 : 60'000));
        if (random.Chance(0.5))
          any.wall_clock_skew_ms = -any.wall_clock_skew_ms;
        return;
      case 9:
        CountFault("host-killed");
        return StopHost(host, random.Chance(0.5),
                        random.Exponential(Seconds(30)));
      case 10:
        CountFault("host-fails-fast");
        host.failing_until = sim_.now + random.Exponential(Seconds(20));
        return;
      case 11:
        CountFault("host-leaving");
        host.leaving_until = sim_.now + random.Exponential(Seconds(20));
        return;
      case 12:
      case 13:
        CountFault("connections-silent");
        for (auto& [index, conn] : connections_) {
          if (conn.host == &host)
            conn.silent = true;
        }
        return;
      case 14:
        CountFault("cancel-wave");
        return CancelAll(0.8);
      case 15:
        CountFault("load-burst");
        load_factor_ = 5;
        return UndoLater(Seconds(5), [this] { load_factor_ = 1; });
      case 16:
        CountFault("peer-loss");
        peer_loss_rate_ = 0.3;
        peer_delay_ = Seconds(1);
        return UndoLater(Seconds(20), [this] {
          peer_loss_rate_ = 0.01;
          peer_delay_ = Milliseconds(3);
        });
      default:
        if (random.Chance(0.2)) {
          CountFault("maintenance-wave");
          return StartWave();
        }
        if (random.Chance(0.2)) {
          CountFault("change-burst");
          return CommitChangeBurst(static_cast<int>(20 + random.Below(80)));
        }
        CountFault("operator-edit");
        CommitRandomEdit();
        if (random.Chance(0.5))
          CommitRandomEdit();
    }
  }

  void CutFor(std::pair<ZoneId, ZoneId> cut, Duration mean) {
    if (cut.first == cut.second)
      return;
    cuts_.insert(cut);
    UndoLater(mean, [this, cut] { cuts_.erase(cut); });
  }

  void EndFaults() {
    cuts_.clear();
    store_.faults = {};
    load_factor_ = 1;
    peer_loss_rate_ = 0;
    peer_delay_ = Milliseconds(3);
    for (auto& sim_process : processes_)
      sim_process->pause_after_next_call = false;
    for (auto& [id, host] : hosts_)
      host.failing_until = host.leaving_until = sim_.now;
    CommitOperatorChange([](const FleetState& state, ConfigDelta* delta) {
      for (const auto& [id, host] : state.hosts) {
        if (host.intent != HostIntent::kDrain)
          continue;
        delta->hosts.push_back(host);
        delta->hosts.back().intent = HostIntent::kServe;
      }
    });
  }

  // Checks after the settle phase that every process has the accepted
  // configuration version, that every pool has an active host and serves
  // requests through every entry process, and that every request has an
  // outcome.
  void CheckRecovery() {
    ReadConfigLog();
    for (auto& sim_process : processes_) {
      if (sim_process->version != checker_.accepted_config.version)
        checker_.ReportViolation(sim_.now, "converges", sim_process->id.str());
    }
    std::map<PoolId, int> active;
    for (const auto& [id, host] : checker_.accepted_config.hosts) {
      active[host.pool] += host.phase == HostPhase::kActive ? 1 : 0;
      if (host.phase != HostPhase::kActive && host.phase != HostPhase::kRetired)
        ++report_.counters["hosts-not-active-at-end"];
    }
    std::map<std::pair<Process*, PoolId>, std::vector<uint64_t>> probes;
    for (int i = 0; i < 6; ++i) {
      for (Process* process : entries_) {
        for (const PoolId& pool : pools_) {
          std::string key =
              i % 2 ? MakeKey(WallNow(*process) - process->wall_clock_skew_ms,
                              ++last_key_)
                    : "";
          probes[{process, pool}].push_back(SendRequest(*process, pool, key));
        }
      }
      sim_.RunUntil(sim_.now + Seconds(5));
    }
    for (const auto& [probe, uids] : probes) {
      bool served = std::any_of(uids.begin(), uids.end(), [&](uint64_t uid) {
        return completed_.contains(uid);
      });
      if (active[probe.second] == 0)
        checker_.ReportViolation(sim_.now, "serves-again",
                                 "no host in the pool");
      else if (!served)
        checker_.ReportViolation(sim_.now, "serves-again",
                                 DescribeTargets(*probe.first, probe.second));
    }
    uint64_t last = last_request_id_;
    sim_.RunUntil(sim_.now + Milliseconds(2 * kMaxDeadlineMs));
    for (const auto& [uid, caller] : callers_) {
      if (uid <= last)
        checker_.ReportViolation(sim_.now, "one-outcome",
                                 "none for uid " + std::to_string(uid));
    }
  }

  // Describes the entry process's view of the active hosts of the pool.
  std::string DescribeTargets(const Process& process,
                              const PoolId& pool) const {
    const EntryCore& core = *process.entry;
    std::string text = process.id.str() + " " + pool.str() + " registered " +
                       std::to_string(core.member().registered());
    for (const auto& [id, host] : core.view().state().hosts) {
      if (host.pool != pool || host.phase != HostPhase::kActive)
        continue;
      text += " " + id.str() + ":" + host.zone.str() + ":may-send " +
              std::to_string(core.view().MaySend(Now(process), id)) +
              ":usable " + std::to_string(core.backend().usable(id)) +
              ":limit " + std::to_string(core.backend().limit(id)) + ":share " +
              std::to_string(core.slots().share(pool, id));
    }
    return text;
  }

  const ZoneId platform_{"platform"};

  SystemOptions options_;
  Simulation sim_;
  FaultyTable store_;
  SystemChecker checker_;
  SystemReport report_;
  bool answers_wrong_pool_ = true;
  bool short_drain_gate_ = false;

  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Process*> entries_;
  std::vector<Process*> controls_;
  std::map<std::string, Process*> by_address_;
  std::vector<PoolId> pools_;
  std::map<HostId, Host> hosts_;
  std::map<uint64_t, Connection> connections_;
  std::unordered_map<uint64_t, struct Run> runs_;
  std::map<uint64_t, Caller> callers_;  // By `uid`, until their outcome.
  std::set<uint64_t> completed_;
  std::vector<HostListEntry> host_list_;

  std::set<std::pair<ZoneId, ZoneId>> cuts_;
  double load_factor_ = 1;
  double peer_loss_rate_ = 0.01;
  Duration peer_delay_ = Milliseconds(3);
  int retired_hosts_ = 0;

  uint64_t commits_read_ = 0;
  RowVersion head_row_version_ = 0;
  uint64_t last_request_id_ = 0;
  uint64_t last_key_ = 0;
  uint64_t last_run_ = 0;
  uint64_t last_connection_ = 0;
};

}  // namespace

SystemReport RunSystem(const SystemOptions& options) {
  return Driver(options).Run();
}

}  // namespace radishmoor
