// Open-loop load: requests arrive by a Poisson process whatever the answers do,
// and every call is recorded.
//
//   LoadGenerator load(loop, options);
//   load.Start([&](std::vector<CallRecord> calls) { ... });
//
// Bounded in rate, duration and connections; memory is bounded by rate *
// duration records.

#ifndef RADISHMOOR_STANDINS_LOAD_GENERATOR_H_
#define RADISHMOOR_STANDINS_LOAD_GENERATOR_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"
#include "radishmoor/standins/history.h"

namespace radishmoor {

class EventLoop;

struct LoadOptions {
  Endpoint target;
  std::vector<std::string> services;
  double rate = 100;  // Calls a second over all services.
  Duration duration = Seconds(10);
  Duration run_time = Milliseconds(20);
  double long_share = 0.015;  // Calls that run long_factor times longer.
  double long_factor = 100;
  double keyed_share = 0.2;    // Non-idempotent calls, each with a key.
  double repeat_share = 0.05;  // Keyed calls that repeat a recent key.
  Duration deadline = Seconds(2);
  Duration long_deadline = Seconds(20);
  size_t max_connections = 2000;
  uint64_t seed = 1;
};

class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, LoadOptions options);
  ~LoadGenerator();

  // Calls `done` once, when every call has its result or is lost: no answer
  // within its deadline and 5 s.
  void Start(std::function<void(std::vector<CallRecord>)> done);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_LOAD_GENERATOR_H_
