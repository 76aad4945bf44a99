// Reads the configuration log and appends to it, with blocking store calls.
// Operators' tools use all functions. Control processes must not block, so they
// use only BuildConfigTransaction(), BuildSnapshotTransaction() and the key and
// codec functions of fleet_state.h.
//
//   LoadedConfig loaded = LoadConfig(execute);
//   ConfigDelta delta = ...;  // version = loaded.state.version + 1
//   CommitOutcome outcome = CommitDelta(execute, delta, loaded);
//   if (outcome.result == CommitResult::kCommitted)
//     WriteSnapshotIfDue(execute, delta, loaded);
//
// A delta is committed at most once. The transaction expects the old head and
// the absence of its delta row, so a transaction that is sent again after it
// was committed conflicts. The operation id in the delta row then tells whether
// the conflict is with the earlier send or with another author's change.

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

// Returns the transaction that makes `delta` the next version.
// `head_row_version` is the version of the row config/head (0: no configuration
// yet) and `head` its value. Throws std::invalid_argument if `delta.version` is
// not `head.version + 1`.
Transaction BuildConfigTransaction(const ConfigDelta& delta,
                                   RowVersion head_row_version,
                                   const ConfigHead& head);

// Returns the transaction that records in the head that the snapshot object of
// version `snapshot` exists. It changes the row version of config/head but not
// the configuration, so a concurrent writer gets a conflict and has to read the
// head again. Throws std::invalid_argument if `snapshot` is older than the
// recorded snapshot or newer than the head.
Transaction BuildSnapshotTransaction(OperationId operation,
                                     RowVersion head_row_version,
                                     const ConfigHead& head,
                                     ConfigVersion snapshot);

// Returns true if a snapshot should be written. A snapshot that could not be
// written is due again at the next version.
inline bool IsSnapshotDue(const ConfigHead& head) {
  return head.version >= head.snapshot + kSnapshotInterval;
}

// Executes one store request and blocks until it is answered or times out.
using StoreExecutor = std::function<StoreReply(const StoreRequest& request)>;

// Thrown if a read fails because the store does not answer.
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
  // The state at the version `version_to_keep` of LoadConfig(); absent if that
  // version is older than the snapshot or newer than the head.
  std::optional<FleetState> kept_state;
};

// Reads the head, the latest snapshot and the deltas after it; reads all deltas
// if there is no snapshot object. Throws ConfigUnavailableError if the store
// does not answer, and ConfigFormatError if the log is damaged.
LoadedConfig LoadConfig(
    const StoreExecutor& execute,
    std::optional<ConfigVersion> version_to_keep = std::nullopt);

enum class CommitResult : uint8_t {
  kCommitted,
  kConflict,     // Another change has this version. Nothing was changed.
  kUnavailable,  // The store was not reached. Nothing was changed.
  kUnknown,      // The change may have taken effect or may still do so.
};

struct CommitOutcome {
  CommitResult result = CommitResult::kUnknown;
  std::string reason;  // Set for kUnavailable and kUnknown.
};

// Commits `delta` on top of `loaded`. Sends the same transaction up to three
// times until the outcome is known.
CommitOutcome CommitDelta(const StoreExecutor& execute,
                          const ConfigDelta& delta,
                          const LoadedConfig& loaded);

// Must be called after `delta` was committed on top of `loaded`. Writes the
// snapshot object and records it in the head if a snapshot is due. Returns
// false if one was due and could not be written; the snapshot is then due again
// at the next version.
bool WriteSnapshotIfDue(const StoreExecutor& execute,
                        const ConfigDelta& delta,
                        const LoadedConfig& loaded);

// Number of versions that FindOperation() searches by default.
inline constexpr ConfigVersion kOperationWindow = 1024;
// Returns the version that `operation` committed, if it is among the last
// `window` versions of the log. Callers use it to resolve an unknown outcome.
// Throws the errors of LoadConfig().
std::optional<ConfigVersion> FindOperation(
    const StoreExecutor& execute,
    OperationId operation,
    ConfigVersion window = kOperationWindow);

}  // namespace radishmoor

#endif  // RADISHMOOR_CONFIG_CONFIG_LOG_H_
