// Virtual time, processes that pause and die, and a table service with faults,
// for random tests of decision classes.
//
//   Simulation sim(seed);
//   SimProcess process;
//   FaultyTable table(&sim);
//   sim.Post(&process, Milliseconds(5), [&] { ... });   // Not when it died.
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
  uint64_t start = 1;  // Changes when the process is killed and restarted.
  Time paused_until;
  Time wake_at = kTimeMax;
  std::deque<std::function<void()>> backlog;  // What arrived while paused.

  void Pause(Time until) { paused_until = std::max(paused_until, until); }
};

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random(seed) { SetInvariantSeed(seed); }

  void At(Time time, std::function<void()> run) {
    queue_.emplace(time, std::move(run));
  }

  // Runs on `process` after `delay`: later while it is paused, never when it
  // was restarted meanwhile.
  void Post(SimProcess* process, Duration delay, std::function<void()> run) {
    Post(process, process->start, delay, std::move(run));
  }

  // For the process that began as `start`.
  void Post(SimProcess* process,
            uint64_t start,
            Duration delay,
            std::function<void()> run) {
    At(now + delay, [this, process, start, run = std::move(run)] {
      if (process->start != start)
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

  // Calls `tick` at `time`, unless an earlier call is due anyway.
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

  // Ends the process; nothing posted to it runs any more.
  static void Kill(SimProcess* process) {
    ++process->start;
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
       [this, process, start = process->start] {
         if (process->start != start)
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

  std::multimap<Time, std::function<void()>> queue_;  // Stable for equal times.
};

class FaultyTable {
 public:
  struct Faults {
    bool down = false;
    double unavailable = 0;  // Refused without effect.
    double lost = 0;    // Answer lost; the effect is late or never happens.
    double silent = 0;  // As lost, and no report of it either.
    double twice = 0;   // Request and answer are delivered a second time, late.
    Duration max_delay = Milliseconds(10);
    Duration max_late = Seconds(20);
  };

  explicit FaultyTable(Simulation* sim) : sim_(sim) {}

  void Call(SimProcess* process,
            const StoreCall& call,
            std::function<void(const StoreAnswer&)> deliver) {
    Random& random = sim_->random;
    uint64_t start = process->start;
    Duration there = random.Between(Microseconds(200), faults.max_delay);
    Duration back = random.Between(Microseconds(200), faults.max_delay);
    if (faults.down || random.Chance(faults.unavailable)) {
      Deliver(process, start, there, {call.tag, UnavailableReply{}}, deliver);
      return;
    }
    bool silent = random.Chance(faults.silent);
    if (silent || random.Chance(faults.lost)) {
      if (random.Chance(0.75))
        Apply(random.Between(Duration(0), faults.max_late), call.request);
      if (!silent) {
        Deliver(process, start, random.Between(there, Seconds(1)),
                {call.tag, UnknownReply{}}, deliver);
      }
      return;
    }
    bool twice = random.Chance(faults.twice);
    sim_->At(sim_->now + there, [=, this] {
      StoreAnswer answer{call.tag, table.Handle(call.request)};
      Deliver(process, start, back, answer, deliver);
      if (twice) {
        Duration late = sim_->random.Between(Duration(0), faults.max_late);
        Apply(late, call.request);
        Deliver(process, start, back + late, answer, deliver);
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
               uint64_t start,
               Duration delay,
               StoreAnswer answer,
               const std::function<void(const StoreAnswer&)>& deliver) {
    sim_->Post(process, start, delay,
               [answer = std::move(answer), deliver] { deliver(answer); });
  }

  Simulation* sim_;
};

// Figures of random runs by name.
using Figures = std::map<std::string, uint64_t>;

// Calls `run` with the seeds 1, 2, ... and prints the sum of the figures and
// the rate of the figure "events". The environment variable SEEDS replaces
// `seeds`.
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

// The actions of kind T.
template <typename T, typename Action>
std::vector<T> All(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action))
      found.push_back(*match);
  }
  return found;
}

// The first store call of `actions`, which must hold one.
template <typename Action>
StoreCall OnlyCall(const std::vector<Action>& actions) {
  return All<StoreCall>(actions).at(0);
}

// A random state of the store: most of the time with few faults, at times with
// many, slow or down.
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
