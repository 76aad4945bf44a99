// Appending to the configuration log and reading it, over blocking calls of
// the store. Operators' tools use all of it; control, which may not block,
// uses BuildConfigTransaction() and the key and codec functions.
//
//   LoadedConfig loaded = LoadConfig(execute);
//   ConfigDelta delta = ...;  // version = loaded.state.version + 1
//   CommitOutcome outcome = CommitDelta(execute, delta, loaded);
//   if (outcome.result == CommitResult::kCommitted)
//     WriteSnapshotIfDue(execute, delta, loaded);
//
// A delta is committed at most once: the transaction expects the old head and
// the absence of its delta row, so a resent transaction conflicts with itself,
// and the operation id in the delta row tells the two cases apart.

#ifndef RADISHMOOR_CONFIG_CONFIG_LOG_H_
#define RADISHMOOR_CONFIG_CONFIG_LOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/config/fleet_state.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// The transaction that makes `delta` the next version. `head_row_version` is
// the version of the row config/head (0: no configuration yet) and `head` its
// value. Throws std::invalid_argument if `delta.version` does not follow
// `head.version`.
Transaction BuildConfigTransaction(const ConfigDelta& delta,
                                   RowVersion head_row_version,
                                   const ConfigHead& head);

// The transaction that records in the head that the snapshot object of version
// `snapshot` exists. It changes the row version of config/head but not the
// configuration: a writer whose expectation fails on it reads the head again.
Transaction BuildSnapshotTransaction(OperationId operation,
                                     RowVersion head_row_version,
                                     const ConfigHead& head,
                                     ConfigVersion snapshot);

// True if a snapshot should be written. One that failed is due again at the
// next version.
inline bool SnapshotDue(const ConfigHead& head) {
  return head.version >= head.snapshot + kSnapshotInterval;
}

// Executes one request and waits for the answer.
using StoreExecutor = std::function<StoreReply(const StoreRequest& request)>;

// A read failed because the store did not answer. Nothing was changed.
class ConfigUnavailableError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct LoadedConfig {
  FleetState state;
  ConfigHead head;
  RowVersion head_row_version = 0;
  // The deltas read on top of the snapshot, oldest first.
  std::vector<ConfigDelta> deltas;
  // The state at `keep`, if it was passed on the way.
  std::optional<FleetState> kept;
};

// Reads head, snapshot and the deltas after it. Without a snapshot object it
// reads all deltas. Throws ConfigUnavailableError, and ConfigFormatError if
// the log is damaged.
LoadedConfig LoadConfig(const StoreExecutor& execute,
                        std::optional<ConfigVersion> keep = std::nullopt);

enum class CommitResult : uint8_t {
  kCommitted,
  kConflict,     // Another change took the version. Nothing was changed.
  kUnavailable,  // The store was not reached. Nothing was changed.
  kUnknown,      // The change may have taken or may still take effect.
};

struct CommitOutcome {
  CommitResult result = CommitResult::kUnknown;
  std::string reason;  // Of kUnavailable and kUnknown.
};

// Commits with up to three sends; all are the same transaction.
CommitOutcome CommitDelta(const StoreExecutor& execute,
                          const ConfigDelta& delta,
                          const LoadedConfig& loaded);

// After `delta` was committed on `loaded`: writes the snapshot object if one
// is due and records it in the head. False if it was due and did not succeed;
// the next change then tries again.
bool WriteSnapshotIfDue(const StoreExecutor& execute,
                        const ConfigDelta& delta,
                        const LoadedConfig& loaded);

// The version that `operation` committed, among the last `window` versions of
// the log. Resolves an outcome that stayed unknown. Throws as LoadConfig().
inline constexpr ConfigVersion kOperationWindow = 1024;
std::optional<ConfigVersion> FindOperation(
    const StoreExecutor& execute,
    OperationId operation,
    ConfigVersion window = kOperationWindow);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_CONFIG_LOG_H_
