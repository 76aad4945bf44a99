// radishmoor-backend: a stand-in for a backend server.

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/standins/backend_server.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  TCLAP::CmdLine cmd("Stand-in for a backend server", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "ip:port; port 0 is chosen",
                                      false, "127.0.0.1:0", "ip:port", cmd);
  TCLAP::ValueArg<std::string> host("", "host", "host id", true, "", "id", cmd);
  TCLAP::ValueArg<std::string> pool("", "pool", "pool served", true, "", "id",
                                    cmd);
  TCLAP::ValueArg<uint32_t> slots("", "slots", "slots", false, 8, "n", cmd);
  TCLAP::ValueArg<uint32_t> queue("", "queue", "waiting requests", false, 16,
                                  "n", cmd);
  TCLAP::ValueArg<uint64_t> run_time("", "run-time-us", "default run time",
                                     false, 20000, "us", cmd);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the random faults", false,
                                 1, "number", cmd);
  TCLAP::ValueArg<std::string> log("", "execution-log", "file to append to",
                                   false, "", "path", cmd);
  cmd.parse(argc, argv);
  auto endpoint = ParseEndpoint(listen.getValue());
  if (!endpoint) {
    std::cerr << "--listen: not ip:port: " << listen.getValue() << "\n";
    return 2;
  }
  BackendServerOptions options;
  options.host = host.getValue();
  options.pool = pool.getValue();
  options.slots = slots.getValue();
  options.queue = queue.getValue();
  options.run_time = Microseconds(static_cast<int64_t>(run_time.getValue()));
  options.execution_log = log.getValue();
  options.seed = seed.getValue();
  EventLoop loop;
  BackendServer backend(loop, options);
  std::cout << "listening " << FormatEndpoint(backend.Listen(*endpoint))
            << std::endl;
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
