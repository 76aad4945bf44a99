// Random tests of member, peers and leases together.

#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <set>

#include "radishmoor/membership/lease.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/membership/peers.h"
#include "radishmoor/store/testing/faulty_table.h"

namespace radishmoor {
namespace {

// Control processes that register, follow each other and lease pools. Each
// holder commits writes of its pool, fenced by Expectations().
class World {
 public:
  struct Node {
    SimProcess process;
    MemberId id;
    std::unique_ptr<Member> member;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<Leases> leases;
    WallMillis skew = 0;
    bool cut = false;  // From peers.
    ConfigVersion version = 0;
    bool superseded = false;
  };

  World(uint64_t seed, size_t count, size_t pool_count)
      : sim(seed), store(&sim) {
    for (size_t i = 0; i < pool_count; ++i)
      pools.insert(PoolId("p" + std::to_string(i)));
    for (size_t i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<Node>());
      nodes[i]->id = MemberId("m" + std::to_string(i));
    }
    for (size_t i = 0; i < count; ++i)
      Start(i);
  }

  WallMillis Wall(size_t n) const {
    return 1'780'000'000'000 + nodes[n]->skew +
           sim.now.time_since_epoch().count() / 1000;
  }

  void Start(size_t n) {
    Node& node = *nodes[n];
    Simulation::Kill(&node.process);
    std::string address = "127.0.0.1:" + std::to_string(n);
    ZoneId zone(n % 2 == 0 ? "a" : "b");
    node.superseded = false;
    node.member = std::make_unique<Member>(
        MemberOptions{.id = node.id,
                      .incarnation = {static_cast<uint64_t>(Wall(n))},
                      .role = MemberRole::kControl,
                      .zone = zone,
                      .addresses = {address},
                      .seed = sim.random.Next()});
    node.peers = std::make_unique<Peers>(PeersOptions{
        node.id, MemberRole::kControl, zone, address, sim.random.Next()});
    node.leases = std::make_unique<Leases>(sim.random.Next(), node.member.get(),
                                           node.peers.get());
    node.leases->SetPools(pools);
    Tick(n);
  }

  void Tick(size_t n) {
    Node& node = *nodes[n];
    node.peers->SetSelf(node.member->record().incarnation, node.version);
    Do(n, node.member->Tick(sim.now), &Node::member);
    Do(n, node.peers->Tick(sim.now, {Wall(n), 0}), &Node::peers);
    Do(n, node.leases->Tick(sim.now), &Node::leases);
    Schedule(n);
  }

  void Schedule(size_t n) {
    Node& node = *nodes[n];
    Time wake = std::min({node.member->next_wake(), node.peers->next_wake(),
                          node.leases->next_wake()});
    sim.Wake(&node.process, wake, [this, n] { Tick(n); });
  }

  template <typename Action, typename Part>
  void Do(size_t n, const std::vector<Action>& actions, Part part) {
    Node& node = *nodes[n];
    for (const Action& action : actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) {
        store.Call(&node.process, *call, [=, this](const StoreAnswer& answer) {
          auto& target = (*nodes[n]).*part;
          Do(n, target->Handle(sim.now, answer), part);
          Schedule(n);
        });
      } else {
        Note(n, action);
      }
    }
  }

  void Note(size_t n, const PeerAction& action) {
    if (auto* send = std::get_if<SendHeartbeat>(&action)) {
      for (size_t to = 0; to < nodes.size(); ++to) {
        if (nodes[to]->id != send->to || nodes[to]->cut || nodes[n]->cut)
          continue;
        Duration late = sim.random.Chance(0.02) ? Seconds(30) : Milliseconds(3);
        sim.Post(&nodes[to]->process, sim.random.Between(Duration(0), late),
                 [=, this, beat = send->heartbeat] {
                   Do(to, nodes[to]->peers->Handle(sim.now, beat),
                      &Node::peers);
                 });
      }
    }
  }
  void Note(size_t n, const MemberAction& action) {
    if (std::holds_alternative<MemberSuperseded>(action)) {
      nodes[n]->superseded = true;
      REQUIRE_FALSE(nodes[n]->member->HoldsLease(sim.now));
    }
  }
  void Note(size_t, const LeaseAction&) {}

  // A control write: it must fail unless the writer is the only holder.
  void Write(size_t n, const PoolId& pool) {
    Node& node = *nodes[n];
    auto expects = node.leases->Expectations(sim.now, pool);
    if (!expects)
      return;
    uint64_t token = node.member->record().token;
    Transaction t{.expects = *expects};
    t.writes.push_back({"work/" + pool.str(), "x"});
    // The write reaches the store late at times.
    Duration delay = sim.random.Between(
        Duration(0), sim.random.Chance(0.2) ? Seconds(30) : Milliseconds(5));
    sim.At(sim.now + delay, [=, this] {
      auto reply = store.table.Handle(CommitRows{t});
      if (!std::holds_alternative<CommittedReply>(reply)) {
        ++fenced;
        return;
      }
      ++written;
      auto rows = std::get<RowsReply>(store.table.Handle(
          ReadRows{{LeaseKey(pool), MemberKey(nodes[n]->id)}}));
      REQUIRE(DecodeLease(rows.rows[0].value)->token == token);
      REQUIRE(DecodeMember(rows.rows[1].value)->token == token);
    });
  }

  // Of the holders by their own belief, at most one has writes that pass.
  void Check() {
    for (const PoolId& pool : pools) {
      int passing = 0;
      for (auto& node : nodes) {
        bool paused = node->process.paused_until > sim.now;
        if (!node->leases->HoldsPoolLease(sim.now, pool) || paused)
          continue;
        auto expects = node->leases->Expectations(sim.now, pool);
        passing += expects && Passes(*expects) ? 1 : 0;
      }
      REQUIRE(passing <= 1);
    }
  }

  bool Passes(const std::vector<RowExpectation>& expects) {
    for (const RowExpectation& e : expects) {
      auto rows = std::get<RowsReply>(store.table.Handle(ReadRows{{e.key}}));
      if (rows.rows[0].version != e.version)
        return false;
    }
    return true;
  }

  Simulation sim;
  FaultyTable store;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<PoolId> pools;
  uint64_t written = 0;
  uint64_t fenced = 0;
};

void RandomFault(World& world) {
  Random& random = world.sim.random;
  size_t n = random.Below(world.nodes.size());
  World::Node& node = *world.nodes[n];
  switch (random.Below(7)) {
    case 0:
      world.store.faults = RandomFaults(random);
      break;
    case 1:
      node.process.Pause(world.sim.now +
                         random.Between(Milliseconds(10), Seconds(180)));
      break;
    case 2:
      world.Start(n);
      break;
    case 3:
      node.skew = static_cast<WallMillis>(random.Below(7'200'000)) - 3'600'000;
      break;
    case 4:
      node.cut = !node.cut;
      break;
    case 5:  // Someone takes the process for ended.
      world.store.table.Handle(
          CommitRows{{.writes = {{MemberKey(node.id), "", true}}}});
      break;
    default:
      world.store.faults = {};
  }
}

Figures RunRandom(uint64_t seed, int steps) {
  World world(seed, 5, 6);
  Random& random = world.sim.random;
  for (int step = 0; step < steps; ++step) {
    INFO("seed " << seed << " step " << step);
    if (random.Chance(0.02))
      RandomFault(world);
    size_t n = random.Below(world.nodes.size());
    World::Node& node = *world.nodes[n];
    if (node.superseded)
      world.Start(n);
    if (node.process.paused_until <= world.sim.now) {
      world.Write(n, PoolId("p" + std::to_string(random.Below(6))));
      if (random.Chance(0.1))
        node.member->SetAcknowledgement(++node.version, {});
    }
    world.Check();
    world.sim.RunUntil(world.sim.now +
                       random.Between(Duration(0), Milliseconds(600)));
  }
  world.store.faults = {};
  for (auto& node : world.nodes)
    node->cut = false;
  world.sim.RunUntil(world.sim.now + Seconds(300));
  Figures totals{{"events", world.sim.events},
                 {"written", world.written},
                 {"fenced", world.fenced}};
  INFO("seed " << seed);
  std::set<PoolId> held;
  for (auto& node : world.nodes) {
    REQUIRE((node->superseded || node->member->HoldsLease(world.sim.now)));
    for (const PoolId& pool : node->leases->HeldPools(world.sim.now))
      REQUIRE(held.insert(pool).second);
    totals["taken_over"] += node->leases->counters().taken_over;
    totals["handed_back"] += node->leases->counters().handed_back;
    if (!node->superseded)
      REQUIRE(node->peers->LivePeers().size() >= 2);
  }
  REQUIRE(held == world.pools);
  return totals;
}

// Guards against two holders of a lease whose writes pass, against a pool that
// nobody holds after the faults end, and against a process that does not
// register again.
TEST_CASE("leases have one effective holder under random faults") {
  Figures sum = RunSeeds("membership", 30,
                         [](uint64_t seed) { return RunRandom(seed, 2000); });
  REQUIRE(sum["fenced"] > 0);
  REQUIRE(sum["taken_over"] > 0);
  REQUIRE(sum["handed_back"] > 0);
}

MemberOptions Options(uint64_t incarnation, uint64_t seed) {
  return {.id = MemberId("m"),
          .incarnation = {incarnation},
          .zone = ZoneId("a"),
          .addresses = {"127.0.0.1:1"},
          .seed = seed};
}

// One member whose store calls are answered at once unless the test does it.
struct Single {
  explicit Single(MemoryTable* table, MemberOptions options)
      : table(table), member(std::move(options)) {}

  void Run(Duration duration) {
    for (Time end = now + duration; now < end; now += Milliseconds(10))
      Answer(member.Tick(now));
  }
  void Answer(std::vector<MemberAction> actions) {
    while (!actions.empty()) {
      std::vector<MemberAction> next;
      for (const StoreCall& call : All<StoreCall>(actions))
        next = member.Handle(now, {call.tag, table->Handle(call.request)});
      actions = std::move(next);
    }
  }
  MemberRecord Stored() {
    auto rows = std::get<RowsReply>(table->Handle(ReadRows{{"member/m"}}));
    return DecodeMember(rows.rows[0].value).value();
  }

  Time now = kTimeZero + Seconds(1);
  MemoryTable* table;
  Member member;
};

// Guards against a row that cannot be read back by another process.
TEST_CASE("member and lease rows decode to the same value") {
  MemberRecord record{.id = MemberId("m \"1\""),
                      .incarnation = {5},
                      .token = ~0ull,
                      .operation = {7},
                      .role = MemberRole::kControl,
                      .zone = ZoneId("a b"),
                      .addresses = {"127.0.0.1:1", ""},
                      .host = "h",
                      .host_instance = 3,
                      .version = 9,
                      .busy_hosts = {HostId("w-1")}};
  REQUIRE(DecodeMember(EncodeMember(record)) == record);
  REQUIRE_FALSE(DecodeMember("member1 \"m\" 5"));
  LeaseRecord lease{MemberId("m"), 8};
  REQUIRE(DecodeLease(EncodeLease(lease)) == lease);
  REQUIRE_FALSE(DecodeLease("lease0 \"m\" 8"));
}

// Guards against a write for each change, and a change that waits for the
// renewal.
TEST_CASE("changes are written at most once in 200 ms") {
  MemoryTable table;
  Single s(&table, Options(1, 1));
  s.Run(Seconds(1));
  uint64_t before = s.member.counters().writes;
  for (ConfigVersion v = 1; v <= 100; ++v) {
    s.member.SetAcknowledgement(v, {HostId("w" + std::to_string(v))});
    s.Run(Milliseconds(10));
  }
  s.Run(Milliseconds(200));
  uint64_t writes = s.member.counters().writes - before;
  REQUIRE(writes >= 5);
  REQUIRE(writes <= 7);
  REQUIRE(s.Stored().version == 100);
  REQUIRE(s.Stored().busy_hosts == std::vector{HostId("w100")});
  before = s.member.counters().writes;
  s.Run(Seconds(60));
  std::printf("membership: idle %.2f writes/s\n",
              static_cast<double>(s.member.counters().writes - before) / 60);
  REQUIRE(s.member.counters().writes - before <= 23);
}

// Guards against a lease that counts from the answer: the holder would believe
// in it after others took over.
TEST_CASE("the lease counts from the sending of the renewal") {
  MemoryTable table;
  Single s(&table, Options(1, 1));
  s.Answer(s.member.Tick(s.now));
  Time sent = s.now;
  while (All<StoreCall>(s.member.Tick(s.now)).empty() || s.now == sent)
    s.now += Milliseconds(100);
  REQUIRE(s.member.lease_until() == sent + Member::kLeaseTerm);
  REQUIRE(s.member.HoldsLease(sent + Milliseconds(9999)));
  REQUIRE_FALSE(s.member.HoldsLease(sent + Seconds(10)));
  REQUIRE(All<MemberLeaseLost>(s.member.Tick(sent + Seconds(10))).size() == 1);
}

// Guards against a write that took effect and is taken for another's.
TEST_CASE("a lost answer of a renewal is read back") {
  MemoryTable table;
  Single s(&table, Options(1, 1));
  s.Run(Seconds(2));
  s.member.SetAcknowledgement(4, {});
  StoreCall write = OnlyCall(s.member.Tick(s.now));
  uint64_t writes = s.member.counters().writes;
  table.Handle(write.request);
  REQUIRE_FALSE(s.member.Expectation(s.now));
  s.member.Handle(s.now, {write.tag, UnknownReply{}});
  s.Run(Milliseconds(1100));
  REQUIRE(s.member.counters().writes == writes);
  REQUIRE(s.member.Expectation(s.now));
  REQUIRE(s.member.counters().read_backs == 1);
  REQUIRE(s.member.counters().conflicts == 0);
}

// Guards against a restart that looks older than the process that it replaces,
// and against an old process that goes on.
TEST_CASE("a new start supersedes the old one after a clock jump") {
  MemoryTable table;
  Single old_start(&table, Options(1000, 1));
  old_start.Run(Seconds(1));
  Single new_start(&table, Options(10, 2));
  new_start.Run(Seconds(1));
  REQUIRE(new_start.member.record().incarnation.value == 1001);
  old_start.Run(Seconds(4));
  REQUIRE_FALSE(old_start.member.registered());
  REQUIRE_FALSE(old_start.member.HoldsLease(old_start.now));
  REQUIRE(new_start.member.HoldsLease(new_start.now));
}

// Guards against a process that is taken for ended by a line of the lagging
// host list about another instance.
TEST_CASE("only a certain end counts") {
  MemberRecord m{.id = MemberId("m"),
                 .incarnation = {5},
                 .addresses = {"127.0.0.1:1"},
                 .host = "h",
                 .host_instance = 3};
  std::vector<MemberRecord> all{m};
  auto ended = [&](HostListState state, uint64_t instance) {
    std::vector<HostListEntry> hosts{{"h", state, instance}};
    return KnownEnded(m, hosts, all);
  };
  REQUIRE(ended(HostListState::kTerminated, 3));
  REQUIRE(ended(HostListState::kLive, 4));
  REQUIRE_FALSE(ended(HostListState::kTerminated, 2));
  REQUIRE_FALSE(ended(HostListState::kLeaving, 3));
  all.push_back(
      {.id = MemberId("n"), .incarnation = {6}, .addresses = {"127.0.0.1:1"}});
  REQUIRE(KnownEnded(m, {}, all));
  all.back().incarnation = {4};
  REQUIRE_FALSE(KnownEnded(m, {}, all));
}

// Guards against heartbeats to every member of the site, a peer of an old
// incarnation that counts as live, and scans that grow with the site.
TEST_CASE("heartbeats and scans stay within the budget of a node") {
  MemoryTable table;
  Peers peers(
      {MemberId("self"), MemberRole::kEntry, ZoneId("z0"), "127.0.0.1:1", 1});
  peers.SetSelf({1}, 1);
  for (int i = 0; i < 395; ++i) {
    MemberRecord r{
        .id = MemberId("m" + std::to_string(i)),
        .incarnation = {9},
        .role = i % 2 == 0 ? MemberRole::kEntry : MemberRole::kControl,
        .zone = ZoneId("z" + std::to_string(i / 2 % 22)),
        .addresses = {"127.0.0.1:1", "127.0.0.1:2"}};
    table.Handle(CommitRows{{.writes = {{MemberKey(r.id), EncodeMember(r)}}}});
  }
  Time now = kTimeZero + Seconds(1);
  uint64_t bytes = 0;
  for (int i = 0; i < 6000; ++i, now += Milliseconds(10)) {
    auto actions = peers.Tick(now, {});
    for (const SendHeartbeat& send : All<SendHeartbeat>(actions)) {
      const Heartbeat& b = send.heartbeat;
      // Strings, four numbers, framing and IP/TCP headers.
      bytes += b.from.str().size() + b.zone.str().size() + b.address.size() +
               4 * 8 + 16 + 52;
    }
    for (const StoreCall& call : All<StoreCall>(actions))
      peers.Handle(now, StoreAnswer{call.tag, table.Handle(call.request)});
  }
  double scan = static_cast<double>(peers.counters().scan_bytes) / 60;
  std::printf(
      "membership: 396 members: %.1f heartbeats/s, %.0f bytes/s of "
      "heartbeats, %.0f bytes/s of scans\n",
      static_cast<double>(peers.counters().heartbeats_sent) / 60,
      static_cast<double>(bytes) / 60, scan);
  REQUIRE(scan <= 1000);
  REQUIRE(peers.counters().heartbeats_sent <= 70 * (9 + 3));

  Heartbeat beat{.from = MemberId("m0"),
                 .incarnation = {9},
                 .zone = ZoneId("z0"),
                 .version = 3};
  peers.Handle(now, beat);
  REQUIRE(peers.Find(beat.from)->live);
  peers.Tick(now + Seconds(3), {});
  REQUIRE_FALSE(peers.Find(beat.from)->live);
  beat.incarnation = {8};
  peers.Handle(now + Seconds(3), beat);
  REQUIRE_FALSE(peers.Find(beat.from)->live);
  REQUIRE(peers.counters().old_heartbeats == 1);
}

// Guards against a takeover that is delayed by seconds since one scan failed,
// and against scans without a pause while the store is away.
TEST_CASE("a failed scan is repeated soon, and then less often") {
  Peers peers({MemberId("self"), MemberRole::kControl, ZoneId("z0"), "a:1", 1});
  Time start = kTimeZero + Seconds(1);
  std::vector<Duration> scans;
  for (Time now = start; now < start + Seconds(30); now += Milliseconds(10)) {
    auto actions = peers.Tick(now, {});
    for (const StoreCall& call : All<StoreCall>(actions)) {
      scans.push_back(now - start);
      peers.Handle(now, StoreAnswer{call.tag, UnavailableReply{"down"}});
    }
  }
  REQUIRE(scans.size() >= 3);
  REQUIRE(scans[1] <= Milliseconds(510));
  REQUIRE(scans[2] <= Milliseconds(1520));
  REQUIRE(scans.size() <= 16);
}

// Guards against a lease taken from a holder that renewed just before.
TEST_CASE("taking a lease expects the holder's row as observed") {
  bool renews = GENERATE(true, false);
  MemoryTable table;
  MemberOptions options = Options(1, 1);
  options.role = MemberRole::kControl;
  Single s(&table, options);
  MemberRecord holder{.id = MemberId("h"), .incarnation = {1}, .token = 7};
  auto put = [&](const std::string& key, const std::string& value) {
    table.Handle(CommitRows{{.writes = {{key, value}}}});
  };
  put(MemberKey(holder.id), EncodeMember(holder));
  put(LeaseKey(PoolId("p")), EncodeLease({holder.id, 7}));
  Peers peers({MemberId("m"), MemberRole::kControl, ZoneId("a"), "", 2});
  Leases leases(3, &s.member, &peers);
  leases.SetPools({PoolId("p")});
  bool tried = false;
  while (!tried) {
    s.Run(Milliseconds(10));
    for (const StoreCall& call : All<StoreCall>(peers.Tick(s.now, {})))
      peers.Handle(s.now, StoreAnswer{call.tag, table.Handle(call.request)});
    for (const StoreCall& call : All<StoreCall>(leases.Tick(s.now))) {
      tried = std::holds_alternative<CommitRows>(call.request);
      if (tried && renews)
        put(MemberKey(holder.id), EncodeMember(holder));
      leases.Handle(s.now, {call.tag, table.Handle(call.request)});
    }
  }
  REQUIRE(s.now >= kTimeZero + Seconds(12));
  REQUIRE(leases.HoldsPoolLease(s.now, PoolId("p")) == !renews);
  if (!renews)
    REQUIRE(leases.Expectations(s.now, PoolId("p"))->size() == 2);
}

// Guards against a planned stop that leaves a row or a lease behind, also when
// the answer of the removal is lost.
TEST_CASE("a planned stop releases leases and removes the own row") {
  MemoryTable table;
  MemberOptions options = Options(1, 1);
  options.role = MemberRole::kControl;
  Single s(&table, options);
  Peers peers({MemberId("m"), MemberRole::kControl, ZoneId("a"), "", 2});
  Leases leases(3, &s.member, &peers);
  leases.SetPools({PoolId("p"), PoolId("q")});
  auto run = [&](Duration duration) {
    for (Time end = s.now + duration; s.now < end;) {
      s.Run(Milliseconds(10));
      for (const StoreCall& call : All<StoreCall>(peers.Tick(s.now, {})))
        peers.Handle(s.now, StoreAnswer{call.tag, table.Handle(call.request)});
      for (const StoreCall& call : All<StoreCall>(leases.Tick(s.now)))
        leases.Handle(s.now, {call.tag, table.Handle(call.request)});
    }
  };
  run(Seconds(5));
  REQUIRE(leases.HeldPools(s.now).size() == 2);
  REQUIRE(table.row_count() == 3);
  leases.ReleaseAll();
  run(Seconds(1));
  REQUIRE(leases.HeldPools(s.now).empty());
  REQUIRE(table.row_count() == 1);
  s.member.Leave();
  s.now += Milliseconds(200);
  StoreCall removal = OnlyCall(s.member.Tick(s.now));
  table.Handle(removal.request);
  s.member.Handle(s.now, {removal.tag, UnknownReply{}});
  s.Run(Seconds(2));
  REQUIRE(table.row_count() == 0);
  REQUIRE_FALSE(s.member.registered());
  REQUIRE(s.member.next_wake() == kTimeMax);
}

}  // namespace
}  // namespace radishmoor
