// Measures the processor time that the decisions of a pool's owner take under
// load, without faults: a site in virtual time with two pools.
//
//   job_load_bench --servers 250 --jobs 150 --seconds 20
//
// Prints, for each process, the processor time in ms for each simulated second.
// Encoding, sockets and logs are not included.

#include <tclap/CmdLine.h>

#include <ctime>
#include <iostream>

#include "radishmoor/jobs/testing/job_simulation.h"

namespace {

using namespace radishmoor;  // NOLINT(google-build-using-namespace)

constexpr int kNodes = 4;
constexpr Duration kWarmUp = Seconds(5);

Duration ProcessorTime() {
  timespec time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return Seconds(time.tv_sec) + Microseconds(time.tv_nsec / 1000);
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Measures the decisions of a pool's owner.");
  TCLAP::ValueArg<int> servers("", "servers", "Backend servers of each pool.",
                               false, 250, "number", command);
  TCLAP::ValueArg<double> jobs("", "jobs", "Jobs that arrive each second.",
                               false, 150, "number", command);
  TCLAP::ValueArg<int> seconds("", "seconds", "Simulated time to measure.",
                               false, 20, "number", command);
  command.parse(argc, argv);
  JobSimulation simulation({.seed = 1,
                            .nodes = kNodes,
                            .servers_per_pool = servers.getValue(),
                            .jobs_per_second = jobs.getValue(),
                            .processor_time = ProcessorTime});
  simulation.Run(kWarmUp);
  Duration before[kNodes];
  for (int node = 0; node < kNodes; ++node)
    before[node] = simulation.ProcessorTimeOf(node);
  uint64_t starts = simulation.counts().starts;
  simulation.Run(Seconds(seconds.getValue()));
  std::cout << (simulation.counts().starts - starts) /
                   static_cast<uint64_t>(seconds.getValue())
            << " starts each second\n";
  for (int node = 0; node < kNodes; ++node) {
    Duration used = simulation.ProcessorTimeOf(node) - before[node];
    std::cout << "process " << node << ": "
              << ToMilliseconds(used) / seconds.getValue() << " ms a second";
    for (const char* pool : {"alpha", "beta"}) {
      if (simulation.Owns(node, PoolId(pool)))
        std::cout << ", owner of " << pool;
    }
    if (simulation.FleetCoordinatorNode() == node)
      std::cout << ", fleet coordinator";
    std::cout << "\n";
  }
  return simulation.violations().empty() ? 0 : 1;
}
