#include "radishmoor/backend/backend_pool.h"

#include <algorithm>
#include <cmath>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// The typical run time that is assumed until a pool has enough samples.
constexpr Duration kDefaultRunTime = Milliseconds(10);
// Number of samples below which the quantiles of run times are not used.
constexpr uint64_t kMinRunTimeSamples = 20;
// Longest time, in typical run times, for which a server that answered not-run
// is throttled. One of its slots has become free by then.
constexpr int kMaxNotRunThrottleRuns = 4;
// Longest time, in typical run times, for which a failure throttles a server.
// It bounds the failures of a server that the ejection cap keeps in the pool.
constexpr int kMaxFailureThrottleRuns = 16;
// No host is throttled once this share of its pool is ejected or throttled,
// because that would lower the capacity left for work that succeeds.
constexpr double kMaxThrottledShare = 0.5;
// An exchange that takes this many times the 95th percentile of run times
// causes a probe on an idle connection to the same host.
constexpr double kEarlyProbeFactor = 1.5;
// If Tick() is called later than the earliest deadline by more than
// kLateTickThreshold, the process was not running in the meantime, and answers
// may have arrived without being read. Deadlines that have passed are then
// extended once by that delay, up to kMaxDeadlineExtension.
constexpr Duration kLateTickThreshold = Milliseconds(5);
constexpr Duration kMaxDeadlineExtension = Milliseconds(500);

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

}  // namespace

BackendPool::BackendPool(BackendOptions options, uint64_t seed)
    : options_(options), random_(seed) {}

BackendPool::Host* BackendPool::Find(const HostId& host) {
  auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second;
}

const BackendPool::Host* BackendPool::Find(const HostId& host) const {
  auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second;
}

BackendPool::Connection* BackendPool::Find(ConnectionId connection) {
  auto it = connections_.find(connection);
  return it == connections_.end() ? nullptr : &it->second;
}

bool BackendPool::Usable(const Host& host) const {
  if (host.leaving != 0 || host.throttled)
    return false;
  return host.health == HealthState::kHealthy ||
         host.health == HealthState::kProbation;
}

int BackendPool::Limit(const Host& host) const {
  if (host.health == HealthState::kProbation)
    return 1;
  if (!options_.learn_limit)
    return options_.max_connections;
  return std::clamp(static_cast<int>(host.learned_limit), 1,
                    options_.max_connections);
}

int BackendPool::Ceiling(const Host& host) const {
  bool limited = host.ramping || host.health == HealthState::kProbation;
  return limited ? Limit(host) : options_.max_connections;
}

bool BackendPool::usable(const HostId& host) const {
  const Host* found = Find(host);
  return found != nullptr && Usable(*found);
}

bool BackendPool::leaving(const HostId& id, LeavingSource source) const {
  const Host* host = Find(id);
  return host != nullptr && (host->leaving & static_cast<uint8_t>(source)) != 0;
}

bool BackendPool::leaving(const HostId& host) const {
  const Host* found = Find(host);
  return found != nullptr && found->leaving != 0;
}

int BackendPool::limit(const HostId& host) const {
  const Host* found = Find(host);
  return found == nullptr ? 0 : Limit(*found);
}

int BackendPool::ceiling(const HostId& host) const {
  const Host* found = Find(host);
  return found == nullptr ? 0 : Ceiling(*found);
}

int BackendPool::in_flight(const HostId& host) const {
  const Host* found = Find(host);
  return found == nullptr ? 0 : found->in_flight;
}

int BackendPool::connections(const HostId& host) const {
  const Host* found = Find(host);
  return found == nullptr ? 0 : static_cast<int>(found->connections.size());
}

int BackendPool::ejected(const PoolId& pool) const {
  auto it = pools_.find(pool);
  if (it == pools_.end())
    return 0;
  int count = 0;
  for (const HostId& id : it->second.hosts) {
    const Host& host = hosts_.at(id);
    if (host.leaving == 0 && host.health != HealthState::kHealthy)
      ++count;
  }
  return count;
}

BackendActions BackendPool::SetHost(Time now, const BackendHost& config) {
  auto [it, added] = hosts_.try_emplace(config.host);
  Host& host = it->second;
  bool returned =
      config.permitted &&
      (host.leaving & static_cast<uint8_t>(LeavingSource::kConfiguration)) != 0;
  if (added || host.pool != config.pool || host.epoch < config.epoch ||
      returned) {
    ResetHost(now, config.host, host);
    PoolId old_pool = std::exchange(host.pool, config.pool);
    host.epoch = config.epoch;
    if (old_pool != host.pool && pools_.contains(old_pool)) {
      pools_[old_pool].hosts.erase(config.host);
      EnforceEjectionCap(now, old_pool);
    }
    pools_[host.pool].hosts.insert(config.host);
  }
  host.removed = false;
  changed_hosts_.insert(config.host);
  if (config.permitted) {
    // A host that the configuration permits again has been drained and may run
    // another server, so only the host list can still show it as leaving.
    if (returned)
      host.leaving &= static_cast<uint8_t>(LeavingSource::kHostList);
  } else {
    SetLeaving(now, config.host, LeavingSource::kConfiguration);
  }
  return TakeActions();
}

void BackendPool::ResetHost(Time now, const HostId& id, Host& host) {
  CloseIdle(host);
  host.health = HealthState::kHealthy;
  host.consecutive_failures = 0;
  host.consecutive_not_run = 0;
  host.successes = 0;
  host.failures = 0;
  host.rates_decayed_at = now;
  host.ejections_since_reset = 0;
  host.throttled = false;
  host.learned_limit = options_.max_connections;
  host.ramping = false;
  host.leaving &=
      static_cast<uint8_t>(~static_cast<uint8_t>(LeavingSource::kServer));
  SetHostTimer(id, host, kTimeMax);
}

BackendActions BackendPool::RemoveHost(Time now, const HostId& id) {
  Host* host = Find(id);
  if (host == nullptr)
    return TakeActions();
  SetLeaving(now, id, LeavingSource::kConfiguration);
  host->removed = true;
  ForgetIfUnused(id);
  return TakeActions();
}

BackendActions BackendPool::SetHostListLeaving(Time now,
                                               const HostId& id,
                                               bool leaving) {
  return ReportLeaving(now, id, LeavingSource::kHostList, leaving);
}

BackendActions BackendPool::SetPeerLeaving(Time now,
                                           const HostId& id,
                                           bool leaving) {
  return ReportLeaving(now, id, LeavingSource::kPeer, leaving);
}

BackendActions BackendPool::ReportLeaving(Time now,
                                          const HostId& id,
                                          LeavingSource source,
                                          bool leaving) {
  if (Find(id) == nullptr)
    return TakeActions();
  if (leaving) {
    SetLeaving(now, id, source);
  } else {
    ClearLeaving(now, id, source);
  }
  return TakeActions();
}

void BackendPool::SetLeaving(Time now, const HostId& id, LeavingSource source) {
  Host& host = hosts_.at(id);
  auto bit = static_cast<uint8_t>(source);
  bool first = host.leaving == 0;
  if (source == LeavingSource::kServer)
    SetHostTimer(id, host, now + options_.leaving_probe_interval);
  host.leaving |= bit;
  changed_hosts_.insert(id);
  if (!first)
    return;
  actions_.emplace_back(HostLeaving{id, source});
  CloseIdle(host);
  EnforceEjectionCap(now, host.pool);
}

void BackendPool::ClearLeaving(Time now,
                               const HostId& id,
                               LeavingSource source) {
  Host& host = hosts_.at(id);
  auto bit = static_cast<uint8_t>(source);
  if ((host.leaving & bit) == 0)
    return;
  host.leaving &= static_cast<uint8_t>(~bit);
  changed_hosts_.insert(id);
  if (host.leaving != 0)
    return;
  // Timers of the health state that fired while the host was leaving had no
  // effect, so an unfinished ejection ends now.
  host.throttled = false;
  if (host.health == HealthState::kEjected ||
      host.health == HealthState::kChecking) {
    host.health = HealthState::kEjected;
    SetHostTimer(id, host, now);
  }
  EnforceEjectionCap(now, host.pool);
}

void BackendPool::ForgetIfUnused(const HostId& id) {
  auto it = hosts_.find(id);
  if (it == hosts_.end() || !it->second.removed ||
      !it->second.connections.empty())
    return;
  // The pool entry is kept even without hosts: the configuration bounds the
  // number of pools, and the run times stay valid when hosts return.
  pools_[it->second.pool].hosts.erase(id);
  SetHostTimer(id, it->second, kTimeMax);
  if (it->second.reported_usable)
    actions_.emplace_back(TargetChanged{id, false, 0, 0});
  hosts_.erase(it);
}

BackendActions BackendPool::Acquire(Time now, const AcquireRequest& request) {
  Host* host = Find(request.host);
  auto refuse = [&](AcquireError error) {
    FailAttempt(request, error);
    return TakeActions();
  };
  if (host == nullptr)
    return refuse(AcquireError::kUnknownHost);
  if (host->leaving != 0)
    return refuse(AcquireError::kLeaving);
  if (!Usable(*host) ||
      (host->health == HealthState::kProbation && host->in_flight > 0))
    return refuse(AcquireError::kHostUnavailable);

  // The most recently used connection is the least likely to be silent, and
  // leaving the others unused lets them reach their idle expiry.
  ConnectionId idle{0};
  ConnectionId replaceable{0};
  for (auto it = host->connections.rbegin(); it != host->connections.rend();
       ++it) {
    const Connection& connection = connections_.at(*it);
    if (connection.state == ConnectionState::kIdle && !connection.suspect) {
      if (idle.value == 0)
        idle = *it;
      replaceable = *it;
    } else if (connection.state == ConnectionState::kProbing &&
               !connection.for_host_check) {
      replaceable = *it;
    }
  }
  if (idle.value != 0) {
    Connection& connection = connections_.at(idle);
    bool verified =
        now - connection.last_received_at <= options_.verify_idle_after;
    if (request.idempotent || verified || !options_.detect_silent) {
      ++host->in_flight;
      connection.attempt = request;
      StartAttempt(now, idle, connection);
      return TakeActions();
    }
    // Opening a connection costs the same round trip as probing this one, but
    // no probe time-out if this one is silent.
    RemoveConnection(idle, true);
  } else if (static_cast<int>(host->connections.size()) >=
             options_.max_connections) {
    if (replaceable.value == 0)
      return refuse(AcquireError::kNoConnection);
    RemoveConnection(replaceable, true);
  }
  RequestConnection(now, request.host, request, false);
  return TakeActions();
}

void BackendPool::RequestConnection(Time now,
                                    const HostId& id,
                                    std::optional<AcquireRequest> attempt,
                                    bool for_host_check) {
  Host& host = hosts_.at(id);
  ConnectionId connection_id{next_connection_++};
  Connection& connection = connections_[connection_id];
  connection.host = id;
  connection.for_host_check = for_host_check;
  connection.attempt = std::move(attempt);
  connection.started_at = now;
  connection.deadline_extended = false;
  if (connection.attempt)
    ++host.in_flight;
  host.connections.push_back(connection_id);
  RADISHMOOR_INVARIANT(
      "backend.connection_limit",
      static_cast<int>(host.connections.size()) <= options_.max_connections);
  SetConnectionTimer(connection_id, connection, now + options_.open_timeout);
  actions_.emplace_back(OpenConnection{id, connection_id});
}

BackendActions BackendPool::OnConnectionOpened(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kOpening)
    return TakeActions();
  connection->opened_at = now;
  connection->last_received_at = now;
  Host& host = hosts_.at(connection->host);
  host.unreachable = false;
  if (connection->for_host_check) {
    SendProbe(now, id, *connection);
    return TakeActions();
  }
  if (!connection->attempt) {
    MakeIdle(now, id, *connection);
    return TakeActions();
  }
  if (host.leaving != 0) {
    AcquireRequest attempt = *connection->attempt;
    EndAttempt(*connection);
    FailAttempt(attempt, AcquireError::kLeaving);
    RemoveConnection(id, true);
    return TakeActions();
  }
  connection->state = ConnectionState::kIdle;
  StartAttempt(now, id, *connection);
  return TakeActions();
}

void BackendPool::StartAttempt(Time now,
                               ConnectionId id,
                               Connection& connection) {
  Host& host = hosts_.at(connection.host);
  RADISHMOOR_INVARIANT("backend.one_exchange_per_connection",
                       connection.state == ConnectionState::kIdle);
  RADISHMOOR_INVARIANT("backend.no_work_on_suspect_connection",
                       !connection.suspect);
  RADISHMOOR_INVARIANT("backend.no_new_work_when_leaving", host.leaving == 0);
  idle_order_.erase({connection.idle_since, id});
  connection.state = ConnectionState::kBusy;
  connection.started_at = now;
  connection.deadline_extended = false;
  connection.suspect_reported = false;
  connection.early_probe_done = false;
  // Keeps the connections ordered by last use, the most recent one last.
  std::erase(host.connections, id);
  host.connections.push_back(id);
  Time suspect_at = now + AttemptTimeout(now, *connection.attempt);
  connection.suspect_at = suspect_at;
  Time early = now + EarlyProbeAfter(host.pool);
  SetConnectionTimer(
      id, connection,
      options_.detect_silent ? std::min(early, suspect_at) : kTimeMax);
  actions_.emplace_back(StartExchange{connection.host, id,
                                      connection.attempt->request, suspect_at});
}

void BackendPool::SendProbe(Time now, ConnectionId id, Connection& connection) {
  idle_order_.erase({connection.idle_since, id});
  connection.state = ConnectionState::kProbing;
  connection.started_at = now;
  connection.deadline_extended = false;
  SetConnectionTimer(id, connection, now + options_.probe_timeout);
  ++counters_.probes;
  actions_.emplace_back(ProbeConnection{connection.host, id});
}

void BackendPool::MakeIdle(Time now, ConnectionId id, Connection& connection) {
  Host& host = hosts_.at(connection.host);
  connection.suspect = false;
  connection.for_host_check = false;
  if (host.leaving != 0) {
    RemoveConnection(id, true);
    return;
  }
  connection.state = ConnectionState::kIdle;
  connection.idle_since = now;
  idle_order_.insert({now, id});
  SetConnectionTimer(id, connection, now + options_.idle_expiry);
  int idle = 0;
  ConnectionId oldest{0};
  for (ConnectionId other : host.connections) {
    if (connections_.at(other).state != ConnectionState::kIdle)
      continue;
    if (idle++ == 0)
      oldest = other;
  }
  if (idle > options_.max_idle_per_host)
    RemoveConnection(oldest, true);
  else if (static_cast<int>(idle_order_.size()) > options_.max_idle_total)
    RemoveConnection(idle_order_.begin()->second, true);
}

void BackendPool::RemoveConnection(ConnectionId id, bool close) {
  auto it = connections_.find(id);
  Connection& connection = it->second;
  HostId host_id = connection.host;
  RADISHMOOR_INVARIANT("backend.attempt_ended_before_removal",
                       !connection.attempt.has_value());
  idle_order_.erase({connection.idle_since, id});
  SetConnectionTimer(id, connection, kTimeMax);
  if (close)
    actions_.emplace_back(CloseConnection{host_id, id});
  connections_.erase(it);
  std::erase(hosts_.at(host_id).connections, id);
  ForgetIfUnused(host_id);
}

void BackendPool::CloseIdle(Host& host) {
  std::vector<ConnectionId> ids = host.connections;
  for (ConnectionId id : ids) {
    const Connection& connection = connections_.at(id);
    if (connection.state == ConnectionState::kIdle ||
        (connection.state == ConnectionState::kProbing &&
         !connection.for_host_check))
      RemoveConnection(id, true);
  }
}

void BackendPool::FailAttempt(const AcquireRequest& attempt,
                              AcquireError error) {
  actions_.emplace_back(AcquireFailed{attempt.host, attempt.request, error});
}

void BackendPool::EndAttempt(Connection& connection) {
  if (!connection.attempt)
    return;
  connection.attempt.reset();
  Host& host = hosts_.at(connection.host);
  --host.in_flight;
  RADISHMOOR_INVARIANT("backend.in_flight_not_negative", host.in_flight >= 0);
  changed_hosts_.insert(connection.host);
}

BackendActions BackendPool::OnConnectionOpenFailed(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kOpening)
    return TakeActions();
  FailConnectionOpen(now, id, AcquireError::kOpenFailed, false);
  return TakeActions();
}

void BackendPool::FailConnectionOpen(Time now,
                                     ConnectionId id,
                                     AcquireError error,
                                     bool close) {
  Connection& connection = connections_.at(id);
  HostId host = connection.host;
  bool for_host_check = connection.for_host_check;
  Time started_at = connection.started_at;
  if (connection.attempt) {
    FailAttempt(*connection.attempt, error);
    EndAttempt(connection);
  }
  RemoveConnection(id, close);
  ++counters_.open_failures;
  if (Find(host) == nullptr)
    return;
  if (for_host_check)
    OnHostCheckFailed(now, host);
  else
    RecordFailure(now, host, 0, true, started_at);
}

BackendActions BackendPool::OnExchangeFinished(
    Time now,
    const FinishedExchange& exchange) {
  Connection* connection = Find(exchange.connection);
  if (connection == nullptr || connection->state != ConnectionState::kBusy)
    return TakeActions();
  HostId id = connection->host;
  Host& host = hosts_.at(id);
  AcquireRequest attempt = *connection->attempt;
  Time started_at = connection->started_at;
  connection->last_received_at = now;
  if (exchange.leaving)
    SetLeaving(now, id, LeavingSource::kServer);
  bool at_limit = host.in_flight >= Limit(host);
  EndAttempt(*connection);
  if (exchange.reusable) {
    MakeIdle(now, exchange.connection, *connection);
  } else {
    // Also deletes a removed host if this was its last connection.
    RemoveConnection(exchange.connection, true);
  }
  if (Find(id) == nullptr)
    return TakeActions();
  host.last_answer_at = now;
  switch (exchange.result) {
    case ExchangeResult::kSuccess:
      pools_[host.pool].run_times.Add(now - started_at);
      RecordSuccess(now, id, attempt.request_hash, started_at, at_limit);
      break;
    case ExchangeResult::kFailure:
      RecordFailure(now, id, attempt.request_hash, false, started_at);
      break;
    case ExchangeResult::kNotRunFull:
      RecordNotRun(now, id, started_at);
      break;
    case ExchangeResult::kWrongPool:
      EjectHost(now, id, EjectReason::kWrongPool);
      // The ejection cap may keep the host in the pool. A wrong-pool answer
      // comes fast, so the host would attract requests if not throttled.
      Throttle(now, id, TypicalRunTime(host.pool) * kMaxFailureThrottleRuns);
      break;
  }
  return TakeActions();
}

BackendActions BackendPool::OnProbeAnswered(Time now,
                                            ConnectionId id,
                                            bool leaving) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kProbing)
    return TakeActions();
  HostId host_id = connection->host;
  bool for_host_check = connection->for_host_check;
  connection->last_received_at = now;
  if (for_host_check && !leaving)
    OnHostCheckPassed(now, host_id);
  MakeIdle(now, id, *connection);
  if (leaving && Find(host_id) != nullptr)
    SetLeaving(now, host_id, LeavingSource::kServer);
  return TakeActions();
}

BackendActions BackendPool::OnConnectionClosed(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return TakeActions();
  if (connection->state == ConnectionState::kOpening) {
    FailConnectionOpen(now, id, AcquireError::kOpenFailed, false);
    return TakeActions();
  }
  HostId host = connection->host;
  bool for_host_check = connection->for_host_check;
  Time started_at = connection->started_at;
  std::optional<AcquireRequest> attempt = connection->attempt;
  EndAttempt(*connection);
  RemoveConnection(id, false);
  if (Find(host) == nullptr)
    return TakeActions();
  if (for_host_check)
    OnHostCheckFailed(now, host);
  else if (attempt)
    RecordFailure(now, host, attempt->request_hash, false, started_at);
  return TakeActions();
}

BackendActions BackendPool::OnTimeout(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kBusy)
    return TakeActions();
  if (!connection->suspect_reported)
    SuspectOtherConnections(now, connection->host, id);
  EndUnansweredExchange(now, id);
  return TakeActions();
}

BackendActions BackendPool::Abandon(Time now,
                                    const HostId& id,
                                    RequestId request) {
  Host* host = Find(id);
  if (host == nullptr)
    return TakeActions();
  for (ConnectionId connection_id : host->connections) {
    Connection& connection = connections_.at(connection_id);
    if (!connection.attempt || connection.attempt->request != request)
      continue;
    if (connection.state == ConnectionState::kOpening) {
      EndAttempt(connection);
    } else if (connection.suspect_reported) {
      EndUnansweredExchange(now, connection_id);
    } else {
      EndAttempt(connection);
      RemoveConnection(connection_id, true);
    }
    break;
  }
  return TakeActions();
}

// Closes a connection whose exchange got no answer. The failure counts against
// the host unless the host answered another exchange meanwhile, in which case
// the connection was silent or the request takes long.
void BackendPool::EndUnansweredExchange(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  HostId host_id = connection.host;
  Time started_at = connection.started_at;
  RequestContentHash request_hash = connection.attempt->request_hash;
  EndAttempt(connection);
  RemoveConnection(id, true);
  Host* host = Find(host_id);
  if (host != nullptr && host->last_answer_at <= started_at)
    RecordFailure(now, host_id, request_hash, false, started_at);
}

Duration BackendPool::AttemptTimeout(Time now,
                                     const AcquireRequest& attempt) const {
  Duration left = attempt.deadline == kTimeMax
                      ? 3 * options_.max_attempt_timeout
                      : std::max(attempt.deadline - now, Duration(1));
  const RunTimeHistogram& run_times =
      pools_.at(hosts_.at(attempt.host).pool).run_times;
  Duration share = std::min(left / 3, options_.max_attempt_timeout);
  if (run_times.samples() < kMinRunTimeSamples)
    return share;
  Duration p95 = run_times.Quantile(0.95);
  Duration timeout =
      std::clamp(Scale(p95, options_.attempt_timeout_factor),
                 options_.min_attempt_timeout, options_.max_attempt_timeout);
  // With a tight deadline, a third of the time left may be shorter than most
  // runs. Suspecting those would only double the load by retries, so the
  // time-out is at least 1.2 times the 95th percentile, or 0.6 of the time left
  // if that is less.
  Duration floor = std::min(Scale(p95, 1.2), Scale(left, 0.6));
  return std::max(std::min(timeout, share), floor);
}

Duration BackendPool::EarlyProbeAfter(const PoolId& pool) const {
  const RunTimeHistogram& run_times = pools_.at(pool).run_times;
  if (run_times.samples() < kMinRunTimeSamples)
    return options_.max_attempt_timeout;
  return std::max(Scale(run_times.Quantile(0.95), kEarlyProbeFactor),
                  options_.min_attempt_timeout / 2);
}

Duration BackendPool::TypicalRunTime(const PoolId& pool) const {
  const RunTimeHistogram& run_times = pools_.at(pool).run_times;
  if (run_times.samples() < kMinRunTimeSamples)
    return kDefaultRunTime;
  return run_times.Quantile(0.5);
}

// Marks the other open connections to the host as suspect, because what made
// `cause` silent may have made them silent as well. Probes the idle ones and
// shortens the time-outs of the busy ones.
void BackendPool::SuspectOtherConnections(Time now,
                                          const HostId& id,
                                          ConnectionId cause) {
  if (!options_.detect_silent)
    return;
  ++counters_.suspicions;
  Host& host = hosts_.at(id);
  std::vector<ConnectionId> ids = host.connections;
  Duration early = EarlyProbeAfter(host.pool);
  for (ConnectionId other : ids) {
    Connection& connection = connections_.at(other);
    if (other == cause || connection.suspect ||
        connection.state == ConnectionState::kOpening)
      continue;
    connection.suspect = true;
    if (connection.state == ConnectionState::kIdle) {
      SendProbe(now, other, connection);
    } else if (connection.state == ConnectionState::kBusy &&
               !connection.suspect_reported) {
      // `cause` is evidence of silence already, so a shorter time-out is
      // enough.
      connection.early_probe_done = true;
      connection.suspect_at = std::max(
          now, std::min(connection.suspect_at, connection.started_at + early));
      SetConnectionTimer(other, connection, connection.suspect_at);
    }
  }
}

void BackendPool::ReportSuspect(ConnectionId id, Connection& connection) {
  connection.suspect_reported = true;
  connection.suspect = true;
  SetConnectionTimer(id, connection, kTimeMax);
  ++counters_.attempt_timeouts;
  actions_.emplace_back(
      AttemptSuspect{connection.host, id, connection.attempt->request});
}

void BackendPool::OnConnectionTimer(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  switch (connection.state) {
    case ConnectionState::kOpening:
      FailConnectionOpen(now, id, AcquireError::kOpenTimedOut, true);
      return;
    case ConnectionState::kIdle:
      RemoveConnection(id, true);
      return;
    case ConnectionState::kProbing:
      OnProbeTimeout(now, id);
      return;
    case ConnectionState::kBusy:
      break;
  }
  if (now >= connection.suspect_at) {
    ReportSuspect(id, connection);
    SuspectOtherConnections(now, connection.host, id);
    return;
  }
  connection.early_probe_done = true;
  SetConnectionTimer(id, connection, connection.suspect_at);
  // The exchange takes long. A probe on an idle connection that existed when it
  // started shows whether connections to the host have become silent.
  for (ConnectionId other : hosts_.at(connection.host).connections) {
    Connection& sibling = connections_.at(other);
    if (sibling.state != ConnectionState::kIdle ||
        sibling.opened_at > connection.started_at)
      continue;
    SendProbe(now, other, sibling);
    return;
  }
}

void BackendPool::OnProbeTimeout(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  HostId host = connection.host;
  bool for_host_check = connection.for_host_check;
  ++counters_.probe_timeouts;
  RemoveConnection(id, true);
  if (Find(host) == nullptr)
    return;
  if (for_host_check)
    OnHostCheckFailed(now, host);
  else
    SuspectOtherConnections(now, host, id);
}

void BackendPool::SetConnectionTimer(ConnectionId id,
                                     Connection& connection,
                                     Time at) {
  if (connection.timer_at != kTimeMax)
    connection_timers_.erase({connection.timer_at, id});
  connection.timer_at = at;
  if (at != kTimeMax)
    connection_timers_.insert({at, id});
}

void BackendPool::DecayRates(Time now, Host& host) {
  double factor = std::exp(-ToSeconds(now - host.rates_decayed_at) /
                           ToSeconds(options_.rate_window));
  host.successes *= factor;
  host.failures *= factor;
  host.rates_decayed_at = now;
}

void BackendPool::RecordSuccess(Time now,
                                const HostId& id,
                                RequestContentHash request_hash,
                                Time started_at,
                                bool at_limit) {
  Host& host = hosts_.at(id);
  failed_requests_.erase(request_hash);
  DecayRates(now, host);
  host.successes += 1;
  host.consecutive_failures = 0;
  host.consecutive_not_run = 0;
  changed_hosts_.insert(id);
  if (host.health == HealthState::kProbation) {
    if (started_at >= host.probation_started_at &&
        ++host.probation_successes >= options_.restore_after_successes)
      RestoreHost(now, id);
    return;
  }
  // A success below the limit is no evidence that the host could take more.
  if (at_limit)
    RaiseLimit(host);
  if (host.ejections_since_reset > 0 &&
      now - host.restored_at >= options_.reset_ejections_after)
    host.ejections_since_reset = 0;
}

void BackendPool::RecordFailure(Time now,
                                const HostId& id,
                                RequestContentHash request_hash,
                                bool unreachable,
                                Time started_at) {
  if (!unreachable && RecordRequestFailure(now, id, request_hash))
    return;
  Host& host = hosts_.at(id);
  host.unreachable = unreachable;
  if (host.health == HealthState::kProbation) {
    if (started_at >= host.probation_started_at)
      EjectHost(now, id, EjectReason::kProbationFailed);
    return;
  }
  if (host.health != HealthState::kHealthy)
    return;
  DecayRates(now, host);
  host.failures += 1;
  ++host.consecutive_failures;
  ConsiderEjection(now, id);
  if (host.health != HealthState::kHealthy)
    return;
  // A server that fails faster than others work is idle more often and would
  // attract more than its share of requests, so a failure occupies the server
  // for at least a typical run time. The time doubles with each failure in a
  // row.
  Duration typical = TypicalRunTime(host.pool);
  int factor = std::min(kMaxFailureThrottleRuns,
                        1 << std::min(host.consecutive_failures - 1, 10));
  Throttle(now, id, typical * factor - (now - started_at));
}

void BackendPool::RecordNotRun(Time now, const HostId& id, Time started_at) {
  Host& host = hosts_.at(id);
  changed_hosts_.insert(id);
  Duration typical = TypicalRunTime(host.pool);
  bool at_minimum = Limit(host) == 1;
  // A server that refuses because it is full is in full use, so the ramp-up
  // after its restoration has ended.
  host.ramping = false;
  // Requests sent before the last decrease were subject to the old limit, so
  // their not-run answers do not lower the limit again.
  if (started_at >= host.limit_lowered_at) {
    double base = std::min<double>(host.learned_limit, host.in_flight + 1);
    host.learned_limit = std::max(1.0, base * 0.7);
    host.limit_lowered_at = now;
  }
  ++host.consecutive_not_run;
  if (!at_minimum)
    return;
  int factor = std::min(kMaxNotRunThrottleRuns,
                        1 << std::min(host.consecutive_not_run - 1, 10));
  Throttle(now, id, typical * factor);
}

void BackendPool::RaiseLimit(Host& host) {
  host.learned_limit = std::min<double>(
      options_.max_connections, host.learned_limit + 1 / host.learned_limit);
  if (host.learned_limit >= options_.max_connections)
    host.ramping = false;
}

// Records that a request with this content failed on the host. Returns whether
// the request rather than the host is at fault. When a request is first found
// at fault, its earlier failures are subtracted from the other hosts.
bool BackendPool::RecordRequestFailure(Time now,
                                       const HostId& id,
                                       RequestContentHash hash) {
  if (hash == 0 || !options_.detect_poison_requests)
    return false;
  if (static_cast<int>(failed_requests_.size()) >=
      options_.max_tracked_requests)
    EvictFailedRequests(now);
  FailedRequest& failed = failed_requests_[hash];
  failed.last_failed_at = now;
  if (std::find(failed.failed_hosts.begin(), failed.failed_hosts.end(), id) ==
      failed.failed_hosts.end())
    failed.failed_hosts.push_back(id);
  if (!failed.is_poison && static_cast<int>(failed.failed_hosts.size()) <
                               options_.poison_after_hosts)
    return false;
  if (!failed.is_poison) {
    failed.is_poison = true;
    ++counters_.poison_requests;
    actions_.emplace_back(PoisonRequestDetected{hash});
    for (const HostId& earlier : failed.failed_hosts) {
      Host* host = earlier == id ? nullptr : Find(earlier);
      if (host == nullptr)
        continue;
      host->failures = std::max(0.0, host->failures - 1);
      host->consecutive_failures = std::max(0, host->consecutive_failures - 1);
    }
  }
  // Bounds the memory: hosts beyond `poison_after_hosts` change nothing.
  failed.failed_hosts.resize(std::min<size_t>(failed.failed_hosts.size(),
                                              options_.poison_after_hosts));
  return true;
}

void BackendPool::EvictFailedRequests(Time now) {
  std::erase_if(failed_requests_, [&](const auto& entry) {
    return now - entry.second.last_failed_at >
           options_.failed_request_retention;
  });
  // If the table is still full, drops the half of the requests that failed
  // least recently, so that the table is not scanned again until as many new
  // ones have failed.
  size_t limit = static_cast<size_t>(options_.max_tracked_requests);
  if (failed_requests_.size() < limit)
    return;
  std::vector<Time> times;
  for (const auto& [hash, failed] : failed_requests_)
    times.push_back(failed.last_failed_at);
  auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  Time cut = *middle;
  std::erase_if(failed_requests_, [&](const auto& entry) {
    return entry.second.last_failed_at <= cut;
  });
}

void BackendPool::ConsiderEjection(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (host.consecutive_failures >= options_.eject_after_consecutive_failures) {
    EjectHost(now, id,
              host.unreachable ? EjectReason::kUnreachable
                               : EjectReason::kConsecutiveFailures);
    return;
  }
  double samples = host.successes + host.failures;
  if (samples < options_.eject_rate_min_samples)
    return;
  double others_failed = 0;
  double others_total = 0;
  for (const HostId& other_id : pools_[host.pool].hosts) {
    if (other_id == id)
      continue;
    Host& other = hosts_.at(other_id);
    if (other.leaving != 0 || other.health != HealthState::kHealthy)
      continue;
    DecayRates(now, other);
    others_failed += other.failures;
    others_total += other.failures + other.successes;
  }
  double pool_rate = others_total > 0 ? others_failed / others_total : 0;
  if (host.failures / samples > pool_rate + options_.eject_rate_margin)
    EjectHost(now, id, EjectReason::kFailureRate);
}

int BackendPool::EjectionCap(const PoolId& pool) const {
  auto it = pools_.find(pool);
  if (it == pools_.end())
    return 0;
  int hosts = 0;
  for (const HostId& id : it->second.hosts)
    hosts += hosts_.at(id).leaving == 0 ? 1 : 0;
  if (hosts < 2)
    return 0;
  return std::clamp(static_cast<int>(hosts * options_.max_ejected_share), 1,
                    hosts - 1);
}

void BackendPool::EjectHost(Time now, const HostId& id, EjectReason reason) {
  Host& host = hosts_.at(id);
  if (!options_.ejection_enabled || host.leaving != 0 ||
      host.health == HealthState::kEjected)
    return;
  if (host.health == HealthState::kHealthy &&
      ejected(host.pool) >= EjectionCap(host.pool)) {
    ++counters_.ejections_withheld_by_cap;
    return;
  }
  int doublings = std::min(host.ejections_since_reset, 16);
  Duration ejection_time =
      std::min(options_.max_ejection_time,
               options_.base_ejection_time * (1 << doublings));
  // Jitter keeps hosts that were ejected together, and the entry processes,
  // from probing at the same time.
  ejection_time = random_.Between(ejection_time, Scale(ejection_time, 1.2));
  ++host.ejections_since_reset;
  host.health = HealthState::kEjected;
  host.throttled = false;
  host.consecutive_failures = 0;
  changed_hosts_.insert(id);
  SetHostTimer(id, host, now + ejection_time);
  RADISHMOOR_INVARIANT("backend.ejection_cap",
                       ejected(host.pool) <= EjectionCap(host.pool));
  ++counters_.ejections;
  actions_.emplace_back(HostEjected{id, reason, ejection_time});
  ReleaseExcessThrottles(host.pool);
}

void BackendPool::RestoreHost(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  host.health = HealthState::kHealthy;
  host.restored_at = now;
  host.successes = 0;
  host.failures = 0;
  host.consecutive_failures = 0;
  // Full load at once would bring down a server that has not fully recovered.
  host.learned_limit = 1;
  host.ramping = true;
  host.throttled = false;
  SetHostTimer(id, host, kTimeMax);
  changed_hosts_.insert(id);
  ++counters_.restored;
  actions_.emplace_back(HostRestored{id});
}

// Restores ejected hosts beyond the cap, those with the fewest ejections first.
// A host that leaves the pool lowers the cap.
void BackendPool::EnforceEjectionCap(Time now, const PoolId& pool) {
  int excess = ejected(pool) - EjectionCap(pool);
  while (excess-- > 0) {
    const HostId* best = nullptr;
    int least = 0;
    for (const HostId& id : pools_[pool].hosts) {
      const Host& host = hosts_.at(id);
      if (host.leaving != 0 || host.health == HealthState::kHealthy)
        continue;
      if (best == nullptr || host.ejections_since_reset < least) {
        best = &id;
        least = host.ejections_since_reset;
      }
    }
    RestoreHost(now, HostId(*best));
  }
  ReleaseExcessThrottles(pool);
  RADISHMOOR_INVARIANT("backend.ejection_cap",
                       ejected(pool) <= EjectionCap(pool));
}

void BackendPool::Throttle(Time now, const HostId& id, Duration time) {
  Host& host = hosts_.at(id);
  if (!options_.ejection_enabled || time <= Duration(0) || host.leaving != 0 ||
      host.health != HealthState::kHealthy)
    return;
  if (!host.throttled && UnavailableHosts(host.pool) >= ThrottleCap(host.pool))
    return;
  host.throttled = true;
  SetHostTimer(id, host, now + time);
  changed_hosts_.insert(id);
}

// Returns the number of hosts that are ejected, on probation or throttled.
int BackendPool::UnavailableHosts(const PoolId& pool) const {
  int count = 0;
  for (const HostId& id : pools_.at(pool).hosts) {
    const Host& host = hosts_.at(id);
    if (host.leaving == 0)
      count += host.throttled || host.health != HealthState::kHealthy ? 1 : 0;
  }
  return count;
}

int BackendPool::ThrottleCap(const PoolId& pool) const {
  int hosts = 0;
  for (const HostId& id : pools_.at(pool).hosts)
    hosts += hosts_.at(id).leaving == 0 ? 1 : 0;
  return static_cast<int>(hosts * kMaxThrottledShare);
}

void BackendPool::ReleaseExcessThrottles(const PoolId& pool) {
  int excess = UnavailableHosts(pool) - ThrottleCap(pool);
  for (const HostId& id : pools_.at(pool).hosts) {
    Host& host = hosts_.at(id);
    if (excess <= 0)
      return;
    if (!host.throttled || host.leaving != 0)
      continue;
    host.throttled = false;
    SetHostTimer(id, host, kTimeMax);
    changed_hosts_.insert(id);
    --excess;
  }
}

void BackendPool::StartHostCheck(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (static_cast<int>(host.connections.size()) >= options_.max_connections) {
    // All connections are in use by earlier attempts.
    SetHostTimer(id, host,
                 now + (host.leaving != 0 ? options_.leaving_probe_interval
                                          : options_.base_ejection_time));
    return;
  }
  RequestConnection(now, id, std::nullopt, true);
}

void BackendPool::OnHostCheckFailed(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (host.leaving != 0) {
    SetHostTimer(id, host, now + options_.leaving_probe_interval);
    return;
  }
  if (host.health == HealthState::kChecking)
    EjectHost(now, id, EjectReason::kUnreachable);
}

void BackendPool::OnHostCheckPassed(Time now, const HostId& id) {
  ClearLeaving(now, id, LeavingSource::kServer);
  Host& host = hosts_.at(id);
  changed_hosts_.insert(id);
  if (host.health == HealthState::kHealthy ||
      host.health == HealthState::kProbation)
    return;
  SetHostTimer(id, host, kTimeMax);
  host.health = HealthState::kProbation;
  host.probation_started_at = now;
  host.probation_successes = 0;
}

void BackendPool::OnHostTimer(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  SetHostTimer(id, host, kTimeMax);
  changed_hosts_.insert(id);
  if (host.leaving != 0) {
    // The server is probed only if no other source says that the host is
    // leaving.
    if (host.leaving == static_cast<uint8_t>(LeavingSource::kServer))
      StartHostCheck(now, id);
    else if ((host.leaving & static_cast<uint8_t>(LeavingSource::kServer)) != 0)
      SetHostTimer(id, host, now + options_.leaving_probe_interval);
    return;
  }
  if (host.health == HealthState::kEjected) {
    host.health = HealthState::kChecking;
    StartHostCheck(now, id);
  } else if (host.health == HealthState::kChecking) {
    StartHostCheck(now, id);
  } else {
    host.throttled = false;
  }
}

void BackendPool::SetHostTimer(const HostId& id, Host& host, Time at) {
  if (host.wake_at != kTimeMax)
    host_timers_.erase({host.wake_at, id});
  host.wake_at = at;
  if (at != kTimeMax)
    host_timers_.insert({at, id});
}

void BackendPool::ExtendMissedDeadlines(Time now) {
  if (connection_timers_.empty())
    return;
  Duration late = now - connection_timers_.begin()->first;
  if (late <= kLateTickThreshold)
    return;
  std::vector<ConnectionId> due;
  for (const auto& [at, id] : connection_timers_) {
    if (at > now)
      break;
    due.push_back(id);
  }
  Time extended = now + std::min(late, kMaxDeadlineExtension);
  for (ConnectionId id : due) {
    Connection& connection = connections_.at(id);
    if (connection.state == ConnectionState::kIdle ||
        std::exchange(connection.deadline_extended, true))
      continue;
    if (connection.suspect_at <= now)
      connection.suspect_at = extended;
    SetConnectionTimer(id, connection, extended);
  }
}

BackendActions BackendPool::Tick(Time now) {
  ExtendMissedDeadlines(now);
  while (!connection_timers_.empty() &&
         connection_timers_.begin()->first <= now) {
    ConnectionId id = connection_timers_.begin()->second;
    SetConnectionTimer(id, connections_.at(id), kTimeMax);
    OnConnectionTimer(now, id);
  }
  while (!host_timers_.empty() && host_timers_.begin()->first <= now) {
    HostId id = host_timers_.begin()->second;
    OnHostTimer(now, id);
  }
  return TakeActions();
}

Time BackendPool::next_wake() const {
  Time wake_at = kTimeMax;
  if (!connection_timers_.empty())
    wake_at = connection_timers_.begin()->first;
  if (!host_timers_.empty())
    wake_at = std::min(wake_at, host_timers_.begin()->first);
  return wake_at;
}

void BackendPool::ReportTarget(const HostId& id) {
  Host* host = Find(id);
  if (host == nullptr)
    return;
  bool usable = Usable(*host);
  int limit = Limit(*host);
  int ceiling = Ceiling(*host);
  if (usable == host->reported_usable && limit == host->reported_limit &&
      ceiling == host->reported_ceiling)
    return;
  host->reported_usable = usable;
  host->reported_limit = limit;
  host->reported_ceiling = ceiling;
  actions_.emplace_back(TargetChanged{id, usable, limit, ceiling});
}

BackendActions BackendPool::TakeActions() {
  for (const HostId& id : changed_hosts_)
    ReportTarget(id);
  changed_hosts_.clear();
  return std::exchange(actions_, {});
}

}  // namespace radishmoor
