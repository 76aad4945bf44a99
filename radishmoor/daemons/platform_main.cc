// radishmoor-platform: a stand-in for the platform's services.

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/standins/platform_server.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  TCLAP::CmdLine cmd("Stand-in for the platform's services", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "ip:port; port 0 is chosen",
                                      false, "127.0.0.1:0", "ip:port", cmd);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of the random faults", false,
                                 1, "number", cmd);
  cmd.parse(argc, argv);
  auto endpoint = ParseEndpoint(listen.getValue());
  if (!endpoint) {
    std::cerr << "--listen: not ip:port: " << listen.getValue() << "\n";
    return 2;
  }
  EventLoop loop;
  PlatformServer platform(loop, seed.getValue());
  std::cout << "listening " << FormatEndpoint(platform.Listen(*endpoint))
            << std::endl;
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
