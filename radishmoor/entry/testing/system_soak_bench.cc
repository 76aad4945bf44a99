// Runs the whole system under random faults, one seed after the other, and
// prints the seeds to replay.
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

void Add(std::map<std::string, uint64_t>* sum,
         const std::map<std::string, uint64_t>& counts) {
  for (const auto& [name, count] : counts)
    (*sum)[name] += count;
}

int Soak(uint64_t seed, uint64_t events, double duration, bool trace) {
  // A breach of a product invariant is reported as a violation of its seed.
  SetAbortOnInvariantBreach(false);
  auto start = std::chrono::steady_clock::now();
  SystemReport sum;
  uint64_t first = seed;
  for (;; ++seed) {
    SystemReport report = RunSystem(
        {.seed = seed, .zones = seed % 3 == 0 ? 2 : 3, .trace = trace});
    sum.events += report.events;
    sum.checks += report.checks;
    Add(&sum.faults, report.faults);
    Add(&sum.figures, report.figures);
    Add(&sum.by_invariant, report.by_invariant);
    for (const std::string& violation : report.violations) {
      std::printf("violation: --seed %llu after %llu events so far: %s\n",
                  static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(sum.events),
                  violation.c_str());
    }
    std::fflush(stdout);
    std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - start;
    if (sum.events >= events || passed.count() >= duration)
      break;
  }
  std::printf("seeds: %llu to %llu\nevents: %llu\nchecks: %llu\n",
              static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(seed),
              static_cast<unsigned long long>(sum.events),
              static_cast<unsigned long long>(sum.checks));
  Print("faults", sum.faults);
  Print("figures", sum.figures);
  Print("violations", sum.by_invariant);
  return sum.by_invariant.empty() ? 0 : 1;
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
  auto number = [&](const char* name, uint64_t otherwise) {
    const std::string& text = options[name];
    return text.empty() ? otherwise : std::strtoull(text.c_str(), nullptr, 10);
  };
  // Without a bound, one million events.
  bool bounded = !options["--events"].empty() || !options["--duration"].empty();
  return radishmoor::Soak(number("--seed", 1),
                          number("--events", bounded ? UINT64_MAX : 1'000'000),
                          static_cast<double>(number("--duration", UINT32_MAX)),
                          number("--trace", 0) != 0);
}
