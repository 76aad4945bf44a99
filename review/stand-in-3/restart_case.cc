// The case of review/13: workers crash and start again under their id as a
// smaller kind, while the store leaves a share of its writes without an answer.
// Exit status: 1 if a start brought a worker over its capacity, 0 if not, 2 if
// the case could not run.
//
//   restart_case FOLDER RECORD PROGRAM SEED TROUBLE

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <set>
#include <string>

#include "review/stand-in-3/platform.h"

namespace {

using radishmoor::Milliseconds;

constexpr int kWorkers = 20;
constexpr size_t kSmallWorkers = 3;
constexpr double kLostShare = 0.04;
constexpr int64_t kLengthMs = 112'000;
constexpr int64_t kTroubleAtMs = 8'000;
constexpr int64_t kCrashPeriodMs = 1'000;
constexpr int64_t kDowntimeMs = 100;
constexpr int64_t kLargeCpu = 16'000;
constexpr int64_t kSmallCpu = 8'000;
constexpr int64_t kTaskCpu = 10'000;
constexpr int64_t kTaskMs = 100;

int RunCase(const review::PlatformOptions& options, bool trouble) {
  radishmoor::EventLoop loop;
  review::Platform platform(loop, options);
  platform.Start();
  std::function<void(int)> submit = [&](int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5eed0000 + n);
    platform.Submit(id, 10, kTaskMs, kTaskCpu);
    loop.RunAfter(Milliseconds(125), [&submit, n] { submit(n + 1); });
  };
  loop.RunAfter(Milliseconds(4000), [&] { submit(0); });
  std::mt19937_64 random(options.seed);
  // A few workers at a time are small; they crash again and are large then.
  std::set<size_t> small;
  std::function<void()> crash = [&] {
    bool shrink = small.empty();
    while (shrink && small.size() < kSmallWorkers)
      small.insert(random() % platform.worker_count());
    for (size_t worker : small)
      platform.CrashWorker(worker, Milliseconds(kDowntimeMs),
                           shrink ? kSmallCpu : kLargeCpu);
    if (!shrink)
      small.clear();
    loop.RunAfter(Milliseconds(kCrashPeriodMs), crash);
  };
  loop.RunAfter(Milliseconds(kTroubleAtMs), [&] {
    if (!trouble)
      return;
    platform.SetLostAnswers(kLostShare);
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
  options.workers = kWorkers;
  options.seed = std::strtoull(argv[4], nullptr, 10);
  return RunCase(options, std::string(argv[5]) != "0");
}
