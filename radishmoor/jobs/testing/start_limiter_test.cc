#include "radishmoor/jobs/start_limiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace radishmoor {
namespace {

constexpr Duration kPlanPeriod = Milliseconds(20);
constexpr Duration kLagPeriod = Milliseconds(50);
constexpr Duration kRoundTrip = Milliseconds(5);
constexpr Duration kRunTime = Milliseconds(500);

// A process that needs 0.4 ms of its processor share for each start, half of it
// when the task ends, and has as many ready tasks as it may start. Its event
// loop handles some of the answers that wait, then the timers that are due, so
// that a plan does not wait for all answers.
class Process {
 public:
  // Runs for `length`. Returns the starts a second.
  double Run(Duration length, uint32_t ready_tasks_per_plan) {
    ready_tasks_ = ready_tasks_per_plan;
    uint64_t before = last_order_;
    for (Time end = now_ + length; now_ < end;) {
      Time first = answers_.empty() ? kTimeMax : answers_.begin()->first;
      now_ = std::max(now_, std::min({first, plan_due_, lag_due_, stall_due_}));
      for (size_t i = 0; i < kEventsPerRound && !answers_.empty() &&
                         answers_.begin()->first <= now_;
           ++i) {
        HandleAnswer(answers_.begin()->second);
        answers_.erase(answers_.begin());
      }
      if (plan_due_ <= now_)
        Plan();
      if (lag_due_ <= now_)
        ObserveLag();
      if (stall_due_ <= now_) {
        now_ += stall_;
        stall_due_ = now_ + stall_period_;
      }
    }
    return static_cast<double>(last_order_ - before) / ToSeconds(length);
  }

  // From now on, an event takes `stall`, each `period` after the last one.
  void StallEach(Duration period, Duration stall) {
    stall_period_ = period;
    stall_ = stall;
    stall_due_ = now_ + period;
  }

  // Returns how late an answer or a timer was handled at most since the last
  // call.
  Duration TakeWorstDelay() { return std::exchange(worst_, Duration::zero()); }
  const StartLimiter& limiter() const { return limiter_; }

 private:
  struct Answer {
    uint64_t order = 0;
    Time sent;
    bool ends_task = false;
  };

  void Plan() {
    uint32_t planned = std::min(ready_tasks_, limiter_.Budget());
    limiter_.OnHeldBack(ready_tasks_ - planned);
    plan_due_ = now_ + kPlanPeriod;
    for (uint32_t i = 0; i < planned; ++i) {
      now_ += kStartCost / 4;
      limiter_.OnSent(now_, ++last_order_);
      answers_.emplace(now_ + kRoundTrip, Answer{last_order_, now_});
      answers_.emplace(now_ + kRunTime, Answer{0, now_, true});
    }
  }
  void HandleAnswer(const Answer& answer) {
    now_ += answer.ends_task ? kStartCost / 2 : kStartCost / 4;
    if (answer.ends_task)
      return;
    worst_ = std::max(worst_, now_ - answer.sent - kRoundTrip);
    limiter_.OnReply(now_, answer.order, answer.sent, true);
  }
  void ObserveLag() {
    worst_ = std::max(worst_, now_ - lag_due_);
    limiter_.ObserveLag(now_ - lag_due_);
    lag_due_ = now_ + kLagPeriod;
  }

  static constexpr Duration kStartCost = Microseconds(400);
  static constexpr size_t kEventsPerRound = 128;
  Time now_ = kTimeZero + Seconds(100);
  Time plan_due_ = now_;
  Time lag_due_ = now_;
  Time stall_due_ = kTimeMax;
  Duration stall_period_{};
  Duration stall_{};
  uint32_t ready_tasks_ = 0;
  std::multimap<Time, Answer> answers_;  // By the time at which they arrive.
  uint64_t last_order_ = 0;
  Duration worst_{};
  StartLimiter limiter_;
};

TEST_CASE("an owner with processor time to spare is not limited", "[limiter]") {
  Process process;
  REQUIRE(process.Run(Seconds(5), 25) >= 1250);
  REQUIRE_FALSE(process.limiter().limited());
  REQUIRE(process.limiter().held_back() == 0);
}

// Guards against an owner whose loop runs seconds late at a peak, so that
// leases of running tasks expire, and against a limit that wastes its processor
// time.
TEST_CASE("an overloaded owner keeps its loop in time and starts on",
          "[limiter]") {
  Process process;
  process.Run(Seconds(1), 120);  // 6,000 starts a second; it can make 2,500.
  process.TakeWorstDelay();
  double starts = process.Run(Seconds(10), 120);
  Duration worst = process.TakeWorstDelay();
  CAPTURE(starts, ToMilliseconds(worst));
  REQUIRE(worst < Milliseconds(300));
  REQUIRE(starts > 0.7 * 2500);
}

// Guards against an owner that starts nothing for many seconds when its loop is
// late for the first time: the starts that it made without a limit counted
// against the limit.
TEST_CASE("starts before an overload do not count against the limit",
          "[limiter]") {
  Process process;
  process.Run(Seconds(10), 40);  // 2,000 starts a second, without a limit.
  REQUIRE_FALSE(process.limiter().limited());
  REQUIRE(process.limiter().held_back() == 0);
  double starts = process.Run(Seconds(3), 120);
  CAPTURE(starts);
  REQUIRE(process.limiter().held_back() > 0);
  REQUIRE(starts > 0.5 * 2500);
}

TEST_CASE("the limit ends soon after the overload", "[limiter]") {
  Process process;
  process.Run(Seconds(4), 120);
  REQUIRE(process.limiter().held_back() > 0);
  process.Run(Seconds(1), 10);
  uint64_t held_back = process.limiter().held_back();
  process.Run(Seconds(2), 10);
  REQUIRE_FALSE(process.limiter().limited());
  REQUIRE(process.limiter().held_back() == held_back);
}

// Guards against a limit far below what the owner can start, which begins with
// a late event that has nothing to do with starts.
TEST_CASE("events that take long do not limit an owner that starts little",
          "[limiter]") {
  Process process;
  process.StallEach(Milliseconds(50), Milliseconds(120));
  process.Run(Seconds(5), 1);
  REQUIRE(process.TakeWorstDelay() > Milliseconds(100));
  REQUIRE_FALSE(process.limiter().limited());
  // Of each 170 ms, 50 ms are left for starts.
  double starts = process.Run(Seconds(2), 120);
  CAPTURE(starts);
  REQUIRE(starts > 0.5 * 2500 * 50 / 170);
}

// Guards against a limit that lasts as long as the backlog that it makes.
TEST_CASE("an owner that begins with a backlog starts it at full speed",
          "[limiter]") {
  Process process;
  process.StallEach(Milliseconds(300), Milliseconds(90));
  process.Run(Milliseconds(700), 0);
  double starts = process.Run(Seconds(2), 40);  // 2,000 a second are ready.
  CAPTURE(starts);
  REQUIRE(starts > 0.7 * 2500 * 300 / 390);
}

// Guards against servers without answers that use the whole window up.
TEST_CASE("starts without an answer count until later ones have one",
          "[limiter]") {
  StartLimiter limiter;
  Time now = kTimeZero + Seconds(100);
  uint64_t order = 0;
  while (limiter.Budget() > 0)
    limiter.OnSent(now, ++order);
  REQUIRE(limiter.waiting() == StartLimiter::kMaxWindow);
  // An answer to a start of the same moment tells nothing about the others.
  limiter.OnReply(now, 1, now, true);
  REQUIRE(limiter.Budget() == 1);
  now += Milliseconds(200);
  limiter.OnSent(now, ++order);
  limiter.OnReply(now, order, now, false);
  REQUIRE(limiter.Budget() == 1);
  // An order of another kind.
  limiter.OnReply(now, ++order, now, true);
  REQUIRE(limiter.Budget() == StartLimiter::kMaxWindow);
}

}  // namespace
}  // namespace radishmoor
