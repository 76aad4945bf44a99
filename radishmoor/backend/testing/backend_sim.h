// Simulates entry processes, each with a BackendPool, and backend servers in
// virtual time. Shared by the tests and the benchmark of BackendPool.
//
// All connections to the first host that are open at `silent_at` become silent:
// they stay open but pass no more bytes. Connections opened later work.

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

struct BackendSimOptions {
  BackendOptions backend;
  int processes = 9;
  int hosts = 10;
  double idempotent_share = 1.0;
  // Load as a share of the hosts' capacity, which is 8 slots per host.
  double utilisation = 0.8;
  Duration run_time = Milliseconds(20);  // Mean.
  // Share of requests that take 100 times the mean run time.
  double long_share = 0.015;
  Duration deadline = Seconds(3);
  Duration silent_at = Seconds(2);
  Duration run_length = Seconds(10);
  // If true, every request on the last host fails after 1 ms.
  bool failing_host = false;
  uint64_t seed = 1;
};

struct BackendSimResult {
  int requests = 0;
  int silent_connections = 0;
  // Exchanges in progress on connections when they became silent.
  int in_flight_when_silent = 0;
  // Requests that used a silent connection and missed their deadline.
  int missed_deadlines = 0;
  // Missed deadlines of requests sent on a connection that was already silent.
  int missed_sent_after_silence = 0;
  int attempts = 0;
  int retries = 0;
  int attempts_on_failing_host = 0;
  uint64_t probes = 0;
};

class BackendSim {
 public:
  explicit BackendSim(BackendSimOptions options)
      : options_(options), random_(options.seed) {}

  BackendSimResult Run() {
    for (int process_index = 0; process_index < options_.processes;
         ++process_index) {
      processes_.push_back(
          {BackendPool(options_.backend, options_.seed + process_index)});
      for (int h = 0; h < options_.hosts; ++h)
        Perform(process_index, processes_[process_index].pool.SetHost(
                                   now_, {Host(h), PoolId("a")}));
      // Sends enough requests at once to open every connection that the limits
      // allow.
      for (int i = 0; i < options_.hosts * options_.backend.max_connections;
           ++i)
        Schedule(Milliseconds(900), [this, process_index] {
          AddRequest(process_index, Milliseconds(30));
        });
      ScheduleArrival(process_index);
    }
    Schedule(options_.silent_at, [this] { SilenceConnections(); });
    while (!events_.empty() &&
           events_.top().at < kTimeZero + options_.run_length) {
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
    // Connections of the attempts; 0 until the exchange starts.
    std::map<HostId, ConnectionId> attempts;
    int sends = 0;
    bool used_silent_connection = false;
    bool sent_after_silence = false;
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

  void Schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, ++order_, std::move(action)});
  }

  void ScheduleArrival(int process_index) {
    double mean = ToSeconds(options_.run_time) * (1 + 99 * options_.long_share);
    double rate = options_.hosts * 8 * options_.utilisation / mean;
    Schedule(random_.Exponential(Microseconds(
                 static_cast<int64_t>(1e6 * options_.processes / rate))),
             [this, process_index] {
               Duration run_time = random_.Exponential(options_.run_time);
               if (random_.Chance(options_.long_share))
                 run_time = options_.run_time * 100;
               AddRequest(process_index, run_time);
               ScheduleArrival(process_index);
             });
  }

  void AddRequest(int process_index, Duration run_time) {
    Process& process = processes_[process_index];
    RequestId id{++next_request_};
    process.requests[id] = {random_.Chance(options_.idempotent_share), run_time,
                            now_ + options_.deadline};
    ++result_.requests;
    SendRequest(process_index, id);
    Schedule(options_.deadline,
             [this, process_index, id] { OnDeadline(process_index, id); });
  }

  void SendRequest(int process_index, RequestId id) {
    Process& process = processes_[process_index];
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
      Schedule(Milliseconds(5), [this, process_index, id] {
        auto it = processes_[process_index].requests.find(id);
        if (it != processes_[process_index].requests.end() &&
            it->second.attempts.empty())
          SendRequest(process_index, id);
      });
      return;
    }
    HostId host = best[random_.Below(best.size())];
    request.attempts[host] = {};
    ++result_.attempts;
    result_.attempts_on_failing_host +=
        host == Host(options_.hosts - 1) ? 1 : 0;
    Perform(process_index,
            process.pool.Acquire(now_, {host, id, id.value, request.idempotent,
                                        request.deadline}));
  }

  void Perform(int process_index, const BackendActions& actions) {
    for (const BackendAction& action : actions)
      std::visit([&](const auto& a) { HandleAction(process_index, a); },
                 action);
    ScheduleTick(process_index);
  }

  void ScheduleTick(int process_index) {
    Process& process = processes_[process_index];
    Time wake = std::max(process.pool.next_wake(), now_);
    if (process.pool.next_wake() == kTimeMax || wake >= process.wake)
      return;
    process.wake = wake;
    Schedule(wake - now_, [this, process_index] {
      if (processes_[process_index].wake == now_)
        processes_[process_index].wake = kTimeMax;
      Perform(process_index, processes_[process_index].pool.Tick(now_));
    });
  }

  void HandleAction(int process_index, const OpenConnection& open) {
    if (open.host == Host(0))
      processes_[process_index].open_to_first.insert(open.connection);
    Schedule(2 * kOneWay, [this, process_index, id = open.connection] {
      Perform(process_index,
              processes_[process_index].pool.OnConnectionOpened(now_, id));
    });
  }

  void HandleAction(int process_index, const StartExchange& start) {
    Process& process = processes_[process_index];
    Request& request = process.requests.at(start.request);
    request.attempts[start.host] = start.connection;
    ++request.sends;
    process.busy[start.connection] = start.request;
    bool fails =
        options_.failing_host && start.host == Host(options_.hosts - 1);
    if (process.silent.contains(start.connection))
      request.used_silent_connection = request.sent_after_silence = true;
    Schedule((fails ? Milliseconds(1) : request.run_time) + 2 * kOneWay,
             [this, process_index, start, fails] {
               OnServerAnswer(process_index, start, fails);
             });
  }

  void OnServerAnswer(int process_index,
                      const StartExchange& start,
                      bool fails) {
    Process& process = processes_[process_index];
    auto busy = process.busy.find(start.connection);
    if (process.silent.contains(start.connection) ||
        busy == process.busy.end() || busy->second != start.request)
      return;
    process.busy.erase(busy);
    Perform(process_index,
            process.pool.OnExchangeFinished(
                now_, {start.connection, fails ? ExchangeResult::kFailure
                                               : ExchangeResult::kSuccess}));
    auto it = process.requests.find(start.request);
    if (it == process.requests.end())
      return;
    it->second.attempts.erase(start.host);
    if (fails) {
      if (it->second.attempts.empty())
        SendRequest(process_index, start.request);
      return;
    }
    EndRequest(process_index, start.request, false);
  }

  void EndRequest(int process_index, RequestId id, bool missed) {
    Process& process = processes_[process_index];
    Request request = process.requests.at(id);
    process.requests.erase(id);
    if (missed && request.used_silent_connection) {
      ++result_.missed_deadlines;
      result_.missed_sent_after_silence += request.sent_after_silence ? 1 : 0;
    }
    for (const auto& [host, connection] : request.attempts) {
      process.busy.erase(connection);
      Perform(process_index, missed && connection.value != 0
                                 ? process.pool.OnTimeout(now_, connection)
                                 : process.pool.Abandon(now_, host, id));
    }
  }

  void OnDeadline(int process_index, RequestId id) {
    if (processes_[process_index].requests.contains(id))
      EndRequest(process_index, id, true);
  }

  void HandleAction(int process_index, const AttemptSuspect& suspect) {
    Request& request = processes_[process_index].requests.at(suspect.request);
    if (!request.idempotent || request.sends >= 3)
      return;
    ++result_.retries;
    SendRequest(process_index, suspect.request);
  }

  void HandleAction(int process_index, const AcquireFailed& failed) {
    auto it = processes_[process_index].requests.find(failed.request);
    if (it == processes_[process_index].requests.end())
      return;
    it->second.attempts.erase(failed.host);
    Schedule(Milliseconds(1), [this, process_index, id = failed.request] {
      auto again = processes_[process_index].requests.find(id);
      if (again != processes_[process_index].requests.end() &&
          again->second.attempts.empty())
        SendRequest(process_index, id);
    });
  }

  void HandleAction(int process_index, const ProbeConnection& probe) {
    if (processes_[process_index].silent.contains(probe.connection))
      return;
    Schedule(2 * kOneWay, [this, process_index, id = probe.connection] {
      if (!processes_[process_index].silent.contains(id))
        Perform(process_index, processes_[process_index].pool.OnProbeAnswered(
                                   now_, id, false));
    });
  }

  void HandleAction(int process_index, const CloseConnection& close) {
    processes_[process_index].open_to_first.erase(close.connection);
    processes_[process_index].silent.erase(close.connection);
  }

  template <typename T>
  void HandleAction(int, const T&) {}

  void SilenceConnections() {
    for (Process& process : processes_) {
      process.silent = process.open_to_first;
      result_.silent_connections += static_cast<int>(process.silent.size());
      for (ConnectionId id : process.silent) {
        auto busy = process.busy.find(id);
        if (busy == process.busy.end())
          continue;
        ++result_.in_flight_when_silent;
        process.requests.at(busy->second).used_silent_connection = true;
      }
    }
  }

  BackendSimOptions options_;
  Random random_;
  Time now_ = kTimeZero;
  uint64_t order_ = 0;
  uint64_t next_request_ = 0;
  std::vector<Process> processes_;
  std::priority_queue<Event> events_;
  BackendSimResult result_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_BACKEND_TESTING_BACKEND_SIM_H_
