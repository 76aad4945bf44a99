#include "radishmoor/jobs/node_core.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace radishmoor {
namespace {

JobConfig OneQueue() {
  JobConfig config;
  config.version = 1;
  config.pools = {{PoolId("p")}};
  QueueConfig queue;
  queue.id = QueueId("q");
  queue.host = "h";
  queue.path_prefix = "/q/";
  queue.pool = PoolId("p");
  config.queues = {queue};
  return config;
}

JobCall Submission(Time now) {
  JobCall call;
  call.id = 7;
  call.arrived = now;
  call.time_limit = Seconds(3);
  SubmitJob submit{"h", "/q/0123456789abcdef", {}};
  submit.spec.payload = "p";
  StepSpec step;
  step.request = {1000, 100, 0};
  submit.spec.steps = {step};
  call.request = std::move(submit);
  return call;
}

// A process whose store answers nothing but the configuration.
class SilentStoreNode {
 public:
  SilentStoreNode() : core_(NodeOptions{.name = MemberId("n")}) {
    core_.Start(now, 0);
    Collect();
  }

  void Collect() {
    for (const JobAction& action : core_.TakeActions()) {
      if (const auto* follow = std::get_if<WatchOperatorChanges>(&action))
        Answer(*follow);
      if (const auto* answer = std::get_if<JobCallAnswer>(&action))
        answered = {now, answer->outcome};
      if (std::holds_alternative<EndJobProcess>(action))
        ended = now;
    }
  }

  void RunUntil(Time end) {
    for (; now < end && !ended; now += Milliseconds(50)) {
      core_.Tick(now, 0);
      Collect();
    }
  }

  NodeCore& core() { return core_; }

  Time now = kTimeZero + Seconds(1);
  std::optional<std::pair<Time, CallOutcome>> answered;
  std::optional<Time> ended;

 private:
  void Answer(const WatchOperatorChanges& follow) {
    if (follow.after != 0)
      return;
    OperatorChanges reply;
    reply.tag = follow.tag;
    reply.answered = true;
    reply.version = 1;
    reply.config = OneQueue();
    core_.OnOperatorChanges(now, 0, reply);
    Collect();
  }

  NodeCore core_;
};

// Guards against a process that ends with calls that nobody has answered: its
// grace period may be over before their time limit.
TEST_CASE("a call near the end of the grace period is answered", "[node]") {
  SilentStoreNode node;
  node.RunUntil(node.now + Milliseconds(200));
  Time stopped = node.now;
  node.core().Shutdown(node.now, 0);
  node.Collect();
  node.RunUntil(stopped + Milliseconds(2800));
  node.core().OnCall(node.now, 0, Submission(node.now));
  node.Collect();
  CHECK_FALSE(node.answered);
  node.RunUntil(stopped + Seconds(8));
  REQUIRE(node.ended);
  CHECK(*node.ended < stopped + Seconds(6));
  REQUIRE(node.answered);
  CHECK(node.answered->first < *node.ended);
  CHECK(node.answered->second == CallOutcome::kUncertain);
}

}  // namespace
}  // namespace radishmoor
