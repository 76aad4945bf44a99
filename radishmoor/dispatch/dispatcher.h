// The requests of one entry process: queues, admission, placement, retries,
// deadlines and outcomes.
//
//   Dispatcher dispatcher({.seed = seed});
//   dispatcher.Handle(now, PoolSet{.pool = pool});
//   dispatcher.Handle(now, TargetSet{.pool = pool, .host = host, .limit = 8});
//   for (const Action& action : dispatcher.Handle(now, RequestArrived{...}))
//   ... if (now >= dispatcher.next_wake()) dispatcher.Handle(now, Tick{});
//
// Every RequestArrived with an id that is not in use leads to exactly one
// Finish. Outcome kRefused is used only if each attempt is known not to have
// run. A request that is not idempotent is sent again only if its earlier
// attempts are known not to have run.
//
// Cost: a message is amortised O(log n) in the live requests and linear in the
// hosts of one pool for each attempt sent; a cancellation is amortised O(1).

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
#include "radishmoor/base/run_times.h"
#include "radishmoor/base/time.h"
#include "radishmoor/dispatch/head_of_line.h"
#include "radishmoor/dispatch/messages.h"

namespace radishmoor::dispatch {

struct DispatchOptions {
  uint64_t seed = 0;  // For jitter.
  HeadOfLinePolicy policy = RestartLong{};
  // A request that was not started within this share of its time is refused,
  // so that the caller can still go elsewhere.
  double early_refusal = 0.1;
  // A request is admitted to the queue only if the expected wait is below this
  // time or the mean run time of its pool, whichever is larger. A queue of
  // time t takes t / (1 - load) to empty after a peak: 1.25 s at load 0.8.
  Duration max_queue_time = Milliseconds(250);
  int max_attempts = 3;
  // Retries per first attempt, and the most that can be saved up.
  double retry_share = 0.1;
  double retry_burst = 10;
  // Mean delay before the first retry; doubles for the second.
  Duration backoff = Milliseconds(5);
  // Work that failed on this many hosts (or on all hosts of a smaller pool) is
  // not retried and its failure is attributed to the job.
  size_t job_failure_hosts = 3;
};

// Totals since the start.
struct DispatchCounters {
  uint64_t accepted = 0;  // Requests that arrived under an unused id.
  std::array<uint64_t, 4> outcomes{};  // By Outcome.
  uint64_t first_attempts = 0;
  uint64_t retries = 0;
  uint64_t restarts = 0;  // Of long work, not of failed work.
  uint64_t retries_without_budget = 0;
  uint64_t stale_results = 0;       // Late or duplicate attempt results.
  uint64_t duplicate_arrivals = 0;  // Ignored: the id is in use.
  uint64_t unknown_cancellations = 0;
};

class Dispatcher {
 public:
  explicit Dispatcher(DispatchOptions options = {});
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // `now` never goes back; an earlier value is taken as the latest one.
  std::vector<Action> Handle(Time now, const Message& message);

  // Starts the shutdown; the same as the message DrainStarted.
  std::vector<Action> Drain(Time now, Time grace_deadline) {
    return Handle(now, DrainStarted{grace_deadline});
  }

  // Time of the next timer, kTimeMax if none.
  Time next_wake() const;

  const DispatchCounters& counters() const { return counters_; }
  // Requests without an outcome: waiting and in flight.
  size_t live() const { return requests_.size(); }
  size_t waiting(const PoolId& pool) const;
  // Attempts in flight to the host, over all pools.
  int in_flight(const HostId& host) const;
  // Demand of the pool: attempts in flight and requests waiting.
  size_t demand(const PoolId& pool) const;

 private:
  struct Pool;
  struct Target;

  // Every request is in exactly one list of its pool.
  enum class Place : uint8_t {
    kShortQueue,
    kLongQueue,
    kBackoff,
    kYoung,        // In flight, below the age limit; in order of sending.
    kRestartable,  // In flight, above it or known as long; may be restarted.
    kAged,         // In flight, above it, others.
  };
  static constexpr size_t kPlaces = 6;

  struct Request {
    RequestId id;
    Pool* pool = nullptr;
    OperationState* operation = nullptr;
    Place place = Place::kShortQueue;
    bool idempotent = false;
    bool long_class = false;
    bool restarted = false;
    bool aged = false;  // Its attempt in flight has run for a long time.
    int attempts = 0;
    int proven_not_run = 0;
    uint64_t job_key = 0;
    Time arrived;
    Time deadline;
    Time start_by;
    Time queued_at;
    Time sent_at;
    Target* target = nullptr;  // While in flight.
    std::vector<HostId> tried;
    std::vector<HostId> failed;
    uint64_t timer = 0;  // Generation of its only valid timer.
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
    Time last_restart;  // Of an attempt on this host.

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
    int free = 0;
    RunTimes runs;
    std::unordered_map<std::string, OperationState> operations;
    std::array<RequestList, kPlaces> lists;
    double restart_budget = 0;  // Microseconds of run time.
    Time no_restart_before;
    int idle = 0;  // Free slots after the last pump.
    Time pumped_at;
    Time timer = kTimeMax;  // When to pump it next without a message.
    std::optional<Duration> long_threshold;
    bool dirty = false;

    RequestList& list(Place place) { return lists[static_cast<size_t>(place)]; }
    const RequestList& list(Place place) const {
      return lists[static_cast<size_t>(place)];
    }
    size_t waiting() const;
    size_t in_flight() const;
    // Expected time until `ahead` requests have left the queue.
    Duration QueueTime(size_t ahead) const;
    void RefreshTotals();
  };

  struct Timer {
    Time at;
    uint64_t generation = 0;
    RequestId request;
    Pool* pool = nullptr;  // Set: the timer of this pool.

    friend bool operator>(const Timer& a, const Timer& b) {
      return a.at > b.at;
    }
  };

  struct JobFailures {
    std::vector<HostId> hosts;
    Time last;
  };

  void On(const PoolSet& message);
  void On(const PoolRemoved& message);
  void On(const TargetSet& message);
  void On(const TargetRemoved& message);
  void On(const RequestArrived& message);
  void On(const RequestCancelled& message);
  void On(const AttemptResult& message);
  void On(const Tick& message);
  void On(const DrainStarted& message);

  std::optional<Reason> AdmissionRefusal(const Pool& pool,
                                         const Request& request) const;
  OperationState& FindOperation(Pool& pool, const std::string& name);

  void MarkDirty(Pool& pool);
  void PumpDirty();
  void Pump(Pool& pool);
  bool StartNext(Pool& pool);
  bool StartFront(Pool& pool, Place queue);
  bool LongMayStart(const Pool& pool) const;
  Time LongOverdueAt(const Request& request) const;
  Target* ChooseTarget(Pool& pool, const Request& request);
  void Send(Request& request, Target& target);

  void Move(Request& request, Place place);
  void Enqueue(Request& request);
  void ReleaseTarget(Request& request);

  void AgeAttempts(Pool& pool);
  bool MayRestart(const Request& request) const;
  bool RestartOne(Pool& pool);
  void SuspendRestarts(Pool& pool, const Target& target);
  void AddRestartBudget(Pool& pool, double completed, double idle);
  void Restart(Request& request);
  void SetPoolTimer(Pool& pool);

  void Failed(Request& request, const AttemptResult& result);
  bool MayRetry(const Request& request, bool not_run, Duration backoff);
  void RememberFailure(const Request& request);
  bool JobIsAtFault(const Request& request) const;

  void Complete(Request& request);
  void Refuse(Request& request,
              Reason reason);  // Or kUnknown, by its attempts.
  void Close(Request& request, Outcome outcome, Reason reason);
  void FinishUnqueued(RequestId request, Reason reason);
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
  std::vector<Pool*> dirty_;  // Pools to pump before Handle returns.
  std::unordered_map<PoolId, Pool> pools_;
  std::unordered_map<RequestId, RequestRef> requests_;
  std::vector<Timer> timers_;  // Heap; invalid entries are dropped lazily.
  uint64_t generation_ = 0;
  double retry_tokens_;
  std::unordered_map<uint64_t, JobFailures> job_failures_;
  std::deque<uint64_t> job_order_;  // Oldest first, for the size limit.
  std::optional<Time> drain_deadline_;
  DispatchCounters counters_;
};

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_DISPATCHER_H_
