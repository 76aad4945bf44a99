// Vocabulary of the platform's services: table service, object store and host
// list. Decision code emits a StoreCall as an action and later receives the
// StoreAnswer with the same tag; it never sees a connection.
//
//   Transaction t{.operation = op};
//   t.expects.push_back({"config/head", 7});   // Version that must be current.
//   t.writes.push_back({"config/head", "..."});
//   actions.push_back(StoreCall{tag, CommitRows{t}});
//
// A transaction commits whole or not at all. Row versions start at 1 and grow
// with every write of the row; version 0 stands for an absent row. A removed
// row that is inserted again continues with a larger version, so that a
// version never names two values.

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

// Requests.

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

// Replies.

// Answers ReadRows (one row for each key, absent rows included) and ScanRows.
struct RowsReply {
  std::vector<Row> rows;
  bool more = false;  // A scan ended at its limit, not at the last row.
  // The service's steady clock when it answered, where it has one.
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

// One line of the platform's host list. The list lags in both directions.
// kTerminated is final for the instance: the platform has confirmed its end.
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

// The request may have taken effect: it was sent and its answer was lost.
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
                                UnknownReply>;

// Pairs a request with its answer. The slice that emits a call chooses the tag;
// tags are unique within that slice.
struct StoreCall {
  uint64_t tag = 0;
  StoreRequest request;
  // Without an answer by then the outcome is unknown. 0: the client's default.
  Duration timeout{};
};

struct StoreAnswer {
  uint64_t tag = 0;
  StoreReply reply;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STORE_TABLE_H_
