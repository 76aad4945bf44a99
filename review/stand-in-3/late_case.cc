// The case of review/11: workers crash and start again under their id, while a
// share of the orders to them is carried out late and without an answer. Exit
// status: 1 if a work item ran twice, 0 if not, 2 if the case could not run.
//
//   late_case FOLDER RECORD PROGRAM SEED TROUBLE

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "review/stand-in-3/platform.h"

namespace {

using radishmoor::Milliseconds;

constexpr double kLateShare = 0.35;
constexpr int64_t kLengthMs = 112'000;
constexpr int64_t kTroubleAtMs = 8'000;
constexpr int64_t kCrashPeriodMs = 1'500;
constexpr int64_t kDowntimeMs = 300;
constexpr int64_t kCpu = 16'000;
constexpr int64_t kTaskCpu = 4'000;
constexpr int64_t kTaskMs = 4'000;

int RunCase(const review::PlatformOptions& options, bool trouble) {
  radishmoor::EventLoop loop;
  review::Platform platform(loop, options);
  platform.Start();
  std::function<void(int)> submit = [&](int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5eed0000 + n);
    platform.Submit(id, 4, kTaskMs, kTaskCpu);
    loop.RunAfter(Milliseconds(600), [&submit, n] { submit(n + 1); });
  };
  loop.RunAfter(Milliseconds(4000), [&] { submit(0); });
  std::mt19937_64 random(options.seed);
  std::function<void()> crash = [&] {
    platform.CrashWorker(random() % platform.worker_count(),
                         Milliseconds(kDowntimeMs), kCpu);
    loop.RunAfter(Milliseconds(kCrashPeriodMs), crash);
  };
  loop.RunAfter(Milliseconds(kTroubleAtMs), [&] {
    if (!trouble)
      return;
    platform.SetLateOrders(kLateShare);
    crash();
  });
  std::function<void()> watch = [&] {
    if (platform.broken()) {
      loop.Stop();
      return;
    }
    loop.RunAfter(Milliseconds(100), watch);
  };
  watch();
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.RunAfter(Milliseconds(kLengthMs), [&] { loop.Stop(); });
  loop.Run();
  platform.Record(std::to_string(platform.jobs_accepted()) +
                  " jobs accepted, " + std::to_string(platform.runs_done()) +
                  " runs done");
  if (platform.broken())
    return 1;
  return platform.runs_done() > 0 ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6)
    return 2;
  review::PlatformOptions options;
  options.folder = argv[1];
  options.record = argv[2];
  options.program = argv[3];
  options.seed = std::strtoull(argv[4], nullptr, 10);
  return RunCase(options, std::string(argv[5]) != "0");
}
