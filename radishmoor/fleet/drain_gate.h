// Decides whether a draining host is provably idle: no entry process may still
// send to it, and none has requests in flight on it.
//
//   DrainGate gate(options);
//   gate.ObserveState(now, state);         // after each new version
//   gate.ObserveMembers(members);
//   gate.ObserveHostList(entries);
//   if (gate.Check(now, host).open) ...
//
// Proof, for a drain committed at time C with configuration version D, where a
// member is an entry process and its view is the configuration that it uses:
//  - A member of the host's zone may send under an older view for as long as a
//    partition lasts. Only a member row with a version in force >= D, or proof
//    that the process ended, shows that it has stopped sending.
//  - A member of another zone sends only while its view is at most 5 s old,
//    counted from when it sent the read of that view. A read sent after C
//    returns at least D, so the member's last send under an older view is
//    before C + 5 s. The gate waits 5 s + 1 s of margin from when this process
//    first knew of the drain, which is not before C.
//  - A request of a silent member of another zone ends at its deadline, which
//    entry processes limit to `max_request_time`. After
//    5 s + 1 s + max_request_time none of its requests can still be answered
//    in time, so a reboot interrupts none.
//  - A member that registers after the member list was read sends only under a
//    view that it read after its registration, which is after C, so the
//    version of its view is at least D.

#ifndef RADISHMOOR_FLEET_DRAIN_GATE_H_
#define RADISHMOOR_FLEET_DRAIN_GATE_H_

#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct DrainGateOptions {
  // Largest age of the view under which a member sends to another zone.
  Duration remote_view_age = Seconds(5);
  // Covers the drift between the clocks of two processes over these times.
  Duration margin = Seconds(1);
  // A member whose row has not changed for longer counts as silent: a member
  // lease of 10 s plus 2 s of margin.
  Duration silent_after = Seconds(12);
  // Largest time to the deadline that entry processes accept for a request.
  // 0 means unlimited; a silent member of another zone then keeps the host
  // draining.
  Duration max_request_time = Seconds(600);
};

enum class GateBlock : uint8_t {
  kNone,
  kNotDraining,
  kMembersNotRead,        // No member list read since the drain was known.
  kLocalNotAcknowledged,  // A member of the host's zone may still send.
  kLocalBusy,             // A member of the host's zone has requests on it.
  kRemoteMaySend,         // A member of another zone may still send.
  kRemoteMayBeBusy,       // A member of another zone may have requests on it.
};

struct DrainGateResult {
  bool open = false;
  GateBlock block = GateBlock::kNone;
  MemberId member;  // The first member that blocks; empty if none does.
};

class DrainGate {
 public:
  explicit DrainGate(DrainGateOptions options) : options_(options) {}

  // Records when this process first knew of each drain. Cost: O(hosts).
  void ObserveState(Time now, const FleetState& state);
  void ObserveMembers(MemberList members);
  // Remembers the instances that the platform reports as terminated, since a
  // later list may show an older state.
  void ObserveHostList(std::span<const HostListEntry> hosts);

  // Cost: O(members).
  DrainGateResult Check(Time now, const HostState& host) const;

  // Returns true if the platform confirmed the end of the host instance that
  // the member runs on.
  bool IsConfirmedEnded(const MemberView& member) const;
  // Returns true if the member's row has not changed for `silent_after`.
  bool IsSilent(Time now, const MemberView& member) const;
  const MemberList& members() const { return members_; }

 private:
  GateBlock CheckMemberOfSameZone(const MemberView& member,
                                  const HostState& host) const;
  GateBlock CheckMemberOfOtherZone(Time now,
                                   const MemberView& member,
                                   const HostState& host,
                                   Time known_since) const;

  struct Drain {
    ConfigVersion version = 0;
    Time known_since{};
  };

  DrainGateOptions options_;
  MemberList members_;
  bool members_read_ = false;
  std::map<HostId, Drain> drains_;
  std::set<std::pair<std::string, uint64_t>> terminated_instances_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_DRAIN_GATE_H_
