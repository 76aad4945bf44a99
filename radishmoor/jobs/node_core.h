// One process of the job scheduler without its input and output: takes callers'
// requests, and owns pools and the fleet's host operations as leases come to
// it.
//
//   NodeCore core(options);
//   core.Start(now, wall);
//   core.OnCall(now, wall, call);
//   for (JobAction& action : core.TakeActions()) ...
//   loop.RunAt(core.next_wake(), ...);  // Tick
//
// Every method takes the time; answers come back by the tags of the actions.

#ifndef RADISHMOOR_JOBS_NODE_CORE_H_
#define RADISHMOOR_JOBS_NODE_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishmoor/jobs/fleet_coordinator.h"
#include "radishmoor/jobs/job_peer_codec.h"
#include "radishmoor/jobs/job_request_handler.h"
#include "radishmoor/jobs/pool_leases.h"
#include "radishmoor/jobs/pool_scheduler.h"

namespace radishmoor {

struct NodeOptions {
  MemberId name;
  std::string address;  // For messages of other processes.
  ZoneId zone;
  uint64_t incarnation = 0;
  // Share of a processor, in thousandths: larger hosts take pools first.
  uint32_t capacity = 0;
  PlatformBounds bounds;
  // From the signal to stop until the process must have ended.
  Duration grace = Seconds(6);
};

class NodeCore {
 public:
  explicit NodeCore(const NodeOptions& options);

  void Start(Time now, WallMillis wall);
  void OnCall(Time now, WallMillis wall, JobCall call);
  void OnAbandoned(Time now, WallMillis wall, JobCallId call);
  void OnStoreAnswer(Time now, WallMillis wall, const StoreAnswer& answer);
  void OnServerReply(Time now, WallMillis wall, const ServerReply& reply);
  void OnServers(Time now, WallMillis wall, const ServersReply& reply);
  void OnOperatorChanges(Time now,
                         WallMillis wall,
                         const OperatorChanges& reply);
  void OnHostReply(Time now, WallMillis wall, const HostReply& reply);
  void OnAdvice(Time now, WallMillis wall, const PlacementAdviceReply& reply);
  void OnPeer(Time now, WallMillis wall, const JobPeerEnvelope& envelope);
  void Tick(Time now, WallMillis wall);
  // The process was suspended for a while that the clock does not show.
  void OnProcessResumed(Time now, WallMillis wall);
  // Hands over what the process owns and ends.
  void Shutdown(Time now, WallMillis wall);

  std::vector<JobAction> TakeActions() { return outbox_.TakeAllActions(); }
  Time next_wake() const { return next_wake_; }

  // New callers may come: without the store nothing can be accepted here, while
  // processes elsewhere may reach it.
  bool ready(Time now) const;
  bool accepts_connections(Time now) const;

  const JobRequestHandler& request_handler() const { return request_handler_; }
  const std::map<PoolId, std::unique_ptr<PoolScheduler>>& pools() const {
    return schedulers_;
  }

 private:
  struct Node {
    NodeRow row;
    RowVersion version = 0;
    Time changed;  // When its row was last seen to change.
  };

  void Settle(Time now, WallMillis wall);
  void Dispatch(Time now,
                const MemberId& from,
                const std::string& address,
                const JobPeerMessage& message);
  void DeliverLocal(Time now);
  void TakeOver(Time now);
  void DropLost(Time now);
  void SendOwnerHeartbeats(Time now);
  void Announce(Time now, const OwnerHeartbeat& heartbeat);
  void ObserveDemand(Time now, const OwnerHeartbeat& heartbeat);
  // Tells the coordinator of a pool's demand at once when it has risen.
  void AnnounceRise(Time now);
  // A call can be made: the one before is answered (`tag` is 0), and `at` has
  // come. Otherwise sees to being woken then.
  bool IsDue(Time now, uint64_t tag, Time at);
  void WatchOperatorChanges(Time now);
  void RegisterNode(Time now);
  void ScanNodes(Time now);
  void OnNodes(Time now, const std::vector<Row>& rows);
  void ReadServers(Time now);
  void ListHosts(Time now);
  void NoteStore(Time now, bool answered);
  void TickShutdown(Time now);
  std::map<PoolId, PoolOwnerContact> Contacts(Time now) const;
  std::vector<PoolId> WatchedPools() const;
  bool HasOwned() const { return !schedulers_.empty() || fleet_ != nullptr; }
  void Wake(Time at) { next_wake_ = std::min(next_wake_, at); }

  NodeOptions options_;
  Outbox outbox_;
  JobConfig config_;
  // With the time since when each is known, which a later coordinator needs as
  // well.
  std::map<uint64_t, ObservedWave> waves_;
  PoolLeases leases_;
  JobRequestHandler request_handler_;
  std::map<PoolId, std::unique_ptr<PoolScheduler>> schedulers_;
  // Each process follows the demand of all pools, so that a new coordinator
  // knows whose turn is next.
  PeakForecast forecast_;
  std::unique_ptr<FleetCoordinator> fleet_;
  std::map<MemberId, Node> nodes_;

  uint64_t operators_tag_ = 0;
  RowVersion operators_version_ = 0;
  bool operators_known_ = false;  // All that was there at the start was read.
  Time operators_retry_;
  Time next_full_read_;
  uint64_t register_tag_ = 0;
  Time next_register_;
  uint64_t nodes_tag_ = 0;
  Time next_nodes_;
  uint64_t servers_tag_ = 0;
  Time next_servers_;
  std::vector<ServerListing> servers_;
  uint64_t hosts_tag_ = 0;
  Time hosts_sent_;
  Time next_hosts_;
  Time last_fleet_tick_;
  Time next_owner_heartbeat_;
  struct AnnouncedNeed {
    double cores = 0;
    Time at;
  };
  std::map<PoolId, AnnouncedNeed> announced_needs_;
  std::optional<Time> shutdown_;
  bool ended_ = false;
  // Since when the store has not answered, and whether that was logged.
  std::optional<Time> store_silent_since_;
  bool store_lost_logged_ = false;
  Time next_wake_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_NODE_CORE_H_
