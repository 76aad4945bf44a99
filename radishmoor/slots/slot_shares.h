// Shares of worker slots between the entry processes of an availability zone.
//
// SlotHolder decides how many requests this process may have in flight on each
// host; SlotAllocator runs in every process and serves the pools for which this
// process has the highest rendezvous weight among the live members.
//
//   SlotHolder holder(options, self, zone, incarnation);
//   holder.SetMembers(now, members);
//   holder.SetPool(now, pool, hosts);
//   Send(holder.SetWanted(now, pool, in_flight + queued));
//   if (in_flight_on_host < holder.share(pool, host)) ...
//
// A grant ends `term` after the holder sent the demand that it answers, by the
// holder's clock. The allocator counts the same slots as taken until `term +
// margin` after it sent the grant, by its own clock, or until the holder
// reports that a later grant replaced it. Late, repeated and crossed messages
// are recognised by their sequence numbers and change nothing.
//
// Without a valid grant the holder uses its fixed share: the host's slots
// divided by the number of members, the remainder by rendezvous weight.

#ifndef RADISHMOOR_SLOTS_SLOT_SHARES_H_
#define RADISHMOOR_SLOTS_SLOT_SHARES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

struct SlotOptions {
  // Validity of a grant, from the sending of the demand.
  Duration term = Seconds(1);
  // Bound of the clock drift between two processes over one term. 50 ms is 5%
  // of the term; a process paused for longer finds its own grant expired.
  Duration margin = Milliseconds(50);
  // Demands are sent on change, at most this often.
  Duration demand_interval = Milliseconds(100);
  // Demands are repeated without change, so that grants do not run out.
  Duration renew_interval = Milliseconds(300);
  // Grants that answer no new demand are sent at most this often to a member.
  Duration push_interval = Milliseconds(50);
  // Bounds against hostile or faulty peers and configurations.
  size_t max_members = 64;
  size_t max_pools = 512;
  size_t max_hosts = 2048;  // Per pool and zone.
  uint32_t max_slots_per_host = 256;
};

struct HostSlots {
  HostId host;
  uint32_t slots = 0;

  friend bool operator==(const HostSlots&, const HostSlots&) = default;
};

// Holder to allocator.
struct SlotDemand {
  PoolId pool;
  ZoneId zone;
  MemberId member;
  Incarnation incarnation;
  uint64_t sequence = 0;  // Grows with every demand of this incarnation.
  // `grant` sequence of the grant in use and the allocator that issued it; 0
  // when the holder uses its fixed share.
  uint64_t applied_grant = 0;
  uint32_t wanted = 0;  // Slots in use plus requests waiting.
  uint32_t in_use = 0;
  // Hosts on which more slots are in use than the grant in use allows, because
  // running requests are not interrupted when a grant shrinks.
  std::vector<HostSlots> above_grant;
};

// Allocator to holder.
struct SlotGrant {
  PoolId pool;
  ZoneId zone;
  MemberId allocator;
  MemberId member;
  Incarnation incarnation;  // Of the holder, from its demand.
  Incarnation allocator_incarnation;
  uint64_t demand_sequence = 0;  // The demand from which the term counts.
  uint64_t sequence = 0;         // Grows with every grant of this allocator.
  std::vector<HostSlots> slots;  // Hosts without an entry have 0.
};

struct SendDemand {
  MemberId to;
  SlotDemand demand;
};
struct SendGrant {
  MemberId to;
  SlotGrant grant;
};
// The share of one host changed.
struct ShareChanged {
  PoolId pool;
  HostId host;
  uint32_t slots = 0;
};

using SlotAction = std::variant<SendDemand, SendGrant, ShareChanged>;
using SlotActions = std::vector<SlotAction>;

// The member with the highest rendezvous weight for the pool and zone; empty
// without members.
MemberId AllocatorOf(const PoolId& pool,
                     const ZoneId& zone,
                     std::span<const MemberId> members);

// Share of `member` of a host with `slots` slots when no allocator is in
// office. The shares of all members add up to `slots`.
uint32_t FixedShare(const HostId& host,
                    uint32_t slots,
                    const MemberId& member,
                    std::span<const MemberId> members);

class SlotHolder {
 public:
  SlotHolder(SlotOptions options,
             MemberId self,
             ZoneId zone,
             Incarnation incarnation);

  // Live members of the zone, this process included. Excess ones are ignored.
  SlotActions SetMembers(Time now, std::span<const MemberId> members);
  // Hosts of the pool in this zone with their total numbers of slots.
  SlotActions SetPool(Time now,
                      const PoolId& pool,
                      std::span<const HostSlots> hosts);
  SlotActions RemovePool(Time now, const PoolId& pool);

  // Requests of the pool in flight plus those waiting for a slot.
  SlotActions SetWanted(Time now, const PoolId& pool, uint32_t wanted);
  // Requests in flight on one host. Cheap: sends nothing itself.
  void SetInUse(const PoolId& pool, const HostId& host, uint32_t in_use);

  // `from` is the authenticated sender.
  SlotActions HandleGrant(Time now,
                          const MemberId& from,
                          const SlotGrant& grant);

  SlotActions Tick(Time now);
  Time next_wake() const;

  // 0 for unknown pools and hosts.
  uint32_t share(const PoolId& pool, const HostId& host) const;
  // Whether a grant is in use, as opposed to the fixed share.
  bool granted(const PoolId& pool) const;

 private:
  struct HostState {
    uint32_t total = 0;
    uint32_t fixed = 0;  // Share without a grant.
    uint32_t share = 0;
    uint32_t in_use = 0;
  };
  struct SentDemand {
    uint64_t sequence;
    Time at;
  };
  struct PoolState {
    std::map<HostId, HostState> hosts;
    MemberId allocator;
    uint32_t wanted = 0;
    double wanted_time = 0;  // Slots times seconds since the last demand.
    Time wanted_since = kTimeZero;
    uint32_t sent_wanted = 0;
    bool resend = true;  // A change has not been sent.
    Time last_sent = kTimeZero - Seconds(3600);
    std::deque<SentDemand> sent;  // Those whose grants could still be valid.
    bool granted = false;
    Time grant_ends = kTimeMax;
    std::map<HostId, uint32_t> grant;
    uint64_t applied = 0;  // 0 when `grant` is not of this allocator.
    Incarnation accepted_incarnation;
    uint64_t accepted_sequence = 0;
    Time wake = kTimeMax;
  };

  void Send(Time now, const PoolId& id, PoolState& pool);
  static uint32_t AverageWanted(Time now, const PoolState& pool);
  void SendIfDue(Time now, const PoolId& id, PoolState& pool);
  void UpdateAllocator(const PoolId& id, PoolState& pool);
  void RefreshFixed(PoolState& pool);
  bool UpdateShares(const PoolId& id, PoolState& pool);
  void UpdateWake(const PoolId& id, PoolState& pool);
  SlotActions Take();

  SlotOptions options_;
  MemberId self_;
  ZoneId zone_;
  Incarnation incarnation_;
  std::vector<MemberId> members_;
  std::map<PoolId, PoolState> pools_;
  std::set<std::pair<Time, PoolId>> wakes_;
  uint64_t next_sequence_ = 1;
  SlotActions actions_;
};

struct SlotAllocatorCounters {
  uint64_t demands = 0;
  uint64_t demands_ignored = 0;  // Unknown pool or member, late, repeated.
  uint64_t grants = 0;
  uint64_t expired = 0;
};

class SlotAllocator {
 public:
  SlotAllocator(SlotOptions options,
                MemberId self,
                ZoneId zone,
                Incarnation incarnation);

  SlotActions SetMembers(Time now, std::span<const MemberId> members);
  SlotActions SetPool(Time now,
                      const PoolId& pool,
                      std::span<const HostSlots> hosts);
  SlotActions RemovePool(Time now, const PoolId& pool);

  // `from` is the authenticated sender.
  SlotActions HandleDemand(Time now,
                           const MemberId& from,
                           const SlotDemand& demand);

  SlotActions Tick(Time now);
  Time next_wake() const;

  // Whether this process allocates the pool now. It takes office one term and
  // margin after the change of members, when grants of its predecessor have
  // run out.
  bool in_office(Time now, const PoolId& pool) const;
  // Slots of the host that members may be using under any grant.
  uint32_t committed(const PoolId& pool, const HostId& host) const;

  const SlotAllocatorCounters& counters() const { return counters_; }

 private:
  struct Outstanding {
    uint64_t sequence;
    Time expires;
    std::map<HostId, uint32_t> slots;
  };
  struct MemberState {
    bool live = false;  // In the list of members.
    // Demands arrive. A member that never sent one, or no longer does, gets no
    // grants.
    bool active = false;
    // May be using its fixed share: not heard yet, or it said so.
    bool assumed = true;
    Incarnation incarnation;
    uint64_t demand_sequence = 0;
    uint32_t wanted = 0;
    Time heard = kTimeZero;
    std::deque<Outstanding> grants;  // Oldest first; the last is in force.
    std::map<HostId, uint32_t> above_grant;
    std::map<HostId, uint32_t> fixed;
    Time last_grant = kTimeZero - Seconds(3600);
    bool answer_due = false;
    bool push_due = false;
  };
  struct PoolState {
    std::map<HostId, uint32_t> hosts;
    bool allocator = false;
    Time office_from = kTimeMax;
    std::map<MemberId, MemberState> members;
    Time wake = kTimeMax;
  };

  static uint32_t CommittedTo(const MemberState& member, const HostId& host);
  static std::map<HostId, uint32_t> Resize(const PoolState& pool,
                                           const MemberId& id,
                                           const MemberState& member,
                                           uint32_t target);
  void Expire(Time now, PoolState& pool);
  std::map<MemberId, uint32_t> Targets(const PoolState& pool) const;
  void Rebalance(Time now, const PoolId& id, PoolState& pool);
  void Serve(Time now,
             const PoolId& id,
             PoolState& pool,
             const MemberId& member_id,
             uint32_t target,
             bool shortage);
  void RefreshFixed(const PoolState& pool,
                    const MemberId& id,
                    MemberState& member);
  void UpdateWake(Time now, const PoolId& id, PoolState& pool);
  void UpdateOffice(Time now, const PoolId& id, PoolState& pool);
  SlotActions Take();

  SlotOptions options_;
  MemberId self_;
  ZoneId zone_;
  Incarnation incarnation_;
  std::vector<MemberId> members_;
  std::map<PoolId, PoolState> pools_;
  std::set<std::pair<Time, PoolId>> wakes_;
  uint64_t next_sequence_ = 1;
  SlotActions actions_;
  SlotAllocatorCounters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SLOTS_SLOT_SHARES_H_
