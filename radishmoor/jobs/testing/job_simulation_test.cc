#include <catch2/catch.hpp>

#include "radishmoor/jobs/testing/job_simulation.h"

namespace radishmoor {
namespace {

void RequireSound(const JobSimulation& world) {
  for (const std::string& violation : world.violations())
    UNSCOPED_INFO(violation);
  REQUIRE(world.violations().empty());
  REQUIRE(world.unfinished() == 0);
}

// Guards against a scheduler that loses, doubles or never ends jobs without any
// fault.
TEST_CASE("all jobs of a calm site end", "[world]") {
  JobSimulation world({.seed = 1});
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
    JobSimulation world({.seed = seed,
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
    JobSimulation world({.seed = seed, .jobs_per_second = 3, .wave = true});
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
    JobSimulation world({.seed = seed, .nodes = 5});
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

// Guards against processes that insert jobs themselves while the store is slow:
// their transactions took the partition from the owner until seconds after the
// store was well again.
TEST_CASE("a slow store is left to the owner's commits", "[world]") {
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    INFO("seed " << seed);
    JobSimulation world({.seed = seed,
                         .nodes = 8,
                         .servers_per_pool = 12,
                         .jobs_per_second = 40});
    world.Run(Seconds(8));
    world.SlowStore(100, Milliseconds(3600));
    world.Run(Milliseconds(3600));
    // The store is well; callers who repeat their calls are let in again soon.
    world.Run(Milliseconds(1500));
    JobSimulationCounts before = world.counts();
    world.Run(Seconds(3));
    uint64_t accepted = world.counts().accepted - before.accepted;
    uint64_t refused = world.counts().refused - before.refused;
    INFO("accepted " << accepted << ", refused " << refused);
    REQUIRE(refused * 10 < accepted);
    world.Settle();
    RequireSound(world);
  }
}

// Guards against a takeover that waits a whole lease from the first reading of
// a row that the owner has not renewed for a while.
TEST_CASE("a cut-off owner is replaced soon", "[world]") {
  for (uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    JobSimulation world({.seed = seed,
                         .nodes = 6,
                         .servers_per_pool = 12,
                         .jobs_per_second = 30});
    world.Run(Seconds(8));
    PoolId pool("alpha");
    int first = world.OwnerOf(pool);
    REQUIRE(first >= 0);
    world.CutNodeOff(first, Seconds(8));
    Time cut = world.now();
    auto replaced = [&] {
      for (int node = 0; node < 6; ++node) {
        if (node != first && world.Owns(node, pool))
          return true;
      }
      return false;
    };
    while (!replaced() && world.now() - cut < Seconds(6))
      world.Run(Milliseconds(50));
    // The length of the lease, and half a second for processes that stand back
    // for each other.
    REQUIRE(world.now() - cut < Seconds(2));
    world.Settle();
    RequireSound(world);
  }
}

// Guards against running tasks whose leases lapse since their pool's owner is
// lost: a successor must extend them in time.
TEST_CASE("the loss of an owner ends no run", "[world]") {
  for (int kind = 0; kind < 4; ++kind) {
    INFO("kind " << kind);
    JobSimulation world({.seed = 21,
                         .nodes = 6,
                         .servers_per_pool = 12,
                         .jobs_per_second = 30});
    world.Run(Seconds(8));
    int owner = world.OwnerOf(PoolId("alpha"));
    switch (kind) {
      case 0:
        world.KillNode(owner, Seconds(8));
        break;
      case 1:
        world.FreezeNode(owner, Seconds(8));
        break;
      case 2:
        world.CutNodeOff(owner, Seconds(8));
        break;
      default:
        world.StopNode(owner);
        break;
    }
    world.Run(Seconds(8));
    REQUIRE(world.counts().lapsed == 0);
    world.Settle();
    RequireSound(world);
  }
}

}  // namespace
}  // namespace radishmoor
