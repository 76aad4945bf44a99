#include "radishmoor/config/config_view.h"

#include <algorithm>
#include <set>
#include <utility>

#include "radishmoor/base/invariant.h"
#include "radishmoor/config/errors.h"

namespace radishmoor {
namespace {

// Announcements whose replies are still accepted; older ones are forgotten.
constexpr size_t kMaxAnnounced = 8;
constexpr size_t kMaxCalls = 16;

}  // namespace

ConfigView::ConfigView(ConfigViewOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void ConfigView::SetPeers(std::vector<ConfigPeer> peers) {
  peers_ = std::move(peers);
  std::erase_if(peers_,
                [this](const ConfigPeer& p) { return p.id == options_.self; });
}

std::vector<ConfigAction> ConfigView::Tick(Time now) {
  Actions out;
  if (!started_) {
    started_ = true;
    start_ = now;
    next_poll_ = next_announce_ = now;
    window_end_ = now + kStartWindow;
  }
  std::erase_if(sponsored_, [now](const auto& entry) {
    return now - entry.second.last_answer >= kSponsoredBusyHold;
  });
  if (fetch_ && now - fetch_->sent >= kCallTimeout)
    fetch_.reset();
  if (now >= next_poll_)
    Poll(now, out);
  if (now >= next_announce_)
    Announce(now, out);
  if (!ready_ && now >= window_end_)
    CloseStartWindow(now, out);
  return out;
}

Time ConfigView::next_wake() const {
  if (!started_)
    return kTimeZero;
  Time wake = std::min(next_poll_, next_announce_);
  return ready_ ? wake : std::min(wake, window_end_);
}

void ConfigView::Emit(Time now,
                      CallKind kind,
                      StoreRequest request,
                      Actions& out) {
  if (calls_.size() >= kMaxCalls)
    calls_.erase(calls_.begin());
  uint64_t tag = next_tag_++;
  calls_[tag] = {kind, now};
  out.push_back(StoreCall{tag, std::move(request)});
}

void ConfigView::Poll(Time now, Actions& out) {
  bool waiting =
      std::any_of(calls_.begin(), calls_.end(), [now](const auto& call) {
        return call.second.kind == CallKind::kHead &&
               now - call.second.sent < kCallTimeout;
      });
  next_poll_ = now + random_.Between(kPollPeriod * 9 / 10, kPollPeriod);
  if (waiting)
    return;
  ++counters_.polls;
  Emit(now, CallKind::kHead, ReadRows{{kConfigHeadKey}}, out);
}

void ConfigView::Announce(Time now, Actions& out) {
  next_announce_ = now + random_.Between(kPollPeriod * 9 / 10, kPollPeriod);
  ConfigAnnouncement message{next_tag_++, version(), options_.incarnation,
                             !registered_, busy_};
  Announced& announced = announced_[message.request];
  announced.sent = now;
  std::vector<const ConfigPeer*> others;
  for (const ConfigPeer& peer : peers_) {
    if (peer.zone != options_.zone) {
      others.push_back(&peer);
      continue;
    }
    out.push_back(SendConfigMessage{peer.id, message});
    announced.waiting.push_back(peer.id);
  }
  message.wants_sponsor = false;  // A sponsor is of the same zone.
  message.busy_hosts.clear();
  for (size_t i = 0; i < kOtherZonePeers && !others.empty(); ++i) {
    size_t pick = random_.Below(others.size());
    out.push_back(SendConfigMessage{others[pick]->id, message});
    announced.waiting.push_back(others[pick]->id);
    others.erase(others.begin() + static_cast<ptrdiff_t>(pick));
  }
  while (announced_.size() > kMaxAnnounced)
    announced_.erase(announced_.begin());
}

// Without the store, takes the largest version that the peers of the zone
// reported within the window; without peers, opens the next window.
void ConfigView::CloseStartWindow(Time now, Actions& out) {
  if (window_best_ > 0 && !head_known_)
    start_target_ = window_best_;
  if (start_target_ > 0 && version() >= start_target_)
    ready_ = true;
  else if (window_best_ > version())
    FetchFromPeer(now, window_peer_, out);
  window_best_ = 0;
  window_end_ = now + kStartWindow;
}

std::vector<ConfigAction> ConfigView::Handle(Time now,
                                             const StoreAnswer& answer) {
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
      failures_ = 0;
      OnHead(now, call.sent, rows->rows[0], out);
    } else if (call.kind == CallKind::kDeltas && rows) {
      OnDeltaRows(now, rows->rows, out);
    } else if (call.kind == CallKind::kSnapshot && object) {
      OnSnapshot(now, *object, out);
    } else {
      StoreFailed(now);
    }
  } catch (const ConfigFormatError&) {
    ++counters_.format_errors;
  }
  Advanced(before, out);
  return out;
}

// Backs off with jitter, so that the processes of a site do not poll in step
// while the store is down and when it returns.
void ConfigView::StoreFailed(Time now) {
  ++counters_.store_failures;
  failures_ = std::min<uint32_t>(failures_ + 1, 8);
  Duration limit = std::min(kMaxBackoff, kPollPeriod * (1 << failures_) / 2);
  next_poll_ = std::max(next_poll_, now + random_.Between(limit / 2, limit));
}

void ConfigView::OnHead(Time now, Time sent, const Row& row, Actions& out) {
  ConfigHead head;
  if (row.version != 0)
    head = DecodeHead(row.value);
  if (head.version < version() ||
      (head_known_ && head.version < head_.version)) {
    ++counters_.stale_heads;
    return;
  }
  if (!head_known_ || head.version > head_.version || sent > head_sent_)
    head_sent_ = sent;
  head_known_ = true;
  head_ = head;
  if (row.version > head_row_.version)
    head_row_ = row;
  snapshot_failed_ = false;
  if (!ready_)
    start_target_ = std::max(start_target_, head.version);
  FetchFromStore(now, out);
}

// Reads what is missing up to head_: a snapshot when far behind, else deltas.
void ConfigView::FetchFromStore(Time now, Actions& out) {
  if (version() >= head_.version)
    return;
  for (const auto& [tag, call] : calls_) {
    if (call.kind != CallKind::kHead && now - call.sent < kCallTimeout)
      return;
  }
  bool far = head_.version - version() > kSnapshotInterval;
  if (far && head_.snapshot > version() && !snapshot_failed_) {
    Emit(now, CallKind::kSnapshot,
         ReadObject{ConfigSnapshotKey(head_.snapshot)}, out);
    return;
  }
  ReadRows read;
  ConfigVersion last =
      std::min<ConfigVersion>(head_.version, version() + kDeltasPerRead);
  for (ConfigVersion v = version() + 1; v <= last; ++v)
    read.keys.push_back(ConfigDeltaKey(v));
  Emit(now, CallKind::kDeltas, std::move(read), out);
}

void ConfigView::OnDeltaRows(Time now,
                             const std::vector<Row>& rows,
                             Actions& out) {
  ConfigVersion before = version();
  for (const Row& row : rows) {
    if (row.version != 0 && !ApplyText(row.value))
      break;
  }
  // Without progress the next poll tries again.
  if (version() > before)
    FetchFromStore(now, out);
}

void ConfigView::OnSnapshot(Time now, const ObjectReply& reply, Actions& out) {
  snapshot_failed_ = !reply.found || !AdoptState(reply.data);
  FetchFromStore(now, out);
}

std::vector<ConfigAction> ConfigView::Handle(Time now,
                                             const MemberId& from,
                                             const ConfigPeerMessage& message) {
  Actions out;
  ConfigVersion before = version();
  std::visit([&](const auto& m) { On(now, from, m, out); }, message);
  Advanced(before, out);
  return out;
}

void ConfigView::On(Time now,
                    const MemberId& from,
                    const ConfigAnnouncement& m,
                    Actions& out) {
  ConfigAnnouncementReply reply{m.request, version(), ConfirmedAge(now),
                                Sponsor(now, from, m)};
  out.push_back(SendConfigMessage{from, reply});
  if (ready_ && m.version > version())
    FetchFromPeer(now, from, out);
}

bool ConfigView::Sponsor(Time now,
                         const MemberId& from,
                         const ConfigAnnouncement& m) {
  auto it = sponsored_.find(from);
  bool known = it != sponsored_.end();
  // A late announcement must not replace what a later one reported.
  if (known && std::pair(m.incarnation, m.request) <=
                   std::pair(it->second.incarnation, it->second.request)) {
    return false;
  }
  if (!m.wants_sponsor) {
    // The process registered: its own row acknowledges from now on.
    if (known)
      sponsored_.erase(it);
    return false;
  }
  // A process below the version that this one acknowledged may send to hosts
  // that control has moved since.
  if (!registered_ || !IsPeer(from) || m.version < acknowledged_ ||
      (!known && sponsored_.size() >= kMaxSponsored)) {
    ++counters_.sponsor_refusals;
    return false;
  }
  sponsored_[from] = {m.incarnation, m.request, m.version, now, m.busy_hosts};
  return true;
}

void ConfigView::On(Time now,
                    const MemberId& from,
                    const ConfigAnnouncementReply& m,
                    Actions& out) {
  auto it = announced_.find(m.request);
  if (it == announced_.end() || std::erase(it->second.waiting, from) == 0) {
    return;
  }
  Time sent = it->second.sent;
  if (m.sponsors) {
    sponsored_until_ = std::max(sponsored_until_, sent + kSponsorTerm);
    sponsored_ever_ = true;
  }
  if (m.version == version() && version() > 0 && m.confirmed_age) {
    ++counters_.peer_confirmations;
    Confirm(sent - *m.confirmed_age);
  }
  if (m.version > window_best_ && IsPeer(from)) {
    window_best_ = m.version;
    window_peer_ = from;
  }
  if (ready_ && m.version > version())
    FetchFromPeer(now, from, out);
}

void ConfigView::FetchFromPeer(Time now, const MemberId& peer, Actions& out) {
  if (fetch_ && now - fetch_->sent < kCallTimeout)
    return;
  fetch_ = PeerFetch{peer, 0, now, 0, ""};
  RequestFromPeer(now, out);
}

void ConfigView::RequestFromPeer(Time now, Actions& out) {
  fetch_->request = next_tag_++;
  fetch_->sent = now;
  out.push_back(SendConfigMessage{
      fetch_->peer,
      ConfigDeltaRequest{fetch_->request, version(), fetch_->state_version,
                         fetch_->state_text.size()}});
}

void ConfigView::On(Time /*now*/,
                    const MemberId& from,
                    const ConfigDeltaRequest& m,
                    Actions& out) {
  ConfigDeltaAnswer answer{.request = m.request};
  bool in_log = m.version < version() && version() - m.version <= log_.size();
  if (in_log && m.state_version == 0) {
    size_t bytes = 0;
    for (size_t i = log_.size() - (version() - m.version); i < log_.size();
         ++i) {
      if (bytes > 0 && bytes + log_[i].size() > kMaxAnswerBytes)
        break;
      bytes += log_[i].size();
      answer.deltas.push_back(log_[i]);
    }
  } else if (m.version < version()) {
    // The state at which a transfer began is kept until the next one begins.
    if (encoded_version_ == 0 || m.state_version != encoded_version_) {
      if (encoded_version_ != version()) {
        encoded_state_ = EncodeState(state_);
        encoded_version_ = version();
      }
    }
    answer.state_version = encoded_version_;
    answer.state_size = encoded_state_.size();
    if (m.state_version == encoded_version_)
      answer.state_offset =
          std::min<uint64_t>(m.state_offset, encoded_state_.size());
    answer.state_part =
        encoded_state_.substr(answer.state_offset, kMaxAnswerBytes);
  }
  out.push_back(SendConfigMessage{from, std::move(answer)});
}

void ConfigView::On(Time now,
                    const MemberId& from,
                    const ConfigDeltaAnswer& m,
                    Actions& out) {
  if (!fetch_ || fetch_->peer != from || fetch_->request != m.request)
    return;
  if (m.state_version != 0) {
    OnStatePart(now, m, out);
    return;
  }
  ConfigVersion before = version();
  for (const std::string& delta : m.deltas) {
    if (!ApplyText(delta))
      break;
  }
  if (version() > before)
    RequestFromPeer(now, out);  // Ends with an empty answer.
  else
    fetch_.reset();
}

void ConfigView::OnStatePart(Time now,
                             const ConfigDeltaAnswer& m,
                             Actions& out) {
  if (m.state_version <= version() || m.state_size > kMaxStateBytes ||
      m.state_part.empty()) {
    fetch_.reset();
    return;
  }
  if (m.state_version != fetch_->state_version) {
    fetch_->state_version = m.state_version;
    fetch_->state_text.clear();
  }
  if (m.state_offset != fetch_->state_text.size()) {
    fetch_.reset();
    return;
  }
  fetch_->state_text += m.state_part;
  if (fetch_->state_text.size() < m.state_size) {
    RequestFromPeer(now, out);
    return;
  }
  bool adopted = AdoptState(fetch_->state_text);
  fetch_->state_version = 0;
  fetch_->state_text.clear();
  if (adopted)
    RequestFromPeer(now, out);
  else
    fetch_.reset();
}

bool ConfigView::ApplyText(const std::string& text) {
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
  log_.push_back(text);
  log_bytes_ += text.size();
  while (log_.size() > kMaxLogDeltas || log_bytes_ > kMaxLogBytes) {
    log_bytes_ -= log_.front().size();
    log_.pop_front();
  }
  return true;
}

bool ConfigView::AdoptState(const std::string& text) {
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
  log_.clear();  // The log must end at the version in force without a gap.
  log_bytes_ = 0;
  return true;
}

void ConfigView::Advanced(ConfigVersion before, Actions& out) {
  RADISHMOOR_INVARIANT("config.version_never_decreases", version() >= before);
  if (version() > before)
    out.push_back(ConfigInForce{version()});
  if (head_known_ && version() == head_.version)
    Confirm(head_sent_);
  if (version() > 0 && start_target_ > 0 && version() >= start_target_)
    ready_ = true;
}

void ConfigView::Confirm(Time sent) {
  if (!confirmed_ || sent > *confirmed_)
    confirmed_ = sent;
}

bool ConfigView::IsPeer(const MemberId& id) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const ConfigPeer& p) {
    return p.id == id && p.zone == options_.zone;
  });
}

std::optional<Duration> ConfigView::ConfirmedAge(Time now) const {
  if (!confirmed_)
    return std::nullopt;
  return now - *confirmed_;
}

bool ConfigView::MaySend(Time now) const {
  // Control waits only for processes that have a member row or a sponsor, also
  // of other zones when all of those acknowledged at once.
  return ready_ && (registered_ || (sponsored_ever_ && now < sponsored_until_));
}

bool ConfigView::MaySend(Time now, const HostId& id) const {
  if (!MaySend(now))
    return false;
  const HostState* host = state_.FindHost(id);
  if (host == nullptr || host->phase != HostPhase::kActive)
    return false;
  return host->zone == options_.zone ||
         (confirmed_ && now - *confirmed_ <= kFreshness);
}

ConfigVersion ConfigView::AcknowledgedVersion(Time now) {
  // An earlier incarnation may have sponsored a process whose permission still
  // runs; nothing is acknowledged until it has ended.
  if (!started_ || now - start_ < kSponsorTerm + kSponsorMargin)
    return acknowledged_;
  ConfigVersion lowest = version();
  for (const auto& [id, entry] : sponsored_) {
    if (now - entry.last_answer < kSponsorTerm + kSponsorMargin)
      lowest = std::min(lowest, entry.version);
  }
  RADISHMOOR_INVARIANT("config.acknowledged_never_decreases",
                       lowest >= acknowledged_);
  acknowledged_ = std::max(acknowledged_, lowest);
  return acknowledged_;
}

std::vector<HostId> ConfigView::AcknowledgedBusyHosts(Time now) const {
  std::set<HostId> busy(busy_.begin(), busy_.end());
  for (const auto& [id, entry] : sponsored_) {
    if (now - entry.last_answer < kSponsoredBusyHold)
      busy.insert(entry.busy.begin(), entry.busy.end());
  }
  return {busy.begin(), busy.end()};
}

}  // namespace radishmoor
