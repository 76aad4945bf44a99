// Stand-in for a backend server: runs requests of one pool on a fixed number of
// slots, writes an execution log, and has fault switches.
//
//   BackendServer backend(loop, options);
//   Endpoint bound = backend.Listen({"127.0.0.1", 0});
//
// A request's run time is its "Work-Us" header in microseconds, else the
// default of the options. A request whose Host header names another pool gets
// 421. Requests beyond the slots wait in a queue, and beyond the queue get 503
// with "Radishmoor-Run: not-run". The body of the answer repeats the request's
// "Request-Id" header, so that a caller can tell its own answer.
//
// Execution log: one line for each event, "<unix us> <event> <pool> <request
// id> <idempotency key>", where event is start, end, or abort (the connection
// closed while the request ran).
//
//   POST /_standin/faults {"fail_all": B, "swallow": B, "leaving": B,
//                          "silence_open": B, "truncate": P, "seed": N}
//     fail_all: answers 500 at once. swallow: never answers. silence_open:
//     connections that are open now swallow everything, new ones work.
//     truncate: with probability P an answer is cut in half.
//   POST /_standin/assign {"pool": NAME}   serves another pool from now on.
//   POST /_standin/reboot                  409 while requests run; else closes
//                                          all and is gone for reboot_time.
//   POST /_standin/checkpoint
//   GET  /_standin/stats

#ifndef RADISHMOOR_STANDINS_BACKEND_SERVER_H_
#define RADISHMOOR_STANDINS_BACKEND_SERVER_H_

#include <memory>
#include <string>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

class EventLoop;

struct BackendServerOptions {
  std::string host;
  std::string pool;
  uint32_t slots = 8;
  uint32_t connections = 64;
  uint32_t queue = 16;
  Duration run_time = Milliseconds(20);
  Duration reboot_time = Milliseconds(500);
  std::string execution_log;  // File path; empty: no log.
  uint64_t seed = 1;
};

class BackendServer {
 public:
  // Throws std::runtime_error when the execution log cannot be opened.
  BackendServer(EventLoop& loop, BackendServerOptions options);
  ~BackendServer();

  Endpoint Listen(const Endpoint& endpoint);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_BACKEND_SERVER_H_
