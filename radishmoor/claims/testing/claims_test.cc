#include "radishmoor/claims/claims.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>

#include "radishmoor/store/testing/faulty_table.h"

namespace radishmoor {
namespace {

constexpr WallMillis kHourMs = 3'600'000;
constexpr WallMillis kStartWall = 1'780'000'000'000;

// Returns an idempotency key: a version 7 UUID with this time.
std::string MakeKey(WallMillis time, uint64_t number) {
  char text[48];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7000-8000-%012llx",
                static_cast<unsigned long long>(time) >> 16,
                static_cast<unsigned long long>(time) & 0xffff,
                static_cast<unsigned long long>(number));
  return text;
}

// Simulates several processes that use one table, and records what happened to
// each request and key. `n` is the index of a process in `nodes`.
class ClaimsSimulation {
 public:
  struct Node {
    SimProcess process;
    std::unique_ptr<Claims> claims;
    WallMillis clock_skew_ms = 0;
  };
  struct Request {
    std::string key;
    uint64_t hash = 0;
    Time deadline;
    int outcomes = 0;               // Grants, replays and rejections received.
    bool rejected_not_run = false;  // Reported as not run.
    bool ran = false;
    bool replayed = false;
    std::optional<ClaimRejectReason> reason;
    bool withdrawn = false;
    bool process_killed = false;
    size_t node = 0;
  };

  ClaimsSimulation(uint64_t seed, size_t nodes) : sim(seed), store(&sim) {
    for (size_t i = 0; i < nodes; ++i) {
      this->nodes.push_back(std::make_unique<Node>());
      Start(i);
    }
  }

  WallMillis BaseWall() const {
    return kStartWall + skipped_wall_ms +
           sim.now.time_since_epoch().count() / 1000;
  }
  WallMillis Wall(size_t n) const {
    return BaseWall() + nodes[n]->clock_skew_ms;
  }

  void Start(size_t n) {
    nodes[n]->claims =
        std::make_unique<Claims>(ClaimsOptions{.seed = sim.random.Next()});
    Perform(n, nodes[n]->claims->Tick(sim.now));
  }

  void Kill(size_t n) {
    Simulation::Kill(&nodes[n]->process);
    for (auto& [id, request] : requests)
      request.process_killed = request.process_killed || request.node == n;
    Start(n);
  }

  uint64_t Begin(size_t n, std::string key, uint64_t hash, Duration deadline) {
    uint64_t id = ++last_request;
    requests[id] = {
        .key = key, .hash = hash, .deadline = sim.now + deadline, .node = n};
    Node& node = *nodes[n];
    sim.Post(&node.process, Duration(0), [=, this] {
      Perform(
          n, nodes[n]->claims->Begin(sim.now, Wall(n),
                                     {{id}, key, hash, requests[id].deadline}));
    });
    return id;
  }

  // Withdraws the request as if its caller had gone away, unless it already has
  // an outcome.
  void Withdraw(RequestId id) {
    size_t n = requests.at(id.value).node;
    sim.Post(&nodes[n]->process, Duration(0), [=, this] {
      Request& request = requests.at(id.value);
      if (request.outcomes > 0 || request.process_killed)
        return;
      request.withdrawn = true;
      Perform(n, nodes[n]->claims->Finish(sim.now, id, ClaimNotRun{}));
    });
  }

  void Perform(size_t n, const std::vector<ClaimAction>& actions) {
    Node& node = *nodes[n];
    for (const ClaimAction& action : actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) {
        store.Call(&node.process, *call, [=, this](const StoreAnswer& answer) {
          Perform(n, nodes[n]->claims->Handle(sim.now, Wall(n), answer));
        });
      } else if (auto* granted = std::get_if<ClaimGranted>(&action)) {
        RecordOutcome(granted->request);
        REQUIRE(sim.now < requests[granted->request.value].deadline);
        RequestId id = granted->request;
        sim.Post(&node.process,
                 sim.random.Between(Duration(0), Milliseconds(20)),
                 [=, this] { CheckAndSend(n, id); });
      } else if (auto* replay = std::get_if<ClaimReplay>(&action)) {
        Request& request = RecordOutcome(replay->request);
        request.replayed = true;
        REQUIRE(answers.contains(request.key));
        REQUIRE(answers[request.key] == replay->answer);
        REQUIRE(ran_hash[request.key] == request.hash);
      } else if (auto* rejected = std::get_if<ClaimRejected>(&action)) {
        Request& request = RecordOutcome(rejected->request);
        request.rejected_not_run = !rejected->may_have_run;
        request.reason = rejected->reason;
        REQUIRE_FALSE(request.ran);
      }
    }
    sim.Wake(&node.process, node.claims->next_wake(),
             [=, this] { Perform(n, nodes[n]->claims->Tick(sim.now)); });
  }

  Request& RecordOutcome(RequestId id) {
    Request& request = requests.at(id.value);
    REQUIRE_FALSE(request.withdrawn);
    REQUIRE(++request.outcomes == 1);
    return request;
  }

  // Sends the request as an entry process does: checks MaySend() directly
  // before.
  void CheckAndSend(size_t n, RequestId id) {
    Request& request = requests.at(id.value);
    Claims& claims = *nodes[n]->claims;
    if (!claims.MaySend(sim.now, id) || sim.random.Chance(0.1)) {
      request.rejected_not_run = true;
      Perform(n, claims.Finish(sim.now, id, ClaimNotRun{}));
      return;
    }
    REQUIRE(sim.now < request.deadline);
    REQUIRE_FALSE(request.rejected_not_run);
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
    Perform(n, nodes[n]->claims->Finish(sim.now, id, std::move(result)));
  }

  Simulation sim;
  FaultyTable store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<uint64_t, Request> requests;
  std::map<std::string, uint64_t> ran_hash;    // Body hash by key that ran.
  std::map<std::string, std::string> answers;  // Answer by key that completed.
  uint64_t last_request = 0;
  uint64_t runs = 0;
  WallMillis skipped_wall_ms = 0;
};

void InjectRandomFault(ClaimsSimulation& simulation) {
  Random& random = simulation.sim.random;
  size_t n = random.Below(simulation.nodes.size());
  ClaimsSimulation::Node& node = *simulation.nodes[n];
  switch (random.Below(6)) {
    case 0:
      simulation.store.faults = RandomFaults(random);
      break;
    case 1:
      node.process.Pause(simulation.sim.now +
                         random.Between(Milliseconds(10), Seconds(180)));
      break;
    case 2:
      simulation.Kill(n);
      break;
    case 3:
      node.clock_skew_ms =
          random.Chance(0.5)
              ? 0
              : static_cast<WallMillis>(random.Below(60 * kHourMs)) -
                    30 * kHourMs;
      break;
    case 4:
      // Up to 8 hours pass on all wall clocks without an event.
      simulation.skipped_wall_ms +=
          static_cast<WallMillis>(random.Below(9)) * kHourMs;
      break;
    default:
      simulation.store.faults = {};
  }
}

Figures RunRandom(uint64_t seed, int steps) {
  ClaimsSimulation simulation(seed, 3);
  Random& random = simulation.sim.random;
  std::vector<std::string> keys;
  for (int step = 0; step < steps; ++step) {
    if (keys.size() < 4 || random.Chance(0.3)) {
      WallMillis age = random.Chance(0.05)
                           ? static_cast<WallMillis>(random.Below(26)) * kHourMs
                           : 0;
      keys.push_back(
          MakeKey(simulation.BaseWall() - age, random.Below(1 << 20)));
    }
    size_t recent =
        random.Chance(0.8) ? std::min<size_t>(8, keys.size()) : keys.size();
    const std::string& key = keys[keys.size() - 1 - random.Below(recent)];
    simulation.Begin(random.Below(3), key, random.Chance(0.95) ? 1 : 2,
                     random.Between(Milliseconds(20), Seconds(4)));
    if (random.Chance(0.1))
      simulation.Withdraw({1 + random.Below(simulation.last_request)});
    if (random.Chance(0.03))
      InjectRandomFault(simulation);
    Duration pause = random.Chance(0.02) ? Seconds(60) : Milliseconds(400);
    simulation.sim.RunUntil(simulation.sim.now +
                            random.Between(Duration(0), pause));
  }
  simulation.store.faults = {};
  simulation.sim.RunUntil(simulation.sim.now + Seconds(400));
  Figures totals{{"events", simulation.sim.events},
                 {"requests", simulation.requests.size()},
                 {"runs", simulation.runs}};
  for (const auto& [id, request] : simulation.requests) {
    INFO("seed " << seed << " request " << id);
    REQUIRE(
        (request.outcomes == 1 || request.withdrawn || request.process_killed));
    totals["replays"] += request.replayed ? 1 : 0;
  }
  for (const auto& node : simulation.nodes) {
    INFO("seed " << seed);
    REQUIRE(node->claims->size() == 0);
    totals["removed"] += node->claims->counters().removed;
  }
  return totals;
}

// Guards against a second run of a key, a rejection as not run of a request
// that ran, a replay of a wrong answer, a request without an outcome, and
// claims that stay in memory. The faults are random store faults, pauses and
// kills of processes, and wrong wall clocks.
TEST_CASE("a key runs at most once under random faults") {
  Figures sum = RunSeeds("claims", 60,
                         [](uint64_t seed) { return RunRandom(seed, 1500); });
  REQUIRE(sum["replays"] > 0);
  REQUIRE(sum["removed"] > 0);
}

// One process. The test answers its store calls one by one, oldest first.
struct SingleProcess {
  explicit SingleProcess(uint64_t seed = 1)
      : claims(ClaimsOptions{.seed = seed}) {
    Advance(Duration(0));
    Answer();  // Answers the read of the horizon.
  }

  using Actions = std::vector<ClaimAction>;
  Actions QueueStoreCalls(Actions actions) {
    for (StoreCall& call : All<StoreCall>(actions))
      calls.push_back(std::move(call));
    return actions;
  }
  Actions Begin(uint64_t id, uint64_t hash = 1) {
    return QueueStoreCalls(
        claims.Begin(now, kStartWall,
                     {{id}, MakeKey(kStartWall, id), hash, now + Seconds(10)}));
  }
  StoreCall TakeCall() {
    REQUIRE_FALSE(calls.empty());
    StoreCall call = calls.front();
    calls.pop_front();
    return call;
  }
  Actions Reply(const StoreCall& call, StoreReply reply) {
    return QueueStoreCalls(
        claims.Handle(now, kStartWall, {call.tag, std::move(reply)}));
  }
  Actions Answer(const StoreCall& call) {
    return Reply(call, table.Handle(call.request));
  }
  Actions Answer() { return Answer(TakeCall()); }
  Actions Advance(Duration delay) {
    now += delay;
    return QueueStoreCalls(claims.Tick(now));
  }
  // Advances past the transaction interval, and answers the batch that is then
  // sent.
  Actions CommitNextBatch() {
    Advance(Milliseconds(40));
    return Answer();
  }

  Time now = kTimeZero + Seconds(1);
  MemoryTable table;
  Claims claims;
  std::deque<StoreCall> calls;
};

// Guards against rejecting a request whose claim was inserted, when only the
// answer of the store was lost.
TEST_CASE("a lost store answer is resolved by reading the row back") {
  SingleProcess s;
  s.Begin(1);
  StoreCall insert = s.TakeCall();
  s.table.Handle(insert.request);
  s.Reply(insert, UnknownReply{});
  s.Advance(Milliseconds(200));
  REQUIRE(std::holds_alternative<ReadRows>(s.calls.at(0).request));
  REQUIRE(All<ClaimGranted>(s.Answer()).size() == 1);
}

// Guards against a key that can never run: its insert takes effect after the
// request was rejected, so the row belongs to a request that will not run. A
// repeat must be able to run.
TEST_CASE("an insert that takes effect after the rejection is undone") {
  bool lands_before_cleanup = GENERATE(true, false);
  SingleProcess s;
  s.Begin(1);
  StoreCall insert = s.TakeCall();
  s.Reply(insert, UnknownReply{});
  auto rejections = All<ClaimRejected>(s.Advance(Seconds(1)));
  REQUIRE(rejections.at(0).reason == ClaimRejectReason::kStoreUnavailable);
  REQUIRE_FALSE(rejections.at(0).may_have_run);
  if (lands_before_cleanup)
    s.table.Handle(insert.request);
  while (s.claims.size() > 0) {
    while (!s.calls.empty())
      REQUIRE(All<ClaimGranted>(s.Answer()).empty());
    s.Advance(Milliseconds(100));
  }
  s.table.Handle(insert.request);
  SingleProcess repeat(2);
  repeat.table = s.table;
  repeat.Begin(1);
  repeat.Answer();
  REQUIRE(All<ClaimGranted>(repeat.CommitNextBatch()).size() == 1);
}

// Guards against a duplicate key that keeps the other claims of its batch from
// being granted.
TEST_CASE("a conflict on one key leaves the other claims to the next batch") {
  SingleProcess s;
  s.table.Handle(
      CommitRows{{.writes = {{kClaimPrefix + MakeKey(kStartWall, 2),
                              EncodeClaim({.token = 7, .body_hash = 1})}}}});
  for (uint64_t id : {9, 1, 2, 3})
    s.Begin(id);
  s.Answer();
  REQUIRE(All<ClaimRejected>(s.CommitNextBatch()).at(0).reason ==
          ClaimRejectReason::kDuplicateUnknown);
  REQUIRE(All<ClaimGranted>(s.CommitNextBatch()).size() == 2);
}

// Guards against a send by a process that was paused past the deadline.
TEST_CASE("a request past its deadline is neither granted nor sent") {
  SingleProcess s;
  s.Begin(1);
  s.now += Seconds(60);
  auto late = s.Answer();
  REQUIRE(All<ClaimGranted>(late).empty());
  REQUIRE(All<ClaimRejected>(late).at(0).reason ==
          ClaimRejectReason::kDeadline);
  s.Answer();  // Answers the release of the row.
  s.now += Seconds(1);
  s.Begin(2);
  REQUIRE(All<ClaimGranted>(s.Answer()).size() == 1);
  REQUIRE(s.claims.MaySend(s.now, {2}));
  REQUIRE_FALSE(s.claims.MaySend(s.now + Seconds(60), {2}));
}

// Guards against requests that wait for a store that is known to be down.
TEST_CASE("while the store is down requests are rejected at once") {
  SingleProcess s;
  s.Begin(1);
  for (int i = 0; i < 3; ++i) {
    s.Reply(s.TakeCall(), UnavailableReply{});
    s.Advance(Milliseconds(300));
  }
  auto rejections = All<ClaimRejected>(s.Begin(2));
  REQUIRE(rejections.at(0).reason == ClaimRejectReason::kStoreUnavailable);
  REQUIRE_FALSE(rejections.at(0).may_have_run);
}

TEST_CASE("invalid keys are rejected without a store call") {
  SingleProcess s;
  auto reason = [&](std::string key, Duration deadline = Seconds(1)) {
    auto out = s.claims.Begin(s.now, kStartWall,
                              {{1}, std::move(key), 1, s.now + deadline});
    REQUIRE(All<StoreCall>(out).empty());
    return All<ClaimRejected>(out).at(0).reason;
  };
  std::string v4 = MakeKey(kStartWall, 1);
  v4[14] = '4';
  REQUIRE(reason("") == ClaimRejectReason::kKeyRequired);
  REQUIRE(reason(v4) == ClaimRejectReason::kBadKey);
  REQUIRE(reason(MakeKey(kStartWall + kHourMs, 1)) ==
          ClaimRejectReason::kBadKey);
  REQUIRE(reason(MakeKey(kStartWall - 23 * kHourMs - 1, 1)) ==
          ClaimRejectReason::kKeyExpired);
  REQUIRE(reason(MakeKey(kStartWall, 1), Duration(0)) ==
          ClaimRejectReason::kDeadline);
}

// Guards against a repeat that gets a truncated answer, or none although the
// answer was short enough to store. Then prints how many claims one process
// grants under overload, and guards against more than 30 transactions/s and
// against unused transactions (fewer than 27 per second).
TEST_CASE("repeats get stored answers, and overload keeps the write limit") {
  SingleProcess s;
  for (uint64_t id : {1, 2}) {
    s.Begin(id);
    s.Answer();
    std::string answer(4095 + id, '\xff');
    s.claims.Finish(s.now, {id}, ClaimCompleted{answer});
    s.CommitNextBatch();
    s.now += Seconds(1);
  }
  s.Begin(1);
  REQUIRE(All<ClaimReplay>(s.Answer()).at(0).answer ==
          std::string(4096, '\xff'));
  s.now += Seconds(1);
  s.Begin(1, 2);
  REQUIRE(All<ClaimRejected>(s.Answer()).at(0).reason ==
          ClaimRejectReason::kKeyReused);
  s.now += Seconds(1);
  s.Begin(2);
  auto unknown = All<ClaimRejected>(s.Answer());
  REQUIRE(unknown.at(0).reason == ClaimRejectReason::kDuplicateUnknown);
  REQUIRE(unknown.at(0).may_have_run);

  Claims::Counters before = s.claims.counters();
  Time end = s.now + Seconds(10);
  uint64_t id = 100;
  while (s.now < end) {
    for (int i = 0; i < 30; ++i)
      s.Begin(++id);
    s.Advance(Milliseconds(5));
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

// Guards against claims that are removed because one process has a wrong wall
// clock, and against a horizon that is set back after another process moved it.
TEST_CASE("old claims are removed behind a horizon that never moves back") {
  bool newer_claim_exists = GENERATE(true, false);
  SingleProcess s;
  constexpr WallMillis kOldWall = kStartWall - 30 * kHourMs;
  auto write_row = [&](const std::string& key, const std::string& value) {
    s.table.Handle(CommitRows{{.writes = {{key, value}}}});
  };
  write_row(kClaimPrefix + MakeKey(kOldWall, 1), EncodeClaim({.token = 7}));
  if (newer_claim_exists)
    write_row(kClaimPrefix + MakeKey(kOldWall + 25 * kHourMs, 2),
              EncodeClaim({.token = 8}));
  s.Advance(Seconds(600));
  // Answers the scan of the oldest claims. The next call looks for a claim that
  // is newer than the new horizon by kMaxKeyAge.
  s.Answer();
  if (!newer_claim_exists) {
    s.Answer();
    s.Advance(Seconds(10));
    REQUIRE(s.calls.empty());
    REQUIRE(s.table.row_count() == 1);
    return;
  }
  // A batch conflicts with a horizon that another process moved, before the
  // removal pass writes its own.
  std::string moved_horizon = std::to_string(kOldWall + kHourMs);
  write_row(kClaimHorizonKey, moved_horizon);
  s.Begin(5);
  for (int i = 0; i < 5; ++i) {
    while (!s.calls.empty())
      s.Answer();
    s.Advance(Milliseconds(40));
  }
  auto rows = std::get<RowsReply>(s.table.Handle(
      ReadRows{{kClaimHorizonKey, kClaimPrefix + MakeKey(kOldWall, 1),
                kClaimPrefix + MakeKey(kOldWall + 25 * kHourMs, 2)}}));
  REQUIRE(rows.rows[0].value == moved_horizon);
  REQUIRE(rows.rows[1].version == 0);
  REQUIRE(rows.rows[2].version != 0);
}

}  // namespace
}  // namespace radishmoor
