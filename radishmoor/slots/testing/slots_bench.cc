// Compares schemes for sharing the slots of hosts between entry processes. Runs
// in virtual time with steps of 1 ms: one pool of 10 hosts with 8 slots each,
// and 9 entry processes. The run times of requests are exponentially
// distributed with a mean of 20 ms, cut at 500 ms. A message between a process
// and a host takes 1 ms.
//
//   slots_bench [--json]
//
// The load is 80% of the capacity of all slots. One process, a different one
// each second, gets 40% of the requests; the rest is spread over all processes
// at random. Phases:
//   steady: no faults.
//   peak:   the load is four times the capacity for the first 2 s.
//   faults: the allocator is killed; 2 s later another process is partitioned.
// Prints the median, minimum and maximum over the seeds.

#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>

#include "radishmoor/slots/testing/zone_sim.h"

namespace radishmoor {
namespace {

constexpr int kProcesses = 9;
constexpr int kHosts = 10;
constexpr int kSlotsPerHost = 8;
constexpr int kMeanRunMs = 20;
// A process refuses new requests while its queue has this length.
constexpr size_t kMaxQueuedRequests = 64;
constexpr int kSeeds = 5;
constexpr int kEndMs = 17'000;

// How a process limits its requests in flight on a host:
//   kFixed: to its fixed share.
//   kLeased: to the share that SlotHolder returns.
//   kLeasedFast: as kLeased, with demands at most every 20 ms.
//   kProbing: not at all; sends each request to the less loaded of two random
//     hosts, which it asks for their load first.
//   kLearned: to a limit that grows with completed requests and shrinks
//     when the host rejects one because all its slots are in use.
//   kLeasedPlusLearned: to the larger of the leased share and the learned
//     limit, so that a process uses slots that others leave idle.
enum Scheme {
  kFixed,
  kLeased,
  kLeasedFast,
  kLeasedPlusLearned,
  kProbing,
  kLearned
};
const char* const kSchemes[] = {"fixed",          "leased",  "leased-20ms",
                                "leased+learned", "probing", "learned"};
struct Phase {
  const char* name;
  int from_ms, to_ms;
};
const Phase kPhases[] = {{"steady", 2000, 6000},
                         {"peak", 6000, 9000},
                         {"faults", 11'000, kEndMs}};
constexpr int kKillAllocatorAtMs = 11'000;
constexpr int kPartitionAtMs = 13'000;
constexpr int kMemberTimeoutMs = 3000;  // Peers then remove a silent member.

// Results of one simulation run. `idle_while_waiting` counts, in every
// millisecond, the free slots that queued requests could have used;
// Bench::Run() returns it as a percentage of all slots.
struct Result {
  double completed = 0, refused = 0, rejected_by_host = 0,
         idle_while_waiting = 0;
  std::vector<int> waits_ms;
  double Quantile(double q) {
    std::sort(waits_ms.begin(), waits_ms.end());
    return waits_ms.empty()
               ? 0
               : waits_ms[static_cast<size_t>(
                     q * static_cast<double>(waits_ms.size() - 1))];
  }
};

// One simulation run. `p` is the index of an entry process, `h` that of a host.
class Bench {
 public:
  Bench(Scheme scheme, uint64_t seed)
      : scheme_(scheme),
        random_(seed),
        zone_(kProcesses, kHosts, seed, ZoneOptions(scheme)),
        events_(kEndMs + 4000) {
    for (auto& limits : learned_limit_)
      std::fill(std::begin(limits), std::end(limits), double{kSlotsPerHost});
  }

  Result Run(const Phase& phase) {
    for (now_ms_ = 0; now_ms_ < phase.to_ms; ++now_ms_) {
      result_ = now_ms_ >= phase.from_ms ? &measured_ : &unmeasured_;
      InjectFaults();
      AddArrivals();
      // Handling an event may add another one for the same millisecond.
      for (size_t i = 0; i < events_[now_ms_].size(); ++i)
        Handle(Event(events_[now_ms_][i]));
      for (int p = 0; p < kProcesses; ++p)
        Dispatch(p);
      if (UsesLeases(scheme_))
        UpdateShares();
      int waiting = 0;
      int free = 0;
      for (const auto& queue : queue_)
        waiting += static_cast<int>(queue.size());
      for (int running : running_)
        free += kSlotsPerHost - running;
      result_->idle_while_waiting += std::min(free, waiting);
    }
    measured_.idle_while_waiting *=
        100.0 / (kHosts * kSlotsPerHost) / (phase.to_ms - phase.from_ms);
    return measured_;
  }

 private:
  static bool UsesLeases(Scheme scheme) {
    return scheme >= kLeased && scheme <= kLeasedPlusLearned;
  }
  static SlotOptions ZoneOptions(Scheme scheme) {
    SlotOptions options;
    if (scheme == kLeasedFast) {
      options.demand_interval = Milliseconds(20);
      options.push_interval = Milliseconds(10);
    }
    return options;
  }

  enum Kind {
    kRequestArrives,
    kRunEnds,
    kAnswerArrives,
    kRejected,
    kProbeAnswer
  };
  struct Event {
    Kind kind;
    int process, host_index, arrived_ms, run_ms;
  };
  struct QueuedRequest {
    int arrived_ms, run_ms;
  };

  void Schedule(int delay_ms, Event event) {
    events_[now_ms_ + delay_ms].push_back(event);
  }

  bool IsKilled(int p) const { return p == killed_process_; }

  void InjectFaults() {
    auto allocator = static_cast<int>(zone_.AllocatorIndex());
    if (now_ms_ == kKillAllocatorAtMs) {
      killed_process_ = allocator;
      zone_.nodes[killed_process_].dead = true;
      queue_[killed_process_].clear();
    }
    if (now_ms_ == kPartitionAtMs)
      zone_.nodes[PartitionedProcess()].isolated = true;
    if (now_ms_ == kKillAllocatorAtMs + kMemberTimeoutMs ||
        now_ms_ == kPartitionAtMs + kMemberTimeoutMs) {
      std::vector<MemberId> live;
      for (int p = 0; p < kProcesses; ++p) {
        if (!IsKilled(p) && (p != PartitionedProcess() ||
                             now_ms_ < kPartitionAtMs + kMemberTimeoutMs))
          live.push_back(zone_.ids[p]);
      }
      for (int p = 0; p < kProcesses; ++p)
        zone_.SetMembers(p, p == PartitionedProcess() &&
                                    now_ms_ >= kPartitionAtMs + kMemberTimeoutMs
                                ? std::vector{zone_.ids[p]}
                                : live);
    }
  }

  // Returns the process that is partitioned: the next one after the killed one.
  int PartitionedProcess() const { return (killed_process_ + 1) % kProcesses; }

  void AddArrivals() {
    double load = now_ms_ >= 6000 && now_ms_ < 8000 ? 4.0 : 0.8;
    double per_ms = load * kHosts * kSlotsPerHost / kMeanRunMs;
    int favored = (now_ms_ / 1000) % kProcesses;
    // Poisson arrivals: exponentially distributed gaps at this millisecond's
    // rate.
    for (double at = -std::log1p(-random_.Unit()) / per_ms; at < 1;
         at += -std::log1p(-random_.Unit()) / per_ms) {
      int p = random_.Chance(0.4) ? favored
                                  : static_cast<int>(random_.Below(kProcesses));
      if (IsKilled(p))
        p = static_cast<int>((p + 1 + random_.Below(kProcesses - 1)) %
                             kProcesses);
      int run_ms = 1 + static_cast<int>(-std::log1p(-random_.Unit()) *
                                        (kMeanRunMs - 0.5));
      if (queue_[p].size() >= kMaxQueuedRequests)
        ++result_->refused;
      else
        queue_[p].push_back({now_ms_, std::min(run_ms, 500)});
    }
  }

  void Handle(const Event& e) {
    switch (e.kind) {
      case kProbeAnswer: {
        --probes_in_flight_[e.process];
        // The host was chosen 2 ms ago, by the loads at the time when the
        // probes were sent.
        Send(e.process, e.host_index, {e.arrived_ms, e.run_ms});
        return;
      }
      case kRequestArrives:
        if (running_[e.host_index] >= kSlotsPerHost) {
          ++result_->rejected_by_host;
          Schedule(
              1, {kRejected, e.process, e.host_index, e.arrived_ms, e.run_ms});
          return;
        }
        ++running_[e.host_index];
        result_->waits_ms.push_back(now_ms_ - e.arrived_ms);
        Schedule(e.run_ms,
                 {kRunEnds, e.process, e.host_index, e.arrived_ms, e.run_ms});
        return;
      case kRunEnds:
        --running_[e.host_index];
        ++result_->completed;
        Schedule(1, {kAnswerArrives, e.process, e.host_index, e.arrived_ms,
                     e.run_ms});
        return;
      case kAnswerArrives: {
        double& limit = learned_limit_[e.process][e.host_index];
        if (in_flight_[e.process][e.host_index] >= static_cast<int>(limit))
          limit = std::min<double>(kSlotsPerHost, limit + 1 / limit);
        --in_flight_[e.process][e.host_index];
        return;
      }
      case kRejected: {
        double& limit = learned_limit_[e.process][e.host_index];
        int& in_flight = in_flight_[e.process][e.host_index];
        limit = std::max(1.0, 0.7 * std::min<double>(limit, in_flight));
        --in_flight;
        backoff_until_ms_[e.process][e.host_index] = now_ms_ + 5;
        if (!IsKilled(e.process))
          queue_[e.process].push_front({e.arrived_ms, e.run_ms});
        return;
      }
    }
  }

  void Send(int p, int host_index, QueuedRequest request) {
    ++in_flight_[p][host_index];
    Schedule(1, {kRequestArrives, p, host_index, request.arrived_ms,
                 request.run_ms});
  }

  int Limit(int p, int h) const {
    const HostSlots& slots_of_host = zone_.host_slots[h];
    if (scheme_ == kFixed)
      return static_cast<int>(FixedShare(slots_of_host.host, kSlotsPerHost,
                                         zone_.ids[p], zone_.ids));
    auto learned = static_cast<int>(learned_limit_[p][h]);
    auto share = static_cast<int>(
        zone_.nodes[p].holder.share(kPool, slots_of_host.host));
    if (scheme_ == kLeasedPlusLearned)
      return std::max(share, learned);
    return UsesLeases(scheme_) ? share : learned;
  }

  void Dispatch(int p) {
    while (!queue_[p].empty()) {
      QueuedRequest request = queue_[p].front();
      if (scheme_ == kProbing) {
        if (probes_in_flight_[p] >= 8)
          return;
        int a = static_cast<int>(random_.Below(kHosts));
        int b = static_cast<int>(random_.Below(kHosts));
        ++probes_in_flight_[p];
        Schedule(2, {kProbeAnswer, p, running_[a] <= running_[b] ? a : b,
                     request.arrived_ms, request.run_ms});
      } else {
        int best = -1;
        int most_free = 0;
        for (int i = 0, h = static_cast<int>(random_.Below(kHosts)); i < kHosts;
             ++i, h = (h + 1) % kHosts) {
          int left = now_ms_ < backoff_until_ms_[p][h]
                         ? 0
                         : Limit(p, h) - in_flight_[p][h];
          if (left > most_free) {
            most_free = left;
            best = h;
          }
        }
        if (best < 0)
          return;
        Send(p, best, request);
      }
      queue_[p].pop_front();
    }
  }

  void UpdateShares() {
    for (int p = 0; p < kProcesses; ++p) {
      size_t wanted = queue_[p].size();
      for (int h = 0; h < kHosts; ++h) {
        wanted += static_cast<size_t>(in_flight_[p][h]);
        zone_.nodes[p].holder.SetInUse(kPool, zone_.host_slots[h].host,
                                       static_cast<uint32_t>(in_flight_[p][h]));
      }
      if (!IsKilled(p))
        zone_.SetWanted(p, static_cast<uint32_t>(wanted));
    }
    zone_.RunFor(Milliseconds(1));
  }

  Scheme scheme_;
  Random random_;
  ZoneSimulation zone_;
  int now_ms_ = 0;
  int killed_process_ = -1;
  std::vector<std::vector<Event>> events_;
  std::deque<QueuedRequest> queue_[kProcesses];
  int in_flight_[kProcesses][kHosts] = {};
  double learned_limit_[kProcesses][kHosts];
  int backoff_until_ms_[kProcesses][kHosts] = {};
  int probes_in_flight_[kProcesses] = {};
  int running_[kHosts] = {};
  Result measured_, unmeasured_;
  Result* result_ = &unmeasured_;
};

void Print(const char* name, std::vector<double> values, bool json) {
  std::sort(values.begin(), values.end());
  std::printf(json ? ",\"%s\":{\"median\":%.2f,\"min\":%.2f,\"max\":%.2f}"
                   : "  %s %.2f (%.2f-%.2f)",
              name, values[values.size() / 2], values.front(), values.back());
}

void Measure(const Phase& phase, Scheme scheme, bool json) {
  std::vector<double> rejected_by_host, idle_while_waiting, p50, p99, completed,
      refused;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Result result = Bench(scheme, seed).Run(phase);
    rejected_by_host.push_back(100 * result.rejected_by_host /
                               result.completed);
    idle_while_waiting.push_back(result.idle_while_waiting);
    p50.push_back(result.Quantile(0.5));
    p99.push_back(result.Quantile(0.99));
    completed.push_back(result.completed * 1000 /
                        (phase.to_ms - phase.from_ms));
    refused.push_back(100 * result.refused /
                      (result.completed + result.refused));
  }
  std::printf(json ? "{\"phase\":\"%s\",\"scheme\":\"%s\"" : "%-6s %-16s",
              phase.name, kSchemes[scheme]);
  Print("overcommit_percent", rejected_by_host, json);
  Print("idle_while_waiting_percent", idle_while_waiting, json);
  Print("wait_p50_ms", p50, json);
  Print("wait_p99_ms", p99, json);
  Print("done_per_s", completed, json);
  Print("refused_percent", refused, json);
  std::printf(json ? "}\n" : "\n");
}

void MeasureAll(bool json) {
  for (const Phase& phase : kPhases) {
    for (Scheme scheme :
         {kFixed, kLeased, kLeasedFast, kLeasedPlusLearned, kProbing, kLearned})
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
