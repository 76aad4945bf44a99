// radishmoor-control: inventory, maintenance and moves.

#include <unistd.h>

#include <csignal>
#include <iostream>
#include <system_error>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/ops/log.h"
#include "radishmoor/ops/program_settings.h"
#include "radishmoor/service/control_service.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  ParseResult parsed = ControlSettingsTable().Parse(argc, argv, environ);
  if (auto code = parsed.Report(std::cout, std::cerr))
    return *code;
  ControlSettings settings = ControlSettingsFrom(parsed.values);
  StartLog({.format = settings.log_format, .level = settings.log_level});
  EventLoop loop;
  ControlService service(loop, settings);
  loop.OnSignal(SIGTERM, [&service] { service.Shutdown(); });
  loop.OnSignal(SIGINT, [&service] { service.Shutdown(); });
  // The settings of a process do not change while it runs.
  loop.OnSignal(SIGHUP, [] {});
  try {
    service.Start();
  } catch (const std::system_error& error) {
    LogError("cannot-start", {{"detail", error.what()}});
    return 1;
  }
  std::cout << "admin " << FormatEndpoint(service.admin_endpoint())
            << std::endl;
  loop.Run();
  return 0;
}
