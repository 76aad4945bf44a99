// The state machine of one scheduler process, without input and output. Handles
// callers' requests, runs a scheduler for each pool whose lease the process has
// acquired, and runs the fleet coordinator if it has acquired the fleet lease.
//
//   NodeCore core(options);
//   core.Start(now, wall);
//   core.OnCall(now, wall, call);
//   for (JobAction& action : core.TakeActions()) ...
//   loop.RunAt(core.next_wake(), ...);  // Calls core.Tick().
//
// Each event method takes the monotonic time `now` and the wall clock `wall` in
// Unix milliseconds. The caller performs the actions of TakeActions() after
// each event; the On...() method that reports a result passes the action's tag.

#ifndef RADISHMOOR_JOBS_NODE_CORE_H_
#define RADISHMOOR_JOBS_NODE_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishmoor/jobs/adviser_queue.h"
#include "radishmoor/jobs/fleet_coordinator.h"
#include "radishmoor/jobs/job_peer_codec.h"
#include "radishmoor/jobs/job_request_handler.h"
#include "radishmoor/jobs/order_relay.h"
#include "radishmoor/jobs/order_router.h"
#include "radishmoor/jobs/ownership_balance.h"
#include "radishmoor/jobs/pool_leases.h"
#include "radishmoor/jobs/pool_scheduler.h"

namespace radishmoor {

struct NodeOptions {
  MemberId name;
  std::string address;  // Where other scheduler processes reach this one.
  ZoneId zone;
  uint64_t incarnation = 0;
  // Processor share of this process, in thousandths of a core. Processes with
  // larger shares acquire pools first.
  uint32_t capacity = 0;
  PlatformBounds bounds;
  // The process ends within this time after Shutdown().
  Duration grace = Seconds(6);
  // Rate of orders from which on other processes send them; see OrderRouter.
  double relay_orders_per_second = OrderRouterOptions{}.start_orders_per_second;
};

class NodeCore {
 public:
  explicit NodeCore(const NodeOptions& options);

  void Start(Time now, WallMillis wall);
  void OnCall(Time now, WallMillis wall, JobCall call);
  void OnAbandoned(Time now, WallMillis wall, JobCallId call);
  void OnStoreAnswer(Time now, WallMillis wall, const StoreAnswer& answer);
  void OnServerReply(Time now, WallMillis wall, const ServerReply& reply);
  void OnServerList(Time now, WallMillis wall, const ServersReply& reply);
  void OnOperatorChanges(Time now,
                         WallMillis wall,
                         const OperatorChanges& reply);
  void OnHostReply(Time now, WallMillis wall, const HostReply& reply);
  void OnPlacementAdvice(Time now,
                         WallMillis wall,
                         const PlacementAdviceReply& reply);
  void OnPeer(Time now, WallMillis wall, const JobPeerEnvelope& envelope);
  void Tick(Time now, WallMillis wall);
  // Reports how late a timer ran, several times a second. The lag shows whether
  // the process carries its load.
  void OnLoopLag(Time now, Duration lag);
  // Reports that the process was suspended for a time that the monotonic clock
  // did not count.
  void OnProcessResumed(Time now, WallMillis wall);
  // Starts to release all owned leases to other processes, and ends the process
  // within the grace period. Repeated calls have no effect.
  void Shutdown(Time now, WallMillis wall);

  std::vector<JobAction> TakeActions() { return outbox_.TakeAllActions(); }
  Time next_wake() const { return next_wake_; }

  // Returns whether new callers should be sent to this process. False before it
  // has a configuration and while that is not confirmed, after Shutdown(), and
  // while the store does not answer: it can accept no job then, but other
  // processes may still reach the store.
  bool ready(Time now) const;
  // Returns whether open connections are still served. Stays true for a few
  // seconds after Shutdown().
  bool accepts_connections(Time now) const;

  const JobRequestHandler& request_handler() const { return request_handler_; }
  const std::map<PoolId, std::unique_ptr<PoolScheduler>>& pools() const {
    return schedulers_;
  }
  const AdviserQueue& adviser_queue() const { return adviser_queue_; }
  // Returns whether this process has acquired the fleet lease and not lost it.
  bool coordinates_fleet() const { return fleet_ != nullptr; }

 private:
  using NodeIncarnation = std::pair<MemberId, uint64_t>;
  struct Node {
    NodeRow row;
    RowVersion version = 0;
    Time changed_at;  // When this process last saw the row's version change.
  };

  // Runs after each event: advances all components, sends what is due, and
  // computes next_wake_.
  void RunPendingWork(Time now, WallMillis wall);
  void DispatchPeerMessage(Time now,
                           const MemberId& from,
                           const std::string& address,
                           const JobPeerMessage& message);
  // Dispatches the messages that this process has sent to itself.
  void DeliverLocalMessages(Time now);
  // Starts a scheduler for each pool whose lease was acquired, and the fleet
  // coordinator if the fleet lease was acquired.
  void StartAcquiredPools(Time now);
  // Returns whether the answer belongs to a request of the fleet coordinator.
  bool OnFleetStoreAnswer(Time now, const StoreAnswer& answer);
  // Removes the schedulers of pools whose leases were lost or released, and the
  // fleet coordinator if the fleet lease was.
  void RemoveLostPools(Time now);
  void SendOwnerHeartbeats(Time now);
  // Sends the heartbeat to all live processes. Leaves out queues that they know
  // already.
  void BroadcastHeartbeat(Time now, OwnerHeartbeat heartbeat);
  // Removes from the heartbeat, which goes to `receivers`, the queues that all
  // of them know, unless a complete list is due.
  void LeaveOutKnownQueues(Time now,
                           const std::set<NodeIncarnation>& receivers,
                           OwnerHeartbeat& heartbeat);
  // Makes sure that pools that a queue has left have owners, also when the
  // configuration does not name them any more.
  void WatchEarlierPools(Time now, const OwnerHeartbeat& heartbeat);
  void ObserveDemand(Time now, const OwnerHeartbeat& heartbeat);
  // Sends the fleet coordinator an extra heartbeat of each pool whose demand
  // has risen considerably since its last heartbeat.
  void SendDemandRises(Time now);
  // Returns whether the next of a series of periodic requests can be sent: the
  // previous one was answered (`tag` is 0) and the time `at` has come. Before
  // `at`, schedules a wake-up for it.
  bool IsDue(Time now, uint64_t tag, Time at);
  void WatchOperatorChanges(Time now);
  void RegisterNode(Time now);
  void ScanNodes(Time now);
  void OnNodeRows(Time now, const std::vector<Row>& rows);
  void RefreshServerList(Time now);
  void RefreshHostList(Time now);
  // Updates store_silent_since_ after a call to the store.
  void RecordStoreAnswer(Time now, bool answered);
  void TickShutdown(Time now);
  // Gives the answer to the scheduler whose order it answers.
  void DeliverServerReply(Time now, const ServerReply& reply);
  // Passes the orders of the owned pools on to relays, as far as the router
  // decides so.
  void RouteOrders(Time now);
  // Tells the router which processes may relay orders.
  void UpdateRelays(Time now);
  // Hands a pool over to another process if this one is overloaded.
  void BalanceOwnership(Time now);
  std::map<PoolId, PoolOwnerContact> OwnerContacts(Time now) const;
  std::vector<PoolId> WatchedPools() const;
  bool OwnsAnyPool() const { return !schedulers_.empty() || fleet_ != nullptr; }
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  NodeOptions options_;
  Outbox outbox_;
  JobConfig config_;
  // By number. Recorded by every process, because a new fleet coordinator needs
  // the times at which the waves were first seen.
  std::map<uint64_t, ObservedWave> waves_;
  PoolLeases leases_;
  JobRequestHandler request_handler_;
  std::map<PoolId, std::unique_ptr<PoolScheduler>> schedulers_;
  // Every process observes the demand of all pools, so that a new fleet
  // coordinator can predict at once which pool peaks next.
  PeakForecast forecast_;
  std::unique_ptr<FleetCoordinator> fleet_;
  // The fleet coordinator has received something since its last Tick().
  bool fleet_has_input_ = false;
  OwnershipBalance balance_;
  OrderRouter router_;
  OrderRelay relay_;  // Of other processes' orders.
  AdviserQueue adviser_queue_;
  std::map<MemberId, Node> nodes_;
  Time started_at_;

  uint64_t operator_watch_tag_ = 0;
  Time operator_watch_sent_at_;
  RowVersion operator_version_ = 0;
  bool operators_loaded_ = false;  // The first full read has been answered.
  Time next_operator_watch_;
  Time next_full_operator_read_;
  uint64_t registration_tag_ = 0;
  Time next_registration_;
  uint64_t node_scan_tag_ = 0;
  Time next_node_scan_;
  uint64_t server_list_tag_ = 0;
  Time next_server_list_;
  std::vector<ServerListing> servers_;
  std::unordered_map<ServerId, ZoneId> server_zones_;
  uint64_t host_list_tag_ = 0;
  Time host_list_sent_at_;
  Time next_host_list_;
  Time last_fleet_tick_;
  Time next_owner_heartbeat_;
  Time last_owner_heartbeat_;
  // Sum of PoolScheduler::admission_changes() at the last heartbeats.
  uint64_t announced_admission_changes_ = 0;
  // Demand of a pool in its last heartbeat to the fleet coordinator.
  struct AnnouncedDemand {
    double cores = 0;
    Time at;
  };
  std::map<PoolId, AnnouncedDemand> announced_demand_;
  // The queues of a pool in its last heartbeat with a complete list.
  struct AnnouncedQueues {
    FencingToken token = 0;
    std::vector<QueueLoad> queues;
    std::set<NodeIncarnation> receivers;
    Time at;
  };
  std::map<PoolId, AnnouncedQueues> announced_queues_;
  std::optional<Time> shutdown_started_at_;
  bool ended_ = false;
  // When the first call failed since the store last answered.
  std::optional<Time> store_silent_since_;
  bool store_lost_logged_ = false;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_NODE_CORE_H_
