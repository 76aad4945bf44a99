// What a whole site without caller load costs each process, at several sizes.
// All processes of the site run in virtual time on one in-memory table, with
// the real encodings of their messages.
//
//   capacity_bench [--json] [--vary hosts|pools|zones|entries|changes|design]
//                  [--warm-up SECONDS] [--window SECONDS]
//
// Processor time is that of the decision classes and of the encodings; system
// calls are not part of it (tools/control_cost measures whole processes). State
// is what the destruction of a process's objects frees.

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

constexpr Duration kLatency = Milliseconds(1);  // One way.
constexpr Duration kMinWakeDelay = Microseconds(200);
constexpr Duration kProbePeriod = Seconds(2);  // control_service.cc
constexpr uint64_t kProbeBytes = 200;          // OPTIONS and its answer.
constexpr uint64_t kFrameBytes = 4;
constexpr uint64_t kHttpBytes = 40;  // Start line, length and blank line.
// A process that starts is this far behind and reads the snapshot.
constexpr ConfigVersion kFirstVersion = 2 * kSnapshotInterval;

double CpuNow() {
  timespec t;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

struct Size {
  int hosts = 50;
  int pools = 5;
  int zones = 3;
  int entries_per_zone = 3;
  int changes = 0;  // During the window.
};

enum Kind : uint8_t {
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
  kKinds
};
constexpr std::array<const char*, kKinds> kKindNames = {
    "hello",       "heartbeats", "config",       "slot demands",
    "slot grants", "row reads",  "member scans", "lease scans",
    "commits",     "objects",    "host list",    "health probes"};

// Sums over the processes of one role. Bytes are those sent and received.
struct RoleCost {
  int processes = 0;
  std::array<uint64_t, kKinds> messages{};
  std::array<uint64_t, kKinds> bytes{};
  double cpu_core = 0;
  double cpu_codec = 0;
  uint64_t state_bytes = 0;
};

uint64_t WireBytes(const HttpHeaders& headers, const std::string& body) {
  uint64_t bytes = kHttpBytes + body.size();
  for (const auto& [name, value] : headers)
    bytes += name.size() + value.size() + 4;
  return bytes;
}

Kind KindOf(const StoreRequest& request) {
  if (const auto* scan = std::get_if<ScanRows>(&request))
    return scan->prefix == kMemberPrefix ? kMemberScan : kLeaseScan;
  if (std::holds_alternative<ReadRows>(request))
    return kRead;
  if (std::holds_alternative<CommitRows>(request))
    return kCommit;
  return std::holds_alternative<ReadHostList>(request) ? kHostList : kObject;
}

FleetState StateOf(const Size& size) {
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
    // Each pool has hosts in as many zones as it has hosts.
    host.pool = host.wanted_pool =
        PoolId("service-" + std::to_string((h / size.zones + h) % size.pools));
    state.hosts[host.id] = host;
  }
  return state;
}

class Site {
 public:
  explicit Site(const Size& size) : size_(size), state_(StateOf(size)) {
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
    for (size_t p = 0; p < processes_.size(); ++p) {
      Wake(p, now_ + Milliseconds(static_cast<int64_t>(p * 37 % 1000)));
      if (processes_[p].control)
        Probe(p);
    }
    RunUntil(now_ + warm_up);
    measuring_ = true;
    for (int c = 0; c < size_.changes; ++c)
      At(now_ + window * c / size_.changes, [this] { Change(); });
    RunUntil(now_ + window);
    measuring_ = false;
    window_ = ToSeconds(window);
    for (Process& process : processes_) {
      RoleCost& cost = Cost(process);
      freed_bytes = 0;
      process.entry.reset();
      process.control.reset();
      cost.state_bytes += freed_bytes;
    }
  }

  const RoleCost& entry() const { return roles_[0]; }
  const RoleCost& control() const { return roles_[1]; }
  double window() const { return window_; }
  double reads_per_s() const { return static_cast<double>(reads_) / window_; }
  double writes_per_s() const { return static_cast<double>(writes_) / window_; }
  double platform_cpu_per_s() const { return platform_cpu_ / window_; }
  size_t table_rows() const { return table_.row_count(); }

  // One `radishmoorctl plan`: reads the configuration and plans a change.
  void OperatorPlan(bool json) {
    uint64_t bytes = 0;
    uint64_t requests = 0;
    double start = CpuNow();
    LoadedConfig loaded = LoadConfig([&](const StoreRequest& request) {
      HttpRequest sent = EncodeStoreRequest(request);
      HttpResponse received = EncodeStoreReply(table_.Handle(request));
      bytes += WireBytes(sent.headers, sent.body) +
               WireBytes(received.headers, received.body);
      ++requests;
      return DecodeStoreReply(request, received);
    });
    Inventory inventory = InventoryOf(loaded.state);
    inventory.pools.begin()->second.queue_limit = 1;
    auto plan =
        std::make_unique<ConfigPlan>(PlanInventory(loaded.state, inventory));
    double cpu = CpuNow() - start;
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
    Time wake = kTimeMax;
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
  RoleCost& Cost(const Process& process) {
    return roles_[process.control ? 1 : 0];
  }
  void Count(size_t p, Kind kind, uint64_t bytes, uint64_t messages = 1) {
    if (!measuring_)
      return;
    Cost(processes_[p]).messages[kind] += messages;
    Cost(processes_[p]).bytes[kind] += bytes;
  }

  void At(Time at, std::function<void()> run) {
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

  // Runs `call` on the process's core and carries out its actions.
  template <typename Core, typename F>
  void OnCore(size_t p, Core& core, const F& call) {
    double start = CpuNow();
    auto actions = call(core);
    Time wake = core.next_wake();
    if (measuring_)
      Cost(processes_[p]).cpu_core += CpuNow() - start;
    for (const auto& action : actions)
      std::visit([this, p](const auto& a) { this->On(p, a); }, action);
    if (wake < processes_[p].wake)
      Wake(p, std::max(wake, now_ + kMinWakeDelay));
  }
  template <typename F>
  void WithCore(size_t p, const F& call) {
    if (processes_[p].entry)
      OnCore(p, *processes_[p].entry, call);
    else
      OnCore(p, *processes_[p].control, call);
  }

  void Wake(size_t p, Time at) {
    processes_[p].wake = at;
    At(at, [this, p, at] {
      if (processes_[p].wake != at)
        return;
      processes_[p].wake = kTimeMax;
      WithCore(p, [this](auto& core) { return core.Tick(now_, wall()); });
    });
  }

  void Probe(size_t p) {
    ControlCore& core = *processes_[p].control;
    for (const HostState* host : core.ObservedHosts(now_)) {
      Count(p, kProbe, kProbeBytes, 2);
      HostObservation seen{host->id, HostHealth::kHealthy, {}, now_};
      OnCore(p, core, [&](ControlCore& c) {
        return c.SetHealth(now_, wall(), {&seen, 1});
      });
    }
    At(now_ + kProbePeriod, [this, p] { Probe(p); });
  }

  template <typename Action>
  void On(size_t, const Action&) {}  // No effect without callers.

  void On(size_t p, const StoreCall& call) {
    double start = CpuNow();
    HttpRequest sent = EncodeStoreRequest(call.request);
    double encoded = CpuNow();
    HttpResponse received =
        EncodeStoreReply(table_.Handle(DecodeStoreRequest(sent)));
    double answered = CpuNow();
    StoreReply reply = DecodeStoreReply(call.request, received);
    double decoded = CpuNow();
    Kind kind = KindOf(call.request);
    Count(p, kind,
          WireBytes(sent.headers, sent.body) + sent.target.size() +
              WireBytes(received.headers, received.body),
          2);
    if (measuring_) {
      Cost(processes_[p]).cpu_codec += encoded - start + decoded - answered;
      platform_cpu_ += answered - encoded;
      bool write =
          kind == kCommit || std::holds_alternative<PutObject>(call.request);
      ++(write ? writes_ : reads_);
    }
    At(now_ + 2 * kLatency, [this, p, tag = call.tag, reply] {
      WithCore(p, [&](auto& core) {
        return core.Handle(now_, wall(), StoreAnswer{tag, reply});
      });
    });
  }

  void On(size_t p, const SendPeerMessage& send) {
    auto to = by_address_.find(send.address);
    Process& from = processes_[p];
    double start = CpuNow();
    std::string bytes =
        EncodePeerEnvelope({from.id, from.entry->Stamp(wall()), send.message});
    if (measuring_)
      Cost(from).cpu_codec += CpuNow() - start;
    auto kind = static_cast<Kind>(send.message.index());
    Count(p, kind, bytes.size() + kFrameBytes);
    if (to == by_address_.end())
      return;  // A control process does not listen.
    At(now_ + kLatency, [this, kind, p = to->second, bytes] {
      double decode = CpuNow();
      auto envelope = DecodePeerEnvelope(bytes);
      if (measuring_)
        Cost(processes_[p]).cpu_codec += CpuNow() - decode;
      Count(p, kind, bytes.size() + kFrameBytes);
      OnCore(p, *processes_[p].entry, [&](EntryCore& core) {
        return core.Handle(now_, wall(), envelope->sender, envelope->stamp,
                           envelope->message);
      });
    });
  }

  // An operator's change of one pool.
  void Change() {
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

  Size size_;
  FleetState state_;
  MemoryTable table_;
  std::vector<Process> processes_;
  std::map<std::string, size_t> by_address_;
  std::priority_queue<Event> events_;
  uint64_t next_sequence_ = 0;
  Time now_ = kTimeZero + Seconds(1000);
  bool measuring_ = false;
  double window_ = 1;
  std::array<RoleCost, 2> roles_;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
  double platform_cpu_ = 0;
};

struct RunOptions {
  bool json = false;
  Duration warm_up = Seconds(20);
  Duration window = Seconds(20);
};

void PrintRole(const char* name,
               const RoleCost& cost,
               const Size& size,
               const Site& site,
               bool json) {
  double per = cost.processes * site.window();
  uint64_t messages = 0;
  uint64_t bytes = 0;
  for (int k = 0; k < kKinds; ++k) {
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
              static_cast<double>(messages) / per,
              static_cast<double>(bytes) / per, cost.cpu_core * 1e3 / per,
              cost.cpu_codec * 1e3 / per);
  std::printf(json ? ",\"bytes_by_kind\":{" : "  ");
  bool first = true;
  for (int k = 0; k < kKinds; ++k) {
    if (cost.bytes[k] == 0)
      continue;
    std::printf(json ? "%s\"%s\":%.0f" : "%s%s %.0f", first ? "" : ", ",
                kKindNames[static_cast<size_t>(k)],
                static_cast<double>(cost.bytes[k]) / per);
    first = false;
  }
  std::printf(json ? "}}\n" : "\n");
}

void Measure(const Size& size, const RunOptions& options) {
  Site site(size);
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
      site.platform_cpu_per_s() * 1e3, site.table_rows());
  site.OperatorPlan(options.json);
  std::fflush(stdout);
}

const std::map<std::string, std::vector<Size>> kSeries{
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
  for (const auto& [name, sizes] : kSeries) {
    if (!vary.empty() && name != vary)
      continue;
    for (const Size& size : sizes)
      Measure(size, options);
  }
  return 0;
}
