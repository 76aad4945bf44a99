#include "radishmoor/dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <utility>

#include "radishmoor/base/invariant.h"

namespace radishmoor::dispatch {
namespace {

// Bounds the memory for learned run times of one pool; further operations
// share one record.
constexpr size_t kMaxOperations = 256;
// Below this, a pool's own run times say more than an operation's.
constexpr uint64_t kOperationSamples = 16;
// Bounds the memory for failures of jobs, and how long they are held.
constexpr size_t kMaxJobs = 4096;
constexpr Duration kJobMemory = Seconds(60);
constexpr Duration kMinRetryAfter = Milliseconds(100);
// Lost run time that may be saved up, in long thresholds for each slot. A fixed
// 64 thresholds cost a pool of 10 slots 7% of its goodput in a peak of 5 s.
constexpr double kRestartBurst = 0.8;
constexpr int kMinBurstSlots = 5;
// Hosts that go on with aborted runs answer not-run to the work sent in their
// place. Restarts then pause, and are tried again after this time.
constexpr Duration kRestartPause = Seconds(60);
constexpr Duration kRestartMemory = Seconds(5);
constexpr uint64_t kThresholdRefresh = 32;

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
    case Reason::kJobFailed:
      return "backend-failed";
    case Reason::kCancelled:
      return "cancelled";
  }
  return "";
}

size_t Dispatcher::Pool::waiting() const {
  return list(Place::kShortQueue).size() + list(Place::kLongQueue).size() +
         list(Place::kBackoff).size();
}

size_t Dispatcher::Pool::in_flight() const {
  return list(Place::kYoung).size() + list(Place::kRestartable).size() +
         list(Place::kAged).size();
}

Duration Dispatcher::Pool::QueueTime(size_t ahead) const {
  return capacity == 0
             ? Duration(0)
             : Scale(runs.mean(), static_cast<double>(ahead) / capacity);
}

void Dispatcher::Pool::RefreshTotals() {
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
  // The message goes first: an answer that is already here is a better outcome
  // than a deadline that fires in the same call.
  std::visit([this](const auto& m) { On(m); }, message);
  RunTimers();
  PumpDirty();
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

// Messages.

void Dispatcher::On(const PoolSet& message) {
  Pool& pool = pools_[message.pool];
  pool.id = message.pool;
  pool.queue_limit = message.queue_limit;
  pool.closed = message.closed;
  pool.removed = false;
  MarkDirty(pool);
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
  pool.RefreshTotals();
  RefuseWaiting(pool, Reason::kShuttingDown);
  MarkDirty(pool);
}

void Dispatcher::On(const TargetSet& message) {
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
  pool.RefreshTotals();
  MarkDirty(pool);
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
  pool.RefreshTotals();
}

void Dispatcher::On(const RequestArrived& message) {
  if (requests_.contains(message.request)) {
    ++counters_.duplicate_arrivals;
    return;
  }
  ++counters_.accepted;
  auto it = pools_.find(message.pool);
  if (drain_deadline_) {
    FinishUnqueued(message.request, Reason::kShuttingDown);
    return;
  }
  if (it == pools_.end()) {
    FinishUnqueued(message.request, Reason::kUnknownService);
    return;
  }
  Pool& pool = it->second;
  AgeAttempts(pool);
  RequestList& queue = pool.list(Place::kShortQueue);
  Request& request = queue.emplace_back();
  requests_.emplace(message.request, std::prev(queue.end()));
  request.id = message.request;
  request.pool = &pool;
  request.operation = &FindOperation(pool, message.operation);
  request.idempotent = message.idempotent;
  request.job_key = message.job_key;
  request.arrived = now_;
  request.deadline = message.deadline;
  request.start_by =
      now_ + Scale(message.deadline - now_, options_.early_refusal);
  request.long_class =
      ClassifiesLong(options_.policy, pool.runs, *request.operation);
  if (std::optional<Reason> reason = AdmissionRefusal(pool, request)) {
    Refuse(request, *reason);
    return;
  }
  Enqueue(request);
  MarkDirty(pool);
}

void Dispatcher::On(const RequestCancelled& message) {
  auto it = requests_.find(message.request);
  if (it == requests_.end()) {
    ++counters_.unknown_cancellations;
    return;
  }
  Close(*it->second, Outcome::kCancelled, Reason::kCancelled);
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
  MarkDirty(*request.pool);
  if (message.outcome == AttemptOutcome::kCompleted) {
    Complete(request);
  } else {
    Failed(request, message);
  }
}

void Dispatcher::On(const Tick&) {}

void Dispatcher::On(const DrainStarted& message) {
  drain_deadline_ =
      std::min(drain_deadline_.value_or(kTimeMax), message.grace_deadline);
}

// Admission.

std::optional<Reason> Dispatcher::AdmissionRefusal(
    const Pool& pool,
    const Request& request) const {
  if (pool.closed || pool.removed) {
    return Reason::kShuttingDown;
  }
  if (request.deadline <= now_) {
    return Reason::kDeadline;
  }
  // A free slot is used even if the learned run time exceeds the deadline: a
  // pool that is refused all work would never show that it is fast again.
  if (pool.free > 0) {
    return std::nullopt;
  }
  const RunTimes& runs = request.operation->runs.samples() < kOperationSamples
                             ? pool.runs
                             : request.operation->runs;
  Time latest_start =
      std::min(request.start_by, request.deadline - runs.Quantile(0.5));
  // The request itself is in the queue already.
  if (pool.waiting() > pool.queue_limit) {
    return Reason::kQueueFull;
  }
  size_t ahead = request.long_class ? pool.waiting()
                                    : pool.list(Place::kShortQueue).size();
  // Half of the time is left for errors of the prediction.
  Duration queue_time =
      std::min((latest_start - now_) / 2,
               std::max(options_.max_queue_time, pool.runs.mean()));
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

// Placement.

void Dispatcher::MarkDirty(Pool& pool) {
  if (!pool.dirty) {
    pool.dirty = true;
    dirty_.push_back(&pool);
  }
}

void Dispatcher::PumpDirty() {
  for (Pool* pool : dirty_) {
    Pump(*pool);
    CheckPool(*pool);
    pool->dirty = false;
    RemoveIfIdle(*pool);
  }
  dirty_.clear();
}

void Dispatcher::Pump(Pool& pool) {
  AgeAttempts(pool);
  AddRestartBudget(
      pool, 0,
      pool.idle * static_cast<double>((now_ - pool.pumped_at).count()));
  while (StartNext(pool) || RestartOne(pool)) {
  }
  pool.idle = pool.free;
  pool.pumped_at = now_;
  SetPoolTimer(pool);
}

bool Dispatcher::StartNext(Pool& pool) {
  if (pool.free == 0) {
    return false;
  }
  const RequestList& long_queue = pool.list(Place::kLongQueue);
  bool long_waits = !long_queue.empty();
  if (long_waits && now_ >= LongOverdueAt(long_queue.front()) &&
      StartFront(pool, Place::kLongQueue)) {
    return true;
  }
  if (StartFront(pool, Place::kShortQueue)) {
    return true;
  }
  return long_waits && LongMayStart(pool) &&
         StartFront(pool, Place::kLongQueue);
}

bool Dispatcher::StartFront(Pool& pool, Place queue) {
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
  int reserved = static_cast<int>(
      std::ceil(ReservedShare(options_.policy) * pool.capacity));
  return pool.free > std::min(reserved, pool.capacity / 2);
}

// Bounds how long short work can hold back the long class.
Time Dispatcher::LongOverdueAt(const Request& request) const {
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
       ClassifiesLong(LearnedQuantiles{}, pool.runs, *request.operation));
  Target* best = nullptr;
  // Compared in order; smaller is better.
  std::array<double, 3> best_rank{};
  uint64_t ties = 0;
  for (auto& [host, target] : pool.targets) {
    if (target.free() == 0 || (avoid_leaving && target.leaving_soon)) {
      continue;
    }
    std::array<double, 3> rank = {
        Contains(request.tried, host) ? 1.0 : 0.0,
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
      request.idempotent || request.attempts == request.proven_not_run);
  RADISHMOOR_INVARIANT("dispatch.target-limit", target.free() > 0);
  if (request.attempts == 0) {
    ++counters_.first_attempts;
    retry_tokens_ =
        std::min(options_.retry_burst, retry_tokens_ + options_.retry_share);
  }
  ++request.attempts;
  ++target.in_flight;
  --request.pool->free;
  ++request.operation->in_flight;
  request.target = &target;
  request.sent_at = now_;
  AddUnique(request.tried, target.host);
  bool known_long = request.long_class && MayRestart(request);
  Move(request, known_long ? Place::kRestartable : Place::kYoung);
  SetTimer(request, request.deadline);
  actions_.push_back(SendAttempt{request.id, request.attempts, target.host});
}

void Dispatcher::Move(Request& request, Place place) {
  RequestList& to = request.pool->list(place);
  to.splice(to.end(), request.pool->list(request.place),
            requests_.find(request.id)->second);
  request.place = place;
}

// A request that was sent before goes ahead of those that were not.
void Dispatcher::Enqueue(Request& request) {
  request.queued_at = now_;
  Move(request, request.long_class ? Place::kLongQueue : Place::kShortQueue);
  if (request.attempts == 0) {
    SetTimer(request, std::min(request.start_by, request.deadline));
    return;
  }
  if (!request.restarted) {
    RequestList& queue = request.pool->list(request.place);
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
  if (request.aged) {
    --request.operation->aged_in_flight;
    request.aged = false;
  }
  request.target = nullptr;
  if (target.removed && target.in_flight == 0) {
    pool.targets.erase(HostId(target.host));
  }
}

// Long work.

void Dispatcher::AgeAttempts(Pool& pool) {
  if (!pool.long_threshold) {
    return;
  }
  RequestList& young = pool.list(Place::kYoung);
  while (!young.empty() &&
         young.front().sent_at + *pool.long_threshold <= now_) {
    Request& request = young.front();
    ++request.operation->aged_in_flight;
    request.aged = true;
    Move(request, MayRestart(request) ? Place::kRestartable : Place::kAged);
  }
}

bool Dispatcher::MayRestart(const Request& request) const {
  return std::holds_alternative<RestartLong>(options_.policy) &&
         request.idempotent && request.attempts < options_.max_attempts;
}

bool Dispatcher::RestartOne(Pool& pool) {
  const auto* policy = std::get_if<RestartLong>(&options_.policy);
  if (policy == nullptr || drain_deadline_ || now_ < pool.no_restart_before ||
      (policy->on_demand && pool.list(Place::kShortQueue).empty()) ||
      static_cast<double>(pool.list(Place::kLongQueue).size()) >=
          policy->max_waiting * pool.capacity) {
    return false;
  }
  // The youngest attempt loses the least run time.
  Request* youngest = nullptr;
  for (Request& request : pool.list(Place::kRestartable)) {
    bool frees_slot = request.target->usable &&
                      request.target->in_flight <= request.target->limit;
    bool repeats_by_age = !policy->on_demand && request.long_class;
    if (frees_slot && !repeats_by_age &&
        now_ < request.arrived + (request.deadline - request.arrived) / 4 &&
        (youngest == nullptr || request.sent_at > youngest->sent_at)) {
      youngest = &request;
    }
  }
  if (youngest == nullptr) {
    return false;
  }
  auto lost = static_cast<double>((now_ - youngest->sent_at).count());
  if (lost > pool.restart_budget) {
    return false;
  }
  pool.restart_budget -= lost;
  Restart(*youngest);
  return true;
}

void Dispatcher::AddRestartBudget(Pool& pool, double completed, double idle) {
  const auto* policy = std::get_if<RestartLong>(&options_.policy);
  if (policy == nullptr || !pool.long_threshold) {
    return;
  }
  double most = kRestartBurst * std::max(kMinBurstSlots, pool.capacity) *
                static_cast<double>(pool.long_threshold->count());
  pool.restart_budget =
      std::min(most, pool.restart_budget + policy->waste * completed +
                         policy->idle_credit * idle);
}

void Dispatcher::SuspendRestarts(Pool& pool, const Target& target) {
  if (target.last_restart != kTimeZero &&
      now_ - target.last_restart <= kRestartMemory) {
    pool.no_restart_before = now_ + kRestartPause;
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
  const RequestList& young = pool.list(Place::kYoung);
  const auto* restart = std::get_if<RestartLong>(&options_.policy);
  if (restart != nullptr && pool.long_threshold && !young.empty() &&
      (!restart->on_demand || !pool.list(Place::kShortQueue).empty())) {
    at = young.front().sent_at + *pool.long_threshold;
  }
  const RequestList& long_queue = pool.list(Place::kLongQueue);
  if (pool.free > 0 && !long_queue.empty()) {
    at = std::min(at, std::max(LongOverdueAt(long_queue.front()),
                               now_ + Milliseconds(1)));
  }
  if (at == pool.timer) {
    return;
  }
  pool.timer = at;
  if (at != kTimeMax) {
    PushTimer({.at = at, .pool = &pool});
  }
}

// Failures.

void Dispatcher::Failed(Request& request, const AttemptResult& result) {
  bool not_run = result.outcome == AttemptOutcome::kNotRun ||
                 result.outcome == AttemptOutcome::kFailedBeforeWrite;
  if (result.outcome == AttemptOutcome::kNotRun) {
    SuspendRestarts(*request.pool, *request.target);
  }
  ReleaseTarget(request);
  if (not_run) {
    ++request.proven_not_run;
  } else {
    AddUnique(request.failed, result.host);
    RememberFailure(request);
  }
  Duration backoff = Scale(options_.backoff * (1 << (request.attempts - 1)),
                           0.5 + random_.Unit());
  if (!result.retried_below && MayRetry(request, not_run, backoff)) {
    Move(request, Place::kBackoff);
    SetTimer(request, now_ + backoff);
    return;
  }
  if (request.attempts == request.proven_not_run) {
    Refuse(request, Reason::kNoBackend);
    return;
  }
  Refuse(request,
         JobIsAtFault(request) ? Reason::kJobFailed : Reason::kBackendFailed);
}

bool Dispatcher::MayRetry(const Request& request,
                          bool not_run,
                          Duration backoff) {
  bool repeatable = request.idempotent ||
                    (not_run && request.attempts == request.proven_not_run);
  if (!repeatable || request.attempts >= options_.max_attempts ||
      request.pool->removed || now_ + backoff >= request.deadline ||
      JobIsAtFault(request)) {
    return false;
  }
  if (retry_tokens_ < 1) {
    ++counters_.retries_without_budget;
    return false;
  }
  retry_tokens_ -= 1;
  ++counters_.retries;
  return true;
}

void Dispatcher::RememberFailure(const Request& request) {
  if (request.job_key == 0) {
    return;
  }
  auto [it, inserted] = job_failures_.try_emplace(request.job_key);
  JobFailures& job = it->second;
  if (now_ - job.last > kJobMemory) {
    job.hosts.clear();
  }
  job.last = now_;
  if (job.hosts.size() < options_.job_failure_hosts) {
    AddUnique(job.hosts, request.failed.back());
  }
  if (!inserted) {
    return;
  }
  job_order_.push_back(request.job_key);
  if (job_order_.size() > kMaxJobs) {
    job_failures_.erase(job_order_.front());
    job_order_.pop_front();
  }
}

bool Dispatcher::JobIsAtFault(const Request& request) const {
  size_t needed = std::max<size_t>(
      2, std::min(options_.job_failure_hosts, request.pool->targets.size()));
  if (request.failed.size() >= needed) {
    return true;
  }
  auto it = job_failures_.find(request.job_key);
  return it != job_failures_.end() && it->second.hosts.size() >= needed &&
         now_ - it->second.last <= kJobMemory;
}

// Outcomes.

void Dispatcher::Complete(Request& request) {
  Duration run = now_ - request.sent_at;
  Pool& pool = *request.pool;
  ReleaseTarget(request);
  pool.runs.Add(run);
  request.operation->runs.Add(run);
  if (pool.runs.samples() % kThresholdRefresh == 0) {
    pool.long_threshold = LongThreshold(pool.runs);
  }
  AddRestartBudget(pool, static_cast<double>(run.count()), 0);
  if (request.job_key != 0) {
    auto it = job_failures_.find(request.job_key);
    if (it != job_failures_.end()) {
      it->second.hosts.clear();
    }
  }
  Close(request, Outcome::kCompleted, Reason::kNone);
}

void Dispatcher::Refuse(Request& request, Reason reason) {
  Close(request,
        request.attempts == request.proven_not_run ? Outcome::kRefused
                                                   : Outcome::kUnknown,
        reason);
}

void Dispatcher::Close(Request& request, Outcome outcome, Reason reason) {
  Pool& pool = *request.pool;
  if (request.target != nullptr) {
    actions_.push_back(
        AbortAttempt{request.id, request.attempts, request.target->host});
    ReleaseTarget(request);
  }
  RADISHMOOR_INVARIANT("dispatch.not-run-is-true",
                       outcome != Outcome::kRefused ||
                           request.attempts == request.proven_not_run);
  actions_.push_back(Finish{
      request.id, outcome, reason,
      outcome == Outcome::kRefused ? RetryAfter(&pool, reason) : Duration(0),
      std::move(request.failed)});
  ++counters_.outcomes[static_cast<size_t>(outcome)];
  MarkDirty(pool);
  auto it = requests_.find(request.id);
  pool.list(request.place).erase(it->second);
  requests_.erase(it);
}

void Dispatcher::FinishUnqueued(RequestId request, Reason reason) {
  actions_.push_back(Finish{
      request, Outcome::kRefused, reason, RetryAfter(nullptr, reason), {}});
  ++counters_.outcomes[static_cast<size_t>(Outcome::kRefused)];
}

void Dispatcher::RefuseWaiting(Pool& pool, Reason reason) {
  for (Place place : {Place::kShortQueue, Place::kLongQueue, Place::kBackoff}) {
    while (!pool.list(place).empty()) {
      Refuse(pool.list(place).front(), reason);
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

// Timers.

void Dispatcher::SetTimer(Request& request, Time at) {
  request.timer = ++generation_;
  PushTimer({.at = at, .generation = generation_, .request = request.id});
}

void Dispatcher::PushTimer(Timer timer) {
  timers_.push_back(timer);
  std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
}

bool Dispatcher::Valid(const Timer& timer) const {
  if (timer.pool != nullptr) {
    return timer.pool->timer == timer.at;
  }
  auto it = requests_.find(timer.request);
  return it != requests_.end() && it->second->timer == timer.generation;
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
    timer.pool->timer = kTimeMax;
    MarkDirty(*timer.pool);
    return;
  }
  Request& request = *requests_.find(timer.request)->second;
  if (now_ >= request.deadline) {
    if (request.target != nullptr) {
      // A lower bound; without it, work that always misses its deadline would
      // never be known as long.
      request.operation->runs.Add(now_ - request.sent_at);
      request.pool->runs.Add(now_ - request.sent_at);
    }
    Refuse(request, Reason::kDeadline);
  } else if (request.place == Place::kBackoff) {
    MarkDirty(*request.pool);
    Enqueue(request);
  } else {
    Refuse(request,
           request.pool->capacity == 0 ? Reason::kNoBackend : Reason::kTooLate);
  }
}

// Drops invalid timers at the top, so that next_wake() is exact, and all of
// them once they outnumber the valid ones.
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
