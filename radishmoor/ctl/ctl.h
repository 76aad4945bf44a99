// radishmoorctl, the operator's command line, without its network layer.
//
//   int main(int argc, char** argv) {
//     return RunCtl(argc, argv, environ,
//                   [](const CtlSettings& s) { return Connect(s); },
//                   std::cout, std::cerr);
//   }
//
// RunCtl() checks the settings, the command line and the inventory file before
// it calls `connect`, so that a usage error opens no connection.

#ifndef RADISHMOOR_CTL_CTL_H_
#define RADISHMOOR_CTL_CTL_H_

#include <cstdint>
#include <functional>
#include <ostream>

#include "radishmoor/config/config_log.h"
#include "radishmoor/ctl/merged_timeline.h"
#include "radishmoor/ops/program_settings.h"

namespace radishmoor {

// Exit codes of the program.
enum CtlExit : int {
  kCtlDone = 0,
  kCtlRefused = 1,      // Refused or in conflict. Nothing was changed.
  kCtlUsage = 2,        // Usage error. Nothing was read or changed.
  kCtlUnreachable = 3,  // The store was not reached or holds damaged text.
  kCtlUnknown = 4,      // The change may have taken effect.
};

// Access to the store and to admin servers. Calls of `store` and `fetch` block
// for at most the setting timeout-ms.
struct CtlIo {
  StoreExecutor store;
  AdminFetcher fetch;
  // Returns a random id, from which a change gets its operation id if the
  // operator gives none.
  std::function<uint64_t()> random_id;
};

// Runs one command and returns its exit code. Writes results to `out`, errors
// and warnings to `err`.
int RunCtl(int argc,
           const char* const* argv,
           const char* const* environment,
           const std::function<CtlIo(const CtlSettings&)>& connect,
           std::ostream& out,
           std::ostream& err);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_CTL_H_
