// Core of the entry process, which accepts callers' requests and sends them to
// backend servers. Performs no I/O: takes events and returns the actions to
// carry out. Owns the configuration view, membership, claims, backend pool,
// dispatcher and slot shares, and passes results between them.
//
//   EntryCore core(options);
//   for (EntryAction& action : core.Request(now, wall, request)) ...
//   for (EntryAction& action : core.OnBackendAnswer(now, wall, answer)) ...
//   if (now >= core.next_wake()) core.Tick(now, wall);
//
// Each Request() leads to exactly one DeliverAnswer, ReplayAnswer,
// RefuseRequest or DropRequest. The core emits a WriteBackendRequest only after
// it has checked the permission to send, the deadline and, for a keyed request,
// the claim at the same `now`.
//
// A keyed request is one that is not idempotent and carries an idempotency key.
// Its claim is the row in the store that keeps the work of one key from running
// twice.

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
  uint64_t writes = 0;  // Requests written to backend connections.
  // Attempts stopped by the check of permission, deadline and claim just before
  // the write.
  uint64_t writes_withheld = 0;
  // Backend answers that arrived after their exchange had ended.
  uint64_t unmatched_answers = 0;
};

class EntryCore {
 public:
  explicit EntryCore(EntryOptions options);

  // Accepts or refuses a caller's request.
  EntryActions Request(Time now, WallMillis wall, const CallerRequest& request);
  // Cancels a request because its caller no longer waits. A request that has
  // ended is ignored.
  EntryActions Cancel(Time now, WallMillis wall, RequestId request);

  EntryActions OnConnectionOpened(Time now,
                                  WallMillis wall,
                                  ConnectionId connection);
  EntryActions OnConnectionOpenFailed(Time now,
                                      WallMillis wall,
                                      ConnectionId connection);
  EntryActions OnBackendAnswer(Time now,
                               WallMillis wall,
                               const BackendAnswer& answer);
  // The connection was closed or failed: idle, or before the whole answer of
  // its exchange was received.
  EntryActions OnConnectionEnded(Time now,
                                 WallMillis wall,
                                 ConnectionId connection);

  // Handles the answer to a StoreCall.
  EntryActions Handle(Time now, WallMillis wall, const StoreAnswer& answer);
  // Handles a message of another process, with the sender's time stamp.
  EntryActions Handle(Time now,
                      WallMillis wall,
                      const MemberId& from,
                      HybridTime stamp,
                      const PeerMessage& message);

  // Carries out what is due at `now`.
  EntryActions Tick(Time now, WallMillis wall);
  // Returns the time at which Tick() is due.
  Time next_wake() const;

  // Starts a graceful shutdown: refuses new requests, and ends the accepted
  // ones at `grace_deadline`.
  EntryActions Drain(Time now, WallMillis wall, Time grace_deadline);
  // Returns whether no accepted request is left.
  bool drained() const {
    return live_requests_.empty() && awaiting_claim_.empty();
  }
  // Removes the member row after the drain.
  EntryActions Leave(Time now, WallMillis wall);

  // Returns whether requests are accepted: a configuration is in force, this
  // process may send to hosts of its zone, and no drain has started.
  bool ready() const {
    return config_view_.ready() && config_view_.MaySend(now_) && !draining_;
  }
  // Returns whether the exchange on the connection belongs to a keyed request.
  bool keyed(ConnectionId connection) const;

  const ConfigView& view() const { return config_view_; }
  const Member& member() const { return member_; }
  const Peers& peers() const { return peers_; }
  const Claims& claims() const { return claims_; }
  const BackendPool& backend() const { return backend_; }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  const SlotHolder& slots() const { return slot_holder_; }
  const EntryCounters& counters() const { return counters_; }
  // Returns the time stamp for a message to a peer.
  HybridTime Stamp(WallMillis wall) { return clock_.Tick(wall); }

 private:
  // A request that waits for its claim or is in the dispatcher.
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
    Time written_at;
    std::string encoded_answer;  // Set for keyed requests only.
  };
  struct Target {
    PoolId pool;
    bool usable = false;
    bool local = false;
    bool leaving_soon = false;
    int limit = -1;

    friend bool operator==(const Target&, const Target&) = default;
  };

  // Every public call that returns actions starts with BeginCall() and ends
  // with EndCall().
  void BeginCall(Time now, WallMillis wall);
  EntryActions EndCall();

  void QueueDispatchMessage(const dispatch::Message& message);
  void RunDispatcher();
  void HandleAction(const dispatch::SendAttempt& send);
  void HandleAction(const dispatch::AbortAttempt& abort);
  void HandleAction(const dispatch::Finish& finish);
  void ReportAttempt(RequestId id, dispatch::AttemptOutcome outcome);

  void HandleActions(const BackendActions& actions);
  void HandleAction(const OpenConnection& open);
  void HandleAction(const StartExchange& start);
  void HandleAction(const AcquireFailed& failed);
  void HandleAction(const ProbeConnection& probe);
  void HandleAction(const CloseConnection& close);
  void HandleAction(const AttemptSuspect& suspect);
  void HandleAction(const TargetChanged& changed);
  void HandleAction(const HostEjected& ejected);
  void HandleAction(const HostRestored& restored);
  void HandleAction(const HostLeaving& leaving);
  void HandleAction(const PoisonRequestDetected& poison_request);
  void GiveUpOverdueSuspects();
  bool MayWrite(RequestId id, const LiveRequest& request) const;

  void HandleActions(std::vector<ClaimAction> actions);
  void HandleAction(const ClaimGranted& granted);
  void HandleAction(const ClaimReplay& replay);
  void HandleAction(const ClaimRejected& rejected);
  void FinishClaim(RequestId id,
                   const LiveRequest& request,
                   dispatch::Outcome outcome);

  void HandleActions(std::vector<ConfigAction> actions);
  void ApplyConfig();
  void ApplyPools();
  void ApplyHosts();
  void ApplySlots();
  void RefreshTarget(const HostId& id);
  void RefreshTargets();
  void RefreshDemand();
  void RefreshMembership();
  std::vector<HostId> BusyHosts() const;

  void HandleActions(std::vector<MemberAction> actions);
  void HandleActions(std::vector<PeerAction> actions);
  void HandleActions(SlotActions actions);
  void UpdateMembers();

  void HandlePeerMessage(const MemberId& from, const PeerHello& hello);
  void HandlePeerMessage(const MemberId& from, const Heartbeat& heartbeat);
  void HandlePeerMessage(const MemberId& from,
                         const ConfigPeerMessage& message);
  void HandlePeerMessage(const MemberId& from, const SlotDemand& demand);
  void HandlePeerMessage(const MemberId& from, const SlotGrant& grant);
  void HandlePeerMessage(const MemberId& from, const LeavingNotice& notice);
  void SendLeavingNotices();
  void ExpirePeerLeaving();
  void SendTo(const MemberId& to, PeerMessage message);

  void SubmitRequest(RequestId id, LiveRequest request);
  void Refuse(RequestId id,
              unsigned status,
              std::string_view reason,
              bool may_have_run,
              Duration retry_after);
  void RecordTimelineEvent(EventKind kind, TimelineEvent event);

  EntryOptions options_;
  HybridClock clock_;
  ConfigView config_view_;
  Member member_;
  Peers peers_;
  Claims claims_;
  BackendPool backend_;
  dispatch::Dispatcher dispatcher_;
  SlotHolder slot_holder_;
  SlotAllocator slot_allocator_;

  Time now_ = kTimeZero;
  WallMillis wall_ = 0;
  EntryActions actions_;
  std::deque<dispatch::Message> dispatch_messages_;
  bool draining_ = false;
  // Permission to send with which the targets were last refreshed.
  bool targets_may_send_ = false;

  std::unordered_map<RequestId, LiveRequest> live_requests_;
  std::unordered_map<RequestId, LiveRequest> awaiting_claim_;
  std::unordered_map<ConnectionId, RequestId> exchanges_;
  std::set<ConnectionId> probe_connections_;
  std::map<HostId, Target> targets_;
  std::set<PoolId> pools_;
  // Hosts that a maintenance wave or a configuration change will drain soon.
  std::set<HostId> hosts_due_for_drain_;
  std::vector<MemberId> zone_members_;
  Time next_target_refresh_ = kTimeZero;
  // Hosts whose servers announced to this process that they are leaving.
  std::set<HostId> leaving_hosts_;
  // Hosts that peers reported as leaving, and until when the report is valid.
  std::map<HostId, Time> peer_leaving_until_;
  Time next_leaving_notice_ = kTimeZero;
  // Requests with a suspect attempt, by the time at which it is given up.
  std::set<std::pair<Time, RequestId>> suspect_requests_;

  EntryCounters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_ENTRY_CORE_H_
