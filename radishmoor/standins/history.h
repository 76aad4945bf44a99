// History of a run: what callers saw and what backend servers executed, and the
// check of one against the other.
//
//   std::vector<CallRecord> calls = ReadCalls(history_file);
//   std::vector<ExecutionRecord> runs = ReadExecutions(execution_logs);
//   HistoryReport report = CheckHistory(calls, runs);
//   if (!report.violations.empty()) ...
//
// Checked: a non-idempotent key starts at most once; a completed call got the
// answer to its own request, and that request ran; a call refused as not-run
// has no start under its request id; every call has an outcome.

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
  kNotRun,      // Refused; the answer says that the work did not run.
  kMayHaveRun,  // Refused or failed; the answer does not exclude a run.
  kClosed,      // The connection ended without an answer.
  kLost,        // Neither an answer nor the end of the connection.
};

struct CallRecord {
  std::string request_id;  // Sent in the Request-Id header; unique.
  std::string key;         // Idempotency key, or "-".
  std::string service;
  bool long_running = false;
  CallResult result = CallResult::kLost;
  unsigned status = 0;
  std::string reason;       // Radishmoor-Reason, or "-".
  std::string answered_id;  // Request id in the answer's body, or "-".
  int64_t start_us = 0;     // Since the start of the run.
  int64_t latency_us = 0;
};

struct ExecutionRecord {
  int64_t unix_us = 0;
  std::string event;  // start, end, abort
  std::string pool;
  std::string request_id;
  std::string key;
};

struct HistoryReport {
  uint64_t calls = 0;
  uint64_t completed = 0;
  uint64_t not_run = 0;
  uint64_t may_have_run = 0;
  uint64_t closed = 0;
  uint64_t lost = 0;
  uint64_t doubled = 0;  // Keys that started more than once.
  std::vector<std::string> violations;
};

void WriteCall(std::ostream& out, const CallRecord& call);
// Throw std::runtime_error on a line that the writers did not write.
std::vector<CallRecord> ReadCalls(std::istream& in);
std::vector<ExecutionRecord> ReadExecutions(std::istream& in);

// O((calls + executions) * log). Calls that repeat a key count as answered by
// any request of that key. Without executions only the calls are checked.
HistoryReport CheckHistory(std::span<const CallRecord> calls,
                           std::span<const ExecutionRecord> executions);

}  // namespace radishmoor

#endif  // RADISHMOOR_STANDINS_HISTORY_H_
