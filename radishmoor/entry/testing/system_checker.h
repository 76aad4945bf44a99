// Checks the global invariants in a random run of the whole system. The checker
// is told what callers, backend hosts, the platform and the configuration log
// see, and uses no decision code of the product. `uid` numbers the callers'
// requests.
//
//   SystemChecker checker;
//   checker.OnRequest(uid, key);
//   checker.OnRunStarted(now, uid, host, admitted_pool, request_pool);
//   checker.OnOutcome(now, uid, CallerOutcome::kCompleted, answer);

#ifndef RADISHMOOR_ENTRY_TESTING_SYSTEM_CHECKER_H_
#define RADISHMOOR_ENTRY_TESTING_SYSTEM_CHECKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "radishmoor/base/time.h"
#include "radishmoor/config/fleet_state.h"

namespace radishmoor {

enum class CallerOutcome : uint8_t {
  kCompleted,
  kNotRun,
  kUnknown,
  kCancelled,
  kConnectionLost,  // The entry process was killed.
};

// Returns the text that a backend host answers to a request: it names the key,
// or `uid` if there is none. A caller that gets another text got the answer of
// another request.
inline std::string AnswerText(uint64_t uid, const std::string& key) {
  return key.empty() ? "uid " + std::to_string(uid) : "key " + key;
}

class SystemChecker {
 public:
  void OnRequest(uint64_t uid, const std::string& key) {
    requests_[uid].key = key;
  }

  // A backend host starts to work on the request. `admitted_pool` is the pool
  // that the host was admitted to, `request_pool` that of the request.
  void OnRunStarted(Time now,
                    uint64_t uid,
                    const HostId& host,
                    const PoolId& admitted_pool,
                    const PoolId& request_pool) {
    ++checks;
    Request& request = requests_.at(uid);
    ++request.starts;
    if (!request.key.empty() && ++starts_by_key_[request.key] > 1)
      ReportViolation(now, "at-most-once", request.key + " on " + host.str());
    if (request.outcome == CallerOutcome::kNotRun && request.outcomes > 0)
      ReportViolation(now, "not-run-is-true",
                      "start after the refusal of " + DescribeRequest(uid));
    if (admitted_pool != request_pool) {
      ReportViolation(now, "one-pool",
                      host.str() + " of " + admitted_pool.str() + " started " +
                          request_pool.str() + " " + DescribeRequest(uid));
    }
    const HostState* state = accepted_config.FindHost(host);
    if (state == nullptr || (state->phase != HostPhase::kActive &&
                             state->phase != HostPhase::kDraining)) {
      ReportViolation(now, "no-start-after-drain",
                      host.str() + " " + DescribeRequest(uid));
    }
  }

  // The caller sees the outcome of its request.
  void OnOutcome(Time now,
                 uint64_t uid,
                 CallerOutcome outcome,
                 std::string_view answer = {}) {
    ++checks;
    auto it = requests_.find(uid);
    if (it == requests_.end())
      return ReportViolation(now, "one-outcome",
                             "outcome of an unknown request");
    Request& request = it->second;
    if (++request.outcomes > 1)
      return ReportViolation(now, "one-outcome",
                             "second outcome of " + DescribeRequest(uid));
    request.outcome = outcome;
    if (outcome == CallerOutcome::kNotRun && request.starts > 0)
      ReportViolation(now, "not-run-is-true",
                      "start before the refusal of " + DescribeRequest(uid));
    if (outcome != CallerOutcome::kCompleted)
      return;
    if (answer != AnswerText(uid, request.key))
      ReportViolation(
          now, "own-answer",
          DescribeRequest(uid) + " got '" + std::string(answer) + "'");
    bool ran = request.key.empty() ? request.starts > 0
                                   : starts_by_key_.contains(request.key);
    if (!ran)
      ReportViolation(now, "own-answer",
                      DescribeRequest(uid) + " completed without a start");
  }

  void OnReboot(Time now, const HostId& host, size_t live_runs) {
    ++checks;
    const HostState* state = accepted_config.FindHost(host);
    if (live_runs > 0)
      ReportViolation(now, "no-reboot-of-live-work", host.str());
    if (state == nullptr || state->phase != HostPhase::kRebooting)
      ReportViolation(now, "no-reboot-of-live-work",
                      host.str() + " is not in phase rebooting");
  }

  void OnVersionInForce(Time now,
                        const std::string& process,
                        ConfigVersion before,
                        ConfigVersion version) {
    ++checks;
    if (version < before)
      ReportViolation(now, "version-grows", process);
  }

  // The configuration log accepted its next change.
  void OnConfigChange(Time now, const ConfigDelta& delta) {
    ++checks;
    FleetState before = accepted_config;
    accepted_config.Apply(delta);
    if (!operations_.insert(delta.operation).second)
      ReportViolation(now, "operation-once", delta.author);
    if (delta.author == kOperator)
      return;
    for (const HostState& host : delta.hosts) {
      const HostState* old = before.FindHost(host.id);
      if (old == nullptr)
        continue;
      if (old->pool != host.pool && old->phase != HostPhase::kDrained)
        ReportViolation(now, "one-pool",
                        host.id.str() + " moved while in service");
      // A host that has not served its new pool yet does not count against the
      // unavailable hosts that this pool may have.
      if (old->pool != host.pool)
        unserved_hosts_.insert(host.id);
      if (host.phase == HostPhase::kActive)
        unserved_hosts_.erase(host.id);
      if (host.phase == HostPhase::kDraining &&
          old->phase == HostPhase::kActive) {
        CheckUnavailableBudget(now, host.pool);
      }
    }
  }

  void ReportViolation(Time now,
                       const std::string& invariant,
                       const std::string& what) {
    ++violations_by_invariant[invariant];
    if (violations.size() < kMaxListedViolations) {
      violations.push_back(std::to_string(ToSeconds(now - kTimeZero)) + " " +
                           invariant + ": " + what);
    }
  }

  bool has_outcome(uint64_t uid) const {
    return requests_.at(uid).outcomes > 0;
  }

  static constexpr char kOperator[] = "operator";
  static constexpr size_t kMaxListedViolations = 20;
  FleetState accepted_config;
  uint64_t checks = 0;
  std::vector<std::string> violations;
  std::map<std::string, uint64_t> violations_by_invariant;

 private:
  struct Request {
    std::string key;
    uint32_t starts = 0;
    uint32_t outcomes = 0;
    CallerOutcome outcome = CallerOutcome::kUnknown;
  };

  std::string DescribeRequest(uint64_t uid) const {
    return "uid " + std::to_string(uid) + " '" + requests_.at(uid).key + "'";
  }

  void CheckUnavailableBudget(Time now, const PoolId& id) {
    const PoolState* pool = accepted_config.FindPool(id);
    if (pool == nullptr || pool->closed)
      return;
    uint32_t unavailable = 0;
    for (const auto& [host_id, host] : accepted_config.hosts) {
      bool counts = host.pool == id && host.phase != HostPhase::kActive &&
                    host.phase != HostPhase::kRetired;
      unavailable += counts && !unserved_hosts_.contains(host_id) ? 1 : 0;
    }
    if (unavailable > pool->max_unavailable)
      ReportViolation(now, "budget",
                      id.str() + " has " + std::to_string(unavailable));
  }

  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<std::string, uint32_t> starts_by_key_;
  std::set<HostId> unserved_hosts_;
  std::set<OperationId> operations_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_TESTING_SYSTEM_CHECKER_H_
