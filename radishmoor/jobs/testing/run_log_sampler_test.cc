#include "radishmoor/jobs/run_log_sampler.h"

#include <catch2/catch.hpp>
#include <set>

namespace radishmoor {
namespace {

JobId NumberedJob(int number) {
  return JobId("job-" + std::to_string(number));
}

TEST_CASE("all lines are kept at a low rate", "[log]") {
  RunLogSampler sampler;
  Time now = kTimeZero + Seconds(1);
  for (int i = 0; i < 1000; ++i, now += Milliseconds(6))
    REQUIRE(sampler.Keep(now, NumberedJob(i)));
  REQUIRE(sampler.omitted() == 0);
}

// Guards against a volume of lines that grows with the load, and against jobs
// of which only some lines are kept.
TEST_CASE("under load all lines of some jobs are kept", "[log]") {
  RunLogSampler sampler;
  Time now = kTimeZero + Seconds(1);
  int kept = 0;
  // The first lines of each second are kept regardless of the job.
  for (int i = 0; i < 3000; ++i)
    kept += sampler.Keep(now, NumberedJob(i % 300)) ? 1 : 0;
  REQUIRE(kept < 3000 / 8);
  std::set<int> always;
  for (int job = 0; job < 300; ++job) {
    if (sampler.Keep(now, NumberedJob(job)))
      always.insert(job);
  }
  REQUIRE(always.size() > 5);
  REQUIRE(always.size() < 60);
  for (int job = 0; job < 300; ++job)
    REQUIRE(sampler.Keep(now, NumberedJob(job)) == always.contains(job));
}

}  // namespace
}  // namespace radishmoor
