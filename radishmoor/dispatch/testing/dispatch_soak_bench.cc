// Checks dispatchers against the reference model of RandomDriver with many
// random events.
//
//   dispatch_soak_bench [--seed N] [--events N]
//
// Each dispatcher has its own seed, counted up from the given one. At the first
// violation, prints the seed of that dispatcher and exits with 1.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <vector>

#include "radishmoor/base/invariant.h"
#include "radishmoor/dispatch/testing/random_driver.h"

int main(int argc, char** argv) {
  using namespace radishmoor::dispatch;  // NOLINT: a main function
  constexpr uint64_t kEventsPerDispatcher = 20'000;
  uint64_t seed = 1;
  uint64_t events = 1'000'000;
  for (int i = 1; i + 1 < argc; i += 2) {
    (std::strcmp(argv[i], "--seed") == 0 ? seed : events) =
        std::strtoull(argv[i + 1], nullptr, 10);
  }
  const std::vector<HeadOfLinePolicy> policies = {
      RestartLong{.max_lost_share = 1}, Fifo{}, LearnedQuantiles{},
      AgeReclassification{}};
  auto start = std::chrono::steady_clock::now();
  for (uint64_t done = 0; done < events; done += kEventsPerDispatcher, ++seed) {
    radishmoor::SetInvariantSeed(seed);
    try {
      RandomDriver(seed, policies[seed % policies.size()])
          .Run(kEventsPerDispatcher);
    } catch (const std::exception& violation) {
      std::fprintf(stderr, "seed %llu: %s\n",
                   static_cast<unsigned long long>(seed), violation.what());
      return 1;
    }
  }
  std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  std::printf("events=%llu seconds=%.2f events_per_second=%.0f\n",
              static_cast<unsigned long long>(events), took.count(),
              static_cast<double>(events) / took.count());
  return 0;
}
