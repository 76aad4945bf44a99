#include "radishmoor/service/admin_server.h"

#include <string_view>
#include <utility>

#include "radishmoor/ops/metrics.h"

namespace radishmoor {
namespace {

HttpResponse OkResponse(std::string_view content_type, std::string body) {
  return {200, {{"Content-Type", std::string(content_type)}}, std::move(body)};
}

}  // namespace

AdminServer::AdminServer(EventLoop& loop, AdminPages pages)
    : pages_(std::move(pages)),
      server_(loop,
              {},
              {.on_request =
                   [this](ExchangeId id, const HttpRequest& request) {
                     server_.Respond(id, HandleRequest(request));
                   },
               .on_abandoned = [](ExchangeId) {}}) {}

Endpoint AdminServer::Listen(const Endpoint& endpoint) {
  return server_.Listen(endpoint);
}

HttpResponse AdminServer::HandleRequest(const HttpRequest& request) const {
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  if (path == "/healthz")
    return {200, {}, "ok\n"};
  if (path == "/readyz") {
    bool ready = pages_.ready();
    return {ready ? 200u : 503u, {}, ready ? "ready\n" : "not ready\n"};
  }
  if (path == "/metrics")
    return OkResponse(Metrics::kContentType, pages_.metrics());
  if (path == "/timeline")
    return OkResponse("application/json", pages_.timeline());
  if (path == "/status")
    return OkResponse("application/json", pages_.status());
  return {404, {}, "no such page\n"};
}

}  // namespace radishmoor
