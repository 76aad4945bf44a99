// Stand-in for the platform: transactional table service, object store, host
// list and host operations over HTTP, all in memory, with fault switches.
//
//   PlatformServer platform(loop);
//   Endpoint bound = platform.Listen({"127.0.0.1", 0});
//
// Besides the store's paths (net/store_json.h):
//
//   POST /faults  {"mode": "up" | "down" | "slow" | "lose-answers",
//                  "delay_ms": N, "probability": P}
//     down: requests are refused with 503 and have no effect.
//     slow: answers come after delay_ms.
//     lose-answers: with probability P the request takes effect and the
//       connection closes without an answer.
//   POST /hosts   {"hosts": [{"name", "state", "instance"}]}  replaces the
//   list,
//                  visible after "lag_ms".
//   POST /operations/reboot     {"host", "address"}
//   POST /operations/assign     {"host", "address", "pool"}
//   POST /operations/checkpoint {"host", "address"}
//   POST /operations/status     {"host", "address"}  200 while it serves
//     Forwarded to the backend server stand-in; the answer is its answer. An
//     operation with "key" is carried out once: a repeated or older key for the
//     same operation and host is answered with 200 and has no effect.
//   GET  /stats   requests, commits, conflicts, rows.

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

  Endpoint Listen(const Endpoint& endpoint);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_PLATFORM_SERVER_H_
