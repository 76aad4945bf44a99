#include "radishmoor/fleet/drain_gate.h"

#include <algorithm>

namespace radishmoor {
namespace {

bool ReportsBusy(const MemberView& member, const HostId& host) {
  return std::find(member.busy.begin(), member.busy.end(), host) !=
         member.busy.end();
}

}  // namespace

void DrainGate::ObserveState(Time now, const FleetState& state) {
  std::erase_if(drains_, [&](const auto& item) {
    const HostState* host = state.FindHost(item.first);
    return !host || host->phase != HostPhase::kDraining;
  });
  for (const auto& [id, host] : state.hosts) {
    if (host.phase != HostPhase::kDraining)
      continue;
    Drain& drain = drains_[id];
    if (drain.version != host.drain_version)
      drain = {host.drain_version, now};
  }
}

void DrainGate::ObserveMembers(MemberList members) {
  // Of two rows of one member only the newer incarnation counts.
  std::map<MemberId, Incarnation> newest;
  for (const MemberView& member : members.members) {
    Incarnation& incarnation = newest[member.id];
    incarnation = std::max(incarnation, member.incarnation);
  }
  std::erase_if(members.members, [&](const MemberView& member) {
    return member.incarnation < newest[member.id];
  });
  members_ = std::move(members);
  members_read_ = true;
}

void DrainGate::ObserveHostList(std::span<const HostListEntry> hosts) {
  for (const HostListEntry& entry : hosts) {
    if (entry.state == HostListState::kTerminated)
      terminated_instances_.emplace(entry.name, entry.instance);
  }
}

bool DrainGate::IsConfirmedEnded(const MemberView& member) const {
  // A later instance with the same name does not prove that the earlier one has
  // ended: the platform may replace a host that it cannot reach.
  return !member.host.empty() &&
         terminated_instances_.contains({member.host, member.host_instance});
}

bool DrainGate::IsSilent(Time now, const MemberView& member) const {
  return now - member.last_change > options_.silent_after;
}

GateBlock DrainGate::CheckMemberOfSameZone(const MemberView& member,
                                           const HostState& host) const {
  if (member.version_in_force < host.drain_version)
    return GateBlock::kLocalNotAcknowledged;
  return ReportsBusy(member, host.id) ? GateBlock::kLocalBusy
                                      : GateBlock::kNone;
}

GateBlock DrainGate::CheckMemberOfOtherZone(Time now,
                                            const MemberView& member,
                                            const HostState& host,
                                            Time known_since) const {
  bool acknowledged = member.version_in_force >= host.drain_version;
  if (acknowledged && !ReportsBusy(member, host.id))
    return GateBlock::kNone;
  Time sends_end = known_since + options_.remote_view_age + options_.margin;
  if (!acknowledged && now < sends_end)
    return GateBlock::kRemoteMaySend;
  // If a member still renews its row, its report of requests on the host takes
  // precedence over the bound by the largest deadline.
  if (acknowledged && !IsSilent(now, member))
    return GateBlock::kRemoteMayBeBusy;
  bool bounded = options_.max_request_time > Duration::zero();
  if (!bounded || now < sends_end + options_.max_request_time)
    return GateBlock::kRemoteMayBeBusy;
  return GateBlock::kNone;
}

DrainGateResult DrainGate::Check(Time now, const HostState& host) const {
  auto drain = drains_.find(host.id);
  if (host.phase != HostPhase::kDraining || drain == drains_.end() ||
      drain->second.version != host.drain_version) {
    return {false, GateBlock::kNotDraining, {}};
  }
  Time known_since = drain->second.known_since;
  if (!members_read_ || members_.read_started < known_since)
    return {false, GateBlock::kMembersNotRead, {}};
  for (const MemberView& member : members_.members) {
    if (member.role != MemberRole::kEntry || IsConfirmedEnded(member))
      continue;
    GateBlock block =
        member.zone == host.zone
            ? CheckMemberOfSameZone(member, host)
            : CheckMemberOfOtherZone(now, member, host, known_since);
    if (block != GateBlock::kNone)
      return {false, block, member.id};
  }
  return {true, GateBlock::kNone, {}};
}

}  // namespace radishmoor
