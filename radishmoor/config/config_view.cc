#include "radishmoor/config/config_view.h"

#include <algorithm>
#include <set>
#include <utility>

#include "radishmoor/base/invariant.h"
#include "radishmoor/config/errors.h"

namespace radishmoor {
namespace {

// Replies to announcements before the last kMaxSentAnnouncements are ignored.
constexpr size_t kMaxSentAnnouncements = 8;
constexpr size_t kMaxPendingCalls = 16;

}  // namespace

ConfigView::ConfigView(ConfigViewOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void ConfigView::SetPeers(std::vector<ConfigPeer> peers) {
  peers_ = std::move(peers);
  std::erase_if(peers_,
                [this](const ConfigPeer& p) { return p.id == options_.self; });
}

// A control process may have found a draining host idle before this process was
// in the member list. A read of the head that is sent after the registration
// returns that drain, so MaySend() requires a confirmation by such a read.
void ConfigView::SetRegistered(bool registered) {
  if (registered && !registered_) {
    registered_at_ = last_input_;
    next_poll_ = std::min(next_poll_, last_input_);
  }
  registered_ = registered;
}

std::vector<ConfigAction> ConfigView::Tick(Time now) {
  last_input_ = std::max(last_input_, now);
  Actions out;
  if (!started_) {
    started_ = true;
    started_at_ = now;
    next_poll_ = next_announce_ = now;
    startup_window_end_ = now + kStartupWindow;
  }
  std::erase_if(sponsored_processes_, [now](const auto& entry) {
    return now - entry.second.last_answer_at >= kSponsoredBusyRetention;
  });
  if (peer_fetch_ && now - peer_fetch_->sent_at >= kCallTimeout)
    peer_fetch_.reset();
  if (now >= next_poll_)
    Poll(now, out);
  if (now >= next_announce_)
    Announce(now, out);
  if (!ready_ && now >= startup_window_end_)
    CloseStartupWindow(now, out);
  return out;
}

Time ConfigView::next_wake() const {
  if (!started_)
    return kTimeZero;
  Time wake = std::min(next_poll_, next_announce_);
  return ready_ ? wake : std::min(wake, startup_window_end_);
}

void ConfigView::SendStoreCall(Time now,
                               CallKind kind,
                               StoreRequest request,
                               Actions& out) {
  if (calls_.size() >= kMaxPendingCalls)
    calls_.erase(calls_.begin());
  uint64_t tag = next_tag_++;
  calls_[tag] = {kind, now};
  out.push_back(StoreCall{tag, std::move(request)});
}

void ConfigView::Poll(Time now, Actions& out) {
  bool read_pending =
      std::any_of(calls_.begin(), calls_.end(), [now](const auto& call) {
        return call.second.kind == CallKind::kHead &&
               now - call.second.sent_at < kCallTimeout;
      });
  next_poll_ = now + random_.Between(kPollPeriod * 9 / 10, kPollPeriod);
  if (read_pending)
    return;
  ++counters_.polls;
  SendStoreCall(now, CallKind::kHead, ReadRows{{kConfigHeadKey}}, out);
}

void ConfigView::Announce(Time now, Actions& out) {
  next_announce_ = now + random_.Between(kPollPeriod * 9 / 10, kPollPeriod);
  ConfigAnnouncement message{next_tag_++, version(), options_.incarnation,
                             !registered_, busy_hosts_};
  SentAnnouncement& announced = sent_announcements_[message.request];
  announced.sent_at = now;
  std::vector<const ConfigPeer*> others;
  for (const ConfigPeer& peer : peers_) {
    if (peer.zone != options_.zone) {
      others.push_back(&peer);
      continue;
    }
    out.push_back(SendConfigMessage{peer.id, message});
    announced.unanswered.push_back(peer.id);
  }
  message.wants_sponsor = false;  // Sponsors are of the same zone.
  message.busy_hosts.clear();
  for (size_t i = 0; i < kOtherZoneAnnouncements && !others.empty(); ++i) {
    size_t pick = random_.Below(others.size());
    out.push_back(SendConfigMessage{others[pick]->id, message});
    announced.unanswered.push_back(others[pick]->id);
    others.erase(others.begin() + static_cast<ptrdiff_t>(pick));
  }
  while (sent_announcements_.size() > kMaxSentAnnouncements)
    sent_announcements_.erase(sent_announcements_.begin());
}

// If the store has not answered, chooses the largest version that peers of the
// zone reported within the window as the startup target. Opens the next window,
// which is needed if no peer reported or the target is not reached yet.
void ConfigView::CloseStartupWindow(Time now, Actions& out) {
  if (startup_best_version_ > 0 && !head_known_)
    startup_target_version_ = startup_best_version_;
  if (startup_target_version_ > 0 && version() >= startup_target_version_)
    ready_ = true;
  else if (startup_best_version_ > version())
    FetchFromPeer(now, startup_best_peer_, out);
  startup_best_version_ = 0;
  startup_window_end_ = now + kStartupWindow;
}

std::vector<ConfigAction> ConfigView::Handle(Time now,
                                             const StoreAnswer& answer) {
  last_input_ = std::max(last_input_, now);
  Actions out;
  auto it = calls_.find(answer.tag);
  if (it == calls_.end())
    return out;
  Call call = it->second;
  calls_.erase(it);
  const auto* rows = std::get_if<RowsReply>(&answer.reply);
  const auto* object = std::get_if<ObjectReply>(&answer.reply);
  ConfigVersion before = version();
  try {
    if (call.kind == CallKind::kHead && rows && rows->rows.size() == 1) {
      consecutive_store_failures_ = 0;
      OnHead(now, call.sent_at, rows->rows[0], out);
    } else if (call.kind == CallKind::kDeltas && rows) {
      OnDeltaRows(now, rows->rows, out);
    } else if (call.kind == CallKind::kSnapshot && object) {
      OnSnapshot(now, *object, out);
    } else {
      OnStoreFailure(now);
    }
  } catch (const ConfigFormatError&) {
    ++counters_.format_errors;
  }
  ReportVersionInForce(before, out);
  return out;
}

// Backs off with jitter so that the processes of a site do not poll at the same
// time while the store is down or when it returns.
void ConfigView::OnStoreFailure(Time now) {
  ++counters_.store_failures;
  consecutive_store_failures_ =
      std::min<uint32_t>(consecutive_store_failures_ + 1, 8);
  Duration limit = std::min(
      kMaxBackoff, kPollPeriod * (1 << consecutive_store_failures_) / 2);
  next_poll_ = std::max(next_poll_, now + random_.Between(limit / 2, limit));
}

void ConfigView::OnHead(Time now, Time sent_at, const Row& row, Actions& out) {
  ConfigHead head;
  if (row.version != 0)
    head = DecodeHead(row.value);
  if (head.version < version() ||
      (head_known_ && head.version < head_.version)) {
    ++counters_.stale_heads;
    return;
  }
  if (!head_known_ || head.version > head_.version ||
      sent_at > head_read_sent_at_)
    head_read_sent_at_ = sent_at;
  head_known_ = true;
  head_ = head;
  if (row.version > head_row_.version)
    head_row_ = row;
  snapshot_failed_ = false;
  if (!ready_)
    startup_target_version_ = std::max(startup_target_version_, head.version);
  FetchFromStore(now, out);
}

// Reads the snapshot if the version in force is more than one snapshot interval
// behind head_, otherwise the next deltas.
void ConfigView::FetchFromStore(Time now, Actions& out) {
  if (version() >= head_.version)
    return;
  for (const auto& [tag, call] : calls_) {
    if (call.kind != CallKind::kHead && now - call.sent_at < kCallTimeout)
      return;
  }
  bool far_behind = head_.version - version() > kSnapshotInterval;
  if (far_behind && head_.snapshot > version() && !snapshot_failed_) {
    SendStoreCall(now, CallKind::kSnapshot,
                  ReadObject{ConfigSnapshotKey(head_.snapshot)}, out);
    return;
  }
  ReadRows read;
  ConfigVersion last =
      std::min<ConfigVersion>(head_.version, version() + kDeltasPerRead);
  for (ConfigVersion v = version() + 1; v <= last; ++v)
    read.keys.push_back(ConfigDeltaKey(v));
  SendStoreCall(now, CallKind::kDeltas, std::move(read), out);
}

void ConfigView::OnDeltaRows(Time now,
                             const std::vector<Row>& rows,
                             Actions& out) {
  ConfigVersion before = version();
  for (const Row& row : rows) {
    if (row.version != 0 && !ApplyEncodedDelta(row.value))
      break;
  }
  // If no delta could be applied, the next poll reads them again.
  if (version() > before)
    FetchFromStore(now, out);
}

void ConfigView::OnSnapshot(Time now, const ObjectReply& reply, Actions& out) {
  snapshot_failed_ = !reply.found || !AdoptEncodedState(reply.data);
  FetchFromStore(now, out);
}

std::vector<ConfigAction> ConfigView::Handle(Time now,
                                             const MemberId& from,
                                             const ConfigPeerMessage& message) {
  last_input_ = std::max(last_input_, now);
  Actions out;
  ConfigVersion before = version();
  std::visit([&](const auto& m) { OnMessage(now, from, m, out); }, message);
  ReportVersionInForce(before, out);
  return out;
}

void ConfigView::OnMessage(Time now,
                           const MemberId& from,
                           const ConfigAnnouncement& m,
                           Actions& out) {
  ConfigAnnouncementReply reply{m.request, version(), ConfirmedAge(now),
                                TrySponsor(now, from, m)};
  out.push_back(SendConfigMessage{from, reply});
  if (ready_ && m.version > version())
    FetchFromPeer(now, from, out);
}

bool ConfigView::TrySponsor(Time now,
                            const MemberId& from,
                            const ConfigAnnouncement& m) {
  auto it = sponsored_processes_.find(from);
  bool already_sponsored = it != sponsored_processes_.end();
  // A delayed announcement must not replace the data of a later one.
  if (already_sponsored &&
      std::pair(m.incarnation, m.request) <=
          std::pair(it->second.incarnation, it->second.request)) {
    return false;
  }
  if (!m.wants_sponsor) {
    // The process has registered; its own row acknowledges versions from now
    // on.
    if (already_sponsored)
      sponsored_processes_.erase(it);
    return false;
  }
  // A process with an older version than the acknowledged one may send to hosts
  // that a control process has changed since, so it cannot be sponsored.
  if (!registered_ || !IsZonePeer(from) || m.version < acknowledged_version_ ||
      (!already_sponsored && sponsored_processes_.size() >= kMaxSponsored)) {
    ++counters_.sponsor_refusals;
    return false;
  }
  sponsored_processes_[from] = {m.incarnation, m.request, m.version, now,
                                m.busy_hosts};
  return true;
}

void ConfigView::OnMessage(Time now,
                           const MemberId& from,
                           const ConfigAnnouncementReply& m,
                           Actions& out) {
  auto it = sent_announcements_.find(m.request);
  if (it == sent_announcements_.end() ||
      std::erase(it->second.unanswered, from) == 0) {
    return;
  }
  Time sent_at = it->second.sent_at;
  if (m.sponsors) {
    sponsored_until_ = std::max(sponsored_until_, sent_at + kSponsorshipTerm);
    ever_sponsored_ = true;
  }
  if (m.version == version() && version() > 0 && m.confirmed_age) {
    ++counters_.peer_confirmations;
    Confirm(sent_at - *m.confirmed_age);
  }
  if (m.version > startup_best_version_ && IsZonePeer(from)) {
    startup_best_version_ = m.version;
    startup_best_peer_ = from;
  }
  if (ready_ && m.version > version())
    FetchFromPeer(now, from, out);
}

void ConfigView::FetchFromPeer(Time now, const MemberId& peer, Actions& out) {
  if (peer_fetch_ && now - peer_fetch_->sent_at < kCallTimeout)
    return;
  peer_fetch_ = PeerFetch{peer, 0, now, 0, ""};
  RequestNextPart(now, out);
}

void ConfigView::RequestNextPart(Time now, Actions& out) {
  peer_fetch_->request = next_tag_++;
  peer_fetch_->sent_at = now;
  out.push_back(SendConfigMessage{
      peer_fetch_->peer, ConfigDeltaRequest{peer_fetch_->request, version(),
                                            peer_fetch_->state_version,
                                            peer_fetch_->state_text.size()}});
}

void ConfigView::OnMessage(Time /*now*/,
                           const MemberId& from,
                           const ConfigDeltaRequest& m,
                           Actions& out) {
  ConfigDeltaAnswer answer{.request = m.request};
  bool has_deltas =
      m.version < version() && version() - m.version <= recent_deltas_.size();
  if (has_deltas && m.state_version == 0) {
    size_t bytes = 0;
    for (size_t i = recent_deltas_.size() - (version() - m.version);
         i < recent_deltas_.size(); ++i) {
      if (bytes > 0 && bytes + recent_deltas_[i].size() > kMaxAnswerBytes)
        break;
      bytes += recent_deltas_[i].size();
      answer.deltas.push_back(recent_deltas_[i]);
    }
  } else if (m.version < version()) {
    // The encoded state of a transfer in progress is kept until another
    // transfer begins, so that its parts fit together.
    if (encoded_state_version_ == 0 ||
        m.state_version != encoded_state_version_) {
      if (encoded_state_version_ != version()) {
        encoded_state_ = EncodeState(state_);
        encoded_state_version_ = version();
      }
    }
    answer.state_version = encoded_state_version_;
    answer.state_size = encoded_state_.size();
    if (m.state_version == encoded_state_version_)
      answer.state_offset =
          std::min<uint64_t>(m.state_offset, encoded_state_.size());
    answer.state_part =
        encoded_state_.substr(answer.state_offset, kMaxAnswerBytes);
  }
  out.push_back(SendConfigMessage{from, std::move(answer)});
}

void ConfigView::OnMessage(Time now,
                           const MemberId& from,
                           const ConfigDeltaAnswer& m,
                           Actions& out) {
  if (!peer_fetch_ || peer_fetch_->peer != from ||
      peer_fetch_->request != m.request)
    return;
  if (m.state_version != 0) {
    OnStatePart(now, m, out);
    return;
  }
  ConfigVersion before = version();
  for (const std::string& delta : m.deltas) {
    if (!ApplyEncodedDelta(delta))
      break;
  }
  if (version() > before)
    RequestNextPart(now, out);  // An empty answer ends the transfer.
  else
    peer_fetch_.reset();
}

void ConfigView::OnStatePart(Time now,
                             const ConfigDeltaAnswer& m,
                             Actions& out) {
  if (m.state_version <= version() || m.state_size > kMaxStateBytes ||
      m.state_part.empty()) {
    peer_fetch_.reset();
    return;
  }
  if (m.state_version != peer_fetch_->state_version) {
    peer_fetch_->state_version = m.state_version;
    peer_fetch_->state_text.clear();
  }
  if (m.state_offset != peer_fetch_->state_text.size()) {
    peer_fetch_.reset();
    return;
  }
  peer_fetch_->state_text += m.state_part;
  if (peer_fetch_->state_text.size() < m.state_size) {
    RequestNextPart(now, out);
    return;
  }
  bool adopted = AdoptEncodedState(peer_fetch_->state_text);
  peer_fetch_->state_version = 0;
  peer_fetch_->state_text.clear();
  if (adopted)
    RequestNextPart(now, out);
  else
    peer_fetch_.reset();
}

bool ConfigView::ApplyEncodedDelta(const std::string& text) {
  try {
    ConfigDelta delta = DecodeDelta(text);
    if (delta.version <= version())
      return true;
    if (delta.version != version() + 1)
      return false;
    state_.Apply(delta);
  } catch (const ConfigFormatError&) {
    ++counters_.format_errors;
    return false;
  }
  ++counters_.deltas_applied;
  recent_deltas_.push_back(text);
  recent_delta_bytes_ += text.size();
  while (recent_deltas_.size() > kMaxRecentDeltas ||
         recent_delta_bytes_ > kMaxRecentDeltaBytes) {
    recent_delta_bytes_ -= recent_deltas_.front().size();
    recent_deltas_.pop_front();
  }
  return true;
}

bool ConfigView::AdoptEncodedState(const std::string& text) {
  try {
    FleetState state = DecodeState(text);
    if (state.version <= version())
      return false;
    state_ = std::move(state);
  } catch (const ConfigFormatError&) {
    ++counters_.format_errors;
    return false;
  }
  ++counters_.states_adopted;
  // The kept deltas must lead to the version in force without a gap.
  recent_deltas_.clear();
  recent_delta_bytes_ = 0;
  return true;
}

void ConfigView::ReportVersionInForce(ConfigVersion before, Actions& out) {
  RADISHMOOR_INVARIANT("config.version_never_decreases", version() >= before);
  if (version() > before)
    out.push_back(ConfigInForce{version()});
  if (head_known_ && version() == head_.version)
    Confirm(head_read_sent_at_);
  if (version() > 0 && startup_target_version_ > 0 &&
      version() >= startup_target_version_)
    ready_ = true;
}

void ConfigView::Confirm(Time sent_at) {
  if (!confirmed_at_ || sent_at > *confirmed_at_)
    confirmed_at_ = sent_at;
}

bool ConfigView::IsZonePeer(const MemberId& id) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const ConfigPeer& p) {
    return p.id == id && p.zone == options_.zone;
  });
}

std::optional<Duration> ConfigView::ConfirmedAge(Time now) const {
  if (!confirmed_at_)
    return std::nullopt;
  return now - *confirmed_at_;
}

bool ConfigView::MaySend(Time now) const {
  // Control processes wait only for processes that have a member row or a
  // sponsor. This holds for sends to other zones too: if all registered
  // processes have acknowledged the drain, control does not wait for the
  // confirmation age.
  bool by_registration =
      registered_ && confirmed_at_ && *confirmed_at_ > registered_at_;
  return ready_ &&
         (by_registration || (ever_sponsored_ && now < sponsored_until_));
}

bool ConfigView::MaySend(Time now, const HostId& id) const {
  if (!MaySend(now))
    return false;
  const HostState* host = state_.FindHost(id);
  if (host == nullptr || host->phase != HostPhase::kActive)
    return false;
  return host->zone == options_.zone ||
         (confirmed_at_ && now - *confirmed_at_ <= kMaxConfirmationAge);
}

ConfigVersion ConfigView::AcknowledgedVersion(Time now) {
  // An earlier incarnation of this process may have sponsored a process that
  // may still send. Nothing is acknowledged until that permission has expired.
  if (!started_ || now - started_at_ < kSponsorshipTerm + kSponsorshipMargin)
    return acknowledged_version_;
  ConfigVersion lowest_version = version();
  for (const auto& [id, entry] : sponsored_processes_) {
    if (now - entry.last_answer_at < kSponsorshipTerm + kSponsorshipMargin)
      lowest_version = std::min(lowest_version, entry.version);
  }
  RADISHMOOR_INVARIANT("config.acknowledged_never_decreases",
                       lowest_version >= acknowledged_version_);
  acknowledged_version_ = std::max(acknowledged_version_, lowest_version);
  return acknowledged_version_;
}

std::vector<HostId> ConfigView::AcknowledgedBusyHosts(Time now) const {
  std::set<HostId> busy(busy_hosts_.begin(), busy_hosts_.end());
  for (const auto& [id, entry] : sponsored_processes_) {
    if (now - entry.last_answer_at < kSponsoredBusyRetention)
      busy.insert(entry.busy_hosts.begin(), entry.busy_hosts.end());
  }
  return {busy.begin(), busy.end()};
}

}  // namespace radishmoor
