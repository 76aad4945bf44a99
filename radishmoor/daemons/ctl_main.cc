// radishmoorctl: the operator's command line.

#include <unistd.h>

#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "radishmoor/ctl/ctl.h"
#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/store_client.h"
#include "radishmoor/service/endpoints.h"

namespace radishmoor {
namespace {

// Blocking network access for commands, which send one request at a time.
struct Connection {
  explicit Connection(const CtlSettings& settings)
      : timeout(settings.timeout),
        store(loop, ToEndpoint(settings.platform_address), settings.timeout),
        fetcher(loop) {}

  StoreReply Execute(const StoreRequest& request) {
    StoreReply result;
    store.Execute(request, [&](StoreReply reply) {
      result = std::move(reply);
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  std::optional<std::string> Fetch(const std::string& address,
                                   const std::string& path) {
    auto endpoint = ParseEndpoint(address);
    if (!endpoint)
      return std::nullopt;
    std::optional<std::string> body;
    fetcher.Fetch(*endpoint, {"GET", path, {}, ""}, timeout,
                  [&](HttpFetcher::Result result) {
                    auto* response = std::get_if<HttpResponse>(&result);
                    if (response != nullptr && response->status == 200)
                      body = std::move(response->body);
                    loop.Stop();
                  });
    loop.Run();
    return body;
  }

  Duration timeout;
  EventLoop loop;
  StoreClient store;
  HttpFetcher fetcher;
};

CtlIo Connect(const CtlSettings& settings) {
  auto connection = std::make_shared<Connection>(settings);
  return {
      .store = [connection](
                   const StoreRequest& r) { return connection->Execute(r); },
      .fetch =
          [connection](const std::string& address, const std::string& path) {
            return connection->Fetch(address, path);
          },
      .random_id =
          [] {
            std::random_device device;
            return (uint64_t{device()} << 32) | device();
          }};
}

}  // namespace
}  // namespace radishmoor

int main(int argc, char** argv) {
  return radishmoor::RunCtl(argc, argv, environ, radishmoor::Connect, std::cout,
                            std::cerr);
}
