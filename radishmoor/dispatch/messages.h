// The messages that the request dispatcher (dispatcher.h) handles and the
// actions that it returns.

#ifndef RADISHMOOR_DISPATCH_MESSAGES_H_
#define RADISHMOOR_DISPATCH_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"

namespace radishmoor::dispatch {

// Adds or updates a pool. A closed pool refuses new requests and finishes those
// that it has admitted.
struct PoolUpdated {
  PoolId pool;
  size_t queue_limit = 1000;  // Maximum number of waiting requests.
  bool closed = false;
};

// Removes a pool with its hosts and refuses its waiting requests. Attempts in
// flight are not aborted.
struct PoolRemoved {
  PoolId pool;
};

// Adds or updates a host of a pool. Ignored for an unknown pool.
struct TargetUpdated {
  PoolId pool;
  HostId host;
  bool usable = true;      // New attempts may be sent to the host.
  bool local_zone = true;  // The host is in the zone of this process.
  int limit = 0;  // Maximum attempts of this process in flight to the host.
  bool leaving_soon = false;  // Due for removal; long requests avoid the host.
};

// Removes a host from a pool. Attempts in flight to it are not aborted.
struct TargetRemoved {
  PoolId pool;
  HostId host;
};

struct RequestArrived {
  RequestId request;
  PoolId pool;
  std::string operation;  // Run times are recorded by pool and operation.
  bool idempotent = false;
  Time deadline;
  // Hash of the request's content. Failures of requests with the same hash are
  // counted together. 0 if there is no hash.
  uint64_t content_hash = 0;
};

// The caller no longer waits for the answer.
struct RequestCancelled {
  RequestId request;
};

enum class AttemptOutcome : uint8_t {
  kCompleted,
  kNotRun,             // The server answered 503 not-run or 421.
  kFailedBeforeWrite,  // No byte was written to a connection.
  kFailedAfterWrite,
  kLost,         // Timed out, or the connection was lost after the write.
  kErrorAnswer,  // 5xx other than a not-run answer.
};

struct AttemptResult {
  RequestId request;
  int attempt = 0;
  HostId host;
  AttemptOutcome outcome = AttemptOutcome::kCompleted;
  // A lower layer has already retried this attempt. The dispatcher does not
  // retry it again.
  bool retried_by_lower_layer = false;
};

// Runs the timers that are due, as every other message does too.
struct Tick {};

// Starts the shutdown: new requests are refused, and those that have no outcome
// by `grace_deadline` are ended then.
struct DrainStarted {
  Time grace_deadline;
};

using Message = std::variant<PoolUpdated,
                             PoolRemoved,
                             TargetUpdated,
                             TargetRemoved,
                             RequestArrived,
                             RequestCancelled,
                             AttemptResult,
                             Tick,
                             DrainStarted>;

// Tells the caller to send the request to the host and to report exactly one
// AttemptResult, unless an AbortAttempt for the same attempt follows.
struct SendAttempt {
  RequestId request;
  int attempt = 0;  // The first attempt of a request is 1.
  HostId host;
};

// Tells the caller to close the attempt's connection. A result that arrives
// afterwards is ignored.
struct AbortAttempt {
  RequestId request;
  int attempt = 0;
  HostId host;
};

enum class Outcome : uint8_t {
  kCompleted,
  kRefused,  // The request did not run.
  kUnknown,  // The request may have run.
  kCancelled,
};

enum class Reason : uint8_t {
  kNone,  // Used with Outcome::kCompleted.
  kQueueFull,
  kTooLate,  // The request cannot start in time.
  kNoBackend,
  kShuttingDown,
  kUnknownService,
  kDeadline,
  kBackendFailed,
  // Poison request: requests with this content failed on several hosts, so the
  // fault lies in the request and not in the hosts.
  kPoisonRequest,
  kCancelled,
};

// Returns the value of the `Radishmoor-Reason` header.
std::string_view ReasonCode(Reason reason);

// Reports the outcome of a request, once for each request.
struct Finish {
  RequestId request;
  Outcome outcome = Outcome::kCompleted;
  Reason reason = Reason::kNone;
  // With kRefused, the delay after which the caller may repeat the request, or
  // 0 if a repeat would be useless. 0 with the other outcomes.
  Duration retry_after{};
  // Hosts on which the request failed. With kPoisonRequest, these failures must
  // not count against the hosts.
  std::vector<HostId> failed_hosts;
};

using Action = std::variant<SendAttempt, AbortAttempt, Finish>;

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_MESSAGES_H_
