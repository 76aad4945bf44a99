// radishmoor-control: the control process, which carries out moves, maintenance
// and retirement of hosts.

#include <unistd.h>

#include <iostream>

#include "radishmoor/ops/program_settings.h"
#include "radishmoor/service/control_service.h"
#include "radishmoor/service/run_service.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  ParseResult parsed = ControlSettingsTable().Parse(argc, argv, environ);
  if (auto code = parsed.Report(std::cout, std::cerr))
    return *code;
  return RunService<ControlService>(ControlSettingsFrom(parsed.values));
}
