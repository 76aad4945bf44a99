// Runs simulations of a whole site of job schedulers with random faults, one
// per seed, until the given number of events was simulated.
//
//   job_soak_bench --seed 1 --events 10000000
//   job_soak_bench --seed 23 --events 1 --log 0123456789abcdef
//
// Prints each violation with its seed. The exit code is 1 if there was any.

#include <tclap/CmdLine.h>

#include <cstdint>
#include <iostream>
#include <string>

#include "radishmoor/jobs/testing/job_simulation.h"

namespace {

using namespace radishmoor;  // NOLINT(google-build-using-namespace)

JobSimulationOptions OptionsOf(uint64_t seed) {
  JobSimulationOptions options;
  options.seed = seed;
  options.nodes = 3 + static_cast<int>(seed % 4);
  options.fault_period = Milliseconds(600 + 400 * static_cast<int>(seed % 5));
  if (seed % 2 == 1)
    options.server_restart_period = Milliseconds(1500);
  if (seed % 4 >= 2)
    options.hopeless_job_share = 0.01;
  if (seed % 5 < 2)
    options.queue_removal_period = Seconds(8);
  options.failing_run_share = seed % 3 == 2 ? 0.1 : 0.02;
  options.lost_answer_share = seed % 3 == 0 ? 0.15 : 0.02;
  options.late_order_share = seed % 2 == 0 ? 0.05 : 0.0;
  options.waves = seed % 4 == 0 ? 1 : 0;
  options.late_maintenance_share = seed % 3 == 1 ? 0.3 : 0.0;
  // Hosts move between pools only if these have more than the minimum.
  options.servers_per_pool = seed % 5 == 0 ? 8 : 4;
  if (seed % 3 == 1)
    options.relay_orders_per_second = 0;
  if (seed % 6 == 5) {
    options.advised = true;
    options.servers_per_pool = 40;
    options.spare_pool = false;
    options.gang_share = 0.1;
    options.lost_advice_share = 0.1;
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Simulates a site of job schedulers with random faults.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "First seed.", false, 1, "number",
                                 command);
  TCLAP::ValueArg<uint64_t> events("", "events",
                                   "Events to simulate, at least.", false,
                                   1'000'000, "number", command);
  TCLAP::ValueArg<std::string> log(
      "", "log",
      "Print the nodes' log lines that contain this text; with an empty text, "
      "all lines.",
      false, "", "text", command);
  command.parse(argc, argv);
  uint64_t total = 0;
  uint64_t faults = 0;
  uint64_t accepted = 0;
  uint64_t violations = 0;
  uint64_t next = seed.getValue();
  for (; total < events.getValue(); ++next) {
    JobSimulationOptions options = OptionsOf(next);
    if (log.isSet()) {
      options.on_decision = [&log](Time now, const MemberId& node,
                                   const std::string& line) {
        if (line.find(log.getValue()) != std::string::npos)
          std::cout << WholeMilliseconds(now - kTimeZero) << " " << node.str()
                    << " " << line << "\n";
      };
    }
    JobSimulation simulation(options);
    simulation.Run(Seconds(60));
    simulation.FinishJobs();
    total += simulation.counts().events;
    faults += simulation.counts().faults;
    accepted += simulation.counts().accepted;
    for (const std::string& violation : simulation.violations()) {
      ++violations;
      std::cout << "seed " << next << " " << violation << "\n";
    }
    if (simulation.unfinished() > 0) {
      ++violations;
      std::cout << "seed " << next << " " << simulation.unfinished()
                << " jobs have not ended\n";
    }
  }
  std::cout << "seeds " << seed.getValue() << " to " << next - 1 << ": "
            << total << " events, " << faults << " faults, " << accepted
            << " jobs, " << violations << " violations\n";
  return violations == 0 ? 0 : 1;
}
