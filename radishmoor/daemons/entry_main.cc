// radishmoor-entry: the entry process, which forwards callers' requests to
// backend servers.

#include <unistd.h>

#include <iostream>

#include "radishmoor/ops/program_settings.h"
#include "radishmoor/service/entry_service.h"
#include "radishmoor/service/run_service.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  ParseResult parsed = EntrySettingsTable().Parse(argc, argv, environ);
  if (auto code = parsed.Report(std::cout, std::cerr))
    return *code;
  return RunService<EntryService>(EntrySettingsFrom(parsed.values));
}
