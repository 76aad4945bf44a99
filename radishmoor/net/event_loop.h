// Event loop of a process: its sockets, timers, signals and clocks.
//
//   EventLoop loop;
//   loop.RunAfter(Milliseconds(100), [] { ... });
//   loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
//   loop.Run();
//
// All callbacks run on the thread that called Run(). Only Stop() and Post() may
// be called from other threads.

#ifndef RADISHMOOR_NET_EVENT_LOOP_H_
#define RADISHMOOR_NET_EVENT_LOOP_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

#include "radishmoor/base/time.h"

namespace boost::asio {
class io_context;
}

namespace radishmoor {

using TimerId = uint64_t;

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Monotonic time, which also counts the time for which the host was
  // suspended: a lease runs out in that time too. Reads the clock at each call.
  Time now() const;
  // Unix time in ms. May jump.
  WallMillis wall_now() const;

  // Runs `task` once at `when`, or soon after RunAt() returns if that time has
  // passed. A timer runs late by the time for which the host was suspended
  // before it. Costs O(log n) for n pending timers.
  TimerId RunAt(Time when, std::function<void()> task);
  TimerId RunAfter(Duration delay, std::function<void()> task);
  // Does nothing if the timer has run or was cancelled.
  void Cancel(TimerId timer);

  // Queues `task` to run on the loop's thread.
  void Post(std::function<void()> task);

  // Calls `task` at each arrival of `signal`, on the loop's thread.
  void OnSignal(int signal, std::function<void()> task);

  // Runs until Stop(); may be called again afterwards. An exception that leaves
  // a callback ends only that callback if OnException() was called, otherwise
  // it leaves Run().
  void Run();
  // Passes each std::exception that leaves a callback to `report`.
  void OnException(std::function<void(const std::exception&)> report);
  void Stop();

  boost::asio::io_context& io_context();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// A timer that calls its task once at the earliest time it was armed for.
// Arming it for a later time than that has no effect and no cost: the task runs
// at the earlier time and must arm the timer again for the later one.
class WakeTimer {
 public:
  WakeTimer(EventLoop& loop, std::function<void()> task);
  ~WakeTimer();

  void Arm(Time when);

 private:
  EventLoop& loop_;
  std::function<void()> task_;
  TimerId timer_ = 0;
  Time armed_for_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_EVENT_LOOP_H_
