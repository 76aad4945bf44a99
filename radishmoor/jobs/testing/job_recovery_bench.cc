// Measures, in virtual time, how soon tasks of a pool start again after the
// loss of the pool's owner.
//
//   job_recovery_bench --seeds 8
//
// Prints a Markdown table: for each kind of loss, the time until a successor
// sends the first order to start a run, and the number of runs whose leases
// expired.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <vector>

#include "radishmoor/jobs/testing/job_simulation.h"

namespace {

using namespace radishmoor;  // NOLINT(google-build-using-namespace)

constexpr int kNodes = 8;
constexpr Duration kOutageLength = Seconds(8);

struct Loss {
  const char* name;
  std::function<void(JobSimulation&, int node)> inject;
};

const std::vector<Loss>& Losses() {
  static const std::vector<Loss> losses = {
      {"killed, back after 0.5 s",
       [](JobSimulation& simulation, int node) {
         simulation.KillNode(node, Milliseconds(500));
       }},
      {"power lost",
       [](JobSimulation& simulation, int node) {
         simulation.KillNode(node, kOutageLength);
       }},
      {"suspended",
       [](JobSimulation& simulation, int node) {
         simulation.FreezeNode(node, kOutageLength);
       }},
      {"cut off from the store",
       [](JobSimulation& simulation, int node) {
         simulation.CutNodeFromStore(node, kOutageLength);
       }},
      {"cut off from all",
       [](JobSimulation& simulation, int node) {
         simulation.CutNodeOff(node, kOutageLength);
       }},
      {"SIGTERM",
       [](JobSimulation& simulation, int node) { simulation.StopNode(node); }},
  };
  return losses;
}

struct Recovery {
  Duration first_start{};  // From the loss to the first start by a successor.
  uint64_t runs_lease_expired = 0;
  bool started = false;
};

Recovery Measure(uint64_t seed, const Loss& loss) {
  JobSimulation simulation({.seed = seed,
                            .nodes = kNodes,
                            .servers_per_pool = 12,
                            .jobs_per_second = 30});
  simulation.Run(Seconds(8));
  PoolId pool("alpha");
  int owner = simulation.OwnerOf(pool);
  Time lost = simulation.now();
  uint64_t expired_before = simulation.counts().runs_lease_expired;
  loss.inject(simulation, owner);
  Recovery recovery;
  while (!recovery.started && simulation.now() - lost < kOutageLength) {
    simulation.Run(Milliseconds(10));
    for (int node = 0; node < kNodes; ++node) {
      std::optional<Time> start = simulation.LastStartBy(node, pool);
      if (node != owner && start && *start > lost) {
        recovery.started = true;
        recovery.first_start = *start - lost;
      }
    }
  }
  simulation.Run(Seconds(6));
  recovery.runs_lease_expired =
      simulation.counts().runs_lease_expired - expired_before;
  return recovery;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Measures the recovery of a pool after the loss of its owner.");
  TCLAP::ValueArg<uint64_t> seeds("", "seeds",
                                  "Simulations of each kind of loss.", false, 8,
                                  "number", command);
  command.parse(argc, argv);
  std::cout << "| loss of the owner | first start, median ms | worst ms | runs "
               "with expired leases, mean |\n| --- | --- | --- | --- |\n";
  for (const Loss& loss : Losses()) {
    std::vector<int64_t> times;
    uint64_t runs_lease_expired = 0;
    for (uint64_t seed = 1; seed <= seeds.getValue(); ++seed) {
      Recovery recovery = Measure(seed, loss);
      if (!recovery.started)
        std::cerr << loss.name << ", seed " << seed
                  << ": no task was started\n";
      else
        times.push_back(WholeMilliseconds(recovery.first_start));
      runs_lease_expired += recovery.runs_lease_expired;
    }
    if (times.empty())
      continue;
    std::sort(times.begin(), times.end());
    std::cout << "| " << loss.name << " | " << times[times.size() / 2] << " | "
              << times.back() << " | "
              << static_cast<double>(runs_lease_expired) /
                     static_cast<double>(seeds.getValue())
              << " |\n";
  }
  return 0;
}
