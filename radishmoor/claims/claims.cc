#include "radishmoor/claims/claims.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

constexpr std::string_view kRowFormatPrefix = "claim1 ";

std::string RowKey(const std::string& key) {
  return kClaimPrefix + key;
}

// Returns a row key that sorts before the rows of all keys with this time and
// after those of all earlier keys.
std::string FirstRowKey(WallMillis time) {
  char text[24];
  std::snprintf(text, sizeof(text), "%08llx-%04llx",
                static_cast<unsigned long long>(time) >> 16,
                static_cast<unsigned long long>(time) & 0xffff);
  return std::string(kClaimPrefix) + text;
}

std::string LowercaseHexDigits(std::string text) {
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

// Removes a number and the character `end` after it from the front of `text`.
// Returns false if `text` does not start with them.
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
  std::string text(kRowFormatPrefix);
  text += std::to_string(static_cast<int>(r.state)) + ' ' +
          std::to_string(r.token) + ' ' + std::to_string(r.body_hash) + ' ' +
          std::to_string(r.deadline) + '\n';
  text += r.answer;
  return text;
}

std::optional<ClaimRecord> DecodeClaim(std::string_view text) {
  if (!text.starts_with(kRowFormatPrefix))
    return std::nullopt;
  text.remove_prefix(kRowFormatPrefix.size());
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

std::string_view ReasonCode(ClaimRejectReason reason) {
  switch (reason) {
    case ClaimRejectReason::kKeyRequired:
      return "key-required";
    case ClaimRejectReason::kBadKey:
      return "bad-key";
    case ClaimRejectReason::kKeyExpired:
      return "key-expired";
    case ClaimRejectReason::kKeyReused:
      return "key-reused";
    case ClaimRejectReason::kDuplicateInProgress:
      return "duplicate-in-progress";
    case ClaimRejectReason::kDuplicateUnknown:
      return "duplicate-unknown";
    case ClaimRejectReason::kStoreUnavailable:
      return "store-unavailable";
    case ClaimRejectReason::kDeadline:
      return "deadline";
    case ClaimRejectReason::kQueueFull:
      return "queue-full";
  }
  return "";
}

int HttpStatus(ClaimRejectReason reason) {
  switch (reason) {
    case ClaimRejectReason::kKeyRequired:
      return 428;
    case ClaimRejectReason::kBadKey:
      return 400;
    case ClaimRejectReason::kKeyExpired:
      return 410;
    case ClaimRejectReason::kKeyReused:
      return 422;
    case ClaimRejectReason::kDuplicateInProgress:
    case ClaimRejectReason::kDuplicateUnknown:
      return 409;
    case ClaimRejectReason::kDeadline:
      return 504;
    case ClaimRejectReason::kStoreUnavailable:
    case ClaimRejectReason::kQueueFull:
      return 503;
  }
  return 503;
}

Claims::Claims(ClaimsOptions options)
    : options_(options), random_(options.seed) {}

std::vector<ClaimAction> Claims::Begin(Time now,
                                       WallMillis wall,
                                       ClaimRequest claim_request) {
  Actions out;
  ++counters_.begins;
  claim_request.key = LowercaseHexDigits(std::move(claim_request.key));
  std::optional<WallMillis> key_time = UuidV7Time(claim_request.key);
  auto reject = [&](ClaimRejectReason reason) {
    Reject(claim_request.request, reason, out);
    return out;
  };
  if (claim_request.key.empty())
    return reject(ClaimRejectReason::kKeyRequired);
  if (!key_time || *key_time - wall > kMaxKeyClockSkew)
    return reject(ClaimRejectReason::kBadKey);
  if (wall - *key_time > kMaxKeyAge || *key_time < horizon_)
    return reject(ClaimRejectReason::kKeyExpired);
  if (auto it = claims_.find(claim_request.key); it != claims_.end()) {
    BeginRepeat(claim_request, it->second, out);
    return out;
  }
  if (now >= claim_request.deadline)
    return reject(ClaimRejectReason::kDeadline);
  if (claims_.size() >= options_.max_claims || queue_.size() >= kMaxQueueSize)
    return reject(ClaimRejectReason::kQueueFull);
  // While the store is down, one request at a time is let through to probe it.
  bool probing =
      call_kind_ != CallKind::kNone || !queue_.empty() || read_back_needed_;
  if (consecutive_failures_ >= kFailuresUntilDown &&
      (now < next_call_at_ || probing))
    return reject(ClaimRejectReason::kStoreUnavailable);

  Claim claim;
  claim.request = claim_request.request;
  claim.record.token = random_.Next();
  claim.record.body_hash = claim_request.body_hash;
  claim.valid_until = std::min(claim_request.deadline, now + kMaxSendWindow);
  claim.record.deadline = wall + WholeMilliseconds(claim.valid_until - now);
  claim.key_time = *key_time;
  claim.grant_by = std::min(claim.valid_until, now + kClaimTimeout);
  awaiting_grant_.insert({claim.grant_by, claim.request});
  by_request_[claim.request] = claim_request.key;
  Claim& stored = claims_[claim_request.key] = std::move(claim);
  Enqueue(claim_request.key, stored, false);
  StartNextCall(now, out);
  return out;
}

// Responds to a Begin() whose key has a claim in this process.
void Claims::BeginRepeat(const ClaimRequest& claim_request,
                         const Claim& claim,
                         Actions& out) {
  if (claim.record.body_hash != claim_request.body_hash) {
    Reject(claim_request.request, ClaimRejectReason::kKeyReused, out);
  } else if (claim.stage == Stage::kRelease) {
    // The earlier request did not run; its claim is not released yet.
    Reject(claim_request.request, ClaimRejectReason::kStoreUnavailable, out);
  } else if (claim.stage != Stage::kResult) {
    Reject(claim_request.request, ClaimRejectReason::kDuplicateInProgress, out);
  } else if (claim.record.state == ClaimState::kDone) {
    ++counters_.replayed;
    out.emplace_back(ClaimReplay{claim_request.request, claim.record.answer});
  } else {
    Reject(claim_request.request, ClaimRejectReason::kDuplicateUnknown, out);
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
  ForgetRequest(claim);
  if (std::holds_alternative<ClaimNotRun>(result)) {
    ReleaseOrErase(key, claim);
    return out;
  }
  RADISHMOOR_INVARIANT("claims.run_only_after_grant", granted);
  claim.record.state = ClaimState::kUnknown;
  if (auto* completed = std::get_if<ClaimCompleted>(&result)) {
    size_t size = completed->answer.size();
    if (size <= kMaxAnswerBytes &&
        pending_answer_bytes_ + size <= kMaxPendingAnswerBytes) {
      claim.record.state = ClaimState::kDone;
      claim.record.answer = std::move(completed->answer);
      pending_answer_bytes_ += size;
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
    next_removal_at_ =
        now + random_.Between(kRemovalPeriod / 10, kRemovalPeriod);
  }
  if (call_kind_ != CallKind::kNone &&
      now - call_sent_at_ >= kStoreCallTimeout) {
    CallKind kind = std::exchange(call_kind_, CallKind::kNone);
    OnCallFailed(now, kind, true);
  }
  while (!awaiting_grant_.empty() && awaiting_grant_.begin()->first <= now) {
    std::string key = by_request_.at(awaiting_grant_.begin()->second);
    Claim& claim = claims_.at(key);
    RejectClaim(claim,
                now >= claim.valid_until ? ClaimRejectReason::kDeadline
                                         : ClaimRejectReason::kStoreUnavailable,
                out);
    ReleaseOrErase(key, claim);
  }
  StartNextCall(now, out);
  return out;
}

Time Claims::next_wake() const {
  if (!started_)
    return kTimeZero;
  Time wake =
      awaiting_grant_.empty() ? kTimeMax : awaiting_grant_.begin()->first;
  if (call_kind_ != CallKind::kNone)
    return std::min(wake, call_sent_at_ + kStoreCallTimeout);
  if (read_back_needed_ || !horizon_known_)
    return std::min(wake, next_call_at_);
  if (!queue_.empty())
    wake = std::min(wake, std::max(next_transaction_at_, next_call_at_));
  return std::min(
      wake, std::max({next_removal_at_, next_transaction_at_, next_call_at_}));
}

void Claims::Reject(RequestId request, ClaimRejectReason reason, Actions& out) {
  ++counters_.rejected;
  bool may_have_run = reason == ClaimRejectReason::kDuplicateInProgress ||
                      reason == ClaimRejectReason::kDuplicateUnknown;
  out.emplace_back(ClaimRejected{request, reason, may_have_run});
}

void Claims::RejectClaim(Claim& claim, ClaimRejectReason reason, Actions& out) {
  Reject(claim.request, reason, out);
  ForgetRequest(claim);
}

void Claims::ForgetRequest(Claim& claim) {
  awaiting_grant_.erase({claim.grant_by, claim.request});
  by_request_.erase(claim.request);
}

void Claims::ReleaseOrErase(const std::string& key, Claim& claim) {
  claim.stage = Stage::kRelease;
  claim.record.state = ClaimState::kReleased;
  if (claim.in_batch)
    return;
  if (claim.owned || claim.unresolved_version)
    Enqueue(key, claim, false);
  else
    Erase(key);
}

void Claims::Enqueue(const std::string& key, Claim& claim, bool front) {
  if (claim.queued)
    return;
  claim.queued = true;
  if (queue_.size() >= 2 * options_.max_claims) {
    // Erasing a claim leaves its key in the queue.
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
  pending_answer_bytes_ -= it->second.record.answer.size();
  claims_.erase(it);
}

void Claims::Grant(Time now,
                   const std::string& key,
                   Claim& claim,
                   Actions& out) {
  // A process that was paused can get here long after the deadline.
  if (now >= claim.valid_until) {
    RejectClaim(claim, ClaimRejectReason::kDeadline, out);
    ReleaseOrErase(key, claim);
    return;
  }
  awaiting_grant_.erase({claim.grant_by, claim.request});
  claim.stage = Stage::kHeld;
  ++counters_.granted;
  out.emplace_back(ClaimGranted{claim.request, claim.valid_until});
}

void Claims::StartCall(Time now,
                       CallKind kind,
                       StoreRequest request,
                       Actions& out) {
  call_kind_ = kind;
  call_sent_at_ = now;
  call_tag_ = next_tag_++;
  if (std::holds_alternative<CommitRows>(request)) {
    ++counters_.transactions;
    next_transaction_at_ = now + kTransactionInterval;
  }
  out.emplace_back(StoreCall{call_tag_, std::move(request)});
}

void Claims::StartNextCall(Time now, Actions& out) {
  if (call_kind_ != CallKind::kNone || now < next_call_at_)
    return;
  if (read_back_needed_ || !horizon_known_) {
    SendReadBack(now, out);
    return;
  }
  if (now < next_transaction_at_)
    return;
  // Batches and removal steps alternate while both have work.
  bool remove = started_ && now >= next_removal_at_ &&
                (queue_.empty() || !last_call_was_removal_);
  last_call_was_removal_ = remove;
  if (remove)
    SendRemovalStep(now, out);
  else
    SendBatch(now, out);
}

void Claims::SendBatch(Time now, Actions& out) {
  Transaction t{.operation = {random_.Next()}};
  t.expects.push_back({kClaimHorizonKey, horizon_version_});
  batch_.clear();
  while (!queue_.empty() && batch_.size() < kMaxBatchSize) {
    std::string key = std::move(queue_.front());
    queue_.pop_front();
    auto it = claims_.find(key);
    if (it == claims_.end() || !it->second.queued)
      continue;
    Claim& claim = it->second;
    claim.queued = false;
    if (claim.key_time < horizon_) {
      // The row was removed or will be, and the expected version of the horizon
      // keeps any insert from taking effect.
      if (claim.stage == Stage::kInsert)
        RejectClaim(claim, ClaimRejectReason::kKeyExpired, out);
      Erase(key);
      continue;
    }
    claim.in_batch = true;
    t.expects.push_back({RowKey(key), claim.expected});
    t.writes.push_back({RowKey(key), EncodeClaim(claim.record)});
    batch_.push_back({std::move(key), claim.stage});
  }
  if (!batch_.empty())
    StartCall(now, CallKind::kCommitBatch, CommitRows{std::move(t)}, out);
}

void Claims::SendReadBack(Time now, Actions& out) {
  ++counters_.read_backs;
  ReadRows read;
  for (const BatchEntry& entry : batch_)
    read.keys.push_back(RowKey(entry.key));
  read.keys.emplace_back(kClaimHorizonKey);
  StartCall(now, CallKind::kReadBack, std::move(read), out);
}

std::vector<ClaimAction> Claims::Handle(Time now,
                                        WallMillis wall,
                                        const StoreAnswer& answer) {
  Actions out;
  if (call_kind_ == CallKind::kNone || answer.tag != call_tag_)
    return out;
  CallKind kind = std::exchange(call_kind_, CallKind::kNone);
  const auto* rows = std::get_if<RowsReply>(&answer.reply);
  const auto* committed = std::get_if<CommittedReply>(&answer.reply);
  const auto* conflict = std::get_if<ConflictReply>(&answer.reply);
  bool is_read = kind == CallKind::kReadBack || kind == CallKind::kScanOldest ||
                 kind == CallKind::kScanNewer;
  if (is_read ? !rows : !committed && !conflict) {
    OnCallFailed(now, kind,
                 !std::holds_alternative<UnavailableReply>(answer.reply));
    StartNextCall(now, out);
    return out;
  }
  consecutive_failures_ = 0;
  if (kind == CallKind::kCommitBatch && committed) {
    OnCommitted(now, committed->versions, out);
  } else if (kind == CallKind::kCommitBatch && conflict) {
    ++counters_.conflicts;
    OnRows(now, wall, conflict->rows, out);
  } else if (kind == CallKind::kReadBack && rows) {
    read_back_needed_ = false;
    horizon_known_ = true;
    OnRows(now, wall, rows->rows, out);
  } else if (kind == CallKind::kScanOldest && rows) {
    OnOldestClaims(now, wall, rows->rows);
  } else if (kind == CallKind::kScanNewer && rows) {
    if (rows->rows.empty())
      EndRemovalPass(now, false);
    else
      next_removal_step_ = CallKind::kWriteHorizon;
  } else if (kind == CallKind::kWriteHorizon && committed) {
    horizon_ = target_horizon_;
    horizon_version_ = committed->versions.at(0);
    next_removal_step_ = CallKind::kDeleteRows;
  } else if (kind == CallKind::kDeleteRows && committed) {
    counters_.removed += removable_.size();
    EndRemovalPass(now, removable_.size() == kMaxBatchSize);
  } else {
    // Another process moved the horizon, so the transaction conflicted.
    if (conflict)
      OnRows(now, wall, conflict->rows, out);
    EndRemovalPass(now, true);
  }
  StartNextCall(now, out);
  return out;
}

void Claims::OnCallFailed(Time now, CallKind kind, bool may_have_effect) {
  ++counters_.store_call_failures;
  consecutive_failures_ = std::min<uint32_t>(consecutive_failures_ + 1, 16);
  Duration limit = std::min(
      kMaxBackoff, kMinBackoff * (1 << std::min(consecutive_failures_, 8u)));
  next_call_at_ = now + random_.Between(limit / 2, limit);
  if (kind == CallKind::kCommitBatch && may_have_effect) {
    read_back_needed_ = true;
    for (const BatchEntry& entry : batch_) {
      Claim& claim = claims_.at(entry.key);
      claim.unresolved_version = claim.expected;
    }
  } else if (kind == CallKind::kCommitBatch) {
    for (auto it = batch_.rbegin(); it != batch_.rend(); ++it)
      Requeue(*it);
    batch_.clear();
  } else if (kind != CallKind::kReadBack) {
    if (kind == CallKind::kWriteHorizon && may_have_effect)
      horizon_known_ = false;
    EndRemovalPass(now, false);
  }
}

void Claims::OnCommitted(Time now,
                         const std::vector<RowVersion>& versions,
                         Actions& out) {
  counters_.writes += versions.size();
  std::vector<BatchEntry> batch = std::exchange(batch_, {});
  for (size_t i = 0; i < batch.size(); ++i) {
    Claim& claim = claims_.at(batch[i].key);
    claim.in_batch = false;
    claim.owned = true;
    claim.unresolved_version.reset();
    claim.expected = versions.at(i);
    if (batch[i].stage != Stage::kInsert)
      Erase(batch[i].key);
    else if (claim.stage == Stage::kInsert)
      Grant(now, batch[i].key, claim, out);
    else
      // The request was rejected or withdrawn while the insert was in flight.
      ReleaseOrErase(batch[i].key, claim);
  }
}

// Handles the present rows of the batch. After a read-back `rows` has all of
// them, after a conflict only those that caused it; the other writes of the
// batch had no effect.
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
  std::vector<BatchEntry> batch = std::exchange(batch_, {});
  for (auto it = batch.rbegin(); it != batch.rend(); ++it) {
    auto row = by_key.find(RowKey(it->key));
    if (row == by_key.end())
      Requeue(*it);
    else
      Resolve(now, wall, it->key, *row->second, out);
  }
}

// Queues the claim of `entry` again because its write did not take effect.
void Claims::Requeue(const BatchEntry& entry) {
  Claim& claim = claims_.at(entry.key);
  claim.in_batch = false;
  if (claim.stage == Stage::kRelease)
    ReleaseOrErase(entry.key, claim);
  else
    Enqueue(entry.key, claim, true);
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
  claim.in_batch = false;
  claim.expected = row.version;
  claim.owned = current && current->token == claim.record.token;
  if (claim.unresolved_version && *claim.unresolved_version != row.version)
    claim.unresolved_version.reset();
  switch (claim.stage) {
    case Stage::kInsert:
      ResolveInsert(now, wall, key, claim, row, current, out);
      return;
    case Stage::kRelease:
      ResolveRelease(key, claim, current);
      return;
    case Stage::kResult:
      // A row that the claim held changes only when a removal pass deletes it.
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
    claim.unresolved_version.reset();
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
    ForgetRequest(claim);
  } else {
    ClaimRejectReason reason = ClaimRejectReason::kDuplicateUnknown;
    if (current && !same_body)
      reason = ClaimRejectReason::kKeyReused;
    else if (current && current->state == ClaimState::kClaimed &&
             wall < current->deadline)
      reason = ClaimRejectReason::kDuplicateInProgress;
    RejectClaim(claim, reason, out);
  }
  // An insert with unknown outcome can take effect only on the version that it
  // expected. If the row still has that version, ReleaseOrErase() writes a
  // release, after which the insert cannot take effect.
  ReleaseOrErase(key, claim);
}

// Handles the row of a claim for which no request waits. Writing the released
// state also changes the version of the row, so that an insert with unknown
// outcome cannot take effect later.
void Claims::ResolveRelease(const std::string& key,
                            Claim& claim,
                            const std::optional<ClaimRecord>& current) {
  if (claim.owned && current->state == ClaimState::kReleased) {
    Erase(key);
    return;
  }
  ReleaseOrErase(key, claim);
}

void Claims::OnHorizon(const Row& row) {
  WallMillis value = 0;
  std::from_chars(row.value.data(), row.value.data() + row.value.size(), value);
  RADISHMOOR_INVARIANT("claims.horizon_never_decreases", value >= horizon_);
  horizon_ = std::max(horizon_, value);
  horizon_version_ = row.version;
}

void Claims::SendRemovalStep(Time now, Actions& out) {
  // Another process may have moved the horizon this far in the meantime.
  if (next_removal_step_ == CallKind::kWriteHorizon &&
      target_horizon_ <= horizon_)
    next_removal_step_ = CallKind::kDeleteRows;
  switch (next_removal_step_) {
    case CallKind::kScanNewer:
      StartCall(
          now, next_removal_step_,
          ScanRows{kClaimPrefix, FirstRowKey(target_horizon_ + kMaxKeyAge), 1},
          out);
      return;
    case CallKind::kWriteHorizon: {
      Transaction t{.operation = {random_.Next()}};
      t.expects.push_back({kClaimHorizonKey, horizon_version_});
      t.writes.push_back({kClaimHorizonKey, std::to_string(target_horizon_)});
      StartCall(now, next_removal_step_, CommitRows{std::move(t)}, out);
      return;
    }
    case CallKind::kDeleteRows: {
      Transaction t{.operation = {random_.Next()}};
      t.expects.push_back({kClaimHorizonKey, horizon_version_});
      for (const std::string& key : removable_)
        t.writes.push_back({key, "", true});
      StartCall(now, next_removal_step_, CommitRows{std::move(t)}, out);
      return;
    }
    default:
      StartCall(now, CallKind::kScanOldest,
                ScanRows{kClaimPrefix, "", kMaxBatchSize}, out);
      return;
  }
}

// Picks the claims to remove and the new horizon; `rows` is sorted by key and
// so by time. The horizon moves in small steps, and only if the store holds a
// key that is kMaxKeyAge newer than the new horizon. So one process with a
// wrong wall clock cannot move the horizon past keys that other processes still
// accept.
void Claims::OnOldestClaims(Time now,
                            WallMillis wall,
                            const std::vector<Row>& rows) {
  removable_.clear();
  std::optional<WallMillis> new_horizon;
  for (const Row& row : rows) {
    std::string_view key = row.key;
    std::optional<WallMillis> time =
        UuidV7Time(key.substr(sizeof(kClaimPrefix) - 1));
    if (!time)
      continue;
    if (!new_horizon)
      new_horizon = std::max(
          horizon_, std::min(wall - kClaimRetention, *time + kHorizonStep));
    if (*time < *new_horizon)
      removable_.push_back(row.key);
  }
  if (removable_.empty()) {
    EndRemovalPass(now, false);
    return;
  }
  target_horizon_ = *new_horizon;
  next_removal_step_ =
      target_horizon_ > horizon_ ? CallKind::kScanNewer : CallKind::kDeleteRows;
}

void Claims::EndRemovalPass(Time now, bool more_left) {
  next_removal_step_ = CallKind::kScanOldest;
  next_removal_at_ =
      now + (more_left ? kRemovalPause
                       : random_.Between(kRemovalPeriod / 2, kRemovalPeriod));
}

}  // namespace radishmoor
