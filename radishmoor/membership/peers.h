// The members of the site as one process knows them: from scans of the rows
// `member/` and from heartbeats. Performs no I/O.
//
//   Peers peers(options);
//   for (PeerAction& a : peers.Tick(now, hybrid_clock.Tick(wall))) ...
//   peers.Handle(now, store_answer);
//   peers.Handle(now, heartbeat);
//   for (const PeerInfo* peer : peers.LivePeers(now)) ...
//
// Liveness runs on the own clock: a peer of the zone is live while heartbeats
// arrive, a peer of another zone while its row or heartbeats change. It is a
// hint for routing of messages; leases and drains never rely on it.
//
// Heartbeats go to processes of the own role only; those of the other role are
// live while their rows change.
//
// Cost: a heartbeat a second to each peer of the zone and to three others; a
// scan each 4 to 5 s, less often when the rows exceed the limit of bytes.

#ifndef RADISHMOOR_MEMBERSHIP_PEERS_H_
#define RADISHMOOR_MEMBERSHIP_PEERS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/hybrid_clock.h"
#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/membership/member.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

struct Heartbeat {
  MemberId from;
  Incarnation incarnation;
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  std::string address;  // Of the sender's peer port.
  ConfigVersion version = 0;
  HybridTime sent;
};

struct PeerInfo {
  MemberRecord record;
  // 0: known from settings or heartbeats only.
  RowVersion row_version = 0;
  // When the answer that first held this row version arrived, and when the
  // last scan that returned it was sent: in between, the row did not change.
  Time row_changed;
  Time row_seen;
  std::optional<Time> last_heartbeat;
  // Largest version in force that the peer reported.
  ConfigVersion version = 0;
  bool live = false;
  bool configured = false;  // Named in the settings; never forgotten.
};

struct SendHeartbeat {
  MemberId to;
  std::string address;
  Heartbeat heartbeat;
};
struct PeerJoined {
  MemberId id;
};
struct PeerLost {
  MemberId id;
};

using PeerAction = std::variant<StoreCall, SendHeartbeat, PeerJoined, PeerLost>;

struct PeersOptions {
  MemberId self;
  MemberRole role = MemberRole::kEntry;
  ZoneId zone;
  std::string address;
  uint64_t seed = 1;
};

class Peers {
 public:
  static constexpr Duration kHeartbeatPeriod = Seconds(1);
  // Three missed heartbeats.
  static constexpr Duration kHeartbeatTerm = Seconds(3);
  static constexpr Duration kScanPeriod = Seconds(5);
  static constexpr Duration kCallTimeout = Seconds(2);
  // After a failed scan; doubled with each further one, up to the period.
  static constexpr Duration kFirstScanRetry = Milliseconds(500);
  static constexpr size_t kOtherZoneTargets = 3;
  // Scans become rarer so that they read no more than this: a node may use
  // 9 KB/s for both of its processes (1.4). Control processes get more, since
  // the time to take over a lease includes one scan.
  static constexpr int64_t kEntryScanBytesPerSecond = 500;
  static constexpr int64_t kControlScanBytesPerSecond = 2000;
  static constexpr uint32_t kScanLimit = 500;
  static constexpr size_t kMaxPeers = 4096;

  struct Counters {
    uint64_t heartbeats_sent = 0;
    uint64_t heartbeats_received = 0;
    uint64_t old_heartbeats = 0;  // Of an earlier incarnation.
    uint64_t scans = 0;
    uint64_t scan_bytes = 0;
    uint64_t scan_failures = 0;
  };

  explicit Peers(PeersOptions options);

  // A peer from the settings, so that a process without the store finds one.
  void AddConfiguredPeer(const MemberRecord& record);

  // What own heartbeats carry.
  void SetSelf(Incarnation incarnation, ConfigVersion version);

  std::vector<PeerAction> Tick(Time now, HybridTime stamp);
  std::vector<PeerAction> Handle(Time now, const StoreAnswer& answer);
  std::vector<PeerAction> Handle(Time now, const Heartbeat& heartbeat);
  Time next_wake() const;

  // The row exists and did not change for Member::kTakeoverDelay.
  static bool Expired(const PeerInfo& peer) {
    return peer.row_version != 0 &&
           peer.row_seen - peer.row_changed >= Member::kTakeoverDelay;
  }

  const PeerInfo* Find(const MemberId& id) const;
  std::vector<const PeerInfo*> LivePeers() const;
  std::vector<const PeerInfo*> KnownPeers() const;
  // At least one scan completed.
  bool scanned() const { return scanned_; }

  const Counters& counters() const { return counters_; }

 private:
  using Actions = std::vector<PeerAction>;

  void SendHeartbeats(Time now, HybridTime stamp, Actions& out);
  void Send(const PeerInfo& peer, HybridTime stamp, Actions& out);
  void Scan(Time now, Actions& out);
  void OnRows(Time now, const std::vector<Row>& rows, Actions& out);
  void OnRow(Time now, const Row& row);
  void EndScan(Time now, Actions& out);
  void UpdateLiveness(Time now, Actions& out);
  bool IsLive(Time now, const PeerInfo& peer) const;
  int64_t ScanBytesPerSecond() const;

  PeersOptions options_;
  Random random_;
  Incarnation incarnation_;
  ConfigVersion version_ = 0;
  std::map<MemberId, PeerInfo> peers_;

  bool started_ = false;
  bool scanned_ = false;
  Time next_heartbeat_;
  Time next_scan_;
  Duration scan_interval_ = kScanPeriod;
  uint64_t next_tag_ = 1;
  uint64_t tag_ = 0;  // 0: no scan under way.
  Time scan_sent_;
  std::string scan_after_;
  int64_t scan_bytes_ = 0;
  Duration scan_retry_ = kFirstScanRetry;
  std::set<MemberId> seen_;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_PEERS_H_
