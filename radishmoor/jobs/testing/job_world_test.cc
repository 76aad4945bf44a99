#include <catch2/catch.hpp>

#include "radishmoor/jobs/testing/job_world.h"

namespace radishmoor {
namespace {

void RequireSound(const JobWorld& world) {
  for (const std::string& violation : world.violations())
    UNSCOPED_INFO(violation);
  REQUIRE(world.violations().empty());
  REQUIRE(world.unfinished() == 0);
}

// Guards against a scheduler that loses, doubles or never ends jobs without any
// fault.
TEST_CASE("all jobs of a calm site end", "[world]") {
  JobWorld world({.seed = 1});
  world.Run(Seconds(30));
  world.Settle();
  RequireSound(world);
  REQUIRE(world.counts().accepted > 100);
  REQUIRE(world.counts().lapsed == 0);
  REQUIRE(world.counts().refused < world.counts().accepted / 10);
}

// Guards against tasks that run twice, are lost or start out of order when
// processes, servers and the store fail and answers are lost.
TEST_CASE("what must hold does under random faults", "[world]") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    JobWorld world({.seed = seed,
                    .fault_period = Milliseconds(1500),
                    .lost_answers = 0.05,
                    .late_orders = 0.03});
    world.Run(Seconds(40));
    world.Settle();
    RequireSound(world);
    REQUIRE(world.counts().completed > 20);
  }
}

// Guards against maintenance that ends work or takes too many hosts at once.
TEST_CASE("a wave empties each host before its maintenance", "[world]") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    JobWorld world({.seed = seed, .jobs_per_second = 3, .wave = true});
    world.Run(Seconds(40));
    world.Settle();
    RequireSound(world);
    REQUIRE(world.counts().maintained == 4);
  }
}

// A successor of an owner that released a lease must wait for the leases of the
// owner before that one, which may be cut off and still extend them.
TEST_CASE("two changes of the owner while one is cut off", "[world]") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    JobWorld world({.seed = seed, .nodes = 5});
    world.Run(Seconds(8));
    PoolId pool("alpha");
    int first = world.OwnerOf(pool);
    REQUIRE(first >= 0);
    world.CutNodeFromStore(first, Seconds(9));
    world.Run(Seconds(2));
    for (int node = 0; node < 5; ++node) {
      if (node != first) {
        world.StopNode(node);
        world.CutNodeFromServers(node, Milliseconds(600));
      }
    }
    world.Run(Seconds(8));
    world.Settle();
    RequireSound(world);
  }
}

}  // namespace
}  // namespace radishmoor
