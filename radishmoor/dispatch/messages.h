// Messages into and actions out of the request dispatcher (dispatcher.h).

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

// Adds or updates a pool. A closed pool refuses new requests and finishes the
// ones that it has.
struct PoolSet {
  PoolId pool;
  size_t queue_limit = 1000;  // Waiting requests.
  bool closed = false;
};

// Removes the pool and its hosts and refuses its waiting requests. Attempts in
// flight finish.
struct PoolRemoved {
  PoolId pool;
};

// Adds or updates a host of a pool. Ignored for an unknown pool.
struct TargetSet {
  PoolId pool;
  HostId host;
  bool usable = true;  // New attempts may be sent.
  bool local_zone = true;
  int limit = 0;  // Attempts that this process may have in flight there.
  bool leaving_soon = false;  // Due to leave; long work avoids it.
};

// Attempts in flight to the host finish.
struct TargetRemoved {
  PoolId pool;
  HostId host;
};

struct RequestArrived {
  RequestId request;
  PoolId pool;
  std::string operation;  // Run times are learned by pool and operation.
  bool idempotent = false;
  Time deadline;
  uint64_t job_key = 0;  // Hash of the work; 0 if it has no identity.
};

// The caller no longer wants the answer.
struct RequestCancelled {
  RequestId request;
};

enum class AttemptOutcome : uint8_t {
  kCompleted,
  kNotRun,             // The server says so: 503 not-run or 421.
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
  // A lower layer already retried this attempt, so it is not retried again.
  bool retried_below = false;
};

// Runs the timers that are due at `now`.
struct Tick {};

// Shutdown: refuses new requests and, at `grace_deadline`, all others.
struct DrainStarted {
  Time grace_deadline;
};

using Message = std::variant<PoolSet,
                             PoolRemoved,
                             TargetSet,
                             TargetRemoved,
                             RequestArrived,
                             RequestCancelled,
                             AttemptResult,
                             Tick,
                             DrainStarted>;

// Send the request to the host. Exactly one AttemptResult is expected, unless
// an AbortAttempt for the same attempt follows.
struct SendAttempt {
  RequestId request;
  int attempt = 0;  // From 1.
  HostId host;
};

// Close the attempt's connection. A result that is already under way is
// ignored.
struct AbortAttempt {
  RequestId request;
  int attempt = 0;
  HostId host;
};

enum class Outcome : uint8_t {
  kCompleted,
  kRefused,  // Did not run.
  kUnknown,  // May have run.
  kCancelled,
};

enum class Reason : uint8_t {
  kNone,  // With kCompleted.
  kQueueFull,
  kTooLate,  // Cannot start in time.
  kNoBackend,
  kShuttingDown,
  kUnknownService,
  kDeadline,
  kBackendFailed,
  kJobFailed,  // Failed on several different hosts: the fault of the job.
  kCancelled,
};

// The code of the `Radishmoor-Reason` header.
std::string_view ReasonCode(Reason reason);

// The one outcome of a request.
struct Finish {
  RequestId request;
  Outcome outcome = Outcome::kCompleted;
  Reason reason = Reason::kNone;
  Duration retry_after{};  // 0 if a repeat is of no use or not advised.
  // Hosts on which the request failed. With kJobFailed, these failures should
  // not count against the hosts.
  std::vector<HostId> failed_hosts;
};

using Action = std::variant<SendAttempt, AbortAttempt, Finish>;

}  // namespace radishmoor::dispatch

#endif  // RADISHMOOR_DISPATCH_MESSAGES_H_
