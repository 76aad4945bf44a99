#include "radishmoor/jobs/task_dispatch.h"

#include <catch2/catch.hpp>
#include <ctime>
#include <set>
#include <string>

namespace radishmoor {
namespace {

const Time kNow = kTimeZero + Seconds(100);

// A pool with one job of one step; the test decides where its tasks run.
class TestPool {
 public:
  explicit TestPool(const StepSpec& step)
      : state_(PoolId("a"), PlatformBounds()) {
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.steps = {step};
    job_ = &state_.jobs.Add(JobId("j"), spec, kNow, kNow + Seconds(2));
  }

  ServerState& AddServer(const char* name) {
    ServerState& server = state_.servers.FindOrAdd(ServerId(name));
    server.listing.pool = state_.pool;
    server.listing.address = "10.0.0.1:1";
    server.listing.capacity = {16000, 64000, 0};
    server.listed = true;
    server.last_answer_at = server.doubt.last_listed_at = kNow;
    server.doubt.clock.Observe(kNow, kNow, 1000);
    server.doubt.lease_until = 4000;
    return server;
  }

  // Adds a run of task `index` that has been running for 100 ms.
  Run& AddRun(uint32_t index, const char* server, uint32_t progress_percent) {
    Task& task = job_->occurrences.at(0).tasks[index];
    Run run;
    run.number = ++task.last_run;
    run.server = ServerId(server);
    run.phase = RunPhase::kRunning;
    run.progress_percent = progress_percent;
    run.phase_since = run.start_sent_at = run.progress_changed_at =
        kNow - Milliseconds(100);
    task.runs.push_back(run);
    state_.servers.AddRun(run.server,
                          {{job_->id, 0, task.step, task.index}, run.number},
                          job_->StepOf(task));
    return task.runs.back();
  }

  // Returns how many runs a review stops once its decisions are stored.
  size_t ReviewAndCountStops() {
    Outbox outbox;
    now_ += Milliseconds(10);
    dispatch_.ReviewRunningTasks(now_, outbox);
    job_->stored_changes = job_->changes;
    runs_.Tick(now_, false, outbox);
    size_t stops = 0;
    for (const JobAction& action : outbox.TakeAllActions()) {
      const auto* order = std::get_if<OrderToServer>(&action);
      stops +=
          order != nullptr && std::holds_alternative<StopRun>(order->order);
    }
    return stops;
  }

  Time now_ = kNow;
  JobPoolState state_;
  RunControl runs_{state_};
  TaskDispatch dispatch_{state_, runs_};
  Job* job_ = nullptr;
};

StepSpec LongRunning(uint32_t count, uint32_t allowed_missing) {
  StepSpec step;
  step.count = count;
  step.request = {1000, 100, 0};
  step.long_running = true;
  step.allowed_missing = allowed_missing;
  return step;
}

// Guards against a task that runs on two servers, since the first one restarts
// and carries out an earlier start of it late.
TEST_CASE("a task stays with the server that may start it late", "[dispatch]") {
  for (bool answers : {true, false}) {
    StepSpec step;
    step.request = {1000, 100, 0};
    TestPool pool(step);
    ServerState& first = pool.AddServer("s1");
    // The other server is the better choice otherwise.
    first.slowness = 3;
    pool.AddServer("s2");
    Task& task = pool.job_->occurrences.at(0).tasks[0];
    auto plan = [&pool, &task](Time now) -> std::string {
      for (auto& [id, server] : pool.state_.servers.all())
        server.last_answer_at =
            server.last_answer_at ? std::optional(now) : std::nullopt;
      Outbox outbox;
      pool.dispatch_.PlanReadyTasks(now, outbox, 10);
      return task.runs.empty() ? "" : task.runs[0].server.str();
    };
    task.AddUnansweredStart({ServerId("s1"), kNow, true});
    task.ready_since = kNow;
    pool.state_.AddRestart(kNow);
    if (answers) {
      REQUIRE(plan(kNow) == "s1");
      continue;
    }
    // While it does not answer, it may have restarted and run the task.
    first.last_answer_at.reset();
    REQUIRE(plan(kNow + Seconds(5)) == "");
    REQUIRE(plan(kNow + Seconds(5)) == "");
    REQUIRE(plan(kNow + kLateOrderLimit) == "s2");
  }
}

// Guards against more tasks of a long-running step being unavailable at once
// than the step allows, because several of its servers are emptied at the same
// time.
TEST_CASE("at most allowed_missing long-running tasks are stopped at a time",
          "[dispatch]") {
  TestPool pool(LongRunning(4, 1));
  pool.AddServer("s1").vacating = true;
  pool.AddServer("s2").vacating = true;
  pool.AddServer("s3");
  pool.AddRun(0, "s1", 100);
  pool.AddRun(1, "s2", 100);
  pool.AddRun(2, "s3", 100);
  pool.AddRun(3, "s3", 100);
  REQUIRE(pool.ReviewAndCountStops() == 1);
  REQUIRE(pool.ReviewAndCountStops() == 0);
}

// Guards against stopping a task beyond the step's budget because it was still
// starting up at the last poll: it may be available by now.
TEST_CASE("a starting task is not stopped while another one is missing",
          "[dispatch]") {
  TestPool pool(LongRunning(3, 1));
  pool.AddServer("s1").vacating = true;
  pool.AddServer("s2");
  pool.AddRun(0, "s1", 60);
  pool.AddRun(1, "s2", 100);  // The third task is not running.
  REQUIRE(pool.ReviewAndCountStops() == 0);
  pool.AddRun(2, "s2", 100);
  REQUIRE(pool.ReviewAndCountStops() == 1);
}

// Guards against tasks that stay on a draining server until it ends. The budget
// does not apply, since the server leaves in any case.
TEST_CASE("long-running tasks on a draining server are stopped at once",
          "[dispatch]") {
  TestPool pool(LongRunning(3, 1));
  pool.AddServer("s1").listing.draining = true;
  pool.AddRun(0, "s1", 100);
  pool.AddRun(1, "s1", 100);
  REQUIRE(pool.ReviewAndCountStops() == 2);
}

// Guards against runs that stall forever, as on a server that hangs.
TEST_CASE("a stalled run is stopped and its server quarantined", "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(500);
  TestPool pool(step);
  pool.AddServer("s1");
  Run& run = pool.AddRun(0, "s1", 40);
  REQUIRE(pool.ReviewAndCountStops() == 0);
  run.phase_since = run.progress_changed_at = kNow - Seconds(3);
  REQUIRE(pool.ReviewAndCountStops() == 1);
  REQUIRE(pool.state_.servers.Find(ServerId("s1"))->quarantined_until > kNow);
}

// Guards against runs that are stopped although they get on: their server
// answers starts while its answers to polls, which tell of progress, are lost.
TEST_CASE("a run is not stopped for a lack of news of its progress",
          "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(500);
  step.long_running = GENERATE(false, true);
  step.allowed_missing = 1;
  TestPool pool(step);
  ServerState& server = pool.AddServer("s1");
  Run& run = pool.AddRun(0, "s1", 40);
  run.phase_since = run.progress_changed_at = kNow - Seconds(4);
  server.doubt.last_listed_at = kNow - Milliseconds(3900);
  REQUIRE(pool.ReviewAndCountStops() == 0);
  server.doubt.last_listed_at = kNow;
  REQUIRE(pool.ReviewAndCountStops() == 1);
}

// Guards against a pool at rest for seconds because one job has failed on all
// of its servers.
TEST_CASE("a quarantine of all servers of a pool does not stop it",
          "[dispatch]") {
  StepSpec step;
  step.count = 4;
  step.request = {1000, 100, 0};
  TestPool pool(step);
  ServerState& a = pool.AddServer("a");
  ServerState& b = pool.AddServer("b");
  a.quarantined_until = b.quarantined_until = kNow + Seconds(3);
  Outbox outbox;
  REQUIRE(pool.dispatch_.PlanReadyTasks(kNow, outbox, 2) == 2);
  // Servers that refuse starts are not used all the same.
  a.starts_refused_until = b.starts_refused_until = kNow + Seconds(1);
  REQUIRE(pool.dispatch_.PlanReadyTasks(kNow, outbox, 2) == 0);
  // A server outside the quarantine is preferred to all others.
  pool.AddServer("c");
  a.starts_refused_until = b.starts_refused_until = Time{};
  REQUIRE(pool.dispatch_.PlanReadyTasks(kNow, outbox, 2) == 2);
  REQUIRE(pool.state_.servers.Find(ServerId("c"))->runs.size() == 2);
}

// Guards against a plan that starts a task twice or exceeds the free resources
// of a server.
TEST_CASE("ready tasks are planned once, within the free resources",
          "[dispatch]") {
  Outbox outbox;
  StepSpec step;
  step.count = 5;
  step.request = {6000, 100, 0};
  step.estimate = Milliseconds(500);
  TestPool pool(step);
  pool.AddServer("s1");
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 2);
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 2);
  REQUIRE(
      pool.state_.servers.Find(ServerId("s1"))->FreeResources().cpu_millis ==
      4000);
}

TEST_CASE("a gang is planned only if all its tasks fit", "[dispatch]") {
  Outbox outbox;
  StepSpec step;
  step.count = 3;
  step.request = {6000, 100, 0};
  step.gang = true;
  TestPool pool(step);
  pool.AddServer("s1");
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned.empty());
  pool.AddServer("s2");
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 3);
}

// Guards against more tasks of a step being unavailable at once than it allows,
// because a server drains while another one is emptied.
TEST_CASE("tasks on draining servers count as missing", "[dispatch]") {
  TestPool pool(LongRunning(3, 1));
  pool.AddServer("s1").vacating = true;
  pool.AddServer("s2").listing.draining = true;
  pool.AddServer("s3");
  pool.AddRun(0, "s1", 100);
  pool.AddRun(1, "s2", 100);
  pool.AddRun(2, "s3", 100);
  // Only the task on the draining server is stopped.
  REQUIRE(pool.ReviewAndCountStops() == 1);
  REQUIRE_FALSE(pool.job_->occurrences.at(0).tasks[0].runs[0].stop_wanted);
}

// Guards against a second stop of a step by the next owner: until the end of
// the first run is listed, its server lists it as running.
TEST_CASE("a stop that an earlier owner decided counts as missing",
          "[dispatch]") {
  TestPool pool(LongRunning(2, 1));
  pool.AddServer("s1");
  pool.AddServer("s2").vacating = true;
  pool.AddRun(0, "s1", 100).stop_wanted = true;
  pool.AddRun(1, "s2", 100);
  // Only the stop of the first task is repeated.
  pool.state_.servers.Find(ServerId("s1"))->needs_run_check = true;
  pool.runs_.Wake(pool.now_);
  REQUIRE(pool.ReviewAndCountStops() == 1);
  REQUIRE_FALSE(pool.job_->occurrences.at(0).tasks[1].runs[0].stop_wanted);
}

// Guards against counting a task as available whose server may have been lost
// since it listed the task.
TEST_CASE("a task counts as missing if its server has not listed it lately",
          "[dispatch]") {
  TestPool pool(LongRunning(2, 1));
  pool.AddServer("s1").vacating = true;
  ServerState& silent = pool.AddServer("s2");
  pool.AddRun(0, "s1", 100);
  pool.AddRun(1, "s2", 100);
  silent.doubt.last_listed_at = kNow - Seconds(4);
  REQUIRE(pool.ReviewAndCountStops() == 0);
  silent.doubt.last_listed_at = kNow;
  REQUIRE(pool.ReviewAndCountStops() == 1);
}

// Guards against a best-effort task that stays throttled after a change of the
// owner, which took it to run at full speed.
TEST_CASE("the pace of an inherited run is set anew", "[dispatch]") {
  StepSpec step = LongRunning(1, 0);
  step.best_effort = true;
  TestPool pool(step);
  pool.AddServer("s1");
  pool.AddRun(0, "s1", 100);
  StoredProgress stored = pool.state_.jobs.ProgressOf(*pool.job_);
  pool.job_->occurrences.clear();
  pool.state_.jobs.Restore(*pool.job_, stored, kNow);
  Run& run = pool.job_->occurrences.at(0).tasks[0].runs[0];
  run.phase = RunPhase::kRunning;
  Outbox outbox;
  pool.dispatch_.ReviewRunningTasks(kNow, outbox);
  std::vector<uint32_t> paces;
  for (const JobAction& action : outbox.TakeAllActions()) {
    const auto* order = std::get_if<OrderToServer>(&action);
    if (order != nullptr && std::holds_alternative<PaceRun>(order->order))
      paces.push_back(std::get<PaceRun>(order->order).pace_percent);
  }
  REQUIRE(paces == std::vector<uint32_t>{100});
}

// Guards against a missing task that no server can take for as long as others
// are being emptied, which cannot go on without it.
TEST_CASE("a missing task may return to a server that is not empty yet",
          "[dispatch]") {
  TestPool pool(LongRunning(2, 1));
  pool.AddServer("s1").vacating = true;
  pool.AddServer("s2").vacating = true;
  pool.AddRun(0, "s1", 100);
  Task& missing = pool.job_->occurrences.at(0).tasks[1];
  Outbox outbox;
  missing.ready_since = kNow - Milliseconds(1900);
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(missing.runs.empty());
  pool.dispatch_.PlanReadyTasks(kNow + Milliseconds(200), outbox);
  REQUIRE(missing.runs.size() == 1);
  // The coordinator relies on an empty server.
  REQUIRE(missing.runs[0].server == ServerId("s1"));
}

// Guards against a stop that is repeated, since it was not answered, after
// another task of the step has become missing.
TEST_CASE("a stop is not repeated while another task is missing",
          "[dispatch]") {
  TestPool pool(LongRunning(2, 1));
  pool.AddServer("s1").vacating = true;
  ServerState& other = pool.AddServer("s2");
  Run& run = pool.AddRun(0, "s1", 100);
  pool.AddRun(1, "s2", 100);
  REQUIRE(pool.ReviewAndCountStops() == 1);
  // The stop is lost, and the server of the other task drains.
  run.stop_tag = 0;
  other.listing.draining = true;
  Outbox outbox;
  pool.runs_.Tick(pool.now_ + Seconds(1), false, outbox);
  for (const JobAction& action : outbox.TakeAllActions()) {
    const auto* order = std::get_if<OrderToServer>(&action);
    REQUIRE((order == nullptr || order->server != ServerId("s1") ||
             !std::holds_alternative<StopRun>(order->order)));
  }
}

// Returns the processor time of a review of `count` tasks that run on as many
// full servers, each at `progress_percent` after 4 s. Its sibling is done.
double ReviewSeconds(uint32_t count, uint32_t progress_percent) {
  StepSpec step;
  step.count = count;
  step.request = {16'000, 100, 0};
  step.estimate = Milliseconds(500);
  step.speculative = true;
  TestPool pool(step);
  for (uint32_t i = 0; i < count; ++i) {
    std::string name = "s" + std::to_string(i);
    pool.AddServer(name.c_str());
    Run& run = pool.AddRun(i, name.c_str(), progress_percent);
    run.phase_since = kNow - Seconds(4);
  }
  Outbox outbox;
  std::clock_t start = std::clock();
  pool.dispatch_.ReviewRunningTasks(kNow, outbox);
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

// Guards against an owner that is busy for longer than the period of its
// reviews when a large pool without room has many stragglers.
TEST_CASE("stragglers in a full pool cost little processor time",
          "[dispatch]") {
  constexpr uint32_t kTasks = 1000;
  double none = ReviewSeconds(kTasks, 95);
  double all = ReviewSeconds(kTasks, 1);
  INFO(all << " s with stragglers, " << none << " s without");
  REQUIRE(all < 5 * none + 0.005);
}

// Guards against starts by the capacity and the labels of a server's earlier
// incarnation: a server may restart under its id as another kind.
TEST_CASE("no run is planned by the listing of an earlier incarnation",
          "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  TestPool pool(step);
  ServerState& server = pool.AddServer("s1");
  server.listing.incarnation_started_at = 1000;
  server.doubt.incarnation_started_at = 2000;
  Outbox outbox;
  REQUIRE(pool.dispatch_.PlanReadyTasks(kNow, outbox) == 0);
  server.listing.incarnation_started_at = 2000;
  REQUIRE(pool.dispatch_.PlanReadyTasks(kNow, outbox) == 1);
}

// Guards against starts on servers that the placement adviser has not admitted,
// and against a request to the adviser with each plan.
TEST_CASE("a step that needs advice is planned only on admitted servers",
          "[dispatch]") {
  StepSpec step;
  step.count = 2;
  step.request = {1000, 100, 0};
  TestPool pool(step);
  pool.AddServer("s1");
  pool.AddServer("s2");
  pool.state_.queues[QueueId("q")].settings.needs_advice = true;
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned.empty());
  std::vector<JobAction> actions = outbox.TakeAllActions();
  REQUIRE(actions.size() == 1);
  const auto& advice_request = std::get<PlacementAdviceRequest>(actions[0]);
  REQUIRE(advice_request.servers.size() == 2);
  REQUIRE(pool.state_.advice.OnReply(
      kNow,
      {advice_request.tag, true, {{ServerId("s2"), "ticket"}}, Seconds(3)}));
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 2);
  TaskId task{JobId("j"), 0, 0, 0};
  REQUIRE(pool.state_.jobs.FindTask(task)->runs[0].server == ServerId("s2"));
  REQUIRE(
      pool.state_.servers.Find(ServerId("s2"))->FreeResources().cpu_millis ==
      14000);
  REQUIRE(pool.state_.advice.TicketFor(task, ServerId("s2")) == "ticket");
  pool.state_.advice.Drop(task, ServerId("s2"));
  REQUIRE(pool.state_.advice.TicketFor(task, ServerId("s2")).empty());
}

// Answers all requests to the placement adviser that are in `outbox`. It admits
// the servers of `admitted`. Returns the number of servers asked about.
size_t Advise(TestPool& pool,
              Outbox& outbox,
              const std::set<ServerId>& admitted) {
  size_t asked = 0;
  for (const JobAction& action : outbox.TakeAllActions()) {
    const auto* request = std::get_if<PlacementAdviceRequest>(&action);
    if (request == nullptr)
      continue;
    PlacementAdviceReply reply;
    reply.tag = request->tag;
    reply.answered = true;
    reply.valid = Seconds(10);
    for (const ServerId& server : request->servers) {
      ++asked;
      if (admitted.contains(server))
        reply.admitted.push_back({server, "ticket"});
    }
    pool.state_.advice.OnReply(kNow, reply);
  }
  return asked;
}

// Guards against a job that never starts, because the adviser is asked about
// the same servers again and again while it would admit another one.
TEST_CASE("the adviser is asked about all servers in turn", "[dispatch]") {
  StepSpec step;
  step.count = 2;
  step.request = {10'000, 100, 0};
  TestPool pool(step);
  for (int i = 100; i < 170; ++i)
    pool.AddServer(("s" + std::to_string(i)).c_str());
  pool.state_.queues[QueueId("q")].settings.needs_advice = true;
  // s105 is admitted, but has room for one task only.
  std::set<ServerId> admitted{ServerId("s105"), ServerId("s165")};
  Outbox outbox;
  size_t asked = 0;
  for (int plan = 0; plan < 6; ++plan) {
    pool.dispatch_.PlanReadyTasks(kNow, outbox);
    asked += Advise(pool, outbox, admitted);
  }
  REQUIRE(asked == 70);
  REQUIRE(pool.state_.servers.Find(ServerId("s105"))->runs.size() == 1);
  REQUIRE(pool.state_.servers.Find(ServerId("s165"))->runs.size() == 1);
}

// Guards against requests to the adviser with each plan when it has refused all
// servers.
TEST_CASE("the adviser is asked again after a while", "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  TestPool pool(step);
  pool.AddServer("s1");
  pool.state_.queues[QueueId("q")].settings.needs_advice = true;
  Outbox outbox;
  size_t asked = 0;
  for (int plan = 0; plan < 6; ++plan) {
    pool.dispatch_.PlanReadyTasks(kNow, outbox);
    asked += Advise(pool, outbox, {});
  }
  REQUIRE(asked == 1);
}

// A pool of 40 servers whose queue needs advice. The adviser admits s104, which
// is among the first servers that it is asked about, and others after them.
class AdvisedPool : public TestPool {
 public:
  explicit AdvisedPool(const StepSpec& step) : TestPool(step) {
    for (int i = 100; i < 140; ++i)
      AddServer(("s" + std::to_string(i)).c_str());
    state_.queues[QueueId("q")].settings.needs_advice = true;
    state_.queues[QueueId("q")].settings.max_attempts = 3;
  }

  // Plans and answers all requests `rounds` times.
  void PlanWithAdvice(const std::set<ServerId>& admitted, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Outbox outbox;
      dispatch_.PlanReadyTasks(kNow, outbox);
      Advise(*this, outbox, admitted);
    }
  }

  // Returns the server of the task's only run; empty if it has none.
  ServerId ServerOf(uint32_t index) {
    const Task& task = job_->occurrences.at(0).tasks[index];
    return task.runs.empty() ? ServerId() : task.runs[0].server;
  }
};

// Guards against a gang that starts only when the tickets of its first servers
// have expired, because nothing is asked while one of them is valid.
TEST_CASE("a gang that needs more servers than are admitted asks about others",
          "[dispatch]") {
  StepSpec step;
  step.count = 3;
  step.request = {9000, 100, 0};
  step.gang = true;
  AdvisedPool pool(step);
  pool.PlanWithAdvice({ServerId("s104"), ServerId("s111"), ServerId("s137")},
                      4);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 3);
}

// Guards against tasks that wait for the tickets of the admitted servers to
// expire, because these run as many tasks of the step as they may.
TEST_CASE("a step with a limit on each server asks about others",
          "[dispatch]") {
  StepSpec step;
  step.count = 4;
  step.request = {1000, 100, 0};
  step.max_per_server = 1;
  AdvisedPool pool(step);
  pool.PlanWithAdvice(
      {ServerId("s104"), ServerId("s111"), ServerId("s137"), ServerId("s138")},
      4);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 4);
}

// Guards against a colocated step that waits for its first tickets to expire.
TEST_CASE("a colocated step asks about the servers that it lacks",
          "[dispatch]") {
  StepSpec step;
  step.count = 2;
  step.request = {9000, 100, 0};
  step.colocated = true;
  AdvisedPool pool(step);
  pool.PlanWithAdvice({ServerId("s104"), ServerId("s137")}, 4);
  REQUIRE(pool.state_.planned[JobId("j")].size() == 2);
}

// Guards against attempts that all fail on the one admitted server of the first
// request.
TEST_CASE("a task that has failed asks about servers other than the admitted",
          "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  AdvisedPool pool(step);
  std::set<ServerId> admitted{ServerId("s104"), ServerId("s137")};
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  Advise(pool, outbox, admitted);
  Task& task = pool.job_->occurrences.at(0).tasks[0];
  task.failures = 1;
  task.failed_on = {ServerId("s104")};
  task.ready_since = kNow;
  pool.PlanWithAdvice(admitted, 3);
  REQUIRE(pool.ServerOf(0) == ServerId("s137"));
}

// Guards against a last attempt that waits for the ticket of a server without
// trust to expire.
TEST_CASE("a last attempt asks about trusted servers", "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  AdvisedPool pool(step);
  std::set<ServerId> admitted{ServerId("s104"), ServerId("s137")};
  ServerState& failing = *pool.state_.servers.Find(ServerId("s104"));
  failing.failure_score = 2;
  failing.last_success_at = kNow - Seconds(60);
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  Advise(pool, outbox, admitted);
  Task& task = pool.job_->occurrences.at(0).tasks[0];
  task.failures = 2;
  task.ready_since = kNow;
  pool.PlanWithAdvice(admitted, 3);
  REQUIRE(pool.ServerOf(0) == ServerId("s137"));
}

// Guards against tasks that run away from their data although the adviser would
// admit a server next to it.
TEST_CASE("servers next to the data are asked about first", "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  step.data_rack = RackId("r2");
  AdvisedPool pool(step);
  for (auto& [id, server] : pool.state_.servers.all())
    server.listing.rack = RackId(id < ServerId("s132") ? "r1" : "r2");
  pool.PlanWithAdvice({ServerId("s104"), ServerId("s137")}, 3);
  REQUIRE(pool.ServerOf(0) == ServerId("s137"));
}

// Guards against requests about one server each when the adviser takes long for
// a request, and against requests that take far longer than usual.
TEST_CASE("the number of servers in a request follows the adviser's pace",
          "[dispatch]") {
  auto servers_asked = [](AdviserPace pace) {
    StepSpec step;
    step.request = {1000, 100, 0};
    AdvisedPool pool(step);
    pool.state_.queues[QueueId("q")].settings.adviser_pace = pace;
    Outbox outbox;
    pool.dispatch_.PlanReadyTasks(kNow, outbox);
    return Advise(pool, outbox, {});
  };
  REQUIRE(servers_asked({}) == 30);
  REQUIRE(servers_asked({Milliseconds(20), Milliseconds(1)}) == 30);
  REQUIRE(servers_asked({Milliseconds(2100), Milliseconds(1)}) == 30);
  REQUIRE(servers_asked({Milliseconds(20), Milliseconds(100)}) == 10);
  REQUIRE(servers_asked({Milliseconds(20), Milliseconds(5000)}) == 1);
}

// Guards against requests about servers that were not admitted: each one
// delays the requests of other jobs.
TEST_CASE("a refused server is asked about again only after a restart",
          "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  TestPool pool(step);
  ServerState& server = pool.AddServer("s1");
  server.doubt.incarnation_started_at = 1000;
  pool.state_.queues[QueueId("q")].settings.needs_advice = true;
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(Advise(pool, outbox, {}) == 1);
  pool.dispatch_.PlanReadyTasks(kNow + Seconds(2), outbox);
  REQUIRE(Advise(pool, outbox, {}) == 0);
  server.doubt.incarnation_started_at = 2000;
  pool.dispatch_.PlanReadyTasks(kNow + Seconds(2), outbox);
  REQUIRE(Advise(pool, outbox, {}) == 1);
}

// Guards against a server that is kept free for a task that may not run there.
TEST_CASE("no server is reserved for a step that is admitted to none",
          "[dispatch]") {
  StepSpec step;
  step.request = {9000, 100, 0};
  TestPool pool(step);
  pool.AddServer("s1");
  pool.state_.queues[QueueId("q")].settings.needs_advice = true;
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(Advise(pool, outbox, {}) == 1);
  JobSpec spec;
  spec.queue = QueueId("other");
  spec.steps = {step};
  spec.steps[0].request = {1000, 100, 0};
  pool.state_.jobs.Add(JobId("k"), spec, kNow + Seconds(1), kNow + Seconds(9));
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("k")].size() == 1);
}

// Guards against servers that are kept free without end for tasks that do not
// fit beside long-running ones: a small job waited beside 18 free cores.
TEST_CASE("no server is reserved that long-running tasks keep too full",
          "[dispatch]") {
  StepSpec step = LongRunning(2, 1);
  step.request = {9000, 100, 0};
  TestPool pool(step);
  pool.AddServer("s1");
  pool.AddRun(0, "s1", 100);  // The second task does not fit beside it.
  JobSpec spec;
  spec.queue = QueueId("q");
  spec.steps = {StepSpec()};
  spec.steps[0].request = {1000, 100, 0};
  pool.state_.jobs.Add(JobId("k"), spec, kNow, kNow + Seconds(9));
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  REQUIRE(pool.state_.planned[JobId("k")].size() == 1);
}

// Guards against copies of stragglers that start without a ticket and are
// refused.
TEST_CASE("a copy of a straggler starts on an admitted server only",
          "[dispatch]") {
  StepSpec step;
  step.count = 3;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(500);
  step.speculative = true;
  AdvisedPool pool(step);
  std::set<ServerId> admitted{ServerId("s104"), ServerId("s111")};
  Outbox outbox;
  pool.dispatch_.PlanReadyTasks(kNow, outbox);
  Advise(pool, outbox, admitted);
  Run& straggler = pool.AddRun(0, "s104", 5);
  straggler.phase_since = kNow - Seconds(3);
  pool.ReviewAndCountStops();
  const Task& task = pool.job_->occurrences.at(0).tasks[0];
  REQUIRE(task.runs.size() == 2);
  REQUIRE(task.runs[1].server == ServerId("s111"));
}

// Guards against a task that never ends because each server that it is moved to
// is emptied next: one task was stopped 39 times in 40 s.
TEST_CASE("a task is moved off emptied servers at most twice", "[dispatch]") {
  StepSpec step;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(500);
  step.checkpointing = true;
  TestPool pool(step);
  size_t stops = 0;
  for (const char* name : {"s1", "s2", "s3", "s4", "s5"}) {
    ServerState& server = pool.AddServer(name);
    server.vacating = true;
    server.vacate_started_at = kNow;
    pool.AddRun(0, name, 2);
    stops += pool.ReviewAndCountStops();
    pool.state_.jobs.FindTask({JobId("j"), 0, 0, 0})->runs.clear();
  }
  REQUIRE(stops == 2);
  // The limit does not apply to a draining server: the work would be lost with
  // the server.
  pool.AddServer("s6").listing.draining = true;
  pool.AddRun(0, "s6", 2);
  REQUIRE(pool.ReviewAndCountStops() == 1);
}

// Guards against tasks that are moved to other servers only because their step
// takes longer than the caller's estimate: 582 of 20,000 tasks on a day without
// disturbances.
TEST_CASE("a task is moved only if it is slower than its siblings",
          "[dispatch]") {
  StepSpec step;
  step.count = 4;
  step.request = {1000, 100, 0};
  step.estimate = Milliseconds(300);
  auto count_stops = [&](uint32_t first_percent, uint32_t other_percent) {
    TestPool pool(step);
    const char* names[] = {"s1", "s2", "s3", "s4"};
    for (uint32_t i = 0; i < 4; ++i) {
      pool.AddServer(names[i]).slowness = 2.5;
      bool first = i == 0;
      Run& run =
          pool.AddRun(i, names[i], first ? first_percent : other_percent);
      run.phase_since = run.start_sent_at =
          kNow - Milliseconds(first ? 1200 : 1000);
    }
    return pool.ReviewAndCountStops();
  };
  REQUIRE(count_stops(50, 50) == 0);
  REQUIRE(count_stops(5, 95) == 1);
}

}  // namespace
}  // namespace radishmoor
