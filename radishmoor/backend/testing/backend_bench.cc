// Measures in virtual time how many requests miss their deadline when all
// connections to one of ten hosts become silent at once, with the detection of
// silent connections off and on. Prints medians and ranges over 11 seeds,
// scaled to 64 silent connections.
//
//   backend_bench [--json]

#include <algorithm>
#include <cstdio>
#include <cstring>

#include "radishmoor/backend/testing/backend_sim.h"

namespace radishmoor {
namespace {

constexpr int kSeeds = 11;

struct Samples {
  std::vector<double> values;
  double at(size_t index) {
    std::sort(values.begin(), values.end());
    return values[index];
  }
};

void Measure(int processes, double idempotent, bool detection, bool json) {
  Samples missed_deadlines;
  Samples sent_after_silence;
  Samples in_flight_when_silent;
  Samples retries;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    BackendSimOptions options;
    options.processes = processes;
    options.backend.max_connections = processes == 1 ? 64 : 7;
    options.backend.max_idle_per_host = options.backend.max_connections;
    options.backend.detect_silent = detection;
    options.idempotent_share = idempotent;
    options.seed = static_cast<uint64_t>(seed);
    BackendSimResult result = BackendSim(options).Run();
    double per_64 = 64.0 / std::max(1, result.silent_connections);
    missed_deadlines.values.push_back(result.missed_deadlines * per_64);
    sent_after_silence.values.push_back(result.missed_sent_after_silence *
                                        per_64);
    in_flight_when_silent.values.push_back(result.in_flight_when_silent *
                                           per_64);
    retries.values.push_back(100.0 * result.retries / result.requests);
  }
  const char* format =
      json ? "{\"processes\":%d,\"idempotent\":%.1f,\"detect\":%d,"
             "\"missed_per_64\":{\"median\":%.1f,\"min\":%.1f,\"max\":%.1f},"
             "\"of_these_sent_after_median\":%.1f,\"outstanding_median\":%.1f,"
             "\"retries_percent_median\":%.2f}\n"
           : "processes %d  idempotent %.1f  detect %d  missed per 64: %.1f "
             "(%.1f-%.1f), sent after the event %.1f, outstanding at the event "
             "%.1f, retries %.2f%%\n";
  std::printf(format, processes, idempotent, detection ? 1 : 0,
              missed_deadlines.at(kSeeds / 2), missed_deadlines.at(0),
              missed_deadlines.at(kSeeds - 1),
              sent_after_silence.at(kSeeds / 2),
              in_flight_when_silent.at(kSeeds / 2), retries.at(kSeeds / 2));
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  bool json = argc > 1 && std::strcmp(argv[1], "--json") == 0;
  for (int processes : {1, 9}) {
    for (double idempotent : {1.0, 0.5, 0.0}) {
      for (bool detection : {false, true})
        radishmoor::Measure(processes, idempotent, detection, json);
    }
  }
  return 0;
}
