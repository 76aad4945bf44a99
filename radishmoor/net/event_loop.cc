#include "radishmoor/net/event_loop.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <ctime>
#include <list>
#include <map>
#include <utility>

namespace radishmoor {

namespace asio = boost::asio;

// All timers share one Asio timer, which is set to the earliest deadline.
struct EventLoop::Impl {
  asio::io_context io{1};
  asio::steady_timer timer{io};
  std::map<std::pair<Time, TimerId>, std::function<void()>> tasks;
  std::map<TimerId, Time> timer_deadlines;  // Pending timers only.
  TimerId next_timer = 1;
  Time armed_for = kTimeMax;  // Expiry of `timer`; kTimeMax if it is not set.
  std::list<asio::signal_set> signals;
  std::function<void(const std::exception&)> report_exception;

  void Arm();
  void RunDueTasks();
  void WaitForSignal(asio::signal_set* set, std::function<void()> task);
};

namespace {

// Minimum delay of a WakeTimer: a task that always asks to run at once must not
// starve the other work of the loop.
constexpr Duration kMinWakeDelay = Microseconds(200);

// std::chrono::steady_clock does not count the time for which the host was
// suspended.
Time MonotonicNow() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return Time(Seconds(time.tv_sec) + Microseconds(time.tv_nsec / 1000));
}

}  // namespace

void EventLoop::Impl::Arm() {
  if (tasks.empty())
    return;
  Time earliest = tasks.begin()->first.first;
  if (earliest >= armed_for)
    return;
  armed_for = earliest;
  timer.expires_after(std::max(earliest - MonotonicNow(), Duration::zero()));
  timer.async_wait([this](const boost::system::error_code& error) {
    if (error)
      return;
    armed_for = kTimeMax;
    try {
      RunDueTasks();
    } catch (...) {
      Arm();
      throw;
    }
    Arm();
  });
}

void EventLoop::Impl::RunDueTasks() {
  Time now = MonotonicNow();
  while (!tasks.empty() && tasks.begin()->first.first <= now) {
    auto node = tasks.extract(tasks.begin());
    timer_deadlines.erase(node.key().second);
    node.mapped()();
  }
}

void EventLoop::Impl::WaitForSignal(asio::signal_set* set,
                                    std::function<void()> task) {
  set->async_wait([this, set, task = std::move(task)](
                      const boost::system::error_code& error, int) mutable {
    if (error)
      return;
    WaitForSignal(set, task);
    task();
  });
}

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

Time EventLoop::now() const {
  return MonotonicNow();
}

WallMillis EventLoop::wall_now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

TimerId EventLoop::RunAt(Time when, std::function<void()> task) {
  TimerId id = impl_->next_timer++;
  impl_->tasks.emplace(std::pair(when, id), std::move(task));
  impl_->timer_deadlines.emplace(id, when);
  impl_->Arm();
  return id;
}

TimerId EventLoop::RunAfter(Duration delay, std::function<void()> task) {
  return RunAt(now() + delay, std::move(task));
}

void EventLoop::Cancel(TimerId timer) {
  auto it = impl_->timer_deadlines.find(timer);
  if (it == impl_->timer_deadlines.end())
    return;
  impl_->tasks.erase(std::pair(it->second, timer));
  impl_->timer_deadlines.erase(it);
}

void EventLoop::Post(std::function<void()> task) {
  asio::post(impl_->io, std::move(task));
}

void EventLoop::OnSignal(int signal, std::function<void()> task) {
  asio::signal_set& set = impl_->signals.emplace_back(impl_->io, signal);
  impl_->WaitForSignal(&set, std::move(task));
}

void EventLoop::Run() {
  // Allows run() after an earlier stop().
  impl_->io.restart();
  auto guard = asio::make_work_guard(impl_->io);
  while (!impl_->io.stopped()) {
    try {
      impl_->io.run();
    } catch (const std::exception& error) {
      if (!impl_->report_exception)
        throw;
      impl_->report_exception(error);
    }
  }
}

void EventLoop::OnException(std::function<void(const std::exception&)> report) {
  impl_->report_exception = std::move(report);
}

void EventLoop::Stop() {
  impl_->io.stop();
}

asio::io_context& EventLoop::io_context() {
  return impl_->io;
}

WakeTimer::WakeTimer(EventLoop& loop, std::function<void()> task)
    : loop_(loop), task_(std::move(task)) {}

WakeTimer::~WakeTimer() {
  loop_.Cancel(timer_);
}

void WakeTimer::Arm(Time when) {
  if (when >= armed_for_)
    return;
  loop_.Cancel(timer_);
  armed_for_ = std::max(when, loop_.now() + kMinWakeDelay);
  timer_ = loop_.RunAt(armed_for_, [this] {
    armed_for_ = kTimeMax;
    task_();
  });
}

}  // namespace radishmoor
