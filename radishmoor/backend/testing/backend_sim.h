// Virtual-time model of entry processes and backend servers around BackendPool,
// shared by its tests and its measurement program.
//
// All connections to the first host that are open at `silent_at` swallow every
// byte from then on; new ones work.

#ifndef RADISHMOOR_BACKEND_TESTING_BACKEND_SIM_H_
#define RADISHMOOR_BACKEND_TESTING_BACKEND_SIM_H_

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "radishmoor/backend/backend_pool.h"

namespace radishmoor {

struct SimOptions {
  BackendOptions backend;
  int processes = 9;
  int hosts = 10;
  double idempotent_share = 1.0;
  double utilisation = 0.8;  // Of 8 slots per host.
  Duration run_time = Milliseconds(20);
  double long_share = 0.015;  // These run 100 times longer.
  Duration deadline = Seconds(3);
  Duration silent_at = Seconds(2);
  Duration length = Seconds(10);
  // The last host fails everything after 1 ms.
  bool failing_host = false;
  uint64_t seed = 1;
};

struct SimResult {
  int requests = 0;
  int silent_connections = 0;
  int outstanding = 0;  // Exchanges on silent connections when it happened.
  int missed = 0;       // Deadlines of requests that used a silent connection.
  int missed_sent_after = 0;  // Of these, sent when it had happened already.
  int attempts = 0;
  int retries = 0;
  int to_failing = 0;  // Attempts on the failing host.
  uint64_t probes = 0;
};

class BackendSim {
 public:
  explicit BackendSim(SimOptions options)
      : options_(options), random_(options.seed) {}

  SimResult Run() {
    for (int p = 0; p < options_.processes; ++p) {
      processes_.push_back({BackendPool(options_.backend, options_.seed + p)});
      for (int h = 0; h < options_.hosts; ++h)
        Perform(p, processes_[p].pool.SetHost(now_, {Host(h), PoolId("a")}));
      // Opens every connection that the limits allow.
      for (int i = 0; i < options_.hosts * options_.backend.max_connections;
           ++i)
        At(Milliseconds(900), [this, p] { Arrive(p, Milliseconds(30)); });
      ScheduleArrival(p);
    }
    At(options_.silent_at, [this] { FallSilent(); });
    while (!events_.empty() && events_.top().at < kTimeZero + options_.length) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    for (const Process& process : processes_)
      result_.probes += process.pool.counters().probes;
    return result_;
  }

 private:
  struct Event {
    Time at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const {
      return std::pair(at, order) > std::pair(o.at, o.order);
    }
  };
  struct Request {
    bool idempotent;
    Duration run_time;
    Time deadline;
    std::map<HostId, ConnectionId> attempts;  // 0 until it is started.
    int sends = 0;
    bool used_silent = false;
    bool sent_after = false;
  };
  struct Process {
    BackendPool pool;
    std::map<RequestId, Request> requests;
    std::map<ConnectionId, RequestId> busy;
    std::set<ConnectionId> open_to_first;
    std::set<ConnectionId> silent;
    Time wake = kTimeMax;
  };

  static HostId Host(int index) { return HostId("w-" + std::to_string(index)); }
  static constexpr Duration kOneWay = Milliseconds(1);

  void At(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  void ScheduleArrival(int p) {
    double mean = ToSeconds(options_.run_time) * (1 + 99 * options_.long_share);
    double rate = options_.hosts * 8 * options_.utilisation / mean;
    At(random_.Exponential(
           Microseconds(static_cast<int64_t>(1e6 * options_.processes / rate))),
       [this, p] {
         Duration run_time = random_.Exponential(options_.run_time);
         if (random_.Chance(options_.long_share))
           run_time = options_.run_time * 100;
         Arrive(p, run_time);
         ScheduleArrival(p);
       });
  }

  void Arrive(int p, Duration run_time) {
    Process& process = processes_[p];
    RequestId id{++next_request_};
    process.requests[id] = {random_.Chance(options_.idempotent_share), run_time,
                            now_ + options_.deadline};
    ++result_.requests;
    Send(p, id);
    At(options_.deadline, [this, p, id] { Deadline(p, id); });
  }

  void Send(int p, RequestId id) {
    Process& process = processes_[p];
    Request& request = process.requests.at(id);
    std::vector<HostId> best;
    for (int h = 0; h < options_.hosts; ++h) {
      HostId host = Host(h);
      int load = process.pool.in_flight(host);
      if (!process.pool.usable(host) || request.attempts.contains(host) ||
          load >= process.pool.limit(host))
        continue;
      int least = best.empty() ? load : process.pool.in_flight(best[0]);
      if (load < least)
        best.clear();
      if (load <= least)
        best.push_back(host);
    }
    if (best.empty()) {
      At(Milliseconds(5), [this, p, id] {
        auto it = processes_[p].requests.find(id);
        if (it != processes_[p].requests.end() && it->second.attempts.empty())
          Send(p, id);
      });
      return;
    }
    HostId host = best[random_.Below(best.size())];
    request.attempts[host] = {};
    ++result_.attempts;
    result_.to_failing += host == Host(options_.hosts - 1) ? 1 : 0;
    Perform(p,
            process.pool.Acquire(now_, {host, id, id.value, request.idempotent,
                                        request.deadline}));
  }

  void Perform(int p, const BackendActions& actions) {
    for (const BackendAction& action : actions)
      std::visit([&](const auto& a) { On(p, a); }, action);
    ScheduleTick(p);
  }

  void ScheduleTick(int p) {
    Process& process = processes_[p];
    Time wake = std::max(process.pool.next_wake(), now_);
    if (process.pool.next_wake() == kTimeMax || wake >= process.wake)
      return;
    process.wake = wake;
    At(wake - now_, [this, p] {
      if (processes_[p].wake == now_)
        processes_[p].wake = kTimeMax;
      Perform(p, processes_[p].pool.Tick(now_));
    });
  }

  void On(int p, const OpenConnection& open) {
    if (open.host == Host(0))
      processes_[p].open_to_first.insert(open.connection);
    At(2 * kOneWay, [this, p, id = open.connection] {
      Perform(p, processes_[p].pool.OnConnectionOpened(now_, id));
    });
  }

  void On(int p, const StartExchange& start) {
    Process& process = processes_[p];
    Request& request = process.requests.at(start.request);
    request.attempts[start.host] = start.connection;
    ++request.sends;
    process.busy[start.connection] = start.request;
    bool fails =
        options_.failing_host && start.host == Host(options_.hosts - 1);
    if (process.silent.contains(start.connection))
      request.used_silent = request.sent_after = true;
    At((fails ? Milliseconds(1) : request.run_time) + 2 * kOneWay,
       [this, p, start, fails] { Answer(p, start, fails); });
  }

  void Answer(int p, const StartExchange& start, bool fails) {
    Process& process = processes_[p];
    auto busy = process.busy.find(start.connection);
    if (process.silent.contains(start.connection) ||
        busy == process.busy.end() || busy->second != start.request)
      return;
    process.busy.erase(busy);
    Perform(p, process.pool.OnExchangeFinished(
                   now_, {start.connection, fails ? ExchangeResult::kFailure
                                                  : ExchangeResult::kSuccess}));
    auto it = process.requests.find(start.request);
    if (it == process.requests.end())
      return;
    it->second.attempts.erase(start.host);
    if (fails) {
      if (it->second.attempts.empty())
        Send(p, start.request);
      return;
    }
    End(p, start.request, false);
  }

  void End(int p, RequestId id, bool missed) {
    Process& process = processes_[p];
    Request request = process.requests.at(id);
    process.requests.erase(id);
    if (missed && request.used_silent) {
      ++result_.missed;
      result_.missed_sent_after += request.sent_after ? 1 : 0;
    }
    for (const auto& [host, connection] : request.attempts) {
      process.busy.erase(connection);
      Perform(p, missed && connection.value != 0
                     ? process.pool.OnTimeout(now_, connection)
                     : process.pool.Abandon(now_, host, id));
    }
  }

  void Deadline(int p, RequestId id) {
    if (processes_[p].requests.contains(id))
      End(p, id, true);
  }

  void On(int p, const AttemptSuspect& suspect) {
    Request& request = processes_[p].requests.at(suspect.request);
    if (!request.idempotent || request.sends >= 3)
      return;
    ++result_.retries;
    Send(p, suspect.request);
  }

  void On(int p, const AcquireFailed& failed) {
    auto it = processes_[p].requests.find(failed.request);
    if (it == processes_[p].requests.end())
      return;
    it->second.attempts.erase(failed.host);
    At(Milliseconds(1), [this, p, id = failed.request] {
      auto again = processes_[p].requests.find(id);
      if (again != processes_[p].requests.end() &&
          again->second.attempts.empty())
        Send(p, id);
    });
  }

  void On(int p, const ProbeConnection& probe) {
    if (processes_[p].silent.contains(probe.connection))
      return;
    At(2 * kOneWay, [this, p, id = probe.connection] {
      if (!processes_[p].silent.contains(id))
        Perform(p, processes_[p].pool.OnProbeAnswered(now_, id, false));
    });
  }

  void On(int p, const CloseConnection& close) {
    processes_[p].open_to_first.erase(close.connection);
    processes_[p].silent.erase(close.connection);
  }

  template <typename T>
  void On(int, const T&) {}

  void FallSilent() {
    for (Process& process : processes_) {
      process.silent = process.open_to_first;
      result_.silent_connections += static_cast<int>(process.silent.size());
      for (ConnectionId id : process.silent) {
        auto busy = process.busy.find(id);
        if (busy == process.busy.end())
          continue;
        ++result_.outstanding;
        process.requests.at(busy->second).used_silent = true;
      }
    }
  }

  SimOptions options_;
  Random random_;
  Time now_ = kTimeZero;
  uint64_t order_ = 0;
  uint64_t next_request_ = 0;
  std::vector<Process> processes_;
  std::priority_queue<Event> events_;
  SimResult result_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BACKEND_TESTING_BACKEND_SIM_H_
