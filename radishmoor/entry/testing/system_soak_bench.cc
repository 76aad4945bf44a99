// Runs the whole system under random faults, one seed after the other, until
// `--events` simulated events or `--duration` seconds are reached. Prints each
// violation with the seed that replays it, and exits with 1 if there was one.
//
//   system_soak_bench --seed 1 --events 10000000
//   system_soak_bench --seed 1 --duration 60      (seconds of real time)
//   system_soak_bench --seed 17 --events 1 --trace 1

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "radishmoor/base/invariant.h"
#include "radishmoor/entry/testing/system_driver.h"

namespace radishmoor {
namespace {

void Print(const char* title, const std::map<std::string, uint64_t>& counts) {
  std::printf("%s:", title);
  for (const auto& [name, count] : counts)
    std::printf(" %s=%llu", name.c_str(),
                static_cast<unsigned long long>(count));
  std::printf("\n");
}

void AddCounts(std::map<std::string, uint64_t>* total,
               const std::map<std::string, uint64_t>& counts) {
  for (const auto& [name, count] : counts)
    (*total)[name] += count;
}

int Soak(uint64_t seed, uint64_t max_events, double max_seconds, bool trace) {
  // The run reports a breached invariant of the product as a violation.
  SetAbortOnInvariantBreach(false);
  auto start = std::chrono::steady_clock::now();
  SystemReport total;
  uint64_t first = seed;
  for (;; ++seed) {
    SystemReport report = RunSystem(
        {.seed = seed, .zones = seed % 3 == 0 ? 2 : 3, .trace = trace});
    total.events += report.events;
    total.checks += report.checks;
    AddCounts(&total.injected_faults, report.injected_faults);
    AddCounts(&total.counters, report.counters);
    AddCounts(&total.violations_by_invariant, report.violations_by_invariant);
    for (const std::string& violation : report.violations) {
      std::printf("violation: --seed %llu after %llu events so far: %s\n",
                  static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(total.events),
                  violation.c_str());
    }
    std::fflush(stdout);
    std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    if (total.events >= max_events || elapsed.count() >= max_seconds)
      break;
  }
  std::printf("seeds: %llu to %llu\nevents: %llu\nchecks: %llu\n",
              static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(seed),
              static_cast<unsigned long long>(total.events),
              static_cast<unsigned long long>(total.checks));
  Print("faults", total.injected_faults);
  Print("figures", total.counters);
  Print("violations", total.violations_by_invariant);
  return total.violations_by_invariant.empty() ? 0 : 1;
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  std::map<std::string, std::string> options{
      {"--seed", "1"}, {"--events", ""}, {"--duration", ""}, {"--trace", "0"}};
  for (int i = 1; i < argc; i += 2) {
    if (!options.contains(argv[i]) || i + 1 == argc) {
      std::fprintf(stderr,
                   "usage: system_soak_bench [--seed N] [--events N] "
                   "[--duration SECONDS] [--trace 1]\n");
      return 2;
    }
    options[argv[i]] = argv[i + 1];
  }
  auto number = [&](const char* name, uint64_t fallback) {
    const std::string& text = options[name];
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
  };
  // Without a bound, the default is one million events.
  bool bounded = !options["--events"].empty() || !options["--duration"].empty();
  return radishmoor::Soak(number("--seed", 1),
                          number("--events", bounded ? UINT64_MAX : 1'000'000),
                          static_cast<double>(number("--duration", UINT32_MAX)),
                          number("--trace", 0) != 0);
}
