// Request and reply types of the platform's services: table service, object
// store and host list. Decision code performs no I/O: it emits a StoreCall as
// an action and later receives the StoreAnswer with the same tag.
//
//   Transaction t{.operation = op};
//   t.expects.push_back({"config/head", 7});   // Version that must be current.
//   t.writes.push_back({"config/head", "..."});
//   actions.push_back(StoreCall{tag, CommitRows{t}});
//
// A transaction commits entirely or not at all. Row versions start at 1 and
// increase with every write of the row; version 0 stands for an absent row. A
// row that is removed and inserted again gets a larger version than before, so
// that a version never identifies two values.

#ifndef RADISHMOOR_STORE_TABLE_H_
#define RADISHMOOR_STORE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

using RowVersion = uint64_t;

struct Row {
  std::string key;
  RowVersion version = 0;  // 0: the row is absent and `value` is empty.
  std::string value;

  friend bool operator==(const Row&, const Row&) = default;
};

// The transaction commits only if the row has exactly this version.
struct RowExpectation {
  std::string key;
  RowVersion version = 0;
};

struct RowWrite {
  std::string key;
  std::string value;
  bool remove = false;
};

struct Transaction {
  OperationId operation;
  std::vector<RowExpectation> expects;
  std::vector<RowWrite> writes;
};

struct ReadRows {
  std::vector<std::string> keys;
};

// Reads up to `limit` rows in key order whose key starts with `prefix` and is
// larger than `after`.
struct ScanRows {
  std::string prefix;
  std::string after;
  uint32_t limit = 1000;
};

struct CommitRows {
  Transaction transaction;
};

struct PutObject {
  std::string key;
  std::string data;
};

struct ReadObject {
  std::string key;
};

struct ListObjects {
  std::string prefix;
};

struct ReadHostList {};

using StoreRequest = std::variant<ReadRows,
                                  ScanRows,
                                  CommitRows,
                                  PutObject,
                                  ReadObject,
                                  ListObjects,
                                  ReadHostList>;

// Answers ReadRows (one row for each key, absent rows included) and ScanRows.
struct RowsReply {
  std::vector<Row> rows;
  bool more = false;  // The scan ended at its limit, not at the last row.
  // Reading of the service's monotonic clock at the answer, if it has one.
  std::optional<Duration> clock;
};

// The transaction took effect. `versions` are those of the written rows, in the
// order of the writes.
struct CommittedReply {
  std::vector<RowVersion> versions;
  std::optional<Duration> clock;  // As in RowsReply.
};

// The transaction did not take effect: at least one expectation failed. `rows`
// holds the current value of each row whose expectation failed.
struct ConflictReply {
  std::vector<Row> rows;
};

struct ObjectReply {
  bool found = false;
  std::string data;
};

struct ObjectListReply {
  std::vector<std::string> keys;
};

enum class HostListState : uint8_t { kLive, kLeaving, kTerminated };

// One entry of the platform's host list. The list lags behind: new hosts may be
// missing, and ended ones may still be listed. kTerminated is final for the
// instance: the platform has confirmed its end.
struct HostListEntry {
  std::string name;  // Name of a worker host or of an entry host.
  HostListState state = HostListState::kLive;
  // Counts replacements under the same name.
  uint64_t instance = 0;
};

struct HostListReply {
  std::vector<HostListEntry> hosts;
};

// The request had no effect: the service refused it or was never reached.
struct UnavailableReply {
  std::string reason;
};

// The request had no effect: the service found it invalid, for example because
// a row is too large. A repetition would be rejected too.
struct RejectedReply {
  std::string reason;
};

// The request was sent and its answer was lost, so it may have taken effect.
struct UnknownReply {
  std::string reason;
};

using StoreReply = std::variant<RowsReply,
                                CommittedReply,
                                ConflictReply,
                                ObjectReply,
                                ObjectListReply,
                                HostListReply,
                                UnavailableReply,
                                RejectedReply,
                                UnknownReply>;

// A request with the tag that its StoreAnswer repeats. The component that emits
// the call chooses the tag, which is unique within that component.
struct StoreCall {
  uint64_t tag = 0;
  StoreRequest request;
  // Without an answer within this time the outcome is unknown (UnknownReply).
  // 0: the store client's default.
  Duration timeout{};
};

struct StoreAnswer {
  uint64_t tag = 0;
  StoreReply reply;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STORE_TABLE_H_
