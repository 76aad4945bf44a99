// Simulated site in virtual time for tests and benches of the fleet controller:
// control processes with leases, entry processes, one MemoryTable, and a
// platform that reboots hosts. An entry process sends to hosts of its own zone
// under any view of the configuration, but to hosts of other zones only under a
// view that is at most 5 s old.
// The simulation checks each committed change, reboot and send against the
// state of the whole site.

#ifndef RADISHMOOR_FLEET_TESTING_FLEET_SIM_H_
#define RADISHMOOR_FLEET_TESTING_FLEET_SIM_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/fleet/controller.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {

// Fault classes that a run injects.
struct SimFaults {
  bool store_down = false;
  bool store_slow = false;
  bool lost_answers = false;
  bool pauses = false;        // Control and entry processes stop for minutes.
  bool kills = false;         // Control and entry processes are killed.
  bool partitions = false;    // Zones lose the platform and the table service.
  bool rack_outages = false;  // All hosts of a rack fail.
  bool reboots_fail = false;  // A fifth of the reboots take 90 s longer.
  // Actions and results of the platform are lost or repeated.
  bool platform_loses_or_repeats = false;
  bool operator_changes = false;  // Operators change the configuration.
};

struct SimOptions {
  uint64_t seed = 1;
  SimFaults faults;
  int control_process_count = 2;
  int zones = 3;
  int entry_processes_per_zone = 2;
  std::vector<std::string> pools{"a", "b", "spare"};
  int hosts_per_pool = 6;
  uint32_t max_unavailable = 2;
  uint32_t wave_limit = 2;
  uint32_t max_racks = 2;
  Duration reboot_time = Seconds(20);
  Duration step = Milliseconds(200);
  // Mean number of requests that an entry process sends in each step.
  double sends_per_step = 2;
  Duration max_request_time = Seconds(20);
  ControllerOptions control;
};

class FleetSim {
 public:
  struct ControlProcess {
    MemberId id;
    ZoneId zone;
    std::unique_ptr<Controller> controller;
    uint64_t generation = 0;  // Incremented by each start and kill.
    bool alive = true;
    Time paused_until{};
    Time next_poll{};
    Time renewed_at{};
    RowVersion member_row = 0;
    std::map<PoolId, RowVersion> leases;
    // Version of each member row and when this process first saw it.
    std::map<std::string, std::pair<RowVersion, Time>> row_changes;
  };

  struct EntryProcess {
    MemberView row;  // Content for the next write of the member row.
    bool alive = true;
    bool row_changed = true;
    Time paused_until{};
    Time next_poll{};
    Time next_renewal{};
    std::shared_ptr<const FleetState> view;
    Time view_sent{};
    std::map<HostId, std::vector<Time>> in_flight;  // When requests end.
  };

  explicit FleetSim(SimOptions options)
      : options_(std::move(options)), random_(options_.seed) {
    options_.control.gate.max_request_time = options_.max_request_time;
    options_.control.retirement.max_request_time = options_.max_request_time;
    BuildSite();
  }

  // Runs until `end`. Injects faults only before `faults_end`.
  void Run(Time end, Time faults_end = kTimeZero) {
    while (now_ < end) {
      now_ += options_.step;
      while (!queue_.empty() && queue_.begin()->first <= now_) {
        auto event = queue_.extract(queue_.begin());
        event.mapped()();
      }
      if (now_ < faults_end)
        InjectFaults();
      for (EntryProcess& entry : entry_processes)
        StepEntryProcess(entry);
      for (ControlProcess& process : control_processes)
        StepControlProcess(process);
      if (on_step)
        on_step();
    }
  }

  // Commits a change by an operator at once.
  void CommitOperatorChange(
      const std::function<void(FleetState*, ConfigDelta*)>& edit) {
    FleetState next = *committed_state();
    ConfigDelta delta;
    delta.version = next.version + 1;
    delta.operation = {random_.Next() | 1};
    delta.author = "operator";
    edit(&next, &delta);
    Transaction transaction{
        delta.operation, {{kConfigHeadKey, HeadRowVersion()}}, {}};
    transaction.writes.push_back(
        {kConfigHeadKey, EncodeHead({delta.version, 0})});
    transaction.writes.push_back(
        {ConfigDeltaKey(delta.version), EncodeDelta(delta)});
    table.Handle(CommitRows{transaction});
    ApplyCommittedDeltas();
  }
  void SetRound(const std::string& round) {
    CommitOperatorChange([&](FleetState* state, ConfigDelta* delta) {
      delta->rules = state->rules;
      delta->rules.maintenance = round;
      delta->rules_changed = true;
    });
  }
  void EditHost(const HostId& id, const std::function<void(HostState*)>& edit) {
    CommitOperatorChange([&](FleetState* state, ConfigDelta* delta) {
      edit(&state->hosts[id]);
      delta->hosts.push_back(state->hosts[id]);
    });
  }
  void EditPool(const PoolId& id, const std::function<void(PoolState*)>& edit) {
    CommitOperatorChange([&](FleetState* state, ConfigDelta* delta) {
      edit(&state->pools[id]);
      delta->pools.push_back(state->pools[id]);
    });
  }

  void FailHost(const HostId& id, Duration time) {
    Outage& outage = host_outages_[id];
    if (outage.until <= now_)
      outage.since = now_;
    outage.until = std::max(outage.until, now_ + time);
    for (EntryProcess& entry : entry_processes)
      entry.in_flight.erase(id);
  }
  void FailRack(const RackId& rack, Duration time) {
    for (const auto& [id, host] : committed_state()->hosts) {
      if (host.rack == rack)
        FailHost(id, time);
    }
  }
  void Partition(const ZoneId& zone, Duration time) {
    Outage& outage = zone_partitions_[zone];
    if (outage.until <= now_)
      outage.since = now_;
    outage.until = std::max(outage.until, now_ + time);
  }
  void KillControlProcess(ControlProcess& process, Duration time) {
    process.alive = false;
    process.controller.reset();
    uint64_t generation = ++process.generation;
    Schedule(time, [this, &process, generation] {
      if (process.generation == generation)
        StartControlProcess(process);
    });
  }
  // Restarts the process after `time`. If `replaced`, its host gets a new
  // instance, and the host list shows the old one as terminated after 20 s.
  void KillEntryProcess(EntryProcess& entry, Duration time, bool replaced) {
    entry.alive = false;
    entry.in_flight.clear();
    if (replaced) {
      std::string host = entry.row.host;
      uint64_t instance = entry.row.host_instance;
      Schedule(Seconds(20), [this, host, instance] {
        host_list_.push_back({host, HostListState::kTerminated, instance});
      });
    }
    Schedule(time, [this, &entry, replaced] {
      entry.alive = true;
      entry.row.incarnation.value++;
      entry.row.host_instance += replaced ? 1 : 0;
      entry.view = nullptr;
      entry.row.version_in_force = 0;
      entry.row_changed = true;
    });
  }

  void Schedule(Duration delay, std::function<void()> action) {
    queue_.emplace(now_ + delay, std::move(action));
  }

  Time now() const { return now_; }
  const std::shared_ptr<const FleetState>& committed_state() const {
    return history_.back();
  }
  bool IsDown(const HostId& id) const {
    auto it = host_outages_.find(id);
    return it != host_outages_.end() && it->second.until > now_;
  }
  uint32_t InFlight(const HostId& id) const {
    uint32_t count = 0;
    for (const EntryProcess& entry : entry_processes) {
      auto it = entry.in_flight.find(id);
      if (it == entry.in_flight.end())
        continue;
      for (Time end : it->second)
        count += end > now_ ? 1 : 0;
    }
    return count;
  }
  // Number of hosts of the pool that are active and not down.
  uint32_t Serving(const PoolId& pool) const {
    uint32_t count = 0;
    for (const auto& [id, host] : committed_state()->hosts) {
      count +=
          host.pool == pool && host.phase == HostPhase::kActive && !IsDown(id)
              ? 1
              : 0;
    }
    return count;
  }

  std::vector<ControlProcess> control_processes;
  std::vector<EntryProcess> entry_processes;
  MemoryTable table;
  std::vector<std::string> violations;
  std::vector<WaveReport> reports;
  std::vector<TimelineEvent> events;
  std::vector<PoolLoad> loads;
  std::function<void()> on_step;
  // If set, called for each call to the store; returns true if it has handled
  // the call itself.
  std::function<bool(ControlProcess&, const StoreCall&)> intercept;
  // Kills the control process that performs the action with this number,
  // counted from 1 over all control processes; 0 means never. The kill comes
  // before the action, or after it if `kill_after_action`.
  uint64_t kill_at_action = 0;
  bool kill_after_action = false;
  uint64_t actions = 0;
  uint64_t sends = 0;
  uint64_t drains = 0;
  std::map<HostId, uint64_t> reboots;
  std::map<HostId, uint32_t> running;  // As reported by the backend servers.
  bool store_up = true;

 private:
  struct Outage {
    Time since{};
    Time until{};
  };
  struct PlatformHost {
    ConfigVersion checkpoint_key = 0;
    ConfigVersion reboot_key = 0;
    bool done = false;
    HostEpoch epoch = 0;
  };

  void BuildSite() {
    FleetState state;
    ConfigDelta delta;
    delta.version = 1;
    delta.operation = {1};
    int index = 0;
    for (const std::string& name : options_.pools) {
      PoolState pool;
      pool.id = PoolId(name);
      pool.max_unavailable = options_.max_unavailable;
      pool.wave_limit = options_.wave_limit;
      pool.spare = name == "spare";
      delta.pools.push_back(pool);
      for (int i = 0; i < options_.hosts_per_pool; ++i, ++index) {
        HostState host;
        host.id = HostId("h" + std::to_string(100 + index));
        int zone = index % options_.zones;
        host.zone = ZoneId("z" + std::to_string(zone));
        host.rack = RackId("r" + std::to_string(zone) + "-" +
                           std::to_string(index / options_.zones / 4));
        host.pool = host.wanted_pool = pool.id;
        delta.hosts.push_back(host);
      }
    }
    delta.rules_changed = true;
    delta.rules.max_racks_in_maintenance = options_.max_racks;
    history_.push_back(std::make_shared<FleetState>());
    Transaction transaction{{1}, {}, {}};
    transaction.writes.push_back({kConfigHeadKey, EncodeHead({1, 0})});
    transaction.writes.push_back({ConfigDeltaKey(1), EncodeDelta(delta)});
    table.Handle(CommitRows{transaction});
    ApplyCommittedDeltas();
    for (int i = 0; i < options_.zones * options_.entry_processes_per_zone;
         ++i) {
      EntryProcess entry;
      entry.row.id = MemberId("e" + std::to_string(i));
      entry.row.incarnation = {1};
      entry.row.zone = ZoneId("z" + std::to_string(i % options_.zones));
      entry.row.host = "eh" + std::to_string(i);
      entry.row.host_instance = 1;
      entry_processes.push_back(std::move(entry));
    }
    control_processes.resize(options_.control_process_count);
    for (int i = 0; i < options_.control_process_count; ++i) {
      control_processes[i].id = MemberId("c" + std::to_string(i));
      control_processes[i].zone =
          ZoneId("z" + std::to_string(i % options_.zones));
      StartControlProcess(control_processes[i]);
    }
  }

  void StartControlProcess(ControlProcess& process) {
    ++process.generation;
    process.alive = true;
    process.member_row = 0;
    process.leases.clear();
    process.row_changes.clear();
    process.renewed_at = Time{} - Seconds(100);
    process.controller = std::make_unique<Controller>(
        options_.control, process.id, random_.Next());
  }

  bool Reachable(const ZoneId& zone) const {
    auto it = zone_partitions_.find(zone);
    return store_up &&
           (it == zone_partitions_.end() || it->second.until <= now_);
  }

  void InjectFaults() {
    auto happens = [&](bool on, int mean_seconds) {
      return on && random_.Chance(ToSeconds(options_.step) / mean_seconds);
    };
    const SimFaults& enabled = options_.faults;
    if (happens(enabled.store_down, 120) && store_up) {
      store_up = false;
      Schedule(random_.Exponential(Seconds(25)), [this] { store_up = true; });
    }
    ControlProcess& process =
        control_processes[random_.Below(control_processes.size())];
    EntryProcess& entry =
        entry_processes[random_.Below(entry_processes.size())];
    if (happens(enabled.pauses, 60))
      process.paused_until = now_ + random_.Exponential(Seconds(60));
    if (happens(enabled.pauses, 60))
      entry.paused_until = now_ + random_.Exponential(Seconds(60));
    if (happens(enabled.kills, 60) && process.alive)
      KillControlProcess(process, random_.Exponential(Seconds(20)));
    if (happens(enabled.kills, 60) && entry.alive)
      KillEntryProcess(entry, random_.Exponential(Seconds(40)),
                       random_.Chance(0.5));
    const HostState& host = RandomHost();
    if (happens(enabled.partitions, 120))
      Partition(host.zone, random_.Exponential(Seconds(60)));
    if (happens(enabled.rack_outages, 120))
      FailRack(host.rack, random_.Exponential(Seconds(60)));
    if (happens(enabled.operator_changes, 20))
      RandomEdit();
  }

  const HostState& RandomHost() {
    auto it = committed_state()->hosts.begin();
    std::advance(it, random_.Below(committed_state()->hosts.size()));
    return it->second;
  }

  void RandomEdit() {
    HostId id = RandomHost().id;
    PoolId pool(options_.pools[random_.Below(options_.pools.size())]);
    switch (random_.Below(5)) {
      case 0:
        return EditHost(id, [&](HostState* h) { h->wanted_pool = pool; });
      case 1:
        return EditHost(id, [](HostState* h) {
          h->intent = h->intent == HostIntent::kDrain ? HostIntent::kServe
                                                      : HostIntent::kDrain;
        });
      case 2:
        return EditPool(pool, [&](PoolState* p) {
          p->max_unavailable = 1 + static_cast<uint32_t>(random_.Below(3));
        });
      case 3:
        return SetRound("m" + std::to_string(random_.Below(3)));
      default:
        return EditHost(id, [](HostState* h) { ++h->cores; });
    }
  }

  void StepEntryProcess(EntryProcess& entry) {
    for (auto& [id, ends] : entry.in_flight)
      std::erase_if(ends, [&](Time end) { return end <= now_; });
    if (!entry.alive || now_ < entry.paused_until)
      return;
    bool reachable = Reachable(entry.row.zone);
    std::vector<HostId> busy = Busy(entry);
    entry.row_changed |= busy != entry.row.busy;
    if (reachable && (entry.row_changed || now_ >= entry.next_renewal)) {
      entry.row.busy = std::move(busy);
      WriteRow("member/" + entry.row.id.str(), entry.row);
      entry.row_changed = false;
      entry.next_renewal = now_ + Seconds(3);
    }
    // A process uses only a view that it read after its registration.
    if (reachable && now_ >= entry.next_poll && !entry.row_changed) {
      entry.next_poll = now_ + Seconds(1);
      entry.view = committed_state();
      entry.view_sent = now_;
      entry.row_changed =
          entry.row.version_in_force != committed_state()->version;
      entry.row.version_in_force = committed_state()->version;
    }
    if (!entry.view || entry.view->hosts.empty())
      return;
    for (double n = options_.sends_per_step; n > 0; n -= 1) {
      if (n >= 1 || random_.Chance(n))
        TrySend(entry);
    }
  }

  std::vector<HostId> Busy(const EntryProcess& entry) const {
    std::vector<HostId> busy;
    for (const auto& [id, ends] : entry.in_flight) {
      const HostState* host = entry.view ? entry.view->FindHost(id) : nullptr;
      if (!ends.empty() && (!host || host->phase != HostPhase::kActive))
        busy.push_back(id);
    }
    return busy;
  }

  void TrySend(EntryProcess& entry) {
    auto it = entry.view->hosts.begin();
    std::advance(it, random_.Below(entry.view->hosts.size()));
    const HostState& host = it->second;
    bool permitted =
        host.zone == entry.row.zone || now_ - entry.view_sent <= Seconds(5);
    if (host.phase != HostPhase::kActive || !permitted)
      return;
    ++sends;
    const HostState* committed = committed_state()->FindHost(host.id);
    bool open = committed && (committed->phase == HostPhase::kActive ||
                              committed->phase == HostPhase::kDraining);
    RecordViolationUnless(
        open, "send to a host that is not in service: " + host.id.str());
    RecordViolationUnless(!committed || committed->epoch == host.epoch,
                          "send under an old epoch: " + host.id.str());
    if (IsDown(host.id))
      return;
    Duration time = random_.Chance(0.03)
                        ? random_.Between(Seconds(1), options_.max_request_time)
                        : random_.Exponential(Milliseconds(300));
    time = std::min(time, options_.max_request_time);
    entry.in_flight[host.id].push_back(now_ + time);
  }

  // The row's value is an index into `row_contents_`, not an encoding.
  void WriteRow(const std::string& key, const MemberView& content) {
    row_contents_.push_back(content);
    Transaction transaction{{random_.Next()}, {}, {}};
    transaction.writes.push_back(
        {key, std::to_string(row_contents_.size() - 1)});
    table.Handle(CommitRows{transaction});
  }

  void StepControlProcess(ControlProcess& process) {
    if (!process.alive || now_ < process.paused_until)
      return;
    ConfigVersion before = process.controller->state().version;
    if (now_ >= process.next_poll)
      ReadInputs(process);
    if (process.alive)
      Perform(process, process.controller->Tick(now_));
    RecordViolationUnless(
        !process.alive || process.controller->state().version >= before,
        "version of the controller's state decreased");
  }

  void ReadInputs(ControlProcess& process) {
    process.next_poll = now_ + Seconds(1);
    uint64_t generation = process.generation;
    auto pass = [&](auto&& method, auto&&... args) {
      if (process.generation == generation)
        Perform(process, ((*process.controller).*method)(now_, args...));
    };
    pass(&Controller::SetHealth, Observations());
    pass(&Controller::SetLoads, loads);
    if (!Reachable(process.zone))
      return;
    if (now_ - process.renewed_at >= Seconds(3)) {
      MemberView row;
      row.id = process.id;
      row.role = MemberRole::kControl;
      WriteRow("member/" + process.id.str(), row);
      process.member_row = RowOf("member/" + process.id.str()).version;
      process.renewed_at = now_;
    }
    MemberList list{now_, {}};
    for (const Row& row : Scan("member/")) {
      auto& [version, changed] = process.row_changes[row.key];
      if (version != row.version) {
        version = row.version;
        changed = now_;
      }
      list.members.push_back(row_contents_[std::stoul(row.value)]);
      list.members.back().last_change = changed;
    }
    AcquireLeases(process);
    pass(&Controller::SetLeases, HeldLeases(process));
    pass(&Controller::SetConfig, *committed_state(), HeadRowVersion(),
         ConfigVersion{0});
    pass(&Controller::SetMembers, list);
    // The host list sometimes falls back to an older state.
    std::vector<HostListEntry> hosts = host_list_;
    if (!hosts.empty() && random_.Chance(0.5))
      hosts.pop_back();
    pass(&Controller::SetHostList, hosts);
  }

  void AcquireLeases(ControlProcess& process) {
    process.leases.clear();
    size_t position = 0;
    for (const auto& [id, pool] : committed_state()->pools) {
      std::string key = "lease/" + id.str();
      Row row = RowOf(key);
      std::string holder = "member/" + row.value;
      bool preferred =
          &control_processes[position++ % control_processes.size()] == &process;
      bool silent =
          row.version == 0
              ? preferred || now_ > kTimeZero + Seconds(30)
              : now_ - process.row_changes[holder].second > Seconds(12);
      if (row.value != process.id.str() && silent) {
        Transaction transaction{{random_.Next()}, {{key, row.version}}, {}};
        transaction.writes.push_back({key, process.id.str()});
        table.Handle(CommitRows{transaction});
        row = RowOf(key);
      }
      if (row.value == process.id.str())
        process.leases[id] = row.version;
    }
  }

  std::vector<PoolLease> HeldLeases(const ControlProcess& process) const {
    std::vector<PoolLease> leases;
    for (const auto& [pool, version] : process.leases) {
      leases.push_back({pool,
                        process.renewed_at + Seconds(10),
                        {{"lease/" + pool.str(), version},
                         {"member/" + process.id.str(), process.member_row}}});
    }
    return leases;
  }

  std::vector<HostObservation> Observations() {
    std::vector<HostObservation> result;
    for (const auto& [id, host] : committed_state()->hosts) {
      auto partition = zone_partitions_.find(host.zone);
      if (partition != zone_partitions_.end() && partition->second.until > now_)
        continue;
      HostObservation observation;
      observation.host = id;
      observation.health =
          IsDown(id) ? HostHealth::kFailed : HostHealth::kHealthy;
      observation.observed_at = now_;
      if (running.contains(id))
        observation.running = running[id];
      result.push_back(observation);
    }
    return result;
  }

  void Perform(ControlProcess& process, std::vector<FleetAction> list) {
    for (FleetAction& action : list) {
      if (auto* event = std::get_if<TimelineEvent>(&action)) {
        events.push_back(*event);
        continue;
      }
      if (auto* report = std::get_if<WaveReport>(&action)) {
        reports.push_back(*report);
        continue;
      }
      bool kill = ++actions == kill_at_action;
      if (!kill || kill_after_action)
        PerformAction(process, action);
      if (kill) {
        KillControlProcess(process, Seconds(5));
        return;
      }
    }
  }

  void PerformAction(ControlProcess& process, const FleetAction& action) {
    if (const auto* call = std::get_if<StoreCall>(&action)) {
      if (!intercept || !intercept(process, *call))
        CallStore(process, *call);
      return;
    }
    int copies = 1;
    if (options_.faults.platform_loses_or_repeats && now_ < kFaultsUntil)
      copies = static_cast<int>(random_.Below(3));
    for (int i = 0; i < copies; ++i) {
      Schedule(
          random_.Between(Milliseconds(100), Milliseconds(900)),
          [this, &process, action] { PerformPlatformAction(process, action); });
    }
  }

 public:
  void Answer(ControlProcess& process,
              uint64_t tag,
              StoreReply reply,
              Duration delay) {
    uint64_t generation = process.generation;
    Schedule(delay, [this, &process, generation, tag, reply] {
      if (process.generation != generation)
        return;
      if (now_ < process.paused_until)
        return Answer(process, tag, reply, process.paused_until - now_);
      Perform(process,
              process.controller->Handle(now_, StoreAnswer{tag, reply}));
    });
  }
  StoreReply Apply(const StoreRequest& request) {
    StoreReply reply = table.Handle(request);
    ApplyCommittedDeltas();
    return reply;
  }

 private:
  // The store and the platform lose or repeat messages only before this time.
  static constexpr Time kFaultsUntil = kTimeZero + Seconds(600);

  void CallStore(ControlProcess& process, const StoreCall& call) {
    if (!Reachable(process.zone))
      return Answer(process, call.tag, UnavailableReply{}, Milliseconds(50));
    bool lose = options_.faults.lost_answers && now_ < kFaultsUntil;
    double draw = lose ? random_.Unit() : 1;
    if (draw < 0.1) {  // The call takes effect, but its answer is lost.
      Apply(call.request);
      return Answer(process, call.tag, UnknownReply{}, Seconds(1));
    }
    if (draw < 0.2) {  // The call takes effect after it has timed out.
      Schedule(random_.Between(Seconds(1), Seconds(20)),
               [this, call] { Apply(call.request); });
      return Answer(process, call.tag, UnknownReply{}, Seconds(1));
    }
    if (draw < 0.3)  // The call never takes effect.
      return Answer(process, call.tag, UnknownReply{}, Seconds(1));
    if (!options_.faults.store_slow || now_ >= kFaultsUntil)
      return Answer(process, call.tag, Apply(call.request), Milliseconds(5));
    uint64_t generation = process.generation;
    Schedule(
        random_.Exponential(Seconds(2)), [this, &process, generation, call] {
          StoreReply reply = Apply(call.request);
          if (process.generation == generation)
            Answer(process, call.tag, reply, random_.Exponential(Seconds(2)));
        });
  }

  void PerformPlatformAction(ControlProcess& process,
                             const FleetAction& action) {
    if (const auto* a = std::get_if<CheckpointTasks>(&action)) {
      ConfigVersion& key = platform_[a->host].checkpoint_key;
      key = std::max(key, a->key);
      return SendPlatformResult(
          process, {a->host, PlatformResultKind::kTasksCheckpointed, a->key});
    }
    if (const auto* a = std::get_if<AdmitHost>(&action)) {
      PlatformHost& host = platform_[a->host];
      host.epoch = std::max(host.epoch, a->key);
      return SendPlatformResult(
          process, {a->host, PlatformResultKind::kAdmitted, a->key});
    }
    Reboot(process, std::get<RebootHost>(action));
  }

  void Reboot(ControlProcess& process, const RebootHost& action) {
    PlatformHost& host = platform_[action.host];
    PlatformResult done{action.host, PlatformResultKind::kRebootFinished,
                        action.key};
    if (action.key < host.reboot_key)
      return;
    if (action.key == host.reboot_key) {
      if (host.done)
        SendPlatformResult(process, done);
      return;
    }
    const HostState* committed = committed_state()->FindHost(action.host);
    RecordViolationUnless(committed &&
                              committed->phase == HostPhase::kRebooting &&
                              committed->drain_version == action.key,
                          "reboot without a reservation: " + action.host.str());
    RecordViolationUnless(
        InFlight(action.host) == 0,
        "reboot with requests in flight: " + action.host.str());
    RecordViolationUnless(reboots_.insert({action.host, action.key}).second,
                          "two reboots for one reservation");
    ++reboots[action.host];
    host = {host.checkpoint_key, action.key, false, host.epoch};
    Duration time = options_.reboot_time;
    bool fails = options_.faults.reboots_fail && random_.Chance(0.2);
    FailHost(action.host, fails ? time + Seconds(90) : time);
    Schedule(time, [this, &process, done] {
      platform_[done.host].done = true;
      SendPlatformResult(process, done);
    });
  }

  void SendPlatformResult(ControlProcess& process, PlatformResult result) {
    if (!process.alive)
      return;
    uint64_t generation = process.generation;
    Duration wait = std::max(process.paused_until - now_, Milliseconds(10));
    Schedule(wait, [this, &process, generation, result] {
      if (process.generation == generation && process.alive)
        Perform(process, process.controller->Handle(now_, result));
    });
  }

  Row RowOf(const std::string& key) {
    return std::get<RowsReply>(table.Handle(ReadRows{{key}})).rows[0];
  }
  std::vector<Row> Scan(const std::string& prefix) {
    return std::get<RowsReply>(table.Handle(ScanRows{prefix, "", 1000})).rows;
  }
  RowVersion HeadRowVersion() { return RowOf(kConfigHeadKey).version; }

  void ApplyCommittedDeltas() {
    ConfigHead head = DecodeHead(RowOf(kConfigHeadKey).value);
    while (committed_state()->version < head.version) {
      ConfigDelta delta = DecodeDelta(
          RowOf(ConfigDeltaKey(committed_state()->version + 1)).value);
      auto next = std::make_shared<FleetState>(*committed_state());
      next->Apply(delta);
      RecordViolationUnless(operations_.insert(delta.operation).second,
                            "operation id committed twice");
      if (delta.author != "operator" && delta.version > 1)
        CheckChange(*committed_state(), *next, delta);
      history_.push_back(std::move(next));
    }
  }

  void CheckChange(const FleetState& before,
                   const FleetState& after,
                   const ConfigDelta& delta) {
    for (const HostState& host : delta.hosts) {
      const HostState& old = *before.FindHost(host.id);
      const std::string& name = host.id.str();
      if (host.phase == HostPhase::kDraining) {
        ++drains;
        RecordViolationUnless(old.phase == HostPhase::kActive,
                              "drain of a host that is not active");
        CheckBudget(after, host.pool);
      }
      if (old.phase == HostPhase::kDraining &&
          host.phase == HostPhase::kDrained) {
        RecordViolationUnless(
            platform_[host.id].checkpoint_key == old.drain_version,
            "drained before the checkpoint of tasks: " + name);
      }
      if (host.phase == HostPhase::kDrained)
        RecordViolationUnless(InFlight(host.id) == 0,
                              "drained with requests in flight: " + name);
      if (host.pool != old.pool) {
        RecordViolationUnless(
            old.phase == HostPhase::kDrained && host.epoch == old.epoch + 1,
            "pool changed while in service or without a new epoch: " + name);
      }
      if (host.phase == HostPhase::kActive &&
          old.phase == HostPhase::kDrained) {
        RecordViolationUnless(platform_[host.id].epoch == host.epoch,
                              "active without admission: " + name);
      }
    }
  }

  // Counts the hosts that every controller must know to be unavailable: those
  // out of service by the configuration log, and those lost for more than 60 s,
  // which exceeds the largest age of an observation plus the longest delay of a
  // write.
  void CheckBudget(const FleetState& state, const PoolId& pool) {
    const PoolState& rules = *state.FindPool(pool);
    uint32_t out = 0;
    for (const auto& [id, host] : state.hosts) {
      if (host.pool != pool || host.phase == HostPhase::kRetired ||
          IsNewInPool(host)) {
        continue;
      }
      bool lost = LostForOverOneMinute(host_outages_, id) ||
                  LostForOverOneMinute(zone_partitions_, host.zone);
      out += host.phase != HostPhase::kActive || lost ? 1 : 0;
    }
    uint32_t limit = rules.closed ? UINT32_MAX : rules.max_unavailable;
    RecordViolationUnless(out <= limit,
                          "budget of " + pool.str() + " exceeded");
  }

  template <typename Key>
  bool LostForOverOneMinute(const std::map<Key, Outage>& map,
                            const Key& key) const {
    auto it = map.find(key);
    return it != map.end() && it->second.until > now_ &&
           now_ - it->second.since > Seconds(60);
  }

  void RecordViolationUnless(bool holds, const std::string& what) {
    if (!holds)
      violations.push_back(std::to_string(ToSeconds(now_ - kTimeZero)) + " " +
                           what);
  }

  SimOptions options_;
  Random random_;
  Time now_{};
  std::multimap<Time, std::function<void()>> queue_;
  std::vector<std::shared_ptr<const FleetState>> history_;
  std::vector<MemberView> row_contents_;
  std::vector<HostListEntry> host_list_;
  std::map<HostId, Outage> host_outages_;
  std::map<ZoneId, Outage> zone_partitions_;
  std::map<HostId, PlatformHost> platform_;
  std::set<std::pair<HostId, ConfigVersion>> reboots_;
  std::set<OperationId> operations_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_TESTING_FLEET_SIM_H_
