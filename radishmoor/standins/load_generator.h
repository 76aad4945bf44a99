// Open-loop load generator: calls arrive as a Poisson process, independent of
// the answers to earlier calls, and each call is recorded.
//
//   LoadGenerator load(loop, options);
//   load.Start([&](std::vector<CallRecord> calls) { ... });
//
// Memory grows by one record for each call, so to about rate * duration
// records.

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
  std::vector<std::string> services;     // Each call picks one at random.
  double rate = 100;                     // Calls per second over all services.
  Duration duration = Seconds(10);       // Calls arrive for this long.
  Duration run_time = Milliseconds(20);  // Of a short call, on the server.
  double long_share = 0.015;  // Share of the calls without a key that are long.
  double long_factor = 100;   // A long call runs for long_factor * run_time.
  double keyed_share = 0.2;   // Share of calls with an idempotency key.
  double repeat_share = 0.05;  // Share of keyed calls that repeat a recent key.
  Duration deadline = Seconds(2);        // Of a short call.
  Duration long_deadline = Seconds(20);  // Of a long call.
  // A call that would need one more connection is recorded as not run, with the
  // reason "load-connection-limit".
  size_t max_connections = 2000;
  uint64_t seed = 1;
};

class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, LoadOptions options);
  ~LoadGenerator();

  // Starts the load. Calls `done` once, after the last arrival and when each
  // call has a result; a call without an answer 5 s after its deadline has the
  // result kLost.
  void Start(std::function<void(std::vector<CallRecord>)> done);

  struct Impl;

 private:
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_LOAD_GENERATOR_H_
