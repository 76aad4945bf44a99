// Drives a Dispatcher with random events and checks every action against a
// simple reference model of the requests and hosts.
//
//   RandomDriver driver(seed, RestartLong{});
//   driver.Run(1000);  // Throws std::logic_error at the first violation.

#ifndef RADISHMOOR_DISPATCH_TESTING_RANDOM_DRIVER_H_
#define RADISHMOOR_DISPATCH_TESTING_RANDOM_DRIVER_H_

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "radishmoor/base/random.h"
#include "radishmoor/dispatch/dispatcher.h"

namespace radishmoor::dispatch {

class RandomDriver {
 public:
  RandomDriver(uint64_t seed, HeadOfLinePolicy policy)
      : random_(seed),
        fifo_(std::holds_alternative<Fifo>(policy)),
        options_{.seed = seed, .policy = policy},
        dispatcher_(options_) {}

  // Handles `events` random events and then a drain, after which every request
  // must have an outcome.
  void Run(uint64_t events) {
    for (const PoolId& pool : pools_) {
      Step(PoolUpdated{pool, kQueueLimit});
    }
    for (uint64_t i = 0; i < events; ++i) {
      RandomEvent();
    }
    Step(DrainStarted{now_ + Milliseconds(50)});
    for (int i = 0; i < 20; ++i) {
      RandomEvent();
    }
    now_ += Milliseconds(50);
    Step(Tick{});
    Check(live_.empty(), "request without an outcome after the grace time");
  }

  const DispatchCounters& counters() const { return dispatcher_.counters(); }

 private:
  static constexpr size_t kQueueLimit = 20;

  struct Attempt {
    HostId host;
    enum { kInFlight, kNotRun, kMayHaveRun } state = kInFlight;
  };
  struct Record {
    PoolId pool;
    bool idempotent = false;
    Time deadline;
    std::vector<Attempt> attempts;
    bool in_flight() const {
      return !attempts.empty() && attempts.back().state == Attempt::kInFlight;
    }
    bool not_run() const {
      return std::all_of(
          attempts.begin(), attempts.end(),
          [](const Attempt& a) { return a.state == Attempt::kNotRun; });
    }
  };
  using TargetKey = std::pair<PoolId, HostId>;

  static void Check(bool holds, const std::string& violation) {
    if (!holds) {
      throw std::logic_error(violation);
    }
  }

  void RandomEvent() {
    if (random_.Chance(0.5)) {
      // One time step in a hundred has a mean of 1 s, like a pause of the
      // process.
      now_ += random_.Exponential(random_.Chance(0.01) ? Seconds(1)
                                                       : Milliseconds(2));
    }
    PoolId pool = pools_[random_.Below(pools_.size())];
    HostId host(std::to_string(random_.Below(5)));
    uint64_t choice = random_.Below(1000);
    if (choice < 450) {
      Arrive(pool);
    } else if (choice < 850) {
      ReportResult();
    } else if (choice < 900) {
      ReportStaleResult(host);
    } else if (choice < 940) {
      Cancel();
    } else if (choice < 970) {
      TargetUpdated set{pool,
                        host,
                        random_.Chance(0.8),
                        random_.Chance(0.5),
                        static_cast<int>(random_.Below(5)),
                        random_.Chance(0.2)};
      if (known_pools_.contains(pool)) {
        targets_[{pool, host}] = set.usable ? set.limit : 0;
      }
      Step(set);
    } else if (choice < 975) {
      targets_.erase({pool, host});
      Step(TargetRemoved{pool, host});
    } else if (choice < 985) {
      known_pools_.insert_or_assign(pool, true);
      Step(PoolUpdated{pool, kQueueLimit, random_.Chance(0.2)});
    } else if (choice < 987) {
      std::erase_if(targets_, [&](const auto& entry) {
        return entry.first.first == pool;
      });
      known_pools_.erase(pool);
      Step(PoolRemoved{pool});
    } else if (choice < 990) {
      for (int i = 0; i < 10; ++i) {
        Cancel();
      }
    } else {
      now_ = std::max(
          now_, std::min(dispatcher_.next_wake(), now_ + Milliseconds(100)));
      Step(Tick{});
    }
  }

  void Arrive(const PoolId& pool) {
    RequestId id{++last_id_};
    Record& record = live_[id];
    record.pool = pool;
    record.idempotent = random_.Chance(0.6);
    record.deadline = now_ + random_.Between(Milliseconds(-1), Seconds(1));
    Step(RequestArrived{id, pool, "op" + std::to_string(random_.Below(3)),
                        record.idempotent, record.deadline, random_.Below(50)});
  }

  // Picks one of the last 60 ids at random and returns the first live request
  // with this or a larger id. Without such a request, returns the oldest live
  // request, or end() if none is live.
  std::map<RequestId, Record>::iterator AnyLiveRequest() {
    auto it = live_.lower_bound(
        {last_id_ - random_.Below(std::min<uint64_t>(last_id_, 60) + 1)});
    return it == live_.end() && !live_.empty() ? live_.begin() : it;
  }

  void ReportResult() {
    auto it = AnyLiveRequest();
    if (it == live_.end() || !it->second.in_flight()) {
      return;
    }
    Record& record = it->second;
    auto outcome = random_.Chance(0.8) ? AttemptOutcome::kCompleted
                                       : AttemptOutcome(random_.Below(6));
    bool not_run = outcome == AttemptOutcome::kNotRun ||
                   outcome == AttemptOutcome::kFailedBeforeWrite;
    record.attempts.back().state =
        not_run ? Attempt::kNotRun : Attempt::kMayHaveRun;
    --in_flight_[{record.pool, record.attempts.back().host}];
    completed_ =
        outcome == AttemptOutcome::kCompleted ? it->first : RequestId{};
    Step(AttemptResult{it->first, static_cast<int>(record.attempts.size()),
                       record.attempts.back().host, outcome,
                       random_.Chance(0.1)});
    Check(completed_ == RequestId{}, "completed attempt without an outcome");
  }

  // Reports a result with a wrong attempt, a wrong host or an unknown request.
  void ReportStaleResult(const HostId& host) {
    Step(Tick{});
    auto it = AnyLiveRequest();
    RequestId id = it == live_.end() ? RequestId{1} : it->first;
    int attempt = static_cast<int>(random_.Below(4));
    if (it != live_.end() && it->second.in_flight() &&
        it->second.attempts.back().host == host) {
      attempt = static_cast<int>(it->second.attempts.size()) - 1;
    }
    uint64_t before = dispatcher_.counters().stale_results;
    bool changed = Step(
        AttemptResult{id, attempt, host, AttemptOutcome(random_.Below(6))});
    Check(!changed && dispatcher_.counters().stale_results == before + 1,
          "stale result had an effect");
  }

  void Cancel() {
    auto it = AnyLiveRequest();
    cancelled_ = it == live_.end() ? RequestId{last_id_ + 1} : it->first;
    Step(RequestCancelled{cancelled_});
    Check(!live_.contains(cancelled_), "cancelled request is live");
    cancelled_ = RequestId{};
  }

  // Handles the message and checks the actions. Returns true if there were any.
  bool Step(const Message& message) {
    std::vector<Action> actions = dispatcher_.Handle(now_, message);
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { Observe(a); }, action);
    }
    Check(dispatcher_.live() == live_.size(),
          "number of live requests differs from the model");
    Check(dispatcher_.next_wake() > now_,
          "next_wake() is not after the present time");
    std::map<PoolId, size_t> never_sent;
    for (const auto& [id, record] : live_) {
      Check(record.deadline > now_, "live request after its deadline");
      Check(dispatcher_.next_wake() <= record.deadline,
            "no timer for the deadline of a live request");
      never_sent[record.pool] += record.attempts.empty() ? 1 : 0;
    }
    for (const auto& [pool, count] : never_sent) {
      Check(count <= kQueueLimit, "more waiting requests than the queue limit");
    }
    for (const auto& [key, limit] : targets_) {
      Check(!fifo_ || never_sent[key.first] == 0 || in_flight_[key] >= limit,
            "request waits while a slot is free");
    }
    const DispatchCounters& counters = dispatcher_.counters();
    Check(static_cast<double>(retries_) <=
              options_.retry_burst +
                  options_.retry_ratio *
                      static_cast<double>(counters.first_attempts) +
                  1e-6,
          "more retries than the retry budget allows");
    return !actions.empty();
  }

  void Observe(const SendAttempt& send) {
    Record& record = live_.at(send.request);
    TargetKey key{record.pool, send.host};
    Check(!record.in_flight(), "attempt sent while another one is in flight");
    Check(send.attempt == static_cast<int>(record.attempts.size()) + 1 &&
              send.attempt <= options_.max_attempts,
          "attempt number is not the next one or is above max_attempts");
    Check(now_ < record.deadline, "attempt sent after the deadline");
    Check(record.idempotent || record.not_run(),
          "non-idempotent request sent again although it may have run");
    Check(targets_.contains(key) && ++in_flight_[key] <= targets_[key],
          "attempt sent beyond the limit of the host");
    retries_ += send.attempt > 1 && !aborted_.contains(send.request) ? 1 : 0;
    aborted_.erase(send.request);
    record.attempts.push_back({send.host});
  }

  void Observe(const AbortAttempt& abort) {
    Record& record = live_.at(abort.request);
    Check(record.in_flight() && record.attempts.back().host == abort.host &&
              abort.attempt == static_cast<int>(record.attempts.size()),
          "abort of an attempt that is not in flight");
    record.attempts.back().state = Attempt::kMayHaveRun;
    --in_flight_[{record.pool, abort.host}];
    aborted_[abort.request] = true;
  }

  void Observe(const Finish& finish) {
    auto it = live_.find(finish.request);
    Check(it != live_.end(), "outcome of a request that is not live");
    Check(!it->second.in_flight(), "outcome with an attempt in flight");
    Check((finish.outcome == Outcome::kRefused) <= it->second.not_run(),
          "outcome refused although the request may have run");
    Check((finish.outcome == Outcome::kUnknown) <= !it->second.not_run(),
          "outcome unknown although the request did not run");
    Check((finish.outcome == Outcome::kCompleted) ==
              (completed_ == finish.request),
          "completed attempt and outcome completed do not match");
    Check((finish.outcome == Outcome::kCancelled) ==
              (cancelled_ == finish.request),
          "cancellation and outcome cancelled do not match");
    completed_ = completed_ == finish.request ? RequestId{} : completed_;
    aborted_.erase(finish.request);
    live_.erase(it);
  }

  Random random_;
  bool fifo_;
  DispatchOptions options_;
  Dispatcher dispatcher_;
  Time now_ = kTimeZero + Seconds(100);
  std::vector<PoolId> pools_ = {PoolId("a"), PoolId("b")};
  std::map<PoolId, bool> known_pools_ = {{pools_[0], true}, {pools_[1], true}};
  std::map<TargetKey, int> targets_;  // Limit of each host; 0 if not usable.
  std::map<TargetKey, int> in_flight_;
  std::map<RequestId, Record> live_;
  // Requests that were aborted for a restart and not sent again yet.
  std::map<RequestId, bool> aborted_;
  uint64_t last_id_ = 0;
  uint64_t retries_ = 0;
  // The request that the current event completes or cancels; unset if none.
  RequestId completed_;
  RequestId cancelled_;
};

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_TESTING_RANDOM_DRIVER_H_
