// The entry process without I/O: owns one object of each slice and passes
// results between them.
//
//   EntryCore core(options);
//   for (EntryAction& action : core.Request(now, wall, request)) ...
//   for (EntryAction& action : core.OnBackendAnswer(now, wall, answer)) ...
//   if (now >= core.next_wake()) core.Tick(now, wall);
//
// Each Request() leads to exactly one DeliverAnswer, ReplayAnswer,
// RefuseRequest or DropRequest. A WriteBackendRequest is emitted only after the
// permission to send, the deadline and the claim were checked at the same
// `now`.

#ifndef RADISHMOOR_ENTRY_ENTRY_CORE_H_
#define RADISHMOOR_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishmoor/backend/backend_pool.h"
#include "radishmoor/base/hybrid_clock.h"
#include "radishmoor/claims/claims.h"
#include "radishmoor/config/config_view.h"
#include "radishmoor/dispatch/dispatcher.h"
#include "radishmoor/entry/entry_messages.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/membership/peers.h"
#include "radishmoor/slots/slot_shares.h"

namespace radishmoor {

struct EntryOptions {
  MemberId member;
  ZoneId zone;
  Incarnation incarnation;  // Wall-clock milliseconds at start.
  std::string peer_address;
  std::string admin_address;
  std::string host;  // Name in the platform's host list; may be empty.
  uint64_t host_instance = 0;
  uint64_t seed = 1;
  dispatch::DispatchOptions dispatch;
  BackendOptions backend;
  SlotOptions slots;
};

struct EntryCounters {
  uint64_t requests = 0;
  uint64_t writes = 0;             // Requests written to backend connections.
  uint64_t writes_withheld = 0;    // Refused by the check before the send.
  uint64_t unmatched_answers = 0;  // Of exchanges that have ended.
};

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);

  // Callers.
  EntryActions Request(Time now, WallMillis wall, const CallerRequest& request);
  EntryActions Cancel(Time now, WallMillis wall, RequestId request);

  // Backend connections.
  EntryActions OnConnectionOpened(Time now,
                                  WallMillis wall,
                                  ConnectionId connection);
  EntryActions OnConnectionOpenFailed(Time now,
                                      WallMillis wall,
                                      ConnectionId connection);
  EntryActions OnBackendAnswer(Time now,
                               WallMillis wall,
                               const BackendAnswer& answer);
  // The connection ended: idle, or with an exchange that has no whole answer.
  EntryActions OnConnectionEnded(Time now,
                                 WallMillis wall,
                                 ConnectionId connection);

  // Platform and peers.
  EntryActions Handle(Time now, WallMillis wall, const StoreAnswer& answer);
  EntryActions Handle(Time now,
                      WallMillis wall,
                      const MemberId& from,
                      HybridTime stamp,
                      const PeerMessage& message);

  EntryActions Tick(Time now, WallMillis wall);
  Time next_wake() const;

  // Graceful shutdown: refuses new requests, and all others at
  // `grace_deadline`. Finished when drained().
  EntryActions Drain(Time now, WallMillis wall, Time grace_deadline);
  bool drained() const { return live_.empty() && held_.empty(); }
  // Removes the member row after the drain.
  EntryActions Leave(Time now, WallMillis wall);

  // Requests are accepted: a configuration is in force and no drain started.
  bool ready() const {
    return view_.ready() && view_.MaySend(now_) && !draining_;
  }
  // The exchange on the connection belongs to a request with a key.
  bool keyed(ConnectionId connection) const;

  const ConfigView& view() const { return view_; }
  const Member& member() const { return member_; }
  const Peers& peers() const { return peers_; }
  const Claims& claims() const { return claims_; }
  const BackendPool& backend() const { return backend_; }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  const SlotHolder& slots() const { return holder_; }
  const EntryCounters& counters() const { return counters_; }
  HybridTime Stamp(WallMillis wall) { return clock_.Tick(wall); }

 private:
  // A request that the dispatcher has.
  struct LiveRequest {
    PoolId pool;
    std::string operation;
    uint64_t body_hash = 0;
    Time deadline;
    bool idempotent = true;
    bool keyed = false;
    bool may_have_run = false;
    int attempt = 0;
    HostId host;
    ConnectionId connection;  // Of the exchange in progress; 0 if none.
    Time written;
    std::string encoded;  // Answer of a keyed request.
  };
  struct Target {
    PoolId pool;
    bool usable = false;
    bool local = false;
    bool leaving_soon = false;
    int limit = -1;

    friend bool operator==(const Target&, const Target&) = default;
  };

  // Every public call enters with the current time and exits with the actions.
  void Enter(Time now, WallMillis wall);
  EntryActions Exit();

  void Dispatch(const dispatch::Message& message);
  void RunDispatch();
  void On(const dispatch::SendAttempt& send);
  void On(const dispatch::AbortAttempt& abort);
  void On(const dispatch::Finish& finish);
  void ReportAttempt(RequestId id, dispatch::AttemptOutcome outcome);

  void Run(const BackendActions& actions);
  void On(const OpenConnection& open);
  void On(const StartExchange& start);
  void On(const AcquireFailed& failed);
  void On(const ProbeConnection& probe);
  void On(const CloseConnection& close);
  void On(const AttemptSuspect& suspect);
  void On(const TargetChanged& changed);
  void On(const Ejected& ejected);
  void On(const Restored& restored);
  void On(const Leaving& leaving);
  void On(const JobCharged& charged);
  void GiveUpSuspects();
  bool MayWrite(RequestId id, const LiveRequest& request) const;

  void Run(std::vector<ClaimAction> actions);
  void On(const ClaimGranted& granted);
  void On(const ClaimReplay& replay);
  void On(const ClaimRejected& rejected);
  void FinishClaim(RequestId id,
                   const LiveRequest& request,
                   dispatch::Outcome outcome);

  void Run(std::vector<ConfigAction> actions);
  void ApplyConfig();
  void ApplyPools();
  void ApplyHosts();
  void ApplySlots();
  void RefreshTarget(const HostId& id);
  void RefreshTargets();
  void RefreshDemand();
  void RefreshMembership();
  std::vector<HostId> BusyHosts() const;

  void Run(std::vector<MemberAction> actions);
  void Run(std::vector<PeerAction> actions);
  void Run(SlotActions actions);
  void UpdateMembers();

  void OnPeer(const MemberId& from, const PeerHello& hello);
  void OnPeer(const MemberId& from, const Heartbeat& heartbeat);
  void OnPeer(const MemberId& from, const ConfigPeerMessage& message);
  void OnPeer(const MemberId& from, const SlotDemand& demand);
  void OnPeer(const MemberId& from, const SlotGrant& grant);
  void OnPeer(const MemberId& from, const LeavingNotice& notice);
  void NotifyLeaving();
  void ExpirePeerLeaving();
  void SendTo(const MemberId& to, PeerMessage message);

  void Arrive(RequestId id, LiveRequest request);
  void Refuse(RequestId id,
              unsigned status,
              std::string_view reason,
              bool may_have_run,
              Duration retry_after);
  void Record(EventKind kind, TimelineEvent event);

  EntryOptions options_;
  HybridClock clock_;
  ConfigView view_;
  Member member_;
  Peers peers_;
  Claims claims_;
  BackendPool backend_;
  dispatch::Dispatcher dispatcher_;
  SlotHolder holder_;
  SlotAllocator allocator_;

  Time now_ = kTimeZero;
  WallMillis wall_ = 0;
  EntryActions actions_;
  std::deque<dispatch::Message> pending_;
  bool draining_ = false;
  bool may_send_ = false;  // The permission that the targets reflect.

  std::unordered_map<RequestId, LiveRequest> live_;
  std::unordered_map<RequestId, LiveRequest> held_;  // Wait for their claim.
  std::unordered_map<ConnectionId, RequestId> exchanges_;
  std::set<ConnectionId> probes_;
  std::map<HostId, Target> targets_;
  std::set<PoolId> pools_;
  std::set<HostId> soon_due_;  // Hosts that a wave or a change drains soon.
  std::vector<MemberId> zone_members_;
  Time next_refresh_ = kTimeZero;
  // Hosts whose servers told this process that they are leaving, and until when
  // notices of peers hold.
  std::set<HostId> told_leaving_;
  std::map<HostId, Time> peer_leaving_;
  Time next_notice_ = kTimeZero;
  // Suspect exchanges, by the time at which they are given up.
  std::set<std::pair<Time, RequestId>> suspects_;

  EntryCounters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_ENTRY_CORE_H_
