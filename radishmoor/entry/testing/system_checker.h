// Global checks of a random run of the whole system. The checker sees what
// callers, backend hosts, the platform and the configuration log record; it
// uses no decision code of the product.
//
//   SystemChecker checker;
//   checker.Asked(uid, key);
//   checker.Started(now, uid, host, admitted_pool, request_pool);
//   checker.Ended(now, uid, CallerOutcome::kCompleted, answer);

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
  kConnectionLost,  // The entry process died.
};

// What a backend host answers to a request: its key, or its number without
// one. An answer that reaches a caller with another text is a foreign one.
inline std::string AnswerText(uint64_t uid, const std::string& key) {
  return key.empty() ? "uid " + std::to_string(uid) : "key " + key;
}

class SystemChecker {
 public:
  void Asked(uint64_t uid, const std::string& key) { requests_[uid].key = key; }

  // A backend host starts to work on the request.
  void Started(Time now,
               uint64_t uid,
               const HostId& host,
               const PoolId& admitted,
               const PoolId& pool) {
    ++checks;
    Request& request = requests_.at(uid);
    ++request.starts;
    if (!request.key.empty() && ++key_starts_[request.key] > 1)
      Fail(now, "at-most-once", request.key + " on " + host.str());
    if (request.outcome == CallerOutcome::kNotRun && request.outcomes > 0)
      Fail(now, "not-run-is-true", "start after the refusal of " + Name(uid));
    if (admitted != pool) {
      Fail(now, "one-pool",
           host.str() + " of " + admitted.str() + " started " + pool.str() +
               " " + Name(uid));
    }
    const HostState* state = truth.FindHost(host);
    if (state == nullptr || (state->phase != HostPhase::kActive &&
                             state->phase != HostPhase::kDraining)) {
      Fail(now, "no-start-after-drain", host.str() + " " + Name(uid));
    }
  }

  // The one outcome that a caller sees.
  void Ended(Time now,
             uint64_t uid,
             CallerOutcome outcome,
             std::string_view answer = {}) {
    ++checks;
    auto it = requests_.find(uid);
    if (it == requests_.end())
      return Fail(now, "one-outcome", "outcome for no request");
    Request& request = it->second;
    if (++request.outcomes > 1)
      return Fail(now, "one-outcome", "second outcome of " + Name(uid));
    request.outcome = outcome;
    if (outcome == CallerOutcome::kNotRun && request.starts > 0)
      Fail(now, "not-run-is-true", "start before the refusal of " + Name(uid));
    if (outcome != CallerOutcome::kCompleted)
      return;
    if (answer != AnswerText(uid, request.key))
      Fail(now, "own-answer", Name(uid) + " got '" + std::string(answer) + "'");
    bool ran = request.key.empty() ? request.starts > 0
                                   : key_starts_.contains(request.key);
    if (!ran)
      Fail(now, "own-answer", Name(uid) + " completed without a start");
  }

  void Rebooted(Time now, const HostId& host, size_t live) {
    ++checks;
    const HostState* state = truth.FindHost(host);
    if (live > 0)
      Fail(now, "no-reboot-of-live-work", host.str());
    if (state == nullptr || state->phase != HostPhase::kRebooting)
      Fail(now, "no-reboot-of-live-work", host.str() + " is not reserved");
  }

  void InForce(Time now,
               const std::string& process,
               ConfigVersion before,
               ConfigVersion version) {
    ++checks;
    if (version < before)
      Fail(now, "version-grows", process);
  }

  // The next change of the accepted log.
  void Accepted(Time now, const ConfigDelta& delta) {
    ++checks;
    FleetState before = truth;
    truth.Apply(delta);
    if (!operations_.insert(delta.operation).second)
      Fail(now, "operation-once", delta.author);
    if (delta.author == kOperator)
      return;
    for (const HostState& host : delta.hosts) {
      const HostState* old = before.FindHost(host.id);
      if (old == nullptr)
        continue;
      if (old->pool != host.pool && old->phase != HostPhase::kDrained)
        Fail(now, "one-pool", host.id.str() + " moved in service");
      // A host that was moved and never served its new pool takes nothing
      // from that pool's budget.
      if (old->pool != host.pool)
        newcomers_.insert(host.id);
      if (host.phase == HostPhase::kActive)
        newcomers_.erase(host.id);
      if (host.phase == HostPhase::kDraining &&
          old->phase == HostPhase::kActive) {
        CheckBudget(now, host.pool);
      }
    }
  }

  void Fail(Time now, const std::string& invariant, const std::string& what) {
    ++by_invariant[invariant];
    if (violations.size() < kMaxListed) {
      violations.push_back(std::to_string(ToSeconds(now - kTimeZero)) + " " +
                           invariant + ": " + what);
    }
  }

  bool answered(uint64_t uid) const { return requests_.at(uid).outcomes > 0; }

  static constexpr char kOperator[] = "operator";
  static constexpr size_t kMaxListed = 20;
  FleetState truth;  // The accepted configuration.
  uint64_t checks = 0;
  std::vector<std::string> violations;
  std::map<std::string, uint64_t> by_invariant;

 private:
  struct Request {
    std::string key;
    uint32_t starts = 0;
    uint32_t outcomes = 0;
    CallerOutcome outcome = CallerOutcome::kUnknown;
  };

  std::string Name(uint64_t uid) const {
    return "uid " + std::to_string(uid) + " '" + requests_.at(uid).key + "'";
  }

  void CheckBudget(Time now, const PoolId& id) {
    const PoolState* pool = truth.FindPool(id);
    if (pool == nullptr || pool->closed)
      return;
    uint32_t out = 0;
    for (const auto& [host_id, host] : truth.hosts) {
      bool counts = host.pool == id && host.phase != HostPhase::kActive &&
                    host.phase != HostPhase::kRetired;
      out += counts && !newcomers_.contains(host_id) ? 1 : 0;
    }
    if (out > pool->max_unavailable)
      Fail(now, "budget", id.str() + " has " + std::to_string(out));
  }

  std::unordered_map<uint64_t, Request> requests_;
  std::unordered_map<std::string, uint32_t> key_starts_;
  std::set<HostId> newcomers_;
  std::set<OperationId> operations_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_TESTING_SYSTEM_CHECKER_H_
