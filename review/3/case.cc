// Of twenty jobs that arrive within 3 s one can never be done: each of its runs
// ends `failed`. Nothing else arrives afterwards.

#include <cstdio>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Duration;
using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Site;

constexpr int kWorkers = 2;
constexpr int64_t kWorkerCpu = 16000;
constexpr int kJobs = 20;
constexpr int kPoisonJob = 10;
constexpr Duration kJobPeriod = Milliseconds(150);
constexpr Duration kRunTime = Milliseconds(500);
constexpr Duration kPoisonRunTime = Seconds(14);
// Traffic of 3 s, finish_s of 14 s, and time for two attempts of 14 s.
constexpr Duration kAskAfter = Seconds(60);
// A job must not have had nothing at work for this long while its turn has come
// and the workers are idle.
constexpr Duration kMaxIdle = Seconds(3);

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0xb0000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Site site({.services = {{.name = "desk",
                             .workers = kWorkers,
                             .cpu = kWorkerCpu,
                             .max_attempts = 2}},
               .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(3));
    Time begin = site.loop().now();
    for (int i = 1; i <= kJobs; ++i) {
      bool poison = i == kPoisonJob;
      site.Submit(
          {.id = JobId(i),
           .service = "desk",
           .steps = {{.count = poison ? 8 : 2, .cpu = poison ? 3500 : 1000}},
           .run_time = poison ? kPoisonRunTime : kRunTime,
           .failing_runs = poison && Site::trouble() ? 1000 : 0});
      site.RunFor(kJobPeriod);
    }
    Time last_at_work = site.loop().now();
    while (site.loop().now() - begin < kAskAfter && !site.AllJobsHaveEnded()) {
      site.RunFor(Milliseconds(50));
      for (size_t i = 0; i < site.worker_count(); ++i) {
        if (!site.worker(i).idle())
          last_at_work = site.loop().now();
      }
    }
    if (site.AllJobsHaveEnded()) {
      site.recorder().Line("all jobs have ended");
      return site.recorder().violations().empty() ? 0 : 1;
    }
    Duration idle = site.loop().now() - last_at_work;
    if (idle > kMaxIdle) {
      site.recorder().Violation(
          "LOST: " + JobId(kPoisonJob) + " is " +
          site.StateOf(JobId(kPoisonJob)) +
          " and has had nothing at work for " +
          std::to_string(radishmoor::WholeMilliseconds(idle)) +
          " ms, with both workers empty");
    }
    return site.recorder().violations().empty() ? 2 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
