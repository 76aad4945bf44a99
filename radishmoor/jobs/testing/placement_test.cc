#include "radishmoor/jobs/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "radishmoor/base/random.h"

namespace radishmoor {
namespace {

const Time kStart = kTimeZero + Seconds(100);

PlacementServer MakeServer(int64_t capacity_cpu_millis,
                           int64_t free_cpu_millis) {
  PlacementServer server;
  server.capacity = {capacity_cpu_millis, 64000, 0};
  server.free_resources = {free_cpu_millis, 64000, 0};
  return server;
}

StepSpec MakeStep(int64_t task_cpu_millis) {
  StepSpec step;
  step.request = {task_cpu_millis, 100, 0};
  step.estimate = Milliseconds(500);
  return step;
}

// Guards against jobs that have begun being delayed by new jobs until their
// work is lost, and against a backlog of late jobs that makes later jobs late
// as well.
TEST_CASE("jobs that have begun start first, then small ones, late ones last",
          "[placement]") {
  std::vector<JobOrderInput> jobs(4);
  for (uint32_t i = 0; i < 4; ++i) {
    jobs[i].position = i;
    jobs[i].objective = kStart + Seconds(2);
    jobs[i].remaining_chain = Seconds(1);
    jobs[i].remaining_work = 1;
  }
  jobs[0].objective = kStart;  // Late.
  jobs[1].remaining_work = 8;  // Large.
  jobs[3].begun = true;
  jobs[3].remaining_work = 20;
  REQUIRE(OrderJobs(kStart, jobs) == std::vector<uint32_t>{3, 2, 1, 0});
}

// Guards against long-running tasks that wait behind short ones.
TEST_CASE("long-running jobs start before all others", "[placement]") {
  std::vector<JobOrderInput> jobs(2);
  jobs[0].position = 0;
  jobs[0].objective = kStart + Seconds(1);
  jobs[1].position = 1;
  jobs[1].long_running = true;
  jobs[1].objective = kStart - Seconds(1);
  REQUIRE(OrderJobs(kStart, jobs).front() == 1);
}

// Guards against tasks spread over servers that could be given up, and against
// tasks on slow servers or on those where they have failed.
TEST_CASE("the server with the smallest free share of cores is chosen",
          "[placement]") {
  std::vector<PlacementServer> servers = {
      MakeServer(16000, 4000), MakeServer(16000, 9000), MakeServer(8000, 4000)};
  StepSpec step = MakeStep(1000);
  PlacementTask task{&step};
  REQUIRE(ChooseServer(task, servers) == 0);
  servers[0].slowness = 4;
  REQUIRE(ChooseServer(task, servers) == 2);
  servers[2].task_failed_here = true;
  REQUIRE(ChooseServer(task, servers) == 1);
}

// Simulates a peak of 5 s in which 3% of the tasks run seven times as long as
// the others, and returns how many servers are still busy 0.7 s after its end.
// With `pack`, ChooseServer() places the tasks; otherwise each task is placed
// on the server with the most free CPU.
size_t BusyServersAfterPeak(bool pack) {
  constexpr size_t kServers = 20;
  // Time is counted in steps of 10 ms.
  constexpr int kPeakSteps = 500;
  constexpr int kStepsAfterPeak = 70;
  std::vector<PlacementServer> servers(kServers, MakeServer(16000, 16000));
  std::multimap<int, size_t> ends;  // Server by the step at which a task ends.
  Random random(11);
  StepSpec step = MakeStep(1000);
  for (int now = 0; now < kPeakSteps + kStepsAfterPeak; ++now) {
    for (auto it = ends.begin(); it != ends.end() && it->first <= now;
         it = ends.erase(it))
      servers[it->second].free_resources.cpu_millis += step.request.cpu_millis;
    for (int i = 0; now < kPeakSteps && i < 2; ++i) {
      std::optional<size_t> chosen = ChooseServer({&step}, servers);
      if (!pack) {
        auto freest = std::max_element(
            servers.begin(), servers.end(), [](const auto& a, const auto& b) {
              return a.free_resources.cpu_millis < b.free_resources.cpu_millis;
            });
        chosen = static_cast<size_t>(freest - servers.begin());
      }
      REQUIRE(chosen);
      servers[*chosen].free_resources.cpu_millis -= step.request.cpu_millis;
      int length = 25 + static_cast<int>(random.Below(50));
      ends.emplace(now + (random.Chance(0.03) ? 7 * length : length), *chosen);
    }
  }
  return static_cast<size_t>(
      std::count_if(servers.begin(), servers.end(), [](const auto& server) {
        return server.free_resources.cpu_millis < server.capacity.cpu_millis;
      }));
}

// Guards against a pool that cannot give up servers after a peak because each
// of them still runs a long task. The baseline spreads the tasks over all
// servers.
TEST_CASE("packing leaves at most 2/3 as many servers busy after a peak",
          "[placement]") {
  size_t spread = BusyServersAfterPeak(false);
  size_t packed = BusyServersAfterPeak(true);
  INFO("busy servers of 20: spread " << spread << ", packed " << packed);
  REQUIRE(packed * 3 <= spread * 2);
}

TEST_CASE("a server needs free CPU, the label, and fewer than max_per_server",
          "[placement]") {
  std::vector<PlacementServer> servers = {MakeServer(16000, 500)};
  StepSpec step = MakeStep(1000);
  PlacementTask task{&step};
  REQUIRE_FALSE(ChooseServer(task, servers));
  servers[0].free_resources.cpu_millis = 4000;
  REQUIRE(ChooseServer(task, servers) == 0);
  step.max_per_server = 1;
  servers[0].same_step_runs = 1;
  REQUIRE_FALSE(ChooseServer(task, servers));
  servers[0].same_step_runs = 0;
  step.requirement = std::string(1, 'b');
  REQUIRE_FALSE(ChooseServer(task, servers));
  std::vector<std::string> labels = {"a", "b"};
  servers[0].labels = labels;
  REQUIRE(ChooseServer(task, servers) == 0);
}

// Guards against a job's last attempt being spent on a server that fails all
// tasks that it starts.
TEST_CASE("the last attempt needs a trusted server", "[placement]") {
  std::vector<PlacementServer> servers = {MakeServer(16000, 9000)};
  servers[0].trusted = false;
  StepSpec step = MakeStep(1000);
  PlacementTask task{&step, true};
  REQUIRE_FALSE(ChooseServer(task, servers));
  task.last_attempt = false;
  REQUIRE(ChooseServer(task, servers) == 0);
}

// Guards against a last attempt that never starts: in a quiet pool, a server
// that has failed tasks stays without a success.
TEST_CASE("the last attempt waits for a trusted server for a limited time",
          "[placement]") {
  std::vector<PlacementServer> servers = {MakeServer(16000, 16000),
                                          MakeServer(16000, 16000),
                                          MakeServer(16000, 500)};
  servers[0].trusted = servers[1].trusted = false;
  servers[0].task_failed_here = true;
  StepSpec step = MakeStep(1000);
  PlacementTask task{&step, true};
  REQUIRE_FALSE(ChooseServer(task, servers));
  task.trust_wait_over = true;
  REQUIRE(ChooseServer(task, servers) == 1);
  // A trusted server with room goes first.
  servers[2].free_resources.cpu_millis = 16000;
  REQUIRE(ChooseServer(task, servers) == 2);
}

// Guards against a last attempt being spent on a server that fails all its
// tasks, and therefore has room, while the others are busy.
TEST_CASE("the last attempt waits for a trusted server in a busy pool",
          "[placement]") {
  std::vector<PlacementServer> servers = {
      MakeServer(16000, 16000), MakeServer(16000, 500), MakeServer(16000, 500)};
  servers[0].trusted = false;
  StepSpec step = MakeStep(1000);
  PlacementTask task{&step, true};
  task.trust_wait_over = true;
  REQUIRE_FALSE(ChooseServer(task, servers));
  servers[1].trusted = servers[2].trusted = false;
  REQUIRE(ChooseServer(task, servers) == 0);
}

// Guards against large tasks that never start because small ones take all free
// resources.
TEST_CASE("a task that fits nowhere reserves the server with the most free CPU",
          "[placement]") {
  std::vector<PlacementServer> servers = {MakeServer(16000, 3000),
                                          MakeServer(16000, 7000)};
  StepSpec large = MakeStep(12000);
  std::optional<size_t> reserved = ChooseReservation({&large}, servers);
  REQUIRE(reserved == 1);
  servers[*reserved].reserved = true;
  StepSpec small = MakeStep(1000);
  REQUIRE(ChooseServer({&small}, servers) == 0);
  StepSpec impossible = MakeStep(20000);
  REQUIRE_FALSE(ChooseReservation({&impossible}, servers));
}

// Guards against long-running tasks spread over servers that could be given up.
TEST_CASE("long-running tasks are packed on the same servers", "[placement]") {
  std::vector<PlacementServer> servers = {MakeServer(16000, 12000),
                                          MakeServer(16000, 15000)};
  servers[1].long_running_runs = 1;
  StepSpec step = MakeStep(1000);
  REQUIRE(ChooseServer({&step}, servers) == 0);
  step.long_running = true;
  REQUIRE(ChooseServer({&step}, servers) == 1);
}

// How many jobs of a simulated peak met their objective.
struct PeakResult {
  int on_time = 0;
  int late = 0;
};

// kOrderJobs: by OrderJobs(); kArrival: first come, first served.
enum class Policy { kArrival, kLeastSlack, kOrderJobs };

// Simulates, in virtual time, a queue whose demand exceeds its servers: each
// job has two steps of tasks that take a second, and the servers run at most
// kServerSlots tasks at a time.
PeakResult SimulatePeak(Policy policy, uint64_t seed) {
  constexpr int kServerSlots = 40;
  constexpr Duration kTick = Milliseconds(50);
  struct SimJob {
    Time arrived;
    Time objective;
    int width = 0;
    int step = 0;
    int waiting = 0;
    int running = 0;
  };
  Random random(seed);
  std::vector<SimJob> jobs;
  std::vector<std::pair<Time, size_t>> running;
  PeakResult result;
  for (Time now = kStart; now < kStart + Seconds(60); now += kTick) {
    bool peak = now >= kStart + Seconds(5) && now < kStart + Seconds(13);
    if (now < kStart + Seconds(20) && random.Chance(peak ? 0.35 : 0.02)) {
      SimJob job;
      job.arrived = now;
      job.width = static_cast<int>(1 + random.Below(8));
      job.waiting = job.width;
      // 1.6 times the run time of both steps (2 s), plus 0.6 s.
      job.objective = now + Milliseconds(3800);
      jobs.push_back(job);
    }
    std::erase_if(running, [&](const std::pair<Time, size_t>& run) {
      if (run.first > now)
        return false;
      SimJob& job = jobs[run.second];
      if (--job.running == 0 && job.waiting == 0) {
        if (job.step == 0) {
          job.step = 1;
          job.waiting = job.width;
        } else {
          job.step = 2;
          ++(now <= job.objective ? result.on_time : result.late);
        }
      }
      return true;
    });
    std::vector<JobOrderInput> inputs;
    for (uint32_t i = 0; i < jobs.size(); ++i) {
      const SimJob& job = jobs[i];
      if (job.waiting == 0)
        continue;
      JobOrderInput input;
      input.position = i;
      input.arrived = job.arrived;
      input.objective = job.objective;
      input.remaining_chain = Seconds(2 - job.step);
      input.remaining_work = job.width * (2 - job.step);
      input.begun = job.step > 0 || job.running > 0;
      inputs.push_back(input);
    }
    std::vector<uint32_t> order;
    if (policy == Policy::kOrderJobs) {
      order = OrderJobs(now, inputs);
    } else {
      std::stable_sort(inputs.begin(), inputs.end(),
                       [policy](const auto& a, const auto& b) {
                         if (policy == Policy::kArrival)
                           return a.arrived < b.arrived;
                         return a.objective - a.remaining_chain <
                                b.objective - b.remaining_chain;
                       });
      for (const JobOrderInput& input : inputs)
        order.push_back(input.position);
    }
    for (uint32_t position : order) {
      SimJob& job = jobs[position];
      while (job.waiting > 0 && running.size() < kServerSlots) {
        --job.waiting;
        ++job.running;
        running.emplace_back(now + Seconds(1), position);
      }
    }
  }
  return result;
}

// Guards against an order of jobs under which few jobs of a peak meet their
// objective. The baselines are first come first served and least slack first.
TEST_CASE("more jobs of a peak are on time than under simpler orders",
          "[placement]") {
  int on_time_by_order_jobs = 0;
  int on_time_by_arrival = 0;
  int on_time_by_slack = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    PeakResult result = SimulatePeak(Policy::kOrderJobs, seed);
    PeakResult by_arrival = SimulatePeak(Policy::kArrival, seed);
    on_time_by_order_jobs += result.on_time;
    on_time_by_arrival += by_arrival.on_time;
    on_time_by_slack += SimulatePeak(Policy::kLeastSlack, seed).on_time;
    // No job starves: as many jobs end as under first come first served.
    REQUIRE(result.on_time + result.late ==
            by_arrival.on_time + by_arrival.late);
  }
  INFO("on time: " << on_time_by_order_jobs << ", by arrival "
                   << on_time_by_arrival << ", by slack " << on_time_by_slack);
  REQUIRE(on_time_by_order_jobs > on_time_by_arrival);
  REQUIRE(on_time_by_order_jobs > on_time_by_slack);
}

}  // namespace
}  // namespace radishmoor
