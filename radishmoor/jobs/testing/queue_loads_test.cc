#include "radishmoor/jobs/queue_loads.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

namespace radishmoor {
namespace {

bool Equal(const QueueLoad& a, const QueueLoad& b) {
  return a.queue == b.queue && a.pending == b.pending &&
         a.open_since == b.open_since && a.earlier_pools == b.earlier_pools;
}

TEST_CASE("a receiver of changed loads has the sender's list", "[queues]") {
  std::mt19937_64 random(1);
  auto chance = [&random](int percent) {
    return static_cast<int>(random() % 100) < percent;
  };
  for (int round = 0; round < 300; ++round) {
    std::map<QueueId, QueueLoad> queues;
    auto list = [&queues] {
      std::vector<QueueLoad> loads;
      for (const auto& [id, load] : queues)
        loads.push_back(load);
      return loads;
    };
    for (uint64_t i = random() % 20; i > 0; --i) {
      QueueId id("q" + std::to_string(random() % 30));
      queues[id] = {id, chance(30) ? 2u : 0u, {}, random() % 3, {}};
    }
    std::vector<QueueLoad> complete = list();
    for (int change = 0; change < 5; ++change) {
      QueueId id("q" + std::to_string(random() % 30));
      QueueLoad& load = queues[id];
      load.queue = id;
      if (chance(50))
        load.pending = static_cast<uint32_t>(random() % 3);
      if (chance(50))
        load.open_since = random() % 3;
      if (chance(30))
        load.earlier_pools = {PoolId("p")};
    }
    std::vector<QueueLoad> sent = list();
    std::vector<QueueLoad> received =
        MergeLoads(complete, ChangedLoads(complete, sent));
    REQUIRE(std::equal(received.begin(), received.end(), sent.begin(),
                       sent.end(), Equal));
  }
}

// Guards against heartbeats that take an owner's processor time in proportion
// to all queues of its pool.
TEST_CASE("queues without pending jobs that are as before are left out",
          "[queues]") {
  std::vector<QueueLoad> loads;
  for (int i = 0; i < 500; ++i)
    loads.push_back({QueueId("q" + std::to_string(1000 + i)), 0, {}, 7, {}});
  std::vector<QueueLoad> complete = loads;
  loads[3].pending = 1;
  loads[4].open_since = 0;
  std::vector<QueueLoad> changed = ChangedLoads(complete, loads);
  REQUIRE(changed.size() == 2);
  REQUIRE(changed[0].queue == loads[3].queue);
  REQUIRE(changed[1].queue == loads[4].queue);
}

}  // namespace
}  // namespace radishmoor
