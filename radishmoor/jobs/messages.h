// Requests and messages that the job scheduler sends, and the answers to them:
// orders to backend servers, calls to the platform's host API, messages between
// the scheduler's processes, and answers to callers.
//
// Where it matters, the comment on a message says what happens if it is carried
// out but its answer is lost, and if it is carried out late, for example
// because its sender was suspended between decision and send.

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

// Orders a backend server to start a run. If the order is not answered, the run
// may exist: the owner polls the server for it and stops it. A late order is
// refused if `lease_until` has passed, if the run was stopped before, or if its
// token is too low. A later incarnation of the server knows of no stop, and its
// clock is another one; it refuses the order by its token once it has received
// a later order (JobPoolState::TokenFor()).
struct StartRun {
  TaskId task;
  RunNumber run = 0;
  std::string payload;
  // The order is refused after this time. If it is carried out, all runs on the
  // server keep their lease until then.
  ServerMillis lease_until = 0;
  std::string checkpoint;  // The run resumes from it; empty: none.
  std::string ticket;      // From the placement adviser; empty: none needed.
};

// Orders a backend server to stop a run, or to refuse its start if the run does
// not exist yet. The order is repeated until it is answered. A late one has no
// effect, as the run has been stopped already.
struct StopRun {
  TaskId task;
  RunNumber run = 0;
};

// Polls a backend server: renews the lease of all runs on it, lets it discard
// the ends up to `acknowledged`, and lists running and ended runs. The server
// never shortens a lease, so a late poll has no effect on the incarnation that
// it was meant for. A later one may extend all leases to the longest time and
// discard ends by the numbers of the earlier one, until it has received a later
// order.
struct PollServer {
  ServerMillis lease_until = 0;  // 0: the lease is not changed.
  // Sequence number of the last end that is stored (EndedRun::sequence).
  uint64_t acknowledged = 0;
  // The server may delay the answer this long until a run ends.
  Duration wait{};
};

// Orders a backend server to run a best-effort run at this pace, in percent of
// its full speed. If several orders are in flight, the pace of the one that the
// server carries out last stays in force. A lost or late order leaves another
// pace in force until the owner sends the next one.
struct PaceRun {
  TaskId task;
  RunNumber run = 0;
  uint32_t pace_percent = 100;
};

using ServerOrder = std::variant<StartRun, StopRun, PollServer, PaceRun>;

// An order together with the server that it is sent to. The server refuses it
// if it has seen a higher token.
struct OrderToServer {
  uint64_t tag = 0;
  ServerId server;
  std::string address;
  FencingToken token = 0;
  ServerOrder order;
};

enum class OrderOutcome : uint8_t {
  kDone,
  kFenced,    // The server saw a higher token: another process owns the pool.
  kStaleRun,  // The server already had this run or a later one of the task.
  kTooLate,   // The lease that the order names has expired.
  kNoRoom,
  kBadTicket,
  kRefused,    // The server found the order malformed.
  kUnhealthy,  // The server was overloaded or unavailable; it did nothing.
  kOtherIncarnation,  // Another backend server is at this address.
  kNotSent,           // There was no connection; the server did not get it.
  kUnanswered,        // The order may have been, or may be, carried out.
  // The same, and the connection has ended: the server may have restarted.
  kConnectionLost,
};

// Returns whether the order may have been carried out, or may be later,
// although it was not answered.
constexpr bool IsUnanswered(OrderOutcome outcome) {
  return outcome == OrderOutcome::kUnanswered ||
         outcome == OrderOutcome::kConnectionLost;
}

enum class RunEnd : uint8_t {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangBroken,  // Another member of the gang ended.
  kGangAlone,   // The other members of the gang did not start in time.
};

struct RunningTask {
  TaskId task;
  RunNumber run = 0;
  std::string checkpoint;  // The latest one of the run.
  uint32_t progress_percent = 0;
  // Over the last half second, for a task with a tail limit: the tail of its
  // response times in ms; for any other task: the cores in use, in thousandths.
  int64_t load = 0;
};

struct EndedRun {
  // Numbers the ends of one incarnation of the server.
  uint64_t sequence = 0;
  TaskId task;
  RunNumber run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

struct ServerReply {
  uint64_t tag = 0;
  ServerId server;
  OrderOutcome outcome = OrderOutcome::kUnanswered;
  // Server's clock when it wrote the answer.
  std::optional<ServerMillis> clock;
  std::optional<WallMillis> incarnation_started_at;
  // Only in answers to PollServer. `ended` lists ends that no poll has
  // acknowledged.
  std::vector<RunningTask> running;
  std::vector<EndedRun> ended;
};

// Asks the placement adviser which of `servers` may run the tasks of a step.
// The request is repeated if its answer is lost.
struct PlacementAdviceRequest {
  uint64_t tag = 0;
  JobId job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  std::vector<ServerId> servers;
  // The step has to start by this time for its job to meet its objective.
  Time start_by = kTimeMax;
  // Time that the adviser needs by the pace that the configuration states.
  Duration expected_time{};
  // Time after which the request counts as not answered.
  Duration time_limit{};
};

struct AdmittedServer {
  ServerId server;
  std::string ticket;
};

struct PlacementAdviceReply {
  uint64_t tag = 0;
  bool answered = false;
  std::vector<AdmittedServer> admitted;
  Duration valid{};  // The tickets are valid this long.
  // The adviser has refused the request because too many wait.
  bool refused = false;
};

// Requests the platform's list of backend servers.
struct ListServers {
  uint64_t tag = 0;
};

struct ServersReply {
  uint64_t tag = 0;
  bool answered = false;
  std::vector<ServerListing> servers;
};

// Reads the configuration and the maintenance waves that operators have changed
// after version `after`; waits for a change if there is none.
struct WatchOperatorChanges {
  uint64_t tag = 0;
  RowVersion after = 0;  // 0: read everything.
  Duration wait{};       // Maximum time to wait.
};

struct OperatorChanges {
  uint64_t tag = 0;
  // If false, the next request must read everything: the changes after the
  // requested version are not known.
  bool answered = false;
  // The store answered that it does not have these changes any more.
  bool history_truncated = false;
  RowVersion version = 0;  // The answer contains all changes up to this one.
  std::optional<JobConfig> config;
  std::vector<MaintenanceWave> waves;
};

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

// Requests to the platform's host API.
using HostRequest = std::variant<ListHosts, MoveHost, MaintainHost>;

// A call that moves or maintains a host must reach the platform while its
// sender can hold the fleet lease, since the platform may not check tokens. It
// is not sent at or after `valid_until`, and its connection is reset then, so
// that a call that waits in a send buffer behind a partition is lost. A
// successor makes no call for the host before that time. A call that was
// carried out but not answered is repeated, which has no effect.
struct HostCall {
  uint64_t tag = 0;
  FencingToken token = 0;
  HostRequest request;
  Time valid_until = kTimeMax;
};

enum class HostOutcome : uint8_t {
  kDone,
  kFenced,
  kBusy,       // The host is not up, or its server is leaving.
  kWrongWave,  // The host does not belong to the wave.
  kRefused,
  kThrottled,   // The platform has done nothing because of its call limit.
  kUnanswered,  // The call may have been, or may be, carried out.
};

struct HostReply {
  uint64_t tag = 0;
  HostOutcome outcome = HostOutcome::kUnanswered;
  // The complete list, only in the answer to ListHosts.
  std::vector<HostListing> hosts;
};

// Reports to operators that a wave is in progress or completed. The answer is
// the same as to a store transaction.
struct ReportWave {
  uint64_t tag = 0;
  uint64_t wave = 0;
  bool completed = false;
};

// The types from here to JobPeerMessage are messages between the scheduler's
// processes. All of them may be lost: they are repeated, or the same
// information is read from the store.

struct QueueLoad {
  QueueId queue;
  // Number of jobs in this pool of which no task has started, recurring ones
  // excluded.
  uint32_t pending = 0;
  // Expected time from the arrival of a job to its first start.
  Duration wait{};
  // The configuration since which the pool stores new jobs of the queue without
  // interruption; 0: it does not.
  ConfigVersion open_since = 0;
  // The other pools that may hold jobs of the queue. Complete if `open_since`
  // is set.
  std::vector<PoolId> earlier_pools;
};

// Announces a pool's owner to all scheduler processes; sent periodically. A
// lost or late one is made up for by the next, its list of queues by the next
// complete list. The owner checks what a submission takes from an earlier list
// (JobNotice::admitted_since).
struct OwnerHeartbeat {
  PoolId pool;
  FencingToken token = 0;
  RowVersion lease_version = 0;
  // Time since the last stored renewal of the lease was sent.
  Duration renewed_age{};
  std::vector<QueueLoad> queues;  // Ordered by queue.
  // `queues` holds only what ChangedLoads() returns for the owner's last
  // heartbeat with a complete list.
  bool partial_queues = false;
  bool released = false;  // The owner has released the lease.
  // If `released`: the process that should acquire the lease.
  MemberId successor;
  // The owner has not planned yet, so that the figures below are not known.
  bool figures_missing = false;
  // Cores that the pool's tasks request: those that run, and those that could
  // start now if their job can still meet its objective. Best-effort tasks are
  // excluded.
  double demand_cores = 0;
  // Work of the jobs that arrived recently, divided by the time in which they
  // arrived: the cores that the pool uses when it keeps up with arrivals.
  double offered_cores = 0;
  // Cores that run the ready tasks of jobs that are late within a few seconds;
  // not part of `demand_cores`.
  double backlog_cores = 0;
  // Cores of the servers that `servers` counts.
  double capacity_cores = 0;
  // Servers of the pool that are listed and not draining.
  uint32_t servers = 0;
  // Number of these servers that have not answered lately.
  uint32_t silent_servers = 0;
  // Zones with more silent servers than answering ones.
  std::vector<ZoneId> silent_zones;
  // Number of servers that the long-running tasks need.
  uint32_t min_servers = 0;
  // Servers that can be emptied soon, those with the least work first. Only in
  // the heartbeat to the fleet coordinator.
  std::vector<ServerId> spare_servers;
};

// Passes a job to the pool's owner. If `request` is set, the owner stores the
// job and answers. If the answer is lost, the sender finds out by inserting the
// job into the store. If `request` is 0, the job is in the inbox already and
// the notice only makes the owner accept it sooner.
struct JobNotice {
  PoolId pool;
  JobId job;
  JobSpec spec;
  Duration age{};        // Time since the caller's request arrived.
  uint64_t request = 0;  // Repeated in the answer; 0: no answer is wanted.
  // The QueueLoad::open_since under which the sender has found the job in none
  // of the queue's earlier pools. The owner stores the job only if the pool has
  // been open since then, so that a notice that comes late is not stored in
  // a second pool.
  ConfigVersion admitted_since = 0;
};

// Asks the owner for a job's state or to cancel the job. If a cancellation is
// carried out late, its caller has been told that the outcome is uncertain.
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
  kUnknown,  // The owner does not know the job; it may be in the store.
  // Only to a submission: the owner does not know the job and does not accept
  // it.
  kRefused,
  // Only to a submission: the owner has not stored the job and will not, since
  // the pool has not been open for its queue since JobNotice::admitted_since.
  kNotAdmitted,
};

struct JobAnswer {
  uint64_t request = 0;
  JobAnswerState state = JobAnswerState::kUnknown;
  Duration retry_after{};  // With kRefused.
};

// Asks a pool's owner to empty a server for maintenance or a move, or withdraws
// such a request.
struct VacateRequest {
  PoolId pool;
  ServerId server;
  bool withdraw = false;
};

enum class VacateState : uint8_t {
  kEmptying,
  // The server has no runs, and the owner starts none on it for
  // kVacateRequestLifetime (see pool_scheduler.cc) after this answer.
  kEmpty,
  kUnknownServer,
};

struct VacateAnswer {
  PoolId pool;
  ServerId server;
  VacateState state = VacateState::kEmptying;
  FencingToken token = 0;
};

// Orders that the receiver sends to backend servers on behalf of the sender,
// the owner of the servers' pool. `session` is the incarnation of the sender,
// and the tags are its own. A lost batch leaves its orders unanswered. A batch
// that the receiver handles after `valid_until`, on its own monotonic clock, is
// not sent on: a server that has restarted meanwhile would carry out a start
// that was stopped before. A batch without orders asks for the clock.
struct OrderBatch {
  uint64_t session = 0;
  std::vector<OrderToServer> orders;
  Duration valid_until{};  // Reading of the receiver's clock.
};

// Answers to the orders of one or more batches with the same session. An answer
// to an order that the receiver does not wait for any more has no effect.
struct ReplyBatch {
  uint64_t session = 0;
  std::vector<ServerReply> replies;
  Duration clock{};  // Reading of the sender's monotonic clock.
};

using JobPeerMessage = std::variant<OwnerHeartbeat,
                                    JobNotice,
                                    JobQuery,
                                    JobAnswer,
                                    VacateRequest,
                                    VacateAnswer,
                                    OrderBatch,
                                    ReplyBatch>;

struct SendJobPeer {
  MemberId to;
  std::string address;
  JobPeerMessage message;
};

struct PeerAddress {
  MemberId node;
  std::string address;
};

// The same message to several processes, which is encoded once.
struct BroadcastToPeers {
  std::vector<PeerAddress> to;
  JobPeerMessage message;
};

// Identifies a caller's request within one scheduler process.
using JobCallId = uint64_t;

struct SubmitJob {
  std::string host;
  std::string path;  // Path prefix of the queue and id of the job.
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
  std::optional<Duration> time_limit;  // Absent if the caller set none.
  JobCallRequest request;
};

enum class CallOutcome : uint8_t {
  kAccepted,  // The job is stored, by this or an earlier request.
  kState,     // `state` is the job's state.
  kPending,   // `pending` is the queue's number of pending jobs.
  kCancelled,
  kNoQueue,
  kNoJob,
  kBadJob,
  kOverloaded,   // The job is not accepted and never runs.
  kUnavailable,  // The job is not accepted and never runs.
  kUncertain,    // The job may be stored; a repeated request finds out.
};

struct JobCallAnswer {
  JobCallId id = 0;
  CallOutcome outcome = CallOutcome::kUnavailable;
  JobState state = JobState::kQueued;
  uint32_t pending = 0;
  Duration retry_after{};
  std::string detail;  // Reason of a refusal.
  // The caller should open a new connection, as another process may be able to
  // serve it.
  bool reconnect_elsewhere = false;
};

// A decision that is written to the log: a fixed event name and the inputs of
// the decision.
struct DecisionField {
  std::string_view key;
  std::variant<std::string, int64_t> value;
};

struct Decision {
  std::string_view event;
  std::vector<DecisionField> fields;
};

// Ends the process after it has handed over its pools.
struct EndJobProcess {};

// What one step of the scheduler asks its environment to do; see Outbox.
using JobAction = std::variant<StoreCall,
                               OrderToServer,
                               PlacementAdviceRequest,
                               ListServers,
                               WatchOperatorChanges,
                               HostCall,
                               ReportWave,
                               SendJobPeer,
                               BroadcastToPeers,
                               JobCallAnswer,
                               Decision,
                               EndJobProcess>;

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_MESSAGES_H_
