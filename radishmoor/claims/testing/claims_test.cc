#include "radishmoor/claims/claims.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
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
    sim.Wake(&node.process, node.claims->next_wake(),
             [=, this] { Do(n, nodes[n]->claims->Tick(sim.now)); });
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

Figures RunRandom(uint64_t seed, int steps) {
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
  Figures totals{{"events", world.sim.events},
                 {"requests", world.requests.size()},
                 {"runs", world.runs}};
  for (const auto& [id, request] : world.requests) {
    INFO("seed " << seed << " request " << id);
    REQUIRE((request.outcomes == 1 || request.withdrawn || request.lost));
    totals["replays"] += request.replayed ? 1 : 0;
  }
  for (const auto& node : world.nodes) {
    INFO("seed " << seed);
    REQUIRE(node->claims->size() == 0);
    totals["removed"] += node->claims->counters().removed;
  }
  return totals;
}

// Guards against a second run of a key, a false "not run", a wrong replay, a
// request without an outcome and claims that stay in memory, under any order of
// the faults of 1.5.
TEST_CASE("a key runs at most once under random faults") {
  Figures sum = RunSeeds("claims", 60,
                         [](uint64_t seed) { return RunRandom(seed, 1500); });
  REQUIRE(sum["replays"] > 0);
  REQUIRE(sum["removed"] > 0);
}

// One process whose store calls the test answers by hand, oldest first.
struct Single {
  explicit Single(uint64_t seed = 1) : claims(ClaimsOptions{.seed = seed}) {
    After(Duration(0));
    Answer();  // Reads the horizon.
  }

  using Actions = std::vector<ClaimAction>;
  Actions Keep(Actions actions) {
    for (StoreCall& call : All<StoreCall>(actions))
      calls.push_back(std::move(call));
    return actions;
  }
  Actions Begin(uint64_t id, uint64_t hash = 1) {
    return Keep(claims.Begin(
        now, kStartWall, {{id}, Key(kStartWall, id), hash, now + Seconds(10)}));
  }
  StoreCall Take() {
    REQUIRE_FALSE(calls.empty());
    StoreCall call = calls.front();
    calls.pop_front();
    return call;
  }
  Actions Reply(const StoreCall& call, StoreReply reply) {
    return Keep(claims.Handle(now, kStartWall, {call.tag, std::move(reply)}));
  }
  Actions Answer(const StoreCall& call) {
    return Reply(call, table.Handle(call.request));
  }
  Actions Answer() { return Answer(Take()); }
  Actions After(Duration delay) {
    now += delay;
    return Keep(claims.Tick(now));
  }
  // Sends what waits and answers it.
  Actions Round() {
    After(Milliseconds(40));
    return Answer();
  }

  Time now = kTimeZero + Seconds(1);
  MemoryTable table;
  Claims claims;
  std::deque<StoreCall> calls;
};

// Guards against a refusal of a request whose claim was written although the
// answer was lost.
TEST_CASE("a lost answer is resolved by reading the own token back") {
  Single s;
  s.Begin(1);
  StoreCall insert = s.Take();
  s.table.Handle(insert.request);
  s.Reply(insert, UnknownReply{});
  s.After(Milliseconds(200));
  REQUIRE(std::holds_alternative<ReadRows>(s.calls.at(0).request));
  REQUIRE(All<ClaimGranted>(s.Answer()).size() == 1);
}

// Guards against a claim that nobody runs: the insert takes effect after the
// request was refused, and a repeat must be able to run.
TEST_CASE("an insert that takes effect after the refusal is undone") {
  bool lands_before_cleanup = GENERATE(true, false);
  Single s;
  s.Begin(1);
  StoreCall insert = s.Take();
  s.Reply(insert, UnknownReply{});
  auto refused = All<ClaimRejected>(s.After(Seconds(1)));
  REQUIRE(refused.at(0).reason == ClaimRefusal::kStoreUnavailable);
  REQUIRE_FALSE(refused.at(0).may_have_run);
  if (lands_before_cleanup)
    s.table.Handle(insert.request);
  while (s.claims.size() > 0) {
    while (!s.calls.empty())
      REQUIRE(All<ClaimGranted>(s.Answer()).empty());
    s.After(Milliseconds(100));
  }
  s.table.Handle(insert.request);
  Single repeat(2);
  repeat.table = s.table;
  repeat.Begin(1);
  repeat.Answer();
  REQUIRE(All<ClaimGranted>(repeat.Round()).size() == 1);
}

// Guards against one duplicate holding up the other claims of its group.
TEST_CASE("a conflict in a group leaves the rest to the next group") {
  Single s;
  s.table.Handle(
      CommitRows{{.writes = {{kClaimPrefix + Key(kStartWall, 2),
                              EncodeClaim({.token = 7, .body_hash = 1})}}}});
  for (uint64_t id : {9, 1, 2, 3})
    s.Begin(id);
  s.Answer();
  REQUIRE(All<ClaimRejected>(s.Round()).at(0).reason ==
          ClaimRefusal::kDuplicateUnknown);
  REQUIRE(All<ClaimGranted>(s.Round()).size() == 2);
}

// Guards against a send by a process that was paused past the deadline.
TEST_CASE("a right that ran out is neither granted nor sent") {
  Single s;
  s.Begin(1);
  s.now += Seconds(60);
  auto late = s.Answer();
  REQUIRE(All<ClaimGranted>(late).empty());
  REQUIRE(All<ClaimRejected>(late).at(0).reason == ClaimRefusal::kDeadline);
  s.Answer();  // The release.
  s.now += Seconds(1);
  s.Begin(2);
  REQUIRE(All<ClaimGranted>(s.Answer()).size() == 1);
  REQUIRE(s.claims.MaySend(s.now, {2}));
  REQUIRE_FALSE(s.claims.MaySend(s.now + Seconds(60), {2}));
}

// Guards against requests that wait for a store that is known to be down.
TEST_CASE("while the store is down requests are refused at once") {
  Single s;
  s.Begin(1);
  for (int i = 0; i < 3; ++i) {
    s.Reply(s.Take(), UnavailableReply{});
    s.After(Milliseconds(300));
  }
  auto refused = All<ClaimRejected>(s.Begin(2));
  REQUIRE(refused.at(0).reason == ClaimRefusal::kStoreUnavailable);
  REQUIRE_FALSE(refused.at(0).may_have_run);
}

TEST_CASE("keys are checked before the store is asked") {
  Single s;
  auto reason = [&](std::string key, Duration deadline = Seconds(1)) {
    auto out = s.claims.Begin(s.now, kStartWall,
                              {{1}, std::move(key), 1, s.now + deadline});
    REQUIRE(All<StoreCall>(out).empty());
    return All<ClaimRejected>(out).at(0).reason;
  };
  std::string v4 = Key(kStartWall, 1);
  v4[14] = '4';
  REQUIRE(reason("") == ClaimRefusal::kKeyRequired);
  REQUIRE(reason(v4) == ClaimRefusal::kBadKey);
  REQUIRE(reason(Key(kStartWall + kHour, 1)) == ClaimRefusal::kBadKey);
  REQUIRE(reason(Key(kStartWall - 23 * kHour - 1, 1)) ==
          ClaimRefusal::kKeyExpired);
  REQUIRE(reason(Key(kStartWall, 1), Duration(0)) == ClaimRefusal::kDeadline);
}

// Guards against an answer that a repeat cannot get whole, and measures what
// one process carries under overload.
TEST_CASE("repeats, stored answers and the write limit") {
  Single s;
  for (uint64_t id : {1, 2}) {
    s.Begin(id);
    s.Answer();
    std::string answer(4095 + id, '\xff');
    s.claims.Finish(s.now, {id}, ClaimCompleted{answer});
    s.Round();
    s.now += Seconds(1);
  }
  s.Begin(1);
  REQUIRE(All<ClaimReplay>(s.Answer()).at(0).answer ==
          std::string(4096, '\xff'));
  s.now += Seconds(1);
  s.Begin(1, 2);
  REQUIRE(All<ClaimRejected>(s.Answer()).at(0).reason ==
          ClaimRefusal::kKeyReused);
  s.now += Seconds(1);
  s.Begin(2);
  auto unknown = All<ClaimRejected>(s.Answer());
  REQUIRE(unknown.at(0).reason == ClaimRefusal::kDuplicateUnknown);
  REQUIRE(unknown.at(0).may_have_run);

  Claims::Counters before = s.claims.counters();
  Time end = s.now + Seconds(10);
  uint64_t id = 100;
  while (s.now < end) {
    for (int i = 0; i < 30; ++i)
      s.Begin(++id);
    s.After(Milliseconds(5));
    while (!s.calls.empty())
      s.Answer();
    REQUIRE(s.claims.size() <= 20'000);
  }
  Claims::Counters after = s.claims.counters();
  uint64_t transactions = after.transactions - before.transactions;
  std::printf(
      "claims: 10 s at 6000 requests/s: %llu transactions, %llu "
      "claims granted\n",
      static_cast<unsigned long long>(transactions),
      static_cast<unsigned long long>(after.granted - before.granted));
  REQUIRE(transactions <= 300);
  REQUIRE(transactions >= 270);
}

// Guards against claims that are removed on the word of one wrong wall clock,
// and against a horizon that is set back after another process moved it.
TEST_CASE("old claims are removed behind a horizon that never moves back") {
  bool witness = GENERATE(true, false);
  Single s;
  constexpr WallMillis kOld = kStartWall - 30 * kHour;
  auto put = [&](const std::string& key, const std::string& value) {
    s.table.Handle(CommitRows{{.writes = {{key, value}}}});
  };
  put(kClaimPrefix + Key(kOld, 1), EncodeClaim({.token = 7}));
  if (witness)
    put(kClaimPrefix + Key(kOld + 25 * kHour, 2), EncodeClaim({.token = 8}));
  s.After(Seconds(600));
  s.Answer();  // The oldest claims; then the witness is asked for.
  if (!witness) {
    s.Answer();
    s.After(Seconds(10));
    REQUIRE(s.calls.empty());
    REQUIRE(s.table.row_count() == 1);
    return;
  }
  // A group meets a horizon that another process moved, before the removal
  // writes its own.
  std::string moved = std::to_string(kOld + kHour);
  put(kClaimHorizonKey, moved);
  s.Begin(5);
  for (int i = 0; i < 5; ++i) {
    while (!s.calls.empty())
      s.Answer();
    s.After(Milliseconds(40));
  }
  auto rows = std::get<RowsReply>(
      s.table.Handle(ReadRows{{kClaimHorizonKey, kClaimPrefix + Key(kOld, 1),
                               kClaimPrefix + Key(kOld + 25 * kHour, 2)}}));
  REQUIRE(rows.rows[0].value == moved);
  REQUIRE(rows.rows[1].version == 0);
  REQUIRE(rows.rows[2].version != 0);
}

}  // namespace
}  // namespace radishmoor
