// Maintenance waves over hosts and moves of hosts between pools: empties each
// host through the owner of its pool, then has the platform maintain or move
// it, a limited number at once.
//
// One process keeps the fleet, by a lease of its own (kFleetPseudoPool). A
// successor decides anew, with a higher token: the API answers a call that was
// carried out already without carrying it out again.
//
// Load that it answers: waves over half of the hosts that must be over within
// some 25 s, while queues peak in turn. Hosts of pools with little demand go
// first, standby hosts before all.

#ifndef RADISHMOOR_JOBS_FLEET_COORDINATOR_H_
#define RADISHMOOR_JOBS_FLEET_COORDINATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/jobs/commit_chain.h"
#include "radishmoor/jobs/fleet_sizing.h"
#include "radishmoor/jobs/pool_leases.h"
#include "radishmoor/jobs/pool_state.h"

namespace radishmoor {

// Names the fleet's lease and the partition of its rows. No pool has this name.
inline constexpr std::string_view kFleetPseudoPool = "@fleet";

struct FleetCoordinatorOptions {
  MemberId node;
  std::string address;
  PlatformBounds bounds;
  FencingToken token = 0;
  RowVersion lease_version = 0;
  Time lease_taken;
  bool first_owner = false;
};

// Whom to ask about a pool.
struct PoolOwnerContact {
  MemberId node;
  std::string address;
  OwnerHeartbeat heartbeat;  // As last announced.

  double demand_share() const {
    return heartbeat.capacity_cores > 0
               ? heartbeat.demand_cores / heartbeat.capacity_cores
               : 0;
  }
};

// A wave, and since when its time runs as far as this process knows.
struct ObservedWave {
  MaintenanceWave plan;
  Time first_seen_at;
};

class FleetCoordinator {
 public:
  // `forecast` outlives the coordinator.
  FleetCoordinator(const FleetCoordinatorOptions& options,
                   const PeakForecast& forecast,
                   Outbox& outbox);

  void OnConfig(const JobConfig& config) { config_ = config; }
  void OnWaves(std::span<const ObservedWave> waves, Outbox& outbox);
  void OnVacateAnswer(Time now, const VacateAnswer& answer);
  bool OnStoreAnswer(Time now, const StoreAnswer& answer);
  bool OnHostReply(Time now, const HostReply& reply, Outbox& outbox);
  // The platform's list of hosts, asked for at `sent`.
  void OnHosts(Time sent, std::span<const HostListing> hosts, Outbox& outbox);
  bool wants_hosts() const;
  // `contacts`: the owners of pools, as far as they are known.
  void Tick(Time now,
            const std::map<PoolId, PoolOwnerContact>& contacts,
            Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  void Release(const MemberId& successor) { chain_.Release(successor); }
  bool released() const { return chain_.released(); }
  bool lost() const { return chain_.lost() || fenced_; }
  OwnerHeartbeat MakeHeartbeat(Time now) const {
    return chain_.LeaseHeartbeat(now);
  }

 private:
  enum class Stage : uint8_t {
    kEmptying,   // The pool's owner is asked to empty the server.
    kStoring,    // The call is being stored.
    kCalling,    // The call is under way, or repeated.
    kReturning,  // The call was carried out; the host is not back yet.
  };
  struct HostOperation {
    Stage stage = Stage::kEmptying;
    HostOperationKind kind = HostOperationKind::kMaintain;
    uint64_t wave = 0;  // Of maintenance.
    PoolId pool;        // That the host is in.
    PoolId target;      // Of a move.
    ServerId server;    // That ends by the call.
    Time stage_since;
    Time started;
    Time next_try;
    Time next_request;  // To keep the server empty.
    // The pool's owner that said so last, and when.
    FencingToken empty_token = 0;
    Time empty_at;
    uint64_t call_tag = 0;
    bool called = false;  // The call may have been carried out.
  };
  struct Wave {
    MaintenanceWave plan;
    Time first_seen_at;
    std::set<HostId> done;
    std::map<HostId, Time> set_aside;  // Could not be emptied; until then.
    std::map<HostId, Time> missing;    // Not in the list of hosts, since then.
    bool completed = false;
    uint64_t report_tag = 0;
    bool reported_start = false;
    bool reported_end = false;
    Time next_report;
  };

  void SendLoad(Outbox& outbox);
  void OnLoadRow(const Row& row);
  void ReportWaves(Time now, Outbox& outbox);
  void StartHostOperations(Time now,
                           const std::map<PoolId, PoolOwnerContact>& contacts,
                           Outbox& outbox);
  void StartMoves(Time now,
                  const std::map<PoolId, PoolOwnerContact>& contacts,
                  Outbox& outbox);
  // Begins `moves` with hosts that can be emptied; if those of a standby pool
  // do not suffice, with hosts that are being emptied to go there.
  void StartMove(Time now,
                 const HostMoves& moves,
                 const std::map<PoolId, PoolOwnerContact>& contacts,
                 Outbox& outbox);
  void RedirectMoves(Time now,
                     const PoolId& to,
                     uint32_t count,
                     const std::map<PoolId, PoolOwnerContact>& contacts,
                     Outbox& outbox);
  // Hosts that are being emptied to move to the pool.
  uint32_t EmptyingFor(const PoolId& pool) const;
  // Begins the emptying of a listed host; of maintenance, unless changed.
  HostOperation& AddHostOperation(Time now, const HostId& host);
  std::vector<PoolSizingInput> Sizes(
      Time now,
      const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Up to `count` hosts of the pool that can be moved, none of them in the
  // zones of `avoid`.
  std::vector<HostId> Movable(
      Time now,
      const PoolId& pool,
      uint32_t count,
      std::span<const ZoneId> avoid,
      const std::map<PoolId, PoolOwnerContact>& contacts) const;
  bool MayCall(const HostOperation& operation) const;
  // The present owner of the pool has said lately that the server is empty.
  bool IsEmpty(Time now,
               const HostOperation& operation,
               const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // False if nobody is known to own the pool.
  bool RequestVacate(const HostOperation& operation,
                     bool withdraw,
                     const std::map<PoolId, PoolOwnerContact>& contacts,
                     Outbox& outbox);
  void KeepEmpty(Time now,
                 HostOperation& operation,
                 const std::map<PoolId, PoolOwnerContact>& contacts,
                 Outbox& outbox);
  // The host cannot, or need not, be emptied now.
  bool MustGiveUp(Time now,
                  const HostId& host,
                  const HostOperation& operation,
                  const std::map<PoolId, PoolOwnerContact>& contacts) const;
  void GiveUp(Time now,
              const HostId& host,
              const HostOperation& operation,
              const std::map<PoolId, PoolOwnerContact>& contacts,
              Outbox& outbox);
  // A wave can wait for the pools with little demand.
  bool HasTime(Time now, const Wave& wave) const;
  void AdvanceHostOperation(Time now,
                            const HostId& host,
                            HostOperation& operation,
                            const std::map<PoolId, PoolOwnerContact>& contacts,
                            Outbox& outbox);
  void OnCallReply(Time now,
                   const HostId& host,
                   HostOperation& operation,
                   HostOutcome outcome,
                   Outbox& outbox);
  void RemoveRow(const HostId& host) {
    chain_.Write({HostOperationKey(state_.pool, host), "", true});
  }
  // The call for the host is over. Its row goes later: as long as it is there,
  // a successor leaves the host alone for a while.
  void RetireRow(Time now, const HostId& host) {
    old_rows_.emplace_back(now, host);
  }
  void RemoveOldRows(Time now);
  // No earlier coordinator can have made a call for the host lately.
  bool MayCallFor(Time now, const HostId& host) const;
  void StoreHostOperation(Time now,
                          const HostId& host,
                          HostOperation& operation);
  void MarkMaintained(Time now,
                      const HostId& host,
                      HostOperation& operation,
                      Outbox& out);
  void CheckCompleted(Time now, Wave& wave, Outbox& outbox);
  bool IsStandby(const PoolId& pool) const;
  // Hosts of the wave that are, or may be, down for maintenance.
  uint32_t DownCount(uint64_t wave) const;
  bool HasOpenWave() const;
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  FleetCoordinatorOptions options_;
  JobConfig config_;
  JobPoolState state_;  // Without jobs; the chain needs one.
  CommitChain chain_;
  uint64_t load_tag_ = 0;
  std::string load_after_;  // The last row of the page before.
  bool loaded_ = false;
  Time load_retry_ = kTimeMax;

  std::map<HostId, HostListing> hosts_;
  std::map<uint64_t, Wave> waves_;
  std::map<HostId, HostOperation> host_operations_;
  FleetSizing sizing_;
  Time next_sizing_;
  std::map<HostId, std::set<uint64_t>> stored_done_;
  std::deque<std::pair<Time, HostId>> old_rows_;
  // Hosts for which an earlier coordinator may have made calls lately.
  std::set<HostId> called_before_;
  bool fenced_ = false;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_FLEET_COORDINATOR_H_
