#include "radishmoor/dispatch/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "radishmoor/dispatch/testing/random_driver.h"

namespace radishmoor::dispatch {
namespace {

const PoolId kPool("tomato-desk");
const HostId kHostA("a");
const HostId kHostB("b");

// One pool whose hosts have the same limit.
struct Fixture {
  explicit Fixture(std::vector<HostId> hosts,
                   int limit = 1,
                   DispatchOptions options = {})
      : dispatcher(options) {
    dispatcher.Handle(now, PoolUpdated{kPool, 100});
    for (const HostId& host : hosts) {
      dispatcher.Handle(now, TargetUpdated{kPool, host, true, true, limit});
    }
  }

  void Deliver(const Message& message) {
    actions = dispatcher.Handle(now, message);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent[send->request] = *send;
      } else if (const auto* finish = std::get_if<Finish>(&action)) {
        finished[finish->request] = *finish;
      }
    }
  }
  void Arrive(uint64_t id,
              Duration time_to_deadline = Seconds(10),
              bool idempotent = true,
              uint64_t content_hash = 0) {
    Deliver(RequestArrived{
        {id}, kPool, "op", idempotent, now + time_to_deadline, content_hash});
  }
  void Answer(uint64_t id,
              AttemptOutcome outcome,
              bool retried_by_lower_layer = false) {
    SendAttempt send = sent.at({id});
    Deliver(AttemptResult{
        {id}, send.attempt, send.host, outcome, retried_by_lower_layer});
  }
  void Advance(Duration elapsed) {
    Time end = now + elapsed;
    while (dispatcher.next_wake() <= end) {
      now = dispatcher.next_wake();
      Deliver(Tick{});
    }
    now = end;
  }
  // Runs `count` requests of the given run time one after another.
  void CompleteRuns(int count, Duration run, uint64_t first_id = 100'000) {
    for (int i = 0; i < count; ++i) {
      Arrive(first_id + i);
      now += run;
      Answer(first_id + i, AttemptOutcome::kCompleted);
    }
  }
  bool FinishedWith(uint64_t id, Outcome outcome, Reason reason) const {
    auto it = finished.find({id});
    return it != finished.end() && it->second.outcome == outcome &&
           it->second.reason == reason;
  }

  Time now = kTimeZero + Seconds(1);
  Dispatcher dispatcher;
  std::vector<Action> actions;
  // The latest attempt of each request.
  std::map<RequestId, SendAttempt> sent;
  std::map<RequestId, Finish> finished;
};

// Guards against missing or repeated outcomes, refusals of requests that may
// have run, a second run of a non-idempotent request, attempts beyond a limit
// or a deadline, and missing timers.
TEST_CASE("the actions agree with a reference model under random events") {
  std::vector<HeadOfLinePolicy> policies = {
      Fifo{},
      ReservedSlots{},
      AgeReclassification{},
      LearnedQuantiles{},
      RestartLong{.max_lost_share = 1},
      RestartLong{.max_lost_share = 1, .on_demand = false}};
  bool restarted = false;
  bool retried = false;
  REQUIRE(rc::check([&] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    for (const HeadOfLinePolicy& policy : policies) {
      RandomDriver driver(seed, policy);
      driver.Run(600);
      restarted |= driver.counters().restarts > 0;
      retried |= driver.counters().retries > 0;
    }
  }));
  REQUIRE(restarted);
  REQUIRE(retried);
}

// Guards against requests that leave the queue out of order or are sent beyond
// a host's limit.
TEST_CASE("waiting requests start in order of arrival as slots become free") {
  Fixture f({kHostA});
  for (uint64_t id = 1; id <= 3; ++id) {
    f.Arrive(id);
    REQUIRE(f.sent.size() == 1);
  }
  f.Answer(1, AttemptOutcome::kCompleted);
  REQUIRE(f.FinishedWith(1, Outcome::kCompleted, Reason::kNone));
  REQUIRE(f.sent.contains({2}));
  REQUIRE(!f.sent.contains({3}));
}

// Guards against refusals that come too late for the caller to go elsewhere.
TEST_CASE("a request not started within a tenth of its time is refused") {
  Fixture f({kHostA});
  f.Arrive(1);
  f.Arrive(2, Seconds(1));
  f.Advance(Milliseconds(99));
  REQUIRE(f.finished.empty());
  f.Advance(Milliseconds(1));
  REQUIRE(f.FinishedWith(2, Outcome::kRefused, Reason::kTooLate));
}

// Guards against queueing a request although the observed run times show that
// it cannot start in time.
TEST_CASE("a request that cannot start in time is refused on arrival") {
  Fixture f({kHostA});
  f.CompleteRuns(50, Milliseconds(100));
  f.Arrive(1);
  f.Arrive(2, Seconds(2));  // Expected wait 100 ms; must start within 200 ms.
  REQUIRE(f.finished.count({2}) == 0);
  f.Arrive(3, Seconds(2));
  REQUIRE(f.FinishedWith(3, Outcome::kRefused, Reason::kTooLate));
  REQUIRE(f.finished.at({3}).retry_after > Duration(0));
  f.Answer(1, AttemptOutcome::kCompleted);
  f.Arrive(4, Milliseconds(50));  // A run takes 100 ms.
  REQUIRE(f.FinishedWith(4, Outcome::kRefused, Reason::kTooLate));
}

// Guards against a pool that refuses every request after an outage, because its
// last observed run times were time-outs.
TEST_CASE("a pool whose requests all timed out still sends new requests") {
  Fixture f({kHostA}, 10);
  for (uint64_t id = 1; id <= 100; ++id) {
    f.Arrive(id, Seconds(1));
    f.Advance(Seconds(1));
    REQUIRE(f.FinishedWith(id, Outcome::kUnknown, Reason::kDeadline));
  }
  f.Arrive(101, Milliseconds(500));
  REQUIRE(f.sent.contains({101}));
}

TEST_CASE("a closed pool refuses new requests and finishes its queue") {
  Fixture f({kHostA});
  f.Arrive(1);
  f.Arrive(2);
  f.Deliver(PoolUpdated{kPool, 100, true});
  f.Arrive(3);
  REQUIRE(f.FinishedWith(3, Outcome::kRefused, Reason::kShuttingDown));
  f.Answer(1, AttemptOutcome::kCompleted);
  REQUIRE(f.sent.contains({2}));
}

TEST_CASE("a full queue refuses new requests") {
  Fixture f({kHostA});
  f.Deliver(PoolUpdated{kPool, 2});
  for (uint64_t id = 1; id <= 4; ++id) {
    f.Arrive(id);
  }
  REQUIRE(f.FinishedWith(4, Outcome::kRefused, Reason::kQueueFull));
  REQUIRE(f.finished.size() == 1);
}

// Guards against sending a request whose deadline passed while the process was
// paused.
TEST_CASE("a request past its deadline is refused instead of sent") {
  Fixture f({kHostA});
  f.Arrive(1, Seconds(100));
  f.Arrive(2, Seconds(1));
  f.now += Seconds(2);
  f.Answer(1, AttemptOutcome::kCompleted);
  REQUIRE(f.FinishedWith(2, Outcome::kRefused, Reason::kDeadline));
  REQUIRE(!f.sent.contains({2}));
}

TEST_CASE(
    "an attempt in flight at the deadline is aborted with outcome unknown") {
  Fixture f({kHostA});
  f.Arrive(1, Seconds(1));
  f.Advance(Seconds(1));
  REQUIRE(f.FinishedWith(1, Outcome::kUnknown, Reason::kDeadline));
  REQUIRE(std::holds_alternative<AbortAttempt>(f.actions.at(0)));
  f.Arrive(2);
  REQUIRE(f.sent.contains({2}));
}

// Guards against a second run of a non-idempotent request and against giving up
// where a retry is safe.
TEST_CASE("only requests that did not run or are idempotent are sent again") {
  for (bool idempotent : {false, true}) {
    for (int kind = 1; kind <= 5; ++kind) {
      Fixture f({kHostA, kHostB});
      f.Arrive(1, Seconds(10), idempotent);
      HostId first = f.sent.at({1}).host;
      f.Answer(1, AttemptOutcome(kind));
      f.Advance(Milliseconds(100));
      bool not_run = kind <= 2;
      if (!idempotent && !not_run) {
        REQUIRE(f.FinishedWith(1, Outcome::kUnknown, Reason::kBackendFailed));
        continue;
      }
      REQUIRE(f.sent.at({1}).attempt == 2);
      REQUIRE(f.sent.at({1}).host != first);
      f.Answer(1, AttemptOutcome::kNotRun);
      f.Advance(Milliseconds(100));
      f.Answer(1, AttemptOutcome::kNotRun);
      REQUIRE(f.sent.at({1}).attempt == 3);
      REQUIRE(f.finished.at({1}).outcome ==
              (not_run ? Outcome::kRefused : Outcome::kUnknown));
    }
  }
}

TEST_CASE("an attempt that a lower layer retried is not retried again") {
  Fixture f({kHostA, kHostB});
  f.Arrive(1);
  f.Answer(1, AttemptOutcome::kLost, true);
  REQUIRE(f.FinishedWith(1, Outcome::kUnknown, Reason::kBackendFailed));
}

// Guards against retry storms when every attempt fails.
TEST_CASE("retries stay within a tenth of first attempts plus the burst") {
  Fixture f({kHostA, kHostB}, 100);
  for (uint64_t id = 1; id <= 500; ++id) {
    f.Arrive(id);
    for (int attempt = 0; attempt < 3 && !f.finished.contains({id});
         ++attempt) {
      f.Answer(id, AttemptOutcome::kLost);
      f.Advance(Milliseconds(50));
    }
  }
  REQUIRE(f.dispatcher.counters().retries >= 50);
  REQUIRE(f.dispatcher.counters().retries <= 60);
}

// Guards against synchronised retries, which arrive at a host as one burst.
TEST_CASE("retries are spread in time") {
  Fixture f({kHostA, kHostB}, 10);
  for (uint64_t id = 1; id <= 5; ++id) {
    f.Arrive(id);
  }
  for (uint64_t id = 1; id <= 5; ++id) {
    f.Answer(id, AttemptOutcome::kLost);
  }
  f.now = f.dispatcher.next_wake();
  f.Deliver(Tick{});
  REQUIRE(f.actions.size() == 1);
}

// Guards against counting the failures of a poison request against the hosts,
// and against retries each time that a request with this content arrives.
TEST_CASE("a request that fails on several hosts is a poison request") {
  Fixture f({kHostA, kHostB, HostId("c")});
  f.Arrive(1, Seconds(10), true, 7);
  for (int i = 0; i < 3; ++i) {
    f.Answer(1, AttemptOutcome::kErrorAnswer);
    f.Advance(Milliseconds(100));
  }
  REQUIRE(f.FinishedWith(1, Outcome::kUnknown, Reason::kPoisonRequest));
  REQUIRE(f.finished.at({1}).failed_hosts.size() == 3);
  f.Arrive(2, Seconds(10), true, 7);
  f.Answer(2, AttemptOutcome::kErrorAnswer);
  REQUIRE(f.FinishedWith(2, Outcome::kUnknown, Reason::kPoisonRequest));
  f.Arrive(3);  // Without a content hash.
  for (int i = 0; i < 3; ++i) {
    f.Answer(3, AttemptOutcome::kErrorAnswer);
    f.Advance(Milliseconds(100));
  }
  REQUIRE(f.FinishedWith(3, Outcome::kUnknown, Reason::kPoisonRequest));
}

TEST_CASE("late and duplicate results change nothing") {
  Fixture f({kHostA, kHostB});
  f.Arrive(1);
  SendAttempt first = f.sent.at({1});
  f.Answer(1, AttemptOutcome::kLost);
  f.Advance(Milliseconds(100));
  f.Deliver(AttemptResult{{1}, first.attempt, first.host});
  f.Deliver(AttemptResult{{1}, 2, first.host});
  REQUIRE(f.actions.empty());
  REQUIRE(f.finished.empty());
  REQUIRE(f.dispatcher.counters().stale_results == 2);
  f.Answer(1, AttemptOutcome::kCompleted);
  f.Deliver(AttemptResult{{1}, 2, f.sent.at({1}).host});
  REQUIRE(f.dispatcher.counters().stale_results == 3);
}

// Returns the processor time that the calling thread has used, in seconds. It
// does not count the time in which other processes run.
double ThreadCpuSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// Guards against cancellations whose cost grows with the queue: with linear
// removal, each cancellation takes 10 times as long in the larger queue.
TEST_CASE("the cost of a cancellation does not grow with the queue") {
  auto cost = [](uint64_t count) {
    double best = std::numeric_limits<double>::max();
    for (int round = 0; round < 3; ++round) {
      Fixture f({kHostA});
      f.Deliver(PoolUpdated{kPool, count});
      for (uint64_t id = 1; id <= count; ++id) {
        f.Arrive(id);
      }
      double start = ThreadCpuSeconds();
      for (uint64_t id = count; id >= 1; --id) {
        f.dispatcher.Handle(f.now, RequestCancelled{{id}});
      }
      best = std::min(best, ThreadCpuSeconds() - start);
      REQUIRE(f.dispatcher.live() == 0);
      REQUIRE(f.dispatcher.next_wake() == kTimeMax);
    }
    return best / static_cast<double>(count);
  };
  REQUIRE(cost(50'000) < 5 * cost(5'000));
}

TEST_CASE(
    "a drain sends waiting requests and ends all others at its deadline") {
  Fixture f({kHostA});
  f.Arrive(1);
  f.Arrive(2);
  f.dispatcher.Drain(f.now, f.now + Milliseconds(500));
  f.Arrive(3);
  REQUIRE(f.FinishedWith(3, Outcome::kRefused, Reason::kShuttingDown));
  f.Answer(1, AttemptOutcome::kCompleted);
  f.Arrive(4);
  f.Deliver(TargetUpdated{kPool, kHostA, true, true, 2});
  REQUIRE(f.sent.contains({2}));
  f.Advance(Milliseconds(500));
  REQUIRE(f.FinishedWith(2, Outcome::kUnknown, Reason::kShuttingDown));
  REQUIRE(f.dispatcher.live() == 0);
}

// Guards against a planned removal that interrupts requests in flight.
TEST_CASE("removal of a pool or a host lets attempts in flight finish") {
  Fixture f({kHostA, kHostB});
  f.Arrive(1);
  f.Arrive(2);
  f.Arrive(3);
  f.Deliver(TargetRemoved{kPool, f.sent.at({1}).host});
  REQUIRE(f.actions.empty());
  f.Deliver(PoolRemoved{kPool});
  REQUIRE(f.FinishedWith(3, Outcome::kRefused, Reason::kShuttingDown));
  REQUIRE(f.finished.size() == 1);
  f.Answer(1, AttemptOutcome::kCompleted);
  f.Answer(2, AttemptOutcome::kCompleted);
  REQUIRE(f.finished.size() == 3);
  f.Arrive(4);
  REQUIRE(f.FinishedWith(4, Outcome::kRefused, Reason::kUnknownService));
}

TEST_CASE("the local zone and the least loaded host are preferred") {
  Fixture f({kHostA, kHostB, HostId("c")}, 8);
  f.Deliver(TargetUpdated{kPool, kHostB, true, false, 8});
  for (uint64_t id = 1; id <= 16; id += 2) {
    f.Arrive(id);
    f.Arrive(id + 1);
    REQUIRE(f.dispatcher.in_flight(kHostA) ==
            f.dispatcher.in_flight(HostId("c")));
    REQUIRE(f.dispatcher.in_flight(kHostB) == 0);
  }
  f.Arrive(17);
  REQUIRE(f.sent.at({17}).host == kHostB);
}

// Guards against long requests that delay the maintenance of a host.
TEST_CASE("long requests avoid hosts that leave soon") {
  Fixture f({kHostA, kHostB}, 100);
  f.CompleteRuns(60, Milliseconds(10));
  f.Deliver(TargetUpdated{kPool, kHostA, true, true, 100, true});
  for (uint64_t id = 1; id <= 60; ++id) {
    f.Deliver(
        RequestArrived{{id}, kPool, "archive", true, f.now + Seconds(99)});
  }
  f.now += Seconds(2);
  for (uint64_t id = 1; id <= 60; ++id) {
    f.Answer(id, AttemptOutcome::kCompleted);
  }
  f.CompleteRuns(200, Milliseconds(10), 200'000);
  for (uint64_t id = 301; id <= 320; ++id) {
    f.Deliver(
        RequestArrived{{id}, kPool, "archive", true, f.now + Seconds(99)});
    REQUIRE(f.sent.at({id}).host == kHostB);
  }
}

// Guards against short requests that wait for long ones to finish, and against
// restarts of requests that must not run twice.
TEST_CASE("a long idempotent attempt is aborted if a short request waits") {
  for (bool idempotent : {true, false}) {
    Fixture f({kHostA}, 2);
    f.CompleteRuns(200, Milliseconds(10));
    f.Arrive(1, Seconds(100), idempotent);
    f.Arrive(2, Seconds(100), false);
    f.Advance(Milliseconds(200));
    f.Arrive(3);
    REQUIRE(f.sent.contains({3}) == idempotent);
    if (!idempotent) {
      continue;
    }
    f.Answer(3, AttemptOutcome::kCompleted);
    // The free slot is reserved for short requests.
    REQUIRE(f.sent.at({1}).attempt == 1);
    // After a quarter of its time to the deadline, the request is overdue.
    f.Advance(Seconds(26));
    REQUIRE(f.sent.at({1}).attempt == 2);
    f.Arrive(4);
    REQUIRE(!f.sent.contains({4}));
    // The attempt of an overdue request is not aborted.
    REQUIRE(f.sent.at({1}).attempt == 2);
    f.Answer(1, AttemptOutcome::kCompleted);
    REQUIRE(f.FinishedWith(1, Outcome::kCompleted, Reason::kNone));
  }
}

// Guards against restarts that cost throughput if no slot is ever idle.
TEST_CASE("no attempt is aborted without restart budget") {
  Fixture f({kHostA}, 1,
            {.policy = RestartLong{.max_lost_share = 0, .idle_credit = 0}});
  f.CompleteRuns(200, Milliseconds(10));
  f.Arrive(1, Seconds(100));
  f.Advance(Milliseconds(500));
  f.Arrive(2);
  REQUIRE(!f.sent.contains({2}));
}

// Guards against aborts that only add load, because the host goes on with the
// aborted run.
TEST_CASE("restarts pause if the host of an aborted attempt answers not-run") {
  Fixture f({kHostA}, 10);
  f.CompleteRuns(200, Milliseconds(10));
  for (uint64_t id = 1; id <= 10; ++id) {
    f.Arrive(id, Seconds(100));
  }
  f.Advance(Milliseconds(200));
  f.Arrive(11);
  REQUIRE(f.dispatcher.counters().restarts == 1);
  f.Answer(11, AttemptOutcome::kNotRun);
  f.Arrive(12);
  f.Arrive(13);
  REQUIRE(f.dispatcher.counters().restarts == 1);
}

// Guards against aborts that free no slot for short requests.
TEST_CASE("no attempt is aborted on a host above its limit") {
  Fixture f({kHostA}, 10);
  f.CompleteRuns(200, Milliseconds(10));
  for (uint64_t id = 1; id <= 10; ++id) {
    f.Arrive(id, Seconds(100));
  }
  f.Advance(Milliseconds(200));
  f.Deliver(TargetUpdated{kPool, kHostA, true, true, 5});
  f.Arrive(11);
  REQUIRE(f.dispatcher.counters().restarts == 0);
}

// Guards against long operations that take the last slots from short requests.
TEST_CASE("long operations leave the reserved slots free, except with Fifo") {
  for (const HeadOfLinePolicy& policy : std::vector<HeadOfLinePolicy>{
           ReservedSlots{}, LearnedQuantiles{}, RestartLong{}, Fifo{}}) {
    Fixture f({kHostA}, 4, {.policy = policy});
    f.CompleteRuns(200, Milliseconds(10));
    auto archive = [&](uint64_t id) {
      f.Deliver(
          RequestArrived{{id}, kPool, "archive", false, f.now + Seconds(99)});
    };
    for (uint64_t id = 1; id <= 40; ++id) {
      archive(id);
      f.now += Seconds(2);
      f.Answer(id, AttemptOutcome::kCompleted);
    }
    for (uint64_t id = 41; id <= 44; ++id) {
      archive(id);
    }
    f.Arrive(50);
    REQUIRE(f.sent.contains({50}) == !std::holds_alternative<Fifo>(policy));
    REQUIRE(f.sent.contains({44}) == std::holds_alternative<Fifo>(policy));
  }
}

// Guards against new requests of an operation taking the reserved slots while
// its attempts in flight are long.
TEST_CASE("an operation is long while its attempts in flight are long") {
  Fixture f({kHostA}, 4, {.policy = AgeReclassification{}});
  f.CompleteRuns(200, Milliseconds(10));
  auto archive = [&](uint64_t id) {
    f.Deliver(
        RequestArrived{{id}, kPool, "archive", true, f.now + Seconds(99)});
  };
  for (uint64_t id = 1; id <= 3; ++id) {
    archive(id);
  }
  f.Advance(Milliseconds(200));
  archive(4);
  REQUIRE(!f.sent.contains({4}));
  f.Arrive(5);
  REQUIRE(f.sent.contains({5}));
}

// Guards against a long queue that takes seconds to empty after a peak, because
// restarts filled it.
TEST_CASE("restarts stop at 0.4 waiting long requests per slot") {
  Fixture f({kHostA}, 10, {.policy = RestartLong{.idle_credit = 1000}});
  f.CompleteRuns(200, Milliseconds(10));
  for (uint64_t id = 1; id <= 10; ++id) {
    f.Arrive(id, Seconds(100));
  }
  f.Advance(Milliseconds(200));
  for (uint64_t id = 11; id <= 20; ++id) {
    f.Arrive(id);
  }
  REQUIRE(f.dispatcher.counters().restarts == 4);
}

}  // namespace
}  // namespace radishmoor::dispatch
