// Measures what a process of a site costs without load from callers, for sites
// of several sizes: processor time, messages, bytes and memory by role. All
// processes of the site are simulated in virtual time on one in-memory table,
// with the real encodings of their messages.
//
//   capacity_bench [--json] [--vary hosts|pools|zones|entries|changes|design]
//                  [--warm-up SECONDS] [--window SECONDS]
//
// The warm-up, after which the measurement starts, and the measured window are
// in virtual seconds. Processor time is that of EntryCore or ControlCore
// ("core") and of encoding and decoding messages ("codec"); it excludes system
// calls (tools/control_cost measures whole processes). The state of a process
// is the number of bytes that the destruction of its core frees.

#include <malloc.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <new>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/config/config_log.h"
#include "radishmoor/config/inventory.h"
#include "radishmoor/config/plan.h"
#include "radishmoor/control/control_core.h"
#include "radishmoor/entry/entry_core.h"
#include "radishmoor/net/peer_codec.h"
#include "radishmoor/net/store_json.h"
#include "radishmoor/store/memory_table.h"

namespace {

// Bytes freed by operator delete since the last reset.
uint64_t freed_bytes = 0;

}  // namespace

void* operator new(size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr)
    throw std::bad_alloc();
  return block;
}

void operator delete(void* block) noexcept {
  freed_bytes += malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, size_t /*size*/) noexcept {
  operator delete(block);
}

namespace radishmoor {
namespace {

constexpr Duration kOneWayLatency = Milliseconds(1);
// Shortest time to the next tick of a process that asks for an earlier one.
constexpr Duration kMinWakeDelay = Microseconds(200);
constexpr Duration kProbePeriod = Seconds(2);  // As in control_service.cc.
// Estimated size of an OPTIONS request and its answer.
constexpr uint64_t kProbeExchangeBytes = 200;
// Length prefix of each message between processes.
constexpr uint64_t kFrameHeaderBytes = 4;
// Estimated size of the start line, the Content-Length header and the blank
// line.
constexpr uint64_t kHttpOverheadBytes = 40;
// Version of the configuration at the start. It is so far above 0 that a
// starting process reads the snapshot instead of the deltas.
constexpr ConfigVersion kFirstVersion = 2 * kSnapshotInterval;

double ThreadCpuSeconds() {
  timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

struct SiteSize {
  int hosts = 50;
  int pools = 5;
  int zones = 3;
  int entries_per_zone = 3;
  int changes = 0;  // Configuration changes during the window.
};

enum MessageKind : uint8_t {
  kHello,
  kHeartbeat,
  kConfig,
  kDemand,
  kGrant,
  kRead,
  kMemberScan,
  kLeaseScan,
  kCommit,
  kObject,
  kHostList,
  kProbe,
  kMessageKindCount
};
constexpr std::array<const char*, kMessageKindCount> kMessageKindNames = {
    "hello",       "heartbeats", "config",       "slot demands",
    "slot grants", "row reads",  "member scans", "lease scans",
    "commits",     "objects",    "host list",    "health probes"};

// Sums over all processes of one role. Messages and bytes count what is sent
// and what is received.
struct RoleCost {
  int processes = 0;
  std::array<uint64_t, kMessageKindCount> messages{};
  std::array<uint64_t, kMessageKindCount> bytes{};
  double decision_cpu_s = 0;  // In EntryCore or ControlCore.
  double codec_cpu_s = 0;     // In encoding and decoding of messages.
  uint64_t state_bytes = 0;
};

uint64_t HttpMessageBytes(const HttpHeaders& headers, const std::string& body) {
  uint64_t bytes = kHttpOverheadBytes + body.size();
  for (const auto& [name, value] : headers)
    bytes += name.size() + value.size() + 4;
  return bytes;
}

MessageKind MessageKindOf(const StoreRequest& request) {
  if (const auto* scan = std::get_if<ScanRows>(&request))
    return scan->prefix == kMemberPrefix ? kMemberScan : kLeaseScan;
  if (std::holds_alternative<ReadRows>(request))
    return kRead;
  if (std::holds_alternative<CommitRows>(request))
    return kCommit;
  return std::holds_alternative<ReadHostList>(request) ? kHostList : kObject;
}

FleetState MakeFleetState(const SiteSize& size) {
  FleetState state;
  state.version = kFirstVersion;
  for (int p = 0; p < size.pools; ++p) {
    PoolState pool;
    pool.id = PoolId("service-" + std::to_string(p));
    state.pools[pool.id] = pool;
  }
  for (int h = 0; h < size.hosts; ++h) {
    HostState host;
    host.id = HostId("worker-" + std::to_string(h));
    host.zone = ZoneId("zone-" + std::to_string(h % size.zones));
    host.rack = RackId("rack-" + std::to_string(h / 4));
    host.address = "10.0." + std::to_string(h / 250) + "." +
                   std::to_string(h % 250) + ":8080";
    host.cores = 32;
    host.memory_gb = 64;
    // Spreads the hosts of a pool over as many zones as possible.
    host.pool = host.wanted_pool =
        PoolId("service-" + std::to_string((h / size.zones + h) % size.pools));
    state.hosts[host.id] = host;
  }
  return state;
}

class SimulatedSite {
 public:
  explicit SimulatedSite(const SiteSize& size)
      : size_(size), state_(MakeFleetState(size)) {
    table_.Handle(
        PutObject{ConfigSnapshotKey(state_.version), EncodeState(state_)});
    Transaction first{.operation = {1}};
    first.writes.push_back(
        {kConfigHeadKey, EncodeHead({state_.version, state_.version})});
    table_.Handle(CommitRows{first});
    std::vector<HostListEntry> list;
    for (const auto& [id, host] : state_.hosts)
      list.push_back({id.str()});
    for (int z = 0; z < size.zones; ++z) {
      for (int n = 0; n < size.entries_per_zone; ++n) {
        list.push_back({"entry-host-" + std::to_string(list.size())});
        AddProcess(z, n, false);
        AddProcess(z, n, true);
      }
    }
    table_.SetHostList(std::move(list));
  }

  void Run(Duration warm_up, Duration window) {
    for (size_t process_index = 0; process_index < processes_.size();
         ++process_index) {
      ScheduleWake(
          process_index,
          now_ + Milliseconds(static_cast<int64_t>(process_index * 37 % 1000)));
      if (processes_[process_index].control)
        ProbeHosts(process_index);
    }
    RunUntil(now_ + warm_up);
    measuring_ = true;
    for (int c = 0; c < size_.changes; ++c)
      ScheduleAt(now_ + window * c / size_.changes,
                 [this] { CommitPoolChange(); });
    RunUntil(now_ + window);
    measuring_ = false;
    window_s_ = ToSeconds(window);
    for (Process& process : processes_) {
      RoleCost& cost = CostOf(process);
      freed_bytes = 0;
      process.entry.reset();
      process.control.reset();
      cost.state_bytes += freed_bytes;
    }
  }

  const RoleCost& entry() const { return roles_[0]; }
  const RoleCost& control() const { return roles_[1]; }
  double window_s() const { return window_s_; }
  double reads_per_s() const { return static_cast<double>(reads_) / window_s_; }
  double writes_per_s() const {
    return static_cast<double>(writes_) / window_s_;
  }
  double store_cpu_per_s() const { return store_cpu_s_ / window_s_; }
  size_t table_rows() const { return table_.row_count(); }

  // Prints the cost of one `radishmoorctl plan`, which reads the configuration
  // and plans a change of one pool.
  void MeasureOperatorPlan(bool json) {
    uint64_t bytes = 0;
    uint64_t requests = 0;
    double start = ThreadCpuSeconds();
    LoadedConfig loaded = LoadConfig([&](const StoreRequest& request) {
      HttpRequest sent = EncodeStoreRequest(request);
      HttpResponse received = EncodeStoreReply(table_.Handle(request));
      bytes += HttpMessageBytes(sent.headers, sent.body) +
               HttpMessageBytes(received.headers, received.body);
      ++requests;
      return DecodeStoreReply(request, received);
    });
    Inventory inventory = InventoryOf(loaded.state);
    inventory.pools.begin()->second.queue_limit = 1;
    auto plan =
        std::make_unique<ConfigPlan>(PlanInventory(loaded.state, inventory));
    double cpu = ThreadCpuSeconds() - start;
    freed_bytes = 0;
    plan.reset();
    inventory = {};
    loaded = {};
    std::printf(
        json ? "{\"hosts\":%zu,\"role\":\"operator\",\"reads\":%lu,"
               "\"kb\":%.1f,\"core_ms\":%.1f,\"state_mb\":%.2f}\n"
             : "operator tool, %zu hosts: one plan reads %lu times, %.1f KB, "
               "takes %.1f ms of a core and holds %.2f MB\n",
        state_.hosts.size(), static_cast<unsigned long>(requests),
        static_cast<double>(bytes) / 1e3, cpu * 1e3,
        static_cast<double>(freed_bytes) / 1e6);
  }

 private:
  struct Process {
    MemberId id;
    std::unique_ptr<EntryCore> entry;
    std::unique_ptr<ControlCore> control;
    Time wake = kTimeMax;  // Time of the scheduled tick.
  };
  struct Event {
    Time at;
    uint64_t sequence;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };

  void AddProcess(int zone, int number, bool control) {
    std::string suffix = std::to_string(zone) + "-" + std::to_string(number);
    Process process;
    process.id = MemberId((control ? "control-" : "entry-") + suffix);
    std::string address = "10." + std::to_string(control ? 2 : 1) + "." +
                          std::to_string(zone) + "." + std::to_string(number) +
                          ":7000";
    ZoneId zone_id("zone-" + std::to_string(zone));
    Incarnation incarnation{1'700'000'000'000 + processes_.size()};
    uint64_t seed = processes_.size() + 1;
    if (control) {
      ControlOptions options;
      options.member = process.id;
      options.zone = zone_id;
      options.incarnation = incarnation;
      options.peer_address = address;
      options.admin_address = "10.9.9.9:9000";
      options.seed = seed;
      process.control = std::make_unique<ControlCore>(std::move(options));
    } else {
      EntryOptions options;
      options.member = process.id;
      options.zone = zone_id;
      options.incarnation = incarnation;
      options.peer_address = address;
      options.admin_address = "10.9.9.9:9000";
      options.seed = seed;
      process.entry = std::make_unique<EntryCore>(std::move(options));
      by_address_[address] = processes_.size();
    }
    ++roles_[control ? 1 : 0].processes;
    processes_.push_back(std::move(process));
  }

  WallMillis wall() const {
    return 1'700'000'000'000 + (now_ - kTimeZero).count() / 1000;
  }
  RoleCost& CostOf(const Process& process) {
    return roles_[process.control ? 1 : 0];
  }
  void Count(size_t process_index,
             MessageKind kind,
             uint64_t bytes,
             uint64_t messages = 1) {
    if (!measuring_)
      return;
    CostOf(processes_[process_index]).messages[kind] += messages;
    CostOf(processes_[process_index]).bytes[kind] += bytes;
  }

  void ScheduleAt(Time at, std::function<void()> run) {
    events_.push({at, next_sequence_++, std::move(run)});
  }
  void RunUntil(Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = end;
  }

  // Runs `call` on the core, carries out the actions that it returns, and
  // schedules the next tick of the process.
  template <typename Core, typename F>
  void CallCore(size_t process_index, Core& core, const F& call) {
    double start = ThreadCpuSeconds();
    auto actions = call(core);
    Time wake = core.next_wake();
    if (measuring_)
      CostOf(processes_[process_index]).decision_cpu_s +=
          ThreadCpuSeconds() - start;
    for (const auto& action : actions)
      std::visit([this, process_index](
                     const auto& a) { this->PerformAction(process_index, a); },
                 action);
    if (wake < processes_[process_index].wake)
      ScheduleWake(process_index, std::max(wake, now_ + kMinWakeDelay));
  }
  template <typename F>
  void CallCoreOf(size_t process_index, const F& call) {
    if (processes_[process_index].entry)
      CallCore(process_index, *processes_[process_index].entry, call);
    else
      CallCore(process_index, *processes_[process_index].control, call);
  }

  void ScheduleWake(size_t process_index, Time at) {
    processes_[process_index].wake = at;
    ScheduleAt(at, [this, process_index, at] {
      if (processes_[process_index].wake != at)
        return;
      processes_[process_index].wake = kTimeMax;
      CallCoreOf(process_index,
                 [this](auto& core) { return core.Tick(now_, wall()); });
    });
  }

  void ProbeHosts(size_t process_index) {
    ControlCore& core = *processes_[process_index].control;
    for (const HostState* host : core.ObservedHosts(now_)) {
      Count(process_index, kProbe, kProbeExchangeBytes, 2);
      HostObservation seen{host->id, HostHealth::kHealthy, {}, now_};
      CallCore(process_index, core, [&](ControlCore& c) {
        return c.SetHealth(now_, wall(), {&seen, 1});
      });
    }
    ScheduleAt(now_ + kProbePeriod,
               [this, process_index] { ProbeHosts(process_index); });
  }

  template <typename Action>
  void PerformAction(size_t, const Action&) {
    // Other actions concern callers or changes of hosts, which do not occur
    // here.
  }

  void PerformAction(size_t process_index, const StoreCall& call) {
    double start = ThreadCpuSeconds();
    HttpRequest sent = EncodeStoreRequest(call.request);
    double encoded = ThreadCpuSeconds();
    HttpResponse received =
        EncodeStoreReply(table_.Handle(DecodeStoreRequest(sent)));
    double answered = ThreadCpuSeconds();
    StoreReply reply = DecodeStoreReply(call.request, received);
    double decoded = ThreadCpuSeconds();
    MessageKind kind = MessageKindOf(call.request);
    Count(process_index, kind,
          HttpMessageBytes(sent.headers, sent.body) + sent.target.size() +
              HttpMessageBytes(received.headers, received.body),
          2);
    if (measuring_) {
      CostOf(processes_[process_index]).codec_cpu_s +=
          encoded - start + decoded - answered;
      store_cpu_s_ += answered - encoded;
      bool write =
          kind == kCommit || std::holds_alternative<PutObject>(call.request);
      ++(write ? writes_ : reads_);
    }
    ScheduleAt(now_ + 2 * kOneWayLatency,
               [this, process_index, tag = call.tag, reply] {
                 CallCoreOf(process_index, [&](auto& core) {
                   return core.Handle(now_, wall(), StoreAnswer{tag, reply});
                 });
               });
  }

  void PerformAction(size_t process_index, const SendPeerMessage& send) {
    auto to = by_address_.find(send.address);
    Process& from = processes_[process_index];
    double start = ThreadCpuSeconds();
    std::string bytes =
        EncodePeerEnvelope({from.id, from.entry->Stamp(wall()), send.message});
    if (measuring_)
      CostOf(from).codec_cpu_s += ThreadCpuSeconds() - start;
    auto kind = static_cast<MessageKind>(send.message.index());
    Count(process_index, kind, bytes.size() + kFrameHeaderBytes);
    if (to == by_address_.end())
      return;  // A control process does not listen.
    ScheduleAt(
        now_ + kOneWayLatency, [this, kind, process_index = to->second, bytes] {
          double decode = ThreadCpuSeconds();
          auto envelope = DecodePeerEnvelope(bytes);
          if (measuring_)
            CostOf(processes_[process_index]).codec_cpu_s +=
                ThreadCpuSeconds() - decode;
          Count(process_index, kind, bytes.size() + kFrameHeaderBytes);
          CallCore(process_index, *processes_[process_index].entry,
                   [&](EntryCore& core) {
                     return core.Handle(now_, wall(), envelope->sender,
                                        envelope->stamp, envelope->message);
                   });
        });
  }

  // Commits a change of one pool, as an operator's tool does.
  void CommitPoolChange() {
    auto rows = std::get<RowsReply>(table_.Handle(ReadRows{{kConfigHeadKey}}));
    ConfigHead head = DecodeHead(rows.rows[0].value);
    ConfigDelta delta;
    delta.version = head.version + 1;
    delta.operation = {delta.version};
    delta.author = "bench";
    delta.pools = {state_.pools.begin()->second};
    delta.pools[0].queue_limit = static_cast<uint32_t>(delta.version);
    table_.Handle(
        CommitRows{BuildConfigTransaction(delta, rows.rows[0].version, head)});
  }

  SiteSize size_;
  FleetState state_;
  MemoryTable table_;
  std::vector<Process> processes_;
  std::map<std::string, size_t> by_address_;
  std::priority_queue<Event> events_;
  uint64_t next_sequence_ = 0;
  Time now_ = kTimeZero + Seconds(1000);
  bool measuring_ = false;
  double window_s_ = 1;
  std::array<RoleCost, 2> roles_;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  double store_cpu_s_ = 0;
};

struct RunOptions {
  bool json = false;
  Duration warm_up = Seconds(20);
  Duration window = Seconds(20);
};

void PrintRole(const char* name,
               const RoleCost& cost,
               const SiteSize& size,
               const SimulatedSite& site,
               bool json) {
  double process_seconds = cost.processes * site.window_s();
  uint64_t messages = 0;
  uint64_t bytes = 0;
  for (int k = 0; k < kMessageKindCount; ++k) {
    messages += cost.messages[k];
    bytes += cost.bytes[k];
  }
  std::printf(json ? "{\"hosts\":%d,\"pools\":%d,\"zones\":%d,\"entries\":%d,"
                     "\"changes\":%d,\"role\":\"%s\",\"state_kb\":%.1f,"
                     "\"messages_s\":%.2f,\"bytes_s\":%.0f,\"core_ms_s\":%.3f,"
                     "\"codec_ms_s\":%.3f"
                   : "%6d %5d %5d %7d %7d %-7s %8.1f %8.2f %8.0f %9.3f %9.3f",
              size.hosts, size.pools, size.zones,
              size.zones * size.entries_per_zone, size.changes, name,
              static_cast<double>(cost.state_bytes) / 1e3 / cost.processes,
              static_cast<double>(messages) / process_seconds,
              static_cast<double>(bytes) / process_seconds,
              cost.decision_cpu_s * 1e3 / process_seconds,
              cost.codec_cpu_s * 1e3 / process_seconds);
  std::printf(json ? ",\"bytes_by_kind\":{" : "  ");
  bool first = true;
  for (int k = 0; k < kMessageKindCount; ++k) {
    if (cost.bytes[k] == 0)
      continue;
    std::printf(json ? "%s\"%s\":%.0f" : "%s%s %.0f", first ? "" : ", ",
                kMessageKindNames[static_cast<size_t>(k)],
                static_cast<double>(cost.bytes[k]) / process_seconds);
    first = false;
  }
  std::printf(json ? "}}\n" : "\n");
}

void Measure(const SiteSize& size, const RunOptions& options) {
  SimulatedSite site(size);
  site.Run(options.warm_up, options.window);
  PrintRole("entry", site.entry(), size, site, options.json);
  PrintRole("control", site.control(), size, site, options.json);
  std::printf(
      options.json ? "{\"hosts\":%d,\"pools\":%d,\"zones\":%d,\"entries\":%d,"
                     "\"changes\":%d,\"role\":\"store\",\"reads_s\":%.1f,"
                     "\"writes_s\":%.1f,\"core_ms_s\":%.3f,\"rows\":%zu}\n"
                   : "%6d %5d %5d %7d %7d store   %.1f reads/s, %.1f writes/s, "
                     "%.3f ms/s of a core, %zu rows\n",
      size.hosts, size.pools, size.zones, size.zones * size.entries_per_zone,
      size.changes, site.reads_per_s(), site.writes_per_s(),
      site.store_cpu_per_s() * 1e3, site.table_rows());
  site.MeasureOperatorPlan(options.json);
  std::fflush(stdout);
}

const std::map<std::string, std::vector<SiteSize>> kSiteSizeSeries{
    {"hosts", {{50}, {200}, {400}, {800}, {1100}}},
    {"pools", {{400, 5}, {400, 20}, {400, 59}, {400, 118}}},
    {"zones", {{50, 5, 2, 2}, {50, 5, 4, 2}, {50, 5, 8, 2}, {50, 5, 22, 2}}},
    {"entries", {{50, 5, 3, 1}, {50, 5, 3, 3}, {50, 5, 3, 6}, {50, 5, 3, 9}}},
    {"changes",
     {{50, 5, 3, 3, 0},
      {50, 5, 3, 3, 5},
      {50, 5, 3, 3, 10},
      {50, 5, 3, 3, 20}}},
    {"design", {{1100, 118, 22, 9}}}};

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  RunOptions options;
  std::string vary;
  for (int i = 1; i < argc; ++i) {
    std::string flag = argv[i];
    if (flag == "--json") {
      options.json = true;
    } else if (i + 1 < argc && flag == "--vary") {
      vary = argv[++i];
    } else if (i + 1 < argc && flag == "--warm-up") {
      options.warm_up = Seconds(std::atoi(argv[++i]));
    } else if (i + 1 < argc && flag == "--window") {
      options.window = Seconds(std::atoi(argv[++i]));
    } else {
      std::fprintf(stderr, "unknown argument %s\n", argv[i]);
      return 2;
    }
  }
  if (!options.json) {
    std::printf("%6s %5s %5s %7s %7s %-7s %8s %8s %8s %9s %9s  %s\n", "hosts",
                "pools", "zones", "entries", "changes", "role", "state KB",
                "msg/s", "bytes/s", "core ms/s", "codec ms/s",
                "bytes/s by kind");
  }
  for (const auto& [name, sizes] : kSiteSizeSeries) {
    if (!vary.empty() && name != vary)
      continue;
    for (const SiteSize& size : sizes)
      Measure(size, options);
  }
  return 0;
}
