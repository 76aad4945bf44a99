#include "radishmoor/config/config_log.h"

#include <algorithm>
#include <utility>

#include "radishmoor/config/errors.h"

namespace radishmoor {
namespace {

constexpr int kMaxCommitSends = 3;
// Maximum number of delta rows in one read.
constexpr ConfigVersion kDeltaReadBatch = 64;

std::string FailureReason(const StoreReply& reply) {
  if (const auto* unavailable = std::get_if<UnavailableReply>(&reply))
    return unavailable->reason;
  if (const auto* unknown = std::get_if<UnknownReply>(&reply))
    return unknown->reason;
  return "the store returned an answer of the wrong type";
}

// Executes a read and returns its reply. Throws ConfigUnavailableError if the
// reply is not a `Reply`.
template <typename Reply>
Reply ReadAs(const StoreExecutor& execute, const StoreRequest& request) {
  StoreReply reply = execute(request);
  if (auto* expected = std::get_if<Reply>(&reply))
    return std::move(*expected);
  throw ConfigUnavailableError("cannot read from the store: " +
                               FailureReason(reply));
}

struct HeadRow {
  ConfigHead head;
  RowVersion version = 0;
};

HeadRow ReadHead(const StoreExecutor& execute) {
  auto reply = ReadAs<RowsReply>(execute, ReadRows{{kConfigHeadKey}});
  if (reply.rows.empty() || reply.rows[0].version == 0)
    return {};
  return {DecodeHead(reply.rows[0].value), reply.rows[0].version};
}

// Returns the deltas of the versions `first` to `last`, oldest first.
std::vector<ConfigDelta> ReadDeltas(const StoreExecutor& execute,
                                    ConfigVersion first,
                                    ConfigVersion last) {
  std::vector<ConfigDelta> deltas;
  while (first <= last) {
    ReadRows request;
    ConfigVersion end = std::min(last, first + kDeltaReadBatch - 1);
    for (; first <= end; ++first)
      request.keys.push_back(ConfigDeltaKey(first));
    for (const Row& row : ReadAs<RowsReply>(execute, request).rows) {
      if (row.version == 0)
        throw ConfigFormatError("configuration log is missing row " + row.key);
      deltas.push_back(DecodeDelta(row.value));
    }
  }
  return deltas;
}

bool IsOwnDelta(const Row& row, const ConfigDelta& delta) {
  return row.version != 0 && row.key == ConfigDeltaKey(delta.version) &&
         DecodeDelta(row.value).operation == delta.operation;
}

bool HoldsOwnDelta(const std::vector<Row>& rows, const ConfigDelta& delta) {
  return std::any_of(rows.begin(), rows.end(),
                     [&](const Row& row) { return IsOwnDelta(row, delta); });
}

// Determines the outcome of a commit whose answers were lost from its delta
// row.
CommitOutcome ResolveLostAnswer(const StoreExecutor& execute,
                                const ConfigDelta& delta,
                                const std::string& reason) {
  StoreReply reply = execute(ReadRows{{ConfigDeltaKey(delta.version)}});
  const auto* rows = std::get_if<RowsReply>(&reply);
  // An absent row does not prove that the commit failed: a delayed request may
  // still reach the store.
  if (rows == nullptr || rows->rows.empty() || rows->rows[0].version == 0)
    return {CommitResult::kUnknown, reason};
  return {HoldsOwnDelta(rows->rows, delta) ? CommitResult::kCommitted
                                           : CommitResult::kConflict,
          ""};
}

}  // namespace

Transaction BuildConfigTransaction(const ConfigDelta& delta,
                                   RowVersion head_row_version,
                                   const ConfigHead& head) {
  if (delta.version != head.version + 1) {
    throw std::invalid_argument("delta " + std::to_string(delta.version) +
                                " does not follow version " +
                                std::to_string(head.version));
  }
  std::string delta_key = ConfigDeltaKey(delta.version);
  Transaction t;
  t.operation = delta.operation;
  t.expects = {{kConfigHeadKey, head_row_version}, {delta_key, 0}};
  t.writes = {{kConfigHeadKey, EncodeHead({delta.version, head.snapshot})},
              {delta_key, EncodeDelta(delta)}};
  return t;
}

Transaction BuildSnapshotTransaction(OperationId operation,
                                     RowVersion head_row_version,
                                     const ConfigHead& head,
                                     ConfigVersion snapshot) {
  if (snapshot > head.version || snapshot < head.snapshot) {
    throw std::invalid_argument(
        "snapshot " + std::to_string(snapshot) +
        " is not between the recorded snapshot and the head");
  }
  Transaction t;
  t.operation = operation;
  t.expects = {{kConfigHeadKey, head_row_version}};
  t.writes = {{kConfigHeadKey, EncodeHead({head.version, snapshot})}};
  return t;
}

LoadedConfig LoadConfig(const StoreExecutor& execute,
                        std::optional<ConfigVersion> version_to_keep) {
  LoadedConfig loaded;
  HeadRow row = ReadHead(execute);
  loaded.head = row.head;
  loaded.head_row_version = row.version;
  if (loaded.head.snapshot > 0) {
    auto object = ReadAs<ObjectReply>(
        execute, ReadObject{ConfigSnapshotKey(loaded.head.snapshot)});
    if (object.found)
      loaded.state = DecodeState(object.data);
  }
  loaded.deltas =
      ReadDeltas(execute, loaded.state.version + 1, loaded.head.version);
  if (version_to_keep == loaded.state.version)
    loaded.kept_state = loaded.state;
  for (const ConfigDelta& delta : loaded.deltas) {
    loaded.state.Apply(delta);
    if (version_to_keep == loaded.state.version)
      loaded.kept_state = loaded.state;
  }
  return loaded;
}

CommitOutcome CommitDelta(const StoreExecutor& execute,
                          const ConfigDelta& delta,
                          const LoadedConfig& loaded) {
  CommitRows request{
      BuildConfigTransaction(delta, loaded.head_row_version, loaded.head)};
  std::string reason;
  for (int send = 0; send < kMaxCommitSends; ++send) {
    StoreReply reply = execute(request);
    if (std::holds_alternative<CommittedReply>(reply))
      return {CommitResult::kCommitted, ""};
    if (const auto* conflict = std::get_if<ConflictReply>(&reply)) {
      return {HoldsOwnDelta(conflict->rows, delta) ? CommitResult::kCommitted
                                                   : CommitResult::kConflict,
              ""};
    }
    // Once an answer was lost, UnavailableReply to a later send does not prove
    // that nothing was changed. Only a conflict, a commit or the delta row
    // does.
    bool answer_lost = !reason.empty();
    if (std::holds_alternative<UnavailableReply>(reply) && !answer_lost)
      return {CommitResult::kUnavailable, FailureReason(reply)};
    reason = "no answer to the commit: " + FailureReason(reply);
  }
  return ResolveLostAnswer(execute, delta, reason);
}

bool WriteSnapshotIfDue(const StoreExecutor& execute,
                        const ConfigDelta& delta,
                        const LoadedConfig& loaded) {
  if (!IsSnapshotDue({delta.version, loaded.head.snapshot}))
    return true;
  FleetState state = loaded.state;
  state.Apply(delta);
  StoreReply put =
      execute(PutObject{ConfigSnapshotKey(state.version), EncodeState(state)});
  if (!std::holds_alternative<CommittedReply>(put))
    return false;
  try {
    HeadRow row = ReadHead(execute);
    if (row.head.snapshot >= state.version)
      return true;
    // An operation id identifies one transaction, so this transaction must not
    // reuse the delta's id.
    OperationId operation{~delta.operation.value};
    StoreReply reply = execute(CommitRows{BuildSnapshotTransaction(
        operation, row.version, row.head, state.version)});
    return std::holds_alternative<CommittedReply>(reply);
  } catch (const ConfigUnavailableError&) {
    return false;
  }
}

std::optional<ConfigVersion> FindOperation(const StoreExecutor& execute,
                                           OperationId operation,
                                           ConfigVersion window) {
  ConfigVersion last = ReadHead(execute).head.version;
  ConfigVersion oldest = last > window ? last - window + 1 : 1;
  while (last >= oldest) {
    ConfigVersion first = std::max(
        oldest, last >= kDeltaReadBatch ? last - kDeltaReadBatch + 1 : 1);
    for (const ConfigDelta& delta : ReadDeltas(execute, first, last)) {
      if (delta.operation == operation)
        return delta.version;
    }
    last = first - 1;
  }
  return std::nullopt;
}

}  // namespace radishmoor
