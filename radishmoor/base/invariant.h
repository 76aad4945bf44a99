// Named invariants, checked in every build.
//
//   RADISHMOOR_INVARIANT("dispatch.conservation",
//                        accepted == done + in_flight);
//
// A breach increments the invariant's counter. Unless
// SetAbortOnInvariantBreach(false) was called, the process then prints the
// name, the source location and the seed of the run, and aborts. Each name has
// one line in docs/invariants.md.
//
// Cost of a check that passes: the condition and one predictable branch.

#ifndef RADISHMOOR_BASE_INVARIANT_H_
#define RADISHMOOR_BASE_INVARIANT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace radishmoor {

// Called by RADISHMOOR_INVARIANT on a breach. Thread-safe.
void ReportInvariantBreach(std::string_view name, const char* file, int line);

// Returns the number of breaches by name, for the metrics endpoint.
std::map<std::string, uint64_t> InvariantBreaches();

// Sets whether a breach aborts the process (the default) or is only counted.
void SetAbortOnInvariantBreach(bool abort);

// Sets the seed that an abort message prints, so that a random run can be
// repeated.
void SetInvariantSeed(uint64_t seed);

}  // namespace radishmoor

#define RADISHMOOR_INVARIANT(name, condition)                          \
  do {                                                                 \
    if (!(condition)) [[unlikely]] {                                   \
      ::radishmoor::ReportInvariantBreach((name), __FILE__, __LINE__); \
    }                                                                  \
  } while (false)

#endif  // RADISHMOOR_BASE_INVARIANT_H_
