// Compares lending policies and ways to run a wave on a simulated site: hosts
// idle in the spare pool, host moves, roll-out time of a full wave and unmet
// demand.
//
//   fleet_bench [--json]
//
// Every value is the median of three seeds, with the range in brackets.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/fleet/testing/fleet_sim.h"

namespace radishmoor {
namespace {

constexpr Duration kWarmUpTime = Seconds(480);
constexpr Duration kMeasurementWindow = Seconds(1200);

struct Site {
  const char* name;
  int zones;
  std::vector<std::string> pools;
};

const std::vector<Site> kSites{
    {"akwaaba",
     3,
     {"tomato-desk", "yam-desk", "maize-desk", "cassava-desk", "spare"}},
    {"nilehook", 4, {"quoting", "dispatch", "packline", "billing", "spare"}}};

struct Variant {
  const char* name;
  LendingPolicy lending;
  bool one_host_at_a_time = false;
};

std::vector<Variant> Variants(Duration period) {
  return {{"static, one host at a time", StaticLending{}, true},
          {"static", StaticLending{}},
          {"hysteresis", HysteresisLending{.return_after = period / 4}},
          {"ahead of peak", PredictiveLending{.period = period,
                                              .bins = 30,
                                              .lead_time = Seconds(30),
                                              .return_after = Seconds(10)}}};
}

struct Measurements {
  double buffer = 0;    // Mean number of hosts that serve in the spare pool.
  double moves = 0;     // Hosts moved between pools in the measurement window.
  double roll_out = 0;  // Seconds from the start of the round to its last host.
  double unmet = 0;     // Unmet share of the demand, in percent.
};

// Demand of four pools that peak in rotation. In its peak a pool demands 13
// hosts, 5 times its mean of 2.6 and more than its own 10 hosts; outside the
// peak it demands 0.13 hosts, a twentieth of the mean. With these values the
// peak takes 0.19 of the period.
class PeakingDemand {
 public:
  PeakingDemand(Duration period, uint64_t seed)
      : period_(period), random_(seed) {
    for (Duration& shift : shifts_)
      shift = random_.Between(Seconds(0), period / 20);
  }
  double At(Time now, int pool) const {
    Duration start = period_ * pool / 4 + shifts_[pool];
    Duration offset = ((now - kTimeZero) + period_ - start) % period_;
    return offset < period_ * 19 / 100 ? 13.0 : 0.13;
  }

 private:
  Duration period_;
  Random random_;
  Duration shifts_[4];
};

class BenchRun {
 public:
  BenchRun(const Site& site,
           const Variant& variant,
           Duration period,
           uint64_t seed)
      : site_(site),
        variant_(variant),
        sim_(Options(site, variant, seed)),
        demand_(period, seed) {}

  Measurements Run() {
    sim_.EditPool(PoolId("spare"),
                  [](PoolState* pool) { pool->max_unavailable = 5; });
    if (variant_.one_host_at_a_time)
      FinishAllHosts();
    sim_.on_step = [this] { Step(); };
    sim_.Run(kTimeZero + kWarmUpTime);
    sim_.SetRound("m1");
    sim_.Run(kTimeZero + kWarmUpTime + kMeasurementWindow);
    while (measurements_.roll_out == 0 &&
           sim_.now() < kTimeZero + Seconds(20'000))
      sim_.Run(sim_.now() + Seconds(10));
    if (!sim_.violations.empty()) {
      std::fprintf(stderr, "%s: %s\n", variant_.name,
                   sim_.violations[0].c_str());
      std::exit(1);
    }
    measurements_.buffer /= samples_;
    measurements_.unmet = 100 * unmet_ / demanded_;
    return measurements_;
  }

 private:
  static SimOptions Options(const Site& site,
                            const Variant& variant,
                            uint64_t seed) {
    SimOptions options;
    options.seed = seed;
    options.control_process_count = 1;
    options.zones = site.zones;
    options.pools = site.pools;
    options.hosts_per_pool = 10;
    options.max_racks = 2;
    options.reboot_time = Seconds(60);
    options.step = Seconds(1);
    options.sends_per_step = 1;
    options.max_request_time = Seconds(10);
    options.control.lending = variant.lending;
    return options;
  }

  void FinishAllHosts() {
    sim_.CommitOperatorChange([](FleetState* state, ConfigDelta* delta) {
      for (auto& [id, host] : state->hosts) {
        host.maintained = "m1";
        delta->hosts.push_back(host);
      }
    });
    for (const auto& [id, host] : sim_.committed_state()->hosts)
      waiting_.push_back(id);
  }

  // The baseline: an operator makes the next host due when the previous one has
  // returned.
  void AdvanceOneHostWave() {
    const FleetState& state = *sim_.committed_state();
    if (state.rules.maintenance.empty() || waiting_.empty() || !Done())
      return;
    sim_.EditHost(waiting_.back(), [](HostState* h) { h->maintained = ""; });
    waiting_.pop_back();
  }

  bool Done() const {
    for (const auto& [id, host] : sim_.committed_state()->hosts) {
      if (host.maintained != "m1" || host.phase == HostPhase::kRebooting)
        return false;
    }
    return true;
  }

  void Step() {
    Time now = sim_.now();
    sim_.loads.clear();
    bool measured = now >= kTimeZero + kWarmUpTime &&
                    now < kTimeZero + kWarmUpTime + kMeasurementWindow;
    for (int i = 0; i < 4; ++i) {
      PoolId pool(site_.pools[i]);
      double demand = demand_.At(now, i);
      sim_.loads.push_back({pool, demand, 0});
      if (measured) {
        demanded_ += demand;
        unmet_ += std::max(0.0, demand - sim_.Serving(pool));
      }
    }
    if (measured) {
      ++samples_;
      measurements_.buffer += sim_.Serving(PoolId("spare"));
      measurements_.moves = static_cast<double>(Moves());
    } else if (now < kTimeZero + kWarmUpTime) {
      moves_before_ = 0;
      moves_before_ = Moves();
    }
    if (variant_.one_host_at_a_time)
      AdvanceOneHostWave();
    if (now > kTimeZero + kWarmUpTime && measurements_.roll_out == 0 &&
        waiting_.empty() && Done()) {
      measurements_.roll_out = ToSeconds(now - kTimeZero - kWarmUpTime);
    }
  }

  uint64_t Moves() const {
    return sim_.control_processes[0].controller->fleet_counters().moves -
           moves_before_;
  }

  const Site& site_;
  const Variant& variant_;
  FleetSim sim_;
  PeakingDemand demand_;
  Measurements measurements_;
  std::vector<HostId> waiting_;
  double samples_ = 0;
  double demanded_ = 0;
  double unmet_ = 0;
  uint64_t moves_before_ = 0;
};

std::string MedianAndRange(std::vector<Measurements> all,
                           double Measurements::*field,
                           bool json) {
  std::vector<double> values;
  for (const Measurements& measurements : all)
    values.push_back(measurements.*field);
  std::sort(values.begin(), values.end());
  char text[96];
  std::snprintf(text, sizeof(text),
                json ? "{\"median\":%.2f,\"min\":%.2f,\"max\":%.2f}"
                     : "%.1f [%.1f, %.1f]",
                values[values.size() / 2], values.front(), values.back());
  return text;
}

void Print(const Site& site,
           const Variant& variant,
           Duration period,
           const std::vector<Measurements>& all,
           bool json) {
  const char* format =
      json
          ? "{\"site\":\"%s\",\"period_s\":%d,\"variant\":\"%s\",\"buffer\":%s,"
            "\"moves\":%s,\"roll_out_s\":%s,\"unmet_percent\":%s}\n"
          : "%-9s %4d %-27s %-18s %-22s %-26s %s\n";
  std::printf(format, site.name, static_cast<int>(ToSeconds(period)),
              variant.name,
              MedianAndRange(all, &Measurements::buffer, json).c_str(),
              MedianAndRange(all, &Measurements::moves, json).c_str(),
              MedianAndRange(all, &Measurements::roll_out, json).c_str(),
              MedianAndRange(all, &Measurements::unmet, json).c_str());
}

void RunAll(bool json) {
  if (!json) {
    std::printf("%-9s %4s %-27s %-18s %-22s %-26s %s\n", "site", "per.",
                "variant", "buffer hosts", "moves", "roll-out s", "unmet %");
  }
  for (const Site& site : kSites) {
    for (Duration period : {Seconds(60), Seconds(240)}) {
      for (const Variant& variant : Variants(period)) {
        // The baseline's wave does not depend on the period of the demand.
        if (variant.one_host_at_a_time && period == Seconds(60))
          continue;
        std::vector<Measurements> all;
        for (uint64_t seed = 1; seed <= 3; ++seed)
          all.push_back(BenchRun(site, variant, period, seed).Run());
        Print(site, variant, period, all, json);
      }
    }
  }
}

// Measures the wall time of one decision of a controller at the largest planned
// size, with a round in progress: 1,062 hosts in 118 pools and 396 entry
// processes.
void RunDesignSize(bool json) {
  SimOptions options;
  options.pools.clear();
  for (int i = 0; i < 118; ++i)
    options.pools.push_back("p" + std::to_string(100 + i));
  options.hosts_per_pool = 9;
  options.zones = 22;
  options.entry_processes_per_zone = 18;
  options.control_process_count = 1;
  options.sends_per_step = 0;
  options.step = Seconds(1);
  FleetSim sim(options);
  sim.Run(kTimeZero + Seconds(20));
  sim.SetRound("m1");
  sim.Run(kTimeZero + Seconds(50));
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < 200; ++i)
    sim.control_processes[0].controller->Tick(sim.now());
  std::chrono::duration<double, std::milli> spent =
      std::chrono::steady_clock::now() - start;
  std::printf(json ? "{\"design_size_hosts\":%zu,\"tick_ms\":%.3f}\n"
                   : "design size: %zu hosts, one decision %.2f ms\n",
              sim.committed_state()->hosts.size(), spent.count() / 200);
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
  radishmoor::RunAll(json);
  radishmoor::RunDesignSize(json);
}
