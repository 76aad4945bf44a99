// The scheduler's rows in the table service and their encoding.
//
//   jobs/<pool>/<job>      the definition; a short mark once the job has ended
//   progress/<pool>/<job>  state, tasks and runs; written by the pool's owner
//   inbox/<pool>/s:<job>   a stored job that the owner has not taken up yet
//   inbox/<pool>/c:<job>   a cancellation that the owner has not taken up yet
//   owner/<pool>/lease     the pool's owner; every commit of the owner expects
//                          and rewrites it, so that the commits form a chain
//   nodes//<node>          processes of the scheduler
//   duties/<pool>/<host>   calls to the host API that may be under way
//   duties/<pool>/w<wave>:<host>  hosts whose maintenance is done
//
// The middle part of a key names the partition: a transaction stays within one.

#ifndef RADISHMOOR_JOBS_JOB_ROWS_H_
#define RADISHMOOR_JOBS_JOB_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishmoor/jobs/job.h"

namespace radishmoor {

// With an empty id, the key is the prefix of the rows of its kind.
std::string JobKey(const PoolId& pool, const JobId& job);
std::string ProgressKey(const PoolId& pool, const JobId& job);
std::string InboxKey(const PoolId& pool, char kind, const JobId& job);
std::string InboxPrefix(const PoolId& pool);
std::string OwnerLeaseKey(const PoolId& pool);
std::string NodeKey(const MemberId& node);
std::string HostOperationKey(const PoolId& pool, const HostId& host);
// Of a host's maintenance in a wave, once it was carried out.
std::string MaintainedKey(const PoolId& pool,
                          const HostId& host,
                          uint64_t wave);
// The last part of a key.
std::string_view LastKeyPart(std::string_view key);

inline constexpr char kInboxSubmitted = 's';
inline constexpr char kInboxCancelled = 'c';

// The value of a job's row after its end: its definition is no longer needed.
inline constexpr std::string_view kEndedJobTombstone = "ended";

struct StoredRun {
  RunNumber number = 0;
  ServerId server;
};

struct StoredTask {
  uint32_t position = 0;  // Within its occurrence, over all steps.
  bool done = false;
  uint32_t failures = 0;
  RunNumber last_run = 0;
  std::string checkpoint;
  // Started, or about to be, and not known to have ended.
  std::vector<StoredRun> runs;
};

struct StoredOccurrence {
  uint32_t number = 0;
  std::vector<StoredTask> tasks;  // Those that differ from a new task.
};

struct StoredProgress {
  JobState state = JobState::kQueued;
  bool begun = false;
  uint32_t finished_below = 0;  // All earlier occurrences have ended.
  std::vector<StoredOccurrence> occurrences;
};

struct LeaseRow {
  MemberId holder;
  std::string address;  // Of the holder, for messages of other processes.
  FencingToken token = 0;
  uint64_t sequence = 0;  // Of the holder's commits.
  bool released = false;
  MemberId successor;  // With `released`: who should take it.
  // How long after this row was written leases may last that owners before the
  // holder gave to backend servers.
  Duration earlier_leases{};
  // The store's clock when the row was sent, or somewhat earlier; zero if the
  // holder did not know it.
  Duration store_clock{};
};

struct NodeRow {
  MemberId name;
  std::string address;
  ZoneId zone;
  uint64_t incarnation = 0;
  bool leaving = false;
  uint32_t capacity = 0;  // Share of a processor, in thousandths.
};

enum class HostOperationKind : uint8_t {
  kMaintain = 1,
  kMove = 2,
  kMaintained = 3
};

struct HostOperationRow {
  HostId host;
  HostOperationKind kind = HostOperationKind::kMaintain;
  PoolId pool;        // Of a move: where to.
  uint64_t wave = 0;  // Of maintenance.
  ServerId server;    // That ends by the call.
};

// Decoding gives nothing for bytes that are no such row.
std::string EncodeJob(const JobSpec& spec);
std::optional<JobSpec> DecodeJob(std::string_view bytes);
std::string EncodeProgress(const StoredProgress& progress);
std::optional<StoredProgress> DecodeProgress(std::string_view bytes);
std::string EncodeLease(const LeaseRow& lease);
std::optional<LeaseRow> DecodeLease(std::string_view bytes);
std::string EncodeNode(const NodeRow& node);
std::optional<NodeRow> DecodeNode(std::string_view bytes);
std::string EncodeHostOperation(const HostOperationRow& operation);
std::optional<HostOperationRow> DecodeHostOperation(std::string_view bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_JOB_ROWS_H_
