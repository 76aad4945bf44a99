// Stand-in for a backend server, for tests and trials: serves the requests of
// one pool on a fixed number of slots, writes an execution log, and injects
// faults on demand.
//
//   BackendServer backend(loop, options);
//   Endpoint bound = backend.Listen({"127.0.0.1", 0});
//
// A request runs for the time in its "Work-Us" header (microseconds), or for
// BackendServerOptions::run_time without that header. A request whose Host
// header names another pool is answered with 421. If all slots are busy, a
// request waits in a queue; if the queue is full, it is answered with 503. Both
// refusals carry "Radishmoor-Run: not-run". The body of an answer repeats the
// request's "Request-Id" header, so that a caller can check that the answer
// belongs to its request.
//
// The execution log has one line for each event, "<unix us> <event> <pool>
// <request id> <idempotency key>", where <event> is start, end, or abort (the
// connection closed while the request ran) and a missing id or key is "-".
//
// Control requests:
//
//   POST /_standin/faults {"fail_all": B, "swallow": B, "leaving": B,
//                          "silence_open": B, "truncate": P, "seed": N}
//     Replaces all fault switches; a switch that is not given is off.
//     fail_all: every request is answered with 500 at once.
//     swallow: no request is ever answered.
//     leaving: answers carry "Radishmoor-Leaving: 1" and close the connection.
//     silence_open: requests on the connections that are open now are never
//       answered; connections that are opened later work. This lasts until a
//       reboot.
//     truncate: with probability P, an answer ends before its announced length.
//     seed: ignored.
//   POST /_standin/assign {"pool": NAME}
//     Serves another pool from now on.
//   POST /_standin/reboot
//     Answers 409 if requests run or wait. Otherwise closes all connections and
//     the listening port for reboot_time.
//   POST /_standin/checkpoint
//     Answers 200 and has no other effect.
//   GET  /_standin/stats, /_standin/status
//     Answers a JSON object with the host, the pool, and the counts of running
//     and waiting requests, of starts, aborts, reboots and open connections.

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
  uint32_t slots = 8;         // Requests that run at the same time.
  uint32_t connections = 64;  // Largest number of open connections.
  uint32_t queue = 16;  // Largest number of requests that wait for a slot.
  Duration run_time = Milliseconds(20);  // Of a request without "Work-Us".
  Duration reboot_time = Milliseconds(500);
  std::string execution_log;  // Path of a file to append to; empty for no log.
  uint64_t seed = 1;          // Drives the random faults.
};

class BackendServer {
 public:
  // Throws std::runtime_error if the execution log cannot be opened.
  BackendServer(EventLoop& loop, BackendServerOptions options);
  ~BackendServer();

  // Starts to accept connections and returns the bound address; for port 0 the
  // kernel chooses the port. Throws std::runtime_error if the address cannot be
  // bound.
  Endpoint Listen(const Endpoint& endpoint);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_BACKEND_SERVER_H_
