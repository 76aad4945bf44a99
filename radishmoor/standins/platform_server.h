// Stand-in for the platform, for tests and trials: serves the transactional
// table, the object store, the host list and the host operations over HTTP. All
// data is in memory. Faults can be injected on demand.
//
//   PlatformServer platform(loop);
//   Endpoint bound = platform.Listen({"127.0.0.1", 0});
//
// The paths of the store are those of net/store_json.h. Further paths:
//
//   POST /faults  {"mode": "up" | "down" | "slow" | "lose-answers",
//                  "delay_ms": N, "probability": P}
//     Applies to store requests, until the next POST.
//     down: requests are refused with 503 and have no effect.
//     slow: answers are sent after delay_ms.
//     lose-answers: with probability P (default 1) the request takes effect and
//       the connection closes without an answer.
//   POST /hosts   {"hosts": [{"name", "state", "instance"}], "lag_ms": N}
//     Replaces the host list. Readers see the new list after lag_ms, or at once
//     without it.
//   POST /operations/reboot     {"host", "address"}
//   POST /operations/assign     {"host", "address", "pool"}
//   POST /operations/checkpoint {"host", "address"}
//   POST /operations/status     {"host", "address"}
//     Forwards the operation to the backend server stand-in at "address" and
//     passes its answer on; answers 502 if the server does not answer within
//     2 s. An operation other than status may carry a number "key": after an
//     operation with this or a larger key succeeded on the host, the same
//     operation is answered with 200 and has no effect.
//   GET  /stats
//     Answers a JSON object with the numbers of store requests, commits,
//     conflicts and rows.

#ifndef RADISHMOOR_STANDINS_PLATFORM_SERVER_H_
#define RADISHMOOR_STANDINS_PLATFORM_SERVER_H_

#include <memory>

#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

class PlatformServer {
 public:
  // `seed` drives the random faults.
  PlatformServer(EventLoop& loop, uint64_t seed);
  ~PlatformServer();

  // Starts to accept connections and returns the bound address; for port 0 the
  // kernel chooses the port. Throws std::runtime_error if the address cannot be
  // bound.
  Endpoint Listen(const Endpoint& endpoint);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_PLATFORM_SERVER_H_
