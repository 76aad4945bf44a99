// One process's view of the accepted configuration. The view polls the row
// `config/head` and exchanges versions, deltas and whole states with peers. It
// performs no I/O: its methods return actions for the caller to carry out.
//
//   ConfigView view(options);
//   view.SetPeers(peers);                       // Live members.
//   for (ConfigAction& a : view.Tick(now)) ...  // At next_wake() or later.
//   view.Handle(now, store_answer);
//   view.Handle(now, from, peer_message);
//   if (view.MaySend(now, host)) ...
//
// The version in force is the version of the state that the process uses; it
// never decreases. A read of `config/head` that returns this version confirms
// it. The age of a confirmation is measured on the process's own monotonic
// clock from when the read was sent, and is valid only because reads of
// `config/head` are linearizable. A head below the version in force is stale
// and confirms nothing.
//
// Before a control process changes a draining host, it waits until every
// registered process has stopped sending to the host:
//  - A process of the host's zone must show in its member row that it
//    acknowledged the version of the drain. It may send as long as it is
//    registered, also while it cannot reach the store.
//  - A process of another zone must do the same, or the drain must be at least
//    kMaxConfirmationAge + 1 s old. It may therefore send only while its
//    version was confirmed within kMaxConfirmationAge.
//  - A process without a member row is not waited for. It may send only while a
//    registered process of its zone, the sponsor, has recently answered its
//    announcements. The sponsor's row acknowledges a version only after the
//    sponsored processes have it in force or may no longer send.
// radishmoor/fleet/drain_gate.h has the control process's side of these rules.
//
// Cost: one row read a second; one announcement a second to each peer of the
// zone and to kOtherZoneAnnouncements peers of other zones; memory for the
// state and for kMaxRecentDeltaBytes of deltas.

#ifndef RADISHMOOR_CONFIG_CONFIG_VIEW_H_
#define RADISHMOOR_CONFIG_CONFIG_VIEW_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/config/fleet_state.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// Tells a peer the sender's version in force once a second. The peer answers
// each announcement. With `wants_sponsor`, it also asks the peer to sponsor the
// sender for kSponsorshipTerm.
struct ConfigAnnouncement {
  uint64_t request = 0;
  ConfigVersion version = 0;
  Incarnation incarnation;
  bool wants_sponsor = false;  // The sender has no member row yet.
  // Draining hosts on which the sender has requests in flight.
  std::vector<HostId> busy_hosts;
};

struct ConfigAnnouncementReply {
  uint64_t request = 0;
  ConfigVersion version = 0;
  // Age of the confirmation of `version` when the reply was made; absent if
  // `version` was never confirmed.
  std::optional<Duration> confirmed_age;
  // The replier sponsors the sender of the announcement.
  bool sponsors = false;
};

struct ConfigDeltaRequest {
  uint64_t request = 0;
  ConfigVersion version = 0;  // Version in force at the requester.
  // Version of the whole state whose transfer this request continues, and the
  // bytes of it that were received. `state_version` is 0 if none is in
  // progress.
  ConfigVersion state_version = 0;
  uint64_t state_offset = 0;
};

// Holds either encoded deltas that follow the requested version or a part of
// the encoded whole state, and neither if the replier has nothing newer.
// Contains at most kMaxAnswerBytes, except that a single larger delta is sent
// whole.
struct ConfigDeltaAnswer {
  uint64_t request = 0;
  std::vector<std::string> deltas;
  ConfigVersion state_version = 0;
  uint64_t state_offset = 0;
  uint64_t state_size = 0;  // Bytes of the encoded whole state.
  std::string state_part;
};

using ConfigPeerMessage = std::variant<ConfigAnnouncement,
                                       ConfigAnnouncementReply,
                                       ConfigDeltaRequest,
                                       ConfigDeltaAnswer>;

struct SendConfigMessage {
  MemberId to;
  ConfigPeerMessage message;
};

// Reports that `version` is now the version in force.
struct ConfigInForce {
  ConfigVersion version = 0;
};

using ConfigAction = std::variant<StoreCall, SendConfigMessage, ConfigInForce>;

struct ConfigPeer {
  MemberId id;
  ZoneId zone;
};

struct ConfigViewOptions {
  MemberId self;
  ZoneId zone;
  Incarnation incarnation;
  uint64_t seed = 1;
};

class ConfigView {
 public:
  static constexpr Duration kPollPeriod = Seconds(1);
  // A call that is not answered within this time no longer delays the next one.
  static constexpr Duration kCallTimeout = Seconds(2);
  // Upper bound of the backoff of polls. It is below kMaxConfirmationAge so
  // that a process may send to other zones again soon after the store returns.
  static constexpr Duration kMaxBackoff = Seconds(4);
  // Maximum age of the confirmation under which a process sends to other zones.
  // Control processes wait 1 s longer.
  static constexpr Duration kMaxConfirmationAge = Seconds(5);
  // A sponsored process may send for this long after it sent an announcement
  // that the sponsor answered. The sponsor counts its last answer as valid for
  // kSponsorshipMargin longer.
  static constexpr Duration kSponsorshipTerm = Seconds(3);
  static constexpr Duration kSponsorshipMargin = Seconds(1);
  // The sponsor reports the busy hosts of a silent sponsored process for this
  // long, because its requests in flight outlast its permission to send.
  static constexpr Duration kSponsoredBusyRetention = Seconds(60);
  // Without the store, a starting process collects the versions of its peers
  // for this long before it takes the largest one.
  static constexpr Duration kStartupWindow = Seconds(2);
  static constexpr size_t kDeltasPerRead = 32;
  static constexpr size_t kMaxAnswerBytes = size_t{32} * 1024;
  // Limits of the deltas that are kept for peers.
  static constexpr size_t kMaxRecentDeltaBytes = size_t{1024} * 1024;
  static constexpr size_t kMaxRecentDeltas = 256;
  // Larger whole states from peers are rejected.
  static constexpr size_t kMaxStateBytes = size_t{64} * 1024 * 1024;
  static constexpr size_t kMaxSponsored = 64;
  // Number of randomly chosen peers of other zones per announcement.
  static constexpr size_t kOtherZoneAnnouncements = 3;

  struct Counters {
    uint64_t polls = 0;
    uint64_t store_failures = 0;
    uint64_t stale_heads = 0;     // Heads below the version in force.
    uint64_t format_errors = 0;   // Rows, objects or deltas not decodable.
    uint64_t deltas_applied = 0;  // From the store and from peers.
    uint64_t states_adopted = 0;  // Whole states from the store and from peers.
    uint64_t peer_confirmations = 0;
    uint64_t sponsor_refusals = 0;
  };

  explicit ConfigView(ConfigViewOptions options);

  // Replaces the list of live peers; an entry for this process is ignored.
  void SetPeers(std::vector<ConfigPeer> peers);

  // Sets whether the member row of this incarnation exists. Without the row,
  // the process may send only while it is sponsored.
  void SetRegistered(bool registered);
  bool registered() const { return registered_; }

  // Draining hosts on which this process has requests in flight.
  void SetBusyHosts(std::vector<HostId> hosts) {
    busy_hosts_ = std::move(hosts);
  }

  std::vector<ConfigAction> Tick(Time now);
  std::vector<ConfigAction> Handle(Time now, const StoreAnswer& answer);
  std::vector<ConfigAction> Handle(Time now,
                                   const MemberId& from,
                                   const ConfigPeerMessage& message);
  Time next_wake() const;

  const FleetState& state() const { return state_; }
  ConfigVersion version() const { return state_.version; }
  // Returns the latest row `config/head` that was read. A transaction that
  // changes the configuration must expect its row version. The row may name a
  // later configuration than the one in force.
  const Row& head_row() const { return head_row_; }

  // Returns true once the process may serve requests: its version in force has
  // reached the head that it read from the store or, if the store does not
  // answer, the largest version that peers of its zone reported within
  // kStartupWindow. Stays true from then on.
  bool ready() const { return ready_; }

  // Returns the time since the read was sent that last confirmed a version in
  // force; nullopt if none was confirmed.
  std::optional<Duration> ConfirmedAge(Time now) const;

  // Returns true if a request may be sent to `host` now. Must be called
  // immediately before each send.
  bool MaySend(Time now, const HostId& host) const;
  // Returns true while this process may send to active hosts of its own zone.
  bool MaySend(Time now) const;

  // Return what this process's member row must show: the lowest version in
  // force of this process and the processes that it sponsors, which never
  // decreases, and the draining hosts on which any of them has requests in
  // flight.
  ConfigVersion AcknowledgedVersion(Time now);
  std::vector<HostId> AcknowledgedBusyHosts(Time now) const;

  const Counters& counters() const { return counters_; }

 private:
  enum class CallKind : uint8_t { kHead, kDeltas, kSnapshot };
  struct Call {
    CallKind kind = CallKind::kHead;
    Time sent_at;
  };
  struct SponsoredProcess {
    Incarnation incarnation;
    uint64_t request = 0;
    ConfigVersion version = 0;
    Time last_answer_at;
    std::vector<HostId> busy_hosts;
  };
  struct SentAnnouncement {
    Time sent_at;
    std::vector<MemberId> unanswered;  // Peers that have not replied.
  };
  // Transfer of deltas or of a whole state from a peer.
  struct PeerFetch {
    MemberId peer;
    uint64_t request = 0;
    Time sent_at;
    ConfigVersion state_version = 0;  // 0: no whole state in progress.
    std::string state_text;           // Bytes received so far.
  };
  using Actions = std::vector<ConfigAction>;

  void SendStoreCall(Time now,
                     CallKind kind,
                     StoreRequest request,
                     Actions& out);
  void Poll(Time now, Actions& out);
  void Announce(Time now, Actions& out);
  void CloseStartupWindow(Time now, Actions& out);
  void OnStoreFailure(Time now);
  void OnHead(Time now, Time sent_at, const Row& row, Actions& out);
  void OnDeltaRows(Time now, const std::vector<Row>& rows, Actions& out);
  void OnSnapshot(Time now, const ObjectReply& reply, Actions& out);
  void FetchFromStore(Time now, Actions& out);
  void FetchFromPeer(Time now, const MemberId& peer, Actions& out);
  void RequestNextPart(Time now, Actions& out);

  void OnMessage(Time now,
                 const MemberId& from,
                 const ConfigAnnouncement& m,
                 Actions& out);
  void OnMessage(Time now,
                 const MemberId& from,
                 const ConfigAnnouncementReply& m,
                 Actions& out);
  void OnMessage(Time now,
                 const MemberId& from,
                 const ConfigDeltaRequest& m,
                 Actions& out);
  void OnMessage(Time now,
                 const MemberId& from,
                 const ConfigDeltaAnswer& m,
                 Actions& out);
  void OnStatePart(Time now, const ConfigDeltaAnswer& m, Actions& out);
  bool TrySponsor(Time now, const MemberId& from, const ConfigAnnouncement& m);

  // Applies an encoded delta. Returns false if the text is damaged or a version
  // before it is missing; skips a delta that was applied before.
  bool ApplyEncodedDelta(const std::string& text);
  bool AdoptEncodedState(const std::string& text);
  // Called after each input with the version in force before it. Reports a new
  // version, confirms it if it is the latest head, and updates `ready_`.
  void ReportVersionInForce(ConfigVersion before, Actions& out);
  void Confirm(Time sent_at);
  bool IsZonePeer(const MemberId& id) const;

  ConfigViewOptions options_;
  Random random_;
  std::vector<ConfigPeer> peers_;
  std::vector<HostId> busy_hosts_;
  bool registered_ = false;
  // Time of the last input before SetRegistered(true).
  Time registered_at_;
  Time last_input_;
  bool started_ = false;
  bool ready_ = false;
  Time started_at_;  // Time of the first Tick().

  FleetState state_;
  Row head_row_;
  // Encoded deltas without a gap; the last one leads to the version in force.
  std::deque<std::string> recent_deltas_;
  size_t recent_delta_bytes_ = 0;
  // Encoded whole state of encoded_state_version_, for transfers to peers.
  std::string encoded_state_;
  ConfigVersion encoded_state_version_ = 0;

  uint64_t next_tag_ = 1;
  std::map<uint64_t, Call> calls_;
  uint32_t consecutive_store_failures_ = 0;
  Time next_poll_;
  Time next_announce_;
  ConfigHead head_;  // Latest head that the store returned.
  bool head_known_ = false;
  Time head_read_sent_at_;  // When the read that returned head_ was sent.
  bool snapshot_failed_ = false;
  std::optional<Time> confirmed_at_;

  std::map<uint64_t, SentAnnouncement> sent_announcements_;
  std::optional<PeerFetch> peer_fetch_;
  Time startup_window_end_;
  ConfigVersion startup_best_version_ = 0;
  MemberId startup_best_peer_;
  // The process is ready from this version on; 0: not known yet.
  ConfigVersion startup_target_version_ = 0;

  Time sponsored_until_;
  bool ever_sponsored_ = false;
  std::map<MemberId, SponsoredProcess> sponsored_processes_;
  ConfigVersion acknowledged_version_ = 0;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_CONFIG_VIEW_H_
