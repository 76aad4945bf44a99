#include "radishmoor/slots/slot_shares.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <tuple>

#include "radishmoor/base/hash.h"
#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// The lists of all processes must agree, so excess and repeated entries are
// dropped after sorting.
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
  return slots / count + (ahead < slots % count ? 1 : 0);
}

// ---- Holder -----------------------------------------------------------------

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
    return Take();
  members_ = std::move(bounded);
  for (auto& [id, pool] : pools_) {
    UpdateAllocator(id, pool);
    RefreshFixed(pool);
    UpdateShares(id, pool);
    SendIfDue(now, id, pool);
  }
  return Take();
}

SlotActions SlotHolder::SetPool(Time now,
                                const PoolId& id,
                                std::span<const HostSlots> hosts) {
  if (!pools_.contains(id) && pools_.size() >= options_.max_pools)
    return Take();
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
    pool.hosts[host].total = slots;
  pool.resend = true;
  UpdateAllocator(id, pool);
  RefreshFixed(pool);
  UpdateShares(id, pool);
  SendIfDue(now, id, pool);
  return Take();
}

SlotActions SlotHolder::RemovePool(Time, const PoolId& id) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return Take();
  for (const auto& [host, state] : it->second.hosts) {
    if (state.share > 0)
      actions_.emplace_back(ShareChanged{id, host, 0});
  }
  SetWake(wakes_, id, it->second, kTimeMax);
  pools_.erase(it);
  return Take();
}

void SlotHolder::UpdateAllocator(const PoolId& id, PoolState& pool) {
  MemberId allocator = AllocatorOf(id, zone_, members_);
  if (allocator == pool.allocator)
    return;
  // A grant of the former allocator stays valid for its term; the new one
  // waits for that before it takes office.
  pool.allocator = allocator;
  pool.accepted_incarnation = {};
  pool.accepted_sequence = 0;
  pool.applied = 0;
  pool.resend = true;
}

void SlotHolder::RefreshFixed(PoolState& pool) {
  for (auto& [id, host] : pool.hosts)
    host.fixed = FixedShare(id, host.total, self_, members_);
}

SlotActions SlotHolder::SetWanted(Time now, const PoolId& id, uint32_t wanted) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return Take();
  PoolState& pool = it->second;
  pool.wanted_time +=
      static_cast<double>(pool.wanted) * ToSeconds(now - pool.wanted_since);
  pool.wanted_since = now;
  pool.wanted = wanted;
  if (wanted != pool.sent_wanted)
    pool.resend = true;
  SendIfDue(now, id, pool);
  return Take();
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

void SlotHolder::SendIfDue(Time now, const PoolId& id, PoolState& pool) {
  Time due = pool.last_sent +
             (pool.resend ? options_.demand_interval : options_.renew_interval);
  if (now >= due && !pool.allocator.empty())
    Send(now, id, pool);
  UpdateWake(id, pool);
}

void SlotHolder::Send(Time now, const PoolId& id, PoolState& pool) {
  while (!pool.sent.empty() && pool.sent.front().at + options_.term <= now)
    pool.sent.pop_front();
  SlotDemand demand;
  demand.pool = id;
  demand.zone = zone_;
  demand.member = self_;
  demand.incarnation = incarnation_;
  demand.sequence = next_sequence_++;
  demand.applied_grant = pool.granted ? pool.applied : 0;
  for (const auto& [host, state] : pool.hosts) {
    demand.in_use += state.in_use;
    if (state.in_use > state.share)
      demand.above_grant.push_back({host, state.in_use});
  }
  demand.wanted = AverageWanted(now, pool);
  // With requests waiting, the present number counts, so that a rise is
  // answered at once.
  if (pool.wanted > demand.in_use)
    demand.wanted = std::max(demand.wanted, pool.wanted);
  pool.sent.push_back({demand.sequence, now});
  pool.last_sent = now;
  pool.sent_wanted = demand.wanted;
  pool.wanted_time = 0;
  pool.wanted_since = now;
  pool.resend = pool.wanted != demand.wanted;
  actions_.emplace_back(SendDemand{pool.allocator, std::move(demand)});
}

// Mean since the last demand, rounded up. Peaks of single moments would add up
// over the members to more than the pool and leave nothing to lend.
uint32_t SlotHolder::AverageWanted(Time now, const PoolState& pool) {
  double area = pool.wanted_time + static_cast<double>(pool.wanted) *
                                       ToSeconds(now - pool.wanted_since);
  double time = ToSeconds(now - pool.last_sent);
  return time > 0 ? static_cast<uint32_t>(std::ceil(area / time)) : pool.wanted;
}

SlotActions SlotHolder::HandleGrant(Time now,
                                    const MemberId& from,
                                    const SlotGrant& grant) {
  auto it = pools_.find(grant.pool);
  if (it == pools_.end() || grant.zone != zone_ || grant.member != self_ ||
      grant.incarnation != incarnation_ || grant.allocator != from ||
      from != it->second.allocator || grant.slots.size() > options_.max_hosts)
    return Take();
  PoolState& pool = it->second;
  auto order = std::pair(grant.allocator_incarnation, grant.sequence);
  if (order <= std::pair(pool.accepted_incarnation, pool.accepted_sequence))
    return Take();
  auto sent = std::find_if(pool.sent.begin(), pool.sent.end(),
                           [&](const SentDemand& demand) {
                             return demand.sequence == grant.demand_sequence;
                           });
  if (sent == pool.sent.end() || sent->at + options_.term <= now)
    return Take();
  pool.accepted_incarnation = grant.allocator_incarnation;
  pool.accepted_sequence = grant.sequence;
  pool.applied = grant.sequence;
  pool.granted = true;
  pool.grant_ends = sent->at + options_.term;
  pool.grant.clear();
  for (const HostSlots& host : grant.slots) {
    if (pool.hosts.contains(host.host))
      pool.grant[host.host] = host.slots;
  }
  // The allocator can lend what was taken away once it knows that this grant
  // is in use.
  if (UpdateShares(grant.pool, pool))
    pool.resend = true;
  SendIfDue(now, grant.pool, pool);
  return Take();
}

// Returns whether any share became smaller.
bool SlotHolder::UpdateShares(const PoolId& id, PoolState& pool) {
  bool smaller = false;
  for (auto& [host, state] : pool.hosts) {
    uint32_t share = pool.granted
                         ? std::min(Lookup(pool.grant, host), state.total)
                         : state.fixed;
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
    if (pool.granted && pool.grant_ends <= now) {
      pool.granted = false;
      pool.grant.clear();
      pool.grant_ends = kTimeMax;
      UpdateShares(id, pool);
    }
    SendIfDue(now, id, pool);
  }
  return Take();
}

void SlotHolder::UpdateWake(const PoolId& id, PoolState& pool) {
  Time wake = pool.granted ? pool.grant_ends : kTimeMax;
  if (!pool.allocator.empty()) {
    wake = std::min(wake,
                    pool.last_sent + (pool.resend ? options_.demand_interval
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

bool SlotHolder::granted(const PoolId& id) const {
  auto it = pools_.find(id);
  return it != pools_.end() && it->second.granted;
}

SlotActions SlotHolder::Take() {
  return std::exchange(actions_, {});
}

// ---- Allocator --------------------------------------------------------------

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
    return Take();
  members_ = std::move(bounded);
  for (auto& [id, pool] : pools_)
    UpdateOffice(now, id, pool);
  return Take();
}

SlotActions SlotAllocator::SetPool(Time now,
                                   const PoolId& id,
                                   std::span<const HostSlots> hosts) {
  if (!pools_.contains(id) && pools_.size() >= options_.max_pools)
    return Take();
  PoolState& pool = pools_[id];
  pool.hosts = BoundedHosts(hosts, options_);
  UpdateOffice(now, id, pool);
  return Take();
}

SlotActions SlotAllocator::RemovePool(Time, const PoolId& id) {
  auto it = pools_.find(id);
  if (it == pools_.end())
    return Take();
  SetWake(wakes_, id, it->second, kTimeMax);
  pools_.erase(it);
  return Take();
}

void SlotAllocator::UpdateOffice(Time now, const PoolId& id, PoolState& pool) {
  bool allocator = AllocatorOf(id, zone_, members_) == self_;
  if (!allocator || !pool.allocator) {
    pool.members.clear();
    pool.office_from =
        allocator ? now + options_.term + options_.margin : kTimeMax;
  }
  pool.allocator = allocator;
  for (auto& [member_id, member] : pool.members)
    member.live = false;
  if (allocator) {
    for (const MemberId& member : members_) {
      pool.members[member].live = true;
      RefreshFixed(pool, member, pool.members[member]);
    }
  }
  for (auto& [member_id, member] : pool.members) {
    if (member.live)
      continue;
    // Its grants stay counted until they expire.
    member.active = false;
    member.answer_due = false;
    member.push_due = false;
  }
  Rebalance(now, id, pool);
}

void SlotAllocator::RefreshFixed(const PoolState& pool,
                                 const MemberId& id,
                                 MemberState& member) {
  member.fixed.clear();
  for (const auto& [host, slots] : pool.hosts)
    member.fixed[host] = FixedShare(host, slots, id, members_);
}

SlotActions SlotAllocator::HandleDemand(Time now,
                                        const MemberId& from,
                                        const SlotDemand& demand) {
  ++counters_.demands;
  auto ignore = [&] {
    ++counters_.demands_ignored;
    return Take();
  };
  auto it = pools_.find(demand.pool);
  if (it == pools_.end() || !it->second.allocator || demand.zone != zone_ ||
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
  member.heard = now;
  member.active = true;
  member.wanted = std::min(demand.wanted, Sum(pool.hosts));
  member.assumed = demand.applied_grant == 0;
  member.above_grant.clear();
  for (const HostSlots& host : demand.above_grant) {
    uint32_t total = Lookup(pool.hosts, host.host);
    if (total > 0)
      member.above_grant[host.host] = std::min(host.slots, total);
  }
  bool applied_known = std::any_of(
      member.grants.begin(), member.grants.end(),
      [&](const Outstanding& g) { return g.sequence == demand.applied_grant; });
  while (applied_known && member.grants.front().sequence < demand.applied_grant)
    member.grants.pop_front();
  member.answer_due = true;
  Rebalance(now, demand.pool, pool);
  return Take();
}

uint32_t SlotAllocator::CommittedTo(const MemberState& member,
                                    const HostId& host) {
  uint32_t committed = Lookup(member.above_grant, host);
  if (member.assumed && member.live)
    committed = std::max(committed, Lookup(member.fixed, host));
  for (const Outstanding& grant : member.grants)
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

bool SlotAllocator::in_office(Time now, const PoolId& id) const {
  auto it = pools_.find(id);
  return it != pools_.end() && it->second.allocator &&
         now >= it->second.office_from;
}

void SlotAllocator::Expire(Time now, PoolState& pool) {
  for (auto it = pool.members.begin(); it != pool.members.end();) {
    MemberState& member = it->second;
    // Expiry grows with the sequence, since it counts from the last demand.
    while (!member.grants.empty() && member.grants.front().expires <= now) {
      member.grants.pop_front();
      ++counters_.expired;
    }
    if (member.active &&
        member.heard + options_.term + options_.margin <= now) {
      member.active = false;
      member.answer_due = false;
      member.push_due = false;
      member.above_grant.clear();
      // It uses its fixed share if it still runs. Holding that back for a
      // process that most likely ended would idle one share of the pool until
      // the membership drops it.
      member.assumed = false;
    }
    if (!member.live && member.grants.empty())
      it = pool.members.erase(it);
    else
      ++it;
  }
}

// Max-min fair numbers of slots for the members that send demands: nobody gets
// more than it wants while another gets less. What nobody wants is divided
// evenly, as headroom for a rise of load before the next demand.
std::map<MemberId, uint32_t> SlotAllocator::Targets(
    const PoolState& pool) const {
  uint32_t capacity = Sum(pool.hosts);
  std::vector<std::pair<uint32_t, MemberId>> order;
  for (const auto& [id, member] : pool.members) {
    if (member.live && member.active) {
      order.emplace_back(member.wanted, id);
      continue;
    }
    uint32_t kept = 0;
    for (const auto& [host, slots] : pool.hosts)
      kept += CommittedTo(member, host);
    capacity -= std::min(capacity, kept);
  }
  std::sort(order.begin(), order.end());
  std::map<MemberId, uint32_t> targets;
  auto left = static_cast<uint32_t>(order.size());
  for (const auto& [wanted, id] : order) {
    uint32_t target = std::min(wanted, (capacity + left - 1) / left);
    targets[id] = target;
    capacity -= target;
    --left;
  }
  auto count = static_cast<uint32_t>(order.size());
  for (size_t i = 0; i < order.size(); ++i)
    targets[order[i].second] +=
        capacity / count + (i < capacity % count ? 1 : 0);
  return targets;
}

// The slots of the member after growing or shrinking towards `target`.
std::map<HostId, uint32_t> SlotAllocator::Resize(const PoolState& pool,
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
  // Ties are broken differently for each member, so that members spread over
  // different hosts.
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
  // Most free first: keeps the hosts evenly loaded.
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
  Expire(now, pool);
  if (pool.allocator && now >= pool.office_from) {
    std::map<MemberId, uint32_t> targets = Targets(pool);
    // Members that lack slots they want. Only for their sake are slots taken
    // back from others, because every take-back costs a round trip.
    bool shortage = false;
    for (const auto& [member_id, target] : targets) {
      const MemberState& member = pool.members.at(member_id);
      uint32_t held =
          member.grants.empty() ? 0 : Sum(member.grants.back().slots);
      shortage |= held < std::min(member.wanted, target);
    }
    for (const auto& [member_id, target] : targets)
      Serve(now, id, pool, member_id, target, shortage);
  }
  UpdateWake(now, id, pool);
}

void SlotAllocator::Serve(Time now,
                          const PoolId& id,
                          PoolState& pool,
                          const MemberId& member_id,
                          uint32_t target,
                          bool shortage) {
  MemberState& member = pool.members.at(member_id);
  bool none = member.grants.empty();
  uint32_t held = none ? 0 : Sum(member.grants.back().slots);
  if (!shortage)
    target = std::max(target, held);
  member.push_due = target < held || held < std::min(member.wanted, target);
  if (!member.answer_due && !member.push_due)
    return;
  if (now < member.last_grant + options_.push_interval)
    return;
  std::map<HostId, uint32_t> slots = Resize(pool, member_id, member, target);
  if (!member.answer_due && !none && slots == member.grants.back().slots) {
    // Nothing is free yet; the next demand or expiry changes that.
    member.push_due = false;
    return;
  }
  Outstanding grant;
  grant.sequence = next_sequence_++;
  grant.expires = member.heard + options_.term + options_.margin;
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
    bool grew = none || count > Lookup(member.grants.back().slots, host);
    uint32_t others = committed(id, host) - CommittedTo(member, host);
    RADISHMOOR_INVARIANT("slots.grants_within_host",
                         !grew || others + count <= pool.hosts.at(host));
  }
  member.grants.push_back(std::move(grant));
  member.last_grant = now;
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
  return Take();
}

void SlotAllocator::UpdateWake(Time now, const PoolId& id, PoolState& pool) {
  Time wake = kTimeMax;
  if (pool.allocator && now < pool.office_from)
    wake = pool.office_from;
  for (const auto& [member_id, member] : pool.members) {
    if (!member.grants.empty())
      wake = std::min(wake, member.grants.front().expires);
    if (member.active) {
      wake = std::min(wake, member.heard + options_.term + options_.margin);
    }
    if ((member.answer_due || member.push_due) && now >= pool.office_from)
      wake = std::min(wake, member.last_grant + options_.push_interval);
  }
  SetWake(wakes_, id, pool, wake);
}

Time SlotAllocator::next_wake() const {
  return wakes_.empty() ? kTimeMax : wakes_.begin()->first;
}

SlotActions SlotAllocator::Take() {
  return std::exchange(actions_, {});
}

}  // namespace radishmoor
