#include "radishmoor/jobs/node_core.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>
#include <variant>

namespace radishmoor {
namespace {

JobConfig ConfigWithOneQueue() {
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

JobCall MakeSubmission(Time now) {
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

// A scheduler process whose store answers only the request for the
// configuration.
class SilentStoreNode {
 public:
  SilentStoreNode() : core_(NodeOptions{.name = MemberId("n")}) {
    core_.Start(now, 0);
    HandleActions();
  }

  void HandleActions() {
    for (const JobAction& action : core_.TakeActions()) {
      if (const auto* watch = std::get_if<WatchOperatorChanges>(&action))
        AnswerWatch(*watch);
      if (const auto* answer = std::get_if<JobCallAnswer>(&action))
        answered = {now, answer->outcome};
      if (std::holds_alternative<EndJobProcess>(action))
        ended = now;
    }
  }

  void RunUntil(Time end) {
    for (; now < end && !ended; now += Milliseconds(50)) {
      core_.Tick(now, 0);
      HandleActions();
    }
  }

  NodeCore& core() { return core_; }

  Time now = kTimeZero + Seconds(1);
  std::optional<std::pair<Time, CallOutcome>> answered;
  std::optional<Time> ended;

 private:
  void AnswerWatch(const WatchOperatorChanges& watch) {
    if (watch.after != 0)
      return;
    OperatorChanges reply;
    reply.tag = watch.tag;
    reply.answered = true;
    reply.version = 1;
    reply.config = ConfigWithOneQueue();
    core_.OnOperatorChanges(now, 0, reply);
    HandleActions();
  }

  NodeCore core_;
};

// Guards against a process that ends without answering open calls, whose time
// limit may be later than the end of the grace period.
TEST_CASE("an open call is answered before the grace period ends", "[node]") {
  SilentStoreNode node;
  node.RunUntil(node.now + Milliseconds(200));
  Time stopped = node.now;
  node.core().Shutdown(node.now, 0);
  node.HandleActions();
  node.RunUntil(stopped + Milliseconds(2800));
  node.core().OnCall(node.now, 0, MakeSubmission(node.now));
  node.HandleActions();
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
