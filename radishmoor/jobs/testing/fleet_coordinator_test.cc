#include "radishmoor/jobs/fleet_coordinator.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <set>

#include "radishmoor/store/memory_table.h"

namespace radishmoor {
namespace {

constexpr Duration kTickPeriod = Milliseconds(50);

// Runs a fleet coordinator against a store and a host API that carry out each
// request without delay. Pools "a" and "b" have four hosts each, the standby
// pool "spare" has four more.
class FleetCoordinatorHarness {
 public:
  FleetCoordinatorHarness() {
    config_.version = 1;
    config_.pools = {{PoolId("a")}, {PoolId("b")}, {PoolId("spare"), true}};
    for (int i = 0; i < 12; ++i) {
      HostListing host;
      host.host = HostId("h" + std::to_string(i));
      host.pool = PoolId(i < 4 ? "a" : i < 8 ? "b" : "spare");
      host.capacity = {16000, 64000, 0};
      if (i < 8)
        host.server = ServerId("s" + std::to_string(next_server_++));
      hosts_.push_back(host);
    }
  }

  // Replaces the coordinator by a successor with a new lease.
  void TakeOver() {
    FleetCoordinatorOptions options;
    options.node = MemberId("n" + std::to_string(token_));
    options.token = ++token_;
    options.first_owner = token_ == 1;
    options.lease_taken_at = now_;
    LeaseRow lease;
    lease.holder = options.node;
    lease.token = token_;
    Transaction transaction;
    transaction.writes.push_back(
        {OwnerLeaseKey(PoolId(kFleetPseudoPool)), EncodeLease(lease)});
    options.lease_version =
        std::get<CommittedReply>(table_.Handle(CommitRows{transaction}))
            .versions[0];
    coordinator_ =
        std::make_unique<FleetCoordinator>(options, forecast_, outbox_);
    coordinator_->OnConfig(config_);
    std::vector<ObservedWave> observed_waves;
    for (const MaintenanceWave& wave : waves_)
      observed_waves.push_back({wave, wave_first_seen_at_.value_or(now_)});
    coordinator_->OnWaves(observed_waves, outbox_);
  }

  Time now() const { return now_; }

  void ObserveWave(const MaintenanceWave& wave) {
    ObservedWave observed{wave, now_};
    coordinator_->OnWaves({&observed, 1}, outbox_);
  }

  // Stores a row as an earlier coordinator would have left it.
  void PutHostOperation(const std::string& key, const HostOperationRow& row) {
    Transaction transaction;
    transaction.writes.push_back({key, EncodeHostOperation(row)});
    table_.Handle(CommitRows{transaction});
  }

  void Run(Duration length) {
    for (Time end = now_ + length; now_ < end; now_ += kTickPeriod) {
      coordinator_->Tick(now_, Contacts(), outbox_);
      if (coordinator_->needs_host_list())
        coordinator_->OnHosts(now_, hosts_, outbox_);
      for (int round = 0; round < 4; ++round) {
        for (JobAction& action : outbox_.TakeAllActions())
          Execute(action);
      }
    }
  }

  // Lets a host that is down come back with a new server, which it returns.
  ServerId ReturnHost(const HostId& id) {
    down_hosts_.erase(id);
    ServerId server("s" + std::to_string(next_server_++));
    for (HostListing& host : hosts_) {
      if (host.host != id)
        continue;
      host.state = ListedHostState::kUp;
      host.server = server;
    }
    return server;
  }

  std::vector<MaintenanceWave> waves_;
  // If unset, a coordinator sees the waves first when it takes over.
  std::optional<Time> wave_first_seen_at_;
  std::map<PoolId, double> demand_cores_;
  std::vector<HostId> maintained_hosts_;
  std::vector<HostId> moved_hosts_;
  std::set<uint64_t> completed_waves_;
  bool throttle_calls_ = false;
  bool lose_answers_ = false;  // Calls are executed and not answered.
  // Servers that the pools' owners report as not empty yet.
  std::set<ServerId> busy_servers_;
  std::set<ServerId> requested_servers_;  // Servers to be emptied so far.
  bool figures_missing_ = false;  // In the heartbeats of the pools' owners.
  std::vector<std::string> violations_;
  PeakForecast forecast_;
  // The API refuses calls for these hosts. The first call makes the list show
  // them as down.
  std::set<HostId> down_hosts_;
  int refused_calls_ = 0;

 private:
  std::map<PoolId, PoolOwnerContact> Contacts() {
    std::map<PoolId, PoolOwnerContact> contacts;
    for (const char* name : {"a", "b"}) {
      PoolOwnerContact contact;
      contact.node = MemberId("owner");
      contact.heartbeat.pool = PoolId(name);
      contact.heartbeat.token = 1;
      contact.heartbeat.figures_missing = figures_missing_;
      contact.heartbeat.capacity_cores = 64;
      contact.heartbeat.demand_cores = demand_cores_[PoolId(name)];
      for (const HostListing& host : hosts_) {
        if (host.pool == PoolId(name))
          contact.heartbeat.spare_servers.push_back(host.server);
      }
      contacts[PoolId(name)] = contact;
    }
    return contacts;
  }

  void Execute(const JobAction& action) {
    if (const auto* call = std::get_if<StoreCall>(&action)) {
      coordinator_->OnStoreAnswer(now_,
                                  {call->tag, table_.Handle(call->request)});
    } else if (const auto* report = std::get_if<ReportWave>(&action)) {
      if (report->completed)
        completed_waves_.insert(report->wave);
      coordinator_->OnStoreAnswer(now_, {report->tag, CommittedReply{}});
    } else if (const auto* send = std::get_if<SendJobPeer>(&action)) {
      const auto& request = std::get<VacateRequest>(send->message);
      if (request.withdraw)
        return;
      requested_servers_.insert(request.server);
      bool known = std::any_of(
          hosts_.begin(), hosts_.end(), [&request](const HostListing& host) {
            return host.pool == request.pool && host.server == request.server;
          });
      if (!known) {
        coordinator_->OnVacateAnswer(now_, {request.pool, request.server,
                                            VacateState::kUnknownServer, 1});
        return;
      }
      bool busy = busy_servers_.contains(request.server);
      coordinator_->OnVacateAnswer(
          now_, {request.pool, request.server,
                 busy ? VacateState::kEmptying : VacateState::kEmpty, 1});
    } else if (const auto* call = std::get_if<HostCall>(&action)) {
      HostOutcome outcome = CallHost(call->request);
      if (lose_answers_)
        outcome = HostOutcome::kUnanswered;
      coordinator_->OnHostReply(now_, {call->tag, outcome, {}}, outbox_);
    }
  }

  HostOutcome CallHost(const HostRequest& request) {
    if (throttle_calls_)
      return HostOutcome::kThrottled;
    const auto* maintain = std::get_if<MaintainHost>(&request);
    const auto* move = std::get_if<MoveHost>(&request);
    HostId id = maintain != nullptr ? maintain->host : move->host;
    if (down_hosts_.contains(id)) {
      ++refused_calls_;
      for (HostListing& host : hosts_) {
        if (host.host == id)
          host.state = ListedHostState::kDown;
      }
      return HostOutcome::kBusy;
    }
    for (HostListing& host : hosts_) {
      if (host.host != id)
        continue;
      if (busy_servers_.contains(host.server))
        violations_.push_back(id.str() +
                              " is called while its server is in use");
      (maintain != nullptr ? maintained_hosts_ : moved_hosts_).push_back(id);
      if (move != nullptr)
        host.pool = move->pool;
      host.server = host.pool == PoolId("spare")
                        ? ServerId()
                        : ServerId("s" + std::to_string(next_server_++));
    }
    return HostOutcome::kDone;
  }

  Time now_ = kTimeZero + Seconds(100);
  Outbox outbox_;
  MemoryTable table_;
  JobConfig config_;
  std::vector<HostListing> hosts_;
  std::unique_ptr<FleetCoordinator> coordinator_;
  FencingToken token_ = 0;
  int next_server_ = 1;
};

MaintenanceWave WaveOver(std::vector<HostId> hosts) {
  return {1, std::move(hosts), Seconds(25), 2};
}

TEST_CASE("each host of a wave is maintained exactly once", "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0"), HostId("h5"), HostId("h9")})};
  site.TakeOver();
  site.Run(Seconds(10));
  REQUIRE(site.maintained_hosts_.size() == 3);
  REQUIRE(site.completed_waves_.contains(1));
}

// Guards against a successor that maintains a host a second time because the
// host was moved after its maintenance.
TEST_CASE("a successor repeats no maintenance of a host that moved since",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h8"), HostId("h9"), HostId("h10")})};
  site.TakeOver();
  site.demand_cores_[PoolId("a")] = 10;
  site.Run(Seconds(3));
  REQUIRE(site.maintained_hosts_.size() == 3);
  site.demand_cores_[PoolId("a")] = 150;
  site.Run(Seconds(3));
  REQUIRE_FALSE(site.moved_hosts_.empty());
  site.demand_cores_[PoolId("a")] = 10;
  site.TakeOver();
  site.Run(Seconds(10));
  REQUIRE(site.maintained_hosts_.size() == 3);
  REQUIRE(site.completed_waves_.contains(1));
}

// Guards against a repeat of a throttled call that relies on an old answer that
// the server is empty, although the server is in use again.
TEST_CASE("a throttled call is repeated only for an empty server",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0")})};
  site.throttle_calls_ = true;
  site.TakeOver();
  site.Run(Seconds(2));
  site.busy_servers_ = {ServerId("s1")};
  site.Run(Seconds(1));
  site.throttle_calls_ = false;
  site.Run(Seconds(2));
  REQUIRE(site.violations_.empty());
  REQUIRE(site.maintained_hosts_.empty());
  site.busy_servers_.clear();
  site.Run(Seconds(4));
  REQUIRE(site.maintained_hosts_.size() == 1);
}

// Guards against a wave that takes hosts from a peaking pool while there is
// time to wait for the end of the peak.
TEST_CASE("a wave with time left maintains busy pools last", "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0"), HostId("h5")})};
  site.demand_cores_[PoolId("a")] = 60;
  site.TakeOver();
  site.Run(Seconds(4));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{HostId("h5")});
  site.Run(Seconds(20));
  REQUIRE(site.maintained_hosts_.size() == 2);
}

// Guards against a host that moves to a peaking pool although the last seconds
// of its wave have begun: an operator's wave missed its end because the host's
// maintenance had been postponed for 3 s and the host moved in between.
TEST_CASE("a wave that can no longer wait keeps its hosts from moves",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  std::vector<HostId> hosts = {HostId("h0"), HostId("h1"), HostId("h2"),
                               HostId("h3")};
  site.waves_ = {WaveOver(hosts)};
  site.wave_first_seen_at_ = kTimeZero + Seconds(87);
  site.busy_servers_ = {ServerId("s1"), ServerId("s2"), ServerId("s3"),
                        ServerId("s4")};
  site.demand_cores_[PoolId("b")] = 300;
  site.TakeOver();
  // The first attempts to empty hosts end after 9 s.
  site.Run(Milliseconds(9500));
  REQUIRE(site.maintained_hosts_.empty());
  site.busy_servers_.clear();
  site.Run(Seconds(2));
  REQUIRE_FALSE(site.moved_hosts_.empty());
  REQUIRE(std::find_first_of(site.moved_hosts_.begin(), site.moved_hosts_.end(),
                             hosts.begin(),
                             hosts.end()) == site.moved_hosts_.end());
  REQUIRE(site.maintained_hosts_.size() == hosts.size());
}

// Guards against a successor that counts the time of a wave from its own
// takeover and waits for a busy pool until the wave is late.
TEST_CASE("a wave that started 20 s ago does not wait for a busy pool",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0")})};
  site.demand_cores_[PoolId("a")] = 60;
  site.wave_first_seen_at_ = kTimeZero + Seconds(80);
  site.TakeOver();
  site.Run(Seconds(3));
  REQUIRE(site.maintained_hosts_.size() == 1);
}

// Guards against a successor that calls no host at all for the minimum time
// between the calls of two coordinators for one host: no pool grew for 3 s.
// Only hosts that were called recently have to wait.
TEST_CASE("a successor waits only for hosts with recent calls",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h8")})};
  site.TakeOver();
  site.demand_cores_[PoolId("a")] = 10;
  site.Run(Seconds(1));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{HostId("h8")});
  site.waves_.clear();
  site.demand_cores_[PoolId("a")] = 150;
  site.moved_hosts_.clear();
  site.TakeOver();
  site.Run(Seconds(1));
  REQUIRE(site.moved_hosts_.size() >= 3);
  auto calls_for_h8 = [&] {
    return std::count(site.moved_hosts_.begin(), site.moved_hosts_.end(),
                      HostId("h8"));
  };
  REQUIRE(calls_for_h8() == 0);
  site.Run(Milliseconds(1800));
  REQUIRE(calls_for_h8() == 0);
}

// Guards against the removal of a recent call's row at the time at which the
// row of an earlier call for the host was due: a successor called for the host
// while the recent call could still be executed.
TEST_CASE("a successor waits for a host that was called twice",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  HostId host("h8");
  site.TakeOver();
  site.ObserveWave({1, {host}, Seconds(25), 1});
  site.Run(Milliseconds(3500));
  site.ObserveWave({2, {host}, Seconds(25), 1});
  site.Run(Milliseconds(1800));
  REQUIRE(site.maintained_hosts_.size() == 2);
  site.TakeOver();
  site.ObserveWave({3, {host}, Seconds(25), 1});
  site.Run(Seconds(1));
  REQUIRE(site.maintained_hosts_.size() == 2);
  site.Run(Seconds(4));
  REQUIRE(site.maintained_hosts_.size() == 3);
}

// Guards against more hosts in maintenance than a wave allows: calls of an
// earlier coordinator that may still be executed were not counted.
TEST_CASE("a successor counts stored calls toward the limit of a wave",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  PoolId fleet(kFleetPseudoPool);
  HostId called("h8");
  site.PutHostOperation(
      HostOperationKey(fleet, called),
      {called, HostOperationKind::kMaintain, PoolId("spare"), 1});
  site.waves_ = {{1, {called, HostId("h9"), HostId("h10")}, Seconds(25), 1}};
  site.TakeOver();
  site.Run(Milliseconds(2900));
  REQUIRE(site.maintained_hosts_.empty());
  site.Run(Seconds(6));
  REQUIRE(site.maintained_hosts_.size() == 3);
  REQUIRE(site.completed_waves_.contains(1));
}

// Guards against more hosts in maintenance than a wave allows: a call of an
// earlier coordinator that was not answered is executed seconds later.
TEST_CASE("an earlier call keeps its place in a wave until it cannot come",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  PoolId fleet(kFleetPseudoPool);
  HostId called("h8");
  site.PutHostOperation(
      HostOperationKey(fleet, called),
      {called, HostOperationKind::kMaintain, PoolId("spare"), 1});
  site.waves_ = {{1, {HostId("h0"), HostId("h9"), called}, Seconds(25), 1}};
  site.TakeOver();
  SECTION("the host is called before the others") {
    site.Run(Seconds(8));
    REQUIRE(site.maintained_hosts_.size() == 3);
    REQUIRE(site.maintained_hosts_[0] == called);
  }
  SECTION("the host cannot be called") {
    site.down_hosts_ = {called};
    site.Run(Seconds(14));
    REQUIRE(site.maintained_hosts_.empty());
    // The next coordinator knows of the call, too.
    site.TakeOver();
    site.Run(Seconds(14));
    REQUIRE(site.maintained_hosts_.empty());
    site.Run(Seconds(6));
    REQUIRE(site.maintained_hosts_.size() == 2);
  }
}

// Guards against waiting for calls that were answered: lists that are requested
// later show these hosts in maintenance.
TEST_CASE("a successor does not count answered calls as hosts that are down",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  PoolId fleet(kFleetPseudoPool);
  HostId maintained("h8");
  HostOperationRow row{maintained, HostOperationKind::kMaintain,
                       PoolId("spare"), 1};
  site.PutHostOperation(HostOperationKey(fleet, maintained), row);
  row.kind = HostOperationKind::kMaintained;
  site.PutHostOperation(MaintainedKey(fleet, maintained, 1), row);
  site.waves_ = {{1, {maintained, HostId("h9")}, Seconds(25), 1}};
  site.TakeOver();
  site.Run(Seconds(1));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{HostId("h9")});
}

// Guards against a call every half second for a host that is down: 50 calls in
// one incident, each of which costs money.
TEST_CASE("a host that is listed as down is not called again",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h8"), HostId("h9")})};
  site.down_hosts_ = {HostId("h8")};
  site.TakeOver();
  site.Run(Seconds(10));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{HostId("h9")});
  REQUIRE(site.refused_calls_ == 1);
}

// Guards against a wave that empties most hosts of a pool at once: their tasks
// do not fit on the others, so that none of the hosts becomes empty.
TEST_CASE("a wave leaves room for the demand of a pool", "[coordinator]") {
  for (double demand : {10.0, 30.0}) {
    INFO("demand " << demand);
    FleetCoordinatorHarness site;
    site.waves_ = {WaveOver({HostId("h0"), HostId("h1"), HostId("h2")})};
    site.waves_[0].max_at_once = 3;
    site.demand_cores_[PoolId("a")] = demand;
    site.busy_servers_ = {ServerId("s1"), ServerId("s2"), ServerId("s3")};
    site.TakeOver();
    site.Run(Seconds(2));
    REQUIRE(site.requested_servers_.size() == (demand < 20 ? 3 : 2));
  }
}

// Guards against a wave that takes the hosts of a busy pool first because its
// new owner has announced no demand yet.
TEST_CASE("hosts are not taken from a pool whose demand is not known",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0")})};
  site.figures_missing_ = true;
  site.TakeOver();
  site.Run(Seconds(2));
  REQUIRE(site.maintained_hosts_.empty());
  site.figures_missing_ = false;
  site.Run(Seconds(2));
  REQUIRE(site.maintained_hosts_.size() == 1);
}

// Guards against a host that is kept from all operations because the answer to
// its move was lost.
TEST_CASE("a host whose move was not answered can be maintained",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.TakeOver();
  site.demand_cores_[PoolId("a")] = 150;
  site.Run(Seconds(3));
  site.moved_hosts_.clear();
  site.lose_answers_ = true;
  site.demand_cores_[PoolId("a")] = 1;
  for (int i = 0; i < 60 && site.moved_hosts_.empty(); ++i)
    site.Run(Seconds(1));
  REQUIRE_FALSE(site.moved_hosts_.empty());
  site.lose_answers_ = false;
  site.Run(Seconds(2));
  HostId moved = site.moved_hosts_.front();
  site.ObserveWave(WaveOver({moved}));
  site.Run(Seconds(10));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{moved});
}

// Guards against a call that ends the tasks of a server that was never emptied:
// its host went down before the call and came back.
TEST_CASE("a host that comes back is emptied again before its call",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  site.waves_ = {WaveOver({HostId("h0")})};
  site.down_hosts_ = {HostId("h0")};
  site.TakeOver();
  site.Run(Seconds(2));
  REQUIRE(site.refused_calls_ == 1);
  site.busy_servers_ = {site.ReturnHost(HostId("h0"))};
  site.Run(Seconds(2));
  REQUIRE(site.violations_.empty());
  REQUIRE(site.maintained_hosts_.empty());
  site.busy_servers_.clear();
  site.Run(Seconds(2));
  REQUIRE(site.maintained_hosts_.size() == 1);
}

// Guards against a successor that reacts late to a regular peak because it
// knows nothing of the peaks before its takeover.
TEST_CASE("a successor moves hosts ahead of a predicted peak",
          "[coordinator]") {
  constexpr Duration kPeakInterval = Milliseconds(4500);
  FleetCoordinatorHarness site;
  site.demand_cores_[PoolId("a")] = 10;
  site.demand_cores_[PoolId("b")] = 10;
  Time start = site.now() - kPeakInterval * 4;
  const char* names[] = {"a", "b", "c", "d"};
  for (Time at = start; at < site.now(); at += Milliseconds(300)) {
    auto peaking_pool = (at - start) / kPeakInterval;
    for (int i = 0; i < 4; ++i) {
      site.forecast_.Observe(at, PoolId(names[i]), i == peaking_pool ? 150 : 5,
                             16);
    }
  }
  site.TakeOver();
  site.Run(Seconds(1));
  REQUIRE(site.moved_hosts_.size() >= 2);
}

// Guards against a successor that reads only the first page of the stored rows:
// it would maintain hosts a second time and call others too soon after a call
// of an earlier coordinator.
TEST_CASE("a successor reads all rows of earlier coordinators",
          "[coordinator]") {
  FleetCoordinatorHarness site;
  PoolId fleet(kFleetPseudoPool);
  for (int i = 0; i < 1200; ++i) {
    HostId host("a" + std::to_string(i));
    site.PutHostOperation(HostOperationKey(fleet, host),
                          {host, HostOperationKind::kMove, PoolId("a")});
  }
  HostId maintained("h8");
  site.PutHostOperation(
      MaintainedKey(fleet, maintained, 1),
      {maintained, HostOperationKind::kMaintained, PoolId("spare"), 1});
  site.waves_ = {WaveOver({maintained, HostId("h9")})};
  site.TakeOver();
  site.Run(Seconds(6));
  REQUIRE(site.maintained_hosts_ == std::vector<HostId>{HostId("h9")});
  REQUIRE(site.completed_waves_.contains(1));
}

}  // namespace
}  // namespace radishmoor
