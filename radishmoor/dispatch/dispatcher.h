// Dispatches the requests of one entry process to hosts: admission, queues,
// choice of host, retries, deadlines and outcomes. The caller passes in the
// time and carries out the returned actions.
//
//   Dispatcher dispatcher({.seed = seed});
//   dispatcher.Handle(now, PoolUpdated{.pool = pool});
//   dispatcher.Handle(
//       now, TargetUpdated{.pool = pool, .host = host, .limit = 8});
//   for (const Action& action : dispatcher.Handle(now, RequestArrived{...}))
//     ...
//   if (now >= dispatcher.next_wake())
//     dispatcher.Handle(now, Tick{});
//
// Every RequestArrived with an id that is not in use leads to exactly one
// Finish. Outcome kRefused is used only if each attempt is known not to have
// run. A request that is not idempotent is sent again only if its earlier
// attempts are known not to have run.
//
// Cost: handling a message takes amortised O(log n) in the number of live
// requests, plus time linear in the hosts of the pool for each attempt sent. A
// cancellation takes amortised O(1).

#ifndef RADISHMOOR_DISPATCH_DISPATCHER_H_
#define RADISHMOOR_DISPATCH_DISPATCHER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/run_time_histogram.h"
#include "radishmoor/base/time.h"
#include "radishmoor/dispatch/head_of_line.h"
#include "radishmoor/dispatch/messages.h"

namespace radishmoor::dispatch {

struct DispatchOptions {
  uint64_t seed = 0;  // For jitter and the choice between equal hosts.
  HeadOfLinePolicy policy = RestartLong{};
  // A request that has not started within this share of the time from its
  // arrival to its deadline is refused, so that the caller can still go
  // elsewhere.
  double max_start_delay_share = 0.1;
  // A request is admitted to the queue only if the expected wait does not
  // exceed this time or the mean run time of its pool, whichever is larger.
  // After a peak, a queue with an expected wait of t takes t / (1 - load) to
  // empty: 1.25 s for 250 ms at load 0.8.
  Duration max_queue_time = Milliseconds(250);
  int max_attempts = 3;  // Per request, the first one included.
  // Each first attempt adds this many retries to the retry budget, which holds
  // at most `retry_burst` retries.
  double retry_ratio = 0.1;
  double retry_burst = 10;
  // Mean delay before the first retry. It doubles for each further retry.
  Duration initial_backoff = Milliseconds(5);
  // A request that failed on this many hosts (on all hosts of a smaller pool,
  // but at least 2) is a poison request: it is not retried, and its failures
  // are not counted against the hosts.
  size_t min_poison_hosts = 3;
};

// Totals since the construction of the dispatcher.
struct DispatchCounters {
  uint64_t accepted = 0;  // Requests that arrived under an unused id.
  std::array<uint64_t, 4> outcomes{};  // Indexed by Outcome.
  uint64_t first_attempts = 0;
  uint64_t retries = 0;   // After a failed attempt.
  uint64_t restarts = 0;  // After an abort by the policy RestartLong.
  uint64_t retries_denied_by_budget = 0;
  uint64_t stale_results = 0;       // Late or duplicate attempt results.
  uint64_t duplicate_arrivals = 0;  // Ignored because the id is in use.
  uint64_t unknown_cancellations = 0;
};

class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions options = {});
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Handles the message and all timers that are due. Returns the actions that
  // the caller must carry out, in order. A `now` before that of an earlier call
  // is taken as that of the earlier call.
  std::vector<Action> Handle(Time now, const Message& message);

  // Starts the shutdown. The same as handling DrainStarted.
  std::vector<Action> Drain(Time now, Time grace_deadline) {
    return Handle(now, DrainStarted{grace_deadline});
  }

  // Returns the time of the next timer, by which the caller must call Handle()
  // again, or kTimeMax if there is no timer.
  Time next_wake() const;

  const DispatchCounters& counters() const { return counters_; }
  // Number of requests without an outcome, waiting or in flight.
  size_t live() const { return requests_.size(); }
  // Number of requests of the pool that wait in a queue or for a retry.
  size_t waiting(const PoolId& pool) const;
  // Number of attempts in flight to the host, over all pools.
  int in_flight(const HostId& host) const;
  // Number of slots that the pool could use: its attempts in flight plus its
  // waiting requests.
  size_t demand(const PoolId& pool) const;

 private:
  struct Pool;
  struct Target;

  // Every request is in exactly one phase, and in the list of its pool for this
  // phase. "Long" is relative to Pool::long_threshold.
  enum class RequestPhase : uint8_t {
    kShortQueue,
    kLongQueue,
    kBackoff,  // Waits for a retry.
    // The attempt in flight is not long so far. In order of sending.
    kInFlightShort,
    // The attempt is long, or its request was of the long class when it was
    // sent. It may be aborted for a restart.
    kInFlightRestartable,
    // The attempt is long and must not be aborted for a restart.
    kInFlightLong,
  };
  static constexpr size_t kRequestPhases = 6;

  struct Request {
    RequestId id;
    Pool* pool = nullptr;
    OperationState* operation = nullptr;
    RequestPhase phase = RequestPhase::kShortQueue;
    bool idempotent = false;
    bool long_class = false;
    bool restarted = false;  // Aborted for a restart at least once.
    // The attempt in flight is counted in OperationState::long_in_flight.
    bool counted_as_long = false;
    int attempts = 0;          // Attempts sent.
    int attempts_not_run = 0;  // Attempts that are known not to have run.
    uint64_t content_hash = 0;
    Time arrived;
    Time deadline;
    Time start_by;  // A request that waits for its first attempt ends then.
    Time queued_at;
    Time sent_at;
    Target* target = nullptr;  // Set while an attempt is in flight.
    std::vector<HostId> hosts_tried;
    std::vector<HostId> hosts_failed;
    uint64_t timer_generation = 0;  // Of the request's only valid timer.
  };
  using RequestList = std::list<Request>;
  using RequestRef = RequestList::iterator;

  struct Target {
    HostId host;
    bool usable = false;
    bool local_zone = true;
    bool leaving_soon = false;
    bool removed = false;
    int limit = 0;
    int in_flight = 0;
    Time last_restart;  // When an attempt on this host was last aborted.

    // Number of attempts that may be sent now.
    int free() const {
      return usable && limit > in_flight ? limit - in_flight : 0;
    }
  };

  struct Pool {
    PoolId id;
    size_t queue_limit = 0;
    bool closed = false;
    bool removed = false;
    std::map<HostId, Target> targets;
    int capacity = 0;  // Sum of the limits of usable targets.
    int free = 0;      // Sum of the free slots of all targets.
    RunTimeHistogram run_times;
    std::unordered_map<std::string, OperationState> operations;
    std::array<RequestList, kRequestPhases> lists;
    // Run time that aborts for restarts may still discard.
    double restart_budget_us = 0;
    Time restarts_suspended_until;
    int idle_slots = 0;  // Free slots at `last_scheduled`.
    Time last_scheduled;
    // When to call Schedule() next if no message for the pool arrives.
    Time timer_at = kTimeMax;
    std::optional<Duration> long_threshold;
    bool needs_scheduling = false;

    RequestList& list(RequestPhase phase) {
      return lists[static_cast<size_t>(phase)];
    }
    const RequestList& list(RequestPhase phase) const {
      return lists[static_cast<size_t>(phase)];
    }
    size_t waiting() const;
    size_t in_flight() const;
    // Expected time until `ahead` requests have left the queue. 0 without
    // capacity.
    Duration QueueTime(size_t ahead) const;
    void RecomputeCapacity();
  };

  struct Timer {
    Time at;
    uint64_t generation = 0;
    RequestId request;
    Pool* pool = nullptr;  // Set for the timer of a pool, which has no request.

    friend bool operator>(const Timer& a, const Timer& b) {
      return a.at > b.at;
    }
  };

  // Failures of requests with the same content hash.
  struct ContentFailures {
    std::vector<HostId> hosts;
    Time last;
  };

  void On(const PoolUpdated& message);
  void On(const PoolRemoved& message);
  void On(const TargetUpdated& message);
  void On(const TargetRemoved& message);
  void On(const RequestArrived& message);
  void On(const RequestCancelled& message);
  void On(const AttemptResult& message);
  void On(const Tick& message);
  void On(const DrainStarted& message);

  std::optional<Reason> AdmissionRefusal(const Pool& pool,
                                         const Request& request) const;
  OperationState& FindOperation(Pool& pool, const std::string& name);

  void MarkForScheduling(Pool& pool);
  void SchedulePools();
  void Schedule(Pool& pool);
  bool StartNext(Pool& pool);
  bool StartFront(Pool& pool, RequestPhase queue);
  bool LongMayStart(const Pool& pool) const;
  Time OverdueTime(const Request& request) const;
  Target* ChooseTarget(Pool& pool, const Request& request);
  void Send(Request& request, Target& target);

  void SetPhase(Request& request, RequestPhase phase);
  void Enqueue(Request& request);
  void ReleaseTarget(Request& request);

  void MarkLongAttempts(Pool& pool);
  bool MayRestart(const Request& request) const;
  bool RestartOne(Pool& pool);
  // Called when the target answered not-run.
  void SuspendRestartsIfFutile(Pool& pool, const Target& target);
  void AddRestartBudget(Pool& pool, double completed_us, double idle_us);
  void Restart(Request& request);
  void SetPoolTimer(Pool& pool);

  void HandleFailure(Request& request, const AttemptResult& result);
  bool MayRetry(const Request& request, bool not_run, Duration backoff);
  void RecordFailure(const Request& request);
  bool IsPoison(const Request& request) const;

  void Complete(Request& request);
  // Ends the request with kRefused if no attempt may have run, else with
  // kUnknown.
  void Refuse(Request& request, Reason reason);
  void FinishRequest(Request& request, Outcome outcome, Reason reason);
  void RefuseUnqueued(RequestId request, Reason reason);
  void RefuseWaiting(Pool& pool, Reason reason);
  void RefuseAll(Reason reason);
  Duration RetryAfter(const Pool* pool, Reason reason);

  void SetTimer(Request& request, Time at);
  bool Valid(const Timer& timer) const;
  void RunTimers();
  void Fire(const Timer& timer);
  void PushTimer(Timer timer);
  void PruneTimers();
  void RemoveIfIdle(Pool& pool);
  void CheckPool(const Pool& pool) const;

  DispatchOptions options_;
  Random random_;
  Time now_ = kTimeZero;
  std::vector<Action> actions_;
  // Pools for which Schedule() must run before Handle() returns.
  std::vector<Pool*> pools_to_schedule_;
  std::unordered_map<PoolId, Pool> pools_;
  std::unordered_map<RequestId, RequestRef> requests_;
  std::vector<Timer> timers_;  // A heap. Invalid timers are dropped lazily.
  uint64_t last_timer_generation_ = 0;
  double retry_tokens_;  // Retries that the retry budget still allows.
  // Keyed by the content hash of the requests.
  std::unordered_map<uint64_t, ContentFailures> content_failures_;
  std::deque<uint64_t> content_failure_order_;  // Oldest first, for eviction.
  std::optional<Time> drain_deadline_;
  DispatchCounters counters_;
};

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_DISPATCHER_H_
