// The view that one process has of the accepted configuration, and how it
// learns of changes: it polls `config/head` and exchanges versions, deltas and
// whole states with peers. Performs no I/O.
//
//   ConfigView view(options);
//   view.SetPeers(peers);                       // From membership.
//   for (ConfigAction& a : view.Tick(now)) ...  // At next_wake() or later.
//   view.Handle(now, store_answer);
//   view.Handle(now, from, peer_message);
//   if (view.MaySend(now, host)) ...
//
// The version in force never decreases. Freshness is measured on the own
// monotonic clock from the sending of the read that confirmed the version; it
// relies on `config/head` being read linearizably. A head below the own version
// confirms nothing.
//
// Cost: one row read a second; one announcement a second to each peer of the
// zone and to three others; memory for the state and kMaxLogBytes of deltas.

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

// Sent each second; every announcement is answered. It is also the heartbeat
// of 6.3 (d) when `wants_sponsor` is set.
struct ConfigAnnouncement {
  uint64_t request = 0;
  ConfigVersion version = 0;
  Incarnation incarnation;
  bool wants_sponsor = false;
  // Draining hosts on which the sender has requests in flight.
  std::vector<HostId> busy_hosts;
};

struct ConfigAnnouncementReply {
  uint64_t request = 0;
  ConfigVersion version = 0;
  // Age of the confirmation of `version` when the reply was made; absent when
  // it was never confirmed.
  std::optional<Duration> confirmed_age;
  // The replier acknowledges drains only after the asker did.
  bool sponsors = false;
};

struct ConfigDeltaRequest {
  uint64_t request = 0;
  ConfigVersion version = 0;  // Version in force at the asker.
  // Continues the transfer of a whole state.
  ConfigVersion state_version = 0;
  uint64_t state_offset = 0;
};

// Holds either encoded deltas that follow the asked version, or a part of the
// encoded whole state. At most kMaxAnswerBytes, except that one delta is
// always sent whole.
struct ConfigDeltaAnswer {
  uint64_t request = 0;
  std::vector<std::string> deltas;
  ConfigVersion state_version = 0;
  uint64_t state_offset = 0;
  uint64_t state_size = 0;
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

// The version in force moved to `version`.
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
  // A call without an answer for this long no longer holds back the next one.
  static constexpr Duration kCallTimeout = Seconds(2);
  // Upper bound of the back-off. Below kFreshness, so that a process regains
  // the permission to send to other zones soon after the store returns.
  static constexpr Duration kMaxBackoff = Seconds(4);
  // 6.3 (a); control waits 1 s longer.
  static constexpr Duration kFreshness = Seconds(5);
  // 6.3 (d): permission of a sponsored process, and the sponsor's margin.
  static constexpr Duration kSponsorTerm = Seconds(3);
  static constexpr Duration kSponsorMargin = Seconds(1);
  // A sponsored process that went silent keeps its last reported busy hosts
  // for this long: its requests in flight outlive its permission.
  static constexpr Duration kSponsoredBusyHold = Seconds(60);
  static constexpr Duration kStartWindow = Seconds(2);
  static constexpr size_t kDeltasPerRead = 32;
  static constexpr size_t kMaxAnswerBytes = size_t{32} * 1024;
  static constexpr size_t kMaxLogBytes = size_t{1024} * 1024;
  static constexpr size_t kMaxLogDeltas = 256;
  static constexpr size_t kMaxStateBytes = size_t{64} * 1024 * 1024;
  static constexpr size_t kMaxSponsored = 64;
  static constexpr size_t kOtherZonePeers = 3;

  struct Counters {
    uint64_t polls = 0;
    uint64_t store_failures = 0;
    uint64_t stale_heads = 0;     // Heads below the version in force.
    uint64_t format_errors = 0;   // Text that could not be decoded.
    uint64_t deltas_applied = 0;  // From store and peers.
    uint64_t states_adopted = 0;  // Whole states, from store and peers.
    uint64_t peer_confirmations = 0;
    uint64_t sponsor_refusals = 0;
  };

  explicit ConfigView(ConfigViewOptions options);

  // Replaces the list of live peers; the own id is ignored.
  void SetPeers(std::vector<ConfigPeer> peers);

  // True once the member row of this incarnation is written. Permission to
  // send depends on it or on a sponsor, see 6.3 (c) and (d).
  void SetRegistered(bool registered) { registered_ = registered; }
  bool registered() const { return registered_; }

  // Draining hosts on which this process has requests in flight.
  void SetBusyHosts(std::vector<HostId> hosts) { busy_ = std::move(hosts); }

  std::vector<ConfigAction> Tick(Time now);
  std::vector<ConfigAction> Handle(Time now, const StoreAnswer& answer);
  std::vector<ConfigAction> Handle(Time now,
                                   const MemberId& from,
                                   const ConfigPeerMessage& message);
  Time next_wake() const;

  const FleetState& state() const { return state_; }
  ConfigVersion version() const { return state_.version; }
  // The row `config/head` as last read, whose version a change must expect. It
  // may name a later configuration than the one in force.
  const Row& head_row() const { return head_row_; }

  // A configuration is in force and was not chosen before the start-up rule of
  // 6.1 allowed it. Once true, stays true.
  bool ready() const { return ready_; }

  // Time since the sending of the read that last confirmed the version in
  // force; absent when there was none.
  std::optional<Duration> ConfirmedAge(Time now) const;

  // Whether a request may be sent to `host` now; check just before the send.
  bool MaySend(Time now, const HostId& host) const;
  // True while this process may send to active hosts of its own zone.
  bool MaySend(Time now) const;

  // What the member row must show: the version that this process and all that
  // it sponsors have in force (never decreases), and their busy hosts.
  ConfigVersion AcknowledgedVersion(Time now);
  std::vector<HostId> AcknowledgedBusyHosts(Time now) const;

  const Counters& counters() const { return counters_; }

 private:
  enum class CallKind : uint8_t { kHead, kDeltas, kSnapshot };
  struct Call {
    CallKind kind = CallKind::kHead;
    Time sent;
  };
  struct Sponsored {
    Incarnation incarnation;
    uint64_t request = 0;
    ConfigVersion version = 0;
    Time last_answer;
    std::vector<HostId> busy;
  };
  struct Announced {
    Time sent;
    std::vector<MemberId> waiting;  // Peers that have not answered.
  };
  struct PeerFetch {
    MemberId peer;
    uint64_t request = 0;
    Time sent;
    ConfigVersion state_version = 0;
    std::string state_text;
  };
  using Actions = std::vector<ConfigAction>;

  void Emit(Time now, CallKind kind, StoreRequest request, Actions& out);
  void Poll(Time now, Actions& out);
  void Announce(Time now, Actions& out);
  void CloseStartWindow(Time now, Actions& out);
  void StoreFailed(Time now);
  void OnHead(Time now, Time sent, const Row& row, Actions& out);
  void OnDeltaRows(Time now, const std::vector<Row>& rows, Actions& out);
  void OnSnapshot(Time now, const ObjectReply& reply, Actions& out);
  void FetchFromStore(Time now, Actions& out);
  void FetchFromPeer(Time now, const MemberId& peer, Actions& out);
  void RequestFromPeer(Time now, Actions& out);

  void On(Time now,
          const MemberId& from,
          const ConfigAnnouncement& m,
          Actions& out);
  void On(Time now,
          const MemberId& from,
          const ConfigAnnouncementReply& m,
          Actions& out);
  void On(Time now,
          const MemberId& from,
          const ConfigDeltaRequest& m,
          Actions& out);
  void On(Time now,
          const MemberId& from,
          const ConfigDeltaAnswer& m,
          Actions& out);
  void OnStatePart(Time now, const ConfigDeltaAnswer& m, Actions& out);
  bool Sponsor(Time now, const MemberId& from, const ConfigAnnouncement& m);

  // Applies the encoded delta if it is the next one; false on damaged text.
  bool ApplyText(const std::string& text);
  bool AdoptState(const std::string& text);
  // Reports a version that moved and confirms pending heads.
  void Advanced(ConfigVersion before, Actions& out);
  void Confirm(Time sent);
  bool IsPeer(const MemberId& id) const;

  ConfigViewOptions options_;
  Random random_;
  std::vector<ConfigPeer> peers_;
  std::vector<HostId> busy_;
  bool registered_ = false;
  bool started_ = false;
  bool ready_ = false;
  Time start_;

  FleetState state_;
  Row head_row_;
  std::deque<std::string> log_;  // Encoded deltas that end at the version.
  size_t log_bytes_ = 0;
  std::string encoded_state_;  // Of encoded_version_, for peers.
  ConfigVersion encoded_version_ = 0;

  uint64_t next_tag_ = 1;
  std::map<uint64_t, Call> calls_;
  uint32_t failures_ = 0;
  Time next_poll_;
  Time next_announce_;
  ConfigHead head_;  // Largest head that the store returned.
  bool head_known_ = false;
  Time head_sent_;  // Sending of the read that returned head_.
  bool snapshot_failed_ = false;
  std::optional<Time> confirmed_;

  std::map<uint64_t, Announced> announced_;
  std::optional<PeerFetch> fetch_;
  Time window_end_;
  ConfigVersion window_best_ = 0;
  MemberId window_peer_;
  ConfigVersion start_target_ = 0;  // Ready from this version on; 0: unknown.

  Time sponsored_until_;
  bool sponsored_ever_ = false;
  std::map<MemberId, Sponsored> sponsored_;
  ConfigVersion acknowledged_ = 0;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_CONFIG_VIEW_H_
