// Connections and health of every backend server host, as one entry process
// sees them. Sans-I/O: the caller reports results and carries out the actions.
//
//   BackendPool pool(options, seed);
//   pool.SetHost(now, {.host = host, .pool = tomato_desk});
//   for (const BackendAction& action : pool.Acquire(now, {host, request, ...}))
//
// An attempt goes through these steps:
//
//   Acquire -> StartExchange at once on an idle connection, or
//              OpenConnection, then OnConnectionOpened -> StartExchange, or
//              AcquireFailed (nothing was written).
//   StartExchange -> OnExchangeFinished | OnConnectionClosed | OnTimeout |
//   Abandon.
//
// While an exchange runs, AttemptSuspect may say that its connection is
// probably silent. The caller may then retry idempotent work on another
// connection; the exchange itself goes on until the caller ends it.
//
// A request has at most one attempt on one host at a time; attempts of the same
// request on different hosts are independent.

#ifndef RADISHMOOR_BACKEND_BACKEND_POOL_H_
#define RADISHMOOR_BACKEND_BACKEND_POOL_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/run_time_histogram.h"
#include "radishmoor/base/time.h"

namespace radishmoor {

// Identifies the content of a request, so that a job which fails on several
// servers is recognised when it comes back. 0 means unknown.
using RequestContentHash = uint64_t;

struct BackendOptions {
  // Connections to one host: this process's share of the host's 64.
  int max_connections = 7;
  int max_idle_per_host = 7;
  int max_idle_total = 4096;
  Duration idle_expiry = Seconds(10);
  Duration open_timeout = Milliseconds(250);

  // Detection of silent connections. With `detect_silent` false only the
  // connection that timed out is closed; it exists for measurements.
  bool detect_silent = true;
  Duration probe_timeout = Milliseconds(50);
  // A connection without a sign of life for this long is probed before it
  // takes a non-idempotent request, because that request cannot be retried.
  Duration verify_after = Milliseconds(250);
  // Bounds of the time-out of one attempt. The upper bound is also limited to a
  // third of the time left until the deadline, so that two more attempts fit.
  Duration min_attempt_timeout = Milliseconds(40);
  Duration max_attempt_timeout = Seconds(5);
  double attempt_timeout_factor = 3.0;  // Times the 95th percentile.

  // With `learn_limit` false `max_connections` is the only limit.
  bool learn_limit = true;

  // Health. With `eject` false no host is ever held back.
  bool eject = true;
  int eject_after_consecutive = 5;
  double eject_rate_margin = 0.3;  // Above the rate of the pool's other hosts.
  int eject_rate_min_samples = 20;
  Duration rate_window = Seconds(10);
  double max_ejected_share = 0.3;
  Duration eject_base = Seconds(1);
  Duration eject_max = Seconds(60);
  int restore_after_successes = 3;
  // A host that stays healthy this long starts again at `eject_base`.
  Duration forgive_after = Seconds(60);
  // A job that failed on this many different hosts is at fault itself.
  bool charge_jobs = true;
  int job_fails_on_hosts = 2;
  int max_tracked_jobs = 1024;
  Duration job_memory = Seconds(60);

  // A host that announced in an answer that it is leaving is asked again after
  // this time, by a probe.
  Duration leaving_recheck = Seconds(30);
};

struct BackendHost {
  HostId host;
  PoolId pool;
  // Grows with every pool assignment. A larger epoch resets all state of the
  // host except its connections in use.
  HostEpoch epoch = 0;
  // False while the configuration view does not permit sending.
  bool permitted = true;
};

struct AcquireRequest {
  HostId host;
  RequestId request;
  RequestContentHash job = 0;
  bool idempotent = true;
  Time deadline = kTimeMax;
};

enum class ExchangeResult : uint8_t {
  kSuccess,
  // The server answered, but the work failed (5xx).
  kFailure,
  // 503 with `Radishmoor-Run: not-run`: the server is full.
  kNotRunFull,
  // 421: the server belongs to another pool.
  kWrongPool,
};

struct Exchange {
  ConnectionId connection;
  ExchangeResult result = ExchangeResult::kSuccess;
  // The connection may carry another exchange (complete answer, keep-alive).
  bool reusable = true;
  // The answer carried `Radishmoor-Leaving: 1`.
  bool leaving = false;
};

enum class AcquireError : uint8_t {
  kUnknownHost,
  kLeaving,
  kHeldBack,      // Ejected, on probation with a request, or paced.
  kNoConnection,  // All connections to the host are in use.
  kOpenFailed,
  kOpenTimedOut,
};

enum class EjectReason : uint8_t {
  kConsecutiveFailures,
  kFailureRate,
  kUnreachable,
  kWrongPool,
  kProbationFailed,
};

enum class LeavingSource : uint8_t {
  kConfiguration = 1,
  kHostList = 2,
  kServer = 4,
  kPeer = 8,  // Another entry process was told by the server.
};

// Open a connection and report OnConnectionOpened or OnConnectionOpenFailed.
struct OpenConnection {
  HostId host;
  ConnectionId connection;
};
// Write the request. `suspect_at` is the time-out of the attempt.
struct StartExchange {
  HostId host;
  ConnectionId connection;
  RequestId request;
  Time suspect_at;
};
// The attempt ended before anything was written.
struct AcquireFailed {
  HostId host;
  RequestId request;
  AcquireError error;
};
// Send a request that does no work and report OnProbeAnswered.
struct ProbeConnection {
  HostId host;
  ConnectionId connection;
};
struct CloseConnection {
  HostId host;
  ConnectionId connection;
};
// The attempt exceeded its time-out, or its connection is probably silent.
struct AttemptSuspect {
  HostId host;
  ConnectionId connection;
  RequestId request;
};
// `limit` is learned from not-run answers. `ceiling` holds whatever else allows
// more: 1 on probation, rising after it, otherwise the number of connections.
struct TargetChanged {
  HostId host;
  bool usable;
  int limit;
  int ceiling;
};
struct Ejected {
  HostId host;
  EjectReason reason;
  Duration back_off;
};
struct Restored {
  HostId host;
};
struct Leaving {
  HostId host;
  LeavingSource source;
};
// The job failed on several different hosts; retrying it is pointless.
struct JobCharged {
  RequestContentHash job;
};

using BackendAction = std::variant<OpenConnection,
                                   StartExchange,
                                   AcquireFailed,
                                   ProbeConnection,
                                   CloseConnection,
                                   AttemptSuspect,
                                   TargetChanged,
                                   Ejected,
                                   Restored,
                                   Leaving,
                                   JobCharged>;
using BackendActions = std::vector<BackendAction>;

struct BackendCounters {
  uint64_t open_failures = 0;
  uint64_t probes = 0;
  uint64_t probe_timeouts = 0;
  uint64_t suspicions = 0;
  uint64_t attempt_timeouts = 0;
  uint64_t ejections = 0;
  uint64_t ejections_withheld = 0;
  uint64_t restored = 0;
  uint64_t jobs_charged = 0;
};

class BackendPool {
 public:
  BackendPool(BackendOptions options, uint64_t seed);

  // Adds a host or changes its configuration.
  BackendActions SetHost(Time now, const BackendHost& host);
  // The host takes no new work; it is forgotten with its last exchange.
  BackendActions RemoveHost(Time now, const HostId& host);
  // What the platform's host list says; it may lag.
  BackendActions SetHostListLeaving(Time now, const HostId& host, bool leaving);
  // What another entry process passed on.
  BackendActions SetPeerLeaving(Time now, const HostId& host, bool leaving);

  BackendActions Acquire(Time now, const AcquireRequest& request);

  BackendActions OnConnectionOpened(Time now, ConnectionId connection);
  BackendActions OnConnectionOpenFailed(Time now, ConnectionId connection);
  BackendActions OnExchangeFinished(Time now, const Exchange& exchange);
  BackendActions OnProbeAnswered(Time now,
                                 ConnectionId connection,
                                 bool leaving);
  // Closed by the peer or by an error. An exchange on it has failed.
  BackendActions OnConnectionClosed(Time now, ConnectionId connection);
  // The request's deadline passed without an answer.
  BackendActions OnTimeout(Time now, ConnectionId connection);
  // The caller no longer wants the answer (cancelled, or answered elsewhere).
  // Says nothing about the host.
  BackendActions Abandon(Time now, const HostId& host, RequestId request);

  BackendActions Tick(Time now);
  // kTimeMax when nothing is scheduled.
  Time next_wake() const;

  // False for unknown hosts.
  bool usable(const HostId& host) const;
  bool leaving(const HostId& host) const;
  // Whether this source says so.
  bool leaving(const HostId& host, LeavingSource source) const;
  // Requests that this process may have in flight on the host.
  int limit(const HostId& host) const;
  // Upper bound also for requests that a slot share allows beyond `limit`.
  int ceiling(const HostId& host) const;
  // Attempts between Acquire and their end.
  int in_flight(const HostId& host) const;
  // Connections to the host that are open or being opened.
  int connections(const HostId& host) const;
  int ejected(const PoolId& pool) const;

  const BackendCounters& counters() const { return counters_; }

 private:
  enum class ConnectionState : uint8_t { kOpening, kIdle, kProbing, kBusy };
  enum class HealthState : uint8_t {
    kHealthy,
    kEjected,
    kChecking,  // The back-off is over; a probe on a new connection decides.
    kProbation,
  };

  struct Connection {
    HostId host;
    ConnectionState state = ConnectionState::kOpening;
    Time opened = kTimeZero;
    Time last_alive = kTimeZero;  // Last bytes from the server, or opening.
    bool suspect = false;
    bool check = false;  // Opened to check an ejected or leaving host.
    // The attempt that waits for this connection or runs on it.
    std::optional<AcquireRequest> attempt;
    Time started = kTimeZero;
    Time idle_since = kTimeZero;
    Time suspect_at = kTimeMax;
    bool reported = false;     // AttemptSuspect was emitted.
    bool early_probe = false;  // Siblings were probed for this exchange.
    Time timer = kTimeMax;
  };

  struct Host {
    PoolId pool;
    HostEpoch epoch = 0;
    uint8_t leaving = 0;  // LeavingSource bits.
    bool removed = false;
    std::vector<ConnectionId> connections;  // Least recently used first.
    int in_flight = 0;

    HealthState health = HealthState::kHealthy;
    int consecutive_failures = 0;
    bool unreachable = false;  // The last failure was to open a connection.
    double successes = 0;      // Decayed over `rate_window`.
    double failures = 0;
    Time decayed_at = kTimeZero;
    int probation_successes = 0;
    int back_off = 0;  // Ejections since the host was last forgiven.
    Time restored_at = kTimeZero;
    bool held = false;  // Paced after fast failures or not-run answers.
    Time probation_since = kTimeZero;
    Time last_answer = kTimeZero;  // To an exchange, not to a probe.
    int consecutive_not_run = 0;

    double learned_limit = 0;
    Time limit_lowered = kTimeZero;
    bool ramping = false;  // Restored, and not yet known to take full load.

    Time wake = kTimeMax;
    bool told_usable = false;
    int told_limit = -1;
    int told_ceiling = -1;
  };

  // Attempt time-outs use the 95th percentile, which needs more samples than a
  // median to be steady.
  static constexpr uint32_t kRunTimesFadeAt = 4096;

  struct Pool {
    std::set<HostId> hosts;
    RunTimeHistogram run_times{kRunTimesFadeAt};  // Of successful exchanges.
  };

  struct Job {
    std::vector<HostId> failed_on;
    Time last = kTimeZero;
    bool charged = false;
  };

  Host* Find(const HostId& host);
  const Host* Find(const HostId& host) const;
  Connection* Find(ConnectionId connection);
  bool Usable(const Host& host) const;
  int Limit(const Host& host) const;
  int Ceiling(const Host& host) const;

  // Connections.
  void Open(Time now,
            const HostId& id,
            std::optional<AcquireRequest> attempt,
            bool check);
  void Start(Time now, ConnectionId id, Connection& connection);
  void Probe(Time now, ConnectionId id, Connection& connection);
  void MakeIdle(Time now, ConnectionId id, Connection& connection);
  void Remove(ConnectionId id, bool close);
  void CloseIdle(Host& host);
  void FailOpen(Time now, ConnectionId id, AcquireError error, bool close);
  void EndUnanswered(Time now, ConnectionId id);
  void ResetHost(Time now, const HostId& id, Host& host);
  void FailAttempt(const AcquireRequest& attempt, AcquireError error);
  void EndAttempt(Connection& connection);
  void SuspectOthers(Time now, const HostId& id, ConnectionId cause);
  void OnConnectionTimer(Time now, ConnectionId id);
  void OnProbeTimeout(Time now, ConnectionId id);
  void ReportSuspect(ConnectionId id, Connection& connection);
  Duration AttemptTimeout(Time now, const AcquireRequest& attempt) const;
  Duration EarlyProbeAfter(const PoolId& pool) const;
  Duration TypicalRunTime(const PoolId& pool) const;
  void SetTimer(ConnectionId id, Connection& connection, Time at);

  // Health.
  void Decay(Time now, Host& host);
  void RecordSuccess(Time now,
                     const HostId& id,
                     RequestContentHash job,
                     Time started,
                     bool at_limit);
  void RecordFailure(Time now,
                     const HostId& id,
                     RequestContentHash job,
                     bool unreachable,
                     Time started);
  void RecordNotRun(Time now, const HostId& id, Time started);
  bool ChargeToJob(Time now, const HostId& id, RequestContentHash job);
  void ForgetOldJobs(Time now);
  void ConsiderEjection(Time now, const HostId& id);
  void Eject(Time now, const HostId& id, EjectReason reason);
  void Restore(Time now, const HostId& id);
  void Hold(Time now, const HostId& id, Duration time);
  int HeldBack(const PoolId& pool) const;
  int HoldCap(const PoolId& pool) const;
  void ReleaseExcessHolds(const PoolId& pool);
  int EjectionCap(const PoolId& pool) const;
  void EnforceEjectionCap(Time now, const PoolId& pool);
  void StartCheck(Time now, const HostId& id);
  void CheckFailed(Time now, const HostId& id);
  void CheckPassed(Time now, const HostId& id);
  void OnHostTimer(Time now, const HostId& id);
  void SetWake(const HostId& id, Host& host, Time at);
  void RaiseLimit(Host& host);

  // Leaving.
  BackendActions ReportLeaving(Time now,
                               const HostId& id,
                               LeavingSource source,
                               bool leaving);
  void SetLeaving(Time now, const HostId& id, LeavingSource source);
  void ClearLeaving(Time now, const HostId& id, LeavingSource source);
  void ForgetIfUnused(const HostId& id);

  void TellTarget(const HostId& id);
  BackendActions Take();

  BackendOptions options_;
  Random random_;
  uint64_t next_connection_ = 1;
  std::map<HostId, Host> hosts_;
  std::map<PoolId, Pool> pools_;
  std::map<ConnectionId, Connection> connections_;
  std::map<RequestContentHash, Job> jobs_;
  std::set<std::pair<Time, ConnectionId>> idle_order_;
  std::set<std::pair<Time, ConnectionId>> connection_timers_;
  std::set<std::pair<Time, HostId>> host_timers_;
  BackendActions actions_;
  std::set<HostId> touched_;  // Hosts whose target state may have changed.
  BackendCounters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BACKEND_BACKEND_POOL_H_
