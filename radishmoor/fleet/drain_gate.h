// Decides whether a draining host has provably become idle: no entry process
// may still send to it and none has requests in flight on it.
//
//   DrainGate gate(options);
//   gate.ObserveState(now, state);         // after each new version
//   gate.ObserveMembers(members);
//   gate.ObserveHostList(entries);
//   if (gate.Check(now, host).open) ...
//
// Proof, for a drain committed at time C with version D:
//  - A member of the host's zone may send under an older view for as long as a
//    partition lasts. Only its row with a version in force >= D, or proof that
//    the process ended, shows that it stopped.
//  - A member of another zone sends only while its view is at most 5 s old,
//    counted from the sending of the read. A read sent after C returns at least
//    D, so its last send is before C + 5 s. The gate counts 5 s + 1 s from when
//    this process first knew of the drain, which is not before C.
//  - A request of a silent member of another zone ends at its deadline, which
//    entry processes limit to `max_request_time`. After
//    5 s + 1 s + max_request_time none of its requests can still be answered
//    in time, so a reboot interrupts none.
//  - A member that registers after the member list was read sends only under a
//    view whose read was sent after its registration, which is after C, so its
//    view holds at least D.

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
  // Covers the drift between two clocks over the times above.
  Duration margin = Seconds(1);
  // A row without change for longer marks its process as silent: lease of 10 s
  // plus 2 s margin.
  Duration silent_after = Seconds(12);
  // Largest deadline that entry processes accept. 0: unlimited, so that a
  // silent member of another zone keeps the host draining.
  Duration max_request_time = Seconds(600);
};

enum class GateBlock : uint8_t {
  kNone,
  kNotDraining,
  kMembersNotRead,        // No member list read since the drain was known.
  kLocalNotAcknowledged,  // A member of the host's zone may still send.
  kLocalBusy,
  kRemoteMaySend,
  kRemoteMayBeBusy,
};

struct DrainGateResult {
  bool open = false;
  GateBlock block = GateBlock::kNone;
  MemberId member;  // The first one that blocks.
};

class DrainGate {
 public:
  explicit DrainGate(DrainGateOptions options) : options_(options) {}

  // Notes when each drain was first known here. Cost: O(hosts).
  void ObserveState(Time now, const FleetState& state);
  void ObserveMembers(MemberList members);
  // Remembers confirmed ends; the list may later fall back to an older state.
  void ObserveHostList(std::span<const HostListEntry> hosts);

  // Cost: O(members).
  DrainGateResult Check(Time now, const HostState& host) const;

  // The platform confirmed the end of the instance that the member runs on.
  bool IsConfirmedEnded(const MemberView& member) const;
  bool IsSilent(Time now, const MemberView& member) const;
  const MemberList& members() const { return members_; }

 private:
  GateBlock CheckMemberOfZone(const MemberView& member,
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
