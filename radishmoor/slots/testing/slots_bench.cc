// Compares ways to share the slots of workers between entry processes, in
// virtual time with steps of 1 ms: one pool of 10 workers with 8 slots and 9
// entry processes; run times are exponential with a mean of 20 ms.
//
//   slots_bench [--json]
//
// Phases: 80% load of which one process at a time gets 40%; a peak at four
// times the capacity; then, at 80%, the allocator is killed and another process
// loses contact to its peers. Prints medians and ranges over the seeds.

#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>

#include "radishmoor/slots/testing/zone_sim.h"

namespace radishmoor {
namespace {

constexpr int kProcesses = 9;
constexpr int kWorkers = 10;
constexpr int kSlots = 8;
constexpr int kMeanRun = 20;
constexpr size_t kMaxQueue = 64;  // Per process; more is refused.
constexpr int kSeeds = 5;
constexpr int kEnd = 17'000;

// kQuick sends demands every 20 ms. kBoth uses the larger of the leased share
// and the learned limit, so that a process borrows what others leave idle.
enum Scheme { kFixed, kLeased, kQuick, kBoth, kProbing, kLearned };
const char* const kSchemes[] = {"fixed",          "leased",  "leased-20ms",
                                "leased+learned", "probing", "learned"};
struct Phase {
  const char* name;
  int from, to;
};
const Phase kPhases[] = {{"steady", 2000, 6000},
                         {"peak", 6000, 9000},
                         {"faults", 11'000, kEnd}};
constexpr int kKilledAt = 11'000;
constexpr int kCutAt = 13'000;
constexpr int kDropAfter = 3000;  // Peers drop a silent member.

struct Result {
  double done = 0, refused = 0, full = 0, idle = 0;
  std::vector<int> waits;
  double Quantile(double q) {
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? 0
                         : waits[static_cast<size_t>(
                               q * static_cast<double>(waits.size() - 1))];
  }
};

class Bench {
 public:
  Bench(Scheme scheme, uint64_t seed)
      : scheme_(scheme),
        random_(seed),
        zone_(kProcesses, kWorkers, seed, ZoneOptions(scheme)),
        events_(kEnd + 4000) {
    for (auto& limits : limit_)
      std::fill(std::begin(limits), std::end(limits), double{kSlots});
  }

  Result Run(const Phase& phase) {
    for (now_ = 0; now_ < phase.to; ++now_) {
      result_ = now_ >= phase.from ? &measured_ : &ignored_;
      Faults();
      Arrivals();
      // An event may add another one for the same millisecond.
      for (size_t i = 0; i < events_[now_].size(); ++i)
        Handle(Event(events_[now_][i]));
      for (int p = 0; p < kProcesses; ++p)
        Dispatch(p);
      if (Leased(scheme_))
        Share();
      int waiting = 0;
      int free = 0;
      for (const auto& queue : queue_)
        waiting += static_cast<int>(queue.size());
      for (int running : running_)
        free += kSlots - running;
      result_->idle += std::min(free, waiting);
    }
    measured_.idle *= 100.0 / (kWorkers * kSlots) / (phase.to - phase.from);
    return measured_;
  }

 private:
  static bool Leased(Scheme scheme) {
    return scheme >= kLeased && scheme <= kBoth;
  }
  static SlotOptions ZoneOptions(Scheme scheme) {
    SlotOptions options;
    if (scheme == kQuick) {
      options.demand_interval = Milliseconds(20);
      options.push_interval = Milliseconds(10);
    }
    return options;
  }

  enum Kind { kRequest, kFinished, kAnswer, kFull, kProbe };
  struct Event {
    Kind kind;
    int process, worker, arrived, run;
  };
  struct Waiting {
    int arrived, run;
  };

  void At(int delay, Event event) { events_[now_ + delay].push_back(event); }

  bool Dead(int p) const { return p == killed_; }

  void Faults() {
    auto allocator = static_cast<int>(zone_.Allocator());
    if (now_ == kKilledAt) {
      killed_ = allocator;
      zone_.nodes[killed_].dead = true;
      queue_[killed_].clear();
    }
    if (now_ == kCutAt)
      zone_.nodes[Cut()].cut = true;
    if (now_ == kKilledAt + kDropAfter || now_ == kCutAt + kDropAfter) {
      std::vector<MemberId> live;
      for (int p = 0; p < kProcesses; ++p) {
        if (!Dead(p) && (p != Cut() || now_ < kCutAt + kDropAfter))
          live.push_back(zone_.ids[p]);
      }
      for (int p = 0; p < kProcesses; ++p)
        zone_.SetMembers(p, p == Cut() && now_ >= kCutAt + kDropAfter
                                ? std::vector{zone_.ids[p]}
                                : live);
    }
  }

  // The partitioned process: the next one that still runs.
  int Cut() const { return (killed_ + 1) % kProcesses; }

  void Arrivals() {
    double load = now_ >= 6000 && now_ < 8000 ? 4.0 : 0.8;
    double per_ms = load * kWorkers * kSlots / kMeanRun;
    int favoured = (now_ / 1000) % kProcesses;
    // Exponential gaps with the mean of this millisecond.
    for (double at = -std::log1p(-random_.Unit()) / per_ms; at < 1;
         at += -std::log1p(-random_.Unit()) / per_ms) {
      int p = random_.Chance(0.4) ? favoured
                                  : static_cast<int>(random_.Below(kProcesses));
      if (Dead(p))
        p = static_cast<int>((p + 1 + random_.Below(kProcesses - 1)) %
                             kProcesses);
      int run =
          1 + static_cast<int>(-std::log1p(-random_.Unit()) * (kMeanRun - 0.5));
      if (queue_[p].size() >= kMaxQueue)
        ++result_->refused;
      else
        queue_[p].push_back({now_, std::min(run, 500)});
    }
  }

  void Handle(const Event& e) {
    switch (e.kind) {
      case kProbe: {
        --probing_[e.process];
        // The answer told the load of two workers one way ago.
        Send(e.process, e.worker, {e.arrived, e.run});
        return;
      }
      case kRequest:
        if (running_[e.worker] >= kSlots) {
          ++result_->full;
          At(1, {kFull, e.process, e.worker, e.arrived, e.run});
          return;
        }
        ++running_[e.worker];
        result_->waits.push_back(now_ - e.arrived);
        At(e.run, {kFinished, e.process, e.worker, e.arrived, e.run});
        return;
      case kFinished:
        --running_[e.worker];
        ++result_->done;
        At(1, {kAnswer, e.process, e.worker, e.arrived, e.run});
        return;
      case kAnswer: {
        double& limit = limit_[e.process][e.worker];
        if (in_flight_[e.process][e.worker] >= static_cast<int>(limit))
          limit = std::min<double>(kSlots, limit + 1 / limit);
        --in_flight_[e.process][e.worker];
        return;
      }
      case kFull: {
        double& limit = limit_[e.process][e.worker];
        int& in_flight = in_flight_[e.process][e.worker];
        limit = std::max(1.0, 0.7 * std::min<double>(limit, in_flight));
        --in_flight;
        hold_[e.process][e.worker] = now_ + 5;
        if (!Dead(e.process))
          queue_[e.process].push_front({e.arrived, e.run});
        return;
      }
    }
  }

  void Send(int p, int worker, Waiting request) {
    ++in_flight_[p][worker];
    At(1, {kRequest, p, worker, request.arrived, request.run});
  }

  int Limit(int p, int w) const {
    const HostSlots& host = zone_.host_slots[w];
    if (scheme_ == kFixed)
      return static_cast<int>(
          FixedShare(host.host, kSlots, zone_.ids[p], zone_.ids));
    auto learned = static_cast<int>(limit_[p][w]);
    auto share =
        static_cast<int>(zone_.nodes[p].holder.share(kPool, host.host));
    if (scheme_ == kBoth)
      return std::max(share, learned);
    return Leased(scheme_) ? share : learned;
  }

  void Dispatch(int p) {
    while (!queue_[p].empty()) {
      Waiting request = queue_[p].front();
      if (scheme_ == kProbing) {
        if (probing_[p] >= 8)
          return;
        int a = static_cast<int>(random_.Below(kWorkers));
        int b = static_cast<int>(random_.Below(kWorkers));
        ++probing_[p];
        At(2, {kProbe, p, running_[a] <= running_[b] ? a : b, request.arrived,
               request.run});
      } else {
        int best = -1;
        int slack = 0;
        for (int i = 0, w = static_cast<int>(random_.Below(kWorkers));
             i < kWorkers; ++i, w = (w + 1) % kWorkers) {
          int left = now_ < hold_[p][w] ? 0 : Limit(p, w) - in_flight_[p][w];
          if (left > slack) {
            slack = left;
            best = w;
          }
        }
        if (best < 0)
          return;
        Send(p, best, request);
      }
      queue_[p].pop_front();
    }
  }

  void Share() {
    for (int p = 0; p < kProcesses; ++p) {
      size_t wanted = queue_[p].size();
      for (int w = 0; w < kWorkers; ++w) {
        wanted += static_cast<size_t>(in_flight_[p][w]);
        zone_.nodes[p].holder.SetInUse(kPool, zone_.host_slots[w].host,
                                       static_cast<uint32_t>(in_flight_[p][w]));
      }
      if (!Dead(p))
        zone_.SetWanted(p, static_cast<uint32_t>(wanted));
    }
    zone_.Run(Milliseconds(1));
  }

  Scheme scheme_;
  Random random_;
  Zone zone_;
  int now_ = 0;
  int killed_ = -1;
  std::vector<std::vector<Event>> events_;
  std::deque<Waiting> queue_[kProcesses];
  int in_flight_[kProcesses][kWorkers] = {};
  double limit_[kProcesses][kWorkers];
  int hold_[kProcesses][kWorkers] = {};
  int probing_[kProcesses] = {};
  int running_[kWorkers] = {};
  Result measured_, ignored_;
  Result* result_ = &ignored_;
};

void Print(const char* name, std::vector<double> values, bool json) {
  std::sort(values.begin(), values.end());
  std::printf(json ? ",\"%s\":{\"median\":%.2f,\"min\":%.2f,\"max\":%.2f}"
                   : "  %s %.2f (%.2f-%.2f)",
              name, values[values.size() / 2], values.front(), values.back());
}

void Measure(const Phase& phase, Scheme scheme, bool json) {
  std::vector<double> full, idle, p50, p99, done, refused;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Result result = Bench(scheme, seed).Run(phase);
    full.push_back(100 * result.full / result.done);
    idle.push_back(result.idle);
    p50.push_back(result.Quantile(0.5));
    p99.push_back(result.Quantile(0.99));
    done.push_back(result.done * 1000 / (phase.to - phase.from));
    refused.push_back(100 * result.refused / (result.done + result.refused));
  }
  std::printf(json ? "{\"phase\":\"%s\",\"scheme\":\"%s\"" : "%-6s %-16s",
              phase.name, kSchemes[scheme]);
  Print("overcommit_percent", full, json);
  Print("idle_while_waiting_percent", idle, json);
  Print("wait_p50_ms", p50, json);
  Print("wait_p99_ms", p99, json);
  Print("done_per_s", done, json);
  Print("refused_percent", refused, json);
  std::printf(json ? "}\n" : "\n");
}

void MeasureAll(bool json) {
  for (const Phase& phase : kPhases) {
    for (Scheme scheme : {kFixed, kLeased, kQuick, kBoth, kProbing, kLearned})
      Measure(phase, scheme, json);
  }
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
  radishmoor::MeasureAll(json);
  return 0;
}
