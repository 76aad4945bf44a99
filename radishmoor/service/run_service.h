// Runs a service as a process. SIGTERM and SIGINT start its shutdown; the
// process ends when the shutdown is complete.
//
//   return RunService<EntryService>(settings);
//
// Prints the bound addresses on the first line of standard output. Returns the
// exit code: 0, or 1 if an address cannot be bound.

#ifndef RADISHMOOR_SERVICE_RUN_SERVICE_H_
#define RADISHMOOR_SERVICE_RUN_SERVICE_H_

#include <csignal>
#include <iostream>
#include <system_error>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/ops/log.h"

namespace radishmoor {

template <typename Service, typename Settings>
int RunService(const Settings& settings) {
  StartLog({.format = settings.log_format, .level = settings.log_level});
  EventLoop loop;
  Service service(loop, settings);
  loop.OnSignal(SIGTERM, [&service] { service.Shutdown(); });
  loop.OnSignal(SIGINT, [&service] { service.Shutdown(); });
  // SIGHUP is ignored: the settings of a process do not change while it runs.
  loop.OnSignal(SIGHUP, [] {});
  try {
    service.Start();
  } catch (const std::system_error& error) {
    LogError("cannot-start", {{"detail", error.what()}});
    return 1;
  }
  std::cout << service.Addresses() << std::endl;
  // An unexpected error loses the message that caused it, not the process.
  loop.OnException([](const std::exception& error) {
    LogError("handler-failed", {{"reason", error.what()}});
  });
  loop.Run();
  return 0;
}

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_RUN_SERVICE_H_
