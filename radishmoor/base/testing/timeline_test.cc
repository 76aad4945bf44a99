#include "radishmoor/base/timeline.h"

#include <catch2/catch.hpp>

#include "radishmoor/base/hybrid_clock.h"

namespace radishmoor {
namespace {

// Guards against events that are overwritten before they are flushed and not
// counted as dropped.
TEST_CASE("the ring keeps the newest events and counts the dropped ones") {
  TimelineRing ring(4);
  for (int i = 0; i < 6; ++i)
    ring.Add({.detail = std::to_string(i)});
  auto events = ring.EventsAfter(0);
  REQUIRE(events.size() == 4);
  REQUIRE(events.front().detail == "2");
  REQUIRE(events.back().sequence == 6);
  REQUIRE(ring.dropped() == 2);
  ring.MarkFlushed(6);
  ring.Add({});
  REQUIRE(ring.dropped() == 2);
  REQUIRE(ring.EventsAfter(6).size() == 1);
}

// Guards against an effect that sorts before its cause because the receiver's
// wall clock is behind the sender's or jumps back.
TEST_CASE("hybrid time orders cause before effect across skewed clocks") {
  HybridClock ahead;
  HybridClock behind;
  HybridTime sent = ahead.Tick(1'000'000);
  HybridTime received = behind.Merge(5, sent);
  REQUIRE(sent < received);
  REQUIRE(received < behind.Tick(3));
}

}  // namespace
}  // namespace radishmoor
