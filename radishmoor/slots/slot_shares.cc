#include "radishmoor/slots/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>

#include "radishmoor/base/hash.h"
#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// Returns the members sorted, without duplicates, and at most `max` of them.
// All processes must compute the same list, whatever the order of their input,
// so the list is sorted before it is cut.
std::vector<MemberId> BoundedMembers(std::span<const MemberId> members,
                                     size_t max) {
  std::vector<MemberId> result(members.begin(), members.end());
  std::sort(result.begin(), result.end());
  result.erase(std::unique(result.begin(), result.end()), result.end());
  if (result.size() > max)
    result.resize(max);
  return result;
}

std::map<HostId, uint32_t> BoundedHosts(std::span<const HostSlots> hosts,
                                        const SlotOptions& options) {
  std::map<HostId, uint32_t> result;
  for (const HostSlots& host : hosts)
    result[host.host] = std::min(host.slots, options.max_slots_per_host);
  while (result.size() > options.max_hosts)
    result.erase(std::prev(result.end()));
  return result;
}

uint32_t Lookup(const std::map<HostId, uint32_t>& slots, const HostId& host) {
  auto it = slots.find(host);
  return it == slots.end() ? 0 : it->second;
}

uint32_t Sum(const std::map<HostId, uint32_t>& slots) {
  uint32_t sum = 0;
  for (const auto& [host, count] : slots)
    sum += count;
  return sum;
}

// Moves the pool's entry in `wakes` to the time `at`; kTimeMax removes the
// entry.
template <typename Id, typename State>
void SetWake(std::set<std::pair<Time, Id>>& wakes,
             const Id& id,
             State& state,
             Time at) {
  if (state.wake == at)
    return;
  if (state.wake != kTimeMax)
    wakes.erase({state.wake, id});
  state.wake = at;
  if (at != kTimeMax)
    wakes.insert({at, id});
}

}  // namespace

MemberId AllocatorOf(const PoolId& pool,
                     const ZoneId& zone,
                     std::span<const MemberId> members) {
  std::string key = pool.str() + "/" + zone.str();
  MemberId best;
  uint64_t weight = 0;
  for (const MemberId& member : members) {
    uint64_t candidate = RendezvousWeight(key, member.str());
    if (best.empty() || std::tie(candidate, member) > std::tie(weight, best)) {
      best = member;
      weight = candidate;
    }
  }
  return best;
}

uint32_t FixedShare(const HostId& host,
                    uint32_t slots,
                    const MemberId& member,
                    std::span<const MemberId> members) {
  if (std::find(members.begin(), members.end(), member) == members.end())
    return 0;
  auto count = static_cast<uint32_t>(members.size());
  uint64_t own = RendezvousWeight(host.str(), member.str());
  uint32_t ahead = 0;
  for (const MemberId& other : members) {
    uint64_t weight = RendezvousWeight(host.str(), other.str());
    ahead += std::tie(weight, other) > std::tie(own, member) ? 1 : 0;
  }
  // The remainder goes to the members with the highest weights.
  return slots / count + (ahead < slots % count ? 1 : 0);
}

SlotHolder::SlotHolder(SlotOptions options,
                       MemberId self,
                       ZoneId zone,
                       Incarnation incarnation)
    : options_(options),
      self_(std::move(self)),
      zone_(std::move(zone)),
      incarnation_(incarnation) {}

SlotActions SlotHolder::SetMembers(Time now,
                                   std::span<const MemberId> members) {
  std::vector<MemberId> bounded = BoundedMembers(members, options_.max_members);
  if (bounded == members_)
    return TakeActions();
  members_ = std::move(bounded);
  for (auto& [id, pool] : pools_) {
    UpdateAllocator(id, pool);
    UpdateFixedShares(pool);
    UpdateShares(id, pool);
    EmitDemandIfDue(now, id, pool);
  }
  return TakeActions();
}

SlotActions SlotHolder::SetPool(Time now,
                                const PoolId& id,
                                std::span<const HostSlots> hosts) {
  if (!pools_.contains(id) && pools_.size() >= options_.max_pools)
    return TakeActions();
  PoolState& pool = pools_[id];
  std::map<HostId, uint32_t> bounded = BoundedHosts(hosts, options_);
  for (auto it = pool.hosts.begin(); it != pool.hosts.end();) {
    if (bounded.contains(it->first)) {
      ++it;
      continue;
    }
    if (it->second.share > 0)
      actions_.emplace_back(ShareChanged{id, it->first, 0});
    it = pool.hosts.erase(it);
  }
  for (const auto& [host, slots] : bounded)
    pool.hosts[host].total_slots = slots;
  pool.demand_pending = true;
  UpdateAllocator(id, pool);
  UpdateFixedShares(pool);
  UpdateShares(id, pool);
  EmitDemandIfDue(now, id, pool);
  return TakeActions();
}

SlotActions SlotHolder::RemovePool(Time, const PoolId& id) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return TakeActions();
  for (const auto& [host, state] : it->second.hosts) {
    if (state.share > 0)
      actions_.emplace_back(ShareChanged{id, host, 0});
  }
  SetWake(wakes_, id, it->second, kTimeMax);
  pools_.erase(it);
  return TakeActions();
}

void SlotHolder::UpdateAllocator(const PoolId& id, PoolState& pool) {
  MemberId allocator = AllocatorOf(id, zone_, members_);
  if (allocator == pool.allocator)
    return;
  // A grant of the previous allocator stays valid until it expires; the new
  // allocator waits for that before it issues grants.
  pool.allocator = allocator;
  pool.accepted_incarnation = {};
  pool.accepted_sequence = 0;
  pool.applied_sequence = 0;
  pool.demand_pending = true;
}

void SlotHolder::UpdateFixedShares(PoolState& pool) {
  for (auto& [id, host] : pool.hosts)
    host.fixed_share = FixedShare(id, host.total_slots, self_, members_);
}

SlotActions SlotHolder::SetWanted(Time now, const PoolId& id, uint32_t wanted) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return TakeActions();
  PoolState& pool = it->second;
  pool.wanted_slot_seconds +=
      static_cast<double>(pool.wanted) * ToSeconds(now - pool.wanted_updated);
  pool.wanted_updated = now;
  pool.wanted = wanted;
  if (wanted != pool.last_sent_wanted)
    pool.demand_pending = true;
  EmitDemandIfDue(now, id, pool);
  return TakeActions();
}

void SlotHolder::SetInUse(const PoolId& id,
                          const HostId& host,
                          uint32_t in_use) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return;
  auto found = it->second.hosts.find(host);
  if (found != it->second.hosts.end())
    found->second.in_use = in_use;
}

void SlotHolder::EmitDemandIfDue(Time now, const PoolId& id, PoolState& pool) {
  Time due =
      pool.last_sent_at + (pool.demand_pending ? options_.demand_interval
                                               : options_.renew_interval);
  if (now >= due && !pool.allocator.empty())
    EmitDemand(now, id, pool);
  UpdateWake(id, pool);
}

void SlotHolder::EmitDemand(Time now, const PoolId& id, PoolState& pool) {
  while (!pool.sent_demands.empty() &&
         pool.sent_demands.front().sent_at + options_.grant_term <= now)
    pool.sent_demands.pop_front();
  SlotDemand demand;
  demand.pool = id;
  demand.zone = zone_;
  demand.member = self_;
  demand.incarnation = incarnation_;
  demand.sequence = next_sequence_++;
  demand.applied_grant = pool.has_grant ? pool.applied_sequence : 0;
  for (const auto& [host, state] : pool.hosts) {
    demand.in_use += state.in_use;
    if (state.in_use > state.share)
      demand.above_grant.push_back({host, state.in_use});
  }
  demand.wanted = AverageWanted(now, pool);
  // While requests wait for a slot, the demand is at least the present number,
  // so that the allocator can respond to a rise at once.
  if (pool.wanted > demand.in_use)
    demand.wanted = std::max(demand.wanted, pool.wanted);
  pool.sent_demands.push_back({demand.sequence, now});
  pool.last_sent_at = now;
  pool.last_sent_wanted = demand.wanted;
  pool.wanted_slot_seconds = 0;
  pool.wanted_updated = now;
  pool.demand_pending = pool.wanted != demand.wanted;
  actions_.emplace_back(SendDemand{pool.allocator, std::move(demand)});
}

// Returns the mean of `pool.wanted` since the last demand, rounded up.
// Momentary peaks of all members would add up to more than the slots of the
// pool, and no member would leave slots for the others.
uint32_t SlotHolder::AverageWanted(Time now, const PoolState& pool) {
  double slot_seconds =
      pool.wanted_slot_seconds +
      static_cast<double>(pool.wanted) * ToSeconds(now - pool.wanted_updated);
  double seconds = ToSeconds(now - pool.last_sent_at);
  return seconds > 0 ? static_cast<uint32_t>(std::ceil(slot_seconds / seconds))
                     : pool.wanted;
}

SlotActions SlotHolder::HandleGrant(Time now,
                                    const MemberId& from,
                                    const SlotGrant& grant) {
  auto it = pools_.find(grant.pool);
  if (it == pools_.end() || grant.zone != zone_ || grant.member != self_ ||
      grant.incarnation != incarnation_ || grant.allocator != from ||
      from != it->second.allocator || grant.slots.size() > options_.max_hosts)
    return TakeActions();
  PoolState& pool = it->second;
  auto order = std::pair(grant.allocator_incarnation, grant.sequence);
  if (order <= std::pair(pool.accepted_incarnation, pool.accepted_sequence))
    return TakeActions();
  auto sent = std::find_if(pool.sent_demands.begin(), pool.sent_demands.end(),
                           [&](const SentDemand& demand) {
                             return demand.sequence == grant.demand_sequence;
                           });
  if (sent == pool.sent_demands.end() ||
      sent->sent_at + options_.grant_term <= now)
    return TakeActions();
  pool.accepted_incarnation = grant.allocator_incarnation;
  pool.accepted_sequence = grant.sequence;
  pool.applied_sequence = grant.sequence;
  pool.has_grant = true;
  pool.grant_expires = sent->sent_at + options_.grant_term;
  pool.granted_slots.clear();
  for (const HostSlots& host : grant.slots) {
    if (pool.hosts.contains(host.host))
      pool.granted_slots[host.host] = host.slots;
  }
  // The next demand tells the allocator that this grant is in use. Only then
  // can the allocator grant the slots that it took back to other members.
  if (UpdateShares(grant.pool, pool))
    pool.demand_pending = true;
  EmitDemandIfDue(now, grant.pool, pool);
  return TakeActions();
}

// Recomputes the shares in force. Returns whether any share became smaller.
bool SlotHolder::UpdateShares(const PoolId& id, PoolState& pool) {
  bool smaller = false;
  for (auto& [host, state] : pool.hosts) {
    uint32_t share = pool.has_grant ? std::min(Lookup(pool.granted_slots, host),
                                               state.total_slots)
                                    : state.fixed_share;
    if (share == state.share)
      continue;
    smaller |= share < state.share;
    state.share = share;
    actions_.emplace_back(ShareChanged{id, host, share});
  }
  return smaller;
}

SlotActions SlotHolder::Tick(Time now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    PoolId id = wakes_.begin()->second;
    PoolState& pool = pools_.at(id);
    if (pool.has_grant && pool.grant_expires <= now) {
      pool.has_grant = false;
      pool.granted_slots.clear();
      pool.grant_expires = kTimeMax;
      UpdateShares(id, pool);
    }
    EmitDemandIfDue(now, id, pool);
  }
  return TakeActions();
}

void SlotHolder::UpdateWake(const PoolId& id, PoolState& pool) {
  Time wake = pool.has_grant ? pool.grant_expires : kTimeMax;
  if (!pool.allocator.empty()) {
    wake = std::min(wake, pool.last_sent_at + (pool.demand_pending
                                                   ? options_.demand_interval
                                                   : options_.renew_interval));
  }
  SetWake(wakes_, id, pool, wake);
}

Time SlotHolder::next_wake() const {
  return wakes_.empty() ? kTimeMax : wakes_.begin()->first;
}

uint32_t SlotHolder::share(const PoolId& id, const HostId& host) const {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return 0;
  auto found = it->second.hosts.find(host);
  return found == it->second.hosts.end() ? 0 : found->second.share;
}

bool SlotHolder::has_grant(const PoolId& id) const {
  auto it = pools_.find(id);
  return it != pools_.end() && it->second.has_grant;
}

SlotActions SlotHolder::TakeActions() {
  return std::exchange(actions_, {});
}

SlotAllocator::SlotAllocator(SlotOptions options,
                             MemberId self,
                             ZoneId zone,
                             Incarnation incarnation)
    : options_(options),
      self_(std::move(self)),
      zone_(std::move(zone)),
      incarnation_(incarnation) {}

SlotActions SlotAllocator::SetMembers(Time now,
                                      std::span<const MemberId> members) {
  std::vector<MemberId> bounded = BoundedMembers(members, options_.max_members);
  if (bounded == members_)
    return TakeActions();
  members_ = std::move(bounded);
  for (auto& [id, pool] : pools_)
    UpdateRole(now, id, pool);
  return TakeActions();
}

SlotActions SlotAllocator::SetPool(Time now,
                                   const PoolId& id,
                                   std::span<const HostSlots> hosts) {
  if (!pools_.contains(id) && pools_.size() >= options_.max_pools)
    return TakeActions();
  PoolState& pool = pools_[id];
  pool.hosts = BoundedHosts(hosts, options_);
  UpdateRole(now, id, pool);
  return TakeActions();
}

SlotActions SlotAllocator::RemovePool(Time, const PoolId& id) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return TakeActions();
  SetWake(wakes_, id, it->second, kTimeMax);
  pools_.erase(it);
  return TakeActions();
}

void SlotAllocator::UpdateRole(Time now, const PoolId& id, PoolState& pool) {
  bool is_allocator = AllocatorOf(id, zone_, members_) == self_;
  if (!is_allocator || !pool.is_allocator) {
    pool.members.clear();
    pool.serving_from = is_allocator
                            ? now + options_.grant_term + options_.drift_margin
                            : kTimeMax;
  }
  pool.is_allocator = is_allocator;
  for (auto& [member_id, member] : pool.members)
    member.live = false;
  if (is_allocator) {
    for (const MemberId& member : members_) {
      pool.members[member].live = true;
      UpdateFixedShares(pool, member, pool.members[member]);
    }
  }
  for (auto& [member_id, member] : pool.members) {
    if (member.live)
      continue;
    // The grants of a member that left stay counted until they expire.
    member.active = false;
    member.answer_due = false;
    member.push_due = false;
  }
  Rebalance(now, id, pool);
}

void SlotAllocator::UpdateFixedShares(const PoolState& pool,
                                      const MemberId& id,
                                      MemberState& member) {
  member.fixed_shares.clear();
  for (const auto& [host, slots] : pool.hosts)
    member.fixed_shares[host] = FixedShare(host, slots, id, members_);
}

SlotActions SlotAllocator::HandleDemand(Time now,
                                        const MemberId& from,
                                        const SlotDemand& demand) {
  ++counters_.demands;
  auto ignore = [&] {
    ++counters_.demands_ignored;
    return TakeActions();
  };
  auto it = pools_.find(demand.pool);
  if (it == pools_.end() || !it->second.is_allocator || demand.zone != zone_ ||
      demand.member != from || demand.above_grant.size() > options_.max_hosts)
    return ignore();
  PoolState& pool = it->second;
  auto found = pool.members.find(from);
  if (found == pool.members.end() || !found->second.live)
    return ignore();
  MemberState& member = found->second;
  if (std::pair(demand.incarnation, demand.sequence) <=
      std::pair(member.incarnation, member.demand_sequence))
    return ignore();
  member.incarnation = demand.incarnation;
  member.demand_sequence = demand.sequence;
  member.last_heard = now;
  member.active = true;
  member.wanted = std::min(demand.wanted, Sum(pool.hosts));
  member.may_use_fixed_share = demand.applied_grant == 0;
  member.above_grant.clear();
  for (const HostSlots& host : demand.above_grant) {
    uint32_t total = Lookup(pool.hosts, host.host);
    if (total > 0)
      member.above_grant[host.host] = std::min(host.slots, total);
  }
  bool applied_known = std::any_of(
      member.grants.begin(), member.grants.end(),
      [&](const IssuedGrant& g) { return g.sequence == demand.applied_grant; });
  while (applied_known && member.grants.front().sequence < demand.applied_grant)
    member.grants.pop_front();
  member.answer_due = true;
  Rebalance(now, demand.pool, pool);
  return TakeActions();
}

uint32_t SlotAllocator::CommittedTo(const MemberState& member,
                                    const HostId& host) {
  uint32_t committed = Lookup(member.above_grant, host);
  if (member.may_use_fixed_share && member.live)
    committed = std::max(committed, Lookup(member.fixed_shares, host));
  for (const IssuedGrant& grant : member.grants)
    committed = std::max(committed, Lookup(grant.slots, host));
  return committed;
}

uint32_t SlotAllocator::committed(const PoolId& id, const HostId& host) const {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return 0;
  uint32_t sum = 0;
  for (const auto& [member_id, member] : it->second.members)
    sum += CommittedTo(member, host);
  return sum;
}

bool SlotAllocator::is_serving(Time now, const PoolId& id) const {
  auto it = pools_.find(id);
  return it != pools_.end() && it->second.is_allocator &&
         now >= it->second.serving_from;
}

void SlotAllocator::ExpireGrants(Time now, PoolState& pool) {
  for (auto it = pool.members.begin(); it != pool.members.end();) {
    MemberState& member = it->second;
    // Later grants never expire earlier: the term of each counts from the last
    // demand before it. So only the front needs a check.
    while (!member.grants.empty() && member.grants.front().expires <= now) {
      member.grants.pop_front();
      ++counters_.grants_expired;
    }
    if (member.active &&
        member.last_heard + options_.grant_term + options_.drift_margin <=
            now) {
      member.active = false;
      member.answer_due = false;
      member.push_due = false;
      member.above_grant.clear();
      // If the member still runs, it uses its fixed shares, beside the slots
      // granted to others. Its slots are not reserved nevertheless: most likely
      // the process ended, and they would stay idle until the membership
      // removes it.
      member.may_use_fixed_share = false;
    }
    if (!member.live && member.grants.empty())
      it = pool.members.erase(it);
    else
      ++it;
  }
}

// Returns the max-min fair number of slots for each active member: no member
// gets more than it wants while another gets less than it wants. Slots that no
// member wants are divided evenly, as headroom for a rise of load before the
// next demand. Slots that other members may be using are left out.
std::map<MemberId, uint32_t> SlotAllocator::ComputeTargets(
    const PoolState& pool) const {
  uint32_t capacity = Sum(pool.hosts);
  std::vector<std::pair<uint32_t, MemberId>> by_wanted;
  for (const auto& [id, member] : pool.members) {
    if (member.live && member.active) {
      by_wanted.emplace_back(member.wanted, id);
      continue;
    }
    uint32_t reserved = 0;
    for (const auto& [host, slots] : pool.hosts)
      reserved += CommittedTo(member, host);
    capacity -= std::min(capacity, reserved);
  }
  std::sort(by_wanted.begin(), by_wanted.end());
  std::map<MemberId, uint32_t> targets;
  auto remaining_members = static_cast<uint32_t>(by_wanted.size());
  for (const auto& [wanted, id] : by_wanted) {
    uint32_t target = std::min(
        wanted, (capacity + remaining_members - 1) / remaining_members);
    targets[id] = target;
    capacity -= target;
    --remaining_members;
  }
  auto count = static_cast<uint32_t>(by_wanted.size());
  for (size_t i = 0; i < by_wanted.size(); ++i)
    targets[by_wanted[i].second] +=
        capacity / count + (i < capacity % count ? 1 : 0);
  return targets;
}

// Returns the slots of the member's next grant: those of its newest grant,
// grown or shrunk towards `target` in total. Grows only by slots that are free.
std::map<HostId, uint32_t> SlotAllocator::ResizeGrant(const PoolState& pool,
                                                      const MemberId& id,
                                                      const MemberState& member,
                                                      uint32_t target) {
  std::map<HostId, uint32_t> slots;
  if (!member.grants.empty()) {
    for (const auto& [host, count] : member.grants.back().slots) {
      if (pool.hosts.contains(host))
        slots[host] = std::min(count, pool.hosts.at(host));
    }
  }
  uint32_t held = Sum(slots);
  // The tie-break weight depends on the member, so that different members give
  // up or get slots on different hosts.
  if (held > target) {
    std::priority_queue<std::tuple<uint32_t, uint64_t, HostId>> largest;
    for (const auto& [host, count] : slots) {
      if (count > 0)
        largest.emplace(count, RendezvousWeight(id.str(), host.str()), host);
    }
    for (; held > target; --held) {
      auto [count, weight, host] = largest.top();
      largest.pop();
      if (--slots[host] > 0)
        largest.emplace(count - 1, weight, host);
    }
    return slots;
  }
  // The host with the most free slots comes first, which keeps the hosts evenly
  // loaded.
  std::priority_queue<std::tuple<uint32_t, uint64_t, HostId>> freest;
  for (const auto& [host, total] : pool.hosts) {
    uint32_t taken = Lookup(slots, host);
    for (const auto& [other_id, other] : pool.members) {
      if (other_id != id)
        taken += CommittedTo(other, host);
    }
    if (taken < total) {
      freest.emplace(total - taken, RendezvousWeight(id.str(), host.str()),
                     host);
    }
  }
  for (; held < target && !freest.empty(); ++held) {
    auto [free, weight, host] = freest.top();
    freest.pop();
    ++slots[host];
    if (free > 1)
      freest.emplace(free - 1, weight, host);
  }
  return slots;
}

void SlotAllocator::Rebalance(Time now, const PoolId& id, PoolState& pool) {
  ExpireGrants(now, pool);
  if (pool.is_allocator && now >= pool.serving_from) {
    std::map<MemberId, uint32_t> targets = ComputeTargets(pool);
    // Whether some member lacks slots that it wants and is entitled to. Slots
    // are taken back from other members only then, because each take-back costs
    // a round trip.
    bool shortage = false;
    for (const auto& [member_id, target] : targets) {
      const MemberState& member = pool.members.at(member_id);
      uint32_t held =
          member.grants.empty() ? 0 : Sum(member.grants.back().slots);
      shortage |= held < std::min(member.wanted, target);
    }
    for (const auto& [member_id, target] : targets)
      IssueGrantIfDue(now, id, pool, member_id, target, shortage);
  }
  UpdateWake(now, id, pool);
}

void SlotAllocator::IssueGrantIfDue(Time now,
                                    const PoolId& id,
                                    PoolState& pool,
                                    const MemberId& member_id,
                                    uint32_t target,
                                    bool shortage) {
  MemberState& member = pool.members.at(member_id);
  bool no_grant = member.grants.empty();
  uint32_t held = no_grant ? 0 : Sum(member.grants.back().slots);
  if (!shortage)
    target = std::max(target, held);
  member.push_due = target < held || held < std::min(member.wanted, target);
  if (!member.answer_due && !member.push_due)
    return;
  if (now < member.last_grant_at + options_.push_interval)
    return;
  std::map<HostId, uint32_t> slots =
      ResizeGrant(pool, member_id, member, target);
  if (!member.answer_due && !no_grant && slots == member.grants.back().slots) {
    // No slot is free yet. The next demand or expiry rebalances the pool again.
    member.push_due = false;
    return;
  }
  IssuedGrant grant;
  grant.sequence = next_sequence_++;
  grant.expires =
      member.last_heard + options_.grant_term + options_.drift_margin;
  grant.slots = std::move(slots);
  SlotGrant message;
  message.pool = id;
  message.zone = zone_;
  message.allocator = self_;
  message.member = member_id;
  message.incarnation = member.incarnation;
  message.allocator_incarnation = incarnation_;
  message.demand_sequence = member.demand_sequence;
  message.sequence = grant.sequence;
  for (const auto& [host, count] : grant.slots) {
    if (count == 0)
      continue;
    message.slots.push_back({host, count});
    bool grew = no_grant || count > Lookup(member.grants.back().slots, host);
    uint32_t others = committed(id, host) - CommittedTo(member, host);
    RADISHMOOR_INVARIANT("slots.grants_within_host",
                         !grew || others + count <= pool.hosts.at(host));
  }
  member.grants.push_back(std::move(grant));
  member.last_grant_at = now;
  member.answer_due = false;
  member.push_due = false;
  ++counters_.grants;
  actions_.emplace_back(SendGrant{member_id, std::move(message)});
}

SlotActions SlotAllocator::Tick(Time now) {
  while (!wakes_.empty() && wakes_.begin()->first <= now) {
    PoolId id = wakes_.begin()->second;
    Rebalance(now, id, pools_.at(id));
  }
  return TakeActions();
}

void SlotAllocator::UpdateWake(Time now, const PoolId& id, PoolState& pool) {
  Time wake = kTimeMax;
  if (pool.is_allocator && now < pool.serving_from)
    wake = pool.serving_from;
  for (const auto& [member_id, member] : pool.members) {
    if (!member.grants.empty())
      wake = std::min(wake, member.grants.front().expires);
    if (member.active) {
      wake = std::min(wake, member.last_heard + options_.grant_term +
                                options_.drift_margin);
    }
    if ((member.answer_due || member.push_due) && now >= pool.serving_from)
      wake = std::min(wake, member.last_grant_at + options_.push_interval);
  }
  SetWake(wakes_, id, pool, wake);
}

Time SlotAllocator::next_wake() const {
  return wakes_.empty() ? kTimeMax : wakes_.begin()->first;
}

SlotActions SlotAllocator::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace radishmoor
