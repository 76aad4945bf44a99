#include "radishmoor/claims/claims.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>

#include "radishmoor/store/testing/faulty_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kHour = 3'600'000;
constexpr WallMillis kStartWall = 1'780'000'000'000;

std::string Key(WallMillis time, uint64_t number) {
  char text[48];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(time) >> 16,
                static_cast<unsigned long long>(time) & 0xffff,
                static_cast<unsigned long long>(number));
  return text;
}

// Several processes over one table, and what really happened to each key.
class World {
 public:
  struct Node {
    SimProcess process;
    std::unique_ptr<Claims> claims;
    WallMillis skew = 0;
    Time wake_at = kTimeMax;
  };
  struct Request {
    std::string key;
    uint64_t hash = 0;
    Time deadline;
    int outcomes = 0;  // Granted, Replay or Rejected.
    bool refused = false;
    bool ran = false;
    bool replayed = false;
    std::optional<ClaimRefusal> reason;
    bool withdrawn = false;
    bool lost = false;  // Its process died.
    size_t node = 0;
  };

  World(uint64_t seed, size_t nodes) : sim(seed), store(&sim) {
    for (size_t i = 0; i < nodes; ++i) {
      this->nodes.push_back(std::make_unique<Node>());
      Start(i);
    }
  }

  WallMillis BaseWall() const {
    return kStartWall + passed + sim.now.time_since_epoch().count() / 1000;
  }
  WallMillis Wall(size_t n) const { return BaseWall() + nodes[n]->skew; }

  void Start(size_t n) {
    nodes[n]->claims =
        std::make_unique<Claims>(ClaimsOptions{.seed = sim.random.Next()});
    nodes[n]->wake_at = kTimeMax;
    Do(n, nodes[n]->claims->Tick(sim.now));
  }

  void Kill(size_t n) {
    Simulation::Kill(&nodes[n]->process);
    for (auto& [id, request] : requests)
      request.lost = request.lost || request.node == n;
    Start(n);
  }

  uint64_t Begin(size_t n, std::string key, uint64_t hash, Duration deadline) {
    uint64_t id = ++last_request;
    requests[id] = {
        .key = key, .hash = hash, .deadline = sim.now + deadline, .node = n};
    Node& node = *nodes[n];
    sim.Post(&node.process, Duration(0), [=, this] {
      Do(n, nodes[n]->claims->Begin(sim.now, Wall(n),
                                    {{id}, key, hash, requests[id].deadline}));
    });
    return id;
  }

  // The caller went away; an outcome that came first stands.
  void Withdraw(RequestId id) {
    size_t n = requests.at(id.value).node;
    sim.Post(&nodes[n]->process, Duration(0), [=, this] {
      Request& request = requests.at(id.value);
      if (request.outcomes > 0 || request.lost)
        return;
      request.withdrawn = true;
      Do(n, nodes[n]->claims->Finish(sim.now, id, ClaimNotRun{}));
    });
  }

  void Do(size_t n, const std::vector<ClaimAction>& actions) {
    Node& node = *nodes[n];
    for (const ClaimAction& action : actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) {
        store.Call(&node.process, *call, [=, this](const StoreAnswer& answer) {
          Do(n, nodes[n]->claims->Handle(sim.now, Wall(n), answer));
        });
      } else if (auto* granted = std::get_if<ClaimGranted>(&action)) {
        Outcome(granted->request);
        REQUIRE(sim.now < requests[granted->request.value].deadline);
        RequestId id = granted->request;
        sim.Post(&node.process,
                 sim.random.Between(Duration(0), Milliseconds(20)),
                 [=, this] { Send(n, id); });
      } else if (auto* replay = std::get_if<ClaimReplay>(&action)) {
        Request& request = Outcome(replay->request);
        request.replayed = true;
        REQUIRE(answers.contains(request.key));
        REQUIRE(answers[request.key] == replay->answer);
        REQUIRE(ran_hash[request.key] == request.hash);
      } else if (auto* rejected = std::get_if<ClaimRejected>(&action)) {
        Request& request = Outcome(rejected->request);
        request.refused = !rejected->may_have_run;
        request.reason = rejected->reason;
        REQUIRE_FALSE(request.ran);
      }
    }
    Time wake = node.claims->next_wake();
    if (wake >= node.wake_at && node.wake_at > sim.now)
      return;
    node.wake_at = wake;
    sim.Post(&node.process, std::max(wake - sim.now, Duration(0)), [=, this] {
      if (nodes[n]->wake_at > sim.now)
        return;
      nodes[n]->wake_at = kTimeMax;
      Do(n, nodes[n]->claims->Tick(sim.now));
    });
  }

  Request& Outcome(RequestId id) {
    Request& request = requests.at(id.value);
    REQUIRE_FALSE(request.withdrawn);
    REQUIRE(++request.outcomes == 1);
    return request;
  }

  // Sends as an entry process does: the right is checked just before.
  void Send(size_t n, RequestId id) {
    Request& request = requests.at(id.value);
    Claims& claims = *nodes[n]->claims;
    if (!claims.MaySend(sim.now, id) || sim.random.Chance(0.1)) {
      request.refused = true;
      Do(n, claims.Finish(sim.now, id, ClaimNotRun{}));
      return;
    }
    REQUIRE(sim.now < request.deadline);
    REQUIRE_FALSE(request.refused);
    request.ran = true;
    ++runs;
    INFO("key " << request.key);
    REQUIRE(ran_hash.emplace(request.key, request.hash).second);
    sim.Post(&nodes[n]->process,
             sim.random.Between(Duration(0), Milliseconds(500)),
             [=, this] { Answer(n, id); });
  }

  void Answer(size_t n, RequestId id) {
    ClaimResult result = ClaimMayHaveRun{};
    if (sim.random.Chance(0.8)) {
      std::string answer(sim.random.Below(100), 'a');
      answer += std::to_string(id.value);
      answers[requests.at(id.value).key] = answer;
      result = ClaimCompleted{answer};
    }
    Do(n, nodes[n]->claims->Finish(sim.now, id, std::move(result)));
  }

  Simulation sim;
  FaultyTable store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<uint64_t, Request> requests;
  std::map<std::string, uint64_t> ran_hash;    // Keys that ran.
  std::map<std::string, std::string> answers;  // Of keys that completed.
  uint64_t last_request = 0;
  uint64_t runs = 0;
  WallMillis passed = 0;
};

void RandomFault(World& world) {
  Random& random = world.sim.random;
  size_t n = random.Below(world.nodes.size());
  World::Node& node = *world.nodes[n];
  switch (random.Below(6)) {
    case 0:
      world.store.faults = RandomFaults(random);
      break;
    case 1:
      node.process.Pause(world.sim.now +
                         random.Between(Milliseconds(10), Seconds(180)));
      break;
    case 2:
      world.Kill(n);
      break;
    case 3:
      node.skew =
          random.Chance(0.5)
              ? 0
              : static_cast<WallMillis>(random.Below(60 * kHour)) - 30 * kHour;
      break;
    case 4:
      // Hours in which nothing happened.
      world.passed += static_cast<WallMillis>(random.Below(9)) * kHour;
      break;
    default:
      world.store.faults = {};
  }
}

struct Totals {
  uint64_t events = 0;
  uint64_t requests = 0;
  uint64_t runs = 0;
  uint64_t replays = 0;
  uint64_t removed = 0;
};

Totals RunRandom(uint64_t seed, int steps) {
  World world(seed, 3);
  Random& random = world.sim.random;
  std::vector<std::string> keys;
  for (int step = 0; step < steps; ++step) {
    if (keys.size() < 4 || random.Chance(0.3)) {
      WallMillis age = random.Chance(0.05)
                           ? static_cast<WallMillis>(random.Below(26)) * kHour
                           : 0;
      keys.push_back(Key(world.BaseWall() - age, random.Below(1 << 20)));
    }
    size_t recent =
        random.Chance(0.8) ? std::min<size_t>(8, keys.size()) : keys.size();
    const std::string& key = keys[keys.size() - 1 - random.Below(recent)];
    world.Begin(random.Below(3), key, random.Chance(0.95) ? 1 : 2,
                random.Between(Milliseconds(20), Seconds(4)));
    if (random.Chance(0.1))
      world.Withdraw({1 + random.Below(world.last_request)});
    if (random.Chance(0.03))
      RandomFault(world);
    Duration pause = random.Chance(0.02) ? Seconds(60) : Milliseconds(400);
    world.sim.RunUntil(world.sim.now + random.Between(Duration(0), pause));
  }
  world.store.faults = {};
  world.sim.RunUntil(world.sim.now + Seconds(400));
  Totals totals{world.sim.events, world.requests.size(), world.runs, 0, 0};
  for (const auto& [id, request] : world.requests) {
    INFO("seed " << seed << " request " << id);
    REQUIRE((request.outcomes == 1 || request.withdrawn || request.lost));
    totals.replays += request.replayed ? 1 : 0;
  }
  for (const auto& node : world.nodes) {
    INFO("seed " << seed);
    REQUIRE(node->claims->size() == 0);
    totals.removed += node->claims->counters().removed;
  }
  return totals;
}

// Guards against a second run of a key, a false "not run", a wrong replay, a
// request without an outcome and claims that stay in memory, under any order of
// the faults of 1.5.
TEST_CASE("a key runs at most once under random faults") {
  Totals sum;
  auto begin = std::chrono::steady_clock::now();
  const char* count = std::getenv("CLAIMS_SEEDS");
  uint64_t seeds = count ? std::strtoull(count, nullptr, 10) : 60;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    Totals t = RunRandom(seed, 1500);
    sum = {sum.events + t.events, sum.requests + t.requests, sum.runs + t.runs,
           sum.replays + t.replays, sum.removed + t.removed};
  }
  double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  std::printf(
      "claims: %.0f events/s; requests %llu runs %llu replays %llu "
      "removed %llu\n",
      static_cast<double>(sum.events) / seconds,
      static_cast<unsigned long long>(sum.requests),
      static_cast<unsigned long long>(sum.runs),
      static_cast<unsigned long long>(sum.replays),
      static_cast<unsigned long long>(sum.removed));
  REQUIRE(sum.replays > 0);
  REQUIRE(sum.removed > 0);
}

}  // namespace
}  // namespace radishmoor
