// One event loop for all input and output of a process, with the process's
// clocks and timers.
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

  // The monotonic clock of this process. Reads the clock at each call.
  Time now() const;
  WallMillis wall_now() const;

  // Runs `task` once at `when`, or at once if that has passed. O(log timers).
  TimerId RunAt(Time when, std::function<void()> task);
  TimerId RunAfter(Duration delay, std::function<void()> task);
  // Does nothing for a timer that ran or was cancelled.
  void Cancel(TimerId timer);

  void Post(std::function<void()> task);

  // Calls `task` at each arrival of `signal`, on the loop's thread.
  void OnSignal(int signal, std::function<void()> task);

  // Runs until Stop(); may be called again afterwards.
  void Run();
  void Stop();

  boost::asio::io_context& io_context();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Calls a task at the time of its earliest need. Arming it for a later time
// than the one it is armed for costs nothing; the task then runs early, once.
class WakeTimer {
 public:
  WakeTimer(EventLoop& loop, std::function<void()> task);
  ~WakeTimer();

  void Arm(Time when);

 private:
  EventLoop& loop_;
  std::function<void()> task_;
  TimerId timer_ = 0;
  Time at_ = kTimeMax;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_EVENT_LOOP_H_
