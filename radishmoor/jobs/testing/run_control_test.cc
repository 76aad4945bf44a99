#include "radishmoor/jobs/run_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

#include "radishmoor/jobs/task_dispatch.h"

namespace radishmoor {
namespace {

constexpr WallMillis kFirstIncarnation = 1'800'000'000'000;
constexpr WallMillis kSecondIncarnation = kFirstIncarnation + 60'000;

// The runs of one task on one server, which the test answers for.
class TestServer {
 public:
  explicit TestServer(const StepSpec& step = {}) {
    state_.lease_renewed_at = now_;
    JobSpec spec;
    spec.queue = QueueId("q");
    spec.steps = {step};
    state_.jobs.Add(job_, spec, now_, now_ + Seconds(2));
    ServerState& server = state_.servers.FindOrAdd(id_);
    server.listing.pool = state_.pool;
    server.listing.address = "10.0.0.1:1";
    server.listing.capacity = {16000, 64000, 0};
    server.listed = true;
    server.doubt.clock.Observe(now_, now_, 50'000);
    server.last_answer_at = server.doubt.last_listed_at = now_;
    server.doubt.incarnation_started_at = kFirstIncarnation;
    server.next_poll_at = kTimeMax;
  }

  ServerState& server() { return *state_.servers.Find(id_); }
  Run* FindRun() { return state_.jobs.FindRun(ref_); }

  void PlanRun() {
    Job& job = *state_.jobs.Find(job_);
    Task& task = job.occurrences.at(0).tasks[0];
    task.last_run = ref_.run;
    task.runs.push_back({.number = ref_.run, .server = id_});
    state_.servers.AddRun(id_, ref_, job.StepOf(task));
  }

  // Plans and starts the run; returns the tag of the start.
  uint64_t SendStart() {
    PlanRun();
    runs_.SendStart(now_, ref_, outbox_);
    return TakeOrders().at(0).tag;
  }

  std::vector<OrderToServer> TakeOrders() {
    std::vector<OrderToServer> orders;
    for (JobAction& action : outbox_.TakeAllActions()) {
      if (auto* order = std::get_if<OrderToServer>(&action))
        orders.push_back(std::move(*order));
    }
    return orders;
  }

  // Returns how many stops were ordered since the orders were last taken.
  int64_t CountStops() {
    std::vector<OrderToServer> orders = TakeOrders();
    return std::count_if(orders.begin(), orders.end(),
                         [](const OrderToServer& order) {
                           return std::holds_alternative<StopRun>(order.order);
                         });
  }

  // Answers the order with status 200 and the server's clock.
  void Answer(uint64_t tag, ServerMillis clock) {
    ServerReply reply;
    reply.tag = tag;
    reply.server = id_;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = clock;
    runs_.OnReply(now_, reply, outbox_);
  }

  void LoseAnswer(uint64_t tag,
                  OrderOutcome outcome = OrderOutcome::kUnanswered) {
    ServerReply reply;
    reply.tag = tag;
    reply.server = id_;
    reply.outcome = outcome;
    runs_.OnReply(now_, reply, outbox_);
  }

  // Answers the poll as the given incarnation, which runs the task or not.
  void AnswerPoll(uint64_t tag,
                  ServerMillis clock,
                  bool runs_task,
                  WallMillis incarnation = kSecondIncarnation) {
    ServerReply reply;
    reply.tag = tag;
    reply.server = id_;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = clock;
    reply.incarnation_started_at = incarnation;
    if (runs_task)
      reply.running.push_back({ref_.task, ref_.run, "", 10, 0});
    runs_.OnReply(now_, reply, outbox_);
  }

  Time now_ = kTimeZero + Seconds(100);
  ServerId id_{"s"};
  JobId job_{"j"};
  RunRef ref_{{job_, 0, 0, 0}, 1};
  JobPoolState state_{PoolId("a"), PlatformBounds()};
  RunControl runs_{state_};
  Outbox outbox_;
};

// Guards against a stop that the next owner does not know of: it would count
// the task as available until the end of the run is listed.
TEST_CASE("a long-running task is stopped only after that is stored",
          "[run-control]") {
  for (bool long_running : {true, false}) {
    StepSpec step;
    step.long_running = long_running;
    TestServer test(step);
    test.Answer(test.SendStart(), 50'001);
    Job& job = *test.state_.jobs.Find(test.job_);
    job.stored_changes = job.changes;
    test.runs_.RequestStop(test.now_, test.ref_.task, test.ref_.run,
                           "server-leaves", test.outbox_);
    REQUIRE(test.CountStops() == (long_running ? 0 : 1));
    // The next owner finds the decision in the stored progress.
    JobTable next_jobs;
    Job& restored = next_jobs.Add(test.job_, job.spec, test.now_, test.now_);
    next_jobs.Restore(restored, test.state_.jobs.ProgressOf(job), test.now_);
    REQUIRE(next_jobs.FindRun(test.ref_)->stop_wanted);
    if (!long_running)
      continue;
    test.now_ += Milliseconds(10);
    test.runs_.Tick(test.now_, false, test.outbox_);
    REQUIRE(test.CountStops() == 0);
    job.stored_changes = job.changes;
    test.runs_.OnStored(test.now_);
    test.now_ += Milliseconds(10);
    test.runs_.Tick(test.now_, false, test.outbox_);
    REQUIRE(test.CountStops() == 1);
  }
}

// Guards against a stop of a task that may be at work: its start was not
// answered, and neither was a poll yet.
TEST_CASE("a long-running task is not stopped for want of an answer",
          "[run-control]") {
  StepSpec step;
  step.long_running = true;
  TestServer test(step);
  uint64_t start = test.SendStart();
  FencingToken first_token = test.state_.TokenFor(test.server());
  ServerReply unanswered;
  unanswered.tag = start;
  unanswered.server = test.id_;
  unanswered.outcome = OrderOutcome::kUnanswered;
  test.runs_.OnReply(test.now_, unanswered, test.outbox_);
  uint64_t poll_tag = test.TakeOrders().at(0).tag;
  for (int i = 0; i < 10; ++i) {
    test.now_ += Milliseconds(100);
    test.runs_.Tick(test.now_, false, test.outbox_);
    REQUIRE(test.CountStops() == 0);
  }
  // A list without the run settles it: the server refuses the start, which has
  // a lower token than the poll, and gets it again.
  ServerReply listed;
  listed.tag = poll_tag;
  listed.server = test.id_;
  listed.outcome = OrderOutcome::kDone;
  listed.clock = 51'000;
  listed.incarnation_started_at = kFirstIncarnation;
  test.runs_.OnReply(test.now_, listed, test.outbox_);
  std::vector<OrderToServer> orders = test.TakeOrders();
  REQUIRE(orders.size() == 1);
  REQUIRE(std::get<StartRun>(orders[0].order).run == test.ref_.run);
  REQUIRE(orders[0].token > first_token);
}

// Guards against a second run of a task that a restarted server has just
// started: the list shows the restart after the start was answered.
TEST_CASE("a restart ends only runs that were listed before", "[run-control]") {
  for (bool runs_task : {true, false}) {
    TestServer test;
    test.Answer(test.SendStart(), 50'001);
    test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                   test.outbox_);
    REQUIRE(test.FindRun() != nullptr);
    std::vector<OrderToServer> orders = test.TakeOrders();
    REQUIRE(orders.size() == 1);
    test.AnswerPoll(orders[0].tag, 120, runs_task);
    REQUIRE((test.FindRun() != nullptr) == runs_task);
    // The next restart ends a run that a poll has listed.
    test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation + 1,
                                   test.outbox_);
    REQUIRE(test.FindRun() == nullptr);
  }
}

// Guards against a second server for a task whose start was not answered: the
// first one may carry out the start after a restart.
TEST_CASE("a start without an answer is repeated at the same server",
          "[run-control]") {
  TestServer test;
  uint64_t start = test.SendStart();
  FencingToken token = test.state_.TokenFor(test.server());
  for (int repeated = 0; repeated <= 2; ++repeated) {
    test.LoseAnswer(start);
    REQUIRE(test.state_.TokenFor(test.server()) > token);
    token = test.state_.TokenFor(test.server());
    std::vector<OrderToServer> polls = test.TakeOrders();
    REQUIRE(polls.size() == 1);
    REQUIRE(polls[0].token == token);
    test.AnswerPoll(polls[0].tag, 50'010, false, kFirstIncarnation);
    std::vector<OrderToServer> orders = test.TakeOrders();
    if (repeated == 2)
      break;
    REQUIRE(orders.size() == 1);
    REQUIRE(std::get<StartRun>(orders[0].order).run == test.ref_.run);
    start = orders[0].tag;
  }
  // The server does not get it a fourth time.
  REQUIRE(test.FindRun() == nullptr);
}

// Guards against a poll that was sent before the loss of a start was known: it
// does not keep the server from carrying out the start.
TEST_CASE("a poll with an earlier token does not settle a start",
          "[run-control]") {
  TestServer test;
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.now_ += Milliseconds(10);
  test.runs_.Tick(test.now_, true, test.outbox_);
  uint64_t earlier_poll = test.TakeOrders().at(0).tag;
  test.LoseAnswer(test.SendStart());
  test.TakeOrders();
  test.AnswerPoll(earlier_poll, 50'020, false, kFirstIncarnation);
  REQUIRE(test.FindRun() != nullptr);
  REQUIRE(test.TakeOrders().empty());
}

// Guards against a success that is final, for the callers and for the server,
// while a late start of its task may still be carried out by a server that
// restarts.
TEST_CASE("a success is not final while a start may come late",
          "[run-control]") {
  for (bool frequent_restarts : {true, false}) {
    TestServer test;
    test.server().next_poll_at = kTimeMax;
    if (frequent_restarts)
      test.state_.AddRestart(test.now_);
    Time sent = test.now_;
    test.LoseAnswer(test.SendStart());
    auto poll = [&test] {
      test.state_.lease_renewed_at = test.now_;
      test.server().next_poll_at = test.now_;
      test.runs_.Wake(test.now_);
      test.runs_.Tick(test.now_, true, test.outbox_);
      std::vector<OrderToServer> orders = test.TakeOrders();
      Job& job = *test.state_.jobs.Find(test.job_);
      job.stored_changes = job.changes;
      test.runs_.OnStored(test.now_);
      REQUIRE_FALSE(orders.empty());
      return orders;
    };
    ServerReply reply;
    reply.tag = test.TakeOrders().at(0).tag;
    reply.server = test.id_;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = 50'020;
    reply.incarnation_started_at = kFirstIncarnation;
    reply.ended.push_back({1, test.ref_.task, test.ref_.run, RunEnd::kDone});
    test.runs_.OnReply(test.now_, reply, test.outbox_);
    const Job& job = *test.state_.jobs.Find(test.job_);
    REQUIRE((job.state == JobState::kCompleted) == !frequent_restarts);
    REQUIRE(test.FindRun() == nullptr);
    if (!frequent_restarts)
      continue;
    // The next owner knows of it, and neither starts the task again.
    REQUIRE_FALSE(test.state_.jobs.FindTask(test.ref_.task)->idle());
    JobTable next_jobs;
    Job& restored = next_jobs.Add(test.job_, job.spec, test.now_, test.now_);
    next_jobs.Restore(restored, test.state_.jobs.ProgressOf(job), test.now_);
    REQUIRE_FALSE(next_jobs.FindTask(test.ref_.task)->idle());
    REQUIRE_FALSE(next_jobs.FindTask(test.ref_.task)->done);
    REQUIRE(next_jobs.FindTask(test.ref_.task)->provisional_success->final_at >
            test.now_);
    // The one after it does not wait again.
    JobTable third_jobs;
    Job& again = third_jobs.Add(test.job_, job.spec, test.now_, test.now_);
    third_jobs.Restore(again, next_jobs.ProgressOf(restored), test.now_);
    REQUIRE(
        third_jobs.FindTask(test.ref_.task)->provisional_success->final_at ==
        test.now_);
    while (test.now_ < sent + kLateOrderLimit) {
      REQUIRE(job.state == JobState::kInProgress);
      std::vector<OrderToServer> orders = poll();
      *reply.clock += 1000;
      test.now_ += Seconds(1);
      for (const OrderToServer& order : orders) {
        REQUIRE(std::get<PollServer>(order.order).acknowledged == 0);
        reply.tag = order.tag;
        test.runs_.OnReply(test.now_, reply, test.outbox_);
      }
    }
    poll();
    REQUIRE(job.state == JobState::kCompleted);
    REQUIRE(test.server().last_stored_end == 1);
  }
}

// Guards against a start beyond the capacity of its server, or on one without
// the label that its step requires: the server has restarted as another kind of
// host between the plan and the commit that stores it.
TEST_CASE("a planned start is checked against the restarted server",
          "[run-control]") {
  enum class Change { kNone, kSmaller, kOtherLabel };
  for (Change change : {Change::kNone, Change::kSmaller, Change::kOtherLabel}) {
    StepSpec step;
    step.request = {4000, 100, 0};
    step.requirement = "fast";
    TestServer test(step);
    test.server().listing.labels = {"fast", "r1"};
    test.PlanRun();
    if (change == Change::kSmaller)
      test.server().listing.capacity.cpu_millis = 2000;
    if (change == Change::kOtherLabel)
      test.server().listing.labels = {"slow", "r1"};
    test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                   test.outbox_);
    test.server().next_poll_at = test.now_;
    test.runs_.Wake(test.now_);
    test.runs_.Tick(test.now_, true, test.outbox_);
    test.AnswerPoll(test.TakeOrders().at(0).tag, 120, false);
    test.TakeOrders();
    test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
    bool sent = change == Change::kNone;
    REQUIRE(test.TakeOrders().size() == (sent ? 1 : 0));
    REQUIRE((test.FindRun() != nullptr) == sent);
  }
}

// Guards against successes that are held back on days without restarts: a new
// owner's first answer from a server, to an order other than a poll, counted as
// a restart.
TEST_CASE("a server's first answer to an owner is no restart",
          "[run-control]") {
  for (bool known : {false, true}) {
    TestServer test;
    if (!known)
      test.server().doubt.clock.Reset();
    test.PlanRun();
    test.FindRun()->phase = RunPhase::kInherited;
    test.runs_.RequestStop(test.now_, test.ref_.task, test.ref_.run, "test",
                           test.outbox_);
    test.Answer(test.TakeOrders().at(0).tag, 10);
    REQUIRE(test.state_.RestartsAreFrequent(test.now_) == known);
  }
}

// Guards against a success that stays provisional on a server that leaves: its
// end is lost with the server, and the task counts as one that has no run.
TEST_CASE("a success on a server that leaves is final", "[run-control]") {
  for (bool leaves_before : {false, true}) {
    TestServer test;
    test.state_.AddRestart(test.now_);
    test.LoseAnswer(test.SendStart());
    test.server().vacating = leaves_before;
    ServerReply reply;
    reply.tag = test.TakeOrders().at(0).tag;
    reply.server = test.id_;
    reply.outcome = OrderOutcome::kDone;
    reply.clock = 50'020;
    reply.incarnation_started_at = kFirstIncarnation;
    reply.ended.push_back({1, test.ref_.task, test.ref_.run, RunEnd::kDone});
    test.runs_.OnReply(test.now_, reply, test.outbox_);
    const Job& job = *test.state_.jobs.Find(test.job_);
    REQUIRE((job.state == JobState::kCompleted) == leaves_before);
    test.server().vacating = true;
    test.now_ += Milliseconds(10);
    test.runs_.Wake(test.now_);
    test.runs_.Tick(test.now_, true, test.outbox_);
    REQUIRE(job.state == JobState::kCompleted);
  }
}

// Guards against a server that keeps all its later ends because a job was
// cancelled while one of its successes was provisional.
TEST_CASE("the end of a job releases its provisional successes",
          "[run-control]") {
  TestServer test;
  test.state_.AddRestart(test.now_);
  test.LoseAnswer(test.SendStart());
  ServerReply reply;
  reply.tag = test.TakeOrders().at(0).tag;
  reply.server = test.id_;
  reply.outcome = OrderOutcome::kDone;
  reply.clock = 50'020;
  reply.incarnation_started_at = kFirstIncarnation;
  reply.ended.push_back({1, test.ref_.task, test.ref_.run, RunEnd::kDone});
  test.runs_.OnReply(test.now_, reply, test.outbox_);
  test.now_ += Seconds(1);
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.runs_.Tick(test.now_, true, test.outbox_);
  reply.tag = test.TakeOrders().at(0).tag;
  reply.clock = 51'020;
  Job& job = *test.state_.jobs.Find(test.job_);
  test.state_.jobs.MarkEnded(job, JobState::kCancelled, test.now_);
  test.runs_.StopJob(test.now_, job, "job-cancelled", test.outbox_);
  // Closes the job before the next tick.
  test.runs_.OnReply(test.now_, reply, test.outbox_);
  REQUIRE(test.state_.jobs.FindTask(test.ref_.task) == nullptr);
  for (int i = 0; i < 2; ++i) {
    test.now_ += Seconds(1);
    test.runs_.Wake(test.now_);
    test.runs_.Tick(test.now_, true, test.outbox_);
    job.stored_changes = job.changes;
    test.runs_.OnStored(test.now_);
  }
  REQUIRE(test.server().last_stored_end == 1);
}

// Guards against late starts that a restarted server carries out before its
// owner's first order: the owner has to notice the restart, and to repeat the
// order while the server is down or swallows it.
TEST_CASE("a lost connection is followed by polls until one is answered",
          "[run-control]") {
  TestServer test;
  test.LoseAnswer(test.SendStart());
  uint64_t poll = test.TakeOrders().at(0).tag;
  FencingToken token = test.state_.TokenFor(test.server());
  test.LoseAnswer(poll, OrderOutcome::kConnectionLost);
  std::vector<OrderToServer> polls;
  for (int i = 0; i < 10; ++i) {
    test.now_ += Milliseconds(5);
    test.runs_.Tick(test.now_, false, test.outbox_);
    for (OrderToServer& order : test.TakeOrders())
      polls.push_back(std::move(order));
  }
  REQUIRE(polls.size() == 10);
  REQUIRE(polls[0].token > token);
  // Unanswered ones do not block the next ones; an answer ends them.
  test.AnswerPoll(polls[8].tag, 50'050, true, kFirstIncarnation);
  REQUIRE_FALSE(test.server().doubt.probing_since);
}

// Guards against a lease that is taken to end before it does: a server that has
// restarted shortens a lease by its own clock, which starts anew.
TEST_CASE("a clock that falls back shows a restart", "[run-control]") {
  TestServer test;
  test.server().last_applied_end = test.server().last_stored_end = 57;
  test.Answer(test.SendStart(), 300);
  REQUIRE_FALSE(test.server().doubt.clock.known());
  std::vector<OrderToServer> orders = test.TakeOrders();
  REQUIRE(orders.size() == 1);
  const auto& poll = std::get<PollServer>(orders[0].order);
  // The ends of the new incarnation have other numbers.
  REQUIRE(poll.acknowledged == 0);
  REQUIRE(poll.lease_until == 0);
  Duration longest = ServerClock::LongestTimeFor(test.state_.bounds.max_lease);
  REQUIRE_FALSE(
      test.server().doubt.LeasesExpired(test.now_ + longest - Milliseconds(1)));
  REQUIRE(test.server().doubt.LeasesExpired(test.now_ + longest));
}

// Guards against the clock of an earlier incarnation, in an answer that comes
// late, being taken for the clock of the present one.
TEST_CASE("readings of an earlier incarnation's clock are ignored",
          "[run-control]") {
  TestServer test;
  uint64_t tag = test.SendStart();
  test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                 test.outbox_);
  test.AnswerPoll(test.TakeOrders().at(0).tag, 120, false);
  test.now_ += Milliseconds(10);
  test.Answer(tag, 50'001);
  REQUIRE(test.server().doubt.clock.known());
  REQUIRE(test.server().doubt.clock.EstimateAt(test.now_) == 130);
}

// Guards against a second run of a task: the process was paused between a
// commit and its answer, and the tasks have another owner by then.
TEST_CASE("no run is started when the lease was renewed too long ago",
          "[run-control]") {
  TestServer test;
  test.now_ += kOwnerLeaseLength;
  test.PlanRun();
  test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
  REQUIRE(test.TakeOrders().empty());
  REQUIRE(test.FindRun() == nullptr);
}

// Guards against a second run of a task on a server that only an earlier owner
// reaches: its successor waits for the leases that the earlier owner extended
// for kUnrenewedLeaseExtension after its last renewal.
TEST_CASE("no poll extends leases when the pool's lease was not renewed",
          "[run-control]") {
  for (bool renewed : {true, false}) {
    TestServer test;
    test.Answer(test.SendStart(), 50'001);
    test.runs_.RequestStop(test.now_, test.ref_.task, test.ref_.run, "test",
                           test.outbox_);
    uint64_t stop = test.TakeOrders().at(0).tag;
    test.now_ += Milliseconds(10);
    if (!renewed)
      test.state_.lease_renewed_at = test.now_ - kUnrenewedLeaseExtension;
    // The answer to a stop causes a quick poll.
    test.Answer(stop, 50'011);
    std::vector<OrderToServer> orders = test.TakeOrders();
    REQUIRE(orders.size() == 1);
    const auto& poll = std::get<PollServer>(orders[0].order);
    REQUIRE((poll.lease_until > 0) == renewed);
  }
}

// Guards against the loss of runs of a server that has restarted at another
// address, when another server answers at the earlier one.
TEST_CASE("an answer from an earlier address ends no runs", "[run-control]") {
  for (bool moved : {true, false}) {
    TestServer test;
    test.Answer(test.SendStart(), 50'001);
    test.server().next_poll_at = test.now_ + Milliseconds(20);
    test.now_ += Milliseconds(20);
    test.runs_.Tick(test.now_, true, test.outbox_);
    ServerReply reply;
    reply.tag = test.TakeOrders().at(0).tag;
    reply.server = test.id_;
    reply.outcome = OrderOutcome::kOtherIncarnation;
    reply.clock = 5;
    reply.incarnation_started_at = kSecondIncarnation;
    if (moved)
      test.server().listing.address = "10.0.0.2:1";
    test.runs_.OnReply(test.now_, reply, test.outbox_);
    REQUIRE((test.FindRun() != nullptr) == moved);
    REQUIRE(test.server().doubt.incarnation_started_at == kFirstIncarnation);
  }
}

// Guards against a queue whose length is given as 0 while none of its jobs
// runs: starts that a rack without power did not answer counted as begun jobs.
TEST_CASE("a job has begun when a server has reported a run", "[run-control]") {
  TestServer test;
  uint64_t start = test.SendStart();
  const Job& job = *test.state_.jobs.Find(test.job_);
  REQUIRE_FALSE(job.begun);
  REQUIRE(job.state == JobState::kQueued);
  SECTION("the server does not answer") {
    ServerReply reply;
    reply.tag = start;
    reply.server = test.id_;
    test.runs_.OnReply(test.now_, reply, test.outbox_);
    REQUIRE_FALSE(job.begun);
    REQUIRE(job.state == JobState::kQueued);
  }
  SECTION("the server answers") {
    test.Answer(start, 50'001);
    REQUIRE(job.begun);
    REQUIRE(job.state == JobState::kInProgress);
  }
  SECTION("the answer is lost and a poll lists the run") {
    ServerReply reply;
    reply.tag = start;
    reply.server = test.id_;
    test.runs_.OnReply(test.now_, reply, test.outbox_);
    std::vector<OrderToServer> orders = test.TakeOrders();
    REQUIRE(orders.size() == 1);
    test.AnswerPoll(orders[0].tag, 50'001, true);
    REQUIRE(job.begun);
  }
}

// Guards against an owner that spends its processor time on checks of all
// servers. Each answer asks for a check, and a busy pool gets more than a
// thousand answers a second.
TEST_CASE("the servers of a large pool are checked less often",
          "[run-control]") {
  constexpr int kServers = 1000;
  // Half a core checks 100,000 servers in 2% of its time or less.
  constexpr int64_t kMaxChecksPerSecond = 100'000;
  TestServer test;
  for (int i = 1; i < kServers; ++i)
    test.state_.servers.FindOrAdd(ServerId("s" + std::to_string(i)));
  test.runs_.Wake(test.now_);
  test.runs_.Tick(test.now_, false, test.outbox_);
  test.runs_.Wake(test.now_);
  auto checks_per_second =
      kServers * (Seconds(1) / (test.runs_.next_wake() - test.now_));
  REQUIRE(checks_per_second <= kMaxChecksPerSecond);
}

// Guards against orders that were meant for an earlier incarnation and that
// a later one carries out: it has seen no token until it gets an order that was
// sent after the restart was noticed.
TEST_CASE("tokens grow when a server restarts", "[run-control]") {
  TestServer test;
  test.state_.token = 7;
  test.server().failed_polls = 0;
  test.PlanRun();
  test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
  OrderToServer start = test.TakeOrders().at(0);
  test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                 test.outbox_);
  OrderToServer poll = test.TakeOrders().at(0);
  REQUIRE(poll.token > start.token);
  // A later owner's tokens are larger still.
  JobPoolState successor(PoolId("a"), PlatformBounds());
  successor.token = 8;
  REQUIRE(successor.TokenFor(ServerState()) > poll.token);
  test.AnswerPoll(poll.tag, 120, false);
  // The new incarnation refuses the start, which does not mean that this owner
  // has a successor.
  ServerReply refused;
  refused.tag = start.tag;
  refused.server = test.id_;
  refused.outcome = OrderOutcome::kFenced;
  refused.clock = 121;
  test.runs_.OnReply(test.now_, refused, test.outbox_);
  REQUIRE_FALSE(test.state_.fenced);
  REQUIRE(test.FindRun() == nullptr);
}

// Guards against a second run of a task while a restarted server that was cut
// off still has the first one: a poll that was meant for the earlier
// incarnation has extended the lease by the longest time.
TEST_CASE("a lost poll may extend leases after a restart", "[run-control]") {
  TestServer test;
  test.Answer(test.SendStart(), 50'001);
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.runs_.Tick(test.now_ + Seconds(1), true, test.outbox_);
  std::vector<OrderToServer> polls = test.TakeOrders();
  REQUIRE(polls.size() == 1);
  REQUIRE(std::get<PollServer>(polls[0].order).lease_until != 0);
  ServerReply lost;
  lost.tag = polls[0].tag;
  lost.server = test.id_;
  test.now_ += Seconds(2);
  test.runs_.OnReply(test.now_, lost, test.outbox_);
  test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                 test.outbox_);
  uint64_t poll = test.TakeOrders().at(0).tag;
  Duration longest = ServerClock::LongestTimeFor(test.state_.bounds.max_lease);
  Time sent = test.now_ - Seconds(1);
  SECTION("the new incarnation does not answer") {
    Time bound = sent + kLateOrderLimit + longest;
    REQUIRE_FALSE(test.server().doubt.LeasesExpired(bound - Milliseconds(1)));
    REQUIRE(test.server().doubt.LeasesExpired(bound));
  }
  SECTION("it answers, and refuses earlier orders from then on") {
    test.now_ += Milliseconds(5);
    test.AnswerPoll(poll, 120, false);
    REQUIRE_FALSE(test.server().doubt.LeasesExpired(test.now_ + longest -
                                                    Milliseconds(1)));
    REQUIRE(test.server().doubt.LeasesExpired(test.now_ + longest));
  }
}

// Guards against a second run of a task beside one that its owner does not know
// and is stopping.
TEST_CASE("a task does not start while an unknown run of it is stopping",
          "[run-control]") {
  TestServer test;
  test.state_.jobs.Find(test.job_)->occurrences.at(0).tasks[0].last_run = 1;
  auto poll = [&test](bool runs_task) {
    test.now_ += Seconds(1);
    test.server().next_poll_at = test.now_;
    test.runs_.Wake(test.now_);
    test.runs_.Tick(test.now_, true, test.outbox_);
    test.AnswerPoll(test.TakeOrders().at(0).tag, 60'000, runs_task);
  };
  poll(false);
  poll(true);
  test.TakeOrders();
  TaskDispatch dispatch(test.state_, test.runs_);
  REQUIRE(dispatch.PlanReadyTasks(test.now_, test.outbox_, 1) == 0);
  // A run that was planned before is not sent.
  test.ref_.run = 2;
  test.PlanRun();
  test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
  REQUIRE(test.FindRun() == nullptr);
  REQUIRE(test.TakeOrders().empty());
  poll(false);
  REQUIRE(dispatch.PlanReadyTasks(test.now_, test.outbox_, 1) == 1);
}

// Guards against a second run of a task whose start has reached a server that
// had restarted and was cut off before its owner could notice.
TEST_CASE("a start without an answer may run for the longest lease",
          "[run-control]") {
  TestServer test;
  ServerReply lost;
  lost.tag = test.SendStart();
  lost.server = test.id_;
  Time sent = test.now_;
  test.now_ += Milliseconds(300);
  test.runs_.OnReply(test.now_, lost, test.outbox_);
  test.server().failed_polls = 1;
  Duration longest = ServerClock::LongestTimeFor(test.state_.bounds.max_lease);
  for (; test.FindRun() != nullptr; test.now_ += Milliseconds(100)) {
    REQUIRE(test.now_ < sent + Seconds(30));
    test.runs_.Wake(test.now_);
    test.runs_.Tick(test.now_, false, test.outbox_);
  }
  REQUIRE(test.now_ > sent + longest);
  REQUIRE(test.now_ < sent + longest + Seconds(2));
}

// Guards against a poll that makes a later incarnation forget ends that no
// owner has read.
TEST_CASE("ends are acknowledged until a poll is answered, and then no more",
          "[run-control]") {
  TestServer test;
  auto acknowledged = [&test] {
    test.server().next_poll_at = test.now_;
    test.runs_.Wake(test.now_);
    test.now_ += Seconds(1);
    test.runs_.Tick(test.now_, false, test.outbox_);
    OrderToServer order = test.TakeOrders().at(0);
    return std::pair(order.tag, std::get<PollServer>(order.order).acknowledged);
  };
  test.Answer(test.SendStart(), 50'001);
  test.server().last_applied_end = test.server().last_stored_end = 57;
  auto [lost_tag, first] = acknowledged();
  REQUIRE(first == 57);
  ServerReply lost;
  lost.tag = lost_tag;
  lost.server = test.id_;
  test.runs_.OnReply(test.now_, lost, test.outbox_);
  auto [tag, second] = acknowledged();
  REQUIRE(second == 57);
  ServerReply reply;
  reply.tag = tag;
  reply.server = test.id_;
  reply.outcome = OrderOutcome::kDone;
  reply.clock = 53'000;
  reply.incarnation_started_at = kFirstIncarnation;
  reply.running.push_back({test.ref_.task, test.ref_.run, "", 10, 0});
  test.runs_.OnReply(test.now_, reply, test.outbox_);
  REQUIRE(acknowledged().second == 0);
}

// Guards against starts beyond a server's capacity while it stops runs that
// this owner does not know.
TEST_CASE("unknown runs use their resources until they have stopped",
          "[run-control]") {
  TestServer test;
  test.Answer(test.SendStart(), 50'001);
  Resources before = test.server().FreeResources();
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.runs_.Tick(test.now_ + Seconds(1), false, test.outbox_);
  ServerReply reply;
  reply.tag = test.TakeOrders().at(0).tag;
  reply.server = test.id_;
  reply.outcome = OrderOutcome::kDone;
  reply.clock = 51'000;
  reply.incarnation_started_at = kFirstIncarnation;
  reply.running.push_back({test.ref_.task, test.ref_.run, "", 10, 0});
  reply.running.push_back({{JobId("other"), 0, 0, 0}, 1, "", 10, 0});
  test.now_ += Seconds(1);
  test.runs_.OnReply(test.now_, reply, test.outbox_);
  REQUIRE(test.server().FreeResources().cpu_millis ==
          before.cpu_millis - test.server().listing.capacity.cpu_millis);
}

// Guards against starts beyond the capacity of a restarted server: a late start
// may run there that only a poll with the present token shows.
TEST_CASE("nothing starts on a restarted server before it has listed its runs",
          "[run-control]") {
  TestServer test;
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.runs_.Tick(test.now_ + Seconds(1), false, test.outbox_);
  uint64_t earlier_poll = test.TakeOrders().at(0).tag;
  test.now_ += Seconds(1);
  test.runs_.OnIncarnationListed(test.now_, test.id_, kSecondIncarnation,
                                 test.outbox_);
  // The poll was sent before the restart was noticed.
  test.AnswerPoll(earlier_poll, 120, false);
  test.state_.lease_renewed_at = test.now_;
  test.PlanRun();
  test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
  REQUIRE(test.FindRun() == nullptr);
  test.TakeOrders();
  test.server().next_poll_at = test.now_;
  test.runs_.Wake(test.now_);
  test.now_ += Seconds(1);
  test.runs_.Tick(test.now_, false, test.outbox_);
  test.AnswerPoll(test.TakeOrders().at(0).tag, 1120, false);
  test.state_.lease_renewed_at = test.now_;
  test.PlanRun();
  test.runs_.SendStart(test.now_, test.ref_, test.outbox_);
  REQUIRE(test.FindRun()->phase == RunPhase::kOrdered);
}

}  // namespace
}  // namespace radishmoor
