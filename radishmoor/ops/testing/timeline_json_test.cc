#include "radishmoor/ops/timeline_json.h"

#include <catch2/catch.hpp>

namespace radishmoor {
namespace {

bool SameEvent(const TimelineEvent& a, const TimelineEvent& b) {
  return a.sequence == b.sequence && a.stamp == b.stamp && a.kind == b.kind &&
         a.request == b.request && a.host == b.host && a.pool == b.pool &&
         a.config == b.config && a.detail == b.detail;
}

// Guards against an event kind or a field that is written but not read back.
TEST_CASE("a timeline decodes to the same events") {
  TimelineBatch batch{MemberId("e1"), {uint64_t{1} << 63}, 3, {}};
  for (int kind = 0; kind <= static_cast<int>(EventKind::kStoreUp); ++kind)
    batch.events.push_back({.sequence = static_cast<uint64_t>(kind),
                            .stamp = {1'800'000'000'000, 7},
                            .kind = static_cast<EventKind>(kind)});
  batch.events[0].request = {~uint64_t{0}};
  batch.events[0].host = HostId("h");
  batch.events[0].pool = PoolId("p");
  batch.events[0].config = 9;
  batch.events[0].detail = "a\n\"b\"";
  TimelineBatch read = DecodeTimeline(EncodeTimeline(batch));
  REQUIRE(read.member == batch.member);
  REQUIRE(read.incarnation == batch.incarnation);
  REQUIRE(read.dropped == 3);
  REQUIRE(read.events.size() == batch.events.size());
  for (size_t i = 0; i < read.events.size(); ++i)
    REQUIRE(SameEvent(read.events[i], batch.events[i]));
}

// Guards against tools that crash on the page of another program.
TEST_CASE("text that is not a timeline throws TimelineFormatError") {
  for (const char* text :
       {"", "[]", "{}", "<html>",
        R"({"member":"e","incarnation":1,"events":[{"sequence":1,"wall":1,)"
        R"("logical":0,"event":"no-such-event"}]})"}) {
    REQUIRE_THROWS_AS(DecodeTimeline(text), TimelineFormatError);
  }
}

TEST_CASE("keys of a member sort by incarnation, then by sequence") {
  MemberId m("e1");
  REQUIRE(TimelineKey(m, {9}, 100) < TimelineKey(m, {10}, 9));
  REQUIRE(TimelineKey(m, {9}, 9) < TimelineKey(m, {9}, 10));
}

}  // namespace
}  // namespace radishmoor
