// Runs a maintenance round over a whole site of real processes under load, with
// faults of processes, platform and network during it, and prints how long the
// round took and what it cost the callers.
//
//   wave_trial SITE_FILE SEED
//
// The exit code is 1 on a violation or error and 2 on wrong arguments.

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

#include "radishmoor/base/random.h"
#include "radishmoor/standins/testing/site_fixture.h"

namespace radishmoor {
namespace {

constexpr char kRound[] = "trial";
constexpr double kCallsPerSecond = 500;
// Length of each load; the next one starts when this time has passed.
constexpr Duration kLoadPeriod = Seconds(5);
// Bounds the trial to about three minutes. 150 s are too short: under all
// faults, the last two hosts of a round had rebooted by then but did not serve
// yet.
constexpr Duration kTrialLimit = Seconds(175);
// Longer than the lease (10 s) and the takeover margin (2 s), so that another
// control process takes the frozen one's leases over.
constexpr Duration kFreezeLength = Seconds(15);
constexpr Duration kPlatformOutageLength = Seconds(4);
constexpr Duration kZoneCutLength = Seconds(6);

class WaveTrial {
 public:
  WaveTrial(Inventory inventory, uint64_t seed)
      : random_(seed),
        seed_(seed),
        site_({.entries_per_zone = 3,
               .controls_per_zone = 3,
               .inventory = std::move(inventory)}) {}

  // Returns true if there was no violation.
  bool Run() {
    Inventory wanted = site_.inventory;
    wanted.rules.maintenance = kRound;
    if (site_.Apply(wanted).code != 0)
      throw std::runtime_error("cannot apply the maintenance round");
    started_ = site_.loop.now();
    PlanFaults();
    StartNextLoad();
    finished_ = site_.WaitUntil(
        kTrialLimit, [this] { return MaintainedCount() == HostCount(); });
    roll_out_time_ = site_.loop.now() - started_;
    loading_ = false;
    for (auto& load : loads_) {
      auto part = load->Wait();
      calls_.insert(calls_.end(), part.begin(), part.end());
    }
    return PrintReport();
  }

 private:
  void ScheduleFault(int64_t from_s,
                     int64_t to_s,
                     const std::string& name,
                     std::function<void()> fault) {
    Duration when =
        Seconds(from_s) + Milliseconds(static_cast<int64_t>(random_.Below(
                              static_cast<uint64_t>(1000 * (to_s - from_s)))));
    std::cout << "fault at " << ToSeconds(when) << " s: " << name << std::endl;
    site_.loop.RunAfter(when, std::move(fault));
  }

  void PlanFaults() {
    // Three different control processes: two are killed, one is frozen.
    std::set<size_t> chosen_indexes;
    while (chosen_indexes.size() < 3)
      chosen_indexes.insert(random_.Below(site_.controls.size()));
    std::vector<size_t> faulty(chosen_indexes.begin(), chosen_indexes.end());
    for (size_t i : {0, 1}) {
      MemberProcess& control = site_.controls[faulty[i]];
      ScheduleFault(i == 0 ? 3 : 25, i == 0 ? 20 : 45, "kill " + control.name,
                    [&control] { control.process->Signal(SIGKILL); });
    }
    MemberProcess& frozen = site_.controls[faulty[2]];
    ScheduleFault(
        5, 30, "freeze " + frozen.name + " for 15 s", [this, &frozen] {
          frozen.process->Signal(SIGSTOP);
          site_.loop.RunAfter(kFreezeLength,
                              [&frozen] { frozen.process->Signal(SIGCONT); });
        });
    ScheduleFault(15, 40, "platform down for 4 s", [this] {
      SetPlatformFault("down");
      site_.loop.RunAfter(kPlatformOutageLength,
                          [this] { SetPlatformFault("up"); });
    });
    auto zone = std::next(
        site_.platform_relays.begin(),
        static_cast<int64_t>(random_.Below(site_.platform_relays.size())));
    Relay* relay = zone->second.get();
    ScheduleFault(
        45, 60, "zone " + zone->first + " cut off for 6 s", [this, relay] {
          relay->SetMode(RelayMode::kSilent);
          site_.loop.RunAfter(kZoneCutLength,
                              [relay] { relay->SetMode(RelayMode::kForward); });
        });
  }

  // Does not use Site::SetPlatformFaults, which runs the event loop and so
  // cannot be called from a callback of the loop.
  void SetPlatformFault(const std::string& mode) {
    fetcher_.Fetch(site_.platform,
                   {"POST", "/faults", {}, R"({"mode": ")" + mode + R"("})"},
                   Seconds(5), [](const HttpFetcher::Result&) {});
  }

  void StartNextLoad() {
    if (!loading_)
      return;
    LoadOptions options;
    options.rate = kCallsPerSecond;
    options.duration = kLoadPeriod;
    // Request ids begin with the seed, so each load needs its own.
    options.seed = seed_ * 1000 + loads_.size() + 1;
    loads_.push_back(std::make_unique<Load>(site_, options));
    site_.loop.RunAfter(kLoadPeriod, [this] { StartNextLoad(); });
  }

  size_t HostCount() const { return site_.inventory.hosts.size(); }

  size_t MaintainedCount() {
    // The platform may be down at this moment.
    try {
      FleetState state = site_.AcceptedConfig();
      return static_cast<size_t>(std::count_if(
          state.hosts.begin(), state.hosts.end(), [](const auto& item) {
            return item.second.maintained == kRound &&
                   item.second.phase == HostPhase::kActive;
          }));
    } catch (const ConfigUnavailableError&) {
      return 0;
    }
  }

  bool PrintReport() {
    std::vector<FleetState> history = site_.ConfigHistory();
    HistoryReport report = site_.CheckCalls(calls_);
    uint64_t cut = report.closed;
    for (const CallRecord& call : calls_)
      cut += call.reason == "backend-failed" ? 1 : 0;
    size_t maintained = MaintainedCount();
    size_t not_rebooted_once = 0;
    for (const BackendProcess& backend : site_.backends)
      not_rebooted_once += site_.BackendStat(backend, "reboots") == 1 ? 0 : 1;
    size_t two_pools = HostsInTwoPools(history);
    std::cout << "hosts maintained        " << maintained << " of "
              << HostCount() << "\nhosts not rebooted once "
              << not_rebooted_once << "\nroll-out time           "
              << ToSeconds(roll_out_time_) << " s"
              << (finished_ ? "" : " (not finished)") << "\n";
    bool within_budgets = PrintBudgets(history);
    std::cout << "requests sent           " << report.calls
              << "\nrequests completed      " << report.completed
              << "\nrequests refused        " << report.not_run
              << "\nrequests cut            " << cut
              << "\nrequests doubled        " << report.keys_started_repeatedly
              << "\nrequests lost           " << report.lost
              << "\nother violations        "
              << report.violations.size() - report.keys_started_repeatedly -
                     report.lost
              << "\nhosts in two pools      " << two_pools << "\n";
    for (size_t i = 0; i < std::min<size_t>(report.violations.size(), 5); ++i)
      std::cout << "  " << report.violations[i] << "\n";
    return finished_ && not_rebooted_once == 0 && within_budgets && cut == 0 &&
           report.violations.empty() && two_pools == 0;
  }

  static bool PrintBudgets(const std::vector<FleetState>& history) {
    std::map<PoolId, uint32_t> largest;
    bool within_budgets = true;
    for (const FleetState& state : history) {
      std::map<PoolId, uint32_t> unavailable;
      for (const auto& [id, host] : state.hosts)
        unavailable[host.pool] += host.phase == HostPhase::kActive ? 0 : 1;
      for (const auto& [id, count] : unavailable) {
        largest[id] = std::max(largest[id], count);
        within_budgets =
            within_budgets && count <= state.pools.at(id).max_unavailable;
      }
    }
    for (const auto& [id, count] : largest) {
      std::cout << "unavailable at most     " << count << " of budget "
                << history.back().pools.at(id).max_unavailable << "  "
                << id.str() << "\n";
    }
    return within_budgets;
  }

  // Returns the number of hosts on which requests did not start in the order in
  // which the configuration moved the host between pools: a request of an
  // earlier pool started after one of a later pool.
  size_t HostsInTwoPools(const std::vector<FleetState>& history) const {
    size_t count = 0;
    for (const BackendProcess& backend : site_.backends) {
      std::vector<std::string> pools;
      for (const FleetState& state : history) {
        const HostState* host = state.FindHost(backend.id);
        if (host && (pools.empty() || pools.back() != host->pool.str()))
          pools.push_back(host->pool.str());
      }
      auto at = pools.begin();
      for (const ExecutionRecord& run : site_.Executions(backend)) {
        if (run.event == "start" && at != pools.end())
          at = std::find(at, pools.end(), run.pool);
      }
      count += at == pools.end() ? 1 : 0;
    }
    return count;
  }

  Random random_;
  uint64_t seed_;
  Site site_;
  HttpFetcher fetcher_{site_.loop};
  std::vector<std::unique_ptr<Load>> loads_;
  std::vector<CallRecord> calls_;
  bool loading_ = true;
  bool finished_ = false;
  Time started_;
  Duration roll_out_time_ = Duration::zero();
};

int RunTrial(const std::string& file, uint64_t seed) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  InventoryResult parsed = ParseInventory(text.str());
  if (!parsed.inventory) {
    std::cerr << "cannot read the site file " << file << "\n";
    return 2;
  }
  return WaveTrial(std::move(*parsed.inventory), seed).Run() ? 0 : 1;
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: wave_trial SITE_FILE SEED\n";
    return 2;
  }
  try {
    return radishmoor::RunTrial(argv[1], std::stoull(argv[2]));
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
}
