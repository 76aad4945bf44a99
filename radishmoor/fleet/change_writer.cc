#include "radishmoor/fleet/change_writer.h"

#include <algorithm>
#include <utility>

#include "radishmoor/base/invariant.h"

namespace radishmoor {

ChangeWriter::ChangeWriter(ChangeWriterOptions options, uint64_t seed)
    : options_(options), random_(seed) {}

void ChangeWriter::SetWriterCount(uint32_t writer_count) {
  writer_count_ = std::max(writer_count, 1U);
}

bool ChangeWriter::Ready(Time now) const {
  return stage_ == Stage::kIdle && now >= next_attempt_at_;
}

Time ChangeWriter::next_wake() const {
  switch (stage_) {
    case Stage::kIdle:
    case Stage::kWaitingToRead:
      return next_attempt_at_;
    case Stage::kCommitting:
    case Stage::kReading:
      return sent_at_ + options_.call_timeout;
  }
  return kTimeMax;
}

void ChangeWriter::Start(Time now,
                         ConfigDelta delta,
                         HeadRow head,
                         std::vector<RowExpectation> fences,
                         std::vector<std::string> removed_rows) {
  RADISHMOOR_INVARIANT("fleet.one_change_in_flight", Ready(now));
  RADISHMOOR_INVARIANT("fleet.change_is_fenced", !fences.empty());
  delta.operation = {random_.Next() | 1};
  delta_ = std::move(delta);
  head_ = head;
  Transaction transaction;
  transaction.operation = delta_.operation;
  transaction.expects = std::move(fences);
  transaction.expects.push_back({kConfigHeadKey, head.row});
  transaction.expects.push_back({ConfigDeltaKey(delta_.version), 0});
  // The head is the first write, so that the commit's reply lists its new
  // version first.
  transaction.writes.push_back(
      {kConfigHeadKey, EncodeHead({delta_.version, head.snapshot})});
  transaction.writes.push_back(
      {ConfigDeltaKey(delta_.version), EncodeDelta(delta_)});
  for (std::string& key : removed_rows)
    transaction.writes.push_back({std::move(key), "", true});
  stage_ = Stage::kCommitting;
  auto gap = static_cast<int64_t>(1e6 * writer_count_ /
                                  options_.site_writes_per_second);
  next_attempt_at_ = now + Microseconds(gap);
  Send(now, CommitRows{std::move(transaction)});
}

void ChangeWriter::Send(Time now, StoreRequest request) {
  sent_at_ = now;
  calls_.push_back({++tag_, std::move(request)});
}

std::vector<StoreCall> ChangeWriter::TakeCalls() {
  return std::exchange(calls_, {});
}

void ChangeWriter::BackOff(Time now) {
  ++consecutive_failures_;
  Duration limit = options_.first_back_off *
                   (int64_t{1} << std::min(consecutive_failures_ - 1, 16U));
  limit = std::min(limit, options_.max_back_off);
  // Jitter over half of the delay spreads the retries of a site's processes
  // after an outage.
  next_attempt_at_ =
      std::max(next_attempt_at_, now + random_.Between(limit / 2, limit));
}

void ChangeWriter::OnAnswerLost(Time now) {
  ++unknown_;
  stage_ = Stage::kWaitingToRead;
  BackOff(now);
}

WriteResult ChangeWriter::Finish(Time now, WriteOutcome outcome, HeadRow head) {
  stage_ = Stage::kIdle;
  if (outcome == WriteOutcome::kNotWritten)
    BackOff(now);
  else
    consecutive_failures_ = 0;
  return {outcome, std::move(delta_), head, {}};
}

std::optional<WriteResult> ChangeWriter::Handle(Time now,
                                                const StoreAnswer& answer) {
  // A late answer to an earlier call is ignored: that call timed out, and the
  // writer reads the delta instead.
  if (answer.tag != tag_)
    return std::nullopt;
  if (stage_ == Stage::kCommitting)
    return HandleCommit(now, answer.reply);
  if (stage_ == Stage::kReading)
    return HandleRead(now, answer.reply);
  return std::nullopt;
}

std::optional<WriteResult> ChangeWriter::HandleCommit(Time now,
                                                      const StoreReply& reply) {
  if (const auto* committed = std::get_if<CommittedReply>(&reply)) {
    RowVersion row = committed->versions.empty() ? 0 : committed->versions[0];
    return Finish(now, WriteOutcome::kCommitted, {row, head_.snapshot});
  }
  if (const auto* conflict = std::get_if<ConflictReply>(&reply)) {
    WriteResult result = Finish(now, WriteOutcome::kConflict, {});
    for (const Row& row : conflict->rows)
      result.conflicts.push_back(row.key);
    return result;
  }
  if (std::holds_alternative<UnavailableReply>(reply)) {
    ++unavailable_;
    return Finish(now, WriteOutcome::kNotWritten, {});
  }
  OnAnswerLost(now);
  return std::nullopt;
}

std::optional<WriteResult> ChangeWriter::HandleRead(Time now,
                                                    const StoreReply& reply) {
  const auto* rows = std::get_if<RowsReply>(&reply);
  if (!rows || rows->rows.size() != 2) {
    ++unavailable_;
    stage_ = Stage::kWaitingToRead;
    BackOff(now);
    return std::nullopt;
  }
  const Row& delta = rows->rows[0];
  const Row& head = rows->rows[1];
  if (delta.version == 0)
    return Finish(now, WriteOutcome::kNotWritten, {});
  if (DecodeDelta(delta.value).operation != delta_.operation) {
    WriteResult result = Finish(now, WriteOutcome::kConflict, {});
    result.conflicts.emplace_back(kConfigHeadKey);
    return result;
  }
  ++resolved_committed_;
  ConfigHead content = DecodeHead(head.value);
  bool latest = content.version == delta_.version;
  return Finish(now, WriteOutcome::kCommitted,
                {latest ? head.version : 0, content.snapshot});
}

void ChangeWriter::Tick(Time now) {
  bool waiting = stage_ == Stage::kCommitting || stage_ == Stage::kReading;
  if (waiting && now - sent_at_ >= options_.call_timeout)
    OnAnswerLost(now);
  if (stage_ != Stage::kWaitingToRead || now < next_attempt_at_)
    return;
  stage_ = Stage::kReading;
  Send(now, ReadRows{{ConfigDeltaKey(delta_.version), kConfigHeadKey}});
}

}  // namespace radishmoor
