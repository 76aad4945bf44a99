// Random runs of the whole system with fixed seeds. They guard against faults
// that show only with several processes and several failures at once: a keyed
// request that runs twice, a request refused as not run that did run, work sent
// to a drained or moved host, a reboot of a host with live work, too many
// unavailable hosts in a pool, a process that stays on an old configuration.

#include <catch2/catch.hpp>

#include "radishmoor/entry/testing/system_driver.h"

namespace radishmoor {
namespace {

TEST_CASE("random runs of the whole system keep every global invariant") {
  uint64_t seed = GENERATE(range(uint64_t{1}, uint64_t{11}));
  INFO("seed " << seed);
  SystemReport report =
      RunSystem({.seed = seed, .zones = seed % 3 == 0 ? 2 : 3});
  for (const std::string& violation : report.violations)
    UNSCOPED_INFO(violation);
  CHECK(report.violations_by_invariant.empty());
  // A run in which no requests are served would prove nothing.
  CHECK(report.counters["completed"] > 1000);
  CHECK(report.counters["starts"] > 1000);
}

TEST_CASE("two runs with the same seed have equal events and counters") {
  SystemOptions options{
      .seed = 5, .fault_phase = Seconds(60), .settle_phase = Seconds(30)};
  SystemReport first = RunSystem(options);
  SystemReport second = RunSystem(options);
  CHECK(first.events == second.events);
  CHECK(first.counters == second.counters);
}

}  // namespace
}  // namespace radishmoor
