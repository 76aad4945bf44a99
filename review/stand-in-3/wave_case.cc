// The case of review/12: a wave with max_count 1, a machine API that carries a
// share of the calls out late and without an answer, and restarts of the
// process whose call is not answered. Exit status: 1 if an upkeep began while
// another machine of the wave was down for its own, 0 if not, 2 if the case
// could not run.
//
//   wave_case FOLDER RECORD PROGRAM SEED TROUBLE

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "review/stand-in-3/platform.h"

namespace {

using radishmoor::Milliseconds;

constexpr int64_t kWave = 1;
constexpr int kWorkers = 20;
constexpr double kLateShare = 0.5;
constexpr int64_t kLengthMs = 100'000;
constexpr int64_t kWaveAtMs = 6'000;
constexpr int64_t kWaitBeforeRestartMs = 500;
constexpr int64_t kRestartPeriodMs = 7'000;

int RunCase(const review::PlatformOptions& options, bool trouble) {
  radishmoor::EventLoop loop;
  review::Platform platform(loop, options);
  platform.Start();
  std::function<void(int)> submit = [&](int n) {
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", 0x5eed0000 + n);
    platform.Submit(id, 4, 500, 880);
    loop.RunAfter(Milliseconds(1000), [&submit, n] { submit(n + 1); });
  };
  loop.RunAfter(Milliseconds(4000), [&] { submit(0); });
  loop.RunAfter(Milliseconds(kWaveAtMs), [&] {
    platform.StartWave(kWave, 1, 100);
    platform.SetLateUpkeepCalls(trouble ? kLateShare : 0);
  });
  radishmoor::Time next_restart = loop.now() + Milliseconds(kWaveAtMs);
  std::function<void()> restart = [&] {
    std::optional<size_t> caller =
        platform.LastCaller(Milliseconds(kWaitBeforeRestartMs), trouble);
    if (caller && loop.now() >= next_restart) {
      platform.RestartNode(*caller);
      next_restart = loop.now() + Milliseconds(kRestartPeriodMs);
    }
    loop.RunAfter(Milliseconds(50), restart);
  };
  restart();
  std::function<void()> watch = [&] {
    if (platform.broken() || platform.IsWaveCompleted(kWave)) {
      loop.Stop();
      return;
    }
    loop.RunAfter(Milliseconds(100), watch);
  };
  watch();
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.RunAfter(Milliseconds(kLengthMs), [&] { loop.Stop(); });
  loop.Run();
  platform.Record(
      std::to_string(platform.upkeeps_begun()) + " upkeeps, " +
      std::to_string(platform.jobs_accepted()) + " jobs accepted, " +
      std::to_string(platform.runs_done()) + " runs done, wave " +
      (platform.IsWaveCompleted(kWave) ? "completed" : "not completed"));
  if (platform.broken())
    return 1;
  bool ran = platform.upkeeps_begun() > 0 && platform.runs_done() > 0;
  return ran ? 0 : 2;
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
