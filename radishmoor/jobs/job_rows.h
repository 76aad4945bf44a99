// The scheduler's rows in the table service and their encoding.
//
//   jobs/<pool>/<job>      definition of a job; a tombstone after its end
//   progress/<pool>/<job>  state, tasks and runs; written by the pool's owner
//   progress/<pool>/<job>.<n>  tasks that do not fit into the row above; n is
//                          from 1 to StoredProgress::further_rows
//   inbox/<pool>/s:<job>   submission that the owner has not read yet
//   inbox/<pool>/c:<job>   cancellation that the owner has not read yet
//   owner/<pool>/lease     lease of the pool's owner; every commit of the owner
//                          expects and rewrites it, which makes a commit chain
//   queues/<pool>/<queue>  whether the pool stores new jobs of the queue; see
//                          queue_admission.h
//   queues//<queue>        the pools that may hold jobs of the queue
//   nodes//<node>          a scheduler process
//   duties/<pool>/<host>   host operation whose call to the host API may be in
//                          progress
//   duties/<pool>/w<wave>:<host>  host whose maintenance in a wave is done
//
// The middle part of a key names the partition. A transaction writes the rows
// of one partition only.

#ifndef RADISHMOOR_JOBS_JOB_ROWS_H_
#define RADISHMOOR_JOBS_JOB_ROWS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishmoor/jobs/job.h"

namespace radishmoor {

// Given an empty id as the last argument, each of these functions returns the
// common prefix of its keys.
std::string JobKey(const PoolId& pool, const JobId& job);
std::string ProgressKey(const PoolId& pool, const JobId& job);
// Key of the progress row `number`, from 1 on, after the first one.
std::string FurtherProgressKey(const PoolId& pool,
                               const JobId& job,
                               uint32_t number);
// What LastKeyPart() of a progress row names.
struct ProgressRowName {
  JobId job;
  uint32_t number = 0;  // 0: the first row.
};
std::optional<ProgressRowName> ParseProgressRowName(std::string_view name);
// `kind` is kInboxSubmitted or kInboxCancelled.
std::string InboxKey(const PoolId& pool, char kind, const JobId& job);
std::string InboxPrefix(const PoolId& pool);
std::string OwnerLeaseKey(const PoolId& pool);
std::string QueueAdmissionKey(const PoolId& pool, const QueueId& queue);
// The common prefix of the pool's QueueAdmissionKey()s.
std::string QueueAdmissionPrefix(const PoolId& pool);
std::string QueuePoolsKey(const QueueId& queue);
std::string NodeKey(const MemberId& node);
std::string HostOperationKey(const PoolId& pool, const HostId& host);
// Key of the row that records that a host's maintenance in a wave is done.
std::string MaintainedKey(const PoolId& pool,
                          const HostId& host,
                          uint64_t wave);
// Returns what follows the last slash of the key.
std::string_view LastKeyPart(std::string_view key);

inline constexpr char kInboxSubmitted = 's';
inline constexpr char kInboxCancelled = 'c';

// Value of a job's row after the job's end, in place of the definition, which
// is no longer needed.
inline constexpr std::string_view kEndedJobTombstone = "ended";

inline constexpr size_t kMaxCheckpointBytes = 4096;

struct StoredRun {
  RunNumber number = 0;
  ServerId server;
  // The owner has decided to stop the run.
  bool stop_wanted = false;
};

struct StoredTask {
  uint32_t position = 0;  // Within the occurrence, over the tasks of all steps.
  bool done = false;
  uint32_t failures = 0;
  RunNumber last_run = 0;
  std::string checkpoint;
  // Runs that were started, or will be after this row is stored, and are not
  // known to have ended.
  std::vector<StoredRun> runs;
  // Servers that may carry out a start of the task late. Only those that an
  // owner has noted while servers restarted frequently.
  std::vector<ServerId> unanswered_servers;
  RunNumber provisional_run = 0;  // Run of the provisional success; 0: none.
  // The owner that wrote the row had it from an earlier one.
  bool provisional_inherited = false;
};

struct StoredOccurrence {
  uint32_t number = 0;
  std::vector<StoredTask> tasks;  // Tasks in their initial state are left out.
};

struct StoredProgress {
  JobState state = JobState::kQueued;
  bool begun = false;
  // All occurrences with lower numbers have ended.
  uint32_t finished_below = 0;
  // An occurrence whose tasks are in several rows has an entry in each.
  std::vector<StoredOccurrence> occurrences;
  // Number of rows after the first one that hold further occurrences. Rows with
  // higher numbers are out of date.
  uint32_t further_rows = 0;
};

struct LeaseRow {
  MemberId holder;
  std::string address;  // Where other scheduler processes reach the holder.
  FencingToken token = 0;
  uint64_t sequence = 0;  // Number of the holder's commit that wrote this row.
  bool released = false;
  // If `released`: the process that should acquire the lease; empty for any.
  MemberId successor;
  // Leases of backend servers that earlier owners granted, or that orders
  // granted which were meant for an earlier incarnation, may last this long
  // after the row was written.
  Duration other_leases_remaining{};
  // The store's clock when the holder sent the row, or somewhat earlier. Zero
  // if the holder did not know it.
  Duration store_clock{};
  // Servers that the holder empties for maintenance or moves. Its successor
  // starts nothing there before it hears from the fleet coordinator.
  std::vector<ServerId> vacating_servers;
};

struct QueueAdmissionRow {
  QueueId queue;
  bool open = false;
  // The configuration that opened or closed the pool for the queue; 0: the pool
  // was never open for it.
  ConfigVersion config_version = 0;
  // If `open`: the other pools that may hold jobs of the queue. None of them is
  // open for it.
  std::vector<PoolId> earlier_pools;

  friend bool operator==(const QueueAdmissionRow&,
                         const QueueAdmissionRow&) = default;
};

struct NodeRow {
  MemberId name;
  std::string address;
  ZoneId zone;
  uint64_t incarnation = 0;
  bool leaving = false;
  uint32_t capacity = 0;  // Processor share in thousandths of a core.
};

enum class HostOperationKind : uint8_t {
  kMaintain = 1,
  kMove = 2,
  kMaintained = 3
};

struct HostOperationRow {
  HostId host;
  HostOperationKind kind = HostOperationKind::kMaintain;
  PoolId pool;        // kMove: the pool that the host moves to.
  uint64_t wave = 0;  // kMaintain and kMaintained.
  ServerId server;    // The backend server that the operation ends.
};

// The decoders return nullopt for bytes that do not encode a valid row.
std::string EncodeJob(const JobSpec& spec);
// Returns whether a row can hold the encoded job.
bool FitsIntoRow(const JobSpec& spec, size_t max_row_bytes);
// Returns the number of bytes that a row can hold if the limit applies to its
// value in base64.
size_t UsableRowBytes(size_t max_row_bytes);
std::optional<JobSpec> DecodeJob(std::string_view bytes);
std::string EncodeProgress(const StoredProgress& progress);
// Encodes the progress in as many rows as are needed so that none is larger
// than `max_row_bytes`. Checkpoints that are longer than kMaxCheckpointBytes
// are left out, and all of them if the rows together would be larger than
// `max_bytes`: the tasks then start from their beginning after the loss of the
// owner.
std::vector<std::string> EncodeProgressRows(StoredProgress progress,
                                            size_t max_row_bytes,
                                            size_t max_bytes);
std::optional<StoredProgress> DecodeProgress(std::string_view bytes);
std::string EncodeLease(const LeaseRow& lease);
std::optional<LeaseRow> DecodeLease(std::string_view bytes);
std::string EncodeQueueAdmission(const QueueAdmissionRow& admission);
std::optional<QueueAdmissionRow> DecodeQueueAdmission(std::string_view bytes);
std::string EncodeQueuePools(std::span<const PoolId> pools);
std::optional<std::vector<PoolId>> DecodeQueuePools(std::string_view bytes);
std::string EncodeNode(const NodeRow& node);
std::optional<NodeRow> DecodeNode(std::string_view bytes);
std::string EncodeHostOperation(const HostOperationRow& operation);
std::optional<HostOperationRow> DecodeHostOperation(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_ROWS_H_
