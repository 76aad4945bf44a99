#include "radishmoor/base/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>

namespace radishmoor {
namespace {

std::mutex& BreachMutex() {
  static std::mutex mutex;
  return mutex;
}

std::map<std::string, uint64_t>& Breaches() {
  static std::map<std::string, uint64_t> breaches;
  return breaches;
}

std::atomic<bool> abort_on_breach{true};
std::atomic<uint64_t> run_seed{0};

}  // namespace

void ReportInvariantBreach(std::string_view name, const char* file, int line) {
  {
    std::lock_guard lock(BreachMutex());
    ++Breaches()[std::string(name)];
  }
  if (!abort_on_breach)
    return;
  std::fprintf(stderr, "invariant breached: %.*s at %s:%d seed=%llu\n",
               static_cast<int>(name.size()), name.data(), file, line,
               static_cast<unsigned long long>(run_seed.load()));
  std::abort();
}

std::map<std::string, uint64_t> InvariantBreaches() {
  std::lock_guard lock(BreachMutex());
  return Breaches();
}

void SetAbortOnInvariantBreach(bool abort) {
  abort_on_breach = abort;
}

void SetInvariantSeed(uint64_t seed) {
  run_seed = seed;
}

}  // namespace radishmoor
