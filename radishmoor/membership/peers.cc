#include "radishmoor/membership/peers.h"

#include <algorithm>
#include <utility>

namespace radishmoor {

Peers::Peers(PeersOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void Peers::AddConfiguredPeer(const MemberRecord& record) {
  if (record.id == options_.self || peers_.size() >= kMaxPeers)
    return;
  peers_.try_emplace(record.id, PeerInfo{record}).first->second.configured =
      true;
}

void Peers::SetSelf(Incarnation incarnation, ConfigVersion version) {
  incarnation_ = incarnation;
  version_ = version;
}

std::vector<PeerAction> Peers::Tick(Time now, HybridTime stamp) {
  Actions out;
  if (!started_) {
    started_ = true;
    next_heartbeat_ = next_scan_ = now;
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ =
        now + random_.Between(kHeartbeatPeriod * 9 / 10, kHeartbeatPeriod);
    SendHeartbeats(now, stamp, out);
  }
  if (scan_tag_ != 0 && now - scan_sent_at_ >= kCallTimeout) {
    scan_tag_ = 0;
    ++counters_.scan_failures;
  }
  if (scan_tag_ == 0 && now >= next_scan_) {
    scan_after_.clear();
    scan_bytes_ = 0;
    scanned_members_.clear();
    Scan(now, out);
  }
  UpdateLiveness(now, out);
  return out;
}

Time Peers::next_wake() const {
  return std::min(next_heartbeat_,
                  scan_tag_ != 0 ? scan_sent_at_ + kCallTimeout : next_scan_);
}

void Peers::SendHeartbeats(Time /*now*/, HybridTime stamp, Actions& out) {
  std::vector<const PeerInfo*> others;
  for (const auto& [id, peer] : peers_) {
    if (peer.record.role != options_.role)
      continue;
    if (peer.record.zone == options_.zone)
      Send(peer, stamp, out);
    else
      others.push_back(&peer);
  }
  for (size_t i = 0; i < kOtherZoneHeartbeatTargets && !others.empty(); ++i) {
    size_t pick = random_.Below(others.size());
    Send(*others[pick], stamp, out);
    others.erase(others.begin() + static_cast<ptrdiff_t>(pick));
  }
}

void Peers::Send(const PeerInfo& peer, HybridTime stamp, Actions& out) {
  ++counters_.heartbeats_sent;
  std::string address =
      peer.record.addresses.empty() ? "" : peer.record.addresses.front();
  out.push_back(SendHeartbeat{
      peer.record.id, std::move(address),
      Heartbeat{options_.self, incarnation_, options_.role, options_.zone,
                options_.address, version_, stamp}});
}

void Peers::Scan(Time now, Actions& out) {
  scan_tag_ = next_tag_++;
  scan_sent_at_ = now;
  out.push_back(
      StoreCall{scan_tag_, ScanRows{kMemberPrefix, scan_after_, kScanLimit}});
}

std::vector<PeerAction> Peers::Handle(Time now, const StoreAnswer& answer) {
  Actions out;
  if (scan_tag_ == 0 || answer.tag != scan_tag_)
    return out;
  scan_tag_ = 0;
  if (const auto* rows = std::get_if<RowsReply>(&answer.reply)) {
    OnRows(now, rows->rows, out);
  } else {
    ++counters_.scan_failures;
    next_scan_ =
        now + random_.Between(scan_retry_delay_ / 2, scan_retry_delay_);
    scan_retry_delay_ = std::min(scan_retry_delay_ * 2, kScanPeriod);
  }
  return out;
}

void Peers::OnRows(Time now, const std::vector<Row>& rows, Actions& out) {
  for (const Row& row : rows) {
    scan_bytes_ += static_cast<int64_t>(row.key.size() + row.value.size());
    OnRow(now, row);
  }
  if (rows.size() < kScanLimit) {
    EndScan(now, out);
    return;
  }
  scan_after_ = rows.back().key;
  Scan(now, out);
}

void Peers::OnRow(Time now, const Row& row) {
  std::optional<MemberRecord> record = DecodeMember(row.value);
  if (!record || record->id == options_.self)
    return;
  scanned_members_.insert(record->id);
  if (peers_.size() >= kMaxPeers && !peers_.contains(record->id))
    return;
  PeerInfo& peer = peers_[record->id];
  if (row.version <= peer.row_version) {
    if (row.version == peer.row_version)
      peer.row_confirmed_at = scan_sent_at_;
    return;
  }
  if (record->incarnation > peer.record.incarnation)
    peer.version = 0;
  peer.version = std::max(peer.version, record->version);
  peer.record = std::move(*record);
  peer.row_version = row.version;
  peer.row_changed_at = peer.row_confirmed_at = now;
}

// Removes peers whose row is absent, unless their heartbeats still arrive or
// the settings name them.
void Peers::EndScan(Time now, Actions& out) {
  ++counters_.scans;
  scan_retry_delay_ = kFirstScanRetryDelay;
  counters_.scan_bytes += static_cast<uint64_t>(scan_bytes_);
  scanned_ = true;
  Duration by_bytes = Seconds(1) * scan_bytes_ / ScanBytesPerSecond();
  scan_interval_ =
      std::max(by_bytes, random_.Between(kScanPeriod * 4 / 5, kScanPeriod));
  next_scan_ = now + scan_interval_;
  for (auto& [id, peer] : peers_) {
    if (peer.row_version != 0 && !scanned_members_.contains(id)) {
      peer.row_version = 0;
      peer.live = peer.live && IsLive(now, peer);
      if (!peer.live)
        out.push_back(PeerLost{id});
    }
  }
  std::erase_if(peers_, [&](const auto& entry) {
    const PeerInfo& peer = entry.second;
    return !scanned_members_.contains(entry.first) && !peer.live &&
           !peer.configured;
  });
  UpdateLiveness(now, out);
}

std::vector<PeerAction> Peers::Handle(Time now, const Heartbeat& heartbeat) {
  Actions out;
  if (heartbeat.from == options_.self || heartbeat.incarnation.value == 0)
    return out;
  ++counters_.heartbeats_received;
  if (peers_.size() >= kMaxPeers && !peers_.contains(heartbeat.from))
    return out;
  PeerInfo& peer = peers_[heartbeat.from];
  if (heartbeat.incarnation < peer.record.incarnation) {
    ++counters_.stale_heartbeats;
    return out;
  }
  if (heartbeat.incarnation > peer.record.incarnation) {
    peer.version = 0;
    peer.record.id = heartbeat.from;
    peer.record.incarnation = heartbeat.incarnation;
    peer.record.role = heartbeat.role;
    peer.record.zone = heartbeat.zone;
    peer.record.addresses = {heartbeat.address};
  }
  peer.last_heartbeat = now;
  peer.version = std::max(peer.version, heartbeat.version);
  UpdateLiveness(now, out);
  return out;
}

int64_t Peers::ScanBytesPerSecond() const {
  return options_.role == MemberRole::kControl ? kControlScanBytesPerSecond
                                               : kEntryScanBytesPerSecond;
}

bool Peers::IsLive(Time now, const PeerInfo& peer) const {
  bool heartbeat_recent =
      peer.last_heartbeat && now - *peer.last_heartbeat < kHeartbeatTimeout;
  bool heartbeat_expected =
      peer.record.zone == options_.zone && peer.record.role == options_.role;
  if (heartbeat_recent || heartbeat_expected)
    return heartbeat_recent;
  return peer.row_version != 0 &&
         now - peer.row_changed_at < Member::kTakeoverDelay + scan_interval_;
}

void Peers::UpdateLiveness(Time now, Actions& out) {
  for (auto& [id, peer] : peers_) {
    bool live = IsLive(now, peer);
    if (live == peer.live)
      continue;
    peer.live = live;
    if (live)
      out.push_back(PeerJoined{id});
    else
      out.push_back(PeerLost{id});
  }
}

const PeerInfo* Peers::Find(const MemberId& id) const {
  auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

std::vector<const PeerInfo*> Peers::LivePeers() const {
  std::vector<const PeerInfo*> live;
  for (const auto& [id, peer] : peers_) {
    if (peer.live)
      live.push_back(&peer);
  }
  return live;
}

std::vector<const PeerInfo*> Peers::KnownPeers() const {
  std::vector<const PeerInfo*> known;
  for (const auto& [id, peer] : peers_)
    known.push_back(&peer);
  return known;
}

}  // namespace radishmoor
