#include "radishmoor/claims/claims.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

constexpr std::string_view kFormat = "claim1 ";

std::string RowKey(const std::string& key) {
  return kClaimPrefix + key;
}

// The row key that sorts before all keys of this time and after all earlier.
std::string FirstRowKey(WallMillis time) {
  char text[24];
  std::snprintf(text, sizeof(text), "%08llx-%04llx",
                static_cast<unsigned long long>(time) >> 16,
                static_cast<unsigned long long>(time) & 0xffff);
  return std::string(kClaimPrefix) + text;
}

std::string Lower(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'F')
      c = static_cast<char>(c - 'A' + 'a');
  }
  return text;
}

bool IsHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

// Reads one number and the character after it.
template <typename T>
bool TakeNumber(std::string_view& text, char end, T& value) {
  auto [rest, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || rest == text.data() + text.size() ||
      *rest != end) {
    return false;
  }
  text.remove_prefix(static_cast<size_t>(rest - text.data()) + 1);
  return true;
}

}  // namespace

std::optional<WallMillis> UuidV7Time(std::string_view key) {
  if (key.size() != 36 || key[14] != '7')
    return std::nullopt;
  for (size_t i = 0; i < key.size(); ++i) {
    bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? key[i] != '-' : !IsHex(key[i]))
      return std::nullopt;
  }
  if (std::string_view("89abAB").find(key[19]) == std::string_view::npos)
    return std::nullopt;
  std::string digits(key.substr(0, 8));
  digits += key.substr(9, 4);
  WallMillis time = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), time, 16);
  return time;
}

std::string EncodeClaim(const ClaimRecord& r) {
  std::string text(kFormat);
  text += std::to_string(static_cast<int>(r.state)) + ' ' +
          std::to_string(r.token) + ' ' + std::to_string(r.body_hash) + ' ' +
          std::to_string(r.deadline) + '\n';
  text += r.answer;
  return text;
}

std::optional<ClaimRecord> DecodeClaim(std::string_view text) {
  if (!text.starts_with(kFormat))
    return std::nullopt;
  text.remove_prefix(kFormat.size());
  int state = 0;
  ClaimRecord r;
  if (!TakeNumber(text, ' ', state) || state < 0 || state > 3 ||
      !TakeNumber(text, ' ', r.token) || !TakeNumber(text, ' ', r.body_hash) ||
      !TakeNumber(text, '\n', r.deadline)) {
    return std::nullopt;
  }
  r.state = static_cast<ClaimState>(state);
  r.answer = std::string(text);
  return r;
}

std::string_view ReasonCode(ClaimRefusal reason) {
  switch (reason) {
    case ClaimRefusal::kKeyRequired:
      return "key-required";
    case ClaimRefusal::kBadKey:
      return "bad-key";
    case ClaimRefusal::kKeyExpired:
      return "key-expired";
    case ClaimRefusal::kKeyReused:
      return "key-reused";
    case ClaimRefusal::kDuplicateInProgress:
      return "duplicate-in-progress";
    case ClaimRefusal::kDuplicateUnknown:
      return "duplicate-unknown";
    case ClaimRefusal::kStoreUnavailable:
      return "store-unavailable";
    case ClaimRefusal::kDeadline:
      return "deadline";
    case ClaimRefusal::kQueueFull:
      return "queue-full";
  }
  return "";
}

int HttpStatus(ClaimRefusal reason) {
  switch (reason) {
    case ClaimRefusal::kKeyRequired:
      return 428;
    case ClaimRefusal::kBadKey:
      return 400;
    case ClaimRefusal::kKeyExpired:
      return 410;
    case ClaimRefusal::kKeyReused:
      return 422;
    case ClaimRefusal::kDuplicateInProgress:
    case ClaimRefusal::kDuplicateUnknown:
      return 409;
    case ClaimRefusal::kDeadline:
      return 504;
    case ClaimRefusal::kStoreUnavailable:
    case ClaimRefusal::kQueueFull:
      return 503;
  }
  return 503;
}

Claims::Claims(ClaimsOptions options)
    : options_(options), random_(options.seed) {}

std::vector<ClaimAction> Claims::Begin(Time now,
                                       WallMillis wall,
                                       ClaimBegin begin) {
  Actions out;
  ++counters_.begun;
  begin.key = Lower(std::move(begin.key));
  std::optional<WallMillis> key_time = UuidV7Time(begin.key);
  auto refuse = [&](ClaimRefusal reason) {
    Reject(begin.request, reason, out);
    return out;
  };
  if (begin.key.empty())
    return refuse(ClaimRefusal::kKeyRequired);
  if (!key_time || *key_time - wall > kMaxKeySkew)
    return refuse(ClaimRefusal::kBadKey);
  if (wall - *key_time > kMaxKeyAge || *key_time < horizon_)
    return refuse(ClaimRefusal::kKeyExpired);
  if (auto it = claims_.find(begin.key); it != claims_.end()) {
    BeginRepeat(begin, it->second, out);
    return out;
  }
  if (now >= begin.deadline)
    return refuse(ClaimRefusal::kDeadline);
  if (claims_.size() >= options_.max_claims || queue_.size() >= kMaxQueue)
    return refuse(ClaimRefusal::kQueueFull);
  // While the store is down one request at a time probes it.
  bool probing = call_ != CallKind::kNone || !queue_.empty() || read_back_;
  if (failures_ >= kDownAfter && (now < next_call_ || probing))
    return refuse(ClaimRefusal::kStoreUnavailable);

  Claim claim;
  claim.request = begin.request;
  claim.record.token = random_.Next();
  claim.record.body_hash = begin.body_hash;
  claim.valid_until = std::min(begin.deadline, now + kRight);
  claim.record.deadline = wall + WholeMilliseconds(claim.valid_until - now);
  claim.key_time = *key_time;
  claim.give_up = std::min(claim.valid_until, now + kClaimWait);
  waiting_.insert({claim.give_up, claim.request});
  by_request_[claim.request] = begin.key;
  Claim& stored = claims_[begin.key] = std::move(claim);
  Enqueue(begin.key, stored, false);
  Pump(now, out);
  return out;
}

// The key is in use in this process.
void Claims::BeginRepeat(const ClaimBegin& begin,
                         const Claim& claim,
                         Actions& out) {
  if (claim.record.body_hash != begin.body_hash) {
    Reject(begin.request, ClaimRefusal::kKeyReused, out);
  } else if (claim.stage == Stage::kRelease) {
    // The earlier request did not run; its claim is not released yet.
    Reject(begin.request, ClaimRefusal::kStoreUnavailable, out);
  } else if (claim.stage != Stage::kResult) {
    Reject(begin.request, ClaimRefusal::kDuplicateInProgress, out);
  } else if (claim.record.state == ClaimState::kDone) {
    ++counters_.replayed;
    out.emplace_back(ClaimReplay{begin.request, claim.record.answer});
  } else {
    Reject(begin.request, ClaimRefusal::kDuplicateUnknown, out);
  }
}

std::vector<ClaimAction> Claims::Finish(Time /*now*/,
                                        RequestId request,
                                        ClaimResult result) {
  Actions out;
  auto it = by_request_.find(request);
  if (it == by_request_.end())
    return out;
  std::string key = it->second;
  Claim& claim = claims_.at(key);
  bool granted = claim.stage == Stage::kHeld;
  StopWaiting(claim);
  if (std::holds_alternative<ClaimNotRun>(result)) {
    Settle(key, claim);
    return out;
  }
  RADISHMOOR_INVARIANT("claims.run_only_after_grant", granted);
  claim.record.state = ClaimState::kUnknown;
  if (auto* completed = std::get_if<ClaimCompleted>(&result)) {
    size_t size = completed->answer.size();
    if (size <= kMaxAnswerBytes && waiting_bytes_ + size <= kMaxWaitingBytes) {
      claim.record.state = ClaimState::kDone;
      claim.record.answer = std::move(completed->answer);
      waiting_bytes_ += size;
    } else {
      ++counters_.answers_dropped;
    }
  }
  claim.stage = Stage::kResult;
  Enqueue(key, claim, false);
  return out;
}

bool Claims::MaySend(Time now, RequestId request) const {
  auto it = by_request_.find(request);
  if (it == by_request_.end())
    return false;
  const Claim& claim = claims_.at(it->second);
  return claim.stage == Stage::kHeld && now < claim.valid_until;
}

std::vector<ClaimAction> Claims::Tick(Time now) {
  Actions out;
  if (!started_) {
    started_ = true;
    next_removal_ = now + random_.Between(kRemovalPeriod / 10, kRemovalPeriod);
  }
  if (call_ != CallKind::kNone && now - call_sent_ >= kCallTimeout) {
    CallKind kind = std::exchange(call_, CallKind::kNone);
    CallFailed(now, kind, true);
  }
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    std::string key = by_request_.at(waiting_.begin()->second);
    Claim& claim = claims_.at(key);
    RejectClaim(claim,
                now >= claim.valid_until ? ClaimRefusal::kDeadline
                                         : ClaimRefusal::kStoreUnavailable,
                out);
    Settle(key, claim);
  }
  Pump(now, out);
  return out;
}

Time Claims::next_wake() const {
  if (!started_)
    return kTimeZero;
  Time wake = waiting_.empty() ? kTimeMax : waiting_.begin()->first;
  if (call_ != CallKind::kNone)
    return std::min(wake, call_sent_ + kCallTimeout);
  if (read_back_ || !horizon_known_)
    return std::min(wake, next_call_);
  if (!queue_.empty())
    wake = std::min(wake, std::max(next_write_, next_call_));
  return std::min(wake, std::max({next_removal_, next_write_, next_call_}));
}

void Claims::Reject(RequestId request, ClaimRefusal reason, Actions& out) {
  ++counters_.rejected;
  bool may_have_run = reason == ClaimRefusal::kDuplicateInProgress ||
                      reason == ClaimRefusal::kDuplicateUnknown;
  out.emplace_back(ClaimRejected{request, reason, may_have_run});
}

void Claims::RejectClaim(Claim& claim, ClaimRefusal reason, Actions& out) {
  Reject(claim.request, reason, out);
  StopWaiting(claim);
}

void Claims::StopWaiting(Claim& claim) {
  waiting_.erase({claim.give_up, claim.request});
  by_request_.erase(claim.request);
}

void Claims::Settle(const std::string& key, Claim& claim) {
  claim.stage = Stage::kRelease;
  claim.record.state = ClaimState::kReleased;
  if (claim.in_call)
    return;
  if (claim.owned || claim.outstanding)
    Enqueue(key, claim, false);
  else
    Erase(key);
}

void Claims::Enqueue(const std::string& key, Claim& claim, bool front) {
  if (claim.queued)
    return;
  claim.queued = true;
  if (queue_.size() >= 2 * options_.max_claims) {
    // Withdrawn claims leave their keys behind.
    std::erase_if(queue_, [this](const std::string& queued) {
      return !claims_.contains(queued);
    });
  }
  if (front)
    queue_.push_front(key);
  else
    queue_.push_back(key);
}

void Claims::Erase(const std::string& key) {
  auto it = claims_.find(key);
  waiting_bytes_ -= it->second.record.answer.size();
  claims_.erase(it);
}

void Claims::Grant(Time now,
                   const std::string& key,
                   Claim& claim,
                   Actions& out) {
  // A paused process gets here long after the deadline.
  if (now >= claim.valid_until) {
    RejectClaim(claim, ClaimRefusal::kDeadline, out);
    Settle(key, claim);
    return;
  }
  waiting_.erase({claim.give_up, claim.request});
  claim.stage = Stage::kHeld;
  ++counters_.granted;
  out.emplace_back(ClaimGranted{claim.request, claim.valid_until});
}

void Claims::Call(Time now, CallKind kind, StoreRequest request, Actions& out) {
  call_ = kind;
  call_sent_ = now;
  tag_ = next_tag_++;
  if (std::holds_alternative<CommitRows>(request)) {
    ++counters_.transactions;
    next_write_ = now + kWriteGap;
  }
  out.emplace_back(StoreCall{tag_, std::move(request)});
}

void Claims::Pump(Time now, Actions& out) {
  if (call_ != CallKind::kNone || now < next_call_)
    return;
  if (read_back_ || !horizon_known_) {
    SendReadBack(now, out);
    return;
  }
  if (now < next_write_)
    return;
  // Groups and the steps of a removal alternate while both have work.
  bool remove =
      started_ && now >= next_removal_ && (queue_.empty() || !removal_last_);
  removal_last_ = remove;
  if (remove)
    SendRemovalStep(now, out);
  else
    SendGroup(now, out);
}

void Claims::SendGroup(Time now, Actions& out) {
  Transaction t{.operation = {random_.Next()}};
  t.expects.push_back({kClaimHorizonKey, horizon_version_});
  group_.clear();
  while (!queue_.empty() && group_.size() < kGroupSize) {
    std::string key = std::move(queue_.front());
    queue_.pop_front();
    auto it = claims_.find(key);
    if (it == claims_.end() || !it->second.queued)
      continue;
    Claim& claim = it->second;
    claim.queued = false;
    if (claim.key_time < horizon_) {
      // Its row is or will be removed, and no insert can take effect.
      if (claim.stage == Stage::kInsert)
        RejectClaim(claim, ClaimRefusal::kKeyExpired, out);
      Erase(key);
      continue;
    }
    claim.in_call = true;
    t.expects.push_back({RowKey(key), claim.expected});
    t.writes.push_back({RowKey(key), EncodeClaim(claim.record)});
    group_.push_back({std::move(key), claim.stage});
  }
  if (!group_.empty())
    Call(now, CallKind::kGroup, CommitRows{std::move(t)}, out);
}

void Claims::SendReadBack(Time now, Actions& out) {
  ++counters_.read_backs;
  ReadRows read;
  for (const Operation& operation : group_)
    read.keys.push_back(RowKey(operation.key));
  read.keys.emplace_back(kClaimHorizonKey);
  Call(now, CallKind::kReadBack, std::move(read), out);
}

std::vector<ClaimAction> Claims::Handle(Time now,
                                        WallMillis wall,
                                        const StoreAnswer& answer) {
  Actions out;
  if (call_ == CallKind::kNone || answer.tag != tag_)
    return out;
  CallKind kind = std::exchange(call_, CallKind::kNone);
  const auto* rows = std::get_if<RowsReply>(&answer.reply);
  const auto* committed = std::get_if<CommittedReply>(&answer.reply);
  const auto* conflict = std::get_if<ConflictReply>(&answer.reply);
  bool is_read = kind == CallKind::kReadBack || kind == CallKind::kOldest ||
                 kind == CallKind::kWitness;
  if (is_read ? !rows : !committed && !conflict) {
    CallFailed(now, kind,
               !std::holds_alternative<UnavailableReply>(answer.reply));
    Pump(now, out);
    return out;
  }
  failures_ = 0;
  if (kind == CallKind::kGroup && committed) {
    OnCommitted(now, committed->versions, out);
  } else if (kind == CallKind::kGroup && conflict) {
    ++counters_.conflicts;
    OnRows(now, wall, conflict->rows, out);
  } else if (kind == CallKind::kReadBack && rows) {
    read_back_ = false;
    horizon_known_ = true;
    OnRows(now, wall, rows->rows, out);
  } else if (kind == CallKind::kOldest && rows) {
    OnOldest(now, wall, rows->rows);
  } else if (kind == CallKind::kWitness && rows) {
    if (rows->rows.empty())
      EndRemoval(now, false);
    else
      removal_ = CallKind::kHorizon;
  } else if (kind == CallKind::kHorizon && committed) {
    horizon_ = next_horizon_;
    horizon_version_ = committed->versions.at(0);
    removal_ = CallKind::kRemove;
  } else if (kind == CallKind::kRemove && committed) {
    counters_.removed += removable_.size();
    EndRemoval(now, removable_.size() == kGroupSize);
  } else {
    // Another process moved the horizon.
    if (conflict)
      OnRows(now, wall, conflict->rows, out);
    EndRemoval(now, true);
  }
  Pump(now, out);
  return out;
}

void Claims::CallFailed(Time now, CallKind kind, bool may_have_effect) {
  ++counters_.store_failures;
  failures_ = std::min<uint32_t>(failures_ + 1, 16);
  Duration limit =
      std::min(kMaxBackoff, kMinBackoff * (1 << std::min(failures_, 8u)));
  next_call_ = now + random_.Between(limit / 2, limit);
  if (kind == CallKind::kGroup && may_have_effect) {
    read_back_ = true;
    for (const Operation& operation : group_) {
      Claim& claim = claims_.at(operation.key);
      claim.outstanding = claim.expected;
    }
  } else if (kind == CallKind::kGroup) {
    for (auto it = group_.rbegin(); it != group_.rend(); ++it)
      Requeue(*it);
    group_.clear();
  } else if (kind != CallKind::kReadBack) {
    if (kind == CallKind::kHorizon && may_have_effect)
      horizon_known_ = false;
    EndRemoval(now, false);
  }
}

void Claims::OnCommitted(Time now,
                         const std::vector<RowVersion>& versions,
                         Actions& out) {
  counters_.writes += versions.size();
  std::vector<Operation> group = std::exchange(group_, {});
  for (size_t i = 0; i < group.size(); ++i) {
    Claim& claim = claims_.at(group[i].key);
    claim.in_call = false;
    claim.owned = true;
    claim.outstanding.reset();
    claim.expected = versions.at(i);
    if (group[i].stage != Stage::kInsert)
      Erase(group[i].key);
    else if (claim.stage == Stage::kInsert)
      Grant(now, group[i].key, claim, out);
    else
      Settle(group[i].key, claim);  // Given up while the insert was in flight.
  }
}

// Current rows of the group: all after a read-back, otherwise those that caused
// the conflict, and the rest of the group had no effect.
void Claims::OnRows(Time now,
                    WallMillis wall,
                    const std::vector<Row>& rows,
                    Actions& out) {
  std::map<std::string_view, const Row*> by_key;
  for (const Row& row : rows) {
    by_key[row.key] = &row;
    if (row.key == kClaimHorizonKey)
      OnHorizon(row);
  }
  std::vector<Operation> group = std::exchange(group_, {});
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    auto row = by_key.find(RowKey(it->key));
    if (row == by_key.end())
      Requeue(*it);
    else
      Resolve(now, wall, it->key, *row->second, out);
  }
}

// The write of this operation did not take effect.
void Claims::Requeue(const Operation& operation) {
  Claim& claim = claims_.at(operation.key);
  claim.in_call = false;
  if (claim.stage == Stage::kRelease)
    Settle(operation.key, claim);
  else
    Enqueue(operation.key, claim, true);
}

void Claims::Resolve(Time now,
                     WallMillis wall,
                     const std::string& key,
                     const Row& row,
                     Actions& out) {
  Claim& claim = claims_.at(key);
  std::optional<ClaimRecord> current;
  if (row.version != 0)
    current = DecodeClaim(row.value);
  claim.in_call = false;
  claim.expected = row.version;
  claim.owned = current && current->token == claim.record.token;
  if (claim.outstanding && *claim.outstanding != row.version)
    claim.outstanding.reset();
  switch (claim.stage) {
    case Stage::kInsert:
      ResolveInsert(now, wall, key, claim, row, current, out);
      return;
    case Stage::kRelease:
      ResolveRelease(key, claim, current);
      return;
    case Stage::kResult:
      // Only the removal of old claims takes the row from its holder.
      RADISHMOOR_INVARIANT("claims.held_row_is_own",
                           claim.owned || row.version == 0);
      if (!claim.owned || *current == claim.record)
        Erase(key);
      else
        Enqueue(key, claim, true);
      return;
    case Stage::kHeld:
      RADISHMOOR_INVARIANT("claims.held_has_no_write", false);
      return;
  }
}

void Claims::ResolveInsert(Time now,
                           WallMillis wall,
                           const std::string& key,
                           Claim& claim,
                           const Row& row,
                           const std::optional<ClaimRecord>& current,
                           Actions& out) {
  if (claim.owned) {
    claim.outstanding.reset();
    Grant(now, key, claim, out);
    return;
  }
  bool same_body = current && current->body_hash == claim.record.body_hash;
  bool free = row.version == 0 ||
              (current && same_body && current->state == ClaimState::kReleased);
  if (free) {
    Enqueue(key, claim, true);
    return;
  }
  if (same_body && current->state == ClaimState::kDone) {
    ++counters_.replayed;
    out.emplace_back(ClaimReplay{claim.request, current->answer});
    StopWaiting(claim);
  } else {
    ClaimRefusal reason = ClaimRefusal::kDuplicateUnknown;
    if (current && !same_body)
      reason = ClaimRefusal::kKeyReused;
    else if (current && current->state == ClaimState::kClaimed &&
             wall < current->deadline)
      reason = ClaimRefusal::kDuplicateInProgress;
    RejectClaim(claim, reason, out);
  }
  // A lost insert can only take effect on the version that it expected.
  Settle(key, claim);
}

// Nobody waits for the claim. Writing the released state also moves the row
// away from the version that a lost insert expected, so that the insert cannot
// take effect later.
void Claims::ResolveRelease(const std::string& key,
                            Claim& claim,
                            const std::optional<ClaimRecord>& current) {
  if (claim.owned && current->state == ClaimState::kReleased) {
    Erase(key);
    return;
  }
  Settle(key, claim);
}

void Claims::OnHorizon(const Row& row) {
  WallMillis value = 0;
  std::from_chars(row.value.data(), row.value.data() + row.value.size(), value);
  RADISHMOOR_INVARIANT("claims.horizon_never_decreases", value >= horizon_);
  horizon_ = std::max(horizon_, value);
  horizon_version_ = row.version;
}

void Claims::SendRemovalStep(Time now, Actions& out) {
  // Another process may have moved the horizon further meanwhile.
  if (removal_ == CallKind::kHorizon && next_horizon_ <= horizon_)
    removal_ = CallKind::kRemove;
  switch (removal_) {
    case CallKind::kWitness:
      Call(now, removal_,
           ScanRows{kClaimPrefix, FirstRowKey(next_horizon_ + kMaxKeyAge), 1},
           out);
      return;
    case CallKind::kHorizon: {
      Transaction t{.operation = {random_.Next()}};
      t.expects.push_back({kClaimHorizonKey, horizon_version_});
      t.writes.push_back({kClaimHorizonKey, std::to_string(next_horizon_)});
      Call(now, removal_, CommitRows{std::move(t)}, out);
      return;
    }
    case CallKind::kRemove: {
      Transaction t{.operation = {random_.Next()}};
      t.expects.push_back({kClaimHorizonKey, horizon_version_});
      for (const std::string& key : removable_)
        t.writes.push_back({key, "", true});
      Call(now, removal_, CommitRows{std::move(t)}, out);
      return;
    }
    default:
      Call(now, CallKind::kOldest, ScanRows{kClaimPrefix, "", kGroupSize}, out);
      return;
  }
}

// Keys sort by time. The horizon moves in small steps, and only when a stored
// key shows that the time has come: one process with a wrong wall clock cannot
// move it past the others' requests.
void Claims::OnOldest(Time now, WallMillis wall, const std::vector<Row>& rows) {
  removable_.clear();
  std::optional<WallMillis> limit;
  for (const Row& row : rows) {
    std::string_view key = row.key;
    std::optional<WallMillis> time =
        UuidV7Time(key.substr(sizeof(kClaimPrefix) - 1));
    if (!time)
      continue;
    if (!limit)
      limit =
          std::max(horizon_, std::min(wall - kRetention, *time + kHorizonStep));
    if (*time < *limit)
      removable_.push_back(row.key);
  }
  if (removable_.empty()) {
    EndRemoval(now, false);
    return;
  }
  next_horizon_ = *limit;
  removal_ = next_horizon_ > horizon_ ? CallKind::kWitness : CallKind::kRemove;
}

void Claims::EndRemoval(Time now, bool more) {
  removal_ = CallKind::kOldest;
  next_removal_ =
      now + (more ? kRemovalPause
                  : random_.Between(kRemovalPeriod / 2, kRemovalPeriod));
}

}  // namespace radishmoor
