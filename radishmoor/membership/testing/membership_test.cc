// Tests of Member, Peers and Leases, alone and together under random faults.

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

// Control processes that register as members, exchange heartbeats and lease
// pools. The holder of a pool commits writes that Expectations() fences.
class MembershipSimulation {
 public:
  struct ControlProcess {
    SimProcess sim_process;
    MemberId id;
    std::unique_ptr<Member> member;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<Leases> leases;
    WallMillis wall_clock_skew = 0;
    bool cut_from_peers = false;
    ConfigVersion version = 0;
    bool superseded = false;
  };

  MembershipSimulation(uint64_t seed, size_t count, size_t pool_count)
      : sim(seed), store(&sim) {
    for (size_t i = 0; i < pool_count; ++i)
      pools.insert(PoolId("p" + std::to_string(i)));
    for (size_t i = 0; i < count; ++i) {
      processes.push_back(std::make_unique<ControlProcess>());
      processes[i]->id = MemberId("m" + std::to_string(i));
    }
    for (size_t i = 0; i < count; ++i)
      Start(i);
  }

  WallMillis Wall(size_t index) const {
    return 1'780'000'000'000 + processes[index]->wall_clock_skew +
           sim.now.time_since_epoch().count() / 1000;
  }

  void Start(size_t index) {
    ControlProcess& process = *processes[index];
    Simulation::Kill(&process.sim_process);
    std::string address = "127.0.0.1:" + std::to_string(index);
    ZoneId zone(index % 2 == 0 ? "a" : "b");
    process.superseded = false;
    process.member = std::make_unique<Member>(
        MemberOptions{.id = process.id,
                      .incarnation = {static_cast<uint64_t>(Wall(index))},
                      .role = MemberRole::kControl,
                      .zone = zone,
                      .addresses = {address},
                      .seed = sim.random.Next()});
    process.peers = std::make_unique<Peers>(PeersOptions{
        process.id, MemberRole::kControl, zone, address, sim.random.Next()});
    process.leases = std::make_unique<Leases>(
        sim.random.Next(), process.member.get(), process.peers.get());
    process.leases->SetPools(pools);
    Tick(index);
  }

  void Tick(size_t index) {
    ControlProcess& process = *processes[index];
    process.peers->SetSelf(process.member->record().incarnation,
                           process.version);
    CarryOut(index, process.member->Tick(sim.now), &ControlProcess::member);
    CarryOut(index, process.peers->Tick(sim.now, {Wall(index), 0}),
             &ControlProcess::peers);
    CarryOut(index, process.leases->Tick(sim.now), &ControlProcess::leases);
    Schedule(index);
  }

  void Schedule(size_t index) {
    ControlProcess& process = *processes[index];
    Time wake =
        std::min({process.member->next_wake(), process.peers->next_wake(),
                  process.leases->next_wake()});
    sim.Wake(&process.sim_process, wake, [this, index] { Tick(index); });
  }

  template <typename Action, typename Part>
  void CarryOut(size_t index, const std::vector<Action>& actions, Part part) {
    ControlProcess& process = *processes[index];
    for (const Action& action : actions) {
      if (auto* call = std::get_if<StoreCall>(&action)) {
        store.Call(&process.sim_process, *call,
                   [=, this](const StoreAnswer& answer) {
                     auto& target = (*processes[index]).*part;
                     CarryOut(index, target->Handle(sim.now, answer), part);
                     Schedule(index);
                   });
      } else {
        HandleAction(index, action);
      }
    }
  }

  void HandleAction(size_t index, const PeerAction& action) {
    if (auto* send = std::get_if<SendHeartbeat>(&action)) {
      for (size_t to = 0; to < processes.size(); ++to) {
        if (processes[to]->id != send->to || processes[to]->cut_from_peers ||
            processes[index]->cut_from_peers)
          continue;
        Duration late = sim.random.Chance(0.02) ? Seconds(30) : Milliseconds(3);
        sim.Post(&processes[to]->sim_process,
                 sim.random.Between(Duration(0), late),
                 [=, this, message = send->heartbeat] {
                   CarryOut(to, processes[to]->peers->Handle(sim.now, message),
                            &ControlProcess::peers);
                 });
      }
    }
  }
  void HandleAction(size_t index, const MemberAction& action) {
    if (std::holds_alternative<MemberSuperseded>(action)) {
      processes[index]->superseded = true;
      REQUIRE_FALSE(processes[index]->member->HoldsLease(sim.now));
    }
  }
  void HandleAction(size_t, const LeaseAction&) {}

  // Sends a control transaction of the pool if the process holds the lease in
  // its own view. When the transaction commits, the lease row must still name
  // the process.
  void Write(size_t index, const PoolId& pool) {
    ControlProcess& process = *processes[index];
    auto expects = process.leases->Expectations(sim.now, pool);
    if (!expects)
      return;
    uint64_t token = process.member->record().token;
    Transaction t{.expects = *expects};
    t.writes.push_back({"work/" + pool.str(), "x"});
    // One write in five may reach the store up to 30 s late.
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
          ReadRows{{LeaseKey(pool), MemberKey(processes[index]->id)}}));
      REQUIRE(DecodeLease(rows.rows[0].value)->token == token);
      REQUIRE(DecodeMember(rows.rows[1].value)->token == token);
    });
  }

  // Checks that for each pool the store would commit transactions of at most
  // one of the processes that hold the lease in their own view.
  void CheckSingleHolder() {
    for (const PoolId& pool : pools) {
      int effective_holders = 0;
      for (auto& process : processes) {
        bool paused = process->sim_process.paused_until > sim.now;
        if (!process->leases->HoldsPoolLease(sim.now, pool) || paused)
          continue;
        auto expects = process->leases->Expectations(sim.now, pool);
        effective_holders += expects && WouldCommit(*expects) ? 1 : 0;
      }
      REQUIRE(effective_holders <= 1);
    }
  }

  bool WouldCommit(const std::vector<RowExpectation>& expects) {
    for (const RowExpectation& e : expects) {
      auto rows = std::get<RowsReply>(store.table.Handle(ReadRows{{e.key}}));
      if (rows.rows[0].version != e.version)
        return false;
    }
    return true;
  }

  Simulation sim;
  FaultyTable store;
  std::vector<std::unique_ptr<ControlProcess>> processes;
  std::set<PoolId> pools;
  uint64_t written = 0;
  uint64_t fenced = 0;
};

void RandomFault(MembershipSimulation& simulation) {
  Random& random = simulation.sim.random;
  size_t index = random.Below(simulation.processes.size());
  MembershipSimulation::ControlProcess& process = *simulation.processes[index];
  switch (random.Below(7)) {
    case 0:
      simulation.store.faults = RandomFaults(random);
      break;
    case 1:
      process.sim_process.Pause(simulation.sim.now +
                                random.Between(Milliseconds(10), Seconds(180)));
      break;
    case 2:
      simulation.Start(index);
      break;
    case 3:
      process.wall_clock_skew =
          static_cast<WallMillis>(random.Below(7'200'000)) - 3'600'000;
      break;
    case 4:
      process.cut_from_peers = !process.cut_from_peers;
      break;
    case 5:  // Another program removes the row of the running process.
      simulation.store.table.Handle(
          CommitRows{{.writes = {{MemberKey(process.id), "", true}}}});
      break;
    default:
      simulation.store.faults = {};
  }
}

Figures RunRandom(uint64_t seed, int steps) {
  MembershipSimulation simulation(seed, 5, 6);
  Random& random = simulation.sim.random;
  for (int step = 0; step < steps; ++step) {
    INFO("seed " << seed << " step " << step);
    if (random.Chance(0.02))
      RandomFault(simulation);
    size_t index = random.Below(simulation.processes.size());
    MembershipSimulation::ControlProcess& process =
        *simulation.processes[index];
    if (process.superseded)
      simulation.Start(index);
    if (process.sim_process.paused_until <= simulation.sim.now) {
      simulation.Write(index, PoolId("p" + std::to_string(random.Below(6))));
      if (random.Chance(0.1))
        process.member->SetDrainAcknowledgement(++process.version, {});
    }
    simulation.CheckSingleHolder();
    simulation.sim.RunUntil(simulation.sim.now +
                            random.Between(Duration(0), Milliseconds(600)));
  }
  simulation.store.faults = {};
  for (auto& process : simulation.processes)
    process->cut_from_peers = false;
  simulation.sim.RunUntil(simulation.sim.now + Seconds(300));
  Figures totals{{"events", simulation.sim.events},
                 {"written", simulation.written},
                 {"fenced", simulation.fenced}};
  INFO("seed " << seed);
  std::set<PoolId> held;
  for (auto& process : simulation.processes) {
    REQUIRE((process->superseded ||
             process->member->HoldsLease(simulation.sim.now)));
    for (const PoolId& pool : process->leases->HeldPools(simulation.sim.now))
      REQUIRE(held.insert(pool).second);
    totals["taken_over"] += process->leases->counters().taken_over;
    totals["handed_back"] += process->leases->counters().handed_back;
    if (!process->superseded)
      REQUIRE(process->peers->LivePeers().size() >= 2);
  }
  REQUIRE(held == simulation.pools);
  return totals;
}

// Guards against two holders of one lease whose writes both commit, against a
// pool without a holder after the faults have ended, and against a process that
// does not register again.
TEST_CASE("at most one holder of a lease can commit under random faults") {
  Figures sum = RunSeeds("membership", 30,
                         [](uint64_t seed) { return RunRandom(seed, 2000); });
  REQUIRE(sum["fenced"] > 0);
  REQUIRE(sum["taken_over"] > 0);
  REQUIRE(sum["handed_back"] > 0);
}

MemberOptions MakeOptions(uint64_t incarnation, uint64_t seed) {
  return {.id = MemberId("m"),
          .incarnation = {incarnation},
          .zone = ZoneId("a"),
          .addresses = {"127.0.0.1:1"},
          .seed = seed};
}

// One member. Run() and Answer() answer its store calls at once; a test may
// answer single calls itself instead.
struct SingleMember {
  explicit SingleMember(MemoryTable* table, MemberOptions options)
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

// Guards against a row that other processes cannot decode.
TEST_CASE("member and lease rows decode to the encoded value") {
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

// Guards against a write for every change, and against a change that waits for
// the next renewal.
TEST_CASE("changes are written soon and at most once in 200 ms") {
  MemoryTable table;
  SingleMember single(&table, MakeOptions(1, 1));
  single.Run(Seconds(1));
  uint64_t before = single.member.counters().writes;
  for (ConfigVersion v = 1; v <= 100; ++v) {
    single.member.SetDrainAcknowledgement(v, {HostId("w" + std::to_string(v))});
    single.Run(Milliseconds(10));
  }
  single.Run(Milliseconds(200));
  uint64_t writes = single.member.counters().writes - before;
  REQUIRE(writes >= 5);
  REQUIRE(writes <= 7);
  REQUIRE(single.Stored().version == 100);
  REQUIRE(single.Stored().busy_hosts == std::vector{HostId("w100")});
  before = single.member.counters().writes;
  single.Run(Seconds(60));
  std::printf(
      "membership: idle %.2f writes/s\n",
      static_cast<double>(single.member.counters().writes - before) / 60);
  REQUIRE(single.member.counters().writes - before <= 23);
}

// Guards against a lease term that starts at the answer: the holder would still
// rely on the lease after others have taken over.
TEST_CASE("the lease term starts when the renewal is sent") {
  MemoryTable table;
  SingleMember single(&table, MakeOptions(1, 1));
  single.Answer(single.member.Tick(single.now));
  Time sent = single.now;
  while (All<StoreCall>(single.member.Tick(single.now)).empty() ||
         single.now == sent)
    single.now += Milliseconds(100);
  REQUIRE(single.member.lease_until() == sent + Member::kLeaseTerm);
  REQUIRE(single.member.HoldsLease(sent + Milliseconds(9999)));
  REQUIRE_FALSE(single.member.HoldsLease(sent + Seconds(10)));
  REQUIRE(All<MemberLeaseLost>(single.member.Tick(sent + Seconds(10))).size() ==
          1);
}

// Guards against a member that mistakes its own write, whose answer was lost,
// for the write of another process.
TEST_CASE("a renewal whose answer was lost is resolved by reading back") {
  MemoryTable table;
  SingleMember single(&table, MakeOptions(1, 1));
  single.Run(Seconds(2));
  single.member.SetDrainAcknowledgement(4, {});
  StoreCall write = FirstStoreCall(single.member.Tick(single.now));
  uint64_t writes = single.member.counters().writes;
  table.Handle(write.request);
  REQUIRE_FALSE(single.member.Expectation(single.now));
  single.member.Handle(single.now, {write.tag, UnknownReply{}});
  single.Run(Milliseconds(1100));
  REQUIRE(single.member.counters().writes == writes);
  REQUIRE(single.member.Expectation(single.now));
  REQUIRE(single.member.counters().read_backs == 1);
  REQUIRE(single.member.counters().conflicts == 0);
}

// Guards against a restarted process whose incarnation is not larger because
// its wall clock was set back, and against an old process that keeps its lease.
TEST_CASE("a restart supersedes the old process though its clock is behind") {
  MemoryTable table;
  SingleMember old_start(&table, MakeOptions(1000, 1));
  old_start.Run(Seconds(1));
  SingleMember new_start(&table, MakeOptions(10, 2));
  new_start.Run(Seconds(1));
  REQUIRE(new_start.member.record().incarnation.value == 1001);
  old_start.Run(Seconds(4));
  REQUIRE_FALSE(old_start.member.registered());
  REQUIRE_FALSE(old_start.member.HoldsLease(old_start.now));
  REQUIRE(new_start.member.HoldsLease(new_start.now));
}

// Guards against a running process that is taken for ended because the host
// list lags behind and describes another instance.
TEST_CASE("a process is known to have ended only if its end is certain") {
  MemberRecord m{.id = MemberId("m"),
                 .incarnation = {5},
                 .addresses = {"127.0.0.1:1"},
                 .host = "h",
                 .host_instance = 3};
  std::vector<MemberRecord> all{m};
  auto ended = [&](HostListState state, uint64_t instance) {
    std::vector<HostListEntry> hosts{{"h", state, instance}};
    return IsKnownEnded(m, hosts, all);
  };
  REQUIRE(ended(HostListState::kTerminated, 3));
  REQUIRE(ended(HostListState::kLive, 4));
  REQUIRE_FALSE(ended(HostListState::kTerminated, 2));
  REQUIRE_FALSE(ended(HostListState::kLeaving, 3));
  all.push_back(
      {.id = MemberId("n"), .incarnation = {6}, .addresses = {"127.0.0.1:1"}});
  REQUIRE(IsKnownEnded(m, {}, all));
  all.back().incarnation = {4};
  REQUIRE_FALSE(IsKnownEnded(m, {}, all));
}

// Guards against heartbeats to every member of the site, against a heartbeat of
// an earlier incarnation that makes a peer live, and against scans whose
// traffic grows with the site.
TEST_CASE("heartbeats and scans stay within their traffic limits") {
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
      // Strings, four 8-byte numbers, 16 bytes of framing and 52 bytes of IP
      // and TCP headers.
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

  Heartbeat message{.from = MemberId("m0"),
                    .incarnation = {9},
                    .zone = ZoneId("z0"),
                    .version = 3};
  peers.Handle(now, message);
  REQUIRE(peers.Find(message.from)->live);
  peers.Tick(now + Seconds(3), {});
  REQUIRE_FALSE(peers.Find(message.from)->live);
  message.incarnation = {8};
  peers.Handle(now + Seconds(3), message);
  REQUIRE_FALSE(peers.Find(message.from)->live);
  REQUIRE(peers.counters().stale_heartbeats == 1);
}

// Guards against a takeover that is delayed by seconds because one scan failed,
// and against scans without a pause while the store is unavailable.
TEST_CASE("a failed scan is repeated soon, then with a growing delay") {
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

// Guards against a lease that is taken from a holder that has just renewed.
TEST_CASE("taking a lease expects the holder's row as observed") {
  bool renews = GENERATE(true, false);
  MemoryTable table;
  MemberOptions options = MakeOptions(1, 1);
  options.role = MemberRole::kControl;
  SingleMember single(&table, options);
  MemberRecord holder{.id = MemberId("h"), .incarnation = {1}, .token = 7};
  auto put = [&](const std::string& key, const std::string& value) {
    table.Handle(CommitRows{{.writes = {{key, value}}}});
  };
  put(MemberKey(holder.id), EncodeMember(holder));
  put(LeaseKey(PoolId("p")), EncodeLease({holder.id, 7}));
  Peers peers({MemberId("m"), MemberRole::kControl, ZoneId("a"), "", 2});
  Leases leases(3, &single.member, &peers);
  leases.SetPools({PoolId("p")});
  bool tried = false;
  while (!tried) {
    single.Run(Milliseconds(10));
    for (const StoreCall& call : All<StoreCall>(peers.Tick(single.now, {})))
      peers.Handle(single.now,
                   StoreAnswer{call.tag, table.Handle(call.request)});
    for (const StoreCall& call : All<StoreCall>(leases.Tick(single.now))) {
      tried = std::holds_alternative<CommitRows>(call.request);
      if (tried && renews)
        put(MemberKey(holder.id), EncodeMember(holder));
      leases.Handle(single.now, {call.tag, table.Handle(call.request)});
    }
  }
  REQUIRE(single.now >= kTimeZero + Seconds(12));
  REQUIRE(leases.HoldsPoolLease(single.now, PoolId("p")) == !renews);
  if (!renews)
    REQUIRE(leases.Expectations(single.now, PoolId("p"))->size() == 2);
}

// Guards against a planned stop that leaves the member row or a lease row
// behind, even if the answer to the removal is lost.
TEST_CASE("a planned stop releases all leases and removes the member row") {
  MemoryTable table;
  MemberOptions options = MakeOptions(1, 1);
  options.role = MemberRole::kControl;
  SingleMember single(&table, options);
  Peers peers({MemberId("m"), MemberRole::kControl, ZoneId("a"), "", 2});
  Leases leases(3, &single.member, &peers);
  leases.SetPools({PoolId("p"), PoolId("q")});
  auto run = [&](Duration duration) {
    for (Time end = single.now + duration; single.now < end;) {
      single.Run(Milliseconds(10));
      for (const StoreCall& call : All<StoreCall>(peers.Tick(single.now, {})))
        peers.Handle(single.now,
                     StoreAnswer{call.tag, table.Handle(call.request)});
      for (const StoreCall& call : All<StoreCall>(leases.Tick(single.now)))
        leases.Handle(single.now, {call.tag, table.Handle(call.request)});
    }
  };
  run(Seconds(5));
  REQUIRE(leases.HeldPools(single.now).size() == 2);
  REQUIRE(table.row_count() == 3);
  leases.ReleaseAll();
  run(Seconds(1));
  REQUIRE(leases.HeldPools(single.now).empty());
  REQUIRE(table.row_count() == 1);
  single.member.Leave();
  single.now += Milliseconds(200);
  StoreCall removal = FirstStoreCall(single.member.Tick(single.now));
  table.Handle(removal.request);
  single.member.Handle(single.now, {removal.tag, UnknownReply{}});
  single.Run(Seconds(2));
  REQUIRE(table.row_count() == 0);
  REQUIRE_FALSE(single.member.registered());
  REQUIRE(single.member.next_wake() == kTimeMax);
}

}  // namespace
}  // namespace radishmoor
