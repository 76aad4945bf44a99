// Random runs of the whole system in virtual time: entry and control processes
// without I/O, the in-memory table service, and fakes of backend hosts,
// platform, peers' network, callers and operators. One seed gives one run.
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
  Duration faults = Seconds(500);
  // Longer than the longest pause and the longest wait of the drain gate.
  Duration settle = Seconds(450);
  bool trace = false;  // Prints faults and changes to stderr.
};

struct SystemReport {
  uint64_t events = 0;
  uint64_t checks = 0;
  std::map<std::string, uint64_t> faults;   // Injected, by kind.
  std::map<std::string, uint64_t> figures;  // Outcomes and other counts.
  std::map<std::string, uint64_t> by_invariant;
  std::vector<std::string> violations;  // The first ones of the run.
};

SystemReport RunSystem(const SystemOptions& options);

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_TESTING_SYSTEM_DRIVER_H_
