// History of a load run: the calls as the callers saw them, the executions as
// the backend servers logged them, and the check of one against the other.
//
//   std::vector<CallRecord> calls = ReadCalls(history_file);
//   std::vector<ExecutionRecord> executions = ReadExecutions(execution_log);
//   HistoryReport report = CheckHistory(calls, executions);
//   if (!report.violations.empty()) ...
//
// CheckHistory verifies that
// - requests with the same idempotency key start at most once altogether,
// - a completed call got the answer to its own request, and that request
//   started,
// - a call that was refused as not-run has no start under its request id,
// - every call has an outcome.

#ifndef RADISHMOOR_STANDINS_HISTORY_H_
#define RADISHMOOR_STANDINS_HISTORY_H_

#include <cstdint>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace radishmoor {

enum class CallResult : uint8_t {
  kCompleted,
  kNotRun,      // Refused, and the answer says that the request did not run.
  kMayHaveRun,  // Refused or failed, and the request may have run.
  kClosed,      // The connection failed or ended without an answer.
  kLost,        // Neither an answer nor the end of the connection was seen.
};

struct CallRecord {
  std::string request_id;  // Sent in the Request-Id header; unique.
  std::string key;         // Idempotency key, or "-".
  std::string service;
  bool long_running = false;
  CallResult result = CallResult::kLost;
  unsigned status = 0;      // HTTP status; 0 without an answer.
  std::string reason;       // Radishmoor-Reason, or "-".
  std::string answered_id;  // Request id in the answer's body, or "-".
  int64_t start_us = 0;     // Time of the call since the start of the load.
  int64_t latency_us = 0;   // Time from the call to its result.
};

struct ExecutionRecord {
  int64_t unix_us = 0;
  std::string event;  // "start", "end" or "abort"; see backend_server.h.
  std::string pool;
  std::string request_id;
  std::string key;
};

// Counts of calls by result, and the violations that were found.
struct HistoryReport {
  uint64_t calls = 0;
  uint64_t completed = 0;
  uint64_t not_run = 0;
  uint64_t may_have_run = 0;
  uint64_t closed = 0;
  uint64_t lost = 0;
  // Idempotency keys whose requests started more than once.
  uint64_t keys_started_repeatedly = 0;
  std::vector<std::string> violations;  // One sentence each.
};

// Writes one line, which ReadCalls reads.
void WriteCall(std::ostream& out, const CallRecord& call);
// Throws std::runtime_error on a malformed line.
std::vector<CallRecord> ReadCalls(std::istream& in);
// Reads an execution log of a backend server. Throws std::runtime_error on a
// malformed line.
std::vector<ExecutionRecord> ReadExecutions(std::istream& in);

// A call with a key may get the answer to any request with the same key. If
// `executions` is empty, starts are not checked. Cost: O(n log n) for n calls
// and executions together.
HistoryReport CheckHistory(std::span<const CallRecord> calls,
                           std::span<const ExecutionRecord> executions);

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_HISTORY_H_
