// The members of the site as one process knows them, from scans of the rows
// `member/` and from heartbeats. Performs no I/O.
//
//   Peers peers(options);
//   for (PeerAction& a : peers.Tick(now, hybrid_clock.Tick(wall))) ...
//   peers.Handle(now, store_answer);
//   peers.Handle(now, heartbeat);
//   for (const PeerInfo* peer : peers.LivePeers()) ...
//
// Liveness is judged on this process's clock. A peer of the same zone and role
// is live while its heartbeats arrive. Any other peer is live while its row
// changes or heartbeats arrive. Liveness is a hint for the routing of messages;
// leases and drains never rely on it.
//
// Heartbeats are sent only to processes of the same role.
//
// Cost: one heartbeat per second to each peer of the same zone and role and to
// kOtherZoneHeartbeatTargets peers of other zones; one scan every 4 to 5 s,
// less often if the scans would read more than the byte limit of the role.

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
  std::string address;  // "ip:port" of the sender's peer port.
  ConfigVersion version = 0;
  HybridTime sent;
};

struct PeerInfo {
  MemberRecord record;
  // 0: the peer has no row; it is known from settings or heartbeats only.
  RowVersion row_version = 0;
  // When the answer with this row version first arrived, and when the last scan
  // that returned the same version was sent. The row did not change in between.
  Time row_changed_at;
  Time row_confirmed_at;
  std::optional<Time> last_heartbeat;
  // Largest configuration version that the peer has reported as in force.
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
  // Three heartbeat periods, so that single lost heartbeats do not matter.
  static constexpr Duration kHeartbeatTimeout = Seconds(3);
  static constexpr Duration kScanPeriod = Seconds(5);
  static constexpr Duration kCallTimeout = Seconds(2);
  // Delay after a first failed scan, doubled with each further failure up to
  // kScanPeriod.
  static constexpr Duration kFirstScanRetryDelay = Milliseconds(500);
  static constexpr size_t kOtherZoneHeartbeatTargets = 3;
  // Scans become less frequent so that they read no more than this. An entry
  // host may use 9 KB/s for its entry and its control process together. Control
  // processes get more, since the time to take over a lease includes one scan.
  static constexpr int64_t kEntryScanBytesPerSecond = 500;
  static constexpr int64_t kControlScanBytesPerSecond = 2000;
  static constexpr uint32_t kScanLimit = 500;
  static constexpr size_t kMaxPeers = 4096;

  struct Counters {
    uint64_t heartbeats_sent = 0;
    uint64_t heartbeats_received = 0;
    uint64_t stale_heartbeats = 0;  // From an earlier incarnation.
    uint64_t scans = 0;
    uint64_t scan_bytes = 0;
    uint64_t scan_failures = 0;
  };

  explicit Peers(PeersOptions options);

  // Adds a peer from the settings, so that a process finds peers while the
  // store is unavailable.
  void AddConfiguredPeer(const MemberRecord& record);

  // Sets the incarnation and configuration version that heartbeats announce.
  void SetSelf(Incarnation incarnation, ConfigVersion version);

  std::vector<PeerAction> Tick(Time now, HybridTime stamp);
  std::vector<PeerAction> Handle(Time now, const StoreAnswer& answer);
  std::vector<PeerAction> Handle(Time now, const Heartbeat& heartbeat);
  Time next_wake() const;

  // Returns whether the peer's row exists and has not changed for
  // Member::kTakeoverDelay, so that the peer's member lease has expired.
  static bool RowExpired(const PeerInfo& peer) {
    return peer.row_version != 0 &&
           peer.row_confirmed_at - peer.row_changed_at >=
               Member::kTakeoverDelay;
  }

  const PeerInfo* Find(const MemberId& id) const;
  std::vector<const PeerInfo*> LivePeers() const;
  std::vector<const PeerInfo*> KnownPeers() const;
  // Returns whether at least one scan has completed.
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
  uint64_t scan_tag_ = 0;  // 0: no scan is in flight.
  Time scan_sent_at_;
  std::string scan_after_;
  int64_t scan_bytes_ = 0;
  Duration scan_retry_delay_ = kFirstScanRetryDelay;
  std::set<MemberId> scanned_members_;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_MEMBERSHIP_PEERS_H_
