// What the job scheduler asks of the outside and what it hears back: orders to
// backend servers, calls to the platform's host API, messages between the
// scheduler's processes, and answers to callers.
//
// For each message the comment says what becomes of it when it is carried out
// without an answer, when it is carried out late, and when its sender was
// suspended between decision and send.

#ifndef RADISHMOOR_JOBS_MESSAGES_H_
#define RADISHMOOR_JOBS_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/jobs/job.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// Orders to a backend server.

// Starts a run. Without an answer the run may exist: it is looked for in the
// server's list and stopped. Late, it is refused after `lease_until`, after the
// stop, or for its token.
struct StartRun {
  TaskId task;
  RunNumber run = 0;
  std::string payload;
  ServerMillis lease_until = 0;  // For everything that runs on the server.
  std::string checkpoint;
  std::string ticket;
};

// Ends a run, or keeps it from starting if it is not there yet. Repeated until
// it is answered; a late one finds nothing to stop.
struct StopRun {
  TaskId task;
  RunNumber run = 0;
};

// Extends the lease of everything on the server, forgets the ends up to
// `acknowledged`, and lists runs and ends. The lease never gets shorter, so a
// late one has no effect. `wait` lets the server hold the answer until a run
// ends.
struct PollServer {
  ServerMillis lease_until = 0;  // 0: the lease stays.
  uint64_t acknowledged = 0;
  Duration wait{};
};

// Sets the share of its speed at which a run works. The latest answer wins; the
// share is compared again at each poll.
struct PaceRun {
  TaskId task;
  RunNumber run = 0;
  uint32_t pace_percent = 100;
};

using ServerOrder = std::variant<StartRun, StopRun, PollServer, PaceRun>;

struct OrderToServer {
  uint64_t tag = 0;
  ServerId server;
  std::string address;
  FencingToken token = 0;
  ServerOrder order;
};

enum class OrderOutcome : uint8_t {
  kDone,
  kFenced,    // A higher token was seen: another process owns the pool.
  kStaleRun,  // The same or a higher run of the task has been there.
  kTooLate,   // The lease that the order names has passed.
  kNoRoom,
  kBadTicket,
  kRefused,           // The order is malformed for the server.
  kUnhealthy,         // The server did nothing.
  kOtherIncarnation,  // Another backend server is at this address.
  kNotSent,           // No connection: the order did not reach the server.
  kUnanswered,        // The order may be carried out, now or later.
};

enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,  // Another member of the gang ended.
  kGangAlone,   // The other members did not come in time.
};

struct RunningTask {
  TaskId task;
  RunNumber run = 0;
  std::string checkpoint;  // Latest.
  uint32_t progress_percent = 0;
  // For a task with a tail limit: the tail of its response times in ms. For any
  // other: the cores in use, in thousandths. Over the last half second.
  int64_t load = 0;
};

struct EndedRun {
  uint64_t sequence = 0;  // Counts the ends of one life of the server.
  TaskId task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

struct ServerReply {
  uint64_t tag = 0;
  ServerId server;
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  std::optional<ServerMillis> clock;  // When the answer was written.
  std::optional<WallMillis> incarnation_started_at;
  // Answers to PollServer.
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

// Asks the placement adviser which servers may run the tasks of a step. A lost
// answer is asked for again.
struct PlacementAdviceRequest {
  uint64_t tag = 0;
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<ServerId> servers;
};

struct AdmittedServer {
  ServerId server;
  std::string ticket;
};

struct PlacementAdviceReply {
  uint64_t tag = 0;
  bool answered = false;
  std::vector<AdmittedServer> admitted;
  Duration valid{};
};

// Reads the platform's list of backend servers.
struct ListServers {
  uint64_t tag = 0;
};

struct ServersReply {
  uint64_t tag = 0;
  bool answered = false;
  std::vector<ServerListing> servers;
};

// Waits for what operators change: the configuration and maintenance waves.
struct WatchOperatorChanges {
  uint64_t tag = 0;
  RowVersion after = 0;  // 0: read all that is there.
  Duration wait{};
};

struct OperatorChanges {
  uint64_t tag = 0;
  // With false the next call must read all: the changes since `after` are not
  // known.
  bool answered = false;
  bool history_truncated =
      false;  // The store answered that it has dropped them.
  RowVersion version = 0;
  std::optional<JobConfig> config;
  std::vector<MaintenanceWave> waves;
};

// Calls to the platform's host API.

enum class ListedHostState : uint8_t { kUp, kMoving, kMaintenance, kDown };

struct HostListing {
  HostId host;
  PoolId pool;
  ListedHostState state = ListedHostState::kUp;
  ZoneId zone;
  std::vector<std::string> labels;
  Resources capacity;
  ServerId server;
};

struct ListHosts {};

struct MoveHost {
  HostId host;
  PoolId pool;
};

struct MaintainHost {
  HostId host;
  uint64_t wave = 0;
};

using HostRequest = std::variant<ListHosts, MoveHost, MaintainHost>;

struct HostCall {
  uint64_t tag = 0;
  FencingToken token = 0;
  HostRequest request;
};

enum class HostOutcome : uint8_t {
  kDone,
  kFenced,
  kBusy,       // Not up, or its server is leaving.
  kWrongWave,  // The host does not belong to the wave.
  kRefused,
  kThrottled,   // Nothing was done.
  kUnanswered,  // May be carried out, now or later.
};

struct HostReply {
  uint64_t tag = 0;
  HostOutcome outcome = HostOutcome::kUnanswered;
  std::vector<HostListing> hosts;  // Answers to ListHosts, all pages.
};

// Tells operators how far a wave is. Answered like a transaction.
struct ReportWave {
  uint64_t tag = 0;
  uint64_t wave = 0;
  bool completed = false;
};

// Messages between the scheduler's processes. All may be lost; what matters is
// repeated or read from the store.

struct QueueLoad {
  QueueId queue;
  uint32_t pending = 0;  // Jobs without times of which no task has started.
  // How long a job that arrives now waits for its first start.
  Duration wait{};
};

// An owner announces itself to all processes.
struct OwnerHeartbeat {
  PoolId pool;
  FencingToken token = 0;
  RowVersion lease_version = 0;
  Duration renewed_age{};  // Since the last renewal was sent.
  std::vector<QueueLoad> queues;
  bool released = false;  // The lease was given up.
  MemberId successor;     // With `released`: who should take it.
  double demand_cores = 0;
  // Work of the jobs that arrived lately, by the time in which they arrived:
  // what the pool uses once it serves all of them.
  double offered_cores = 0;
  double capacity_cores = 0;
  uint32_t servers = 0;  // In use.
  // Of these, without an answer to the last poll.
  uint32_t silent_servers = 0;
  // Zones with more silent servers than answering ones.
  std::vector<ZoneId> silent_zones;
  uint32_t min_servers = 0;  // Long-running tasks need as many.
  // Servers that can be emptied soon, those with the least work first. Only the
  // coordinator is told.
  std::vector<ServerId> spare_servers;
};

// Hands a job to the pool's owner. With a request, the owner stores it and
// answers; a lost answer is found out by inserting the job. Without one, the
// job is stored already and the notice repeats what the inbox says.
struct JobNotice {
  PoolId pool;
  JobId job;
  JobSpec spec;
  Duration age{};  // Since the caller's request arrived.
  uint64_t request = 0;
};

// Asks the owner for a job's state, or to cancel it. Carried out late, it
// cancels a job whose caller was told that the outcome is uncertain.
struct JobQuery {
  uint64_t request = 0;
  PoolId pool;
  JobId job;
  bool cancel = false;
};

enum class JobAnswerState : uint8_t {
  kQueued,
  kInProgress,
  kCompleted,
  kFailed,
  kCancelled,
  kUnknown,  // The owner does not know the job; the store may.
};

struct JobAnswer {
  uint64_t request = 0;
  JobAnswerState state = JobAnswerState::kUnknown;
};

// Asks a pool's owner to empty a server for maintenance or a move.
struct VacateRequest {
  PoolId pool;
  ServerId server;
  bool withdraw = false;
};

enum class VacateState : uint8_t {
  kEmptying,
  // The owner starts nothing there for kVacateRequestLifetime after this
  // answer.
  kEmpty,
  kUnknownServer,
};

struct VacateAnswer {
  PoolId pool;
  ServerId server;
  VacateState state = VacateState::kEmptying;
  FencingToken token = 0;
};

using JobPeerMessage = std::variant<OwnerHeartbeat,
                                    JobNotice,
                                    JobQuery,
                                    JobAnswer,
                                    VacateRequest,
                                    VacateAnswer>;

struct SendJobPeer {
  MemberId to;
  std::string address;
  JobPeerMessage message;
};

// Calls of callers and their answers.

using JobCallId = uint64_t;

struct SubmitJob {
  std::string host;
  std::string path;  // Prefix and job id.
  JobSpec spec;
};

struct ReadJob {
  std::string host;
  std::string path;
};

struct CancelJob {
  std::string host;
  std::string path;
};

using JobCallRequest = std::variant<SubmitJob, ReadJob, CancelJob>;

struct JobCall {
  JobCallId id = 0;
  Time arrived;
  std::optional<Duration> time_limit;  // That the caller gave.
  JobCallRequest request;
};

enum class CallOutcome : uint8_t {
  kAccepted,  // The job is stored; also for a repeat.
  kState,
  kPending,  // Of a queue.
  kCancelled,
  kNoQueue,
  kNoJob,
  kBadJob,
  kOverloaded,   // Not accepted, and it never runs.
  kUnavailable,  // Not accepted, and it never runs.
  kUncertain,    // The job may be stored; a repeat finds out.
};

struct JobCallAnswer {
  JobCallId id = 0;
  CallOutcome outcome = CallOutcome::kUnavailable;
  JobState state = JobState::kQueued;
  uint32_t pending = 0;
  Duration retry_after{};
  std::string detail;  // For a refusal: why.
  // Another process may be able to serve the caller, who should connect anew.
  bool reconnect_elsewhere = false;
};

// A decision for the log: a fixed event name and its inputs.
struct DecisionField {
  std::string_view key;
  std::variant<std::string, int64_t> value;
};

struct Decision {
  std::string_view event;
  std::vector<DecisionField> fields;
};

// The process has handed over and may end.
struct EndJobProcess {};

using JobAction = std::variant<StoreCall,
                               OrderToServer,
                               PlacementAdviceRequest,
                               ListServers,
                               WatchOperatorChanges,
                               HostCall,
                               ReportWave,
                               SendJobPeer,
                               JobCallAnswer,
                               Decision,
                               EndJobProcess>;

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_MESSAGES_H_
