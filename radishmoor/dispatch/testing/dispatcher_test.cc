#include "radishmoor/dispatch/dispatcher.h"

#include <catch2/catch.hpp>

namespace radishmoor::dispatch {
namespace {

const PoolId kPool("tomato-desk");
constexpr Time kStart = kTimeZero + Seconds(1);

// Guards against requests that leave the queue out of order or are sent beyond
// a host's limit.
TEST_CASE("waiting requests start in order of arrival as slots become free") {
  Dispatcher dispatcher;
  dispatcher.Handle(kStart, PoolSet{kPool});
  dispatcher.Handle(kStart,
                    TargetSet{.pool = kPool, .host = HostId("a"), .limit = 1});
  for (uint64_t id = 1; id <= 3; ++id) {
    auto actions = dispatcher.Handle(
        kStart,
        RequestArrived{
            .request = {id}, .pool = kPool, .deadline = kStart + Seconds(10)});
    REQUIRE(actions.size() == (id == 1 ? 1 : 0));
  }
  auto actions = dispatcher.Handle(
      kStart + Milliseconds(5),
      AttemptResult{.request = {1}, .attempt = 1, .host = HostId("a")});
  REQUIRE(actions.size() == 2);
  REQUIRE(std::get<Finish>(actions[0]).outcome == Outcome::kCompleted);
  REQUIRE(std::get<SendAttempt>(actions[1]).request == RequestId{2});
}

}  // namespace
}  // namespace radishmoor::dispatch
