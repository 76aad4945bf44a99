// Waves of one machine each, while another worker drains: both run work items
// of the same steps that last, of which one may be away.

#include <cstdio>
#include <iostream>

#include "review/standin/site.h"

namespace {

using radishmoor::Duration;
using radishmoor::Milliseconds;
using radishmoor::Seconds;
using radishmoor::Time;
using review::Site;
using review::Worker;

constexpr int kWorkers = 7;
constexpr int kJobs = 4;
constexpr int kRounds = 10;
constexpr Duration kRoundTime = Milliseconds(9500);
// drain_ms and a little longer.
constexpr Duration kDrainTime = Milliseconds(4000);

std::string JobId(int number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0xe0000 + number);
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    Site site({.services = {{.name = "desk", .workers = kWorkers}},
               .record_path = argc > 1 ? argv[1] : "record.txt"});
    if (!site.StartNodes())
      return 2;
    site.RunFor(Seconds(3));
    for (int i = 1; i <= kJobs; ++i) {
      site.Submit({.id = JobId(i),
                   .service = "desk",
                   .steps = {{.count = 5,
                              .cpu = 1300,
                              .long_running = true,
                              .max_per_server = 1,
                              .may_miss = 1}}});
    }
    site.RunFor(Seconds(4));
    for (int round = 1; round <= kRounds; ++round) {
      // The machine of the worker with the lowest id that has work; the worker
      // with the highest id that has work drains.
      Worker* first = nullptr;
      Worker* last = nullptr;
      for (size_t i = 0; i < site.worker_count(); ++i) {
        Worker& worker = site.worker(i);
        if (!worker.up() || worker.idle())
          continue;
        if (first == nullptr || worker.id() < first->id())
          first = &worker;
        if (last == nullptr || worker.id() > last->id())
          last = &worker;
      }
      if (first == nullptr || first == last)
        return 2;
      site.PutWave(round, {first->machine()}, 1);
      if (Site::trouble())
        last->Drain(kDrainTime);
      site.RunFor(kRoundTime);
    }
    return site.recorder().violations().empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
