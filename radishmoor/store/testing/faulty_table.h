// Simulation in virtual time for random tests of decision classes: processes
// that pause and are killed, and a table service with faults.
//
//   Simulation sim(seed);
//   SimProcess process;
//   FaultyTable table(&sim);
//   sim.Post(&process, Milliseconds(5), [&] { ... });
//   table.Call(&process, call, [&](const StoreAnswer& a) { ... });
//   sim.RunUntil(end);

#ifndef RADISHMOOR_STORE_TESTING_FAULTY_TABLE_H_
#define RADISHMOOR_STORE_TESTING_FAULTY_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishmoor/base/invariant.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/store/memory_table.h"

namespace radishmoor {

struct SimProcess {
  uint64_t incarnation = 1;  // Increases when the process is killed.
  Time paused_until;
  Time wake_at = kTimeMax;
  std::deque<std::function<void()>> backlog;  // Callbacks due while paused.

  void Pause(Time until) { paused_until = std::max(paused_until, until); }
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random(seed) { SetInvariantSeed(seed); }

  void At(Time time, std::function<void()> run) {
    queue_.emplace(time, std::move(run));
  }

  // Runs the callback on `process` after `delay`, or once a pause of the
  // process has ended. Drops the callback if the process is killed before.
  void Post(SimProcess* process, Duration delay, std::function<void()> run) {
    Post(process, process->incarnation, delay, std::move(run));
  }

  // As above, but drops the callback unless it runs in the given incarnation.
  void Post(SimProcess* process,
            uint64_t incarnation,
            Duration delay,
            std::function<void()> run) {
    At(now + delay, [this, process, incarnation, run = std::move(run)] {
      if (process->incarnation != incarnation)
        return;
      if (process->paused_until <= now && process->backlog.empty()) {
        run();
        return;
      }
      process->backlog.push_back(run);
      if (process->backlog.size() == 1)
        ScheduleResume(process);
    });
  }

  // Calls `tick` on `process` at `time`, unless a call at the same or an
  // earlier time is pending. A pending call at a later time is replaced.
  void Wake(SimProcess* process, Time time, std::function<void()> tick) {
    if (process->wake_at > now && process->wake_at <= time)
      return;
    process->wake_at = time;
    Post(process, std::max(time - now, Duration(0)),
         [this, process, tick = std::move(tick)] {
           if (process->wake_at > now)
             return;
           process->wake_at = kTimeMax;
           tick();
         });
  }

  // Kills the process: no callback posted to it so far runs any more.
  static void Kill(SimProcess* process) {
    ++process->incarnation;
    process->paused_until = {};
    process->wake_at = kTimeMax;
    process->backlog.clear();
  }

  void RunUntil(Time end) {
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto event = queue_.extract(queue_.begin());
      now = event.key();
      ++events;
      event.mapped()();
    }
    now = end;
  }

  Time now = kTimeZero + Seconds(1000);
  Random random;
  uint64_t events = 0;

 private:
  void ScheduleResume(SimProcess* process) {
    At(std::max(now, process->paused_until),
       [this, process, incarnation = process->incarnation] {
         if (process->incarnation != incarnation)
           return;
         while (!process->backlog.empty() && process->paused_until <= now) {
           auto run = std::move(process->backlog.front());
           process->backlog.pop_front();
           run();
         }
         if (!process->backlog.empty())
           ScheduleResume(process);
       });
  }

  // Callbacks by time; those of the same time run in the order of insertion.
  std::multimap<Time, std::function<void()>> queue_;
};

class FaultyTable {
 public:
  struct Faults {
    bool down = false;
    // Probabilities of the faults of a call:
    double unavailable = 0;  // The call is refused without effect.
    double lost = 0;         // UnknownReply; the effect comes late or never.
    double silent = 0;       // As `lost`, but without any reply.
    double twice = 0;        // Request and answer arrive a second time, late.
    Duration max_delay = Milliseconds(10);  // Of normal calls, one way.
    Duration max_late = Seconds(20);        // Of late effects and answers.
  };

  explicit FaultyTable(Simulation* sim) : sim_(sim) {}

  void Call(SimProcess* process,
            const StoreCall& call,
            std::function<void(const StoreAnswer&)> deliver) {
    Random& random = sim_->random;
    uint64_t incarnation = process->incarnation;
    Duration there = random.Between(Microseconds(200), faults.max_delay);
    Duration back = random.Between(Microseconds(200), faults.max_delay);
    if (faults.down || random.Chance(faults.unavailable)) {
      Deliver(process, incarnation, there, {call.tag, UnavailableReply{}},
              deliver);
      return;
    }
    bool silent = random.Chance(faults.silent);
    if (silent || random.Chance(faults.lost)) {
      if (random.Chance(0.75))
        Apply(random.Between(Duration(0), faults.max_late), call.request);
      if (!silent) {
        Deliver(process, incarnation, random.Between(there, Seconds(1)),
                {call.tag, UnknownReply{}}, deliver);
      }
      return;
    }
    bool twice = random.Chance(faults.twice);
    sim_->At(sim_->now + there, [=, this] {
      StoreAnswer answer{call.tag, table.Handle(call.request)};
      Deliver(process, incarnation, back, answer, deliver);
      if (twice) {
        Duration late = sim_->random.Between(Duration(0), faults.max_late);
        Apply(late, call.request);
        Deliver(process, incarnation, back + late, answer, deliver);
      }
    });
  }

  MemoryTable table;
  Faults faults;

 private:
  void Apply(Duration delay, const StoreRequest& request) {
    sim_->At(sim_->now + delay, [this, request] { table.Handle(request); });
  }

  void Deliver(SimProcess* process,
               uint64_t incarnation,
               Duration delay,
               StoreAnswer answer,
               const std::function<void(const StoreAnswer&)>& deliver) {
    sim_->Post(process, incarnation, delay,
               [answer = std::move(answer), deliver] { deliver(answer); });
  }

  Simulation* sim_;
};

// Counts of a random run by name.
using Figures = std::map<std::string, uint64_t>;

// Calls `run` with the seeds 1 to `seeds`. Returns and prints the sums of its
// counts, and prints the rate of the count "events" per second of real time.
// The environment variable SEEDS overrides `seeds`.
template <typename Run>
Figures RunSeeds(const char* name, uint64_t seeds, Run run) {
  if (const char* wanted = std::getenv("SEEDS"))
    seeds = std::strtoull(wanted, nullptr, 10);
  Figures sum;
  auto begin = std::chrono::steady_clock::now();
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    for (const auto& [figure, value] : run(seed))
      sum[figure] += value;
  }
  std::chrono::duration<double> time = std::chrono::steady_clock::now() - begin;
  std::printf("%s: %.0f events/s;", name,
              static_cast<double>(sum["events"]) / time.count());
  for (const auto& [figure, value] : sum)
    std::printf(" %s %llu", figure.c_str(),
                static_cast<unsigned long long>(value));
  std::printf("\n");
  return sum;
}

// Returns the actions of type T.
template <typename T, typename Action>
std::vector<T> All(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action))
      found.push_back(*match);
  }
  return found;
}

// Returns the first store call of `actions`, which must contain one.
template <typename Action>
StoreCall FirstStoreCall(const std::vector<Action>& actions) {
  return All<StoreCall>(actions).at(0);
}

// Returns random faults of the store: in one of five cases each it is down,
// slow or has many faults, otherwise it has few.
inline FaultyTable::Faults RandomFaults(Random& random) {
  FaultyTable::Faults faults;
  switch (random.Below(5)) {
    case 0:
      faults.down = true;
      break;
    case 1:
      faults.max_delay = Seconds(3);
      break;
    case 2:
      faults.unavailable = faults.lost = 0.2;
      faults.silent = faults.twice = 0.1;
      break;
    default:
      faults.lost = faults.twice = 0.01;
  }
  return faults;
}

}  // namespace radishmoor

#endif  // RADISHMOOR_STORE_TESTING_FAULTY_TABLE_H_
