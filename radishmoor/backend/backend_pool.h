// Connections to the backend servers and health of their hosts, as one entry
// process sees them. Performs no I/O: the caller carries out the returned
// actions and reports their results.
//
//   BackendPool pool(options, seed);
//   pool.SetHost(now, {.host = host, .pool = tomato_desk});
//   for (const BackendAction& action : pool.Acquire(now, {host, request, ...}))
//     ...
//
// An attempt sends one request to one host. It begins with Acquire(), which
// leads to one of:
//
//   StartExchange                    an idle connection is reused
//   OpenConnection                   OnConnectionOpened() then leads to
//                                    StartExchange
//   AcquireFailed                    nothing was written to the server
//
// After StartExchange the attempt ends with OnExchangeFinished(),
// OnConnectionClosed(), OnTimeout() or Abandon().
//
// A connection is silent if it is open but passes no bytes, for example because
// a device on the path has lost its state. While an exchange runs, an
// AttemptSuspect action reports that its connection is probably silent. The
// caller may then retry idempotent work on another connection; the exchange
// itself goes on until the caller ends it.
//
// A request has at most one attempt on one host at a time. Attempts of the same
// request on different hosts are independent.
//
// A host is ejected (takes no requests for its ejection time) when it fails too
// often, cannot be reached or belongs to another pool. Afterwards a probe on a
// new connection decides whether it goes on probation (one request at a time),
// from which successes restore it. A host is throttled (takes no requests for
// up to 16 typical run times) after a failure, a wrong-pool answer, or a
// not-run answer at a limit of 1.

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

// Hash of a request's content, by which a request that fails on several servers
// is recognised when its caller sends it again. 0 if unknown.
using RequestContentHash = uint64_t;

struct BackendOptions {
  // Connections to one host: the share of this entry process in the 64
  // connections that a host accepts.
  int max_connections = 7;
  int max_idle_per_host = 7;
  int max_idle_total = 4096;
  Duration idle_expiry = Seconds(10);
  Duration open_timeout = Milliseconds(250);

  // If false, a time-out closes only the connection on which it occurred and no
  // other connection is probed. Used by measurements for comparison.
  bool detect_silent = true;
  Duration probe_timeout = Milliseconds(50);
  // An idle connection that has received nothing for this long is replaced by a
  // new one for a non-idempotent request, because that request cannot be
  // retried if the connection is silent.
  Duration verify_idle_after = Milliseconds(250);
  // Bounds of the time-out of one attempt, after which it is suspect. The
  // time-out is usually also at most a third of the time left until the
  // deadline, so that two more attempts fit.
  Duration min_attempt_timeout = Milliseconds(40);
  Duration max_attempt_timeout = Seconds(5);
  // The time-out is this multiple of the 95th percentile of the pool's run
  // times.
  double attempt_timeout_factor = 3.0;

  // If true, the number of requests in flight on a host is limited by its
  // not-run answers; otherwise only by `max_connections`.
  bool learn_limit = true;

  // If false, no host is ejected or throttled.
  bool ejection_enabled = true;
  // Failures in a row after which a host is ejected.
  int eject_after_consecutive_failures = 5;
  // A host is ejected if its failure rate exceeds that of the pool's other
  // hosts by this much, once it has `eject_rate_min_samples` exchanges within
  // `rate_window`.
  double eject_rate_margin = 0.3;
  int eject_rate_min_samples = 20;
  Duration rate_window = Seconds(10);
  // At most this share of a pool's hosts is ejected, but always at least one
  // host of a pool with two or more.
  double max_ejected_share = 0.3;
  Duration base_ejection_time = Seconds(1);
  Duration max_ejection_time = Seconds(60);
  // Successes on probation after which a host is restored.
  int restore_after_successes = 3;
  // The ejection time doubles with each ejection. A host that stays healthy for
  // this long starts again at `base_ejection_time`.
  Duration reset_ejections_after = Seconds(60);
  // A poison request is one that fails because of its content. With detection,
  // a request that failed on `poison_after_hosts` different hosts is taken for
  // one, and its failures do not count against the hosts.
  bool detect_poison_requests = true;
  int poison_after_hosts = 2;
  int max_tracked_requests = 1024;
  Duration failed_request_retention = Seconds(60);

  // A host that announced in an answer that it is leaving is probed this often,
  // to find out whether it still is.
  Duration leaving_probe_interval = Seconds(30);
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
  RequestContentHash request_hash = 0;
  bool idempotent = true;
  Time deadline = kTimeMax;
};

enum class ExchangeResult : uint8_t {
  kSuccess,
  // The server answered, but the work failed (5xx).
  kFailure,
  // The server is full: status 503 with `Radishmoor-Run: not-run`.
  kNotRunFull,
  // The server belongs to another pool: status 421.
  kWrongPool,
};

struct FinishedExchange {
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
  // The host is ejected, throttled, or on probation with a request in flight.
  kHostUnavailable,
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
  kPeer = 8,  // The server told another entry process.
};

// Opens a connection. Answered by OnConnectionOpened() or
// OnConnectionOpenFailed().
struct OpenConnection {
  HostId host;
  ConnectionId connection;
};
// Writes the request. The attempt becomes suspect at `suspect_at`, or earlier
// if another connection to the host proves silent meanwhile.
struct StartExchange {
  HostId host;
  ConnectionId connection;
  RequestId request;
  Time suspect_at;
};
// The attempt ended before anything was written to the server.
struct AcquireFailed {
  HostId host;
  RequestId request;
  AcquireError error;
};
// Sends a request that does no work. Answered by OnProbeAnswered().
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
// The values of usable(), limit() and ceiling() of the host have changed.
struct TargetChanged {
  HostId host;
  bool usable;
  int limit;
  int ceiling;
};
struct HostEjected {
  HostId host;
  EjectReason reason;
  Duration ejection_time;
};
struct HostRestored {
  HostId host;
};
struct HostLeaving {
  HostId host;
  LeavingSource source;
};
// A request with this content failed on several different hosts; retrying it is
// pointless.
struct PoisonRequestDetected {
  RequestContentHash request_hash;
};

using BackendAction = std::variant<OpenConnection,
                                   StartExchange,
                                   AcquireFailed,
                                   ProbeConnection,
                                   CloseConnection,
                                   AttemptSuspect,
                                   TargetChanged,
                                   HostEjected,
                                   HostRestored,
                                   HostLeaving,
                                   PoisonRequestDetected>;
using BackendActions = std::vector<BackendAction>;

struct BackendCounters {
  uint64_t open_failures = 0;
  uint64_t probes = 0;
  uint64_t probe_timeouts = 0;
  // Times at which one silent connection made all others of its host suspect.
  uint64_t suspicions = 0;
  uint64_t attempt_timeouts = 0;  // AttemptSuspect actions.
  uint64_t ejections = 0;
  uint64_t ejections_withheld_by_cap = 0;
  uint64_t restored = 0;
  uint64_t poison_requests = 0;
};

class BackendPool {
 public:
  BackendPool(BackendOptions options, uint64_t seed);

  // Adds a host or changes its configuration.
  BackendActions SetHost(Time now, const BackendHost& host);
  // Stops new work on the host and removes it when its last connection is
  // closed.
  BackendActions RemoveHost(Time now, const HostId& host);
  // Reports whether the platform's host list, which may lag, shows the host as
  // leaving.
  BackendActions SetHostListLeaving(Time now, const HostId& host, bool leaving);
  // Reports whether another entry process says that the host is leaving.
  BackendActions SetPeerLeaving(Time now, const HostId& host, bool leaving);

  BackendActions Acquire(Time now, const AcquireRequest& request);

  BackendActions OnConnectionOpened(Time now, ConnectionId connection);
  BackendActions OnConnectionOpenFailed(Time now, ConnectionId connection);
  BackendActions OnExchangeFinished(Time now, const FinishedExchange& exchange);
  BackendActions OnProbeAnswered(Time now,
                                 ConnectionId connection,
                                 bool leaving);
  // The connection was closed by the server or by an error. The exchange on it,
  // if any, has failed.
  BackendActions OnConnectionClosed(Time now, ConnectionId connection);
  // The deadline of the request on this connection passed without an answer.
  BackendActions OnTimeout(Time now, ConnectionId connection);
  // Ends the attempt because its answer is no longer wanted: the request was
  // cancelled or answered by another host. Does not affect the host's health,
  // unless the attempt was suspect.
  BackendActions Abandon(Time now, const HostId& host, RequestId request);

  // Carries out what is due at `now`.
  BackendActions Tick(Time now);
  // Returns the time at which Tick() is due, or kTimeMax if nothing is
  // scheduled.
  Time next_wake() const;

  // Returns whether the host takes new requests. False for unknown hosts.
  bool usable(const HostId& host) const;
  // Returns whether any source, or the given one, says that the host is
  // leaving. False for unknown hosts.
  bool leaving(const HostId& host) const;
  bool leaving(const HostId& host, LeavingSource source) const;
  // Returns the number of requests that this process may have in flight on the
  // host, as learned from its not-run answers: at least 1, at most
  // `max_connections`. 0 for unknown hosts.
  int limit(const HostId& host) const;
  // Returns the upper bound of requests in flight for a process whose slot
  // share allows more than limit(): 1 on probation, limit() while a restored
  // host ramps up, otherwise `max_connections`. 0 for unknown hosts.
  int ceiling(const HostId& host) const;
  // Returns the number of attempts between Acquire() and their end.
  int in_flight(const HostId& host) const;
  // Returns the number of connections that are open or being opened.
  int connections(const HostId& host) const;
  // Returns the number of hosts of the pool that are ejected, being checked or
  // on probation, without those that are leaving.
  int ejected(const PoolId& pool) const;

  const BackendCounters& counters() const { return counters_; }

 private:
  enum class ConnectionState : uint8_t { kOpening, kIdle, kProbing, kBusy };
  enum class HealthState : uint8_t {
    kHealthy,
    kEjected,
    kChecking,   // The ejection time is over; a probe on a new connection runs.
    kProbation,  // The probe was answered; one request at a time is allowed.
  };

  struct Connection {
    HostId host;
    ConnectionState state = ConnectionState::kOpening;
    Time opened_at = kTimeZero;
    // When the server last sent bytes or the connection was opened.
    Time last_received_at = kTimeZero;
    bool suspect = false;  // Probably silent.
    // Opened to probe an ejected or leaving host, not for an attempt.
    bool for_host_check = false;
    // The attempt that waits for this connection or runs on it.
    std::optional<AcquireRequest> attempt;
    // When the opening, the exchange or the probe in progress began.
    Time started_at = kTimeZero;
    Time idle_since = kTimeZero;
    Time suspect_at = kTimeMax;
    bool suspect_reported = false;  // AttemptSuspect was emitted.
    // This exchange causes no early probe any more: the probe was due already,
    // or another connection to the host proved silent.
    bool early_probe_done = false;
    // The deadline of the opening, the exchange or the probe in progress was
    // extended because the process was not running when it passed.
    bool deadline_extended = false;
    Time timer_at = kTimeMax;
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
    // Exchanges by result, decayed exponentially over `rate_window`.
    double successes = 0;
    double failures = 0;
    Time rates_decayed_at = kTimeZero;
    int probation_successes = 0;
    int ejections_since_reset = 0;
    Time restored_at = kTimeZero;
    bool throttled = false;  // After failures or not-run answers.
    Time probation_started_at = kTimeZero;
    Time last_answer_at = kTimeZero;  // To an exchange, not to a probe.
    int consecutive_not_run = 0;

    double learned_limit = 0;
    Time limit_lowered_at = kTimeZero;
    // The host was restored and is not yet known to take full load.
    bool ramping = false;

    Time wake_at = kTimeMax;
    bool reported_usable = false;
    int reported_limit = -1;
    int reported_ceiling = -1;
  };

  // Number of samples after which older run times fade. Attempt time-outs use
  // the 95th percentile, which needs more samples than a median to be steady.
  static constexpr uint32_t kRunTimeFadeSamples = 4096;

  struct Pool {
    std::set<HostId> hosts;
    // Durations of successful exchanges.
    RunTimeHistogram run_times{kRunTimeFadeSamples};
  };

  struct FailedRequest {
    std::vector<HostId> failed_hosts;
    Time last_failed_at = kTimeZero;
    bool is_poison = false;
  };

  Host* Find(const HostId& host);
  const Host* Find(const HostId& host) const;
  Connection* Find(ConnectionId connection);
  bool Usable(const Host& host) const;
  int Limit(const Host& host) const;
  int Ceiling(const Host& host) const;

  void RequestConnection(Time now,
                         const HostId& id,
                         std::optional<AcquireRequest> attempt,
                         bool for_host_check);
  void StartAttempt(Time now, ConnectionId id, Connection& connection);
  void SendProbe(Time now, ConnectionId id, Connection& connection);
  void MakeIdle(Time now, ConnectionId id, Connection& connection);
  void RemoveConnection(ConnectionId id, bool close);
  void CloseIdle(Host& host);
  void FailConnectionOpen(Time now,
                          ConnectionId id,
                          AcquireError error,
                          bool close);
  void EndUnansweredExchange(Time now, ConnectionId id);
  void ResetHost(Time now, const HostId& id, Host& host);
  void FailAttempt(const AcquireRequest& attempt, AcquireError error);
  void EndAttempt(Connection& connection);
  void SuspectOtherConnections(Time now, const HostId& id, ConnectionId cause);
  void OnConnectionTimer(Time now, ConnectionId id);
  void OnProbeTimeout(Time now, ConnectionId id);
  void ReportSuspect(ConnectionId id, Connection& connection);
  Duration AttemptTimeout(Time now, const AcquireRequest& attempt) const;
  Duration EarlyProbeAfter(const PoolId& pool) const;
  Duration TypicalRunTime(const PoolId& pool) const;
  // Extends deadlines that passed while the process was not running.
  void ExtendMissedDeadlines(Time now);
  void SetConnectionTimer(ConnectionId id, Connection& connection, Time at);

  void DecayRates(Time now, Host& host);
  void RecordSuccess(Time now,
                     const HostId& id,
                     RequestContentHash request_hash,
                     Time started_at,
                     bool at_limit);
  void RecordFailure(Time now,
                     const HostId& id,
                     RequestContentHash request_hash,
                     bool unreachable,
                     Time started_at);
  void RecordNotRun(Time now, const HostId& id, Time started_at);
  bool RecordRequestFailure(Time now,
                            const HostId& id,
                            RequestContentHash request_hash);
  void EvictFailedRequests(Time now);
  void ConsiderEjection(Time now, const HostId& id);
  void EjectHost(Time now, const HostId& id, EjectReason reason);
  void RestoreHost(Time now, const HostId& id);
  void Throttle(Time now, const HostId& id, Duration time);
  int UnavailableHosts(const PoolId& pool) const;
  int ThrottleCap(const PoolId& pool) const;
  void ReleaseExcessThrottles(const PoolId& pool);
  int EjectionCap(const PoolId& pool) const;
  void EnforceEjectionCap(Time now, const PoolId& pool);
  void StartHostCheck(Time now, const HostId& id);
  void OnHostCheckFailed(Time now, const HostId& id);
  void OnHostCheckPassed(Time now, const HostId& id);
  void OnHostTimer(Time now, const HostId& id);
  void SetHostTimer(const HostId& id, Host& host, Time at);
  void RaiseLimit(Host& host);

  BackendActions ReportLeaving(Time now,
                               const HostId& id,
                               LeavingSource source,
                               bool leaving);
  void SetLeaving(Time now, const HostId& id, LeavingSource source);
  void ClearLeaving(Time now, const HostId& id, LeavingSource source);
  void ForgetIfUnused(const HostId& id);

  void ReportTarget(const HostId& id);
  BackendActions TakeActions();

  BackendOptions options_;
  Random random_;
  uint64_t next_connection_ = 1;
  std::map<HostId, Host> hosts_;
  std::map<PoolId, Pool> pools_;
  std::map<ConnectionId, Connection> connections_;
  std::map<RequestContentHash, FailedRequest> failed_requests_;
  std::set<std::pair<Time, ConnectionId>> idle_order_;
  std::set<std::pair<Time, ConnectionId>> connection_timers_;
  std::set<std::pair<Time, HostId>> host_timers_;
  BackendActions actions_;
  // Hosts for which TargetChanged may be due.
  std::set<HostId> changed_hosts_;
  BackendCounters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BACKEND_BACKEND_POOL_H_
