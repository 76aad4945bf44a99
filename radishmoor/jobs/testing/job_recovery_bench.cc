// How soon a pool's tasks start again after its owner is lost, in virtual time.
//
//   job_recovery_bench --seeds 8
//
// Prints a table in Markdown: for each kind of loss the time to the first start
// that a successor orders, and the runs whose leases lapsed.

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
constexpr Duration kAway = Seconds(8);

struct Loss {
  const char* name;
  std::function<void(JobSimulation&, int node)> strike;
};

const std::vector<Loss>& Losses() {
  static const std::vector<Loss> losses = {
      {"killed, back after 0.5 s",
       [](JobSimulation& world, int node) {
         world.KillNode(node, Milliseconds(500));
       }},
      {"power lost",
       [](JobSimulation& world, int node) { world.KillNode(node, kAway); }},
      {"suspended",
       [](JobSimulation& world, int node) { world.FreezeNode(node, kAway); }},
      {"cut off from the store",
       [](JobSimulation& world, int node) {
         world.CutNodeFromStore(node, kAway);
       }},
      {"cut off from all",
       [](JobSimulation& world, int node) { world.CutNodeOff(node, kAway); }},
      {"SIGTERM", [](JobSimulation& world, int node) { world.StopNode(node); }},
  };
  return losses;
}

struct Recovery {
  Duration first_start{};  // By a successor, since the loss.
  uint64_t lapsed = 0;
  bool started = false;
};

Recovery Measure(uint64_t seed, const Loss& loss) {
  JobSimulation world({.seed = seed,
                       .nodes = kNodes,
                       .servers_per_pool = 12,
                       .jobs_per_second = 30});
  world.Run(Seconds(8));
  PoolId pool("alpha");
  int owner = world.OwnerOf(pool);
  Time lost = world.now();
  uint64_t lapsed = world.counts().lapsed;
  loss.strike(world, owner);
  Recovery recovery;
  while (!recovery.started && world.now() - lost < kAway) {
    world.Run(Milliseconds(10));
    for (int node = 0; node < kNodes; ++node) {
      std::optional<Time> start = world.LastStartBy(node, pool);
      if (node != owner && start && *start > lost) {
        recovery.started = true;
        recovery.first_start = *start - lost;
      }
    }
  }
  world.Run(Seconds(6));
  recovery.lapsed = world.counts().lapsed - lapsed;
  return recovery;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Recovery of a pool after the loss of its owner.");
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Runs of each loss.", false, 8,
                                  "number", command);
  command.parse(argc, argv);
  std::cout << "| loss of the owner | first start, median ms | worst ms | runs "
               "lapsed, mean |\n| --- | --- | --- | --- |\n";
  for (const Loss& loss : Losses()) {
    std::vector<int64_t> times;
    uint64_t lapsed = 0;
    for (uint64_t seed = 1; seed <= seeds.getValue(); ++seed) {
      Recovery recovery = Measure(seed, loss);
      if (!recovery.started)
        std::cerr << loss.name << ", seed " << seed << ": no start\n";
      else
        times.push_back(WholeMilliseconds(recovery.first_start));
      lapsed += recovery.lapsed;
    }
    if (times.empty())
      continue;
    std::sort(times.begin(), times.end());
    std::cout << "| " << loss.name << " | " << times[times.size() / 2] << " | "
              << times.back() << " | "
              << static_cast<double>(lapsed) /
                     static_cast<double>(seeds.getValue())
              << " |\n";
  }
  return 0;
}
