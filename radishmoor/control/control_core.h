// The control process without I/O: owns the configuration view, the member row,
// the leases and the fleet controller, and passes results between them.
//
//   ControlCore core(options);
//   for (ControlAction& action : core.Tick(now, wall)) ...
//   core.Handle(now, wall, store_answer);
//   core.Handle(now, wall, platform_result);
//   core.SetHealth(now, wall, observations);
//
// A control process exchanges no messages with peers: it must not change
// anything while the platform's table service is unreachable, and reads all its
// inputs from there.

#ifndef RADISHMOOR_CONTROL_CONTROL_CORE_H_
#define RADISHMOOR_CONTROL_CONTROL_CORE_H_

#include <span>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/hybrid_clock.h"
#include "radishmoor/config/config_view.h"
#include "radishmoor/fleet/controller.h"
#include "radishmoor/membership/lease.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/membership/peers.h"

namespace radishmoor {

struct ControlOptions {
  MemberId member;
  ZoneId zone;
  Incarnation incarnation;
  std::string peer_address;
  std::string admin_address;
  std::string host;  // Name in the platform's host list; may be empty.
  uint64_t host_instance = 0;
  uint64_t seed = 1;
  ControllerOptions controller;
};

struct RecordControlEvent {
  TimelineEvent event;
};
struct EndControlProcess {
  std::string why;
};

using ControlAction = std::variant<StoreCall,
                                   CheckpointTasks,
                                   RebootHost,
                                   AdmitHost,
                                   WaveReport,
                                   RecordControlEvent,
                                   EndControlProcess>;
using ControlActions = std::vector<ControlAction>;

class ControlCore {
 public:
  explicit ControlCore(ControlOptions options);

  ControlActions Tick(Time now, WallMillis wall);
  ControlActions Handle(Time now, WallMillis wall, const StoreAnswer& answer);
  ControlActions Handle(Time now,
                        WallMillis wall,
                        const PlatformResult& result);
  ControlActions SetHealth(Time now,
                           WallMillis wall,
                           std::span<const HostObservation> observations);
  Time next_wake() const;

  // Releases all leases and deletes the member row, for a planned stop.
  ControlActions Leave(Time now, WallMillis wall);

  // Returns the hosts whose health this process observes: hosts whose current
  // or wanted pool is leased by this process, and the first hosts that
  // completed the maintenance round.
  std::vector<const HostState*> ObservedHosts(Time now) const;

  bool ready() const { return view_.ready() && member_.registered(); }
  const ConfigView& view() const { return view_; }
  const Member& member() const { return member_; }
  const Leases& leases() const { return leases_; }
  const Controller& controller() const { return controller_; }

 private:
  // The part of the core that made a store call and handles its answer.
  enum class CallOwner : uint64_t {
    kConfig,
    kMember,
    kPeers,
    kLeases,
    kController,
    kMemberScan,
    kHostList,
  };

  // Every input starts with BeginInput() and returns TakeActions().
  void BeginInput(Time now, WallMillis wall);
  ControlActions TakeActions();
  void CallStore(CallOwner owner, StoreCall call);

  void HandleActions(std::vector<ConfigAction> actions);
  void HandleActions(std::vector<MemberAction> actions);
  void HandleActions(std::vector<PeerAction> actions);
  void HandleActions(std::vector<LeaseAction> actions);
  void HandleActions(std::vector<FleetAction> actions);

  void PassConfigToController();
  void PassLeasesToController();
  void StartMemberScan();
  void OnMemberRows(const StoreReply& reply);
  void RequestHostList();
  void OnHostList(const HostListReply& list);
  bool AnyDraining() const;
  void RecordEvent(TimelineEvent event);

  ControlOptions options_;
  HybridClock clock_;
  ConfigView view_;
  Member member_;
  Peers peers_;
  Leases leases_;
  Controller controller_;

  Time now_ = kTimeZero;
  WallMillis wall_ = 0;
  ControlActions actions_;
  RowVersion passed_head_row_ = 0;

  // Scan of the member rows, for the drain gate.
  Time next_scan_ = kTimeZero;
  Time scan_sent_ = kTimeZero;
  bool scanning_ = false;
  uint64_t scan_tag_ = 0;  // Tag of the scan's call in flight.
  std::string scan_resume_key_;
  MemberList scanned_members_;
  size_t scan_bytes_ = 0;
  // Version of each member row and when this process first saw that version.
  std::map<MemberId, std::pair<RowVersion, Time>> row_changes_;
  Time next_host_list_ = kTimeZero;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CONTROL_CONTROL_CORE_H_
