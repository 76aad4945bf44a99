#include "radishmoor/config/fleet_state.h"

#include <catch2/catch.hpp>
#include <stdexcept>

#include "radishmoor/config/errors.h"

namespace radishmoor {
namespace {

ConfigDelta SampleDelta() {
  ConfigDelta delta;
  delta.version = 1;
  delta.operation = {0xfedcba9876543210ull};
  delta.author = "operator";
  HostState host;
  host.id = HostId("w-1");
  host.pool = host.wanted_pool = PoolId("a");
  host.phase = HostPhase::kDraining;
  host.address = "127.0.0.1:9";
  delta.hosts.push_back(host);
  PoolState pool;
  pool.id = PoolId("a");
  pool.spare = true;
  delta.pools.push_back(pool);
  TeamState team;
  team.id = TeamId("t");
  team.quota_cores = 3;
  delta.teams.push_back(team);
  delta.rules_changed = true;
  delta.rules.maintenance = "r1";
  return delta;
}

// Guards against a field that is encoded but not decoded, or the reverse.
TEST_CASE("stored configuration text decodes to the same value") {
  ConfigDelta delta = SampleDelta();
  REQUIRE(DecodeDelta(EncodeDelta(delta)) == delta);
  FleetState state;
  state.Apply(delta);
  REQUIRE(DecodeState(EncodeState(state)) == state);
  ConfigHead head = DecodeHead(EncodeHead({7, 5}));
  REQUIRE(head.version == 7);
  REQUIRE(head.snapshot == 5);
}

// Guards against applying a delta after a gap or for the second time.
TEST_CASE("a delta applies only to the preceding version") {
  FleetState state;
  ConfigDelta delta = SampleDelta();
  delta.version = 2;
  REQUIRE_THROWS_AS(state.Apply(delta), std::invalid_argument);
  delta.version = 1;
  state.Apply(delta);
  REQUIRE_THROWS_AS(state.Apply(delta), std::invalid_argument);
  REQUIRE(state.version == 1);
}

TEST_CASE("decoding damaged text throws ConfigFormatError") {
  REQUIRE_THROWS_AS(DecodeDelta("{\"version\":1}"), ConfigFormatError);
  REQUIRE_THROWS_AS(DecodeHead("not json"), ConfigFormatError);
}

}  // namespace
}  // namespace radishmoor
