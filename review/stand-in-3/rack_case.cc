// The case of review/14: a rack of workers is lost for good, and work items
// that last and have their data there are started again. Exit status: 1 if such
// a work item was without a run for too long, 0 if not, 2 if the case could not
// run.
//
//   rack_case FOLDER RECORD PROGRAM SEED TROUBLE

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "review/stand-in-3/platform.h"

namespace {

using radishmoor::Milliseconds;

constexpr int kWorkers = 16;
constexpr int kJobsPerRack = 3;
constexpr int kItems = 2;
constexpr int64_t kFirstLossMs = 14'000;
constexpr int64_t kLossPeriodMs = 25'000;
constexpr int kLosses = 3;

std::string JobId(int n) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", 0x5eed0000 + n);
  return id;
}

int RunCase(const review::PlatformOptions& options, bool trouble) {
  radishmoor::EventLoop loop;
  review::Platform platform(loop, options);
  platform.Start();
  radishmoor::Time last_trouble = loop.now();
  loop.RunAfter(Milliseconds(5000), [&] {
    for (int rack = 0; rack < kLosses; ++rack) {
      for (int i = 0; i < kJobsPerRack; ++i)
        platform.SubmitLasting(JobId(rack * kJobsPerRack + i), kItems,
                               "r1-" + std::to_string(rack + 1));
    }
  });
  for (int rack = 0; trouble && rack < kLosses; ++rack) {
    loop.RunAfter(Milliseconds(kFirstLossMs + rack * kLossPeriodMs),
                  [&platform, &loop, &last_trouble, rack] {
                    last_trouble = loop.now();
                    platform.LoseRack("r1-" + std::to_string(rack + 1));
                  });
  }
  std::function<void()> check = [&] {
    platform.CheckLasting(last_trouble);
    if (platform.broken()) {
      // The rest of the record shows when the work items start again.
      loop.RunAfter(Milliseconds(3000), [&] { loop.Stop(); });
      return;
    }
    loop.RunAfter(Milliseconds(20), check);
  };
  check();
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.RunAfter(Milliseconds(kFirstLossMs + kLosses * kLossPeriodMs),
                [&] { loop.Stop(); });
  loop.Run();
  platform.Record(std::to_string(platform.jobs_accepted()) + " jobs accepted");
  if (platform.broken())
    return 1;
  return platform.jobs_accepted() == kLosses * kJobsPerRack ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6)
    return 2;
  review::PlatformOptions options;
  options.folder = argv[1];
  options.record = argv[2];
  options.program = argv[3];
  options.workers = kWorkers;
  options.seed = std::strtoull(argv[4], nullptr, 10);
  return RunCase(options, std::string(argv[5]) != "0");
}
