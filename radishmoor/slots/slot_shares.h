// Divides the request slots of hosts between the entry processes of an
// availability zone. A slot is the right to have one request in flight on a
// host. SlotHolder and SlotAllocator perform no I/O: they return the messages
// to send as actions.
//
// Every entry process is a member of its zone and runs both classes. SlotHolder
// decides how many requests the process may have in flight on each host.
// SlotAllocator grants slots to the members, for those pools for which its
// process has the highest rendezvous weight among the live members.
//
//   SlotHolder holder(options, self, zone, incarnation);
//   holder.SetMembers(now, members);
//   holder.SetPool(now, pool, hosts);
//   Send(holder.SetWanted(now, pool, in_flight + queued));
//   if (in_flight_on_host < holder.share(pool, host)) ...
//
// A grant is a lease. By the holder's clock it expires `grant_term` after the
// holder sent the demand that the grant answers. The allocator counts the
// granted slots as taken until `grant_term + drift_margin` after it received
// that demand, by its own clock, or until the holder reports that it uses a
// later grant. Late, repeated and reordered messages are recognised by their
// sequence numbers and ignored.
//
// Without a valid grant the holder uses its fixed share of each host: the
// host's slots divided by the number of members; the members with the highest
// rendezvous weights for the host get one slot of the remainder each.

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
  // How long a grant is valid, from when its holder sent the demand.
  Duration grant_term = Seconds(1);
  // Upper bound of the drift between two processes' clocks over one term. 50 ms
  // is 5% of the term. Pauses need no margin: a process that was paused finds
  // by its own clock that its grant expired.
  Duration drift_margin = Milliseconds(50);
  // Minimum time between two demands for a pool. A change is sent at once if
  // the last demand is older than this.
  Duration demand_interval = Milliseconds(100);
  // Unchanged demands are repeated at this interval, which renews the grants
  // before they expire.
  Duration renew_interval = Milliseconds(300);
  // Minimum time between two grants of a pool to the same member.
  Duration push_interval = Milliseconds(50);
  // Limits that bound memory against hostile or faulty peers and
  // configurations.
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

// Message from a holder to the allocator of the pool. Asks for slots, renews
// the holder's grant, and acknowledges the grant in use.
struct SlotDemand {
  PoolId pool;
  ZoneId zone;
  MemberId member;
  Incarnation incarnation;
  uint64_t sequence = 0;  // Grows with every demand of this incarnation.
  // SlotGrant::sequence of the grant in use. 0 if the holder uses its fixed
  // share, or a grant of an allocator other than the receiver.
  uint64_t applied_grant = 0;
  // Slots in use plus requests waiting for a slot, averaged over the time since
  // the previous demand; at least the present number while requests wait.
  uint32_t wanted = 0;
  uint32_t in_use = 0;  // Requests in flight on all hosts of the pool.
  // Slots in use on hosts where they exceed the holder's share. This happens
  // because running requests are not interrupted when a share shrinks.
  std::vector<HostSlots> above_grant;
};

// Message from the allocator of a pool to a holder. Replaces the holder's
// earlier grant for the pool.
struct SlotGrant {
  PoolId pool;
  ZoneId zone;
  MemberId allocator;
  MemberId member;
  Incarnation incarnation;  // The holder's, copied from its demand.
  Incarnation allocator_incarnation;
  // The grant's term starts when the holder sent the demand with this sequence.
  uint64_t demand_sequence = 0;
  uint64_t sequence = 0;         // Grows with every grant of this allocator.
  std::vector<HostSlots> slots;  // Hosts without an entry have no slots.
};

struct SendDemand {
  MemberId to;
  SlotDemand demand;
};
struct SendGrant {
  MemberId to;
  SlotGrant grant;
};
// The number of requests that this process may have in flight on the host is
// now `slots`.
struct ShareChanged {
  PoolId pool;
  HostId host;
  uint32_t slots = 0;
};

using SlotAction = std::variant<SendDemand, SendGrant, ShareChanged>;
using SlotActions = std::vector<SlotAction>;

// Returns the member with the highest rendezvous weight for the pool and zone,
// or an empty id if there are no members.
MemberId AllocatorOf(const PoolId& pool,
                     const ZoneId& zone,
                     std::span<const MemberId> members);

// Returns how many of the host's `slots` slots `member` may use without a
// grant. The fixed shares of all members add up to `slots`. Returns 0 if
// `member` is not in `members`.
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

  // Sets the live members of the zone, including this process. Members beyond
  // SlotOptions::max_members, in the order of their ids, are ignored.
  SlotActions SetMembers(Time now, std::span<const MemberId> members);
  // Sets the hosts of the pool in this zone with their total numbers of slots.
  // Ignores a new pool beyond SlotOptions::max_pools, and hosts beyond
  // SlotOptions::max_hosts in the order of their ids.
  SlotActions SetPool(Time now,
                      const PoolId& pool,
                      std::span<const HostSlots> hosts);
  SlotActions RemovePool(Time now, const PoolId& pool);

  // Sets the number of the pool's requests in flight plus those waiting for a
  // slot.
  SlotActions SetWanted(Time now, const PoolId& pool, uint32_t wanted);
  // Sets the number of requests in flight on one host. Sends no message; the
  // next demand reports the number.
  void SetInUse(const PoolId& pool, const HostId& host, uint32_t in_use);

  // Handles a grant from the authenticated sender `from`. Ignores it if it is
  // late, superseded, or not from the pool's allocator.
  SlotActions HandleGrant(Time now,
                          const MemberId& from,
                          const SlotGrant& grant);

  // Emits demands that are due and drops expired grants. Call it at next_wake()
  // or later.
  SlotActions Tick(Time now);
  Time next_wake() const;

  // Returns how many requests this process may have in flight on the host; 0
  // for unknown pools and hosts.
  uint32_t share(const PoolId& pool, const HostId& host) const;
  // Returns whether the process uses a grant for the pool, rather than its
  // fixed shares.
  bool has_grant(const PoolId& pool) const;

 private:
  struct HostState {
    uint32_t total_slots = 0;
    uint32_t fixed_share = 0;
    uint32_t share = 0;  // Granted share if there is a grant, else fixed.
    uint32_t in_use = 0;
  };
  struct SentDemand {
    uint64_t sequence;
    Time sent_at;
  };
  struct PoolState {
    std::map<HostId, HostState> hosts;
    MemberId allocator;
    uint32_t wanted = 0;
    // Integral of `wanted` over time, from the last demand to `wanted_updated`.
    double wanted_slot_seconds = 0;
    Time wanted_updated = kTimeZero;  // Last call of SetWanted() or demand.
    uint32_t last_sent_wanted = 0;
    bool demand_pending = true;  // A change has not been sent yet.
    Time last_sent_at = kTimeZero - Seconds(3600);
    // Demands not older than one term; grants that answer older demands have
    // expired.
    std::deque<SentDemand> sent_demands;
    bool has_grant = false;
    Time grant_expires = kTimeMax;
    std::map<HostId, uint32_t> granted_slots;
    // Sequence of the grant in use; 0 if it is not from the present allocator.
    uint64_t applied_sequence = 0;
    // Allocator's incarnation and sequence of the newest grant accepted from
    // the present allocator.
    Incarnation accepted_incarnation;
    uint64_t accepted_sequence = 0;
    Time wake = kTimeMax;  // Key of this pool in `wakes_`; kTimeMax if absent.
  };

  void EmitDemand(Time now, const PoolId& id, PoolState& pool);
  static uint32_t AverageWanted(Time now, const PoolState& pool);
  void EmitDemandIfDue(Time now, const PoolId& id, PoolState& pool);
  void UpdateAllocator(const PoolId& id, PoolState& pool);
  void UpdateFixedShares(PoolState& pool);
  bool UpdateShares(const PoolId& id, PoolState& pool);
  void UpdateWake(const PoolId& id, PoolState& pool);
  SlotActions TakeActions();

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
  // Demands that are late, repeated, malformed, for a pool that this process
  // does not allocate, or not from a live member.
  uint64_t demands_ignored = 0;
  uint64_t grants = 0;
  uint64_t grants_expired = 0;
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

  // Handles a demand from the authenticated sender `from`. Ignores it as
  // described at SlotAllocatorCounters::demands_ignored.
  SlotActions HandleDemand(Time now,
                           const MemberId& from,
                           const SlotDemand& demand);

  // Expires grants and issues those that are due. Call it at next_wake() or
  // later.
  SlotActions Tick(Time now);
  Time next_wake() const;

  // Returns whether this process issues grants for the pool. It starts
  // `grant_term + drift_margin` after the change of members that made it the
  // allocator, when all grants of the previous allocator have expired.
  bool is_serving(Time now, const PoolId& pool) const;
  // Returns an upper bound of the slots of the host that members may be using:
  // under unexpired grants, as fixed shares, or above a grant that shrank. 0
  // for unknown pools and hosts.
  uint32_t committed(const PoolId& pool, const HostId& host) const;

  const SlotAllocatorCounters& counters() const { return counters_; }

 private:
  struct IssuedGrant {
    uint64_t sequence;
    Time expires;
    std::map<HostId, uint32_t> slots;
  };
  struct MemberState {
    bool live = false;  // In the list of members.
    // A demand arrived within the last `grant_term + drift_margin`. Only active
    // members get grants.
    bool active = false;
    // The member may be using its fixed shares: it sent no demand yet, or its
    // last demand reported no grant in use. False for a member that became
    // inactive.
    bool may_use_fixed_share = true;
    Incarnation incarnation;
    uint64_t demand_sequence = 0;
    uint32_t wanted = 0;
    Time last_heard = kTimeZero;
    // Unexpired grants that the member may be using, oldest first. The last one
    // is the newest that was issued.
    std::deque<IssuedGrant> grants;
    std::map<HostId, uint32_t> above_grant;  // From the last demand.
    std::map<HostId, uint32_t> fixed_shares;
    Time last_grant_at = kTimeZero - Seconds(3600);
    bool answer_due = false;  // The last demand has not been answered.
    bool push_due = false;    // The slots should change without a new demand.
  };
  struct PoolState {
    std::map<HostId, uint32_t> hosts;
    bool is_allocator = false;  // This process is the pool's allocator.
    Time serving_from = kTimeMax;
    std::map<MemberId, MemberState> members;
    Time wake = kTimeMax;  // Key of this pool in `wakes_`; kTimeMax if absent.
  };

  static uint32_t CommittedTo(const MemberState& member, const HostId& host);
  static std::map<HostId, uint32_t> ResizeGrant(const PoolState& pool,
                                                const MemberId& id,
                                                const MemberState& member,
                                                uint32_t target);
  void ExpireGrants(Time now, PoolState& pool);
  std::map<MemberId, uint32_t> ComputeTargets(const PoolState& pool) const;
  void Rebalance(Time now, const PoolId& id, PoolState& pool);
  void IssueGrantIfDue(Time now,
                       const PoolId& id,
                       PoolState& pool,
                       const MemberId& member_id,
                       uint32_t target,
                       bool shortage);
  void UpdateFixedShares(const PoolState& pool,
                         const MemberId& id,
                         MemberState& member);
  void UpdateWake(Time now, const PoolId& id, PoolState& pool);
  void UpdateRole(Time now, const PoolId& id, PoolState& pool);
  SlotActions TakeActions();

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
