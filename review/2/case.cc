// Workers crash and start again under their ids within 0.3 s, one at a time,
// while jobs arrive at a steady rate.

#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Site;

constexpr int kWorkers = 7;
constexpr int64_t kWorkerCpu = 16000;
constexpr radishmoor::Duration kTraffic = Seconds(60);
constexpr radishmoor::Duration kJobPeriod = Milliseconds(2000);
constexpr radishmoor::Duration kRunTime = Milliseconds(900);
constexpr radishmoor::Duration kCrashPeriod = Milliseconds(3100);
constexpr radishmoor::Duration kDowntime = Milliseconds(300);

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0xa0000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Site site(
        {.services = {{.name = "desk", .workers = kWorkers, .cpu = kWorkerCpu}},
         .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(3));
    Time end = site.loop().now() + kTraffic;
    Time next_job = site.loop().now();
    Time next_crash = site.loop().now() + kCrashPeriod;
    int jobs = 0;
    size_t worker = 0;
    while (site.loop().now() < end) {
      site.RunFor(Milliseconds(20));
      Time now = site.loop().now();
      if (now >= next_job) {
        next_job += kJobPeriod;
        site.Submit({.id = JobId(++jobs),
                     .service = "desk",
                     .steps = {{.count = 24, .cpu = 4000}},
                     .run_time = kRunTime});
      }
      if (now >= next_crash) {
        next_crash += kCrashPeriod;
        if (Site::trouble()) {
          site.worker(worker++ % kWorkers).Restart(kDowntime);
        }
      }
    }
    Time limit = site.loop().now() + Seconds(15);
    while (!site.AllJobsHaveEnded() && site.loop().now() < limit)
      site.RunFor(Milliseconds(200));
    if (!site.AllJobsHaveEnded()) {
      site.recorder().Line("not all jobs have ended");
      return 2;
    }
    return site.recorder().violations().empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
