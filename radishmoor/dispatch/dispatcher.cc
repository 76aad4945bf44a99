#include "radishmoor/dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

#include "radishmoor/base/invariant.h"

namespace radishmoor::dispatch {
namespace {

// Bounds the memory for the run times of one pool's operations. Further
// operations share one record.
constexpr size_t kMaxOperations = 256;
// With fewer samples of an operation, the run times of its pool are the better
// estimate.
constexpr uint64_t kMinOperationSamples = 16;
// Failures are recorded for at most this many request contents, which bounds
// the memory. A record counts until this long after its last failure.
constexpr size_t kMaxFailureRecords = 4096;
constexpr Duration kFailureRecordLifetime = Seconds(60);
constexpr Duration kMinRetryAfter = Milliseconds(100);
// Maximum of a pool's restart budget, in long-run thresholds per slot. A fixed
// maximum of 64 thresholds cost a pool of 10 slots 7% of its goodput in a peak
// of 5 s.
constexpr double kRestartBudgetPerSlot = 0.8;
constexpr int kMinRestartBudgetSlots = 5;
// A host that goes on with an aborted run may have no slot for the next request
// and then answers not-run. If it does so within kAbortEffectWindow of an
// abort, aborts for restarts are futile, and the pool makes none for
// kRestartPause.
constexpr Duration kRestartPause = Seconds(60);
constexpr Duration kAbortEffectWindow = Seconds(5);
// Number of completed runs after which a pool's long-run threshold is updated.
constexpr uint64_t kThresholdRefreshSamples = 32;

bool Contains(const std::vector<HostId>& hosts, const HostId& host) {
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

void AddUnique(std::vector<HostId>& hosts, const HostId& host) {
  if (!Contains(hosts, host)) {
    hosts.push_back(host);
  }
}

Duration Scale(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::string_view ReasonCode(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "";
    case Reason::kQueueFull:
      return "queue-full";
    case Reason::kTooLate:
      return "too-late";
    case Reason::kNoBackend:
      return "no-backend";
    case Reason::kShuttingDown:
      return "shutting-down";
    case Reason::kUnknownService:
      return "unknown-service";
    case Reason::kDeadline:
      return "deadline";
    case Reason::kBackendFailed:
    case Reason::kPoisonRequest:
      return "backend-failed";
    case Reason::kCancelled:
      return "cancelled";
  }
  return "";
}

size_t Dispatcher::Pool::waiting() const {
  return list(RequestPhase::kShortQueue).size() +
         list(RequestPhase::kLongQueue).size() +
         list(RequestPhase::kBackoff).size();
}

size_t Dispatcher::Pool::in_flight() const {
  return list(RequestPhase::kInFlightShort).size() +
         list(RequestPhase::kInFlightRestartable).size() +
         list(RequestPhase::kInFlightLong).size();
}

Duration Dispatcher::Pool::QueueTime(size_t ahead) const {
  return capacity == 0
             ? Duration(0)
             : Scale(run_times.mean(), static_cast<double>(ahead) / capacity);
}

void Dispatcher::Pool::RecomputeCapacity() {
  capacity = 0;
  free = 0;
  for (const auto& [host, target] : targets) {
    capacity += target.usable ? target.limit : 0;
    free += target.free();
  }
}

Dispatcher::Dispatcher(DispatchOptions options)
    : options_(options),
      random_(options.seed),
      retry_tokens_(options.retry_burst) {}

std::vector<Action> Dispatcher::Handle(Time now, const Message& message) {
  now_ = std::max(now_, now);
  // The message is handled before the timers, so that a result that has arrived
  // takes precedence over a deadline that is due in the same call.
  std::visit([this](const auto& m) { On(m); }, message);
  RunTimers();
  SchedulePools();
  PruneTimers();
  RADISHMOOR_INVARIANT(
      "dispatch.conservation",
      counters_.accepted == std::accumulate(counters_.outcomes.begin(),
                                            counters_.outcomes.end(),
                                            uint64_t{0}) +
                                requests_.size());
  return std::exchange(actions_, {});
}

Time Dispatcher::next_wake() const {
  Time wake = timers_.empty() ? kTimeMax : timers_.front().at;
  return drain_deadline_ && !requests_.empty()
             ? std::min(wake, *drain_deadline_)
             : wake;
}

size_t Dispatcher::waiting(const PoolId& pool) const {
  auto it = pools_.find(pool);
  return it == pools_.end() ? 0 : it->second.waiting();
}

int Dispatcher::in_flight(const HostId& host) const {
  int total = 0;
  for (const auto& [id, pool] : pools_) {
    auto it = pool.targets.find(host);
    total += it == pool.targets.end() ? 0 : it->second.in_flight;
  }
  return total;
}

size_t Dispatcher::demand(const PoolId& pool) const {
  auto it = pools_.find(pool);
  return it == pools_.end() ? 0 : it->second.waiting() + it->second.in_flight();
}

void Dispatcher::On(const PoolUpdated& message) {
  Pool& pool = pools_[message.pool];
  pool.id = message.pool;
  pool.queue_limit = message.queue_limit;
  pool.closed = message.closed;
  pool.removed = false;
  MarkForScheduling(pool);
}

void Dispatcher::On(const PoolRemoved& message) {
  auto it = pools_.find(message.pool);
  if (it == pools_.end()) {
    return;
  }
  Pool& pool = it->second;
  pool.removed = true;
  std::erase_if(pool.targets,
                [](const auto& entry) { return entry.second.in_flight == 0; });
  for (auto& [host, target] : pool.targets) {
    target.removed = true;
    target.usable = false;
  }
  pool.RecomputeCapacity();
  RefuseWaiting(pool, Reason::kShuttingDown);
  MarkForScheduling(pool);
}

void Dispatcher::On(const TargetUpdated& message) {
  auto it = pools_.find(message.pool);
  if (it == pools_.end() || it->second.removed) {
    return;
  }
  Pool& pool = it->second;
  Target& target = pool.targets[message.host];
  target.host = message.host;
  target.usable = message.usable;
  target.local_zone = message.local_zone;
  target.leaving_soon = message.leaving_soon;
  target.limit = message.limit;
  target.removed = false;
  pool.RecomputeCapacity();
  MarkForScheduling(pool);
}

void Dispatcher::On(const TargetRemoved& message) {
  auto it = pools_.find(message.pool);
  if (it == pools_.end()) {
    return;
  }
  Pool& pool = it->second;
  auto target = pool.targets.find(message.host);
  if (target == pool.targets.end()) {
    return;
  }
  if (target->second.in_flight == 0) {
    pool.targets.erase(target);
  } else {
    target->second.removed = true;
    target->second.usable = false;
  }
  pool.RecomputeCapacity();
}

void Dispatcher::On(const RequestArrived& message) {
  if (requests_.contains(message.request)) {
    ++counters_.duplicate_arrivals;
    return;
  }
  ++counters_.accepted;
  auto it = pools_.find(message.pool);
  if (drain_deadline_) {
    RefuseUnqueued(message.request, Reason::kShuttingDown);
    return;
  }
  if (it == pools_.end()) {
    RefuseUnqueued(message.request, Reason::kUnknownService);
    return;
  }
  Pool& pool = it->second;
  MarkLongAttempts(pool);
  RequestList& queue = pool.list(RequestPhase::kShortQueue);
  Request& request = queue.emplace_back();
  requests_.emplace(message.request, std::prev(queue.end()));
  request.id = message.request;
  request.pool = &pool;
  request.operation = &FindOperation(pool, message.operation);
  request.idempotent = message.idempotent;
  request.content_hash = message.content_hash;
  request.arrived = now_;
  request.deadline = message.deadline;
  request.start_by =
      now_ + Scale(message.deadline - now_, options_.max_start_delay_share);
  request.long_class =
      ClassifiesLong(options_.policy, pool.run_times, *request.operation);
  if (std::optional<Reason> reason = AdmissionRefusal(pool, request)) {
    Refuse(request, *reason);
    return;
  }
  Enqueue(request);
  MarkForScheduling(pool);
}

void Dispatcher::On(const RequestCancelled& message) {
  auto it = requests_.find(message.request);
  if (it == requests_.end()) {
    ++counters_.unknown_cancellations;
    return;
  }
  FinishRequest(*it->second, Outcome::kCancelled, Reason::kCancelled);
}

void Dispatcher::On(const AttemptResult& message) {
  auto it = requests_.find(message.request);
  if (it == requests_.end() || it->second->target == nullptr ||
      it->second->attempts != message.attempt ||
      it->second->target->host != message.host) {
    ++counters_.stale_results;
    return;
  }
  Request& request = *it->second;
  MarkForScheduling(*request.pool);
  if (message.outcome == AttemptOutcome::kCompleted) {
    Complete(request);
  } else {
    HandleFailure(request, message);
  }
}

void Dispatcher::On(const Tick&) {}

void Dispatcher::On(const DrainStarted& message) {
  drain_deadline_ =
      std::min(drain_deadline_.value_or(kTimeMax), message.grace_deadline);
}

std::optional<Reason> Dispatcher::AdmissionRefusal(
    const Pool& pool,
    const Request& request) const {
  if (pool.closed || pool.removed) {
    return Reason::kShuttingDown;
  }
  if (request.deadline <= now_) {
    return Reason::kDeadline;
  }
  // A free slot is used even if the expected run time exceeds the time to the
  // deadline. Otherwise a slow pool would get no requests, and its run times
  // would never be seen to improve.
  if (pool.free > 0) {
    return std::nullopt;
  }
  const RunTimeHistogram& run_times =
      request.operation->run_times.samples() < kMinOperationSamples
          ? pool.run_times
          : request.operation->run_times;
  Time latest_start =
      std::min(request.start_by, request.deadline - run_times.Quantile(0.5));
  // waiting() counts the request itself, hence `>`.
  if (pool.waiting() > pool.queue_limit) {
    return Reason::kQueueFull;
  }
  size_t ahead = request.long_class
                     ? pool.waiting()
                     : pool.list(RequestPhase::kShortQueue).size();
  // Half of the time to the latest start is a margin for estimation errors.
  Duration queue_time =
      std::min((latest_start - now_) / 2,
               std::max(options_.max_queue_time, pool.run_times.mean()));
  if (pool.QueueTime(ahead) > queue_time) {
    return Reason::kTooLate;
  }
  return std::nullopt;
}

OperationState& Dispatcher::FindOperation(Pool& pool, const std::string& name) {
  auto it = pool.operations.find(name);
  if (it != pool.operations.end()) {
    return it->second;
  }
  return pool.operations[pool.operations.size() < kMaxOperations ? name : ""];
}

void Dispatcher::MarkForScheduling(Pool& pool) {
  if (!pool.needs_scheduling) {
    pool.needs_scheduling = true;
    pools_to_schedule_.push_back(&pool);
  }
}

void Dispatcher::SchedulePools() {
  for (Pool* pool : pools_to_schedule_) {
    Schedule(*pool);
    CheckPool(*pool);
    pool->needs_scheduling = false;
    RemoveIfIdle(*pool);
  }
  pools_to_schedule_.clear();
}

void Dispatcher::Schedule(Pool& pool) {
  MarkLongAttempts(pool);
  AddRestartBudget(pool, 0,
                   pool.idle_slots * static_cast<double>(
                                         (now_ - pool.last_scheduled).count()));
  while (StartNext(pool) || RestartOne(pool)) {
  }
  pool.idle_slots = pool.free;
  pool.last_scheduled = now_;
  SetPoolTimer(pool);
}

bool Dispatcher::StartNext(Pool& pool) {
  if (pool.free == 0) {
    return false;
  }
  const RequestList& long_queue = pool.list(RequestPhase::kLongQueue);
  bool long_waits = !long_queue.empty();
  if (long_waits && now_ >= OverdueTime(long_queue.front()) &&
      StartFront(pool, RequestPhase::kLongQueue)) {
    return true;
  }
  if (StartFront(pool, RequestPhase::kShortQueue)) {
    return true;
  }
  return long_waits && LongMayStart(pool) &&
         StartFront(pool, RequestPhase::kLongQueue);
}

bool Dispatcher::StartFront(Pool& pool, RequestPhase queue) {
  if (pool.list(queue).empty()) {
    return false;
  }
  Request& request = pool.list(queue).front();
  if (now_ >= request.deadline) {
    Refuse(request, Reason::kDeadline);
    return true;
  }
  Target* target = ChooseTarget(pool, request);
  if (target == nullptr) {
    return false;
  }
  Send(request, *target);
  return true;
}

bool Dispatcher::LongMayStart(const Pool& pool) const {
  int reserved_slots = static_cast<int>(
      std::ceil(ReservedShare(options_.policy) * pool.capacity));
  return pool.free > std::min(reserved_slots, pool.capacity / 2);
}

// Returns the time from which a request of the long class goes ahead of the
// short class.
// Bounds how long short requests can delay long ones.
Time Dispatcher::OverdueTime(const Request& request) const {
  return request.restarted
             ? request.arrived + (request.deadline - request.arrived) / 4
             : request.arrived + (request.start_by - request.arrived) / 2;
}

Dispatcher::Target* Dispatcher::ChooseTarget(Pool& pool,
                                             const Request& request) {
  bool some_leaving = false;
  bool some_staying = false;
  for (const auto& [host, target] : pool.targets) {
    bool serves = target.usable && target.limit > 0;
    some_leaving |= serves && target.leaving_soon;
    some_staying |= serves && !target.leaving_soon;
  }
  bool avoid_leaving =
      some_leaving && some_staying &&
      (request.long_class ||
       ClassifiesLong(LearnedQuantiles{}, pool.run_times, *request.operation));
  Target* best = nullptr;
  // Compared lexicographically; smaller is better.
  std::array<double, 3> best_rank{};
  uint64_t ties = 0;
  for (auto& [host, target] : pool.targets) {
    if (target.free() == 0 || (avoid_leaving && target.leaving_soon)) {
      continue;
    }
    std::array<double, 3> rank = {
        Contains(request.hosts_tried, host) ? 1.0 : 0.0,
        target.local_zone ? 0.0 : 1.0,
        static_cast<double>(target.in_flight) / target.limit};
    if (best != nullptr && rank > best_rank) {
      continue;
    }
    ties = best != nullptr && rank == best_rank ? ties + 1 : 1;
    if (ties == 1 || random_.Below(ties) == 0) {
      best = &target;
      best_rank = rank;
    }
  }
  return best;
}

void Dispatcher::Send(Request& request, Target& target) {
  RADISHMOOR_INVARIANT("dispatch.deadline-before-send",
                       now_ < request.deadline);
  RADISHMOOR_INVARIANT(
      "dispatch.at-most-once",
      request.idempotent || request.attempts == request.attempts_not_run);
  RADISHMOOR_INVARIANT("dispatch.target-limit", target.free() > 0);
  if (request.attempts == 0) {
    ++counters_.first_attempts;
    retry_tokens_ =
        std::min(options_.retry_burst, retry_tokens_ + options_.retry_ratio);
  }
  ++request.attempts;
  ++target.in_flight;
  --request.pool->free;
  ++request.operation->in_flight;
  request.target = &target;
  request.sent_at = now_;
  AddUnique(request.hosts_tried, target.host);
  bool known_long = request.long_class && MayRestart(request);
  SetPhase(request, known_long ? RequestPhase::kInFlightRestartable
                               : RequestPhase::kInFlightShort);
  SetTimer(request, request.deadline);
  actions_.push_back(SendAttempt{request.id, request.attempts, target.host});
}

void Dispatcher::SetPhase(Request& request, RequestPhase phase) {
  RequestList& to = request.pool->list(phase);
  to.splice(to.end(), request.pool->list(request.phase),
            requests_.find(request.id)->second);
  request.phase = phase;
}

// Puts the request into the queue of its class: a retry at the front, new
// requests and restarts at the back.
void Dispatcher::Enqueue(Request& request) {
  request.queued_at = now_;
  SetPhase(request, request.long_class ? RequestPhase::kLongQueue
                                       : RequestPhase::kShortQueue);
  if (request.attempts == 0) {
    SetTimer(request, std::min(request.start_by, request.deadline));
    return;
  }
  if (!request.restarted) {
    RequestList& queue = request.pool->list(request.phase);
    queue.splice(queue.begin(), queue, std::prev(queue.end()));
  }
  SetTimer(request, request.deadline);
}

void Dispatcher::ReleaseTarget(Request& request) {
  Pool& pool = *request.pool;
  Target& target = *request.target;
  pool.free -= target.free();
  --target.in_flight;
  pool.free += target.free();
  --request.operation->in_flight;
  if (request.counted_as_long) {
    --request.operation->long_in_flight;
    request.counted_as_long = false;
  }
  request.target = nullptr;
  if (target.removed && target.in_flight == 0) {
    pool.targets.erase(HostId(target.host));
  }
}

void Dispatcher::MarkLongAttempts(Pool& pool) {
  if (!pool.long_threshold) {
    return;
  }
  RequestList& in_flight_short = pool.list(RequestPhase::kInFlightShort);
  while (!in_flight_short.empty() &&
         in_flight_short.front().sent_at + *pool.long_threshold <= now_) {
    Request& request = in_flight_short.front();
    ++request.operation->long_in_flight;
    request.counted_as_long = true;
    SetPhase(request, MayRestart(request) ? RequestPhase::kInFlightRestartable
                                          : RequestPhase::kInFlightLong);
  }
}

bool Dispatcher::MayRestart(const Request& request) const {
  return std::holds_alternative<RestartLong>(options_.policy) &&
         request.idempotent && request.attempts < options_.max_attempts;
}

bool Dispatcher::RestartOne(Pool& pool) {
  const auto* policy = std::get_if<RestartLong>(&options_.policy);
  if (policy == nullptr || drain_deadline_ ||
      now_ < pool.restarts_suspended_until ||
      (policy->on_demand && pool.list(RequestPhase::kShortQueue).empty()) ||
      static_cast<double>(pool.list(RequestPhase::kLongQueue).size()) >=
          policy->max_long_waiting_per_slot * pool.capacity) {
    return false;
  }
  // Aborting the attempt that was sent last discards the least run time.
  Request* latest = nullptr;
  for (Request& request : pool.list(RequestPhase::kInFlightRestartable)) {
    bool frees_slot = request.target->usable &&
                      request.target->in_flight <= request.target->limit;
    bool skip_long_class = !policy->on_demand && request.long_class;
    if (frees_slot && !skip_long_class &&
        now_ < request.arrived + (request.deadline - request.arrived) / 4 &&
        (latest == nullptr || request.sent_at > latest->sent_at)) {
      latest = &request;
    }
  }
  if (latest == nullptr) {
    return false;
  }
  auto lost_us = static_cast<double>((now_ - latest->sent_at).count());
  if (lost_us > pool.restart_budget_us) {
    return false;
  }
  pool.restart_budget_us -= lost_us;
  Restart(*latest);
  return true;
}

void Dispatcher::AddRestartBudget(Pool& pool,
                                  double completed_us,
                                  double idle_us) {
  const auto* policy = std::get_if<RestartLong>(&options_.policy);
  if (policy == nullptr || !pool.long_threshold) {
    return;
  }
  double max_budget_us = kRestartBudgetPerSlot *
                         std::max(kMinRestartBudgetSlots, pool.capacity) *
                         static_cast<double>(pool.long_threshold->count());
  pool.restart_budget_us =
      std::min(max_budget_us, pool.restart_budget_us +
                                  policy->max_lost_share * completed_us +
                                  policy->idle_credit * idle_us);
}

void Dispatcher::SuspendRestartsIfFutile(Pool& pool, const Target& target) {
  if (target.last_restart != kTimeZero &&
      now_ - target.last_restart <= kAbortEffectWindow) {
    pool.restarts_suspended_until = now_ + kRestartPause;
  }
}

void Dispatcher::Restart(Request& request) {
  ++counters_.restarts;
  request.target->last_restart = now_;
  actions_.push_back(
      AbortAttempt{request.id, request.attempts, request.target->host});
  ReleaseTarget(request);
  request.long_class = true;
  request.restarted = true;
  Enqueue(request);
}

void Dispatcher::SetPoolTimer(Pool& pool) {
  Time at = kTimeMax;
  const RequestList& in_flight_short = pool.list(RequestPhase::kInFlightShort);
  const auto* restart_policy = std::get_if<RestartLong>(&options_.policy);
  if (restart_policy != nullptr && pool.long_threshold &&
      !in_flight_short.empty() &&
      (!restart_policy->on_demand ||
       !pool.list(RequestPhase::kShortQueue).empty())) {
    at = in_flight_short.front().sent_at + *pool.long_threshold;
  }
  const RequestList& long_queue = pool.list(RequestPhase::kLongQueue);
  if (pool.free > 0 && !long_queue.empty()) {
    at = std::min(
        at, std::max(OverdueTime(long_queue.front()), now_ + Milliseconds(1)));
  }
  if (at == pool.timer_at) {
    return;
  }
  pool.timer_at = at;
  if (at != kTimeMax) {
    PushTimer({.at = at, .pool = &pool});
  }
}

void Dispatcher::HandleFailure(Request& request, const AttemptResult& result) {
  bool not_run = result.outcome == AttemptOutcome::kNotRun ||
                 result.outcome == AttemptOutcome::kFailedBeforeWrite;
  if (result.outcome == AttemptOutcome::kNotRun) {
    SuspendRestartsIfFutile(*request.pool, *request.target);
  }
  ReleaseTarget(request);
  if (not_run) {
    ++request.attempts_not_run;
  } else {
    AddUnique(request.hosts_failed, result.host);
    RecordFailure(request);
  }
  Duration backoff =
      Scale(options_.initial_backoff * (1 << (request.attempts - 1)),
            0.5 + random_.Unit());
  if (!result.retried_by_lower_layer && MayRetry(request, not_run, backoff)) {
    SetPhase(request, RequestPhase::kBackoff);
    SetTimer(request, now_ + backoff);
    return;
  }
  if (request.attempts == request.attempts_not_run) {
    Refuse(request, Reason::kNoBackend);
    return;
  }
  Refuse(request,
         IsPoison(request) ? Reason::kPoisonRequest : Reason::kBackendFailed);
}

bool Dispatcher::MayRetry(const Request& request,
                          bool not_run,
                          Duration backoff) {
  bool repeatable = request.idempotent ||
                    (not_run && request.attempts == request.attempts_not_run);
  if (!repeatable || request.attempts >= options_.max_attempts ||
      request.pool->removed || now_ + backoff >= request.deadline ||
      IsPoison(request)) {
    return false;
  }
  if (retry_tokens_ < 1) {
    ++counters_.retries_denied_by_budget;
    return false;
  }
  retry_tokens_ -= 1;
  ++counters_.retries;
  return true;
}

void Dispatcher::RecordFailure(const Request& request) {
  if (request.content_hash == 0) {
    return;
  }
  auto [it, inserted] = content_failures_.try_emplace(request.content_hash);
  ContentFailures& failures = it->second;
  if (now_ - failures.last > kFailureRecordLifetime) {
    failures.hosts.clear();
  }
  failures.last = now_;
  if (failures.hosts.size() < options_.min_poison_hosts) {
    AddUnique(failures.hosts, request.hosts_failed.back());
  }
  if (!inserted) {
    return;
  }
  content_failure_order_.push_back(request.content_hash);
  if (content_failure_order_.size() > kMaxFailureRecords) {
    content_failures_.erase(content_failure_order_.front());
    content_failure_order_.pop_front();
  }
}

bool Dispatcher::IsPoison(const Request& request) const {
  size_t needed = std::max<size_t>(
      2, std::min(options_.min_poison_hosts, request.pool->targets.size()));
  if (request.hosts_failed.size() >= needed) {
    return true;
  }
  auto it = content_failures_.find(request.content_hash);
  return it != content_failures_.end() && it->second.hosts.size() >= needed &&
         now_ - it->second.last <= kFailureRecordLifetime;
}

void Dispatcher::Complete(Request& request) {
  Duration run = now_ - request.sent_at;
  Pool& pool = *request.pool;
  ReleaseTarget(request);
  pool.run_times.Add(run);
  request.operation->run_times.Add(run);
  if (pool.run_times.samples() % kThresholdRefreshSamples == 0) {
    pool.long_threshold = LongThreshold(pool.run_times);
  }
  AddRestartBudget(pool, static_cast<double>(run.count()), 0);
  if (request.content_hash != 0) {
    auto it = content_failures_.find(request.content_hash);
    if (it != content_failures_.end()) {
      it->second.hosts.clear();
    }
  }
  FinishRequest(request, Outcome::kCompleted, Reason::kNone);
}

void Dispatcher::Refuse(Request& request, Reason reason) {
  FinishRequest(request,
                request.attempts == request.attempts_not_run
                    ? Outcome::kRefused
                    : Outcome::kUnknown,
                reason);
}

void Dispatcher::FinishRequest(Request& request,
                               Outcome outcome,
                               Reason reason) {
  Pool& pool = *request.pool;
  if (request.target != nullptr) {
    actions_.push_back(
        AbortAttempt{request.id, request.attempts, request.target->host});
    ReleaseTarget(request);
  }
  RADISHMOOR_INVARIANT("dispatch.not-run-is-true",
                       outcome != Outcome::kRefused ||
                           request.attempts == request.attempts_not_run);
  actions_.push_back(Finish{
      request.id, outcome, reason,
      outcome == Outcome::kRefused ? RetryAfter(&pool, reason) : Duration(0),
      std::move(request.hosts_failed)});
  ++counters_.outcomes[static_cast<size_t>(outcome)];
  MarkForScheduling(pool);
  auto it = requests_.find(request.id);
  pool.list(request.phase).erase(it->second);
  requests_.erase(it);
}

void Dispatcher::RefuseUnqueued(RequestId request, Reason reason) {
  actions_.push_back(Finish{
      request, Outcome::kRefused, reason, RetryAfter(nullptr, reason), {}});
  ++counters_.outcomes[static_cast<size_t>(Outcome::kRefused)];
}

void Dispatcher::RefuseWaiting(Pool& pool, Reason reason) {
  for (RequestPhase phase :
       {RequestPhase::kShortQueue, RequestPhase::kLongQueue,
        RequestPhase::kBackoff}) {
    while (!pool.list(phase).empty()) {
      Refuse(pool.list(phase).front(), reason);
    }
  }
}

void Dispatcher::RefuseAll(Reason reason) {
  while (!requests_.empty()) {
    Refuse(*requests_.begin()->second, reason);
  }
}

Duration Dispatcher::RetryAfter(const Pool* pool, Reason reason) {
  if (reason == Reason::kUnknownService || reason == Reason::kDeadline) {
    return Duration(0);
  }
  Duration base = kMinRetryAfter;
  if (pool != nullptr) {
    base = std::max(base, pool->QueueTime(pool->waiting()));
  }
  return random_.Between(base, 2 * base);
}

void Dispatcher::SetTimer(Request& request, Time at) {
  request.timer_generation = ++last_timer_generation_;
  PushTimer(
      {.at = at, .generation = last_timer_generation_, .request = request.id});
}

void Dispatcher::PushTimer(Timer timer) {
  timers_.push_back(timer);
  std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
}

bool Dispatcher::Valid(const Timer& timer) const {
  if (timer.pool != nullptr) {
    return timer.pool->timer_at == timer.at;
  }
  auto it = requests_.find(timer.request);
  return it != requests_.end() &&
         it->second->timer_generation == timer.generation;
}

void Dispatcher::RunTimers() {
  while (!timers_.empty() && timers_.front().at <= now_) {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    Timer timer = timers_.back();
    timers_.pop_back();
    if (Valid(timer)) {
      Fire(timer);
    }
  }
  if (drain_deadline_ && now_ >= *drain_deadline_) {
    RefuseAll(Reason::kShuttingDown);
  }
}

void Dispatcher::Fire(const Timer& timer) {
  if (timer.pool != nullptr) {
    timer.pool->timer_at = kTimeMax;
    MarkForScheduling(*timer.pool);
    return;
  }
  Request& request = *requests_.find(timer.request)->second;
  if (now_ >= request.deadline) {
    if (request.target != nullptr) {
      // The time until the abort is a lower bound of the run time. Without this
      // sample, an operation that always misses its deadline would never be
      // classified as long.
      request.operation->run_times.Add(now_ - request.sent_at);
      request.pool->run_times.Add(now_ - request.sent_at);
    }
    Refuse(request, Reason::kDeadline);
  } else if (request.phase == RequestPhase::kBackoff) {
    MarkForScheduling(*request.pool);
    Enqueue(request);
  } else {
    Refuse(request,
           request.pool->capacity == 0 ? Reason::kNoBackend : Reason::kTooLate);
  }
}

// Drops invalid timers at the top of the heap, so that next_wake() is exact.
// Drops all invalid timers once they may outnumber the valid ones.
void Dispatcher::PruneTimers() {
  if (timers_.size() > 2 * (requests_.size() + pools_.size()) + 64) {
    std::erase_if(timers_, [this](const Timer& t) { return !Valid(t); });
    std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
  }
  while (!timers_.empty() && !Valid(timers_.front())) {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
  }
}

void Dispatcher::RemoveIfIdle(Pool& pool) {
  if (!pool.removed || pool.waiting() + pool.in_flight() > 0) {
    return;
  }
  std::erase_if(timers_, [&](const Timer& t) { return t.pool == &pool; });
  std::make_heap(timers_.begin(), timers_.end(), std::greater<>());
  pools_.erase(PoolId(pool.id));
}

void Dispatcher::CheckPool(const Pool& pool) const {
  size_t in_flight = 0;
  int free = 0;
  for (const auto& [host, target] : pool.targets) {
    in_flight += static_cast<size_t>(target.in_flight);
    free += target.free();
  }
  RADISHMOOR_INVARIANT("dispatch.slots",
                       in_flight == pool.in_flight() && free == pool.free);
}

}  // namespace radishmoor::dispatch
