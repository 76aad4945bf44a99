// Writes changes to the configuration log, one at a time, within a rate limit.
//
//   if (writer.Ready(now))
//     writer.Start(now, delta, head, fences, removed_rows);
//   std::optional<WriteResult> result = writer.Handle(now, answer);
//   for (StoreCall& call : writer.TakeCalls()) ...  // Send to the store.
//
// A transaction expects `config/head` at the version on which the change was
// decided, so at most one change can follow that version. If the answer to a
// commit is lost, the writer reads the delta of the change's version and
// compares its operation id with the one that was sent. If that delta is
// absent, the lost transaction may still arrive; a new change on the same head
// is safe, since only one of the two can commit.

#ifndef RADISHMOOR_FLEET_CHANGE_WRITER_H_
#define RADISHMOOR_FLEET_CHANGE_WRITER_H_

#include <optional>
#include <string>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/fleet/types.h"

namespace radishmoor {

struct ChangeWriterOptions {
  // Limit for all control processes of a site together.
  double site_writes_per_second = 100;
  Duration first_back_off = Milliseconds(200);
  Duration max_back_off = Seconds(10);
  // An answer that takes longer counts as lost.
  Duration call_timeout = Seconds(30);
};

// The row `config/head` on which a change is decided.
struct HeadRow {
  RowVersion row = 0;          // Version of the row; 0 if not known.
  ConfigVersion snapshot = 0;  // Snapshot that the row names.
};

enum class WriteOutcome : uint8_t {
  kCommitted,
  // The change was decided on an old version, or a fence row has changed.
  kConflict,
  // The store was unavailable, or reading after a lost answer found no delta.
  kNotWritten,
};

struct WriteResult {
  WriteOutcome outcome = WriteOutcome::kNotWritten;
  ConfigDelta delta;
  // After kCommitted: the new head; its `row` is 0 if the version is not known.
  HeadRow head;
  // After kConflict: keys of the rows that were not at the expected version.
  std::vector<std::string> conflicts;
};

class ChangeWriter {
 public:
  ChangeWriter(ChangeWriterOptions options, uint64_t seed);

  // Sets the number of control processes that share the site's write limit.
  void SetWriterCount(uint32_t writer_count);

  // Returns true if no change is in flight and neither the rate limit nor the
  // backoff forbids a new one.
  bool Ready(Time now) const;
  bool idle() const { return stage_ == Stage::kIdle; }
  // Time at which Ready() may become true, a delayed read is due, or the call
  // in flight times out.
  Time next_wake() const;

  // Sends the change with a new operation id. Requires Ready(now). The commit
  // expects the `fences` rows at their versions and deletes `removed_rows`.
  void Start(Time now,
             ConfigDelta delta,
             HeadRow head,
             std::vector<RowExpectation> fences,
             std::vector<std::string> removed_rows);

  // Returns the result of the change once the answer decides it.
  std::optional<WriteResult> Handle(Time now, const StoreAnswer& answer);
  // Handles call timeouts and sends a read that is due.
  void Tick(Time now);
  std::vector<StoreCall> TakeCalls();

  // Commits that the store answered as unavailable, and reads that returned no
  // rows.
  uint64_t unavailable() const { return unavailable_; }
  // Calls whose answer was lost.
  uint64_t unknown() const { return unknown_; }
  // Lost answers of changes that turned out to be committed.
  uint64_t resolved_committed() const { return resolved_committed_; }

 private:
  enum class Stage : uint8_t {
    kIdle,
    kCommitting,
    kWaitingToRead,  // The answer was lost; a read follows after the backoff.
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
