// The rack with all workers of a service goes dark just before jobs arrive.
// Callers ask for the length of the queue.

#include <cstdio>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Duration;
using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Site;

constexpr int kWorkers = 4;
constexpr int kJobs = 6;
constexpr Duration kDark = Milliseconds(5900);
constexpr Duration kJobPeriod = Milliseconds(20);
// visible_ms and 2 s.
constexpr Duration kVisibleAfter = Seconds(5);
constexpr Duration kAskPeriod = Milliseconds(150);

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0xd0000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Site site({.services = {{.name = "desk", .workers = kWorkers}},
               .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(4));
    Time dark_until = site.loop().now() + kDark;
    if (Site::trouble()) {
      for (size_t i = 0; i < site.worker_count(); ++i)
        site.worker(i).GoDark(kDark);
    }
    for (int i = 1; i <= kJobs; ++i) {
      site.Submit({.id = JobId(i),
                   .service = "desk",
                   .steps = {{.count = 4, .cpu = 1000}},
                   .run_time = Milliseconds(500)});
      site.RunFor(kJobPeriod);
    }
    site.RunFor(Milliseconds(200));
    int accepted = 0;
    for (int i = 1; i <= kJobs; ++i)
      accepted += site.IsAccepted(JobId(i)) ? 1 : 0;
    site.RunFor(kVisibleAfter);
    int asked = 0;
    while (site.loop().now() < dark_until - kAskPeriod) {
      site.AskPending("desk", [&](const std::string& node, int64_t pending) {
        ++asked;
        int waiting = 0;
        for (int i = 1; i <= kJobs; ++i)
          waiting += site.HasBegun(JobId(i)) ? 0 : 1;
        if (Site::trouble() && waiting == kJobs && accepted == kJobs &&
            pending * 2 < waiting) {
          site.recorder().Violation(
              "MIXED: " + node + " gives " + std::to_string(pending) +
              " as pending, while " + std::to_string(waiting) +
              " jobs that were accepted over 5 s before haven't begun");
        }
      });
      site.RunFor(kAskPeriod);
    }
    Time limit = site.loop().now() + Seconds(15);
    while (!site.AllJobsHaveEnded() && site.loop().now() < limit)
      site.RunFor(Milliseconds(100));
    if (accepted < kJobs || asked == 0 || !site.AllJobsHaveEnded())
      return 2;
    return site.recorder().violations().empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
