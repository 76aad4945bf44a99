// Writes changes to the configuration log, one at a time, within a rate limit.
//
//   if (writer.Ready(now)) {
//     StoreCall call = writer.Start(now, delta, head, fences);
//   }
//   std::optional<WriteResult> result = writer.Handle(now, answer);
//   for (StoreCall& call : writer.TakeCalls()) ...
//
// A transaction expects `config/head` at the version on which the change was
// decided, so at most one change takes effect as its successor. A lost answer
// is resolved by reading the delta of that version and comparing the operation
// id. When that delta is absent, the lost transaction may still arrive; a new
// change on the same head is safe, since only one of the two can commit.

#ifndef RADISHMOOR_FLEET_CHANGE_WRITER_H_
#define RADISHMOOR_FLEET_CHANGE_WRITER_H_

#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct ChangeWriterOptions {
  // Shared by all control processes of a site.
  double site_writes_per_second = 100;
  Duration first_back_off = Milliseconds(200);
  Duration max_back_off = Seconds(10);
  // An answer that takes longer counts as lost.
  Duration call_timeout = Seconds(30);
};

// The head that a change follows.
struct HeadRow {
  RowVersion row = 0;  // Version of the row `config/head`; 0: not known.
  ConfigVersion snapshot = 0;
};

enum class WriteOutcome : uint8_t {
  kCommitted,
  kConflict,    // Decided on an old version, or the fence no longer holds.
  kNotWritten,  // The store was unavailable, or the lost answer was a failure.
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kNotWritten;
  ConfigDelta delta;
  HeadRow head;                        // After kCommitted, when known.
  std::vector<std::string> conflicts;  // Keys whose expectation failed.
};

class ChangeWriter {
 public:
  ChangeWriter(ChangeWriterOptions options, uint64_t seed);

  // Number of control processes that share the site's limit.
  void SetWriterCount(uint32_t writer_count);

  // No change is in flight, and neither rate limit nor back-off forbids one.
  bool Ready(Time now) const;
  bool idle() const { return stage_ == Stage::kIdle; }
  // When Ready may become true or a call is due. kTimeMax: only by an answer.
  Time next_wake() const;

  // Sends the change; sets `delta.operation`.
  void Start(Time now,
             ConfigDelta delta,
             HeadRow head,
             std::vector<RowExpectation> fences,
             std::vector<std::string> removed_rows);

  std::optional<WriteResult> Handle(Time now, const StoreAnswer& answer);
  void Tick(Time now);
  std::vector<StoreCall> TakeCalls();

  uint64_t unavailable() const { return unavailable_; }
  uint64_t unknown() const { return unknown_; }
  uint64_t resolved_committed() const { return resolved_committed_; }

 private:
  enum class Stage : uint8_t {
    kIdle,
    kCommitting,
    kWaitingToRead,  // The answer was lost; the read follows the back-off.
    kReading,
  };

  std::optional<WriteResult> HandleCommit(Time now, const StoreReply& reply);
  std::optional<WriteResult> HandleRead(Time now, const StoreReply& reply);
  WriteResult Finish(Time now, WriteOutcome outcome, HeadRow head);
  void OnAnswerLost(Time now);
  void BackOff(Time now);
  void Send(Time now, StoreRequest request);

  ChangeWriterOptions options_;
  Random random_;
  uint32_t writer_count_ = 1;
  Stage stage_ = Stage::kIdle;
  ConfigDelta delta_;
  HeadRow head_;
  uint64_t tag_ = 0;
  Time sent_at_{};
  Time next_attempt_at_{};
  uint32_t consecutive_failures_ = 0;
  std::vector<StoreCall> calls_;
  uint64_t unavailable_ = 0;
  uint64_t unknown_ = 0;
  uint64_t resolved_committed_ = 0;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_FLEET_CHANGE_WRITER_H_
