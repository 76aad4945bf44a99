// Runs the whole system in virtual time under random faults: the cores of the
// entry and control processes, the in-memory table service, and simulated
// backend hosts, platform, network, callers and operators. A seed determines
// the run.
//
//   SystemReport report = RunSystem({.seed = 7});
//   for (const std::string& violation : report.violations) ...

#ifndef RADISHMOOR_ENTRY_TESTING_SYSTEM_DRIVER_H_
#define RADISHMOOR_ENTRY_TESTING_SYSTEM_DRIVER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"

namespace radishmoor {

struct SystemOptions {
  uint64_t seed = 1;
  int zones = 3;
  int entries_per_zone = 2;
  int controls = 2;
  int hosts_per_pool = 6;
  double requests_per_second = 30;
  // Faults are injected for this long.
  Duration fault_phase = Seconds(500);
  // Time without new faults before the final checks. Longer than the longest
  // pause and the longest wait for a process before a host counts as drained.
  Duration settle_phase = Seconds(450);
  bool trace = false;  // Prints faults and configuration changes to stderr.
};

struct SystemReport {
  uint64_t events = 0;
  uint64_t checks = 0;
  std::map<std::string, uint64_t> injected_faults;  // By kind.
  std::map<std::string, uint64_t> counters;  // Outcomes and other events.
  std::map<std::string, uint64_t> violations_by_invariant;
  std::vector<std::string> violations;  // The first 20 of the run.
};

SystemReport RunSystem(const SystemOptions& options);

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_TESTING_SYSTEM_DRIVER_H_
