// Carries out maintenance waves over hosts and moves of hosts between pools.
//
// For each host, the coordinator asks the owner of the host's pool to empty the
// backend server, stores the intended call, and then has the platform maintain
// or move the host. The number of hosts that are emptied or down for a wave at
// once is limited, and so is the rate of moves.
//
// One scheduler process is the fleet coordinator. It holds a lease of its own
// (kFleetPseudoPool). A successor does not resume stored operations but plans
// again, with a higher fencing token; the platform answers a repeated call
// without carrying it out a second time.
//
// The coordinator is meant for waves over half of the hosts that must complete
// within about 25 s while queues peak in rotation. Standby hosts are maintained
// first, then hosts of pools with little demand.

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

// Name of the fleet lease and of the partition that holds the coordinator's
// rows. No pool has this name.
inline constexpr std::string_view kFleetPseudoPool = "@fleet";

struct FleetCoordinatorOptions {
  MemberId node;
  std::string address;
  PlatformBounds bounds;
  FencingToken token = 0;
  RowVersion lease_version = 0;
  Time lease_taken_at;       // When the commit that took the lease was sent.
  bool first_owner = false;  // No process has held the fleet lease before.
};

// The current owner of a pool, as far as this process knows.
struct PoolOwnerContact {
  MemberId node;
  std::string address;
  OwnerHeartbeat heartbeat;  // The latest one.

  // Ratio of the pool's demand to its capacity; may exceed 1.
  double demand_share() const {
    return heartbeat.capacity_cores > 0
               ? heartbeat.demand_cores / heartbeat.capacity_cores
               : 0;
  }
};

struct ObservedWave {
  MaintenanceWave plan;
  // When this process first learned of the wave. The time allowed for the wave
  // is counted from here.
  Time first_seen_at;
};

class FleetCoordinator {
 public:
  // Starts to read the rows of earlier coordinators. `forecast` must outlive
  // the coordinator.
  FleetCoordinator(const FleetCoordinatorOptions& options,
                   const PeakForecast& forecast,
                   Outbox& outbox);

  void OnConfig(const JobConfig& config) { config_ = config; }
  void OnWaves(std::span<const ObservedWave> waves, Outbox& outbox);
  void OnVacateAnswer(Time now, const VacateAnswer& answer);
  // OnStoreAnswer() and OnHostReply() return false if the request was not sent
  // by this object.
  bool OnStoreAnswer(Time now, const StoreAnswer& answer);
  bool OnHostReply(Time now, const HostReply& reply, Outbox& outbox);
  // Replaces the list of hosts by the platform's, which was requested at
  // `sent`.
  void OnHosts(Time sent, std::span<const HostListing> hosts, Outbox& outbox);
  // Returns true once the rows of earlier coordinators have been read.
  bool needs_host_list() const;
  // Starts and advances operations and sends what is due. `contacts` holds the
  // pool owners with a recent heartbeat.
  void Tick(Time now,
            const std::map<PoolId, PoolOwnerContact>& contacts,
            Outbox& outbox);
  Time next_wake() const { return next_wake_; }

  // Releases the fleet lease with the next commit, in favor of `successor`.
  void Release(const MemberId& successor) { chain_.Release(successor); }
  bool released() const { return chain_.released(); }
  // Returns true once another process holds the lease or the platform has
  // refused a call because of its fencing token.
  bool lost() const { return chain_.lost() || fenced_; }
  OwnerHeartbeat MakeHeartbeat(Time now) const {
    return chain_.LeaseHeartbeat(now);
  }

 private:
  enum class Stage : uint8_t {
    kEmptying,   // The pool's owner is asked to empty the server.
    kStoring,    // The row with the intended call is being stored.
    kCalling,    // A call is in flight or will be repeated.
    kReturning,  // The call was carried out; the host is not up yet.
  };
  struct HostOperation {
    Stage stage = Stage::kEmptying;
    HostOperationKind kind = HostOperationKind::kMaintain;
    uint64_t wave = 0;   // For maintenance only.
    PoolId pool;         // The host's pool before the call.
    PoolId target_pool;  // For moves only.
    ServerId server;     // The server to empty; the call ends it.
    Time stage_since;
    Time started_at;
    Time next_try_at;
    Time next_vacate_request_at;  // To keep the server empty.
    // Fencing token of the pool's owner that last answered that the server is
    // empty, and the time of its answer. 0 if there is no such answer.
    FencingToken reported_empty_by = 0;
    Time reported_empty_at;
    uint64_t call_tag = 0;
    // The platform may have carried out a call that was sent.
    bool call_may_be_executed = false;
  };
  struct Wave {
    MaintenanceWave plan;
    Time first_seen_at;
    std::set<HostId> done_hosts;
    // Hosts that could not be emptied are not tried again before these times.
    std::map<HostId, Time> postponed_until;
    // Hosts that the platform does not list, and since when.
    std::map<HostId, Time> missing_since;
    bool completed = false;
    uint64_t report_tag = 0;
    bool reported_start = false;
    bool reported_end = false;
    Time next_report_at;
  };

  // Requests the next page of the rows that earlier coordinators stored.
  void SendRowScan(Outbox& outbox);
  void OnStoredRow(const Row& row);
  // Reports the start and the completion of waves to the operators.
  void ReportWaves(Time now, Outbox& outbox);
  // Starts to empty hosts of the open waves, those of pools with the least
  // demand first.
  void StartMaintenance(Time now,
                        const std::map<PoolId, PoolOwnerContact>& contacts,
                        Outbox& outbox);
  void StartMoves(Time now,
                  const std::map<PoolId, PoolOwnerContact>& contacts,
                  Outbox& outbox);
  // Starts to empty hosts for `moves`. If a standby pool has too few hosts,
  // also redirects hosts that are being emptied for a move to standby.
  void StartMove(Time now,
                 const HostMoves& moves,
                 const std::map<PoolId, PoolOwnerContact>& contacts,
                 Outbox& outbox);
  // Redirects up to `count` moves to standby whose hosts are still being
  // emptied. The move of a host that is in the pool `to` is abandoned.
  void RedirectMoves(Time now,
                     const PoolId& to,
                     uint32_t count,
                     const std::map<PoolId, PoolOwnerContact>& contacts,
                     Outbox& outbox);
  // Returns the number of hosts that are being emptied for a move to the pool.
  uint32_t CountHostsEmptyingFor(const PoolId& pool) const;
  // Returns false if the pool's tasks would not fit on its other hosts: they
  // could not be moved, so that the hosts would not become empty. One host of a
  // pool may always be emptied.
  bool LeavesRoomForDemand(
      const HostId& host,
      const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Adds an operation that starts to empty a listed host. The operation is
  // maintenance unless the caller changes its kind.
  HostOperation& AddHostOperation(Time now, const HostId& host);
  std::vector<PoolSizingInput> MakeSizingInputs(
      const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Returns up to `count` hosts of the pool that can be moved and are not in
  // the zones `avoid`.
  std::vector<HostId> FindMovableHosts(
      const PoolId& pool,
      uint32_t count,
      std::span<const ZoneId> avoid,
      const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Returns false if a call for maintenance would exceed the number of hosts
  // that the wave may have down at once.
  bool WaveAllowsCall(const HostId& host, const HostOperation& operation) const;
  // Returns whether an earlier coordinator's call to maintain the host in the
  // wave may still be executed. It has a place in the wave.
  bool IsLateMaintenance(const HostId& host, uint64_t wave) const;
  // Returns whether this coordinator calls, or has called, for the host.
  bool IsCalled(const HostId& host) const;
  // Returns true if the current owner of the pool has answered within
  // kEmptyAnswerValidity that the server is empty. Standby hosts have no
  // server.
  bool IsServerEmpty(Time now,
                     const HostOperation& operation,
                     const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Makes maintenance whose call was not answered, or is not sent yet, empty
  // the host's present server first, which is not the one that was emptied. If
  // the call was executed, its repetition is not executed again.
  static void FollowServer(const HostId& host,
                           const HostListing& listing,
                           HostOperation& operation,
                           Outbox& outbox);
  // Asks the pool's owner to empty the server or, with `withdraw`, to use it
  // again. Returns false if no owner of the pool is known.
  bool RequestVacate(const HostOperation& operation,
                     bool withdraw,
                     const std::map<PoolId, PoolOwnerContact>& contacts,
                     Outbox& outbox);
  // Keeps the server empty while the call is stored and carried out.
  void RepeatVacateRequest(Time now,
                           HostOperation& operation,
                           const std::map<PoolId, PoolOwnerContact>& contacts,
                           Outbox& outbox);
  // Returns true if emptying takes too long, the host has changed, or its
  // maintenance can wait because the pool is busy.
  bool ShouldAbandon(Time now,
                     const HostId& host,
                     const HostOperation& operation,
                     const std::map<PoolId, PoolOwnerContact>& contacts) const;
  // Ends an operation before its call and lets the pool use the server again.
  void Abandon(Time now,
               const HostId& host,
               const HostOperation& operation,
               const std::map<PoolId, PoolOwnerContact>& contacts,
               Outbox& outbox);
  // Returns true if the wave has enough time left to wait until busy pools have
  // less demand.
  bool CanWait(Time now, const Wave& wave) const;
  void AdvanceHostOperation(Time now,
                            const HostId& host,
                            HostOperation& operation,
                            const std::map<PoolId, PoolOwnerContact>& contacts,
                            Outbox& outbox);
  void OnHostCallReply(Time now,
                       const HostId& host,
                       HostOperation& operation,
                       HostOutcome outcome,
                       Outbox& outbox);
  void RemoveRow(const HostId& host) {
    chain_.Write({HostOperationKey(state_.pool, host), "", true});
  }
  // Removes the row of a finished call after some time. While the row exists, a
  // successor makes no call for the host in the first
  // `PlatformBounds::host_operation_lease` of its lease. The time counts from
  // the last of several calls for a host.
  void RemoveRowLater(Time now, const HostId& host) {
    std::erase_if(rows_to_remove_,
                  [&host](const auto& entry) { return entry.second == host; });
    rows_to_remove_.emplace_back(now, host);
  }
  void RemoveDueRows(Time now);
  // Returns whether an earlier coordinator may still call for the host, so that
  // this one may not yet.
  bool EarlierCallMayBeExecuted(const HostId& host) const {
    return !may_repeat_earlier_calls_ && earlier_calls_.contains(host);
  }
  void StoreHostOperation(Time now,
                          const HostId& host,
                          HostOperation& operation);
  void MarkMaintained(Time now,
                      const HostId& host,
                      HostOperation& operation,
                      Outbox& out);
  void CheckCompleted(Time now, Wave& wave, Outbox& outbox);
  bool IsStandby(const PoolId& pool) const;
  // Returns the number of hosts that are or may be down for the wave. Hosts in
  // maintenance that no operation of this process explains are included, and so
  // are hosts for which an earlier coordinator's call may still be executed.
  uint32_t CountHostsDown(uint64_t wave) const;
  // Returns whether a row tells that the host was maintained in the wave.
  bool IsKnownAsMaintained(const HostId& host, uint64_t wave) const;
  bool IsListedInMaintenance(const HostId& host) const;
  bool HasOpenWave() const;
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  FleetCoordinatorOptions options_;
  JobConfig config_;
  JobPoolState state_;  // Holds no jobs; the commit chain needs it.
  CommitChain chain_;
  uint64_t scan_tag_ = 0;
  std::string scan_after_;  // Key of the last row that was read.
  bool rows_loaded_ = false;
  Time next_scan_at_ = kTimeMax;

  std::map<HostId, HostListing> hosts_;
  std::map<ServerId, HostId> hosts_by_server_;
  std::map<uint64_t, Wave> waves_;
  std::map<HostId, HostOperation> host_operations_;
  // Hosts that a wave still has to maintain and that cannot wait any longer.
  // They are not moved to other pools.
  std::set<HostId> hosts_due_;
  FleetSizing sizing_;
  Time next_sizing_at_;
  // Waves in which a host was maintained, as earlier coordinators stored.
  std::map<HostId, std::set<uint64_t>> maintained_waves_;
  // Hosts with a row to remove, by the time at which their call was finished.
  std::deque<std::pair<Time, HostId>> rows_to_remove_;
  // Calls that earlier coordinators have stored. Each may still be executed, or
  // may have been executed although the list of hosts does not show it yet.
  std::map<HostId, HostOperationRow> earlier_calls_;
  bool may_repeat_earlier_calls_ = false;
  // The platform has seen a call with a higher fencing token.
  bool fenced_ = false;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_FLEET_COORDINATOR_H_
