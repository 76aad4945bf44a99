#include "radishmoor/backend/backend_pool.h"

#include <algorithm>
#include <cmath>

#include "radishmoor/base/invariant.h"

namespace radishmoor {
namespace {

// Stands in for the typical run time until a pool has samples.
constexpr Duration kAssumedRunTime = Milliseconds(10);
// Quantiles of fewer samples than this are not used for time-outs.
constexpr uint64_t kMinSamples = 20;
// A server that is full is asked again after at most this many typical run
// times: one of its slots has become free by then.
constexpr int kMaxNotRunHold = 4;
// A server that fails while ejection is withheld is paced to at most one
// failure per this many typical run times.
constexpr int kMaxFailureHold = 16;
// Pacing never holds back more than this share of a pool, because it would
// then lower the capacity left for work that succeeds.
constexpr double kMaxHeldShare = 0.5;
// An exchange that takes this many times the 95th percentile has its
// connection checked through an idle one of the same host.
constexpr double kEarlyProbeFactor = 1.5;

Duration Scale(Duration d, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(d.count()) * factor));
}

}  // namespace

BackendPool::BackendPool(BackendOptions options, uint64_t seed)
    : options_(options), random_(seed) {}

// ---- Lookup -----------------------------------------------------------------

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
  if (host.leaving != 0 || host.held)
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
  bool weak = host.ramping || host.health == HealthState::kProbation;
  return weak ? Limit(host) : options_.max_connections;
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

// ---- Configuration and leaving ----------------------------------------------

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
  touched_.insert(config.host);
  if (config.permitted) {
    // A host that the configuration admits again has been drained, so what an
    // earlier server said about leaving no longer holds.
    if (returned)
      host.leaving &= static_cast<uint8_t>(LeavingSource::kHostList);
  } else {
    SetLeaving(now, config.host, LeavingSource::kConfiguration);
  }
  return Take();
}

void BackendPool::ResetHost(Time now, const HostId& id, Host& host) {
  CloseIdle(host);
  host.health = HealthState::kHealthy;
  host.consecutive_failures = 0;
  host.consecutive_not_run = 0;
  host.successes = 0;
  host.failures = 0;
  host.decayed_at = now;
  host.back_off = 0;
  host.held = false;
  host.learned_limit = options_.max_connections;
  host.ramping = false;
  host.leaving &=
      static_cast<uint8_t>(~static_cast<uint8_t>(LeavingSource::kServer));
  SetWake(id, host, kTimeMax);
}

BackendActions BackendPool::RemoveHost(Time now, const HostId& id) {
  Host* host = Find(id);
  if (host == nullptr)
    return Take();
  SetLeaving(now, id, LeavingSource::kConfiguration);
  host->removed = true;
  ForgetIfUnused(id);
  return Take();
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
    return Take();
  if (leaving) {
    SetLeaving(now, id, source);
  } else {
    ClearLeaving(now, id, source);
  }
  return Take();
}

void BackendPool::SetLeaving(Time now, const HostId& id, LeavingSource source) {
  Host& host = hosts_.at(id);
  auto bit = static_cast<uint8_t>(source);
  bool first = host.leaving == 0;
  if (source == LeavingSource::kServer)
    SetWake(id, host, now + options_.leaving_recheck);
  host.leaving |= bit;
  touched_.insert(id);
  if (!first)
    return;
  actions_.emplace_back(Leaving{id, source});
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
  touched_.insert(id);
  if (host.leaving != 0)
    return;
  // The timers of the health states may have run out meanwhile.
  host.held = false;
  if (host.health == HealthState::kEjected ||
      host.health == HealthState::kChecking) {
    host.health = HealthState::kEjected;
    SetWake(id, host, now);
  }
  EnforceEjectionCap(now, host.pool);
}

void BackendPool::ForgetIfUnused(const HostId& id) {
  auto it = hosts_.find(id);
  if (it == hosts_.end() || !it->second.removed ||
      !it->second.connections.empty())
    return;
  // Pools stay: their number is bounded by the configuration, and the run
  // times stay valid when hosts come back.
  pools_[it->second.pool].hosts.erase(id);
  SetWake(id, it->second, kTimeMax);
  if (it->second.told_usable)
    actions_.emplace_back(TargetChanged{id, false, 0, 0});
  hosts_.erase(it);
}

// ---- Connections ------------------------------------------------------------

BackendActions BackendPool::Acquire(Time now, const AcquireRequest& request) {
  Host* host = Find(request.host);
  auto refuse = [&](AcquireError error) {
    FailAttempt(request, error);
    return Take();
  };
  if (host == nullptr)
    return refuse(AcquireError::kUnknownHost);
  if (host->leaving != 0)
    return refuse(AcquireError::kLeaving);
  if (!Usable(*host) ||
      (host->health == HealthState::kProbation && host->in_flight > 0))
    return refuse(AcquireError::kHeldBack);

  // The most recently used connection is the least likely to have been
  // forgotten on the way, and the others reach their idle expiry.
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
               !connection.check) {
      replaceable = *it;
    }
  }
  if (idle.value != 0) {
    Connection& connection = connections_.at(idle);
    bool verified = now - connection.last_alive <= options_.verify_after;
    if (request.idempotent || verified || !options_.detect_silent) {
      ++host->in_flight;
      connection.attempt = request;
      Start(now, idle, connection);
      return Take();
    }
    // A new connection costs the same round trip as a probe of this one, and
    // does not add the probe's time-out when this one is silent.
    Remove(idle, true);
  } else if (static_cast<int>(host->connections.size()) >=
             options_.max_connections) {
    if (replaceable.value == 0)
      return refuse(AcquireError::kNoConnection);
    Remove(replaceable, true);
  }
  Open(now, request.host, request, false);
  return Take();
}

void BackendPool::Open(Time now,
                       const HostId& id,
                       std::optional<AcquireRequest> attempt,
                       bool check) {
  Host& host = hosts_.at(id);
  ConnectionId connection_id{next_connection_++};
  Connection& connection = connections_[connection_id];
  connection.host = id;
  connection.check = check;
  connection.attempt = std::move(attempt);
  connection.started = now;
  if (connection.attempt)
    ++host.in_flight;
  host.connections.push_back(connection_id);
  RADISHMOOR_INVARIANT(
      "backend.connection_limit",
      static_cast<int>(host.connections.size()) <= options_.max_connections);
  SetTimer(connection_id, connection, now + options_.open_timeout);
  actions_.emplace_back(OpenConnection{id, connection_id});
}

BackendActions BackendPool::OnConnectionOpened(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kOpening)
    return Take();
  connection->opened = now;
  connection->last_alive = now;
  Host& host = hosts_.at(connection->host);
  host.unreachable = false;
  if (connection->check) {
    Probe(now, id, *connection);
    return Take();
  }
  if (!connection->attempt) {
    MakeIdle(now, id, *connection);
    return Take();
  }
  if (host.leaving != 0) {
    AcquireRequest attempt = *connection->attempt;
    EndAttempt(*connection);
    FailAttempt(attempt, AcquireError::kLeaving);
    Remove(id, true);
    return Take();
  }
  connection->state = ConnectionState::kIdle;
  Start(now, id, *connection);
  return Take();
}

void BackendPool::Start(Time now, ConnectionId id, Connection& connection) {
  Host& host = hosts_.at(connection.host);
  RADISHMOOR_INVARIANT("backend.one_exchange_per_connection",
                       connection.state == ConnectionState::kIdle);
  RADISHMOOR_INVARIANT("backend.no_work_on_suspect_connection",
                       !connection.suspect);
  RADISHMOOR_INVARIANT("backend.no_new_work_when_leaving", host.leaving == 0);
  idle_order_.erase({connection.idle_since, id});
  connection.state = ConnectionState::kBusy;
  connection.started = now;
  connection.reported = false;
  connection.early_probe = false;
  // Used ones move to the end, so that a scan from there meets them first.
  std::erase(host.connections, id);
  host.connections.push_back(id);
  Time suspect_at = now + AttemptTimeout(now, *connection.attempt);
  connection.suspect_at = suspect_at;
  Time early = now + EarlyProbeAfter(host.pool);
  SetTimer(id, connection,
           options_.detect_silent ? std::min(early, suspect_at) : kTimeMax);
  actions_.emplace_back(StartExchange{connection.host, id,
                                      connection.attempt->request, suspect_at});
}

void BackendPool::Probe(Time now, ConnectionId id, Connection& connection) {
  idle_order_.erase({connection.idle_since, id});
  connection.state = ConnectionState::kProbing;
  connection.started = now;
  SetTimer(id, connection, now + options_.probe_timeout);
  ++counters_.probes;
  actions_.emplace_back(ProbeConnection{connection.host, id});
}

void BackendPool::MakeIdle(Time now, ConnectionId id, Connection& connection) {
  Host& host = hosts_.at(connection.host);
  connection.suspect = false;
  connection.check = false;
  if (host.leaving != 0) {
    Remove(id, true);
    return;
  }
  connection.state = ConnectionState::kIdle;
  connection.idle_since = now;
  idle_order_.insert({now, id});
  SetTimer(id, connection, now + options_.idle_expiry);
  int idle = 0;
  ConnectionId oldest{0};
  for (ConnectionId other : host.connections) {
    if (connections_.at(other).state != ConnectionState::kIdle)
      continue;
    if (idle++ == 0)
      oldest = other;
  }
  if (idle > options_.max_idle_per_host)
    Remove(oldest, true);
  else if (static_cast<int>(idle_order_.size()) > options_.max_idle_total)
    Remove(idle_order_.begin()->second, true);
}

void BackendPool::Remove(ConnectionId id, bool close) {
  auto it = connections_.find(id);
  Connection& connection = it->second;
  HostId host_id = connection.host;
  RADISHMOOR_INVARIANT("backend.attempt_ended_before_removal",
                       !connection.attempt.has_value());
  idle_order_.erase({connection.idle_since, id});
  SetTimer(id, connection, kTimeMax);
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
        (connection.state == ConnectionState::kProbing && !connection.check))
      Remove(id, true);
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
  touched_.insert(connection.host);
}

BackendActions BackendPool::OnConnectionOpenFailed(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kOpening)
    return Take();
  FailOpen(now, id, AcquireError::kOpenFailed, false);
  return Take();
}

void BackendPool::FailOpen(Time now,
                           ConnectionId id,
                           AcquireError error,
                           bool close) {
  Connection& connection = connections_.at(id);
  HostId host = connection.host;
  bool check = connection.check;
  Time started = connection.started;
  if (connection.attempt) {
    FailAttempt(*connection.attempt, error);
    EndAttempt(connection);
  }
  Remove(id, close);
  ++counters_.open_failures;
  if (Find(host) == nullptr)
    return;
  if (check)
    CheckFailed(now, host);
  else
    RecordFailure(now, host, 0, true, started);
}

BackendActions BackendPool::OnExchangeFinished(Time now,
                                               const Exchange& exchange) {
  Connection* connection = Find(exchange.connection);
  if (connection == nullptr || connection->state != ConnectionState::kBusy)
    return Take();
  HostId id = connection->host;
  Host& host = hosts_.at(id);
  AcquireRequest attempt = *connection->attempt;
  Time started = connection->started;
  connection->last_alive = now;
  if (exchange.leaving)
    SetLeaving(now, id, LeavingSource::kServer);
  bool at_limit = host.in_flight >= Limit(host);
  EndAttempt(*connection);
  if (exchange.reusable) {
    MakeIdle(now, exchange.connection, *connection);
  } else {
    // The net layer closes it; the host may be forgotten here.
    Remove(exchange.connection, true);
  }
  if (Find(id) == nullptr)
    return Take();
  host.last_answer = now;
  switch (exchange.result) {
    case ExchangeResult::kSuccess:
      pools_[host.pool].run_times.Add(now - started);
      RecordSuccess(now, id, attempt.job, started, at_limit);
      break;
    case ExchangeResult::kFailure:
      RecordFailure(now, id, attempt.job, false, started);
      break;
    case ExchangeResult::kNotRunFull:
      RecordNotRun(now, id, started);
      break;
    case ExchangeResult::kWrongPool:
      Eject(now, id, EjectReason::kWrongPool);
      // Ejection may be withheld; such answers come fast all the same.
      Hold(now, id, TypicalRunTime(host.pool) * kMaxFailureHold);
      break;
  }
  return Take();
}

BackendActions BackendPool::OnProbeAnswered(Time now,
                                            ConnectionId id,
                                            bool leaving) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kProbing)
    return Take();
  HostId host_id = connection->host;
  bool check = connection->check;
  connection->last_alive = now;
  if (check && !leaving)
    CheckPassed(now, host_id);
  MakeIdle(now, id, *connection);
  if (leaving && Find(host_id) != nullptr)
    SetLeaving(now, host_id, LeavingSource::kServer);
  return Take();
}

BackendActions BackendPool::OnConnectionClosed(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr)
    return Take();
  if (connection->state == ConnectionState::kOpening) {
    FailOpen(now, id, AcquireError::kOpenFailed, false);
    return Take();
  }
  HostId host = connection->host;
  bool check = connection->check;
  Time started = connection->started;
  std::optional<AcquireRequest> attempt = connection->attempt;
  EndAttempt(*connection);
  Remove(id, false);
  if (Find(host) == nullptr)
    return Take();
  if (check)
    CheckFailed(now, host);
  else if (attempt)
    RecordFailure(now, host, attempt->job, false, started);
  return Take();
}

BackendActions BackendPool::OnTimeout(Time now, ConnectionId id) {
  Connection* connection = Find(id);
  if (connection == nullptr || connection->state != ConnectionState::kBusy)
    return Take();
  if (!connection->reported)
    SuspectOthers(now, connection->host, id);
  EndUnanswered(now, id);
  return Take();
}

BackendActions BackendPool::Abandon(Time now,
                                    const HostId& id,
                                    RequestId request) {
  Host* host = Find(id);
  if (host == nullptr)
    return Take();
  for (ConnectionId connection_id : host->connections) {
    Connection& connection = connections_.at(connection_id);
    if (!connection.attempt || connection.attempt->request != request)
      continue;
    if (connection.state == ConnectionState::kOpening) {
      EndAttempt(connection);
    } else if (connection.reported) {
      EndUnanswered(now, connection_id);
    } else {
      EndAttempt(connection);
      Remove(connection_id, true);
    }
    break;
  }
  return Take();
}

// Closes a connection whose exchange got no answer. The failure counts against
// the host unless it answered another exchange meanwhile: then the connection
// was silent or the job long.
void BackendPool::EndUnanswered(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  HostId host_id = connection.host;
  Time started = connection.started;
  RequestContentHash job = connection.attempt->job;
  EndAttempt(connection);
  Remove(id, true);
  Host* host = Find(host_id);
  if (host != nullptr && host->last_answer <= started)
    RecordFailure(now, host_id, job, false, started);
}

// ---- Silent connections -----------------------------------------------------

Duration BackendPool::AttemptTimeout(Time now,
                                     const AcquireRequest& attempt) const {
  Duration left = attempt.deadline == kTimeMax
                      ? 3 * options_.max_attempt_timeout
                      : std::max(attempt.deadline - now, Duration(1));
  const RunTimeHistogram& run_times =
      pools_.at(hosts_.at(attempt.host).pool).run_times;
  Duration share = std::min(left / 3, options_.max_attempt_timeout);
  if (run_times.samples() < kMinSamples)
    return share;
  Duration p95 = run_times.Quantile(0.95);
  Duration timeout =
      std::clamp(Scale(p95, options_.attempt_timeout_factor),
                 options_.min_attempt_timeout, options_.max_attempt_timeout);
  // With a tight deadline a third of the rest may be shorter than most runs;
  // suspecting those would only double the load.
  Duration floor = std::min(Scale(p95, 1.2), Scale(left, 0.6));
  return std::max(std::min(timeout, share), floor);
}

Duration BackendPool::EarlyProbeAfter(const PoolId& pool) const {
  const RunTimeHistogram& run_times = pools_.at(pool).run_times;
  if (run_times.samples() < kMinSamples)
    return options_.max_attempt_timeout;
  return std::max(Scale(run_times.Quantile(0.95), kEarlyProbeFactor),
                  options_.min_attempt_timeout / 2);
}

Duration BackendPool::TypicalRunTime(const PoolId& pool) const {
  const RunTimeHistogram& run_times = pools_.at(pool).run_times;
  if (run_times.samples() < kMinSamples)
    return kAssumedRunTime;
  return run_times.Quantile(0.5);
}

// All connections of the host that were opened before now may have been
// forgotten on the way together with `cause`.
void BackendPool::SuspectOthers(Time now,
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
      Probe(now, other, connection);
    } else if (connection.state == ConnectionState::kBusy &&
               !connection.reported) {
      // One sign of silence is known already, so less waiting is needed.
      connection.early_probe = true;
      connection.suspect_at = std::max(
          now, std::min(connection.suspect_at, connection.started + early));
      SetTimer(other, connection, connection.suspect_at);
    }
  }
}

void BackendPool::ReportSuspect(ConnectionId id, Connection& connection) {
  connection.reported = true;
  connection.suspect = true;
  SetTimer(id, connection, kTimeMax);
  ++counters_.attempt_timeouts;
  actions_.emplace_back(
      AttemptSuspect{connection.host, id, connection.attempt->request});
}

void BackendPool::OnConnectionTimer(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  switch (connection.state) {
    case ConnectionState::kOpening:
      FailOpen(now, id, AcquireError::kOpenTimedOut, true);
      return;
    case ConnectionState::kIdle:
      Remove(id, true);
      return;
    case ConnectionState::kProbing:
      OnProbeTimeout(now, id);
      return;
    case ConnectionState::kBusy:
      break;
  }
  if (now >= connection.suspect_at) {
    ReportSuspect(id, connection);
    SuspectOthers(now, connection.host, id);
    return;
  }
  connection.early_probe = true;
  SetTimer(id, connection, connection.suspect_at);
  // The exchange is long; whether its connection is silent shows on an idle
  // one that is at least as old.
  for (ConnectionId other : hosts_.at(connection.host).connections) {
    Connection& sibling = connections_.at(other);
    if (sibling.state != ConnectionState::kIdle ||
        sibling.opened > connection.started)
      continue;
    Probe(now, other, sibling);
    return;
  }
}

void BackendPool::OnProbeTimeout(Time now, ConnectionId id) {
  Connection& connection = connections_.at(id);
  HostId host = connection.host;
  bool check = connection.check;
  ++counters_.probe_timeouts;
  Remove(id, true);
  if (Find(host) == nullptr)
    return;
  if (check)
    CheckFailed(now, host);
  else
    SuspectOthers(now, host, id);
}

void BackendPool::SetTimer(ConnectionId id, Connection& connection, Time at) {
  if (connection.timer != kTimeMax)
    connection_timers_.erase({connection.timer, id});
  connection.timer = at;
  if (at != kTimeMax)
    connection_timers_.insert({at, id});
}

// ---- Health -----------------------------------------------------------------

void BackendPool::Decay(Time now, Host& host) {
  double factor = std::exp(-ToSeconds(now - host.decayed_at) /
                           ToSeconds(options_.rate_window));
  host.successes *= factor;
  host.failures *= factor;
  host.decayed_at = now;
}

void BackendPool::RecordSuccess(Time now,
                                const HostId& id,
                                RequestContentHash job,
                                Time started,
                                bool at_limit) {
  Host& host = hosts_.at(id);
  jobs_.erase(job);
  Decay(now, host);
  host.successes += 1;
  host.consecutive_failures = 0;
  host.consecutive_not_run = 0;
  touched_.insert(id);
  if (host.health == HealthState::kProbation) {
    if (started >= host.probation_since &&
        ++host.probation_successes >= options_.restore_after_successes)
      Restore(now, id);
    return;
  }
  // Growing a limit that does not bind would raise it without evidence.
  if (at_limit)
    RaiseLimit(host);
  if (host.back_off > 0 && now - host.restored_at >= options_.forgive_after)
    host.back_off = 0;
}

void BackendPool::RecordFailure(Time now,
                                const HostId& id,
                                RequestContentHash job,
                                bool unreachable,
                                Time started) {
  if (!unreachable && ChargeToJob(now, id, job))
    return;
  Host& host = hosts_.at(id);
  host.unreachable = unreachable;
  if (host.health == HealthState::kProbation) {
    if (started >= host.probation_since)
      Eject(now, id, EjectReason::kProbationFailed);
    return;
  }
  if (host.health != HealthState::kHealthy)
    return;
  Decay(now, host);
  host.failures += 1;
  ++host.consecutive_failures;
  ConsiderEjection(now, id);
  if (host.health != HealthState::kHealthy)
    return;
  // A server that fails faster than others work would be free more often and
  // take more than its share, so a failure occupies it for a typical run.
  Duration typical = TypicalRunTime(host.pool);
  int factor = std::min(kMaxFailureHold,
                        1 << std::min(host.consecutive_failures - 1, 10));
  Hold(now, id, typical * factor - (now - started));
}

void BackendPool::RecordNotRun(Time now, const HostId& id, Time started) {
  Host& host = hosts_.at(id);
  touched_.insert(id);
  Duration typical = TypicalRunTime(host.pool);
  bool at_least = Limit(host) == 1;
  // It is busy, which a server that is still weak would not be.
  host.ramping = false;
  // Requests sent before the last decrease met the old limit.
  if (started >= host.limit_lowered) {
    double base = std::min<double>(host.learned_limit, host.in_flight + 1);
    host.learned_limit = std::max(1.0, base * 0.7);
    host.limit_lowered = now;
  }
  ++host.consecutive_not_run;
  if (!at_least)
    return;
  int factor =
      std::min(kMaxNotRunHold, 1 << std::min(host.consecutive_not_run - 1, 10));
  Hold(now, id, typical * factor);
}

void BackendPool::RaiseLimit(Host& host) {
  host.learned_limit = std::min<double>(
      options_.max_connections, host.learned_limit + 1 / host.learned_limit);
  if (host.learned_limit >= options_.max_connections)
    host.ramping = false;
}

// Whether the failure belongs to the job. Failures of the job on other hosts
// are then taken off those hosts.
bool BackendPool::ChargeToJob(Time now,
                              const HostId& id,
                              RequestContentHash hash) {
  if (hash == 0 || !options_.charge_jobs)
    return false;
  if (static_cast<int>(jobs_.size()) >= options_.max_tracked_jobs)
    ForgetOldJobs(now);
  Job& job = jobs_[hash];
  job.last = now;
  if (std::find(job.failed_on.begin(), job.failed_on.end(), id) ==
      job.failed_on.end())
    job.failed_on.push_back(id);
  if (!job.charged &&
      static_cast<int>(job.failed_on.size()) < options_.job_fails_on_hosts)
    return false;
  if (!job.charged) {
    job.charged = true;
    ++counters_.jobs_charged;
    actions_.emplace_back(JobCharged{hash});
    for (const HostId& earlier : job.failed_on) {
      Host* host = earlier == id ? nullptr : Find(earlier);
      if (host == nullptr)
        continue;
      host->failures = std::max(0.0, host->failures - 1);
      host->consecutive_failures = std::max(0, host->consecutive_failures - 1);
    }
  }
  // Which hosts it fails on no longer matters.
  job.failed_on.resize(
      std::min<size_t>(job.failed_on.size(), options_.job_fails_on_hosts));
  return true;
}

void BackendPool::ForgetOldJobs(Time now) {
  std::erase_if(jobs_, [&](const auto& entry) {
    return now - entry.second.last > options_.job_memory;
  });
  // Under a flood of failing jobs the least recent half is dropped, so that
  // the scan is paid once per half a table.
  size_t limit = static_cast<size_t>(options_.max_tracked_jobs);
  if (jobs_.size() < limit)
    return;
  std::vector<Time> times;
  for (const auto& [hash, job] : jobs_)
    times.push_back(job.last);
  auto middle = times.begin() + static_cast<ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  Time cut = *middle;
  std::erase_if(jobs_,
                [&](const auto& entry) { return entry.second.last <= cut; });
}

void BackendPool::ConsiderEjection(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (host.consecutive_failures >= options_.eject_after_consecutive) {
    Eject(now, id,
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
    Decay(now, other);
    others_failed += other.failures;
    others_total += other.failures + other.successes;
  }
  double pool_rate = others_total > 0 ? others_failed / others_total : 0;
  if (host.failures / samples > pool_rate + options_.eject_rate_margin)
    Eject(now, id, EjectReason::kFailureRate);
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

void BackendPool::Eject(Time now, const HostId& id, EjectReason reason) {
  Host& host = hosts_.at(id);
  if (!options_.eject || host.leaving != 0 ||
      host.health == HealthState::kEjected)
    return;
  if (host.health == HealthState::kHealthy &&
      ejected(host.pool) >= EjectionCap(host.pool)) {
    ++counters_.ejections_withheld;
    return;
  }
  int doublings = std::min(host.back_off, 16);
  Duration back_off =
      std::min(options_.eject_max, options_.eject_base * (1 << doublings));
  // Jitter keeps the hosts of one failure, and the entry processes, apart.
  back_off = random_.Between(back_off, Scale(back_off, 1.2));
  ++host.back_off;
  host.health = HealthState::kEjected;
  host.held = false;
  host.consecutive_failures = 0;
  touched_.insert(id);
  SetWake(id, host, now + back_off);
  RADISHMOOR_INVARIANT("backend.ejection_cap",
                       ejected(host.pool) <= EjectionCap(host.pool));
  ++counters_.ejections;
  actions_.emplace_back(Ejected{id, reason, back_off});
  ReleaseExcessHolds(host.pool);
}

void BackendPool::Restore(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  host.health = HealthState::kHealthy;
  host.restored_at = now;
  host.successes = 0;
  host.failures = 0;
  host.consecutive_failures = 0;
  // Full load at once would bring a server that is still weak down again.
  host.learned_limit = 1;
  host.ramping = true;
  host.held = false;
  SetWake(id, host, kTimeMax);
  touched_.insert(id);
  ++counters_.restored;
  actions_.emplace_back(Restored{id});
}

// Hosts that leave shrink the pool, so the cap may have become lower than the
// number of ejected hosts.
void BackendPool::EnforceEjectionCap(Time now, const PoolId& pool) {
  int excess = ejected(pool) - EjectionCap(pool);
  while (excess-- > 0) {
    const HostId* best = nullptr;
    int least = 0;
    for (const HostId& id : pools_[pool].hosts) {
      const Host& host = hosts_.at(id);
      if (host.leaving != 0 || host.health == HealthState::kHealthy)
        continue;
      if (best == nullptr || host.back_off < least) {
        best = &id;
        least = host.back_off;
      }
    }
    Restore(now, HostId(*best));
  }
  ReleaseExcessHolds(pool);
  RADISHMOOR_INVARIANT("backend.ejection_cap",
                       ejected(pool) <= EjectionCap(pool));
}

void BackendPool::Hold(Time now, const HostId& id, Duration time) {
  Host& host = hosts_.at(id);
  if (!options_.eject || time <= Duration(0) || host.leaving != 0 ||
      host.health != HealthState::kHealthy)
    return;
  if (!host.held && HeldBack(host.pool) >= HoldCap(host.pool))
    return;
  host.held = true;
  SetWake(id, host, now + time);
  touched_.insert(id);
}

// Hosts that health or pacing keeps from taking work freely.
int BackendPool::HeldBack(const PoolId& pool) const {
  int count = 0;
  for (const HostId& id : pools_.at(pool).hosts) {
    const Host& host = hosts_.at(id);
    if (host.leaving == 0)
      count += host.held || host.health != HealthState::kHealthy ? 1 : 0;
  }
  return count;
}

int BackendPool::HoldCap(const PoolId& pool) const {
  int hosts = 0;
  for (const HostId& id : pools_.at(pool).hosts)
    hosts += hosts_.at(id).leaving == 0 ? 1 : 0;
  return static_cast<int>(hosts * kMaxHeldShare);
}

void BackendPool::ReleaseExcessHolds(const PoolId& pool) {
  int excess = HeldBack(pool) - HoldCap(pool);
  for (const HostId& id : pools_.at(pool).hosts) {
    Host& host = hosts_.at(id);
    if (excess <= 0)
      return;
    if (!host.held || host.leaving != 0)
      continue;
    host.held = false;
    SetWake(id, host, kTimeMax);
    touched_.insert(id);
    --excess;
  }
}

void BackendPool::StartCheck(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (static_cast<int>(host.connections.size()) >= options_.max_connections) {
    // All connections are in use by work from before; look again later.
    SetWake(id, host,
            now + (host.leaving != 0 ? options_.leaving_recheck
                                     : options_.eject_base));
    return;
  }
  Open(now, id, std::nullopt, true);
}

void BackendPool::CheckFailed(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  if (host.leaving != 0) {
    SetWake(id, host, now + options_.leaving_recheck);
    return;
  }
  if (host.health == HealthState::kChecking)
    Eject(now, id, EjectReason::kUnreachable);
}

void BackendPool::CheckPassed(Time now, const HostId& id) {
  ClearLeaving(now, id, LeavingSource::kServer);
  Host& host = hosts_.at(id);
  touched_.insert(id);
  if (host.health == HealthState::kHealthy ||
      host.health == HealthState::kProbation)
    return;
  SetWake(id, host, kTimeMax);
  host.health = HealthState::kProbation;
  host.probation_since = now;
  host.probation_successes = 0;
}

void BackendPool::OnHostTimer(Time now, const HostId& id) {
  Host& host = hosts_.at(id);
  SetWake(id, host, kTimeMax);
  touched_.insert(id);
  if (host.leaving != 0) {
    // While another source says that it leaves, the server's word is not
    // needed.
    if (host.leaving == static_cast<uint8_t>(LeavingSource::kServer))
      StartCheck(now, id);
    else if ((host.leaving & static_cast<uint8_t>(LeavingSource::kServer)) != 0)
      SetWake(id, host, now + options_.leaving_recheck);
    return;
  }
  if (host.health == HealthState::kEjected) {
    host.health = HealthState::kChecking;
    StartCheck(now, id);
  } else if (host.health == HealthState::kChecking) {
    StartCheck(now, id);
  } else {
    host.held = false;
  }
}

void BackendPool::SetWake(const HostId& id, Host& host, Time at) {
  if (host.wake != kTimeMax)
    host_timers_.erase({host.wake, id});
  host.wake = at;
  if (at != kTimeMax)
    host_timers_.insert({at, id});
}

// ---- Timers and results -----------------------------------------------------

BackendActions BackendPool::Tick(Time now) {
  while (!connection_timers_.empty() &&
         connection_timers_.begin()->first <= now) {
    ConnectionId id = connection_timers_.begin()->second;
    SetTimer(id, connections_.at(id), kTimeMax);
    OnConnectionTimer(now, id);
  }
  while (!host_timers_.empty() && host_timers_.begin()->first <= now) {
    HostId id = host_timers_.begin()->second;
    OnHostTimer(now, id);
  }
  return Take();
}

Time BackendPool::next_wake() const {
  Time wake = kTimeMax;
  if (!connection_timers_.empty())
    wake = connection_timers_.begin()->first;
  if (!host_timers_.empty())
    wake = std::min(wake, host_timers_.begin()->first);
  return wake;
}

void BackendPool::TellTarget(const HostId& id) {
  Host* host = Find(id);
  if (host == nullptr)
    return;
  bool usable = Usable(*host);
  int limit = Limit(*host);
  int ceiling = Ceiling(*host);
  if (usable == host->told_usable && limit == host->told_limit &&
      ceiling == host->told_ceiling)
    return;
  host->told_usable = usable;
  host->told_limit = limit;
  host->told_ceiling = ceiling;
  actions_.emplace_back(TargetChanged{id, usable, limit, ceiling});
}

BackendActions BackendPool::Take() {
  for (const HostId& id : touched_)
    TellTarget(id);
  touched_.clear();
  return std::exchange(actions_, {});
}

}  // namespace radishmoor
