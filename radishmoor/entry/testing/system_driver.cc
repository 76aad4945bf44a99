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
// Bound of a request's deadline plus a pause; the gate's bound is larger.
constexpr Duration kLongestPause = Seconds(200);
constexpr Duration kGateBound = Seconds(300);
// In runs without a pause between a decision and its actions.
constexpr Duration kTightGateBound = Seconds(25);
constexpr Duration kStoreTimeout = Seconds(2);
constexpr Duration kRebootTime = Seconds(20);
constexpr int64_t kMaxDeadlineMs = 20'000;

struct Host {
  HostId id;
  ZoneId zone;
  PoolId pool;  // That the platform admitted it to.
  uint64_t admit_key = 0;
  uint64_t reboot_key = 0;
  bool reboot_done = false;
  bool up = true;
  uint64_t boot = 1;
  Time failing_until;  // Fails everything it starts, at once.
  Time leaving_until;
  std::set<uint64_t> runs;
};

// One start of an entry or control process runs at a time.
struct Proc : SimProcess {
  MemberId id;
  ZoneId zone;
  std::string address;
  std::string machine;
  uint64_t machine_instance = 1;
  std::unique_ptr<EntryCore> entry;
  std::unique_ptr<ControlCore> control;
  Duration clock_offset{};  // Monotonic clocks differ between processes.
  WallMillis skew = 0;
  Time wake_at = kTimeMax;
  ConfigVersion version = 0;
  bool hold_next = false;  // Pause between the next decision and its actions.
  bool held = false;
  std::deque<std::function<void()>> outbox;
  std::unordered_map<ConnectionId, uint64_t> connections;

  bool up() const { return entry || control; }
};

struct Connection {
  Proc* proc = nullptr;
  ConnectionId id;
  Host* host = nullptr;
  uint64_t boot = 0;
  bool open = true;        // At the entry process.
  bool host_open = false;  // At the backend host.
  bool silent = false;     // Nothing passes any more, in either direction.
  uint64_t run = 0;
};

struct Run {
  uint64_t uid = 0;
  uint64_t connection = 0;
  Host* host = nullptr;
};

struct Caller {
  Proc* proc = nullptr;
  PoolId pool;
  std::string key;
  bool long_job = false;
  Time deadline = kTimeMax;  // Known once the entry process has the request.
};

// The answer that the call of the core was about.
struct Carried {
  uint64_t connection = 0;
  std::string text;
};

std::string Key(WallMillis time, uint64_t number) {
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
    // A last safeguard must not hide a fault of the layers before it, so half
    // of the runs go without the 421 answer.
    answer_421_ = options_.seed % 2 == 1;
    tight_gate_ = options_.seed % 4 == 0;
    BuildFleet();
    BuildProcesses();
  }

  SystemReport Run() {
    auto before = InvariantBreaches();
    Time faults_end = sim_.now + options_.faults;
    ScheduleCaller();
    Every(Seconds(2), [this] { ObserveHealth(); });
    Every(Seconds(5), [this] { GreetPeers(); });
    ScheduleFault(faults_end);
    sim_.RunUntil(faults_end);
    Heal();
    sim_.RunUntil(faults_end + options_.settle);
    CheckServing();
    for (const auto& [name, count] : InvariantBreaches()) {
      if (count > before[name])
        checker_.Fail(sim_.now, "product:" + name, std::to_string(count));
    }
    report_.events = sim_.events;
    report_.checks = checker_.checks;
    report_.violations = checker_.violations;
    report_.by_invariant = checker_.by_invariant;
    return report_;
  }

 private:
  // Set-up.

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
    FollowLog();
  }

  void BuildProcesses() {
    for (int i = 0; i < options_.zones * options_.entries_per_zone; ++i)
      AddProcess("e" + std::to_string(i), i);
    for (int i = 0; i < options_.controls; ++i)
      AddProcess("c" + std::to_string(i), i);
    for (auto& proc : procs_)
      Start(*proc);
  }

  void AddProcess(const std::string& name, int index) {
    auto proc = std::make_unique<Proc>();
    proc->id = MemberId(name);
    proc->zone = ZoneId("z" + std::to_string(index % options_.zones));
    proc->address = name + ":2";
    proc->machine = "m-" + name;
    by_address_[proc->address] = proc.get();
    (name[0] == 'e' ? entries_ : controls_).push_back(proc.get());
    procs_.push_back(std::move(proc));
  }

  void Start(Proc& p) {
    p.clock_offset = sim_.random.Between(Seconds(0), Seconds(1000));
    p.version = 0;
    p.wake_at = kTimeMax;
    Incarnation incarnation{static_cast<uint64_t>(Wall(p))};
    uint64_t seed = sim_.random.Next();
    if (p.id.str()[0] == 'e') {
      EntryOptions options{.member = p.id,
                           .zone = p.zone,
                           .incarnation = incarnation,
                           .peer_address = p.address,
                           .admin_address = p.address + "0",
                           .host = p.machine,
                           .host_instance = p.machine_instance,
                           .seed = seed};
      options.dispatch.seed = seed;
      p.entry = std::make_unique<EntryCore>(std::move(options));
    } else {
      ControlOptions options{.member = p.id,
                             .zone = p.zone,
                             .incarnation = incarnation,
                             .peer_address = p.address,
                             .admin_address = p.address + "0",
                             .seed = seed};
      options.controller.gate.max_request_time =
          tight_gate_ ? kTightGateBound : kGateBound;
      options.controller.retirement.max_request_time =
          options.controller.gate.max_request_time;
      p.control = std::make_unique<ControlCore>(std::move(options));
    }
    Greet(p);
    Tick(p);
  }

  Time Now(const Proc& p) const { return sim_.now + p.clock_offset; }
  WallMillis Wall(const Proc& p) const {
    return kStartWall + sim_.now.time_since_epoch().count() / 1000 + p.skew;
  }

  void Every(Duration period, std::function<void()> run) {
    sim_.At(sim_.now + period, [=, this] {
      run();
      Every(period, run);
    });
  }

  // Calls of the cores and their actions.

  template <typename Actions>
  void Perform(Proc& p, Actions actions, Carried carried = {}) {
    ConfigVersion version =
        p.entry ? p.entry->view().version() : p.control->view().version();
    checker_.InForce(sim_.now, p.id.str(), p.version, version);
    p.version = version;
    for (const auto& action : actions)
      CheckDecision(action);
    if (p.hold_next && !actions.empty()) {
      p.hold_next = false;
      p.held = true;
      Count("pause-before-actions");
      p.Pause(sim_.now + sim_.random.Between(Seconds(1), kLongestPause));
      sim_.Post(&p, Duration(0), [this, &p] { Release(p); });
    }
    if (p.held) {
      p.outbox.push_back([this, &p, actions = std::move(actions), carried] {
        CarryOut(p, actions, carried);
      });
    } else {
      CarryOut(p, actions, carried);
    }
    ArmWake(p);
  }

  // Every write is decided before the deadline, as counted from the arrival.
  void CheckDecision(const EntryAction& action) {
    const auto* write = std::get_if<WriteBackendRequest>(&action);
    if (write == nullptr)
      return;
    auto caller = callers_.find(write->request.value);
    if (caller != callers_.end() && sim_.now >= caller->second.deadline)
      checker_.Fail(sim_.now, "deadline-before-send",
                    "uid " + std::to_string(write->request.value));
  }
  void CheckDecision(const ControlAction&) {}

  void Release(Proc& p) {
    p.held = false;
    auto outbox = std::exchange(p.outbox, {});
    for (auto& carry_out : outbox)
      carry_out();
  }

  template <typename Actions>
  void CarryOut(Proc& p, const Actions& actions, const Carried& carried) {
    for (const auto& action : actions) {
      std::visit(
          [&](const auto& a) {
            if constexpr (std::is_same_v<std::decay_t<decltype(a)>,
                                         DeliverAnswer>) {
              OnDeliver(p, a, carried);
            } else {
              On(p, a);
            }
          },
          action);
    }
  }

  void ArmWake(Proc& p) {
    Time wake = p.entry ? p.entry->next_wake() : p.control->next_wake();
    if (wake == kTimeMax)
      return;
    wake = std::max(wake - p.clock_offset, sim_.now + Microseconds(200));
    if (wake >= p.wake_at)
      return;
    p.wake_at = wake;
    sim_.Post(&p, wake - sim_.now, [this, &p, wake] {
      if (p.wake_at == wake)
        Tick(p);
    });
  }

  void Tick(Proc& p) {
    p.wake_at = kTimeMax;
    if (p.entry)
      Perform(p, p.entry->Tick(Now(p), Wall(p)));
    else
      Perform(p, p.control->Tick(Now(p), Wall(p)));
  }

  void Kill(Proc& p, Duration restart_after) {
    if (!p.up())
      return;
    Simulation::Kill(&p);
    p.entry.reset();
    p.control.reset();
    p.outbox.clear();
    p.held = p.hold_next = false;
    for (const auto& [id, index] : std::exchange(p.connections, {}))
      CloseAtEntry(index);
    for (auto it = callers_.begin(); it != callers_.end();) {
      uint64_t uid = it->first;
      bool lost = it->second.proc == &p;
      it = lost ? callers_.erase(it) : std::next(it);
      if (lost)
        End(uid, CallerOutcome::kConnectionLost);
    }
    if (sim_.random.Chance(0.3)) {
      // The entry host is replaced; the list shows the end after a while.
      sim_.At(sim_.now + Seconds(20), [this, name = p.machine,
                                       instance = p.machine_instance] {
        host_list_.push_back({name, HostListState::kTerminated, instance});
        store_.table.SetHostList(host_list_);
      });
      ++p.machine_instance;
    }
    sim_.At(sim_.now + restart_after, [this, &p] {
      if (!p.up())
        Start(p);
    });
  }

  void On(Proc& p, const EndProcess&) { Supersede(p); }
  void On(Proc& p, const EndControlProcess&) { Supersede(p); }
  void Supersede(Proc& p) {
    ++report_.figures["superseded"];
    sim_.Post(&p, Duration(0), [this, &p] { Kill(p, Seconds(1)); });
  }
  void On(Proc&, const RecordEvent&) {}
  void On(Proc&, const RecordControlEvent&) {}
  void On(Proc&, const WaveReport&) { ++report_.figures["waves"]; }

  // Store: the client answers each call once, within its time-out.
  void On(Proc& p, const StoreCall& call) {
    auto answered = std::make_shared<bool>(false);
    auto deliver = [this, &p, answered](StoreAnswer answer) {
      if (std::exchange(*answered, true))
        return;
      if (Cut(p.zone, platform_))
        answer.reply = UnknownReply{};
      if (p.entry)
        Perform(p, p.entry->Handle(Now(p), Wall(p), answer));
      else
        Perform(p, p.control->Handle(Now(p), Wall(p), answer));
    };
    StoreAnswer timeout{call.tag, UnknownReply{}};
    if (!Cut(p.zone, platform_))
      store_.Call(&p, call, deliver);
    sim_.Post(&p, kStoreTimeout, [=] { deliver(timeout); });
  }

  // Peers.

  void On(Proc& p, const SendPeerMessage& send) {
    auto to = by_address_.find(send.address);
    if (to != by_address_.end())
      SendPeer(p, *to->second, send.message);
  }

  void SendPeer(Proc& from, Proc& to, const PeerMessage& message) {
    if (Cut(from.zone, to.zone) || sim_.random.Chance(peer_loss_))
      return;
    HybridTime stamp = from.entry->Stamp(Wall(from));
    auto receive = [this, &to, id = from.id, stamp, message] {
      if (to.entry) {
        Perform(to, to.entry->Handle(Now(to), Wall(to), id, stamp, message));
      }
    };
    Duration delay = sim_.random.Between(Microseconds(200), peer_delay_);
    sim_.Post(&to, delay, receive);
    if (sim_.random.Chance(0.01))
      sim_.Post(&to, delay + sim_.random.Between(Duration(0), Seconds(5)),
                receive);
  }

  void GreetPeers() {
    for (Proc* p : entries_)
      Greet(*p);
  }
  void Greet(Proc& p) {
    if (!p.entry || p.paused_until > sim_.now)
      return;
    for (Proc* to : entries_) {
      if (to != &p)
        SendPeer(p, *to, PeerHello{p.id, p.zone, p.address});
    }
  }

  // Backend connections. Messages of one connection keep their order, so their
  // delay depends on the zones alone.

  Duration Delay(const ZoneId& a, const ZoneId& b) const {
    return a == b ? Microseconds(300) : Microseconds(1500);
  }
  bool Cut(const ZoneId& from, const ZoneId& to) const {
    return cuts_.contains({from, to});
  }

  void On(Proc& p, const OpenBackendConnection& open) {
    uint64_t index = ++last_connection_;
    Host* host = &hosts_.at(open.host);
    connections_[index] = {.proc = &p, .id = open.connection, .host = host};
    p.connections[open.connection] = index;
    Duration delay = Delay(p.zone, host->zone);
    sim_.At(sim_.now + delay, [this, index, &p, host,
                               incarnation = p.incarnation, delay] {
      Connection* c = Find(index);
      if (c == nullptr || Cut(p.zone, host->zone) || Cut(host->zone, p.zone))
        return;
      c->host_open = host->up;
      c->boot = host->boot;
      sim_.Post(&p, incarnation, delay, [this, index, opened = host->up] {
        Connection* c = Find(index);
        if (c == nullptr || !c->open)
          return;
        Proc& p = *c->proc;
        if (opened) {
          Perform(p, p.entry->OnConnectionOpened(Now(p), Wall(p), c->id));
          return;
        }
        ConnectionId id = c->id;
        Forget(index);
        Perform(p, p.entry->OnConnectionOpenFailed(Now(p), Wall(p), id));
      });
    });
  }

  Connection* Find(uint64_t index) {
    auto it = connections_.find(index);
    return it == connections_.end() ? nullptr : &it->second;
  }

  void Forget(uint64_t index) {
    Connection& c = connections_.at(index);
    c.proc->connections.erase(c.id);
    c.open = false;
    if (c.run == 0)
      connections_.erase(index);
  }

  void On(Proc& p, const CloseBackendConnection& close) {
    auto it = p.connections.find(close.connection);
    if (it == p.connections.end())
      return;
    uint64_t index = it->second;
    p.connections.erase(it);
    CloseAtEntry(index);
  }

  void CloseAtEntry(uint64_t index) {
    Connection& c = connections_.at(index);
    c.open = false;
    sim_.At(sim_.now + Delay(c.proc->zone, c.host->zone), [this, index] {
      Connection* c = Find(index);
      if (c == nullptr)
        return;
      c->host_open = false;
      // A host that sees the connection end aborts the run.
      if (c->run != 0 && !c->silent && !Cut(c->proc->zone, c->host->zone))
        EndRun(c->run);
      if (c->run == 0)
        connections_.erase(index);
    });
  }

  void On(Proc& p, const WriteBackendRequest& write) {
    auto it = p.connections.find(write.connection);
    if (it == p.connections.end())
      return;  // The peer closed it; that news is on its way to the core.
    auto caller = callers_.find(write.request.value);
    if (caller == callers_.end()) {
      checker_.Fail(sim_.now, "one-outcome", "write of an ended request");
      return;
    }
    At(it->second,
       [this, uid = write.request.value, request = caller->second](
           uint64_t index, Connection& c) { Arrive(uid, request, index, c); });
  }

  void On(Proc& p, const WriteBackendProbe& probe) {
    auto it = p.connections.find(probe.connection);
    if (it == p.connections.end())
      return;
    At(it->second, [this](uint64_t index, Connection& c) {
      Answer(index, {.connection = c.id});
    });
  }

  // Runs when the message reaches the host, unless the connection is silent.
  void At(uint64_t index, std::function<void(uint64_t, Connection&)> arrived) {
    const Connection& c = connections_.at(index);
    sim_.At(sim_.now + Delay(c.proc->zone, c.host->zone), [=, this] {
      Connection* c = Find(index);
      if (c == nullptr || c->silent)
        return;
      if (Cut(c->proc->zone, c->host->zone)) {
        c->silent = true;
        return;
      }
      if (!c->host_open || c->boot != c->host->boot || !c->host->up)
        return Reset(index);
      arrived(index, *c);
    });
  }

  // The entry process learns that the connection ended.
  void Reset(uint64_t index) {
    Connection& c = connections_.at(index);
    c.host_open = false;
    if (!c.open || c.silent || Cut(c.host->zone, c.proc->zone))
      return;
    sim_.Post(c.proc, Delay(c.proc->zone, c.host->zone), [this, index] {
      Connection* c = Find(index);
      if (c == nullptr || !c->open)
        return;
      Proc& p = *c->proc;
      ConnectionId id = c->id;
      Forget(index);
      Perform(p, p.entry->OnConnectionEnded(Now(p), Wall(p), id));
    });
  }

  void Answer(uint64_t index, BackendAnswer answer, std::string text = {}) {
    Connection& c = connections_.at(index);
    if (!c.open || c.silent || !c.host_open)
      return;
    if (Cut(c.host->zone, c.proc->zone)) {
      c.silent = true;
      return;
    }
    answer.leaving = c.host->leaving_until > sim_.now;
    sim_.Post(c.proc, Delay(c.proc->zone, c.host->zone),
              [this, index, answer, text]() mutable {
                Connection* c = Find(index);
                if (c == nullptr || !c->open)
                  return;
                Proc& p = *c->proc;
                if (p.entry->keyed(c->id))
                  answer.encoded = text;
                Perform(p, p.entry->OnBackendAnswer(Now(p), Wall(p), answer),
                        {index, text});
              });
  }

  // Backend hosts.

  void Arrive(uint64_t uid,
              const Caller& request,
              uint64_t index,
              Connection& c) {
    Host& host = *c.host;
    FollowLog();
    BackendAnswer answer{.connection = c.id};
    if (host.pool != request.pool)
      ++report_.figures["other-pool-arrivals"];
    if (host.pool != request.pool && answer_421_) {
      answer.status = 421;
      answer.not_run = true;
      return Answer(index, answer);
    }
    bool refuses = host.leaving_until > sim_.now && sim_.random.Chance(0.5);
    if (host.runs.size() >= 8 || refuses) {
      answer.status = 503;
      answer.not_run = true;
      return Answer(index, answer);
    }
    ++report_.figures["starts"];
    checker_.Started(sim_.now, uid, host.id, host.pool, request.pool);
    std::string text = AnswerText(uid, request.key);
    if (host.failing_until > sim_.now) {
      answer.status = 500;
      return Answer(index, answer, text);
    }
    uint64_t run = ++last_run_;
    runs_[run] = {uid, index, &host};
    host.runs.insert(run);
    c.run = run;
    Duration time = sim_.random.Exponential(Milliseconds(20));
    if (sim_.random.Chance(0.015))
      time *= 100;
    if (request.long_job)
      time = sim_.random.Between(Seconds(2), Seconds(18));
    sim_.At(sim_.now + time, [this, run, index, answer, text] {
      if (!runs_.contains(run))
        return;
      EndRun(run);
      Connection* c = Find(index);
      if (c == nullptr)
        return;
      Answer(index, answer, text);
      if (!c->open)
        connections_.erase(index);
    });
  }

  void EndRun(uint64_t run) {
    auto node = runs_.extract(run);
    node.mapped().host->runs.erase(run);
    if (Connection* c = Find(node.mapped().connection))
      c->run = 0;
  }

  // Ends all runs and connections. A silent end is noticed by time-outs only.
  void StopHost(Host& host, bool silent, Duration time) {
    host.up = false;
    uint64_t boot = ++host.boot;
    for (uint64_t run : std::set<uint64_t>(host.runs))
      EndRun(run);
    std::vector<uint64_t> ended;
    for (auto& [index, c] : connections_) {
      if (c.host == &host && c.open)
        ended.push_back(index);
    }
    std::sort(ended.begin(), ended.end());
    for (uint64_t index : ended) {
      connections_.at(index).silent = silent;
      Reset(index);
    }
    sim_.At(sim_.now + time, [&host, boot] {
      if (host.boot == boot)
        host.up = true;
    });
  }

  // Requests whose caller or entry process still waits for the run.
  size_t LiveRuns(const Host& host) {
    return static_cast<size_t>(
        std::count_if(host.runs.begin(), host.runs.end(), [&](uint64_t run) {
          Connection* c = Find(runs_.at(run).connection);
          return c != nullptr && c->open;
        }));
  }

  // Platform operations.

  void Report(Proc& p,
              const HostId& host,
              PlatformResultKind kind,
              uint64_t key,
              Duration delay = Milliseconds(5)) {
    sim_.Post(&p, delay, [this, &p, host, kind, key] {
      if (!Cut(p.zone, platform_)) {
        Perform(p, p.control->Handle(
                       Now(p), Wall(p),
                       PlatformResult{.host = host, .kind = kind, .key = key}));
      }
    });
  }
  bool PlatformLost(const Proc& p) {
    return Cut(p.zone, platform_) || store_.faults.down ||
           sim_.random.Chance(store_.faults.lost);
  }
  void On(Proc& p, const CheckpointTasks& a) {
    if (!PlatformLost(p))
      Report(p, a.host, PlatformResultKind::kTasksCheckpointed, a.key);
  }
  void On(Proc& p, const AdmitHost& a) {
    Host& host = hosts_.at(a.host);
    if (PlatformLost(p) || a.key < host.admit_key)
      return;
    if (a.key > host.admit_key) {
      host.admit_key = a.key;
      host.pool = a.pool;
      ++report_.figures["admissions"];
    }
    Report(p, a.host, PlatformResultKind::kAdmitted, a.key);
  }
  void On(Proc& p, const RebootHost& a) {
    Host& host = hosts_.at(a.host);
    if (PlatformLost(p) || a.key < host.reboot_key)
      return;
    if (a.key > host.reboot_key) {
      FollowLog();
      checker_.Rebooted(sim_.now, host.id, LiveRuns(host));
      ++report_.figures["reboots"];
      host.reboot_key = a.key;
      host.reboot_done = false;
      bool broken = sim_.random.Chance(0.1);
      StopHost(host, sim_.random.Chance(0.5),
               broken ? kRebootTime + Seconds(60) : kRebootTime);
      sim_.At(sim_.now + kRebootTime, [&host, key = a.key] {
        host.reboot_done = host.reboot_done || host.reboot_key == key;
      });
    }
    Report(p, a.host, PlatformResultKind::kRebootStarted, a.key);
    PollReboot(p, host, a.key, 300);
  }
  void PollReboot(Proc& p, Host& host, uint64_t key, int polls) {
    sim_.Post(&p, Seconds(1), [this, &p, &host, key, polls] {
      if (host.reboot_key != key || polls == 0)
        return;
      if (host.reboot_done && !PlatformLost(p))
        Report(p, host.id, PlatformResultKind::kRebootFinished, key);
      else
        PollReboot(p, host, key, polls - 1);
    });
  }

  void ObserveHealth() {
    for (Proc* p : controls_) {
      if (!p->control)
        continue;
      sim_.Post(p, Duration(0), [this, p] {
        std::vector<HostObservation> seen;
        for (const HostState* host : p->control->ObservedHosts(Now(*p))) {
          bool reached = hosts_.at(host->id).up && !Cut(p->zone, host->zone) &&
                         !Cut(host->zone, p->zone);
          seen.push_back({.host = host->id,
                          .health = reached ? HostHealth::kHealthy
                                            : HostHealth::kUnreachable,
                          .observed_at = Now(*p)});
        }
        Perform(*p, p->control->SetHealth(Now(*p), Wall(*p), seen));
      });
    }
  }

  // Callers.

  void ScheduleCaller() {
    double rate = options_.requests_per_second * burst_;
    Duration gap =
        sim_.random.Exponential(Microseconds(static_cast<int64_t>(1e6 / rate)));
    sim_.At(sim_.now + gap, [this] {
      Proc& p = *entries_[sim_.random.Below(entries_.size())];
      PoolId pool = pools_[sim_.random.Below(pools_.size())];
      bool keyed = sim_.random.Chance(0.3);
      std::string key;
      if (keyed)
        key = Key(Wall(p) - p.skew, ++last_key_);
      Ask(p, pool, key);
      // Repeats of a key, through any entry process.
      while (keyed && sim_.random.Chance(0.3)) {
        Duration delay = sim_.random.Exponential(
            sim_.random.Chance(0.5) ? Milliseconds(20) : Seconds(10));
        sim_.At(sim_.now + delay, [this, pool, key] {
          Ask(*entries_[sim_.random.Below(entries_.size())], pool, key);
        });
      }
      ScheduleCaller();
    });
  }

  uint64_t Ask(Proc& p, const PoolId& pool, const std::string& key) {
    if (!p.entry)
      return 0;  // Connection refused.
    uint64_t uid = ++last_uid_;
    bool long_job = sim_.random.Chance(0.03);
    callers_[uid] = {&p, pool, key, long_job};
    checker_.Asked(uid, key);
    CallerRequest request{
        .id = {uid},
        .service = pool,
        .operation = "op" + std::to_string(uid % 3),
        .idempotent = key.empty(),
        .key = key,
        .body_hash = key.empty() ? uid : std::hash<std::string>{}(key),
        .deadline = Milliseconds(
            long_job
                ? kMaxDeadlineMs
                : 100 + static_cast<int64_t>(sim_.random.Below(
                            sim_.random.Chance(0.1) ? kMaxDeadlineMs : 3000)))};
    sim_.Post(&p, Milliseconds(1), [this, &p, request] {
      callers_.at(request.id.value).deadline = sim_.now + request.deadline;
      Perform(p, p.entry->Request(Now(p), Wall(p), request));
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
      Proc* p = callers_.at(uid).proc;
      sim_.Post(p, Milliseconds(2), [this, p, uid] {
        if (callers_.contains(uid))
          Perform(*p, p->entry->Cancel(Now(*p), Wall(*p), {uid}));
      });
    }
  }

  void End(uint64_t uid, CallerOutcome outcome, std::string_view answer = {}) {
    constexpr const char* kNames[] = {"completed", "refused-not-run", "unknown",
                                      "cancelled", "connection-lost"};
    ++report_.figures[kNames[static_cast<size_t>(outcome)]];
    checker_.Ended(sim_.now, uid, outcome, answer);
    if (outcome == CallerOutcome::kCompleted)
      completed_.insert(uid);
    callers_.erase(uid);
  }

  void OnDeliver(Proc& p,
                 const DeliverAnswer& deliver,
                 const Carried& carried) {
    auto it = p.connections.find(deliver.connection);
    uint64_t index = it == p.connections.end() ? 0 : it->second;
    // As the service does: the answer must be the one that this call is about.
    bool same = index == 0 || index == carried.connection;
    End(deliver.request.value, CallerOutcome::kCompleted,
        same ? carried.text : "answer of another connection");
  }
  void On(Proc&, const ReplayAnswer& replay) {
    ++report_.figures["replays"];
    End(replay.request.value, CallerOutcome::kCompleted, replay.encoded);
  }
  void On(Proc&, const RefuseRequest& refuse) {
    ++report_.figures["refusal:" + refuse.reason];
    End(refuse.request.value,
        refuse.may_have_run ? CallerOutcome::kUnknown : CallerOutcome::kNotRun);
  }
  void On(Proc&, const DropRequest& drop) {
    End(drop.request.value, CallerOutcome::kCancelled);
  }
  void On(Proc&, const DeliverAnswer&) {}

  // The configuration log and operators.

  Row RowOf(const std::string& key) {
    return std::get<RowsReply>(store_.table.Handle(ReadRows{{key}})).rows[0];
  }

  void FollowLog() {
    if (commits_ == store_.table.commits())
      return;
    commits_ = store_.table.commits();
    Row head = RowOf(kConfigHeadKey);
    if (head.version == head_row_)
      return;
    head_row_ = head.version;
    ConfigVersion version = DecodeHead(head.value).version;
    while (checker_.truth.version < version) {
      ConfigDelta delta =
          DecodeDelta(RowOf(ConfigDeltaKey(checker_.truth.version + 1)).value);
      checker_.Accepted(sim_.now, delta);
      ++report_.figures["changes"];
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

  void Operate(
      const std::function<void(const FleetState&, ConfigDelta*)>& edit) {
    FollowLog();
    Row head = RowOf(kConfigHeadKey);
    ConfigDelta delta;
    delta.version = checker_.truth.version + 1;
    delta.operation = {sim_.random.Next() | 1};
    delta.author = SystemChecker::kOperator;
    edit(checker_.truth, &delta);
    store_.table.Handle(CommitRows{
        BuildConfigTransaction(delta, head.version, DecodeHead(head.value))});
    FollowLog();
  }

  void RandomEdit() {
    Operate([this](const FleetState& state, ConfigDelta* delta) {
      auto it = state.hosts.begin();
      std::advance(it, sim_.random.Below(state.hosts.size()));
      HostState host = it->second;
      PoolId pool = pools_[sim_.random.Below(pools_.size())];
      switch (sim_.random.Below(5)) {
        case 0:
        case 1:
          // Each pool keeps half of its hosts.
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
          if (retired_ == 2 || WantedHosts(state, host.wanted_pool) <=
                                   options_.hosts_per_pool / 2)
            return;
          ++retired_;
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

  // Many changes in a short time, so that a process that is cut off falls
  // behind by more than the log of its peers.
  void ChangeBurst(int changes) {
    Operate([this](const FleetState& state, ConfigDelta* delta) {
      auto it = state.hosts.begin();
      std::advance(it, sim_.random.Below(state.hosts.size()));
      delta->hosts.push_back(it->second);
      ++delta->hosts.back().cores;
    });
    if (changes > 1) {
      sim_.At(sim_.now + Milliseconds(100),
              [this, changes] { ChangeBurst(changes - 1); });
    }
  }

  void StartWave() {
    Operate([](const FleetState& state, ConfigDelta* delta) {
      delta->rules = state.rules;
      delta->rules.maintenance = "round-" + std::to_string(state.version);
      delta->rules_changed = true;
    });
  }

  // Faults.

  void Count(const std::string& kind) {
    ++report_.faults[kind];
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
      // One fault, or two or three at the same time.
      uint64_t together =
          sim_.random.Chance(0.3) ? 1 + sim_.random.Below(3) : 1;
      for (uint64_t i = 0; i < together; ++i)
        InjectFault();
      ScheduleFault(end);
    });
  }

  // Undoes a fault after a random time, or at the end of all faults.
  void Later(Duration mean, std::function<void()> undo) {
    sim_.At(sim_.now + sim_.random.Exponential(mean), std::move(undo));
  }

  void InjectFault() {
    Random& random = sim_.random;
    Proc& entry = *entries_[random.Below(entries_.size())];
    Proc& control = *controls_[random.Below(controls_.size())];
    Proc& any = random.Chance(0.7) ? entry : control;
    auto it = hosts_.begin();
    std::advance(it, random.Below(hosts_.size()));
    Host& host = it->second;
    switch (random.Below(18)) {
      case 0:
      case 1:
        Count("kill-process");
        return Kill(any, random.Exponential(Seconds(10)));
      case 2:
        Count("pause-process");
        return any.Pause(sim_.now + std::min(random.Exponential(Seconds(40)),
                                             kLongestPause));
      case 3:
      case 4:
        if (tight_gate_) {
          // Longer than the gate waits for a silent process.
          Count("pause-process");
          return any.Pause(sim_.now + random.Between(Seconds(30), Seconds(90)));
        }
        any.hold_next = any.up();  // Counted when it takes effect.
        return;
      case 5:
        store_.faults = RandomFaults(random);
        Count(store_.faults.down                     ? "store-down"
              : store_.faults.max_delay > Seconds(1) ? "store-slow"
                                                     : "store-answers-lost");
        return Later(Seconds(20), [this] { store_.faults = {}; });
      case 6:
        Count("cut-from-platform");
        return CutFor({entry.zone, platform_}, Seconds(tight_gate_ ? 120 : 40));
      case 7:
        if (random.Chance(0.5)) {
          Count("cut-one-direction");
          return CutFor({entry.zone, host.zone}, Seconds(30));
        }
        Count("cut-zones");
        CutFor({entry.zone, host.zone}, Seconds(30));
        return CutFor({host.zone, entry.zone}, Seconds(30));
      case 8:
        Count("wall-clock-jump");
        // A clock that is far behind makes the process refuse all new keys.
        any.skew = static_cast<WallMillis>(
            random.Below(random.Chance(0.2) ? 7'200'000 : 60'000));
        if (random.Chance(0.5))
          any.skew = -any.skew;
        return;
      case 9:
        Count("host-killed");
        return StopHost(host, random.Chance(0.5),
                        random.Exponential(Seconds(30)));
      case 10:
        Count("host-fails-fast");
        host.failing_until = sim_.now + random.Exponential(Seconds(20));
        return;
      case 11:
        Count("host-leaving");
        host.leaving_until = sim_.now + random.Exponential(Seconds(20));
        return;
      case 12:
      case 13:
        Count("connections-silent");
        for (auto& [index, c] : connections_) {
          if (c.host == &host)
            c.silent = true;
        }
        return;
      case 14:
        Count("cancel-wave");
        return CancelAll(0.8);
      case 15:
        Count("load-burst");
        burst_ = 5;
        return Later(Seconds(5), [this] { burst_ = 1; });
      case 16:
        Count("peer-loss");
        peer_loss_ = 0.3;
        peer_delay_ = Seconds(1);
        return Later(Seconds(20), [this] {
          peer_loss_ = 0.01;
          peer_delay_ = Milliseconds(3);
        });
      default:
        if (random.Chance(0.2)) {
          Count("maintenance-wave");
          return StartWave();
        }
        if (random.Chance(0.2)) {
          Count("change-burst");
          return ChangeBurst(static_cast<int>(20 + random.Below(80)));
        }
        Count("operator-edit");
        RandomEdit();
        if (random.Chance(0.5))
          RandomEdit();
    }
  }

  void CutFor(std::pair<ZoneId, ZoneId> cut, Duration mean) {
    if (cut.first == cut.second)
      return;
    cuts_.insert(cut);
    Later(mean, [this, cut] { cuts_.erase(cut); });
  }

  void Heal() {
    cuts_.clear();
    store_.faults = {};
    burst_ = 1;
    peer_loss_ = 0;
    peer_delay_ = Milliseconds(3);
    for (auto& proc : procs_)
      proc->hold_next = false;
    for (auto& [id, host] : hosts_)
      host.failing_until = host.leaving_until = sim_.now;
    Operate([](const FleetState& state, ConfigDelta* delta) {
      for (const auto& [id, host] : state.hosts) {
        if (host.intent != HostIntent::kDrain)
          continue;
        delta->hosts.push_back(host);
        delta->hosts.back().intent = HostIntent::kServe;
      }
    });
  }

  // After all faults: every process holds the accepted version, every pool
  // with hosts serves through every entry process, and no caller is left.
  void CheckServing() {
    FollowLog();
    for (auto& proc : procs_) {
      if (proc->version != checker_.truth.version)
        checker_.Fail(sim_.now, "converges", proc->id.str());
    }
    std::map<PoolId, int> active;
    for (const auto& [id, host] : checker_.truth.hosts) {
      active[host.pool] += host.phase == HostPhase::kActive ? 1 : 0;
      if (host.phase != HostPhase::kActive && host.phase != HostPhase::kRetired)
        ++report_.figures["hosts-not-active-at-end"];
    }
    std::map<std::pair<Proc*, PoolId>, std::vector<uint64_t>> probes;
    for (int i = 0; i < 6; ++i) {
      for (Proc* p : entries_) {
        for (const PoolId& pool : pools_) {
          std::string key = i % 2 ? Key(Wall(*p) - p->skew, ++last_key_) : "";
          probes[{p, pool}].push_back(Ask(*p, pool, key));
        }
      }
      sim_.RunUntil(sim_.now + Seconds(5));
    }
    for (const auto& [probe, uids] : probes) {
      bool served = std::any_of(uids.begin(), uids.end(), [&](uint64_t uid) {
        return completed_.contains(uid);
      });
      if (active[probe.second] == 0)
        checker_.Fail(sim_.now, "serves-again", "no host in the pool");
      else if (!served)
        checker_.Fail(sim_.now, "serves-again",
                      Describe(*probe.first, probe.second));
    }
    uint64_t last = last_uid_;
    sim_.RunUntil(sim_.now + Milliseconds(2 * kMaxDeadlineMs));
    for (const auto& [uid, caller] : callers_) {
      if (uid <= last)
        checker_.Fail(sim_.now, "one-outcome",
                      "none for uid " + std::to_string(uid));
    }
  }

  // What the entry process thinks of the hosts of the pool.
  std::string Describe(const Proc& p, const PoolId& pool) const {
    const EntryCore& core = *p.entry;
    std::string text = p.id.str() + " " + pool.str() + " registered " +
                       std::to_string(core.member().registered());
    for (const auto& [id, host] : core.view().state().hosts) {
      if (host.pool != pool || host.phase != HostPhase::kActive)
        continue;
      text += " " + id.str() + ":" + host.zone.str() + ":may-send " +
              std::to_string(core.view().MaySend(Now(p), id)) + ":usable " +
              std::to_string(core.backend().usable(id)) + ":limit " +
              std::to_string(core.backend().limit(id)) + ":share " +
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
  bool answer_421_ = true;
  bool tight_gate_ = false;

  std::vector<std::unique_ptr<Proc>> procs_;
  std::vector<Proc*> entries_;
  std::vector<Proc*> controls_;
  std::map<std::string, Proc*> by_address_;
  std::vector<PoolId> pools_;
  std::map<HostId, Host> hosts_;
  std::map<uint64_t, Connection> connections_;
  std::unordered_map<uint64_t, struct Run> runs_;
  std::map<uint64_t, Caller> callers_;  // Without an outcome.
  std::set<uint64_t> completed_;
  std::vector<HostListEntry> host_list_;

  std::set<std::pair<ZoneId, ZoneId>> cuts_;
  double burst_ = 1;
  double peer_loss_ = 0.01;
  Duration peer_delay_ = Milliseconds(3);
  int retired_ = 0;

  uint64_t commits_ = 0;
  RowVersion head_row_ = 0;
  uint64_t last_uid_ = 0;
  uint64_t last_key_ = 0;
  uint64_t last_run_ = 0;
  uint64_t last_connection_ = 0;
};

}  // namespace

SystemReport RunSystem(const SystemOptions& options) {
  return Driver(options).Run();
}

}  // namespace radishmoor
