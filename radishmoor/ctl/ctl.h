// The operator's command line without its network layer.
//
//   int main(int argc, char** argv) {
//     return RunCtl(argc, argv, environ,
//                   [](const CtlSettings& s) { return Connect(s); },
//                   std::cout, std::cerr);
//   }
//
// Settings and the file are checked before `connect` is called, so a usage
// error opens no socket.

#ifndef RADISHMOOR_CTL_CTL_H_
#define RADISHMOOR_CTL_CTL_H_

#include <cstdint>
#include <functional>
#include <ostream>

#include "radishmoor/config/config_log.h"
#include "radishmoor/ctl/merged_timeline.h"
#include "radishmoor/ops/program_settings.h"

namespace radishmoor {

enum CtlExit : int {
  kCtlDone = 0,
  kCtlRefused = 1,      // Also a conflict. Nothing was changed.
  kCtlUsage = 2,        // Nothing was read or changed.
  kCtlUnreachable = 3,  // Also a store that holds damaged text.
  kCtlUnknown = 4,      // The change may have taken effect.
};

// What the commands need from outside. Both calls block for at most the
// setting timeout-ms.
struct CtlIo {
  StoreExecutor store;
  AdminFetcher fetch;
  // A random id, used for a change if the operator names none.
  std::function<uint64_t()> random_id;
};

// Returns the exit code. Results go to `out`, errors and warnings to `err`.
int RunCtl(int argc,
           const char* const* argv,
           const char* const* environment,
           const std::function<CtlIo(const CtlSettings&)>& connect,
           std::ostream& out,
           std::ostream& err);

}  // namespace radishmoor

#endif  // RADISHMOOR_CTL_CTL_H_
