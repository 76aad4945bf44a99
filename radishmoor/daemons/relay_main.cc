// radishmoor-relay: a stand-in for the load balancer, which relays TCP
// connections to entry hosts.

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/standins/relay.h"

int main(int argc, char** argv) {
  using namespace radishmoor;  // NOLINT(google-build-using-namespace)
  TCLAP::CmdLine cmd("TCP relay that plays the load balancer", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "ip:port; port 0 is chosen",
                                      false, "127.0.0.1:0", "ip:port", cmd);
  TCLAP::MultiArg<std::string> targets("", "target", "ip:port of an entry host",
                                       true, "ip:port", cmd);
  cmd.parse(argc, argv);
  auto endpoint = ParseEndpoint(listen.getValue());
  if (!endpoint) {
    std::cerr << "--listen: not ip:port: " << listen.getValue() << "\n";
    return 2;
  }
  std::vector<Endpoint> endpoints;
  for (const std::string& text : targets.getValue()) {
    auto target = ParseEndpoint(text);
    if (!target) {
      std::cerr << "--target: not ip:port: " << text << "\n";
      return 2;
    }
    endpoints.push_back(*target);
  }
  EventLoop loop;
  Relay relay(loop);
  relay.SetTargets(std::move(endpoints));
  std::cout << "listening " << FormatEndpoint(relay.Listen(*endpoint))
            << std::endl;
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.Run();
  return 0;
}
